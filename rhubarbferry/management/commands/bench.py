"""``bench``: drive the decision core with generated work and print figures."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Literal

from rhubarbferry.management.exits import Exit

Experiment = Literal["all", "requests", "placement", "shares", "days"]
ProfileName = Literal["today", "aim"]


def bench(
    experiment: Experiment = "all",
    *,
    profile: ProfileName = "today",
    seed: int = 1,
    request_seconds: float = 60.0,
    share_seconds: float = 600.0,
    day_seconds: float = 60.0,
    steps: int = 1000,
    output: Path | None = None,
    plot: Path | None = None,
) -> int:
    """Drive the decision core with generated work; print the figures as JSON.

    :param experiment: which one, or all.
    :param profile: sizes of the cell: today's, or those expected in two years.
    :param seed: of the generated work; the same gives the same figures but for the times.
    :param request_seconds: generated time at each load of the requests.
    :param share_seconds: generated time of the runs that tell shares.
    :param day_seconds: generated time for which jobs come in on each day.
    :param steps: batches of the placement experiment.
    :param output: a file for the JSON, in place of standard output.
    :param plot: a PNG to draw; needs matplotlib.
    """
    from rhubarbferry.bench.run import EXPERIMENTS, Plan, run

    plan = Plan(
        profile=profile,
        seed=seed,
        request_seconds=request_seconds,
        share_seconds=share_seconds,
        day_seconds=day_seconds,
        steps=steps,
    )
    report = run(plan, EXPERIMENTS if experiment == "all" else (experiment,))
    text = json.dumps(report, indent=1) + "\n"
    if output is None:
        sys.stdout.write(text)
    else:
        output.write_text(text, encoding="utf-8")
    return _plot(report, plot) if plot is not None else Exit.OK


def _plot(report: dict[str, object], path: Path) -> int:
    from rhubarbferry.bench.plots import draw

    try:
        draw(report, path)
    except ImportError:
        print("no plot: install matplotlib, as in rhubarbferry[bench]", file=sys.stderr)
        return Exit.FAILED
    return Exit.OK
