"""Run a stand-in's HTTP application on a free port, in a test's loop or as a process."""

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

START_S = 10.0
STOP_S = 1


class _Server(HttpServer):
    """A server that tells when it listens."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start as usual, then tell."""
        await super().startup(sockets=sockets)
        self.listening.set()


def bind(*, ip: str = "127.0.0.1", port: int = 0) -> socket.socket:
    """Return a bound socket; port 0 takes a free one."""
    # asyncio switches Nagle's algorithm off only on sockets that name TCP as their protocol.
    # Without that each answer in two pieces waits some 40 ms for a delayed acknowledgement.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    return sock


def address_of(sock: socket.socket) -> str:
    """Return ``ip:port`` of a bound socket."""
    ip, port = sock.getsockname()
    return f"{ip}:{port}"


def _server(app: Starlette) -> _Server:
    config = uvicorn.Config(
        app, log_level="critical", lifespan="off", timeout_graceful_shutdown=STOP_S
    )
    return _Server(config)


@asynccontextmanager
async def serving(app: Starlette, *, ip: str = "127.0.0.1", port: int = 0) -> AsyncIterator[str]:
    """Serve ``app`` in this loop; yield ``ip:port``."""
    sock = bind(ip=ip, port=port)
    server = _server(app)
    task = asyncio.create_task(server.serve(sockets=[sock]))
    try:
        async with asyncio.timeout(START_S):
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
