"""Rate limiting of one process's calls to the store."""

from __future__ import annotations

from prometheus_client import Counter

from rhubarbferry.core.budget import Bucket, Rate, share, take
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import BudgetKind, StoreRateLimited

BURST_S = 0.5
MAX_WAIT_S = 2.0

WAIT_SECONDS = Counter(
    "rhubarbferry_store_budget_wait_seconds_total",
    "Seconds that calls to the store were delayed by the rate limit",
    ["kind"],
)
REJECTIONS = Counter(
    "rhubarbferry_store_budget_refusals_total",
    "Calls to the store rejected because the rate limit would delay them too long",
    ["kind"],
)


class SharedBudget:
    """Delay calls to the store so that all members together stay within its rate limits.

    A lease renewal never waits: it consumes its token immediately, and later calls wait until the
    token bucket has refilled. Otherwise a burst of log appends could delay renewals until the
    process lost its lease.

    :param writes_per_s: write rate limit of the whole cell.
    :param reads_per_s: read rate limit of the whole cell.
    :param members: number of members that share these limits equally.
    :param max_wait_s: a call that would wait longer than this is rejected immediately.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        writes_per_s: float,
        reads_per_s: float,
        members: float = 1,
        max_wait_s: float = MAX_WAIT_S,
    ) -> None:
        self._clock = clock
        self._limits_per_s = {BudgetKind.WRITE: writes_per_s, BudgetKind.READ: reads_per_s}
        self._max_wait_s = max_wait_s
        self._rates: dict[BudgetKind, Rate] = {}
        self.set_members(members)
        now = clock.monotonic()
        self._buckets = {
            kind: Bucket(tokens=rate.burst, at=now) for kind, rate in self._rates.items()
        }

    def set_members(self, count: float) -> None:
        """Set the number of members that share the cell's rate limits equally."""
        self._rates = {
            kind: share(per_s=per_s, members=count, burst_s=BURST_S)
            for kind, per_s in self._limits_per_s.items()
        }

    async def acquire(self, spend: BudgetKind) -> None:
        """Wait until the call may be sent.

        :raises StoreRateLimited: when the wait would exceed the limit; the call must not be sent.
        """
        kind = BudgetKind.READ if spend is BudgetKind.READ else BudgetKind.WRITE
        taken = take(self._buckets[kind], self._rates[kind], self._clock.monotonic())
        if spend is BudgetKind.RENEWAL:
            self._buckets[kind] = taken.bucket
            return
        if taken.wait_s > self._max_wait_s:
            REJECTIONS.labels(kind.value).inc()
            raise StoreRateLimited(
                f"the call would wait {taken.wait_s:.1f} s for this process's share of the"
                f" store's {kind.value} rate; send fewer, larger batches or raise"
                f" [store] {kind.value}s_per_s"
            )
        self._buckets[kind] = taken.bucket
        if taken.wait_s > 0:
            WAIT_SECONDS.labels(kind.value).inc(taken.wait_s)
            await self._clock.sleep(taken.wait_s)
