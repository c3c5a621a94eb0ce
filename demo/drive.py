"""Send work to the demo's cell, kill a scheduler, change the configuration and verify the result.

The result is based on the records of the stand-ins: the requests that runners executed and the
tasks that workers ran. The answers that callers received are compared with these records; no data
reported by the daemons is used.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
from attrs import Factory, define, frozen
from cell_files import DemoProcess, read_processes

from rhubarbferry.adapters.etcd import EtcdStore
from rhubarbferry.conf.settings import StoreSettings
from rhubarbferry.coordination import configuration
from rhubarbferry.ports.clock import SystemClock

REQUESTS = 500
KEYED_REQUEST_INTERVAL = 3
DUPLICATE_INTERVAL = 5
MAX_CONCURRENT_REQUESTS = 24
WORK_MS = 20
KILL_AFTER_REQUESTS = REQUESTS // 2
CHANGE_AFTER_REQUESTS = REQUESTS // 3
READY_TIMEOUT_S = 20.0
JOB_TIMEOUT_S = 25.0
SEED = 7
CHANGED_CONFIGURATION = Path("demo/cell-changed.ini")
ACCOUNTS = ("kryogonia", "golden-comb")
SERVICE_TASKS = 3
BATCH_TASKS = 24
GANG_TASKS = 4


@frozen(kw_only=True)
class PlannedRequest:
    """A request to send; ``key`` is set if it must run at most once."""

    number: int
    account: str
    key: str


@define(kw_only=True)
class RequestResult:
    """A request with the answer that its caller received; times on the monotonic clock."""

    request: PlannedRequest
    frontend: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0
    outcome: str = ""
    request_id: str = ""
    is_correct: bool = True


@define(kw_only=True)
class DemoResults:
    """The results collected so far."""

    answers: list[RequestResult] = Factory(list)
    killed_at: float = 0.0
    in_force_s: float = 0.0
    jobs: dict[str, Any] = Factory(dict)


def plan_requests(rng: random.Random) -> list[PlannedRequest]:
    requests = []
    for number in range(REQUESTS):
        key = secrets.token_hex(8) if number % KEYED_REQUEST_INTERVAL == 0 else ""
        requests.append(PlannedRequest(number=number, account=rng.choice(ACCOUNTS), key=key))
    keyed = [request for request in requests if request.key]
    duplicates = keyed[::DUPLICATE_INTERVAL]
    return requests + duplicates


async def send(
    session: aiohttp.ClientSession, frontend: DemoProcess, request: PlannedRequest
) -> RequestResult:
    result = RequestResult(request=request, frontend=frontend.name, sent_at=time.monotonic())
    path = f"/plan/{request.number}"
    headers = {"Client-Account": request.account, "Work-Ms": str(WORK_MS)}
    if request.key:
        headers |= {"Idempotency-Key": request.key, "Idempotent": "false"}
    else:
        headers |= {"Idempotent": "true"}
    url = f"http://{frontend.startup_info['http_address']}/v1/services/orders{path}"
    try:
        async with session.post(url, data=f"order {request.number}", headers=headers) as answer:
            body = await answer.read()
            result.status = answer.status
            result.outcome = answer.headers.get("Outcome", "")
            result.request_id = answer.headers.get("Request-Id", "")
            if result.outcome == "done":
                result.is_correct = json.loads(body.splitlines()[0])["path"].endswith(path)
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        result.outcome = f"lost: {type(exc).__name__}"
    result.answered_at = time.monotonic()
    return result


async def send_all(
    results: DemoResults, session: aiohttp.ClientSession, dir: Path, frontends: list[DemoProcess]
) -> None:
    rng = random.Random(SEED)
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    tasks: list[asyncio.Task[None]] = []

    async def send_one(request: PlannedRequest, frontend: DemoProcess) -> None:
        try:
            results.answers.append(await send(session, frontend, request))
        finally:
            semaphore.release()

    background_tasks: list[asyncio.Task[None]] = []
    for number, request in enumerate(plan_requests(rng)):
        if number == CHANGE_AFTER_REQUESTS:
            background_tasks.append(asyncio.create_task(change_configuration(results, dir)))
        if number == KILL_AFTER_REQUESTS:
            kill_scheduler(results, dir)
        await semaphore.acquire()
        frontend = frontends[number % len(frontends)]
        tasks.append(asyncio.create_task(send_one(request, frontend)))
        if number % 100 == 0:
            print(f"  {number} requests sent", flush=True)
    await asyncio.gather(*tasks, *background_tasks)


def kill_scheduler(results: DemoResults, dir: Path) -> None:
    scheduler = read_processes(dir, "scheduler-attiki")[0]
    os.kill(scheduler.pid, signal.SIGKILL)
    results.killed_at = time.monotonic()
    print(f"  killed {scheduler.name}", flush=True)


async def change_configuration(results: DemoResults, dir: Path) -> None:
    clock = SystemClock()
    address = read_processes(dir, "store")[0].address
    store = EtcdStore(
        url=f"http://{address}", prefix=StoreSettings().prefix, clock=clock, timeout_s=5.0
    )
    started_at = time.monotonic()
    try:
        before = await configuration.read(store)
        applied = await configuration.apply(
            store,
            text=CHANGED_CONFIGURATION.read_text(),  # noqa: ASYNC240
            based_on=before.record.revision,
            author="demo",
            clock=clock,
            write_id=secrets.token_hex(8),
        )
        await configuration.wait_in_force(
            store, revision=applied.revision, timeout_s=10.0, clock=clock
        )
    finally:
        await store.close()
    results.in_force_s = time.monotonic() - started_at
    print(f"  revision {applied.revision} in force after {results.in_force_s:.2f} s", flush=True)


async def wait_ready(session: aiohttp.ClientSession, frontends: list[DemoProcess]) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    for frontend in frontends:
        while time.monotonic() < deadline:
            probe = PlannedRequest(number=-1, account=ACCOUNTS[0], key="")
            result = await send(session, frontend, probe)
            if result.outcome == "done":
                break
            await asyncio.sleep(0.1)
        else:
            raise SystemExit(f"{frontend.name} was not ready within {READY_TIMEOUT_S} s")


# ---------------------------------------------------------------- jobs


def job_body(kind: str, tasks: int, run_ms: int, account: str) -> dict[str, Any]:
    size = {"millicores": 4000, "memory_bytes": 4 << 30, "accelerators": 0}
    return {
        "account": account,
        "kind": kind,
        "tasks": tasks,
        "size": size,
        "run_ms": run_ms,
        "idempotent": kind != "batch",
    }


async def run_jobs(results: DemoResults, session: aiohttp.ClientSession, frontend: str) -> None:
    job_bodies = {
        "batch": job_body("batch", BATCH_TASKS, 300, "golden-comb"),
        "gang": job_body("gang", GANG_TASKS, 500, "golden-comb"),
        "service": job_body("service", SERVICE_TASKS, 0, "kryogonia"),
    }
    ids = {}
    for kind, body in job_bodies.items():
        ids[kind] = await submit(session, frontend, body)
    await asyncio.gather(
        wait_for_job(
            results, session, frontend, "batch", ids["batch"], lambda j: j["phase"] == "done"
        ),
        wait_for_job(
            results, session, frontend, "gang", ids["gang"], lambda j: j["phase"] == "done"
        ),
        wait_for_job(results, session, frontend, "service", ids["service"], all_tasks_running),
    )
    async with session.delete(f"http://{frontend}/v1/jobs/{ids['service']}") as answer:
        await answer.read()
    await wait_for_job(results, session, frontend, "stopped", ids["service"], has_ended)


def all_tasks_running(view: dict[str, Any]) -> bool:
    return view["tasks"]["running"] == SERVICE_TASKS


def has_ended(view: dict[str, Any]) -> bool:
    return view["phase"] not in ("waiting", "running")


async def submit(session: aiohttp.ClientSession, frontend: str, body: dict[str, Any]) -> str:
    deadline = time.monotonic() + JOB_TIMEOUT_S
    while time.monotonic() < deadline:
        async with session.post(f"http://{frontend}/v1/jobs", json=body) as answer:
            view = await answer.json(content_type=None)
            if answer.status == 202:
                return str(view["id"])
            pause = float(answer.headers.get("Retry-After", "0.2"))
        await asyncio.sleep(min(pause, 1.0))
    raise SystemExit(f"job not accepted within {JOB_TIMEOUT_S} s: {view}")


async def wait_for_job(
    results: DemoResults,
    session: aiohttp.ClientSession,
    frontend: str,
    name: str,
    job_id: str,
    condition: Any,
) -> None:
    deadline = time.monotonic() + JOB_TIMEOUT_S
    view: dict[str, Any] = {}
    while time.monotonic() < deadline:
        try:
            async with session.get(f"http://{frontend}/v1/jobs/{job_id}") as answer:
                view = await answer.json(content_type=None)
                if answer.ok and condition(view):
                    results.jobs[name] = view["phase"]
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.1)
    results.jobs[name] = f"late: {view}"


# ---------------------------------------------------------------- evaluation


async def read_record(session: aiohttp.ClientSession, address: str) -> dict[str, Any]:
    async with session.get(f"http://{address}/record") as answer:
        record: dict[str, Any] = await answer.json()
        return record


def evaluate_requests(results: DemoResults, records: list[dict[str, Any]]) -> dict[str, int]:
    executed: Counter[str] = Counter()
    executed_request_ids: set[str] = set()
    for record in records:
        for execution in record["executions"]:
            executed[execution["key"]] += 1
            executed_request_ids.add(execution["request_id"])
    outcomes = Counter(result.outcome for result in results.answers)
    false_not_run = [
        a
        for a in results.answers
        if a.outcome == "not-run" and a.request_id in executed_request_ids
    ]
    keyed = {a.request.key for a in results.answers if a.request.key}
    return {
        "done": outcomes["done"],
        "not_run": outcomes["not-run"],
        "unknown": outcomes["unknown"] + outcomes["running"],
        "lost": sum(count for name, count in outcomes.items() if name.startswith("lost")),
        "wrong_answer": sum(not a.is_correct for a in results.answers) + len(false_not_run),
        "ran_twice": sum(executed[key] > 1 for key in keyed),
    }


def count_overcommitted_workers(records: list[dict[str, Any]]) -> int:
    over_capacity = 0
    for record in records:
        over_capacity += any(
            record["max_used"][name] > limit for name, limit in record["capacity"].items()
        )
    return over_capacity


def count_overlapping(records: list[dict[str, Any]]) -> int:
    intervals: dict[str, list[tuple[float, float]]] = {}
    for record in records:
        for run in record["runs"]:
            ended = run["ended_at"] if run["ended_at"] is not None else float("inf")
            intervals.setdefault(run["task_id"], []).append((run["started_at"], ended))
    overlap_count = 0
    for runs in intervals.values():
        runs.sort()
        overlap_count += sum(a[1] > b[0] for a, b in zip(runs, runs[1:], strict=False))
    return overlap_count


def takeover_s(results: DemoResults) -> float:
    """Return the longest gap between completed requests in the killed scheduler's region."""
    observed = [a for a in results.answers if a.frontend == "frontend-attiki"]
    done = sorted(a.answered_at for a in observed if a.outcome == "done")
    completion_times = [results.killed_at, *(at for at in done if at > results.killed_at)]
    return max(
        (b - a for a, b in zip(completion_times, completion_times[1:], strict=False)), default=0.0
    )


def percentile(values: list[float], share: float) -> float:
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0


async def evaluate(
    results: DemoResults, session: aiohttp.ClientSession, dir: Path
) -> dict[str, Any]:
    runners = [await read_record(session, host.address) for host in read_processes(dir, "runner")]
    workers = [
        await read_record(session, host.startup_info["control"])
        for host in read_processes(dir, "worker")
    ]
    requests = evaluate_requests(results, runners)
    over_slots = sum(record["counts"]["concurrent_max"] > 8 for record in runners)
    overcommit = count_overcommitted_workers(workers) + over_slots
    tasks_run = sum(len(record["runs"]) for record in workers)
    waits = [(a.answered_at - a.sent_at) * 1000 - WORK_MS for a in results.answers]
    jobs = {**results.jobs, "tasks_started": tasks_run, "overlapping": count_overlapping(workers)}
    expected = {"batch": "done", "gang": "done", "service": "running"}
    ok = (
        not any(requests[name] for name in ("lost", "wrong_answer", "ran_twice"))
        and requests["done"] >= REQUESTS * 0.95
        and all(jobs.get(name) == state for name, state in expected.items())
        and tasks_run >= BATCH_TASKS + GANG_TASKS + SERVICE_TASKS
        and not jobs["overlapping"]
        and not overcommit
        and results.in_force_s > 0
    )
    return {
        "ok": ok,
        "requests": requests,
        "jobs": jobs,
        "overcommit": overcommit,
        "takeover_s": round(takeover_s(results), 3),
        "config_in_force_s": round(results.in_force_s, 3),
        "wait_ms": {
            "p50": round(percentile(waits, 0.50), 1),
            "p99": round(percentile(waits, 0.99), 1),
        },
    }


def print_table(result: dict[str, Any]) -> None:
    print()
    for name, value in result.items():
        if isinstance(value, dict):
            for part, inner in value.items():
                print(f"  {name + ' ' + part:<26} {inner}")
        else:
            print(f"  {name:<26} {value}")
    print()


async def main(dir: Path) -> int:
    frontends = read_processes(dir, "frontend")
    results = DemoResults()
    timeout = aiohttp.ClientTimeout(total=40)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        await wait_ready(session, frontends)
        print("sending requests and jobs", flush=True)
        await asyncio.gather(
            send_all(results, session, dir, frontends),
            run_jobs(results, session, frontends[-1].startup_info["http_address"]),
        )
        result = await evaluate(results, session, dir)
    print_table(result)
    print(json.dumps(result))
    return 0 if result["ok"] else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main(Path(sys.argv[1]))))
