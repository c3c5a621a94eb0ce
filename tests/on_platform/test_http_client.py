"""Tests for the HTTP client of the platform's services under slow and failing connections."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from functools import partial

import pytest

from rhubarbferry.platform.http_client import JsonClient, NoAnswer, NotSent, TransferLimit

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}"
# The kernel retransmits a lost SYN packet after this time.
SYN_RETRANSMIT_S = 1.0
# How long the accept queue stays full, so that SYN packets are dropped.
QUEUE_FULL_S = 0.1


# A large response on a slow link: this number of parts, each sent after this delay.
PART_COUNT = 8
PART_DELAY_S = 0.1
PART = b" " * 1000
LARGE_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (PART_COUNT * len(PART))


async def send_response(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    head: bytes = RESPONSE,
    parts: int = 0,
    delay_s: float = 0.0,
) -> None:
    try:
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(delay_s)
        writer.write(head)
        for _ in range(parts):
            await asyncio.sleep(PART_DELAY_S)
            writer.write(PART)
            await writer.drain()
        await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


@asynccontextmanager
async def client_and_server(handler, **fields):
    """Yield a client and the URL of a server that handles each connection with ``handler``."""
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = JsonClient(**fields)
    try:
        yield client, f"http://127.0.0.1:{port}/"
    finally:
        await client.close()
        server.close()


@pytest.mark.parametrize(
    ("delay_s", "timeout_s", "transfer", "completes"),
    [
        (0.0, 0.4, TransferLimit(idle_s=0.4, total_s=3.0), True),
        (0.3, 0.4, TransferLimit(idle_s=0.4, total_s=3.0), True),
        (0.5, 0.4, TransferLimit(idle_s=0.4, total_s=3.0), False),
        (0.0, 0.4, None, False),
        (0.0, 0.4, TransferLimit(idle_s=0.4, total_s=0.5), False),
        (0.0, 0.4, TransferLimit(idle_s=0.05, total_s=3.0), False),
    ],
)
async def test_transfer_timeouts_replace_the_call_timeout(delay_s, timeout_s, transfer, completes):
    """Guards against endless retries of a large response that times out on a slow link."""
    slow_handler = partial(
        send_response, head=LARGE_RESPONSE_HEAD, parts=PART_COUNT, delay_s=delay_s
    )
    async with client_and_server(slow_handler) as (client, url):
        call = client.call("GET", url, timeout_s=timeout_s, transfer=transfer)
        if completes:
            assert (await call).status == 200
        else:
            with pytest.raises(NoAnswer):
                await call


@pytest.mark.parametrize(("extra_s", "completes"), [(0.0, False), (0.5, True)])
async def test_extra_timeout_extends_the_call_timeout(extra_s, completes):
    """Guards against a busy process that repeats calls whose responses it has not read yet."""
    slow_handler = partial(send_response, delay_s=0.3)
    async with client_and_server(slow_handler, extra_timeout_s=lambda: extra_s) as (client, url):
        call = client.call("GET", url, timeout_s=0.1)
        if completes:
            assert (await call).status == 200
        else:
            with pytest.raises(NoAnswer):
                await call


@pytest.mark.parametrize(("parts", "has_received"), [(0, False), (PART_COUNT, True)])
async def test_a_failed_call_reports_the_received_bytes(parts, has_received):
    """Guards against reporting an interrupted transfer as a connection without a response."""
    slow_handler = partial(send_response, head=LARGE_RESPONSE_HEAD, parts=parts)
    async with client_and_server(slow_handler) as (client, url):
        with pytest.raises(NoAnswer) as result:
            await client.call("GET", url, timeout_s=3.5 * PART_DELAY_S)
    assert (result.value.received_bytes > 0) is has_received
    assert f"{result.value.received_bytes} bytes of the body read" in str(result.value)


async def test_concurrent_calls_share_the_connections_to_an_address():
    """Guards against an owner that runs out of file descriptors in a cell with many hosts."""
    opened = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal opened
        opened += 1
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.01)
            writer.write(RESPONSE)
        writer.close()

    async with client_and_server(serve, max_connections=3) as (client, url):
        calls = [client.call("GET", url, timeout_s=5.0) for _ in range(20)]
        responses = await asyncio.gather(*calls)
    assert [response.status for response in responses] == [200] * 20
    assert opened == 3


async def test_each_call_tells_when_a_connection_takes_it():
    """Guards against a log that tells nothing of how long an order waited for its connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            events.append("request")
            writer.write(RESPONSE)
        writer.close()

    events: list[str] = []
    async with client_and_server(serve, max_connections=1) as (client, url):
        for _ in range(2):
            await client.call(
                "GET", url, timeout_s=5.0, on_connected=lambda: events.append("connected")
            )
    assert events == ["connected", "request"] * 2


@pytest.fixture
def full_accept_queue():
    """A listening socket with a full accept queue, which drops SYN packets."""
    sock = socket.create_server(("127.0.0.1", 0), backlog=0)
    waiting = socket.create_connection(sock.getsockname())
    yield sock
    waiting.close()
    sock.close()


async def test_a_call_reconnects_after_a_lost_syn_packet(full_accept_queue):
    """Guards against a delay of one second for each lost SYN packet."""
    loop = asyncio.get_running_loop()
    client = JsonClient()
    ip, port = full_accept_queue.getsockname()
    call = asyncio.create_task(client.call("GET", f"http://{ip}:{port}/", timeout_s=3.0))
    started_at = loop.time()
    await asyncio.sleep(QUEUE_FULL_S)
    server = await asyncio.start_server(send_response, sock=full_accept_queue)
    result = await call
    elapsed_s = loop.time() - started_at
    await client.close()
    server.close()
    assert result.status == 200
    assert elapsed_s < SYN_RETRANSMIT_S - QUEUE_FULL_S


async def test_a_call_that_cannot_connect_times_out_as_not_sent(full_accept_queue):
    client = JsonClient()
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    ip, port = full_accept_queue.getsockname()
    connected = []
    with pytest.raises(NotSent):
        await client.call(
            "GET",
            f"http://{ip}:{port}/",
            timeout_s=0.8,
            on_connected=lambda: connected.append(True),
        )
    await client.close()
    assert loop.time() - started_at < 1.2
    assert not connected
