"""Cost of a decision while thousands of tasks run."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.approvals import StepApprovals
from rhubarbferry.dispatch.candidates import Candidates
from rhubarbferry.dispatch.messages import ApprovalCost
from rhubarbferry.dispatch.waiting import WaitingSteps

from .world import QUEUE, World, job, step


class NotIterable(dict):
    """Runs that may be looked up but not iterated over."""

    def __iter__(self):
        raise AssertionError("a decision iterated over all runs")

    keys = values = items = __iter__


def test_an_idle_decision_does_not_iterate_over_runs():
    """Guards against decisions whose cost grows with the number of runs."""
    world = World("a", "b")
    world.add(job("j", step(8)))
    world.accept(*world.starts())
    world.decide(0.1)
    for host in world.dispatcher.tracker.hosts.values():
        host.runs = NotIterable(host.runs)
    assert world.decide(0.1) == []


QUEUE_WITH_APPROVALS = evolve(
    QUEUE, advice=ApprovalCost(decision_s=0.4, per_host_s=0.01, valid_s=2.0)
)
REPORTS = {
    "while its first request is pending": ({"pending": {"a", "b"}}, "a", False),
    "by an approved host": ({"approved": {"a"}, "pending": {"b"}}, "a", True),
    "by a host named in the pending request": ({"approved": {"a"}, "pending": {"b"}}, "b", False),
    "by a denied host": ({"denied": {"a"}}, "a", False),
    "by an undecided host": ({"denied": {"a"}}, "b", True),
}


@pytest.mark.parametrize(("approvals", "host", "tried"), REPORTS.values(), ids=REPORTS.keys())
def test_a_report_selects_only_steps_that_can_use_the_host(approvals, host, tried):
    """Guards against decisions whose cost grows with the number of steps awaiting approvals."""
    world = World("a", "b")
    waiting = WaitingSteps()
    (candidate,) = world.add(job("j", step(), queue=QUEUE_WITH_APPROVALS)).steps()
    candidate.approvals = StepApprovals(**approvals)
    waiting.add(candidate, world.now)
    candidates = Candidates(waiting=waiting)
    candidates.collect([world.dispatcher.tracker.hosts[host]])
    assert bool(candidates) is tried
