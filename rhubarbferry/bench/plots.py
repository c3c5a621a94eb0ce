"""Plots of experiment reports. This is the only module that imports matplotlib."""

from __future__ import annotations

from pathlib import Path
from typing import Any

CLASSES = ("urgent", "normal", "batch")
PERCENTILE_KEY = "p99_ms"
LOADS = ("load_1", "load_2", "load_10")


def draw(report: dict[str, Any], path: Path) -> None:
    """Write a PNG file with one panel for each experiment in the report.

    :raises ImportError: if matplotlib is not installed.
    """
    from matplotlib.figure import Figure

    panels = [name for name in DRAWERS if name in report]
    figure = Figure(figsize=(6.0 * len(panels), 4.2), layout="constrained")
    for name, axes in zip(panels, figure.subplots(1, len(panels), squeeze=False)[0], strict=True):
        DRAWERS[name](report[name], axes)
    figure.savefig(path, dpi=110)


def _requests(part: dict[str, Any], axes: Any) -> None:
    for policy, style in (("core", "-o"), ("fifo", "--s")):
        runs = [part[policy][load] for load in LOADS]
        for cls in CLASSES:
            waits = [run["waits_by_class"][cls].get(PERCENTILE_KEY) for run in runs]
            points = [(x, y) for x, y in zip((1, 2, 10), waits, strict=True) if y is not None]
            if points:
                axes.plot(*zip(*points, strict=True), style, label=f"{policy} {cls}")
    axes.set(xscale="log", yscale="log", xlabel="load, of capacity", ylabel="p99 wait, ms")
    axes.set_title("Requests: wait for a slot")
    axes.set_xticks((1, 2, 10), ("1", "2", "10"))
    axes.minorticks_off()
    axes.legend(fontsize=7)
    axes.grid(alpha=0.3)


def _placement(part: dict[str, Any], axes: Any) -> None:
    sizes = [key for key in part if key.startswith("workers_")]
    policies = list(part[sizes[0]])
    for index, policy in enumerate(policies):
        values = [part[size][policy]["packing"]["of_bound"] for size in sizes]
        places = [at + 0.25 * (index - 1) for at in range(len(sizes))]
        bars = axes.bar(places, values, width=0.23, label=policy)
        axes.bar_label(bars, fmt="%.3f", fontsize=7)
    axes.set_xticks(range(len(sizes)), [size.removeprefix("workers_") for size in sizes])
    axes.set(xlabel="workers", ylabel="part of the scarcest dimension in use", ylim=(0.8, 1.02))
    axes.set_title("Placement: a full cell")
    axes.legend(fontsize=7, loc="lower right")


def _shares(part: dict[str, Any], axes: Any) -> None:
    for policy, mark in (("core", "o"), ("fifo", "x")):
        ratios = part[policy]["shares"]["used_over_due"]
        axes.plot(range(len(ratios)), list(ratios.values()), mark, label=policy)
    axes.axhline(1.0, color="#888", linewidth=0.8)
    axes.axhspan(0.98, 1.02, color="#4c9a6a", alpha=0.2)
    axes.set(xlabel="client account", ylabel="use over entitled use")
    axes.set_title("Shares of jobs under saturation")
    axes.legend(fontsize=7)


def _days(part: dict[str, Any], axes: Any) -> None:
    names = [name for name in part if isinstance(part[name], dict)]
    for index, statistic in enumerate(("worth_share", "worst_windows")):
        values = [part[name][statistic] for name in names]
        places = [at + 0.35 * (index - 0.5) for at in range(len(names))]
        axes.bar(places, values, width=0.33, label=statistic.replace("_", " "))
    axes.set_xticks(range(len(names)), names, fontsize=8)
    axes.set(ylabel="share of the worth of all jobs", ylim=(0.0, 1.02))
    axes.set_title("Days of jobs")
    axes.legend(fontsize=7, loc="lower right")


DRAWERS = {"requests": _requests, "placement": _placement, "shares": _shares, "days": _days}
