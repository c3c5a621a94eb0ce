"""Convert between task messages and the types of the decision core."""

from __future__ import annotations

from rhubarbferry.core.cell import PriorityClass, Size
from rhubarbferry.core.worker_ledger import Attempt, End, Held, HeldState, Reported
from rhubarbferry.rpc.gen import ttypes as t


def size_of(resources: t.Resources) -> Size:
    """Return the size given in a message."""
    return Size(
        millicores=resources.millicores,
        memory_bytes=resources.memory_bytes,
        accelerators=resources.accelerators,
    )


def resources_of(size: Size) -> t.Resources:
    """Return the message form of a size."""
    return t.Resources(
        millicores=size.millicores,
        memory_bytes=size.memory_bytes,
        accelerators=size.accelerators,
    )


def attempt_of_claim(claim: t.Claim, home: str) -> Attempt:
    """Return the attempt for which a home claims resources."""
    return Attempt(
        task_id=claim.task_id,
        attempt=claim.attempt,
        job_id=claim.job_id,
        home=home,
        account=claim.account,
        size=size_of(claim.size),
        kind=int(claim.kind),
        priority=int(claim.priority),
        idempotent=claim.idempotent,
        preemptible=claim.preemptible,
        run_ms=claim.run_ms,
        payload=claim.payload,
        avoid=frozenset(claim.avoid_workers or ()),
    )


def reported(message: t.WorkerHeldTask) -> Reported:
    """Return a worker's report about one attempt."""
    task = message.task
    attempt = Attempt(
        task_id=task.task_id,
        attempt=task.attempt,
        job_id=task.job_id,
        home=task.home,
        account=task.account,
        size=size_of(task.size),
        kind=int(task.kind),
        priority=int(PriorityClass.NORMAL if task.priority is None else task.priority),
        idempotent=task.idempotent,
        preemptible=task.preemptible,
        run_ms=task.run_ms,
        payload=task.payload,
    )
    end = None if message.running or message.end is None else End(int(message.end))
    return Reported(attempt=attempt, end=end, ran_ms=message.ran_ms)


def worker_task(attempt: Attempt) -> t.WorkerTask:
    """Return the message that starts an attempt on a worker."""
    return t.WorkerTask(
        task_id=attempt.task_id,
        attempt=attempt.attempt,
        job_id=attempt.job_id,
        home=attempt.home,
        account=attempt.account,
        size=resources_of(attempt.size),
        preemptible=attempt.preemptible,
        idempotent=attempt.idempotent,
        run_ms=attempt.run_ms,
        kind=attempt.kind,
        payload=attempt.payload,
        priority=attempt.priority,
    )


def task_event(held: Held) -> t.TaskEvent:
    """Return the event that reports the end of an attempt to its home."""
    assert held.end is not None
    return t.TaskEvent(
        task_id=held.attempt.task_id,
        attempt=held.attempt.attempt,
        job_id=held.attempt.job_id,
        end=int(held.end),
        worker_id=held.worker,
        ran_ms=held.ran_ms,
    )


def held_task(held: Held) -> t.HeldTask:
    """Return the description of a held attempt that is sent to its home."""
    return t.HeldTask(
        task_id=held.attempt.task_id,
        attempt=held.attempt.attempt,
        job_id=held.attempt.job_id,
        worker_id=held.worker,
        running=held.state != HeldState.ENDED,
        end=None if held.end is None else int(held.end),
    )
