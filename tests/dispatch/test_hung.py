"""Tasks that hang, and long tasks that only make slow progress."""

from __future__ import annotations

import pytest

from rhubarbferry.dispatch.messages import RunningTask, StopOrder

from .world import World, job, step

# Estimate of the task; time during which its progress rose; progress reached; time without progress
# since then; whether it is stopped.
CASES = {
    "a short one that stands still": (2.0, 1.0, 50.0, 3.0, True),
    "a short one between two reports": (2.0, 1.0, 50.0, 1.5, False),
    "a long one within its first percent": (600.0, 0.0, 0.0, 20.0, False),
    "a long one that stands still": (600.0, 0.0, 0.0, 30.0, True),
    "a long one with an estimate far too low": (2.0, 12.0, 2.0, 10.0, False),
    "such a one that stands still": (2.0, 12.0, 2.0, 30.0, True),
}


@pytest.mark.parametrize(
    ("estimate_s", "rose_s", "percent", "still_s", "stopped"), CASES.values(), ids=CASES.keys()
)
def test_long_tasks_are_not_taken_for_hung(estimate_s, rose_s, percent, still_s, stopped):
    """Guards against stopping a task that needs longer for one percent than the hang timeout."""
    world = World("a")
    world.add(job("j", step(estimate=estimate_s)))
    (order,) = world.starts()
    world.accept(order)
    host = world.hosts["a"]
    world.now += rose_s
    key = (order.task, order.attempt)
    host.running[key] = RunningTask(task=order.task, attempt=order.attempt, percent=percent)
    world.deliver_reports()
    end = world.now + still_s
    while world.now < end - 0.25:
        world.now += 0.5
        world.deliver_reports()
    stops = [item for item in world.decide() if isinstance(item, StopOrder)]
    assert bool(stops) is stopped
