"""Retry budget of a client account."""

from __future__ import annotations

from attrs import define


@define(kw_only=True, slots=True)
class RetryBudget:
    """Budget of retries in proportion to the number of started requests, with a small minimum rate.

    Without a budget, every request to a failing service is sent several times, which keeps the
    service overloaded. With it, retries add at most ``ratio`` to the load (plus the minimum
    rate), however many requests fail.

    :param ratio: retries added to the budget by each started request.
    :param floor_per_s: retries added per second, for accounts with few requests.
    :param ceiling: maximum number of retries in the budget.
    :param tokens: current number of retries in the budget.
    """

    ratio: float
    floor_per_s: float = 0.2
    ceiling: float = 50.0
    tokens: float = 3.0
    _refilled: float | None = None

    def begun(self, *, now: float) -> None:
        """Record a request that was started at ``now`` (seconds on a monotonic clock)."""
        self._refill(now)
        self.tokens = min(self.ceiling, self.tokens + self.ratio)

    def take(self, *, now: float) -> bool:
        """Take one retry from the budget and return whether one was available."""
        self._refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        since = now if self._refilled is None else self._refilled
        self.tokens = min(self.ceiling, self.tokens + max(0.0, now - since) * self.floor_per_s)
        self._refilled = now
