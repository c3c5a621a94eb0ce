"""Tests of how frames are combined and written."""

from __future__ import annotations

import asyncio

import pytest

from rhubarbferry.rpc.framing import FrameWriter


class FakeTransport:
    """Transport without a socket that records writes."""

    def __init__(self) -> None:
        self.writes: list[bytes] = []
        self.aborted = False

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True


class FakeStream:
    """Stream writer over a :class:`FakeTransport`."""

    def __init__(self) -> None:
        self.transport = FakeTransport()

    def write(self, data: bytes) -> None:
        self.transport.writes.append(data)


@pytest.mark.parametrize("frames", [[b"a"], [b"a", b"bc"], [b"a", b"bc", b"d"]])
async def test_frames_of_one_iteration_are_sent_in_one_write(frames: list[bytes]) -> None:
    stream = FakeStream()
    frame_writer = FrameWriter(stream)  # type: ignore[arg-type]
    for frame in frames:
        frame_writer.write(frame)
    assert stream.transport.writes == []
    await asyncio.sleep(0)
    assert stream.transport.writes == [b"".join(frames)]
    frame_writer.write(b"next")
    await asyncio.sleep(0)
    assert stream.transport.writes[1:] == [b"next"]


async def test_frames_of_a_failed_connection_are_never_sent() -> None:
    """A connection fails in the loop iteration in which a call was made on it. The caller is
    notified that the call is unclear and may repeat it elsewhere. If the frame were sent after
    that, the peer would execute a call that its caller has abandoned."""
    stream = FakeStream()
    frame_writer = FrameWriter(stream)  # type: ignore[arg-type]
    frame_writer.write(b"call")
    frame_writer.abort()
    await asyncio.sleep(0)
    assert stream.transport.writes == []


async def test_replies_are_sent_before_a_server_closes() -> None:
    """A server is stopped in the loop iteration in which it replied. If the reply were dropped,
    its caller would have to treat an executed call as unclear."""
    stream = FakeStream()
    frame_writer = FrameWriter(stream)  # type: ignore[arg-type]
    frame_writer.write(b"reply")
    frame_writer.flush()
    frame_writer.abort()
    assert stream.transport.writes == [b"reply"]
