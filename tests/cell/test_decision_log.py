"""Log lines of the owner's decisions."""

from __future__ import annotations

from rhubarbferry.cell.decision_log import DecisionLog
from tests.dispatch.world import World, job, step

from .fakes import FakeEventLog


def logged(world: World, event: str) -> list[dict]:
    """Return the fields of the lines of an event."""
    log = FakeEventLog()
    DecisionLog(log=log).outcomes(world.dispatcher)
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
