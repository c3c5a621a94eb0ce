"""Find out soon when the process that owns the work has died or stands still."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field

from rhubarbferry.cell.candidate import TURN_S
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.members import CellView, Member, Ownership, successors
from rhubarbferry.cell.peers import PeerClient, Reach
from rhubarbferry.ports.clock import Clock

# Between two pings of the owner.
PING_S = 0.25
# A round trip between regions, and time for a busy process.
PING_TIMEOUT_S = 0.3
# After a ping without an answer, before the next.
AGAIN_S = 0.05
# So many pings in a row without an answer: one may be lost with its connection.
MISSES = 2
# An owner that has begun within this time may leave so many pings unanswered.
NEW_OWNER_S = 2.0
NEW_OWNER_MISSES = 4
# So many processes watch the owner, the first ones in the order of succession.
WATCHERS = 3
# How many others are asked, to see that it is not this process that is cut off.
OTHERS_ASKED = 2


@define(kw_only=True, eq=False)
class OwnerWatch:
    """Pings the owner, and replaces its key when it does not answer.

    The key of an owner that was killed, lost its power or stands still stays until its lease has
    ended. No task starts for 1.2 to 1.5 s then; found by pings, that is 0.3 s for one that was
    killed, whose host refuses connections, and 0.6 to 0.9 s for a silent one. No proof of its
    death is needed: the work may be taken from a live owner too, which costs one change of the
    owner that was not due.

    :param replace: takes the work from the given owner; returns whether that is done.
    """

    clock: Clock
    log: EventLog
    own: Member
    view: CellView
    peers: PeerClient
    replace: Callable[[Ownership], Awaitable[bool]]
    _fence: int = 0
    _changed_at: float = float("-inf")
    _watchers: list[str] = field(factory=list)
    _watchers_of: tuple[int, int] | None = None

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            ownership = self.view.ownership
            self.note_owner(ownership)
            place = self.place(ownership) if ownership is not None else None
            if ownership is None or place is None:
                await self.clock.sleep(PING_S)
            elif await self._is_gone(ownership):
                await self._replace(ownership, place)

    def place(self, ownership: Ownership) -> int | None:
        """Return this process's place among those that watch, ``None`` when it does not."""
        # Each process asks several times a second, and the order takes longer to find the more
        # members there are.
        seen = (ownership.fence, self.view.version)
        if seen != self._watchers_of:
            self._watchers_of = seen
            found = successors(ownership.owner, self.view)[:WATCHERS]
            self._watchers = [member.name for member in found]
        return self._watchers.index(self.own.name) if self.own.name in self._watchers else None

    def note_owner(self, ownership: Ownership | None) -> None:
        """Note when the owner has changed."""
        if ownership is None or ownership.fence == self._fence:
            return
        if self._fence:
            self._changed_at = self.clock.monotonic()
        self._fence = ownership.fence

    def patience(self) -> int:
        """Return how many pings in a row a silent owner may leave unanswered.

        One that has just begun reads a backlog and connects to all hosts, and on a busy processor
        it is slow to answer meanwhile. Replaced each time for that, one owner after the other would
        begin and none would ever get to work.
        """
        is_new = self.clock.monotonic() - self._changed_at < NEW_OWNER_S
        return NEW_OWNER_MISSES if is_new else MISSES

    async def _is_gone(self, ownership: Ownership) -> bool:
        """Return whether the owner has stopped to answer; ask it once where it does."""
        refused = unanswered = 0
        while refused < MISSES and unanswered < self.patience():
            match await self._ping(ownership.owner):
                case Reach.ANSWERED:
                    await self.clock.sleep(PING_S)
                    return False
                case Reach.REFUSED:
                    refused += 1
            unanswered += 1
            await self.clock.sleep(AGAIN_S)
            if self.view.ownership is None or self.view.ownership.fence != ownership.fence:
                return False
        return await self._another_answers(ownership.owner)

    async def _another_answers(self, owner: Member) -> bool:
        names = (owner.name, self.own.name)
        others = [m for m in self.view.members.values() if m.name not in names][:OTHERS_ASKED]
        found = await asyncio.gather(*(self._ping(member) for member in others))
        return not others or Reach.ANSWERED in found

    async def _ping(self, member: Member) -> Reach:
        return await self.peers.ping(member, timeout_s=PING_TIMEOUT_S)

    async def _replace(self, ownership: Ownership, place: int) -> None:
        await self.clock.sleep(place * TURN_S)
        if self.view.ownership is None or self.view.ownership.fence != ownership.fence:
            return
        taken = await self.replace(ownership)
        self.log.emit(
            "owner.found_silent",
            owner=ownership.owner.name,
            fence=ownership.fence,
            outcome="replaced" if taken else "left to others",
        )
