"""Hand-over of the ownership while answers are lost and watches deliver no changes."""

from __future__ import annotations

import asyncio
import math

import pytest
from attrs import Factory, define

from rhubarbferry.cell import keys
from rhubarbferry.cell.candidate import Candidate
from rhubarbferry.cell.lease import LEASE_TTL_S, LeaseKeeper
from rhubarbferry.cell.members import CellView, Member
from rhubarbferry.cell.settings import Bounds, CellSettings
from rhubarbferry.cell.term_context import ProcessContext
from rhubarbferry.dispatch.takeover import Takeover
from rhubarbferry.ports.clock import SystemClock

from .fakes import FakeEventLog, member

TIMEOUT_S = 5.0
# Longer than the successor allows for the former owner's own lease.
OBSERVATION_S = 2 * LEASE_TTL_S
POLL_INTERVAL_S = 0.02


class NoHosts:
    """Fake host list without entries."""

    async def hosts(self):
        return []


@define
class Peers:
    """Connections between the processes; answers to requests to take over can be lost."""

    candidates: dict[str, Candidate] = Factory(dict)
    answers_lost: bool = False

    async def take_over(self, successor: Member, fence: int) -> bool:
        taken = await self.candidates[successor.name].take_over(fence)
        return taken and not self.answers_lost


@define
class Cell:
    """Two processes that use one store."""

    peers: Peers = Factory(Peers)
    tasks: list[asyncio.Task] = Factory(list)

    def start(self, name: str, store) -> None:
        clock = SystemClock()
        log = FakeEventLog()
        process = ProcessContext(
            cfg=CellSettings(member=name, region="region", failure_domain="domain"),
            clock=clock,
            store=store,
            log=log,
            own=member(name),
            view=CellView(),
            keeper=LeaseKeeper(clock=clock, store=store, log=log),
            workers=None,
            directory=NoHosts(),
            policy=None,
            peers=self.peers,
            routes=lambda: None,
            lag_s=lambda: 0.0,
        )
        candidate = self.peers.candidates[name] = Candidate(process=process)
        self.tasks += [
            asyncio.create_task(process.keeper.run()),
            asyncio.create_task(candidate.run()),
        ]

    async def roles(self) -> tuple[Candidate, Candidate]:
        """Wait until the owner has loaded and knows the other process; return both."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                for candidate in self.peers.candidates.values():
                    if (
                        candidate.term is not None
                        and candidate.term.loaded
                        and len(candidate.process.view.members) == 2
                    ):
                        (other,) = set(self.peers.candidates.values()) - {candidate}
                        return candidate, other
                await asyncio.sleep(POLL_INTERVAL_S)


@pytest.fixture
async def cell(store):
    cell = Cell()
    for name in ("a", "b"):
        cell.start(name, store)
    yield cell
    candidates = cell.peers.candidates.values()
    await asyncio.gather(*(candidate.leave() for candidate in candidates))
    # A candidate that is cancelled while its term ends would go on.
    await wait_until(lambda: all(candidate.term is None for candidate in candidates))
    for task in cell.tasks:
        task.cancel()
    await asyncio.gather(*cell.tasks, return_exceptions=True)


async def wait_until(condition) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            if condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)


async def takeover_of(successor: Candidate) -> Takeover:
    await wait_until(lambda: successor.term is not None)
    return successor.term.ctx.dispatcher.takeover


def task_leases_end(acted_until: float) -> float:
    """Return when a task lease can end that an owner extended when it last acted."""
    return acted_until + Bounds().task_lease_s


@pytest.mark.parametrize("sees_owner", [True, False])
async def test_former_owner_does_not_outlast_the_wait_of_its_successor(cell, stand_in, sees_owner):
    """Guards against two owners after a hand-over whose answer was lost."""
    former, successor = await cell.roles()
    tenure = former.term.tenure
    stand_in.faults.deaf = True
    cell.peers.answers_lost = True
    if not sees_owner:
        successor.process.view.ownership = None
    await former._hand_over(former.term)
    takeover = await takeover_of(successor)
    clock = SystemClock()
    acted_until = started_at = clock.monotonic()
    while tenure.holds() and acted_until - started_at < OBSERVATION_S:
        await asyncio.sleep(POLL_INTERVAL_S)
        acted_until = clock.monotonic()
    assert task_leases_end(acted_until) < takeover.leases_expire_at < math.inf


async def test_former_owner_that_goes_on_registers_again(cell, stand_in):
    """Guards against a running process that no other process counts as a member."""
    former, successor = await cell.roles()
    key = keys.MEMBERS + former.process.own.name
    lease_id = stand_in.engine.get(key).kv.lease_id
    calls = dict(stand_in.calls)
    await former._hand_over(former.term)
    await wait_until(lambda: (item := stand_in.engine.get(key)) and item.kv.lease_id != lease_id)
    assert lease_id not in stand_in.engine.leases
    assert stand_in.calls["end"] - calls.get("end", 0) == 1
    await wait_until(lambda: len(successor.process.view.members) == 2)


async def test_hosts_are_not_given_up_before_the_former_owner_has_lost_its_lease(cell, stand_in):
    """Guards against a wait that is counted from a time at which the former owner still acted."""
    former, successor = await cell.roles()
    stand_in.faults.keep_leases = True
    await former._hand_over(former.term)
    takeover = await takeover_of(successor)
    await wait_until(lambda: successor.term is not None and successor.term.loaded)
    assert takeover.leases_expire_at == math.inf
    ended_at = SystemClock().monotonic()
    stand_in.faults.keep_leases = False
    await wait_until(lambda: takeover.leases_expire_at < math.inf)
    assert takeover.leases_expire_at > task_leases_end(ended_at + LEASE_TTL_S)


async def test_lease_is_ended_by_a_successor_that_got_no_answer_to_its_write(cell, stand_in):
    """Guards against a former owner that goes on as its successor knew late of its own success."""
    former, successor = await cell.roles()
    lease_id = former.term.tenure.lease_id
    stand_in.faults.lose_every = 1
    assert not await successor.take_over(former.term.tenure.fence)
    stand_in.faults.lose_every = 0
    takeover = await takeover_of(successor)
    assert successor.term.former_leases == {lease_id}
    await wait_until(lambda: takeover.leases_expire_at < math.inf)
    assert lease_id not in stand_in.engine.leases


async def test_request_of_an_owner_that_has_been_replaced_is_refused(cell):
    """Guards against a late request that ends the lease of a process that owns nothing."""
    former, successor = await cell.roles()
    fence = former.term.tenure.fence
    former.process.view.ownership = successor.process.view.ownership = None
    assert not await successor.take_over(fence - 1)
    assert former.term.tenure.holds()
