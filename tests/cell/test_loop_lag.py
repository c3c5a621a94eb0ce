"""Measurement of the event loop's lag."""

from __future__ import annotations

import asyncio
import time

import pytest

from rhubarbferry.cell.loop_lag import (
    DECAY_PER_SAMPLE,
    MAX_LAG_S,
    SAMPLE_INTERVAL_S,
    STALL_LOG_INTERVAL_S,
    STALL_THRESHOLD_S,
    LoopLag,
)

from .fakes import FakeEventLog

OBSERVED = {
    "on time": ([0.0], 0.0),
    "early by the clock's grain": ([-0.001], 0.0),
    "late": ([0.2], 0.2),
    "late and then on time": ([0.2, 0.0], 0.2 * DECAY_PER_SAMPLE),
    "late and then later": ([0.2, 0.3], 0.3),
    "suspended": ([60.0], MAX_LAG_S),
}


@pytest.mark.parametrize(
    ("late_samples_s", "expected_lag_s"), OBSERVED.values(), ids=OBSERVED.keys()
)
def test_lag_is_computed_from_samples(late_samples_s, expected_lag_s):
    meter = LoopLag(log=FakeEventLog())
    for index, late_s in enumerate(late_samples_s):
        meter.observe(late_s, now=float(index))
    assert meter.lag_s == pytest.approx(expected_lag_s)


def test_stall_is_logged_once_per_interval():
    """Guards against log lines that slow an overloaded process further."""
    log = FakeEventLog()
    meter = LoopLag(log=log)
    for index in range(10):
        meter.observe(STALL_THRESHOLD_S, now=index * STALL_LOG_INTERVAL_S / 5)
    assert [event for event, _ in log.events] == ["loop.stalled"] * 2


async def test_blocked_loop_is_measured():
    """Guards against an overloaded process that measures no lag."""
    meter = LoopLag(log=FakeEventLog())
    measurement = asyncio.create_task(meter.run())
    await asyncio.sleep(SAMPLE_INTERVAL_S / 2)
    time.sleep(3 * SAMPLE_INTERVAL_S)  # noqa: ASYNC251 - blocks the loop on purpose
    await asyncio.sleep(SAMPLE_INTERVAL_S / 2)
    measurement.cancel()
    assert meter.lag_s >= SAMPLE_INTERVAL_S
