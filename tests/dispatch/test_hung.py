"""Tasks that hang, and long tasks that only make slow progress."""

from __future__ import annotations

import pytest

from rhubarbferry.dispatch.messages import RunningTask, StopOrder

from .world import World, job, step

# Estimate of the task; time during which its progress rose; progress reached; time without progress
# since then; whether it is stopped.
CASES = {
    "short, hung": (2.0, 1.0, 50.0, 3.0, True),
    "short, between two reports": (2.0, 1.0, 50.0, 1.5, False),
    "long, within its first percent": (600.0, 0.0, 0.0, 20.0, False),
    "long, hung": (600.0, 0.0, 0.0, 30.0, True),
    "long, estimate far too low": (2.0, 12.0, 2.0, 10.0, False),
    "long, estimate far too low, hung": (2.0, 12.0, 2.0, 30.0, True),
}


@pytest.mark.parametrize(
    ("estimate_s", "progress_s", "percent", "stalled_s", "stopped"),
    CASES.values(),
    ids=CASES.keys(),
)
def test_long_tasks_are_not_taken_for_hung(estimate_s, progress_s, percent, stalled_s, stopped):
    """Guards against stopping a task that needs longer for one percent than the hang timeout."""
    world = World("a")
    world.add(job("j", step(estimate=estimate_s)))
    (order,) = world.starts()
    world.accept(order)
    host = world.hosts["a"]
    world.now += progress_s
    key = (order.task, order.attempt)
    host.running[key] = RunningTask(task=order.task, attempt=order.attempt, percent=percent)
    world.deliver_reports()
    end = world.now + stalled_s
    while world.now < end - 0.25:
        world.now += 0.5
        world.deliver_reports()
    stops = [item for item in world.decide() if isinstance(item, StopOrder)]
    assert bool(stops) is stopped
