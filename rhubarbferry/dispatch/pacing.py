"""Slow down filling tasks on hosts where the users of serving tasks see too high a tail latency.

A filling task reserves no processor and uses what other tasks leave idle. A serving task has users
and a goal for the tail latency that they see.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from weakref import WeakKeyDictionary

from attrs import Factory, define

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, RunPhase
from rhubarbferry.dispatch.messages import FULL_PERCENT, PaceOrder

# Below this pace filling tasks do no useful work, so they are paused.
MIN_PACE_PERCENT = 5
# Filling tasks are slowed down above this ratio of tail latency to goal. It is below 1 because the
# reported latency covers only the last half second, which makes it inaccurate, and a change of pace
# takes another tenth of a second to apply.
SLOW_DOWN_RATIO = 0.9
# Filling tasks are paused at once above this ratio; halving their pace repeatedly would take three
# polls of the host.
PAUSE_RATIO = 1.5
# Filling tasks are sped up below this ratio.
SPEED_UP_RATIO = 0.7
SLOW_DOWN_FACTOR = 0.5
# Increment of the pace; ten increments restore the full pace.
PACE_INCREMENT_PERCENT = 10
# Minimum interval between two changes of pace, so that the host's reports show the effect of the
# first.
MIN_CHANGE_INTERVAL_S = 0.6
# Minimum time between a reduction of the pace and the next increase, since the users of the serving
# tasks see the latency of every increase that comes too early.
SPEED_UP_DELAY_S = 3.0
# A pace order without an answer is sent again after this interval.
PACE_RETRY_INTERVAL_S = 0.5


@define(kw_only=True, eq=False, slots=True)
class HostPace:
    """Pace of all filling tasks on one host.

    Filling tasks also share resources other than the processor with serving tasks, whose tail
    latency may exceed its goal for that reason. The pace is halved while a tail latency is near its
    goal, and raised in small increments while all are well below. It so converges to what the host
    can sustain, and follows changes in the load of the serving tasks.

    :ivar percent: share of full speed for each filling task, 0 to 100.
    """

    percent: int = FULL_PERCENT
    _changed_at: float = -math.inf
    _lowered_at: float = -math.inf

    def record_report(self, host: Host, now: float) -> list[PaceOrder]:
        """Return the pace orders that follow from a report of the host."""
        filling = [run for run in host.runs.values() if _is_active_filling(run)]
        latency_ratio = _max_latency_ratio(host.runs.values())
        if latency_ratio is not None and now - self._changed_at >= MIN_CHANGE_INTERVAL_S:
            self._change(self._target_percent(latency_ratio), now)
        elif latency_ratio is None:
            # No task on this host serves users.
            self.percent = FULL_PERCENT
        return [order for run in filling if (order := self._order(run, now)) is not None]

    def _change(self, target_percent: int, now: float) -> None:
        if target_percent < self.percent:
            self._lowered_at = now
        elif target_percent == self.percent or now - self._lowered_at < SPEED_UP_DELAY_S:
            return
        self.percent = target_percent
        self._changed_at = now

    def _target_percent(self, latency_ratio: float) -> int:
        if latency_ratio > PAUSE_RATIO:
            return 0
        if latency_ratio > SLOW_DOWN_RATIO:
            reduced = int(self.percent * SLOW_DOWN_FACTOR)
            return reduced if reduced >= MIN_PACE_PERCENT else 0
        if latency_ratio < SPEED_UP_RATIO:
            return min(FULL_PERCENT, self.percent + PACE_INCREMENT_PERCENT)
        return self.percent

    def _order(self, run: Run, now: float) -> PaceOrder | None:
        if run.pace == self.percent or now - run.pace_sent_at < PACE_RETRY_INTERVAL_S:
            return None
        run.pace_sent_at = now
        return PaceOrder(host=run.host, task=run.task.id, attempt=run.attempt, percent=self.percent)


@define(kw_only=True, eq=False)
class Pacing:
    """Pace of the filling tasks on all hosts."""

    # Entries disappear when the tracker removes their hosts.
    _hosts: WeakKeyDictionary[Host, HostPace] = Factory(WeakKeyDictionary)
    _orders: list[PaceOrder] = Factory(list)

    def record_report(self, host: Host, now: float) -> None:
        """Update the pace of a host from its latest report."""
        pace = self._hosts.get(host)
        if pace is None:
            pace = self._hosts[host] = HostPace()
        self._orders += pace.record_report(host, now)

    def may_fill(self, host: Host) -> bool:
        """Return whether a host can run another filling task."""
        pace = self._hosts.get(host)
        return pace is None or pace.percent == FULL_PERCENT

    def take_orders(self) -> list[PaceOrder]:
        """Return the pace orders added since the last call."""
        orders, self._orders = self._orders, []
        return orders


def _is_active_filling(run: Run) -> bool:
    return run.task.step.req.filling and run.phase is RunPhase.RUNNING and not run.stopping


def _max_latency_ratio(runs: Iterable[Run]) -> float | None:
    """Return the highest ratio of tail latency to its goal; ``None`` if no task serves users."""
    serving = [run for run in runs if run.task.step.req.goal_s and run.phase is RunPhase.RUNNING]
    return max((run.tail_latency_s / run.task.step.req.goal_s for run in serving), default=None)
