"""The owner of the workers of one rack: places and starts tasks and reports their ends."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping, Sequence

from loguru import logger
from prometheus_client import Counter, Gauge

from rhubarbferry.core.cell import Size
from rhubarbferry.core.ejection import Ejector, Health
from rhubarbferry.core.overrun import OverrunTracker, Remedy
from rhubarbferry.core.placement import Spread
from rhubarbferry.core.succession import Succession
from rhubarbferry.core.worker_ledger import (
    Attempt,
    End,
    Held,
    HeldState,
    WorkerLedger,
    WorkerState,
)
from rhubarbferry.ports.hosts import Host, HostKind
from rhubarbferry.ports.ownership import RackTenure
from rhubarbferry.rpc import Handler
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler.claim_batcher import ClaimBatcher, QueuedRequest, RequestNumbers
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.event_outbox import EventOutbox
from rhubarbferry.scheduler.messages import (
    attempt_of_claim,
    held_task,
    reported,
    resources_of,
    size_of,
    task_event,
)
from rhubarbferry.scheduler.partition import Partition, Phase
from rhubarbferry.scheduler.worker_link import (
    Adopted,
    Fenced,
    Renewed,
    Replied,
    Started,
    Unresponsive,
    WorkerEvent,
    WorkerLink,
)

WATCH_INTERVAL_S = 0.1
MAX_ADOPTION_WAIT_S = 1.0

REMEDY_ACTIONS = {
    Remedy.THROTTLE: t.TaskAction.THROTTLE,
    Remedy.CHECKPOINT: t.TaskAction.CHECKPOINT,
    Remedy.STOP: t.TaskAction.STOP,
}

CLAIMS = Counter("rhubarbferry_claims_total", "Claims decided, by verdict", ["verdict"])
TASKS_PREEMPTED = Counter(
    "rhubarbferry_tasks_preempted_total", "Tasks told to give way to urgent ones", ["account"]
)
TASK_OVERRUNS = Counter(
    "rhubarbferry_task_overruns_total", "Orders to tasks that use too much", ["remedy"]
)
TASKS_LAPSED = Counter("rhubarbferry_tasks_lapsed_total", "Tasks ended by a lease that lapsed")
WORKER_EJECTIONS = Counter("rhubarbferry_workers_ejected_total", "Workers taken out of use")
FREE_MILLICORES = Gauge("rhubarbferry_free_millicores", "Free processors of a rack", ["partition"])


class WorkerPartition(Partition):
    """The owner of the workers of one rack.

    Recovery adopts every worker. An adoption raises the worker's epoch, so that it refuses
    requests of earlier owners, and returns the tasks that the worker runs. Until a worker has
    replied it may run unknown tasks, and ``held_tasks`` lists it in ``unheard``. An owner that has
    lost its connection to the store continues while a majority of its workers replies, so its
    tasks may outlast its lease in the store: :class:`Succession` computes when they have ended.
    Claims are served meanwhile on the adopted workers.
    """

    def __init__(self, *, tenure: RackTenure, ctx: Context) -> None:
        super().__init__(tenure=tenure, ctx=ctx)
        jobs, ownership = ctx.cfg.jobs, ctx.cfg.ownership
        margin_s = ownership.clock_margin_s
        self._rack_tenure = tenure
        self._won_at = ctx.clock.monotonic()
        self._lease_s = jobs.task_lease_s + margin_s
        self._succession = Succession(
            won_at=self._won_at,
            promise_s=ownership.promise_s,
            lease_s=self._lease_s,
            longest_extension_s=ownership.longest_extension_s,
        )
        self._ledger = WorkerLedger(lease_s=jobs.task_lease_s, margin_s=margin_s)
        self._ejector = Ejector()
        self._overruns = OverrunTracker()
        self._request_numbers = RequestNumbers()
        self._links: dict[str, WorkerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._listed: set[str] = set()
        self._leaving: set[str] = set()
        self._fenced = False
        self._worker_reported = asyncio.Event()
        self._outbox = EventOutbox(tenure=tenure, ctx=ctx, recorded=self._recorded)
        self._batcher = ClaimBatcher(
            batch_window_s=jobs.claim_batch_s, clock=ctx.clock, decide=self._decide
        )

    # ------------------------------------------------------------ lifecycle

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers called by homes."""
        return {
            "claim": self.claim,
            "settle_reservation": self.settle_reservation,
            "digest": self.digest,
            "stop_tasks": self.stop_tasks,
            "held_tasks": self.held_tasks,
        }

    async def recover(self) -> None:
        """Adopt the workers; wait a bounded time for their replies."""
        self._sync_hosts()
        self._update_takeover()
        try:
            async with asyncio.timeout(
                min(MAX_ADOPTION_WAIT_S, self.ctx.cfg.jobs.task_lease_s / 2)
            ):
                while self._workers_with_unknown_tasks():
                    self._worker_reported.clear()
                    await self._worker_reported.wait()
        except TimeoutError:
            logger.warning(
                "{}: no reply from workers: {}",
                self.tenure.partition,
                self._workers_with_unknown_tasks(),
            )
        self.phase = Phase.SERVING

    async def serve(self) -> None:
        """Process claims, follow the host list, send events and check leases until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._batcher.run())
            group.create_task(self._outbox.run())
            group.create_task(self._follow_hosts())
            group.create_task(self._watch())

    async def drain(self) -> None:
        """Refuse new claims; running tasks continue under the next owner."""
        self.phase = Phase.DRAINING

    async def close(self) -> None:
        """Stop all calls to workers."""
        self.phase = Phase.STOPPED
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        self._tasks.clear()

    def depth(self) -> int:
        """Return the number of queued claim requests."""
        return self._batcher.depth()

    # ------------------------------------------------------------ handlers

    async def claim(self, req: t.ClaimRequest) -> t.ClaimReply:
        """Start or reserve the claimed tasks that fit on a worker."""
        if not self._owns(req.epoch):
            return t.ClaimReply(owner=False, epoch=self.tenure.epoch, results=[])
        if not self._request_numbers.accept(req.home, req.home_epoch, req.number):
            return self._claim_reply(_refuse_all(req.claims, "a later request has arrived"))
        if self.phase is not Phase.SERVING:
            return self._claim_reply(_refuse_all(req.claims, f"the partition is {self.phase}"))
        results = await self._batcher.submit(req)
        if results is None:
            results = _refuse_all(req.claims, "too many claims wait; come back")
        return self._claim_reply(results)

    async def settle_reservation(self, req: t.ReservationRequest) -> t.ClaimReply:
        """Start reserved tasks or release their reservations."""
        if not self._owns(req.epoch):
            return t.ClaimReply(owner=False, epoch=self.tenure.epoch, results=[])
        if not self._request_numbers.accept(req.home, req.home_epoch, req.number):
            return self._claim_reply(
                [_result(task_id, t.ClaimVerdict.REFUSED, "stale") for task_id in req.task_ids]
            )
        if not req.commit:
            for task_id in req.task_ids:
                self._release_reservation(task_id)
            return self._claim_reply(
                [_result(task_id, t.ClaimVerdict.NOT_STARTED) for task_id in req.task_ids]
            )
        self._ledger.expire(self.ctx.clock.monotonic())
        committed = [held for id in req.task_ids if (held := self._ledger.commit(id)) is not None]
        found = {held.attempt.task_id for held in committed}
        results = [
            _result(task_id, t.ClaimVerdict.NOT_STARTED, "the reservation is over")
            for task_id in req.task_ids
            if task_id not in found
        ]
        return self._claim_reply(results + await self._start(committed))

    async def digest(self, req: t.DigestRequest) -> t.DigestReply:
        """Reply with the free capacity and the usage of each account."""
        if not self._owns(req.epoch):
            return t.DigestReply(owner=False, epoch=self.tenure.epoch)
        return t.DigestReply(owner=True, epoch=self.tenure.epoch, digest=self._digest())

    async def stop_tasks(self, req: t.StopTasksRequest) -> t.StopTasksReply:
        """Order workers to stop, checkpoint or throttle tasks; ends are sent as events."""
        if not self._owns(req.epoch):
            return t.StopTasksReply(owner=False, epoch=self.tenure.epoch, held=[])
        action = t.TaskAction.STOP
        if req.throttle:
            action = t.TaskAction.THROTTLE
        elif req.checkpoint:
            action = t.TaskAction.CHECKPOINT
        held_ids = []
        for task_id in req.task_ids:
            if self._release_reservation(task_id):
                continue
            held = self._ledger.held(task_id)
            if held is not None and held.attempt.home == req.home:
                held_ids.append(task_id)
                self._send_action(held, action)
        return t.StopTasksReply(owner=True, epoch=self.tenure.epoch, held=held_ids)

    async def held_tasks(self, req: t.HeldTasksRequest) -> t.HeldTasksReply:
        """Reply with the tasks held for a home; refuse its earlier requests from then on."""
        if not self._owns(req.epoch):
            return t.HeldTasksReply(owner=False, epoch=self.tenure.epoch, complete=False, tasks=[])
        if not self._request_numbers.accept(req.home, req.home_epoch, req.number):
            return t.HeldTasksReply(owner=True, epoch=self.tenure.epoch, complete=False, tasks=[])
        tasks = []
        for held in list(self._ledger.all_held()):
            if held.attempt.home != req.home:
                continue
            if held.state == HeldState.RESERVED:
                self._ledger.release(held.attempt.task_id)
            else:
                tasks.append(held_task(held))
        unheard = self._ledger.with_unknown_tasks(self.ctx.clock.monotonic())
        return t.HeldTasksReply(
            owner=True,
            epoch=self.tenure.epoch,
            complete=not unheard and not self._host_list_unread(),
            tasks=tasks,
            unheard=unheard,
            heard=self._ledger.adopted(),
            over=self.ctx.clock.monotonic() >= self._succession.settled_at(),
        )

    # ------------------------------------------------------------ decisions

    async def _decide(self, batch: Sequence[QueuedRequest]) -> None:
        """Place the claims of a batch and wait for the replies of the workers."""
        now = self.ctx.clock.monotonic()
        self._ledger.expire(now)
        results: dict[int, list[t.ClaimResult]] = {id(queued): [] for queued in batch}
        to_start: list[Held] = []
        reply_index: dict[str, int] = {}
        for queued, claim in self._sorted_claims(batch):
            verdict = self._place(queued, claim, now)
            if isinstance(verdict, Held):
                to_start.append(verdict)
                reply_index[claim.task_id] = id(queued)
            else:
                results[id(queued)].append(verdict)
        self._reply_without_starts(batch, results, set(reply_index.values()))
        for result in await self._start(to_start):
            results[reply_index[result.task_id]].append(result)
        for queued in batch:
            if not queued.results.done():
                queued.results.set_result(results[id(queued)])

    @staticmethod
    def _reply_without_starts(
        batch: Sequence[QueuedRequest], results: dict[int, list[t.ClaimResult]], starting: set[int]
    ) -> None:
        for queued in batch:
            if id(queued) not in starting and not queued.results.done():
                queued.results.set_result(results[id(queued)])

    def _sorted_claims(self, batch: Sequence[QueuedRequest]) -> list[tuple[QueuedRequest, t.Claim]]:
        """Sort claims by priority, account usage in this rack and descending task size."""
        usage = self._ledger.usage()
        total = self._ledger.total()

        def rank(item: tuple[QueuedRequest, t.Claim]) -> tuple[int, float, int, int]:
            claim = item[1]
            share = _dominant_share(usage.get(claim.account, Size()), total)
            return (
                claim.priority,
                round(share, 2),
                -claim.size.accelerators,
                -max(claim.size.millicores, claim.size.memory_bytes >> 21),
            )

        return sorted(
            ((queued, claim) for queued in batch for claim in queued.req.claims), key=rank
        )

    def _place(self, queued: QueuedRequest, claim: t.Claim, now: float) -> Held | t.ClaimResult:
        """Place a claim; return the attempt to start, or the result if there is none."""
        req = queued.req
        verdict = t.ClaimVerdict
        if not self._request_numbers.is_latest(req.home, req.home_epoch, req.number):
            return _result(claim.task_id, verdict.REFUSED, "a later request has arrived")
        known = self._ledger.held(claim.task_id)
        if known is not None:
            return _result(claim.task_id, verdict.HELD, worker=known.worker, attempt=claim.attempt)
        if not self._may_act():
            return _result(claim.task_id, verdict.REFUSED, "the partition is changing hands")
        spread = Spread.APART if claim.kind == t.JobKind.SERVICE else Spread.PACK
        attempt = attempt_of_claim(claim, req.home)
        until = now + req.reserve_ms / 1000 if req.reserve_ms > 0 else 0.0
        held = self._ledger.place(attempt, spread=spread, now=now, reserved_until=until)
        if held is None:
            self._make_room(attempt, claim, now)
            return _result(claim.task_id, verdict.NO_ROOM, self._why_no_room(attempt))
        self._ejector.started(held.worker, attempt.job_id, now=now)
        self._update_accepting(held.worker)
        if until:
            return _result(
                claim.task_id, verdict.RESERVED, worker=held.worker, attempt=claim.attempt
            )
        return held

    def _make_room(self, attempt: Attempt, claim: t.Claim, now: float) -> None:
        if claim.priority == t.Priority.URGENT and claim.kind != t.JobKind.GANG:
            for victim in self._ledger.preempt(attempt, now=now):
                TASKS_PREEMPTED.labels(victim.attempt.account).inc()
                self._send_action(victim, t.TaskAction.CHECKPOINT)
            return
        waited_s = (claim.waited_ms or 0) / 1000
        if waited_s >= self.ctx.cfg.jobs.patience_s and claim.kind != t.JobKind.GANG:
            self._ledger.dedicate_worker(attempt, waited_s=waited_s, now=now)

    def _why_no_room(self, attempt: Attempt) -> str:
        size = attempt.size
        largest = self._ledger.placement.largest_free()
        short = [
            name
            for name, need, free in (
                ("processors", size.millicores, largest.millicores),
                ("memory", size.memory_bytes, largest.memory_bytes),
                ("accelerators", size.accelerators, largest.accelerators),
            )
            if need > free
        ]
        if short:
            return f"no worker has enough free {' and '.join(short)}"
        return "no single worker has all of the sizes free together"

    async def _start(self, held: Sequence[Held]) -> list[t.ClaimResult]:
        """Start attempts on their workers; keep holding those with an unknown outcome."""
        by_worker: dict[str, list[Held]] = {}
        for entry in held:
            by_worker.setdefault(entry.worker, []).append(entry)
        answers = await asyncio.gather(
            *(self._start_on(worker, entries) for worker, entries in by_worker.items())
        )
        return [result for results in answers for result in results]

    async def _start_on(self, worker: str, entries: Sequence[Held]) -> list[t.ClaimResult]:
        link = self._links.get(worker)
        attempts = [entry.attempt for entry in entries]
        if link is None or not self._may_act():
            outcomes = [Started(task_id=a.task_id, started=False) for a in attempts]
        else:
            outcomes = await link.start(attempts)
        return [
            self._apply_start(entry, answer)
            for entry, answer in zip(entries, outcomes, strict=True)
        ]

    def _apply_start(self, held: Held, answer: Started) -> t.ClaimResult:
        task_id, attempt = held.attempt.task_id, held.attempt.attempt
        verdict = t.ClaimVerdict
        match answer.started:
            case True:
                self._ledger.started(task_id)
                kind = verdict.STARTED
            case None:
                # The task may have been started. Its resources stay reserved and the home must not
                # place it elsewhere until the worker reports, or its lease must have expired.
                kind = verdict.UNKNOWN
            case _:
                kind = verdict.NOT_STARTED
                if not self._ledger.release(task_id):
                    # The worker has since reported the task as held, which takes precedence.
                    kind = verdict.HELD
                self._ejector.record_inconclusive(held.worker, held.attempt.job_id)
                self._update_accepting(held.worker)
        return _result(task_id, kind, answer.reason, worker=held.worker, attempt=attempt)

    def _release_reservation(self, task_id: str) -> bool:
        held = self._ledger.held(task_id)
        if held is None or held.state != HeldState.RESERVED:
            return False
        return self._ledger.release(task_id)

    def _send_action(self, held: Held, action: int) -> None:
        link = self._links.get(held.worker)
        if link is None or held.state == HeldState.ENDED:
            return
        held.stopping = held.stopping or action != t.TaskAction.THROTTLE
        link.send_action(held.attempt.task_id, action)

    # ------------------------------------------------------------ worker events

    def _apply_event(self, event: WorkerEvent) -> None:
        """Apply an event about a worker to the ledger; called by its link."""
        now = self.ctx.clock.monotonic()
        if event.worker not in self._links:
            return
        match event:
            case Adopted(worker=worker, reply=reply):
                self._adopted(worker, reply, now)
            case Renewed(worker=worker, reply=reply):
                self._ledger.mark_responding(worker)
                self._renewed(worker, reply)
            case Replied(worker=worker):
                self._ledger.extend(worker, now=now)
            case Unresponsive(worker=worker):
                self._ledger.mark_silent(worker)
            case Fenced(highest_epoch=highest):
                self._fenced = True
                self._rack_tenure.observe_epoch(highest)
                logger.warning(
                    "{}: superseded by the owner with epoch {}", self.tenure.partition, highest
                )
        self._worker_reported.set()

    def _adopted(self, worker: str, reply: t.WorkerAdoptReply, now: float) -> None:
        reports = [reported(task) for task in reply.tasks]
        capacity = Size(
            millicores=reply.capacity.millicores,
            memory_bytes=reply.capacity.memory_bytes,
            accelerators=reply.capacity.accelerators,
        )
        self._succession.record_adoption(worker, settled_epoch=reply.settled_epoch or 0)
        ended = self._ledger.adopt(worker, capacity=capacity, reported=reports, now=now)
        self._update_takeover()
        for held in ended:
            self._ended(held)
        for report in reports:
            if report.end is not None and self._ledger.held(report.attempt.task_id) is None:
                self._links[worker].acknowledge(report.attempt.task_id)
        self._update_accepting(worker)

    def _renewed(self, worker: str, reply: t.RenewReply) -> None:
        link = self._links[worker]
        for usage in reply.usage:
            self._check_usage(usage)
        for message in reply.ended:
            report = reported(message)
            task_id = report.attempt.task_id
            if self._ledger.held(task_id) is None:
                link.acknowledge(task_id)
                continue
            end = End.STOPPED if report.end is None else report.end
            held = self._ledger.end(task_id, end, report.ran_ms)
            if held is not None:
                self._ended(held)

    def _check_usage(self, usage: t.TaskUsage) -> None:
        held = self._ledger.held(usage.task_id)
        if held is None or held.state != HeldState.RUNNING:
            return
        remedy = self._overruns.judge(
            usage.task_id,
            declared=held.attempt.size,
            used=size_of(usage.used),
            preemptible=held.attempt.preemptible,
            now=self.ctx.clock.monotonic(),
        )
        if remedy is not Remedy.NONE:
            TASK_OVERRUNS.labels(remedy.name).inc()
            self._send_action(held, REMEDY_ACTIONS[remedy])

    def _ended(self, held: Held) -> None:
        self._overruns.forget(held.attempt.task_id)
        self._update_health(held)
        self._outbox.put(held.attempt.home, task_event(held))

    def _update_health(self, held: Held) -> None:
        """Update the health record of a worker from the end of a task."""
        now = self.ctx.clock.monotonic()
        worker, job_id = held.worker, held.attempt.job_id
        match held.end:
            case End.DONE:
                self._ejector.succeeded(worker, job_id, now=now)
            case End.FAILED:
                workers = len(self._links)
                if self._ejector.failed(worker, job_id, now=now, hosts=workers):
                    WORKER_EJECTIONS.inc()
                    logger.warning("worker {} ejected because its tasks fail", worker)
            case _:
                self._ejector.record_inconclusive(worker, job_id)
        self._update_accepting(worker)

    def _recorded(self, task_id: str) -> None:
        held = self._ledger.held(task_id)
        if held is None:
            return
        self._ledger.forget(task_id)
        link = self._links.get(held.worker)
        if link is not None:
            link.acknowledge(task_id)

    # ------------------------------------------------------------ background work

    async def _watch(self) -> None:
        while True:
            now = self.ctx.clock.monotonic()
            for held in self._ledger.lapse(now):
                TASKS_LAPSED.inc()
                self._ended(held)
            self._ledger.expire(now)
            for worker in list(self._links):
                self._update_accepting(worker)
            self._remove_unlisted(now)
            self._update_takeover()
            self._update_majority_set()
            FREE_MILLICORES.labels(str(self.tenure.partition)).set(self._ledger.free().millicores)
            await self.ctx.clock.sleep(WATCH_INTERVAL_S)

    async def _follow_hosts(self) -> None:
        while True:
            await self.ctx.hosts.changed()
            self._sync_hosts()

    def _sync_hosts(self) -> None:
        hosts = {host.id: host for host in self.ctx.hosts.hosts() if self._is_mine(host)}
        self._listed = set(hosts)
        self._leaving = {id for id, host in hosts.items() if host.leaving}
        for id, host in hosts.items():
            link = self._links.get(id)
            if link is not None and link.address != host.address:
                # The same id at another address is another process. Tasks of the old process stay
                # in the ledger until its lease has expired.
                self._stop_link(id)
                link = None
            if link is None:
                self._add(host)
        for worker in self._links:
            self._update_accepting(worker)
            if worker not in self._listed:
                # The platform reports the worker as removed; its tasks end within this time.
                now, promise_s = self.ctx.clock.monotonic(), self.ctx.cfg.ownership.promise_s
                self._ledger.limit_unknown_tasks(worker, until=now + promise_s + self._lease_s)

    def _update_takeover(self) -> None:
        """Settle tasks of never adopted workers once the previous owner can no longer act."""
        if not self._succession.lacks_majority() or self._host_list_unread():
            return
        never_reported = self._ledger.never_adopted()
        listed = [worker for worker in never_reported if worker in self._listed]
        now = self.ctx.clock.monotonic()
        self._succession.check_majority(unadopted=listed, now=now)
        if self._succession.lacks_majority():
            return
        for worker in never_reported:
            self._ledger.limit_unknown_tasks(worker, until=self._succession.settled_at())

    def _update_majority_set(self) -> None:
        """Set the workers whose majority can extend this tenure beyond its lease.

        The set changes only while the lease is valid: later, a set reduced to the reachable
        workers would always have a majority of itself. It also changes only after the takeover is
        complete, because until then the previous owner may still have a majority.
        """
        held_promises = self._rack_tenure.promises
        is_settled = self.ctx.clock.monotonic() >= self._succession.settled_at()
        if not self._rack_tenure.lease_holds() or not (is_settled or self._all_adopted()):
            return
        if held_promises.guards != self._listed:
            held_promises.set_guards(guards=self._listed, version=held_promises.version + 1)

    def _all_adopted(self) -> bool:
        return bool(self._listed) and self._listed.issubset(self._ledger.adopted())

    def _is_mine(self, host: Host) -> bool:
        partition = self.tenure.partition
        return (
            host.kind is HostKind.WORKER
            and host.region == partition.region
            and host.rack == partition.name
        )

    def _add(self, host: Host) -> None:
        link = WorkerLink(
            worker=host.id,
            address=host.address,
            tenure=self._rack_tenure,
            ctx=self.ctx,
            on_event=self._apply_event,
        )
        self._links[host.id] = link
        if host.id not in self._ledger.workers():
            self._ledger.add_worker(
                host.id,
                failure_domain=host.failure_domain,
                unadopted_until=self._succession.settled_at(),
            )
        self._tasks[host.id] = asyncio.create_task(link.run())

    def _stop_link(self, worker: str) -> None:
        self._links.pop(worker)
        task = self._tasks.pop(worker, None)
        if task is not None:
            task.cancel()

    def _remove_unlisted(self, now: float) -> None:
        """Remove workers that are no longer listed and hold no tasks."""
        for worker in list(self._links):
            if worker in self._listed or self._ledger.state(worker) == WorkerState.LIVE:
                continue
            if worker not in self._ledger.with_unknown_tasks(now) and self._ledger.remove_worker(
                worker
            ):
                self._stop_link(worker)
                self._ejector.forget(worker)

    def _update_accepting(self, worker: str) -> None:
        now = self.ctx.clock.monotonic()
        wanted = worker in self._listed and worker not in self._leaving
        health = self._ejector.health(worker, now=now)
        self._ledger.set_accepting(worker, wanted and health is not Health.EJECTED)

    # ------------------------------------------------------------ internals

    def _owns(self, epoch: int) -> bool:
        return epoch == self.tenure.epoch and self._may_act()

    def _may_act(self) -> bool:
        return not self._fenced and self.phase is not Phase.STOPPED and self.tenure.holds()

    def _workers_with_unknown_tasks(self) -> list[str]:
        return self._ledger.with_unknown_tasks(self.ctx.clock.monotonic())

    def _host_list_unread(self) -> bool:
        """Return whether the host list may still be unread, so that workers may exist."""
        return not self._listed and self.ctx.clock.monotonic() < self._won_at + self._lease_s

    def _claim_reply(self, results: Iterable[t.ClaimResult]) -> t.ClaimReply:
        results = list(results)
        for result in results:
            CLAIMS.labels(t.ClaimVerdict(result.verdict).name).inc()
        return t.ClaimReply(
            owner=True, epoch=self.tenure.epoch, results=results, digest=self._digest()
        )

    def _digest(self) -> t.PartitionDigest | None:
        if self.phase is Phase.RECOVERING:
            # The digest would show an empty rack, and homes would refuse all jobs because of it.
            return None
        ledger = self._ledger
        domains = {h.failure_domain for h in self.ctx.hosts.hosts() if self._is_mine(h)}
        return t.PartitionDigest(
            partition=str(self.tenure.partition),
            epoch=self.tenure.epoch,
            failure_domain=min(domains, default=""),
            total=resources_of(ledger.total()),
            free=resources_of(ledger.free()),
            largest_free=resources_of(ledger.placement.largest_free()),
            largest_worker=resources_of(ledger.largest_worker()),
            usage=[
                t.AccountUsage(account=account, used=resources_of(used))
                for account, used in ledger.usage().items()
            ],
            workers=len(ledger.workers()),
        )


def _result(
    task_id: str,
    verdict: int,
    reason: str = "",
    *,
    worker: str | None = None,
    attempt: int = 0,
) -> t.ClaimResult:
    return t.ClaimResult(
        task_id=task_id, attempt=attempt, verdict=verdict, worker_id=worker, reason=reason or None
    )


def _refuse_all(claims: Iterable[t.Claim], reason: str) -> list[t.ClaimResult]:
    return [_result(claim.task_id, t.ClaimVerdict.REFUSED, reason) for claim in claims]


def _dominant_share(used: Size, total: Size) -> float:
    pairs = (
        (used.millicores, total.millicores),
        (used.memory_bytes, total.memory_bytes),
        (used.accelerators, total.accelerators),
    )
    return max((value / whole for value, whole in pairs if whole), default=0.0)
