"""Number of hosts that an approval request names; each host delays the response and the start."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.approval_request_size import (
    MAX_COUNTED_HOSTS,
    PRIOR_SHARE,
    ApprovedShare,
    hosts_to_request,
)
from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.messages import (
    Approval,
    ApprovalCost,
    ApprovalRequest,
    ApprovalResponse,
    Order,
    StepRequest,
    StopOrder,
)

from .world import CORES, QUEUE, World, job, step

QUEUE_WITH_APPROVALS = evolve(
    QUEUE, advice=ApprovalCost(decision_s=0.4, per_host_s=0.01, valid_s=2.0)
)
HOSTS = 90
# Each host in these tests has eight cores. Values: step, share of approved hosts, hosts named.
REQUESTS = {
    "one task": (step(1), 1.0, 1),
    "tasks that fill one host": (step(8), 1.0, 1),
    "tasks that fill ten hosts": (step(80), 1.0, 10),
    "tasks as large as a host": (step(5, millicores=8 * CORES), 1.0, 5),
    "tasks on different hosts": (step(5, max_per_host=1), 1.0, 5),
    "more tasks than all hosts hold": (step(HOSTS + 1, millicores=8 * CORES), 1.0, HOSTS),
    "a gang for one rack": (step(2, gang=True, one_rack=True), 1.0, HOSTS),
}


def step_of(world: World, req: StepRequest) -> Step:
    (found,) = world.add(job("j", req, queue=QUEUE_WITH_APPROVALS)).steps()
    return found


def named(world: World, req: StepRequest, share: float) -> list[str]:
    hosts = [world.dispatcher.tracker.hosts[id] for id in world.hosts]
    return [host.id for host in hosts_to_request(step_of(world, req), hosts, [], share)]


@pytest.mark.parametrize(("req", "share", "count"), REQUESTS.values(), ids=REQUESTS.keys())
def test_no_more_hosts_are_named_than_the_tasks_need(req, share, count):
    """Guards against slow responses because a request names hosts that are not needed."""
    world = World(*(f"h{index:02}" for index in range(HOSTS)))
    assert len(named(world, req, share)) == count


def test_more_hosts_are_named_where_fewer_are_approved():
    """Guards against too few approvals, which make a second request necessary."""
    world = World(*(f"h{index:02}" for index in range(HOSTS)))
    counts = [len(named(world, step(8, gang=True), share)) for share in (0.9, 0.5, 0.25)]
    assert counts == sorted(set(counts))
    # The step fits on one host, so a few approved ones are enough.
    assert counts[-1] < HOSTS / 2


def test_hosts_with_more_room_are_named_first():
    world = World(*(f"h{index}" for index in range(4)))
    world.add_host("large", millicores=64 * CORES)
    world.add_host("small", millicores=CORES)
    found = named(world, step(200), 1.0)
    assert (found[0], found[-1]) == ("large", "small")


def test_hosts_near_the_data_are_named_first():
    """Guards against tasks that take several times as long to make the request shorter."""
    world = World("a", "b")
    world.add_host("c", labels=("kind", "rack"))
    assert named(world, step(1, near_rack="rack"), 1.0) == ["c"]


def test_simultaneous_steps_do_not_all_name_the_same_hosts():
    """Guards against jobs that are all approved for the same hosts and compete for their room."""
    world = World(*(f"h{index:02}" for index in range(HOSTS)))
    hosts = list(world.dispatcher.tracker.hosts.values())
    found = set()
    for index in range(20):
        (waiting,) = world.add(job(f"j{index}", step(8), queue=QUEUE_WITH_APPROVALS)).steps()
        found.update(host.id for host in hosts_to_request(waiting, hosts, [], 1.0))
    assert len(found) > 10


def approval_request(orders: list[Order]) -> ApprovalRequest:
    (found,) = [order for order in orders if isinstance(order, ApprovalRequest)]
    return found


def answer(world: World, order: ApprovalRequest, approved: tuple[str, ...]) -> None:
    response = ApprovalResponse(
        step=order.step,
        asked=order.hosts,
        approvals=tuple(Approval(host=id, ticket="t") for id in approved),
        answered_at=world.now,
        valid_s=2.0,
    )
    world.dispatcher.handle_approvals(response, now=world.now)


def test_a_step_whose_hosts_are_denied_requests_others():
    """Guards against a step that waits although free hosts have not been named in a request."""
    world = World(*(f"h{index:02}" for index in range(HOSTS)))
    world.add(job("j", step(1), queue=QUEUE_WITH_APPROVALS))
    asked: list[str] = []
    while len(asked) < HOSTS:
        world.deliver_reports()
        order = approval_request(world.decide(0.1))
        assert not set(order.hosts) & set(asked)
        asked += order.hosts
        answer(world, order, ())
    assert len(asked) == HOSTS


def test_a_request_names_all_hosts_of_a_full_cell():
    """Guards against a step that requests approval of a host only when room on it becomes free."""
    world = World(*(f"h{index:02}" for index in range(HOSTS)))
    world.add(job("others", step(8 * HOSTS)))
    for order in world.starts():
        world.accept(order)
    while world.dispatcher.has_more:
        world.accept(*world.starts())
    world.add(job("j", step(1), queue=QUEUE_WITH_APPROVALS))
    assert len(approval_request(world.decide(0.1)).hosts) == HOSTS


def test_the_approved_share_follows_the_decisions():
    share = ApprovedShare()
    assert share.value == PRIOR_SHARE
    for _ in range(100):
        share.record(decided=50, approved=40)
    assert share.value == pytest.approx(0.8, abs=0.02)


def test_the_approved_share_follows_a_change_of_policy():
    """Guards against requests that name too few hosts after the policy has become stricter."""
    share = ApprovedShare()
    share.record(decided=int(MAX_COUNTED_HOSTS), approved=int(MAX_COUNTED_HOSTS))
    for _ in range(10):
        share.record(decided=int(MAX_COUNTED_HOSTS), approved=0)
    assert 0.0 < share.value < 0.01


def test_renewed_tickets_do_not_count_as_decisions():
    """Guards against a share that grows with each renewal, as only approved hosts are renewed."""
    world = World("a", "b", "c", "d")
    world.add(job("j", step(40), queue=QUEUE_WITH_APPROVALS))
    first = approval_request(world.decide())
    answer(world, first, ("a",))
    shares = world.dispatcher.approved_share(QUEUE_WITH_APPROVALS)
    before = shares.value
    answer(world, evolve(first, hosts=("a",)), ("a",))
    assert shares.value == before


def test_no_preemption_while_a_host_with_room_is_undecided():
    """Guards against preemption for an urgent step while other hosts are idle."""
    world = World("full")
    lower = evolve(QUEUE, name="lower", priority=5)
    req = step(8, estimate=60.0, checkpointable=True)
    world.add(job("others", req, queue=lower))
    world.accept(*world.starts())
    world.deliver_reports()
    urgent = world.add(
        job("j", step(1, estimate=60.0), queue=evolve(QUEUE_WITH_APPROVALS, objective_s=30.0))
    )
    answer(world, approval_request(world.decide(0.1)), ("full",))
    world.add_host("idle")
    orders = world.decide(0.1)
    assert approval_request(orders).hosts == ("idle",)
    assert not any(isinstance(order, StopOrder) for order in orders)
    answer(world, approval_request(orders), ())
    world.deliver_reports()
    stops = [order for order in world.decide(0.1) if isinstance(order, StopOrder)]
    assert [order.task.job for order in stops] == ["others"]
    assert not urgent.started and not urgent.runs()
