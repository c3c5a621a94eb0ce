"""Input and output types of the dispatcher: jobs, hosts, reports and orders.

All times are seconds on the monotonic clock of this process, unless a field says otherwise.
"""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen


@frozen(kw_only=True, slots=True)
class Sizes:
    """Resources that a task needs or a host provides.

    :param millicores: processor, in thousandths of a core.
    :param memory_mb: memory in megabytes.
    :param accelerators: number of accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: Sizes) -> bool:
        """Return whether ``room`` is large enough in every resource."""
        return (
            self.millicores <= room.millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: Sizes) -> Sizes:
        """Return the sum."""
        return Sizes(
            millicores=self.millicores + other.millicores,
            memory_mb=self.memory_mb + other.memory_mb,
            accelerators=self.accelerators + other.accelerators,
        )

    def times(self, number: int) -> Sizes:
        """Return the resources for ``number`` tasks of this size."""
        return Sizes(
            millicores=self.millicores * number,
            memory_mb=self.memory_mb * number,
            accelerators=self.accelerators * number,
        )

    def minus(self, other: Sizes) -> Sizes:
        """Return the difference, whose fields may be negative."""
        return Sizes(
            millicores=self.millicores - other.millicores,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )

    def at_least(self, other: Sizes) -> Sizes:
        """Return the larger value of each resource."""
        return Sizes(
            millicores=max(self.millicores, other.millicores),
            memory_mb=max(self.memory_mb, other.memory_mb),
            accelerators=max(self.accelerators, other.accelerators),
        )


@frozen(kw_only=True, slots=True)
class StepRequest:
    """One step of a job: a number of identical tasks.

    :param count: number of tasks.
    :param sizes: resources that one task needs.
    :param estimate_s: rough duration of one task.
    :param after: indexes of the preceding steps, which must be done first.
    :param gang: all tasks must run at the same time.
    :param one_rack: the tasks run slower when spread over several racks.
    :param checkpointable: the tasks can resume from a checkpoint.
    :param required_label: label that a host must have; empty for none.
    :param near_rack: rack that stores the data; empty for none.
    :param max_per_host: maximum number of tasks of the step on one host; 0 for no limit.
    :param copies_allowed: two copies of one task may run at the same time.
    :param lasting: the tasks are services that run until the job is cancelled.
    :param image: image that the tasks run.
    :param goal_s: maximum tail latency for the users of a serving task; 0 if it serves no users.
    :param filling: the tasks reserve no processor and use what other tasks leave idle.
    :param may_miss: maximum number of tasks that this system may stop at the same time; ``None``
        for no limit.
    """

    count: int
    sizes: Sizes
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    checkpointable: bool = False
    required_label: str = ""
    near_rack: str = ""
    max_per_host: int = 0
    copies_allowed: bool = False
    lasting: bool = False
    image: str = ""
    goal_s: float = 0.0
    filling: bool = False
    may_miss: int | None = None

    @property
    def room(self) -> Sizes:
        """Resources that one task takes from the capacity of its host.

        A filling task takes no processor.
        """
        if not self.filling:
            return self.sizes
        return Sizes(memory_mb=self.sizes.memory_mb, accelerators=self.sizes.accelerators)


@frozen(kw_only=True, slots=True)
class JobRequest:
    """A job as submitted by a client.

    :param id: unique id chosen by the client.
    :param queue: name of the queue.
    :param payload: passed unchanged to each task.
    :param steps: steps in an order in which each one comes after those it depends on.
    :param times: number of occurrences of a repeated job; 0 for a job that runs once, at once.
    :param start_at_s: Unix time of the first occurrence of a repeated job.
    :param interval_s: interval between two occurrences.
    """

    id: str
    queue: str
    payload: str
    steps: tuple[StepRequest, ...]
    times: int = 0
    start_at_s: float = 0.0
    interval_s: float = 0.0


@frozen(kw_only=True, slots=True)
class ApprovalCost:
    """Cost model of an approval request.

    :param decision_s: fixed part of the response time.
    :param per_host_s: time added for each host in the request.
    :param valid_s: how long a ticket is valid.
    """

    decision_s: float
    per_host_s: float
    valid_s: float

    def duration_s(self, hosts: int) -> float:
        """Return the expected response time for a request that names ``hosts`` hosts."""
        return self.decision_s + self.per_host_s * hosts


@frozen(kw_only=True, slots=True)
class Queue:
    """Settings of a queue.

    :param name: unique name.
    :param service: pool of hosts that runs its tasks.
    :param priority: lower values are scheduled first.
    :param attempts: number of failed runs of one task after which its job fails.
    :param slack_factor: objective of a job as a multiple of its longest chain of steps.
    :param objective_s: time added to the objective.
    :param advice: cost of an approval request; ``None`` if starts need no approval.
    """

    name: str
    service: str
    priority: int = 0
    attempts: int = 1
    slack_factor: float = 1.0
    objective_s: float = 0.0
    advice: ApprovalCost | None = None

    def job_objective_s(self, chain_s: float) -> float:
        """Return the time within which a job should be done, counted from its arrival or due time.

        :param chain_s: length of its longest chain of steps.
        """
        return self.slack_factor * chain_s + self.objective_s


@frozen(kw_only=True, slots=True)
class Account:
    """Settings of a client account.

    :param name: unique name.
    :param weight: its share of a full cell, relative to the weights of the other accounts.
    :param quota: the most that its tasks may use at the same time, over all hosts; a resource of 0
        is unlimited.
    """

    name: str
    weight: float = 1.0
    quota: Sizes = Sizes()


@frozen(kw_only=True, slots=True)
class TaskId:
    """Identifies one task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int


@frozen(kw_only=True, slots=True)
class StepId:
    """Identifies one step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class HostPhase(StrEnum):
    """Whether a host accepts new tasks."""

    READY = "ready"
    DRAINING = "draining"


@frozen(kw_only=True, slots=True)
class HostEntry:
    """An entry of the host list.

    :param id: id of the host; a crashed host may register again under the same id.
    :param incarnation: Unix time of its start in milliseconds, which distinguishes registrations
        under the same id.
    :param service: pool that it belongs to.
    :param address: ``ip:port`` of its task interface.
    :param failure_domain: its failure domain.
    :param phase: whether it accepts new tasks.
    :param capacity: resources that it provides.
    :param labels: its kind, its rack and other labels.
    :param remaining_s: minimum time until it leaves, while it is draining.
    """

    id: str
    incarnation: int
    service: str
    address: str
    failure_domain: str = ""
    phase: HostPhase = HostPhase.READY
    capacity: Sizes
    labels: tuple[str, ...] = ()
    remaining_s: float | None = None


class EndKind(StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang-broken"
    GANG_TIMEOUT = "gang-timeout"


@frozen(kw_only=True, slots=True)
class RunningTask:
    """An active run in a host's report.

    :param checkpoint: last checkpoint; empty for none.
    :param percent: progress, 0 to 100.
    :param tail_latency_s: tail latency over the last half second, for a task that serves users.
    """

    task: TaskId
    attempt: int
    checkpoint: str = ""
    percent: float = 0.0
    tail_latency_s: float = 0.0


@frozen(kw_only=True, slots=True)
class EndedTask:
    """An ended run in a host's report.

    :param number: sequence number of the end within one incarnation of the host, from 1.
    """

    number: int
    task: TaskId
    attempt: int
    how: EndKind
    checkpoint: str = ""


@frozen(kw_only=True, slots=True)
class HostReport:
    """Runs that a host reports.

    :param clock_s: time on the host's clock when it answered.
    :param incarnation: incarnation of the host that answered.
    """

    clock_s: float
    incarnation: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]

    @property
    def lists_all_ends(self) -> bool:
        """Whether no later report lists further ends of this time."""
        return len(self.ended) < MAX_ENDS_PER_REPORT

    @property
    def jobs(self) -> set[str]:
        """Ids of the jobs of the running and the ended tasks."""
        return {run.task.job for run in self.running} | {end.task.job for end in self.ended}


class Refusal(StrEnum):
    """Why a host refused a start order; a refused order will not be carried out later either."""

    STALE_FENCE = "stale fence"
    OLD_ATTEMPT = "old attempt"
    LATE = "late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_HOST = "other host"
    NOT_SENT = "not sent"


@frozen(kw_only=True, slots=True)
class Started:
    """The host runs the task.

    :param clock_s: time on the host's clock when it answered.
    """

    clock_s: float


@frozen(kw_only=True, slots=True)
class Refused:
    """The host does not run the task, and will not run it under this order."""

    reason: Refusal


@frozen(kw_only=True, slots=True)
class Unanswered:
    """The order got no answer. It may have been carried out, or may be carried out later."""

    detail: str = ""


OrderResult = Started | Refused | Unanswered


@frozen(kw_only=True, slots=True)
class StartOrder:
    """Start one attempt of a task on a host.

    :param incarnation: incarnation of the host that is to run it.
    :param deadline_s: time on the host's clock after which the host refuses the order.
    :param timeout_s: how long to wait for the answer.
    :param checkpoint: where the task resumes; empty to start from the beginning.
    :param ticket: proof of approval; empty if none is needed.
    :param ticket_until: when the ticket stops being used, by the owner's monotonic clock.
    :param retries: how many times the order has been sent before.
    :param decided_at: when the owner decided to send this copy, by its monotonic clock.
    """

    host: str
    incarnation: int
    task: TaskId
    attempt: int
    payload: str
    deadline_s: float
    timeout_s: float
    checkpoint: str = ""
    ticket: str = ""
    ticket_until: float = 0.0
    retries: int = 0
    decided_at: float = 0.0


@frozen(kw_only=True, slots=True)
class StopOrder:
    """Stop one attempt of a task on a host.

    :param reason: explanation for the log.
    """

    host: str
    task: TaskId
    attempt: int
    reason: str


# Initial pace of every task: the full processor share.
FULL_PERCENT = 100
# A host lists at most this many ended runs in one report and the rest in later ones.
MAX_ENDS_PER_REPORT = 500


@frozen(kw_only=True, slots=True)
class PaceOrder:
    """Limit the processor share of one attempt of a task. Its memory stays allocated.

    :param percent: share of its full speed, 0 to 100; a task starts at 100.
    """

    host: str
    task: TaskId
    attempt: int
    percent: int


@frozen(kw_only=True, slots=True)
class ApprovalRequest:
    """Request the approval of hosts to run a step.

    :param hosts: ids of the hosts to decide on.
    :param cost: cost model of the request, used to select the process that sends it.
    """

    step: StepId
    hosts: tuple[str, ...]
    cost: ApprovalCost


@frozen(kw_only=True, slots=True)
class Approval:
    """A host that may run a step, and the ticket that proves it."""

    host: str
    ticket: str


@frozen(kw_only=True, slots=True)
class ApprovalResponse:
    """Response to an approval request.

    :param asked: ids of the hosts named in the request; those without an approval are denied.
    :param answered_at: when the response arrived.
    :param valid_s: how long the tickets are valid.
    """

    step: StepId
    asked: tuple[str, ...]
    approvals: tuple[Approval, ...]
    answered_at: float
    valid_s: float


Order = StartOrder | StopOrder | PaceOrder | ApprovalRequest
