"""What a decision costs while thousands of tasks run."""

from __future__ import annotations

from .world import World, job, step


class Untouched(dict):
    """Runs that may be looked up and not walked through."""

    def __iter__(self):
        raise AssertionError("a decision walks through all runs")

    keys = values = items = __iter__


def test_a_decision_with_nothing_to_do_walks_through_no_runs():
    """Guards against decisions that take longer the more tasks run."""
    world = World("a", "b")
    world.add(job("j", step(8)))
    world.accept(*world.starts())
    world.decide(0.1)
    for host in world.dispatcher.tracker.hosts.values():
        host.runs = Untouched(host.runs)
    assert world.decide(0.1) == []
