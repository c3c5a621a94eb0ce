"""Clients that send requests without reading the responses, or without completing a request."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import resource
import socket
from pathlib import Path

from attrs import define, field

# A connection that has sent nothing for this long is not read by the server any more.
STALL_S = 2.0
CONNECT_TIMEOUT_S = 10.0
PIECE_BYTES = 64 * 1024
RECEIVE_BUFFER_BYTES = 4096


class Sent(enum.Enum):
    """How the sending on a connection ended."""

    ALL = "all bytes were sent"
    STALLED = "the server reads no more"
    CLOSED = "the server closed the connection"


@define(kw_only=True)
class Crowd:
    """Connections to one address that stay open until the crowd is closed.

    :param address: ``ip:port`` of the server.
    """

    address: str
    socks: list[socket.socket] = field(factory=list)

    async def connect(self, count: int) -> list[socket.socket]:
        """Open connections; return those that could be opened."""
        opened = [
            sock for sock in await asyncio.gather(*(self._open() for _ in range(count))) if sock
        ]
        self.socks += opened
        return opened

    async def _open(self) -> socket.socket | None:
        ip, _, port = self.address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Unread responses soon fill a small buffer.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
        except (OSError, TimeoutError):
            sock.close()
            return None
        return sock

    async def send(self, count: int, *, head: bytes = b"", repeat: bytes, size: int) -> list[Sent]:
        """Send ``head`` and then ``size`` bytes of repetitions of ``repeat`` on each connection.

        :returns: how the sending ended on each connection that could be opened.
        """
        piece = repeat * max(1, PIECE_BYTES // len(repeat))
        return await asyncio.gather(
            *(self._send(sock, head, piece, size) for sock in await self.connect(count))
        )

    async def _send(self, sock: socket.socket, head: bytes, piece: bytes, size: int) -> Sent:
        loop = asyncio.get_running_loop()
        pending = memoryview(head or piece)
        sent = 0
        while sent < size:
            try:
                count = sock.send(pending)
            except BlockingIOError:
                if not await _writable(loop, sock):
                    return Sent.STALLED
                continue
            except OSError:
                return Sent.CLOSED
            sent += count
            pending = pending[count:] if count < len(pending) else memoryview(piece)
            await asyncio.sleep(0)
        return Sent.ALL

    def close(self) -> None:
        """Close all connections."""
        for sock in self.socks:
            sock.close()

    def __enter__(self) -> Crowd:
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()


async def _writable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bool:
    event = asyncio.Event()
    loop.add_writer(sock, event.set)
    try:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STALL_S):
                await event.wait()
    finally:
        loop.remove_writer(sock)
    return event.is_set()


async def closed_by_server(sock: socket.socket, *, within_s: float) -> bool:
    """Wait until the server closes a connection; discard what it sends."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(within_s):
            while await loop.sock_recv(sock, PIECE_BYTES):
                pass
    except TimeoutError:
        return False
    except OSError:
        pass
    return True


def limit_descriptors(pid: int, count: int) -> None:
    """Set the limit of open descriptors of a child process."""
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, count))


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident size that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the process has no memory")


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
