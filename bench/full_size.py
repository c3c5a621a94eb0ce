"""Run a cell of the target size: 552 workers, with real daemons and simulated workers.

Each fleet process simulates many workers. Phases: start 5,800 tasks; leave the cell idle; start
short tasks at 240 per second; kill a scheduler. Prints one JSON object.

Run: python bench/full_size.py
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from attrs import Factory, define, frozen
from probe import cpu_ms, rss_mib

from rhubarbferry.test.processes import Process, ProcessCell, Shape

WORKERS_PER_RACK = 8
RACKS = 69
DOMAINS = {"attiki": 4, "kriti": 3}
SCHEDULERS = 4
FRONTENDS = 4
FLEETS = 6
TASKS = 5800
SERVICE_TASKS = TASKS // 5
JOB_TASKS = 50
LONG_RUN_MS = 600_000
CHURN_PER_S = 240
CHURN_S = 12
CHURN_TASKS = 20
CHURN_RUN_MS = 1000
IDLE_S = 10
TIMEOUT_S = 90


@frozen(kw_only=True)
class Usage:
    """Processor time in seconds and resident memory in MiB of one process."""

    cpu_s: float
    rss_mib: float


def usage_of(process: Process) -> Usage:
    return Usage(cpu_s=cpu_ms(process) / 1000, rss_mib=rss_mib(process))


@define(kw_only=True)
class Bench:
    """The cell and its measurements."""

    cell: ProcessCell
    result: dict[str, Any] = Factory(dict)

    # ------------------------------------------------------------ the cell

    async def start_fleets(self) -> None:
        places = [(rack, n) for rack in range(RACKS) for n in range(WORKERS_PER_RACK)]
        per_fleet = -(-len(places) // FLEETS)
        await asyncio.gather(
            *(
                self.cell.start(
                    f"fleet-{n}",
                    "rhubarbferry.test.worker_fleet",
                    "--count",
                    str(len(places[n * per_fleet : (n + 1) * per_fleet])),
                    "--prefix",
                    f"w{n}",
                )
                for n in range(FLEETS)
            )
        )
        workers: list[Any] = [
            w for f in self.cell.processes_with_prefix("fleet") for w in f.startup_info["workers"]
        ]
        domains = [f"{region}-{n}" for region, count in DOMAINS.items() for n in range(count)]
        for (rack, _), worker in zip(places, workers, strict=True):
            domain = domains[rack % len(domains)]
            labels = {
                "id": worker["id"],
                "kind": "worker",
                "region": domain.split("-")[0],
                "failure_domain": domain,
                "rack": f"rack-{rack}",
                "service": "",
                "state": "live",
            }
            self.cell.hosts.append({"targets": [worker["address"]], "labels": labels})
        await self.cell.publish_hosts()

    async def start_daemons(self) -> None:
        starts = []
        for region, count in DOMAINS.items():
            for n in range(SCHEDULERS):
                name, domain = f"scheduler-{region}-{n}", f"{region}-{n % count}"
                start = self.cell.start_daemon("scheduler", name, region=region, domain=domain)
                starts.append(start)
            for n in range(FRONTENDS):
                name, domain = f"frontend-{region}-{n}", f"{region}-{n % count}"
                start = self.cell.start_daemon("frontend", name, region=region, domain=domain)
                starts.append(start)
        await asyncio.gather(*starts)

    def frontends(self) -> list[str]:
        return [process.name for process in self.cell.processes_with_prefix("frontend")]

    async def counts(self) -> dict[str, int]:
        total = {"started": 0, "running": 0, "over_capacity": 0}
        for fleet in self.cell.processes_with_prefix("fleet"):
            url = f"http://{fleet.startup_info['control']}/counts"
            async with self.cell.session.get(url) as answer:
                found = await answer.json()
            total["started"] += found["started"]
            total["running"] += found["running"]
            total["over_capacity"] += len(found["over_capacity"])
        return total

    async def store_calls(self) -> dict[str, Any]:
        url = f"{self.cell.processes['store'].http}/counters"
        async with self.cell.session.get(url) as answer:
            found: dict[str, Any] = await answer.json()
        return found

    async def wait_until_running(self, count: int) -> float:
        started_at = time.monotonic()
        while (await self.counts())["running"] < count:
            if time.monotonic() - started_at > TIMEOUT_S:
                break
            await asyncio.sleep(0.25)
        return time.monotonic() - started_at

    # ------------------------------------------------------------ phases

    async def submit(self, n: int, **job: Any) -> str:
        frontends = self.frontends()
        body = {
            "account": "kryogonia" if n % 2 else "golden-comb",
            "kind": "batch",
            "idempotent": True,
            "size": {"millicores": 4000, "memory_bytes": 8 * 2**30, "accelerators": 0},
            **job,
        }
        until = time.monotonic() + TIMEOUT_S
        while True:
            status, doc = await self.cell.submit(frontends[n % len(frontends)], **body)
            if status == 202:
                return str(doc["id"])
            if time.monotonic() > until:
                raise SystemExit(f"job not accepted within {TIMEOUT_S} s: {doc}")
            await asyncio.sleep(0.2)

    async def fill(self) -> None:
        started_at = time.monotonic()
        kinds = []
        for left in range(0, TASKS, JOB_TASKS):
            kinds.append("service" if left < SERVICE_TASKS else "batch")
        await asyncio.gather(
            *(
                self.submit(n, kind=kind, tasks=JOB_TASKS, run_ms=LONG_RUN_MS)
                for n, kind in enumerate(kinds)
            )
        )
        accepted = time.monotonic() - started_at
        await self.wait_until_running(TASKS)
        elapsed_s = time.monotonic() - started_at
        counts = await self.counts()
        self.result["fill"] = {
            "jobs": len(kinds),
            "accepted_s": round(accepted, 2),
            "running": counts["running"],
            "took_s": round(elapsed_s, 2),
            "starts_per_s": round(counts["started"] / elapsed_s, 1),
        }

    async def measure_phase(self, name: str, seconds: float, work: Any = None) -> None:
        daemons = self.cell.processes_with_prefix("scheduler") + self.cell.processes_with_prefix(
            "frontend"
        )
        daemons = [d for d in daemons if d.running]
        before = {d.name: usage_of(d) for d in daemons}
        calls = await self.store_calls()
        started = (await self.counts())["started"]
        started_at = time.monotonic()
        if work is None:
            await asyncio.sleep(seconds)
        else:
            await work
        elapsed_s = time.monotonic() - started_at
        after = {d.name: usage_of(d) for d in daemons}
        calls_after = await self.store_calls()
        starts = (await self.counts())["started"] - started
        roles = {}
        for role in ("scheduler", "frontend"):
            names = [n for n in after if n.startswith(role)]
            cores = [(after[n].cpu_s - before[n].cpu_s) / elapsed_s for n in names]
            roles[role] = {
                "core_mean": round(sum(cores) / len(cores), 4),
                "core_max": round(max(cores), 4),
                "rss_mb_max": round(max(after[n].rss_mib for n in names), 1),
            }
        self.result[name] = {
            "took_s": round(elapsed_s, 2),
            "starts_per_s": round(starts / elapsed_s, 1),
            **roles,
            "store_per_s": rates(calls, calls_after, elapsed_s),
        }

    async def churn(self) -> None:
        jobs: list[str] = []
        gap = CHURN_TASKS / CHURN_PER_S
        started_at = time.monotonic()
        pending = []
        for n in range(int(CHURN_S / gap)):
            await asyncio.sleep(max(0.0, started_at + n * gap - time.monotonic()))
            job = self.submit(n, tasks=CHURN_TASKS, run_ms=CHURN_RUN_MS)
            pending.append(asyncio.create_task(job))
        jobs = list(await asyncio.gather(*pending))
        waits = []
        for job_id in jobs:
            doc = await self.wait_until_job_ended(job_id)
            waits.append(doc.get("waited_ms", -1))
        waits.sort()
        self.result["churn_wait_ms"] = {
            "p50": waits[len(waits) // 2],
            "p99": waits[int(len(waits) * 0.99)],
            "jobs": len(jobs),
        }

    async def wait_until_job_ended(self, job_id: str) -> dict[str, Any]:
        until = time.monotonic() + TIMEOUT_S
        doc: dict[str, Any] = {}
        while time.monotonic() < until:
            doc = await self.cell.job(self.frontends()[0], job_id)
            if doc and doc["phase"] not in ("waiting", "running"):
                return doc
            await asyncio.sleep(0.1)
        return doc

    async def kill(self) -> None:
        victim = self.cell.processes_with_prefix("scheduler")[0]
        before = await self.counts()
        started_at = time.monotonic()
        await victim.kill()
        waits = []
        for n in range(16):
            submitted_at = time.monotonic()
            job_id = await self.submit(n, tasks=1, run_ms=0, priority="urgent", kind="batch")
            await self.wait_until_job_ended(job_id)
            waits.append(time.monotonic() - submitted_at)
        after = await self.counts()
        self.result["kill"] = {
            "urgent_done_s_max": round(max(waits), 2),
            "all_urgent_s": round(time.monotonic() - started_at, 2),
            "running_before": before["running"],
            "running_after": after["running"],
        }

    async def check_runs(self) -> None:
        spans: dict[str, list[tuple[float, float]]] = {}
        for fleet in self.cell.processes_with_prefix("fleet"):
            for task, start, end in (await self.cell.record(fleet.name))["runs"]:
                spans.setdefault(task.rsplit("/", 1)[0], []).append((start, end or 1e18))
        overlapping = 0
        for runs in spans.values():
            runs.sort()
            overlapping += sum(a[1] > b[0] for a, b in zip(runs, runs[1:], strict=False))
        self.result["overlapping"] = overlapping
        self.result["over_capacity"] = (await self.counts())["over_capacity"]


def rates(before: dict[str, Any], after: dict[str, Any], elapsed_s: float) -> dict[str, float]:
    found = {}
    for kind, count in after.get("calls", {}).items():
        rate = (count - before.get("calls", {}).get(kind, 0)) / elapsed_s
        if rate:
            found[kind] = round(rate, 1)
    return found


async def main() -> None:
    with tempfile.TemporaryDirectory() as dir:
        shape = Shape(
            regions=tuple(DOMAINS),
            frontend_regions=(),
            schedulers=0,
            racks=0,
            runners=1,
            key_partitions=4,
        )
        async with ProcessCell(dir=Path(dir), shape=shape) as cell:
            bench = Bench(cell=cell)
            await bench.start_fleets()
            await bench.start_daemons()
            await cell.wait_until_served(bench.frontends()[0], within_s=60)
            await bench.measure_phase("empty", IDLE_S)
            await bench.fill()
            await bench.measure_phase("full", IDLE_S)
            await bench.measure_phase("churn", CHURN_S, bench.churn())
            await bench.kill()
            await bench.check_runs()
            if "--logs" in sys.argv:
                for process in cell.processes_with_prefix("scheduler")[:3]:
                    print(process.last_lines(30), file=sys.stderr)
    print(json.dumps(bench.result))


if __name__ == "__main__":
    asyncio.run(main())
