"""Client for the platform's JSON services over HTTP/1.1, with a timeout on each call."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import aiohttp
from attrs import define, frozen

from rhubarbferry.platform.documents import InvalidDocument, decode_json

# Connections are kept open between calls: a new one is billed and takes one more round trip.
KEEP_ALIVE_TIMEOUT_S = 30.0
# Allows for one round trip between regions and for a busy host.
CONNECT_TIMEOUT_S = 0.3
# Default limit of concurrent connections to one address.
MAX_CONNECTIONS_PER_ADDRESS = 32


class NotSent(Exception):
    """No connection was established, so the call has had no effect."""


class NoAnswer(Exception):
    """No complete response to a sent call was received; the call may or may not take effect.

    :param received_bytes: number of bytes of the response body that were received.
    """

    def __init__(self, message: str, *, received_bytes: int = 0) -> None:
        super().__init__(message)
        self.received_bytes = received_bytes


@frozen(kw_only=True, slots=True)
class Response:
    """A complete response.

    :param body: the decoded JSON body; ``None`` when it is empty or not valid JSON.
    :param transfer_s: seconds from the arrival of the headers to the arrival of the last byte.
    """

    status: int
    body: Any
    headers: Any
    transfer_s: float = 0.0


@frozen(kw_only=True, slots=True)
class TransferLimit:
    """Timeouts for receiving the body of a response, counted from the arrival of its headers.

    :param idle_s: longest time without receiving any bytes.
    :param total_s: longest time for the complete body.
    """

    idle_s: float
    total_s: float


@define(kw_only=True, slots=True)
class _CallProgress:
    """Progress of one call.

    :param timeout: cancels the call when it expires.
    :param transfer: timeouts that replace it while the response body is received.
    :param on_connected: called when there is a connection for the request.
    """

    timeout: asyncio.Timeout
    transfer: TransferLimit | None
    on_connected: Callable[[], None] | None = None
    connected: bool = False
    received_bytes: int = 0
    _transfer_deadline: float = float("inf")

    def mark_connected(self) -> None:
        """Record that there is a connection, to which the request is written next."""
        self.connected = True
        if self.on_connected is not None:
            self.on_connected()

    def start_transfer(self, now: float) -> None:
        """Apply the transfer timeouts once the response headers have arrived."""
        if self.transfer is not None:
            self._transfer_deadline = now + self.transfer.total_s
            self._restart_idle_timeout(now, self.transfer)

    def add_received(self, chunk: bytes, now: float) -> None:
        """Count a chunk of the response body and restart the idle timeout."""
        self.received_bytes += len(chunk)
        if self.transfer is not None:
            self._restart_idle_timeout(now, self.transfer)

    def _restart_idle_timeout(self, now: float, transfer: TransferLimit) -> None:
        self.timeout.reschedule(min(now + transfer.idle_s, self._transfer_deadline))


async def _mark_connected(
    _session: aiohttp.ClientSession, ctx: SimpleNamespace, _params: object
) -> None:
    if isinstance(ctx.trace_request_ctx, _CallProgress):
        ctx.trace_request_ctx.mark_connected()


def _connection_trace() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_mark_connected)
    trace.on_connection_reuseconn.append(_mark_connected)
    return trace


class JsonClient:
    """Client for one kind of JSON service, which may have several addresses.

    :param extra_timeout_s: returns the seconds to add to each timeout, to allow for delays of this
        process's event loop.
    :param max_connections: limit of concurrent connections to one address; further calls wait,
        which counts towards their timeouts.
    """

    def __init__(
        self,
        *,
        extra_timeout_s: Callable[[], float] = lambda: 0.0,
        max_connections: int = MAX_CONNECTIONS_PER_ADDRESS,
    ) -> None:
        self._extra_timeout_s = extra_timeout_s
        self._max_connections = max_connections
        self._session: aiohttp.ClientSession | None = None

    async def call(
        self,
        method: str,
        url: str,
        *,
        timeout_s: float,
        transfer: TransferLimit | None = None,
        on_connected: Callable[[], None] | None = None,
        body: Any = None,
        query: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send one request and return its response.

        A connection may stop carrying data without being reset. The timeout ends the call and
        closes such a connection, so that the next call opens a new one.

        :param timeout_s: timeout for the complete call; with ``transfer``, until the response
            headers arrive.
        :param transfer: timeouts for the response body, which allow a large body on a slow link
            as long as it makes progress.
        :param on_connected: called when there is a connection, just before the request is written.

        :raises NotSent: when no connection could be established in time.
        :raises NoAnswer: when the call failed after a connection was established.
        """
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        sent_headers = dict(headers or {})
        if data is not None:
            sent_headers["Content-Type"] = "application/json"
        timeout = asyncio.timeout(timeout_s + self._extra_timeout_s())
        progress = _CallProgress(timeout=timeout, transfer=transfer, on_connected=on_connected)
        started_at = asyncio.get_running_loop().time()
        try:
            async with timeout:
                return await self._send_with_reconnect(
                    method, url, progress, data=data, params=query, headers=sent_headers
                )
        except (TimeoutError, aiohttp.ClientError, OSError, RuntimeError, ValueError) as exc:
            elapsed_s = asyncio.get_running_loop().time() - started_at
            failure = f"{method} {url}: {exc!r} after {elapsed_s:.2f} s"
            if progress.connected:
                received_bytes = progress.received_bytes
                raise NoAnswer(
                    f"{failure}, {received_bytes} bytes of the body read",
                    received_bytes=received_bytes,
                ) from exc
            raise NotSent(failure) from exc

    async def _send_with_reconnect(
        self, method: str, url: str, progress: _CallProgress, **options: Any
    ) -> Response:
        while True:
            try:
                return await self._send(method, url, progress, **options)
            except aiohttp.ConnectionTimeoutError:
                # The SYN packet was lost, and no data was sent. The kernel retransmits it only
                # after a second; opening another connection is faster.
                continue

    async def _send(
        self, method: str, url: str, progress: _CallProgress, **options: Any
    ) -> Response:
        loop = asyncio.get_running_loop()
        connect_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S + self._extra_timeout_s()
        )
        request = self._get_session().request(
            method, url, trace_request_ctx=progress, timeout=connect_timeout, **options
        )
        async with request as resp:
            started_at = loop.time()
            progress.start_transfer(started_at)
            payload = await _read_body(resp, progress)
            return Response(
                status=resp.status,
                body=_decode_json(payload),
                headers=resp.headers,
                transfer_s=loop.time() - started_at,
            )

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0,
                    limit_per_host=self._max_connections,
                    keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
                ),
                trace_configs=[_connection_trace()],
                auto_decompress=False,
                skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
            )
        return self._session

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


async def _read_body(resp: aiohttp.ClientResponse, progress: _CallProgress) -> bytes:
    loop = asyncio.get_running_loop()
    chunks = []
    async for chunk in resp.content.iter_any():
        progress.add_received(chunk, loop.time())
        chunks.append(chunk)
    return b"".join(chunks)


def _decode_json(payload: bytes) -> Any:
    if not payload:
        return None
    try:
        return decode_json(payload)
    except InvalidDocument:
        return None
