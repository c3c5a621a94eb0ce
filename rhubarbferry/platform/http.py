"""JSON over HTTP/1.1 to the platform's services, with a time limit on each call."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import aiohttp
from attrs import define, frozen

# Connections stay open between calls, since a new one is paid for and takes a round trip more.
KEEP_OPEN_S = 30.0
# A round trip between regions, and time for a busy host.
CONNECT_S = 0.3
# Connections to one address at a time.
CONNECTIONS_PER_ADDRESS = 32


class NotSent(Exception):
    """No connection was made, so the call has had no effect."""


class NoAnswer(Exception):
    """The call went out and no whole answer came: it may have had effect, or may yet.

    :param received_bytes: how much of the answer's body had come.
    """

    def __init__(self, message: str, *, received_bytes: int = 0) -> None:
        super().__init__(message)
        self.received_bytes = received_bytes


@frozen(kw_only=True, slots=True)
class Answer:
    """An answer that came whole.

    :param body: the decoded JSON body; ``None`` when it is empty or no JSON.
    :param transfer_s: seconds between the arrival of its headers and that of its last byte.
    """

    status: int
    body: Any
    headers: Any
    transfer_s: float = 0.0


@frozen(kw_only=True, slots=True)
class TransferLimit:
    """How long the body of an answer may take, once its headers have come.

    :param idle_s: longest time without any of it.
    :param total_s: longest time for all of it.
    """

    idle_s: float
    total_s: float


@define(kw_only=True, slots=True)
class _Progress:
    """How far a call has come.

    :param timeout: ends the call.
    :param transfer: what applies in its place to the body of the answer.
    """

    timeout: asyncio.Timeout
    transfer: TransferLimit | None
    connected: bool = False
    received_bytes: int = 0
    _ends_at: float = float("inf")

    def begin_transfer(self, now: float) -> None:
        """Note that the headers of the answer have come."""
        if self.transfer is not None:
            self._ends_at = now + self.transfer.total_s
            self._extend(now, self.transfer)

    def received(self, part: bytes, now: float) -> None:
        """Note a part of the answer's body."""
        self.received_bytes += len(part)
        if self.transfer is not None:
            self._extend(now, self.transfer)

    def _extend(self, now: float, transfer: TransferLimit) -> None:
        self.timeout.reschedule(min(now + transfer.idle_s, self._ends_at))


async def _note_connected(
    _session: aiohttp.ClientSession, ctx: SimpleNamespace, _params: object
) -> None:
    if isinstance(ctx.trace_request_ctx, _Progress):
        ctx.trace_request_ctx.connected = True


def _trace() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_note_connected)
    trace.on_connection_reuseconn.append(_note_connected)
    return trace


class JsonClient:
    """Calls of one process to one kind of service.

    :param extra_s: returns by how many seconds to extend time limits, as this process is behind.
    :param connections: to one address at a time; calls beyond that wait, within their time limits.
    """

    def __init__(
        self,
        *,
        extra_s: Callable[[], float] = lambda: 0.0,
        connections: int = CONNECTIONS_PER_ADDRESS,
    ) -> None:
        self._extra_s = extra_s
        self._connections = connections
        self._session: aiohttp.ClientSession | None = None

    async def call(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        transfer: TransferLimit | None = None,
        body: Any = None,
        query: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request and return its answer.

        A connection may go silent for good without a reset. The time limit ends such a call,
        and its connection is dropped with it, so the next call opens a new one.

        :param timeout_s: for the whole call; with ``transfer`` until the headers of the answer.
        :param transfer: for the body of the answer, so that a large one may take its time on a
            slow link while it makes progress.

        :raises NotSent: when no connection could be made in time.
        :raises NoAnswer: when anything went wrong after that.
        """
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        sent_headers = dict(headers or {})
        if data is not None:
            sent_headers["Content-Type"] = "application/json"
        timeout = asyncio.timeout(timeout_s + self._extra_s())
        progress = _Progress(timeout=timeout, transfer=transfer)
        begun = asyncio.get_running_loop().time()
        try:
            async with timeout:
                return await self._connect_and_send(
                    method, url, progress, data=data, params=query, headers=sent_headers
                )
        except (TimeoutError, aiohttp.ClientError, OSError, RuntimeError) as exc:
            took_s = asyncio.get_running_loop().time() - begun
            failure = f"{method} {url}: {exc!r} after {took_s:.2f} s"
            if progress.connected:
                received = progress.received_bytes
                raise NoAnswer(
                    f"{failure}, {received} bytes of the body read", received_bytes=received
                ) from exc
            raise NotSent(failure) from exc

    async def _connect_and_send(
        self, method: str, url: str, progress: _Progress, **options: Any
    ) -> Answer:
        while True:
            try:
                return await self._send(method, url, progress, **options)
            except aiohttp.ConnectionTimeoutError:
                # The opening packet was lost, and nothing was sent. The system sends it again only
                # after a second; another connection is there sooner.
                continue

    async def _send(self, method: str, url: str, progress: _Progress, **options: Any) -> Answer:
        loop = asyncio.get_running_loop()
        connect = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S + self._extra_s())
        request = self._opened().request(
            method, url, trace_request_ctx=progress, timeout=connect, **options
        )
        async with request as resp:
            begun = loop.time()
            progress.begin_transfer(begun)
            payload = await _read_body(resp, progress)
            return Answer(
                status=resp.status,
                body=_decoded(payload),
                headers=resp.headers,
                transfer_s=loop.time() - begun,
            )

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, limit_per_host=self._connections, keepalive_timeout=KEEP_OPEN_S
                ),
                trace_configs=[_trace()],
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
            )
        return self._session

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


async def _read_body(resp: aiohttp.ClientResponse, progress: _Progress) -> bytes:
    loop = asyncio.get_running_loop()
    parts = []
    async for part in resp.content.iter_any():
        progress.received(part, loop.time())
        parts.append(part)
    return b"".join(parts)


def _decoded(payload: bytes) -> Any:
    if not payload:
        return None
    try:
        return json.loads(payload)
    except ValueError:
        return None
