"""Background tasks that a drain waits for."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class Background:
    """Hold references to running tasks, and wait for them when the process stops."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coro: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run ``coro`` as a task; log its exception if it fails."""
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            logger.opt(exception=exc).error("background task failed")

    async def finish(self, within_s: float) -> None:
        """Wait up to ``within_s`` seconds for all tasks, then cancel the rest."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=max(0.0, within_s))
        left = set(self._tasks)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
