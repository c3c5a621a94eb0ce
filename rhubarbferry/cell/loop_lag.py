"""Measure the lag of this process's event loop."""

from __future__ import annotations

import asyncio

from attrs import define
from prometheus_client import Gauge, Histogram

from rhubarbferry.cell.logs import EventLog

LAG_SECONDS = Histogram(
    "rhubarbferry_loop_lag_seconds",
    "Delay between the due time of a timer and its execution by the event loop",
    buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5),
)
LONGEST_LAG_SECONDS = Gauge(
    "rhubarbferry_loop_longest_lag_seconds",
    "Longest lag of the event loop since the process started",
)

SAMPLE_INTERVAL_S = 0.1
# Factor by which a lag decreases per sample while newer samples are lower.
DECAY_PER_SAMPLE = 0.8
# Up to this lag a process keeps up with its work. Above it, the process limits its concurrency.
LAG_GOAL_S = 0.05
# A lag of at least this is logged, at most once per interval.
STALL_THRESHOLD_S = 0.25
STALL_LOG_INTERVAL_S = 1.0
# Upper bound of the recorded lag: a process that was suspended measures a long lag although it is
# not overloaded.
MAX_LAG_S = 0.5
# Approximate number of event loop iterations that a call waits for: connection, request,
# headers and the body of the answer.
LOOP_ITERATIONS_PER_CALL = 4


@define(kw_only=True, eq=False)
class LoopLag:
    """Measure how late the event loop runs timers that are due.

    On a busy processor an answer may arrive but remain unread until the call times out. The call is
    then retried on a new connection, which keeps the processor busy even after the original cause
    is gone. Timeouts are meant to limit the other side's delay, so each is extended by
    :meth:`per_call_s`.

    :ivar lag_s: recent lag in seconds, at most ``MAX_LAG_S``.
    """

    log: EventLog
    lag_s: float = 0.0
    _longest_s: float = 0.0
    _logged_at: float = float("-inf")

    def per_call_s(self) -> float:
        """Return the seconds by which this process's lag prolongs a call."""
        return LOOP_ITERATIONS_PER_CALL * self.lag_s

    async def run(self) -> None:
        """Measure until cancelled."""
        # The loop's clock does not advance while the system is suspended.
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self.observe(loop.time() - due_at, now=loop.time())

    def observe(self, late_s: float, *, now: float) -> None:
        """Record one sample.

        :param late_s: how late the timer ran, in seconds.
        :param now: time of the sample on the loop's clock.
        """
        late_s = max(0.0, late_s)
        LAG_SECONDS.observe(late_s)
        self.lag_s = min(MAX_LAG_S, max(late_s, self.lag_s * DECAY_PER_SAMPLE))
        if late_s > self._longest_s:
            self._longest_s = late_s
            LONGEST_LAG_SECONDS.set(late_s)
        if late_s >= STALL_THRESHOLD_S and now - self._logged_at >= STALL_LOG_INTERVAL_S:
            self._logged_at = now
            self.log.emit(
                "loop.stalled", lag_s=round(late_s, 3), longest_s=round(self._longest_s, 3)
            )
