"""An owner whose processor is too small for a burst does less at once, and stays the owner."""

from __future__ import annotations

import asyncio
import math
from types import SimpleNamespace

import pytest

from rhubarbferry.cell.host_watch import HostWatch
from rhubarbferry.cell.loop_lag import LAG_GOAL_S
from rhubarbferry.cell.orders import CALLS_AT_ONCE, FEWEST_CALLS, Orders
from rhubarbferry.dispatch.hosts import LONGEST_LOOK_S, LOOK_S, Host
from rhubarbferry.dispatch.messages import HostEntry, Sizes, StartOrder, TaskId

from .parts import Lines

SETTLED_S = 0.01
ENTRY = HostEntry(id="a", incarnation=1, service="pool", address="a:1", capacity=Sizes())


class Workers:
    """Stands in for hosts: starts are never answered."""

    async def start(self, host, order, *, fence):
        await asyncio.Event().wait()


def context(lag_s: float = 0.0, **fields) -> SimpleNamespace:
    return SimpleNamespace(
        around=SimpleNamespace(
            lag_s=lambda: lag_s,
            own=SimpleNamespace(name="own", region="region"),
            workers=Workers(),
        ),
        dispatcher=SimpleNamespace(
            tracker=SimpleNamespace(hosts={"a": SimpleNamespace(entry=None)})
        ),
        tenure=SimpleNamespace(holds=lambda: True, fence=1),
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


ROOM = {
    "it keeps up": (0.0, math.inf),
    "at the goal": (LAG_GOAL_S, math.inf),
    "twice the goal": (2 * LAG_GOAL_S, CALLS_AT_ONCE / 2),
    "far behind": (100 * LAG_GOAL_S, FEWEST_CALLS),
}


@pytest.mark.parametrize(("lag_s", "room"), ROOM.values(), ids=ROOM.keys())
async def test_an_owner_that_is_behind_starts_fewer_tasks_at_once(lag_s, room):
    """Guards against starts that are given up and sent again before their answers are read."""
    async with asyncio.TaskGroup() as group:
        orders = Orders(ctx=context(lag_s), log=Lines(), spawn=group.create_task)
        assert orders.room() == pytest.approx(room)


async def test_starts_under_way_count_until_they_are_answered():
    tasks = []
    orders = Orders(
        ctx=context(2 * LAG_GOAL_S),
        log=Lines(),
        spawn=lambda call: tasks.append(asyncio.create_task(call)),
    )
    before = orders.room()
    for index in range(3):
        orders.carry_out(start(index))
    await asyncio.sleep(SETTLED_S)
    assert orders.room() == before - 3
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert orders.room() == before
    assert orders.ctx.wake.is_set()


LOOKS = {
    "it keeps up": (0.0, LOOK_S),
    "at the goal": (LAG_GOAL_S, LOOK_S),
    "behind": (1.5 * LAG_GOAL_S, 1.5 * LOOK_S),
    "far behind": (100 * LAG_GOAL_S, LONGEST_LOOK_S),
}


@pytest.mark.parametrize(("lag_s", "look_s"), LOOKS.values(), ids=LOOKS.keys())
async def test_an_owner_that_is_behind_looks_at_hosts_less_often(lag_s, look_s):
    """Guards against looks that leave no processor for the work itself."""
    assert HostWatch(ctx=context(lag_s), id="a").look_s() == pytest.approx(look_s)


@pytest.mark.parametrize("look_s", [LOOK_S, LONGEST_LOOK_S])
def test_a_host_is_not_silent_before_two_looks_are_over(look_s):
    """Guards against hosts that are closed because their owner looks at them less often."""
    host = Host(entry=ENTRY, look_s=look_s)
    assert host.silent_s > 2 * look_s
