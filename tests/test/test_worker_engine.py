from __future__ import annotations

import pytest

from rhubarbferry.core.cell import Size
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.test.worker import WorkerEngine

RACK = "worker/north/r1"
VERDICT = t.StartVerdict


class ManualClock:
    now = 100.0

    def monotonic(self) -> float:
        return self.now


class Owner:
    """The requests of one rack owner to one worker."""

    def __init__(self, engine: WorkerEngine, epoch: int = 1) -> None:
        self.engine, self.epoch = engine, epoch

    def adopt(self) -> t.WorkerAdoptReply:
        return self.engine.adopt(
            t.WorkerAdoptRequest(partition=RACK, epoch=self.epoch, owner_id="o")
        )

    def start(
        self, task_id: str, *, answered: int, millicores: int = 1, run_ms: int = 60_000
    ) -> int:
        task = t.WorkerTask(
            task_id=task_id,
            attempt=1,
            job_id="j",
            home="key/north/0",
            account="a",
            size=t.Resources(millicores=millicores, memory_bytes=1),
            preemptible=False,
            idempotent=True,
            run_ms=run_ms,
            kind=t.JobKind.BATCH,
        )
        reply = self.engine.start(
            t.StartRequest(
                partition=RACK,
                epoch=self.epoch,
                owner_id="o",
                lease_ms=5000,
                tasks=[task],
                answered=answered,
            )
        )
        return reply.results[0].verdict

    def renew(self, *, answered: int, acknowledged: tuple[str, ...] = ()) -> t.RenewReply:
        return self.engine.renew(
            t.RenewRequest(
                partition=RACK,
                epoch=self.epoch,
                owner_id="o",
                lease_ms=5000,
                acknowledged=list(acknowledged),
                orders=[],
                answered=answered,
            )
        )


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def engine(clock: ManualClock) -> WorkerEngine:
    return WorkerEngine(id="w", capacity=Size(millicores=4, memory_bytes=4), clock=clock)


def test_a_start_sent_before_an_adoption_is_refused(engine: WorkerEngine) -> None:
    """A delayed start arrives after its owner has adopted the worker again.

    The adoption reported no tasks, so the owner starts the task on another worker. If the worker
    accepted the delayed start, the task would run twice at the same time.
    """
    owner = Owner(engine)
    first = owner.adopt().number
    owner.adopt()
    assert owner.start("late", answered=first) == VERDICT.STALE_EPOCH


def test_a_late_heartbeat_does_not_extend_a_lease_beyond_the_owner_s_estimate(
    engine: WorkerEngine, clock: ManualClock
) -> None:
    """A heartbeat is delayed by most of a lease, and its owner has declared the worker lost.

    A lease counted from the arrival of the heartbeat would outlive the owner's estimate, while the
    task is started on another worker.
    """
    owner = Owner(engine)
    answered = owner.adopt().number
    assert owner.start("t", answered=answered) == VERDICT.STARTED
    clock.now += 4.5
    assert owner.renew(answered=answered).accepted
    clock.now += 0.6
    engine.tick()
    assert engine.record.runs[0].end == "LEASE_LAPSED"


def test_a_start_that_arrives_when_its_lease_would_be_over_is_refused(
    engine: WorkerEngine, clock: ManualClock
) -> None:
    owner = Owner(engine)
    answered = owner.adopt().number
    clock.now += 5.0
    assert owner.start("late", answered=answered) == VERDICT.STALE_EPOCH


def test_a_previous_owner_is_refused(engine: WorkerEngine) -> None:
    """A suspended owner resumes after another owner has taken over the rack."""
    old, new = Owner(engine, 1), Owner(engine, 2)
    answered = old.adopt().number
    new.adopt()
    assert old.start("t", answered=answered) == VERDICT.STALE_EPOCH
    assert not old.renew(answered=answered).accepted
    assert not old.adopt().accepted


def test_held_and_oversized_tasks_are_refused_and_ended_tasks_kept(
    engine: WorkerEngine, clock: ManualClock
) -> None:
    owner = Owner(engine)
    answered = owner.adopt().number
    assert owner.start("t", answered=answered, millicores=3, run_ms=1000) == VERDICT.STARTED
    assert owner.start("t", answered=answered) == VERDICT.ALREADY_HELD
    assert owner.start("u", answered=answered, millicores=2) == VERDICT.NO_ROOM
    clock.now += 2.0
    assert [held.end for held in owner.renew(answered=answered).ended] == [t.TaskEnd.DONE]
    assert len(owner.adopt().tasks) == 1
    answered = owner.adopt().number
    assert owner.renew(answered=answered, acknowledged=("t",)).ended == []
    assert engine.record.max_used == Size(millicores=3, memory_bytes=1)
