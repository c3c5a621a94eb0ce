"""Processes of the cell as senders of requests to the policy service."""

from __future__ import annotations

import math
from collections.abc import Collection

from attrs import define, field

from rhubarbferry.cell.members import Member

# Time constant of the average load of short requests.
SHORT_LOAD_WINDOW_S = 10.0
# Processes kept free for short requests beyond their average number, in standard deviations. The
# number in progress at one time has a standard deviation of about the square root of its mean.
SHORT_LOAD_DEVIATIONS = 2.0
# After a failed request a process is avoided for this long, and for twice as long after each
# further failure in succession, up to the maximum.
MIN_AVOIDED_S = 1.0
MAX_AVOIDED_S = 16.0
# Processes are avoided only while at least this share of them is not; otherwise the failures are
# assumed to be those of the policy service.
MIN_WORKING_SHARE = 0.5


@define(kw_only=True, eq=False, slots=True)
class ShortLoad:
    """Average number of short requests in progress, with exponentially decreasing weights."""

    _sum_s: float = 0.0
    _updated_at: float = 0.0

    def record(self, duration_s: float, *, now: float) -> None:
        """Count a request that was sent."""
        self._sum_s = self._decayed(now) + duration_s
        self._updated_at = now

    def processes(self, now: float) -> int:
        """Return how many processes are kept free of long requests, at least one."""
        mean = self._decayed(now) / SHORT_LOAD_WINDOW_S
        return max(1, math.ceil(mean + SHORT_LOAD_DEVIATIONS * math.sqrt(mean)))

    def _decayed(self, now: float) -> float:
        return self._sum_s * math.exp((self._updated_at - now) / SHORT_LOAD_WINDOW_S)


@define(kw_only=True, eq=False, slots=True)
class FailingProcesses:
    """Processes whose last requests to the policy service failed."""

    _failures: dict[str, int] = field(factory=dict)
    _avoided_until: dict[str, float] = field(factory=dict)

    def record(self, name: str, *, answered: bool, now: float) -> None:
        """Record how a request of a process ended."""
        if answered:
            self._failures.pop(name, None)
            self._avoided_until.pop(name, None)
            return
        count = self._failures.get(name, 0)
        self._failures[name] = count + 1
        self._avoided_until[name] = now + min(MAX_AVOIDED_S, MIN_AVOIDED_S * 2.0**count)

    def forget_absent(self, names: Collection[str]) -> None:
        """Remove the processes that are not among ``names``."""
        for name in [name for name in self._failures if name not in names]:
            del self._failures[name], self._avoided_until[name]

    def usable(self, members: Collection[Member], *, now: float) -> list[Member]:
        """Return the members without recent failures, or all if these are too few."""
        working = [item for item in members if self._avoided_until.get(item.name, now) <= now]
        return working if len(working) >= MIN_WORKING_SHARE * len(members) else list(members)
