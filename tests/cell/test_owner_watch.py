"""What a process does when its connection to the owner ends."""

from __future__ import annotations

import asyncio

import pytest
from attrs import Factory, define

from rhubarbferry.cell.members import CellView, Ownership
from rhubarbferry.cell.owner_watch import OwnerWatch
from rhubarbferry.cell.peers import Reach
from rhubarbferry.ports.clock import SystemClock

from .parts import Lines, member

FENCE = 5
# Longer than the attempts to connect and the turns of three processes together.
DECIDED_S = 1.0


@define
class Peers:
    """Stands in for connections to other processes."""

    reaches: dict[str, Reach]
    lost: asyncio.Event = Factory(asyncio.Event)

    async def until_lost(self, member):
        await self.lost.wait()

    async def reach(self, member):
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

    async def replace(self, fence: int) -> bool:
        self.replaced.append(fence)
        self.owned_by("own", fence + 1)
        return True


CASES = {
    "its process has ended": (Reach.REFUSED, Reach.CONNECTED, [FENCE]),
    "only the connection was reset": (Reach.CONNECTED, Reach.CONNECTED, []),
    "its host is silent": (Reach.SILENT, Reach.CONNECTED, []),
    "this process is cut off from all": (Reach.REFUSED, Reach.REFUSED, []),
}


@pytest.mark.parametrize(("owner", "other", "replaced"), CASES.values(), ids=CASES.keys())
async def test_an_owner_is_replaced_only_when_its_process_has_ended(owner, other, replaced):
    """The process that owns the work is killed. Nobody starts a task until its lease has ended,
    unless the others see that nothing listens at its address any more. A connection that is
    merely reset, or a cut of this process, is no reason to change the owner."""
    cell = Cell(peers=Peers(reaches={"owner": owner, "other": other}))
    running = asyncio.create_task(cell.watch.run())
    cell.peers.lost.set()
    await asyncio.sleep(DECIDED_S)
    running.cancel()
    assert cell.replaced == replaced


async def test_nobody_is_replaced_who_is_not_the_owner_any_more():
    """A former owner stops as planned after it has handed over. Were its key taken for the present
    one's, each planned stop would change the owner twice."""
    reaches = {"owner": Reach.REFUSED, "other": Reach.CONNECTED}
    cell = Cell(peers=Peers(reaches=reaches))
    running = asyncio.create_task(cell.watch.run())
    await asyncio.sleep(0)
    cell.owned_by("other", FENCE + 1)
    await asyncio.sleep(DECIDED_S)
    cell.peers.reaches = reaches
    running.cancel()
    assert cell.replaced == []
