"""Division of client account limits among the partitions that enforce them."""

from __future__ import annotations

from attrs import define, field, frozen

from rhubarbferry.core.cell import NO_LIMIT


@frozen(kw_only=True, slots=True)
class LimitPart:
    """Position of a partition among those that enforce a limit jointly.

    :param index: position of the partition in name order, from 0.
    :param count: number of partitions.
    """

    index: int = 0
    count: int = 1

    def whole(self, limit: int) -> int | None:
        """Return this partition's part of an integer limit; the parts add up to the limit.

        :returns: ``None`` for no limit. If the limit is below ``count``, some parts are 0.
        """
        if limit == NO_LIMIT:
            return None
        extra = 1 if self.index < limit % self.count else 0
        return limit // self.count + extra

    def rate(self, limit: float) -> float | None:
        """Return this partition's part of a rate, ``None`` for no limit."""
        if limit == NO_LIMIT:
            return None
        return limit / self.count


@define(kw_only=True, eq=False)
class DelayedLimit:
    """A limit whose decreases apply immediately and whose increases are delayed.

    Partitions receive a change at different times. A partition that raised its part before
    another one lowered its own would exceed the limit of the cell, so an increase is delayed until
    all partitions have received the change.

    :param rise_s: delay of an increase, in seconds.
    """

    rise_s: float
    value: float | None = None
    _pending: float | None = field(default=None, init=False)
    _pending_since: float | None = field(default=None, init=False)

    def update(self, limit: float | None, *, now: float) -> float | None:
        """Set the configured limit and return the limit in force; ``None`` means no limit."""
        if _is_at_most(limit, self.value):
            self.value = limit
            self._pending_since = None
            return self.value
        if self._pending_since is None or limit != self._pending:
            self._pending, self._pending_since = limit, now
        if now - self._pending_since >= self.rise_s:
            self.value = limit
            self._pending_since = None
        return self.value


def _is_at_most(limit: float | None, value: float | None) -> bool:
    if value is None:
        return True
    return limit is not None and limit <= value


@define(kw_only=True, eq=False)
class TokenBucket:
    """Token bucket whose burst is one second's tokens, but at least one token.

    :param rate_per_s: tokens added per second, ``None`` for no limit.
    """

    rate_per_s: float | None
    _tokens: float | None = field(default=None, init=False)
    _at: float = field(default=0.0, init=False)

    def take(self, *, now: float) -> float:
        """Take a token if one is available.

        :returns: 0 when a token was taken, else the seconds until one is available.
        """
        if self.rate_per_s is None:
            return 0.0
        burst = max(1.0, self.rate_per_s)
        if self._tokens is None:
            self._tokens, self._at = burst, now
        self._tokens = min(burst, self._tokens + (now - self._at) * self.rate_per_s)
        self._at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self.rate_per_s
