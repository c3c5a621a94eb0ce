"""Server for one service of the IDL."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
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

Handler = Callable[[Any], Awaitable[Any]]

CALLS = Counter("rhubarbferry_rpc_calls_total", "Calls served", ["method"])
FAILED_CALLS = Counter(
    "rhubarbferry_rpc_failed_calls_total", "Calls whose handler failed", ["method"]
)

MAX_CALLS_PER_CONNECTION = 4096


class Server:
    """Accept connections and run a task for each call, so that replies may be sent in any order.

    :param service: the service from the IDL.
    :param handlers: an async function for each method.
    """

    def __init__(self, *, service: Service, handlers: Mapping[str, Handler]) -> None:
        self._service = service
        self._handlers = dict(handlers)
        self._server: asyncio.Server | None = None
        self._conns: set[asyncio.Task[None]] = set()
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Start listening and set ``address``; with ``port`` 0 a free port is chosen."""
        self._server = await asyncio.start_server(self._accept, host, port, backlog=1024)
        listen_address = self._server.sockets[0].getsockname()
        self.address = f"{listen_address[0]}:{listen_address[1]}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._conns.add(task)
        calls: set[asyncio.Task[None]] = set()
        # When calls arrive faster than they are served, reading stops at this limit. TCP flow
        # control then slows the peer down, and the memory for pending calls stays bounded.
        frame_writer = FrameWriter(writer)
        call_slots = asyncio.Semaphore(MAX_CALLS_PER_CONNECTION)
        try:
            while (payload := await read_frame(reader)) is not None:
                call = decode_call(self._service, payload)
                await call_slots.acquire()
                call_task = asyncio.create_task(self._serve(call, frame_writer))
                calls.add(call_task)
                call_task.add_done_callback(calls.discard)
                call_task.add_done_callback(lambda _: call_slots.release())
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
            frame_writer.flush()
            frame_writer.abort()
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
            await frame_writer.drain()
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
