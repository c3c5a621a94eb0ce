"""Carry out the dispatcher's orders and report their outcomes to it."""

from __future__ import annotations

import math
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from attrs import define, field

from rhubarbferry.cell.advice_desk import AdviceDesk, Assignment
from rhubarbferry.cell.context import TermContext
from rhubarbferry.cell.decision_log import DecisionLog
from rhubarbferry.cell.host_watch import HostWatch
from rhubarbferry.cell.loop_lag import LAG_GOAL_S
from rhubarbferry.cell.members import Member
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.messages import (
    Advice,
    AdviceOrder,
    Order,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from rhubarbferry.ports.workers import FenceStale, WorkerError

# Calls to hosts that may be under way at once where the event loop is ``LAG_GOAL_S`` behind. Where
# it is further behind they are fewer in proportion: the more there are the longer each takes, until
# most are given up and sent again before their answers are read.
CALLS_AT_ONCE = 64
# Even a process that is far behind starts something.
FEWEST_CALLS = 8
# Beyond the expected time of a question: hops, and the wait behind other work.
ADVICE_SLACK_S = 1.0


@define(kw_only=True, eq=False)
class Orders:
    """The owner's calls to hosts and questions to the policy service, each in a task of its own.

    :param spawn: runs a call until it ends or the term does.
    """

    ctx: TermContext
    log: DecisionLog
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    _desk: AdviceDesk = field(init=False)
    _calls: int = 0

    def __attrs_post_init__(self) -> None:
        own = self.ctx.around.own
        self._desk = AdviceDesk(own=own.name, region=own.region)

    def room(self) -> float:
        """Return how many more tasks may be started now, ``inf`` while the process keeps up."""
        lag_s = self.ctx.around.lag_s()
        if lag_s <= LAG_GOAL_S:
            return math.inf
        return max(FEWEST_CALLS, CALLS_AT_ONCE * LAG_GOAL_S / lag_s) - self._calls

    def carry_out(self, order: Order) -> None:
        """Begin to carry out an order."""
        match order:
            case StartOrder():
                self.spawn(self._start(order))
            case StopOrder():
                self.spawn(self._stop_counted(order))
            case PaceOrder():
                self.spawn(self._pace(order))
            case AdviceOrder():
                job = self.ctx.dispatcher.jobs.get(order.step.job)
                self._desk.add(order, priority=job.queue.priority if job is not None else 0)

    def ask(self, members: list[Member]) -> None:
        """Spread the questions that wait over the processes of the cell."""
        for assignment in self._desk.assign(members):
            self.spawn(self._ask(assignment))

    @contextmanager
    def _counted(self) -> Iterator[None]:
        """Count a call among those under way, and look for more to start when it has ended."""
        self._calls += 1
        try:
            yield
        finally:
            self._calls -= 1
            self.ctx.wake.set()

    async def _start(self, order: StartOrder) -> None:
        with self._counted():
            host = self.ctx.dispatcher.tracker.hosts[order.host]
            if not self.ctx.tenure.holds():
                return
            await self._call_start(host, order)
            if self.ctx.dispatcher.unclear(order.host, order.task, order.attempt):
                await self._settle(order)

    async def _call_start(self, host: Host, order: StartOrder) -> None:
        sent_at = self.ctx.now()
        result = await self.ctx.around.workers.start(host.entry, order, fence=self.ctx.tenure.fence)
        now = self.ctx.now()
        self.log.start(order, result, took_s=now - sent_at, fence=self.ctx.tenure.fence)
        self.ctx.dispatcher.start_answered(order.host, order.task, order.attempt, result, now=now)
        self.ctx.wake.set()

    async def _stop_counted(self, order: StopOrder) -> None:
        with self._counted():
            await self._stop(order)

    async def _settle(self, order: StartOrder) -> None:
        """Find out what has become of a start whose tries got no clear answer.

        It may have been carried out, or may be, some seconds later. Until that is known its task
        can't start elsewhere. A look shows it if it runs; if not, a stop keeps it from starting
        later, and a second look shows which of the two came first.
        """
        watch = HostWatch(ctx=self.ctx, id=order.host)
        await watch.look_once()
        if self.ctx.dispatcher.unclear(order.host, order.task, order.attempt):
            await self._stop(
                StopOrder(
                    host=order.host,
                    task=order.task,
                    attempt=order.attempt,
                    reason="its start was not answered",
                )
            )
            await watch.look_once()

    async def _stop(self, order: StopOrder) -> None:
        host = self._host(order)
        if host is None:
            return
        with self._failures_noted(order, self.log.stop):
            clock_s = await self.ctx.around.workers.stop(
                host.entry, order, fence=self.ctx.tenure.fence
            )
            self.log.stop(order, outcome="taken")
            self.ctx.dispatcher.stop_answered(order.host, order.task, order.attempt, clock_s)

    async def _pace(self, order: PaceOrder) -> None:
        """Set the pace of a run; where that fails, the next report asks for it again."""
        host = self._host(order)
        if host is None:
            return
        with self._failures_noted(order, self.log.pace):
            await self.ctx.around.workers.pace(host.entry, order, fence=self.ctx.tenure.fence)
            self.log.pace(order, outcome="taken")
            self.ctx.dispatcher.pace_answered(
                order.host, order.task, order.attempt, order.percent, now=self.ctx.now()
            )

    def _host(self, order: StopOrder | PaceOrder) -> Host | None:
        """Return the host of an order, ``None`` where it may not or can't be carried out."""
        if not self.ctx.tenure.holds():
            return None
        return self.ctx.dispatcher.tracker.hosts.get(order.host)

    @contextmanager
    def _failures_noted(
        self, order: StopOrder | PaceOrder, log: Callable[..., None]
    ) -> Iterator[None]:
        """Log that a host gave no answer, or end the tenure where it has a later owner's orders."""
        try:
            yield
        except FenceStale as exc:
            self.ctx.tenure.end(f"host {order.host}: {exc}")
        except WorkerError as exc:
            log(order, outcome=f"no answer: {exc}"[:200])

    async def _ask(self, assignment: Assignment) -> None:
        order = assignment.order
        asked_at = self.ctx.now()
        timeout_s = order.cost.duration_s(len(order.hosts)) + ADVICE_SLACK_S
        try:
            if (
                assignment.member.name == self.ctx.around.own.name
                and self.ctx.around.policy is not None
            ):
                found = await self.ctx.around.policy.ask(
                    order.step, order.hosts, timeout_s=timeout_s
                )
            else:
                found = await self.ctx.around.peers.ask_approval(
                    assignment.member, order.step, order.hosts, timeout_s=timeout_s
                )
        except WorkerError as exc:
            self.log.advice(assignment, approved=None, reason=str(exc)[:200])
            self.ctx.dispatcher.advice_failed(order, now=self.ctx.now())
        else:
            now = self.ctx.now()
            self.log.advice(assignment, approved=len(found.approvals), took_s=now - asked_at)
            self.ctx.dispatcher.advised(
                Advice(
                    step=order.step,
                    asked=order.hosts,
                    approvals=found.approvals,
                    answered_at=now,
                    valid_s=found.valid_s,
                ),
                now=now,
            )
        finally:
            self._desk.done(assignment.member.name)
            self.ctx.wake.set()
