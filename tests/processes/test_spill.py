"""Requests of two regions: forwarded from a full region, and served during a hand-over."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

import pytest

from rhubarbferry.test.processes import Answer, ProcessCell, Shape

pytestmark = pytest.mark.processes

SHAPE = Shape(
    regions=("attiki", "makedonia"),
    frontend_regions=("attiki", "makedonia"),
    frontends=1,
    schedulers=1,
    runners=1,
    workers=1,
    slots=2,
    overrides="\n[requests]\nwait_poll_s = 0.5\n",
)
LOCAL_FRONTEND, REMOTE_FRONTEND = "frontend-attiki-1", "frontend-makedonia-1"
LOCAL_SCHEDULER = "scheduler-attiki-1"
# Time after which the other scheduler has taken over the partitions of a paused one.
TAKEOVER_S = 6.0
RESUME_DELAY_S = 0.3
SLOW_REPLY_S = 0.15
CALLERS = 24
WORK_MS = 200
LOAD_S = 8.0
BODY = b"x" * 1000


async def metric(cell: ProcessCell, frontend: str, name: str) -> float:
    """Return the sum of the samples whose line starts with ``name``."""
    async with cell.session.get(f"{cell.processes[frontend].http}/metrics") as answer:
        lines = (await answer.text()).splitlines()
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines if line.startswith(name))


async def call_until(cell: ProcessCell, caller: int, end: float) -> list[tuple[str, Answer]]:
    """Send keyed and repeatable requests alternately; return the key and answer of each."""
    answers = []
    number = 0
    while asyncio.get_running_loop().time() < end:
        number += 1
        key = f"slip-{caller}-{number}" if number % 2 else ""
        headers = {"Work-Ms": str(WORK_MS), "Request-Timeout": "20"}
        headers |= {"Idempotent": "false" if key else "true"}
        if key:
            headers["Idempotency-Key"] = key
        answers.append(
            (key, await cell.request(LOCAL_FRONTEND, "/slip", headers=headers, body=BODY))
        )
    return answers


async def test_a_full_region_forwards_requests_and_each_runs_once(tmp_path: Path) -> None:
    """All runners of a region are busy, and those of another region are idle.

    Without an exchange of load between the regions, callers wait for seconds although slots are
    free. Keyed requests are forwarded too: each runs once, guarded by its single record, in
    whichever region it runs.
    """
    async with ProcessCell(dir=tmp_path, shape=SHAPE) as cell:
        for name in (LOCAL_FRONTEND, REMOTE_FRONTEND):
            await cell.wait_until_served(name)
        end = asyncio.get_running_loop().time() + LOAD_S
        answers_by_caller = await asyncio.gather(
            *(call_until(cell, caller, end) for caller in range(CALLERS))
        )
        spilled = await metric(cell, LOCAL_FRONTEND, "rhubarbferry_requests_spilled_total{")
        cross_region_bytes = {
            direction: await metric(
                cell,
                LOCAL_FRONTEND,
                f'rhubarbferry_region_bytes_total{{direction="{direction}",region="makedonia"',
            )
            for direction in ("in", "out")
        }
        load_requests = await metric(
            cell, LOCAL_FRONTEND, 'rhubarbferry_waits_asked_total{region="makedonia"'
        )
        spilled_back = await metric(cell, REMOTE_FRONTEND, "rhubarbferry_requests_spilled_total{")
        local = (await cell.record("runner-attiki-1"))["executions"]
        remote = (await cell.record("runner-makedonia-1"))["executions"]
    answers = [item for answers in answers_by_caller for item in answers]
    ran = Counter(execution["key"] for execution in (*local, *remote))
    assert {answer.outcome for _, answer in answers} == {"done"}
    assert all(ran[key] == 1 for key, _ in answers if key)
    forwarded = [execution for execution in remote if execution["body_bytes"] == len(BODY)]
    assert len(forwarded) > len(local) / 4
    assert any(execution["key"].startswith("slip") for execution in forwarded)
    assert spilled >= len(forwarded)
    assert cross_region_bytes["out"] >= len(forwarded) * len(BODY) and cross_region_bytes["in"] > 0
    assert 0 < load_requests <= 2 * (LOAD_S + 5.0)
    assert spilled_back == 0


async def test_keyed_requests_are_served_while_their_partition_is_handed_over(
    tmp_path: Path,
) -> None:
    """Guards against a refusal of requests that are being recorded during a hand-over.

    A scheduler that was paused for longer than its lease gets its partitions back under load, while
    the store answers slowly, so that most requests are being recorded at any time.
    """
    async with ProcessCell(dir=tmp_path, shape=SHAPE) as cell:
        for name in (LOCAL_FRONTEND, REMOTE_FRONTEND):
            await cell.wait_until_served(name)
        scheduler = cell.processes[LOCAL_SCHEDULER]
        scheduler.signal(signal.SIGSTOP)
        await asyncio.sleep(TAKEOVER_S)
        await cell.set_faults("store", slow_reply_s=SLOW_REPLY_S)
        loop = asyncio.get_running_loop()
        loop.call_later(RESUME_DELAY_S, scheduler.signal, signal.SIGCONT)
        end = loop.time() + LOAD_S
        answers_by_caller = await asyncio.gather(
            *(call_until(cell, caller, end) for caller in range(CALLERS))
        )
        records = await cell.records("runner")
    answers = [item for answers in answers_by_caller for item in answers]
    ran = Counter(execution["key"] for record in records for execution in record["executions"])
    assert {answer.outcome for _, answer in answers} == {"done"}
    assert all(ran[key] == 1 for key, _ in answers if key)
