"""Room held for a step while tasks of lower priority are preempted for it."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import Factory, define, frozen

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, RunPhase, Step
from rhubarbferry.dispatch.messages import Sizes
from rhubarbferry.dispatch.placement import could_run, slots_on
from rhubarbferry.dispatch.waiting import Order

# A preempted task stops within a second, and its end is reported soon after. Room that the step has
# not used by this timeout is released to other steps.
HOLD_S = 2.5
# Minimum time between the expiry of an unused hold and the next hold for the same step.
HOLD_PAUSE_S = 1.0
# Tasks whose expected remaining time is at most this are not preempted; the step waits for them.
DRAIN_S = 2.0
# Cost of one preempted run when hosts are compared, expressed as time that the step waits.
VICTIM_COST_S = 0.5
# Maximum share of all hosts that may be held at one time.
MOST_HELD_SHARE = 0.5


@frozen(kw_only=True, slots=True)
class Hold:
    """Room held for the waiting tasks of a step.

    :param slots: number of tasks that each host, by id, is to receive.
    :param until: when the hold expires.
    """

    step: Step
    slots: dict[str, int]
    until: float


@frozen(kw_only=True, slots=True)
class _Offer:
    """The room that a host could provide for a step.

    :param slots: number of tasks of the step that would fit.
    :param ending: runs that are expected to end soon, each with its remaining seconds.
    :param victims: runs that can be preempted, in the order of preemption.
    """

    host: Host
    slots: int
    ending: tuple[tuple[float, Run], ...]
    victims: tuple[Run, ...]

    @property
    def cost(self) -> tuple[float, str]:
        """Sort key: the cost to free one slot, then the host's id."""
        longest = self.ending[-1][0] if self.ending else 0.0
        return (longest + VICTIM_COST_S * len(self.victims) / self.slots, self.host.id)


@frozen(kw_only=True, slots=True)
class _Share:
    """The runs to preempt on one host, and how long to wait for the runs that end by themselves."""

    victims: tuple[Run, ...]
    wait_s: float


@define(kw_only=True, eq=False)
class Holds:
    """All current holds."""

    _holds: dict[Step, Hold] = Factory(dict)
    _not_before: dict[Step, float] = Factory(dict)

    def __bool__(self) -> bool:
        return bool(self._holds)

    def hosts(self, step: Step) -> frozenset[str]:
        """Return the ids of the hosts held for a step."""
        hold = self._holds.get(step)
        return frozenset(hold.slots) if hold is not None else frozenset()

    def drop(self, step: Step) -> None:
        """Release the hold of a step."""
        self._holds.pop(step, None)

    def expire(self, now: float) -> bool:
        """Release the holds that have timed out; return whether there were any."""
        over = [step for step, hold in self._holds.items() if now >= hold.until]
        for step in over:
            del self._holds[step]
            self._not_before[step] = now + HOLD_PAUSE_S
        # All retry intervals have the same length, so the entries are sorted by the time they end.
        while self._not_before:
            step, until = next(iter(self._not_before.items()))
            if now < until:
                break
            del self._not_before[step]
        return bool(over)

    def kept(self, *, but: Step) -> dict[str, Sizes]:
        """Return the room held on each host for other steps."""
        return _sum(hold for step, hold in self._holds.items() if step is not but)

    def kept_from(self, order: Order, orders: Mapping[Step, Order]) -> dict[str, Sizes]:
        """Return the room held on each host for steps that precede ``order``."""
        return _sum(hold for step, hold in self._holds.items() if orders.get(step, order) < order)

    def make_room(self, step: Step, hosts: Iterable[Host], *, total: int, now: float) -> list[Run]:
        """Hold room for the waiting tasks of a step; return the runs to preempt for it.

        A gang needs room for all its tasks at once. In a cell where small tasks take all room that
        becomes free, it would wait past its objective, and so would urgent tasks in a full cell.
        Preemption costs tasks of lower priority about a second if they can resume from a
        checkpoint.

        :param hosts: hosts that may run the step now.
        :param total: total number of hosts.
        """
        if step in self._holds or step in self._not_before:
            return []
        held = {id for hold in self._holds.values() for id in hold.slots}
        slack_s = step.job.standing(step, now).until - now
        drain_s = max(DRAIN_S, slack_s) if slack_s < math.inf else DRAIN_S
        offers = [_offer(step, host, drain_s, now) for host in hosts if host.id not in held]
        offers = sorted((offer for offer in offers if offer.slots > 0), key=lambda o: o.cost)
        wanted = len(step.waiting())
        slots: dict[str, int] = {}
        shares: list[_Share] = []
        for offer in offers:
            if not wanted or len(held) + len(slots) >= MOST_HELD_SHARE * total:
                break
            taken = min(wanted, offer.slots)
            slots[offer.host.id] = taken
            shares.append(_share(step, offer, taken))
            wanted -= taken
        if not slots or (wanted and step.req.gang):
            self._not_before[step] = now + HOLD_PAUSE_S
            return []
        wait_s = max(share.wait_s for share in shares)
        self._holds[step] = Hold(step=step, slots=slots, until=now + HOLD_S + wait_s)
        return [run for share in shares for run in share.victims]


def _sum(holds: Iterable[Hold]) -> dict[str, Sizes]:
    kept: dict[str, Sizes] = {}
    for hold in holds:
        for id, slots in hold.slots.items():
            kept[id] = kept.get(id, Sizes()).plus(hold.step.req.room.times(slots))
    return kept


def _offer(step: Step, host: Host, drain_s: float, now: float) -> _Offer:
    if not could_run(step, host):
        return _Offer(host=host, slots=0, ending=(), victims=())
    ending: list[tuple[float, Run]] = []
    victims: list[Run] = []
    room = host.room
    for run in host.runs.values():
        left_s = run.left_s(now)
        if left_s > DRAIN_S and _gives_way(run, step):
            victims.append(run)
        elif left_s <= drain_s:
            ending.append((left_s, run))
        else:
            continue
        room = room.plus(run.task.step.req.room)
    ending.sort(key=lambda pair: pair[0])
    victims.sort(key=lambda run: (-run.task.step.job.queue.priority, run.percent))
    return _Offer(
        host=host,
        slots=slots_on(step, host, room),
        ending=tuple(ending),
        victims=tuple(victims),
    )


def _gives_way(run: Run, step: Step) -> bool:
    other = run.task.step
    if other.job.queue.priority <= step.job.queue.priority:
        return False
    if run.phase is not RunPhase.RUNNING:
        return False
    req = other.req
    return req.checkpointable and not (req.gang or req.lasting or req.may_miss is not None)


def _share(step: Step, offer: _Offer, slots: int) -> _Share:
    """Select the runs to end so that ``slots`` slots become free.

    Runs that are expected to end soon are selected before runs to preempt.
    """
    room = offer.host.room
    wait_s = 0.0
    victims: list[Run] = []
    for left_s, run in offer.ending:
        if slots_on(step, offer.host, room) >= slots:
            break
        room = room.plus(run.task.step.req.room)
        wait_s = left_s
    for run in offer.victims:
        if slots_on(step, offer.host, room) >= slots:
            break
        room = room.plus(run.task.step.req.room)
        victims.append(run)
    return _Share(victims=tuple(victims), wait_s=wait_s)
