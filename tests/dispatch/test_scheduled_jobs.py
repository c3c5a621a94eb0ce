"""Scheduled jobs, whose occurrences may overlap, across a change of the owner."""

from __future__ import annotations

import pytest

from rhubarbferry.dispatch.job import Job, JobPhase
from rhubarbferry.dispatch.messages import JobRequest, StartOrder
from rhubarbferry.dispatch.record import RecordError, encode_state, restore_state

from .world import QUEUE, World, entry, step

TIMES = 3
INTERVAL_S = 0.5
FENCE = 500
REQUEST = JobRequest(
    id="j",
    queue=QUEUE.name,
    payload="work",
    steps=(step(),),
    times=TIMES,
    start_at_s=10.0,
    interval_s=INTERVAL_S,
)


def scheduled(**fields) -> Job:
    return Job(req=REQUEST, queue=QUEUE, arrived_at=10.0, record_revision=1, **fields)


def start_occurrences(world: World, number: int) -> list[StartOrder]:
    """Start the first occurrences of a job as they become due; return their start orders."""
    world.add(scheduled())
    orders = []
    for _ in range(number):
        world.deliver_reports()
        orders += world.starts()
        world.accept(*orders[-1:])
        world.now += INTERVAL_S / 2
        world.deliver_reports()
        world.now += INTERVAL_S / 2
    world.deliver_reports()
    assert [order.task.occurrence for order in orders] == list(range(number))
    return orders


def take_over(before: World) -> World:
    """Return the world of a new owner: it has the stored state, and no host has reported yet."""
    world = World(roster=("a",))
    world.now = before.now
    world.hosts = before.hosts
    world.dispatcher.host_listed(entry("a"), now=world.now)
    inherited = scheduled(inherited=True, first_attempt=FENCE)
    restore_state(inherited, encode_state(before.dispatcher.jobs["j"]), now=world.now)
    world.add(inherited)
    return world


def end_runs(world: World, seconds: float) -> None:
    """End each run and start the tasks that become due, for some time."""
    host = world.hosts["a"]
    for _ in range(round(seconds / 0.5)):
        for run in list(host.running.values()):
            host.end(run)
        world.deliver_reports()
        world.accept(*world.starts(0.5))


@pytest.mark.parametrize("ended", [(), (1,), (2,), (0, 2)])
def test_a_new_owner_continues_an_occurrence_without_recorded_progress(ended):
    """Guards against a job shown as complete although one of its occurrences has never ended."""
    before = World("a")
    orders = start_occurrences(before, TIMES)
    host = before.hosts["a"]
    for occurrence in ended:
        host.end(orders[occurrence])
    before.now += 0.1
    before.deliver_reports()

    after = take_over(before)
    after.deliver_reports()
    assert after.decide(0.1) == []
    assert len(host.running) == TIMES - len(ended)
    assert after.dispatcher.jobs["j"].phase is JobPhase.RUNNING
    end_runs(after, 2.0)
    assert after.dispatcher.jobs["j"].phase is JobPhase.COMPLETE
    assert {end.task.occurrence for end in host.ended} == set(range(TIMES))
    assert host.end_count == TIMES


def test_a_new_owner_runs_an_occurrence_whose_host_has_been_lost():
    """Guards against an occurrence that never runs again since its run was lost with its host."""
    before = World("a")
    orders = start_occurrences(before, TIMES)
    before.hosts["a"].end(orders[2])
    before.now += 0.1
    before.deliver_reports()
    before.hosts["a"].running.clear()
    after = take_over(before)
    after.deliver_reports()
    assert [order.task.occurrence for order in after.starts(0.1)] == [0, 1]


def test_a_state_with_an_occurrence_beyond_the_last_one_is_refused():
    state = b'{"phase":"running","steps":{"%d.0":{"done":"1"}}}' % TIMES
    with pytest.raises(RecordError, match="occurrence"):
        restore_state(scheduled(), state, now=10.0)
