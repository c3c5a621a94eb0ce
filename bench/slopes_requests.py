"""Measure the cost of requests in frontend and runner partition, with real processes."""

from __future__ import annotations

import asyncio
import secrets
import time
from pathlib import Path

from attrs import frozen

from bench.probe import Point, cpu_ms, listed, metric, rss_mib, slope, store_counts
from rhubarbferry.test.processes import ProcessCell, Shape

REQUEST_COUNTS = (300, 1200, 2400)
CONCURRENCY = 24
IDLE_S = 8.0
IN_PROGRESS_COUNTS = (0, 100, 200)
WAITING_COUNTS = (0, 500, 1100)
FRONTEND = "frontend-attiki-1"
SCHEDULER = "scheduler-attiki-1"
BODY = b"x" * 100
RUNNER_OVERRIDES = "\n[requests]\nrunner_connections = 32\n"
SEQUENTIAL_REQUESTS = 150


async def send(cell: ProcessCell, *, keyed: bool, work_ms: int = 0, timeout_s: int = 60) -> float:
    """Send one request and return its latency in seconds.

    :raises RuntimeError: if its outcome is not "done".
    """
    headers = {"Idempotent": "true", "Request-Timeout": str(timeout_s)}
    if keyed:
        headers["Idempotent"] = "false"
        headers["Idempotency-Key"] = secrets.token_hex(8)
    if work_ms:
        headers["Work-Ms"] = str(work_ms)
    started_at = time.perf_counter()
    answer = await cell.request(FRONTEND, "/bench", headers=headers, body=BODY)
    if answer.outcome != "done":
        raise RuntimeError(f"{answer.status} {answer.outcome}: {answer.body!r}")
    return time.perf_counter() - started_at


async def send_many(cell: ProcessCell, count: int, *, keyed: bool) -> None:
    """Send ``count`` requests with limited concurrency."""
    semaphore = asyncio.Semaphore(CONCURRENCY)

    async def bounded() -> None:
        async with semaphore:
            await send(cell, keyed=keyed)

    await asyncio.gather(*(bounded() for _ in range(count)))


@frozen(kw_only=True)
class Reading:
    """Counters of the cell at one point in time."""

    frontend_ms: float
    scheduler_ms: float
    rpc_bytes: float
    rpc_calls: float
    store_calls: int
    store_writes: int
    store_bytes: int
    frontend_kib: float
    scheduler_kib: float


async def take_reading(cell: ProcessCell) -> Reading:
    """Read the current values of all counters."""
    frontend, scheduler = cell.processes[FRONTEND], cell.processes[SCHEDULER]
    counts = await store_counts(cell)
    return Reading(
        frontend_ms=cpu_ms(frontend),
        scheduler_ms=cpu_ms(scheduler),
        rpc_bytes=await metric(cell, frontend, "rhubarbferry_rpc_sent_bytes_total"),
        rpc_calls=await metric(cell, scheduler, "rhubarbferry_rpc_calls_total"),
        store_calls=counts.total,
        store_writes=counts.writes,
        store_bytes=counts.bytes_in,
        frontend_kib=1024 * rss_mib(frontend),
        scheduler_kib=1024 * rss_mib(scheduler),
    )


async def per_request(cell: ProcessCell, *, keyed: bool) -> dict[str, object]:
    """Return the cost per request, as slopes."""
    readings: dict[str, list[Point]] = {name: [] for name in Reading.__annotations__}
    await send_many(cell, REQUEST_COUNTS[0], keyed=keyed)
    for size in REQUEST_COUNTS:
        before = await take_reading(cell)
        await send_many(cell, size, keyed=keyed)
        after = await take_reading(cell)
        for name, points in readings.items():
            points.append(Point(amount=size, value=getattr(after, name) - getattr(before, name)))
    return {
        name: {"per_request": round(slope(points), 4), "points": listed(points)}
        for name, points in readings.items()
    }


async def idle_usage(cell: ProcessCell) -> dict[str, float]:
    """Return the resource usage of idle daemons."""
    before = await take_reading(cell)
    await asyncio.sleep(IDLE_S)
    after = await take_reading(cell)
    return {
        "frontend_cpu_percent": round((after.frontend_ms - before.frontend_ms) / IDLE_S / 10, 3),
        "scheduler_cpu_percent": round((after.scheduler_ms - before.scheduler_ms) / IDLE_S / 10, 3),
        "frontend_mib": round(rss_mib(cell.processes[FRONTEND]), 1),
        "scheduler_mib": round(rss_mib(cell.processes[SCHEDULER]), 1),
    }


async def held_memory(cell: ProcessCell, amounts: tuple[int, ...]) -> dict[str, object]:
    """Return the memory per request in progress."""
    frontend: list[Point] = []
    scheduler: list[Point] = []
    for amount in amounts:
        tasks = [asyncio.create_task(send(cell, keyed=False, work_ms=4000)) for _ in range(amount)]
        await asyncio.sleep(2.5)
        frontend.append(Point(amount=amount, value=1024 * rss_mib(cell.processes[FRONTEND])))
        scheduler.append(Point(amount=amount, value=1024 * rss_mib(cell.processes[SCHEDULER])))
        for task in tasks:
            if amount > IN_PROGRESS_COUNTS[-1]:
                task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(1.0)
    return {
        "frontend_kib_each": round(slope(frontend), 2),
        "scheduler_kib_each": round(slope(scheduler), 2),
        "frontend_points": listed(frontend),
        "scheduler_points": listed(scheduler),
    }


async def sequential_p50_ms(cell: ProcessCell, *, keyed: bool) -> float:
    """Return the median latency of sequential requests."""
    times = sorted([await send(cell, keyed=keyed) for _ in range(SEQUENTIAL_REQUESTS)])
    return round(1000 * times[SEQUENTIAL_REQUESTS // 2], 2)


async def measure(dir: Path) -> dict[str, object]:
    """Measure one frontend and one scheduler with eight runners."""
    shape = Shape(runners=8, workers=1, schedulers=1, slots=32, overrides=RUNNER_OVERRIDES)
    async with ProcessCell(dir=dir, shape=shape) as cell:
        await cell.wait_until_served(FRONTEND)
        result: dict[str, object] = {"at_rest": await idle_usage(cell)}
        result["in_progress"] = await held_memory(cell, IN_PROGRESS_COUNTS)
        result["idempotent"] = await per_request(cell, keyed=False)
        result["keyed"] = await per_request(cell, keyed=True)
        plain = await sequential_p50_ms(cell, keyed=False)
        keyed = await sequential_p50_ms(cell, keyed=True)
        result["latency_ms"] = {"idempotent_p50": plain, "keyed_p50": keyed}
        result["intent_added_ms"] = round(keyed - plain, 2)
        result["waiting"] = await held_memory(cell, WAITING_COUNTS)
    return result
