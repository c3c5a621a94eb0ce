"""Accept, look up and cancel clients' jobs by direct calls to the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, frozen

from rhubarbferry.cell import keys
from rhubarbferry.cell.accounts import may_access
from rhubarbferry.cell.job_calls import Accepted, Cancelled, PhaseUnknown
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.owner_calls import AcceptedJob
from rhubarbferry.cell.owner_client import OwnerClient
from rhubarbferry.dispatch.job import JobStatus
from rhubarbferry.dispatch.record import (
    JobRecord,
    RecordError,
    decode_status,
    encode_request,
    encode_status,
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

# Delay before retrying a write that the store rejected or did not answer.
RETRY_INTERVAL_S = 0.1
# Time before the client's deadline that a retry needs: for the store's answer and for the answer to
# the client. No retry is started later than this.
LAST_RETRY_MARGIN_S = 0.15


@define(kw_only=True, eq=False)
class DirectJobCalls:
    """Serve job calls directly from the store.

    No owner is required: any process can accept jobs at any time.

    :param owner: receives a notice of each new job, so that the job starts without delay.
    :param store_reachable: returns whether the store currently answers this process. If not, no
        calls are sent, because they would only fail: in an outage their number would grow,
        and each call to the store is charged.
    """

    clock: Clock
    store: TxnStore
    log: EventLog
    owner: OwnerClient
    store_reachable: Callable[[], bool]

    async def submit(self, record: JobRecord, *, deadline: float) -> Accepted:
        """Accept a job durably, or report whether it may have been accepted.

        The write is conditional on the job's state not existing, so it takes effect only once
        however often it is sent, and a second submission of the same id finds the first. An
        unanswered write may have taken effect, so it is retried until the store answers or the
        deadline is near.

        :param deadline: monotonic time by which the client must have its answer.
        """
        id = record.req.id
        txn = _AcceptTxn(id=id, value=encode_request(record), status=record.initial_status)
        fence = self.owner.fence()
        unclear = False
        reason = ""
        while True:
            try:
                self._check_store_reachable()
                result = await self.store.commit(txn.build(fence))
            except StoreError as exc:
                unclear = unclear or isinstance(exc, StoreUnclear)
                reason = str(exc)[:200]
            else:
                if isinstance(result, Conflict):
                    if not _already_accepted(id, result):
                        # The ownership has changed. The new owner reads the job from the store.
                        fence = 0
                        continue
                    if self._belongs_to_other(id, result, txn.status.account):
                        self.log.emit(
                            "job.not_accepted",
                            job=id,
                            account=txn.status.account or None,
                            reason="a job of another account has this id",
                            outcome="refused",
                        )
                        return Accepted.ID_TAKEN
                self._record_accepted(record, txn.value, result, fence)
                return Accepted.YES
            if not unclear:
                # Nothing was written. Retrying here would only use up the client's time.
                self.log.emit("job.not_accepted", job=id, reason=reason, outcome="refused")
                return Accepted.NO
            if self.clock.monotonic() + RETRY_INTERVAL_S + LAST_RETRY_MARGIN_S >= deadline:
                self.log.emit("job.not_accepted", job=id, reason=reason, outcome="unclear")
                return Accepted.UNCLEAR
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _belongs_to_other(self, id: str, conflict: Conflict, account: str) -> bool:
        """Return whether a job that was accepted before belongs to another account."""
        item = conflict.items.get(keys.STATES + id) or conflict.items[keys.ENDED + id]
        try:
            return decode_status(item.value).account != account
        except RecordError as exc:
            self.log.emit("job.unreadable", job=id, reason=str(exc)[:200])
            return False

    def _record_accepted(
        self, record: JobRecord, value: bytes, result: Committed | Conflict, fence: int
    ) -> None:
        id = record.req.id
        revision = None
        if isinstance(result, Committed):
            revision = result.revision
            if fence:
                job = AcceptedJob(id=id, record=value, revision=revision, fence=fence)
                self.owner.notify_accepted(job)
        self.log.emit(
            "job.accepted",
            job=id,
            queue=record.queue.name,
            account=record.initial_status.account or None,
            revision=revision,
            fence=fence,
            outcome="known already" if revision is None else "new",
        )

    async def status(self, id: str) -> JobStatus | None:
        """Return the status of a job, or ``None`` when there is no such job."""
        try:
            self._check_store_reachable()
            return await self._read_status(id)
        except StoreError as exc:
            raise PhaseUnknown(str(exc)[:200]) from exc

    async def cancel(self, id: str, *, account: str | None, deadline: float) -> Cancelled:
        """Record the cancellation of a job; the owner of the cell reads it from the store."""
        while True:
            try:
                self._check_store_reachable()
                status = await self._read_status(id)
                if status is None or not may_access(account, status):
                    return Cancelled.UNKNOWN_JOB
                if not status.phase.final:
                    await self.store.commit(self._cancel_txn(id))
                self.log.emit(
                    "job.cancel_accepted", job=id, phase=status.phase.value, outcome="yes"
                )
                return Cancelled.YES
            except StoreError as exc:
                reason = str(exc)[:200]
            if self.clock.monotonic() + RETRY_INTERVAL_S + LAST_RETRY_MARGIN_S >= deadline:
                self.log.emit("job.cancel_accepted", job=id, reason=reason, outcome="no")
                return Cancelled.NOT_NOW
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _check_store_reachable(self) -> None:
        if not self.store_reachable():
            raise StoreUnavailable("the store does not currently answer this process")

    def _cancel_txn(self, id: str) -> Txn:
        return Txn(put=(Put(key=keys.CANCELS + id, value=b"{}"),))

    async def _read_status(self, id: str) -> JobStatus | None:
        # A job that ends between the two reads is found by the second one.
        for prefix in (keys.STATES, keys.ENDED):
            item = await self.store.get(prefix + id)
            if item is not None:
                return decode_status(item.value)
        return None


def _already_accepted(id: str, conflict: Conflict) -> bool:
    return keys.STATES + id in conflict.items or keys.ENDED + id in conflict.items


@frozen(kw_only=True, slots=True)
class _AcceptTxn:
    """Build the transaction that accepts a job.

    :param value: stored value of its request.
    :param status: status that it begins with.
    """

    id: str
    value: bytes
    status: JobStatus

    def build(self, fence: int) -> Txn:
        """Return the transaction.

        :param fence: fence of the ownership that must be in force, so that its owner may start the
            job from a notice; 0 for any ownership or none.
        """
        expect = [
            Expect(key=keys.STATES + self.id, revision=0),
            Expect(key=keys.ENDED + self.id, revision=0),
        ]
        if fence:
            expect.append(Expect(key=keys.OWNER, revision=fence))
        return Txn(
            expect=tuple(expect),
            put=(
                Put(key=keys.STATES + self.id, value=encode_status(self.status)),
                Put(key=keys.JOBS + self.id, value=self.value),
            ),
        )
