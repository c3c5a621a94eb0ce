"""Simulated days: a mechanism must raise the earned worth under the load that it addresses."""

from __future__ import annotations

from attrs import evolve

from rhubarbferry.bench.day_work import CALM, StartsLost
from rhubarbferry.bench.days import Cell
from rhubarbferry.dispatch import tracker

LOSSES = (StartsLost(at_s=0.0, for_s=20.0, share=0.2),)
DAY = evolve(CALM, seconds=20.0, starts_lost=LOSSES)


def worth() -> float:
    cell = Cell(day=DAY, seed="1")
    cell.play()
    return cell.figures()["worth_share"]


def test_starts_that_are_sent_again_serve_more_while_hosts_lose_orders(monkeypatch):
    """Guards against wide gangs that start too late when hosts lose one start request in five."""
    with_retries = worth()
    monkeypatch.setattr(tracker, "next_try", lambda run, host, now: None)
    assert with_retries > worth() + 0.05
