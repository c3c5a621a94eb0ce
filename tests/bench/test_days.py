"""Simulated days: a dispatcher mechanism must raise the worth under the fault it handles."""

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


def test_start_retries_raise_worth_when_start_requests_are_lost(monkeypatch):
    """One start request in five is lost. Without retries, wide gangs would start too late."""
    with_retries = measure_worth()
    monkeypatch.setattr(tracker, "next_retry", lambda run, host, now: None)
    assert with_retries > measure_worth() + 0.05
