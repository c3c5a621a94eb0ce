"""What a process knows of its own slowness."""

from __future__ import annotations

import asyncio
import time

import pytest

from rhubarbferry.cell.loop_lag import (
    DECAY,
    MOST_LAG_S,
    STALL_LOG_INTERVAL_S,
    STALL_S,
    TICK_S,
    LoopLag,
)

from .parts import Lines

OBSERVED = {
    "on time": ([0.0], 0.0),
    "early by the clock's grain": ([-0.001], 0.0),
    "late": ([0.2], 0.2),
    "late and then on time": ([0.2, 0.0], 0.2 * DECAY),
    "late and then later": ([0.2, 0.3], 0.3),
    "suspended": ([60.0], MOST_LAG_S),
}


@pytest.mark.parametrize(("late", "lag"), OBSERVED.values(), ids=OBSERVED.keys())
def test_the_lag_follows_what_was_observed(late, lag):
    meter = LoopLag(log=Lines())
    for number, seconds in enumerate(late):
        meter.note(seconds, now=float(number))
    assert meter.lag_s == pytest.approx(lag)


def test_a_stall_is_logged_once_in_each_interval():
    """Guards against log lines that keep a slow process slow."""
    log = Lines()
    meter = LoopLag(log=log)
    for number in range(10):
        meter.note(STALL_S, now=number * STALL_LOG_INTERVAL_S / 5)
    assert [event for event, _ in log.found] == ["loop.stalled"] * 2


async def test_a_loop_that_is_held_up_is_noticed():
    """Guards against a process that is slow and does not know it."""
    meter = LoopLag(log=Lines())
    running = asyncio.create_task(meter.run())
    await asyncio.sleep(TICK_S / 2)
    time.sleep(3 * TICK_S)  # noqa: ASYNC251 - holds the loop up on purpose
    await asyncio.sleep(TICK_S / 2)
    running.cancel()
    assert meter.lag_s >= TICK_S
