"""State of jobs, their steps, tasks and runs."""

from __future__ import annotations

import math
from enum import StrEnum

from attrs import Factory, define, field, frozen

from rhubarbferry.dispatch.approvals import StepApprovals
from rhubarbferry.dispatch.messages import (
    Account,
    JobRequest,
    Queue,
    StartOrder,
    StepId,
    StepRequest,
    TaskId,
)
from rhubarbferry.dispatch.objective import Urgency, UrgencyPeriod, classify_urgency, critical_paths

# From this progress on, the remaining time of a run is extrapolated from its progress; below it,
# the estimate of the client is used.
MIN_EXTRAPOLATION_PERCENT = 10.0
# A larger age of a restored job or occurrence means that a clock is wrong or that its start is not
# known.
MAX_JOB_AGE_S = 300.0


class JobPhase(StrEnum):
    """Phase of a job as shown to its client."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job has ended."""
        return self in (JobPhase.COMPLETE, JobPhase.FAILED, JobPhase.CANCELLED)


@frozen(kw_only=True, slots=True)
class JobStatus:
    """What a client may learn of a job.

    :param account: name of the client account that submitted it; empty for none.
    """

    phase: JobPhase
    account: str = ""


class RunPhase(StrEnum):
    """State of one run of a task.

    * RESERVED: room is reserved while a ticket is requested.
    * ORDERED: the start order has been sent.
    * RUNNING: the host has confirmed the run.
    * UNCLEAR: the start order was not answered, or it is not known which incarnation of the host
      has answered it. The run may exist or may still begin, so it keeps its room until a report of
      the host shows whether it does.
    """

    RESERVED = "reserved"
    ORDERED = "ordered"
    RUNNING = "running"
    UNCLEAR = "unclear"


@define(kw_only=True, eq=False, slots=True)
class Run:
    """One attempt to run a task on one host.

    :param deadline_s: time on the host's clock: for an order, after which the host refuses it; for
        a running task, at which it was last known to run.
    :param percent: last reported progress.
    :param progress_at: when ``percent`` last changed.
    :param tail_latency_s: last reported tail latency of the task's users, for a serving task.
    :param pace: processor share in percent that the host has confirmed; ``None`` for an adopted
        run, whose pace an earlier owner may have changed.
    :param pace_sent_at: when the last pace order was sent.
    :param order: last start order that was sent; ``None`` for an adopted run.
    :param unanswered_at: when a copy of the start order was last found to be unanswered; ``-inf``
        if all copies were answered.
    :param started_at: when the answer to its start order arrived, ``-inf`` if none has.
    :param listed: whether a report of the host's current incarnation has listed it.
    """

    task: Task
    attempt: int
    host: str
    phase: RunPhase
    ordered_at: float
    deadline_s: float = 0.0
    percent: float = 0.0
    progress_at: float = 0.0
    stopping: bool = False
    stop_sent_at: float | None = None
    tail_latency_s: float = 0.0
    pace: int | None = None
    pace_sent_at: float = -math.inf
    order: StartOrder | None = None
    unanswered_at: float = -math.inf
    started_at: float = -math.inf
    listed: bool = False

    @property
    def unanswered(self) -> bool:
        """Whether any copy of the start order was sent and not answered."""
        return self.unanswered_at > -math.inf

    def remaining_s(self, now: float) -> float:
        """Return the estimated remaining time; 0 for a run that is being stopped."""
        if self.stopping:
            return 0.0
        if self.task.step.req.lasting:
            # A lasting task reports 100 percent once it is ready. It runs until it is cancelled.
            return math.inf
        spent_s = now - self.ordered_at
        if self.percent >= MIN_EXTRAPOLATION_PERCENT:
            return spent_s * (100.0 - self.percent) / self.percent
        return max(0.0, self.task.step.req.estimate_s - spent_s)


@define(kw_only=True, eq=False, slots=True)
class Task:
    """One task, its recorded progress, and its current run if there is one.

    :param attempt: highest attempt number used so far.
    :param failed_attempts: attempts that ended in a failure. It is a set, since a host lists an end
        until it is told to forget it, so a new owner may see an end that its predecessor has
        already counted.
    :param checkpoint: where the next run resumes; empty to start from the beginning.
    """

    id: TaskId
    step: Step = field(repr=False)
    attempt: int = 0
    failed_attempts: set[int] = Factory(set)
    checkpoint: str = ""
    done: bool = False
    run: Run | None = None

    def next_attempt(self) -> int:
        """Return the next attempt number, higher than any that an owner has used."""
        return max(self.attempt + 1, self.step.job.first_attempt)

    def record_failure(self, attempt: int) -> bool:
        """Record a failed attempt; return whether the job fails because of it."""
        if self.step.req.lasting:
            return False
        # Several members of a gang may fail in one attempt, which counts as one failure of the
        # gang.
        failed = self.step.failed_attempts if self.step.req.gang else self.failed_attempts
        failed.add(attempt)
        return len(failed) >= self.step.job.queue.attempts

    @property
    def is_waiting(self) -> bool:
        """Whether it is not done and has no run."""
        return not self.done and self.run is None


@define(kw_only=True, eq=False, slots=True)
class Step:
    """One step of one occurrence of a job.

    :param failed_attempts: failed attempts of the gang as a whole; unused for other steps.
    :param ready_at: when all preceding steps were done; ``None`` until then.
    :param ever_blocked: whether the quota of its account has blocked it.
    """

    job: Job = field(repr=False)
    id: StepId
    req: StepRequest
    tasks: list[Task] = Factory(list)
    failed_attempts: set[int] = Factory(set)
    ready_at: float | None = None
    done_count: int = 0
    ever_blocked: bool = False
    approvals: StepApprovals = Factory(StepApprovals)

    @property
    def done(self) -> bool:
        """Whether all its tasks are done."""
        return self.done_count == len(self.tasks)

    def next_attempt(self) -> int:
        """Return the next attempt number of a gang, which all its members share."""
        return max(task.next_attempt() for task in self.tasks)

    def gang_checkpoint(self) -> str | None:
        """Return the common checkpoint of a gang's members, or ``None`` if the step is no gang."""
        if not self.req.gang:
            return None
        return max((task.checkpoint for task in self.tasks), default="")

    def incomplete_attempts(self) -> set[int]:
        """Return the attempts of a gang in which only some members have a run."""
        attempts = {task.run.attempt for task in self.tasks if task.run is not None}
        complete = len(attempts) == 1 and not self.waiting_tasks()
        return attempts if self.req.gang and not complete else set()

    def waiting_tasks(self) -> list[Task]:
        """Return the tasks that are not done and have no run."""
        return [task for task in self.tasks if task.is_waiting]


@define(kw_only=True, eq=False, slots=True)
class Occurrence:
    """One execution of all steps of a job.

    :param due_at: when the job was accepted or, for a repeated job, when this occurrence was due.
    """

    number: int
    steps: list[Step]
    due_at: float

    @property
    def done(self) -> bool:
        """Whether all its steps are done."""
        return all(step.done for step in self.steps)


@define(kw_only=True, eq=False, slots=True)
class Job:
    """A job that has not ended.

    :param account: account that submitted it, with the settings of that time; ``None`` for none.
    :param record_revision: revision of its state in the store, for a conditional write.
    :param inherited: whether it was accepted before the current owner took over, so that an earlier
        owner may have started any of its tasks.
    :param first_attempt: lowest attempt number that no earlier owner can have used.
    """

    req: JobRequest
    queue: Queue
    arrived_at: float
    record_revision: int
    account: Account | None = None
    inherited: bool = False
    first_attempt: int = 1
    phase: JobPhase = JobPhase.QUEUED
    occurrences: dict[int, Occurrence] = Factory(dict)
    critical_paths: tuple[float, ...] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.critical_paths = critical_paths(self.req.steps)

    @property
    def account_name(self) -> str:
        """Name of the account that submitted it; empty for none."""
        return self.account.name if self.account is not None else ""

    @property
    def started(self) -> bool:
        """Whether a host has confirmed a run of one of its tasks, or the job has ended."""
        return self.phase is not JobPhase.QUEUED

    @property
    def status(self) -> JobStatus:
        """Its current status."""
        return JobStatus(phase=self.phase, account=self.account_name)

    @property
    def objective_s(self) -> float:
        """Time within which it should be done, counted from its arrival or due time."""
        return self.queue.job_objective_s(max(self.critical_paths, default=0.0))

    def urgency(self, step: Step, now: float) -> UrgencyPeriod:
        """Return the urgency of one of its steps."""
        if step.req.lasting:
            return UrgencyPeriod(urgency=Urgency.IN_TIME, until=math.inf)
        return classify_urgency(
            due_at=self.occurrences[step.id.occurrence].due_at,
            objective_s=self.objective_s,
            critical_path_s=self.critical_paths[step.id.step],
            now=now,
        )

    @property
    def id(self) -> str:
        """The id that the client chose."""
        return self.req.id

    def add_occurrence(self, number: int, now: float) -> Occurrence:
        """Create the steps and tasks of one occurrence."""
        steps = [
            create_step(self, StepId(job=self.id, occurrence=number, step=index), req)
            for index, req in enumerate(self.req.steps)
        ]
        due_at = now if self.req.times else self.arrived_at
        occurrence = Occurrence(number=number, steps=steps, due_at=due_at)
        self.occurrences[number] = occurrence
        return occurrence

    @property
    def next_occurrence(self) -> int:
        """Number of the next occurrence to create; all earlier ones exist."""
        return len(self.occurrences)

    def create_due_occurrences(self, now: float, wall_s: float) -> list[Occurrence]:
        """Create the occurrences of a repeated job that are due, and return them."""
        created = []
        while self.next_occurrence < self.req.times:
            number = self.next_occurrence
            if wall_s < self.req.start_at_s + number * self.req.interval_s:
                break
            created.append(self.add_occurrence(number, now))
        return created

    def has_occurrence(self, number: int) -> bool:
        """Return whether the client has asked for an occurrence, due or not."""
        return 0 <= number < max(1, self.req.times)

    def create_occurrences_through(self, number: int, now: float) -> list[Occurrence]:
        """Create an occurrence that an earlier owner has begun, and all before it; return them.

        Occurrences overlap, so an earlier one may have begun and still have no progress on record.
        """
        return [self.add_occurrence(each, now) for each in range(self.next_occurrence, number + 1)]

    def restore_due_times(self, now: float, wall_s: float) -> None:
        """Set when the occurrences of a repeated job were due, which no stored state contains.

        :param wall_s: Unix time; an inaccurate clock changes the order of jobs only slightly.
        """
        for occurrence in self.occurrences.values():
            age_s = wall_s - (self.req.start_at_s + occurrence.number * self.req.interval_s)
            if 0.0 < age_s < MAX_JOB_AGE_S:
                occurrence.due_at = now - age_s

    def take_ready_steps(self, now: float) -> list[Step]:
        """Mark the steps whose preceding steps are all done as ready, and return the new ones."""
        ready = []
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                if step.ready_at is None and all(occurrence.steps[i].done for i in step.req.after):
                    step.ready_at = now
                    ready.append(step)
        return ready

    @property
    def all_done(self) -> bool:
        """Whether all occurrences exist and all their tasks are done."""
        if self.next_occurrence < self.req.times or not self.occurrences:
            return False
        return all(occurrence.done for occurrence in self.occurrences.values())

    def task(self, id: TaskId) -> Task | None:
        """Return one of its tasks, or ``None`` if it does not exist."""
        occurrence = self.occurrences.get(id.occurrence)
        if occurrence is None or id.step >= len(occurrence.steps):
            return None
        tasks = occurrence.steps[id.step].tasks
        return tasks[id.index] if id.index < len(tasks) else None

    def step(self, id: StepId) -> Step | None:
        """Return one of its steps, or ``None`` if it does not exist."""
        occurrence = self.occurrences.get(id.occurrence)
        if occurrence is None or id.step >= len(occurrence.steps):
            return None
        return occurrence.steps[id.step]

    def steps(self) -> list[Step]:
        """Return the steps of all occurrences created so far."""
        return [step for occurrence in self.occurrences.values() for step in occurrence.steps]

    def runs(self) -> list[Run]:
        """Return the current runs of its tasks."""
        return [task.run for step in self.steps() for task in step.tasks if task.run is not None]


def create_step(job: Job, id: StepId, req: StepRequest) -> Step:
    """Create a step with its tasks."""
    step = Step(job=job, id=id, req=req)
    step.tasks = [
        Task(
            id=TaskId(job=id.job, occurrence=id.occurrence, step=id.step, index=index),
            step=step,
        )
        for index in range(req.count)
    ]
    return step
