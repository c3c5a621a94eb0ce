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
from rhubarbferry.ports.entry_log import EntryLog, LogError, LogFenced, LogUnavailable, LogUnclear
from rhubarbferry.ports.ownership import Tenure
from rhubarbferry.reports.burn import EventKind
from rhubarbferry.reports.events import EVENT_COUNTERS, WorkKind, classify_start, objective_of
from rhubarbferry.rpc import Handler
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler import job_records as records
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.gang_dispatch import GangDispatcher
from rhubarbferry.scheduler.job_lane import MAX_CLAIMS_PER_CALL, Lane
from rhubarbferry.scheduler.key_component import KeyComponent
from rhubarbferry.scheduler.messages import size_of

REMOTE_REGION_DELAY_S = 0.3
MAINTENANCE_INTERVAL_S = 0.2
RETRY_AFTER_MS = 1000
# Task ends are written in batches: one write per worker report would be too many.
END_BATCH_DELAY_S = 0.1
MAX_FINISHED_JOBS = 10_000
MAX_ENTRIES_PER_APPEND = 1000

JOBS_SUBMITTED = Counter(
    "rhubarbferry_jobs_submitted_total", "Jobs submitted", ["account", "verdict"]
)
TASK_ENDS = Counter("rhubarbferry_tasks_ended_total", "Ends of attempts", ["account", "end"])
JOB_WAITS = Histogram(
    "rhubarbferry_job_wait_seconds",
    "Time from acceptance to the first start",
    ["account", "priority"],
    buckets=(0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8.9, 15, 30, 60, 300, 1800, 7200),
)


class JobHome(KeyComponent):
    """Manage the jobs of one key partition.

    Each step is recorded in the log before it takes effect: a job is accepted after its
    acceptance is recorded, a task is claimed after its dispatch is recorded, and a worker may
    discard a task after its end is recorded.
    """

    def __init__(self, *, tenure: Tenure, ctx: Context, log: EntryLog) -> None:
        super().__init__(tenure=tenure, ctx=ctx, log=log)
        self._jobs: dict[str, Job] = {}
        self._keys: dict[tuple[str, str], str] = {}
        self._unfinished: dict[str, Job] = {}
        self._finished: dict[str, None] = {}
        self._committing: dict[str, asyncio.Future[None]] = {}
        self._later: list[t.LogEntry] = []
        self._ends: list[t.TaskEvent] = []
        self._ends_task: asyncio.Task[bool] | None = None
        self._lanes: dict[str, Lane] = {}
        self._queue = JobQueue(
            other_region_after_s=REMOTE_REGION_DELAY_S, patience_s=ctx.cfg.jobs.patience_s
        )
        self._share = FairShare(half_life_s=ctx.cfg.jobs.half_life_s)
        self._revision = -1
        self._fenced = False
        self._last_append_unclear = False
        self._chunked_appends = 0
        self._unsure: set[str] = set()
        self._won_at = ctx.clock.monotonic()
        self._gangs = GangDispatcher(
            tenure=tenure, ctx=ctx, home=self, rng=random.Random(f"{tenure.partition}")
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
                self._retain_finished(job)

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
            yield from records.rebuild_entries(job, at=at, now=now)

    async def recover(self) -> None:
        """Queue tasks never dispatched; the others wait for reports of the workers."""
        for job in self._unfinished.values():
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
            group.create_task(self._maintain(group))
            group.create_task(self._gangs.run())

    async def drain(self) -> None:
        """Wait for the replies to claims in progress and write deferred entries."""
        for lane in self._lanes.values():
            async with lane.lock:
                pass
        await self._flush_deferred()

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
        if self._lease_expired(req.epoch):
            return self._unavailable_reply(req, "the owner's lease can't be renewed")
        if not self._owns(req.epoch):
            return self._submit_reply(req, t.SubmitVerdict.NOT_OWNER)
        if not self.ready:
            return self._unavailable_reply(req, "the jobs are being read back")
        first_id = self._find_submitted(req)
        if first_id is not None:
            return await self._duplicate(req, first_id)
        spec = records.spec_of(req.spec)
        self._sync_accounts()
        reason = refusal(
            spec,
            cell=self.ctx.cell.current(),
            extents=self._all_extents(),
            max_tasks=self.ctx.cfg.jobs.max_tasks_per_job,
        )
        if reason is not None:
            return self._submit_reply(req, t.SubmitVerdict.REFUSED, reason=reason)
        if self.depth() + spec.tasks > self.ctx.cfg.jobs.max_waiting_tasks:
            return self._unavailable_reply(req, "too many tasks wait here already")
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
            return self._unavailable_reply(req, "the store does not take records; nothing was kept")
        except LogFenced:
            self._remove(job)
            return self._submit_reply(req, t.SubmitVerdict.NOT_OWNER)
        except LogUnclear:
            # The acceptance may be in the log. The job is kept, so that it runs in either case,
            # but the reply must not claim that it was accepted.
            self._queue.put(job)
            self._wake()
            return self._unclear_reply(req)
        except LogError as exc:
            self._remove(job)
            return self._submit_reply(req, t.SubmitVerdict.REFUSED, reason=str(exc))
        finally:
            del self._committing[job_id]
            committing.set_result(None)
        self._queue.put(job)
        self._wake(job)
        return self._submit_reply(req, t.SubmitVerdict.ACCEPTED, job_id=job_id)

    async def _duplicate(self, req: t.SubmitRequest, first_id: str) -> t.SubmitReply:
        committing = self._committing.get(first_id)
        if committing is not None:
            await asyncio.shield(committing)
        if first_id not in self._jobs:
            return self._unavailable_reply(req, "the first request with this key was not kept")
        job = self._jobs[first_id]
        if job.spec != records.spec_of(req.spec):
            return self._submit_reply(
                req,
                t.SubmitVerdict.REFUSED,
                job_id=first_id,
                reason=f"the key names job {first_id} already, which asks for something else",
            )
        return self._submit_reply(req, t.SubmitVerdict.DUPLICATE, job_id=first_id)

    async def get_job(self, req: t.JobRequest) -> t.JobReply:
        """Return a job and a text that explains why its tasks wait."""
        if self._lease_expired(req.epoch):
            return self._job_unavailable_reply()
        if not self._owns(req.epoch):
            return t.JobReply(verdict=t.JobVerdict.NOT_OWNER, epoch=self.tenure.epoch)
        if not self.ready or req.job_id in self._committing:
            return self._job_unavailable_reply()
        job = self._jobs.get(req.job_id)
        if job is None:
            return t.JobReply(verdict=t.JobVerdict.NO_SUCH_JOB, epoch=self.tenure.epoch)
        return self._job_reply(job)

    async def cancel_job(self, req: t.JobRequest) -> t.JobReply:
        """Cancel a job: waiting tasks are not run, running tasks are stopped."""
        if self._lease_expired(req.epoch):
            return self._job_unavailable_reply()
        if not self._owns(req.epoch):
            return t.JobReply(verdict=t.JobVerdict.NOT_OWNER, epoch=self.tenure.epoch)
        if not self.ready or req.job_id in self._committing:
            return self._job_unavailable_reply()
        job = self._jobs.get(req.job_id)
        if job is None:
            return t.JobReply(verdict=t.JobVerdict.NO_SUCH_JOB, epoch=self.tenure.epoch)
        if job.open() and not job.cancelled:
            try:
                await self._append([records.cancelled(job.id)])
            except LogUnclear:
                self._cancel(job)
                return self._job_unavailable_reply()
            except LogError:
                return self._job_unavailable_reply()
            self._cancel(job)
        return self._job_reply(job)

    async def list_jobs(self, req: t.JobListRequest) -> t.JobListReply:
        """Return the jobs of an account."""
        epoch = self.tenure.epoch
        if self._lease_expired(req.epoch):
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
            lane.capacity_freed()
        self._gangs.wake()
        if not await self._batch_ends(req.events):
            return t.TaskEventsReply(owner=True, epoch=self.tenure.epoch, recorded=[])
        return t.TaskEventsReply(
            owner=True,
            epoch=self.tenure.epoch,
            recorded=[event.task_id for event in req.events],
        )

    async def _batch_ends(self, events: Sequence[t.TaskEvent]) -> bool:
        """Record ends in one batch with later ones; return whether they are recorded."""
        self._ends.extend(events)
        if self._ends_task is None:
            self._ends_task = asyncio.create_task(self._record_ends())
        return await asyncio.shield(self._ends_task)

    async def _record_ends(self) -> bool:
        await self.ctx.clock.sleep(END_BATCH_DELAY_S)
        events, self._ends = self._ends, []
        # Events that arrive from now on belong to the next batch.
        self._ends_task = None
        entries = [entry for event in events if (entry := self._entry_of(event)) is not None]
        return await self._append_ends(entries, events)

    async def _append_ends(self, entries: list[t.LogEntry], events: Sequence[t.TaskEvent]) -> bool:
        """Record and apply ends; return whether they are known to be recorded."""
        try:
            if entries or self._last_append_unclear:
                await self._append(entries or [records.no_op()])
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

    # ------------------------------------------------------------ used by Lane and GangDispatcher

    def lanes(self) -> list[Lane]:
        """Return the lanes synchronized with an owner, those of the home's region first."""
        region = self.tenure.partition.region
        lanes = [lane for lane in self._lanes.values() if lane.owner() is not None]
        return sorted(lanes, key=lambda lane: (lane.partition.region != region, lane.name))

    def placeable_gangs(self) -> list[Job]:
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

    def within_quota(self, job: Job) -> bool:
        """Return whether the whole gang fits into the account's quota."""
        size, tasks = job.spec.size, job.waiting()
        whole = Size(
            millicores=tasks * size.millicores,
            memory_bytes=tasks * size.memory_bytes,
            accelerators=tasks * size.accelerators,
        )
        self._sync_accounts()
        return self._share.within_quota(job.spec.account, whole)

    def count_reserved(self, picked: Sequence[Picked]) -> None:
        """Count claims towards account usage until a digest includes them."""
        for item in picked:
            self._share.claim(item.job.spec.account, item.job.spec.size)

    def stop_running(self, job: Job) -> None:
        """Request a stop of all running tasks of a job."""
        for index in list(job.live):
            self._stop(job, index)

    def pick(self, lane: Lane) -> list[Picked]:
        """Mark waiting tasks as claimed for a lane's free capacity, in scheduling order."""
        if lane.room is None or self._fenced or not self.ready:
            return []
        self._sync_accounts()
        self._set_failure_domains(lane)
        return self._queue.pick(
            lane.room,
            share=self._share,
            limit=MAX_CLAIMS_PER_CALL,
            now=self.ctx.clock.monotonic(),
            epoch=lane.epoch,
            home_epoch=self.tenure.epoch,
        )

    def _set_failure_domains(self, lane: Lane) -> None:
        """Set which racks share the lane's failure domain, so that services are spread."""
        domains = {
            other.name: other.digest.failure_domain
            for other in self._lanes.values()
            if other.digest is not None and other.partition.region == lane.partition.region
        }
        assert lane.room is not None
        lane_domain = domains.get(lane.name)
        lane.room.domain = frozenset(
            name for name, domain in domains.items() if domain == lane_domain
        )
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

    def requeue(self, picked: Sequence[Picked], *, dispatched: bool) -> None:
        """Requeue tasks whose claims can no longer start them."""
        for item in picked:
            self._share.unclaim(item.job.spec.account, item.job.spec.size)
            if dispatched:
                self._not_started(item.job, item.index)
            else:
                item.job.never_started(item.index)
                self._requeue(item.job)

    def drop_cancelled(self, picked: Sequence[Picked]) -> list[Picked]:
        """Return the tasks of jobs that were not cancelled meanwhile; requeue the others."""
        self.requeue([item for item in picked if item.job.cancelled], dispatched=True)
        return [item for item in picked if not item.job.cancelled]

    def apply_results(
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
                is_first = job.first_start is None and not job.may_have_run()
                job.started(item.index, worker=result.worker_id or "", now=now)
                if is_first and job.first_start is not None:
                    waited_s = max(0.0, now - job.since)
                    JOB_WAITS.labels(job.spec.account, str(job.spec.priority)).observe(waited_s)
                    objective = objective_of(self.ctx.cell.current(), job.spec.account)
                    self._count_event(job.spec.account, classify_start(waited_s, objective))
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
        for job in list(self._unfinished.values()):
            if job.finished is None:
                self._reconcile_job(job, lane, held, reply)
        for task in reply.tasks:
            located = self._locate(task.task_id)
            if located is None or not task.running:
                continue
            job, index = located
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
            elif reply.over or self._has_ended(live.worker, reply):
                # An earlier owner may have started the task, but the attempt has certainly ended.
                self._end(job, index, End.LEASE_LAPSED, now)

    @staticmethod
    def _has_ended(worker: str, reply: t.HeldTasksReply) -> bool:
        """Return whether an attempt that is missing from the held tasks has ended.

        A worker that the new owner has never contacted may still run it: the platform may have
        removed the worker from the host list while it was running tasks.
        """
        if worker:
            return worker in (reply.heard or ())
        return bool(reply.complete)

    def partition_removed(self, lane: Lane) -> None:
        """Settle the tasks of a partition that no longer exists."""
        self._share.put_digest(lane.name, UsageDigest(taken_at=self.ctx.clock.monotonic(), used={}))
        empty_reply = t.HeldTasksReply(
            owner=True, epoch=lane.epoch + 1, complete=True, tasks=[], over=True
        )
        for job in list(self._unfinished.values()):
            if job.finished is None:
                self._reconcile_job(job, lane, set(), empty_reply)

    def apply_digest(self, lane: Lane, digest: t.PartitionDigest, requested_at: float) -> None:
        """Apply the usage and the capacity reported by a partition."""
        used = {entry.account: size_of(entry.used) for entry in digest.usage}
        self._share.put_digest(lane.name, UsageDigest(taken_at=requested_at, used=used))
        total = sum((extent.total for extent in self._extents()), Size())
        self._share.set_total(total)

    # ------------------------------------------------------------ background work

    async def _maintain(self, group: asyncio.TaskGroup) -> None:
        while True:
            for partition in self.ctx.ownership.partitions(PartitionKind.WORKER):
                if str(partition) not in self._lanes:
                    self._add_lane(partition, group)
            self._settle_unsure()
            await self._finish_jobs()
            await self._flush_deferred()
            await self.ctx.clock.sleep(MAINTENANCE_INTERVAL_S)

    def _add_lane(self, partition: PartitionId, group: asyncio.TaskGroup) -> None:
        lane = Lane(partition=partition, tenure=self.tenure, ctx=self.ctx, home=self)
        self._lanes[lane.name] = lane
        group.create_task(lane.run())

    def _settle_unsure(self) -> None:
        """Settle tasks that no worker holds, after all worker partitions have reported."""
        if not self._unsure or not self._all_reported():
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

    def _all_reported(self) -> bool:
        if not self._lanes:
            cfg = self.ctx.cfg
            wait_s = cfg.jobs.task_lease_s + cfg.ownership.lease_s + cfg.ownership.clock_margin_s
            return self.ctx.clock.monotonic() - self._won_at > wait_s
        return all(lane.ever_complete for lane in self._lanes.values())

    async def _finish_jobs(self) -> None:
        finished = [
            job
            for job in self._unfinished.values()
            if not job.open() and job.id not in self._committing
        ][:MAX_ENTRIES_PER_APPEND]
        if not finished:
            return
        at, now = self.ctx.clock.wall(), self.ctx.clock.monotonic()
        try:
            await self._append([records.finished(job, at=at, now=now) for job in finished])
        except LogUnclear:
            pass
        except LogError:
            return
        for job in finished:
            job.restore_finished(job.phase(), None)
            self._retain_finished(job)

    async def _flush_deferred(self) -> None:
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
            self._last_append_unclear = True
            raise
        except LogError:
            self._later = later + self._later
            raise
        self._last_append_unclear = False

    async def _append_in_order(self, entries: list[t.LogEntry]) -> None:
        """Append in chunks that fit into one record; the log keeps the order of the calls.

        Compaction assumes that an append has been applied to the state when the event loop
        continues after it. A single chunk is awaited directly, so the caller applies it in the
        same step. Several chunks are awaited through tasks and are recorded some steps before
        the caller applies them: a snapshot made in between would drop them, and a successor would
        run ended tasks again. Snapshots are therefore suspended meanwhile.
        """
        if len(entries) <= MAX_ENTRIES_PER_APPEND:
            await self.log.append(entries)
            return
        chunks = [
            entries[at : at + MAX_ENTRIES_PER_APPEND]
            for at in range(0, len(entries), MAX_ENTRIES_PER_APPEND)
        ]
        self._chunked_appends += 1
        try:
            await asyncio.gather(*(self.log.append(chunk) for chunk in chunks))
        finally:
            asyncio.get_running_loop().call_soon(self._chunks_applied)

    def _chunks_applied(self) -> None:
        self._chunked_appends -= 1

    def settled(self) -> bool:
        """Return whether all recorded entries have been applied to the state."""
        return not self._chunked_appends

    def _owns(self, epoch: int) -> bool:
        return epoch == self.tenure.epoch and not self._fenced and self.tenure.holds()

    def _lease_expired(self, epoch: int) -> bool:
        """Return whether the lease has expired while no later owner is known.

        During a store outage no process can take over. "Not owner" would make the caller retry
        until its deadline, although an immediate refusal is possible.
        """
        is_current = self.ready and epoch == self.tenure.epoch and not self._fenced
        return is_current and not self.tenure.holds()

    def _add(self, job: Job) -> None:
        self._jobs[job.id] = job
        self._unfinished[job.id] = job
        if job.spec.key:
            self._keys[job.spec.account, job.spec.key] = job.id

    def _remove(self, job: Job) -> None:
        self._queue.drop(job)
        self._jobs.pop(job.id, None)
        self._unfinished.pop(job.id, None)
        if job.spec.key:
            self._keys.pop((job.spec.account, job.spec.key), None)

    def _retain_finished(self, job: Job) -> None:
        self._queue.drop(job)
        self._unfinished.pop(job.id, None)
        self._finished[job.id] = None
        while len(self._finished) > MAX_FINISHED_JOBS:
            oldest = next(iter(self._finished))
            del self._finished[oldest]
            self._remove(self._jobs[oldest])

    def _find_submitted(self, req: t.SubmitRequest) -> str | None:
        if req.job_id in self._jobs:
            return req.job_id
        if req.spec.key:
            return self._keys.get((req.spec.account, req.spec.key))
        return None

    def _cancel(self, job: Job) -> None:
        self.stop_running(job)
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

    def _current_task(self, event: t.TaskEvent) -> tuple[Job, int] | None:
        """Return the task of an event, or ``None`` if the event is outdated or unknown."""
        located = self._locate(event.task_id)
        if located is None:
            return None
        job, index = located
        live = job.live.get(index)
        if live is not None:
            return located if live.task_id == event.task_id else None
        return located if job.state(index) is TaskState.UNSURE else None

    def _entry_of(self, event: t.TaskEvent) -> t.LogEntry | None:
        """Return the log entry for an event, or ``None`` if a successor does not need it."""
        located = self._current_task(event)
        if located is None:
            return None
        job, index = located
        end = End(int(event.end))
        if not job.is_final(index, end) and end is not End.NOT_STARTED:
            return None
        return records.task_finished(job, index, event.attempt, end)

    def _apply(self, event: t.TaskEvent) -> None:
        located = self._current_task(event)
        if located is None:
            return
        job, index = located
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
        EVENT_COUNTERS.add(account, WorkKind.JOBS, kind, now=self.ctx.clock.monotonic())

    def _wake(self, job: Job | None = None) -> None:
        if job is not None and job.spec.kind is JobKind.GANG:
            self._gangs.wake()
            return
        for lane in self._lanes.values():
            lane.wake()
        self._gangs.wake()

    def _extents(self) -> list[Extent]:
        return [_extent_of(lane) for lane in self._lanes.values() if lane.digest is not None]

    def _all_extents(self) -> list[Extent] | None:
        """Return the capacity of all worker partitions, or ``None`` while any is unknown."""
        partitions = self.ctx.ownership.partitions(PartitionKind.WORKER)
        lanes = [self._lanes.get(str(partition)) for partition in partitions]
        known = [lane for lane in lanes if lane is not None and lane.all_reported and lane.digest]
        if not partitions or len(known) < len(partitions):
            return None
        return [_extent_of(lane) for lane in known]

    def _sync_accounts(self) -> None:
        cell = self.ctx.cell.current()
        if cell.revision == self._revision:
            return
        self._revision = cell.revision
        for account in cell.accounts.values():
            self._share.set_account(account.name, weight=account.share, quota=account.limits.quota)

    # ------------------------------------------------------------ replies

    def _submit_reply(
        self, req: t.SubmitRequest, verdict: int, *, job_id: str | None = None, reason: str = ""
    ) -> t.SubmitReply:
        name = t.SubmitVerdict(verdict).name
        JOBS_SUBMITTED.labels(req.spec.account, name).inc()
        return t.SubmitReply(
            verdict=verdict, epoch=self.tenure.epoch, job_id=job_id, reason=reason or None
        )

    def _unavailable_reply(self, req: t.SubmitRequest, reason: str) -> t.SubmitReply:
        if req.spec.account in self.ctx.cell.current().accounts:
            self._count_event(req.spec.account, EventKind.REFUSED)
        reply = self._submit_reply(req, t.SubmitVerdict.UNAVAILABLE, reason=reason)
        reply.retry_after_ms = RETRY_AFTER_MS
        return reply

    def _unclear_reply(self, req: t.SubmitRequest) -> t.SubmitReply:
        self._count_event(req.spec.account, EventKind.UNKNOWN)
        reply = self._submit_reply(
            req,
            t.SubmitVerdict.UNCLEAR,
            job_id=req.job_id,
            reason="not known whether the job is on record",
        )
        reply.retry_after_ms = RETRY_AFTER_MS
        return reply

    def _job_unavailable_reply(self) -> t.JobReply:
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


def _extent_of(lane: Lane) -> Extent:
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
