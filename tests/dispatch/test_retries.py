"""Start orders whose answers are lost: carried out late, twice, or without an answer."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.hosts import MAX_ORDER_DELAY_S
from rhubarbferry.dispatch.job import RunPhase
from rhubarbferry.dispatch.messages import Refusal, Refused, Started, StopOrder, Unanswered
from rhubarbferry.dispatch.retries import START_TIMEOUTS_S

from .world import LEASE_S, World, job, step

TIMEOUT_S = START_TIMEOUTS_S[0]


def first_start(world: World):
    (order,) = world.starts()
    return order


def run_of(world: World, order):
    return world.dispatcher.tracker.hosts[order.host].runs.get((order.task, order.attempt))


def test_wide_gangs_survive_lost_answers():
    """Guards against gangs of 20 that break when hosts lose one answer in 18."""
    world = World(*(f"h{index}" for index in range(20)), millicores=1000)
    world.add(job("g", step(20, gang=True)))
    orders = world.starts()
    lost = orders[::18]
    world.accept(*(order for order in orders if order not in lost))
    for order in lost:
        world.hosts[order.host].run(order)
        world.answer(order, Unanswered())
    again = world.starts(TIMEOUT_S)
    assert [(o.host, o.task, o.attempt) for o in again] == [
        (o.host, o.task, o.attempt) for o in lost
    ]
    world.accept(*again)
    later = world.decide(1.0)
    assert not [order for order in later if isinstance(order, StopOrder)]
    assert all(run.phase is RunPhase.RUNNING for run in world.dispatcher.jobs["g"].runs())


def test_the_retries_of_a_start_are_limited():
    """Guards against a start order that is sent for ever to a host that never answers."""
    world = World("a")
    world.add(job("j", step()))
    order = first_start(world)
    for timeout_s in START_TIMEOUTS_S[1:]:
        world.answer(order, Unanswered())
        (order,) = world.starts(order.timeout_s)
        assert order.timeout_s == timeout_s
    world.answer(order, Unanswered())
    assert world.starts(order.timeout_s) == []
    assert run_of(world, order).phase is RunPhase.UNCLEAR


@pytest.mark.parametrize("reason", [Refusal.NO_ROOM, Refusal.OLD_ATTEMPT, Refusal.NO_TICKET])
def test_a_refused_copy_does_not_settle_an_earlier_copy(reason):
    """Guards against a task that runs twice because the first copy is carried out late."""
    world = World("a", "b")
    world.add(job("j", step()))
    order = first_start(world)
    world.answer(order, Unanswered())
    (again,) = world.starts(TIMEOUT_S)
    world.answer(again, Refused(reason=reason))
    assert world.starts(0.1) == []
    assert run_of(world, order).phase is RunPhase.UNCLEAR


def test_a_start_that_was_not_sent_is_sent_at_once():
    """Guards against a task that waits although no copy of its start order can be carried out."""
    world = World("a", "b")
    world.add(job("j", step()))
    order = first_start(world)
    for _ in START_TIMEOUTS_S[1:]:
        world.answer(order, Refused(reason=Refusal.NOT_SENT))
        (order,) = world.starts(order.timeout_s)
    world.answer(order, Refused(reason=Refusal.NOT_SENT))
    (elsewhere,) = world.starts(order.timeout_s)
    assert elsewhere.host != order.host


def test_a_restarted_host_gets_no_second_copy():
    """Guards against a restarted host that carries out both copies of a start order."""
    world = World("a")
    world.add(job("j", step()))
    order = first_start(world)
    world.hosts["a"].incarnation = 2
    world.hosts["a"].clock_offset = 0.0
    world.deliver_reports()
    world.answer(order, Unanswered())
    assert world.starts(TIMEOUT_S) == []


@pytest.mark.parametrize("carried_out_late", [True, False])
def test_a_start_with_an_unanswered_copy_waits_for_the_new_incarnation(carried_out_late):
    """Guards against a task that runs twice because a late copy reaches a restarted host."""
    world = World("a", "b")
    world.add(job("j", step()))
    order = first_start(world)
    world.answer(order, Unanswered())
    world.accept(*world.starts(TIMEOUT_S))
    part = restart(world, order.host)
    world.deliver_reports()
    assert world.decide(0.1) == []
    if carried_out_late:
        part.run(order)
    world.now += 0.1
    world.deliver_reports()
    assert [item.task for item in world.starts()] == [order.task] * (not carried_out_late)
    assert not carried_out_late or run_of(world, order).phase is RunPhase.RUNNING


@pytest.mark.parametrize("settled_by", ["its deadline", "a stop", "the end of all leases"])
@pytest.mark.parametrize(
    ("ticket", "earliest_s", "latest_s"),
    [
        pytest.param("", MAX_ORDER_DELAY_S, MAX_ORDER_DELAY_S + 0.5, id="without a ticket"),
        pytest.param("ticket", 0.0, LEASE_S + 1.0, id="with a ticket"),
    ],
)
def test_a_start_is_not_given_up_while_a_late_copy_could_reach_a_restarted_host(
    settled_by, ticket, earliest_s, latest_s
):
    """Guards against a second run of a task if its host restarts after the start was given up."""
    world = World("a", "b")
    world.add(job("j", step()))
    order = first_start(world)
    run_of(world, order).order = evolve(order, ticket=ticket)
    for _ in START_TIMEOUTS_S:
        world.answer(order, Unanswered())
    world.starts()
    unanswered_at = world.now
    if settled_by == "a stop":
        world.dispatcher.stop_answered(order.host, order.task, order.attempt, world.now + 100.0)
    silent = {order.host} if settled_by == "the end of all leases" else set()
    again = []
    while not again and world.now < unanswered_at + 30:
        world.now += 0.25
        world.deliver_reports(*(set(world.hosts) - silent))
        again = world.starts()
    assert [item.task for item in again] == [order.task]
    assert earliest_s <= world.now - unanswered_at <= latest_s


def test_a_stopped_start_is_not_sent_again():
    """Guards against a retry of a start order after the client has cancelled the job."""
    world = World("a")
    world.add(job("j", step()))
    order = first_start(world)
    world.dispatcher.cancel_job("j")
    world.answer(order, Unanswered())
    assert world.starts(TIMEOUT_S) == []


def test_a_late_answer_to_an_earlier_copy_counts():
    """Guards against a run that stays UNCLEAR although the first copy of its order was answered."""
    world = World("a")
    world.add(job("j", step()))
    order = first_start(world)
    world.answer(order, Unanswered())
    (again,) = world.starts(TIMEOUT_S)
    world.hosts["a"].run(order)
    world.answer(order, Started(clock_s=world.now + 100.0))
    world.answer(again, Refused(reason=Refusal.OLD_ATTEMPT))
    assert run_of(world, order).phase is RunPhase.RUNNING


def restart(world: World, id: str):
    """Restart a host under its id, with a clock that begins at 0."""
    host = world.hosts[id]
    host.running.clear()
    host.incarnation += 1
    host.clock_offset = -world.now
    return host


def test_a_late_answer_of_a_former_incarnation_does_not_settle_a_start():
    """Guards against a run that never ends because its last known time is on a former clock."""
    world = World("a", "b")
    world.add(job("j", step()))
    order = first_start(world)
    restart(world, order.host)
    world.deliver_reports()
    world.answer(order, Started(clock_s=world.now + 100.0))
    assert world.decide(0.1) == []
    world.now += 0.1
    world.deliver_reports()
    assert [item.task for item in world.starts()] == [order.task]


def test_a_report_sent_before_a_restart_was_noticed_ends_no_answered_run():
    """Guards against ending a run that the new incarnation has started after its report."""
    world = World("a", "b")
    world.add(job("j", step()))
    order = first_start(world)
    host = restart(world, order.host)
    sent_at = world.now
    report = host.report(world.now)
    world.now += 0.2
    world.accept(order)
    world.dispatcher.handle_report(host.id, report, sent_at=sent_at, now=world.now)
    assert world.starts(0.1) == []
    world.deliver_reports()
    assert run_of(world, order).phase is RunPhase.RUNNING
    assert not run_of(world, order).stopping
