"""Connections to the pages for monitoring tools that send no request, or do not read."""

from __future__ import annotations

import asyncio

import pytest

from rhubarbferry.scheduler import web
from rhubarbferry.scheduler.web import MAX_CONNECTIONS, MAX_HEAD_BYTES, OperatorPages

TIMEOUT_S = 10.0


@pytest.fixture
async def pages(monkeypatch):
    monkeypatch.setattr(web, "TIMEOUT_S", 0.2)
    pages = OperatorPages(ready=lambda: True)
    await pages.start("127.0.0.1", 0)
    yield pages
    await pages.close()


async def connect(pages: OperatorPages) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = pages.address.split(":")
    return await asyncio.open_connection(host, int(port))


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read()
    except ConnectionError:
        return b""


async def get(pages: OperatorPages) -> bytes:
    reader, writer = await connect(pages)
    writer.write(b"GET /healthz HTTP/1.1\r\n\r\n")
    answer = await read_to_end(reader)
    writer.close()
    return answer


@pytest.mark.parametrize("sent", [b"", b"GET /", b"x" * (4 * MAX_HEAD_BYTES)])
async def test_a_connection_without_a_request_is_closed(pages, sent):
    reader, writer = await connect(pages)
    writer.write(sent)
    assert await read_to_end(reader) == b""
    writer.close()


async def test_connections_are_bounded_and_others_are_served_afterwards(pages):
    """Guards against descriptors that are all held by connections without a request."""
    conns = [await connect(pages) for _ in range(2 * MAX_CONNECTIONS)]
    ended = await asyncio.gather(*(read_to_end(reader) for reader, _ in conns))
    assert ended == [b""] * len(conns)
    for _, writer in conns:
        writer.close()
    assert b" 200 " in await get(pages)
