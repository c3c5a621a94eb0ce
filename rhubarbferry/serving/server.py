"""A uvicorn server that leaves the signals to its process."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import uvicorn

# The Date header of answers, where there is one, shows seconds.
DATE_S = 1.0


class HttpServer(uvicorn.Server):
    """A server without signal handlers of its own.

    Those of uvicorn would end the process by the signal that stopped it, before its work is
    handed over.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stopping = asyncio.Event()

    def stop(self) -> None:
        """Stop serving, once the requests in progress are done or their grace period is over."""
        self.should_exit = True
        self._stopping.set()

    async def main_loop(self) -> None:
        """Wait until the server is stopped.

        That of uvicorn wakes up ten times a second to see whether it is to stop.
        """
        date_s = DATE_S if self.config.date_header else None
        while not await self.on_tick(0):
            with suppress(TimeoutError):
                async with asyncio.timeout(date_s):
                    await self._stopping.wait()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signals alone."""
        yield
