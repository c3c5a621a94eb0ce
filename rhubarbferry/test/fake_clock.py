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
        self._numbers = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def monotonic(self) -> float:
        """Return the current fake time."""
        return self._now

    def wall(self) -> float:
        """Return the current fake time as wall-clock time."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Block until the fake time has advanced by ``seconds``."""
        fut = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleepers, (self._now + seconds, next(self._numbers), fut))
        await fut

    async def advance(self, seconds: float) -> None:
        """Advance the time, pausing at each sleep deadline so that the woken tasks can run."""
        until = self._now + seconds
        await settle()
        while self._sleepers and self._sleepers[0][0] <= until:
            end, _, fut = heapq.heappop(self._sleepers)
            if not fut.done():
                self._now = max(self._now, end)
                fut.set_result(None)
                await settle()
        self._now = until
        await settle()

    def wake(self) -> None:
        """Wake all tasks whose sleep has ended, without running them."""
        while self._sleepers and self._sleepers[0][0] <= self._now:
            _, _, fut = heapq.heappop(self._sleepers)
            if not fut.done():
                fut.set_result(None)

    def jump(self, seconds: float) -> None:
        """Advance the time without running any task, as for a suspended process."""
        self._now += seconds


async def settle() -> None:
    """Let all ready tasks run."""
    for _ in range(SETTLE_ROUNDS):
        await asyncio.sleep(0)
