"""Server for one service of the IDL."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Any

from loguru import logger
from prometheus_client import Counter

from rhubarbferry.rpc.codec import (
    Call,
    MalformedFrame,
    Service,
    decode_call,
    encode_error,
    encode_reply,
)
from rhubarbferry.rpc.errors import RpcError
from rhubarbferry.rpc.framing import FrameWriter, read_frame
from rhubarbferry.serving.closures import Closure, Reason
from rhubarbferry.serving.deadline import Deadline
from rhubarbferry.serving.limits import ACCEPTS_AT_ONCE, MIB
from rhubarbferry.serving.listener import ByteBudget, Listener

Handler = Callable[[Any], Awaitable[Any]]

CALLS = Counter("rhubarbferry_rpc_calls_total", "Calls served", ["method"])
FAILED_CALLS = Counter(
    "rhubarbferry_rpc_failed_calls_total", "Calls whose handler failed", ["method"]
)

MAX_CALLS_PER_CONNECTION = 4096
# After this many calls of one connection, other connections and the calls themselves go on.
CALLS_AT_ONCE = 64
LISTEN_BACKLOG = 1024
# Memory for the objects of a call in progress, besides its frame.
CALL_OVERHEAD_BYTES = 2048
# Limit of what all connections hold, for servers without a listener of their own.
DEFAULT_HELD_BYTES = 512 * MIB


class Server:
    """Accept connections and run a task for each call, so that replies may be sent in any order.

    :param service: the service from the IDL.
    :param handlers: an async function for each method.
    :param listener: limits of the connections; the time limits are those of the heads of requests
        for a frame, and of idle connections for the time between frames.
    """

    def __init__(
        self,
        *,
        service: Service,
        handlers: Mapping[str, Handler],
        listener: Listener | None = None,
    ) -> None:
        self._service = service
        self._handlers = dict(handlers)
        self._listener = listener or Listener(
            name="rpc", budget=ByteBudget(max_bytes=DEFAULT_HELD_BYTES)
        )
        self._server: asyncio.Server | None = None
        self._conns: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Start listening and set ``address``; with ``port`` 0 a free port is chosen."""
        # The protocol number makes asyncio disable Nagle's algorithm on the connections.
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            self._server = await asyncio.get_running_loop().create_server(
                self._create_protocol, sock=sock, backlog=ACCEPTS_AT_ONCE
            )
            # asyncio uses one number for this queue and for the connections accepted at once.
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise
        listen_address = self._server.sockets[0].getsockname()
        self.address = f"{listen_address[0]}:{listen_address[1]}"

    def _create_protocol(self) -> asyncio.BaseProtocol:
        reader = _MeteredReader()
        return asyncio.StreamReaderProtocol(reader, partial(self._accept, reader))

    async def _accept(
        self, reader: _MeteredReader, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._conns.add(task)
        conn = _CallerConnection(reader=reader, writer=writer, listener=self._listener)
        calls: set[asyncio.Task[None]] = set()
        # When calls arrive faster than they are served, reading stops at this limit. TCP flow
        # control then slows the peer down, and the memory for pending calls stays bounded.
        call_slots = asyncio.Semaphore(MAX_CALLS_PER_CONNECTION)
        count = 0
        try:
            while (payload := await conn.read_frame()) is not None:
                call = decode_call(self._service, payload)
                await call_slots.acquire()
                size = len(payload) + CALL_OVERHEAD_BYTES
                conn.call_begun(size)
                call_task = asyncio.create_task(self._serve(call, conn.frame_writer))
                calls.add(call_task)
                call_task.add_done_callback(calls.discard)
                call_task.add_done_callback(partial(conn.call_ended, size))
                call_task.add_done_callback(lambda _: call_slots.release())
                count += 1
                if count % CALLS_AT_ONCE == 0:
                    await asyncio.sleep(0)
        except (OSError, EOFError, RpcError):
            pass
        except MalformedFrame as exc:
            logger.warning("connection closed: {}", exc)
        except asyncio.CancelledError:
            pass
        finally:
            # Replies can't be sent any more, so the calls are cancelled.
            for call_task in calls:
                call_task.cancel()
            conn.frame_writer.flush()
            conn.frame_writer.abort()
            conn.release()
            self._conns.discard(task)

    async def _serve(self, call: Call, frame_writer: FrameWriter) -> None:
        method = self._service.methods[call.method]
        CALLS.labels(call.method).inc()
        try:
            value = await self._handlers[call.method](call.req)
            frame = encode_reply(method, call.seqid, value)
        except Exception as exc:
            FAILED_CALLS.labels(call.method).inc()
            logger.opt(exception=exc).error("handler of {} failed", call.method)
            frame = encode_error(call.method, call.seqid, f"{type(exc).__name__}: {exc}")
        try:
            frame_writer.write(frame)
        except (ConnectionError, RuntimeError):
            pass

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is None:
            return
        self._server.close()
        for task in list(self._conns):
            task.cancel()
        await asyncio.gather(*self._conns, return_exceptions=True)


class _MeteredReader(asyncio.StreamReader):
    """A stream that reports how much has been received and not yet been read.

    :ivar buffered_bytes: its size.
    :ivar on_received: called when data has been received.
    """

    def __init__(self) -> None:
        super().__init__()
        self.buffered_bytes = 0
        self.on_received: Callable[[], None] = lambda: None

    def feed_data(self, data: Any) -> None:
        """Add received data."""
        self.buffered_bytes += len(data)
        super().feed_data(data)
        self.on_received()

    async def read(self, n: int = -1) -> bytes:
        """Read up to a number of bytes."""
        data = await super().read(n)
        self.buffered_bytes -= len(data)
        return data

    async def readexactly(self, n: int) -> bytes:
        """Read a number of bytes."""
        data = await super().readexactly(n)
        self.buffered_bytes -= len(data)
        return data


class _CallerConnection:
    """A connection from a caller, within the limits of its listener."""

    def __init__(
        self, *, reader: _MeteredReader, writer: asyncio.StreamWriter, listener: Listener
    ) -> None:
        self.frame_writer = FrameWriter(writer)
        self._reader = reader
        self._writer = writer
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._deadline = Deadline(on_expired=self.evict)
        self._calls = 0
        self._call_bytes = 0
        self._frame_bytes = 0
        reader.on_received = self._hold
        listener.opened(self)

    async def read_frame(self) -> bytes | None:
        """Return the next frame, or ``None`` when the peer closed the connection between frames."""
        # A caller that doesn't read its replies gets no more of them.
        self._set_deadline(self._listener.write_timeout_s, Reason.UNREAD_RESPONSE)
        await self.frame_writer.drain()
        if self._writer.transport.is_closing():
            return None
        self._set_deadline(self._listener.limits().idle_timeout_s, Reason.IDLE)
        payload = await read_frame(self._reader, received=self._on_progress)
        self._frame_bytes = 0
        self._deadline.clear()
        return payload

    def _on_progress(self, size: int) -> None:
        self._frame_bytes = size
        self._set_deadline(self._listener.limits().head_timeout_s, Reason.HEAD_TIMEOUT)
        self._hold()

    def call_begun(self, size: int) -> None:
        """Count a call and the bytes that it holds."""
        self._calls += 1
        self._call_bytes += size
        self._listener.mark_busy(self)
        self._hold()

    def call_ended(self, size: int, _task: asyncio.Task[None]) -> None:
        """Release what a call has held."""
        self._calls -= 1
        self._call_bytes -= size
        if self._calls == 0:
            self._listener.mark_waiting(self)
        self._hold()

    def _hold(self) -> None:
        if not self._writer.transport.is_closing():
            unserved = self._reader.buffered_bytes + self._frame_bytes
            self._listener.budget.hold(self, self._call_bytes + unserved, incomplete=unserved > 0)

    def _set_deadline(self, timeout_s: float, reason: Reason) -> None:
        self._deadline.set(self._loop.time() + timeout_s, Closure(reason=reason, limit=timeout_s))

    def evict(self, closure: Closure) -> None:
        """Close the connection at once."""
        ip, port = self._writer.get_extra_info("peername") or ("", 0)
        self._listener.record(closure, peer=f"{ip}:{port}")
        self.release()
        self.frame_writer.abort()

    def release(self) -> None:
        """Release what the connection holds."""
        self._listener.closed(self)
        self._deadline.cancel()
