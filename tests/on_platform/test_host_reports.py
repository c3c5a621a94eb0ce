"""Tests for host reports over a slow link."""

from __future__ import annotations

import pytest

from rhubarbferry.dispatch.messages import HostEntry, Sizes
from rhubarbferry.platform.workers import PlatformWorkers
from rhubarbferry.ports.workers import TaskLeaseRequest, WorkerSilent
from rhubarbferry.test.platform_worker import PlatformWorkerStandIn
from rhubarbferry.test.relay import Mode, Relay
from rhubarbferry.test.serving import serving

TASK = "5c0e7a21d94b36f8.0.0.0"
ENDED_TASKS = 500
RESPONSE_MARGIN_S = 0.25


@pytest.mark.parametrize(
    ("bytes_per_s", "received"), [(1_000_000, True), (30_000, True), (8_000, False)]
)
async def test_a_large_report_is_received_while_it_makes_progress(stand_in, bytes_per_s, received):
    """Guards against treating a host as silent while it sends a large report on a slow link."""
    host = PlatformWorkerStandIn(id="host", service="pool", store=stand_in)
    host._ended = [[number, TASK, number, "done", ""] for number in range(1, ENDED_TASKS + 1)]
    relay = Relay()
    workers = PlatformWorkers()
    req = TaskLeaseRequest(
        fence=1, deadline_s=None, acknowledged_to=0, wait_s=0.0, response_margin_s=RESPONSE_MARGIN_S
    )
    async with serving(host.app()) as address:
        link = await relay.open(address)
        link.set(Mode.PASS, bytes_per_s=bytes_per_s)
        entry = HostEntry(
            id="host",
            incarnation=host._born,
            service="pool",
            address=link.address,
            capacity=Sizes(millicores=8000, memory_mb=16_000),
        )
        try:
            if received:
                assert len((await workers.extend_leases(entry, req)).ended) == ENDED_TASKS
            else:
                with pytest.raises(WorkerSilent):
                    await workers.extend_leases(entry, req)
        finally:
            await workers.close()
            await relay.close()
