"""Execute the dispatcher's orders and report their outcomes to it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from attrs import define, field

from rhubarbferry.cell.decision_log import DecisionLog, StartCall
from rhubarbferry.cell.host_poller import HostPoller
from rhubarbferry.cell.loop_lag import LAG_GOAL_S
from rhubarbferry.cell.members import Member
from rhubarbferry.cell.policy_requests import Assignment, PolicyRequestQueue
from rhubarbferry.cell.term_context import TermContext
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.messages import (
    ApprovalRequest,
    ApprovalResponse,
    Order,
    PaceOrder,
    Refusal,
    Refused,
    StartOrder,
    StopOrder,
)
from rhubarbferry.ports.workers import FenceStale, WorkerError

# Limit of concurrent calls to hosts when the event loop lags by ``LAG_GOAL_S``. With a longer lag
# the limit is reduced in proportion. The more calls are open, the longer each takes, until most of
# them time out and are retried before their answers are read.
MAX_CONCURRENT_CALLS = 64
# Lower bound of that limit, so that a process with a long lag still starts some tasks.
MIN_CONCURRENT_CALLS = 8
# Added to the expected duration of an approval request, for network hops and queueing.
APPROVAL_TIMEOUT_MARGIN_S = 1.0


@define(kw_only=True, eq=False)
class OrderExecutor:
    """Calls hosts and requests approvals from the policy service, each call in its own task.

    :param spawn: runs a call in a task that ends with the term at the latest.
    """

    ctx: TermContext
    log: DecisionLog
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    _policy_requests: PolicyRequestQueue = field(init=False)
    _calls: int = 0

    def __attrs_post_init__(self) -> None:
        own = self.ctx.process.own
        self._policy_requests = PolicyRequestQueue(own=own.name, region=own.region)

    def start_capacity(self) -> float:
        """Return how many more tasks may be started now, ``inf`` if the lag is within its goal."""
        lag_s = self.ctx.process.lag_s()
        if lag_s <= LAG_GOAL_S:
            return math.inf
        return max(MIN_CONCURRENT_CALLS, MAX_CONCURRENT_CALLS * LAG_GOAL_S / lag_s) - self._calls

    def execute(self, order: Order) -> None:
        """Start the execution of an order."""
        match order:
            case StartOrder():
                self.spawn(self._start(order))
            case StopOrder():
                self.spawn(self._run_stop(order))
            case PaceOrder():
                self.spawn(self._pace(order))
            case ApprovalRequest():
                job = self.ctx.dispatcher.jobs.get(order.step.job)
                self._policy_requests.add(
                    order, priority=job.queue.priority if job is not None else 0
                )

    def request_approvals(self, members: list[Member]) -> None:
        """Distribute the queued approval requests among the processes of the cell."""
        for assignment in self._policy_requests.assign(members):
            self.spawn(self._request_approval(assignment))

    @contextmanager
    def _counted_call(self) -> Iterator[None]:
        """Count a call as in progress, and trigger a scheduling decision when it has ended."""
        self._calls += 1
        try:
            yield
        finally:
            self._calls -= 1
            self.ctx.wake.set()

    async def _start(self, order: StartOrder) -> None:
        with self._counted_call():
            host = self._find_host(order)
            if host is None or host.entry.incarnation != order.incarnation:
                self._release_start(order)
                return
            await self._call_start(host, order)
            if self.ctx.dispatcher.is_start_unclear(order.host, order.task, order.attempt):
                await self._resolve_unclear_start(order)

    def _release_start(self, order: StartOrder) -> None:
        """Give up a start order that was not sent, so that its task may be placed again."""
        result = Refused(reason=Refusal.NOT_SENT)
        now = self.ctx.now()
        self.ctx.dispatcher.start_answered(order.host, order.task, order.attempt, result, now=now)

    async def _call_start(self, host: Host, order: StartOrder) -> None:
        call = StartCall(
            order=order,
            fence=_fence(host),
            now=self.ctx.now,
            acts_for_s=self.ctx.tenure.acts_for_s,
        )
        try:
            result = await self.ctx.process.workers.start(
                host.entry, order, fence=call.fence, on_written=call.mark_written
            )
        except asyncio.CancelledError:
            self.log.start_cut_off(call)
            raise
        now = self.ctx.now()
        self.log.start(call, result)
        self.ctx.dispatcher.start_answered(order.host, order.task, order.attempt, result, now=now)
        self.ctx.wake.set()

    async def _run_stop(self, order: StopOrder) -> None:
        with self._counted_call():
            await self._stop(order)

    async def _resolve_unclear_start(self, order: StartOrder) -> None:
        """Resolve a start order whose attempts got no clear answer.

        The host may have executed it, or may still do so some seconds later. Until this is
        resolved, the task can't start elsewhere. A poll shows the run if it has started. If not,
        a stop order prevents a later start, and a second poll shows which of the two came first.
        """
        poller = HostPoller(ctx=self.ctx, id=order.host)
        await poller.poll_once()
        if self.ctx.dispatcher.is_start_unclear(order.host, order.task, order.attempt):
            await self._stop(
                StopOrder(
                    host=order.host,
                    task=order.task,
                    attempt=order.attempt,
                    reason="its start was not answered",
                )
            )
            await poller.poll_once()

    async def _stop(self, order: StopOrder) -> None:
        host = self._find_host(order)
        if host is None:
            return
        fence = _fence(host)
        with self._log_failures(order, fence, self.log.stop):
            clock_s = await self.ctx.process.workers.stop(host.entry, order, fence=fence)
            if not self.ctx.fence_is_current(host, fence):
                # The former incarnation may have answered, and only the new one's word counts. The
                # order is repeated with the next report.
                self.log.stop(order, outcome="answered before the host's restart was noticed")
                return
            self.log.stop(order, outcome="taken")
            self.ctx.dispatcher.stop_answered(order.host, order.task, order.attempt, clock_s)

    async def _pace(self, order: PaceOrder) -> None:
        """Set the pace of a run; if that fails, the host's next report triggers a new order."""
        host = self._find_host(order)
        if host is None:
            return
        fence = _fence(host)
        with self._log_failures(order, fence, self.log.pace):
            await self.ctx.process.workers.pace(host.entry, order, fence=fence)
            self.log.pace(order, outcome="taken")
            self.ctx.dispatcher.pace_answered(
                order.host, order.task, order.attempt, order.percent, now=self.ctx.now()
            )

    def _find_host(self, order: StartOrder | StopOrder | PaceOrder) -> Host | None:
        """Return the host of an order, ``None`` if the order may not or can't be executed."""
        if not self.ctx.tenure.holds():
            return None
        host = self.ctx.dispatcher.tracker.hosts.get(order.host)
        return host if host is not None and host.fence is not None else None

    @contextmanager
    def _log_failures(
        self, order: StopOrder | PaceOrder, fence: int, log: Callable[..., None]
    ) -> Iterator[None]:
        """Log an unanswered order, or end the tenure if the host has accepted a later owner."""
        try:
            yield
        except FenceStale as exc:
            self.ctx.handle_stale_fence(order.host, fence, str(exc))
        except WorkerError as exc:
            log(order, outcome=f"no answer: {exc}"[:200])

    async def _request_approval(self, assignment: Assignment) -> None:
        order = assignment.order
        sent_at = self.ctx.now()
        timeout_s = order.cost.duration_s(len(order.hosts)) + APPROVAL_TIMEOUT_MARGIN_S
        try:
            if (
                assignment.member.name == self.ctx.process.own.name
                and self.ctx.process.policy is not None
            ):
                response = await self.ctx.process.policy.request_approvals(
                    order.step, order.hosts, timeout_s=timeout_s
                )
            else:
                response = await self.ctx.process.peers.ask_approval(
                    assignment.member, order.step, order.hosts, timeout_s=timeout_s
                )
        except WorkerError as exc:
            self.log.approval(assignment, approved=None, reason=str(exc)[:200])
            self.ctx.dispatcher.approval_request_failed(order, now=self.ctx.now())
        else:
            now = self.ctx.now()
            self.log.approval(assignment, approved=len(response.approvals), took_s=now - sent_at)
            self.ctx.dispatcher.handle_approvals(
                ApprovalResponse(
                    step=order.step,
                    asked=order.hosts,
                    approvals=response.approvals,
                    answered_at=now,
                    valid_s=response.valid_s,
                ),
                now=now,
            )
        finally:
            self._policy_requests.done(assignment.member.name)
            self.ctx.wake.set()


def _fence(host: Host) -> int:
    assert host.fence is not None, "the host may not be called yet"
    return host.fence
