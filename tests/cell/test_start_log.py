"""Log lines of calls that start a task."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from attrs import evolve

from rhubarbferry.cell.decision_log import DecisionLog
from rhubarbferry.cell.orders import OrderExecutor
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.messages import (
    Approval,
    ApprovalCost,
    ApprovalRequest,
    ApprovalResponse,
    HostEntry,
    Refusal,
    Refused,
    Sizes,
    Started,
    StartOrder,
    TaskId,
    Unanswered,
)
from rhubarbferry.dispatch.retries import START_TIMEOUTS_S
from rhubarbferry.test.fake_clock import FakeClock
from tests.dispatch.world import QUEUE, World, job, step

from .fakes import FakeEventLog

FENCE = 7
ENTRY = HostEntry(id="a", incarnation=3, service="pool", address="a:1", capacity=Sizes())
# Times of the fake clock: of the decision, of the call, and until when the owner may act.
DECIDED_AT = 1000.0
CALLED_AT = 1000.25
ACTS_UNTIL = 1001.0
ORDER = StartOrder(
    host="a",
    incarnation=3,
    task=TaskId(job="j", occurrence=0, step=1, index=2),
    attempt=4,
    payload="work",
    deadline_s=61.5,
    timeout_s=1.0,
    ticket="proof",
    ticket_until=1000.75,
    decided_at=DECIDED_AT,
)


class SlowHosts:
    """Fake of the task interface of hosts.

    :param connect_s: how long a call waits for its connection, in seconds.
    :param answer_s: how long an answer takes after that.
    """

    def __init__(self, clock: FakeClock, result, *, connect_s: float, answer_s: float) -> None:
        self._clock = clock
        self._result = result
        self._connect_s = connect_s
        self._answer_s = answer_s

    async def start(self, host, order, *, fence, on_written):
        await self._clock.sleep(self._connect_s)
        if self._result == Refused(reason=Refusal.NOT_SENT):
            return self._result
        on_written()
        await self._clock.sleep(self._answer_s)
        return self._result


class Calls:
    """An owner that sends start orders on a clock that the test advances."""

    def __init__(self, result=None, *, connect_s: float = 0.0, answer_s: float = 0.0) -> None:
        self.clock = FakeClock(now=CALLED_AT)
        self.log = FakeEventLog()
        self.tasks: list[asyncio.Task] = []
        self.executor = OrderExecutor(
            ctx=SimpleNamespace(
                process=SimpleNamespace(
                    lag_s=lambda: 0.0,
                    own=SimpleNamespace(name="own", region="region"),
                    workers=SlowHosts(self.clock, result, connect_s=connect_s, answer_s=answer_s),
                ),
                dispatcher=SimpleNamespace(
                    tracker=SimpleNamespace(hosts={"a": Host(entry=ENTRY, fence=FENCE)}),
                    start_answered=lambda *args, now: None,
                    is_start_unclear=lambda *args: False,
                ),
                tenure=SimpleNamespace(
                    holds=lambda: True, acts_for_s=lambda: ACTS_UNTIL - self.clock.monotonic()
                ),
                wake=asyncio.Event(),
                now=self.clock.monotonic,
            ),
            log=DecisionLog(log=self.log),
            spawn=lambda call: self.tasks.append(asyncio.create_task(call)),
        )

    def execute(self, order: StartOrder) -> None:
        self.executor.execute(order)

    async def end_term(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    @property
    def lines(self) -> list[dict]:
        assert {name for name, _ in self.log.events} <= {"task.start"}
        return [fields for _, fields in self.log.events]


async def test_a_start_is_logged_with_what_decides_whether_its_host_may_carry_it_out():
    """Guards against a run at two hosts whose orders can't be told apart by the log."""
    calls = Calls(Started(clock_s=60.0), connect_s=0.125, answer_s=0.0625)
    calls.execute(ORDER)
    await calls.clock.advance(1.0)
    assert calls.lines == [
        {
            "job": "j",
            "task": "0.1.2",
            "attempt": 4,
            "host": "a",
            "incarnation": 3,
            "fence": FENCE,
            "checkpoint": None,
            "retries": 0,
            "deadline_s": 61.5,
            "ticket_s": 0.5,
            "called_after_s": 0.25,
            "written_after_s": 0.375,
            "acts_for_s": 0.625,
            "took_s": 0.1875,
            "outcome": "started",
        }
    ]


OUTCOMES = {
    "no connection": (Refused(reason=Refusal.NOT_SENT), None, 0.75, "refused: not sent"),
    "refused": (Refused(reason=Refusal.STALE_FENCE), 0.375, 0.625, "refused: stale fence"),
    "unanswered": (Unanswered(detail="x" * 300), 0.375, 0.625, "unanswered: " + "x" * 188),
}


@pytest.mark.parametrize(
    ("result", "written_after_s", "acts_for_s", "outcome"), OUTCOMES.values(), ids=OUTCOMES.keys()
)
async def test_a_start_that_fails_is_logged_with_whether_it_was_written(
    result, written_after_s, acts_for_s, outcome
):
    """Guards against an order that counts as harmless although a connection has it."""
    calls = Calls(result, connect_s=0.125)
    calls.execute(ORDER)
    await calls.clock.advance(1.0)
    (line,) = calls.lines
    assert (line["written_after_s"], line["acts_for_s"]) == (written_after_s, acts_for_s)
    assert line["outcome"] == outcome


async def test_an_order_that_is_written_after_the_lease_is_logged_with_a_negative_time():
    """Guards against a pause between the check of the lease and the write that no line shows."""
    calls = Calls(Started(clock_s=60.0), connect_s=1.0)
    calls.execute(evolve(ORDER, ticket="", ticket_until=0.0))
    await calls.clock.advance(2.0)
    (line,) = calls.lines
    assert (line["acts_for_s"], line["ticket_s"]) == (-0.25, None)


@pytest.mark.parametrize(
    ("elapsed_s", "written_after_s"),
    [
        pytest.param(0.0625, None, id="before it has a connection"),
        pytest.param(0.1875, 0.375, id="while its answer is awaited"),
    ],
)
async def test_a_start_that_the_end_of_the_term_cuts_off_is_logged(elapsed_s, written_after_s):
    """Guards against an order of a former owner of which its log says nothing."""
    calls = Calls(Started(clock_s=60.0), connect_s=0.125, answer_s=1.0)
    calls.execute(ORDER)
    await calls.clock.advance(elapsed_s)
    await calls.end_term()
    (line,) = calls.lines
    assert line["outcome"] == "cut off: the term has ended"
    assert line["written_after_s"] == written_after_s
    assert line["took_s"] == elapsed_s


async def test_a_start_whose_task_has_not_run_yet_leaves_no_line():
    """Guards against a line of an order that was not sent."""
    calls = Calls(Started(clock_s=60.0))
    calls.execute(ORDER)
    await calls.end_term()
    assert calls.lines == []


TICKET_VALID_S = 1.5
TICKET_QUEUE = evolve(
    QUEUE, advice=ApprovalCost(decision_s=0.1, per_host_s=0.0, valid_s=TICKET_VALID_S)
)


def test_an_order_knows_its_decision_and_its_ticket_when_it_is_sent_again():
    """Guards against a line whose times are those of an earlier copy of the order."""
    world = World("a")
    world.add(job("j", step(), queue=TICKET_QUEUE))
    (request,) = world.decide()
    assert isinstance(request, ApprovalRequest)
    world.dispatcher.handle_approvals(
        ApprovalResponse(
            step=request.step,
            asked=request.hosts,
            approvals=(Approval(host="a", ticket="proof"),),
            answered_at=world.now,
            valid_s=TICKET_VALID_S,
        ),
        now=world.now,
    )
    (order,) = world.starts()
    (approvals,) = [s.approvals for s in world.dispatcher.jobs["j"].steps()]
    assert (order.decided_at, order.ticket_until) == (world.now, approvals.tickets["a"].expires_at)
    world.now += START_TIMEOUTS_S[0]
    world.answer(order, Unanswered(detail="no answer"))
    (again,) = world.starts()
    assert (again.retries, again.decided_at) == (1, world.now)
    assert again.ticket_until == order.ticket_until


def test_an_order_without_a_ticket_has_no_time_for_it():
    """Guards against an infinite number in a log line."""
    world = World("a")
    world.add(job("j", step()))
    (order,) = world.starts()
    assert (order.ticket, order.ticket_until, order.decided_at) == ("", 0.0, world.now)
