"""Measure task starts in a cell of real processes: rate, waits, store writes and CPU time.

Prints one JSON object. Run: python bench/job_starts.py [--rate 240] [--tasks 4] [--seconds 10]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import aiohttp
from attrs import Factory, define, frozen
from hdrh.histogram import HdrHistogram
from probe import cpu_ms

from rhubarbferry.test.processes import ProcessCell, Shape

FRONTEND = "frontend-attiki-1"
ACCOUNTS = ("kryogonia", "golden-comb")
SHAPE = Shape(
    schedulers=3,
    racks=3,
    workers=6,
    runners=0,
    key_partitions=3,
    millicores=32_000,
    memory_bytes=64 * 2**30,
)
RUN_MS = 800
SIZE = {"millicores": 1000, "memory_bytes": 2**30}
# The first scheduler to start acquires all partitions; rebalancing to the others takes time.
WARM_UP_S = 9.0
READY_TIMEOUT_S = 30.0
JOBS_END_TIMEOUT_S = 60.0
MAX_MS = 600_000


@frozen(kw_only=True)
class Reading:
    """Counter values at one point in time."""

    at: float
    writes: int
    cpu_s: Mapping[str, float]


@define(kw_only=True)
class Submitter:
    """Submit jobs at a constant rate, independent of the response times."""

    cell: ProcessCell
    tasks: int
    per_s: float
    accepted: list[str] = Factory(list)
    refused: int = 0
    number: int = 0

    async def run(self, seconds: float) -> None:
        """Submit jobs for ``seconds`` seconds, then wait for all responses."""
        started_at = time.perf_counter()
        async with asyncio.TaskGroup() as group:
            for n in range(int(seconds * self.per_s)):
                await asyncio.sleep(max(0.0, started_at + n / self.per_s - time.perf_counter()))
                group.create_task(self.submit())

    async def submit(self) -> None:
        """Submit one job and count whether it is accepted."""
        self.number += 1
        status, view = await self.cell.submit(
            FRONTEND,
            account=ACCOUNTS[self.number % len(ACCOUNTS)],
            kind="batch",
            tasks=self.tasks,
            run_ms=RUN_MS,
            idempotent=True,
            size=SIZE,
        )
        if status == 202:
            self.accepted.append(view["id"])
        else:
            self.refused += 1


async def read(cell: ProcessCell) -> Reading:
    async with cell.session.get(f"{cell.processes['store'].http}/counters") as answer:
        counters = await answer.json()
    used = {name: cpu_ms(process) / 1000 for name, process in cell.processes.items()}
    return Reading(at=time.monotonic(), writes=counters["writes"], cpu_s=used)


async def wait_until_ready(cell: ProcessCell, submitter: Submitter) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not submitter.accepted:
            await submitter.submit()
            await asyncio.sleep(0.2)


async def jobs(cell: ProcessCell) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []
    for account in ACCOUNTS:
        url = f"{cell.processes[FRONTEND].http}/v1/jobs?account={account}"
        async with cell.session.get(url) as answer:
            found += (await answer.json())["jobs"]
    return found


async def wait_until_done(cell: ProcessCell) -> list[dict[str, Any]]:
    async with asyncio.timeout(JOBS_END_TIMEOUT_S):
        while True:
            found = await jobs(cell)
            if all(job["phase"] not in ("waiting", "running") for job in found):
                return found
            await asyncio.sleep(0.3)


def waits(found: list[dict[str, Any]]) -> dict[str, float]:
    times = HdrHistogram(1, MAX_MS, 3)
    for job in found:
        times.record_value(max(1, job["waited_ms"]))
    return {f"p{mark}": times.get_value_at_percentile(mark) for mark in (50, 99, 100)}


def per_start_ms(before: Reading, after: Reading, starts: int) -> dict[str, float]:
    used = {name: after.cpu_s[name] - before.cpu_s[name] for name in after.cpu_s}
    workers = sum(value for name, value in used.items() if name.startswith("worker"))
    named = {name: value for name, value in used.items() if not name.startswith("worker")}
    named["all workers"] = workers
    return {name: round(1000 * value / max(1, starts), 3) for name, value in named.items()}


async def measure(cell: ProcessCell, args: argparse.Namespace) -> dict[str, object]:
    submitter = Submitter(cell=cell, tasks=args.tasks, per_s=args.rate / args.tasks)
    await wait_until_ready(cell, submitter)
    await submitter.run(WARM_UP_S)
    warm, submitter.refused = set(submitter.accepted), 0
    before = await read(cell)
    await submitter.run(args.seconds)
    after = await read(cell)
    found = await wait_until_done(cell)
    runs = [run for record in await cell.records("worker") for run in record["runs"]]
    starts = sum(before.at <= run["started_at"] < after.at for run in runs)
    elapsed_s = after.at - before.at
    return {
        "asked_per_s": args.rate,
        "tasks_per_job": args.tasks,
        "starts_per_s": round(starts / elapsed_s, 1),
        "writes_per_s": round((after.writes - before.writes) / elapsed_s, 1),
        "job_wait_ms": waits([job for job in found if job["id"] not in warm]),
        "cpu_ms_per_start": per_start_ms(before, after, starts),
        "cpu_share": {
            name: round((after.cpu_s[name] - before.cpu_s[name]) / elapsed_s, 2)
            for name in after.cpu_s
            if not name.startswith("worker")
        },
        "jobs_accepted": len(submitter.accepted) - len(warm),
        "jobs_refused": submitter.refused,
        "phases": {
            phase: sum(job["phase"] == phase for job in found)
            for phase in sorted({job["phase"] for job in found})
        },
    }


async def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=240.0)
    parser.add_argument("--tasks", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=10.0)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as dir:
        async with ProcessCell(dir=Path(dir), shape=SHAPE) as cell:
            try:
                print(json.dumps(await measure(cell, args)))
            except (TimeoutError, aiohttp.ClientError) as exc:
                for process in cell.processes_with_prefix("scheduler"):
                    print(process.last_lines(5))
                raise SystemExit(f"measurement failed: {exc!r}") from exc


if __name__ == "__main__":
    asyncio.run(main())
