"""The caller's connection for one request: its body, its answer and its disconnection."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, MutableMapping
from typing import Any, TypeVar

import xxhash

T = TypeVar("T")
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

# Bodies up to this size are buffered completely, so that they can be resent to another runner.
BODY_PREFIX_BYTES = 256 * 1024


class CallerGone(Exception):
    """The caller disconnected before its request could be sent or answered."""


class BodyTooLarge(Exception):
    """The body exceeds the size limit."""


class Caller:
    """Read the request body, send the answer and detect that the caller disconnected.

    A background task reads one message ahead. This detects a closed connection while the request
    waits for a grant, and keeps at most one chunk in memory beyond the buffered prefix.

    :param limit: maximum body size, in bytes.
    :ivar body_prefix: the first part of the body, kept in memory.
    :ivar body_complete: whether ``body_prefix`` is the complete body.
    :ivar sent_at: start of the latest attempt to send the request to a runner, on the monotonic
        clock; ``None`` before the first.
    """

    def __init__(self, *, receive: Receive, send: Send, limit: int) -> None:
        self._receive = receive
        self._send = send
        self._limit = limit
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue(maxsize=1)
        self.size = 0
        self._body_ended = False
        self.body_prefix = b""
        self.body_complete = False
        self.answer_started = False
        self.streaming_started = False
        self.too_large = False
        self.sent_at: float | None = None
        self.disconnected = asyncio.Event()
        self._disconnect_hooks: list[Callable[[], None]] = []
        self._wait_timeout: asyncio.Timeout | None = None
        self._task = asyncio.create_task(self._read_messages())

    async def _read_messages(self) -> None:
        more = True
        while more:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                self._set_disconnected()
                await self._chunks.put(None)
                return
            more = message.get("more_body", False)
            if chunk := message.get("body", b""):
                await self._chunks.put(chunk)
        self._body_ended = True
        await self._chunks.put(None)
        # After the body, the only message that can follow is the disconnection.
        await self._receive()
        self._set_disconnected()

    def _set_disconnected(self) -> None:
        self.disconnected.set()
        self._cancel_wait()
        for hook in self._disconnect_hooks:
            hook()

    def on_disconnect(self, hook: Callable[[], None]) -> None:
        """Call ``hook`` when the caller disconnects, or at once if it already has."""
        self._disconnect_hooks.append(hook)
        if self.disconnected.is_set():
            hook()

    async def read_body_prefix(self) -> None:
        """Buffer the body until it ends or exceeds ``BODY_PREFIX_BYTES``.

        :raises CallerGone: when the caller disconnected before the end of the body.
        :raises BodyTooLarge: when the body exceeds the limit.
        """
        parts: list[bytes] = []
        while self.size <= BODY_PREFIX_BYTES:
            chunk = await self._next_chunk()
            if chunk is None:
                self.body_complete = True
                break
            parts.append(chunk)
        self.body_prefix = b"".join(parts)

    async def _next_chunk(self) -> bytes | None:
        chunk = await self._chunks.get()
        if chunk is None:
            if not self._body_ended:
                raise CallerGone
            return None
        self.size += len(chunk)
        if self.size > self._limit:
            self.too_large = True
            raise BodyTooLarge
        return chunk

    def fingerprint(self) -> str:
        """Return a hash of the body's first ``BODY_PREFIX_BYTES``."""
        return xxhash.xxh3_128_hexdigest(self.body_prefix[:BODY_PREFIX_BYTES])

    @property
    def replayable(self) -> bool:
        """Whether the body can still be sent from its start."""
        return self.body_complete or not self.streaming_started

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the chunks of a body that is longer than the buffered prefix.

        :raises CallerGone: when the body ended early. The consumer must then abort its own
            request, so that the receiver does not take the body for complete.
        :raises BodyTooLarge: when the body exceeds the limit.
        """
        self.streaming_started = True
        yield self.body_prefix
        while (chunk := await self._next_chunk()) is not None:
            yield chunk

    async def run_while_connected(self, coro: Coroutine[Any, Any, T]) -> T:
        """Await ``coro``, and cancel it if the caller disconnects.

        :raises CallerGone: when the caller disconnected before ``coro`` was done.
        """
        try:
            async with asyncio.timeout(None) as self._wait_timeout:
                if self.disconnected.is_set():
                    self._cancel_wait()
                return await coro
        except TimeoutError as exc:
            if (
                self.disconnected.is_set()
                and self._wait_timeout is not None
                and self._wait_timeout.expired()
            ):
                raise CallerGone from exc
            raise
        finally:
            self._wait_timeout = None

    def _cancel_wait(self) -> None:
        if self._wait_timeout is not None:
            self._wait_timeout.reschedule(asyncio.get_running_loop().time())

    async def start_answer(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send status and headers."""
        self.answer_started = True
        raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        await self._send({"type": "http.response.start", "status": status, "headers": raw})

    async def send_chunk(self, chunk: bytes, *, more: bool) -> None:
        """Send a part of the answer; wait while the caller reads too slowly."""
        await self._send({"type": "http.response.body", "body": chunk, "more_body": more})

    async def answer(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        """Send a complete answer."""
        await self.start_answer(status, headers)
        await self.send_chunk(body, more=False)

    def close(self) -> None:
        """Stop reading from the connection."""
        self._task.cancel()
