"""Calls to the platform's services while connections fail."""

from __future__ import annotations

import asyncio
import socket

import pytest

from rhubarbferry.platform.http import JsonClient, NotSent

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}"
# The system sends a lost opening packet anew after this time.
RESENT_S = 1.0
FULL_S = 0.1


async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)
        await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


@pytest.fixture
def full_queue():
    """A listening socket whose queue is full, so that opening packets are dropped."""
    sock = socket.create_server(("127.0.0.1", 0), backlog=0)
    waiting = socket.create_connection(sock.getsockname())
    yield sock
    waiting.close()
    sock.close()


async def test_a_lost_opening_packet_costs_a_third_of_a_second(full_queue):
    """A packet is lost as a process connects to the store, on a bad link or at a busy host. It
    would be sent again after a second; a new owner that reads its jobs would start nothing until
    then."""
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
