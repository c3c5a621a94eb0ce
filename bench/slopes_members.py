"""Measure costs per member: store load while idle, configuration changes, and takeover."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections import Counter
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from bench.probe import Point, cpu_ms, listed, rss_mib, slope, store_counts
from rhubarbferry.coordination import configuration
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.rpc import Pool, RpcError
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.rpc.services import GUARD, SCHEDULER
from rhubarbferry.test.processes import ProcessCell, Shape

MEMBER_COUNTS = (2, 4, 8)
IDLE_S = 10.0
CHANGES = 40
POLL_INTERVAL_S = 0.005
ACTIVE_TIMEOUT_S = 15.0
KILLS = 8
PROBE_INTERVAL_S = 0.02
SETTLE_S = 6.0
MAX_US = 120_000_000
ACCOUNTS = 20
FRONTEND = "frontend-attiki-1"
RUNNER_PARTITION = "runner/attiki/orders"
ACCOUNT_TEMPLATE = """
[account team-{number}]
share = {share}
priority = normal
max_concurrency = 200
rate_per_s = 50
objective_wait_ms = 8900
objective_target = 0.99
"""


def daemons(cell: ProcessCell) -> list[Any]:
    """Return the running members."""
    found = cell.processes_with_prefix("frontend-") + cell.processes_with_prefix("scheduler-")
    return [process for process in found if process.running]


async def measure_idle(dir: Path, members: int) -> dict[str, float]:
    """Return the load on the store and the daemons of an idle cell."""
    shape = Shape(runners=1, workers=1, schedulers=members // 2, frontends=members // 2)
    async with ProcessCell(dir=dir, shape=shape) as cell:
        await cell.wait_until_served(FRONTEND)
        await asyncio.sleep(SETTLE_S)
        before, started_at = await store_counts(cell), time.monotonic()
        used = {p.name: cpu_ms(p) for p in daemons(cell)}
        await asyncio.sleep(IDLE_S)
        after, elapsed_s = await store_counts(cell), time.monotonic() - started_at
        cpu = {p.name: (cpu_ms(p) - used[p.name]) / elapsed_s / 10 for p in daemons(cell)}
        memory = [rss_mib(p) for p in daemons(cell)]
    calls = {
        kind: round((count - before.calls.get(kind, 0)) / elapsed_s, 3)
        for kind, count in after.calls.items()
    }
    return {
        "calls_per_s": (after.total - before.total) / elapsed_s,
        "writes_per_s": (after.writes - before.writes) / elapsed_s,
        "reads_per_s": (after.reads - before.reads) / elapsed_s,
        "bytes_in_per_s": (after.bytes_in - before.bytes_in) / elapsed_s,
        "cpu_percent_each": sum(cpu.values()) / len(cpu),
        "mib_max": max(memory),
        "by_kind": calls,
    }


async def measure_store(dir: Path) -> dict[str, object]:
    """Measure store calls of an idle cell against the number of members."""
    found: dict[int, Any] = {}
    for members in MEMBER_COUNTS:
        part = dir / f"members-{members}"
        part.mkdir()
        found[members] = await measure_idle(part, members)
    names = ("calls_per_s", "writes_per_s", "reads_per_s", "bytes_in_per_s")
    slopes = {
        name: round(slope([Point(amount=n, value=f[name]) for n, f in found.items()]), 3)
        for name in names
    }
    return {"by_members": found, "per_member": slopes}


def cell_with_accounts(base: str, count: int, change: int) -> str:
    """Return an INI text with ``count`` more accounts; ``change`` varies one parameter."""
    more = [
        ACCOUNT_TEMPLATE.format(number=n, share=change % 7 + 1 if n == 0 else 1 + n % 3)
        for n in range(count)
    ]
    return base + "".join(more)


async def revision_of(pools: tuple[Pool, Pool], process: Any) -> int:
    """Return the active configuration revision of a member, or -1 if it does not respond."""
    pool = pools[0] if process.name.startswith("scheduler") else pools[1]
    try:
        reply = await pool.call(process.address, "status", t.StatusRequest(), timeout_s=2.0)
    except RpcError:
        return -1
    return int(reply.config_revision)


async def wait_until_active(cell: ProcessCell, pools: tuple[Pool, Pool], revision: int) -> None:
    """Wait until all members report that a revision is active."""
    async with asyncio.timeout(ACTIVE_TIMEOUT_S):
        for process in daemons(cell):
            while True:
                if await revision_of(pools, process) >= revision:
                    break
                await asyncio.sleep(POLL_INTERVAL_S)


async def measure_config(dir: Path) -> dict[str, object]:
    """Measure the time from submitting a change until it is active in eight members."""
    shape = Shape(runners=1, workers=1, schedulers=4, frontends=4)
    times = HdrHistogram(1, MAX_US, 3)
    async with ProcessCell(dir=dir, shape=shape) as cell:
        await cell.wait_until_served(FRONTEND)
        await asyncio.sleep(SETTLE_S)
        store, pools = cell.open_store(), (Pool(service=SCHEDULER), Pool(service=GUARD))
        before, started_at = await store_counts(cell), time.monotonic()
        for change in range(1, CHANGES + 1):
            text = cell_with_accounts(cell.cell_text(), ACCOUNTS, change)
            change_started_at = time.perf_counter()
            await configuration.apply(
                store,
                text=text,
                based_on=change,
                author="bench",
                clock=SystemClock(),
                write_id=secrets.token_hex(4),
            )
            await wait_until_active(cell, pools, change + 1)
            times.record_value(int(1e6 * (time.perf_counter() - change_started_at)))
            await asyncio.sleep(0.1)
        after, elapsed_s = await store_counts(cell), time.monotonic() - started_at
        await asyncio.sleep(IDLE_S)
        rested = await store_counts(cell)
        await store.close()
        for pool in pools:
            await pool.close()
    rest_per_s = (rested.total - after.total) / IDLE_S
    sizes = [Point(amount=n, value=len(cell_with_accounts("", n, 1).encode())) for n in (0, 10, 20)]
    return {
        "in_force_ms": {
            name: times.get_value_at_percentile(mark) / 1000
            for name, mark in {"p50": 50, "p99": 99, "max": 100}.items()
        },
        "members": 8,
        "changes": CHANGES,
        "store_calls_per_change": round(
            (after.total - before.total - rest_per_s * elapsed_s) / CHANGES, 2
        ),
        "store_bytes_per_change": round((after.bytes_in - before.bytes_in) / CHANGES),
        "ini_bytes_per_account": round(slope(sizes), 1),
        "ini_bytes_20_accounts": len(cell_with_accounts(cell.cell_text(), ACCOUNTS, 1).encode()),
        "ini_points": listed(sizes),
    }


async def owner_of(pool: Pool, cell: ProcessCell, partition: str) -> Any:
    """Return the process that owns a partition."""
    for process in cell.processes_with_prefix("scheduler-"):
        if not process.running:
            continue
        reply = await pool.call(process.address, "status", t.StatusRequest(), timeout_s=2.0)
        if any(p.partition == partition for p in reply.partitions):
            return process
    return None


async def send_probe(cell: ProcessCell, seen: list[tuple[float, str]], *, keyed: bool) -> None:
    """Send a request and record its duration and outcome."""
    headers = {"Idempotent": "true", "Request-Timeout": "20"}
    if keyed:
        headers["Idempotent"] = "false"
        headers["Idempotency-Key"] = secrets.token_hex(8)
    started_at = time.monotonic()
    answer = await cell.request(FRONTEND, "/kill", headers=headers, body=b"x")
    seen.append((time.monotonic() - started_at, answer.outcome))


async def measure_kill(cell: ProcessCell, pool: Pool, number: int) -> dict[str, Any] | None:
    """Kill the owner of the probed service; return the latencies and outcomes of requests."""
    owner = await owner_of(pool, cell, RUNNER_PARTITION)
    if owner is None:
        return None
    seen: list[tuple[float, str]] = []
    tasks: list[asyncio.Task[None]] = []
    killed = time.monotonic()
    await owner.kill()
    while time.monotonic() - killed < SETTLE_S:
        keyed = len(tasks) % 4 == 0
        tasks.append(asyncio.create_task(send_probe(cell, seen, keyed=keyed)))
        await asyncio.sleep(PROBE_INTERVAL_S)
    await asyncio.gather(*tasks)
    await cell.start_daemon("scheduler", f"scheduler-attiki-r{number}", region="attiki")
    await asyncio.sleep(SETTLE_S + 2)
    return {
        "longest_s": max(elapsed_s for elapsed_s, _ in seen),
        "outcomes": dict(Counter(outcome for _, outcome in seen)),
    }


async def measure_takeover(dir: Path) -> dict[str, object]:
    """Measure latency and outcomes of requests when the owner of a service is killed."""
    shape = Shape(runners=4, workers=1, schedulers=3)
    found: list[dict[str, Any]] = []
    async with ProcessCell(dir=dir, shape=shape) as cell:
        await cell.wait_until_served(FRONTEND)
        await asyncio.sleep(SETTLE_S)
        pool = Pool(service=SCHEDULER)
        for number in range(KILLS):
            one = await measure_kill(cell, pool, number)
            if one is not None:
                found.append(one)
        await pool.close()
    longest = sorted(one["longest_s"] for one in found)
    total: Counter[str] = Counter()
    for one in found:
        total.update(one["outcomes"])
    return {
        "kills": len(found),
        "longest_wait_s": {"p50": longest[len(longest) // 2], "max": longest[-1]},
        "outcomes": dict(total),
        "each": found,
    }
