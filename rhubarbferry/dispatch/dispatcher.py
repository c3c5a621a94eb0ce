"""Assign tasks to hosts.

The dispatcher does no I/O and reads no clock. Its caller passes in events (new jobs, host reports,
answers to orders) with the current time, carries out the orders that :meth:`Dispatcher.decide`
returns, and writes the jobs in :attr:`Dispatcher.dirty` to the store.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import Factory, define, field

from rhubarbferry.core.ejection import EjectionRules, Ejector
from rhubarbferry.dispatch import reservations
from rhubarbferry.dispatch.account_shares import AccountShares
from rhubarbferry.dispatch.approval_request_size import ApprovedShare
from rhubarbferry.dispatch.approval_requests import (
    APPROVAL_RETRY_INTERVAL_S,
    has_undecided_room,
    next_approval_request,
)
from rhubarbferry.dispatch.candidates import Candidates
from rhubarbferry.dispatch.evacuation import runs_to_stop
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.hung import describe_hung, hung_runs
from rhubarbferry.dispatch.job import Job, JobPhase, JobStatus, Run, RunPhase, Step, Task
from rhubarbferry.dispatch.messages import (
    FULL_PERCENT,
    Account,
    ApprovalRequest,
    ApprovalResponse,
    EndKind,
    HostEntry,
    HostReport,
    Order,
    OrderResult,
    Queue,
    Refusal,
    StartOrder,
    StepId,
    TaskId,
)
from rhubarbferry.dispatch.objective import Urgency
from rhubarbferry.dispatch.pacing import Pacing
from rhubarbferry.dispatch.placement import Placement, place
from rhubarbferry.dispatch.preemption import Holds
from rhubarbferry.dispatch.quota_blocks import QuotaBlocks
from rhubarbferry.dispatch.quotas import Quotas
from rhubarbferry.dispatch.takeover import HostsGivenUp, Takeover
from rhubarbferry.dispatch.tracker import (
    RunEnded,
    RunEvent,
    RunFound,
    RunRefused,
    RunStarted,
    Tracker,
)
from rhubarbferry.dispatch.waiting import WaitingSteps

# A host that refused a start because of its own state receives no new task for this long.
REFUSAL_BACKOFF_S = 0.5
# A host on which a task hung receives no new task for this long.
HUNG_TASK_BACKOFF_S = 4.0
# A few percent of all runs fail because of the task itself, so a host is ejected only after tasks
# of this many different jobs have failed on it with no success in between.
HOST_EJECTION_RULES = EjectionRules(
    distinct_failures=3, window_s=10.0, eject_s=3.0, max_eject_s=12.0
)
# Maximum number of steps that one call of `decide` tries to place. The next call continues with the
# rest, so the caller can serve other processes between the two calls.
MAX_STEPS_PER_DECISION = 32
# Minimum interval between two passes over all hosts that look for changes due to time alone:
# expired task leases, and hosts that accept tasks again. Hosts that have changed in another way are
# processed by every decision.
HOST_REVIEW_INTERVAL_S = 0.05
# Refusals that are caused by the state of the host, which would refuse the next task as well.
HOST_STATE_REFUSALS = (
    Refusal.NO_ROOM,
    Refusal.UNHEALTHY,
    Refusal.OTHER_HOST,
    Refusal.NOT_SENT,
)


@define(kw_only=True, eq=False)
class Dispatcher:
    """State of the jobs and hosts of a cell, as held by the owner.

    :param takeover: hosts that may still run tasks for an earlier owner; inherited jobs wait for
        them.
    :param lease_s: maximum task lease that a host grants, in seconds.
    :ivar dirty: jobs whose state in the store is out of date, in the order of their first change.
    :ivar ended: final status of each job whose end has been written to the store.
    :ivar run_events: changes of runs and hosts that the caller has not logged yet.
    """

    takeover: Takeover
    lease_s: float
    jobs: dict[str, Job] = Factory(dict)
    dirty: dict[str, Job] = Factory(dict)
    ended: dict[str, JobStatus] = Factory(dict)
    run_events: list[RunEvent | HostsGivenUp] = Factory(list)
    quotas: Quotas = Factory(Quotas)
    tracker: Tracker = field(init=False)
    waiting: WaitingSteps = Factory(WaitingSteps)
    blocks: QuotaBlocks = field(init=False)
    shares: AccountShares = field(init=False)
    holds: Holds = field(init=False)
    pacing: Pacing = Factory(Pacing)
    _candidates: Candidates = field(init=False)
    _steps_with_reservations: dict[Step, None] = Factory(dict)
    _approval_retry_at: dict[Step, float] = Factory(dict)
    _ejector: Ejector = Factory(lambda: Ejector(rules=HOST_EJECTION_RULES))
    _repeated_jobs: dict[str, Job] = Factory(dict)
    _unresolved_jobs: dict[str, Job] = Factory(dict)
    _stopping_jobs: dict[str, Job] = Factory(dict)
    _hosts_reviewed_at: float = float("-inf")
    _queues: Mapping[str, Queue] | None = None
    _approved_shares: dict[str, ApprovedShare] = Factory(dict)

    def __attrs_post_init__(self) -> None:
        self.tracker = Tracker(jobs=self.jobs, lease_s=self.lease_s, quotas=self.quotas)
        self.blocks = QuotaBlocks(quotas=self.quotas, waiting=self.waiting)
        self.shares = AccountShares(quotas=self.quotas)
        self.holds = Holds(shares=self.shares)
        self._candidates = Candidates(waiting=self.waiting, shares=self.shares)

    # ------------------------------------------------------------ jobs

    def add_job(self, job: Job, *, now: float, wall_s: float) -> None:
        """Add an accepted job, either a new one or one inherited from an earlier owner."""
        self.jobs[job.id] = job
        if job.account is not None:
            self.quotas.add_account(job.account)
        if job.req.times > 0:
            self._repeated_jobs[job.id] = job
            job.create_due_occurrences(now, wall_s)
            if job.inherited:
                job.restore_due_times(now, wall_s)
        elif not job.occurrences:
            job.add_occurrence(0, now)
        if job.inherited:
            self._unresolved_jobs[job.id] = job
            self.quotas.assume_running(job)
        self._queue_ready_steps(job, now)
        self._finish_if_done(job)

    def cancel_job(self, id: str) -> None:
        """Cancel a job; do nothing if it has ended."""
        job = self.jobs.get(id)
        if job is not None and not job.phase.final:
            self._finish(job, JobPhase.CANCELLED, "cancelled by its client")

    def mark_recorded(self, job: Job) -> None:
        """Record that the store holds a job's current state; remove the job if it has ended."""
        if job.phase.final:
            self.jobs.pop(job.id, None)
            self._unresolved_jobs.pop(job.id, None)
            self._repeated_jobs.pop(job.id, None)
            self.ended[job.id] = job.status

    def configure(
        self, queues: Mapping[str, Queue], accounts: Mapping[str, Account], *, now: float
    ) -> None:
        """Apply a new configuration.

        Queues and accounts that are missing from it keep their previous settings.
        """
        if queues is self._queues:
            return
        self._queues = queues
        self.quotas.configure(accounts)
        for job in self.jobs.values():
            queue = queues.get(job.queue.name)
            if queue is None or queue == job.queue:
                continue
            job.queue = queue
            for step in job.steps():
                if step in self.waiting:
                    self._enqueue(step, now)

    def count_pending(self, queue: str) -> int:
        """Return the number of jobs in a queue that have not started any task."""
        return sum(1 for job in self.jobs.values() if job.queue.name == queue and not job.started)

    # ------------------------------------------------------------ hosts

    def host_listed(self, entry: HostEntry, *, now: float) -> None:
        """Add or update a host from its entry in the host list."""
        self._apply_events(self.tracker.host_listed(entry, now), now)

    def host_unlisted(self, id: str) -> None:
        """Record that the host list no longer contains a host."""
        self.tracker.host_unlisted(id)

    def host_gone(self, id: str, *, now: float) -> None:
        """Record that the current incarnation of a host has certainly ended."""
        self.takeover.record_host_gone(id)
        host = self.tracker.hosts.get(id)
        if host is not None:
            self._apply_events(self.tracker.host_gone(host), now)

    def handle_report(self, id: str, report: HostReport, *, sent_at: float, now: float) -> None:
        """Process a host's report, which must answer a call under the current owner's fence.

        It also confirms a host at a takeover, as far as the runs that it lists are known.
        """
        host = self.tracker.hosts.get(id)
        if host is None:
            return
        restarted = report.incarnation > host.entry.incarnation
        self._apply_events(self.tracker.handle_report(host, report, sent_at=sent_at, now=now), now)
        if report.lists_all_ends:
            if restarted:
                # The report shows only the restart. An order of the earlier owner may have reached
                # the new incarnation, whose runs are adopted once the host list contains it.
                self.takeover.record_restart(id, report.jobs)
            elif host.adopted:
                self.takeover.record_adoption(id)
        self._reconsider_delayed_starts(host, now)
        self.pacing.record_report(host, now)
        self._stop_hung(host, now)
        for run in runs_to_stop(host, now):
            self.tracker.stop_with_gang(run, "its host leaves before it can end")

    def start_answered(
        self, id: str, task: TaskId, attempt: int, result: OrderResult, *, now: float
    ) -> None:
        """Process the result of a start order."""
        run = self.tracker.run(id, task, attempt)
        if run is not None:
            host = self.tracker.hosts[id]
            self._apply_events(self.tracker.start_answered(host, run, result, now=now), now)

    def is_start_unclear(self, id: str, task: TaskId, attempt: int) -> bool:
        """Return whether a start was not answered and the run may still exist or begin."""
        run = self.tracker.run(id, task, attempt)
        return run is not None and run.phase is RunPhase.UNCLEAR

    def stop_answered(self, id: str, task: TaskId, attempt: int, clock_s: float) -> None:
        """Record that a host has accepted a stop order."""
        run = self.tracker.run(id, task, attempt)
        if run is not None:
            self.tracker.stop_answered(run, clock_s)

    def pace_answered(
        self, id: str, task: TaskId, attempt: int, percent: int, *, now: float
    ) -> None:
        """Record that a host has applied a pace to a run."""
        run = self.tracker.run(id, task, attempt)
        if run is not None:
            run.pace = percent
            # Restart the hang detection, since a run at pace 0 has made no progress until now.
            run.progress_at = now

    # ------------------------------------------------------------ approvals

    def handle_approvals(self, response: ApprovalResponse, *, now: float) -> None:
        """Process the response to an approval request."""
        step = self._step(response.step)
        if step is None:
            return
        hosts = self.tracker.hosts
        incarnations = {id: hosts[id].entry.incarnation for id in response.asked if id in hosts}
        fresh = {id for id in response.asked if step.approvals.is_undecided(id)}
        step.approvals.record_response(response, incarnations)
        approved = len(fresh & step.approvals.approved)
        self.approved_share(step.job.queue).record(decided=len(fresh), approved=approved)
        self._reconsider(step, now)

    def approved_share(self, queue: Queue) -> ApprovedShare:
        """Return the estimated share of hosts that the policy approves for steps of a queue."""
        return self._approved_shares.setdefault(queue.name, ApprovedShare())

    def approval_request_failed(self, request: ApprovalRequest, *, now: float) -> None:
        """Record that an approval request failed, and schedule a retry."""
        step = self._step(request.step)
        if step is None:
            return
        step.approvals.pending.difference_update(request.hosts)
        step.approvals.failed_at = now
        self._approval_retry_at[step] = now + APPROVAL_RETRY_INTERVAL_S

    # ------------------------------------------------------------ decisions

    def decide(self, *, now: float, wall_s: float, starts: float = math.inf) -> list[Order]:
        """Return the orders to carry out now; call again while :attr:`has_more` is true.

        :param wall_s: Unix time, for jobs that start at a time of day.
        :param starts: limit on start orders. Once it is reached, the remaining steps are left to a
            later decision. The tasks of the last step may exceed it.
        """
        orders: list[Order] = []
        self._review_hosts(now)
        for job in list(self._repeated_jobs.values()):
            created = job.create_due_occurrences(now, wall_s)
            self.quotas.extend_assumption(job, created)
            self._queue_ready_steps(job, now)
        self._release_overdue_reservations(now)
        self.waiting.reorder(now)
        if self.holds.expire(now):
            # Room that was held until now is free for any step.
            self.reconsider_all()
        self.tracker.update_open_hosts(now)
        for step in [step for step, at in self._approval_retry_at.items() if now >= at]:
            del self._approval_retry_at[step]
            if not step.job.phase.final and not step.done:
                self._reconsider(step, now)
        self._resume_inherited_jobs(now)
        self._end_stopped_jobs()
        for step in self.blocks.take_unblocked():
            self._candidates.include(step)
        orders += self._place_candidates(now, starts)
        orders += self.tracker.take_orders()
        orders += self.pacing.take_orders()
        return orders

    def _review_hosts(self, now: float) -> None:
        if now - self._hosts_reviewed_at < HOST_REVIEW_INTERVAL_S:
            return
        self._hosts_reviewed_at = now
        self.shares.set_capacity(self.tracker.hosts.values())
        self._apply_events(self.tracker.expire_leases(now, keep=self.takeover.unconfirmed), now)
        self.tracker.mark_reopened_hosts(now)

    @property
    def has_more(self) -> bool:
        """Whether candidate steps remain that the last decision did not process."""
        return bool(self._candidates)

    def reconsider_all(self) -> None:
        """Reconsider all hosts and all waiting steps in the next decision."""
        self._hosts_reviewed_at = float("-inf")
        self._candidates.include_all()
        for account in self.waiting.blocked_counts():
            # Their order may have changed with their urgency.
            self.quotas.mark_changed(account)

    def _place_candidates(self, now: float, starts: float) -> list[Order]:
        """Place the next candidate steps, up to the limit of one decision."""
        self._candidates.update_standings()
        if not self._candidates:
            self._candidates.collect(self.tracker.take_changed())
        if not self._candidates:
            return []
        orders: list[Order] = []
        ordered = 0
        open_hosts = [host for host in self.tracker.hosts.values() if host.is_open]
        usable = open_hosts
        unusable: set[str] = set()
        for _ in range(MAX_STEPS_PER_DECISION):
            if ordered >= starts:
                self._candidates.postpone()
                break
            step = self._candidates.pop()
            if step is None:
                break
            # A host on probation after its ejection receives one task at a time.
            ejected = self._ejector.unusable(now=now)
            if ejected != unusable:
                unusable = ejected
                usable = [host for host in open_hosts if host.id not in unusable]
            found = self._place(step, usable, now)
            ordered += sum(isinstance(order, StartOrder) for order in found)
            orders += found
        return orders

    def _place(self, step: Step, open_hosts: list[Host], now: float) -> list[Order]:
        if step.job.id in self._unresolved_jobs:
            return []
        limit = self.blocks.limit(step)
        if limit == 0:
            self._block(step)
            return []
        approval_cost = step.job.queue.advice
        if step.approvals.awaiting_first_approval:
            return []
        allowed = open_hosts
        if approval_cost is not None:
            approved = step.approvals.approved
            allowed = [host for host in open_hosts if host.id in approved] if approved else []
        if step.req.filling:
            allowed = [host for host in allowed if self.pacing.may_fill(host)]
        placed = self._choose_hosts(step, allowed, limit, now)
        if placed:
            self.holds.drop(step)
        elif self._may_preempt(step, allowed, open_hosts):
            self._preempt(step, allowed, limit, now)
        orders: list[Order] = []
        if placed or approval_cost is not None or reservations.reserved(step):
            orders += self._reserve(step, placed, now)
        if approval_cost is not None:
            held = self.holds.hosts(step)
            share = self.approved_share(step.job.queue).value
            request = next_approval_request(step, open_hosts, self.tracker.hosts, held, share, now)
            orders += [request] if request is not None else []
        if not step.waiting_tasks():
            self.waiting.discard(step)
        elif len(placed) == limit:
            self._block(step)
        elif allowed:
            self.shares.record_without_room(step)
        return orders

    def _block(self, step: Step) -> None:
        if self.blocks.block(step):
            self.holds.drop(step)

    def _may_preempt(self, step: Step, allowed: list[Host], open_hosts: list[Host]) -> bool:
        """Return whether tasks of lower priority may be preempted for a step that found no room.

        Preemption has to wait until no host that still has free room could be approved for the
        step.
        """
        if not allowed or self.waiting.urgency(step) is not Urgency.IN_TIME:
            return False
        return bool(step.waiting_tasks()) and not has_undecided_room(step, open_hosts)

    def _choose_hosts(
        self, step: Step, allowed: list[Host], limit: int, now: float
    ) -> list[Placement]:
        if not self.holds or step not in self.waiting:
            return place(step, allowed, now, limit=limit)
        held_room = self.holds.held_room(excluding=step)
        placed = place(step, allowed, now, limit=limit, held_room=held_room)
        if len(placed) == min(limit, len(step.waiting_tasks())):
            return placed
        # There is too little room that is not held. Also use the room held for steps that this step
        # precedes in the queue.
        held_room = self.holds.room_held_before(step, self.waiting.positions)
        return place(step, allowed, now, limit=limit, held_room=held_room)

    def _preempt(self, step: Step, hosts: list[Host], limit: int, now: float) -> None:
        total = len(self.tracker.hosts)
        for run in self.holds.hold_room(step, hosts, limit=limit, total=total, now=now):
            self.tracker.stop(run, f"gives way to job {step.job.id}")

    def _reserve(self, step: Step, placed: Iterable[Placement], now: float) -> list[Order]:
        attempt = step.next_attempt() if step.req.gang else 0
        for item in placed:
            task = item.task
            number = attempt or task.next_attempt()
            run = Run(
                task=task,
                attempt=number,
                host=item.host.id,
                phase=RunPhase.RESERVED,
                ordered_at=now,
                pace=FULL_PERCENT,
            )
            task.run = run
            item.host.add(run)
            self._ejector.started(item.host.id, step.job.id, now=now)
            self._steps_with_reservations[step] = None
        return self._start_reserved(step, now)

    def _start_reserved(self, step: Step, now: float) -> list[Order]:
        """Start the reserved runs of a step that have a valid ticket or need none."""
        for run in reservations.reserved(step):
            host = self.tracker.hosts[run.host]
            host.delays_starts = host.delays_starts or host.poll_failed
        ready = reservations.startable(step, self.tracker.hosts, now)
        if step.req.gang and len(ready) < len(step.tasks):
            return []
        orders: list[Order] = []
        if ready:
            checkpoint = step.gang_checkpoint()
            for run, ticket in ready:
                host = self.tracker.hosts[run.host]
                orders.append(reservations.order_start(run, host, ticket, checkpoint, now))
        return orders

    def _reconsider_delayed_starts(self, host: Host, now: float) -> None:
        """Reconsider the steps that a host's failed poll has kept from starting."""
        if not host.delays_starts or host.poll_failed:
            return
        host.delays_starts = False
        for run in host.runs.values():
            if run.phase is RunPhase.RESERVED:
                self._reconsider(run.task.step, now)

    def _reconsider(self, step: Step, now: float) -> None:
        """Reconsider a step in the next decision, even if it only waits for tickets."""
        self._candidates.include(step)
        self.waiting.add(step, now)

    def _release_overdue_reservations(self, now: float) -> None:
        for step in list(self._steps_with_reservations):
            runs = reservations.reserved(step)
            overdue = reservations.overdue(step, runs, self.tracker.hosts, now)
            for run in overdue:
                self.tracker.release(run)
                self._enqueue(step, now)
            if len(overdue) == len(runs):
                del self._steps_with_reservations[step]

    # ------------------------------------------------------------ ended and refused runs

    def _apply_events(self, events: list[RunEvent], now: float) -> None:
        for event in events:
            self.run_events.append(event)
            match event:
                case RunStarted() | RunFound():
                    self._mark_started(event.task.step.job)
                case RunEnded():
                    self._handle_run_ended(event, now)
                case RunRefused():
                    self._handle_run_refused(event, now)

    def _handle_run_ended(self, end: RunEnded, now: float) -> None:
        task = end.task
        job = task.step.job
        if job.phase.final or task.done:
            return
        if end.how is not EndKind.LAPSED:
            self._mark_started(job)
        match end.how:
            case EndKind.DONE if not task.step.req.lasting:
                self._ejector.succeeded(end.host, job.id, now=now)
                self._complete_task(task, now)
                return
            case EndKind.FAILED:
                hosts = len(self.tracker.hosts)
                self._ejector.failed(end.host, job.id, now=now, hosts=hosts)
                if task.record_failure(end.attempt):
                    self._finish(job, JobPhase.FAILED, "a task failed too often")
                    return
            case _:
                self._ejector.record_inconclusive(end.host, job.id)
        if end.how is not EndKind.LAPSED:
            self._mark_dirty(job)
        if task.step.req.gang:
            self.tracker.stop_gang(task.step, end.attempt, "a member ended")
        self._enqueue(task.step, now)

    def _handle_run_refused(self, refusal: RunRefused, now: float) -> None:
        task = refusal.task
        host = self.tracker.hosts.get(refusal.host)
        if refusal.reason is Refusal.NO_TICKET:
            task.step.approvals.tickets.pop(refusal.host, None)
        elif refusal.reason in HOST_STATE_REFUSALS and host is not None:
            host.blocked_until = max(host.blocked_until, now + REFUSAL_BACKOFF_S)
        if task.step.job.phase.final or task.done:
            return
        self._ejector.record_inconclusive(refusal.host, task.step.job.id)
        if task.step.req.gang:
            self.tracker.stop_gang(task.step, refusal.attempt, "a member was not started")
        self._enqueue(task.step, now)

    def _complete_task(self, task: Task, now: float) -> None:
        step = task.step
        job = step.job
        # A gang is done as soon as one of its members is done.
        for member in step.tasks if step.req.gang else [task]:
            self._mark_done(member)
        self._mark_dirty(job)
        if step.done:
            self._remove_waiting(step)
            self._queue_ready_steps(job, now)
            self._finish_if_done(job)

    def _mark_done(self, task: Task) -> None:
        if task.done:
            return
        task.done = True
        task.step.done_count += 1
        run = task.run
        if run is None:
            return
        if run.phase is RunPhase.RESERVED:
            self.tracker.release(run)
        elif not task.step.req.gang:
            self.tracker.stop(run, "the task is done")

    def _resume_inherited_jobs(self, now: float) -> None:
        """Resume the inherited jobs that no unconfirmed host can still be running."""
        # Also without such jobs: hosts stay on the roster while they are unconfirmed.
        if self.takeover.gives_up_hosts(now):
            self._record_hosts_given_up(now)
        self.takeover.expire(now)
        assumed = self.quotas.assumed_jobs
        if not self._unresolved_jobs and not assumed:
            return
        self.quotas.drop_assumptions(id for id in assumed if self.takeover.may_resume(id))
        for job in [
            job for job in self._unresolved_jobs.values() if self.takeover.may_resume(job.id)
        ]:
            del self._unresolved_jobs[job.id]
            for step in job.steps():
                # An earlier owner may have failed after it had started only some members of a gang.
                for attempt in step.incomplete_attempts():
                    self.tracker.stop_gang(step, attempt, "the gang was found incomplete")
                if step in self.waiting:
                    self._candidates.include(step)

    def _record_hosts_given_up(self, now: float) -> None:
        takeover = self.takeover
        self.run_events.append(
            HostsGivenUp(
                hosts=tuple(takeover.unconfirmed),
                jobs=tuple(id for id in self._unresolved_jobs if not takeover.may_resume(id)),
                roster_known=takeover.roster_known,
                waited_s=now - takeover.began_at,
            )
        )

    @property
    def takeover_complete(self) -> bool:
        """Whether no inherited job waits for unconfirmed hosts."""
        return not self._unresolved_jobs

    def _stop_hung(self, host: Host, now: float) -> None:
        for run in hung_runs(host, now):
            host.blocked_until = max(host.blocked_until, now + HUNG_TASK_BACKOFF_S)
            self.run_events.append(describe_hung(run, now))
            self.tracker.stop(run, "no progress")

    # ------------------------------------------------------------ steps and jobs

    def _step(self, id: StepId) -> Step | None:
        job = self.jobs.get(id.job)
        return job.step(id) if job is not None and not job.phase.final else None

    def _queue_ready_steps(self, job: Job, now: float) -> None:
        """Queue the steps whose predecessors are all done."""
        if job.phase.final:
            return
        for step in job.take_ready_steps(now):
            self._enqueue(step, now)

    def _enqueue(self, step: Step, now: float) -> None:
        if step.ready_at is None or step.job.phase.final or step.done:
            return
        self.waiting.add(step, now)
        self._candidates.include(step)

    def _remove_waiting(self, step: Step) -> None:
        if self.waiting.is_blocked(step):
            # Steps of its account that wait behind it may start now.
            self.quotas.mark_changed(step.job.account_name)
        self.waiting.discard(step)

    def _mark_started(self, job: Job) -> None:
        if not job.started:
            job.phase = JobPhase.RUNNING
            self._mark_dirty(job)

    def _finish_if_done(self, job: Job) -> None:
        if not job.phase.final and job.all_done:
            self._finish(job, JobPhase.COMPLETE, "all tasks are done")

    def _finish(self, job: Job, phase: JobPhase, reason: str) -> None:
        job.phase = phase
        for step in job.steps():
            self._remove_waiting(step)
            self.holds.drop(step)
        for run in job.runs():
            if run.phase is RunPhase.RESERVED:
                self.tracker.release(run)
            elif not run.task.done:
                self.tracker.stop(run, reason)
        counted = job.account is not None and self.quotas.may_have_runs(job.id)
        if phase is JobPhase.CANCELLED and counted:
            # A new owner would not know the runs of a job that is recorded as ended, and could
            # start others of the account beside them.
            self._stopping_jobs[job.id] = job
            self.dirty.pop(job.id, None)
        else:
            self._mark_dirty(job)

    def is_stopping(self, id: str) -> bool:
        """Return whether a job is cancelled and must not be recorded yet, since it has runs."""
        return id in self._stopping_jobs

    def _end_stopped_jobs(self) -> None:
        """Request that the cancelled jobs whose runs have all ended are recorded."""
        for job in list(self._stopping_jobs.values()):
            if not self.quotas.may_have_runs(job.id):
                del self._stopping_jobs[job.id]
                self._mark_dirty(job)

    def _mark_dirty(self, job: Job) -> None:
        self.dirty[job.id] = job
