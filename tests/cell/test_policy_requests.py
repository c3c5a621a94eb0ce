"""Assignment of short and long policy service requests to processes."""

from __future__ import annotations

import pytest
from attrs import Factory, define, evolve

from rhubarbferry.cell.policy_processes import MAX_AVOIDED_S, MIN_AVOIDED_S
from rhubarbferry.cell.policy_requests import LONG_REQUEST_S, Assignment, PolicyRequestQueue
from rhubarbferry.dispatch.approval_requests import RequestRank
from rhubarbferry.dispatch.messages import ApprovalCost, ApprovalRequest, StepId
from rhubarbferry.dispatch.objective import Urgency

from .fakes import member

SHORT = ApprovalCost(decision_s=LONG_REQUEST_S / 2, per_host_s=0.0, valid_s=5.0)
LONG = ApprovalCost(decision_s=2 * LONG_REQUEST_S, per_host_s=0.0, valid_s=5.0)
MEMBERS = [
    evolve(member("far"), region="elsewhere"),
    member("near"),
    member("own"),
    evolve(member("farther"), region="elsewhere"),
]


IN_TIME = RequestRank(urgency=Urgency.IN_TIME, priority=0)


@define
class FakeSource:
    """Ranks of the requests by job id, ``IN_TIME`` unless set; ``None`` for an ended step."""

    ranks: dict[str, RequestRank | None] = Factory(dict)
    updated: dict[str, ApprovalRequest | None] = Factory(dict)

    def request_rank(self, request: ApprovalRequest, *, now: float) -> RequestRank | None:
        return self.ranks.get(request.step.job, IN_TIME)

    def update_request(self, request: ApprovalRequest, *, now: float) -> ApprovalRequest | None:
        return self.updated.get(request.step.job, request)


def new_queue(source: FakeSource | None = None) -> PolicyRequestQueue:
    return PolicyRequestQueue(own="own", region="region", source=source or FakeSource())


def request_for(job: str, cost: ApprovalCost) -> ApprovalRequest:
    return ApprovalRequest(step=StepId(job=job, occurrence=0, step=0), hosts=("a",), cost=cost)


def add_and_assign(
    queue: PolicyRequestQueue, *requests: tuple[str, ApprovalCost]
) -> list[tuple[str, str]]:
    for job, cost in requests:
        queue.add(request_for(job, cost), now=0.0)
    return assigned(queue)


def add_all(
    queue: PolicyRequestQueue, *requests: tuple[str, ApprovalCost], now: float = 0.0
) -> dict[str, Assignment]:
    """Add requests and return the assignments by job id."""
    for job, cost in requests:
        queue.add(request_for(job, cost), now=now)
    return {item.order.step.job: item for item in queue.assign(MEMBERS, now=now)}


def assigned(queue: PolicyRequestQueue, now: float = 0.0) -> list[tuple[str, str]]:
    return [(item.order.step.job, item.member.name) for item in queue.assign(MEMBERS, now=now)]


ASSIGNED = {
    "a short one goes to the nearest": ([("a", SHORT)], [("a", "own")]),
    "a long one goes to the farthest": ([("a", LONG)], [("a", "farther")]),
    "short ones take all processes, near ones first": (
        [(job, SHORT) for job in "abcde"],
        [("a", "own"), ("b", "near"), ("c", "far"), ("d", "farther")],
    ),
    "long ones leave a process for short ones": (
        [(job, LONG) for job in "abcd"],
        [("a", "farther"), ("b", "far"), ("c", "near")],
    ),
    "a short one passes long ones that have to wait": (
        [("a", LONG), ("b", LONG), ("c", LONG), ("d", LONG), ("e", SHORT)],
        [("a", "farther"), ("b", "far"), ("c", "near"), ("e", "own")],
    ),
}


@pytest.mark.parametrize(("requests", "assignments"), ASSIGNED.values(), ids=ASSIGNED.keys())
def test_requests_are_assigned_to_idle_processes(requests, assignments):
    """Guards against short requests that wait behind long ones."""
    assert add_and_assign(new_queue(), *requests) == assignments


def test_process_sends_one_request_at_a_time():
    queue = new_queue()
    assignments = add_all(queue, *[(job, SHORT) for job in "abcde"])
    assert assigned(queue) == []
    queue.done(assignments["c"], answered=True, now=0.0)
    assert assigned(queue) == [("e", "far")]


def test_long_request_counts_until_it_is_answered():
    """Guards against long requests that occupy all processes."""
    queue = new_queue()
    assignments = add_all(queue, ("a", LONG), ("b", LONG), ("c", LONG))
    assert add_and_assign(queue, ("d", LONG)) == []
    queue.done(assignments["a"], answered=True, now=0.0)
    assert assigned(queue) == [("d", "farther")]


def rank(urgency: Urgency = Urgency.IN_TIME, priority: int = 0, **fields) -> RequestRank:
    return RequestRank(urgency=urgency, priority=priority, **fields)


ORDERED = {
    "by urgency": [rank(Urgency.LATE, 0), rank(Urgency.IN_TIME, 9)],
    "by priority": [rank(priority=2, unreserved=False), rank(priority=1)],
    "reserved room first": [rank(arrived_at=1.0), rank(unreserved=False, arrived_at=2.0)],
    "by the arrival of the job": [rank(arrived_at=2.0), rank(arrived_at=1.0)],
}


@pytest.mark.parametrize("ranks", ORDERED.values(), ids=ORDERED.keys())
@pytest.mark.parametrize("cost", [SHORT, LONG])
def test_lower_rank_is_assigned_first(ranks, cost):
    later, sooner = ranks
    queue = new_queue(FakeSource(ranks={"later": later, "sooner": sooner}))
    assert [job for job, _ in add_and_assign(queue, ("later", cost), ("sooner", cost))] == [
        "sooner",
        "later",
    ]


def occupied(source: FakeSource) -> tuple[PolicyRequestQueue, list[Assignment]]:
    """Return a queue whose processes are all busy."""
    queue = new_queue(source)
    return queue, list(add_all(queue, *[(f"busy{i}", SHORT) for i in range(4)]).values())


def test_rank_is_that_of_the_assignment():
    """Guards against requests of jobs that have become late ahead of those still in time."""
    source = FakeSource()
    queue, busy = occupied(source)
    add_all(queue, ("first", SHORT), ("second", SHORT))
    source.ranks["first"] = rank(Urgency.LATE)
    queue.done(busy[0], answered=True, now=1.0)
    assert [job for job, _ in assigned(queue, now=1.0)] == ["second"]


NOT_NEEDED = {
    "its step has ended": FakeSource(ranks={"busy": IN_TIME}),
    "its hosts are no longer needed": FakeSource(updated={"gone": None}),
}


@pytest.mark.parametrize("source", NOT_NEEDED.values(), ids=NOT_NEEDED.keys())
def test_request_that_is_not_needed_is_not_sent(source):
    """Guards against calls of the policy service that nothing waits for."""
    queue, busy = occupied(source)
    add_all(queue, ("gone", SHORT), ("next", SHORT))
    if "gone" not in source.updated:
        source.ranks["gone"] = None
    queue.done(busy[0], answered=True, now=1.0)
    assert [job for job, _ in assigned(queue, now=1.0)] == ["next"]
    assert queue.take_dropped() == 1


def test_waiting_request_is_sent_with_the_hosts_needed_now():
    """Guards against a call about hosts that were free when it was requested."""
    now_needed = evolve(request_for("old", SHORT), hosts=("b", "c"))
    source = FakeSource(updated={"old": now_needed})
    queue, busy = occupied(source)
    add_all(queue, ("old", SHORT))
    queue.done(busy[0], answered=True, now=1.0)
    assert [item.order for item in queue.assign(MEMBERS, now=1.0)] == [now_needed]


def test_short_requests_keep_as_many_processes_free_as_they_use():
    """Guards against urgent short requests that wait for long ones on a busy cell."""
    members = [member(f"m{index}") for index in range(12)]
    queue = new_queue()
    assert queue.max_long(12, now=0.0) == 11
    for tick in range(200):
        now = tick * 0.1
        for index in range(2):
            queue.add(request_for(f"j{tick}-{index}", SHORT), now=now)
        for item in queue.assign(members, now=now):
            queue.done(item, answered=True, now=now)
    # Two requests of 0.15 s in 0.1 s occupy three processes on average.
    assert 12 - 8 <= queue.max_long(12, now=20.0) <= 12 - 4
    assert queue.max_long(12, now=200.0) == 11


def test_request_of_a_process_that_left_is_released():
    """Guards against a request that stays in progress for its time limit after its process died."""
    queue = new_queue()
    sent = add_all(queue, ("a", LONG))["a"]
    remaining = [item for item in MEMBERS if item.name != sent.member.name]
    assert queue.release_absent(MEMBERS) == []
    assert queue.release_absent(remaining) == [sent]
    queue.add(request_for("a", LONG), now=0.1)
    (again,) = queue.assign(remaining, now=0.1)
    # The end of the first call must not release the second one.
    assert not queue.done(sent, answered=False, now=0.2)
    assert queue.done(again, answered=True, now=0.3)


def fail(queue: PolicyRequestQueue, name: str, now: float) -> None:
    """Let the request of one process fail and those of the others succeed."""
    for index in range(len(MEMBERS)):
        queue.add(request_for(f"{now}-{index}", SHORT), now=now)
    for item in queue.assign(MEMBERS, now=now):
        queue.done(item, answered=item.member.name != name, now=now)


def test_process_whose_requests_fail_is_avoided():
    """Guards against a policy service that hangs for some processes and gets each retry there."""
    queue = new_queue()
    fail(queue, "own", 0.0)
    assert add_and_assign(queue, ("a", SHORT)) == [("a", "near")]
    queue.add(request_for("b", SHORT), now=MIN_AVOIDED_S)
    assert assigned(queue, now=MIN_AVOIDED_S) == [("b", "own")]


def test_process_is_avoided_for_a_bounded_time():
    queue = new_queue()
    now = 0.0
    for _ in range(10):
        fail(queue, "own", now)
        now += MAX_AVOIDED_S
    queue.add(request_for("last", SHORT), now=now)
    assert assigned(queue, now=now) == [("last", "own")]


def test_all_processes_are_used_when_most_fail():
    """Guards against requests that wait after an outage of the policy service has ended."""
    queue = new_queue()
    for item in add_all(queue, *[(job, SHORT) for job in "abc"]).values():
        queue.done(item, answered=False, now=0.0)
    assert len(add_and_assign(queue, *[(job, SHORT) for job in "defg"])) == 4


def test_waiting_requests_are_not_scanned():
    """Guards against assignment time that grows with the number of waiting requests."""
    cost_lookups = []

    class CountedCost(ApprovalCost):
        def duration_s(self, hosts: int) -> float:
            cost_lookups.append(hosts)
            return super().duration_s(hosts)

    cost = CountedCost(decision_s=LONG_REQUEST_S / 2, per_host_s=0.0, valid_s=5.0)
    queue = new_queue()
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
    "half of the available processes stay free for others": (6, 100, [50, 50]),
    "one free process makes one call": (2, 75, [75]),
    "a call names no more than the policy service takes": (4, 150, [75, 75]),
    "what is too much for the free processes waits": (2, 150, [75]),
}


@pytest.mark.parametrize(("processes", "hosts", "sizes"), PARTS.values(), ids=PARTS.keys())
def test_long_request_is_split_among_idle_processes(processes, hosts, sizes):
    """Guards against wide jobs that start late because their requests are sent one at a time."""
    queue = new_queue()
    queue.add(slow_request(hosts), now=0.0)
    assignments = queue.assign([member(f"m{index}") for index in range(processes)], now=0.0)
    assert [len(item.order.hosts) for item in assignments] == sizes
    requested = [id for item in assignments for id in item.order.hosts]
    assert requested == list(slow_request(hosts).hosts[: len(requested)])


CONTENDED = {
    "no more parts than the objective requires": (1.2, 140, [70, 70]),
    "no smaller than is useful": (0.6, 100, [25, 25, 25, 25]),
    "as large as a call may be without an objective": (0.0, 200, [100, 100]),
}


@pytest.mark.parametrize(
    ("objective_s", "hosts", "sizes"), CONTENDED.values(), ids=CONTENDED.keys()
)
def test_parts_are_larger_while_other_requests_wait(objective_s, hosts, sizes):
    """Guards against calls that are lost to the fixed time of many small parts."""
    queue = new_queue()
    first = evolve(slow_request(hosts), objective_s=objective_s)
    queue.add(first, now=0.0)
    for index in range(7):
        queue.add(request_for(f"other{index}", LONG), now=0.0)
    assignments = queue.assign([member(f"m{index}") for index in range(16)], now=0.0)
    parts = [item.order for item in assignments if item.order.step == first.step]
    assert [len(part.hosts) for part in parts] == sizes


def test_all_parts_of_a_request_are_sent():
    """Guards against hosts that a step waits for but no request contains."""
    queue = new_queue()
    queue.add(slow_request(250), now=0.0)
    requested: list[str] = []
    while assignments := queue.assign([member("one"), member("two")], now=0.0):
        for item in assignments:
            requested += item.order.hosts
            queue.done(item, answered=True, now=0.0)
    assert sorted(requested) == sorted(slow_request(250).hosts)
