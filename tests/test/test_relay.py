from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from rhubarbferry.test.relay import Mode, Relay, Scope

REPLY_TIMEOUT_S = 0.2
TEST_TIMEOUT_S = 5.0


@asynccontextmanager
async def echo_behind_relay():
    received = []

    async def echo(reader, writer):
        while data := await reader.read(100):
            received.append(data)
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    relay = Relay()
    link = await relay.open(f"{ip}:{port}")
    try:
        yield relay, link, received
    finally:
        await relay.close()
        server.close()


async def connect(link):
    ip, port = link.address.split(":")
    return await asyncio.open_connection(ip, int(port))


async def exchange(conn) -> str:
    """Send a message; return the echo, "nothing" on a timeout or "end" if it closed."""
    reader, writer = conn
    try:
        writer.write(b"word")
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            return (await reader.read(100)).decode() or "end"
    except TimeoutError:
        return "nothing"
    except ConnectionError:
        return "end"


@pytest.mark.parametrize(
    ("mode", "scope", "old", "new", "received_count"),
    [
        (Mode.PASS, Scope.ALL, "word", "word", 3),
        (Mode.CUT_TO, Scope.ALL, "nothing", "nothing", 1),
        (Mode.CUT_FROM, Scope.ALL, "nothing", "nothing", 3),
        (Mode.CUT, Scope.ALL, "nothing", "end", 1),
        (Mode.SILENT, Scope.ALL, "nothing", "nothing", 1),
        (Mode.SILENT, Scope.EXISTING, "nothing", "word", 2),
        (Mode.SILENT, Scope.NEW, "word", "nothing", 2),
        (Mode.RESET, Scope.ALL, "end", "end", 1),
        (Mode.RESET, Scope.EXISTING, "end", "word", 2),
    ],
)
async def test_modes(mode, scope, old, new, received_count):
    async with echo_behind_relay() as (_, link, received):
        conn = await connect(link)
        assert await exchange(conn) == "word"
        link.set(mode, scope=scope)
        assert await exchange(conn) == old
        assert await exchange(await connect(link)) == new
        assert len(received) == received_count


async def test_passes_again_for_new_connections():
    async with echo_behind_relay() as (_, link, _got):
        conn = await connect(link)
        assert await exchange(conn) == "word"
        link.set(Mode.CUT)
        assert await exchange(conn) == "nothing"
        link.set(Mode.PASS)
        assert await exchange(conn) == "end"
        assert await exchange(await connect(link)) == "word"


async def test_delay():
    async with echo_behind_relay() as (_, link, _got):
        link.set(Mode.PASS, delay_s=REPLY_TIMEOUT_S)
        reader, writer = conn = await connect(link)
        assert await exchange(conn) == "nothing"
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await reader.read(100) == b"word"


@pytest.mark.parametrize(
    ("line", "ok"),
    [({"link": 0, "mode": "silent"}, True), ({"link": 7}, False), ({"link": 0, "x": 1}, False)],
)
async def test_control_lines(line, ok):
    async with echo_behind_relay() as (relay, link, _got):
        server = await asyncio.start_server(relay.control, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(json.dumps(line).encode() + b"\n")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert json.loads(await reader.readline())["ok"] is ok
        assert await exchange(await connect(link)) == ("nothing" if ok else "word")
        writer.close()
        server.close()


async def test_connections_of_a_link_share_its_bandwidth():
    """Guard against a bandwidth limit that applies per connection instead of per link."""
    async with echo_behind_relay() as (_, link, _got):
        link.set(Mode.PASS, bytes_per_s=100.0)
        conns = [await connect(link) for _ in range(2)]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for _, writer in conns:
            writer.write(b"x" * 20)
        for reader, _ in conns:
            assert await reader.readexactly(20) == b"x" * 20
        # A single connection would take half of this time plus one pacing interval.
        assert loop.time() - started_at >= 0.4
