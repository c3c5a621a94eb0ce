"""Time limits of connections, with a clock that tests advance."""

from __future__ import annotations

import asyncio

import pytest
from attrs import define

from rhubarbferry.serving.connections import TRANSIT_ALLOWANCE_S
from rhubarbferry.serving.limits import RequestLimits
from rhubarbferry.serving.listener import Listener

from .protocol_harness import RecordingApp, connect, receive, settle

LIMITS = RequestLimits(head_timeout_s=3.0, idle_timeout_s=15.0)
WRITE_TIMEOUT_S = 20.0
REQUEST = b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
HEAD = REQUEST.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"


@define
class LoopTime:
    now: float

    async def advance(self, seconds: float) -> None:
        self.now += seconds
        await settle()


@pytest.fixture
async def time():
    loop = asyncio.get_running_loop()
    time = LoopTime(loop.time())
    loop.time = lambda: time.now  # type: ignore[method-assign]
    yield time
    del loop.time


def listen() -> Listener:
    return Listener(name="test", limits=lambda: LIMITS, write_timeout_s=WRITE_TIMEOUT_S)


def serve(*, release: bool = True):
    app = RecordingApp()
    if release:
        app.release.set()
    return app, *connect(app, listener=listen())


WAITING = {
    "nothing": (b"", LIMITS.idle_timeout_s),
    "empty lines": (b"\r\n\r\n", LIMITS.idle_timeout_s),
    "an answered request": (REQUEST, LIMITS.idle_timeout_s),
    "half a head": (HEAD[:-1], LIMITS.head_timeout_s),
    "an answered request and half a head": (REQUEST + HEAD[:-1], LIMITS.head_timeout_s),
    "half a body": (REQUEST[:-1], LIMITS.idle_timeout_s),
}


@pytest.mark.parametrize(("sent", "timeout_s"), WAITING.values(), ids=WAITING.keys())
async def test_a_connection_without_a_complete_request_is_closed(time, sent, timeout_s):
    """Guards against connections that a process keeps for as long as a client likes."""
    _, protocol, transport = serve()
    receive(protocol, transport, sent)
    await settle()
    await time.advance(timeout_s)
    assert not transport.closed
    await time.advance(TRANSIT_ALLOWANCE_S)
    assert transport.closed


async def test_a_request_sent_as_the_idle_time_ends_is_served(time):
    """Guards against a request that is lost as its connection is closed for being idle."""
    app, protocol, transport = serve()
    for _ in range(3):
        await time.advance(LIMITS.idle_timeout_s + TRANSIT_ALLOWANCE_S / 2)
        receive(protocol, transport, REQUEST)
        await settle()
    assert app.bodies == [b"abc"] * 3
    assert not transport.closed


async def test_a_head_within_its_time_is_served_and_a_slow_one_is_not(time):
    app, protocol, transport = serve()
    receive(protocol, transport, HEAD[:10])
    await time.advance(LIMITS.head_timeout_s)
    receive(protocol, transport, REQUEST[10:])
    await settle()
    assert app.bodies == [b"abc"]
    step_s = (LIMITS.head_timeout_s + TRANSIT_ALLOWANCE_S) / 4
    for index in range(4):
        receive(protocol, transport, HEAD[index : index + 1])
        await time.advance(step_s)
    assert transport.closed


async def test_empty_lines_do_not_extend_the_idle_time(time):
    _, protocol, transport = serve()
    for _ in range(4):
        receive(protocol, transport, b"\r\n")
        await time.advance((LIMITS.idle_timeout_s + TRANSIT_ALLOWANCE_S) / 4)
    assert transport.closed


async def test_each_byte_of_a_body_extends_its_time(time):
    app, protocol, transport = serve()
    for index in range(len(HEAD), len(REQUEST)):
        receive(protocol, transport, REQUEST[:index] if index == len(HEAD) else b"")
        await time.advance(LIMITS.idle_timeout_s)
        receive(protocol, transport, REQUEST[index : index + 1])
    await settle()
    assert app.bodies == [b"abc"]


async def test_a_request_in_progress_has_no_time_limit(time):
    app, protocol, transport = serve(release=False)
    receive(protocol, transport, REQUEST + b"GET /")
    await time.advance(10 * LIMITS.idle_timeout_s)
    assert not transport.closed
    app.release.set()
    await settle()
    assert b" 200 " in transport.written


async def test_a_response_that_nobody_reads_ends_its_connection(time):
    """Guards against connections that wait for their clients without a time limit."""
    app, protocol, transport = serve()
    transport.blocked = True
    receive(protocol, transport, REQUEST)
    await settle()
    await time.advance(LIMITS.idle_timeout_s + TRANSIT_ALLOWANCE_S)
    assert transport.aborted


@pytest.mark.parametrize("reads", [True, False])
async def test_a_client_that_reads_slowly_is_waited_for(time, reads):
    _, protocol, transport = serve()
    transport.blocked = True
    transport.written = b"x" * 100_000
    protocol.pause_writing()
    for _ in range(3):
        await time.advance(WRITE_TIMEOUT_S - 1)
        if reads:
            transport.written = transport.written[1000:]
        await time.advance(1)
    assert transport.aborted is not reads


async def test_a_closed_connection_does_not_wait_for_its_client_without_end(time):
    _, protocol, transport = serve()
    transport.blocked = True
    receive(protocol, transport, b"\0")
    await settle()
    assert transport.closed and not transport.aborted
    await time.advance(WRITE_TIMEOUT_S)
    assert transport.aborted


async def test_changed_limits_apply_to_open_connections(time):
    limits = LIMITS
    listener = Listener(name="test", limits=lambda: limits)
    app = RecordingApp()
    app.release.set()
    protocol, transport = connect(app, listener=listener)
    receive(protocol, transport, REQUEST)
    await settle()
    limits = RequestLimits(head_bytes=len(HEAD) - 1, idle_timeout_s=1.0)
    receive(protocol, transport, REQUEST)
    await settle()
    await time.advance(1.0 + TRANSIT_ALLOWANCE_S)
    assert transport.closed
    protocol, transport = connect(app, listener=listener)
    receive(protocol, transport, REQUEST)
    await settle()
    assert transport.written.startswith(b"HTTP/1.1 400 ")
