"""Pace of filling tasks on a host with tasks that serve users."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.messages import PaceOrder

from .world import World, job, step

GOAL_S = 0.1
# Maximum time for which the tail latency may exceed its goal, as the platform documents.
MAX_IMPACT_S = 4.0
POLL_INTERVAL_S = 0.7


def serving(**fields):
    return step(lasting=True, goal_s=GOAL_S, image="web", **fields)


def filling(count: int = 1):
    return step(count, filling=True, image="batch")


class Users:
    """Users of one serving task on host ``a``, whose tail latency rises with each filling task.

    :ivar base_latency_s: tail latency without filling tasks.
    :ivar latency_per_task_s: latency added by each filling task at full pace.
    """

    def __init__(self, world: World, *, base_latency_s: float, latency_per_task_s: float) -> None:
        self.world = world
        self.base_latency_s = base_latency_s
        self.latency_per_task_s = latency_per_task_s
        self.paces: dict = {}
        self.answering = True
        self.orders: list[PaceOrder] = []

    def tail_latency_s(self) -> float:
        host = self.world.hosts["a"]
        filling = [key for key in host.running if key[0].job.startswith("fill")]
        shares = [self.paces.get(key, 100) / 100 for key in filling]
        return self.base_latency_s + self.latency_per_task_s * sum(shares)

    def poll(self) -> float:
        """Deliver a report of the host and make a decision; return the reported tail latency."""
        host = self.world.hosts["a"]
        tail_latency_s = self.tail_latency_s()
        for key, run in list(host.running.items()):
            if key[0].job == "serve":
                host.running[key] = evolve(run, tail_latency_s=tail_latency_s, percent=100)
            elif self.paces.get(key, 100):
                host.running[key] = evolve(run, percent=run.percent + 1)
        self.world.deliver_reports()
        for order in self.world.decide(POLL_INTERVAL_S):
            if isinstance(order, PaceOrder):
                self.orders.append(order)
                if self.answering:
                    self.confirm(order)
        return tail_latency_s

    def confirm(self, order: PaceOrder) -> None:
        self.paces[(order.task, order.attempt)] = order.percent
        self.world.dispatcher.pace_answered(
            order.host, order.task, order.attempt, order.percent, now=self.world.now
        )


def shared_host(
    *, fillers: int = 3, base_latency_s: float = 0.05, latency_per_task_s: float
) -> Users:
    world = World("a")
    world.add(job("serve", serving()))
    world.accept(*world.starts())
    world.add(job("fill", filling(fillers)))
    world.accept(*world.starts())
    return Users(world, base_latency_s=base_latency_s, latency_per_task_s=latency_per_task_s)


@pytest.mark.parametrize(
    "latency_per_task_s", [0.018, 0.03, 0.2], ids=["a little", "by half", "far over"]
)
def test_tail_latency_recovers_within_the_impact_limit(latency_per_task_s):
    """Guards against a tail latency above its goal for as long as filling tasks run."""
    users = shared_host(latency_per_task_s=latency_per_task_s)
    latencies = [users.poll() for _ in range(30)]
    over = [latency > GOAL_S for latency in latencies]
    longest = max(len(run) for run in "".join("x" if o else " " for o in over).split(" "))
    assert longest * POLL_INTERVAL_S < MAX_IMPACT_S
    assert sum(over) * POLL_INTERVAL_S < 3 * MAX_IMPACT_S / 2


def test_filling_tasks_keep_full_pace_while_tail_latency_is_low():
    users = shared_host(latency_per_task_s=0.001)
    for _ in range(10):
        users.poll()
    assert users.orders == []


def test_pace_is_restored_when_the_serving_load_drops():
    users = shared_host(latency_per_task_s=0.2)
    for _ in range(4):
        users.poll()
    assert set(users.paces.values()) == {0}
    users.latency_per_task_s = 0.001
    for _ in range(20):
        users.poll()
    assert set(users.paces.values()) == {100}


def test_an_unanswered_pace_order_is_sent_again():
    """Guards against a filling task that stays at full pace after a lost answer."""
    users = shared_host(fillers=1, latency_per_task_s=0.2)
    users.answering = False
    for _ in range(4):
        users.poll()
    assert [order.percent for order in users.orders] == [0, 0, 0, 0]


def test_a_host_with_reduced_pace_gets_no_new_filling_tasks():
    users = shared_host(fillers=1, latency_per_task_s=0.2)
    users.poll()
    users.world.add(job("fill-more", filling()))
    assert users.world.starts() == []


def test_a_filling_task_with_pace_zero_is_not_taken_for_hung():
    """Guards against stopping a task that makes no progress because its pace is 0."""
    users = shared_host(fillers=1, latency_per_task_s=0.2)
    stops = []
    for _ in range(8):
        users.poll()
        stops += [order for order in users.world.decide() if not isinstance(order, PaceOrder)]
    assert stops == []


def test_a_new_owner_sets_the_pace_of_adopted_runs():
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
