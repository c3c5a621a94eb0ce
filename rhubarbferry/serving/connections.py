"""HTTP/1.1 connections with limits, batched writes and a way to abort a request."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from rhubarbferry.serving.closures import Closure, Reason, RequestRefused
from rhubarbferry.serving.deadline import Deadline
from rhubarbferry.serving.listener import DEFAULT_WRITE_TIMEOUT_S, Listener
from rhubarbferry.serving.request_reader import Part, RequestReader

FLUSH_THRESHOLD_BYTES = 64 * 1024
# Most unsent bytes of a connection before the application has to wait.
WRITE_BUFFER_BYTES = 16 * 1024
# Added to the time limits of clients: a request that was sent in time may have to be transmitted
# again.
TRANSIT_ALLOWANCE_S = 2.0
# Key in the scope of a request for a function that closes its connection without a response. It is
# for requests with an unknown outcome, about which any response could be wrong.
ABORT = "rhubarbferry.abort"
BAD_REQUEST = "the bytes are no HTTP/1.1 request, or its headers are too large"


class BatchingTransport(asyncio.Transport):
    """Batch all writes of one event loop iteration into one system call.

    The server writes the head and the body of a response separately, and a system call takes longer
    than all other work for a response.

    :param inner: the wrapped transport of the connection.
    :param close_timeout_s: seconds for which a closed connection waits for its client to read.
    """

    def __init__(
        self, inner: asyncio.Transport, *, close_timeout_s: float = DEFAULT_WRITE_TIMEOUT_S
    ) -> None:
        super().__init__()
        self._inner = inner
        self._close_timeout_s = close_timeout_s
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
        if self._inner.get_write_buffer_size() > 0:
            self._loop.call_later(self._close_timeout_s, self._inner.abort)

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
    """Serve one request of a connection at a time, within the limits of its listener."""

    def __init__(self, *args: Any, listener: Listener, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._listener = listener
        self._reader = RequestReader(parser=self.parser, limits=listener.limits)
        self._deadline = Deadline(on_expired=self._on_deadline)
        # What the client sent behind a request to which a response is owed.
        self._unread = b""
        self._unread_from = 0
        self._discarded_bytes = 0
        self._waiting_since = self._head_since = self.loop.time()
        self._write_timer: asyncio.TimerHandle | None = None
        self._recorded = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start serving a connection."""
        batching = BatchingTransport(transport, close_timeout_s=self._listener.write_timeout_s)
        batching.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(batching)
        self._gate = ReadGate(batching)
        self.flow = self._gate
        self._listener.opened(self)
        self._update()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds."""
        super().connection_lost(exc)
        self._unread = b""
        self._release()

    def data_received(self, data: bytes) -> None:
        """Read the next request, unless a response is owed to the one before it."""
        if self._unread:
            self._unread = self._unread[self._unread_from :] + data
            self._unread_from = 0
        else:
            self._read(data, 0)
        self._update()

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
                if self._reader.part is Part.BEFORE:
                    self._head_since = self.loop.time()
                end = self._reader.feed(data, pos)
                if self._reader.head_complete and self.cycle.response_complete:
                    self._discard(end - pos)
                pos = end
        except RequestRefused as exc:
            self._refuse(exc)

    def _discard(self, size: int) -> None:
        limit = self._listener.limits().body_bytes
        self._discarded_bytes += size
        if self._discarded_bytes > limit:
            raise RequestRefused(Reason.UNREAD_BODY, limit)

    def _update(self) -> None:
        """Account for what the connection holds, and set the time by which it must go on."""
        if self.transport.is_closing():
            return
        reader = self._reader
        answered = reader.head_complete and self.cycle.response_complete
        in_progress = reader.part is Part.COMPLETE and not answered
        held = len(self._unread) - self._unread_from if self._unread else 0
        if not answered:
            held += reader.held_bytes
        self._listener.budget.hold(self, held, incomplete=not in_progress)
        if in_progress:
            # A client that sends ahead or doesn't read gives way to others.
            if self._unread or self._write_timer is not None:
                self._listener.mark_waiting(self)
            else:
                self._listener.mark_busy(self)
            self._deadline.clear()
            return
        limits = self._listener.limits()
        match reader.part:
            case Part.BEFORE | Part.COMPLETE:
                since, timeout_s, reason = self._waiting_since, limits.idle_timeout_s, Reason.IDLE
            case Part.HEAD:
                since, timeout_s = self._head_since, limits.head_timeout_s
                reason = Reason.HEAD_TIMEOUT
            case _:
                since, timeout_s = self.loop.time(), limits.idle_timeout_s
                reason = Reason.BODY_TIMEOUT
        self._deadline.set(
            since + timeout_s + TRANSIT_ALLOWANCE_S, Closure(reason=reason, limit=timeout_s)
        )

    def on_response_complete(self) -> None:
        """Read the next request of the connection."""
        self.server_state.total_requests += 1
        if self.transport.is_closing():
            return
        self._waiting_since = self.loop.time()
        self._listener.mark_waiting(self)
        if self._unread:
            unread, self._unread = self._unread, b""
            self._gate.open()
            self._read(unread, self._unread_from)
        self._gate.resume_reading()
        self._update()

    def pause_writing(self) -> None:
        """Limit the time for which the client reads nothing of a response."""
        super().pause_writing()
        self._listener.mark_waiting(self)
        self._watch_writing()

    def resume_writing(self) -> None:
        """Go on writing, as the client reads."""
        super().resume_writing()
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
        self._update()

    def _watch_writing(self) -> None:
        unsent = self.transport.get_write_buffer_size()
        self._write_timer = self.loop.call_later(
            self._listener.write_timeout_s, self._check_writing, unsent
        )

    def _check_writing(self, unsent_before: int) -> None:
        if self.transport.get_write_buffer_size() < unsent_before:
            self._watch_writing()
            return
        limit = self._listener.write_timeout_s
        self.evict(Closure(reason=Reason.UNREAD_RESPONSE, limit=limit))

    def _on_deadline(self, closure: Closure) -> None:
        if self._write_timer is not None:
            # The client is reading the last response, or that timer ends the connection.
            self._deadline.set(self.loop.time() + self._listener.write_timeout_s, closure)
            return
        if self.transport.get_write_buffer_size() > 0:
            self.evict(Closure(reason=Reason.UNREAD_RESPONSE, limit=closure.limit))
            return
        self._record(closure)
        self.transport.close()

    def evict(self, closure: Closure) -> None:
        """Close the connection at once."""
        self._record(closure)
        self._release()
        self.transport.abort()

    def _record(self, closure: Closure) -> None:
        if self._recorded:
            return
        self._recorded = True
        ip, port = self.client or ("", 0)
        self._listener.record(closure, peer=f"{ip}:{port}")

    def _release(self) -> None:
        self._listener.closed(self)
        self._deadline.cancel()
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

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
        self._record(exc.closure)
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
