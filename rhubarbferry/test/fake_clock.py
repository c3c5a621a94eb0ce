"""A clock whose time advances only when a test advances it."""

from __future__ import annotations

import asyncio
import heapq
import itertools

SETTLE_ROUNDS = 20


class FakeClock:
    """Implement ``ports.clock.Clock``; ``advance`` wakes sleeping tasks in deadline order."""

    def __init__(self, *, now: float = 1000.0) -> None:
        self._now = now
        self._sequence = itertools.count()
        self._sleeping: list[tuple[float, int, asyncio.Future[None]]] = []

    def monotonic(self) -> float:
        """Return the current fake time."""
        return self._now

    def wall(self) -> float:
        """Return the current fake time as wall-clock time."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Block until the fake time has advanced by ``seconds``."""
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleeping, (self._now + seconds, next(self._sequence), future))
        await future

    async def advance(self, seconds: float) -> None:
        """Advance the time, pausing at each sleep deadline so that the woken tasks can run."""
        end_time = self._now + seconds
        await run_ready_tasks()
        while self._sleeping and self._sleeping[0][0] <= end_time:
            wake_time, _, future = heapq.heappop(self._sleeping)
            if not future.done():
                self._now = max(self._now, wake_time)
                future.set_result(None)
                await run_ready_tasks()
        self._now = end_time
        await run_ready_tasks()

    def wake(self) -> None:
        """Wake all tasks whose sleep has ended, without running them."""
        while self._sleeping and self._sleeping[0][0] <= self._now:
            _, _, future = heapq.heappop(self._sleeping)
            if not future.done():
                future.set_result(None)

    def jump(self, seconds: float) -> None:
        """Advance the time without running any task, as for a suspended process."""
        self._now += seconds


async def run_ready_tasks() -> None:
    """Let all ready tasks run."""
    for _ in range(SETTLE_ROUNDS):
        await asyncio.sleep(0)
