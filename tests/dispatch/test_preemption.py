"""Preemption for gangs and urgent tasks in a full cell.

The load is that of the busiest days: three of four cores in use, wide gangs of long tasks among
batches of shorter tasks that can resume from a checkpoint.
"""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.messages import EndKind, Queue, StopOrder

from .world import CORES, QUEUE, World, job, step

BATCH_QUEUE = evolve(QUEUE, name="batch", priority=2, slack_factor=9.0, objective_s=60.0)
WIDE_QUEUE = evolve(QUEUE, name="wide", priority=1, slack_factor=9.0, objective_s=60.0)


def fill_hosts(
    world: World, *, queue: Queue = BATCH_QUEUE, estimate_s: float = 20.0, **fields
) -> list:
    """Fill all hosts with tasks of one core each."""
    count = 8 * len(world.hosts)
    filler = evolve(step(count, checkpointable=True, **fields), estimate_s=estimate_s)
    world.add(job("filler", filler, queue=queue, arrived_at=world.now))
    orders = world.starts()
    assert len(orders) == count
    world.accept(*orders)
    world.now += 0.1
    world.deliver_reports()
    return orders


def stops(world: World, seconds: float = 0.0) -> list[StopOrder]:
    return [order for order in world.decide(seconds) if isinstance(order, StopOrder)]


def test_a_gang_without_room_preempts_tasks_that_can_resume():
    """Guards against a gang that waits until it is late because small tasks take all free room."""
    world = World("a", "b")
    fill_hosts(world)
    world.add(
        job("gang", step(4, millicores=2 * CORES, gang=True), queue=WIDE_QUEUE, arrived_at=10.0)
    )
    world.add(job("more", step(16), queue=BATCH_QUEUE, arrived_at=10.0))
    stopped = stops(world)
    assert len(stopped) == 8
    for order in stopped:
        world.hosts[order.host].end(order, EndKind.STOPPED, checkpoint="saved")
        world.now += 0.05
        world.deliver_reports()
        starts = world.starts()
        assert {start.task.job for start in starts} <= {"gang"}
        world.accept(*starts)
    assert world.dispatcher.jobs["gang"].started


def test_preempted_tasks_resume_from_their_checkpoint():
    world = World("a", "b")
    fill_hosts(world)
    gang = job("gang", step(4, millicores=2 * CORES, gang=True), queue=WIDE_QUEUE, arrived_at=10.0)
    world.add(gang)
    for order in stops(world):
        world.hosts[order.host].end(order, EndKind.STOPPED, checkpoint="saved")
    world.now += 0.1
    world.deliver_reports()
    starts = world.starts()
    world.accept(*[order for order in starts if order.task.job == "gang"])
    for order in starts:
        world.hosts[order.host].end(order)
    world.now += 0.1
    world.deliver_reports()
    resumed = world.starts()
    assert {order.checkpoint for order in resumed} == {"saved"}
    assert {order.attempt for order in resumed} == {2}


NOT_PREEMPTED = {
    "tasks of the same priority": {"queue": evolve(BATCH_QUEUE, priority=1)},
    "tasks of a higher priority": {"queue": evolve(BATCH_QUEUE, priority=0)},
    "gangs": {"gang": True},
    "lasting tasks": {"lasting": True},
    "tasks with a limit on stopped tasks": {"may_miss": 1},
}


@pytest.mark.parametrize("fields", NOT_PREEMPTED.values(), ids=NOT_PREEMPTED.keys())
def test_some_tasks_are_never_preempted(fields):
    """Guards against preemption that costs more work, or disturbs more users, than it gains."""
    world = World("a", "b")
    fill_hosts(world, **fields)
    world.add(
        job("gang", step(4, millicores=2 * CORES, gang=True), queue=WIDE_QUEUE, arrived_at=10.0)
    )
    assert stops(world) == []


def test_tasks_that_end_soon_are_not_preempted():
    world = World("a", "b")
    fill_hosts(world, estimate_s=1.0)
    world.add(
        job("gang", step(4, millicores=2 * CORES, gang=True), queue=WIDE_QUEUE, arrived_at=10.0)
    )
    assert stops(world) == []


@pytest.mark.parametrize("lasting", [True, False])
def test_room_of_lasting_tasks_is_not_held(lasting):
    """Guards against hosts held for a gang that can never start there."""
    world = World("a", "b")
    for order in fill_hosts(world, lasting=True):
        world.hosts[order.host].run(order, percent=100.0)
    world.now += 0.1
    world.deliver_reports()
    gang = step(4, millicores=2 * CORES, gang=True, lasting=lasting)
    world.add(job("gang", gang, queue=WIDE_QUEUE, arrived_at=10.0))
    world.decide()
    assert not world.dispatcher.holds


def test_a_late_job_preempts_no_tasks():
    world = World("a", "b")
    fill_hosts(world)
    late = evolve(WIDE_QUEUE, slack_factor=1.0, objective_s=0.5)
    world.add(job("gang", step(4, gang=True), queue=late, arrived_at=world.now - 5.0))
    assert stops(world) == []


def test_an_unused_hold_expires():
    """Guards against held room that is never released after a stop order was lost."""
    world = World("a", "b")
    fill_hosts(world)
    world.add(
        job("gang", step(4, millicores=2 * CORES, gang=True), queue=WIDE_QUEUE, arrived_at=10.0)
    )
    stopped = stops(world)
    for order in stopped[1:]:
        world.hosts[order.host].end(order, EndKind.STOPPED, checkpoint="saved")
    world.now += 0.1
    world.deliver_reports()
    assert world.starts() == []
    started = []
    for _ in range(8):
        world.now += 0.5
        world.deliver_reports()
        started += world.starts()
    assert {order.task.job for order in started} == {"filler"}
    assert len(started) == len(stopped) - 1
