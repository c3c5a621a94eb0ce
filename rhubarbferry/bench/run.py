"""Run experiments and assemble their report."""

from __future__ import annotations

import platform
import time
from collections.abc import Iterable
from typing import Any

from attrs import asdict, frozen

from rhubarbferry.bench import days, placement, requests, shares
from rhubarbferry.bench.profiles import PROFILES

EXPERIMENTS = ("requests", "placement", "shares", "days")
WALL_PREFIX = "wall_"


@frozen(kw_only=True, slots=True)
class Plan:
    """Parameters of the experiments.

    :param request_seconds: simulated seconds of requests at each load.
    :param share_seconds: simulated seconds of the runs that measure fair shares.
    :param day_seconds: simulated seconds during which jobs arrive on each day.
    :param steps: number of batches in the placement experiment.
    """

    profile: str = "today"
    seed: int = 1
    request_seconds: float = 60.0
    share_seconds: float = 600.0
    day_seconds: float = 60.0
    steps: int = 1000


def run(plan: Plan, names: Iterable[str] = EXPERIMENTS) -> dict[str, Any]:
    """Run experiments one after the other and return their report.

    Values whose keys begin with ``wall_`` depend on the machine. All others are reproducible for
    the same plan.
    """
    profile = PROFILES[plan.profile]
    report: dict[str, Any] = {
        "plan": asdict(plan),
        "profile": asdict(profile),
        "wall_python": platform.python_version(),
    }
    for name in names:
        started_at = time.perf_counter()
        match name:
            case "requests":
                report[name] = requests.experiment(
                    profile,
                    seed=plan.seed,
                    seconds=plan.request_seconds,
                    share_seconds=plan.share_seconds,
                )
            case "placement":
                report[name] = placement.experiment(profile, seed=plan.seed, steps=plan.steps)
            case "days":
                report[name] = days.experiment(seed=plan.seed, seconds=plan.day_seconds)
            case _:
                report[name] = shares.experiment(
                    profile, seed=plan.seed, seconds=plan.share_seconds
                )
        report[name]["wall_seconds"] = round(time.perf_counter() - started_at, 1)
    return report


def without_wall(value: Any) -> Any:
    """Return a report without the ``wall_`` values, which differ between runs."""
    if isinstance(value, dict):
        return {k: without_wall(v) for k, v in value.items() if not k.startswith(WALL_PREFIX)}
    return value
