"""What a process does when the owner of the work does not answer."""

from __future__ import annotations

import asyncio

import pytest
from attrs import Factory, define

from rhubarbferry.cell import keys, owner_watch
from rhubarbferry.cell.members import CellView, Ownership, encode_member, successors
from rhubarbferry.cell.owner_watch import (
    AGAIN_S,
    MISSES,
    NEW_OWNER_MISSES,
    NEW_OWNER_S,
    WATCHERS,
    OwnerWatch,
)
from rhubarbferry.cell.peers import Reach
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import KeyPut, KeyValue
from rhubarbferry.test.fake_clock import FakeClock

from .parts import Lines, member

FENCE = 5
# Longer than the attempts to connect and the turns of three processes together.
DECIDED_S = 1.0


@define
class Peers:
    """Stands in for connections to other processes."""

    reaches: dict[str, Reach]
    pinged: list[str] = Factory(list)
    asked: asyncio.Event = Factory(asyncio.Event)

    async def ping(self, member, *, timeout_s):
        self.pinged.append(member.name)
        self.asked.set()
        return self.reaches[member.name]


@define
class Cell:
    """One process beside an owner and another process."""

    peers: Peers
    view: CellView = Factory(CellView)
    replaced: list[int] = Factory(list)
    watch: OwnerWatch = None

    def __attrs_post_init__(self) -> None:
        for name in ("own", "owner", "other"):
            self.view.members[name] = member(name)
        self.owned_by("owner", FENCE)
        self.watch = OwnerWatch(
            clock=SystemClock(),
            log=Lines(),
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
    "its process has ended": (Reach.REFUSED, Reach.ANSWERED, [FENCE]),
    "its host has lost its power": (Reach.SILENT, Reach.ANSWERED, [FENCE]),
    "it is well": (Reach.ANSWERED, Reach.ANSWERED, []),
    "this process is cut off from all": (Reach.SILENT, Reach.SILENT, []),
    "nobody may connect to anybody": (Reach.REFUSED, Reach.REFUSED, []),
}


@pytest.mark.parametrize(("owner", "other", "replaced"), CASES.values(), ids=CASES.keys())
async def test_an_owner_that_does_not_answer_is_replaced(owner, other, replaced):
    """Guards against a dead owner that stays, and a live one replaced by one that is cut off."""
    cell = Cell(peers=Peers(reaches={"owner": owner, "other": other}))
    running = asyncio.create_task(cell.watch.run())
    await asyncio.sleep(DECIDED_S)
    running.cancel()
    assert cell.replaced == replaced


async def test_one_lost_answer_does_not_change_the_owner():
    cell = Cell(peers=Peers(reaches={"owner": Reach.SILENT, "other": Reach.ANSWERED}))
    running = asyncio.create_task(cell.watch.run())
    await cell.peers.asked.wait()
    cell.peers.reaches["owner"] = Reach.ANSWERED
    await asyncio.sleep(DECIDED_S)
    running.cancel()
    assert cell.replaced == []


async def test_an_owner_that_was_replaced_meanwhile_is_left_alone():
    """Guards against a second change of the owner after a planned stop."""
    cell = Cell(peers=Peers(reaches={"owner": Reach.REFUSED, "other": Reach.ANSWERED}))
    running = asyncio.create_task(cell.watch.run())
    await cell.peers.asked.wait()
    cell.owned_by("other", FENCE + 1)
    await asyncio.sleep(DECIDED_S)
    running.cancel()
    assert cell.replaced == []


async def test_only_the_first_in_the_order_of_succession_ask():
    """Did all of many processes ping the owner, they would cost it more than its work."""
    cell = Cell(peers=Peers(reaches={"owner": Reach.ANSWERED}))
    for number in range(WATCHERS):
        cell.view.members[f"later-{number}"] = member(f"later-{number}")
        cell.view.registered[f"later-{number}"] = 100 + number
    running = asyncio.create_task(cell.watch.run())
    await asyncio.sleep(DECIDED_S)
    running.cancel()
    assert cell.peers.pinged == []


async def pings_until_replaced(cell: Cell) -> int:
    """Return how many pings the owner leaves unanswered before it is replaced."""
    running = asyncio.create_task(cell.watch.run())
    async with asyncio.timeout(DECIDED_S * 4):
        while not cell.replaced:  # noqa: ASYNC110 - set by another task
            await asyncio.sleep(AGAIN_S)
    running.cancel()
    return cell.peers.pinged.count("owner")


BEGUN = {
    "long ago and it is silent": (Reach.SILENT, False, MISSES),
    "just now and it is silent": (Reach.SILENT, True, NEW_OWNER_MISSES),
    "just now and its process has ended": (Reach.REFUSED, True, MISSES),
}


@pytest.mark.parametrize(("owner", "is_new", "pings"), BEGUN.values(), ids=BEGUN.keys())
async def test_an_owner_that_has_just_begun_may_be_silent_for_longer(owner, is_new, pings):
    """Guards against owners on busy processors that replace each other without end."""
    cell = Cell(peers=Peers(reaches={"owner": owner, "other": Reach.ANSWERED}))
    cell.watch.note_owner(cell.view.ownership)
    if is_new:
        cell.owned_by("owner", FENCE + 1)
    assert await pings_until_replaced(cell) == pings


async def test_an_owner_is_new_for_a_while_only():
    """Guards against a dead owner that stays for longer than it has to."""
    cell = Cell(peers=Peers(reaches={"owner": Reach.SILENT, "other": Reach.ANSWERED}))
    cell.watch.clock = FakeClock()
    for fence in (FENCE, FENCE + 1):
        cell.owned_by("owner", fence)
        cell.watch.note_owner(cell.view.ownership)
    assert cell.watch.patience() == NEW_OWNER_MISSES
    await cell.watch.clock.advance(NEW_OWNER_S)
    assert cell.watch.patience() == MISSES


def registered(name: str) -> KeyPut:
    key = keys.MEMBERS + name
    value = encode_member(member(name))
    return KeyPut(kv=KeyValue(key=key, value=value, mod_revision=9, create_revision=9))


def test_the_order_of_succession_is_found_once_for_each_change_of_the_members(monkeypatch):
    """Guards against work that each process does several times a second for each member."""
    found = []

    def counted(own, view):
        found.append(own.name)
        return successors(own, view)

    monkeypatch.setattr(owner_watch, "successors", counted)
    cell = Cell(peers=Peers(reaches={}))
    ownership = cell.view.ownership
    places = [cell.watch.place(ownership) for _ in range(10)]
    assert len(set(places)) == len(found) == 1
    cell.view.apply([registered("another")])
    cell.watch.place(ownership)
    assert len(found) == 2
    cell.owned_by("other", FENCE + 1)
    cell.watch.place(cell.view.ownership)
    assert found == ["owner", "owner", "other"]
