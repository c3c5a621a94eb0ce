"""Calls to a host that may have restarted under its id since its last report."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from attrs import define, field

from rhubarbferry.cell.decision_log import DecisionLog
from rhubarbferry.cell.host_poller import HostPoller
from rhubarbferry.cell.orders import OrderExecutor
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.messages import (
    HostEntry,
    HostReport,
    Sizes,
    StopOrder,
    TaskId,
)
from rhubarbferry.ports.workers import WorkerSilent

from .fakes import FakeEventLog

RECORDED_END = 57
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
        self.host.entry = HostEntry(
            id="a",
            incarnation=self.incarnations.pop(0),
            service="pool",
            address="a:1",
            capacity=Sizes(),
        )
        return 5000.0


def context(host: Host, workers: ScriptedHost, stopped: list[float]) -> SimpleNamespace:
    return SimpleNamespace(
        process=SimpleNamespace(
            cfg=SimpleNamespace(bounds=SimpleNamespace(task_lease_s=6.0)),
            lag_s=lambda: 0.0,
            log=FakeEventLog(),
            own=SimpleNamespace(name="own", region="region"),
            workers=workers,
        ),
        dispatcher=SimpleNamespace(
            handle_report=lambda *args, **fields: None,
            stop_answered=lambda host, task, attempt, clock_s: stopped.append(clock_s),
            tracker=SimpleNamespace(hosts={"a": host}),
        ),
        note_changes=lambda: None,
        now=asyncio.get_running_loop().time,
        tenure=SimpleNamespace(holds=lambda: True, fence=1),
        wake=asyncio.Event(),
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
    host = Host(entry=ENTRY, adopted=True, recorded_end=RECORDED_END, seen_end=RECORDED_END)
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
    host = Host(entry=ENTRY, adopted=True)
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
