"""Accept, look up and cancel jobs for clients, straight in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define

from rhubarbferry.cell import keys
from rhubarbferry.cell.job_calls import Accepted, Cancelled, PhaseUnknown
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.owned_work import AcceptedJob
from rhubarbferry.cell.owner_link import OwnerLink
from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.record import (
    JobRecord,
    decode_phase,
    encode_phase,
    encode_request,
)
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import (
    Committed,
    Conflict,
    Expect,
    Put,
    StoreError,
    StoreUnavailable,
    StoreUnclear,
    Txn,
    TxnStore,
)

# Between two tries of a write that the store did not answer or turned away.
RETRY_S = 0.1
# The last try must leave time for its answer and for ours.
LAST_TRY_S = 0.15


@define(kw_only=True, eq=False)
class Acceptance:
    """Clients' jobs in the store. It needs no owner: any process accepts at any time.

    :param owner: notified of each new job, so that it starts at once.
    :param reached: whether the store answers this process now. While it does not, calls
        that would only fail are not sent: in an outage they would multiply, and be paid for.
    """

    clock: Clock
    store: TxnStore
    log: EventLog
    owner: OwnerLink
    reached: Callable[[], bool]

    async def submit(self, record: JobRecord, *, deadline: float) -> Accepted:
        """Accept a job for good, or say truthfully what is known.

        The write creates the job's state, so that it takes effect once however often it is
        sent, and a second submission of the same id finds the first. It is sent again while
        there is time: only an answer tells whether an unanswered write has taken effect.

        :param deadline: monotonic time by which the client must have its answer.
        """
        id = record.req.id
        value = encode_request(record)
        fence = self.owner.fence()
        unclear = False
        reason = ""
        while True:
            try:
                self._check_reached()
                result = await self.store.commit(_acceptance(id, value, fence))
            except StoreError as exc:
                unclear = unclear or isinstance(exc, StoreUnclear)
                reason = str(exc)[:200]
            else:
                if isinstance(result, Conflict) and not _is_known(id, result):
                    # Not the owner that this process knows. Its successor finds the job by itself.
                    fence = 0
                    continue
                self._accepted(record, value, result, fence)
                return Accepted.YES
            if not unclear:
                # Nothing was written, and waiting would only use up the client's time.
                self.log.emit("job.not_accepted", job=id, reason=reason, outcome="refused")
                return Accepted.NO
            if self.clock.monotonic() + RETRY_S + LAST_TRY_S >= deadline:
                self.log.emit("job.not_accepted", job=id, reason=reason, outcome="unclear")
                return Accepted.UNCLEAR
            await asyncio.sleep(RETRY_S)

    def _accepted(
        self, record: JobRecord, value: bytes, result: Committed | Conflict, fence: int
    ) -> None:
        id = record.req.id
        revision = None
        if isinstance(result, Committed):
            revision = result.revision
            if fence:
                job = AcceptedJob(id=id, record=value, revision=revision, fence=fence)
                self.owner.accepted(job)
        self.log.emit(
            "job.accepted",
            job=id,
            queue=record.queue.name,
            revision=revision,
            fence=fence,
            outcome="known already" if revision is None else "new",
        )

    async def phase(self, id: str) -> JobPhase | None:
        """Return the phase of a job, or ``None`` when there is no such job."""
        try:
            self._check_reached()
            return await self._read(id)
        except StoreError as exc:
            raise PhaseUnknown(str(exc)[:200]) from exc

    async def cancel(self, id: str, *, deadline: float) -> Cancelled:
        """Record that a job is to be stopped; the owner of the work sees it there."""
        while True:
            try:
                self._check_reached()
                phase = await self._read(id)
                if phase is None:
                    return Cancelled.UNKNOWN_JOB
                if not phase.final:
                    await self.store.commit(self._cancellation(id))
                self.log.emit("job.cancel_accepted", job=id, phase=phase.value, outcome="yes")
                return Cancelled.YES
            except StoreError as exc:
                reason = str(exc)[:200]
            if self.clock.monotonic() + RETRY_S + LAST_TRY_S >= deadline:
                self.log.emit("job.cancel_accepted", job=id, reason=reason, outcome="no")
                return Cancelled.NOT_NOW
            await asyncio.sleep(RETRY_S)

    def _check_reached(self) -> None:
        if not self.reached():
            raise StoreUnavailable("the store does not answer this process now")

    def _cancellation(self, id: str) -> Txn:
        return Txn(put=(Put(key=keys.CANCELS + id, value=b"{}"),))

    async def _read(self, id: str) -> JobPhase | None:
        # In this order: a job that ends between the two reads is found by the second.
        for prefix in (keys.STATES, keys.ENDED):
            item = await self.store.get(prefix + id)
            if item is not None:
                return decode_phase(item.value)
        return None


def _is_known(id: str, conflict: Conflict) -> bool:
    return keys.STATES + id in conflict.items or keys.ENDED + id in conflict.items


def _acceptance(id: str, value: bytes, fence: int) -> Txn:
    """Return the transaction that accepts a job.

    :param fence: the ownership that must be in force, so that its holder may take the job
        as its own; 0 for any.
    """
    expect = [
        Expect(key=keys.STATES + id, revision=0),
        Expect(key=keys.ENDED + id, revision=0),
    ]
    if fence:
        expect.append(Expect(key=keys.OWNER, revision=fence))
    return Txn(
        expect=tuple(expect),
        put=(
            Put(key=keys.STATES + id, value=encode_phase(JobPhase.QUEUED)),
            Put(key=keys.JOBS + id, value=value),
        ),
    )
