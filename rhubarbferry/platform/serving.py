"""The HTTP servers of a process and their sockets."""

from __future__ import annotations

import socket
from typing import Any

import uvicorn

from rhubarbferry.serving.connections import BoundedHttpProtocol
from rhubarbferry.serving.server import HttpServer

# Connections that wait to be accepted. When the queue is full the opening packet is dropped and
# sent again after a second, which a client sees as a slow answer.
BACKLOG = 1024
# How long requests in progress may take once the server is asked to end.
GRACE_S = 1


def listen(address: str) -> socket.socket:
    """Return a socket that listens on ``ip:port``.

    Two processes that start together may both bind the same address, as it may be used again
    right after a crash; only to listen there is refused to the second. Were that left to the
    server, the process would end instead.

    :raises OSError: when that is not possible, as when another process has the port.
    """
    ip, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, int(port)))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def serve(app: Any, *, idle_s: int) -> HttpServer:
    """Return a server for an ASGI application.

    :param idle_s: how long a connection may be idle.
    """
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=BoundedHttpProtocol,
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        log_level="critical",
        server_header=False,
        date_header=False,
        timeout_keep_alive=idle_s,
        timeout_graceful_shutdown=GRACE_S,
        backlog=BACKLOG,
    )
    return HttpServer(config)
