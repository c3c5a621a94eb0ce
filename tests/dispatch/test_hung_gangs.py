"""Members of a gang that finish at different times, and members that really hang."""

from __future__ import annotations

import math

import pytest

from rhubarbferry.dispatch.hung import MIN_HUNG_TIMEOUT_S
from rhubarbferry.dispatch.messages import EndKind, RunningTask, StartOrder, StopOrder

from .world import World, job, step

WIDTH = 20
ESTIMATE_S = 5.0
REPORT_INTERVAL_S = 0.5
# Host speeds relative to the usual one, and the work of a member relative to the estimate.
SPEEDS = (0.6, 1.0, 1.6)
WORK = (0.7, 1.0, 1.3)
LONGEST_WORK = 7.0
# A hung member is found at the first report after the timeout, counted from when the last other
# member has made progress.
DETECTION_S = MIN_HUNG_TIMEOUT_S + 2 * REPORT_INTERVAL_S
# The slowest member needs most: its work on the slowest host.
SLOWEST_S = ESTIMATE_S * LONGEST_WORK / min(SPEEDS)


class GangWorld(World):
    """A gang of one member a host, whose members make progress at rates of their own.

    :ivar seconds: work of each member in seconds on its host; ``inf`` for one that hangs.
    :ivar hang_at: progress at which a member with infinite work stands still.
    :ivar ends: whether the gang ends when all members have finished.
    """

    def __init__(self, seconds: list[float], *, hang_at: float = 0.0, ends: bool = True) -> None:
        super().__init__(*(f"h{index:02}" for index in range(WIDTH)), millicores=1000)
        self.seconds = seconds
        self.hang_at = hang_at
        self.ends = ends
        self.add(job("gang", step(WIDTH, estimate=ESTIMATE_S, gang=True)))
        self.members = self.starts()
        self.accept(*self.members)
        self.started_at = self.now
        self.stopped_at: float | None = None
        self.orders: list[StartOrder | StopOrder] = []

    def percent(self, member: StartOrder) -> float:
        seconds = self.seconds[member.task.index]
        spent_s = self.now - self.started_at
        if seconds == math.inf:
            return min(self.hang_at, math.floor(100 * spent_s / ESTIMATE_S))
        return min(100.0, math.floor(100 * spent_s / seconds))

    def report(self) -> None:
        """Let all hosts report, and end the gang once each member has finished."""
        self.now += REPORT_INTERVAL_S
        for member in self.members:
            key = (member.task, member.attempt)
            self.hosts[member.host].running[key] = RunningTask(
                task=member.task, attempt=member.attempt, percent=self.percent(member)
            )
        if self.ends and all(self.percent(member) == 100 for member in self.members):
            for member in self.members:
                self.hosts[member.host].end(member)
        self.deliver_reports()
        sent = [order for order in self.decide() if isinstance(order, (StartOrder, StopOrder))]
        if sent and self.stopped_at is None:
            self.stopped_at = self.now
        self.orders += sent

    def report_until_stopped(self, limit_s: float) -> None:
        end = self.now + limit_s
        while self.now < end and self.stopped_at is None and self.dispatcher.jobs["gang"].runs():
            self.report()


def uneven(*, longest: bool = True) -> list[float]:
    seconds = [
        ESTIMATE_S * WORK[index % len(WORK)] / SPEEDS[index // len(WORK) % len(SPEEDS)]
        for index in range(WIDTH)
    ]
    if longest:
        seconds[0] = SLOWEST_S
    return seconds


UNEVEN_GANGS = {
    "uneven hosts and work": uneven(longest=False),
    "one member with seven times the work": uneven(),
    "one fast member": [ESTIMATE_S * 4] * (WIDTH - 1) + [ESTIMATE_S / 4],
}


@pytest.mark.parametrize("seconds", UNEVEN_GANGS.values(), ids=UNEVEN_GANGS.keys())
def test_a_finished_member_waits_for_the_slowest(seconds):
    """Guards against stopping a gang because members that have finished make no progress."""
    world = GangWorld(list(seconds))
    world.report_until_stopped(2 * SLOWEST_S)
    assert world.stopped_at is None
    assert world.dispatcher.jobs["gang"].all_done


# Work of the members; progress at which the last one hangs; time at which the others have finished
# or stand still.
HANGING_GANGS = {
    "beside members that work": (uneven()[:-1] + [math.inf], 40.0, SLOWEST_S),
    "beside members that have finished": (
        [ESTIMATE_S / 4] * (WIDTH - 1) + [math.inf],
        80.0,
        0.8 * ESTIMATE_S,
    ),
    "from its start": ([ESTIMATE_S] * (WIDTH - 1) + [math.inf], 0.0, ESTIMATE_S),
    "just before its end": ([ESTIMATE_S] * (WIDTH - 1) + [math.inf], 99.0, ESTIMATE_S),
    "with all other members": ([math.inf] * WIDTH, 60.0, 0.6 * ESTIMATE_S),
}


@pytest.mark.parametrize(
    ("seconds", "percent", "idle_from_s"), HANGING_GANGS.values(), ids=HANGING_GANGS.keys()
)
def test_a_hung_member_is_found(seconds, percent, idle_from_s):
    """Guards against a gang that never ends because one of its members hangs."""
    world = GangWorld(seconds, hang_at=percent)
    world.report_until_stopped(idle_from_s + 2 * DETECTION_S)
    assert world.stopped_at is not None
    assert world.stopped_at - world.started_at - idle_from_s <= DETECTION_S
    hung = [order for order in world.orders if isinstance(order, StopOrder)]
    assert {seconds[order.task.index] for order in hung} == {math.inf}


def test_a_gang_is_not_broken_for_a_member_that_resumes_before_the_others_have_finished():
    """Guards against throwing away the work of a gang for a hang that delays nobody."""
    world = GangWorld([ESTIMATE_S * 2] * (WIDTH - 1) + [math.inf], hang_at=40.0)
    world.report_until_stopped(2 * DETECTION_S)
    world.seconds[-1] = ESTIMATE_S * 2
    world.report_until_stopped(4 * ESTIMATE_S)
    assert world.stopped_at is None
    assert world.dispatcher.jobs["gang"].all_done


def test_a_gang_that_does_not_end_after_all_members_have_finished_is_hung():
    """Guards against a gang that stays at 100 percent for good."""
    world = GangWorld([ESTIMATE_S] * WIDTH, ends=False)
    world.report_until_stopped(ESTIMATE_S + 2 * DETECTION_S)
    assert world.stopped_at is not None
    assert world.stopped_at - world.started_at - ESTIMATE_S <= DETECTION_S


def test_the_gang_runs_again_after_a_hung_member():
    """Guards against a gang that is not started again after one of its members hung."""
    world = GangWorld(uneven()[:-1] + [math.inf], hang_at=40.0)
    world.report_until_stopped(SLOWEST_S + 2 * DETECTION_S)
    (stop,) = {order.task.index for order in world.orders}
    assert stop == WIDTH - 1
    for member in world.members:
        how = EndKind.STOPPED if member.task.index == stop else EndKind.GANG_BROKEN
        world.hosts[member.host].end(member, how)
    world.deliver_reports()
    # The host of the hung member gets no task for some seconds.
    starts = []
    for _ in range(20):
        world.now += REPORT_INTERVAL_S
        world.deliver_reports()
        starts += world.starts()
    assert len(starts) == WIDTH
    assert {order.attempt for order in starts} == {2}
