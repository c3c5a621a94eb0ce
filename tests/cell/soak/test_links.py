"""The relay between processes and hosts."""

from __future__ import annotations

import asyncio

import pytest

from tests.cell.soak.links import Rule, SoakLink


class Target:
    """Server that records the bytes it receives and answers each chunk."""

    def __init__(self) -> None:
        self.received = b""
        self.writers = []

    async def open(self, port: int = 0) -> int:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.append(writer)
        while data := await reader.read(1000):
            self.received += data
            writer.write(b"answer")

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def send(link: SoakLink, data: bytes) -> asyncio.StreamReader:
    ip, port = link.address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(data)
    reader.writer = writer
    return reader


@pytest.mark.parametrize("client_gives_up", [False, True])
async def test_held_bytes_reach_the_next_process_at_the_address(client_gives_up):
    """Guards against a soak in which no order survives the restart of its host."""
    before, after = Target(), Target()
    port = await before.open()
    link = SoakLink(target=f"127.0.0.1:{port}")
    await link.open()
    reader = await send(link, b"one")
    assert await reader.read(100) == b"answer"
    link.set(Rule(hold=True))
    reader.writer.write(b"two")
    await asyncio.sleep(0.05)
    if client_gives_up:
        reader.writer.transport.abort()
    before.close()
    await asyncio.sleep(0.05)
    await after.open(port)
    link.set(Rule())
    await asyncio.sleep(0.15)
    assert (before.received, after.received) == (b"one", b"two")
    after.close()
    await link.close()


@pytest.mark.parametrize(
    ("rule", "received", "answered"),
    [
        pytest.param(Rule(), b"GET", True, id="passes"),
        pytest.param(Rule(drop_to=True), b"", False, id="drops orders"),
        pytest.param(Rule(drop_from=True), b"GET", False, id="drops answers"),
        pytest.param(Rule(delay_s=5), b"", False, id="delays"),
        pytest.param(Rule(order_delay_s=5), b"GET", True, id="delays other calls"),
        pytest.param(Rule(hold_polls=True), b"GET", True, id="holds other calls"),
    ],
)
async def test_each_direction_has_its_own_rule(rule, received, answered):
    """Guards against faults of the soak that have no effect."""
    target = Target()
    link = SoakLink(target=f"127.0.0.1:{await target.open()}", rule=rule)
    await link.open()
    reader = await send(link, b"GET")
    try:
        async with asyncio.timeout(0.2):
            answer = await reader.read(100)
    except TimeoutError:
        answer = b""
    assert (target.received, answer) == (received, b"answer" if answered else b"")
    target.close()
    await link.close()
