"""Job load for a cell of processes, and its evaluation from the workers' records."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import aiohttp
from attrs import Factory, define, frozen

from rhubarbferry.test.processes import ProcessCell

ACCOUNTS = ("kryogonia", "golden-comb")
SUBMIT_INTERVAL_S = 0.08
POLL_INTERVAL_S = 0.05
ACCEPT_TIMEOUT_S = 20.0
MILLICORES = 1000
MEMORY_BYTES = 2**30
TERMINAL_PHASES = ("done", "failed", "unknown", "not-run", "cancelled")


@frozen(kw_only=True)
class JobSpec:
    """One type of job to submit."""

    kind: str
    tasks: int
    run_ms: int
    idempotent: bool
    millicores: int = MILLICORES


JOB_SPECS = (
    JobSpec(kind="batch", tasks=5, run_ms=400, idempotent=False),
    JobSpec(kind="batch", tasks=10, run_ms=500, idempotent=True),
    JobSpec(kind="gang", tasks=3, run_ms=400, idempotent=True, millicores=2 * MILLICORES),
    JobSpec(kind="batch", tasks=2, run_ms=1500, idempotent=False),
)
SERVICE_SPEC = JobSpec(kind="service", tasks=2, run_ms=0, idempotent=True)


@define(kw_only=True)
class SubmittedJob:
    """An accepted job and its last known state."""

    id: str
    spec: JobSpec
    view: dict[str, Any] = Factory(dict)

    @property
    def phase(self) -> str:
        """Return the last known phase."""
        return str(self.view.get("phase", ""))

    def settled(self) -> bool:
        """Return whether the job has reached its expected final state."""
        if self.spec.kind == "service":
            return bool(self.view) and self.view["tasks"]["running"] == self.spec.tasks
        return self.phase in TERMINAL_PHASES


@frozen(kw_only=True)
class ReportGap:
    """A period in which a worker could not report ended runs; seconds on the monotonic clock."""

    worker: str
    since: float
    until: float

    def covers(self, run: dict[str, Any]) -> bool:
        """Return whether the run ended on this worker within this period."""
        ended = run["ended_at"]
        return run["worker"] == self.worker and ended and self.since <= ended <= self.until


@define(kw_only=True)
class JobLoad:
    """Submit jobs sequentially to one frontend."""

    cell: ProcessCell
    frontend: str
    rng: random.Random
    jobs: list[SubmittedJob] = Factory(list)
    stopping: bool = False
    killed_records: list[dict[str, Any]] = Factory(list)
    report_gaps: list[ReportGap] = Factory(list)
    _number: int = 0

    async def run(self) -> None:
        """Submit jobs until :attr:`stopping` is set."""
        await self.submit(SERVICE_SPEC)
        while not self.stopping:
            await self.submit(JOB_SPECS[self._number % len(JOB_SPECS)])
            await asyncio.sleep(SUBMIT_INTERVAL_S)

    async def submit(self, spec: JobSpec) -> None:
        """Submit one job; retry with the same idempotency key until it is accepted."""
        self._number += 1
        job = {
            "account": self.rng.choice(ACCOUNTS),
            "kind": spec.kind,
            "tasks": spec.tasks,
            "run_ms": spec.run_ms,
            "idempotent": spec.idempotent,
            "key": f"job-{self._number}",
            "size": {"millicores": spec.millicores, "memory_bytes": MEMORY_BYTES},
        }
        async with asyncio.timeout(ACCEPT_TIMEOUT_S):
            while True:
                try:
                    status, view = await self.cell.submit(self.frontend, **job)
                except aiohttp.ClientError:
                    status, view = 0, {}
                if status == 202:
                    self.jobs.append(SubmittedJob(id=view["id"], spec=spec))
                    return
                assert status in (0, 429, 503, 504), (status, view)
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until(
        self, condition: Callable[[list[dict[str, Any]]], bool], within_s: float
    ) -> None:
        """Wait until a condition on the workers' records is true."""
        async with asyncio.timeout(within_s):
            while True:
                if condition(await self.records()):
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def records(self) -> list[dict[str, Any]]:
        """Return the records of the running workers and the last records of the killed ones."""
        return await self.cell.records("worker") + self.killed_records

    async def kill_worker(self, name: str) -> None:
        """Kill a worker; keep its record with all its open runs marked as ended now."""
        await self.cell.set_faults(name, pause_s=60.0)
        record = await self.cell.record(name)
        await self.cell.processes[name].kill()
        for run in record["runs"]:
            if run["ended_at"] is None:
                run |= {"ended_at": time.monotonic(), "end": "KILLED"}
        self.killed_records.append(record)

    async def wait_until_settled(self, within_s: float) -> None:
        """Poll all jobs until each has ended, or runs completely if it is a service.

        :raises AssertionError: with the jobs that have not settled in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within_s
        while True:
            for job in [job for job in self.jobs if not job.settled()]:
                job.view = await self.cell.job(self.frontend, job.id)
            open_jobs = [(job.id, job.view) for job in self.jobs if not job.settled()]
            if not open_jobs:
                return
            assert loop.time() < deadline, open_jobs
            await asyncio.sleep(POLL_INTERVAL_S)


@frozen(kw_only=True)
class JobEvaluation:
    """Broken guarantees according to the workers' records; each list must be empty."""

    overlapping: list[str]
    started_twice: list[str]
    over_capacity: list[str]
    false_done: list[str]
    false_not_run: list[str]
    idempotent_not_done: list[str]
    false_unknown: list[str]
    phases: dict[str, int]


def _known_done(run: dict[str, Any], report_gaps: list[ReportGap]) -> bool:
    """Return whether a run completed and its worker could report so within its lease."""
    return run["end"] == "DONE" and not any(gap.covers(run) for gap in report_gaps)


async def evaluate(load: JobLoad) -> JobEvaluation:
    """Compare the reported states of the jobs with the workers' records."""
    records = await load.records()
    runs: dict[str, list[dict[str, Any]]] = {}
    for record in records:
        for run in record["runs"]:
            runs.setdefault(run["task_id"].rsplit("/", 1)[0], []).append(run)
    for attempts in runs.values():
        attempts.sort(key=lambda run: run["started_at"])
    reported_done: Counter[str] = Counter()
    done: Counter[str] = Counter()
    started: Counter[str] = Counter()
    for task, attempts in runs.items():
        job_id = task.rsplit("/", 1)[0]
        started[job_id] += 1
        done[job_id] += any(run["end"] == "DONE" for run in attempts)
        reported_done[job_id] += any(_known_done(run, load.report_gaps) for run in attempts)
    non_idempotent_ids = {job.id for job in load.jobs if not job.spec.idempotent}
    finite_jobs = [job for job in load.jobs if job.spec.kind != "service"]
    return JobEvaluation(
        overlapping=[task for task, attempts in runs.items() if _overlap(attempts)],
        started_twice=[
            task
            for task in runs
            if task.rsplit("/", 1)[0] in non_idempotent_ids and len(runs[task]) > 1
        ],
        over_capacity=[record["id"] for record in records if _exceeds_capacity(record)],
        false_done=[
            job.id for job in finite_jobs if job.phase == "done" and done[job.id] < job.spec.tasks
        ],
        false_not_run=[job.id for job in finite_jobs if job.phase == "not-run" and started[job.id]],
        idempotent_not_done=[
            f"{job.id} {job.phase}"
            for job in finite_jobs
            if job.spec.idempotent and job.phase != "done"
        ],
        false_unknown=[
            f"{job.id} {job.view['tasks']} done {reported_done[job.id]} started {started[job.id]}"
            for job in finite_jobs
            if job.view["tasks"]["unknown"] and reported_done[job.id] > job.view["tasks"]["done"]
        ],
        phases=dict(Counter(job.phase for job in load.jobs)),
    )


def _overlap(attempts: list[dict[str, Any]]) -> bool:
    pairs = zip(attempts, attempts[1:], strict=False)
    return any(a["ended_at"] is None or a["ended_at"] > b["started_at"] for a, b in pairs)


def _exceeds_capacity(record: dict[str, Any]) -> bool:
    return any(record["max_used"][name] > limit for name, limit in record["capacity"].items())


def suspend(cell: ProcessCell, name: str) -> None:
    """Suspend a process."""
    cell.processes[name].signal(signal.SIGSTOP)


def resume(cell: ProcessCell, name: str) -> None:
    """Resume a suspended process."""
    cell.processes[name].signal(signal.SIGCONT)
