"""Tests of a term of ownership: loading, handover and batching of decisions."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from rhubarbferry.cell import term as term_module
from rhubarbferry.cell.members import CellView
from rhubarbferry.cell.settings import CellSettings
from rhubarbferry.cell.term import Term
from rhubarbferry.cell.term_context import EndSignal, Tenure
from rhubarbferry.ports.clock import SystemClock

from .fakes import FakeEventLog, keeper_of, member

FENCE = 5
LOAD_TIMEOUT_S = 0.05
TIMEOUT_S = 2.0
BUSY_PERIOD_S = 0.1


class SlowStore:
    """Fake store whose reads never return."""

    async def get(self, key):
        await asyncio.Event().wait()

    async def list(self, prefix):
        await asyncio.Event().wait()


class Peers:
    """Fake of the other processes, some of which are willing to take over."""

    def __init__(self, *, willing: set[str]) -> None:
        self.willing = willing
        self.asked: list[str] = []

    async def take_over(self, successor, fence):
        self.asked.append(successor.name)
        return successor.name in self.willing


def make_term(peers: Peers, *, store_reachable: bool) -> Term:
    view = CellView(members={name: member(name) for name in ("own", "b", "c")})
    lease = SimpleNamespace(id=1)
    keeper = keeper_of(
        lease,
        store_reachable=lambda: store_reachable,
        store_lost=lambda: not store_reachable,
    )
    watcher = SimpleNamespace(restart=lambda: None, next=SlowStore().list)
    process = SimpleNamespace(
        cfg=CellSettings(member="own", region="r", failure_domain="d"),
        clock=SystemClock(),
        store=SlowStore(),
        log=FakeEventLog(),
        own=member("own"),
        view=view,
        keeper=keeper,
        peers=peers,
        watch_prefix=lambda prefix: watcher,
    )
    return Term(process=process, tenure=Tenure(keeper=keeper, lease_id=1, fence=FENCE))


@pytest.mark.parametrize("willing", [{"b"}, {"c"}])
async def test_an_owner_that_cannot_load_the_jobs_hands_over(monkeypatch, willing):
    """Guard against an owner that loads forever and starts no job."""
    monkeypatch.setattr(term_module, "LOAD_TIMEOUT_S", LOAD_TIMEOUT_S)
    term = make_term(Peers(willing=willing), store_reachable=True)
    await asyncio.wait_for(term.run(), TIMEOUT_S)
    assert term.overloaded
    assert not term.tenure.holds()


@pytest.mark.parametrize(
    ("willing", "store_reachable"),
    [(set(), True), ({"b"}, False)],
    ids=["no process is willing", "store outage"],
)
async def test_an_owner_continues_loading_if_no_other_process_can(
    monkeypatch, willing, store_reachable
):
    monkeypatch.setattr(term_module, "LOAD_TIMEOUT_S", LOAD_TIMEOUT_S)
    term = make_term(Peers(willing=willing), store_reachable=store_reachable)
    running = asyncio.create_task(term.run())
    await asyncio.sleep(4 * LOAD_TIMEOUT_S)
    assert not running.done()
    assert term.tenure.holds()
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


async def test_a_term_whose_lease_has_ended_ends_by_it():
    """Guards against an end of the ownership that seems to be a decision of its owner."""
    term = make_term(Peers(willing=set()), store_reachable=True)
    term.process.keeper.kept_lease = lambda: None
    await asyncio.wait_for(term.run(), TIMEOUT_S)
    assert term.tenure.noticed_by is EndSignal.LEASE


@pytest.mark.parametrize(
    ("link_mbps", "asked"),
    [
        pytest.param({"b": 2.0, "c": 2.0}, [], id="equal hosts"),
        pytest.param({"b": 2.0, "c": 20.0}, ["c"], id="one larger host"),
        pytest.param({"b": 1.0, "c": 1.0}, [], id="smaller hosts"),
    ],
)
async def test_a_long_load_is_passed_on_to_larger_hosts_first(monkeypatch, link_mbps, asked):
    """Guard against equal hosts that pass a backlog on to each other and never load it."""
    monkeypatch.setattr(term_module, "LOAD_TIMEOUT_S", LOAD_TIMEOUT_S)
    peers = Peers(willing=set())
    term = make_term(peers, store_reachable=True)
    term.process.own = member("own", link_mbps=2.0)
    term.process.view.members = {
        name: member(name, link_mbps=mbps) for name, mbps in link_mbps.items()
    }
    running = asyncio.create_task(term.run())
    await asyncio.sleep(1.5 * LOAD_TIMEOUT_S)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert peers.asked == asked


# For each process the delay of its answer in seconds and whether it reaches the store; then the
# chosen successor.
ANSWERS = {
    "a small host answers first": ({"small": (0.0, True), "large": (0.02, True)}, "large"),
    "only a small host reaches the store": (
        {"small": (0.0, True), "large": (0.02, False)},
        "small",
    ),
    "a large host does not answer in time": (
        {"small": (0.0, True), "large": (5.0, True)},
        "small",
    ),
    "no process reaches the store": ({"small": (0.0, False), "large": (0.0, False)}, None),
}


@pytest.mark.parametrize(("answers", "chosen"), ANSWERS.values(), ids=ANSWERS.keys())
async def test_a_disconnected_owner_hands_over_to_a_host_that_is_large_enough(answers, chosen):
    """Guard against a successor that stops responding because its host is too small."""
    term = make_term(Peers(willing=set()), store_reachable=False)
    members = {name: member(name, link_mbps=100.0) for name in ("own", "large")}
    term.process.view.members = {**members, "small": member("small", link_mbps=5.0)}

    async def store_reached(asked):
        after_s, reached = answers[asked.name]
        await asyncio.sleep(after_s)
        return reached

    term.process.peers.store_reached = store_reached
    best = await asyncio.wait_for(term._find_connected_successor(), TIMEOUT_S)
    assert (best.name if best is not None else None) == chosen


async def test_reports_that_arrive_close_together_share_a_decision(monkeypatch):
    """Guard against an owner that spends all its processor time on one decision per report."""
    term = make_term(Peers(willing=set()), store_reachable=True)
    decided_at: list[float] = []
    clock = SystemClock()
    monkeypatch.setattr(Term, "_decide", lambda self: decided_at.append(clock.monotonic()))
    decisions_task = asyncio.create_task(term._run_decisions())
    started_at = clock.monotonic()
    while clock.monotonic() - started_at < BUSY_PERIOD_S:
        term.ctx.wake.set()
        await asyncio.sleep(0)
    decisions_task.cancel()
    await asyncio.gather(decisions_task, return_exceptions=True)
    assert decided_at[0] - started_at < BUSY_PERIOD_S / 2
    assert len(decided_at) <= BUSY_PERIOD_S / term_module.DECISION_BATCH_WINDOW_S + 1
