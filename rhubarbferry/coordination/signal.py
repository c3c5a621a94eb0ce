"""Wait for changes of state, with a bound on each wait."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any

from rhubarbferry.ports.clock import Clock


class Signal:
    """A counter of changes that tasks can wait on; no change is missed between two waits."""

    def __init__(self) -> None:
        self.version = 0
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Count a change and wake all who wait."""
        self.version += 1
        event, self._event = self._event, asyncio.Event()
        event.set()

    async def changed(self, since: int) -> None:
        """Return when the version is no longer ``since``."""
        while self.version == since:
            await self._event.wait()


async def wait_at_most(clock: Clock, seconds: float, awaitable: Awaitable[Any]) -> bool:
    """Wait for ``awaitable``, but not longer than ``seconds``; tell whether it finished."""
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
