"""Log lines of the hosts that a new owner waits for."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from rhubarbferry.cell.decision_log import MAX_LISTED_IDS, DecisionLog
from rhubarbferry.cell.host_poller import HostPoller
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.messages import HostEntry, HostReport, Sizes
from rhubarbferry.dispatch.takeover import RosterEntry, Takeover
from rhubarbferry.ports.workers import WorkerGone
from rhubarbferry.test.fake_clock import FakeClock
from tests.dispatch.world import LEASE_S, World, job, step

from .fakes import FakeEventLog, lines


def poller(dispatcher: Dispatcher, clock: FakeClock, *, answer) -> tuple[HostPoller, FakeEventLog]:
    log = FakeEventLog()

    async def extend_leases(entry, req) -> HostReport:
        if isinstance(answer, Exception):
            raise answer
        return answer

    ctx = SimpleNamespace(
        process=SimpleNamespace(
            log=log,
            lag_s=lambda: 0.0,
            cfg=SimpleNamespace(bounds=SimpleNamespace(task_lease_s=LEASE_S)),
            workers=SimpleNamespace(extend_leases=extend_leases),
        ),
        dispatcher=dispatcher,
        tenure=SimpleNamespace(holds=lambda: True),
        fence_is_current=lambda host, fence: True,
        note_changes=lambda: None,
        record=asyncio.Event(),
        wake=asyncio.Event(),
        now=clock.monotonic,
    )
    return HostPoller(ctx=ctx, id="a"), log


def roster_host(clock: FakeClock, *, incarnation: int, roster_incarnation: int) -> Dispatcher:
    """Return a dispatcher whose takeover waits for a host since 0.75 s."""
    entry = RosterEntry(id="a", address="a:1", incarnation=roster_incarnation, service="pool")
    takeover = Takeover(
        unconfirmed={"a": entry},
        leases_expire_at=clock.monotonic() + 9.0,
        began_at=clock.monotonic() - 0.75,
    )
    dispatcher = Dispatcher(takeover=takeover, lease_s=LEASE_S)
    listed = HostEntry(
        id="a", incarnation=incarnation, service="pool", address="a:1", capacity=Sizes()
    )
    dispatcher.host_listed(listed, now=clock.monotonic())
    dispatcher.tracker.hosts["a"].fence = 7
    return dispatcher


REPORTS = {
    "the listed incarnation": (2, 2, 2, "report"),
    "the host list is ahead of the roster": (2, 3, 3, "report of a later incarnation"),
}


@pytest.mark.parametrize(
    ("roster_incarnation", "listed", "reported", "by"), REPORTS.values(), ids=REPORTS.keys()
)
async def test_an_adopted_host_is_logged_with_how_the_takeover_was_confirmed(
    roster_incarnation, listed, reported, by
):
    """Guards against a host that counts as having answered without a word of how."""
    clock = FakeClock()
    dispatcher = roster_host(clock, incarnation=listed, roster_incarnation=roster_incarnation)
    report = HostReport(clock_s=5.0, incarnation=reported, running=(), ended=())
    polling, log = poller(dispatcher, clock, answer=report)
    for _ in range(2):
        await polling.poll_once()
    assert lines(log, "host.confirmed") == []
    assert lines(log, "host.adopted") == [
        {
            "host": "a",
            "incarnation": reported,
            "running": 0,
            "ended": 0,
            "fence": 7,
            "listed_incarnation": roster_incarnation,
            "confirmed_by": by,
            "after_s": 0.75,
        }
    ]


async def test_a_host_that_is_adopted_after_the_takeover_is_logged_without_a_confirmation():
    """Guards against a host of the takeover that seems to answer twice."""
    clock = FakeClock()
    dispatcher = roster_host(clock, incarnation=2, roster_incarnation=2)
    dispatcher.takeover.unconfirmed.clear()
    report = HostReport(clock_s=5.0, incarnation=2, running=(), ended=())
    polling, log = poller(dispatcher, clock, answer=report)
    await polling.poll_once()
    (line,) = lines(log, "host.adopted")
    assert "confirmed_by" not in line


UNREAD_REPORTS = {
    "earlier": (1, "report of an earlier incarnation"),
    "later": (3, "restart, runs not read"),
}


@pytest.mark.parametrize(("reported", "by"), UNREAD_REPORTS.values(), ids=UNREAD_REPORTS.keys())
@pytest.mark.parametrize("counts", [True, False], ids=["counts", "does not count"])
async def test_a_host_that_another_incarnation_confirms_is_logged_as_such(
    monkeypatch, reported, by, counts
):
    """Guards against a takeover that goes on after a report whose runs nobody has read."""

    def handle_report(self, id, report, *, sent_at, now) -> None:
        if counts:
            del self.takeover.unconfirmed[id]

    monkeypatch.setattr(Dispatcher, "handle_report", handle_report)
    clock = FakeClock()
    dispatcher = roster_host(clock, incarnation=2, roster_incarnation=2)
    report = HostReport(clock_s=5.0, incarnation=reported, running=(), ended=())
    polling, log = poller(dispatcher, clock, answer=report)
    await polling.poll_once()
    confirmed = lines(log, "host.confirmed")
    assert [line["confirmed_by"] for line in confirmed] == ([by] if counts else [])
    assert lines(log, "host.adopted") == []


async def test_a_host_whose_address_has_another_host_is_logged_as_confirmed_by_it():
    """Guards against a host that the takeover no longer waits for without a line."""
    clock = FakeClock()
    dispatcher = roster_host(clock, incarnation=2, roster_incarnation=2)
    polling, log = poller(dispatcher, clock, answer=WorkerGone("another host uses its address"))
    await polling.poll_once()
    assert lines(log, "host.confirmed") == [
        {
            "host": "a",
            "fence": 7,
            "listed_incarnation": 2,
            "confirmed_by": "another host at its address",
            "after_s": 0.75,
        }
    ]


@pytest.mark.parametrize("roster_known", [True, False])
def test_hosts_that_are_given_up_by_time_are_logged_with_the_jobs_that_waited(roster_known):
    """Guards against a task that is started again while no line says whom the owner gave up."""
    hosts = tuple(f"h{number:02}" for number in range(MAX_LISTED_IDS + 2))
    world = World(roster=hosts)
    world.dispatcher.takeover.roster_known = roster_known
    world.dispatcher.takeover.began_at = world.now
    for number in range(MAX_LISTED_IDS + 1):
        world.add(job(f"j{number:02}", step(), inherited=True, first_attempt=5))
    log = FakeEventLog()
    decisions = DecisionLog(log=log, fence=5)
    world.decide(1.0)
    decisions.outcomes(world.dispatcher)
    assert lines(log, "takeover.hosts_given_up") == []
    for _ in range(2):
        world.decide(8.0)
        decisions.outcomes(world.dispatcher)
    assert lines(log, "takeover.hosts_given_up") == [
        {
            "fence": 5,
            "hosts": hosts[:MAX_LISTED_IDS],
            "host_count": MAX_LISTED_IDS + 2,
            "jobs": tuple(f"j{number:02}" for number in range(MAX_LISTED_IDS)),
            "job_count": MAX_LISTED_IDS + 1,
            "roster_known": roster_known,
            "waited_s": 9.0,
        }
    ]


def test_a_takeover_that_waits_for_no_host_gives_none_up():
    """Guards against a line that accuses a takeover of which every host has answered."""
    world = World("a")
    world.now += 10.0
    world.add(job("j", step(), inherited=True, first_attempt=5))
    world.decide()
    log = FakeEventLog()
    DecisionLog(log=log, fence=5).outcomes(world.dispatcher)
    assert lines(log, "takeover.hosts_given_up") == []
