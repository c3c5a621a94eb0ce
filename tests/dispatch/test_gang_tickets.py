"""Gangs whose tickets come from several questions to a busy policy service."""

from __future__ import annotations

import pytest

from rhubarbferry.dispatch.messages import (
    Advice,
    AdviceCost,
    AdviceOrder,
    Approval,
    Queue,
    StartOrder,
)

from .world import World, job, step

HOSTS = ("a", "b", "c")
VALID_S = 2.5
LOOK_S = 0.1
QUEUE = Queue(
    name="advised",
    service="pool",
    advice=AdviceCost(decision_s=0.4, per_host_s=0.01, valid_s=VALID_S),
)


class Policy:
    """A policy service that approves every host and takes its time."""

    def __init__(self, world: World, *, answer_s: float) -> None:
        self.world = world
        self.answer_s = answer_s
        self.asked: list[tuple[float, AdviceOrder]] = []
        self.questions = 0

    def ask(self, order: AdviceOrder) -> None:
        self.questions += 1
        self.asked.append((self.world.now + self.answer_s, order))

    def answer(self) -> None:
        due = [order for at, order in self.asked if at <= self.world.now]
        self.asked = [(at, order) for at, order in self.asked if at > self.world.now]
        for order in due:
            approvals = tuple(Approval(host=host, ticket=f"for {host}") for host in order.hosts)
            self.world.dispatcher.advised(
                Advice(
                    step=order.step,
                    asked=order.hosts,
                    approvals=approvals,
                    answered_at=self.world.now,
                    valid_s=VALID_S,
                ),
                now=self.world.now,
            )


@pytest.mark.parametrize("answer_s", [0.5, 1.2, 1.9])
def test_a_gang_starts_though_its_tickets_came_one_after_the_other(answer_s):
    """Guards against a gang that renews one lapsed ticket while the next one lapses."""
    world = World()
    policy = Policy(world, answer_s=answer_s)
    world.add(job("gang", step(len(HOSTS), millicores=8000, gang=True), queue=QUEUE))
    to_add = list(HOSTS)
    started: list[StartOrder] = []
    # A question for each host, one for all of them, and the pauses between.
    latest_s = (len(HOSTS) + 1) * (answer_s + 0.5)
    begun = world.now
    while not started and world.now < begun + latest_s:
        if to_add and not policy.asked:
            world.add_host(to_add.pop(0))
        world.deliver_reports()
        policy.answer()
        for order in world.decide(LOOK_S):
            match order:
                case AdviceOrder():
                    policy.ask(order)
                case StartOrder():
                    started.append(order)
    assert {order.host for order in started} == set(HOSTS)
    assert policy.questions <= len(HOSTS) + 1
