"""HTTP/1.1 connections: bounded headers, one system call an answer, and a way to break off."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

MAX_HEADER_BYTES = 64 * 1024
MAX_HEADERS = 200
GATHERED_BYTES = 64 * 1024
# Name in the scope of a request: breaks its connection off without an answer. Each answer would
# say something about the request, which is wrong while its outcome is not known.
ABORT = "rhubarbferry.abort"
BAD_REQUEST = "the bytes are no HTTP/1.1 request, or its headers are too large"


class GatheringTransport(asyncio.Transport):
    """Send what is written in one turn of the event loop with one system call.

    The server writes the head and the body of an answer one after the other. Each system call
    takes longer than all the rest of an answer.

    :param inner: the transport of the connection.
    """

    def __init__(self, inner: asyncio.Transport) -> None:
        super().__init__()
        self._inner = inner
        self._loop = asyncio.get_running_loop()
        self._parts: list[bytes] = []
        self._size = 0

    def write(self, data: Any) -> None:
        """Keep ``data`` until the end of this turn, or send it at once when it is much."""
        if not self._parts:
            self._loop.call_soon(self.flush)
        self._parts.append(bytes(data))
        self._size += len(data)
        if self._size >= GATHERED_BYTES:
            self.flush()

    def flush(self) -> None:
        """Send what was kept."""
        if not self._parts:
            return
        data = b"".join(self._parts)
        self._parts.clear()
        self._size = 0
        self._inner.write(data)

    def close(self) -> None:
        """Close the connection once everything was sent."""
        self.flush()
        self._inner.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._parts.clear()
        self._inner.abort()

    def is_closing(self) -> bool:
        """Tell whether the connection is closed or being closed."""
        return self._inner.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return what the connection's transport knows."""
        return self._inner.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Return the bytes that were written and have not gone out."""
        return self._size + self._inner.get_write_buffer_size()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set when the protocol has to stop writing."""
        self._inner.set_write_buffer_limits(high, low)

    def pause_reading(self) -> None:
        """Stop to read."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Go on to read."""
        self._inner.resume_reading()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Hand the connection to another protocol."""
        self._inner.set_protocol(protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of the connection."""
        return self._inner.get_protocol()


class BoundedHttpProtocol(HttpToolsProtocol):
    """Bound the headers, and answer what is no HTTP request."""

    _header_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin to serve a connection."""
        super().connection_made(GatheringTransport(transport))

    def on_message_begin(self) -> None:
        """Begin to count the headers of the next request."""
        self._header_bytes = 0
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, unless there are too many bytes of them."""
        # The parser itself has no limit, so one caller could fill the memory with headers.
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES or len(self.headers) >= MAX_HEADERS:
            raise ValueError("headers too large")
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Begin a request, and let the application break its connection off."""
        super().on_headers_complete()
        scope: dict[str, Any] = self.scope  # type: ignore[assignment]
        scope[ABORT] = self.transport.abort

    def send_400_response(self, msg: str) -> None:
        """Answer what is no HTTP request, and close the connection."""
        # An error within a body: its request may have been passed on in part already.
        begun = self.cycle is not None and not self.cycle.response_complete
        if not (begun and self.cycle.response_started):
            self.transport.write(self.bad_request(begun=begun))
        self.transport.close()

    def bad_request(self, *, begun: bool) -> bytes:
        """Return the whole answer to what is no HTTP request.

        :param begun: whether the head was whole, and the body is at fault.
        """
        body = json.dumps({"error": BAD_REQUEST}).encode()
        return bad_request_head(len(body), [("content-type", "application/json")]) + body


def bad_request_head(length: int, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the status line and the headers of an answer after which the connection closes."""
    lines = ["HTTP/1.1 400 Bad Request", f"content-length: {length}", "connection: close"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
