"""Shares of client accounts in a full cell."""

from __future__ import annotations

import math

import pytest
from attrs import Factory, define, evolve

from rhubarbferry.bench.day_work import FAULT_FREE_DAY, Burst, Day
from rhubarbferry.bench.days import DaySimulation
from rhubarbferry.dispatch import dispatcher
from rhubarbferry.dispatch.account_shares import AccountShares, owed_shares
from rhubarbferry.dispatch.candidates import Candidates
from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.messages import Account, StopOrder
from rhubarbferry.dispatch.preemption import Holds, _sum_held_room

from .world import QUEUE, World, job, step

# Weights of the accounts and the shares that they are owed.
WEIGHTS = {
    "no account": ({}, {}),
    "one account": ({"a": 3.0}, {"a": 1.0}),
    "by weight": ({"a": 3.0, "b": 1.0}, {"a": 0.75, "b": 0.25}),
    "no positive weight": ({"a": 0.0, "b": -1.0}, {}),
    "huge weights": ({"a": 1.7e308, "b": 1.7e308}, {"a": 0.5, "b": 0.5}),
    "infinite counts as 0": ({"a": 2.0, "b": math.inf}, {"a": 1.0, "b": 0.0}),
    "not a number counts as 0": ({"a": 2.0, "b": math.nan}, {"a": 1.0, "b": 0.0}),
    "a weight below 0 counts as 0": ({"a": 2.0, "b": -1.0}, {"a": 1.0, "b": 0.0}),
}


@pytest.mark.parametrize(("weights", "shares"), WEIGHTS.values(), ids=WEIGHTS.keys())
def test_shares_follow_the_weights(weights, shares):
    accounts = [Account(name=name, weight=weight) for name, weight in weights.items()]
    assert owed_shares(accounts) == shares


INVALID_WEIGHTS = {"zero": 0.0, "negative": -2.0, "not a number": math.nan, "infinite": math.inf}


def make_shares(*accounts: Account, used: dict[str, int]) -> AccountShares:
    """Return the shares of accounts that run tasks of one core on a host of 8 cores."""
    world = World("a")
    world.dispatcher.configure({}, {account.name: account for account in accounts}, now=world.now)
    for name, count in used.items():
        account = next((account for account in accounts if account.name == name), None)
        world.add(job(f"of {name}", step(count), account=account))
    world.decide(0.1)
    return world.dispatcher.shares


@pytest.mark.parametrize("weight", INVALID_WEIGHTS.values(), ids=INVALID_WEIGHTS.keys())
def test_an_invalid_weight_counts_as_the_smallest(weight):
    """Guards against a typing error in the configuration that stops or starves an account."""
    accounts = [
        Account(name="bad", weight=weight),
        Account(name="a", weight=1.0),
        Account(name="b", weight=2.0),
    ]
    shares = make_shares(*accounts, used={"bad": 2, "a": 2, "b": 2})
    assert shares.owed == {"bad": 0.25, "a": 0.25, "b": 0.5}
    assert shares.standing("bad") == shares.standing("a") == 2 * shares.standing("b")
    assert shares.invalid == {"bad"}


@pytest.mark.parametrize("weight", INVALID_WEIGHTS.values(), ids=INVALID_WEIGHTS.keys())
def test_accounts_whose_weights_are_all_invalid_have_equal_shares(weight):
    accounts = [Account(name=name, weight=weight) for name in ("a", "b")]
    assert make_shares(*accounts, used={}).owed == {"a": 0.5, "b": 0.5}


def test_extreme_weights_have_finite_standings():
    accounts = [
        Account(name="huge", weight=1.7e308),
        Account(name="as huge", weight=1.7e308),
        Account(name="tiny", weight=5e-324),
    ]
    shares = make_shares(*accounts, used={"tiny": 1, "huge": 1})
    assert shares.owed["huge"] == 0.5
    assert 1.0 < shares.standing("tiny") < math.inf


def test_the_standing_is_the_dominant_share_in_use_relative_to_the_share_owed():
    accounts = [Account(name="a", weight=1.0), Account(name="b", weight=3.0)]
    shares = make_shares(*accounts, used={"a": 4, "b": 3})
    assert shares.in_use("a") == 0.5
    assert shares.standing("a") == 2.0
    assert shares.standing("b") == 0.5


def test_jobs_without_an_account_share_as_one_account_of_the_smallest_weight():
    """Guards against work that bypasses the shares by having no account."""
    accounts = [Account(name="a", weight=1.0), Account(name="b", weight=3.0)]
    shares = make_shares(*accounts, used={"a": 2, "": 4})
    assert shares.standing("") == 2 * shares.standing("a")


@pytest.mark.parametrize("accounts", [[], [Account(name="a", weight=3.0)]], ids=len)
def test_fewer_than_two_accounts_have_no_standing(accounts):
    shares = make_shares(*accounts, used={"a": 4} if accounts else {"": 4})
    assert not shares.enabled
    assert shares.standing("a") == shares.standing("") == 0.0


EXCLUDED = {
    "above for above": ("above", "above", True),
    "above for below": ("above", "below", True),
    "below for below": ("below", "below", True),
    "below for above": ("below", "above", False),
}


@pytest.mark.parametrize(("run", "step_of", "allowed"), EXCLUDED.values(), ids=EXCLUDED.keys())
def test_runs_below_their_share_do_not_give_way_to_accounts_above(run, step_of, allowed):
    """Guards against preemption that moves room away from an account that is owed it."""
    accounts = {
        "above": Account(name="above", weight=1.0),
        "below": Account(name="below", weight=3.0),
    }
    world = World("a")
    world.dispatcher.configure({}, accounts, now=world.now)
    jobs = {name: job(name, step(4), account=account) for name, account in accounts.items()}
    for item in jobs.values():
        world.add(item)
    world.accept(*world.starts(0.1))
    waiting = world.add(job("waiting", step(), account=accounts[step_of]))
    shares = world.dispatcher.shares
    victim, *_ = jobs[run].runs()
    assert shares.may_give_way(victim, next(iter(waiting.steps()))) is allowed


def test_runs_of_accounts_above_their_share_are_preempted_first():
    """Load: a gang needs half of a full host, whose tasks belong to a hot and a modest account."""
    accounts = {
        "hot": Account(name="hot", weight=1.0),
        "modest": Account(name="modest", weight=1.0),
        "wide": Account(name="wide", weight=2.0),
    }
    batch = evolve(QUEUE, name="batch", priority=2, objective_s=600.0)
    lower = evolve(QUEUE, name="lower", priority=3, objective_s=600.0)
    world = World("a")
    world.dispatcher.configure({}, accounts, now=world.now)
    fields = {"estimate": 20.0, "checkpointable": True}
    world.add(job("hot", step(6, **fields), queue=batch, account=accounts["hot"]))
    world.add(job("modest", step(2, **fields), queue=lower, account=accounts["modest"]))
    world.accept(*world.starts(0.1))
    world.now += 0.1
    world.deliver_reports()
    gang = step(4, gang=True)
    wide = evolve(QUEUE, name="wide", priority=1, objective_s=600.0)
    world.add(job("gang", gang, queue=wide, account=accounts["wide"], arrived_at=world.now))
    stopped = [order for order in world.decide() if isinstance(order, StopOrder)]
    assert [order.task.job for order in stopped] == ["hot"] * 4


class ByPosition(Candidates):
    """The order without accounts: by urgency, priority and arrival alone."""

    def collect(self, changed):
        enabled, self.shares = self.shares, AccountShares()
        super().collect(changed)
        self.shares = enabled


@define(kw_only=True, eq=False)
class RecordedDay(DaySimulation):
    """A generated day that records the orders of its dispatcher."""

    orders: list = Factory(list)

    def _execute(self, order):
        self.orders.append(order)
        super()._execute(order)


def play_day(day: Day, seed: int, account: Account | None) -> list:
    """Return all orders of a generated day whose jobs belong to one account or to none."""
    simulation = RecordedDay(day=day, seed=str(seed), account=account)
    simulation.run()
    return simulation.orders


@pytest.mark.parametrize("account", [None, Account(name="a", weight=2.0)], ids=["none", "one"])
@pytest.mark.parametrize("seed", [1, 2])
def test_with_fewer_than_two_accounts_all_orders_are_as_without_shares(monkeypatch, seed, account):
    """Guards against changes for deployments without accounts."""
    day = evolve(FAULT_FREE_DAY, seconds=8.0, bursts=(Burst(at_s=0, duration_s=8, factor=1.6),))
    orders = play_day(day, seed, account)
    monkeypatch.setattr(dispatcher, "Candidates", ByPosition)
    monkeypatch.setattr(Holds, "room_held_before", held_before_by_position)
    assert orders == play_day(day, seed, None)


def held_before_by_position(holds: Holds, step: Step, positions) -> dict:
    return _sum_held_room(
        hold
        for other, hold in holds._holds.items()
        if positions.get(other, positions[step]) < positions[step]
    )
