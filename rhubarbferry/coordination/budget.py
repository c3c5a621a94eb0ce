"""The share of the store's rate that one process may use."""

from __future__ import annotations

from prometheus_client import Counter

from rhubarbferry.core.budget import Bucket, Rate, share, take
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import Spend, StoreRateLimited

BURST_S = 0.5
MAX_WAIT_S = 2.0

WAITS = Counter(
    "rhubarbferry_store_budget_wait_seconds_total",
    "Seconds that calls to the store waited for the budget",
    ["kind"],
)
REFUSALS = Counter(
    "rhubarbferry_store_budget_refusals_total",
    "Calls refused here because the budget was used up for too long ahead",
    ["kind"],
)


class SharedBudget:
    """Let calls wait so that all members together keep the store's rate.

    A lease renewal never waits: it takes its token in advance and the others wait for it.
    Otherwise a burst of appends would delay renewals until the process lost its lease.

    :param writes_per_s: writes allowed to the whole cell.
    :param reads_per_s: reads allowed to the whole cell.
    :param max_wait_s: a call that would wait longer is refused at once.
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
        self._per_s = {Spend.WRITE: writes_per_s, Spend.READ: reads_per_s}
        self._max_wait_s = max_wait_s
        self._rates: dict[Spend, Rate] = {}
        self.set_members(members)
        now = clock.monotonic()
        self._buckets = {
            kind: Bucket(tokens=rate.burst, at=now) for kind, rate in self._rates.items()
        }

    def set_members(self, count: float) -> None:
        """Take the share of one of ``count`` equal members from now on."""
        self._rates = {
            kind: share(per_s=per_s, members=count, burst_s=BURST_S)
            for kind, per_s in self._per_s.items()
        }

    async def spend(self, spend: Spend) -> None:
        """Return when the call may be sent.

        :raises StoreRateLimited: when it would wait too long; nothing was sent.
        """
        kind = Spend.READ if spend is Spend.READ else Spend.WRITE
        taken = take(self._buckets[kind], self._rates[kind], self._clock.monotonic())
        if spend is Spend.RENEWAL:
            self._buckets[kind] = taken.bucket
            return
        if taken.wait_s > self._max_wait_s:
            REFUSALS.labels(kind.value).inc()
            raise StoreRateLimited(
                f"this process would wait {taken.wait_s:.1f} s for its share of the store's"
                f" {kind.value}s; send fewer, larger batches or raise [store] {kind.value}s_per_s"
            )
        self._buckets[kind] = taken.bucket
        if taken.wait_s > 0:
            WAITS.labels(kind.value).inc(taken.wait_s)
            await self._clock.sleep(taken.wait_s)
