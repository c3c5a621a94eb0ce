"""Notices and questions to the owner of the work, without a call to the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from prometheus_client import Counter

from rhubarbferry.cell.members import CellView, Member
from rhubarbferry.cell.owned_work import AcceptedJob, OwnedWork
from rhubarbferry.cell.peers import PeerClient, Silence
from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.ports.clock import Clock

ASKED = Counter("rhubarbferry_owner_questions_total", "Questions to the owner", ["outcome"])

# A count is asked of the owner at most this often for each queue; it may be 2 s old.
PENDING_AGE_S = 0.4
# An owner that does not answer in time is not asked again for a while: each client would wait for
# it in vain before the store is read.
OWNER_S = 0.2
OWNER_PAUSE_S = 1.0


@define(kw_only=True, eq=False)
class OwnerLink:
    """The way to the owner, in this process or another.

    :param term: this process's own term of ownership, while there is one.
    """

    clock: Clock
    own: Member
    view: CellView
    peers: PeerClient
    term: Callable[[], OwnedWork | None]
    _counts: dict[str, tuple[float, int]] = field(factory=dict)
    _notices: set[asyncio.Task[None]] = field(factory=set)
    _silent_fence: int = 0
    _ask_after: float = 0.0

    def fence(self) -> int:
        """Return the ownership that this process knows of, 0 for none; another may be in force."""
        return self.view.ownership.fence if self.view.ownership is not None else 0

    def accepted(self, job: AcceptedJob) -> None:
        """Tell the owner of a job, without waiting.

        The owner follows the store and sees the job there in any case. Notified at once, it starts
        the job while its own watch may take its time: one call for many jobs in place of one
        for each.
        """
        ownership = self.view.ownership
        if ownership is None or ownership.fence != job.fence:
            return
        term = self.term()
        if term is not None:
            term.accepted(job)
        elif ownership.owner.name != self.own.name:
            notice = asyncio.create_task(self._tell(ownership.owner, job))
            self._notices.add(notice)
            notice.add_done_callback(self._notices.discard)

    async def _tell(self, owner: Member, job: AcceptedJob) -> None:
        taken = await self.peers.job_accepted(owner, job)
        ASKED.labels("notified" if taken else "not notified").inc()

    async def phase(self, id: str) -> JobPhase | None:
        """Return the phase of a job as the owner knows it, or ``None`` when it can't say."""
        term = self.term()
        if term is not None:
            return term.phase(id)
        ownership = self.view.ownership
        if ownership is None or ownership.owner.name == self.own.name:
            return None
        now = self.clock.monotonic()
        if ownership.fence == self._silent_fence and now < self._ask_after:
            return None
        found = await self.peers.owned_phase(ownership.owner, id, timeout_s=OWNER_S)
        if isinstance(found, Silence):
            self._silent_fence = ownership.fence
            self._ask_after = now + OWNER_PAUSE_S
            ASKED.labels("no answer").inc()
            return None
        ASKED.labels("not known" if found is None else "known").inc()
        return found

    async def pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not begun, or ``None`` when nobody can say."""
        term = self.term()
        count = term.pending(queue) if term is not None else None
        if count is not None:
            return count
        now = self.clock.monotonic()
        known = self._counts.get(queue)
        if known is not None and now - known[0] < PENDING_AGE_S:
            return known[1]
        ownership = self.view.ownership
        if ownership is None:
            return None
        count = await self.peers.pending(ownership.owner, queue)
        if count is not None:
            self._counts[queue] = (now, count)
        return count
