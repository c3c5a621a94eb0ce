"""A uvicorn server that does not handle signals."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import uvicorn

from rhubarbferry.serving.limits import ACCEPTS_AT_ONCE

# The Date header, where it is enabled, has a resolution of one second.
DATE_REFRESH_INTERVAL_S = 1.0


class HttpServer(uvicorn.Server):
    """A uvicorn server without signal handlers.

    After shutdown, uvicorn raises the received signal again, which would terminate the process
    before it has handed over its work.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stopping = asyncio.Event()

    def stop(self) -> None:
        """Stop serving after the requests in progress or the grace period have ended."""
        self.should_exit = True
        self._stopping.set()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start serving the sockets.

        asyncio uses one number for the length of the queue of new connections and for the number
        that it accepts at once.
        """
        queue_length = self.config.backlog
        self.config.backlog = min(queue_length, ACCEPTS_AT_ONCE)
        await super().startup(sockets=sockets)
        for sock in sockets or ():
            sock.listen(queue_length)

    async def main_loop(self) -> None:
        """Wait until the server is stopped.

        The loop of uvicorn wakes up ten times per second to check whether to stop.
        """
        refresh_interval_s = DATE_REFRESH_INTERVAL_S if self.config.date_header else None
        while not await self.on_tick(0):
            with suppress(TimeoutError):
                async with asyncio.timeout(refresh_interval_s):
                    await self._stopping.wait()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield
