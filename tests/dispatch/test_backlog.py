"""Decisions while hundreds of steps wait, as after a takeover or in a burst."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.dispatcher import MAX_STEPS_PER_DECISION, Dispatcher
from rhubarbferry.dispatch.messages import StartOrder
from rhubarbferry.dispatch.takeover import Takeover

from . import test_dispatcher_machine
from .test_dispatcher_machine import (
    HOSTS,
    MAX_OPEN_ROUNDS,
    QUEUES,
    RECOVERY_TIMEOUT_S,
    DispatcherMachine,
)
from .world import CORES, QUEUE, World, entry, job, step

REPORT_INTERVAL_S = 0.01


def backlog(count: int) -> World:
    world = World("a", "b")
    for index in range(count):
        world.add(job(f"job{index:04}", step(1, millicores=10)))
    return world


def test_one_decision_places_a_bounded_number_of_steps():
    """Guards against a first decision that blocks a slow processor for a second."""
    world = backlog(3 * MAX_STEPS_PER_DECISION)
    assert len(world.starts()) <= MAX_STEPS_PER_DECISION
    assert world.dispatcher.has_more


def test_steps_left_over_by_a_decision_are_placed_by_the_next_in_order():
    """Guards against steps that are delayed until the next host review or lose their position."""
    world = backlog(3 * MAX_STEPS_PER_DECISION)
    placed = []
    while not placed or world.dispatcher.has_more:
        placed += [order.task.job for order in world.starts()]
    assert placed == [f"job{index:04}" for index in range(3 * MAX_STEPS_PER_DECISION)]


def test_steps_without_room_do_not_starve_others():
    """Guards against a backlog of wide steps that starves all steps after them."""
    world = World("a", "b")
    for index in range(2 * MAX_STEPS_PER_DECISION):
        world.add(job(f"wide{index:04}", step(1, millicores=7 * CORES)))
    small = world.add(job("x-small", step(1, millicores=10)))
    world.accept(*world.starts())
    for _ in range(4):
        world.accept(*world.starts(REPORT_INTERVAL_S))
        world.dispatcher.host_listed(entry("c", millicores=10), now=world.now)
        world.deliver_reports()
    assert small.started


def test_a_start_limit_keeps_the_most_urgent_steps_first():
    """Guards against starts in the order of an old backlog when a more urgent step has arrived."""
    world = backlog(6)
    first = [o for o in world.decide(starts=2) if isinstance(o, StartOrder)]
    urgent = world.add(job("urgent", step(1, millicores=10), queue=evolve(QUEUE, priority=-1)))
    second = [o for o in world.decide(starts=2) if isinstance(o, StartOrder)]
    assert [order.task.job for order in first] == ["job0000", "job0001"]
    assert [order.task.job for order in second] == [urgent.id, "job0002"]
    assert not world.dispatcher.has_more


def test_an_idle_dispatcher_has_no_candidates_left():
    dispatcher = Dispatcher(takeover=Takeover(leases_expire_at=0.0), lease_s=6.0)
    dispatcher.decide(now=0.0, wall_s=0.0)
    assert not dispatcher.has_more


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("cores", [1, 2, 3])
def test_a_large_backlog_ends_in_a_time_in_proportion_to_its_work(monkeypatch, gang, cores):
    """Guards against hosts that stay idle, or tasks that are repeated, while many jobs wait."""
    machine = DispatcherMachine()
    machine.begin(rates=[1.0] * HOSTS)
    for _ in range(40):
        machine.submit([4, 3], cores, gang, True, QUEUES[0])
    timeout_s = RECOVERY_TIMEOUT_S * machine.open_rounds() / MAX_OPEN_ROUNDS
    monkeypatch.setattr(test_dispatcher_machine, "RECOVERY_TIMEOUT_S", timeout_s)
    machine.teardown()
