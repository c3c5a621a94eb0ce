from __future__ import annotations

import asyncio
import contextlib

from prometheus_client import CollectorRegistry

from rhubarbferry.conf.settings import OwnershipSettings, ProcessSettings, Settings
from rhubarbferry.coordination.budget import SharedBudget
from rhubarbferry.coordination.configuration import apply
from rhubarbferry.core.partition import key_partition
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.hosts import Host
from rhubarbferry.rpc import Pool
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.rpc.services import SCHEDULER
from rhubarbferry.scheduler.daemon import Ports, SchedulerDaemon
from rhubarbferry.test.memory_store import MemoryStore
from tests.scheduler.fakes import FakeHosts, FakeReports, FakeRunner, eventually, runner_host

CELL = """
[cell]
regions = nan
key_partitions_per_region = 2
[service records]
slots = 2
[account lanna]
share = 1
"""
TIMEOUT_S = 10.0
KEY = key_partition(region="nan", number=0)


class PolledHosts(FakeHosts):
    async def start(self) -> None:
        pass

    async def close(self) -> None:
        pass


def make_daemon(store: MemoryStore, hosts: list[Host]) -> SchedulerDaemon:
    clock = SystemClock()
    cfg = Settings(
        process=ProcessSettings(member="s", region="nan", failure_domain="a", drain_s=3.0),
        ownership=OwnershipSettings(
            lease_s=0.6, renew_s=0.1, clock_margin_s=0.05, rebalance_s=0.3, promise_s=0.3
        ),
    )
    return SchedulerDaemon(
        cfg=cfg,
        ports=Ports(
            clock=clock,
            store=MemoryStore(clock=clock, engine=store.engine, rate_limiter=store.rate_limiter),
            hosts=PolledHosts(listed=hosts),
            reports=FakeReports(runners={"r1": FakeRunner()}),
            registry=CollectorRegistry(),
            budget=SharedBudget(clock=clock, writes_per_s=300, reads_per_s=1500),
        ),
    )


@contextlib.asynccontextmanager
async def running(daemon: SchedulerDaemon):
    task = asyncio.create_task(daemon.run())
    try:
        yield task
    finally:
        daemon.stop()
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.gather(task, return_exceptions=True)


def owned(daemon: SchedulerDaemon) -> set[str]:
    return {line.partition for line in daemon.status().partitions if line.phase == "serving"}


def intent(request_id: str, epoch: int) -> t.IntentRequest:
    return t.IntentRequest(
        partition=str(KEY),
        epoch=epoch,
        account="lanna",
        key="slip-7",
        request_id=request_id,
        fingerprint="body",
        frontend_id="f1",
        remaining_ms=60_000,
    )


async def test_a_graceful_stop_hands_over_recorded_state() -> None:
    """A scheduler host is replaced; the successor of its partitions keeps the state of keys."""
    clock = SystemClock()
    store = MemoryStore(clock=clock)
    await apply(store, text=CELL, based_on=0, author="test", clock=clock, write_id="w")
    first, second = (make_daemon(store, [runner_host("r1")]) for _ in range(2))
    everything = {"key/nan/0", "key/nan/1", "runner/nan/records"}
    pool = Pool(service=SCHEDULER)
    async with running(first) as task, asyncio.timeout(2 * TIMEOUT_S):
        await eventually(lambda: owned(first) == everything, timeout_s=TIMEOUT_S)
        reply = await pool.call(first.address, "begin_request", intent("q1", 1), timeout_s=2)
        assert reply.verdict == t.IntentVerdict.COMMITTED
        async with running(second):
            await eventually(lambda: second.address, timeout_s=TIMEOUT_S)
            first.stop()
            await eventually(lambda: owned(second) == everything, timeout_s=TIMEOUT_S)
            assert await task == 0
            reply = await pool.call(second.address, "begin_request", intent("q2", 1), timeout_s=2)
            assert reply.verdict in (t.IntentVerdict.RUNNING, t.IntentVerdict.UNKNOWN)
            assert reply.epoch > 1
    await pool.close()
