"""Order of steps when more wait than can be done in time."""

from __future__ import annotations

import pytest

from rhubarbferry.dispatch.messages import Queue
from rhubarbferry.dispatch.objective import Urgency, classify_urgency, critical_paths

from .world import CORES, World, job, step

SHORT_OBJECTIVE = Queue(name="slips", service="pool", slack_factor=1.5, objective_s=0.5)

CHAINS = {
    "one step": ([step()], (1.0,)),
    "sequential": ([step(), step(after=(0,)), step(after=(1,))], (3.0, 2.0, 1.0)),
    "parallel": ([step(), step()], (1.0, 1.0)),
    "two that join": ([step(), step(), step(after=(0, 1))], (2.0, 2.0, 1.0)),
}


@pytest.mark.parametrize(("steps", "expected"), CHAINS.values(), ids=CHAINS.keys())
def test_critical_paths_are_the_longest_chains_to_the_end(steps, expected):
    assert critical_paths(steps) == expected


URGENCIES = [
    (10.0, Urgency.IN_TIME, 11.0),
    (11.0, Urgency.IN_TIME, 11.0),
    (11.1, Urgency.LATE, 15.0),
    (15.1, Urgency.MISSED, float("inf")),
]


@pytest.mark.parametrize(("now", "urgency", "until"), URGENCIES)
def test_urgency_depends_on_the_time_left(now, urgency, until):
    found = classify_urgency(due_at=10.0, objective_s=2.0, critical_path_s=1.0, now=now)
    assert (found.urgency, found.until) == (urgency, until)


def test_after_an_outage_jobs_that_can_be_done_in_time_go_before_those_that_cannot():
    """Guards against a backlog in order of arrival that makes all later jobs late."""
    world = World("a", millicores=2 * CORES)
    for index in range(4):
        world.add(job(f"old{index}", step(), queue=SHORT_OBJECTIVE, arrived_at=world.now - 5.0))
    for index in range(2):
        world.add(job(f"new{index}", step(), queue=SHORT_OBJECTIVE, arrived_at=world.now))
    assert {order.task.job for order in world.starts()} == {"new0", "new1"}


def test_a_waiting_job_becomes_late_and_yields_to_others():
    world = World("a", millicores=CORES)
    world.add(job("first", step(), queue=SHORT_OBJECTIVE, arrived_at=world.now))
    (order,) = world.starts()
    world.accept(order)
    world.add(job("waits", step(), queue=SHORT_OBJECTIVE, arrived_at=world.now))
    assert world.starts(3.0) == []
    world.add(job("fresh", step(), queue=SHORT_OBJECTIVE, arrived_at=world.now))
    world.hosts["a"].end(order)
    world.now += 0.1
    world.deliver_reports()
    assert [order.task.job for order in world.starts()] == ["fresh"]
