"""Answers of hosts and of the policy service that can't be read."""

from __future__ import annotations

import pytest
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from rhubarbferry.dispatch.messages import (
    HostEntry,
    Sizes,
    StartOrder,
    StepId,
    StopOrder,
    TaskId,
    Unanswered,
)
from rhubarbferry.platform.policy import PlatformPolicy
from rhubarbferry.platform.workers import PlatformWorkers
from rhubarbferry.ports.workers import TaskLeaseRequest, WorkerSilent
from rhubarbferry.test.serving import serving

STEP = StepId(job="5c0e7a21d94b36f8", occurrence=0, step=0)
TASK = TaskId(job=STEP.job, occurrence=0, step=0, index=0)
LEASES = TaskLeaseRequest(
    fence=1, deadline_s=None, acknowledged_to=0, wait_s=0.0, response_margin_s=0.5
)
START = StartOrder(
    host="host", incarnation=1, task=TASK, attempt=1, payload="", deadline_s=1.0, timeout_s=0.5
)
STOP = StopOrder(host="host", task=TASK, attempt=1, reason="a test")

INVALID_BODIES = {
    "not JSON": b"{",
    "deeply nested": b"[" * 100_000,
    "a list": b"[1]",
    "no clock": b"{}",
    "a clock that is a string": b'{"clockMs":"1"}',
    "an infinite clock": b'{"clockMs":Infinity}',
    "a clock beyond the range of floats": b'{"clockMs":1e999}',
    "a clock that is null": b'{"clockMs":null}',
}
INVALID_REPORTS = INVALID_BODIES | {
    "an infinite incarnation": b'{"clockMs":1,"born":1e999}',
    "a run that is no row": b'{"clockMs":1,"active":[7]}',
    "a run of a task that is a number": b'{"clockMs":1,"active":[[7,1,"",0]]}',
    "a run with an infinite attempt": b'{"clockMs":1,"active":[["j.0.0.0",1e999,"",0]]}',
    "an end of an unknown kind": b'{"clockMs":1,"finished":[[1,"j.0.0.0",1,"tired",""]]}',
    "an end with an infinite number": b'{"clockMs":1,"finished":[[1e999,"j.0.0.0",1,"done",""]]}',
    "ends that are an object": b'{"clockMs":1,"finished":{"a":1}}',
}
INVALID_APPROVALS = {
    "not JSON": b"{",
    "a list": b"[1]",
    "an approval that is no row": b'{"approved":[7],"validMs":1}',
    "an approval without a ticket": b'{"approved":[["host"]],"validMs":1}',
    "a ticket that is a list": b'{"approved":[["host",[]]],"validMs":1}',
    "an infinite time": b'{"approved":[],"validMs":1e999}',
    "a time that is null": b'{"approved":[],"validMs":null}',
}


def answering(body: bytes) -> Starlette:
    """Return an app that gives the same answer to each call."""

    async def answer(request) -> Response:
        return Response(body, media_type="application/json")

    return Starlette(routes=[Route("/api/{call}", answer, methods=["POST"])])


async def call_host(body: bytes, call):
    """Call a host that answers with ``body``."""
    workers = PlatformWorkers()
    async with serving(answering(body)) as address:
        host = HostEntry(
            id="host", incarnation=1, service="pool", address=address, capacity=Sizes()
        )
        try:
            return await call(workers, host)
        finally:
            await workers.close()


@pytest.mark.parametrize("body", INVALID_REPORTS.values(), ids=INVALID_REPORTS.keys())
async def test_a_host_with_an_invalid_report_is_silent(body):
    """Guards against one host whose reports end the term of every owner in turn."""
    with pytest.raises(WorkerSilent):
        await call_host(body, lambda workers, host: workers.extend_leases(host, LEASES))


@pytest.mark.parametrize("body", INVALID_BODIES.values(), ids=INVALID_BODIES.keys())
async def test_an_invalid_answer_to_a_start_order_is_none(body):
    """Guards against a start that counts as failed although the host may have carried it out."""
    written = []
    result = await call_host(
        body,
        lambda workers, host: workers.start(
            host, START, fence=1, on_written=lambda: written.append(True)
        ),
    )
    assert isinstance(result, Unanswered)
    assert written == [True]


@pytest.mark.parametrize("body", INVALID_BODIES.values(), ids=INVALID_BODIES.keys())
async def test_an_invalid_answer_to_a_stop_order_is_none(body):
    """Guards against one host whose answers end the term of every owner in turn."""
    with pytest.raises(WorkerSilent):
        await call_host(body, lambda workers, host: workers.stop(host, STOP, fence=1))


@pytest.mark.parametrize("body", INVALID_APPROVALS.values(), ids=INVALID_APPROVALS.keys())
async def test_an_invalid_answer_of_the_policy_service_is_a_failed_request(body):
    """Guards against an answer of the policy service that ends the term of every owner in turn."""
    async with serving(answering(body)) as address:
        policy = PlatformPolicy(address=address)
        try:
            with pytest.raises(WorkerSilent):
                await policy.request_approvals(STEP, ("host",), timeout_s=1.0)
        finally:
            await policy.close()


async def test_a_host_whose_id_cannot_be_sent_is_silent():
    """Guards against a host on the stored roster that ends the term of every owner in turn."""
    workers = PlatformWorkers()
    async with serving(answering(b'{"clockMs":1}')) as address:
        host = HostEntry(
            id="host\nx: y", incarnation=1, service="pool", address=address, capacity=Sizes()
        )
        try:
            with pytest.raises(WorkerSilent):
                await workers.extend_leases(host, LEASES)
        finally:
            await workers.close()
