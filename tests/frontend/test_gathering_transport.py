"""Tests of the transport that combines the writes of an answer."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from rhubarbferry.serving.connections import FLUSH_THRESHOLD_BYTES, BatchingTransport


class FakeTransport:
    """Record writes and closes in order."""

    def __init__(self) -> None:
        self.calls: list[Any] = []

    def write(self, data: bytes) -> None:
        self.calls.append(data)

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        self.calls.append("close")

    def abort(self) -> None:
        self.calls.append("abort")


LARGE = b"x" * FLUSH_THRESHOLD_BYTES


@pytest.mark.parametrize(
    ("parts", "sent_at_once"),
    [
        ([b"head", b"body"], []),
        ([b"head", LARGE], [b"head" + LARGE]),
        ([LARGE, b"rest"], [LARGE]),
    ],
)
async def test_writes_of_one_loop_iteration_are_sent_together(
    parts: list[bytes], sent_at_once: list[bytes]
) -> None:
    inner = FakeTransport()
    transport = BatchingTransport(inner)  # type: ignore[arg-type]
    for part in parts:
        transport.write(part)
    assert inner.calls == sent_at_once
    await asyncio.sleep(0)
    assert b"".join(inner.calls) == b"".join(parts)


async def test_an_answer_is_sent_before_its_connection_closes() -> None:
    """A caller requests that the connection is closed after the answer.

    If the connection closed first, the caller would get an error instead of the answer.
    """
    inner = FakeTransport()
    transport = BatchingTransport(inner)  # type: ignore[arg-type]
    transport.write(b"answer")
    transport.close()
    assert inner.calls == [b"answer", "close"]


async def test_nothing_is_sent_after_an_abort() -> None:
    """Aborting a connection discards buffered data.

    If the data were still sent, a truncated answer could look like a complete one.
    """
    inner = FakeTransport()
    transport = BatchingTransport(inner)  # type: ignore[arg-type]
    transport.write(b"part")
    transport.abort()
    await asyncio.sleep(0)
    assert inner.calls == ["abort"]
