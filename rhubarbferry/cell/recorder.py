"""Write the states of jobs to the store; hosts keep the ends of tasks until then."""

from __future__ import annotations

import asyncio
import contextlib

from attrs import define, frozen
from prometheus_client import Counter, Histogram

from rhubarbferry.cell import keys
from rhubarbferry.cell.term_context import EndSignal, OwnershipLost, TermContext
from rhubarbferry.dispatch.job import Job
from rhubarbferry.dispatch.record import encode_state
from rhubarbferry.ports.store import (
    Committed,
    Conflict,
    Expect,
    Put,
    StoreError,
    StoreRateLimited,
    Txn,
)

STATES_RECORDED = Counter("rhubarbferry_job_states_recorded_total", "Job states written")
RECORD_SECONDS = Histogram(
    "rhubarbferry_job_state_record_seconds",
    "Time to write a batch of changed job states",
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10),
)

# A transaction holds at most 32 entries: the owner's key, and for each job a condition, a write
# and, if the job has ended, the deletion of its former state.
JOBS_PER_TXN = 10
# Jobs that end within this time share a transaction. It is short because the clients of these jobs
# wait for the write.
BATCH_WINDOW_S = 0.02
# Other changes may wait this long to be written in one batch. No client sees them, and the hosts
# keep the ends of tasks until they are recorded.
MAX_BATCH_DELAY_S = 0.15
WRITE_RETRY_INTERVAL_S = 0.15


@frozen(kw_only=True, slots=True)
class _Snapshot:
    """Encoded state of a job at the time of a write."""

    job: Job
    value: bytes
    final: bool


@define(kw_only=True, eq=False)
class Recorder:
    """Writes changed jobs, then lets hosts discard the task ends that these writes cover."""

    ctx: TermContext

    async def run(self) -> None:
        """Write until cancelled.

        :raises OwnershipLost: if another process is the owner.
        """
        while True:
            await self.ctx.record.wait()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_BATCH_DELAY_S):
                    await self.ctx.job_ended.wait()
            await asyncio.sleep(BATCH_WINDOW_S)
            self.ctx.record.clear()
            self.ctx.job_ended.clear()
            if not await self.flush():
                self.ctx.record.set()
                await asyncio.sleep(WRITE_RETRY_INTERVAL_S)

    async def flush(self) -> bool:
        """Write all jobs that have changed; return whether all of them are stored."""
        dispatcher = self.ctx.dispatcher
        jobs = list(dispatcher.dirty.values())
        dispatcher.dirty.clear()
        # These states cover all task ends that the dispatcher has processed so far, except ends
        # that change no state.
        seen = [(host, host.entry, host.seen_end) for host in dispatcher.tracker.hosts.values()]
        snapshots = [
            _Snapshot(job=job, value=encode_state(job), final=job.phase.final) for job in jobs
        ]
        started_at = self.ctx.now()
        groups = [
            snapshots[start : start + JOBS_PER_TXN]
            for start in range(0, len(snapshots), JOBS_PER_TXN)
        ]
        written = await asyncio.gather(*(self._write(group) for group in groups))
        if groups:
            RECORD_SECONDS.observe(self.ctx.now() - started_at)
        if not all(written):
            return False
        for host, entry, end in seen:
            if host.entry.incarnation == entry.incarnation:
                host.mark_ends_recorded(end)
        return True

    async def _write(self, group: list[_Snapshot]) -> bool:
        """Write a group of states in one transaction; return whether they are stored."""
        self.ctx.tenure.check()
        expect = [self.ctx.tenure.condition()]
        put = []
        delete = []
        for snapshot in group:
            key = keys.STATES + snapshot.job.id
            expect.append(Expect(key=key, revision=snapshot.job.record_revision))
            if snapshot.final:
                put.append(Put(key=keys.ENDED + snapshot.job.id, value=snapshot.value))
                delete.append(key)
            else:
                put.append(Put(key=key, value=snapshot.value))
        txn = Txn(expect=tuple(expect), put=tuple(put), delete=tuple(delete))
        try:
            result = await self.ctx.process.store.commit(txn)
        except StoreError as exc:
            # The result is unknown or the write was refused, so the jobs stay dirty. Each write is
            # conditional on the key's last revision, so a delayed write can't overwrite a newer
            # one.
            self._retry_later(group, type(exc).__name__)
            if isinstance(exc, StoreRateLimited):
                await asyncio.sleep(WRITE_RETRY_INTERVAL_S)
            return False
        match result:
            case Committed(revision=revision):
                self._mark_recorded(group, revision)
                return True
            case Conflict():
                self._handle_conflict(group, result)
        return False

    def _mark_recorded(self, group: list[_Snapshot], revision: int) -> None:
        for snapshot in group:
            snapshot.job.record_revision = revision
            STATES_RECORDED.inc()
            self.ctx.process.log.emit(
                "job.recorded",
                job=snapshot.job.id,
                phase=snapshot.job.phase.value,
                revision=revision,
                outcome="on record",
            )
            if snapshot.final:
                self.ctx.dispatcher.mark_recorded(snapshot.job)
                self.ctx.removable.append(snapshot.job.id)

    def _handle_conflict(self, group: list[_Snapshot], conflict: Conflict) -> None:
        owner = conflict.items.get(keys.OWNER)
        if owner is None or owner.mod_revision != self.ctx.tenure.fence:
            self.ctx.tenure.end("another process has taken over", by=EndSignal.CONFLICT)
            raise OwnershipLost("another process has taken over")
        for snapshot in group:
            item = conflict.items.get(keys.STATES + snapshot.job.id)
            # Once a job is accepted, only the owner writes its state. The stored value is therefore
            # an earlier write by this process whose answer was lost.
            snapshot.job.record_revision = item.mod_revision if item is not None else 0
        self._retry_later(group, "an earlier write had taken effect")

    def _retry_later(self, group: list[_Snapshot], reason: str) -> None:
        for snapshot in group:
            if not self.ctx.dispatcher.is_stopping(snapshot.job.id):
                self.ctx.dispatcher.dirty.setdefault(snapshot.job.id, snapshot.job)
        self.ctx.process.log.emit(
            "job.not_recorded", jobs=[snapshot.job.id for snapshot in group], reason=reason
        )
