"""Let tasks that fill a host work less while tasks that serve users there are too slow."""

from __future__ import annotations

import math
from collections.abc import Iterable
from weakref import WeakKeyDictionary

from attrs import Factory, define

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, RunPhase
from rhubarbferry.dispatch.messages import FULL_PERCENT, PaceOrder

# Below this there is nothing to be had from filling, and the host is left to those that serve.
LEAST_PERCENT = 5
# Filling is slowed from this share of a tail's goal on, since the tail is a rough figure of the
# last half second and a change of pace takes a tenth of a second more.
SLOW_AT = 0.9
# A tail above this multiple of its goal stops the filling at once: halved step by step it would
# take three looks at the host.
STOP_AT = 1.5
# Below this share of the goal the filling may do more again.
FASTER_AT = 0.7
HALVE = 0.5
# So many percent more at a time; back at full pace after ten changes.
RAISE_PERCENT = 10
# After a change, before the next: until the figures of the host show it.
SETTLE_S = 0.6
# After it was slowed, before it may do more: users pay for each try that comes too soon.
CALM_S = 3.0
# An order without an answer is sent again after this time.
AGAIN_S = 0.5


@define(kw_only=True, eq=False, slots=True)
class HostPace:
    """At which share of their speed the filling tasks of one host are to work.

    Filling tasks take what processor others leave, but share more with them than that. The tail
    latency of a serving task then grows past its goal, and its users notice. It is halved while
    a tail is near its goal and raised slowly while all are well below, so that it finds what the
    host bears and follows when the load of those that serve changes.

    :ivar percent: of full speed, for each filling task.
    """

    percent: int = FULL_PERCENT
    _changed_at: float = -math.inf
    _lowered_at: float = -math.inf

    def note_report(self, host: Host, now: float) -> list[PaceOrder]:
        """Return the orders that follow from a report of the host."""
        filling = [run for run in host.runs.values() if _fills(run)]
        tail = _worst_tail(host.runs.values())
        if tail is not None and now - self._changed_at >= SETTLE_S:
            self._change(self._wanted(tail), now)
        elif tail is None:
            # Nobody serves here, so that nobody is disturbed.
            self.percent = FULL_PERCENT
        return [order for run in filling if (order := self._order(run, now)) is not None]

    def _change(self, wanted: int, now: float) -> None:
        if wanted < self.percent:
            self._lowered_at = now
        elif wanted == self.percent or now - self._lowered_at < CALM_S:
            return
        self.percent = wanted
        self._changed_at = now

    def _wanted(self, tail: float) -> int:
        if tail > STOP_AT:
            return 0
        if tail > SLOW_AT:
            lower = int(self.percent * HALVE)
            return lower if lower >= LEAST_PERCENT else 0
        if tail < FASTER_AT:
            return min(FULL_PERCENT, self.percent + RAISE_PERCENT)
        return self.percent

    def _order(self, run: Run, now: float) -> PaceOrder | None:
        if run.pace == self.percent or now - run.pace_sent_at < AGAIN_S:
            return None
        run.pace_sent_at = now
        return PaceOrder(host=run.host, task=run.task.id, attempt=run.attempt, percent=self.percent)


@define(kw_only=True, eq=False)
class Pacing:
    """The pace of filling tasks on all hosts."""

    # Gone with the hosts that the tracker forgets.
    _hosts: WeakKeyDictionary[Host, HostPace] = Factory(WeakKeyDictionary)
    _orders: list[PaceOrder] = Factory(list)

    def note_report(self, host: Host, now: float) -> None:
        """Work in what a host has just reported."""
        pace = self._hosts.get(host)
        if pace is None:
            pace = self._hosts[host] = HostPace()
        self._orders += pace.note_report(host, now)

    def may_fill(self, host: Host) -> bool:
        """Tell whether a host can do with another filling task."""
        pace = self._hosts.get(host)
        return pace is None or pace.percent == FULL_PERCENT

    def take_orders(self) -> list[PaceOrder]:
        """Return the orders since the last call."""
        orders, self._orders = self._orders, []
        return orders


def _fills(run: Run) -> bool:
    return run.task.step.req.filling and run.phase is RunPhase.RUNNING and not run.stopping


def _worst_tail(runs: Iterable[Run]) -> float | None:
    """Return the tail that is nearest to its goal, or furthest above it, as a share of the goal."""
    serving = [run for run in runs if run.task.step.req.goal_s and run.phase is RunPhase.RUNNING]
    return max((run.tail_s / run.task.step.req.goal_s for run in serving), default=None)
