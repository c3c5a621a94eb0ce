"""Change notification for state that tasks wait on, and waits with a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any

from rhubarbferry.ports.clock import Clock


class ChangeNotifier:
    """A change counter that tasks can wait on; changes between two waits are not missed."""

    def __init__(self) -> None:
        self.version = 0
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Increment the version and wake all waiting tasks."""
        self.version += 1
        event, self._event = self._event, asyncio.Event()
        event.set()

    async def changed(self, since: int) -> None:
        """Wait until the version differs from ``since``."""
        while self.version == since:
            await self._event.wait()


async def wait_at_most(clock: Clock, seconds: float, awaitable: Awaitable[Any]) -> bool:
    """Wait for ``awaitable`` for at most ``seconds``; return whether it finished."""
    task = asyncio.ensure_future(awaitable)
    timeout = asyncio.ensure_future(clock.sleep(seconds))
    try:
        await asyncio.wait({task, timeout}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            return False
        task.result()
        return True
    finally:
        task.cancel()
        timeout.cancel()
