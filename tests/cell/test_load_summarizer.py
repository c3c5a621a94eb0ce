"""Sums of the load that the owner of a full cell makes at an interval."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from prometheus_client import REGISTRY

from rhubarbferry.cell import load_summarizer
from rhubarbferry.cell.accounts import AccountTable
from rhubarbferry.cell.load_summarizer import LoadSummarizer
from rhubarbferry.cell.settings import AdmissionSettings
from rhubarbferry.rpc.gen.ttypes import KnownLoad
from tests.dispatch.test_admission import ACCOUNTS, flooded_world, full_world, submit

from .fakes import FakeEventLog

FENCE, REVISION = 5, 4
INTERVAL_S = 0.01


class Owner:
    """A summarizer over a simulated dispatcher."""

    def __init__(self, world, *, accounts=ACCOUNTS, on: bool = True) -> None:
        self.world = world
        self.log = FakeEventLog()
        self.settings = AdmissionSettings(refuse_when_full=on)
        routes = SimpleNamespace(revision=REVISION, accounts=AccountTable(settings=accounts))
        process = SimpleNamespace(
            routes=lambda: routes, admission=lambda: self.settings, log=self.log
        )
        self.summarizer = LoadSummarizer(
            ctx=SimpleNamespace(
                process=process,
                dispatcher=world.dispatcher,
                tenure=SimpleNamespace(fence=FENCE),
                now=lambda: world.now,
            )
        )

    async def run(self, seconds: float = 5 * INTERVAL_S) -> None:
        running = asyncio.create_task(self.summarizer.run())
        await asyncio.sleep(seconds)
        assert not running.done(), running.exception()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


@pytest.fixture(autouse=True)
def short_interval(monkeypatch):
    monkeypatch.setattr(load_summarizer, "SUMMARY_INTERVAL_S", INTERVAL_S)


def ahead(account: str) -> float | None:
    labels = {"account": account, "service": "pool"}
    return REGISTRY.get_sample_value("rhubarbferry_account_ahead_core_seconds", labels)


async def test_flood_is_summed_up_and_shown():
    owner = Owner(flooded_world())
    await owner.run()
    latest = owner.summarizer.latest
    assert latest is not None
    assert (latest.fence, latest.config_revision, latest.taken_at) == (FENCE, REVISION, 10.0)
    assert latest.find("pool", "a") is not None
    assert ahead("a") == pytest.approx(960.0)
    assert owner.log.outcomes("service.load") == ["full"]
    owner.summarizer.clear_metrics()
    assert ahead("a") is None


async def test_a_service_that_has_room_again_is_logged_and_shown_no_longer():
    world = flooded_world()
    owner = Owner(world)
    await owner.run()
    for id in list(world.dispatcher.jobs):
        world.dispatcher.cancel_job(id)
    for host in world.dispatcher.tracker.hosts.values():
        host.used = type(host.used)()
    await owner.run()
    assert owner.summarizer.latest.services == ()
    assert owner.log.outcomes("service.load") == ["full", "has room"]
    assert ahead("a") is None


@pytest.mark.parametrize("fields", [{"on": False}, {"accounts": {}}], ids=["off", "no accounts"])
async def test_nothing_is_summed_up_unless_the_deployment_calls_for_it(fields):
    """Guards against another behaviour of deployments without accounts or with the default."""
    owner = Owner(flooded_world(), **fields)
    await owner.run()
    assert owner.summarizer.latest is None
    assert owner.summarizer.newer_than(KnownLoad(fence=0, number=0)) is None
    assert owner.log.events == []


async def test_jobs_that_end_while_the_load_is_summed_up_do_no_harm(monkeypatch):
    """Guards against an owner that fails because the backlog changes between two slices."""
    monkeypatch.setattr(load_summarizer, "JOBS_PER_TURN", 1)
    world = full_world()
    submit(world, ACCOUNTS["a"], 200)
    while (orders := world.starts()) or world.dispatcher.has_more:
        world.accept(*orders)
    owner = Owner(world)
    running = asyncio.create_task(owner.run(20 * INTERVAL_S))
    for id in list(world.dispatcher.jobs):
        await asyncio.sleep(0)
        world.dispatcher.cancel_job(id)
        submit(world, ACCOUNTS["b"], 1)
    await running
    assert owner.summarizer.latest is not None
