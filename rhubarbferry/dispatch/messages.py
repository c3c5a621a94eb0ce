"""Inputs and outputs of the dispatcher: jobs, hosts, reports and orders.

All times are seconds on the monotonic clock of this process, unless a field says otherwise.
"""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen


@frozen(kw_only=True, slots=True)
class Sizes:
    """Room that a task needs or a host has.

    :param millicores: processor, in thousandths of a core.
    :param memory_mb: memory in megabytes.
    :param accelerators: whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: Sizes) -> bool:
        """Tell whether ``room`` holds this much."""
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
        """Return what ``number`` tasks of this size need."""
        return Sizes(
            millicores=self.millicores * number,
            memory_mb=self.memory_mb * number,
            accelerators=self.accelerators * number,
        )

    def minus(self, other: Sizes) -> Sizes:
        """Return the difference; a part may be negative."""
        return Sizes(
            millicores=self.millicores - other.millicores,
            memory_mb=self.memory_mb - other.memory_mb,
            accelerators=self.accelerators - other.accelerators,
        )


@frozen(kw_only=True, slots=True)
class StepRequest:
    """One step of a job: a number of tasks that are alike.

    :param count: number of tasks.
    :param sizes: what one task needs.
    :param estimate_s: rough duration of one task.
    :param after: indexes of earlier steps that must be done first.
    :param gang: the tasks work only all together.
    :param one_rack: the tasks run slower when spread over racks.
    :param checkpointable: the tasks can resume from a saved point.
    :param required_label: label that a host must have; empty for none.
    :param near_rack: rack that holds the data; empty for none.
    :param max_per_host: most tasks of the step on one host, 0 for no bound.
    :param copies_allowed: two copies of one task may run at the same time.
    :param lasting: the tasks run until the job is cancelled.
    :param image: what the tasks run.
    :param goal_s: bound on the tail latency that a lasting task's own users see, 0 for none.
    :param filling: the tasks take processor that others leave unused, none of their own.
    :param may_miss: tasks that may be away at once through orders of this system, ``None``
        where the job sets no bound.
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
        """What one task takes from the capacity of its host."""
        if not self.filling:
            return self.sizes
        return Sizes(memory_mb=self.sizes.memory_mb, accelerators=self.sizes.accelerators)


@frozen(kw_only=True, slots=True)
class JobRequest:
    """A job as a client submitted it.

    :param id: chosen by the client, unique.
    :param queue: name of the queue.
    :param payload: handed to each task as it is.
    :param steps: in order; a step names earlier ones only.
    :param times: how often the steps run; 0 for a job that runs once, at once.
    :param start_at_s: time of day (Unix) of the first run, for ``times`` above 0.
    :param interval_s: between two runs.
    """

    id: str
    queue: str
    payload: str
    steps: tuple[StepRequest, ...]
    times: int = 0
    start_at_s: float = 0.0
    interval_s: float = 0.0


@frozen(kw_only=True, slots=True)
class AdviceCost:
    """What one question for approval costs.

    :param decision_s: fixed part of the answer time.
    :param per_host_s: added for each host that is asked about.
    :param valid_s: how long a ticket may be used.
    """

    decision_s: float
    per_host_s: float
    valid_s: float

    def duration_s(self, hosts: int) -> float:
        """Return the expected time of a question about ``hosts`` hosts."""
        return self.decision_s + self.per_host_s * hosts


@frozen(kw_only=True, slots=True)
class Queue:
    """A queue as the configuration has it.

    :param name: unique name.
    :param service: pool of hosts that runs its tasks.
    :param priority: 0 goes first.
    :param attempts: runs of a task that may fail before its job has failed.
    :param slack_factor: the objective of a job in multiples of its longest chain of work.
    :param objective_s: added to the objective.
    :param advice: set when starts need an approval.
    """

    name: str
    service: str
    priority: int = 0
    attempts: int = 1
    slack_factor: float = 1.0
    objective_s: float = 0.0
    advice: AdviceCost | None = None


@frozen(kw_only=True, slots=True)
class TaskId:
    """One task of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int


@frozen(kw_only=True, slots=True)
class StepId:
    """One step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int


class HostPhase(StrEnum):
    """Whether a host takes new tasks."""

    READY = "ready"
    DRAINING = "draining"


@frozen(kw_only=True, slots=True)
class HostEntry:
    """A host as the host list shows it.

    :param id: names one registration; a crashed host may come back under the same id.
    :param incarnation: Unix milliseconds of its start, so that two lives under one id differ.
    :param service: the pool it belongs to.
    :param address: ``ip:port`` of its task interface.
    :param failure_domain: its failure domain.
    :param phase: whether it takes new tasks.
    :param capacity: what it holds.
    :param labels: its kind and its rack, among others.
    :param remaining_s: while draining, the time it stays at least.
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
    """A run that a host lists as running.

    :param checkpoint: last saved point, empty for none.
    :param percent: how much of its work is done, 0 to 100.
    :param tail_s: of a task that serves users, their tail latency over the last half second.
    """

    task: TaskId
    attempt: int
    checkpoint: str = ""
    percent: float = 0.0
    tail_s: float = 0.0


@frozen(kw_only=True, slots=True)
class EndedTask:
    """A run that a host lists as ended.

    :param number: counts the ends of one life of the host, from 1.
    """

    number: int
    task: TaskId
    attempt: int
    how: EndKind
    checkpoint: str = ""


@frozen(kw_only=True, slots=True)
class HostReport:
    """What a host says it runs.

    :param clock_s: the host's own clock when it answered.
    :param incarnation: which life of the host answered.
    """

    clock_s: float
    incarnation: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class Refusal(StrEnum):
    """Why a host did not start a task; in each case it will not start it later either."""

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

    :param clock_s: the host's own clock when it answered.
    """

    clock_s: float


@frozen(kw_only=True, slots=True)
class Refused:
    """The host does not and will not run the task under this order."""

    reason: Refusal


@frozen(kw_only=True, slots=True)
class Unanswered:
    """Nobody knows whether the order was carried out, or will be."""

    detail: str = ""


OrderResult = Started | Refused | Unanswered


@frozen(kw_only=True, slots=True)
class StartOrder:
    """Start one attempt of a task on a host.

    :param incarnation: the life of the host that is meant.
    :param deadline_s: on the host's clock; the host refuses an order that arrives later.
    :param timeout_s: how long to wait for the answer.
    :param retries: how often this order has been sent before.
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
    retries: int = 0


@frozen(kw_only=True, slots=True)
class StopOrder:
    """Stop one attempt of a task on a host.

    :param reason: for the log.
    """

    host: str
    task: TaskId
    attempt: int
    reason: str


# The pace at which each task begins.
FULL_PERCENT = 100


@frozen(kw_only=True, slots=True)
class PaceOrder:
    """Let one attempt of a task work at a share of its speed; its memory stays taken.

    :param percent: 0 to 100; a task begins at 100.
    """

    host: str
    task: TaskId
    attempt: int
    percent: int


@frozen(kw_only=True, slots=True)
class AdviceOrder:
    """Ask which of ``hosts`` may run a step.

    :param cost: of the question, to choose who asks.
    """

    step: StepId
    hosts: tuple[str, ...]
    cost: AdviceCost


@frozen(kw_only=True, slots=True)
class Approval:
    """A host that may run a step, and the ticket that proves it."""

    host: str
    ticket: str


@frozen(kw_only=True, slots=True)
class Advice:
    """The answer to a question for approval.

    :param asked: the hosts that were asked about; those without an approval may not run it.
    :param valid_s: validity of the tickets.
    """

    step: StepId
    asked: tuple[str, ...]
    approvals: tuple[Approval, ...]
    answered_at: float
    valid_s: float


Order = StartOrder | StopOrder | PaceOrder | AdviceOrder
