"""Step lists with failing hosts on which the state machine of the dispatcher once failed."""

from __future__ import annotations

from contextlib import nullcontext

import pytest

from rhubarbferry.dispatch.messages import EndKind, Started

from .host_model import LEASE_S, HostModel, InvariantViolated
from .test_dispatcher_machine import HOSTS, QUEUES, TICK_S, DispatcherMachine, Fate
from .world import World, job, step

URGENT = QUEUES[0]


def machine() -> DispatcherMachine:
    found = DispatcherMachine()
    found.begin(rates=[1.0] * HOSTS)
    return found


def submit(found: DispatcherMachine, *widths: int) -> None:
    found.submit(widths=list(widths), cores=1, gang=False, checkpointable=False, queue=URGENT)


def run_one_task(found: DispatcherMachine) -> HostModel:
    """Run a task until its owner has read its end; return its host."""
    submit(found, 1)
    found.advance(ticks=1)
    (host,) = [host for host in found.oracle.hosts.values() if host.running]
    found.end_run(pick=0, how=EndKind.DONE)
    found.advance(ticks=1)
    return host


def test_run_answered_by_a_restarted_host_is_not_started_elsewhere():
    """Guards against ending a run that the host's new incarnation has started and answered."""
    found = machine()
    found.advance(ticks=2)
    found.crash(host=0, restart=True)
    submit(found, 1)
    found.lose_reports(host=0)
    found.advance(ticks=2)
    found.teardown()


def test_run_whose_end_was_lost_with_its_host_is_repeated():
    """Guards against a task that is neither finished nor started again after its host's crash."""
    found = machine()
    submit(found, 1, 1)
    found.advance(ticks=1)
    found.end_run(pick=0, how=EndKind.DONE)
    found.crash(host=0, restart=False)
    found.teardown()


def test_run_whose_end_was_not_reported_before_its_lease_lapsed_is_repeated():
    """Guards against a task that waits for ever for a host whose reports are lost."""
    found = machine()
    submit(found, 1)
    found.advance(ticks=1)
    found.lose_reports(host=0)
    found.end_run(pick=0, how=EndKind.DONE)
    found.advance(ticks=31)
    found.heal()
    found.advance(ticks=1)
    found.record()
    found.advance(ticks=1)
    found.teardown()


@pytest.mark.parametrize("listed", [True, False], ids=["listed", "unlisted"])
def test_task_with_an_unrecorded_end_is_not_started_again_while_its_host_is_cut_off(listed):
    """Guards against a new owner that takes a host for idle whose ends are in no stored state."""
    found = machine()
    host = run_one_task(found)
    found.partitioned.add(host.id)
    found.unlisted.update(set() if listed else {host.id})
    found.advance(ticks=8)
    found.take_over()
    found.advance(ticks=4)
    assert not any(other.running for other in found.oracle.hosts.values())
    found.teardown()


@pytest.mark.parametrize("ticks", [1, 4, 8, 12, 16])
def test_late_start_that_reaches_a_new_incarnation_does_not_run_twice(ticks):
    """Guards against a start that is carried out late on a host that has restarted under its id."""
    found = machine()
    found.set_fates(host=0, fates=[Fate.LATE])
    submit(found, 1)
    found.advance(ticks=ticks)
    found.crash(host=0, restart=True)
    found.advance(ticks=1)
    found.teardown()


def restart_before_late_calls(found: DispatcherMachine) -> None:
    """Restart the first host in the tick in which the late calls are carried out."""
    (call,) = found.late_calls
    while call.at > found.now + TICK_S:
        found.advance(ticks=1)
    found.crash(host=0, restart=True)
    found.advance(ticks=1)
    assert not found.late_calls


def test_late_copy_of_a_start_does_not_repeat_a_task_that_has_ended():
    """Guards against a task that is done twice, once by each of two copies of its start order."""
    found = machine()
    found.set_fates(host=0, fates=[Fate.LATE, Fate.ANSWERED])
    submit(found, 1)
    found.advance(ticks=2)
    found.end_run(pick=0, how=EndKind.DONE)
    found.advance(ticks=1)
    found.record()
    found.advance(ticks=1)
    restart_before_late_calls(found)
    found.teardown()


def test_late_start_of_an_earlier_owner_does_not_run_beside_the_next_one():
    """Guards against a late start whose task a new owner has started on another host."""
    found = machine()
    found.set_fates(host=0, fates=[Fate.LATE])
    found.submit(widths=[3], cores=3, gang=False, checkpointable=False, queue=QUEUES[1])
    found.advance(ticks=1)
    found.heal()
    found.take_over()
    # The urgent task takes the first host, so the task with the late start runs elsewhere.
    found.submit(widths=[1], cores=3, gang=False, checkpointable=False, queue=URGENT)
    found.advance(ticks=1)
    found.end_run(pick=1, how=EndKind.DONE)
    restart_before_late_calls(found)
    found.teardown()


def use_only(found: DispatcherMachine, host: HostModel) -> None:
    """Partition all other hosts until they get no tasks."""
    found.partitioned.update(set(found.oracle.hosts) - {host.id})
    found.advance(ticks=8)


def test_ends_of_a_new_incarnation_survive_a_late_poll_of_the_earlier_one():
    """Guards against a host that forgets ends that no owner has read."""
    found = machine()
    host = run_one_task(found)
    found.record()
    found.advance(ticks=1)
    found.delay_polls(int(host.id[1:]))
    found.advance(ticks=1)
    found.heal()
    host.restart()
    use_only(found, host)
    submit(found, 1)
    found.advance(ticks=1)
    assert host.running
    found.reports_lost.add(host.id)
    found.end_run(pick=0, how=EndKind.DONE)
    found.advance(ticks=10)
    found.teardown()


def test_late_poll_of_an_earlier_incarnation_does_not_extend_leases():
    """Guards against a run that outlives the leases that the owner knows of."""
    found = machine()
    host = found.oracle.hosts["h0"]
    use_only(found, host)
    found.delay_polls(0)
    found.advance(ticks=5)
    found.polls_late.clear()
    host.restart()
    found.advance(ticks=4)
    submit(found, 1)
    found.advance(ticks=1)
    assert host.running
    found.heal()
    found.partition(0)
    found.advance(ticks=32)
    found.teardown()


@pytest.mark.parametrize(
    ("forgotten", "raises"),
    [
        pytest.param(None, True, id="the host still lists the first end"),
        pytest.param("crash", False, id="the host has crashed"),
        pytest.param("restart", False, id="the host has restarted"),
        pytest.param("lapse", False, id="the host's lease had lapsed"),
        pytest.param("late crash", True, id="the host has crashed after the second start"),
        pytest.param("late lapse", True, id="the host's lease lapsed after the second start"),
    ],
)
def test_oracle_rejects_a_repeated_task_unless_its_end_was_forgotten(forgotten, raises):
    """Guards the oracle: only what its host has forgotten before it excuses a second start."""
    found = machine()
    submit(found, 1)
    found.advance(ticks=1)
    ((first, (task, attempt)),) = [
        (host, run) for host in found.oracle.hosts.values() for run in host.running
    ]
    other = next(host for host in found.oracle.hosts.values() if host is not first)
    first.end((task, attempt), EndKind.DONE)
    match forgotten:
        case "crash":
            first.down = True
        case "restart":
            first.restart()
        case "lapse":
            first.advance(2 * LEASE_S)
    other.running[(task, attempt + 1)] = other.clock_s
    found.oracle.started(other, task)
    match forgotten:
        case "late crash":
            first.restart()
        case "late lapse":
            first.advance(2 * LEASE_S)
    other.end((task, attempt + 1), EndKind.DONE)
    with pytest.raises(InvariantViolated) if raises else nullcontext():
        other.poll(other.fence, None, other.end_count)


@pytest.mark.parametrize(
    ("sent_before_s", "ended"), [(0.1, False), (0.0, True)], ids=["before", "after"]
)
def test_a_report_requested_before_a_start_was_answered_does_not_end_its_run(sent_before_s, ended):
    """Guards against a report whose list is older than its clock, or of an earlier incarnation."""
    world = World("a", "b")
    world.add(job("j", step()))
    (order,) = world.starts()
    world.answer(order, Started(clock_s=world.now + 100.0))
    report = world.hosts[order.host].report(world.now + 0.1)
    world.dispatcher.handle_report(
        order.host, report, sent_at=world.now - sent_before_s, now=world.now + 0.1
    )
    assert [found.task for found in world.starts(0.2)] == ([order.task] if ended else [])


def test_a_host_whose_poll_has_failed_gets_no_start_before_its_next_report():
    """Guards against a start that a restarted host carries out although it is meant for before."""
    world = World("a")
    host = world.dispatcher.tracker.hosts["a"]
    host.poll_failed_at = world.now
    world.add(job("j", step()))
    for _ in range(3):
        assert world.starts(0.1) == []
    host.poll_failed_at = float("-inf")
    world.deliver_reports()
    assert [order.host for order in world.starts()] == ["a"]
