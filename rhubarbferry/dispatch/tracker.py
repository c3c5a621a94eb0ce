"""Track the runs of tasks from the reports of hosts and from missing reports."""

from __future__ import annotations

import math
from collections.abc import Container

from attrs import Factory, define, evolve, frozen

from rhubarbferry.dispatch.hosts import MAX_ORDER_DELAY_S, Host
from rhubarbferry.dispatch.job import Job, Run, RunPhase, Step, Task
from rhubarbferry.dispatch.messages import (
    EndedTask,
    EndKind,
    HostEntry,
    HostReport,
    OrderResult,
    Refusal,
    Refused,
    RunningTask,
    Started,
    StartOrder,
    StopOrder,
    TaskId,
    Unanswered,
)
from rhubarbferry.dispatch.quotas import Quotas
from rhubarbferry.dispatch.retries import next_retry

# A stop order is sent again at this interval while the host still lists the run, since the order or
# its answer may have been lost.
STOP_RETRY_INTERVAL_S = 0.7
# A host that answered an order late or not at all receives no new tasks for this long, so that one
# faulty host does not attract every task in turn.
UNANSWERED_BACKOFF_S = 0.3


@frozen(kw_only=True, slots=True)
class RunEnded:
    """A run that has certainly ended.

    :param host: host on which it ran.
    :param detail: explanation for the log.
    """

    task: Task
    attempt: int
    how: EndKind
    host: str
    detail: str = ""


@frozen(kw_only=True, slots=True)
class RunRefused:
    """A start that was refused: the task did not run under this attempt and never will.

    :param reason: the host's reason; ``None`` if this process released the reservation.
    """

    task: Task
    attempt: int
    host: str
    reason: Refusal | None
    detail: str


@frozen(kw_only=True, slots=True)
class RunStarted:
    """A run whose start its host has confirmed, by an answer or in a report."""

    task: Task


@frozen(kw_only=True, slots=True)
class RunFound:
    """A run that a host reports and that this owner had no record of.

    An earlier owner has started it, or its order was carried out late.

    :param incarnation: incarnation of the host that reports it.
    :param clock_s: time on the host's clock at the report.
    :param other_attempt: attempt of the run of the task that this owner knew, ``None`` if there was
        none.
    :param other_host: host of that run.
    """

    task: Task
    attempt: int
    host: str
    incarnation: int
    clock_s: float
    other_attempt: int | None = None
    other_host: str | None = None


@frozen(kw_only=True, slots=True)
class HostRestarted:
    """A host whose new incarnation was noticed.

    :param unclear: number of runs that either incarnation may have.
    """

    host: str
    earlier: int
    incarnation: int
    unclear: int


@frozen(kw_only=True, slots=True)
class RunHung:
    """A run that is stopped because it makes no progress.

    :param percent: its last reported progress.
    :param stalled_s: time since its progress last changed.
    :param timeout_s: time after which it counts as hung.
    :param gang_percents: progress of each member of its gang, in the order of the tasks, ``None``
        for one without a run; empty for a run outside a gang.
    """

    task: Task
    attempt: int
    host: str
    percent: float
    stalled_s: float
    timeout_s: float
    gang_percents: tuple[float | None, ...] = ()


RunEvent = RunStarted | RunEnded | RunRefused | RunFound | RunHung | HostRestarted


@define(kw_only=True, eq=False)
class Tracker:
    """Hosts and the runs on them.

    :param jobs: jobs that have not ended, by id.
    :param lease_s: maximum task lease that a host grants, in seconds.
    :param quotas: counts the runs of all hosts for the accounts of their jobs.
    :ivar orders: stop orders and repeated start orders that the caller has not taken yet.
    :ivar changed: ids of hosts whose free room or state has changed since the last
        :meth:`take_changed`.
    """

    jobs: dict[str, Job]
    lease_s: float
    quotas: Quotas = Factory(Quotas)
    hosts: dict[str, Host] = Factory(dict)
    orders: list[StartOrder | StopOrder] = Factory(list)
    changed: set[str] = Factory(set)

    # ------------------------------------------------------------ the host list

    def host_listed(self, entry: HostEntry, now: float) -> list[RunEvent]:
        """Add or update a host from its entry in the host list."""
        host = self.hosts.get(entry.id)
        if host is None:
            host = self.hosts[entry.id] = Host(entry=entry, quotas=self.quotas)
            host.update_leaves_at(now)
            self.changed.add(entry.id)
            return []
        events = []
        if entry.incarnation > host.entry.incarnation:
            events = self._handle_restart(host, entry, now)
        elif entry.incarnation == host.entry.incarnation and entry != host.entry:
            host.entry = entry
            self.changed.add(entry.id)
        host.listed = True
        host.update_leaves_at(now)
        return events

    def host_unlisted(self, id: str) -> None:
        """Record that the host list no longer contains a host, which may still run its tasks."""
        self.hosts[id].listed = False

    def host_gone(self, host: Host) -> list[RunEvent]:
        """Record that a host's incarnation has ended, since another one answers at its address."""
        host.listed = False
        host.clock = None
        return [
            self._end_run(host, run, EndKind.LAPSED, "the host's life has ended")
            for run in list(host.runs.values())
        ]

    def _handle_restart(self, host: Host, entry: HostEntry, now: float) -> list[RunEvent]:
        events: list[RunEvent] = []
        for run in list(host.runs.values()):
            if run.phase is RunPhase.RESERVED or (run.listed and not run.unanswered):
                events.append(self._end_run(host, run, EndKind.LAPSED, "the host started anew"))
                continue
            # Either incarnation may have carried out the order, or the new one may still do so. Its
            # first report decides: from then on it refuses the calls meant for the earlier one.
            run.phase = RunPhase.UNCLEAR
            run.listed = False
            run.deadline_s = -math.inf
        restarted = HostRestarted(
            host=host.id,
            earlier=host.entry.incarnation,
            incarnation=entry.incarnation,
            unclear=len(host.runs),
        )
        host.entry = entry
        host.fence = None
        host.clock = None
        host.unknown_runs = {}
        host.adopted = False
        host.seen_end = host.recorded_end = 0
        host.unrecorded_ends = {}
        host.leases_until_s = 0.0
        host.restarted_at = now
        self.changed.add(host.id)
        return [restarted, *events]

    # ------------------------------------------------------------ reports of hosts

    def handle_report(
        self, host: Host, report: HostReport, *, sent_at: float, now: float
    ) -> list[RunEvent]:
        """Update the runs of a host from its report.

        The first report of a new incarnation only shows the restart. The host is not called again
        until the host list contains its new entry.
        """
        events: list[RunEvent] = []
        if report.incarnation < host.entry.incarnation:
            return []
        if report.incarnation > host.entry.incarnation:
            entry = evolve(host.entry, incarnation=report.incarnation)
            return self._handle_restart(host, entry, now)
        if host.clock is not None and report.clock_s < host.clock.clock_s:
            # A later report has already arrived over another connection.
            return events
        host.record_report(report, sent_at=sent_at, now=now, lease_s=self.lease_s)
        if not host.adopted:
            host.adopted = True
            self.changed.add(host.id)
        for ended in report.ended:
            if ended.number > host.seen_end:
                host.add_end(ended.number, ended.task.job)
                events += self._handle_end(host, ended, now)
        listed = {(running.task, running.attempt) for running in report.running}
        host.unknown_runs = {key: at for key, at in host.unknown_runs.items() if key in listed}
        for running in report.running:
            events += self._handle_running(host, running, report, now)
        if sent_at >= host.restarted_at:
            # A call sent earlier may have been answered before the host started a task that this
            # owner already counts as running there.
            events += self._end_unlisted(host, report, listed, sent_at, now)
        return events

    def _handle_end(self, host: Host, ended: EndedTask, now: float) -> list[RunEvent]:
        run = host.runs.get((ended.task, ended.attempt))
        if run is not None:
            return [self._end_run(host, run, ended.how, "", checkpoint=ended.checkpoint)]
        task = self._reported_task(ended.task, now)
        if task is None:
            return []
        if ended.checkpoint and not task.done:
            task.checkpoint = ended.checkpoint
        return [RunEnded(task=task, attempt=ended.attempt, how=ended.how, host=host.id)]

    def _handle_running(
        self, host: Host, running: RunningTask, report: HostReport, now: float
    ) -> list[RunEvent]:
        run = host.runs.get((running.task, running.attempt))
        if run is None:
            return self._adopt_run(host, running, report, now)
        events: list[RunEvent] = []
        if run.phase is not RunPhase.RUNNING:
            run.phase = RunPhase.RUNNING
            run.progress_at = now
            events.append(RunStarted(task=run.task))
        run.listed = True
        run.deadline_s = report.clock_s
        run.tail_latency_s = running.tail_latency_s
        if running.percent > run.percent or running.percent < run.percent:
            run.percent = running.percent
            run.progress_at = now
        if running.checkpoint and not run.stopping:
            run.task.checkpoint = running.checkpoint
        if run.stopping:
            self._retry_stop(run, now)
        return events

    def _adopt_run(
        self, host: Host, running: RunningTask, report: HostReport, now: float
    ) -> list[RunEvent]:
        """Adopt a run that an earlier owner started, or whose order was carried out late."""
        task = self._reported_task(running.task, now)
        if task is None:
            self._stop_unknown_run(host, running, now)
            return []
        run = Run(
            task=task,
            attempt=running.attempt,
            host=host.id,
            phase=RunPhase.RUNNING,
            ordered_at=now,
            deadline_s=report.clock_s,
            percent=running.percent,
            progress_at=now,
            tail_latency_s=running.tail_latency_s,
            listed=True,
        )
        host.add(run)
        task.attempt = max(task.attempt, running.attempt)
        other = task.run
        found = RunFound(
            task=task,
            attempt=run.attempt,
            host=host.id,
            incarnation=report.incarnation,
            clock_s=report.clock_s,
            other_attempt=other.attempt if other is not None else None,
            other_host=other.host if other is not None else None,
        )
        events: list[RunEvent] = [found]
        if other is not None and other.phase is RunPhase.RESERVED:
            events.append(self._release_reservation(other, "a run of the task was found"))
            other = None
        if task.step.job.phase.final:
            self.stop(run, "its job has ended")
        elif task.done or (other is not None and other.attempt >= run.attempt):
            self.stop(run, "another run of the task counts")
        else:
            if other is not None:
                self.stop(other, "a later run of the task was found")
            task.run = run
        if running.checkpoint and not task.done:
            task.checkpoint = running.checkpoint
        return events

    def _reported_task(self, id: TaskId, now: float) -> Task | None:
        """Return the task of a run that a host reports, ``None`` if it is unknown.

        An earlier owner may have begun an occurrence that is not due yet by this owner's clock.
        """
        job = self.jobs.get(id.job)
        if job is not None and job.has_occurrence(id.occurrence):
            created = job.create_occurrences_through(id.occurrence, now)
            self.quotas.extend_assumption(job, created)
        return self.task(id)

    def _stop_unknown_run(self, host: Host, running: RunningTask, now: float) -> None:
        key = (running.task, running.attempt)
        if now - host.unknown_runs.get(key, -math.inf) < STOP_RETRY_INTERVAL_S:
            return
        host.unknown_runs[key] = now
        self.orders.append(
            StopOrder(
                host=host.id,
                task=running.task,
                attempt=running.attempt,
                reason="its job has ended or is unknown",
            )
        )

    def _end_unlisted(
        self,
        host: Host,
        report: HostReport,
        listed: set[tuple[TaskId, int]],
        sent_at: float,
        now: float,
    ) -> list[RunEvent]:
        """End the runs that the host does not list and can no longer start."""
        if not report.lists_all_ends:
            return []
        events: list[RunEvent] = []
        for key, run in list(host.runs.items()):
            if key in listed or run.phase is RunPhase.RESERVED:
                continue
            if sent_at < run.started_at:
                # The report may be from before the start, and even of an earlier incarnation.
                continue
            # `deadline_s` is a time on the host's clock: for an order, when the host starts to
            # refuse it; for a run, when it was last known to run. A report made after that time
            # which does not list the run proves that it has ended or will never start, unless the
            # host restarts.
            settled = run.phase is not RunPhase.ORDERED and report.clock_s > run.deadline_s
            if settled and not _may_start_after_restart(run, host, now):
                detail = "not started in time" if run.phase is RunPhase.UNCLEAR else "not listed"
                events.append(self._end_run(host, run, EndKind.LAPSED, detail))
            elif run.stopping:
                self._retry_stop(run, now)
        return events

    # ------------------------------------------------------------ answers to orders

    def start_answered(
        self, host: Host, run: Run, result: OrderResult, *, now: float
    ) -> list[RunEvent]:
        """Process the result of a start order."""
        if host.runs.get((run.task.id, run.attempt)) is not run:
            return []
        match result:
            case Started() if _sent_to_earlier_incarnation(run, host):
                # It is not known which incarnation answered; the stop sent to the new one decides.
                return []
            case Started(clock_s=clock_s):
                if run.phase is RunPhase.RUNNING:
                    return []
                run.phase = RunPhase.RUNNING
                run.deadline_s = clock_s
                run.progress_at = run.started_at = now
                return [RunStarted(task=run.task)]
            case Refused(reason=Refusal.NOT_SENT) if self._retry(host, run, now):
                return []
            case Refused(reason=reason):
                if run.phase is RunPhase.RUNNING:
                    return []
                if run.unanswered:
                    # The refusal applies only to this copy of the order; an earlier copy may still
                    # be carried out.
                    self._mark_unclear(host, run, now)
                    return []
                run.phase = RunPhase.RESERVED
                host.remove(run)
                self.changed.add(host.id)
                if run.task.run is run:
                    run.task.run = None
                return [
                    RunRefused(
                        task=run.task,
                        attempt=run.attempt,
                        host=host.id,
                        reason=reason,
                        detail=reason.value,
                    )
                ]
            case Unanswered():
                run.unanswered_at = now
                if not self._retry(host, run, now):
                    self._mark_unclear(host, run, now)
                return []

    def _retry(self, host: Host, run: Run, now: float) -> bool:
        order = next_retry(run, host, now)
        if order is None:
            return False
        run.order = order
        self.orders.append(order)
        return True

    def _mark_unclear(self, host: Host, run: Run, now: float) -> None:
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.UNCLEAR
            host.blocked_until = max(host.blocked_until, now + UNANSWERED_BACKOFF_S)

    def stop_answered(self, run: Run, clock_s: float) -> None:
        """Record that a host accepted a stop order; from then on it refuses to start that run."""
        if run.phase is RunPhase.UNCLEAR:
            run.deadline_s = min(run.deadline_s, clock_s)

    # ------------------------------------------------------------ leases

    def expire_leases(self, now: float, *, keep: Container[str] = ()) -> list[RunEvent]:
        """End the runs whose task leases must have expired, and remove hosts that have left.

        :param keep: ids of hosts to keep even if the host list does not contain them.
        """
        events: list[RunEvent] = []
        for host in list(self.hosts.values()):
            if host.leases_expired(now) or host.silent_since_restart(now, self.lease_s):
                lapsed = [
                    run
                    for run in host.runs.values()
                    if not _may_start_after_restart(run, host, now)
                ]
                if len(lapsed) == len(host.runs):
                    host.clock = None
                events += [
                    self._end_run(host, run, EndKind.LAPSED, "the host is silent past its leases")
                    for run in lapsed
                ]
            # An adopted host without runs is idle, even if its leases have not expired. It is
            # removed at once; otherwise the next takeover would wait for a host that has left. A
            # takeover has to wait while the host alone knows that a task has ended.
            idle = host.adopted and not host.unknown_runs and not host.unrecorded_ends
            has_left = not host.listed and not host.runs and (idle or host.clock is None)
            if has_left and host.id not in keep:
                del self.hosts[host.id]
        return events

    def mark_reopened_hosts(self, now: float) -> None:
        """Mark hosts that accept tasks again as changed, so that waiting steps are tried there."""
        for host in self.hosts.values():
            is_open = host.accepts_tasks(now)
            if is_open and not host.is_open:
                self.changed.add(host.id)
            host.is_open = is_open

    def update_open_hosts(self, now: float) -> None:
        """Update which of the changed hosts accept tasks."""
        for id in self.changed:
            host = self.hosts.get(id)
            if host is not None:
                host.is_open = host.accepts_tasks(now)

    # ------------------------------------------------------------ runs

    def take_changed(self) -> list[Host]:
        """Return the hosts whose free room or state has changed since the last call."""
        found = [self.hosts[id] for id in self.changed if id in self.hosts]
        self.changed.clear()
        return found

    def take_orders(self) -> list[StartOrder | StopOrder]:
        """Return the stop orders and repeated start orders added since the last call."""
        orders, self.orders = self.orders, []
        return orders

    def run(self, host: str, task: TaskId, attempt: int) -> Run | None:
        """Return the given run on a host, or ``None`` if it has ended."""
        found = self.hosts.get(host)
        return found.runs.get((task, attempt)) if found is not None else None

    def task(self, id: TaskId) -> Task | None:
        """Return a task, or ``None`` if its job is unknown or has been recorded as ended."""
        job = self.jobs.get(id.job)
        return job.task(id) if job is not None else None

    def stop(self, run: Run, reason: str) -> None:
        """Order a run to stop. It keeps its room until the host reports its end."""
        if run.stopping:
            return
        run.stopping = True
        self._send_stop(run, reason)

    def stop_gang(self, step: Step, attempt: int, reason: str) -> None:
        """Stop all runs of one attempt of a gang, whose members cannot work without each other."""
        for task in step.tasks:
            run = task.run
            if run is None or run.attempt != attempt:
                continue
            if run.phase is RunPhase.RESERVED:
                self.release(run)
            else:
                self.stop(run, reason)

    def stop_with_gang(self, run: Run, reason: str) -> None:
        """Stop a run, or the whole gang if it is a member of one."""
        if run.task.step.req.gang:
            self.stop_gang(run.task.step, run.attempt, reason)
        else:
            self.stop(run, reason)

    def release(self, run: Run) -> None:
        """Release the room of a reserved run."""
        self._release_reservation(run, "reservation given up")

    def _retry_stop(self, run: Run, now: float) -> None:
        if run.stop_sent_at is None:
            run.stop_sent_at = now
        elif now - run.stop_sent_at >= STOP_RETRY_INTERVAL_S:
            run.stop_sent_at = now
            self._send_stop(run, "still listed after a stop")

    def _send_stop(self, run: Run, reason: str) -> None:
        self.orders.append(
            StopOrder(host=run.host, task=run.task.id, attempt=run.attempt, reason=reason)
        )

    def _release_reservation(self, run: Run, detail: str) -> RunRefused:
        host = self.hosts[run.host]
        host.remove(run)
        self.changed.add(host.id)
        if run.task.run is run:
            run.task.run = None
        return RunRefused(
            task=run.task, attempt=run.attempt, host=host.id, reason=None, detail=detail
        )

    def _end_run(
        self, host: Host, run: Run, how: EndKind, detail: str, *, checkpoint: str = ""
    ) -> RunEnded:
        host.remove(run)
        self.changed.add(host.id)
        task = run.task
        if task.run is run:
            task.run = None
        if checkpoint and not task.done:
            task.checkpoint = checkpoint
        return RunEnded(task=task, attempt=run.attempt, how=how, host=host.id, detail=detail)


def _sent_to_earlier_incarnation(run: Run, host: Host) -> bool:
    return run.order is not None and run.order.incarnation != host.entry.incarnation


def _may_start_after_restart(run: Run, host: Host, now: float) -> bool:
    """Return whether a late copy of a run's start order may be carried out if its host restarts.

    The host refuses such a copy after the order's deadline or a stop. An incarnation that starts
    anew knows of neither, and may receive the copy before it is called with its own fence number.
    Only a ticket rules this out, since it is valid for one incarnation.
    """
    order = run.order
    return (
        order is not None
        and not order.ticket
        and order.incarnation == host.entry.incarnation
        and now < run.unanswered_at + MAX_ORDER_DELAY_S
    )
