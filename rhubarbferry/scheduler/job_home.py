"""The home of jobs: accepts jobs, records their state and has their tasks placed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable, Mapping, Sequence

from loguru import logger
from prometheus_client import Counter, Histogram

from rhubarbferry.core.cell import Size
from rhubarbferry.core.fairshare import FairShare, UsageDigest
from rhubarbferry.core.feasibility import Extent, explain, refusal
from rhubarbferry.core.job_queue import JobQueue, Picked
from rhubarbferry.core.jobs import Job, JobKind, JobPhase, LiveAttempt, TaskState
from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.core.worker_ledger import End
from rhubarbferry.ports.log import EntryLog, LogError, LogFenced, LogUnavailable, LogUnclear
from rhubarbferry.ports.ownership import Tenure
from rhubarbferry.reports.burn import EventKind
from rhubarbferry.reports.events import BOOK, Work, judge_start, objective_of
from rhubarbferry.rpc import Handler
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler import job_records as records
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.gang_dispatch import GangDispatcher
from rhubarbferry.scheduler.job_lane import MAX_CLAIMS, Lane
from rhubarbferry.scheduler.key_component import KeyComponent
from rhubarbferry.scheduler.messages import size_of

FAR_AFTER_S = 0.3
SYNC_S = 0.2
RETRY_AFTER_MS = 1000
# Task ends are written in batches: one write per worker report would be too many.
ENDS_GATHER_S = 0.1
KEPT_FINISHED = 10_000
MAX_ENTRIES = 1000

SUBMITTED = Counter("rhubarbferry_jobs_submitted_total", "Jobs submitted", ["account", "verdict"])
TASK_ENDS = Counter("rhubarbferry_tasks_ended_total", "Ends of attempts", ["account", "end"])
WAITED = Histogram(
    "rhubarbferry_job_wait_seconds",
    "Time from acceptance to the first start",
    ["account", "priority"],
    buckets=(0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8.9, 15, 30, 60, 300, 1800, 7200),
)


class JobHome(KeyComponent):
    """Jobs of one key partition.

    Each step is recorded in the log before it takes effect: a job is accepted after its
    acceptance is recorded, a task is claimed after its dispatch is recorded, and a worker may
    discard a task after its end is recorded.
    """

    def __init__(self, *, tenure: Tenure, ctx: Context, log: EntryLog) -> None:
        super().__init__(tenure=tenure, ctx=ctx, log=log)
        self._jobs: dict[str, Job] = {}
        self._keys: dict[tuple[str, str], str] = {}
        self._open: dict[str, Job] = {}
        self._over: dict[str, None] = {}
        self._committing: dict[str, asyncio.Future[None]] = {}
        self._later: list[t.LogEntry] = []
        self._ends: list[t.TaskEvent] = []
        self._ends_task: asyncio.Task[bool] | None = None
        self._lanes: dict[str, Lane] = {}
        self._queue = JobQueue(far_after_s=FAR_AFTER_S, patience_s=ctx.cfg.jobs.patience_s)
        self._share = FairShare(half_life_s=ctx.cfg.jobs.half_life_s)
        self._revision = -1
        self._fenced = False
        self._unclear = False
        self._in_pieces = 0
        self._unsure: set[str] = set()
        self._won_at = ctx.clock.monotonic()
        self._gangs = GangDispatcher(
            tenure=tenure, ctx=ctx, host=self, rng=random.Random(f"{tenure.partition}")
        )

    # ------------------------------------------------------------ records

    def replay(self, entry: t.LogEntry) -> None:
        """Apply a log entry; ignore entries that are not about jobs."""
        if entry.job_accepted is not None:
            self._replay_accepted(entry.job_accepted)
            return
        record = (
            entry.tasks_dispatched
            or entry.task_finished
            or entry.job_cancelled
            or entry.job_finished
        )
        job = None if record is None else self._jobs.get(record.job_id)
        if job is None:
            return
        match record:
            case t.TasksDispatched():
                for index in record.indexes:
                    job.unsure(index, record.attempt)
            case t.TaskFinished():
                job.restore(record.index, End(int(record.end)), attempt=record.attempt)
            case t.JobCancelled():
                job.cancel()
            case t.JobFinished():
                job.restore_finished(JobPhase(int(record.phase)), records.counts_of(record))
                if record.waited_ms is not None:
                    job.first_start = job.since + record.waited_ms / 1000
                self._keep_over(job)

    def _replay_accepted(self, record: t.JobAccepted) -> None:
        if record.job_id in self._jobs:
            return
        accepted_at = record.accepted_at_ms / 1000
        waited_s = max(0.0, self.ctx.clock.wall() - accepted_at)
        self._add(
            Job(
                id=record.job_id,
                spec=records.spec_of(record.spec),
                accepted_at=accepted_at,
                since=self.ctx.clock.monotonic() - waited_s,
                max_attempts=self.ctx.cfg.jobs.max_attempts,
            )
        )

    def snapshot(self) -> Iterable[t.LogEntry]:
        """Return log entries that rebuild all jobs."""
        at, now = self.ctx.clock.wall(), self.ctx.clock.monotonic()
        for job in list(self._jobs.values()):
            if job.id in self._committing:
                # The append of its acceptance is in progress and reports its own outcome.
                continue
            yield from records.rebuild(job, at=at, now=now)

    async def recover(self) -> None:
        """Queue tasks never dispatched; the others wait for reports of the workers."""
        for job in self._open.values():
            if job.indexes(TaskState.UNSURE):
                self._unsure.add(job.id)
            if job.waiting():
                self._queue.put(job)
        self.ready = True

    async def serve(self) -> None:
        """Place tasks until cancelled."""
        # Lanes run in the task group: an error in one ends the home, which is then recovered
        # again. An unnoticed error would leave the tasks claimed through the lane waiting forever.
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_partitions(group))
            group.create_task(self._gangs.run())

    async def drain(self) -> None:
        """Wait for the replies to claims in progress and write deferred entries."""
        for lane in self._lanes.values():
            async with lane.lock:
                pass
        await self._flush_later()

    def depth(self) -> int:
        """Return the number of waiting tasks."""
        return self._queue.depth()

    # ------------------------------------------------------------ handlers

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers called by frontends and worker partitions."""
        return {
            "submit_job": self.submit_job,
            "get_job": self.get_job,
            "cancel_job": self.cancel_job,
            "list_jobs": self.list_jobs,
            "task_events": self.task_events,
        }

    async def submit_job(self, req: t.SubmitRequest) -> t.SubmitReply:
        """Accept a job after recording it, or refuse it with a reason."""
        if self._lapsed(req.epoch):
            return self._unavailable(req, "the owner's lease can't be renewed")
        if not self._owns(req.epoch):
            return self._submitted(req, t.SubmitVerdict.NOT_OWNER)
        if not self.ready:
            return self._unavailable(req, "the jobs are being read back")
        first = self._known(req)
        if first is not None:
            return await self._duplicate(req, first)
        spec = records.spec_of(req.spec)
        self._sync_shares()
        reason = refusal(
            spec,
            cell=self.ctx.cell.current(),
            extents=self._all_extents(),
            max_tasks=self.ctx.cfg.jobs.max_tasks_per_job,
        )
        if reason is not None:
            return self._submitted(req, t.SubmitVerdict.REFUSED, reason=reason)
        if self.depth() + spec.tasks > self.ctx.cfg.jobs.max_waiting_tasks:
            return self._unavailable(req, "too many tasks wait here already")
        return await self._accept(req.job_id, req)

    async def _accept(self, job_id: str, req: t.SubmitRequest) -> t.SubmitReply:
        job = Job(
            id=job_id,
            spec=records.spec_of(req.spec),
            accepted_at=self.ctx.clock.wall(),
            since=self.ctx.clock.monotonic(),
            max_attempts=self.ctx.cfg.jobs.max_attempts,
        )
        self._add(job)
        committing: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._committing[job_id] = committing
        try:
            await self._append([records.accepted(job)])
        except LogUnavailable:
            self._remove(job)
            return self._unavailable(req, "the store does not take records; nothing was kept")
        except LogFenced:
            self._remove(job)
            return self._submitted(req, t.SubmitVerdict.NOT_OWNER)
        except LogUnclear:
            # The acceptance may be in the log. The job is kept, so that it runs in either case,
            # but the reply must not claim that it was accepted.
            self._queue.put(job)
            self._wake()
            return self._not_known(req)
        except LogError as exc:
            self._remove(job)
            return self._submitted(req, t.SubmitVerdict.REFUSED, reason=str(exc))
        finally:
            del self._committing[job_id]
            committing.set_result(None)
        self._queue.put(job)
        self._wake(job)
        return self._submitted(req, t.SubmitVerdict.ACCEPTED, job_id=job_id)

    async def _duplicate(self, req: t.SubmitRequest, first: str) -> t.SubmitReply:
        committing = self._committing.get(first)
        if committing is not None:
            await asyncio.shield(committing)
        if first not in self._jobs:
            return self._unavailable(req, "the first request with this key was not kept")
        job = self._jobs[first]
        if job.spec != records.spec_of(req.spec):
            return self._submitted(
                req,
                t.SubmitVerdict.REFUSED,
                job_id=first,
                reason=f"the key names job {first} already, which asks for something else",
            )
        return self._submitted(req, t.SubmitVerdict.DUPLICATE, job_id=first)

    async def get_job(self, req: t.JobRequest) -> t.JobReply:
        """Return a job and a text that explains why its tasks wait."""
        if self._lapsed(req.epoch):
            return self._job_unavailable()
        if not self._owns(req.epoch):
            return t.JobReply(verdict=t.JobVerdict.NOT_OWNER, epoch=self.tenure.epoch)
        if not self.ready or req.job_id in self._committing:
            return self._job_unavailable()
        job = self._jobs.get(req.job_id)
        if job is None:
            return t.JobReply(verdict=t.JobVerdict.NO_SUCH_JOB, epoch=self.tenure.epoch)
        return self._job_reply(job)

    async def cancel_job(self, req: t.JobRequest) -> t.JobReply:
        """Cancel a job: waiting tasks are not run, running tasks are stopped."""
        if self._lapsed(req.epoch):
            return self._job_unavailable()
        if not self._owns(req.epoch):
            return t.JobReply(verdict=t.JobVerdict.NOT_OWNER, epoch=self.tenure.epoch)
        if not self.ready or req.job_id in self._committing:
            return self._job_unavailable()
        job = self._jobs.get(req.job_id)
        if job is None:
            return t.JobReply(verdict=t.JobVerdict.NO_SUCH_JOB, epoch=self.tenure.epoch)
        if job.open() and not job.cancelled:
            try:
                await self._append([records.cancelled(job.id)])
            except LogUnclear:
                self._cancel(job)
                return self._job_unavailable()
            except LogError:
                return self._job_unavailable()
            self._cancel(job)
        return self._job_reply(job)

    async def list_jobs(self, req: t.JobListRequest) -> t.JobListReply:
        """Return the jobs of an account."""
        epoch = self.tenure.epoch
        if self._lapsed(req.epoch):
            return t.JobListReply(verdict=t.JobVerdict.UNAVAILABLE, epoch=epoch, jobs=[])
        if not self._owns(req.epoch):
            return t.JobListReply(verdict=t.JobVerdict.NOT_OWNER, epoch=epoch, jobs=[])
        if not self.ready:
            return t.JobListReply(verdict=t.JobVerdict.UNAVAILABLE, epoch=epoch, jobs=[])
        now = self.ctx.clock.monotonic()
        jobs = [
            records.record_of(job, now=now)
            for job in self._jobs.values()
            if job.spec.account == req.account and job.id not in self._committing
        ]
        return t.JobListReply(verdict=t.JobVerdict.FOUND, epoch=epoch, jobs=jobs)

    async def task_events(self, req: t.TaskEventsRequest) -> t.TaskEventsReply:
        """Record the ends of attempts; reply which ones the sender may discard."""
        if not self._owns(req.epoch):
            return t.TaskEventsReply(owner=False, epoch=self.tenure.epoch, recorded=[])
        if not self.ready:
            return t.TaskEventsReply(owner=True, epoch=self.tenure.epoch, recorded=[])
        lane = self._lanes.get(req.sender)
        if lane is not None:
            # The capacity is free now, whether or not the ends get recorded.
            lane.freed()
        self._gangs.wake()
        if not await self._gather_ends(req.events):
            return t.TaskEventsReply(owner=True, epoch=self.tenure.epoch, recorded=[])
        return t.TaskEventsReply(
            owner=True,
            epoch=self.tenure.epoch,
            recorded=[event.task_id for event in req.events],
        )

    async def _gather_ends(self, events: Sequence[t.TaskEvent]) -> bool:
        """Record ends in one batch with later ones; return whether they are recorded."""
        self._ends.extend(events)
        if self._ends_task is None:
            self._ends_task = asyncio.create_task(self._record_ends())
        return await asyncio.shield(self._ends_task)

    async def _record_ends(self) -> bool:
        await self.ctx.clock.sleep(ENDS_GATHER_S)
        events, self._ends = self._ends, []
        # Events that arrive from now on belong to the next batch.
        self._ends_task = None
        entries = [entry for event in events if (entry := self._entry_of(event)) is not None]
        return await self._append_ends(entries, events)

    async def _append_ends(self, entries: list[t.LogEntry], events: Sequence[t.TaskEvent]) -> bool:
        """Record and apply ends; return whether they are known to be recorded."""
        try:
            if entries or self._unclear:
                await self._append(entries or [records.nothing()])
        except LogUnclear:
            self._apply_all(events)
            return False
        except LogError:
            return False
        self._apply_all(events)
        return True

    def _apply_all(self, events: Sequence[t.TaskEvent]) -> None:
        for event in events:
            self._apply(event)

    # ------------------------------------------------------------ used by lanes and gangs

    def lanes(self) -> list[Lane]:
        """Return the lanes synchronized with an owner, those of the home's region first."""
        region = self.tenure.partition.region
        lanes = [lane for lane in self._lanes.values() if lane.owner() is not None]
        return sorted(lanes, key=lambda lane: (lane.partition.region != region, lane.name))

    def waiting_gangs(self) -> list[Job]:
        """Return the gangs to be placed, in scheduling order."""
        now = self.ctx.clock.monotonic()
        gangs = [
            job
            for job in self._queue.jobs(JobKind.GANG)
            if not job.formed
            and not job.counts.running
            and job.waiting()
            and job.paused_until <= now
        ]
        return sorted(gangs, key=lambda job: (job.spec.priority, job.since))

    def gang_allowed(self, job: Job) -> bool:
        """Return whether the whole gang fits into the account's quota."""
        size, tasks = job.spec.size, job.waiting()
        whole = Size(
            millicores=tasks * size.millicores,
            memory_bytes=tasks * size.memory_bytes,
            accelerators=tasks * size.accelerators,
        )
        self._sync_shares()
        return self._share.within_quota(job.spec.account, whole)

    def count_reserved(self, picked: Sequence[Picked]) -> None:
        """Count claims towards account usage until a digest includes them."""
        for item in picked:
            self._share.claim(item.job.spec.account, item.job.spec.size)

    def stop_live(self, job: Job) -> None:
        """Request a stop of all running tasks of a job."""
        for index in list(job.live):
            self._stop(job, index)

    def pick(self, lane: Lane) -> list[Picked]:
        """Mark waiting tasks as claimed for a lane's free capacity, in scheduling order."""
        if lane.room is None or self._fenced or not self.ready:
            return []
        self._sync_shares()
        self._set_neighbours(lane)
        return self._queue.pick(
            lane.room,
            share=self._share,
            limit=MAX_CLAIMS,
            now=self.ctx.clock.monotonic(),
            epoch=lane.epoch,
            home_epoch=self.tenure.epoch,
        )

    def _set_neighbours(self, lane: Lane) -> None:
        """Set which racks share the lane's failure domain, so that services are spread."""
        domains = {
            other.name: other.digest.failure_domain
            for other in self._lanes.values()
            if other.digest is not None and other.partition.region == lane.partition.region
        }
        assert lane.room is not None
        mine = domains.get(lane.name)
        lane.room.domain = frozenset(name for name, domain in domains.items() if domain == mine)
        lane.room.domains = max(1, len(set(domains.values())))

    async def record_dispatch(self, picked: Sequence[Picked]) -> bool:
        """Record that the attempts may start; return whether that succeeded.

        If the claim were sent first, a successor that reads the log could not see that a
        non-idempotent task may have run, and would run it again.
        """
        by_job: dict[str, tuple[Job, list[int]]] = {}
        for item in picked:
            by_job.setdefault(item.job.id, (item.job, []))[1].append(item.index)
        entries = [
            entry for job, indexes in by_job.values() for entry in records.dispatched(job, indexes)
        ]
        try:
            await self._append(entries)
        except LogError as exc:
            logger.debug("{}: could not record a dispatch: {}", self.tenure.partition, exc)
            return False
        return True

    def put_back(self, picked: Sequence[Picked], *, dispatched: bool) -> None:
        """Return tasks to the queue whose claims can no longer start them."""
        for item in picked:
            self._share.unclaim(item.job.spec.account, item.job.spec.size)
            if dispatched:
                self._not_started(item.job, item.index)
            else:
                item.job.never_started(item.index)
                self._requeue(item.job)

    def wanted(self, picked: Sequence[Picked]) -> list[Picked]:
        """Return the tasks of jobs that were not cancelled meanwhile; put back the others."""
        self.put_back([item for item in picked if item.job.cancelled], dispatched=True)
        return [item for item in picked if not item.job.cancelled]

    def claimed(
        self, lane: Lane, picked: Sequence[Picked], results: Sequence[t.ClaimResult]
    ) -> None:
        """Apply the results of claims."""
        by_id = {result.task_id: result for result in results}
        for item in picked:
            # The digest received with the results already includes the started claims.
            self._share.unclaim(item.job.spec.account, item.job.spec.size)
            live = item.job.live.get(item.index)
            result = None if live is None else by_id.get(live.task_id)
            if result is not None:
                self._take_result(lane, item, result)

    def _take_result(self, lane: Lane, item: Picked, result: t.ClaimResult) -> None:
        job, now = item.job, self.ctx.clock.monotonic()
        match result.verdict:
            case t.ClaimVerdict.STARTED:
                # After a takeover the first start time may be lost, although the job ran before.
                first = job.first_start is None and not job.may_have_run()
                job.started(item.index, worker=result.worker_id or "", now=now)
                if first and job.first_start is not None:
                    waited_s = max(0.0, now - job.since)
                    WAITED.labels(job.spec.account, str(job.spec.priority)).observe(waited_s)
                    objective = objective_of(self.ctx.cell.current(), job.spec.account)
                    self._count_event(job.spec.account, judge_start(waited_s, objective))
                if job.cancelled:
                    self._stop(job, item.index)
            case t.ClaimVerdict.HELD | t.ClaimVerdict.UNKNOWN:
                # The task may run. An event will report its end, or that it was never started.
                if job.cancelled:
                    self._stop(job, item.index)
            case _:
                if result.verdict == t.ClaimVerdict.NO_ROOM and lane.room is not None:
                    lane.room.refused = lane.room.refused | {job.spec.size}
                    job.reason = result.reason or ""
                self._not_started(job, item.index)

    def reconciled(self, lane: Lane, reply: t.HeldTasksReply) -> None:
        """Apply the list of tasks that a partition holds for this home."""
        now = self.ctx.clock.monotonic()
        held = {task.task_id for task in reply.tasks}
        for job in list(self._open.values()):
            if job.finished is None:
                self._reconcile_job(job, lane, held, reply)
        for task in reply.tasks:
            where = self._locate(task.task_id)
            if where is None or not task.running:
                continue
            job, index = where
            attempt = LiveAttempt(
                task_id=task.task_id,
                attempt=task.attempt,
                partition=lane.name,
                epoch=lane.epoch,
                worker=task.worker_id,
            )
            job.found(index, attempt, now=now)
            job.started(index, worker=task.worker_id, now=now)
            if job.cancelled:
                self._stop(job, index)

    def _reconcile_job(self, job: Job, lane: Lane, held: set[str], reply: t.HeldTasksReply) -> None:
        now = self.ctx.clock.monotonic()
        for index, live in list(job.live.items()):
            if live.partition != lane.name or live.task_id in held:
                continue
            if job.state(index) is TaskState.CLAIMED and live.epoch == lane.epoch:
                # The owner that received the claim has not started the task and no longer can.
                self._not_started(job, index)
            elif reply.over or self._is_over(live.worker, reply):
                # An earlier owner may have started the task, but the attempt has certainly ended.
                self._end(job, index, End.LEASE_LAPSED, now)

    @staticmethod
    def _is_over(worker: str, reply: t.HeldTasksReply) -> bool:
        """Return whether an attempt that is missing from the held tasks has ended.

        A worker that the new owner has never contacted may still run it: the platform may have
        removed the worker from the host list while it was running tasks.
        """
        if worker:
            return worker in (reply.heard or ())
        return bool(reply.complete)

    def partition_gone(self, lane: Lane) -> None:
        """Settle the tasks of a partition that no longer exists."""
        self._share.put_digest(lane.name, UsageDigest(taken_at=self.ctx.clock.monotonic(), used={}))
        nothing = t.HeldTasksReply(
            owner=True, epoch=lane.epoch + 1, complete=True, tasks=[], over=True
        )
        for job in list(self._open.values()):
            if job.finished is None:
                self._reconcile_job(job, lane, set(), nothing)

    def heard_digest(self, lane: Lane, digest: t.PartitionDigest, asked_at: float) -> None:
        """Apply the usage and the capacity reported by a partition."""
        used = {entry.account: size_of(entry.used) for entry in digest.usage}
        self._share.put_digest(lane.name, UsageDigest(taken_at=asked_at, used=used))
        total = sum((extent.total for extent in self._extents()), Size())
        self._share.set_total(total)

    # ------------------------------------------------------------ background work

    async def _follow_partitions(self, group: asyncio.TaskGroup) -> None:
        while True:
            for partition in self.ctx.ownership.partitions(PartitionKind.WORKER):
                if str(partition) not in self._lanes:
                    self._add_lane(partition, group)
            self._settle_unsure()
            await self._finish_jobs()
            await self._flush_later()
            await self.ctx.clock.sleep(SYNC_S)

    def _add_lane(self, partition: PartitionId, group: asyncio.TaskGroup) -> None:
        lane = Lane(partition=partition, tenure=self.tenure, ctx=self.ctx, host=self)
        self._lanes[lane.name] = lane
        group.create_task(lane.run())

    def _settle_unsure(self) -> None:
        """Settle tasks that no worker holds, after all worker partitions have reported."""
        if not self._unsure or not self._all_heard():
            return
        for job_id in list(self._unsure):
            job = self._jobs.get(job_id)
            for index in [] if job is None else job.indexes(TaskState.UNSURE):
                assert job is not None
                job.not_found(index)
                if job.state(index) is TaskState.UNKNOWN:
                    self._later.append(records.task_finished(job, index, 0, End.LEASE_LAPSED))
            if job is not None:
                self._requeue(job)
        self._unsure.clear()
        self._wake()

    def _all_heard(self) -> bool:
        if not self._lanes:
            cfg = self.ctx.cfg
            wait_s = cfg.jobs.task_lease_s + cfg.ownership.lease_s + cfg.ownership.clock_margin_s
            return self.ctx.clock.monotonic() - self._won_at > wait_s
        return all(lane.ever_complete for lane in self._lanes.values())

    async def _finish_jobs(self) -> None:
        over = [
            job for job in self._open.values() if not job.open() and job.id not in self._committing
        ][:MAX_ENTRIES]
        if not over:
            return
        at, now = self.ctx.clock.wall(), self.ctx.clock.monotonic()
        try:
            await self._append([records.finished(job, at=at, now=now) for job in over])
        except LogUnclear:
            pass
        except LogError:
            return
        for job in over:
            job.restore_finished(job.phase(), None)
            self._keep_over(job)

    async def _flush_later(self) -> None:
        if self._later:
            try:
                await self._append([])
            except LogError as exc:
                logger.debug(
                    "{}: deferred entries not recorded yet: {}", self.tenure.partition, exc
                )

    # ------------------------------------------------------------ internals

    async def _append(self, entries: list[t.LogEntry]) -> None:
        """Append entries, together with deferred entries that need no write of their own."""
        later, self._later = self._later, []
        try:
            await self._append_in_order(later + entries)
        except LogFenced:
            self._fenced = True
            raise
        except LogUnclear:
            # The entries may or may not be in the log, so they must not be reported as recorded.
            # The next successful append also confirms the appends before it.
            self._unclear = True
            raise
        except LogError:
            self._later = later + self._later
            raise
        self._unclear = False

    async def _append_in_order(self, entries: list[t.LogEntry]) -> None:
        """Append in chunks that fit into one record; the log keeps the order of the calls.

        Compaction assumes that an append has been applied to the state when the event loop
        continues after it. A single chunk is awaited directly, so the caller applies it in the
        same step. Several chunks are awaited through tasks and are recorded some steps before
        the caller applies them: a snapshot made in between would drop them, and a successor would
        run ended tasks again. Snapshots are therefore suspended meanwhile.
        """
        if len(entries) <= MAX_ENTRIES:
            await self.log.append(entries)
            return
        pieces = [entries[at : at + MAX_ENTRIES] for at in range(0, len(entries), MAX_ENTRIES)]
        self._in_pieces += 1
        try:
            await asyncio.gather(*(self.log.append(piece) for piece in pieces))
        finally:
            asyncio.get_running_loop().call_soon(self._piece_applied)

    def _piece_applied(self) -> None:
        self._in_pieces -= 1

    def settled(self) -> bool:
        """Return whether all recorded entries have been applied to the state."""
        return not self._in_pieces

    def _owns(self, epoch: int) -> bool:
        return epoch == self.tenure.epoch and not self._fenced and self.tenure.holds()

    def _lapsed(self, epoch: int) -> bool:
        """Return whether the lease has expired while no later owner is known.

        During a store outage no process can take over. "Not owner" would make the caller retry
        until its deadline, although an immediate refusal is possible.
        """
        ours = self.ready and epoch == self.tenure.epoch and not self._fenced
        return ours and not self.tenure.holds()

    def _add(self, job: Job) -> None:
        self._jobs[job.id] = job
        self._open[job.id] = job
        if job.spec.key:
            self._keys[job.spec.account, job.spec.key] = job.id

    def _remove(self, job: Job) -> None:
        self._queue.drop(job)
        self._jobs.pop(job.id, None)
        self._open.pop(job.id, None)
        if job.spec.key:
            self._keys.pop((job.spec.account, job.spec.key), None)

    def _keep_over(self, job: Job) -> None:
        self._queue.drop(job)
        self._open.pop(job.id, None)
        self._over[job.id] = None
        while len(self._over) > KEPT_FINISHED:
            oldest = next(iter(self._over))
            del self._over[oldest]
            self._remove(self._jobs[oldest])

    def _known(self, req: t.SubmitRequest) -> str | None:
        if req.job_id in self._jobs:
            return req.job_id
        if req.spec.key:
            return self._keys.get((req.spec.account, req.spec.key))
        return None

    def _cancel(self, job: Job) -> None:
        self.stop_live(job)
        job.cancel()
        self._queue.drop(job)

    def _stop(self, job: Job, index: int) -> None:
        live = job.live.get(index)
        lane = None if live is None else self._lanes.get(live.partition)
        if live is not None and lane is not None:
            lane.stop(live.task_id)

    def _not_started(self, job: Job, index: int) -> None:
        live = job.live.get(index)
        attempt = 0 if live is None else live.attempt
        self._later.append(records.task_finished(job, index, attempt, End.NOT_STARTED))
        job.never_started(index)
        self._requeue(job)

    def _requeue(self, job: Job) -> None:
        if job.waiting() and job.finished is None:
            self._queue.put(job)

    def _end(self, job: Job, index: int, end: End, now: float) -> None:
        attempt = job.live[index].attempt if index in job.live else 0
        if job.is_final(index, end):
            self._later.append(records.task_finished(job, index, attempt, end))
        job.ended(index, end, now=now)
        self._requeue(job)

    def _locate(self, task_id: str) -> tuple[Job, int] | None:
        parts = task_id.rsplit("/", 2)
        if len(parts) != 3 or not parts[1].isdigit():
            return None
        job = self._jobs.get(parts[0])
        if job is None or job.finished is not None or int(parts[1]) >= job.spec.tasks:
            return None
        return job, int(parts[1])

    def _concerns(self, event: t.TaskEvent) -> tuple[Job, int] | None:
        """Return the task of an event, or ``None`` if the event is outdated or unknown."""
        where = self._locate(event.task_id)
        if where is None:
            return None
        job, index = where
        live = job.live.get(index)
        if live is not None:
            return where if live.task_id == event.task_id else None
        return where if job.state(index) is TaskState.UNSURE else None

    def _entry_of(self, event: t.TaskEvent) -> t.LogEntry | None:
        """Return the log entry for an event, or ``None`` if a successor does not need it."""
        where = self._concerns(event)
        if where is None:
            return None
        job, index = where
        end = End(int(event.end))
        if not job.is_final(index, end) and end is not End.NOT_STARTED:
            return None
        return records.task_finished(job, index, event.attempt, end)

    def _apply(self, event: t.TaskEvent) -> None:
        where = self._concerns(event)
        if where is None:
            return
        job, index = where
        end = End(int(event.end))
        TASK_ENDS.labels(job.spec.account, end.name).inc()
        if end is End.NOT_STARTED:
            if job.state(index) is not TaskState.UNSURE:
                job.never_started(index)
        else:
            job.ended(index, end, now=self.ctx.clock.monotonic())
            if job.state(index) is TaskState.UNKNOWN:
                self._count_event(job.spec.account, EventKind.UNKNOWN)
        self._requeue(job)

    def _count_event(self, account: str, kind: EventKind) -> None:
        BOOK.add(account, Work.JOBS, kind, now=self.ctx.clock.monotonic())

    def _wake(self, job: Job | None = None) -> None:
        if job is not None and job.spec.kind is JobKind.GANG:
            self._gangs.wake()
            return
        for lane in self._lanes.values():
            lane.wake()
        self._gangs.wake()

    def _extents(self) -> list[Extent]:
        return [_extent(lane) for lane in self._lanes.values() if lane.digest is not None]

    def _all_extents(self) -> list[Extent] | None:
        """Return the capacity of all worker partitions, or ``None`` while any is unknown."""
        partitions = self.ctx.ownership.partitions(PartitionKind.WORKER)
        lanes = [self._lanes.get(str(partition)) for partition in partitions]
        known = [lane for lane in lanes if lane is not None and lane.all_heard and lane.digest]
        if not partitions or len(known) < len(partitions):
            return None
        return [_extent(lane) for lane in known]

    def _sync_shares(self) -> None:
        cell = self.ctx.cell.current()
        if cell.revision == self._revision:
            return
        self._revision = cell.revision
        for account in cell.accounts.values():
            self._share.set_account(account.name, weight=account.share, quota=account.limits.quota)

    # ------------------------------------------------------------ replies

    def _submitted(
        self, req: t.SubmitRequest, verdict: int, *, job_id: str | None = None, reason: str = ""
    ) -> t.SubmitReply:
        name = t.SubmitVerdict(verdict).name
        SUBMITTED.labels(req.spec.account, name).inc()
        return t.SubmitReply(
            verdict=verdict, epoch=self.tenure.epoch, job_id=job_id, reason=reason or None
        )

    def _unavailable(self, req: t.SubmitRequest, reason: str) -> t.SubmitReply:
        if req.spec.account in self.ctx.cell.current().accounts:
            self._count_event(req.spec.account, EventKind.REFUSED)
        reply = self._submitted(req, t.SubmitVerdict.UNAVAILABLE, reason=reason)
        reply.retry_after_ms = RETRY_AFTER_MS
        return reply

    def _not_known(self, req: t.SubmitRequest) -> t.SubmitReply:
        self._count_event(req.spec.account, EventKind.UNKNOWN)
        reply = self._submitted(
            req,
            t.SubmitVerdict.UNCLEAR,
            job_id=req.job_id,
            reason="not known whether the job is on record",
        )
        reply.retry_after_ms = RETRY_AFTER_MS
        return reply

    def _job_unavailable(self) -> t.JobReply:
        return t.JobReply(
            verdict=t.JobVerdict.UNAVAILABLE,
            epoch=self.tenure.epoch,
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _job_reply(self, job: Job) -> t.JobReply:
        now = self.ctx.clock.monotonic()
        return t.JobReply(
            verdict=t.JobVerdict.FOUND,
            epoch=self.tenure.epoch,
            job=records.record_of(job, now=now),
            explanation=explain(job, extents=self._extents(), share=self._share, now=now),
        )


def _extent(lane: Lane) -> Extent:
    digest = lane.digest
    assert digest is not None
    return Extent(
        partition=lane.name,
        region=lane.partition.region,
        total=size_of(digest.total),
        free=size_of(digest.free),
        largest_worker=size_of(digest.largest_worker),
        largest_free=size_of(digest.largest_free),
    )
