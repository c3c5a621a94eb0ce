"""Tests of how members detect and replace an owner that does not answer."""

from __future__ import annotations

import asyncio

import pytest
from attrs import Factory, define

from rhubarbferry.cell import keys, owner_monitor
from rhubarbferry.cell.members import CellView, Ownership, encode_member, successors
from rhubarbferry.cell.owner_monitor import (
    MAX_MISSED_PINGS,
    MAX_PING_TIMEOUT_S,
    MONITOR_COUNT,
    NEW_OWNER_MAX_MISSED_PINGS,
    NEW_OWNER_PERIOD_S,
    PING_INTERVAL_S,
    PING_RETRY_INTERVAL_S,
    PING_TIMEOUT_S,
    OwnerMonitor,
)
from rhubarbferry.cell.peers import PingResult
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import KeyPut, KeyValue
from rhubarbferry.test.fake_clock import FakeClock

from .fakes import FakeEventLog, member

FENCE = 5
# Longer than all pings of the owner plus the staggered attempts of three monitors to replace it.
OUTCOME_S = 1.0


@define
class Peers:
    """Fake of the connections to other processes."""

    reaches: dict[str, PingResult]
    pinged: list[str] = Factory(list)
    pinged_once: asyncio.Event = Factory(asyncio.Event)

    async def ping(self, member, *, timeout_s):
        self.pinged.append(member.name)
        self.pinged_once.set()
        return self.reaches[member.name]


@define
class Cell:
    """One monitoring process, an owner and a third process."""

    peers: Peers
    view: CellView = Factory(CellView)
    replaced: list[int] = Factory(list)
    monitor: OwnerMonitor = None

    def __attrs_post_init__(self) -> None:
        for name in ("own", "owner", "other"):
            self.view.members[name] = member(name)
        self.owned_by("owner", FENCE)
        self.monitor = OwnerMonitor(
            clock=SystemClock(),
            log=FakeEventLog(),
            own=member("own"),
            view=self.view,
            peers=self.peers,
            replace=self.replace,
        )

    def owned_by(self, name: str, fence: int) -> None:
        self.view.ownership = Ownership(owner=member(name), fence=fence, lease_id=1)

    async def replace(self, ownership: Ownership) -> bool:
        self.replaced.append(ownership.fence)
        self.owned_by("own", ownership.fence + 1)
        return True


CASES = {
    "the owner's process has exited": (PingResult.REFUSED, PingResult.ANSWERED, [FENCE]),
    "the owner's host has lost power": (PingResult.SILENT, PingResult.ANSWERED, [FENCE]),
    "the owner is healthy": (PingResult.ANSWERED, PingResult.ANSWERED, []),
    "this process is disconnected from all": (PingResult.SILENT, PingResult.SILENT, []),
    "no process may connect to another": (PingResult.REFUSED, PingResult.REFUSED, []),
}


@pytest.mark.parametrize(("owner", "other", "replaced"), CASES.values(), ids=CASES.keys())
async def test_an_owner_that_does_not_answer_is_replaced(owner, other, replaced):
    """Guard against keeping a dead owner, and against a disconnected member that replaces it."""
    cell = Cell(peers=Peers(reaches={"owner": owner, "other": other}))
    running = asyncio.create_task(cell.monitor.run())
    await asyncio.sleep(OUTCOME_S)
    running.cancel()
    assert cell.replaced == replaced


async def test_one_unanswered_ping_does_not_change_the_owner():
    cell = Cell(peers=Peers(reaches={"owner": PingResult.SILENT, "other": PingResult.ANSWERED}))
    running = asyncio.create_task(cell.monitor.run())
    await cell.peers.pinged_once.wait()
    cell.peers.reaches["owner"] = PingResult.ANSWERED
    await asyncio.sleep(OUTCOME_S)
    running.cancel()
    assert cell.replaced == []


async def test_an_owner_that_has_been_replaced_meanwhile_is_not_replaced_again():
    """Guard against a second change of the owner after a planned stop."""
    cell = Cell(peers=Peers(reaches={"owner": PingResult.REFUSED, "other": PingResult.ANSWERED}))
    running = asyncio.create_task(cell.monitor.run())
    await cell.peers.pinged_once.wait()
    cell.owned_by("other", FENCE + 1)
    await asyncio.sleep(OUTCOME_S)
    running.cancel()
    assert cell.replaced == []


async def test_only_the_first_members_in_the_order_of_succession_ping_the_owner():
    """Guard against pings from all members, which would cost the owner more than scheduling."""
    cell = Cell(peers=Peers(reaches={"owner": PingResult.ANSWERED}))
    for number in range(MONITOR_COUNT):
        cell.view.members[f"later-{number}"] = member(f"later-{number}")
        cell.view.registered[f"later-{number}"] = 100 + number
    running = asyncio.create_task(cell.monitor.run())
    await asyncio.sleep(OUTCOME_S)
    running.cancel()
    assert cell.peers.pinged == []


async def pings_until_replaced(cell: Cell) -> int:
    """Return how many pings the owner misses before it is replaced."""
    running = asyncio.create_task(cell.monitor.run())
    async with asyncio.timeout(OUTCOME_S * 4):
        while not cell.replaced:  # noqa: ASYNC110 - set by another task
            await asyncio.sleep(PING_RETRY_INTERVAL_S)
    running.cancel()
    return cell.peers.pinged.count("owner")


MISSED_PINGS = {
    "old owner, unresponsive": (PingResult.SILENT, False, MAX_MISSED_PINGS),
    "new owner, unresponsive": (PingResult.SILENT, True, NEW_OWNER_MAX_MISSED_PINGS),
    "new owner, process has exited": (PingResult.REFUSED, True, MAX_MISSED_PINGS),
}


@pytest.mark.parametrize(
    ("owner", "is_new", "pings"), MISSED_PINGS.values(), ids=MISSED_PINGS.keys()
)
async def test_a_new_owner_may_miss_more_pings(owner, is_new, pings):
    """Guard against owners on busy processors that replace each other endlessly."""
    cell = Cell(peers=Peers(reaches={"owner": owner, "other": PingResult.ANSWERED}))
    cell.monitor.record_owner(cell.view.ownership)
    if is_new:
        cell.owned_by("owner", FENCE + 1)
    assert await pings_until_replaced(cell) == pings


async def test_an_owner_is_new_for_a_limited_period():
    """Guard against a dead owner that is kept for longer than necessary."""
    cell = Cell(peers=Peers(reaches={"owner": PingResult.SILENT, "other": PingResult.ANSWERED}))
    cell.monitor.clock = FakeClock()
    for fence in (FENCE, FENCE + 1):
        cell.owned_by("owner", fence)
        cell.monitor.record_owner(cell.view.ownership)
    assert cell.monitor.max_missed_pings() == NEW_OWNER_MAX_MISSED_PINGS
    await cell.monitor.clock.advance(NEW_OWNER_PERIOD_S)
    assert cell.monitor.max_missed_pings() == MAX_MISSED_PINGS


async def test_the_first_owner_after_a_vacancy_is_new():
    """Guard against replacing the first owner after a restart of all processes while it loads."""
    cell = Cell(peers=Peers(reaches={}))
    cell.monitor.record_owner(None)
    cell.monitor.record_owner(cell.view.ownership)
    assert cell.monitor.max_missed_pings() == NEW_OWNER_MAX_MISSED_PINGS


async def test_an_owner_that_has_loaded_the_jobs_is_not_new():
    """Guard against a frozen owner that is kept because its term began not long ago."""
    cell = Cell(peers=Peers(reaches={"owner": PingResult.ANSWERED, "other": PingResult.ANSWERED}))
    cell.monitor.record_owner(None)
    running = asyncio.create_task(cell.monitor.run())
    await cell.peers.pinged_once.wait()
    await asyncio.sleep(0)
    cell.peers.reaches["owner"] = PingResult.SILENT
    cell.peers.pinged.clear()
    await asyncio.sleep(OUTCOME_S)
    running.cancel()
    assert cell.replaced == [FENCE]
    assert cell.peers.pinged.count("owner") == MAX_MISSED_PINGS


@define
class SlowPeers(Peers):
    """Fake of connections on which the owner's answers take a while.

    :ivar clock: waits for an answer; without it an answer that comes in time arrives at once.
    """

    answer_s: float = 0.0
    clock: FakeClock | None = None

    async def ping(self, member, *, timeout_s):
        self.pinged.append(member.name)
        if member.name != "owner":
            return PingResult.ANSWERED
        if self.clock is not None:
            await self.clock.sleep(min(self.answer_s, timeout_s))
        return self.reaches["owner"] if timeout_s >= self.answer_s else PingResult.SILENT


@pytest.mark.parametrize(("is_new", "replaced"), [(True, []), (False, [FENCE])])
async def test_a_new_owner_that_answers_slowly_is_not_replaced(is_new, replaced):
    """Guard against an owner that is replaced while its link is busy with the jobs it loads."""
    cell = Cell(peers=SlowPeers(reaches={"owner": PingResult.LOADING}, answer_s=0.7))
    cell.monitor.record_owner(None if is_new else cell.view.ownership)
    running = asyncio.create_task(cell.monitor.run())
    await asyncio.sleep(OUTCOME_S)
    running.cancel()
    assert cell.replaced == replaced


ANSWER_TIMES = {
    "a healthy owner": ([0.04] * 5, PING_TIMEOUT_S),
    "a busy owner": ([0.04, 0.25], 0.75),
    "a very busy owner": ([0.04, 0.25, 0.6], MAX_PING_TIMEOUT_S),
    "an owner that is no longer busy": ([0.25] + [0.04] * 40, PING_TIMEOUT_S),
}


@pytest.mark.parametrize(("answers_s", "timeout_s"), ANSWER_TIMES.values(), ids=ANSWER_TIMES.keys())
async def test_a_ping_may_take_longer_if_recent_answers_did(answers_s, timeout_s):
    """Guard against replacing an owner with a busy link or processor by an equal process."""
    cell = Cell(peers=SlowPeers(reaches={"owner": PingResult.ANSWERED}))
    cell.monitor.clock = FakeClock()
    cell.peers.clock = cell.monitor.clock
    cell.monitor.record_owner(cell.view.ownership)
    running = asyncio.create_task(cell.monitor.run())
    for answer_s in answers_s:
        cell.peers.answer_s = answer_s
        await cell.monitor.clock.advance(2 * (PING_INTERVAL_S + MAX_PING_TIMEOUT_S))
    running.cancel()
    assert cell.replaced == []
    assert cell.monitor.ping_timeout_s() == pytest.approx(timeout_s)
    cell.owned_by("other", FENCE + 1)
    cell.monitor.record_owner(cell.view.ownership)
    assert cell.monitor.ping_timeout_s() == MAX_PING_TIMEOUT_S


def registered(name: str) -> KeyPut:
    key = keys.MEMBERS + name
    value = encode_member(member(name))
    return KeyPut(kv=KeyValue(key=key, value=value, mod_revision=9, create_revision=9))


def test_the_order_of_succession_is_computed_once_for_each_change_of_the_members(monkeypatch):
    """Guard against sorting all members several times a second in each process."""
    computed_for = []

    def counted(own, view):
        computed_for.append(own.name)
        return successors(own, view)

    monkeypatch.setattr(owner_monitor, "successors", counted)
    cell = Cell(peers=Peers(reaches={}))
    ownership = cell.view.ownership
    places = [cell.monitor.position(ownership) for _ in range(10)]
    assert len(set(places)) == len(computed_for) == 1
    cell.view.apply([registered("another")])
    cell.monitor.position(ownership)
    assert len(computed_for) == 2
    cell.owned_by("other", FENCE + 1)
    cell.monitor.position(cell.view.ownership)
    assert computed_for == ["owner", "owner", "other"]
