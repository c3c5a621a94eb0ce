"""Measure the cost of jobs in worker partitions and job homes, with real processes."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from attrs import Factory, define, frozen

from bench.probe import (
    CountingProxy,
    Point,
    StoreCounts,
    cpu_ms,
    listed,
    metric,
    rss_mib,
    slope,
    store_counts,
)
from rhubarbferry.test.processes import ProcessCell, Shape

FRONTEND = "frontend-attiki-1"
SCHEDULER = "scheduler-attiki-1"
WORKERS_PER_RACK = 8
RACK_COUNTS = (1, 3)
IDLE_S = 10.0
START_COUNTS = (200, 800)
TASKS_PER_JOB = 10
SHORT_RUN_MS = 300
LONG_RUN_MS = 3_600_000
RUNNING_COUNTS = (0, 200, 600)
WAITING_COUNTS = (0, 200, 600)
PHASE_TIMEOUT_S = 60.0
SETTLE_S = 3.0
POLL_INTERVAL_S = 0.3
MILLICORES = 100
MEMORY_BYTES = 2**24


@define(kw_only=True)
class ProxiedCell(ProcessCell):
    """A cell whose worker addresses are those of byte-counting proxies."""

    proxies: list[CountingProxy] = Factory(list)

    async def publish_hosts(self) -> None:
        """Start a proxy for each worker, then publish the host list."""
        for host in self.hosts:
            if host["labels"]["kind"] == "worker" and not self._is_proxied(host):
                proxy = CountingProxy(target=host["targets"][0])
                await proxy.start()
                host["targets"] = [proxy.address]
                self.proxies.append(proxy)
        await super().publish_hosts()

    def _is_proxied(self, host: dict[str, Any]) -> bool:
        return any(proxy.address == host["targets"][0] for proxy in self.proxies)


@define(kw_only=True)
class Bench:
    """A running cell and the proxies of its workers."""

    cell: ProxiedCell
    proxies: list[CountingProxy]

    @property
    def scheduler(self) -> Any:
        """Return the only scheduler of the cell."""
        return self.cell.processes[SCHEDULER]

    async def submit(self, *, tasks: int, run_ms: int, millicores: int = MILLICORES) -> str:
        """Submit a batch job; return its id."""
        size = {"millicores": millicores, "memory_bytes": MEMORY_BYTES, "accelerators": 0}
        status, document = await self.cell.submit(
            FRONTEND,
            account="kryogonia",
            kind="batch",
            tasks=tasks,
            size=size,
            run_ms=run_ms,
            idempotent=True,
        )
        if status != 202:
            raise RuntimeError(f"{status}: {document}")
        return str(document["id"])

    async def wait_until(self, ids: list[str], phase: str) -> None:
        """Wait until all jobs have reached a phase."""
        async with asyncio.timeout(PHASE_TIMEOUT_S):
            for id in ids:
                while True:
                    document = await self.cell.job(FRONTEND, id)
                    if document.get("phase") == phase:
                        break
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def cancel(self, ids: list[str]) -> None:
        """Cancel jobs."""
        for id in ids:
            base = self.cell.processes[FRONTEND].http
            async with self.cell.session.delete(f"{base}/v1/jobs/{id}") as answer:
                await answer.read()


@frozen(kw_only=True)
class Reading:
    """Counter values at one point in time."""

    at: float
    scheduler_ms: float
    worker_ms: float
    sent: int
    received: int
    heartbeats: float
    store: StoreCounts


async def take_reading(bench: Bench) -> Reading:
    """Read the current values of all counters."""
    workers = bench.cell.processes_with_prefix("worker-")
    return Reading(
        at=time.monotonic(),
        scheduler_ms=cpu_ms(bench.scheduler),
        worker_ms=sum(cpu_ms(worker) for worker in workers),
        sent=sum(proxy.sent for proxy in bench.proxies),
        received=sum(proxy.received for proxy in bench.proxies),
        heartbeats=await metric(
            bench.cell, bench.scheduler, "rhubarbferry_worker_heartbeats_total", "answered"
        ),
        store=await store_counts(bench.cell),
    )


async def measure_idle(bench: Bench, seconds: float = IDLE_S) -> dict[str, float]:
    """Return the resource usage while no task starts or ends."""
    before = await take_reading(bench)
    await asyncio.sleep(seconds)
    after = await take_reading(bench)
    elapsed_s = after.at - before.at
    workers = len(bench.proxies)
    return {
        "scheduler_cpu_percent": (after.scheduler_ms - before.scheduler_ms) / elapsed_s / 10,
        "worker_stand_in_cpu_percent": (after.worker_ms - before.worker_ms)
        / elapsed_s
        / 10
        / workers,
        "scheduler_mib": rss_mib(bench.scheduler),
        "bytes_to_worker_per_s": (after.sent - before.sent) / elapsed_s / workers,
        "bytes_from_worker_per_s": (after.received - before.received) / elapsed_s / workers,
        "heartbeats_per_worker_per_s": (after.heartbeats - before.heartbeats) / elapsed_s / workers,
        "store_calls_per_s": (after.store.total - before.store.total) / elapsed_s,
    }


async def measure_starts(bench: Bench) -> dict[str, object]:
    """Return the cost per task start, including submission, end and report."""
    names = ("scheduler_ms", "worker_ms", "sent", "received")
    points: dict[str, list[Point]] = {name: [] for name in (*names, "store_calls", "store_bytes")}
    seconds = []
    for count in START_COUNTS:
        before = await take_reading(bench)
        jobs = count // TASKS_PER_JOB
        ids = [await bench.submit(tasks=TASKS_PER_JOB, run_ms=SHORT_RUN_MS) for _ in range(jobs)]
        await bench.wait_until(ids, "done")
        after = await take_reading(bench)
        seconds.append(round(after.at - before.at, 2))
        for name in names:
            points[name].append(
                Point(amount=count, value=getattr(after, name) - getattr(before, name))
            )
        calls = after.store.total - before.store.total
        size = after.store.bytes_in - before.store.bytes_in
        points["store_calls"].append(Point(amount=count, value=calls))
        points["store_bytes"].append(Point(amount=count, value=size))
    found: dict[str, object] = {
        name: {"per_start": round(slope(values), 4), "points": listed(values)}
        for name, values in points.items()
    }
    return {**found, "seconds": seconds, "tasks_per_job": TASKS_PER_JOB}


async def measure_states(
    bench: Bench, amounts: tuple[int, ...], *, waiting: bool
) -> dict[str, object]:
    """Return the cost per running task, or per waiting job, while no task starts or ends."""
    ids: list[str] = []
    names = ("scheduler_cpu_percent", "scheduler_mib", "bytes_to_worker_per_s")
    names += ("bytes_from_worker_per_s", "worker_stand_in_cpu_percent")
    points: dict[str, list[Point]] = {name: [] for name in names}
    held = 0
    for amount in amounts:
        while held < amount:
            if waiting:
                # Larger than the capacity that the running tasks leave free on any worker.
                ids.append(await bench.submit(tasks=1, run_ms=LONG_RUN_MS, millicores=32_000))
                held += 1
            else:
                ids.append(await bench.submit(tasks=TASKS_PER_JOB, run_ms=LONG_RUN_MS))
                held += TASKS_PER_JOB
        await asyncio.sleep(SETTLE_S)
        found = await measure_idle(bench, IDLE_S / 2)
        for name in names:
            points[name].append(Point(amount=amount, value=found[name]))
    if not waiting:
        await bench.cancel(ids)
        await asyncio.sleep(SETTLE_S)
    return {
        name: {"each": round(slope(values), 6), "points": listed(values)}
        for name, values in points.items()
    }


async def fill(bench: Bench) -> None:
    """Start one task on every worker, so that no worker is completely free."""
    workers = len(bench.proxies)
    await bench.submit(tasks=workers * 8, run_ms=LONG_RUN_MS, millicores=4000)
    await asyncio.sleep(SETTLE_S)


async def measure_racks(dir: Path, racks: int, *, full: bool) -> dict[str, object]:
    """Measure a cell with racks of eight workers and one scheduler."""
    shape = Shape(runners=1, racks=racks, workers=WORKERS_PER_RACK, schedulers=1)
    async with ProxiedCell(dir=dir, shape=shape) as cell:
        bench = Bench(cell=cell, proxies=cell.proxies)
        await cell.wait_until_served(FRONTEND)
        await asyncio.sleep(SETTLE_S)
        result: dict[str, object] = {"at_rest": await measure_idle(bench)}
        if full:
            result["starts"] = await measure_starts(bench)
            result["running_tasks"] = await measure_states(bench, RUNNING_COUNTS, waiting=False)
            await fill(bench)
            result["waiting_jobs"] = await measure_states(bench, WAITING_COUNTS, waiting=True)
        for proxy in bench.proxies:
            await proxy.close()
    return result


async def measure(dir: Path) -> dict[str, object]:
    """Measure cells of one and three racks; fit the per-task slopes with three."""
    found: dict[str, Any] = {}
    for racks in RACK_COUNTS:
        part = dir / str(racks)
        part.mkdir()
        found[str(racks * WORKERS_PER_RACK)] = await measure_racks(
            part, racks, full=racks == RACK_COUNTS[-1]
        )
    names = ("scheduler_cpu_percent", "scheduler_mib")
    per_worker = {
        name: round(
            slope([Point(amount=int(n), value=f["at_rest"][name]) for n, f in found.items()]), 5
        )
        for name in names
    }
    return {"by_workers": found, "per_worker": per_worker}
