"""Hosts that are removed after a notice, and the tasks that run on them."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.messages import EndKind, HostPhase, StopOrder

from .world import World, entry, job, step

HOST_REMAINING_S = 4.5
POLL_INTERVAL_S = 0.5


def drain(world: World, id: str, *, remaining_s: float | None = HOST_REMAINING_S) -> None:
    leaving = entry(id, phase=HostPhase.DRAINING, remaining_s=remaining_s)
    world.dispatcher.host_listed(leaving, now=world.now)


def simulate(world: World, seconds: float, *, percent_per_second: float) -> list[StopOrder]:
    """Let the tasks of all hosts make progress; return the stop orders."""
    stops = []
    for _ in range(round(seconds / POLL_INTERVAL_S)):
        for host in world.hosts.values():
            for key, run in list(host.running.items()):
                percent = min(100.0, run.percent + percent_per_second * POLL_INTERVAL_S)
                host.running[key] = evolve(run, percent=percent)
        world.deliver_reports()
        stops += [order for order in world.decide(POLL_INTERVAL_S) if isinstance(order, StopOrder)]
    return stops


# Progress in percent per second, duration of the test in seconds, whether the task is stopped.
CASES = {
    "far longer than its host": (5.0, 1.5, True),
    "ends in time": (30.0, 3.0, False),
    "may end in time": (16.0, 2.0, False),
    "slightly longer than its host": (16.0, 3.5, True),
}


@pytest.mark.parametrize(("pace", "seconds", "stopped"), CASES.values(), ids=CASES.keys())
def test_tasks_that_cannot_end_in_time_move_before_their_host_leaves(pace, seconds, stopped):
    """Guards against tasks that are lost with their host and restart after its leases expire."""
    world = World("a")
    world.add(job("j", step(estimate=6.0)))
    (order,) = world.starts()
    world.accept(order)
    simulate(world, 1.0, percent_per_second=pace)
    drain(world, "a")
    stops = simulate(world, seconds, percent_per_second=pace)
    assert bool(stops) is stopped
    if not stopped:
        return
    other = world.add_host("b")
    world.hosts["a"].end(order, EndKind.STOPPED, checkpoint="saved")
    world.deliver_reports()
    (again,) = world.starts()
    assert (again.host, again.checkpoint) == (other.id, "saved")


def test_a_gang_is_stopped_as_a_whole():
    """Guards against members of a gang that keep their room after one member was stopped."""
    world = World("a", "b")
    world.add(job("j", step(2, millicores=8000, estimate=9.0, gang=True)))
    orders = world.starts()
    world.accept(*orders)
    assert {order.host for order in orders} == {"a", "b"}
    drain(world, "a")
    stops = simulate(world, 1.0, percent_per_second=5.0)
    assert {stop.host for stop in stops} == {"a", "b"}


def test_a_lasting_task_moves_at_once():
    world = World("a")
    world.add(job("j", step(lasting=True)))
    world.accept(*world.starts())
    drain(world, "a")
    assert len(simulate(world, 0.5, percent_per_second=100.0)) == 1


def test_a_draining_host_without_remaining_time_keeps_its_tasks():
    world = World("a")
    world.add(job("j", step(estimate=30.0)))
    world.accept(*world.starts())
    drain(world, "a", remaining_s=None)
    assert simulate(world, 3.0, percent_per_second=1.0) == []


def test_the_earliest_leave_time_of_all_entries_is_used():
    """Guards against tasks that are stopped too late because of an outdated entry."""
    world = World("a")
    drain(world, "a")
    world.now += 1.0
    drain(world, "a")
    host = world.dispatcher.tracker.hosts["a"]
    assert host.leaves_at == world.now - 1.0 + HOST_REMAINING_S
    world.dispatcher.host_listed(entry("a"), now=world.now)
    assert host.leaves_at is None
