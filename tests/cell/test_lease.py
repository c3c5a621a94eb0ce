"""A process whose network link is busy, so that renewals of its lease are answered late."""

from __future__ import annotations

import asyncio

from attrs import define, field

from rhubarbferry.cell.lease import (
    CLOCK_MARGIN_S,
    LEASE_TTL_S,
    LONG_LEASE_PERIOD_S,
    LONG_LEASE_TTL_S,
    RENEWAL_INTERVAL_S,
    LeaseKeeper,
)
from rhubarbferry.cell.term_context import Tenure
from rhubarbferry.test.fake_clock import FakeClock

from .fakes import FakeEventLog

FENCE = 5


@define
class LeaseStore:
    """Fake of the store's leases, whose renewals take a fixed time."""

    clock: FakeClock
    answer_s: float = 0.0
    granted_ttl_s: list[float] = field(factory=list)

    async def grant_lease(self, ttl_s):
        self.granted_ttl_s.append(ttl_s)
        return len(self.granted_ttl_s)

    async def keep_alive(self, id):
        if self.answer_s:
            await self.clock.sleep(self.answer_s)
        return self.granted_ttl_s[id - 1]


class Cell:
    """A process that keeps a lease, on a clock that the test advances."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.store = LeaseStore(clock=self.clock)
        self.keeper = LeaseKeeper(clock=self.clock, store=self.store, log=FakeEventLog())
        self.running = asyncio.create_task(self.keeper.run())

    async def lose_lease(self) -> None:
        """Let the answers to all renewals take longer than the lease."""
        self.store.answer_s = 2 * LONG_LEASE_TTL_S
        await self.clock.advance(LEASE_TTL_S + RENEWAL_INTERVAL_S)
        self.store.answer_s = 0.0
        await self.clock.advance(RENEWAL_INTERVAL_S)


async def test_a_lease_that_ran_out_is_granted_for_longer():
    """Guards against an owner that loses its lease each time it reads the jobs."""
    cell = Cell()
    await cell.clock.advance(RENEWAL_INTERVAL_S)
    await cell.lose_lease()
    await cell.clock.advance(LONG_LEASE_PERIOD_S)
    await cell.clock.advance(1.0)
    cell.keeper.drop("test")
    await cell.clock.advance(RENEWAL_INTERVAL_S)
    cell.running.cancel()
    assert cell.store.granted_ttl_s == [LEASE_TTL_S, LONG_LEASE_TTL_S, LEASE_TTL_S]


async def test_an_owner_with_a_long_lease_pauses_while_no_renewal_is_answered():
    """Guards against actions that the successor does not expect any more."""
    cell = Cell()
    await cell.clock.advance(RENEWAL_INTERVAL_S)
    await cell.lose_lease()
    tenure = Tenure(keeper=cell.keeper, lease_id=cell.keeper.lease.id, fence=FENCE)
    assert tenure.holds()
    cell.store.answer_s = LEASE_TTL_S + RENEWAL_INTERVAL_S
    await cell.clock.advance(LEASE_TTL_S - CLOCK_MARGIN_S)
    assert not tenure.holds()
    tenure.check()
    cell.store.answer_s = 0.0
    await cell.clock.advance(RENEWAL_INTERVAL_S)
    assert tenure.holds()
    cell.running.cancel()
