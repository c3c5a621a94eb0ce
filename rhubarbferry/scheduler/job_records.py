"""Convert between job messages or log records and the types of the decision core."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from rhubarbferry.core.jobs import Counts, Job, JobKind, JobSpec, TaskState
from rhubarbferry.core.worker_ledger import End
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler.messages import resources_of, size_of

ENDS_BY_STATE = {
    TaskState.DONE: End.DONE,
    TaskState.FAILED: End.FAILED,
    TaskState.UNKNOWN: End.LEASE_LAPSED,
}


def spec_of(spec: t.JobSpec) -> JobSpec:
    """Return the job specification of a message."""
    return JobSpec(
        account=spec.account,
        kind=JobKind(int(spec.kind)),
        tasks=spec.tasks,
        size=size_of(spec.size),
        priority=int(spec.priority),
        idempotent=spec.idempotent,
        preemptible=spec.preemptible,
        run_ms=spec.run_ms,
        key=spec.key,
        job_template=spec.job_template,
        region=spec.region,
        payload=spec.payload,
    )


def message_of(spec: JobSpec) -> t.JobSpec:
    """Return the message form of a job specification."""
    return t.JobSpec(
        account=spec.account,
        kind=int(spec.kind),
        tasks=spec.tasks,
        size=resources_of(spec.size),
        priority=spec.priority,
        idempotent=spec.idempotent,
        preemptible=spec.preemptible,
        run_ms=spec.run_ms,
        key=spec.key,
        job_template=spec.job_template,
        region=spec.region,
        payload=spec.payload,
    )


def record_of(job: Job, *, now: float) -> t.JobRecord:
    """Return the description of a job that is sent to callers."""
    counts = job.counts
    return t.JobRecord(
        job_id=job.id,
        spec=message_of(job.spec),
        phase=int(job.phase()),
        tasks_waiting=counts.waiting,
        tasks_running=counts.running,
        tasks_done=counts.done,
        tasks_failed=counts.failed,
        tasks_unknown=counts.unknown,
        tasks_not_run=counts.not_run,
        reason=job.reason or None,
        waited_ms=waited_ms(job, now=now),
    )


def waited_ms(job: Job, *, now: float) -> int:
    """Return how long a job has waited, or had waited when its first task started."""
    started = now if job.first_start is None else job.first_start
    return int(max(0.0, started - job.since) * 1000)


def accepted(job: Job) -> t.LogEntry:
    """Return the log entry for the acceptance of a job."""
    return t.LogEntry(
        job_accepted=t.JobAccepted(
            job_id=job.id,
            spec=message_of(job.spec),
            accepted_at_ms=int(job.accepted_at * 1000),
        )
    )


def finished(job: Job, *, at: float, now: float) -> t.LogEntry:
    """Return the log entry for a finished job.

    :param at: wall clock time, in seconds.
    :param now: monotonic time, in seconds.
    """
    counts = job.counts
    return t.LogEntry(
        job_finished=t.JobFinished(
            job_id=job.id,
            phase=int(job.phase()),
            finished_at_ms=int(at * 1000),
            done=counts.done,
            failed=counts.failed,
            unknown=counts.unknown,
            not_run=counts.not_run,
            waited_ms=waited_ms(job, now=now),
        )
    )


def task_finished(job: Job, index: int, attempt: int, end: End) -> t.LogEntry:
    """Return the log entry for the end of a task attempt."""
    return t.LogEntry(
        task_finished=t.TaskFinished(job_id=job.id, index=index, attempt=attempt, end=int(end))
    )


def dispatched(job: Job, indexes: Iterable[int]) -> list[t.LogEntry]:
    """Return log entries stating that the latest attempts of tasks may start."""
    by_attempt: dict[int, list[int]] = {}
    for index in indexes:
        by_attempt.setdefault(job.last_attempt(index), []).append(index)
    return [
        t.LogEntry(
            tasks_dispatched=t.TasksDispatched(
                job_id=job.id, indexes=attempt_indexes, attempt=attempt
            )
        )
        for attempt, attempt_indexes in by_attempt.items()
    ]


def cancelled(job_id: str) -> t.LogEntry:
    """Return the log entry for the cancellation of a job."""
    return t.LogEntry(job_cancelled=t.JobCancelled(job_id=job_id))


def counts_of(record: t.JobFinished) -> Counts | None:
    """Return the task counts of a finished job, if the record contains them."""
    if record.done is None:
        return None
    return Counts(
        done=record.done,
        failed=record.failed or 0,
        unknown=record.unknown or 0,
        not_run=record.not_run or 0,
    )


def rebuild_entries(job: Job, *, at: float, now: float) -> Iterator[t.LogEntry]:
    """Yield log entries that rebuild a job."""
    yield accepted(job)
    if job.finished is not None:
        yield finished(job, at=at, now=now)
        return
    for state, end in ENDS_BY_STATE.items():
        for index in job.indexes(state):
            yield task_finished(job, index, 0, end)
    yield from dispatched(job, job.may_run())
    if job.cancelled:
        yield cancelled(job.id)


def no_op() -> t.LogEntry:
    """Return an entry without effect; a successful append confirms the entries before it."""
    return t.LogEntry(job_cancelled=t.JobCancelled(job_id=""))
