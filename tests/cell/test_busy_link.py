"""A new owner whose network link is busy, so that all answers arrive late."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from attrs import define, field

from rhubarbferry.cell.host_poller import MAX_RESPONSE_MARGIN_S, HostPoller
from rhubarbferry.cell.lease import (
    CLOCK_MARGIN_S,
    LEASE_TTL_S,
    LONG_LEASE_PERIOD_S,
    LONG_LEASE_TTL_S,
    RENEWAL_INTERVAL_S,
    LeaseKeeper,
)
from rhubarbferry.cell.term_context import Tenure
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.messages import HostEntry, HostReport, Sizes
from rhubarbferry.ports.workers import WorkerSilent
from rhubarbferry.test.fake_clock import FakeClock

from .fakes import FakeEventLog

ENTRY = HostEntry(id="a", incarnation=1, service="pool", address="a:1", capacity=Sizes())
FENCE = 5
POLLS = 8


@define
class SlowWorkers:
    """Fake of the hosts, whose answers take a fixed time.

    :ivar margins_s: the time allowed for each answer.
    """

    answer_s: float
    margins_s: list[float] = field(factory=list)

    async def extend_leases(self, entry, req):
        self.margins_s.append(req.response_margin_s)
        if req.response_margin_s < self.answer_s:
            raise WorkerSilent("no answer in time")
        return HostReport(clock_s=1.0, incarnation=1, running=(), ended=())


def poller(workers: SlowWorkers, host: Host) -> HostPoller:
    def handle_report(id, report, *, sent_at, now):
        host.adopted = True
        ctx.dispatcher.tracker.hosts.clear()

    ctx = SimpleNamespace(
        process=SimpleNamespace(
            cfg=SimpleNamespace(bounds=SimpleNamespace(task_lease_s=6.0)),
            lag_s=lambda: 0.0,
            log=FakeEventLog(),
            workers=workers,
        ),
        dispatcher=SimpleNamespace(
            handle_report=handle_report, tracker=SimpleNamespace(hosts={"a": host})
        ),
        note_changes=lambda: None,
        now=asyncio.get_running_loop().time,
        tenure=SimpleNamespace(check=lambda: None, holds=lambda: True, fence=FENCE),
        wake=asyncio.Event(),
    )
    return HostPoller(ctx=ctx, id="a")


@pytest.mark.parametrize("answer_s", [0.7, 1.9])
async def test_hosts_are_adopted_although_their_answers_are_late(answer_s):
    """Guards against an owner that polls all hosts again and again and adopts none."""
    workers = SlowWorkers(answer_s=answer_s)
    host = Host(entry=ENTRY)
    async with asyncio.timeout(2.0):
        await poller(workers, host).run()
    assert host.adopted
    assert len(workers.margins_s) <= POLLS


async def test_the_time_for_an_answer_is_limited():
    """Guards against a poll of a host that has left which takes longer and longer."""
    workers = SlowWorkers(answer_s=float("inf"))
    polling = asyncio.create_task(poller(workers, Host(entry=ENTRY)).run())
    await asyncio.sleep(0.6)
    polling.cancel()
    assert len(workers.margins_s) > POLLS
    assert max(workers.margins_s) <= MAX_RESPONSE_MARGIN_S


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
