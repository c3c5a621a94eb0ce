"""Write log lines to standard output: one JSON object per line, rate-limited, never blocking."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from collections import Counter as Counts
from collections.abc import Mapping
from typing import Any

from attrs import Factory, define, frozen
from loguru import logger
from prometheus_client import Counter

LINES_DROPPED = Counter(
    "rhubarbferry_log_lines_dropped_total", "Log lines that were not written", ["reason"]
)
EVENT_LINES_DROPPED = Counter(
    "rhubarbferry_log_event_lines_dropped_total",
    "Log lines that were not written, by their event",
    ["event"],
)

# Rate limit of the lines of one event: the largest burst, and the sustained rate.
BURST_LINES = 400.0
LINES_PER_S = 150.0
# Rate limit of the lines of start orders, one for each copy of an order.
START_BURST_LINES = 1200.0
START_LINES_PER_S = 480.0
# Interval between two lines that count the dropped lines.
DROPPED_REPORT_INTERVAL_S = 5.0


class LineWriter:
    """Write lines to a file descriptor without waiting for its reader.

    :param fd: file descriptor, which is set to non-blocking mode.
    """

    def __init__(self, *, fd: int) -> None:
        self._fd = fd
        self._unsent = b""
        os.set_blocking(fd, False)

    def write(self, line: str) -> str:
        """Write one line; return why it was dropped if it can't be written now, else ``""``."""
        # If the reader stops reading, the pipe fills up, and a blocking write would then stop the
        # whole process. Lines that do not fit are dropped.
        data = self._unsent + line.encode(errors="replace") + b"\n"
        try:
            sent = os.write(self._fd, data)
        except BlockingIOError:
            return "reader is slow"
        except OSError:
            return "output is closed"
        self._unsent = data[sent:]
        return ""


@frozen(kw_only=True, slots=True)
class RateLimit:
    """Limit of the lines of one event."""

    burst_lines: float = BURST_LINES
    lines_per_s: float = LINES_PER_S


EVENT_LIMITS: Mapping[str, RateLimit] = {
    "task.start": RateLimit(burst_lines=START_BURST_LINES, lines_per_s=START_LINES_PER_S),
}


@define(kw_only=True, eq=False)
class _Bucket:
    limit: RateLimit
    tokens: float
    refilled_at: float
    suppressed: int = 0

    def take_token(self, now: float) -> bool:
        refill = (now - self.refilled_at) * self.limit.lines_per_s
        self.tokens = min(self.limit.burst_lines, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@define(kw_only=True, eq=False)
class EventLog:
    """Structured log with one line for each decision about a request or change of internal state.

    :param member: name of this process, included in each line.
    """

    member: str
    writer: LineWriter
    _buckets: dict[str, _Bucket] = Factory(dict)
    _dropped: Counts[str] = Factory(Counts)
    _drop_reasons: Counts[str] = Factory(Counts)

    def emit(self, event: str, **fields: Any) -> None:
        """Write a line, unless the rate limit of its event is exceeded.

        :param event: name of the event.
        :param fields: ids, inputs of the decision, their age or version, and the outcome.
        """
        now = time.monotonic()
        bucket = self._buckets.get(event)
        if bucket is None:
            limit = EVENT_LIMITS.get(event, RateLimit())
            bucket = _Bucket(limit=limit, tokens=limit.burst_lines, refilled_at=now)
            self._buckets[event] = bucket
        if not bucket.take_token(now):
            bucket.suppressed += 1
            self._count_dropped(event, "too many of a kind")
            return
        if bucket.suppressed:
            fields["left_out"] = bucket.suppressed
        reason = self._write(event, fields)
        if reason:
            self._count_dropped(event, reason)
            return
        bucket.suppressed = 0

    def _write(self, event: str, fields: dict[str, Any]) -> str:
        line = {"at": round(time.time(), 3), "member": self.member, "event": event, **fields}
        return self.writer.write(json.dumps(line, separators=(",", ":"), default=str))

    def _count_dropped(self, event: str, reason: str) -> None:
        LINES_DROPPED.labels(reason).inc()
        EVENT_LINES_DROPPED.labels(event).inc()
        self._dropped[event] += 1
        self._drop_reasons[reason] += 1

    async def run(self) -> None:
        """Report dropped lines until cancelled, and once more then."""
        try:
            while True:
                await asyncio.sleep(DROPPED_REPORT_INTERVAL_S)
                self.report_dropped()
        finally:
            self.report_dropped()

    def report_dropped(self) -> None:
        """Write a line that counts the lines dropped since the last one, if there are any.

        A count on the next line of an event would not be seen if no such line followed.
        """
        if not self._dropped:
            return
        fields = {
            "lines": sum(self._dropped.values()),
            "events": dict(self._dropped.most_common()),
            "reasons": dict(self._drop_reasons),
        }
        if not self._write("log.dropped", fields):
            self._dropped.clear()
            self._drop_reasons.clear()


def configure_logging(*, member: str) -> EventLog:
    """Return the process's log, and route the log lines of loguru to it as well."""
    log = EventLog(member=member, writer=LineWriter(fd=sys.stdout.fileno()))

    def sink(message: Any) -> None:
        record = message.record
        text = record["message"]
        if record["exception"] is not None:
            text = str(message)
        log.emit("log", level=record["level"].name, text=text[:2000])

    logger.remove()
    logger.add(sink, level="INFO", format="{message}", backtrace=False, diagnose=False)
    return log
