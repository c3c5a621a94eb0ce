"""Time as the library sees it, so that tests can bring their own."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Give time to code that must not read it by itself."""

    def monotonic(self) -> float:
        """Return seconds on a clock of this process that never goes back."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch; for records only, never for leases."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Return after ``seconds`` on the monotonic clock."""
        ...


class SystemClock:
    """The clock of the operating system.

    ``CLOCK_BOOTTIME`` goes on while a process is stopped and while its machine is suspended, so
    a process that is paused past its lease sees on its first look at the clock that the lease
    is over. ``CLOCK_MONOTONIC`` stands still in a suspended machine.
    """

    def monotonic(self) -> float:
        """Return seconds on the clock that also counts suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Sleep on the event loop."""
        await asyncio.sleep(seconds)
