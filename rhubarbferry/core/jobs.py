"""State of one job and its tasks, including retries and recovery from the log."""

from __future__ import annotations

from collections import Counter, deque
from enum import IntEnum

from attrs import Factory, define, frozen

from rhubarbferry.core.cell import Size
from rhubarbferry.core.worker_ledger import End

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 30.0


class JobKind(IntEnum):
    """How a job's tasks are placed; the values are those of the RPC messages."""

    BATCH = 0
    GANG = 1
    SERVICE = 2


class JobPhase(IntEnum):
    """Phase of a job; the values are those of the RPC messages."""

    WAITING = 0
    RUNNING = 1
    DONE = 2
    FAILED = 3
    CANCELLED = 4
    NOT_RUN = 5
    UNKNOWN = 6


class TaskState(IntEnum):
    """State of one task.

    ``UNSURE``: an earlier owner of the job may have started the task, and not all workers have
    reported their tasks yet.
    """

    WAITING = 0
    CLAIMED = 1
    RUNNING = 2
    DONE = 3
    FAILED = 4
    UNKNOWN = 5
    NOT_RUN = 6
    UNSURE = 7


FINAL = (TaskState.DONE, TaskState.FAILED, TaskState.UNKNOWN, TaskState.NOT_RUN)


@frozen(kw_only=True, slots=True)
class JobSpec:
    """Specification of a job; the fields are those of the RPC message of the same name."""

    account: str
    kind: JobKind = JobKind.BATCH
    tasks: int = 1
    size: Size = Factory(Size)
    priority: int = 1
    idempotent: bool = True
    preemptible: bool = False
    run_ms: int = 0
    key: str | None = None
    job_template: str | None = None
    region: str | None = None
    payload: str | None = None


@define(kw_only=True, slots=True)
class LiveAttempt:
    """An attempt that may be running.

    :param partition: the worker partition that the attempt was claimed for.
    :param epoch: the epoch of the partition's owner when it was claimed.
    """

    task_id: str
    attempt: int
    partition: str
    epoch: int
    worker: str = ""


@define(kw_only=True, slots=True)
class Counts:
    """Number of tasks of a job per state."""

    waiting: int = 0
    running: int = 0
    done: int = 0
    failed: int = 0
    unknown: int = 0
    not_run: int = 0

    def add(self, state: TaskState, change: int) -> None:
        """Add ``change`` to the number of tasks in a state."""
        match state:
            case TaskState.WAITING:
                self.waiting += change
            case TaskState.CLAIMED | TaskState.RUNNING | TaskState.UNSURE:
                self.running += change
            case TaskState.DONE:
                self.done += change
            case TaskState.FAILED:
                self.failed += change
            case TaskState.UNKNOWN:
                self.unknown += change
            case _:
                self.not_run += change


class Job:
    """One job and its tasks.

    An attempt of a task starts only from ``WAITING``, and a task returns to ``WAITING`` only when
    its last attempt is known to have ended or never to have started. A task that is not idempotent
    does not return to ``WAITING`` once an attempt may have run.

    :param accepted_at: wall-clock time of acceptance; informational.
    :param since: monotonic time at which this process received the job.
    :param max_attempts: number of failures after which an idempotent task fails for good.
    """

    def __init__(
        self,
        *,
        id: str,
        spec: JobSpec,
        accepted_at: float,
        since: float,
        max_attempts: int,
    ) -> None:
        self.id = id
        self.spec = spec
        self.accepted_at = accepted_at
        self.since = since
        self.cancelled = False
        # Whether all tasks of a gang have run together; failed ones are then replaced individually.
        self.formed = False
        self.finished: JobPhase | None = None
        self.reason = ""
        self.paused_until = 0.0
        self.waiting_since = since
        # Time since which smaller tasks of later jobs have been scheduled before this job's.
        self.skipped_since: float | None = None
        # The worker partition requested to dedicate a worker to this job, and the time of the next
        # request.
        self.capacity_partition = ""
        self.next_capacity_request_at = 0.0
        self.first_start: float | None = None
        self.counts = Counts(waiting=spec.tasks)
        self.live: dict[int, LiveAttempt] = {}
        self.avoid: dict[int, frozenset[str]] = {}
        self._max_attempts = max_attempts
        self._live_attempts_per_partition: Counter[str] = Counter()
        self._states = bytearray(spec.tasks)
        self._waiting: deque[int] = deque(range(spec.tasks))
        self._attempts: dict[int, int] = {}
        self._failures: dict[int, int] = {}
        # State that cancellation gives to tasks that wait again after an attempt that ran.
        self._state_if_cancelled: dict[int, TaskState] = {}
        # Attempts per task that may have started according to the log; set only by replay.
        self._dispatched: dict[int, set[int]] = {}
        self._ever_started = False

    # ------------------------------------------------------------ queries

    def state(self, index: int) -> TaskState:
        """Return the state of a task."""
        state = TaskState(self._states[index])
        if state is TaskState.WAITING and self.cancelled:
            return TaskState.NOT_RUN
        return state

    def indexes(self, state: TaskState) -> list[int]:
        """Return the tasks in a state."""
        return [index for index in range(self.spec.tasks) if self.state(index) is state]

    def on_partition(self, partition: str) -> int:
        """Return the number of attempts that may be running on a worker partition."""
        return self._live_attempts_per_partition[partition]

    def last_attempt(self, index: int) -> int:
        """Return the number of a task's last attempt, 0 if there was none."""
        return self._attempts.get(index, 0)

    def waiting(self) -> int:
        """Return the number of tasks that wait to be placed."""
        return self.counts.waiting

    def open(self) -> bool:
        """Return whether any task is not in a final state."""
        return self.finished is None and self.counts.waiting + self.counts.running > 0

    def phase(self) -> JobPhase:
        """Return the phase of the job."""
        if self.finished is not None:
            return self.finished
        counts = self.counts
        if counts.running:
            return JobPhase.RUNNING
        if counts.waiting:
            return JobPhase.RUNNING if self._ever_started else JobPhase.WAITING
        if counts.unknown:
            return JobPhase.UNKNOWN
        if self.cancelled:
            return self._cancelled_phase()
        if counts.failed or counts.not_run:
            return JobPhase.FAILED
        return JobPhase.DONE

    def may_have_run(self) -> bool:
        """Return whether an attempt of any task was or may have been started."""
        return self._ever_started

    def may_run(self) -> list[int]:
        """Return the tasks of which an attempt may be running, or has run without being final.

        A later owner of the job must not report these as "not run" without querying the workers.
        """
        open_states = (TaskState.CLAIMED, TaskState.RUNNING, TaskState.UNSURE)
        return [
            index
            for index in range(self.spec.tasks)
            if (state := self.state(index)) in open_states
            or (state is TaskState.WAITING and index in self._state_if_cancelled)
        ]

    # ------------------------------------------------------------ events

    def claim(self, *, partition: str, epoch: int, home_epoch: int) -> int:
        """Start an attempt of the next waiting task and return the task's index."""
        index = self._waiting.popleft()
        while self.state(index) is not TaskState.WAITING:
            index = self._waiting.popleft()
        attempt = self._attempts.get(index, 0) + 1
        self._attempts[index] = attempt
        live = LiveAttempt(
            # The home's epoch makes the id unique: a later home restarts the attempt numbers.
            task_id=f"{self.id}/{index}/{home_epoch}.{attempt}",
            attempt=attempt,
            partition=partition,
            epoch=epoch,
        )
        self._add_live_attempt(index, live)
        self._set_state(index, TaskState.CLAIMED)
        return index

    def started(self, index: int, *, worker: str, now: float) -> None:
        """Record that an attempt is running."""
        if self.state(index) is not TaskState.CLAIMED:
            return
        self.live[index].worker = worker
        self.skipped_since = None
        self.capacity_partition = ""
        self._record_start(now)
        self._set_state(index, TaskState.RUNNING)

    def never_started(self, index: int) -> None:
        """Record that the last attempt did not run and never will."""
        if self.state(index) in (TaskState.CLAIMED, TaskState.RUNNING, TaskState.UNSURE):
            self._requeue(index)

    def ended(self, index: int, end: End, *, now: float) -> None:
        """Record how an attempt ended; the task then waits again or becomes final."""
        state = self.state(index)
        if state in FINAL or state is TaskState.WAITING:
            return
        if state is TaskState.UNSURE and not self.is_final(index, end):
            # The end may belong to an earlier attempt while the last one may still be running.
            return
        if end is not End.NOT_STARTED:
            self._record_start(now)
        if end is End.FAILED:
            self._record_failure(index, now)
        next_state = self._state_after(index, end)
        if next_state is TaskState.WAITING:
            self.waiting_since = now
        self._apply_end(index, end, next_state)

    def is_final(self, index: int, end: End) -> bool:
        """Return whether this end of an attempt makes the task final."""
        failures = self._failures.get(index, 0) + (end is End.FAILED)
        return self._state_after(index, end, failures=failures) is not TaskState.WAITING

    def cancel(self) -> None:
        """Prevent further starts; waiting tasks that never ran become ``NOT_RUN``."""
        if self.cancelled:
            return
        for index, state in self._state_if_cancelled.items():
            if self.state(index) is TaskState.WAITING:
                self._finalize(index, state)
        self.cancelled = True
        self.counts.not_run += self.counts.waiting
        self.counts.waiting = 0
        self._waiting.clear()

    def give_up(self, reason: str) -> None:
        """Cancel the job for a reason other than a caller's request."""
        self.reason = reason
        self.cancel()

    # ------------------------------------------------------------ recovery

    def unsure(self, index: int, attempt: int = 0) -> None:
        """Record that an earlier owner may have started an attempt of a task."""
        if self._states[index] not in (TaskState.WAITING, TaskState.UNSURE):
            return
        self._dispatched.setdefault(index, set()).add(attempt)
        self._attempts[index] = max(attempt, self._attempts.get(index, 0))
        if self._states[index] == TaskState.UNSURE:
            return
        if self.cancelled:
            # ``cancel`` counted the task as not run, but its dispatch was being recorded at that
            # time, so it may have been started.
            self.counts.not_run -= 1
            self.counts.waiting += 1
        self._set_state(index, TaskState.UNSURE)

    def found(self, index: int, attempt: LiveAttempt, *, now: float) -> None:
        """Record that a worker reported a running attempt."""
        if self.state(index) is not TaskState.UNSURE:
            return
        self._record_start(now)
        self.formed = True
        self._attempts[index] = max(attempt.attempt, self._attempts.get(index, 0))
        self._add_live_attempt(index, attempt)
        self._set_state(index, TaskState.RUNNING)

    def not_found(self, index: int) -> None:
        """Resolve a task of which no worker holds an attempt and no attempt can still run."""
        if self.state(index) is not TaskState.UNSURE:
            return
        self._ever_started = True
        self._state_if_cancelled[index] = TaskState.UNKNOWN
        if self.spec.idempotent:
            self._requeue(index)
        else:
            # It was dispatched and may have run, so it must never run again.
            self._finalize(index, TaskState.UNKNOWN)

    def restore(self, index: int, end: End, *, attempt: int) -> None:
        """Apply a recorded end of an attempt."""
        if self.state(index) in FINAL:
            return
        if end is End.NOT_STARTED:
            self._restore_not_started(index, attempt)
            return
        if self.state(index) is TaskState.WAITING:
            self.unsure(index, attempt)
        self._ever_started = True
        self._apply_end(index, end, self._state_after(index, end, failures=self._max_attempts))

    def _restore_not_started(self, index: int, attempt: int) -> None:
        """Apply the record that an attempt was never started.

        The end of an attempt that is followed by another attempt is not recorded. An earlier
        dispatch that was not revoked may therefore have run, so the task cannot be "not run".
        """
        dispatched = self._dispatched.get(index, set())
        dispatched.discard(attempt)
        if self.state(index) is not TaskState.UNSURE or attempt != self.last_attempt(index):
            return
        if dispatched:
            self._ever_started = True
            self._state_if_cancelled[index] = TaskState.UNKNOWN
        self._requeue(index)

    def restore_finished(self, phase: JobPhase, counts: Counts | None) -> None:
        """Apply the record of a finished job."""
        self.finished = phase
        self._waiting.clear()
        self.live.clear()
        if counts is not None:
            self.counts = counts

    # ------------------------------------------------------------ internal

    def _state_after(self, index: int, end: End, *, failures: int | None = None) -> TaskState:
        spec = self.spec
        if failures is None:
            failures = self._failures.get(index, 0)
        if end is End.NOT_STARTED:
            return TaskState.WAITING
        if end is End.LEASE_LAPSED:
            if spec.idempotent and not self.cancelled:
                return TaskState.WAITING
            return TaskState.UNKNOWN
        if spec.kind is JobKind.SERVICE and spec.idempotent and not self.cancelled:
            return TaskState.WAITING
        if end is End.DONE:
            return TaskState.DONE
        if not spec.idempotent or self.cancelled:
            return TaskState.FAILED
        if end is End.FAILED and failures >= self._max_attempts:
            return TaskState.FAILED
        return TaskState.WAITING

    def _apply_end(self, index: int, end: End, next_state: TaskState) -> None:
        match end:
            case End.NOT_STARTED:
                pass
            case End.LEASE_LAPSED:
                self._state_if_cancelled[index] = TaskState.UNKNOWN
            case End.DONE:
                self._state_if_cancelled[index] = TaskState.DONE
            case _:
                self._state_if_cancelled[index] = TaskState.FAILED
        if next_state is TaskState.WAITING:
            self._requeue(index)
        else:
            self._finalize(index, next_state)

    def _record_start(self, now: float) -> None:
        self._ever_started = True
        if self.first_start is None:
            self.first_start = now

    def _record_failure(self, index: int, now: float) -> None:
        failures = self._failures.get(index, 0) + 1
        self._failures[index] = failures
        backoff_s = min(INITIAL_BACKOFF_S * 2 ** (failures - 1), MAX_BACKOFF_S)
        self.paused_until = max(self.paused_until, now + backoff_s)
        live = self.live.get(index)
        if live is not None and live.worker:
            self.avoid[index] = self.avoid.get(index, frozenset()) | {live.worker}

    def _requeue(self, index: int) -> None:
        self._remove_live_attempt(index)
        if self.cancelled:
            self._finalize(index, self._state_if_cancelled.get(index, TaskState.NOT_RUN))
            return
        self._set_state(index, TaskState.WAITING)
        self._waiting.append(index)

    def _add_live_attempt(self, index: int, live: LiveAttempt) -> None:
        self._remove_live_attempt(index)
        self.live[index] = live
        self._live_attempts_per_partition[live.partition] += 1

    def _remove_live_attempt(self, index: int) -> None:
        live = self.live.pop(index, None)
        if live is not None:
            self._live_attempts_per_partition[live.partition] -= 1

    def _finalize(self, index: int, state: TaskState) -> None:
        self._remove_live_attempt(index)
        self.avoid.pop(index, None)
        self._failures.pop(index, None)
        self._attempts.pop(index, None)
        self._dispatched.pop(index, None)
        self._set_state(index, state)

    def _set_state(self, index: int, state: TaskState) -> None:
        self.counts.add(TaskState(self._states[index]), -1)
        self._states[index] = state
        self.counts.add(state, 1)

    def _cancelled_phase(self) -> JobPhase:
        if self._ever_started:
            return JobPhase.CANCELLED
        return JobPhase.NOT_RUN
