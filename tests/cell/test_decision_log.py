"""Log lines of the owner's decisions."""

from __future__ import annotations

import pytest

from rhubarbferry.cell.decision_log import DecisionLog
from rhubarbferry.dispatch.messages import RunningTask, TaskId
from tests.dispatch.world import World, job, step

from .fakes import FakeEventLog

FENCE = 40


def logged(world: World, event: str) -> list[dict]:
    """Return the fields of the lines of an event."""
    log = FakeEventLog()
    DecisionLog(log=log, fence=FENCE).outcomes(world.dispatcher)
    return [fields for name, fields in log.events if name == event]


def test_a_restart_under_the_same_id_is_logged_with_both_incarnations():
    """Guards against a restart that the log does not show."""
    world = World("a")
    world.add(job("j", step()))
    world.accept(*world.starts())
    world.hosts["a"].running.clear()
    world.hosts["a"].incarnation = 2
    world.deliver_reports()
    (line,) = logged(world, "host.restarted")
    assert line == {"host": "a", "earlier": 1, "incarnation": 2, "unclear": 1}


def test_a_run_that_the_owner_did_not_start_is_logged_with_the_incarnation_of_its_host():
    """Guards against a late order that is carried out and that the log does not show."""
    world = World("a")
    world.add(job("j", step()))
    (order,) = world.starts()
    world.dispatcher.tracker.release(world.dispatcher.jobs["j"].runs()[0])
    world.hosts["a"].run(order)
    world.deliver_reports()
    (line,) = logged(world, "task.found")
    assert (line["job"], line["task"], line["attempt"]) == ("j", "0.0.0", 1)
    assert (line["host"], line["incarnation"], line["host_clock_s"]) == ("a", 1, 110.0)


FOUND = {
    "an owner with a lower fence": (True, FENCE - 10, "an earlier owner"),
    "the first attempt under the owner that accepted it": (True, 1, "an earlier owner"),
    "an attempt that only this owner may use": (True, FENCE, "this owner or a later one"),
    "a new job": (False, 2, "this owner, or another that takes the job for a new one"),
}


@pytest.mark.parametrize(("inherited", "attempt", "by"), FOUND.values(), ids=FOUND.keys())
@pytest.mark.parametrize("beside", [False, True], ids=["alone", "beside another run"])
def test_a_found_run_is_logged_with_who_may_have_started_it(inherited, attempt, by, beside):
    """Guards against two runs of a task by two owners that the log does not tell apart."""
    world = World("a")
    world.add(job("j", step(), inherited=inherited, first_attempt=FENCE if inherited else 1))
    if beside:
        world.accept(*world.starts())
    first = world.dispatcher.jobs["j"].runs()
    world.add_host("b")
    logged(world, "task.found")
    task = TaskId(job="j", occurrence=0, step=0, index=0)
    running = RunningTask(task=task, attempt=attempt, percent=0.0)
    world.hosts["b"].running[(task, attempt)] = running
    world.deliver_reports("b")
    (line,) = logged(world, "task.found")
    assert (line["fence"], line["started_by"], line["done"]) == (FENCE, by, False)
    assert (line["other_host"], line["other_attempt"]) == (
        ("a", first[0].attempt) if beside else (None, None)
    )
