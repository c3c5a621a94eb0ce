"""How far the event loop of this process is behind."""

from __future__ import annotations

import asyncio

from attrs import define
from prometheus_client import Gauge, Histogram

from rhubarbferry.cell.logs import EventLog

LAG_SECONDS = Histogram(
    "rhubarbferry_loop_lag_seconds",
    "How late the event loop ran a timer",
    buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5),
)
LONGEST = Gauge("rhubarbferry_loop_longest_lag_seconds", "Longest lag of the event loop so far")

TICK_S = 0.1
# What is left of an observed lag at the next tick, where the loop is less behind by then.
DECAY = 0.8
# Up to this lag a process keeps up; further behind it does less at once.
LAG_GOAL_S = 0.05
# A lag above this gets a log line, at most one in each interval.
STALL_S = 0.25
STALL_LOG_INTERVAL_S = 1.0
# A process that was suspended is not slow, so no observation counts for more than this.
MOST_LAG_S = 0.5
# A call passes through the event loop about so often: its connection, its request, the headers and
# the body of its answer.
TURNS_PER_CALL = 4


@define(kw_only=True, eq=False)
class LoopLag:
    """Measures how late this process gets to what is due.

    On a busy processor an answer may lie unread while the time limit of its call runs out. The call
    is then sent again, on a new connection, which keeps the processor busy even after what made it
    so has gone. So time limits of calls, which are for the other side, are extended by
    :meth:`per_call_s`.

    :ivar lag_s: recent lag in seconds, at most ``MOST_LAG_S``.
    """

    log: EventLog
    lag_s: float = 0.0
    _longest_s: float = 0.0
    _logged_at: float = float("-inf")

    def per_call_s(self) -> float:
        """Return how much longer a call takes by the lag of this process."""
        return TURNS_PER_CALL * self.lag_s

    async def run(self) -> None:
        """Measure until cancelled."""
        # The loop's own clock stands still while the process is suspended.
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self.note(loop.time() - due_at, now=loop.time())

    def note(self, late_s: float, *, now: float) -> None:
        """Work in one observation."""
        late_s = max(0.0, late_s)
        LAG_SECONDS.observe(late_s)
        self.lag_s = min(MOST_LAG_S, max(late_s, self.lag_s * DECAY))
        if late_s > self._longest_s:
            self._longest_s = late_s
            LONGEST.set(late_s)
        if late_s >= STALL_S and now - self._logged_at >= STALL_LOG_INTERVAL_S:
            self._logged_at = now
            self.log.emit(
                "loop.stalled", lag_s=round(late_s, 3), longest_s=round(self._longest_s, 3)
            )
