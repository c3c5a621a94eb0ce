"""A process under clients that ignore the limits of requests, with real processes."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable

import aiohttp
import pytest
from attrs import frozen

from rhubarbferry.rpc.codec import LENGTH, MAX_FRAME_BYTES, encode_call
from rhubarbferry.rpc.gen.ttypes import PingRequest
from rhubarbferry.rpc.services import PEER

from .cell_harness import HOST, PREFIX, CellHarness, MemberProcess, configuration, step
from .client_crowd import (
    Crowd,
    Sent,
    closed_by_server,
    limit_descriptors,
    open_descriptors,
    peak_memory_bytes,
)

pytestmark = [pytest.mark.processes, pytest.mark.alone]

MEMORY_MB = 128
MAX_DESCRIPTORS = 400
CROWD = 20
# Bytes of each connection of the crowd; all of them together exceed the memory of the process.
SENT_BYTES = 16 * 1024 * 1024
# More connections than the process may have descriptors.
MANY_CONNECTIONS = 500
# Descriptors and connections for unfinished bodies, which together exceed the memory.
BODY_DESCRIPTORS = 1000
BODY_CONNECTIONS = 700
BODY_BYTES = 262_143
CLOSE_TIMEOUT_S = 30.0
REQUEST_TIMEOUT_S = 20.0
STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d{3}) ")
JOB = "00000000000000aa"
REQUEST_LINE = b"POST /q/%s HTTP/1.1\r\n" % JOB.encode()
HEAD = REQUEST_LINE + b"Host: %s\r\n" % HOST.encode()
PING = encode_call(PEER.methods["ping"], 0, PingRequest())


def front(member: MemberProcess) -> str:
    return member.front


def health(member: MemberProcess) -> str:
    return member.health


def metrics(member: MemberProcess) -> str:
    return member.metrics


def peers(member: MemberProcess) -> str:
    return member.peers


@pytest.fixture
async def harness(tmp_path):
    async with CellHarness(
        tmp_path, limits={"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS}
    ) as harness:
        harness.store.put("op/config", configuration())
        await harness.add_worker("w")
        yield harness


async def start_process(harness: CellHarness) -> MemberProcess:
    member = await harness.start("one")
    await harness.ready(member)
    await harness.wait_for_owner()
    limit_descriptors(member.child.pid, harness.limits["maxFds"])
    return member


def assert_within_limits(harness: CellHarness, member: MemberProcess) -> None:
    """Check the life of a process, its memory and its descriptors."""
    assert member.child.returncode is None, "the process has ended"
    assert peak_memory_bytes(member.child.pid) < harness.limits["memoryMb"] * 1024 * 1024
    assert open_descriptors(member.child.pid) < harness.limits["maxFds"]


async def assert_serves(harness: CellHarness, member: MemberProcess) -> None:
    """Check the limits of a process and one request of each kind."""
    assert_within_limits(harness, member)
    # New connections, as an ordinary client has none to a process that it has not used yet.
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        url = f"http://{member.front}{PREFIX}{JOB}"
        body = {"spec": "work", "phases": [step()]}
        async with session.post(url, json=body, headers={"Host": HOST}) as resp:
            assert resp.status == 200
        async with session.get(f"http://{member.health}/api/readyz") as resp:
            assert resp.status == 200
    assert_within_limits(harness, member)


@frozen(kw_only=True)
class Endless:
    """What each client sends without end.

    :param closed: whether the server must close the connection, as it can never be served.
    """

    to: Callable[[MemberProcess], str]
    head: bytes = b""
    repeat: bytes
    closed: bool = True


CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "header name": Endless(to=front, head=HEAD, repeat=b"x"),
    "header value": Endless(to=front, head=HEAD + b"X: ", repeat=b"x"),
    "small headers": Endless(to=front, head=HEAD, repeat=b"x: y\r\n"),
    "request target": Endless(to=front, head=b"GET /q/", repeat=b"x"),
    "empty lines": Endless(to=front, repeat=b"\r\n"),
    "chunk extension": Endless(to=front, head=CHUNKED + b"1;", repeat=b"x"),
    "chunk extensions": Endless(to=front, head=CHUNKED, repeat=b"1;%s\r\n{\r\n" % (b"x" * 1000)),
    "trailer": Endless(to=front, head=CHUNKED + b"0\r\nX: ", repeat=b"x"),
    "trailers": Endless(to=front, head=CHUNKED + b"0\r\n", repeat=b"x: y\r\n"),
    "chunked body": Endless(to=front, head=CHUNKED, repeat=b"400\r\n%s\r\n" % (b"{" * 1024)),
    "requests without headers": Endless(to=front, repeat=b"GET / HTTP/1.1\r\n\r\n", closed=False),
    "submissions": Endless(to=front, repeat=HEAD + b"Content-Length: 2\r\n\r\n{}", closed=False),
    "readiness checks": Endless(
        to=health, repeat=b"GET /api/readyz HTTP/1.1\r\n\r\n", closed=False
    ),
    "header name to the readiness address": Endless(
        to=health, head=b"GET /api/readyz HTTP/1.1\r\n", repeat=b"x"
    ),
    "empty lines to the readiness address": Endless(to=health, repeat=b"\r\n"),
    "requests for metrics": Endless(
        to=metrics, repeat=b"GET /metrics HTTP/1.1\r\n\r\n", closed=False
    ),
    "header name to the metrics address": Endless(
        to=metrics, head=b"GET /metrics HTTP/1.1\r\n", repeat=b"x"
    ),
    "pings to the address for peers": Endless(to=peers, repeat=PING, closed=False),
}


@pytest.mark.parametrize("case", ENDLESS.values(), ids=ENDLESS.keys())
async def test_clients_that_send_without_end_do_not_exhaust_the_memory(harness, case):
    """Guards against a process that keeps all that its clients send."""
    member = await start_process(harness)
    with Crowd(address=case.to(member)) as crowd:
        ends = await crowd.send(CROWD, head=case.head, repeat=case.repeat, size=SENT_BYTES)
        assert_within_limits(harness, member)
        if case.closed:
            assert set(ends) == {Sent.CLOSED}
        await assert_serves(harness, member)


SILENT = {
    "nothing": (front, b""),
    "half a head": (front, HEAD),
    "half a body": (front, HEAD + b"Content-Length: 100\r\n\r\n{"),
    "half a head to the readiness address": (health, b"GET /api/readyz HTTP/1.1\r\n"),
    "half a head to the metrics address": (metrics, b"GET /metrics HTTP/1.1\r\n"),
    "half a frame to the address for peers": (peers, LENGTH.pack(100) + b"x"),
}


@pytest.mark.parametrize(("to", "sent"), SILENT.values(), ids=SILENT.keys())
async def test_silent_connections_leave_descriptors_for_ordinary_clients(harness, to, sent):
    """Guards against a process whose descriptors are all held by connections without a request."""
    member = await start_process(harness)
    with Crowd(address=to(member)) as crowd:
        await crowd.send(MANY_CONNECTIONS, head=sent, repeat=b"x", size=len(sent))
        await assert_serves(harness, member)


UNFINISHED = {
    "bodies": (
        front,
        BODY_CONNECTIONS,
        HEAD + b"Content-Length: %d\r\n\r\n" % (BODY_BYTES + 1) + b"{" * BODY_BYTES,
    ),
    "frames to the address for peers": (
        peers,
        MANY_CONNECTIONS // 2,
        LENGTH.pack(MAX_FRAME_BYTES) + bytes(MAX_FRAME_BYTES - 1),
    ),
}


@pytest.mark.parametrize(("to", "count", "sent"), UNFINISHED.values(), ids=UNFINISHED.keys())
async def test_unfinished_requests_of_many_connections_fit_into_the_memory(
    harness, to, count, sent
):
    """Guards against limits for each connection that together exceed the memory of the process."""
    harness.limits["maxFds"] = BODY_DESCRIPTORS
    member = await start_process(harness)
    with Crowd(address=to(member)) as crowd:
        await crowd.send(count, head=sent, repeat=b"x", size=len(sent))
        await assert_serves(harness, member)


MALFORMED = {
    "a NUL byte": b"\0",
    "an unknown version": b"GET / HTTP/9.9\r\nHost: h\r\n\r\n",
    "a large head": b"GET / HTTP/1.1\r\nX: " + b"x" * 70_000 + b"\r\n\r\n",
    "two lengths": b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
    "a bad chunk": b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "a large body": b"POST /q/00000000000000ab HTTP/1.1\r\nHost: %s\r\n" % HOST.encode()
    + b"Content-Length: 300000\r\n\r\n"
    + b"x" * 300_000,
}


async def read_statuses(sock) -> list[int]:
    """Return the status codes of all responses until the server closes the connection."""
    loop = asyncio.get_running_loop()
    data = b""
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            while piece := await loop.sock_recv(sock, 65_536):
                data += piece
    except (TimeoutError, OSError):
        pass
    return [int(status) for status in STATUS_LINE.findall(data)]


@pytest.mark.parametrize("behind", MALFORMED.values(), ids=MALFORMED.keys())
async def test_a_malformed_request_does_not_refuse_the_request_before_it(harness, behind):
    """Guards against a refusal that a client takes for the answer to an accepted job."""
    member = await start_process(harness)
    body = json.dumps({"spec": "work", "phases": [step()]}).encode()
    with Crowd(address=member.front) as crowd:
        (sock,) = await crowd.connect(1)
        text = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body + behind
        await asyncio.get_running_loop().sock_sendall(sock, text)
        statuses = await read_statuses(sock)
    if statuses:
        assert statuses[0] == 200
    assert len(statuses) <= 2
    await assert_serves(harness, member)
    await harness.wait_for_state(member, JOB, "complete")
    assert len(harness.runs()) == 1


async def test_nothing_behind_a_malformed_request_is_begun(harness):
    """Guards against a job that runs although its connection was refused before it."""
    member = await start_process(harness)
    body = json.dumps({"spec": "work", "phases": [step()]}).encode()
    submit = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    with Crowd(address=member.front) as crowd:
        (sock,) = await crowd.connect(1)
        text = b"GET / HTTP/1.1\r\n\r\n" + b"GET / HTTP/9.9\r\n\r\n" + submit
        await asyncio.get_running_loop().sock_sendall(sock, text)
        statuses = await read_statuses(sock)
    assert statuses in ([404, 400], [404], [])
    assert await harness.state(member, JOB) == "410"


def head_of(size: int, text: bytes = b"GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n") -> bytes:
    """Return a complete head of a number of bytes."""
    return text + b"X: " + b"x" * (size - len(text) - 7) + b"\r\n\r\n"


async def first_status(member: MemberProcess, text: bytes) -> int | None:
    """Return the status of the response to a request; ``None`` if there is none."""
    with Crowd(address=member.front) as crowd:
        (sock,) = await crowd.connect(1)
        await asyncio.get_running_loop().sock_sendall(sock, text)
        data = b""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                data = await asyncio.get_running_loop().sock_recv(sock, 65_536)
        except (TimeoutError, OSError):
            pass
    return int(data.split()[1]) if data else None


async def configure(harness: CellHarness, member: MemberProcess, version: int, **limits) -> None:
    """Write a configuration and wait until it is in force."""
    harness.store.put("op/config", configuration(version, limits=limits))
    for _ in range(int(CLOSE_TIMEOUT_S / 0.05)):
        if any(line["version"] == version for line in member.events("configuration.in_force")):
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the configuration is not in force")


async def test_the_limits_of_the_configuration_apply_without_a_restart(harness):
    """Guards against limits that the operator has set and no process follows."""
    member = await start_process(harness)
    for version, size in ((2, 2000), (3, 20_000)):
        await configure(harness, member, version, maxHeaderBytes=size)
        assert await first_status(member, head_of(size)) == 200
        assert await first_status(member, head_of(size + 1)) not in (200, None)


TIMEOUTS = {
    "half a head": ("headerTimeoutMs", HEAD),
    "nothing": ("idleTimeoutMs", b""),
    "half a body": ("idleTimeoutMs", HEAD + b"Content-Length: 100\r\n\r\n{"),
    "one request": ("idleTimeoutMs", b"GET / HTTP/1.1\r\n\r\n"),
}


@pytest.mark.parametrize(("name", "sent"), TIMEOUTS.values(), ids=TIMEOUTS.keys())
async def test_a_connection_without_a_complete_request_is_closed(harness, name, sent):
    """Guards against connections that a process keeps for as long as a client likes."""
    member = await start_process(harness)
    await configure(harness, member, 2, **{name: 200})
    with Crowd(address=member.front) as crowd:
        (sock,) = await crowd.connect(1)
        await asyncio.get_running_loop().sock_sendall(sock, sent)
        assert await closed_by_server(sock, within_s=CLOSE_TIMEOUT_S)
    await assert_serves(harness, member)
