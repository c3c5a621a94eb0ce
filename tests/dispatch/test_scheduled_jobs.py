"""Scheduled jobs, whose occurrences may overlap, across a change of the owner."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.job import Job, JobPhase
from rhubarbferry.dispatch.messages import (
    Account,
    JobRequest,
    RunningTask,
    Sizes,
    StartOrder,
    StopOrder,
    TaskId,
)
from rhubarbferry.dispatch.record import RecordError, encode_state, restore_state

from .world import CORES, QUEUE, World, entry, step

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


def scheduled(*, req: JobRequest = REQUEST, **fields) -> Job:
    return Job(req=req, queue=QUEUE, arrived_at=10.0, record_revision=1, **fields)


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


def take_over(before: World, *, clock_error_s: float = 0.0) -> World:
    """Return the world of a new owner: it has the stored state, and no host has reported yet.

    :param clock_error_s: error of the new owner's time of day.
    """
    world = World(roster=("a",))
    world.now = before.now
    world.clock_error_s = clock_error_s
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


@pytest.mark.parametrize(("clock_error_s", "due_at"), [(0.0, 10.0), (-60.0, 11.0), (600.0, 11.0)])
def test_an_occurrence_keeps_its_due_time_unless_a_clock_is_wrong(clock_error_s, due_at):
    """Guards against late occurrences being ordered behind jobs that can meet their objective."""
    before = World("a")
    start_occurrences(before, 2)
    before.hosts["a"].end(next(iter(before.hosts["a"].running.values())))
    before.now += 0.1
    before.deliver_reports()
    before.now = 11.0
    after = take_over(before, clock_error_s=clock_error_s)
    assert after.dispatcher.jobs["j"].occurrences[0].due_at == pytest.approx(due_at)


def test_an_occurrence_that_was_due_without_an_owner_keeps_its_due_time():
    """Guards against occurrences that count as new since no process was the owner."""
    before = World("a")
    start_occurrences(before, 1)
    before.now = 11.5
    after = take_over(before)
    occurrences = after.dispatcher.jobs["j"].occurrences
    assert [each.due_at for each in occurrences.values()] == pytest.approx([10.0, 10.5, 11.0])


@pytest.mark.parametrize("ended", [False, True])
def test_an_occurrence_that_a_host_reports_is_known_before_it_is_due(ended):
    """Guards against a task that runs again since the new owner's clock is behind."""
    before = World("a")
    orders = start_occurrences(before, 2)
    host = before.hosts["a"]
    after = take_over(before, clock_error_s=-2 * INTERVAL_S)
    if ended:
        host.end(orders[1])
    after.deliver_reports()
    assert after.decide(0.1) == []
    assert len(host.running) == 1 if ended else 2
    end_runs(after, 3.0)
    assert after.dispatcher.jobs["j"].phase is JobPhase.COMPLETE
    assert [end.task.occurrence for end in host.ended].count(1) == 1
    assert host.end_count == TIMES


def test_an_occurrence_that_a_host_reports_counts_against_the_quota():
    """Guards against exceeding a quota while a host that may run its other tasks is silent."""
    world = World("a", roster=("a", "silent"))
    account = Account(name="lanna", quota=Sizes(millicores=4 * CORES))
    req = evolve(REQUEST, steps=(step(2),), start_at_s=world.now + 60.0)
    world.add(scheduled(req=req, account=account, inherited=True, first_attempt=FENCE))
    assert world.dispatcher.quotas.used("lanna") == Sizes()
    running = TaskId(job="j", occurrence=1, step=0, index=0)
    world.hosts["a"].running[(running, 1)] = RunningTask(task=running, attempt=1)
    world.deliver_reports()
    assert world.dispatcher.quotas.used("lanna").millicores == 4 * CORES


def test_a_report_of_an_occurrence_beyond_the_last_one_is_not_followed():
    """Guards against occurrences that no client has asked for."""
    world = World("a")
    world.add(scheduled())
    unknown = TaskId(job="j", occurrence=TIMES, step=0, index=0)
    world.hosts["a"].running[(unknown, 1)] = RunningTask(task=unknown, attempt=1)
    world.now += 0.1
    world.deliver_reports()
    stops = [order for order in world.decide() if isinstance(order, StopOrder)]
    assert [order.task for order in stops] == [unknown]
    assert set(world.dispatcher.jobs["j"].occurrences) == {0}


def test_a_state_with_an_occurrence_beyond_the_last_one_is_refused():
    state = b'{"phase":"running","steps":{"%d.0":{"done":"1"}}}' % TIMES
    with pytest.raises(RecordError, match="occurrence"):
        restore_state(scheduled(), state, now=10.0)


@pytest.mark.parametrize("steps", [b"7", b'{"0.0":7}', b'{"0.0":{"saved":7}}', b'{"0.9":{}}'])
def test_a_state_that_cannot_be_decoded_is_refused(steps):
    """Guards against one stored state that ends the term of every owner in turn."""
    with pytest.raises(RecordError):
        restore_state(scheduled(), b'{"phase":"running","steps":%s}' % steps, now=10.0)
