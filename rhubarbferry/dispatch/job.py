"""The state of a job while it is being worked on."""

from __future__ import annotations

import math
from enum import StrEnum

from attrs import Factory, define, field

from rhubarbferry.dispatch.approvals import StepApprovals
from rhubarbferry.dispatch.messages import (
    JobRequest,
    Queue,
    StartOrder,
    StepId,
    StepRequest,
    TaskId,
)
from rhubarbferry.dispatch.objective import Standing, Urgency, standing, tails

# From this progress on, what is left of a run is worked out from it; before, from its estimate.
TELLING_PERCENT = 10.0


class JobPhase(StrEnum):
    """Phase of a job as shown to its client."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the job will not change any more."""
        return self in (JobPhase.COMPLETE, JobPhase.FAILED, JobPhase.CANCELLED)


class RunPhase(StrEnum):
    """How far one run of a task is.

    RESERVED holds room while a ticket is fetched. UNCLEAR is a run whose start was not
    answered: it may run, or may yet start, so it keeps its room until the host's own word
    settles it.
    """

    RESERVED = "reserved"
    ORDERED = "ordered"
    RUNNING = "running"
    UNCLEAR = "unclear"


@define(kw_only=True, eq=False, slots=True)
class Run:
    """One attempt of a task on one host.

    :param deadline_s: on the host's clock; an order that is carried out later is refused.
    :param percent: progress as last reported.
    :param progress_at: when ``percent`` last rose.
    :param tail_s: tail latency of its users as last reported, of a task that serves.
    :param pace: the share of its speed in percent that its host has confirmed; ``None`` for a run
        that was found, as an earlier owner may have changed it.
    :param pace_sent_at: when its pace was last ordered.
    :param order: the start as last sent; ``None`` for a run that was found.
    :param unanswered: whether a copy of the start was sent and not answered.
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
    tail_s: float = 0.0
    pace: int | None = None
    pace_sent_at: float = -math.inf
    order: StartOrder | None = None
    unanswered: bool = False

    def left_s(self, now: float) -> float:
        """Return about how long it will still take; it gets nowhere as long as it is stopping."""
        if self.stopping:
            return 0.0
        if self.task.step.req.lasting:
            # It reports all of its work as done once it is up, and goes on until it is cancelled.
            return math.inf
        spent_s = now - self.ordered_at
        if self.percent >= TELLING_PERCENT:
            return spent_s * (100.0 - self.percent) / self.percent
        return max(0.0, self.task.step.req.estimate_s - spent_s)


@define(kw_only=True, eq=False, slots=True)
class Task:
    """One task: what is recorded of it, and its run if it has one.

    :param attempt: highest number that a run of it has used.
    :param failed_attempts: attempts that ended through a failure. A host lists an end until it
        may forget it, so a new owner may see one that its predecessor has counted.
    :param checkpoint: where the next run resumes, empty for the start.
    """

    id: TaskId
    step: Step = field(repr=False)
    attempt: int = 0
    failed_attempts: set[int] = Factory(set)
    checkpoint: str = ""
    done: bool = False
    run: Run | None = None

    def next_attempt(self) -> int:
        """Return the number of its next run, above all that any owner has used."""
        return max(self.attempt + 1, self.step.job.first_attempt)

    def has_failed(self, attempt: int) -> bool:
        """Count a failed run; return whether its job has failed by it."""
        if self.step.req.lasting:
            return False
        # Members of a gang's attempt may fail together; the gang has failed once.
        failed = self.step.failed_attempts if self.step.req.gang else self.failed_attempts
        failed.add(attempt)
        return len(failed) >= self.step.job.queue.attempts

    @property
    def waits(self) -> bool:
        """Whether it has neither ended nor a run."""
        return not self.done and self.run is None


@define(kw_only=True, eq=False, slots=True)
class Step:
    """One step of one occurrence.

    :param failed_attempts: of the whole gang, where the step is one.
    :param ready_at: when the steps before it were done, ``None`` before that.
    """

    job: Job = field(repr=False)
    id: StepId
    req: StepRequest
    tasks: list[Task] = Factory(list)
    failed_attempts: set[int] = Factory(set)
    ready_at: float | None = None
    done_count: int = 0
    ever_started: bool = False
    approvals: StepApprovals = Factory(StepApprovals)

    @property
    def done(self) -> bool:
        """Whether all its tasks have ended well."""
        return self.done_count == len(self.tasks)

    def next_attempt(self) -> int:
        """Return the number of the next run of a gang, which its members share."""
        return max(task.next_attempt() for task in self.tasks)

    def gang_checkpoint(self) -> str | None:
        """Return the point that all members of a gang resume from; ``None`` for no gang."""
        if not self.req.gang:
            return None
        return max((task.checkpoint for task in self.tasks), default="")

    def incomplete_attempts(self) -> set[int]:
        """Return the attempts of a gang of which some members have no run."""
        attempts = {task.run.attempt for task in self.tasks if task.run is not None}
        whole = len(attempts) == 1 and not self.waiting()
        return attempts if self.req.gang and not whole else set()

    def waiting(self) -> list[Task]:
        """Return the tasks that have neither ended nor a run."""
        return [task for task in self.tasks if task.waits]


@define(kw_only=True, eq=False, slots=True)
class Occurrence:
    """One time that the steps of a job run.

    :param due_at: when it came in, or its time came.
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

    :param record_revision: the store's revision of its state record, to write it under a
        condition.
    :param inherited: accepted before the present owner took over, so an earlier owner may
        have started any of its tasks.
    :param first_attempt: lowest attempt number that no earlier owner can have used.
    """

    req: JobRequest
    queue: Queue
    arrived_at: float
    record_revision: int
    inherited: bool = False
    first_attempt: int = 1
    phase: JobPhase = JobPhase.QUEUED
    occurrences: dict[int, Occurrence] = Factory(dict)
    next_occurrence: int = 0
    started: bool = False
    tails: tuple[float, ...] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.tails = tails(self.req.steps)

    @property
    def objective_s(self) -> float:
        """By when it is to be done, from its arrival or from the time that it is due."""
        return self.queue.slack_factor * max(self.tails, default=0.0) + self.queue.objective_s

    def standing(self, step: Step, now: float) -> Standing:
        """Return what one of its steps can still gain by a start."""
        if step.req.lasting:
            return Standing(urgency=Urgency.IN_TIME, until=math.inf)
        return standing(
            due_at=self.occurrences[step.id.occurrence].due_at,
            objective_s=self.objective_s,
            tail_s=self.tails[step.id.step],
            now=now,
        )

    @property
    def id(self) -> str:
        """The id that the client chose."""
        return self.req.id

    def add_occurrence(self, number: int, now: float) -> Occurrence:
        """Make the tasks of one occurrence."""
        steps = [
            make_step(self, StepId(job=self.id, occurrence=number, step=index), req)
            for index, req in enumerate(self.req.steps)
        ]
        due_at = now if self.req.times else self.arrived_at
        occurrence = Occurrence(number=number, steps=steps, due_at=due_at)
        self.occurrences[number] = occurrence
        return occurrence

    def make_due(self, now: float, wall_s: float) -> None:
        """Make the occurrences of a repeated job whose time of day has come."""
        while self.next_occurrence < self.req.times:
            number = self.next_occurrence
            if wall_s < self.req.start_at_s + number * self.req.interval_s:
                return
            self.next_occurrence += 1
            if number not in self.occurrences:
                self.add_occurrence(number, now)

    def open_steps(self, now: float) -> list[Step]:
        """Return the steps that have just become ready: all steps before them are done."""
        opened = []
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                if step.ready_at is None and all(occurrence.steps[i].done for i in step.req.after):
                    step.ready_at = now
                    opened.append(step)
        return opened

    @property
    def all_done(self) -> bool:
        """Whether no task is left, now or later."""
        if self.next_occurrence < self.req.times or not self.occurrences:
            return False
        return all(occurrence.done for occurrence in self.occurrences.values())

    def task(self, id: TaskId) -> Task | None:
        """Return one of its tasks, or ``None`` if there is none of that name."""
        occurrence = self.occurrences.get(id.occurrence)
        if occurrence is None or id.step >= len(occurrence.steps):
            return None
        tasks = occurrence.steps[id.step].tasks
        return tasks[id.index] if id.index < len(tasks) else None

    def step(self, id: StepId) -> Step | None:
        """Return one of its steps, or ``None`` if there is none of that name."""
        occurrence = self.occurrences.get(id.occurrence)
        if occurrence is None or id.step >= len(occurrence.steps):
            return None
        return occurrence.steps[id.step]

    def steps(self) -> list[Step]:
        """Return the steps of all occurrences that have been made."""
        return [step for occurrence in self.occurrences.values() for step in occurrence.steps]

    def runs(self) -> list[Run]:
        """Return all runs of its tasks."""
        return [task.run for step in self.steps() for task in step.tasks if task.run is not None]


def make_step(job: Job, id: StepId, req: StepRequest) -> Step:
    """Return a step with its tasks."""
    step = Step(job=job, id=id, req=req)
    step.tasks = [
        Task(
            id=TaskId(job=id.job, occurrence=id.occurrence, step=id.step, index=index),
            step=step,
        )
        for index in range(req.count)
    ]
    return step
