from __future__ import annotations

import asyncio

import pytest

from rhubarbferry.core.cell import Account, Limits, Size
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.rpc.gen import ttypes as t
from tests.scheduler.jobs_harness import (
    HOME,
    Cluster,
    MemoryLog,
    assert_no_overlap,
    eventually,
    spec,
    task_of,
)

JOB = "north.0.a"


async def test_a_job_is_accepted_placed_and_completed() -> None:
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.worker("w2")
        await cluster.rack()
        home = await cluster.home()
        reply = await cluster.submit(JOB, spec(tasks=20))
        assert reply.verdict == t.SubmitVerdict.ACCEPTED
        assert home.log.entries[0].job_accepted.job_id == JOB
        job = await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        assert job.tasks_done == 20
        assert len(cluster.runs()) == 20
        assert_no_overlap(cluster.runs())


async def test_the_same_key_identifies_the_same_job() -> None:
    """A client without a reply submits a job again, possibly while the first is in progress.

    The two submissions must not become two jobs, or the work would be done twice.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.rack()
        home = await cluster.home()
        order = spec(key="order-7", idempotent=False)
        replies = await asyncio.gather(*(cluster.submit(f"north.0.{i}", order) for i in range(5)))
        assert [r.verdict for r in replies].count(t.SubmitVerdict.ACCEPTED) == 1
        assert {r.job_id for r in replies} == {"north.0.0"}
        await cluster.job_until("north.0.0", lambda job: job.phase == t.JobPhase.DONE)
        await cluster.stop(home)
        await cluster.home(home.log)
        again = await cluster.submit("north.0.9", order)
        assert (again.verdict, again.job_id) == (t.SubmitVerdict.DUPLICATE, "north.0.0")
        assert len(cluster.runs()) == 1


async def test_a_job_is_refused_immediately_while_the_store_is_down() -> None:
    """The store is unavailable, so an accepted job could be lost with its home.

    The client must receive an immediate refusal with a retry delay.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.rack()
        home = await cluster.home()
        home.log.down = True
        reply = await cluster.submit(JOB, spec())
        assert reply.verdict == t.SubmitVerdict.UNAVAILABLE
        assert reply.retry_after_ms > 0
        assert (await cluster.job(JOB)).verdict == t.JobVerdict.NO_SUCH_JOB
        home.log.down = False
        assert (await cluster.submit(JOB, spec())).verdict == t.SubmitVerdict.ACCEPTED
        await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        assert len(cluster.runs()) == 1


async def test_an_owner_with_an_expired_lease_refuses_jobs_immediately() -> None:
    """The store is down for longer than a lease, so the owner of the job records may not act.

    No other process can take over meanwhile. A "not owner" reply would make the client retry
    until its deadline; it must receive an immediate refusal instead.
    """
    async with Cluster() as cluster:
        home = await cluster.home()
        home.tenure.held = False
        reply = await cluster.submit(JOB, spec())
        assert reply.verdict == t.SubmitVerdict.UNAVAILABLE and reply.retry_after_ms > 0
        for asked in (await cluster.job(JOB), await cluster.cancel(JOB)):
            assert asked.verdict == t.JobVerdict.UNAVAILABLE and asked.retry_after_ms > 0
        assert home.log.entries == []
        home.log.fenced, home.tenure.held = True, True
        assert (await cluster.submit(JOB, spec())).verdict == t.SubmitVerdict.NOT_OWNER
        home.tenure.held = False
        assert (await cluster.submit(JOB, spec())).verdict == t.SubmitVerdict.NOT_OWNER


async def test_a_job_that_may_be_recorded_is_not_refused() -> None:
    """The store's reply to the acceptance record is lost, and the job runs nevertheless.

    If the job were reported as refused, its client would submit it again under another key.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.rack()
        home = await cluster.home()
        home.log.unclear = True
        reply = await cluster.submit(JOB, spec())
        assert (reply.verdict, reply.job_id) == (t.SubmitVerdict.UNCLEAR, JOB)
        assert reply.retry_after_ms > 0
        home.log.unclear = False
        await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        assert len(cluster.runs()) == 1


@pytest.mark.parametrize(
    ("job", "word"),
    [
        (spec(account="nobody"), "account"),
        (spec(tasks=0), "tasks"),
        (spec(millicores=8001), "millicores"),
        (spec(accelerators=3), "accelerators"),
        (spec(kind=t.JobKind.GANG, tasks=17), "gang"),
        (spec(account="small", millicores=2000), "quota"),
    ],
)
async def test_an_infeasible_job_is_refused_with_a_reason(job: t.JobSpec, word: str) -> None:
    """A job requests more resources than any worker has.

    If it were accepted, it would wait forever without an explanation.
    """
    small = Account(name="small", limits=Limits(quota=Size(millicores=1000)))
    async with Cluster(accounts=[Account(name="assay"), small]) as cluster:
        await cluster.worker("w1")
        await cluster.worker("w2")
        await cluster.rack()
        home = await cluster.home()
        await eventually(lambda: home.state._all_extents() is not None)
        reply = await cluster.submit(JOB, job)
        assert reply.verdict == t.SubmitVerdict.REFUSED
        assert word in reply.reason


async def test_cancelled_tasks_that_never_started_are_not_run() -> None:
    """A client cancels a job while some of its tasks are running.

    Tasks may be reported as "not run" only if no worker has started them.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.rack()
        await cluster.home()
        await cluster.submit(JOB, spec(tasks=10_000, run_ms=60_000))
        await cluster.submit("north.0.b", spec(tasks=5))
        await eventually(lambda: len(cluster.runs()) == 8)
        reply = await cluster.cancel("north.0.b")
        assert reply.job.phase == t.JobPhase.NOT_RUN
        assert (await cluster.cancel(JOB)).job.tasks_not_run >= 10_000 - 8
        job = await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.CANCELLED)
        assert job.tasks_failed == 8
        assert job.tasks_not_run == 10_000 - 8
        assert [run.end for run in cluster.runs()] == ["STOPPED"] * 8


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("rack_too", [True, False])
async def test_a_crashed_home_causes_no_duplicate_runs(idempotent: bool, rack_too: bool) -> None:
    """The home of a job fails while tasks run, alone or together with the owner of the rack.

    The log shows its successor which tasks may have started. If the successor did not wait for
    the workers' reports, it would start these tasks a second time.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        rack = await cluster.rack()
        home = await cluster.home()
        await cluster.submit(JOB, spec(tasks=20, idempotent=idempotent, run_ms=400))
        await eventually(lambda: len(cluster.runs()) >= 8)
        await cluster.stop(home)
        if rack_too:
            await cluster.stop(rack)
        await asyncio.sleep(0.1)
        await cluster.home(MemoryLog(home.log.entries))
        if rack_too:
            await cluster.rack()
        job = await cluster.job_until(JOB, lambda job: job.phase >= t.JobPhase.DONE)
        runs = cluster.runs()
        assert job.tasks_done == 20
        assert len({task_of(run) for run in runs}) == len(runs) == 20


async def test_a_non_idempotent_task_with_an_unknown_end_is_not_retried() -> None:
    """A worker is lost permanently while it runs a non-idempotent task.

    The progress of the task is unknown, and it must be reported as unknown.
    """
    async with Cluster() as cluster:
        first = await cluster.worker("w1")
        await cluster.rack()
        await cluster.home()
        await cluster.submit(JOB, spec(idempotent=False, run_ms=60_000))
        await eventually(lambda: len(cluster.runs()) == 1)
        await cluster.worker("w2")
        await first.close()
        job = await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.UNKNOWN)
        assert job.tasks_unknown == 1
        assert len(cluster.runs()) == 1


async def test_a_gang_starts_completely_or_not_at_all() -> None:
    """The free capacity is enough for most of a gang's tasks, but not for all.

    Tasks started alone would occupy capacity while they wait for the others.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.worker("w2", rack="r2")
        await cluster.rack()
        await cluster.rack(PartitionId.parse("worker/north/r2"))
        await cluster.home()
        await cluster.submit("north.0.b", spec(tasks=4, run_ms=700))
        await eventually(lambda: len(cluster.runs()) == 4)
        await cluster.submit(JOB, spec(kind=t.JobKind.GANG, tasks=14, run_ms=100))
        await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        gang = [run for run in cluster.runs() if run.job_id == JOB]
        others = [run for run in cluster.runs() if run.job_id != JOB]
        assert len(gang) == 14
        assert {run.worker for run in gang} == {"w1", "w2"}
        assert min(run.started_at for run in gang) >= max(run.ended_at for run in others)
        assert max(run.started_at for run in gang) < min(run.ended_at for run in gang)


async def test_service_tasks_are_spread_and_replaced() -> None:
    """One of the workers that run a service is lost.

    Its task must be replaced on another worker immediately. The tasks must be spread over several
    workers, or a single failure would stop the whole service.
    """
    async with Cluster() as cluster:
        for number in range(3):
            await cluster.worker(f"w{number}")
        await cluster.rack()
        await cluster.home()
        await cluster.submit(JOB, spec(kind=t.JobKind.SERVICE, tasks=3))
        await eventually(lambda: len(cluster.runs()) == 3)
        assert {run.worker for run in cluster.runs()} == {"w0", "w1", "w2"}
        await cluster.workers["w0"].close()
        await eventually(lambda: len(cluster.runs()) == 4)
        await cluster.cancel(JOB)
        job = await cluster.job_until(JOB, lambda job: job.phase >= t.JobPhase.DONE)
        assert job.phase == t.JobPhase.CANCELLED
        assert_no_overlap(cluster.runs()[1:])


async def test_urgent_jobs_preempt_preemptible_tasks() -> None:
    """An urgent job arrives while long preemptible tasks occupy all workers.

    It must not wait for one of them to end. A preempted task runs again later, and a task that is
    not preemptible keeps running.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.rack()
        await cluster.home()
        await cluster.submit("north.0.n", spec(tasks=4, run_ms=60_000))
        await cluster.submit(
            "north.0.p", spec(tasks=4, run_ms=60_000, preemptible=True, priority=2)
        )
        await eventually(lambda: len(cluster.runs()) == 8)
        await cluster.submit(JOB, spec(account="orders", millicores=2000, priority=0, run_ms=10))
        await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        await eventually(lambda: len(cluster.runs()) == 8 + 1 + 2)
        gave_way = [run for run in cluster.runs() if run.end == "PREEMPTED"]
        assert [run.job_id for run in gave_way] == ["north.0.p"] * 2
        assert_no_overlap(cluster.runs())


async def test_the_explanation_names_what_a_task_waits_for() -> None:
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.rack()
        await cluster.home()
        await cluster.submit("north.0.b", spec(tasks=8, run_ms=60_000))
        await eventually(lambda: len(cluster.runs()) == 8)
        await cluster.submit(JOB, spec())
        words: list[str] = []
        for _ in range(400):
            words = (await cluster.job(JOB)).explanation
            if any("processors" in line for line in words):
                break
            await asyncio.sleep(0.01)
        assert any("no worker has enough free processors" in line for line in words)


async def test_a_compacted_log_rebuilds_the_same_jobs() -> None:
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.rack()
        home = await cluster.home()
        await cluster.submit(JOB, spec(tasks=30, run_ms=100))
        await cluster.submit("north.0.b", spec(tasks=3, run_ms=10))
        await cluster.job_until("north.0.b", lambda job: job.phase == t.JobPhase.DONE)
        await eventually(lambda: not home.state._jobs["north.0.b"].open())
        await home.log.compact(home.state.snapshot())
        await cluster.stop(home)
        await cluster.home(home.log)
        job = await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        assert job.tasks_done == 30
        assert (await cluster.job("north.0.b")).job.tasks_done == 3
        assert len({task_of(run) for run in cluster.runs()}) == len(cluster.runs()) == 33
        assert str(HOME) == "key/north/0"


async def test_an_unclear_acceptance_is_not_reported_as_not_run() -> None:
    """The store's reply to the acceptance record of a job is lost.

    The job may be recorded and run; with "not run" as reply, the client would submit it again.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.rack()
        home = await cluster.home()
        home.log.unclear = True
        reply = await cluster.submit(JOB, spec())
        assert reply.verdict == t.SubmitVerdict.UNCLEAR
        home.log.unclear = False
        assert (await cluster.submit(JOB, spec())).verdict == t.SubmitVerdict.DUPLICATE
        await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        assert len(cluster.runs()) == 1


async def test_a_compaction_right_after_an_append_keeps_the_entries() -> None:
    """The log is compacted immediately after the end of a task has been recorded.

    A snapshot made before the end is applied would drop it. The worker has discarded the task by
    then, so a successor would run it again.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.rack()
        home = await cluster.home()
        missed: list[t.LogEntry] = []

        def compact() -> None:
            snapshot = list(home.state.snapshot())
            done = [e for e in home.log.entries if e.task_finished and e.task_finished.end == 0]
            over = [e.job_finished for e in snapshot if e.job_finished]
            if over:
                # The record of a finished job replaces the records of its tasks by their counts.
                missed.extend(done if over[0].done != len(done) else [])
                return
            kept = {e.task_finished.index for e in snapshot if e.task_finished}
            missed.extend(e for e in done if e.task_finished.index not in kept)

        home.log.after_append = compact
        await cluster.submit(JOB, spec(tasks=3))
        await eventually(lambda: len([run for run in cluster.runs() if run.end == "DONE"]) == 3)
        await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        assert not missed


async def test_the_waiting_time_of_a_job_survives_a_takeover() -> None:
    """A job has finished, and its home is replaced by a successor without its start time.

    The reported waiting time must not include the time since the job was started.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.rack()
        home = await cluster.home()
        await cluster.submit(JOB, spec(run_ms=20))
        before = await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        assert home.log is not None
        await eventually(lambda: any(entry.job_finished for entry in home.log.entries))
        await cluster.stop(home)
        await cluster.home(home.log)
        restarted_at = cluster.clock.monotonic()
        await eventually(lambda: cluster.clock.monotonic() > restarted_at + 0.1)
        after = await cluster.job_until(JOB, lambda job: job.phase == t.JobPhase.DONE)
        assert after.waited_ms == pytest.approx(before.waited_ms, abs=10)


async def test_an_error_in_one_lane_ends_the_home() -> None:
    """A programming error ends the lane of a home to one rack.

    If the error went unnoticed, tasks claimed through the lane would wait forever. The home must
    end, so that it is recovered again.
    """
    async with Cluster() as cluster:
        await cluster.worker("w1")
        await cluster.rack()
        home = await cluster.home()
        await eventually(lambda: bool(home.state.lanes()))

        def broken() -> None:
            raise RuntimeError("a fault")

        for lane in home.state.lanes():
            lane._step = broken
        await eventually(home.task.done)
