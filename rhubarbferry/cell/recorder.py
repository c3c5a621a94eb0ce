"""Write what has become of jobs to the store, before hosts may forget the ends of tasks."""

from __future__ import annotations

import asyncio
import contextlib

from attrs import define, frozen
from prometheus_client import Counter, Histogram

from rhubarbferry.cell import keys
from rhubarbferry.cell.context import OwnershipLost, TermContext
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

RECORDED = Counter("rhubarbferry_job_states_recorded_total", "States of jobs written")
RECORD_SECONDS = Histogram(
    "rhubarbferry_job_state_record_seconds",
    "From the change of a job to its being on record",
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10),
)

# A transaction takes 32 entries: the owner's key, and for each job a condition, a write and, when
# the job has ended, the removal of its former state.
JOBS_PER_TXN = 10
# Ends of jobs within this time share a transaction. Clients of ended jobs wait for it.
GATHER_S = 0.02
# Other changes wait this long for company: no client sees them, and the hosts keep the ends
# until they are on record.
PATIENCE_S = 0.15
RETRY_S = 0.15


@frozen(kw_only=True, slots=True)
class _Snapshot:
    """A job's state as it is being written."""

    job: Job
    value: bytes
    final: bool


@define(kw_only=True, eq=False)
class Recorder:
    """Write dirty jobs, then let hosts forget the ends that these writes cover."""

    ctx: TermContext

    async def run(self) -> None:
        """Write until cancelled.

        :raises OwnershipLost: when another process owns the work.
        """
        while True:
            await self.ctx.record.wait()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ctx.job_ended.wait(), PATIENCE_S)
            await asyncio.sleep(GATHER_S)
            self.ctx.record.clear()
            self.ctx.job_ended.clear()
            if not await self.flush():
                self.ctx.record.set()
                await asyncio.sleep(RETRY_S)

    async def flush(self) -> bool:
        """Write all that is dirty now; return whether all of it stands in the store."""
        dispatcher = self.ctx.dispatcher
        jobs = list(dispatcher.dirty.values())
        dispatcher.dirty.clear()
        # Ends that were worked in by now show in these states, or need none.
        seen = [(host, host.entry, host.seen_end) for host in dispatcher.tracker.hosts.values()]
        snapshots = [
            _Snapshot(job=job, value=encode_state(job), final=job.phase.final) for job in jobs
        ]
        begun = self.ctx.now()
        groups = [
            snapshots[start : start + JOBS_PER_TXN]
            for start in range(0, len(snapshots), JOBS_PER_TXN)
        ]
        written = await asyncio.gather(*(self._write(group) for group in groups))
        if groups:
            RECORD_SECONDS.observe(self.ctx.now() - begun)
        if not all(written):
            return False
        for host, entry, end in seen:
            if host.entry.incarnation == entry.incarnation:
                host.recorded_end = max(host.recorded_end, end)
        return True

    async def _write(self, group: list[_Snapshot]) -> bool:
        """Write a few states in one transaction; return whether they stand in the store."""
        self.ctx.tenure.check()
        expect = [self.ctx.tenure.condition()]
        put = []
        delete = []
        for shot in group:
            key = keys.STATES + shot.job.id
            expect.append(Expect(key=key, revision=shot.job.record_revision))
            if shot.final:
                put.append(Put(key=keys.ENDED + shot.job.id, value=shot.value))
                delete.append(key)
            else:
                put.append(Put(key=key, value=shot.value))
        txn = Txn(expect=tuple(expect), put=tuple(put), delete=tuple(delete))
        try:
            result = await self.ctx.around.store.commit(txn)
        except StoreError as exc:
            # Unclear or refused: the jobs stay dirty. Each write has the key's last revision as
            # a condition, so an old one that is carried out late can't undo a newer one.
            self._again(group, type(exc).__name__)
            if isinstance(exc, StoreRateLimited):
                await asyncio.sleep(RETRY_S)
            return False
        match result:
            case Committed(revision=revision):
                self._note_committed(group, revision)
                return True
            case Conflict():
                self._conflict(group, result)
        return False

    def _note_committed(self, group: list[_Snapshot], revision: int) -> None:
        for shot in group:
            shot.job.record_revision = revision
            RECORDED.inc()
            self.ctx.around.log.emit(
                "job.recorded",
                job=shot.job.id,
                phase=shot.job.phase.value,
                revision=revision,
                outcome="on record",
            )
            if shot.final:
                self.ctx.dispatcher.recorded(shot.job)
                self.ctx.removable.append(shot.job.id)

    def _conflict(self, group: list[_Snapshot], conflict: Conflict) -> None:
        owner = conflict.items.get(keys.OWNER)
        if owner is None or owner.mod_revision != self.ctx.tenure.fence:
            self.ctx.tenure.end("another process has taken over")
            raise OwnershipLost("another process has taken over")
        for shot in group:
            item = conflict.items.get(keys.STATES + shot.job.id)
            # Only the owner writes states once a job is accepted, so what stands there is an
            # earlier write of this process whose answer was lost.
            shot.job.record_revision = item.mod_revision if item is not None else 0
        self._again(group, "an earlier write had taken effect")

    def _again(self, group: list[_Snapshot], reason: str) -> None:
        for shot in group:
            self.ctx.dispatcher.dirty.setdefault(shot.job.id, shot.job)
        self.ctx.around.log.emit(
            "job.not_recorded", jobs=[shot.job.id for shot in group], reason=reason
        )
