"""Assignment of short and long policy service requests to processes."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.cell.policy_requests import LONG_REQUEST_S, PolicyRequestQueue
from rhubarbferry.dispatch.messages import ApprovalCost, ApprovalRequest, StepId

from .fakes import member

SHORT = ApprovalCost(decision_s=LONG_REQUEST_S / 2, per_host_s=0.0, valid_s=5.0)
LONG = ApprovalCost(decision_s=2 * LONG_REQUEST_S, per_host_s=0.0, valid_s=5.0)
MEMBERS = [
    evolve(member("far"), region="elsewhere"),
    member("near"),
    member("own"),
    evolve(member("farther"), region="elsewhere"),
]


def request_for(job: str, cost: ApprovalCost) -> ApprovalRequest:
    return ApprovalRequest(step=StepId(job=job, occurrence=0, step=0), hosts=("a",), cost=cost)


def add_and_assign(
    queue: PolicyRequestQueue, *requests: tuple[str, ApprovalCost]
) -> list[tuple[str, str]]:
    for job, cost in requests:
        queue.add(request_for(job, cost), priority=0)
    return assigned(queue)


def assigned(queue: PolicyRequestQueue) -> list[tuple[str, str]]:
    return [(item.order.step.job, item.member.name) for item in queue.assign(MEMBERS)]


ASSIGNED = {
    "a short one goes to the nearest": ([("a", SHORT)], [("a", "own")]),
    "a long one goes to the farthest": ([("a", LONG)], [("a", "farther")]),
    "short ones take all processes, near ones first": (
        [(job, SHORT) for job in "abcde"],
        [("a", "own"), ("b", "near"), ("c", "far"), ("d", "farther")],
    ),
    "long ones take half of the processes": (
        [(job, LONG) for job in "abc"],
        [("a", "farther"), ("b", "far")],
    ),
    "a short one passes long ones that have to wait": (
        [("a", LONG), ("b", LONG), ("c", LONG), ("d", SHORT)],
        [("a", "farther"), ("b", "far"), ("d", "own")],
    ),
}


@pytest.mark.parametrize(("requests", "assignments"), ASSIGNED.values(), ids=ASSIGNED.keys())
def test_requests_are_assigned_to_idle_processes(requests, assignments):
    """Guards against short requests that wait behind long ones."""
    assert add_and_assign(PolicyRequestQueue(own="own", region="region"), *requests) == assignments


def test_process_sends_one_request_at_a_time():
    queue = PolicyRequestQueue(own="own", region="region")
    add_and_assign(queue, *[(job, SHORT) for job in "abcde"])
    assert assigned(queue) == []
    queue.done("far")
    assert assigned(queue) == [("e", "far")]


def test_long_request_counts_until_it_is_answered():
    """Guards against long requests that occupy all processes."""
    queue = PolicyRequestQueue(own="own", region="region")
    add_and_assign(queue, ("a", LONG), ("b", LONG))
    assert add_and_assign(queue, ("c", LONG)) == []
    queue.done("farther")
    assert assigned(queue) == [("c", "farther")]


def test_lower_priority_number_is_assigned_first():
    queue = PolicyRequestQueue(own="own", region="region")
    for job, priority in [("late", 2), ("soon", 0), ("next", 1)]:
        queue.add(request_for(job, SHORT), priority=priority)
    assert [job for job, _ in assigned(queue)] == ["soon", "next", "late"]


def test_waiting_requests_are_not_scanned():
    """Guards against assignment time that grows with the number of waiting requests."""
    cost_lookups = []

    class CountedCost(ApprovalCost):
        def duration_s(self, hosts: int) -> float:
            cost_lookups.append(hosts)
            return super().duration_s(hosts)

    cost = CountedCost(decision_s=LONG_REQUEST_S / 2, per_host_s=0.0, valid_s=5.0)
    queue = PolicyRequestQueue(own="own", region="region")
    add_and_assign(queue, *[(f"job{index}", cost) for index in range(500)])
    cost_lookups.clear()
    assert assigned(queue) == []
    assert cost_lookups == []


def slow_request(hosts: int) -> ApprovalRequest:
    """Return a request whose answer takes 0.5 s, plus 0.01 s for each host."""
    cost = ApprovalCost(decision_s=0.5, per_host_s=0.01, valid_s=5.0)
    ids = tuple(f"h{index}" for index in range(hosts))
    return ApprovalRequest(step=StepId(job="slow", occurrence=0, step=0), hosts=ids, cost=cost)


PARTS = {
    "few hosts are asked about in one call": (16, 25, [25]),
    "many are divided while processes are free": (16, 75, [25, 25, 25]),
    "half of the free processes stay free for others": (8, 100, [50, 50]),
    "one free process makes one call": (2, 75, [75]),
    "a call names no more than the policy service takes": (4, 150, [75, 75]),
    "what is too much for the free processes waits": (2, 150, [75]),
}


@pytest.mark.parametrize(("processes", "hosts", "sizes"), PARTS.values(), ids=PARTS.keys())
def test_long_request_is_split_among_idle_processes(processes, hosts, sizes):
    """Guards against wide jobs that start late because their requests are sent one at a time."""
    queue = PolicyRequestQueue(own="own", region="region")
    queue.add(slow_request(hosts), priority=0)
    assignments = queue.assign([member(f"m{index}") for index in range(processes)])
    assert [len(item.order.hosts) for item in assignments] == sizes
    requested = [id for item in assignments for id in item.order.hosts]
    assert requested == list(slow_request(hosts).hosts[: len(requested)])


def test_all_parts_of_a_request_are_sent():
    """Guards against hosts that a step waits for but no request contains."""
    queue = PolicyRequestQueue(own="own", region="region")
    queue.add(slow_request(250), priority=0)
    requested: list[str] = []
    while assignments := queue.assign([member("one"), member("two")]):
        for item in assignments:
            requested += item.order.hosts
            queue.done(item.member.name)
    assert sorted(requested) == sorted(slow_request(250).hosts)
