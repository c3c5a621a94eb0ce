"""Simulated days: a mechanism must raise the earned worth under the load that it addresses."""

from __future__ import annotations

from attrs import evolve

from rhubarbferry.bench.day_work import FAULT_FREE_DAY, StartsLost
from rhubarbferry.bench.days import DaySimulation
from rhubarbferry.dispatch import tracker

DROPPED_STARTS = (StartsLost(at_s=0.0, duration_s=20.0, fraction=0.2),)
DAY = evolve(FAULT_FREE_DAY, seconds=20.0, starts_lost=DROPPED_STARTS)


def measure_worth() -> float:
    simulation = DaySimulation(day=DAY, seed="1")
    simulation.run()
    return simulation.statistics()["worth_share"]


def test_start_retries_earn_more_worth_when_hosts_lose_orders(monkeypatch):
    """Guards against wide gangs that start too late when hosts lose one start request in five."""
    with_retries = measure_worth()
    monkeypatch.setattr(tracker, "next_retry", lambda run, host, now: None)
    assert with_retries > measure_worth() + 0.05
