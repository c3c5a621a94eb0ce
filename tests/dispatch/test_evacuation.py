"""Hosts that are removed after a notice, and the tasks that run on them."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.messages import EndKind, HostPhase, StopOrder

from .world import World, entry, job, step

STAYS_S = 4.5
LOOK_S = 0.5


def drain(world: World, id: str, *, remaining_s: float | None = STAYS_S) -> None:
    leaving = entry(id, phase=HostPhase.DRAINING, remaining_s=remaining_s)
    world.dispatcher.host_listed(leaving, now=world.now)


def play(world: World, seconds: float, *, percent_a_second: float) -> list[StopOrder]:
    """Let the tasks of all hosts make progress; return the stop orders."""
    stops = []
    for _ in range(round(seconds / LOOK_S)):
        for host in world.hosts.values():
            for key, run in list(host.running.items()):
                percent = min(100.0, run.percent + percent_a_second * LOOK_S)
                host.running[key] = evolve(run, percent=percent)
        world.deliver_reports()
        stops += [order for order in world.decide(LOOK_S) if isinstance(order, StopOrder)]
    return stops


# Progress in percent per second, duration of the test in seconds, whether the task is stopped.
CASES = {
    "it will take far longer": (5.0, 1.5, True),
    "it will end in time": (30.0, 3.0, False),
    "it may end in time": (16.0, 2.0, False),
    "it turns out not to end in time": (16.0, 3.5, True),
}


@pytest.mark.parametrize(("pace", "seconds", "stopped"), CASES.values(), ids=CASES.keys())
def test_what_will_not_end_in_time_begins_elsewhere_before_its_host_leaves(pace, seconds, stopped):
    """Guards against tasks that are lost with their host and restart after its leases expire."""
    world = World("a")
    world.add(job("j", step(estimate=6.0)))
    (order,) = world.starts()
    world.accept(order)
    play(world, 1.0, percent_a_second=pace)
    drain(world, "a")
    stops = play(world, seconds, percent_a_second=pace)
    assert bool(stops) is stopped
    if not stopped:
        return
    other = world.add_host("b")
    world.hosts["a"].end(order, EndKind.STOPPED, checkpoint="saved")
    world.deliver_reports()
    (again,) = world.starts()
    assert (again.host, again.checkpoint) == (other.id, "saved")


def test_a_gang_leaves_as_a_whole():
    """Guards against members of a gang that keep their room after one member was stopped."""
    world = World("a", "b")
    world.add(job("j", step(2, millicores=8000, estimate=9.0, gang=True)))
    orders = world.starts()
    world.accept(*orders)
    assert {order.host for order in orders} == {"a", "b"}
    drain(world, "a")
    stops = play(world, 1.0, percent_a_second=5.0)
    assert {stop.host for stop in stops} == {"a", "b"}


def test_a_lasting_task_moves_at_once():
    world = World("a")
    world.add(job("j", step(lasting=True)))
    world.accept(*world.starts())
    drain(world, "a")
    assert len(play(world, 0.5, percent_a_second=100.0)) == 1


def test_a_host_that_does_not_say_how_long_it_stays_keeps_its_tasks():
    world = World("a")
    world.add(job("j", step(estimate=30.0)))
    world.accept(*world.starts())
    drain(world, "a", remaining_s=None)
    assert play(world, 3.0, percent_a_second=1.0) == []


def test_the_earliest_entry_counts_for_when_a_host_leaves():
    """Guards against tasks that are stopped too late because of an outdated entry."""
    world = World("a")
    drain(world, "a")
    world.now += 1.0
    drain(world, "a")
    host = world.dispatcher.tracker.hosts["a"]
    assert host.leaves_at == world.now - 1.0 + STAYS_S
    world.dispatcher.host_listed(entry("a"), now=world.now)
    assert host.leaves_at is None
