from __future__ import annotations

import asyncio

from frontend_harness import wait_until

from rhubarbferry.core.cell import Cell
from rhubarbferry.frontend.daemon import drain
from rhubarbferry.ports.clock import SystemClock


async def test_health_readiness_and_metrics(harness) -> None:
    await harness.add_runner()
    await harness.request("GET")
    assert (await harness.request("GET", "/healthz"))[0] == 200
    assert (await harness.request("GET", "/readyz"))[0] == 200
    status, _, body = await harness.request("GET", "/metrics")
    assert status == 200
    assert b'rhubarbferry_requests_total{account="acme",outcome="done",status="200"}' in body
    assert (await harness.request("GET", "/nothing"))[0] == 404
    assert (await harness.request("PATCH", "/v1/jobs"))[0] == 405
    harness.node.cell.cell = Cell()
    assert (await harness.request("GET", "/readyz"))[0] == 503


async def test_a_drain_lets_requests_in_progress_finish(harness) -> None:
    """A frontend is stopped while requests run.

    During the drain /readyz fails, and every request in progress gets its complete answer. Its
    outcome is recorded and its slot is released before the process ends.
    """
    runner = await harness.add_runner()
    request = asyncio.create_task(harness.request(Idempotency_Key="k", Work_Ms="700"))
    await wait_until(lambda: runner.counts.executions == 1)
    draining = asyncio.create_task(
        drain(harness.cfg, SystemClock(), harness.frontend, harness.http, harness.serving)
    )
    await wait_until(lambda: harness.frontend.draining)
    assert (await harness.request("GET", "/readyz"))[0] == 503
    status, headers, _ = await request
    assert (status, headers["Outcome"]) == (200, "done")
    await draining
    assert harness.serving.done()
    assert len(harness.scheduler.finish_requests()) == 1 and harness.scheduler.release_ends() == [
        "DONE"
    ]


async def test_a_drain_is_bounded(harness) -> None:
    """A request that runs longer than the drain limit does not delay the end of the process."""
    runner = await harness.add_runner()
    request = asyncio.create_task(harness.request("GET", Work_Ms="7000"))
    await wait_until(lambda: runner.counts.executions == 1)
    started = asyncio.get_running_loop().time()
    await harness.close()
    assert asyncio.get_running_loop().time() - started < 3.0
    await asyncio.gather(request, return_exceptions=True)
