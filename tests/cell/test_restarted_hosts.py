"""Calls to a host that may have restarted under its id since its last report."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from unittest.mock import AsyncMock

import pytest
from attrs import define, evolve, field

from rhubarbferry.cell.decision_log import DecisionLog
from rhubarbferry.cell.host_poller import HostPoller
from rhubarbferry.cell.orders import OrderExecutor
from rhubarbferry.cell.term_context import EndSignal, TermContext
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.messages import (
    HostEntry,
    HostReport,
    Sizes,
    StopOrder,
    TaskId,
)
from rhubarbferry.dispatch.takeover import Takeover
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.workers import FenceStale, WorkerGone, WorkerSilent

from .fakes import FakeEventLog

RECORDED_END = 57
FENCE = 7
ENTRY = HostEntry(id="a", incarnation=1, service="pool", address="a:1", capacity=Sizes())
TASK = TaskId(job="j", occurrence=0, step=0, index=0)
STOP = StopOrder(host="a", task=TASK, attempt=1, reason="cancelled")


@define
class ScriptedHost:
    """Fake of the task interface of one host.

    :param answers: whether each poll is answered, in order.
    :param incarnations: the host list's incarnation after each stop order, in order.
    """

    host: Host
    answers: list[bool] = field(factory=list)
    incarnations: list[int] = field(factory=list)
    acknowledged: list[int] = field(factory=list)

    async def extend_leases(self, entry, req):
        self.acknowledged.append(req.acknowledged_to)
        if not self.answers.pop(0):
            raise WorkerSilent("no answer")
        return HostReport(clock_s=1.0, incarnation=1, running=(), ended=())

    async def stop(self, entry, order, *, fence):
        incarnation = self.incarnations.pop(0)
        if incarnation != self.host.entry.incarnation:
            restart(self.host, incarnation)
        return 5000.0


def restart(host: Host, incarnation: int) -> None:
    """Restart a host under its id, as far as the owner has noticed."""
    host.entry = evolve(host.entry, incarnation=incarnation)
    host.fence = None


def context(host: Host, workers: ScriptedHost, stopped: list[float]) -> TermContext:
    return TermContext(
        process=SimpleNamespace(
            clock=SystemClock(),
            cfg=SimpleNamespace(bounds=SimpleNamespace(task_lease_s=6.0)),
            lag_s=lambda: 0.0,
            log=FakeEventLog(),
            own=SimpleNamespace(name="own", region="region"),
            workers=workers,
        ),
        dispatcher=SimpleNamespace(
            dirty={},
            takeover=Takeover(leases_expire_at=0.0),
            handle_report=lambda *args, **fields: None,
            stop_answered=lambda host, task, attempt, clock_s: stopped.append(clock_s),
            tracker=SimpleNamespace(hosts={"a": host}),
        ),
        tenure=SimpleNamespace(holds=lambda: True, fence=1),
    )


@pytest.mark.parametrize(
    ("answers", "acknowledged"),
    [
        pytest.param([True, True], [RECORDED_END, RECORDED_END], id="every poll is answered"),
        pytest.param([False, True], [RECORDED_END, 0], id="one poll fails"),
        pytest.param([False, False, True, True], [RECORDED_END, 0, 0, RECORDED_END], id="two fail"),
    ],
)
async def test_no_end_is_acknowledged_to_a_host_that_may_have_restarted(answers, acknowledged):
    """Guards against ends of a new incarnation that are forgotten before any process read them."""
    host = Host(
        entry=ENTRY, fence=FENCE, adopted=True, recorded_end=RECORDED_END, seen_end=RECORDED_END
    )
    workers = ScriptedHost(host=host, answers=list(answers))
    poller = HostPoller(ctx=context(host, workers, []), id="a")
    for _ in answers:
        await poller.poll_once()
    assert workers.acknowledged == acknowledged


@pytest.mark.parametrize(
    ("incarnation", "counted"),
    [
        pytest.param(1, [5000.0], id="same incarnation"),
        pytest.param(2, [], id="restart noticed meanwhile"),
    ],
)
async def test_a_stop_counts_only_for_the_incarnation_that_answered(incarnation, counted):
    """Guards against counting a stop by a former incarnation for the new one."""
    host = Host(entry=ENTRY, fence=FENCE, adopted=True)
    stopped: list[float] = []
    workers = ScriptedHost(host=host, incarnations=[incarnation])
    tasks = []
    executor = OrderExecutor(
        ctx=context(host, workers, stopped),
        log=DecisionLog(log=FakeEventLog()),
        spawn=lambda call: tasks.append(asyncio.create_task(call)),
    )
    executor.execute(STOP)
    await asyncio.gather(*tasks)
    assert stopped == counted


class RestartedMeanwhile:
    """Fake of a host whose restart is noticed while a call is in progress.

    :param outcome: report or error that ends the call.
    :param next_fence: fence number of the calls to the new incarnation, if it has one already.
    """

    def __init__(self, host: Host, outcome: HostReport | Exception, next_fence: int | None) -> None:
        self.host = host
        self.outcome = outcome
        self.next_fence = next_fence
        self.fences: list[int] = []

    async def extend_leases(self, entry, req):
        self.fences.append(req.fence)
        restart(self.host, 2)
        self.host.fence = self.next_fence
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


@pytest.mark.parametrize("next_fence", [None, FENCE + 1])
@pytest.mark.parametrize(
    "outcome",
    [
        pytest.param(HostReport(clock_s=1.0, incarnation=2, running=(), ended=()), id="report"),
        pytest.param(WorkerGone("another host uses its address"), id="another host answers"),
        pytest.param(FenceStale("a higher fence number"), id="refused by the new incarnation"),
    ],
)
async def test_the_outcome_of_a_call_to_an_earlier_incarnation_changes_nothing(outcome, next_fence):
    """Guards against an owner that mistakes a restarted host for a later owner's or a lost one."""
    host = Host(entry=ENTRY, fence=FENCE, adopted=True)
    workers = RestartedMeanwhile(host, outcome, next_fence)
    ctx = context(host, workers, [])
    handled = []
    ctx.dispatcher.handle_report = lambda *args, **fields: handled.append("report")
    ctx.dispatcher.host_gone = lambda *args, **fields: handled.append("gone")
    ctx.tenure.end = handled.append
    await HostPoller(ctx=ctx, id="a").poll_once()
    assert (workers.fences, handled) == ([FENCE], [])


async def test_a_call_that_the_same_incarnation_refuses_ends_the_ownership():
    """Guards against an owner that goes on after a later one has called the host."""
    host = Host(entry=ENTRY, fence=FENCE, adopted=True)
    workers = SimpleNamespace(extend_leases=AsyncMock(side_effect=FenceStale("higher")))
    ctx = context(host, workers, [])
    ended = []
    ctx.tenure.end = lambda reason, by: ended.append(by)
    await HostPoller(ctx=ctx, id="a").poll_once()
    assert ended == [EndSignal.FENCE]


async def test_a_host_without_a_fence_number_is_not_called():
    """Guards against calls to a new incarnation that it can't tell from those to the former one."""
    host = Host(entry=ENTRY)
    workers = ScriptedHost(host=host)
    executor = OrderExecutor(
        ctx=context(host, workers, []),
        log=DecisionLog(log=FakeEventLog()),
        spawn=asyncio.ensure_future,
    )
    executor.execute(STOP)
    await HostPoller(ctx=context(host, workers, []), id="a").poll_once()
    assert (workers.acknowledged, workers.incarnations) == ([], [])
