"""Renewal of tickets for a step with more tasks than its hosts have room for."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.approval_requests import RENEWAL_TIME_SHARE
from rhubarbferry.dispatch.messages import (
    Approval,
    ApprovalCost,
    ApprovalRequest,
    ApprovalResponse,
    Order,
    StartOrder,
)

from .world import QUEUE, World, job, step

VALID_S = 2.0
COST = ApprovalCost(decision_s=0.1, per_host_s=0.001, valid_s=VALID_S)
HOSTS = ("a", "b", "c", "d")


def answer(world: World, order: ApprovalRequest) -> None:
    response = ApprovalResponse(
        step=order.step,
        asked=order.hosts,
        approvals=tuple(Approval(host=id, ticket="t") for id in order.hosts),
        answered_at=world.now,
        valid_s=VALID_S,
    )
    world.dispatcher.handle_approvals(response, now=world.now)


def full_world(cost: ApprovalCost) -> tuple[World, dict[str, StartOrder]]:
    """Return hosts filled by a step whose other tasks wait, and a start order on each host.

    The tickets of the step have expired.
    """
    world = World(*HOSTS)
    req = step(100, estimate=60.0)
    world.add(job("wide", req, queue=evolve(QUEUE, advice=cost)))
    (request,) = world.decide()
    answer(world, request)
    started = world.starts(0.1)
    world.accept(*started)
    world.deliver_reports()
    world.now += VALID_S
    world.deliver_reports()
    assert world.decide() == []
    return world, {order.host: order for order in started}


def end_run(world: World, order: StartOrder) -> list[Order]:
    world.hosts[order.host].end(order)
    world.deliver_reports()
    return world.decide(0.1)


def test_a_request_renews_the_tickets_of_the_other_approved_hosts():
    """Guards against a request for each task of a wide step as room becomes free."""
    world, runs = full_world(COST)
    (request,) = end_run(world, runs["a"])
    assert request.hosts[0] == "a"
    assert set(request.hosts) == set(HOSTS)
    answer(world, request)
    assert [order.host for order in world.starts(0.1)] == ["a"]
    for host in ("b", "c", "d"):
        assert [type(order) for order in end_run(world, runs[host])] == [StartOrder]


LIMITS = {"none": (0.2, 0), "one": (0.02, 1), "two": (0.01, 2)}


@pytest.mark.parametrize(("per_host_s", "others"), LIMITS.values(), ids=LIMITS.keys())
def test_renewals_do_not_make_a_request_much_slower(per_host_s, others):
    """Guards against a reserved task that waits for the tickets of hosts without room."""
    cost = evolve(COST, per_host_s=per_host_s)
    world, runs = full_world(cost)
    (request,) = end_run(world, runs["a"])
    assert len(request.hosts) == 1 + others
    assert others * per_host_s <= RENEWAL_TIME_SHARE * cost.decision_s
