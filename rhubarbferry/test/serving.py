"""Serve the HTTP application of a stand-in, in the event loop of a test or as a process."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import uvicorn
from starlette.applications import Starlette

from rhubarbferry.serving.server import HttpServer

START_TIMEOUT_S = 10.0
SHUTDOWN_TIMEOUT_S = 1


class _Server(HttpServer):
    """HTTP server that sets an event once it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start the server, then set the event."""
        await super().startup(sockets=sockets)
        self.listening.set()


def bind(*, ip: str = "127.0.0.1", port: int = 0) -> socket.socket:
    """Return a bound TCP socket; port 0 selects a free port."""
    # asyncio disables Nagle's algorithm only on sockets created with the TCP protocol number. With
    # the algorithm enabled, an answer sent in two segments is delayed by about 40 ms until the
    # delayed acknowledgement arrives.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    return sock


def address_of(sock: socket.socket) -> str:
    """Return the ``ip:port`` of a bound socket."""
    ip, port = sock.getsockname()
    return f"{ip}:{port}"


def _server(app: Starlette) -> _Server:
    config = uvicorn.Config(
        app, log_level="critical", lifespan="off", timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S
    )
    return _Server(config)


@asynccontextmanager
async def serving(app: Starlette, *, ip: str = "127.0.0.1", port: int = 0) -> AsyncIterator[str]:
    """Serve ``app`` in the running event loop and yield its ``ip:port``."""
    sock = bind(ip=ip, port=port)
    server = _server(app)
    task = asyncio.create_task(server.serve(sockets=[sock]))
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            await server.listening.wait()
        yield address_of(sock)
    finally:
        server.should_exit = True
        await task
        sock.close()


async def serve_process(app: Starlette, *, ip: str, port: int) -> None:
    """Serve ``app`` until SIGTERM; print one JSON line with the address once it listens."""
    sock = bind(ip=ip, port=port)
    server = _server(app)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, setattr, server, "should_exit", True)
    task = asyncio.create_task(server.serve(sockets=[sock]))
    await server.listening.wait()
    print(json.dumps({"address": address_of(sock)}), flush=True)
    await task
