"""Find out at once when the process that owns the work has died."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define

from rhubarbferry.cell.candidate import TURN_S
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.members import CellView, Member, Ownership, rank
from rhubarbferry.cell.peers import PeerClient, Reach
from rhubarbferry.ports.clock import Clock

# Between two looks at who owns the work.
LOOK_S = 0.3
# A process is taken for dead when this many attempts to connect to it are refused in a row.
REFUSALS = 2
REFUSALS_APART_S = 0.05
# How many others are tried, to see that it is not this process that is cut off.
OTHERS_TRIED = 2


@define(kw_only=True, eq=False)
class OwnerWatch:
    """Watches the connection to the owner, and replaces its key once the process is gone.

    A killed owner's key stays until its lease has ended, 1.2 to 1.5 s in which no task starts.
    Its connections break at once, though, and nothing listens at its address any more. That is
    no proof: a broken network may refuse connections as well. None is needed, since a key may be
    replaced under a live owner too; it only costs a change of the owner that was not due.

    :param replace: writes this process's own key in place of that of the given revision.
    """

    clock: Clock
    log: EventLog
    own: Member
    view: CellView
    peers: PeerClient
    replace: Callable[[int], Awaitable[bool]]

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            ownership = self.view.ownership
            if ownership is not None and await self._has_died(ownership):
                await self._replace_in_turn(ownership)
            await self.clock.sleep(LOOK_S)

    async def _has_died(self, ownership: Ownership) -> bool:
        if ownership.owner.name == self.own.name:
            return False
        return await self._lost(ownership) and await self._is_dead(ownership)

    async def _lost(self, ownership: Ownership) -> bool:
        """Return whether the connection to the owner has ended, once it has or it owns no more."""
        lost = asyncio.create_task(self.peers.until_lost(ownership.owner))
        try:
            while not lost.done() and self.view.ownership == ownership:
                await asyncio.wait({lost}, timeout=LOOK_S)
            return lost.done()
        finally:
            lost.cancel()

    async def _is_dead(self, ownership: Ownership) -> bool:
        for _ in range(REFUSALS):
            if await self.peers.reach(ownership.owner) is not Reach.REFUSED:
                return False
            await self.clock.sleep(REFUSALS_APART_S)
        return await self._reaches_another(ownership.owner)

    async def _reaches_another(self, owner: Member) -> bool:
        others = [m for m in self._others() if m.name != owner.name][:OTHERS_TRIED]
        found = await asyncio.gather(*(self.peers.reach(member) for member in others))
        return not others or Reach.CONNECTED in found

    async def _replace_in_turn(self, ownership: Ownership) -> None:
        own = self.view.members.get(self.own.name, self.own)
        candidates = [m for m in self._others() if m.name != ownership.owner.name]
        place = rank(own, candidates, seed=ownership.fence)
        await self.clock.sleep(place * TURN_S)
        if self.view.ownership is None or self.view.ownership.fence != ownership.fence:
            return
        taken = await self.replace(ownership.fence)
        self.log.emit(
            "owner.found_dead",
            owner=ownership.owner.name,
            fence=ownership.fence,
            outcome="replaced" if taken else "left to others",
        )

    def _others(self) -> list[Member]:
        return [m for m in self.view.members.values() if m.name != self.own.name]
