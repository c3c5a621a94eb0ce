"""Log lines that are not written, and how they become visible."""

from __future__ import annotations

import asyncio
import json
import os
from types import SimpleNamespace

import pytest
from attrs import define
from prometheus_client import REGISTRY

from rhubarbferry.cell import logs
from rhubarbferry.cell.logs import (
    BURST_LINES,
    LINES_PER_S,
    START_BURST_LINES,
    EventLog,
    LineWriter,
)

# Task starts a second of the largest cell at its peak, and for how long one is played.
PEAK_STARTS_PER_S = 240
PEAK_S = 60
# Copies of an order: the first and, on a bad day, another for each.
MAX_MEAN_COPIES = 2
INTERVAL_S = 0.05


@define
class Pipe:
    """The output of a process and the end at which its lines are read."""

    read_end: int
    write_end: int
    _rest: bytes = b""

    def read_lines(self) -> list[dict]:
        """Return the complete lines that were written since the last call."""
        data = self._rest
        try:
            while part := os.read(self.read_end, 1 << 16):
                data += part
        except BlockingIOError:
            pass
        complete, _, self._rest = data.rpartition(b"\n")
        return [json.loads(line) for line in complete.splitlines()]


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    yield Pipe(read_end=read_end, write_end=write_end)
    os.close(read_end)
    os.close(write_end)


@pytest.fixture
def now(monkeypatch):
    """The monotonic time of the log, which a test advances."""
    clock = SimpleNamespace(value=100.0, time=lambda: 1000.0, monotonic=lambda: clock.value)
    monkeypatch.setattr(logs, "time", clock)
    return clock


def make_log(pipe) -> EventLog:
    return EventLog(member="one", writer=LineWriter(fd=pipe.write_end))


def dropped(event: str) -> float:
    labels = {"event": event}
    return REGISTRY.get_sample_value("rhubarbferry_log_event_lines_dropped_total", labels) or 0.0


def emit_and_read(log: EventLog, pipe, event: str, count: int) -> list[dict]:
    """Emit lines of one event, and read them before the pipe is full."""
    written = []
    for number in range(count):
        log.emit(event, number=number)
        if number % 100 == 0:
            written += pipe.read_lines()
    return written + pipe.read_lines()


def test_dropped_lines_become_visible_although_no_line_of_their_event_follows(pipe, now):
    """Guards against an order whose line was left out and that no line counts."""
    log = make_log(pipe)
    before = dropped("task.stop")
    assert len(emit_and_read(log, pipe, "task.stop", int(BURST_LINES) + 7)) == BURST_LINES
    emit_and_read(log, pipe, "task.pace", int(BURST_LINES) + 2)
    log.report_dropped()
    (line,) = pipe.read_lines()
    assert line == {
        "at": 1000.0,
        "member": "one",
        "event": "log.dropped",
        "lines": 9,
        "events": {"task.stop": 7, "task.pace": 2},
        "reasons": {"too many of a kind": 9},
    }
    assert dropped("task.stop") - before == 7
    log.report_dropped()
    assert pipe.read_lines() == []


def test_a_line_that_follows_dropped_ones_counts_them(pipe, now):
    log = make_log(pipe)
    emit_and_read(log, pipe, "task.stop", int(BURST_LINES) + 7)
    now.value += 1.5 / LINES_PER_S
    (line,) = emit_and_read(log, pipe, "task.stop", 1)
    assert line["left_out"] == 7


def test_lines_that_a_slow_reader_loses_are_counted_until_it_reads_again(pipe, now):
    """Guards against a count of dropped lines that is dropped like the lines."""
    log = make_log(pipe)
    for number in range(20):
        log.emit(f"event.{number}", text="x" * 10_000)
    log.report_dropped()
    written = len(pipe.read_lines())
    log.report_dropped()
    *late, line = pipe.read_lines()
    assert line["event"] == "log.dropped"
    assert line["reasons"] == {"reader is slow": line["lines"]}
    assert line["lines"] + written + len(late) == 20
    assert set(line["events"].values()) == {1}


async def test_dropped_lines_are_reported_at_intervals_and_at_the_end(monkeypatch, pipe):
    """Guards against drops that stay invisible in a process that has nothing else to log."""
    monkeypatch.setattr(logs, "DROPPED_REPORT_INTERVAL_S", INTERVAL_S)
    log = make_log(pipe)
    running = asyncio.create_task(log.run())
    await asyncio.sleep(0)
    emit_and_read(log, pipe, "task.stop", int(BURST_LINES) + 200)
    await asyncio.sleep(3 * INTERVAL_S)
    at_intervals = pipe.read_lines()
    emit_and_read(log, pipe, "task.pace", int(BURST_LINES) + 200)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    at_end = pipe.read_lines()
    assert [list(line["events"]) for line in at_intervals] == [["task.stop"]]
    assert [list(line["events"]) for line in at_end] == [["task.pace"]]


@pytest.mark.parametrize(
    ("event", "complete"), [("task.start", True), ("task.stop", False)], ids=["starts", "others"]
)
def test_no_start_is_left_out_at_the_peak_of_the_largest_cell(pipe, now, event, complete):
    """Guards against the missing line of one of two orders for the same task."""
    log = make_log(pipe)
    count = PEAK_STARTS_PER_S * MAX_MEAN_COPIES
    written = 0
    for _ in range(PEAK_S):
        written += len(emit_and_read(log, pipe, event, count))
        now.value += 1.0
    assert (written == count * PEAK_S) is complete


def test_the_starts_of_a_wide_step_are_logged_within_a_limit(pipe, now):
    """Guards against a log without a limit."""
    log = make_log(pipe)
    count = int(START_BURST_LINES)
    assert len(emit_and_read(log, pipe, "task.start", 2 * count)) == count
