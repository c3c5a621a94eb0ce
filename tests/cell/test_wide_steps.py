"""Start a wide gang that needs approvals in a half-used cell of hundreds of hosts."""

from __future__ import annotations

import zlib

import pytest
from attrs import evolve

from rhubarbferry.cell.policy_requests import PolicyRequestQueue
from rhubarbferry.dispatch.messages import (
    Approval,
    ApprovalCost,
    ApprovalRequest,
    ApprovalResponse,
    StartOrder,
)
from tests.dispatch.world import CORES, QUEUE, World, job, step

from .fakes import member

HOSTS = 500
HOST_CORES = 64
DECISION_INTERVAL_S = 0.02
APPROVED_OF_100 = 25
COST = ApprovalCost(decision_s=0.48, per_host_s=0.0069, valid_s=1.5)
QUEUE_WITH_APPROVALS = evolve(QUEUE, name="advised", advice=COST)
# 1.5 times the duration of an approval request for 30 hosts, which is the delay that users expect.
STARTS_WITHIN_S = 1.5 * COST.duration_s(30)


def half_used_cell() -> World:
    hosts = [f"h{index:03}" for index in range(HOSTS)]
    world = World(*hosts, millicores=HOST_CORES * CORES)
    half = step(HOSTS, millicores=HOST_CORES * CORES // 2, estimate=600.0, max_per_host=1)
    world.add(job("half", half))
    placed = world.starts()
    while world.dispatcher.has_more:
        placed += world.starts()
    world.accept(*placed)
    world.deliver_reports()
    return world


def approves(host: str) -> bool:
    return zlib.crc32(host.encode()) % 100 < APPROVED_OF_100


def answer(world: World, order: ApprovalRequest) -> None:
    approvals = tuple(Approval(host=id, ticket="t") for id in order.hosts if approves(id))
    response = ApprovalResponse(
        step=order.step,
        asked=order.hosts,
        approvals=approvals,
        answered_at=world.now,
        valid_s=COST.valid_s,
    )
    world.dispatcher.handle_approvals(response, now=world.now)


def wait_for_starts(world: World, *, processes: int, until: float) -> list[StartOrder]:
    """Simulate processes that send requests to the policy service until a task starts."""
    members = [member(f"m{index}") for index in range(processes)]
    queue = PolicyRequestQueue(own="m0", region="region")
    in_progress: list[tuple[float, str, ApprovalRequest]] = []
    while world.now < until:
        world.deliver_reports()
        for entry in [entry for entry in in_progress if entry[0] <= world.now]:
            in_progress.remove(entry)
            queue.done(entry[1])
            answer(world, entry[2])
        orders = world.decide(DECISION_INTERVAL_S)
        started = [order for order in orders if isinstance(order, StartOrder)]
        if started:
            return started
        for order in orders:
            if isinstance(order, ApprovalRequest):
                queue.add(order, priority=0)
        for item in queue.assign(members):
            answered_at = world.now + COST.duration_s(len(item.order.hosts))
            in_progress.append((answered_at, item.member.name, item.order))
    return []


@pytest.mark.parametrize("width", [5, 20, 58])
def test_a_wide_gang_starts_about_as_soon_as_a_narrow_one(width):
    """Guard against five consecutive requests to the policy service for one gang.

    Each host has capacity for one task of the gang, and one host in four is approved.
    """
    world = half_used_cell()
    req = step(width, millicores=26 * CORES, gang=True)
    world.add(job("wide", req, queue=QUEUE_WITH_APPROVALS))
    started = wait_for_starts(world, processes=97, until=world.now + STARTS_WITHIN_S)
    assert len(started) == width
