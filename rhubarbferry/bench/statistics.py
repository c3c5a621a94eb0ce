"""Statistics for experiments: latency percentiles and fair-share errors."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_US = 7_200_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "p999": 99.9}


class LatencyHistogram:
    """Histogram of durations in seconds, with three significant digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)
        self._count = 0

    def add(self, seconds: float) -> None:
        """Record one duration; durations below one microsecond count as one microsecond."""
        self._histogram.record_value(min(MAX_US, max(1, int(seconds * 1e6))))
        self._count += 1

    def statistics(self) -> dict[str, float]:
        """Return the count and the percentiles in milliseconds."""
        if not self._count:
            return {"count": 0}
        percentiles = {
            f"{name}_ms": self._histogram.get_value_at_percentile(percentile) / 1000
            for name, percentile in PERCENTILES.items()
        }
        return {
            "count": self._count,
            **percentiles,
            "max_ms": self._histogram.get_max_value() / 1000,
        }

    def cumulative_distribution(self) -> list[tuple[float, float]]:
        """Return the cumulative distribution for a plot, as pairs of seconds and fraction."""
        steps = [percentile / 10 for percentile in range(0, 1000, 5)] + [99.9, 99.99]
        return [(self._histogram.get_value_at_percentile(step) / 1e6, step / 100) for step in steps]


def water_fill(
    weights: Mapping[str, float], wanted: Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return the capacity that each account is entitled to (weighted max-min fairness).

    Capacity is divided by weight; capacity that an account does not demand is divided among the
    other accounts by weight.

    :param wanted: demand of each account if it had the whole capacity for itself.
    """
    entitled = dict.fromkeys(weights, 0.0)
    unsatisfied = {name for name in weights if wanted[name] > 0}
    remaining = capacity
    while unsatisfied and remaining > 1e-9:
        per_weight = remaining / sum(weights[name] for name in unsatisfied)
        satisfied = {
            name for name in unsatisfied if wanted[name] <= per_weight * weights[name] + 1e-12
        }
        if not satisfied:
            for name in unsatisfied:
                entitled[name] = per_weight * weights[name]
            return entitled
        for name in satisfied:
            entitled[name] = wanted[name]
            remaining -= wanted[name]
        unsatisfied -= satisfied
    return entitled


def share_errors(used: Mapping[str, float], entitled: Mapping[str, float]) -> dict[str, Any]:
    """Return the ratio of use to entitlement for each account, and the largest error."""
    ratios = {
        name: used.get(name, 0.0) / part for name, part in sorted(entitled.items()) if part > 0
    }
    return {
        "used_over_due": {name: round(ratio, 4) for name, ratio in ratios.items()},
        "largest_error": round(max((abs(r - 1.0) for r in ratios.values()), default=0.0), 4),
    }
