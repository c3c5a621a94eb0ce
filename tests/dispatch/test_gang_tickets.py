"""Gangs whose tickets come from several approval requests to a slow policy service."""

from __future__ import annotations

from collections.abc import Sequence

import pytest
from attrs import evolve

from rhubarbferry.dispatch.approval_requests import MAX_HOSTS_PER_CALL
from rhubarbferry.dispatch.messages import (
    Approval,
    ApprovalCost,
    ApprovalRequest,
    ApprovalResponse,
    Queue,
    StartOrder,
)

from .world import World, job, step

HOSTS = ("a", "b", "c")
VALID_S = 2.5
POLL_INTERVAL_S = 0.1
QUEUE = Queue(
    name="advised",
    service="pool",
    advice=ApprovalCost(decision_s=0.4, per_host_s=0.01, valid_s=VALID_S),
)


class Policy:
    """A policy service that approves every host after a delay."""

    def __init__(self, world: World, *, answer_s: float) -> None:
        self.world = world
        self.answer_s = answer_s
        self.pending: list[tuple[float, ApprovalRequest]] = []
        self.request_count = 0

    def add_request(self, order: ApprovalRequest) -> None:
        self.request_count += 1
        for start in range(0, len(order.hosts), MAX_HOSTS_PER_CALL):
            part = evolve(order, hosts=order.hosts[start : start + MAX_HOSTS_PER_CALL])
            self.pending.append((self.world.now + self.answer_s, part))

    def run(self, until: float, *, hosts_to_add: Sequence[str] = ()) -> list[StartOrder]:
        """Answer requests until something starts; add a host whenever no request is pending."""
        left = list(hosts_to_add)
        while self.world.now < until:
            if left and not self.pending:
                self.world.add_host(left.pop(0))
            self.world.deliver_reports()
            self.answer()
            orders = self.world.decide(POLL_INTERVAL_S)
            started = [order for order in orders if isinstance(order, StartOrder)]
            if started:
                return started
            for order in orders:
                if isinstance(order, ApprovalRequest):
                    self.add_request(order)
        return []

    def answer(self) -> None:
        due = [order for at, order in self.pending if at <= self.world.now]
        self.pending = [(at, order) for at, order in self.pending if at > self.world.now]
        for order in due:
            approvals = tuple(Approval(host=host, ticket=f"for {host}") for host in order.hosts)
            self.world.dispatcher.handle_approvals(
                ApprovalResponse(
                    step=order.step,
                    asked=order.hosts,
                    approvals=approvals,
                    answered_at=self.world.now,
                    valid_s=VALID_S,
                ),
                now=self.world.now,
            )


@pytest.mark.parametrize("answer_s", [0.5, 1.2, 1.9])
def test_a_gang_starts_when_its_tickets_arrive_one_by_one(answer_s):
    """Guards against a gang that renews one expired ticket while the next one expires."""
    world = World()
    policy = Policy(world, answer_s=answer_s)
    world.add(job("gang", step(len(HOSTS), millicores=8000, gang=True), queue=QUEUE))
    # One request for each host, one for all of them, and half a second for the interval after each.
    latest_s = (len(HOSTS) + 1) * (answer_s + 0.5)
    started = policy.run(world.now + latest_s, hosts_to_add=list(HOSTS))
    assert {order.host for order in started} == set(HOSTS)
    assert policy.request_count <= len(HOSTS) + 1


@pytest.mark.parametrize("answer_s", [0.5, 1.2])
def test_a_gang_starts_on_more_hosts_than_one_call_may_name(answer_s):
    """Guards against requests that name hosts with valid tickets and omit others."""
    hosts = [f"h{number:03}" for number in range(MAX_HOSTS_PER_CALL + 20)]
    world = World(*hosts[:-1], millicores=8000)
    policy = Policy(world, answer_s=answer_s)
    world.add(job("gang", step(len(hosts), millicores=8000, gang=True), queue=QUEUE))
    # All tickets expire while there is no room for one member.
    assert policy.run(world.now + 2 * VALID_S) == []
    started = policy.run(world.now + 4 * (answer_s + 0.5), hosts_to_add=hosts[-1:])
    assert {order.host for order in started} == set(hosts)
