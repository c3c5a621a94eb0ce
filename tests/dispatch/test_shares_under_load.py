"""Shares of client accounts while more work waits than the hosts can run."""

from __future__ import annotations

import random
import sys
from functools import partial

import pytest

from rhubarbferry.dispatch.messages import Account, Queue, StepRequest

from .full_cell import FullCell, Load
from .world import CORES, step

SEEDS = (1, 2, 3)
WEIGHTS = {"small": 1.0, "middle": 2.0, "large": 5.0}


def tasks(rng: random.Random, *, max_count: int = 4, max_cores: int = 2) -> StepRequest:
    """Return a step of a few tasks of 1 to 2 cores that run for about a second."""
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
    rates = {"small": 15.0, "middle": 15.0, "large": 30.0}
    cell = FullCell(loads=loads(WEIGHTS, rates, seed), seed=seed)
    cell.run(60)
    assert cell.share_error(0, 60) <= 0.02
    assert max(cell.share_error(begin, begin + 10) for begin in range(51)) <= 0.05


@pytest.mark.parametrize("seed", SEEDS)
def test_the_share_of_an_idle_account_is_used_by_the_others(seed):
    """Load: the account with the largest weight sends nothing."""
    busy = {name: weight for name, weight in WEIGHTS.items() if name != "large"}
    cell = FullCell(loads=loads(busy, {"small": 30.0, "middle": 30.0}, seed), seed=seed)
    idle = Account(name="large", weight=WEIGHTS["large"])
    accounts = {load.account.name: load.account for load in cell.loads} | {"large": idle}
    cell.world.dispatcher.configure({"queue": cell.loads[0].queue}, accounts, now=cell.world.now)
    cell.run(60)
    assert cell.share_error(0, 60) <= 0.02
    used = sum(cell.core_s(5, 60).values())
    assert used / (55 * cell.cores) >= 0.95


OBJECTIVE_S = 2.0


def served_in_time(seed: int, hot_rate: float) -> dict[str, float]:
    """Return the fraction of the jobs of each account that end within their objective."""
    queue = Queue(
        name="queue", service="pool", attempts=3, slack_factor=1.0, objective_s=OBJECTIVE_S
    )
    weights = dict.fromkeys(("a", "b", "c", "hot"), 1.0)
    rates = dict.fromkeys(("a", "b", "c"), USUAL_JOBS_PER_S) | {"hot": hot_rate}
    cell = FullCell(loads=loads(weights, rates, seed, queue=queue, max_open=sys.maxsize), seed=seed)
    cell.run(30)
    return {
        name: sum(elapsed <= 1.5 + OBJECTIVE_S for elapsed in cell.ended[name]) / cell.sent[name]
        for name in weights
    }


# A job is 3.75 core-seconds, so four accounts use 0.8 of 64 cores at this rate.
USUAL_JOBS_PER_S = 0.8 * 64 / 4 / 3.75


@pytest.mark.parametrize("seed", SEEDS)
def test_a_hot_account_costs_the_others_next_to_nothing(seed):
    """Load: one of four accounts sends six times its usual for half a minute."""
    usual = served_in_time(seed, USUAL_JOBS_PER_S)
    hot = served_in_time(seed, 6 * USUAL_JOBS_PER_S)
    for name in ("a", "b", "c"):
        assert hot[name] >= usual[name] - 0.02
