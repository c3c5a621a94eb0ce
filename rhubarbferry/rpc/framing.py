"""Read and write length-prefixed frames on asyncio streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rhubarbferry.rpc.codec import LENGTH, MAX_FRAME_BYTES
from rhubarbferry.rpc.errors import FrameTooLarge

# Largest piece of a frame that is read at once.
READ_BYTES = 64 * 1024


async def read_frame(
    reader: asyncio.StreamReader, *, received: Callable[[int], None] | None = None
) -> bytes | None:
    """Return the next frame, or ``None`` when the peer closed the connection between frames.

    :param received: called with the number of bytes of the frame that have been received, whenever
        it changes.
    :raises FrameTooLarge: when the length exceeds the limit. The connection can't be used after
        that, since the rest of the frame is unread.
    :raises asyncio.IncompleteReadError: when the peer closed the connection within a frame.
    """
    try:
        prefix = await reader.readexactly(LENGTH.size)
    except asyncio.IncompleteReadError as exc:
        if not exc.partial:
            return None
        raise
    (length,) = LENGTH.unpack(prefix)
    if length > MAX_FRAME_BYTES:
        raise FrameTooLarge(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
    if received is None:
        return await reader.readexactly(length)
    payload = bytearray()
    while len(payload) < length:
        piece = await reader.read(min(length - len(payload), READ_BYTES))
        if not piece:
            raise asyncio.IncompleteReadError(bytes(payload), length)
        payload += piece
        received(len(payload))
    return bytes(payload)


class FrameWriter:
    """Write the frames of one iteration of the event loop with one system call.

    Under load many calls or replies are ready in the same iteration.

    :param writer: the stream to the peer.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._loop = asyncio.get_running_loop()
        self._frames: list[bytes] = []

    def write(self, frame: bytes) -> None:
        """Buffer a frame until the end of this iteration of the event loop."""
        if not self._frames:
            self._loop.call_soon(self.flush)
        self._frames.append(frame)

    async def drain(self) -> None:
        """Wait until the transport can take more data; return at once if nothing is buffered.

        :raises ConnectionError: when the connection is lost.
        """
        if self._writer.transport.get_write_buffer_size() > 0:
            await self._writer.drain()

    def abort(self) -> None:
        """Close the connection at once; buffered frames are discarded."""
        self._frames.clear()
        self._writer.transport.abort()

    def flush(self) -> None:
        """Write the buffered frames without waiting for the end of the iteration."""
        frames, self._frames = self._frames, []
        if frames and not self._writer.transport.is_closing():
            self._writer.write(b"".join(frames))


def split_address(address: str) -> tuple[str, int]:
    """Split an address of the form ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
