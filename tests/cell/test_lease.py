"""A process whose network link is busy, so that renewals of its lease are answered late."""

from __future__ import annotations

import asyncio

import pytest
from attrs import define, field

from rhubarbferry.cell.lease import (
    CLOCK_MARGIN_S,
    LEASE_TTL_S,
    LONG_LEASE_PERIOD_S,
    LONG_LEASE_TTL_S,
    LOST_STORE_MAX_AGE_S,
    RENEWAL_INTERVAL_S,
    SLOW_RENEWAL_S,
    STORE_ANSWER_MAX_AGE_S,
    LeaseKeeper,
)
from rhubarbferry.cell.term_context import Tenure
from rhubarbferry.test.fake_clock import FakeClock

from .fakes import FakeEventLog

FENCE = 5
JUST_BEFORE_S = 0.001


@define
class LeaseStore:
    """Fake of the store's leases, whose renewals take a fixed time."""

    clock: FakeClock
    answer_s: float = 0.0
    granted_ttl_s: list[float] = field(factory=list)
    revoked: list[int] = field(factory=list)

    async def grant_lease(self, ttl_s):
        self.granted_ttl_s.append(ttl_s)
        return len(self.granted_ttl_s)

    async def revoke_lease(self, id):
        self.revoked.append(id)
        return True

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

    async def lose_lease(self, *, late_answer: bool = True) -> None:
        """Let the answers to all renewals take longer than the lease.

        :param late_answer: whether the answer to one renewal before them is slow.
        """
        if late_answer:
            self.store.answer_s = SLOW_RENEWAL_S
            await self.clock.advance(RENEWAL_INTERVAL_S + SLOW_RENEWAL_S)
        self.store.answer_s = 2 * LONG_LEASE_TTL_S
        await self.clock.advance(LEASE_TTL_S + RENEWAL_INTERVAL_S)
        self.store.answer_s = 0.0
        await self.clock.advance(RENEWAL_INTERVAL_S)


async def test_a_lease_that_ran_out_after_slow_answers_is_granted_for_longer():
    """Guards against an owner that loses its lease each time it reads the jobs."""
    cell = Cell()
    await cell.clock.advance(RENEWAL_INTERVAL_S)
    await cell.lose_lease()
    # The slow answers that were under way arrive first.
    await cell.clock.advance(2 * LONG_LEASE_TTL_S + LONG_LEASE_PERIOD_S + 1.0)
    cell.keeper.drop("test")
    await cell.clock.advance(RENEWAL_INTERVAL_S)
    cell.running.cancel()
    assert cell.store.granted_ttl_s == [LEASE_TTL_S, LONG_LEASE_TTL_S, LEASE_TTL_S]


async def test_a_lease_that_ran_out_in_an_outage_is_granted_as_before():
    """Guards against keys of dead processes that stay for long after an outage of the store."""
    cell = Cell()
    await cell.clock.advance(RENEWAL_INTERVAL_S)
    await cell.lose_lease(late_answer=False)
    cell.running.cancel()
    assert cell.store.granted_ttl_s == [LEASE_TTL_S, LEASE_TTL_S]


@pytest.mark.parametrize(
    ("answer_s", "lost_after_s"),
    [
        pytest.param(0.04, STORE_ANSWER_MAX_AGE_S, id="calm"),
        pytest.param(0.25, RENEWAL_INTERVAL_S + 0.75, id="slow store"),
        pytest.param(0.7, LOST_STORE_MAX_AGE_S, id="busy link"),
    ],
)
async def test_the_store_is_lost_once_it_is_silent_for_longer_than_usual(answer_s, lost_after_s):
    """Guards against handing over to an equal process because answers are late for both."""
    cell = Cell()
    cell.store.answer_s = answer_s
    await cell.clock.advance(5.0)
    assert not cell.keeper.store_lost()
    cell.running.cancel()
    await cell.clock.advance(2.0)
    cell.clock.jump(cell.keeper.answered_at + lost_after_s - JUST_BEFORE_S - cell.clock.monotonic())
    assert not cell.keeper.store_lost()
    cell.clock.jump(2 * JUST_BEFORE_S)
    assert cell.keeper.store_lost()


async def test_a_dropped_lease_is_ended():
    """Guards against seconds without an owner until the lease of the former one runs out."""
    cell = Cell()
    await cell.clock.advance(RENEWAL_INTERVAL_S)
    dropped = cell.keeper.lease.id
    cell.keeper.drop("test")
    await cell.clock.advance(RENEWAL_INTERVAL_S)
    assert cell.store.revoked == [dropped]
    assert cell.keeper.kept_lease().id != dropped
    cell.running.cancel()


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


LEASES = {
    "answered": (0.0, 0.0),
    "slow": (SLOW_RENEWAL_S, 0.0),
    "silent, an ordinary lease": (10.0, 0.0),
    "silent, a long lease": (10.0, SLOW_RENEWAL_S),
}


@pytest.mark.parametrize(("answer_s", "before_s"), LEASES.values(), ids=LEASES.keys())
async def test_an_owner_acts_for_exactly_as_long_as_it_says(answer_s, before_s):
    """Guards against a log by which two owners act at once although they don't, or the reverse."""
    cell = Cell()
    await cell.clock.advance(RENEWAL_INTERVAL_S)
    if before_s:
        await cell.lose_lease()
    tenure = Tenure(keeper=cell.keeper, lease_id=cell.keeper.lease.id, fence=FENCE)
    cell.store.answer_s = answer_s
    held = []
    for _ in range(100):
        await cell.clock.advance(0.05)
        held.append(tenure.holds())
        assert held[-1] is (tenure.acts_for_s() > 0.0)
    assert all(held) is (answer_s < LEASE_TTL_S)
    cell.running.cancel()


@pytest.mark.parametrize("regained", [False, True], ids=["without a lease", "with another one"])
async def test_the_time_since_an_owner_could_act_counts_from_the_end_of_its_lease(regained):
    """Guards against an end of the ownership that seems to lie in the future."""
    cell = Cell()
    await cell.clock.advance(RENEWAL_INTERVAL_S)
    tenure = Tenure(keeper=cell.keeper, lease_id=cell.keeper.lease.id, fence=FENCE)
    cell.keeper.drop("test")
    assert tenure.acts_for_s() == 0.0
    if regained:
        await cell.clock.advance(RENEWAL_INTERVAL_S)
        assert cell.keeper.valid_lease() is not None
    else:
        cell.clock.jump(RENEWAL_INTERVAL_S)
    assert tenure.acts_for_s() == pytest.approx(-RENEWAL_INTERVAL_S)
    cell.running.cancel()
