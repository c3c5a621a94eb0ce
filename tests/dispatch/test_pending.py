"""Number of jobs in a queue that have not started, while hosts do not answer their start orders."""

from __future__ import annotations

import pytest

from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.messages import EndKind, Started, Unanswered

from .world import QUEUE, World, entry, job, step


def pending(world: World) -> int:
    return world.dispatcher.count_pending(QUEUE.name)


def order_first_task(world: World):
    world.add(job("j", step()))
    (order,) = world.starts()
    return order


def test_a_job_whose_start_was_not_answered_is_pending():
    """Guards against a queue that is shown as empty while its tasks wait for a host that is cut."""
    world = World("a")
    order = order_first_task(world)
    while order is not None:
        assert pending(world) == 1
        world.answer(order, Unanswered())
        order = next(iter(world.starts(order.timeout_s)), None)
    assert pending(world) == 1
    assert world.dispatcher.jobs["j"].phase is JobPhase.QUEUED


@pytest.mark.parametrize("confirmed_by", ["answer", "report", "end", "report to a successor"])
def test_a_job_is_pending_until_a_host_confirms_a_run(confirmed_by):
    """Guards against a running job that is still counted as pending."""
    world = World("a")
    order = order_first_task(world)
    assert pending(world) == 1
    host = world.hosts["a"]
    match confirmed_by:
        case "answer":
            world.answer(order, Started(clock_s=world.now + host.clock_offset))
        case "report":
            host.run(order)
        case "end":
            host.end(order, EndKind.FAILED)
        case "report to a successor":
            host.run(order)
            world = World()
            world.add(job("j", step(), inherited=True))
            world.dispatcher.host_listed(entry("a"), now=world.now)
            world.hosts["a"] = host
    world.deliver_reports()
    assert pending(world) == 0
    assert world.dispatcher.jobs["j"].phase is JobPhase.RUNNING


def test_a_late_confirmation_does_not_resume_a_cancelled_job():
    """Guards against a cancelled job that is shown as running since a host confirms a run of it."""
    world = World("a")
    order = order_first_task(world)
    world.dispatcher.cancel_job("j")
    world.answer(order, Started(clock_s=world.now + world.hosts["a"].clock_offset))
    world.hosts["a"].run(order)
    world.deliver_reports()
    assert world.dispatcher.jobs["j"].phase is JobPhase.CANCELLED


def test_a_run_that_a_successor_finds_causes_no_record_of_a_running_job():
    """Guards against a write of each running job to the store after a takeover."""
    world = World("a")
    order = order_first_task(world)
    host = world.hosts["a"]
    host.run(order)
    world = World()
    inherited = job("j", step(), inherited=True)
    inherited.phase = JobPhase.RUNNING
    world.add(inherited)
    world.dispatcher.host_listed(entry("a"), now=world.now)
    world.hosts["a"] = host
    world.deliver_reports()
    assert pending(world) == 0
    assert not world.dispatcher.dirty


def test_a_job_recorded_as_running_is_not_pending_under_a_new_owner():
    """Guards against a started job that is counted as pending since its run is lost."""
    world = World("a")
    inherited = job("j", step(), inherited=True)
    inherited.phase = JobPhase.RUNNING
    world.add(inherited)
    world.deliver_reports()
    assert pending(world) == 0
