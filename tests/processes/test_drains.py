"""Planned stops of frontends, schedulers and runners under load."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import pytest
from attrs import evolve
from failure_scenarios import (
    FRONTENDS,
    RUNNERS_PARTITION,
    SCHEDULERS,
    SEED,
    SHAPE,
    assert_guarantees_kept,
    inject_under_load,
    owner_of,
    wait_until,
    wait_until_all_serve,
)
from request_load import Load, evaluate

from rhubarbferry.test.processes import ProcessCell

pytestmark = pytest.mark.processes

RUNNER = "runner-attiki-1"
LEASE_S = 3.0
DRAIN_DETECTION_S = 3.0
LOAD_DURATION_S = 2.0
LONG_REQUEST_MS = 2000
STOP_TIMEOUT_S = 15.0
POLL_TIMEOUT_S = 10.0


async def test_a_frontend_that_stops_answers_all_that_it_accepted(tmp_path: Path) -> None:
    """The host of a frontend is replaced while callers wait for answers from it.

    A caller whose connection is cut would not know the outcome of its request. The frontend must
    report that it is not ready to the load balancer while it still serves.
    """
    async with ProcessCell(dir=tmp_path, shape=SHAPE) as cell:
        await wait_until_all_serve(cell)
        frontend = cell.processes[FRONTENDS[0]]
        requests = [asyncio.create_task(send_long(cell, n)) for n in range(8)]
        await wait_until_started(cell, 8)
        stop = asyncio.create_task(frontend.terminate(within_s=STOP_TIMEOUT_S))
        await wait_until(lambda: not_ready(cell, FRONTENDS[0]), within_s=POLL_TIMEOUT_S)
        assert not any(task.done() for task in requests)
        answers = await asyncio.gather(*requests)
        assert await stop == 0
    assert [answer.outcome for answer in answers] == ["done"] * 8


async def send_long(cell: ProcessCell, number: int) -> Any:
    headers = {
        "Work-Ms": str(LONG_REQUEST_MS),
        "Idempotent": "false",
        "Idempotency-Key": f"long-{number}",
    }
    return await cell.request(FRONTENDS[0], f"/long/{number}", headers=headers)


async def wait_until_started(cell: ProcessCell, count: int) -> None:
    """Wait until runners have started ``count`` requests of this test."""

    async def started() -> bool:
        records = await cell.records("runner")
        return sum("/long/" in e["path"] for r in records for e in r["executions"]) >= count

    await wait_until(started, within_s=POLL_TIMEOUT_S)


async def not_ready(cell: ProcessCell, name: str) -> bool:
    async with cell.session.get(f"{cell.processes[name].http}/readyz") as answer:
        return not answer.ok


async def test_a_rolling_restart_loses_no_request(tmp_path: Path) -> None:
    """Operators replace all schedulers one by one under load.

    Guards against a handover that waits for the expiry of a lease, which pauses requests for 3 s
    at each step.
    """

    async def replace_all(cell: ProcessCell) -> None:
        for name in SCHEDULERS:
            await cell.start_daemon("scheduler", f"{name}-new", region="attiki")
            assert await cell.processes[name].terminate(within_s=STOP_TIMEOUT_S) == 0

    async with ProcessCell(dir=tmp_path, shape=SHAPE) as cell:
        evaluation = await inject_under_load(cell, replace_all)
    assert_guarantees_kept(evaluation)
    assert "unknown" not in evaluation.outcomes
    assert evaluation.longest_s < LEASE_S


async def test_the_owner_of_the_grants_hands_over_within_a_lease(tmp_path: Path) -> None:
    """The scheduler that grants slots is stopped as planned; a successor takes over at once.

    Without a handover, requests would wait until the lease of the stopped scheduler has expired.
    """

    async def stop_owner(cell: ProcessCell) -> None:
        owner = cell.processes[await owner_of(cell, RUNNERS_PARTITION)]
        assert await owner.terminate(within_s=STOP_TIMEOUT_S) == 0

    async with ProcessCell(dir=tmp_path, shape=SHAPE) as cell:
        evaluation = await inject_under_load(cell, stop_owner)
    assert_guarantees_kept(evaluation)
    assert "unknown" not in evaluation.outcomes
    assert evaluation.longest_s < LEASE_S


@pytest.mark.parametrize("reported_by", ["the runner", "the host list"])
async def test_a_leaving_runner_gets_no_new_requests(reported_by: str, tmp_path: Path) -> None:
    """A runner is about to be replaced, as reported by its status or by the host list.

    Requests that are still sent to it after a few seconds would be cut off when it stops.
    """
    async with ProcessCell(dir=tmp_path, shape=evolve(SHAPE, runners=2)) as cell:
        await wait_until_all_serve(cell)
        load = Load(cell=cell, frontends=FRONTENDS, rng=random.Random(SEED))
        running = asyncio.create_task(load.run())
        await asyncio.sleep(LOAD_DURATION_S / 2)
        if reported_by == "the runner":
            await cell.set_faults(RUNNER, drain=True)
        else:
            await cell.mark_leaving(RUNNER)
        await asyncio.sleep(DRAIN_DETECTION_S)
        before = await cell.record(RUNNER)
        await asyncio.sleep(LOAD_DURATION_S)
        after = await cell.record(RUNNER)
        load.stopping = True
        await running
        evaluation = await evaluate(load)
    print(evaluation.summary())
    assert len(before["executions"]) > 10
    assert after["counts"]["executions"] == before["counts"]["executions"]
    assert_guarantees_kept(evaluation)
    assert "unknown" not in evaluation.outcomes


async def test_slots_of_a_killed_frontend_are_freed_when_their_requests_end(
    tmp_path: Path,
) -> None:
    """A frontend crashes while its requests occupy half of all slots, and another one continues.

    If these slots were free at once, runners would reject requests or exceed their slots.
    """
    async with ProcessCell(dir=tmp_path, shape=SHAPE) as cell:
        await wait_until_all_serve(cell)
        requests = [asyncio.create_task(send_long(cell, n)) for n in range(8)]
        await wait_until_started(cell, 8)
        load = Load(cell=cell, frontends=FRONTENDS[1:], rng=random.Random(SEED), callers=24)
        running = asyncio.create_task(load.run())
        await cell.processes[FRONTENDS[0]].kill()
        await asyncio.sleep(LOAD_DURATION_S + LONG_REQUEST_MS / 1000)
        load.stopping = True
        await running
        failures = await asyncio.gather(*requests, return_exceptions=True)
        evaluation = await evaluate(load)
    print(evaluation.summary())
    assert all(isinstance(answer, Exception) for answer in failures)
    assert_guarantees_kept(evaluation)
    assert evaluation.rejected == 0
