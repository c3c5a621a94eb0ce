"""``bench``: run the decision core on generated work and print measurements."""

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
    """Run the decision core on generated work and print the measurements as JSON.

    :param experiment: the experiment to run, or all.
    :param profile: size of the cell: ``today`` for the current one, ``aim`` for the one expected
        in two years.
    :param seed: seed of the generated work. Runs with the same seed differ only in measured times.
    :param request_seconds: simulated time at each load level of the request experiment.
    :param share_seconds: simulated time of each run that measures fair shares.
    :param day_seconds: simulated time on each day during which jobs arrive.
    :param steps: number of batches in the placement experiment.
    :param output: file for the JSON, in place of standard output.
    :param plot: PNG file to draw; requires matplotlib.
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
        print(
            "plot not drawn: install matplotlib, for example with rhubarbferry[bench]",
            file=sys.stderr,
        )
        return Exit.FAILED
    return Exit.OK
