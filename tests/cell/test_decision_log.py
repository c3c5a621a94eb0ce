"""Log lines of the owner's decisions."""

from __future__ import annotations

from attrs import Factory, define

from rhubarbferry.cell.decision_log import DecisionLog
from tests.dispatch.world import World, job, step


@define
class RecordedLog:
    """An event log that keeps its lines."""

    lines: list[dict] = Factory(list)

    def emit(self, event: str, **fields) -> None:
        self.lines.append({"event": event, **fields})

    def take(self, event: str) -> list[dict]:
        return [line for line in self.lines if line["event"] == event]


def logged(world: World) -> RecordedLog:
    log = RecordedLog()
    DecisionLog(log=log).outcomes(world.dispatcher)
    return log


def test_a_restart_under_the_same_id_is_logged_with_both_incarnations():
    """Guards against a restart that the log does not show."""
    world = World("a")
    world.add(job("j", step()))
    world.accept(*world.starts())
    world.hosts["a"].running.clear()
    world.hosts["a"].incarnation = 2
    world.deliver_reports()
    (line,) = logged(world).take("host.restarted")
    assert line == {
        "event": "host.restarted",
        "host": "a",
        "earlier": 1,
        "incarnation": 2,
        "unclear": 1,
    }


def test_a_run_that_the_owner_did_not_start_is_logged_with_the_incarnation_of_its_host():
    """Guards against a late order that is carried out and that the log does not show."""
    world = World("a")
    world.add(job("j", step()))
    (order,) = world.starts()
    world.dispatcher.tracker.release(world.dispatcher.jobs["j"].runs()[0])
    world.hosts["a"].run(order)
    world.deliver_reports()
    (line,) = logged(world).take("task.found")
    assert (line["job"], line["task"], line["attempt"]) == ("j", "0.0.0", 1)
    assert (line["host"], line["incarnation"], line["host_clock_s"]) == ("a", 1, 110.0)
