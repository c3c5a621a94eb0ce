"""Metrics and log lines about the usage of client accounts."""

from __future__ import annotations

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
    _, report = make_report()
    report.update()
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
    report.update()
    assert [name for name, _ in report.log.events] == ["account.usage_mismatch"]
