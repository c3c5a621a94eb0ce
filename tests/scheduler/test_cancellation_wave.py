from __future__ import annotations

import asyncio

from rhubarbferry.coordination.log import SealedLog
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler.job_home import JobHome
from rhubarbferry.test.memory_store import MemoryStore
from tests.scheduler.jobs_harness import HOME, Cluster, FakeTenure, spec

JOBS = 10_000
MAX_WRITES = 40


async def test_many_cancellations_take_few_writes() -> None:
    """A client cancels a large number of jobs at once.

    With one write per cancellation, the store's write rate would be exhausted for half a minute,
    and other records would be delayed or refused.
    """
    clock = SystemClock()
    store = MemoryStore(clock=clock)
    tenure = FakeTenure(partition=HOME, epoch=1)
    log = SealedLog(store=store, partition=HOME, epoch=1, writer_id="m", clock=clock)
    async with Cluster() as cluster:
        home = JobHome(tenure=tenure, ctx=cluster.context("m"), log=log)
        for entry in await log.open():
            home.replay(entry)
        await home.recover()
        submits = [
            t.SubmitRequest(partition=str(HOME), epoch=1, job_id=f"north.0.{i}", spec=spec())
            for i in range(JOBS)
        ]
        for reply in await asyncio.gather(*map(home.submit_job, submits)):
            assert reply.verdict == t.SubmitVerdict.ACCEPTED
        before = sum(store.counters.calls.values())
        cancels = [
            t.JobRequest(partition=str(HOME), epoch=1, job_id=f"north.0.{i}") for i in range(JOBS)
        ]
        for reply in await asyncio.gather(*map(home.cancel_job, cancels)):
            assert reply.job.phase == t.JobPhase.NOT_RUN
        assert sum(store.counters.calls.values()) - before <= MAX_WRITES
        await log.close()
