"""HTTP/1.1 connections with bounded headers, batched writes and a way to abort a request."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from rhubarbferry.serving.closures import Reason, RequestRefused
from rhubarbferry.serving.limits import RequestLimits
from rhubarbferry.serving.request_reader import Part, RequestReader

LIMITS = RequestLimits()
FLUSH_THRESHOLD_BYTES = 64 * 1024
# Key in the scope of a request for a function that closes its connection without a response. It is
# for requests with an unknown outcome, about which any response could be wrong.
ABORT = "rhubarbferry.abort"
BAD_REQUEST = "the bytes are no HTTP/1.1 request, or its headers are too large"


class BatchingTransport(asyncio.Transport):
    """Batch all writes of one event loop iteration into one system call.

    The server writes the head and the body of a response separately, and a system call takes longer
    than all other work for a response.

    :param inner: the wrapped transport of the connection.
    """

    def __init__(self, inner: asyncio.Transport) -> None:
        super().__init__()
        self._inner = inner
        self._loop = asyncio.get_running_loop()
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0

    def write(self, data: Any) -> None:
        """Buffer ``data`` until this event loop iteration ends or the buffer is full."""
        if not self._buffer:
            self._loop.call_soon(self.flush)
        self._buffer.append(bytes(data))
        self._buffered_bytes += len(data)
        if self._buffered_bytes >= FLUSH_THRESHOLD_BYTES:
            self.flush()

    def flush(self) -> None:
        """Send the buffered data."""
        if not self._buffer:
            return
        data = b"".join(self._buffer)
        self._buffer.clear()
        self._buffered_bytes = 0
        self._inner.write(data)

    def close(self) -> None:
        """Close the connection after sending all buffered data."""
        self.flush()
        self._inner.close()

    def abort(self) -> None:
        """Discard the buffered data and close the connection immediately."""
        self._buffer.clear()
        self._inner.abort()

    def is_closing(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self._inner.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information from the wrapped transport."""
        return self._inner.get_extra_info(name, default)

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that were written and not yet sent."""
        return self._buffered_bytes + self._inner.get_write_buffer_size()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the buffer sizes at which the protocol pauses and resumes writing."""
        self._inner.set_write_buffer_limits(high, low)

    def pause_reading(self) -> None:
        """Pause reading from the connection."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading from the connection."""
        self._inner.resume_reading()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol of the connection."""
        self._inner.set_protocol(protocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of the connection."""
        return self._inner.get_protocol()


class ReadGate(FlowControl):
    """Flow control that doesn't resume reading while the gate is closed."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._closed = False

    def close(self) -> None:
        """Pause reading until the gate is opened."""
        self._closed = True
        self.pause_reading()

    def open(self) -> None:
        """Let reading be resumed."""
        self._closed = False

    def resume_reading(self) -> None:
        """Resume reading unless the gate is closed."""
        if not self._closed:
            super().resume_reading()


class BoundedHttpProtocol(HttpToolsProtocol):
    """Limit the size of each part of a request and respond to malformed requests."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._reader = RequestReader(parser=self.parser, limits=lambda: LIMITS)
        # What the client sent behind a request to which a response is owed.
        self._unread = b""
        self._unread_from = 0
        self._discarded_bytes = 0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start serving a connection."""
        batching = BatchingTransport(transport)
        super().connection_made(batching)
        self._gate = ReadGate(batching)
        self.flow = self._gate

    def data_received(self, data: bytes) -> None:
        """Read the next request, unless a response is owed to the one before it."""
        self._unset_keepalive_if_required()
        if self._unread:
            self._unread = self._unread[self._unread_from :] + data
            self._unread_from = 0
        else:
            self._read(data, 0)

    def _read(self, data: bytes, start: int) -> None:
        pos = start
        try:
            while pos < len(data) and not self.transport.is_closing():
                if self._reader.part is Part.COMPLETE:
                    if not self.cycle.response_complete:
                        self._unread, self._unread_from = data, pos
                        self._gate.close()
                        return
                    self._reader.begin()
                    self._discarded_bytes = 0
                end = self._reader.feed(data, pos)
                if self._reader.head_complete and self.cycle.response_complete:
                    self._discard(end - pos)
                pos = end
        except RequestRefused as exc:
            self._refuse(exc)

    def _discard(self, size: int) -> None:
        limit = LIMITS.body_bytes
        self._discarded_bytes += size
        if self._discarded_bytes > limit:
            raise RequestRefused(Reason.UNREAD_BODY, limit)

    def on_response_complete(self) -> None:
        """Read the next request of the connection."""
        super().on_response_complete()
        if not self._unread or self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        unread, self._unread = self._unread, b""
        self._gate.open()
        self._read(unread, self._unread_from)
        self._gate.resume_reading()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reader.on_message_begin()
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are ignored, since the request may be in progress."""
        if self._reader.on_header(name, value):
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start a request and add the abort function to its scope."""
        super().on_headers_complete()
        self._reader.on_headers_complete()
        scope: dict[str, Any] = self.scope  # type: ignore[assignment]
        scope[ABORT] = self.transport.abort

    def on_message_complete(self) -> None:
        """End a request."""
        self._reader.on_message_complete()
        super().on_message_complete()

    def _refuse(self, exc: RequestRefused) -> None:
        """Respond to the request that is being read, and close the connection.

        The requests before it have been answered.
        """
        # When the error is in the body, part of the request may already have been forwarded.
        begun = self._reader.head_complete
        if not (begun and self.cycle.response_started):
            self.transport.write(self.bad_request(headers_complete=begun))
        if begun:
            # The application must not respond as well.
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self.transport.close()

    def bad_request(self, *, headers_complete: bool) -> bytes:
        """Return the complete response to a malformed request.

        :param headers_complete: whether the head was valid and the error is in the body.
        """
        body = json.dumps({"error": BAD_REQUEST}).encode()
        return bad_request_head(len(body), [("content-type", "application/json")]) + body


def bad_request_head(length: int, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the status line and headers of a response after which the connection is closed."""
    lines = ["HTTP/1.1 400 Bad Request", f"content-length: {length}", "connection: close"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"
