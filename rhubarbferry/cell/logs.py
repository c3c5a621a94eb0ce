"""Write log lines to standard output: one JSON object per line, rate-limited, never blocking."""

from __future__ import annotations

import json
import os
import sys
import time
from typing import Any

from attrs import Factory, define
from loguru import logger
from prometheus_client import Counter

LINES_DROPPED = Counter(
    "rhubarbferry_log_lines_dropped_total", "Log lines that were not written", ["reason"]
)

# Rate limit of the lines of one event: the largest burst, and the sustained rate.
BURST_LINES = 400.0
LINES_PER_S = 150.0


class LineWriter:
    """Write lines to a file descriptor without waiting for its reader.

    :param fd: file descriptor, which is set to non-blocking mode.
    """

    def __init__(self, *, fd: int) -> None:
        self._fd = fd
        self._unsent = b""
        os.set_blocking(fd, False)

    def write(self, line: str) -> None:
        """Write one line, or drop and count it if it can't be written now."""
        # If the reader stops reading, the pipe fills up, and a blocking write would then stop the
        # whole process. Lines that do not fit are dropped and counted.
        data = self._unsent + line.encode(errors="replace") + b"\n"
        try:
            sent = os.write(self._fd, data)
        except BlockingIOError:
            LINES_DROPPED.labels("reader is slow").inc()
            return
        except OSError:
            LINES_DROPPED.labels("output is closed").inc()
            return
        self._unsent = data[sent:]


@define(kw_only=True, eq=False)
class _RateLimit:
    tokens: float = BURST_LINES
    refilled_at: float = 0.0
    suppressed: int = 0


@define(kw_only=True, eq=False)
class EventLog:
    """Structured log with one line for each decision about a request or change of internal state.

    :param member: name of this process, included in each line.
    """

    member: str
    writer: LineWriter
    _rate_limits: dict[str, _RateLimit] = Factory(dict)

    def emit(self, event: str, **fields: Any) -> None:
        """Write a line, unless the rate limit of its event is exceeded.

        :param event: name of the event.
        :param fields: ids, inputs of the decision, their age or version, and the outcome.
        """
        rate_limit = self._rate_limits.setdefault(event, _RateLimit(refilled_at=time.monotonic()))
        if not self._take_token(rate_limit):
            LINES_DROPPED.labels("too many of a kind").inc()
            return
        line = {"at": round(time.time(), 3), "member": self.member, "event": event, **fields}
        if rate_limit.suppressed:
            line["left_out"] = rate_limit.suppressed
        rate_limit.suppressed = 0
        self.writer.write(json.dumps(line, separators=(",", ":"), default=str))

    def _take_token(self, rate_limit: _RateLimit) -> bool:
        now = time.monotonic()
        refill = (now - rate_limit.refilled_at) * LINES_PER_S
        rate_limit.tokens = min(BURST_LINES, rate_limit.tokens + refill)
        rate_limit.refilled_at = now
        if rate_limit.tokens < 1:
            rate_limit.suppressed += 1
            return False
        rate_limit.tokens -= 1
        return True


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
