"""Pace of filling tasks on a host with tasks that serve users."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.messages import PaceOrder

from .world import World, job, step

GOAL_S = 0.1
# Maximum time for which the tail latency may exceed its goal, as the platform documents.
IMPACT_S = 4.0
LOOK_S = 0.7


def serving(**fields):
    return step(lasting=True, goal_s=GOAL_S, image="web", **fields)


def filling(count: int = 1):
    return step(count, filling=True, image="batch")


class Users:
    """Users of one serving task on host ``a``, whose tail latency rises with each filling task.

    :ivar alone_s: tail latency without filling tasks.
    :ivar each_s: latency added by each filling task at full pace.
    """

    def __init__(self, world: World, *, alone_s: float, each_s: float) -> None:
        self.world = world
        self.alone_s = alone_s
        self.each_s = each_s
        self.paces: dict = {}
        self.answers = True
        self.orders: list[PaceOrder] = []

    def tail_s(self) -> float:
        host = self.world.hosts["a"]
        filling = [key for key in host.running if key[0].job.startswith("fill")]
        shares = [self.paces.get(key, 100) / 100 for key in filling]
        return self.alone_s + self.each_s * sum(shares)

    def look(self) -> float:
        """Deliver a report of the host and make a decision; return the reported tail latency."""
        host = self.world.hosts["a"]
        tail_s = self.tail_s()
        for key, run in list(host.running.items()):
            if key[0].job == "serve":
                host.running[key] = evolve(run, tail_s=tail_s, percent=100)
            elif self.paces.get(key, 100):
                host.running[key] = evolve(run, percent=run.percent + 1)
        self.world.deliver_reports()
        for order in self.world.decide(LOOK_S):
            if isinstance(order, PaceOrder):
                self.orders.append(order)
                if self.answers:
                    self.obey(order)
        return tail_s

    def obey(self, order: PaceOrder) -> None:
        self.paces[(order.task, order.attempt)] = order.percent
        self.world.dispatcher.pace_answered(
            order.host, order.task, order.attempt, order.percent, now=self.world.now
        )


def shared_host(*, fillers: int = 3, alone_s: float = 0.05, each_s: float) -> Users:
    world = World("a")
    world.add(job("serve", serving()))
    world.accept(*world.starts())
    world.add(job("fill", filling(fillers)))
    world.accept(*world.starts())
    return Users(world, alone_s=alone_s, each_s=each_s)


@pytest.mark.parametrize("each_s", [0.018, 0.03, 0.2], ids=["a little", "by half", "far over"])
def test_users_are_not_kept_waiting_by_tasks_that_fill_the_host(each_s):
    """Guards against a tail latency above its goal for as long as filling tasks run."""
    users = shared_host(each_s=each_s)
    tails = [users.look() for _ in range(30)]
    over = [tail > GOAL_S for tail in tails]
    longest = max(len(run) for run in "".join("x" if o else " " for o in over).split(" "))
    assert longest * LOOK_S < IMPACT_S
    assert sum(over) * LOOK_S < 3 * IMPACT_S / 2


def test_filling_goes_on_at_full_pace_where_it_disturbs_nobody():
    users = shared_host(each_s=0.001)
    for _ in range(10):
        users.look()
    assert users.orders == []


def test_filling_gets_its_pace_back_when_those_that_serve_have_less_to_do():
    users = shared_host(each_s=0.2)
    for _ in range(4):
        users.look()
    assert set(users.paces.values()) == {0}
    users.each_s = 0.001
    for _ in range(20):
        users.look()
    assert set(users.paces.values()) == {100}


def test_an_order_without_an_answer_is_given_again():
    """Guards against a filling task that stays at full pace after a lost answer."""
    users = shared_host(fillers=1, each_s=0.2)
    users.answers = False
    for _ in range(4):
        users.look()
    assert [order.percent for order in users.orders] == [0, 0, 0, 0]


def test_a_host_that_must_slow_its_filling_gets_no_more_of_it():
    users = shared_host(fillers=1, each_s=0.2)
    users.look()
    users.world.add(job("fill-more", filling()))
    assert users.world.starts() == []


def test_a_filling_task_with_pace_zero_is_not_taken_for_hung():
    """Guards against stopping a task that makes no progress because its pace is 0."""
    users = shared_host(fillers=1, each_s=0.2)
    stops = []
    for _ in range(8):
        users.look()
        stops += [order for order in users.world.decide() if not isinstance(order, PaceOrder)]
    assert stops == []


def test_a_new_owner_sets_the_pace_of_what_it_finds():
    """Guards against a task that stays slow for good after a takeover."""
    world = World("a")
    part = world.hosts["a"]
    world.add(job("fill", filling(), inherited=False))
    (order,) = world.starts()
    part.run(order)
    second = World("a")
    second.hosts["a"] = part
    second.add(job("fill", filling()))
    second.deliver_reports()
    orders = [o for o in second.decide() if isinstance(o, PaceOrder)]
    assert [order.percent for order in orders] == [100]
