"""Log lines on standard output: one JSON object a line, bounded in number, never blocking."""

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

# Lines of one kind: at most this many at once and, lasting, this many a second.
BURST_LINES = 400.0
LINES_PER_S = 150.0


class LineWriter:
    """Write lines to a file descriptor without ever waiting for its reader."""

    def __init__(self, *, fd: int) -> None:
        self._fd = fd
        self._rest = b""
        os.set_blocking(fd, False)

    def write(self, line: str) -> None:
        """Write one line, or drop it."""
        # A reader that has stopped reading fills the pipe, and a blocking write would stop all
        # work with it. What does not fit is dropped and counted.
        data = self._rest + line.encode(errors="replace") + b"\n"
        try:
            sent = os.write(self._fd, data)
        except BlockingIOError:
            LINES_DROPPED.labels("reader is slow").inc()
            return
        except OSError:
            LINES_DROPPED.labels("output is closed").inc()
            return
        self._rest = data[sent:]


@define(kw_only=True, eq=False)
class _Allowance:
    lines: float = BURST_LINES
    counted_at: float = 0.0
    left_out: int = 0


@define(kw_only=True, eq=False)
class EventLog:
    """Structured lines: one for each decision that touches a request or changes a belief.

    :param member: the process, on each line.
    """

    member: str
    writer: LineWriter
    _kinds: dict[str, _Allowance] = Factory(dict)

    def emit(self, event: str, **fields: Any) -> None:
        """Write a line, unless there have been too many of its kind.

        :param event: the kind of line.
        :param fields: ids, the inputs that decided, their age or version, and the outcome.
        """
        allowance = self._kinds.setdefault(event, _Allowance(counted_at=time.monotonic()))
        if not self._allowed(allowance):
            LINES_DROPPED.labels("too many of a kind").inc()
            return
        line = {"at": round(time.time(), 3), "member": self.member, "event": event, **fields}
        if allowance.left_out:
            line["left_out"] = allowance.left_out
        allowance.left_out = 0
        self.writer.write(json.dumps(line, separators=(",", ":"), default=str))

    def _allowed(self, allowance: _Allowance) -> bool:
        now = time.monotonic()
        earned = (now - allowance.counted_at) * LINES_PER_S
        allowance.lines = min(BURST_LINES, allowance.lines + earned)
        allowance.counted_at = now
        if allowance.lines < 1:
            allowance.left_out += 1
            return False
        allowance.lines -= 1
        return True


def set_up(*, member: str) -> EventLog:
    """Send the library's log lines to standard output as well, in the same form."""
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
