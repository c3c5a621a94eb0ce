"""HTTP servers of a process and their listening sockets."""

from __future__ import annotations

import socket
from functools import partial
from typing import Any

import uvicorn

from rhubarbferry.serving.connections import BoundedHttpProtocol
from rhubarbferry.serving.listener import Listener
from rhubarbferry.serving.server import HttpServer

# Length of the queue of connections that wait to be accepted. When the queue is full, the kernel
# drops SYN packets; the client retransmits them after a second and sees a slow response.
ACCEPT_BACKLOG = 1024
# Time for requests in progress to complete once the server is stopped.
SHUTDOWN_GRACE_S = 1


def listen(address: str) -> socket.socket:
    """Return a socket that listens on ``ip:port``.

    The socket sets ``SO_REUSEADDR``, so that a process can bind its address right after a crash.
    Two processes that start at the same time may therefore both bind the address, and only the
    second call of ``listen()`` fails. It is called here because uvicorn exits the process when it
    fails there.

    :raises OSError: when the address is not available, e.g. because another process uses it.
    """
    ip, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, int(port)))
        sock.listen(ACCEPT_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def create_server(app: Any, *, listener: Listener) -> HttpServer:
    """Return an HTTP server for an ASGI application.

    :param app: the ASGI application.
    :param listener: limits of the connections.
    """
    protocol: Any = partial(BoundedHttpProtocol, listener=listener)
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=protocol,
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        log_level="critical",
        server_header=False,
        date_header=False,
        timeout_graceful_shutdown=SHUTDOWN_GRACE_S,
        backlog=ACCEPT_BACKLOG,
    )
    return HttpServer(config)
