"""Faults, rate limits and counters of the store stand-in."""

from __future__ import annotations

from collections import Counter, deque
from enum import StrEnum

from attrs import define, field, frozen

from rhubarbferry.ports.store import StoreRateLimited

RATE_WINDOW_S = 1.0


class CallKind(StrEnum):
    """Kinds of store calls, as counted."""

    GET = "get"
    LIST = "list"
    TXN = "txn"
    DELETE_RANGE = "delete_range"
    GRANT_LEASE = "grant_lease"
    KEEP_ALIVE = "keep_alive"
    REVOKE_LEASE = "revoke_lease"
    WATCH = "watch"

    @property
    def writes(self) -> bool:
        """Return whether the call counts against the write rate."""
        return self not in (CallKind.GET, CallKind.LIST, CallKind.WATCH)


@define(kw_only=True, slots=True)
class StoreFaults:
    """Faults to inject; every field may be changed at any time.

    :param down: reject every call before it takes effect and end all watches.
    :param slow_s: delay in seconds before a call takes effect.
    :param slow_reply_s: delay in seconds between the effect of a call and its reply.
    :param lose_replies: number of next writes that take effect but whose replies are lost.
    :param lose_every: also lose the reply to every n-th write; 0 disables the fault.
    :param fail_next: number of next calls that fail before they take effect.
    :param watch_drops: generation number; watches opened before its last increase end.
    :param silent_watches: keep watches open without sending anything.
    :param stale_revisions: answer reads from this many revisions ago.
    """

    down: bool = False
    slow_s: float = 0.0
    slow_reply_s: float = 0.0
    lose_replies: int = 0
    lose_every: int = 0
    fail_next: int = 0
    watch_drops: int = 0
    silent_watches: bool = False
    stale_revisions: int = 0
    _writes: int = field(default=0, init=False)

    def drop_watches(self) -> None:
        """End all open watches."""
        self.watch_drops += 1

    def consume_failure(self) -> bool:
        """Return whether this call fails before it takes effect; consume one such fault."""
        if self.down:
            return True
        if not self.fail_next:
            return False
        self.fail_next -= 1
        return True

    def consume_lost_reply(self) -> bool:
        """Return whether the reply to this write is lost; consume one such fault."""
        self._writes += 1
        if self.lose_every and self._writes % self.lose_every == 0:
            return True
        if not self.lose_replies:
            return False
        self.lose_replies -= 1
        return True


@frozen(kw_only=True, slots=True)
class StoreRates:
    """Maximum number of calls per second; 0 for no limit."""

    writes_per_s: int = 400
    reads_per_s: int = 2000


@define(kw_only=True, slots=True)
class StoreCounters:
    """Call counters; an open watch counts as one call."""

    calls: Counter[CallKind] = field(factory=Counter)
    rate_limited: int = 0
    replies_lost: int = 0
    bytes_in: int = 0

    @property
    def writes(self) -> int:
        """Return the number of calls that count as writes."""
        return sum(count for kind, count in self.calls.items() if kind.writes)

    @property
    def reads(self) -> int:
        """Return the number of calls that count as reads."""
        return sum(count for kind, count in self.calls.items() if not kind.writes)


class RateLimiter:
    """Rate limiter with a sliding window of one second."""

    def __init__(self, *, rates: StoreRates) -> None:
        self.rates = rates
        self._writes: deque[float] = deque()
        self._reads: deque[float] = deque()

    def admit(self, kind: CallKind, now: float) -> None:
        """Count a call.

        :raises StoreRateLimited: if the call exceeds the rate.
        """
        limit = self.rates.writes_per_s if kind.writes else self.rates.reads_per_s
        times = self._writes if kind.writes else self._reads
        while times and times[0] <= now - RATE_WINDOW_S:
            times.popleft()
        if limit and len(times) >= limit:
            raise StoreRateLimited(f"over {limit} calls a second; send fewer, larger batches")
        times.append(now)
