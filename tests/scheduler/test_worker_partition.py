from __future__ import annotations

import asyncio

import pytest

from rhubarbferry.rpc.gen import ttypes as t
from tests.scheduler.jobs_harness import (
    FAST,
    RACK,
    Cluster,
    assert_no_overlap,
    eventually,
    spec,
    task_of,
)

JOB = "north.0.j"


def within_capacity(cluster: Cluster) -> bool:
    return all(
        worker.engine.record.max_used.fits(worker.engine.capacity)
        for worker in cluster.workers.values()
    )


async def test_tasks_of_an_unresponsive_worker_run_elsewhere_once() -> None:
    """A worker stops replying while it continues to run a task.

    The worker stops the task when its lease expires. If the owner started the task elsewhere
    earlier, it would run in two places at once; the owner must start it again afterwards.
    """
    async with Cluster() as cluster:
        first = await cluster.worker("w1")
        await cluster.rack()
        await cluster.home()
        await cluster.submit(JOB, spec(run_ms=1500))
        await eventually(lambda: len(cluster.runs()) == 1)
        first.set_faults({"pause_s": 30.0})
        await cluster.worker("w2")
        await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        runs = cluster.runs()
        assert [run.worker for run in runs] == ["w1", "w2"]
        assert runs[0].end == "LEASE_LAPSED"
        assert_no_overlap(runs)


@pytest.mark.parametrize("lost", [1, 2, 3])
async def test_a_lost_start_reply_causes_no_duplicate_runs(lost: int) -> None:
    """A worker starts tasks, but its reply is lost.

    If the owner assumed that the tasks were not started, it would also start them on another
    worker, and they would run twice.
    """
    async with Cluster() as cluster:
        first = await cluster.worker("w1")
        await cluster.rack()
        await cluster.home()
        await eventually(lambda: first.engine._oldest_valid_number != {})
        first.engine.faults.lose_replies = lost
        await cluster.submit(JOB, spec(tasks=8, idempotent=False, run_ms=700))
        await cluster.worker("w2")
        job = await cluster.job_until(JOB, lambda job: job.phase >= t.JobPhase.DONE)
        runs = cluster.runs()
        assert len({task_of(run) for run in runs}) == len(runs)
        assert job.tasks_done + job.tasks_unknown == 8
        assert job.tasks_done == sum(run.end == "DONE" for run in runs)
        assert within_capacity(cluster)


async def test_a_successor_adopts_the_running_tasks() -> None:
    """The owner of a rack fails while its workers are fully occupied.

    A successor that did not adopt the workers first would treat them as empty, start further
    tasks on them and overload the hosts.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.worker("w2")
        rack = await cluster.rack()
        await cluster.home()
        await cluster.submit(JOB, spec(tasks=24, run_ms=900))
        await eventually(lambda: len(cluster.runs()) == 16)
        await cluster.stop(rack)
        successor = await cluster.rack()
        assert successor.state._ledger.free().millicores == 0
        job = await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        assert job.tasks_done == 24
        assert len(cluster.runs()) == 24
        assert not any(worker.engine.record.refused for worker in cluster.workers.values())
        assert within_capacity(cluster)
        assert_no_overlap(cluster.runs())


async def test_a_paused_owner_no_longer_acts_after_a_takeover() -> None:
    """An owner is paused and resumes without noticing that it was replaced meanwhile.

    It still sends heartbeats and starts. If workers accepted them, two owners would place tasks
    on the same workers.
    """
    async with Cluster() as cluster:
        worker = await cluster.worker("w1")
        old = await cluster.rack()
        await eventually(lambda: worker.engine._oldest_valid_number != {})
        new = await cluster.rack()
        assert new.state._ledger.workers() == ("w1",)
        await eventually(lambda: old.state._fenced)
        claim = t.Claim(
            task_id="north.0.x/0/1.1",
            attempt=1,
            job_id="north.0.x",
            account="assay",
            kind=t.JobKind.BATCH,
            priority=t.Priority.NORMAL,
            size=t.Resources(millicores=1, memory_bytes=1),
            idempotent=True,
            preemptible=False,
            run_ms=10,
        )
        req = t.ClaimRequest(
            partition=str(RACK),
            epoch=old.tenure.epoch,
            home="key/north/0",
            home_epoch=1,
            claims=[claim],
            reserve_ms=0,
            number=1,
        )
        reply = await old.state.claim(req)
        assert not reply.owner
        assert cluster.runs() == []


async def test_a_leaving_worker_gets_no_new_tasks() -> None:
    """The platform is about to remove a worker.

    A task started there after the notice would be interrupted when the worker is removed.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.worker("w2")
        await cluster.rack()
        await cluster.home()
        cluster.mark_leaving("w1")
        await asyncio.sleep(0)
        await cluster.submit(JOB, spec(tasks=30, run_ms=20))
        await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        assert {run.worker for run in cluster.runs()} == {"w2"}


async def test_a_worker_that_fails_every_task_is_ejected() -> None:
    """One worker fails each task right after its start, so it always has free capacity.

    Without ejection it would attract and fail the tasks of all accounts.
    """
    async with Cluster() as cluster:
        for number in range(4):
            await cluster.worker(f"w{number}")
        failing = cluster.workers["w0"]
        failing.engine.faults.fail_all = True
        await cluster.rack()
        await cluster.home()
        phases = []
        for number in range(20):
            await cluster.submit(f"north.0.j{number}", spec(idempotent=False, run_ms=10))
            job = await cluster.job_until(f"north.0.j{number}", lambda job: job.phase >= 2)
            phases.append(job.phase)
        assert phases.count(t.JobPhase.FAILED) == len(failing.engine.record.runs) <= 4


async def test_an_unresponsive_worker_delays_only_its_own_tasks() -> None:
    """A rack gets a new owner, which can't reach one of the workers.

    The tasks of that worker are unknown and must not be started elsewhere, because the previous
    owner may still reach the worker. All other tasks must be processed.
    """
    cfg = FAST
    async with Cluster(cfg=cfg) as cluster:
        first = await cluster.worker("w1")
        rack = await cluster.rack()
        await cluster.home()
        await cluster.submit(JOB, spec(run_ms=60_000))
        await eventually(lambda: len(cluster.runs()) == 1)
        await cluster.stop(rack)
        first.set_faults({"pause_s": 60.0})
        await cluster.worker("w2")
        successor = await cluster.rack()
        assert successor.state._ledger.with_unknown_tasks(cluster.clock.monotonic()) == ["w1"]
        await cluster.submit("north.0.k", spec(tasks=8, run_ms=20))
        await cluster.job_until("north.0.k", lambda job: job.phase == t.JobPhase.DONE)
        job = (await cluster.job(JOB)).job
        assert job.tasks_running == 1
        # The removal of the worker from the host list settles its tasks.
        cluster.hosts.drop("w1")
        await eventually(
            lambda: any(run.job_id == JOB and run.worker == "w2" for run in cluster.runs())
        )
        assert_no_overlap(cluster.runs())


async def test_an_owner_with_an_expired_lease_stops_without_a_majority_of_workers() -> None:
    """The store is unavailable for longer than a lease, and so are most workers of a rack.

    The owner can't distinguish that from a failure of its own network. If it continued with the
    one worker that it reaches, the task of that worker would run at the same time as the attempt
    that its successor starts elsewhere.
    """
    async with Cluster() as cluster:
        reached = await cluster.worker("w1")
        others = [await cluster.worker("w2"), await cluster.worker("w3")]
        rack = await cluster.rack()
        await cluster.home()
        await cluster.submit(JOB, spec(kind=t.JobKind.SERVICE))
        await eventually(lambda: len(cluster.runs()) == 1)
        await eventually(lambda: rack.tenure.promises.held(cluster.clock.monotonic()) == 3)
        rack.tenure.lease_valid = False
        first_number = reached.engine._last_number
        # After this number of heartbeats both the task lease and the promise have expired.
        await eventually(lambda: reached.engine._last_number > first_number + 20)
        assert rack.tenure.holds()
        assert cluster.runs()[0].ended_at is None
        for worker in others:
            worker.set_faults({"pause_s": 60.0})
        await eventually(lambda: not rack.tenure.holds())
        await eventually(lambda: cluster.runs()[0].end == "LEASE_LAPSED")
        assert len(reached.engine.record.runs) <= 1


async def test_a_successor_settles_an_unreachable_worker_after_adopting_a_majority() -> None:
    """An owner and one worker of its rack are disconnected from the store and the other workers.

    Its successor reaches all other workers. The task on the unreachable one must not wait for
    hours, but must not be started again before that worker must have ended it.
    """
    async with Cluster() as cluster:
        for id in ("w1", "w2", "w3"):
            await cluster.worker(id)
        rack = await cluster.rack()
        await cluster.home()
        await cluster.submit(JOB, spec(run_ms=60_000))
        await eventually(lambda: len(cluster.runs()) == 1)
        await eventually(lambda: len(cluster.workers["w1"].engine._settled_epochs) == 1)
        await eventually(lambda: rack.tenure.promises.held(cluster.clock.monotonic()) == 3)
        await cluster.stop(rack)
        cluster.workers[cluster.runs()[0].worker].set_faults({"pause_s": 60.0})
        await cluster.rack()
        await eventually(lambda: len(cluster.runs()) == 2)
        assert_no_overlap(cluster.runs())
