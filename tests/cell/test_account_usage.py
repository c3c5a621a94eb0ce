"""Metrics and log lines about the usage of client accounts."""

from __future__ import annotations

import math

from prometheus_client import REGISTRY

from rhubarbferry.cell.account_usage import AccountUsageReport
from rhubarbferry.dispatch.messages import Account, Sizes
from tests.dispatch.world import CORES, World, job, step

from .fakes import FakeEventLog

LANNA = Account(name="lanna", quota=Sizes(millicores=2 * CORES))


def make_report() -> tuple[World, AccountUsageReport]:
    world = World("a")
    world.add(job("j", step(3), account=LANNA))
    world.add(job("wide", step(3, gang=True), account=LANNA))
    world.accept(*world.starts())
    return world, AccountUsageReport(log=FakeEventLog(), dispatcher=world.dispatcher)


def sample(name: str, **labels: str) -> float | None:
    return REGISTRY.get_sample_value(name, {"account": "lanna", **labels})


def test_usage_quota_and_blocked_steps_are_exported_by_the_owner_only():
    world, report = make_report()
    report.update(world.now)
    assert sample("rhubarbferry_account_used", resource="millicores") == 2 * CORES
    assert sample("rhubarbferry_account_quota", resource="millicores") == 2 * CORES
    assert sample("rhubarbferry_account_blocked_steps") == 2
    report.clear()
    assert sample("rhubarbferry_account_blocked_steps") is None


def test_a_blocked_step_is_logged_once_with_its_reason():
    world, report = make_report()
    for _ in range(3):
        world.decide(0.1)
        report.log_blocked_steps()
    lines = {fields["job"]: fields["outcome"] for _, fields in report.log.events}
    assert len(report.log.events) == 2
    assert lines == {"j": "its account is at its quota", "wide": "larger than the quota"}


def test_a_usage_that_differs_from_the_runs_is_logged():
    """Guards against a leak in the counted usage, which would block an account unseen."""
    world, report = make_report()
    host = world.dispatcher.tracker.hosts["a"]
    host.runs.popitem()
    report.update(world.now)
    assert [name for name, _ in report.log.events] == ["account.usage_mismatch"]


def make_shared_cell(*, hot_weight: float = 1.0) -> tuple[World, AccountUsageReport]:
    """Return a full host on which one of two accounts uses three quarters."""
    accounts = {
        "hot": Account(name="hot", weight=hot_weight),
        "lanna": Account(name="lanna", weight=1.0),
    }
    world = World("a")
    world.dispatcher.configure({}, accounts, now=world.now)
    world.add(job("first", step(6, lasting=True), account=accounts["hot"]))
    world.add(job("other", step(2, lasting=True), account=accounts["lanna"]))
    world.accept(*world.starts(0.1))
    world.add(job("more", step(4), account=accounts["hot"]))
    world.decide(0.1)
    return world, AccountUsageReport(log=FakeEventLog(), dispatcher=world.dispatcher)


def test_shares_are_exported_if_there_are_several_accounts():
    world, report = make_shared_cell()
    report.update(world.now)
    assert sample("rhubarbferry_account_share_in_use") == 0.25
    assert sample("rhubarbferry_account_share_owed") == 0.5
    report.clear()
    assert sample("rhubarbferry_account_share_in_use") is None


def test_one_account_has_no_share():
    world, report = make_report()
    report.update(world.now)
    assert sample("rhubarbferry_account_share_owed") is None
    report.clear()


def test_an_account_that_is_held_back_is_logged_every_few_seconds():
    """Guards against log lines for each decision of an overloaded cell."""
    world, report = make_shared_cell()
    for _ in range(60):
        world.dispatcher.reconsider_all()
        world.deliver_reports()
        world.decide(0.1)
        report.update(world.now)
    lines = [fields for name, fields in report.log.events if name == "account.held_back"]
    assert [line["account"] for line in lines] == ["hot", "hot"]
    assert (lines[0]["share_in_use"], lines[0]["share_owed"]) == (0.75, 0.5)
    report.clear()


def test_an_invalid_weight_is_logged_once():
    world, report = make_shared_cell(hot_weight=math.nan)
    for _ in range(3):
        report.update(world.now)
    lines = [fields for name, fields in report.log.events if name == "account.invalid_weight"]
    assert [(line["account"], line["weight"]) for line in lines] == [("hot", "nan")]
    report.clear()
