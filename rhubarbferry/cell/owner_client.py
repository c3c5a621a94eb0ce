"""Send notifications and queries to the owner of the cell without a call to the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from prometheus_client import Counter

from rhubarbferry.cell.members import CellView, Member
from rhubarbferry.cell.owner_calls import AcceptedJob, OwnerCalls
from rhubarbferry.cell.peers import NoReply, PeerClient
from rhubarbferry.dispatch.admission import LoadSummary
from rhubarbferry.dispatch.job import JobStatus
from rhubarbferry.ports.clock import Clock

OWNER_REQUESTS = Counter("rhubarbferry_owner_questions_total", "Requests to the owner", ["outcome"])

# A queue's pending count is cached for this long. Clients accept a count that is up to 2 s old.
PENDING_COUNT_TTL_S = 0.4
# Timeout of a query to the owner. After a timeout the owner is not queried again for the backoff
# time: each client would wait for it in vain before the store is read.
OWNER_TIMEOUT_S = 0.2
OWNER_BACKOFF_S = 1.0


@define(kw_only=True, eq=False)
class OwnerClient:
    """Calls the owner of the cell, in this process or in another one.

    :param term: returns this process's own term of ownership, ``None`` if it is not the owner.
    """

    clock: Clock
    own: Member
    view: CellView
    peers: PeerClient
    term: Callable[[], OwnerCalls | None]
    _pending_counts: dict[str, tuple[float, int]] = field(factory=dict)
    _notifications: set[asyncio.Task[None]] = field(factory=set)
    _unresponsive_fence: int = 0
    _retry_at: float = 0.0

    def fence(self) -> int:
        """Return the fence of the last known ownership, 0 if none; a later one may be in force."""
        return self.view.ownership.fence if self.view.ownership is not None else 0

    def notify_accepted(self, job: AcceptedJob) -> None:
        """Notify the owner of an accepted job, without waiting for the reply.

        The owner also watches the store and finds the job there in any case. The notification
        lets it start the job at once, so its watch may collect many jobs in one call instead of
        one call for each job.
        """
        ownership = self.view.ownership
        if ownership is None or ownership.fence != job.fence:
            return
        term = self.term()
        if term is not None:
            term.add_accepted(job)
        elif ownership.owner.name != self.own.name:
            notification = asyncio.create_task(self._notify(ownership.owner, job))
            self._notifications.add(notification)
            notification.add_done_callback(self._notifications.discard)

    async def _notify(self, owner: Member, job: AcceptedJob) -> None:
        taken = await self.peers.job_accepted(owner, job)
        OWNER_REQUESTS.labels("notified" if taken else "not notified").inc()

    def own_load(self) -> LoadSummary | None:
        """Return the summary of the load if this process is the owner and has one."""
        term = self.term()
        return term.load.latest if term is not None else None

    async def knows(self, id: str) -> bool | None:
        """Return whether the owner knows a job, ``None`` if it can't tell."""
        term = self.term()
        if term is not None:
            return term.knows(id)
        ownership = self.view.ownership
        if ownership is None or ownership.owner.name == self.own.name:
            return None
        return await self.peers.job_known(ownership.owner, id, timeout_s=OWNER_TIMEOUT_S)

    async def status(self, id: str) -> JobStatus | None:
        """Return the status of a job from the owner, or ``None`` if the owner can't report it."""
        term = self.term()
        if term is not None:
            return term.status(id)
        ownership = self.view.ownership
        if ownership is None or ownership.owner.name == self.own.name:
            return None
        now = self.clock.monotonic()
        if ownership.fence == self._unresponsive_fence and now < self._retry_at:
            return None
        reply = await self.peers.owned_status(ownership.owner, id, timeout_s=OWNER_TIMEOUT_S)
        if isinstance(reply, NoReply):
            self._unresponsive_fence = ownership.fence
            self._retry_at = now + OWNER_BACKOFF_S
            OWNER_REQUESTS.labels("no answer").inc()
            return None
        OWNER_REQUESTS.labels("not known" if reply is None else "known").inc()
        return reply

    async def pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not started, or ``None`` if unknown."""
        term = self.term()
        count = term.pending(queue) if term is not None else None
        if count is not None:
            return count
        now = self.clock.monotonic()
        cached = self._pending_counts.get(queue)
        if cached is not None and now - cached[0] < PENDING_COUNT_TTL_S:
            return cached[1]
        ownership = self.view.ownership
        if ownership is None:
            return None
        count = await self.peers.pending(ownership.owner, queue)
        if count is not None:
            self._pending_counts[queue] = (now, count)
        return count
