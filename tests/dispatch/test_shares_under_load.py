"""Shares of client accounts while more work waits than the hosts can run."""

from __future__ import annotations

import random
import sys
from functools import partial

import pytest

from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.messages import Account, HostReport, Queue, StartOrder, StepRequest

from .full_cell import FullCell, Load
from .world import CORES, entry, step

SEEDS = (1, 2, 3)
# Time after which the hosts are full and the first tasks, started while they were not, have ended.
FILL_S = 3
WEIGHTS = {"small": 1.0, "middle": 2.0, "large": 5.0}


def tasks(rng: random.Random, *, max_count: int = 2, max_cores: int = 1) -> StepRequest:
    """Return a step of a few small tasks that run for about a second."""
    return step(
        rng.randint(1, max_count),
        millicores=CORES * rng.randint(1, max_cores),
        estimate=rng.uniform(0.5, 1.5),
    )


def loads(weights: dict[str, float], rates: dict[str, float], seed: int, **fields) -> tuple:
    return tuple(
        Load(
            account=Account(name=name, weight=weight),
            jobs_per_s=rates[name],
            step=partial(tasks, random.Random(f"{seed} {name}")),
            **fields,
        )
        for name, weight in weights.items()
        if name in rates
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_a_full_cell_is_shared_by_weight(seed):
    """Load: every account sends several times its share, the smallest one the most."""
    rates = {"small": 60.0, "middle": 60.0, "large": 120.0}
    cell = FullCell(loads=loads(WEIGHTS, rates, seed, max_waiting=15), seed=seed, hosts=16)
    cell.run(FILL_S + 60)
    assert cell.share_error(FILL_S, FILL_S + 60) <= 0.02
    for begin in range(FILL_S, FILL_S + 51):
        assert cell.share_error(begin, begin + 10) <= 0.05


@pytest.mark.parametrize("seed", SEEDS)
def test_the_share_of_an_idle_account_is_used_by_the_others(seed):
    """Load: the account with the largest weight sends nothing."""
    busy = {name: weight for name, weight in WEIGHTS.items() if name != "large"}
    cell = FullCell(loads=loads(busy, {"small": 60.0, "middle": 60.0}, seed), seed=seed)
    idle = Account(name="large", weight=WEIGHTS["large"])
    accounts = {load.account.name: load.account for load in cell.loads} | {"large": idle}
    cell.world.dispatcher.configure({"queue": cell.loads[0].queue}, accounts, now=cell.world.now)
    cell.run(FILL_S + 60)
    assert cell.share_error(FILL_S, FILL_S + 60) <= 0.02
    used = sum(cell.core_s(FILL_S, FILL_S + 60).values())
    assert used / (60 * cell.cores) >= 0.95


OBJECTIVE_S = 2.0


def served_in_time(seed: int, hot_rate: float) -> dict[str, float]:
    """Return the fraction of the jobs of each account that end within their objective."""
    queue = Queue(
        name="queue", service="pool", attempts=3, slack_factor=1.0, objective_s=OBJECTIVE_S
    )
    weights = dict.fromkeys(("a", "b", "c", "hot"), 1.0)
    rates = dict.fromkeys(("a", "b", "c"), USUAL_JOBS_PER_S) | {"hot": hot_rate}
    sent = loads(weights, rates, seed, queue=queue, max_waiting=sys.maxsize)
    cell = FullCell(loads=sent, seed=seed, sends_until=20)
    cell.run(25)
    return {
        name: sum(elapsed <= 1.5 + OBJECTIVE_S for elapsed in cell.ended[name]) / cell.sent[name]
        for name in weights
    }


# A job is 1.5 core-seconds, so four accounts use 0.8 of 64 cores at this rate.
USUAL_JOBS_PER_S = 0.8 * 64 / 4 / 1.5


@pytest.mark.parametrize("seed", SEEDS)
def test_a_hot_account_costs_the_others_next_to_nothing(seed):
    """Load: one of four accounts sends six times its usual for 20 seconds."""
    usual = served_in_time(seed, USUAL_JOBS_PER_S)
    hot = served_in_time(seed, 6 * USUAL_JOBS_PER_S)
    for name in ("a", "b", "c"):
        assert hot[name] >= usual[name] - 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_an_account_with_gangs_gets_its_share_beside_one_with_small_tasks(seed):
    """Load: gangs over half of all hosts beside small tasks that fit anywhere."""
    rng = random.Random(seed)
    wide = Load(
        account=Account(name="wide"),
        jobs_per_s=10.0,
        step=lambda: step(4, millicores=4 * CORES, estimate=rng.uniform(0.5, 1.5), gang=True),
        max_waiting=4,
    )
    small = Load(
        account=Account(name="small"),
        jobs_per_s=90.0,
        step=partial(tasks, random.Random(seed + 100)),
    )
    cell = FullCell(loads=(wide, small), seed=seed)
    cell.run(60)
    used = cell.core_s(0, 60)
    # A gang is a quarter of the cell, so shares are as coarse as that.
    assert 0.4 <= used["wide"] / sum(used.values()) <= 0.6


@pytest.mark.parametrize("seed", SEEDS)
def test_a_new_owner_places_the_same_steps_in_the_same_order(seed):
    """Load: the owner of a full cell is replaced; the new one knows only jobs and runs."""
    rates = {"small": 30.0, "middle": 30.0, "large": 60.0}
    cell = FullCell(loads=loads(WEIGHTS, rates, seed), seed=seed)
    cell.run(5)
    successor = cell.successor()
    assert len(successor.waiting) == len(cell.world.dispatcher.waiting) > 20
    expected = next_starts(cell.world.dispatcher, cell.world.now)
    assert len(expected) >= 8
    assert next_starts(successor, cell.world.now) == expected


def next_starts(dispatcher: Dispatcher, now: float) -> list[str]:
    """Return the jobs of the tasks that start when an empty host joins."""
    host = entry("new", millicores=16 * CORES)
    dispatcher.host_listed(host, now=now)
    report = HostReport(clock_s=now + 100.0, incarnation=1, running=(), ended=())
    dispatcher.handle_report("new", report, sent_at=now, now=now)
    orders = dispatcher.decide(now=now, wall_s=now)
    while dispatcher.has_more:
        orders += dispatcher.decide(now=now, wall_s=now)
    return [order.task.job for order in orders if isinstance(order, StartOrder)]
