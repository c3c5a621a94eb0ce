"""``/metrics``, ``/healthz`` and ``/readyz`` of the scheduler, without an HTTP framework.

A framework would exceed the memory budget of the daemon.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

# Time for a request and for reading its response.
TIMEOUT_S = 5.0
MAX_HEAD_BYTES = 8192
# Monitoring tools use a few connections; further ones are closed at once.
MAX_CONNECTIONS = 64
PLAIN_TEXT = "text/plain; charset=utf-8"


class OperatorPages:
    """Serve GET requests of monitoring tools, one request per connection.

    :param ready: returns whether the process accepts new work.
    """

    def __init__(self, *, ready: Callable[[], bool]) -> None:
        self._ready = ready
        self._server: asyncio.Server | None = None
        self._connections = 0
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Listen and set ``address``; with ``port`` 0, the system selects a free port."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_HEAD_BYTES)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._connections >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._connections += 1
        try:
            async with asyncio.timeout(TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(self._respond(head))
                writer.close()
                await writer.wait_closed()
        except (TimeoutError, OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            self._connections -= 1
            writer.transport.abort()

    def _respond(self, head: bytes) -> bytes:
        request_line = head.split(b"\r\n", 1)[0].split(b" ")
        if len(request_line) != 3 or request_line[0] not in (b"GET", b"HEAD"):
            return _response(400, "Bad Request", PLAIN_TEXT, b"send GET\n")
        match request_line[1].split(b"?")[0]:
            case b"/metrics":
                return _response(200, "OK", CONTENT_TYPE_LATEST, generate_latest())
            case b"/healthz":
                return _response(200, "OK", PLAIN_TEXT, b"ok\n")
            case b"/readyz" if self._ready():
                return _response(200, "OK", PLAIN_TEXT, b"ready\n")
            case b"/readyz":
                return _response(503, "Service Unavailable", PLAIN_TEXT, b"draining\n")
            case _:
                return _response(404, "Not Found", PLAIN_TEXT, b"see /metrics, /healthz, /readyz\n")


def _response(status: int, reason: str, kind: str, body: bytes) -> bytes:
    head = (
        f"HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
