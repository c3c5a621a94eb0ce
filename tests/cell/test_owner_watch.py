"""What a process does when the owner of the work does not answer."""

from __future__ import annotations

import asyncio

import pytest
from attrs import Factory, define

from rhubarbferry.cell.members import CellView, Ownership
from rhubarbferry.cell.owner_watch import (
    AGAIN_S,
    MISSES,
    MOST_DOUBLINGS,
    RECENT_CHANGE_S,
    WATCHERS,
    OwnerWatch,
)
from rhubarbferry.cell.peers import Reach
from rhubarbferry.ports.clock import SystemClock
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


RECENT_CHANGES = {
    "none and it is silent": (Reach.SILENT, 0, MISSES),
    "one and it is silent": (Reach.SILENT, 1, 2 * MISSES),
    "two and it is silent": (Reach.SILENT, 2, 4 * MISSES),
    "many and it is silent": (Reach.SILENT, 9, MISSES * 2**MOST_DOUBLINGS),
    "many and its process has ended": (Reach.REFUSED, 9, MISSES),
}


@pytest.mark.parametrize(
    ("owner", "changes", "pings"), RECENT_CHANGES.values(), ids=RECENT_CHANGES.keys()
)
async def test_an_owner_that_has_just_begun_may_be_silent_for_longer(owner, changes, pings):
    """Guards against owners on busy processors that replace each other without end."""
    cell = Cell(peers=Peers(reaches={"owner": Reach.ANSWERED, "other": Reach.ANSWERED}))
    cell.watch.note_owner(cell.view.ownership)
    for number in range(changes):
        cell.owned_by("owner", FENCE + 1 + number)
        cell.watch.note_owner(cell.view.ownership)
    cell.peers.reaches["owner"] = owner
    assert await pings_until_replaced(cell) == pings


async def test_changes_of_long_ago_are_forgotten():
    """Guards against a dead owner that stays for long after a calm time."""
    cell = Cell(peers=Peers(reaches={"owner": Reach.SILENT, "other": Reach.ANSWERED}))
    cell.watch.clock = FakeClock()
    for number in range(MOST_DOUBLINGS + 1):
        cell.watch.note_owner(Ownership(owner=member("owner"), fence=number + 1, lease_id=1))
    await cell.watch.clock.advance(RECENT_CHANGE_S + 1.0)
    assert cell.watch.patience() == MISSES
