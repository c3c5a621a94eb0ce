from __future__ import annotations

import pytest
from log_harness import AutoAdvancingClock

from rhubarbferry.coordination.budget import SharedBudget
from rhubarbferry.ports.store import BudgetKind, StoreRateLimited


def _budget(clock: AutoAdvancingClock, *, members: int = 1) -> SharedBudget:
    return SharedBudget(clock=clock, writes_per_s=100.0, reads_per_s=1000.0, members=members)


@pytest.mark.parametrize(("members", "seconds"), [(1, 2.0), (10, 20.0)])
async def test_writes_keep_to_the_share_of_the_rate(members: int, seconds: float) -> None:
    clock = AutoAdvancingClock()
    budget = _budget(clock, members=members)
    started_at = clock.now
    for _ in range(200):
        await budget.acquire(BudgetKind.WRITE)
    assert seconds * 0.7 <= clock.now - started_at <= seconds


async def test_more_members_reduce_the_share_immediately() -> None:
    clock = AutoAdvancingClock()
    budget = _budget(clock)
    budget.set_members(100)
    for _ in range(50):
        await budget.acquire(BudgetKind.WRITE)
    started_at = clock.now
    await budget.acquire(BudgetKind.WRITE)
    assert clock.now - started_at == pytest.approx(1.0, abs=0.05)


async def test_renewals_never_wait_and_reads_have_their_own_share() -> None:
    """Lease renewals are not delayed after log appends have used up the write budget.

    Otherwise a process could lose its lease because of its own traffic.
    """
    clock = AutoAdvancingClock()
    budget = _budget(clock)
    for _ in range(300):
        await budget.acquire(BudgetKind.RENEWAL)
    assert clock.now == AutoAdvancingClock().now
    await budget.acquire(BudgetKind.READ)
    assert clock.now == AutoAdvancingClock().now
    with pytest.raises(StoreRateLimited):
        await budget.acquire(BudgetKind.WRITE)
