"""HTTP client for the etcd gateway; its errors state whether a call may have taken effect."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncGenerator, Mapping
from types import SimpleNamespace
from typing import Any

import aiohttp
from attrs import define

from rhubarbferry.adapters.etcd_wire import Json
from rhubarbferry.adapters.store_metrics import BYTES_IN, BYTES_OUT
from rhubarbferry.ports.store import (
    LeaseLost,
    StoreError,
    StoreRateLimited,
    StoreRefused,
    StoreUnavailable,
    StoreUnclear,
    WatchBroken,
)

MAX_CONNECTIONS = 32
MAX_LINE_BYTES = 64 * 1024 * 1024
JSON_HEADERS = {"Content-Type": "application/json"}

# gRPC status codes, which the gateway returns in the field "code" of an error.
INVALID_ARGUMENT = 3
NOT_FOUND = 5
PERMISSION_DENIED = 7
RESOURCE_EXHAUSTED = 8
UNAVAILABLE = 14
UNAUTHENTICATED = 16

# etcd returns this message only before it accepts a proposal. With other messages for UNAVAILABLE,
# such as "request timed out", the write may still take effect.
NO_LEADER_MESSAGE = "no leader"


@define(slots=True)
class CallProgress:
    """Progress of a call: before it has a connection, nothing can have been sent."""

    connected: bool = False


async def _mark_connected(
    _session: aiohttp.ClientSession, ctx: SimpleNamespace, _params: object
) -> None:
    progress = ctx.trace_request_ctx
    if isinstance(progress, CallProgress):
        progress.connected = True


def _trace_config() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_mark_connected)
    trace.on_connection_reuseconn.append(_mark_connected)
    return trace


class GatewayClient:
    """Connections to one gateway.

    Watches have their own connections, so that they never exhaust the pool for calls.

    :param url: base URL of the gateway, as ``http://ip:port``.
    :param timeout_s: timeout of one call in seconds, from the wait for a connection to the last
        byte.
    :param silence_timeout_s: a watch that receives nothing for this many seconds is closed.
    """

    def __init__(self, *, url: str, timeout_s: float, silence_timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._silence_timeout_s = silence_timeout_s
        self._call_session: aiohttp.ClientSession | None = None
        self._watch_session: aiohttp.ClientSession | None = None

    async def call(self, path: str, body: Json, *, write: bool) -> Json:
        """Send a request and return the response.

        :raises StoreUnavailable: when the call changed nothing.
        :raises StoreUnclear: when the call is a write and may have taken effect.
        :raises StoreRefused: when the store refused the call.
        """
        if self._call_session is None:
            self._call_session = self._new_session(MAX_CONNECTIONS)
        data = json.dumps(body).encode()
        progress = CallProgress()
        try:
            async with (
                asyncio.timeout(self._timeout_s),
                self._call_session.post(
                    self._url + path, data=data, headers=JSON_HEADERS, trace_request_ctx=progress
                ) as resp,
            ):
                BYTES_OUT.inc(len(data))
                payload = await resp.read()
                BYTES_IN.inc(len(payload))
                response = json.loads(payload)
        except (TimeoutError, aiohttp.ClientError, OSError, RuntimeError, ValueError) as exc:
            raise _transport_error(exc, may_have_effect=write and progress.connected) from exc
        if resp.status != 200:
            raise _error_from_response(response, write=write)
        return response

    async def stream(self, path: str, body: Json) -> AsyncGenerator[Json, None]:
        """Send a request and yield the JSON lines of the response.

        :raises WatchBroken: when the response ends or fails, or nothing is received for too long.
        """
        if self._watch_session is None:
            self._watch_session = self._new_session(0)
        data = json.dumps(body).encode()
        BYTES_OUT.inc(len(data))
        try:
            async with asyncio.timeout(self._timeout_s):
                resp = await self._watch_session.post(
                    self._url + path, data=data, headers=JSON_HEADERS
                )
        except (TimeoutError, aiohttp.ClientError, OSError, RuntimeError) as exc:
            raise WatchBroken(f"cannot watch {self._url}: {exc!r}; list the prefix again") from exc
        try:
            if resp.status != 200:
                raise WatchBroken(
                    f"the store refused the watch ({resp.status}); list the prefix again"
                )
            async for line in self._lines(resp):
                yield json.loads(line)
        finally:
            resp.close()

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._call_session, self._watch_session):
            if session is not None:
                await session.close()

    async def _lines(self, resp: aiohttp.ClientResponse) -> AsyncGenerator[bytes, None]:
        buffer = b""
        while True:
            try:
                # A middlebox may drop the state of a connection. Neither end is notified then, and
                # changes of ownership would never arrive. The store sends something at least once
                # a second, so a longer silence means that the connection is broken.
                async with asyncio.timeout(self._silence_timeout_s):
                    data = await resp.content.readany()
            except (TimeoutError, aiohttp.ClientError, OSError) as exc:
                raise WatchBroken(
                    f"the watch failed or received nothing: {exc!r}; list the prefix again"
                ) from exc
            if not data or len(buffer) > MAX_LINE_BYTES:
                raise WatchBroken("the watch ended; list the prefix again, then watch")
            BYTES_IN.inc(len(data))
            *lines, buffer = (buffer + data).split(b"\n")
            for line in lines:
                if line.strip():
                    yield line

    def _new_session(self, limit: int) -> aiohttp.ClientSession:
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=limit),
            timeout=aiohttp.ClientTimeout(total=None),
            trace_configs=[_trace_config()],
            auto_decompress=False,
        )


def _transport_error(exc: Exception, *, may_have_effect: bool) -> StoreError:
    if may_have_effect:
        return StoreUnclear(f"the write may have taken effect ({exc!r}); check before repeating it")
    return StoreUnavailable(f"the store is unreachable ({exc!r}); check [store] url and try again")


def _error_from_response(response: Any, *, write: bool) -> StoreError:
    error: Mapping[str, Any] = response if isinstance(response, dict) else {}
    message = str(error.get("message") or error.get("error") or error)
    code = error.get("code")
    if code == RESOURCE_EXHAUSTED:
        return StoreRateLimited(f"{message}; send fewer, larger batches")
    if code == NOT_FOUND:
        return LeaseLost(f"{message}; grant a new lease")
    if code in (INVALID_ARGUMENT, PERMISSION_DENIED, UNAUTHENTICATED):
        return StoreRefused(f"{message}; check the request and the permissions of this process")
    if write and not (code == UNAVAILABLE and NO_LEADER_MESSAGE in message):
        return StoreUnclear(
            f"{message}; the write may have taken effect, check before repeating it"
        )
    return StoreUnavailable(f"{message}; try again later")
