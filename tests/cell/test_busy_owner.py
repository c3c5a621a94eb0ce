"""An owner with an overloaded processor limits its concurrent calls and polls hosts less often."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace

import pytest
from attrs import evolve

from rhubarbferry.cell.decision_log import DecisionLog
from rhubarbferry.cell.host_poller import HostPoller
from rhubarbferry.cell.loop_lag import LAG_GOAL_S
from rhubarbferry.cell.orders import MAX_CONCURRENT_CALLS, MIN_CONCURRENT_CALLS, OrderExecutor
from rhubarbferry.dispatch.hosts import MAX_POLL_WAIT_S, POLL_WAIT_S, Host
from rhubarbferry.dispatch.messages import (
    HostEntry,
    Refusal,
    Refused,
    Sizes,
    StartOrder,
    TaskId,
)

from .fakes import FakeEventLog

# Long enough for the event loop to start the calls.
START_CALLS_S = 0.01
ENTRY = HostEntry(id="a", incarnation=1, service="pool", address="a:1", capacity=Sizes())


class UnresponsiveHosts:
    """Fake of the hosts that never answers a start order."""

    async def start(self, host, order, *, fence, on_written):
        await asyncio.Event().wait()


def context(lag_s: float = 0.0, **fields) -> SimpleNamespace:
    return SimpleNamespace(
        process=SimpleNamespace(
            lag_s=lambda: lag_s,
            own=SimpleNamespace(name="own", region="region"),
            workers=UnresponsiveHosts(),
        ),
        dispatcher=SimpleNamespace(
            tracker=SimpleNamespace(hosts={"a": Host(entry=ENTRY, fence=1)})
        ),
        tenure=SimpleNamespace(holds=lambda: True, acts_for_s=lambda: 1.0, fence=1),
        wake=asyncio.Event(),
        now=asyncio.get_running_loop().time,
        **fields,
    )


def start(index: int) -> StartOrder:
    return StartOrder(
        host="a",
        incarnation=1,
        task=TaskId(job="j", occurrence=0, step=0, index=index),
        attempt=1,
        payload="work",
        deadline_s=1.0,
        timeout_s=1.0,
    )


START_CAPACITIES = {
    "no lag": (0.0, math.inf),
    "lag at the goal": (LAG_GOAL_S, math.inf),
    "lag of twice the goal": (2 * LAG_GOAL_S, MAX_CONCURRENT_CALLS / 2),
    "very long lag": (100 * LAG_GOAL_S, MIN_CONCURRENT_CALLS),
}


@pytest.mark.parametrize(
    ("lag_s", "capacity"), START_CAPACITIES.values(), ids=START_CAPACITIES.keys()
)
async def test_a_lagging_owner_starts_fewer_tasks_at_once(lag_s, capacity):
    """Guard against start orders that time out and are retried before their answers are read."""
    async with asyncio.TaskGroup() as group:
        executor = OrderExecutor(ctx=context(lag_s), log=FakeEventLog(), spawn=group.create_task)
        assert executor.start_capacity() == pytest.approx(capacity)


async def test_start_orders_in_progress_count_until_they_are_answered():
    tasks = []
    executor = OrderExecutor(
        ctx=context(2 * LAG_GOAL_S),
        log=DecisionLog(log=FakeEventLog()),
        spawn=lambda call: tasks.append(asyncio.create_task(call)),
    )
    before = executor.start_capacity()
    for index in range(3):
        executor.execute(start(index))
    await asyncio.sleep(START_CALLS_S)
    assert executor.start_capacity() == before - 3
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert executor.start_capacity() == before
    assert executor.ctx.wake.is_set()


@pytest.mark.parametrize(
    ("holds", "host"),
    [
        pytest.param(False, Host(entry=ENTRY, fence=1), id="the owner may not act"),
        pytest.param(True, None, id="the host has been removed"),
        pytest.param(True, Host(entry=ENTRY), id="the host may not be called"),
        pytest.param(True, Host(entry=evolve(ENTRY, incarnation=2), fence=1), id="restarted"),
    ],
)
async def test_a_start_order_that_may_not_be_sent_is_given_back(holds, host):
    """Guard against a task that waits for ever because its owner paused before the call."""
    answers = []
    ctx = context()
    ctx.tenure.holds = lambda: holds
    ctx.dispatcher.tracker.hosts = {} if host is None else {"a": host}
    ctx.dispatcher.start_answered = lambda *args, now: answers.append(args)
    async with asyncio.TaskGroup() as group:
        executor = OrderExecutor(ctx=ctx, log=FakeEventLog(), spawn=group.create_task)
        executor.execute(start(0))
    assert answers == [("a", start(0).task, 1, Refused(reason=Refusal.NOT_SENT))]


POLL_WAITS = {
    "no lag": (0.0, POLL_WAIT_S),
    "lag at the goal": (LAG_GOAL_S, POLL_WAIT_S),
    "lag above the goal": (1.5 * LAG_GOAL_S, 1.5 * POLL_WAIT_S),
    "very long lag": (100 * LAG_GOAL_S, MAX_POLL_WAIT_S),
}


@pytest.mark.parametrize(("lag_s", "wait_s"), POLL_WAITS.values(), ids=POLL_WAITS.keys())
async def test_a_lagging_owner_polls_hosts_less_often(lag_s, wait_s):
    """Guard against polls that use up the processor time needed for scheduling."""
    assert HostPoller(ctx=context(lag_s), id="a").poll_wait_s() == pytest.approx(wait_s)


@pytest.mark.parametrize("look_s", [POLL_WAIT_S, MAX_POLL_WAIT_S])
def test_a_host_is_not_silent_before_two_polls_are_over(look_s):
    """Guard against hosts that are closed only because their owner polls them less often."""
    host = Host(entry=ENTRY, poll_wait_s=look_s)
    assert host.silence_timeout_s > 2 * look_s
