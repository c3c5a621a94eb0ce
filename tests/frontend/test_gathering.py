"""Answers that leave with one write."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from rhubarbferry.serving.connections import GATHERED_BYTES, GatheringTransport


class FakeTransport:
    """Record writes and closes in order."""

    def __init__(self) -> None:
        self.seen: list[Any] = []

    def write(self, data: bytes) -> None:
        self.seen.append(data)

    def close(self) -> None:
        self.seen.append("close")

    def abort(self) -> None:
        self.seen.append("abort")


LARGE = b"x" * GATHERED_BYTES


@pytest.mark.parametrize(
    ("parts", "at_once"),
    [
        ([b"head", b"body"], []),
        ([b"head", LARGE], [b"head" + LARGE]),
        ([LARGE, b"rest"], [LARGE]),
    ],
)
async def test_parts_of_one_turn_leave_together(parts: list[bytes], at_once: list[bytes]) -> None:
    inner = FakeTransport()
    transport = GatheringTransport(inner)  # type: ignore[arg-type]
    for part in parts:
        transport.write(part)
    assert inner.seen == at_once
    await asyncio.sleep(0)
    assert b"".join(inner.seen) == b"".join(parts)


async def test_an_answer_leaves_before_its_connection_closes() -> None:
    """A caller asks for the connection to be closed after the answer. Were it closed first, the
    caller would see a broken connection in place of its answer."""
    inner = FakeTransport()
    transport = GatheringTransport(inner)  # type: ignore[arg-type]
    transport.write(b"answer")
    transport.close()
    assert inner.seen == [b"answer", "close"]


async def test_nothing_leaves_after_an_abort() -> None:
    """The rest of an answer is dropped so that the caller sees that something is missing. Were it
    sent all the same, a cut answer could look like a whole one."""
    inner = FakeTransport()
    transport = GatheringTransport(inner)  # type: ignore[arg-type]
    transport.write(b"part")
    transport.abort()
    await asyncio.sleep(0)
    assert inner.seen == ["abort"]
