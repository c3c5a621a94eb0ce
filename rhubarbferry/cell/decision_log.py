"""Log the owner's decisions with their inputs and outcomes."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field
from prometheus_client import Counter, Histogram

from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.policy_requests import Assignment
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.messages import (
    OrderResult,
    PaceOrder,
    Refused,
    Started,
    StartOrder,
    StopOrder,
    TaskId,
    Unanswered,
)
from rhubarbferry.dispatch.takeover import HostsGivenUp
from rhubarbferry.dispatch.tracker import HostRestarted, RunEnded, RunFound, RunHung, RunRefused

START_ORDERS = Counter(
    "rhubarbferry_task_start_orders_total", "Orders to start a task", ["outcome"]
)
RUN_ENDS = Counter("rhubarbferry_task_ends_total", "Ended task runs", ["how"])
START_SECONDS = Histogram(
    "rhubarbferry_task_start_seconds",
    "Time from the order to start a task to the host's answer",
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2),
)
APPROVAL_SECONDS = Histogram(
    "rhubarbferry_approval_seconds",
    "Time from an approval request to its answer",
    buckets=(0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5),
)
APPROVALS_FAILED = Counter(
    "rhubarbferry_approvals_failed_total", "Approval requests without an answer"
)

# Most ids of one kind in a line.
MAX_LISTED_IDS = 10


def task_label(task: TaskId) -> str:
    """Return a task's identifier within its job, for a log event."""
    return f"{task.occurrence}.{task.step}.{task.index}"


@define(kw_only=True, eq=False)
class StartCall:
    """Times of one call to start a task, for the log.

    :param fence: fence number of the call.
    :param now: returns the monotonic time in seconds.
    :param acts_for_s: returns how long the owner may still act.
    :ivar may_act_s: how long it might still act when a connection took the order, or at the call
        before that.
    """

    order: StartOrder
    fence: int
    now: Callable[[], float]
    acts_for_s: Callable[[], float]
    called_at: float = field(init=False)
    written_at: float | None = None
    may_act_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.called_at = self.now()
        self.may_act_s = self.acts_for_s()

    def mark_written(self) -> None:
        """Record that a connection has taken the order."""
        self.written_at = self.now()
        self.may_act_s = self.acts_for_s()


@define(kw_only=True, eq=False)
class DecisionLog:
    """Logs the owner's decisions and updates the metrics of their outcomes.

    :param fence: fence number of the owner.
    """

    log: EventLog
    fence: int = 0

    def start(self, call: StartCall, result: OrderResult) -> None:
        """Log a start order and its answer."""
        match result:
            case Started():
                outcome = "started"
            case Refused(reason=reason):
                outcome = f"refused: {reason.value}"
            case Unanswered(detail=detail):
                outcome = f"unanswered: {detail}"[:200]
        START_SECONDS.observe(call.now() - call.called_at)
        self._emit_start(call, outcome)

    def start_cut_off(self, call: StartCall) -> None:
        """Log a start order whose answer is not awaited, since the term has ended."""
        self._emit_start(call, "cut off: the term has ended")

    def _emit_start(self, call: StartCall, outcome: str) -> None:
        order = call.order
        START_ORDERS.labels(outcome.partition(":")[0]).inc()
        written_at = call.written_at
        self._emit(
            "task.start",
            order,
            incarnation=order.incarnation,
            fence=call.fence,
            checkpoint=order.checkpoint or None,
            retries=order.retries,
            deadline_s=round(order.deadline_s, 3),
            ticket_s=round(order.ticket_until - call.called_at, 3) if order.ticket else None,
            called_after_s=round(call.called_at - order.decided_at, 4),
            written_after_s=(
                round(written_at - order.decided_at, 4) if written_at is not None else None
            ),
            acts_for_s=round(call.may_act_s, 3),
            took_s=round(call.now() - call.called_at, 4),
            outcome=outcome,
        )

    def stop(self, order: StopOrder, *, outcome: str) -> None:
        """Log a stop order and its answer."""
        self._emit("task.stop", order, reason=order.reason, outcome=outcome)

    def pace(self, order: PaceOrder, *, outcome: str) -> None:
        """Log a change of pace and its answer."""
        self._emit("task.pace", order, percent=order.percent, outcome=outcome)

    def _emit(
        self, event: str, order: StartOrder | StopOrder | PaceOrder, **fields: object
    ) -> None:
        self.log.emit(
            event,
            job=order.task.job,
            task=task_label(order.task),
            attempt=order.attempt,
            host=order.host,
            **fields,
        )

    def approval(
        self,
        assignment: Assignment,
        *,
        approved: int | None,
        took_s: float = 0.0,
        reason: str = "",
    ) -> None:
        """Log an approval request and its answer."""
        order = assignment.order
        if approved is None:
            APPROVALS_FAILED.inc()
        else:
            APPROVAL_SECONDS.observe(took_s)
        self.log.emit(
            "approval",
            job=order.step.job,
            step=f"{order.step.occurrence}.{order.step.step}",
            asker=assignment.member.name,
            asked=len(order.hosts),
            approved=approved,
            took_s=round(took_s, 4),
            outcome=reason or "answered",
        )

    def _emit_run(self, name: str, event: RunEnded | RunFound | RunHung, **fields: object) -> None:
        self.log.emit(
            name,
            job=event.task.id.job,
            task=task_label(event.task.id),
            attempt=event.attempt,
            host=event.host,
            **fields,
        )

    def outcomes(self, dispatcher: Dispatcher) -> None:
        """Log the runs that were found, have ended or were refused since the last call."""
        events, dispatcher.run_events = dispatcher.run_events, []
        for event in events:
            match event:
                case RunEnded():
                    RUN_ENDS.labels(event.how.value).inc()
                    self._emit_run(
                        "task.end",
                        event,
                        outcome=event.how.value,
                        reason=event.detail or None,
                    )
                case RunRefused(reason=None):
                    self.log.emit(
                        "task.unreserved",
                        job=event.task.id.job,
                        task=task_label(event.task.id),
                        host=event.host,
                        reason=event.detail,
                    )
                case RunFound():
                    self._emit_run(
                        "task.found",
                        event,
                        incarnation=event.incarnation,
                        host_clock_s=round(event.clock_s, 3),
                        fence=self.fence,
                        started_by=_possible_owner(event),
                        other_attempt=event.other_attempt,
                        other_host=event.other_host,
                        done=event.task.done,
                    )
                case HostsGivenUp():
                    self._hosts_given_up(event)
                case RunHung():
                    percents = [value for value in event.gang_percents if value is not None]
                    self._emit_run(
                        "task.hung",
                        event,
                        percent=event.percent,
                        stalled_s=round(event.stalled_s, 3),
                        timeout_s=round(event.timeout_s, 3),
                        gang=len(event.gang_percents) or None,
                        gang_running=len(percents) or None,
                        gang_percents=sorted(percents) or None,
                    )
                case HostRestarted():
                    self.log.emit(
                        "host.restarted",
                        host=event.host,
                        earlier=event.earlier,
                        incarnation=event.incarnation,
                        unclear=event.unclear,
                    )

    def _hosts_given_up(self, event: HostsGivenUp) -> None:
        self.log.emit(
            "takeover.hosts_given_up",
            fence=self.fence,
            hosts=event.hosts[:MAX_LISTED_IDS],
            host_count=len(event.hosts),
            jobs=event.jobs[:MAX_LISTED_IDS],
            job_count=len(event.jobs),
            roster_known=event.roster_known,
            waited_s=round(event.waited_s, 3),
        )


def _possible_owner(event: RunFound) -> str:
    """Return which owner may have started a run that was found.

    An owner numbers the attempts of the jobs that it inherits from its fence number on, and those
    of the jobs accepted under it from 1 on.
    """
    job = event.task.step.job
    if not job.inherited:
        return "this owner, or another that takes the job for a new one"
    if event.attempt >= job.first_attempt:
        return "this owner or a later one"
    return "an earlier owner"
