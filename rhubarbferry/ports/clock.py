"""Clock protocol, so that tests can replace the clock of the system."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of time for code that must not read the system clock directly."""

    def monotonic(self) -> float:
        """Return the seconds of a clock of this process that never goes back."""
        ...

    def wall(self) -> float:
        """Return the seconds since the Unix epoch; use them in records, never for leases."""
        ...

    async def sleep(self, seconds: float) -> None:
        """Sleep for ``seconds`` on the monotonic clock."""
        ...


class SystemClock:
    """The clock of the operating system.

    ``CLOCK_BOOTTIME`` advances while a process is stopped and while its host is suspended. A
    process that is paused for longer than its lease therefore finds the lease expired as soon as
    it resumes. ``CLOCK_MONOTONIC`` doesn't advance while a host is suspended.
    """

    def monotonic(self) -> float:
        """Return the seconds of ``CLOCK_BOOTTIME``, which includes suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Sleep for ``seconds`` on the event loop."""
        await asyncio.sleep(seconds)
