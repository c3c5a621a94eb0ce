"""Calls to the platform's services while connections fail."""

from __future__ import annotations

import asyncio
import socket
from contextlib import asynccontextmanager
from functools import partial

import pytest

from rhubarbferry.platform.http import JsonClient, NoAnswer, NotSent, TransferLimit

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}"
# The system sends a lost opening packet anew after this time.
RESENT_S = 1.0
FULL_S = 0.1


# A large answer on a slow link: so many parts, each after this pause.
PARTS = 8
PART_S = 0.1
PART = b" " * 1000
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (PARTS * len(PART))


async def answer(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    *,
    head: bytes = ANSWER,
    parts: int = 0,
    delay_s: float = 0.0,
) -> None:
    try:
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(delay_s)
        writer.write(head)
        for _ in range(parts):
            await asyncio.sleep(PART_S)
            writer.write(PART)
            await writer.drain()
        await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


@asynccontextmanager
async def calling(handler, **fields):
    """A client and the URL of a server that answers each connection with ``handler``."""
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = JsonClient(**fields)
    try:
        yield client, f"http://127.0.0.1:{port}/"
    finally:
        await client.close()
        server.close()


@pytest.mark.parametrize(
    ("delay_s", "timeout_s", "transfer", "whole"),
    [
        (0.0, 0.4, TransferLimit(idle_s=0.4, total_s=3.0), True),
        (0.3, 0.4, TransferLimit(idle_s=0.4, total_s=3.0), True),
        (0.5, 0.4, TransferLimit(idle_s=0.4, total_s=3.0), False),
        (0.0, 0.4, None, False),
        (0.0, 0.4, TransferLimit(idle_s=0.4, total_s=0.5), False),
        (0.0, 0.4, TransferLimit(idle_s=0.05, total_s=3.0), False),
    ],
)
async def test_a_large_answer_may_take_its_time_while_it_makes_progress(
    delay_s, timeout_s, transfer, whole
):
    """Guards against an answer that is cut off and read again without end on a slow link."""
    slowly = partial(answer, head=HEAD, parts=PARTS, delay_s=delay_s)
    async with calling(slowly) as (client, url):
        call = client.call("GET", url, timeout_s=timeout_s, transfer=transfer)
        if whole:
            assert (await call).status == 200
        else:
            with pytest.raises(NoAnswer):
                await call


@pytest.mark.parametrize(("extra_s", "answered"), [(0.0, False), (0.5, True)])
async def test_a_call_may_take_longer_by_what_this_process_is_behind(extra_s, answered):
    """Guards against calls that a busy process sends again while their answers lie unread."""
    slowly = partial(answer, delay_s=0.3)
    async with calling(slowly, extra_s=lambda: extra_s) as (client, url):
        call = client.call("GET", url, timeout_s=0.1)
        if answered:
            assert (await call).status == 200
        else:
            with pytest.raises(NoAnswer):
                await call


@pytest.mark.parametrize(("parts", "some"), [(0, False), (PARTS, True)])
async def test_a_failed_call_says_whether_its_answer_had_begun_to_arrive(parts, some):
    """Guards against a transfer cut off by a time limit that looks like a silent connection."""
    slowly = partial(answer, head=HEAD, parts=parts)
    async with calling(slowly) as (client, url):
        with pytest.raises(NoAnswer) as found:
            await client.call("GET", url, timeout_s=3.5 * PART_S)
    assert (found.value.received_bytes > 0) is some
    assert f"{found.value.received_bytes} bytes of the body read" in str(found.value)


async def test_calls_at_once_share_the_connections_of_an_address():
    """Guards against an owner whose descriptors run out, which opens some to each of many hosts."""
    opened = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal opened
        opened += 1
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.01)
            writer.write(ANSWER)
        writer.close()

    async with calling(serve, connections=3) as (client, url):
        calls = [client.call("GET", url, timeout_s=5.0) for _ in range(20)]
        answers = await asyncio.gather(*calls)
    assert [answer.status for answer in answers] == [200] * 20
    assert opened == 3


@pytest.fixture
def full_queue():
    """A listening socket whose queue is full, so that opening packets are dropped."""
    sock = socket.create_server(("127.0.0.1", 0), backlog=0)
    waiting = socket.create_connection(sock.getsockname())
    yield sock
    waiting.close()
    sock.close()


async def test_a_lost_opening_packet_costs_a_third_of_a_second(full_queue):
    """Guards against a second without starts for one lost packet."""
    loop = asyncio.get_running_loop()
    client = JsonClient()
    ip, port = full_queue.getsockname()
    call = asyncio.create_task(client.call("GET", f"http://{ip}:{port}/", timeout_s=3.0))
    begun = loop.time()
    await asyncio.sleep(FULL_S)
    server = await asyncio.start_server(answer, sock=full_queue)
    found = await call
    took_s = loop.time() - begun
    await client.close()
    server.close()
    assert found.status == 200
    assert took_s < RESENT_S - FULL_S


async def test_a_call_that_never_connects_ends_in_its_time_and_was_not_sent(full_queue):
    client = JsonClient()
    loop = asyncio.get_running_loop()
    begun = loop.time()
    ip, port = full_queue.getsockname()
    with pytest.raises(NotSent):
        await client.call("GET", f"http://{ip}:{port}/", timeout_s=0.8)
    await client.close()
    assert loop.time() - begun < 1.2
