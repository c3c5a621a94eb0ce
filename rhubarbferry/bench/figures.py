"""Statistics for experiments: latency percentiles and fair-share errors."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_US = 7_200_000_000
DIGITS = 3
MARKS = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}


class Times:
    """Histogram of durations in seconds, with three significant digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_US, DIGITS)
        self._count = 0

    def add(self, seconds: float) -> None:
        """Record one duration; durations below one microsecond count as one microsecond."""
        self._histogram.record_value(min(MAX_US, max(1, int(seconds * 1e6))))
        self._count += 1

    def figures(self) -> dict[str, float]:
        """Return the count and the percentiles in milliseconds."""
        if not self._count:
            return {"count": 0}
        marks = {
            f"{name}_ms": self._histogram.get_value_at_percentile(mark) / 1000
            for name, mark in MARKS.items()
        }
        return {"count": self._count, **marks, "max_ms": self._histogram.get_max_value() / 1000}

    def counts(self) -> list[tuple[float, float]]:
        """Return the cumulative distribution for a plot, as pairs of seconds and fraction."""
        steps = [mark / 10 for mark in range(0, 1000, 5)] + [99.9, 99.99]
        return [(self._histogram.get_value_at_percentile(step) / 1e6, step / 100) for step in steps]


def water_fill(
    weights: Mapping[str, float], wanted: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return the capacity that each account is entitled to (weighted max-min fairness).

    Capacity is divided by weight; capacity that an account does not demand is divided among the
    other accounts by weight.

    :param wanted: demand of each account if it had the whole capacity for itself.
    """
    due = dict.fromkeys(weights, 0.0)
    open_ = {name for name in weights if wanted[name] > 0}
    left = capacity
    while open_ and left > 1e-9:
        unit = left / sum(weights[name] for name in open_)
        full = {name for name in open_ if wanted[name] <= unit * weights[name] + 1e-12}
        if not full:
            for name in open_:
                due[name] = unit * weights[name]
            return due
        for name in full:
            due[name] = wanted[name]
            left -= wanted[name]
        open_ -= full
    return due


def share_errors(used: Mapping[str, float], due: Mapping[str, float]) -> dict[str, Any]:
    """Return the ratio of use to entitlement for each account, and the largest error."""
    ratios = {name: used.get(name, 0.0) / part for name, part in sorted(due.items()) if part > 0}
    return {
        "used_over_due": {name: round(ratio, 4) for name, ratio in ratios.items()},
        "largest_error": round(max((abs(r - 1.0) for r in ratios.values()), default=0.0), 4),
    }
