"""Limits of the connections of a server for calls."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from attrs import evolve

from rhubarbferry.rpc import Pool, Server
from rhubarbferry.rpc.codec import LENGTH, encode_call
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.rpc.services import SCHEDULER
from rhubarbferry.serving.closures import Reason
from rhubarbferry.serving.limits import RequestLimits
from rhubarbferry.serving.listener import ByteBudget, Listener

PING = encode_call(SCHEDULER.methods["ping"], 1, t.PingRequest())
TIMEOUT_S = 30.0
# Large, so that unread replies soon fill the buffers of the kernel.
MEMBER = "m" * 10_000
SHORT_S = 0.05
SMALL_BUFFER_BYTES = 4096
LIMITS = RequestLimits()


async def ping(req: t.PingRequest) -> t.PingReply:
    return t.PingReply(member_id=MEMBER)


class Serving:
    """A server and what its listener has recorded."""

    def __init__(self, **limits) -> None:
        self.closed: list[str] = []
        self.listener = Listener(name="test-rpc", report=self._report, **limits)
        self.server = Server(service=SCHEDULER, handlers={"ping": ping}, listener=self.listener)

    def _report(self, event: str, **fields) -> None:
        self.closed.append(fields["reason"])

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.server.address.split(":")
        return await asyncio.open_connection(host, int(port))

    async def assert_serves(self) -> None:
        pool = Pool(service=SCHEDULER)
        try:
            address = self.server.address
            await pool.call(address, "ping", t.PingRequest(), timeout_s=TIMEOUT_S)
        finally:
            await pool.close()


@asynccontextmanager
async def serving(**limits) -> AsyncIterator[Serving]:
    serving = Serving(**limits)
    await serving.server.start("127.0.0.1", 0)
    try:
        yield serving
    finally:
        await serving.server.close()


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read()
    except ConnectionError:
        return b""


ENDED = {
    "half a frame": (LENGTH.pack(100) + b"x", {"head_timeout_s": SHORT_S}, Reason.HEAD_TIMEOUT),
    "nothing": (b"", {"idle_timeout_s": SHORT_S}, None),
    "half a length": (b"\0", {"idle_timeout_s": SHORT_S}, None),
}


@pytest.mark.parametrize(("sent", "limits", "reason"), ENDED.values(), ids=ENDED.keys())
async def test_a_connection_without_a_complete_frame_is_closed(sent, limits, reason) -> None:
    """Guards against connections that a server keeps for as long as a peer likes."""
    async with serving(limits=lambda: evolve(LIMITS, **limits)) as test:
        reader, writer = await test.connect()
        writer.write(sent)
        assert await read_to_end(reader) == b""
        assert test.closed == ([reason.value] if reason else [])
        writer.close()
        assert test.listener.budget.used == 0


async def test_incomplete_frames_of_all_connections_are_bounded() -> None:
    """Guards against frames that together exceed the memory of a process."""
    async with serving(budget=ByteBudget(max_bytes=100_000)) as test:
        conns = [await test.connect() for _ in range(10)]
        for _, writer in conns:
            writer.write(LENGTH.pack(50_000) + bytes(40_000))
        ended = [asyncio.create_task(read_to_end(reader)) for reader, _ in conns]
        async with asyncio.timeout(TIMEOUT_S):
            while sum(task.done() for task in ended) < 8:
                await asyncio.sleep(0.01)
                assert test.listener.budget.used <= 100_000
        await test.assert_serves()
        for task in ended:
            task.cancel()
        for _, writer in conns:
            writer.close()


async def test_calls_whose_replies_are_not_read_end_their_connection() -> None:
    """Guards against replies that are collected for a peer that does not read."""
    async with serving(write_timeout_s=SHORT_S) as test:
        host, port = test.server.address.split(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.connect((host, int(port)))
        _, writer = await asyncio.open_connection(sock=sock)
        writer.transport.pause_reading()
        with pytest.raises((ConnectionError, TimeoutError)):
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    writer.write(PING * 1000)
                    await writer.drain()
        assert test.closed == [Reason.UNREAD_RESPONSE.value]
        await test.assert_serves()


async def test_a_new_connection_replaces_the_one_that_has_waited_longest() -> None:
    async with serving(max_connections=3) as test:
        conns = [await test.connect() for _ in range(3)]
        await test.assert_serves()
        assert await read_to_end(conns[0][0]) == b""
        assert test.closed == [Reason.CONNECTIONS.value]
        for _, writer in conns:
            writer.close()
