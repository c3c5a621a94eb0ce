"""Room held for a step while tasks of lower priority are preempted for it."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import Factory, define, frozen

from rhubarbferry.dispatch.account_shares import AccountShares
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, RunPhase, Step
from rhubarbferry.dispatch.messages import Sizes
from rhubarbferry.dispatch.placement import free_slots, is_eligible
from rhubarbferry.dispatch.waiting import Position

# A preempted task stops within a second, and its end is reported soon after. Room that the step has
# not used by this timeout is released to other steps.
HOLD_TIMEOUT_S = 2.5
# Minimum time between the expiry of an unused hold and the next hold for the same step.
HOLD_RETRY_INTERVAL_S = 1.0
# Tasks whose expected remaining time is at most this are not preempted; the step waits for them.
MIN_REMAINING_TO_PREEMPT_S = 2.0
# Cost of one preempted run when hosts are compared, expressed as time that the step waits.
PREEMPTION_COST_S = 0.5
# Maximum share of all hosts that may be held for gangs and urgent steps at one time.
MAX_HELD_SHARE = 0.5


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
class _HostOption:
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
        return (longest + PREEMPTION_COST_S * len(self.victims) / self.slots, self.host.id)


@frozen(kw_only=True, slots=True)
class _Selection:
    """The runs to preempt on one host, and how long to wait for the runs that end by themselves."""

    victims: tuple[Run, ...]
    wait_s: float


@define(kw_only=True, eq=False)
class Holds:
    """All current holds.

    :param shares: standings of the accounts, which decide which steps come first and which runs
        give way.
    """

    shares: AccountShares = Factory(AccountShares)
    _holds: dict[Step, Hold] = Factory(dict)
    _retry_at: dict[Step, float] = Factory(dict)

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
        expired = [step for step, hold in self._holds.items() if now >= hold.until]
        for step in expired:
            del self._holds[step]
            self._retry_at[step] = now + HOLD_RETRY_INTERVAL_S
        # All retry intervals have the same length, so the entries are sorted by the time they end.
        while self._retry_at:
            step, until = next(iter(self._retry_at.items()))
            if now < until:
                break
            del self._retry_at[step]
        return bool(expired)

    def held_room(self, *, excluding: Step) -> dict[str, Sizes]:
        """Return the room held on each host for other steps."""
        return _sum_held_room(hold for step, hold in self._holds.items() if step is not excluding)

    def room_held_before(self, step: Step, positions: Mapping[Step, Position]) -> dict[str, Sizes]:
        """Return the room held on each host for steps that precede a waiting step."""
        rank = self.shares.rank(step, positions[step])
        return _sum_held_room(
            hold
            for other, hold in self._holds.items()
            if other in positions and self.shares.rank(other, positions[other]) < rank
        )

    def hold_room(
        self, step: Step, hosts: Iterable[Host], *, limit: int, total: int, now: float
    ) -> list[Run]:
        """Hold room for the waiting tasks of a step; return the runs to preempt for it.

        A gang needs room for all its tasks at once. In a cell where small tasks take all room that
        becomes free, it would wait past its objective, and so would urgent tasks in a full cell.
        Preemption costs tasks of lower priority about a second if they can resume from a
        checkpoint. Those of accounts above their share give way first.

        :param hosts: hosts that may run the step now.
        :param limit: most tasks to hold room for.
        :param total: total number of hosts.
        """
        if step in self._holds or step in self._retry_at:
            return []
        held = {id for hold in self._holds.values() for id in hold.slots}
        slack_s = step.job.urgency(step, now).until - now
        max_wait_s = (
            max(MIN_REMAINING_TO_PREEMPT_S, slack_s)
            if slack_s < math.inf
            else MIN_REMAINING_TO_PREEMPT_S
        )
        options = [
            _host_option(step, host, max_wait_s, self.shares, now)
            for host in hosts
            if host.id not in held
        ]
        options = sorted(
            (option for option in options if option.slots > 0), key=lambda option: option.cost
        )
        wanted = min(limit, len(step.waiting_tasks()))
        slots: dict[str, int] = {}
        selections: list[_Selection] = []
        for option in options:
            if not wanted or len(held) + len(slots) >= MAX_HELD_SHARE * total:
                break
            taken = min(wanted, option.slots)
            slots[option.host.id] = taken
            selections.append(_select_runs(step, option, taken))
            wanted -= taken
        if not slots or (wanted and step.req.gang):
            self._retry_at[step] = now + HOLD_RETRY_INTERVAL_S
            return []
        wait_s = max(selection.wait_s for selection in selections)
        self._holds[step] = Hold(step=step, slots=slots, until=now + HOLD_TIMEOUT_S + wait_s)
        return [run for selection in selections for run in selection.victims]


def _sum_held_room(holds: Iterable[Hold]) -> dict[str, Sizes]:
    held_room: dict[str, Sizes] = {}
    for hold in holds:
        for id, slots in hold.slots.items():
            held_room[id] = held_room.get(id, Sizes()).plus(hold.step.req.room.times(slots))
    return held_room


def _host_option(
    step: Step, host: Host, max_wait_s: float, shares: AccountShares, now: float
) -> _HostOption:
    if not is_eligible(step, host):
        return _HostOption(host=host, slots=0, ending=(), victims=())
    ending: list[tuple[float, Run]] = []
    victims: list[Run] = []
    room = host.room
    for run in host.runs.values():
        remaining_s = run.remaining_s(now)
        if remaining_s > MIN_REMAINING_TO_PREEMPT_S and _can_preempt(run, step, shares):
            victims.append(run)
        elif remaining_s <= max_wait_s:
            ending.append((remaining_s, run))
        else:
            continue
        room = room.plus(run.task.step.req.room)
    ending.sort(key=lambda pair: pair[0])
    victims.sort(
        key=lambda run: (
            not shares.is_above(run.task.step),
            -run.task.step.job.queue.priority,
            run.percent,
        )
    )
    return _HostOption(
        host=host,
        slots=free_slots(step, host, room),
        ending=tuple(ending),
        victims=tuple(victims),
    )


def _can_preempt(run: Run, step: Step, shares: AccountShares) -> bool:
    other = run.task.step
    if other.job.queue.priority <= step.job.queue.priority:
        return False
    if run.phase is not RunPhase.RUNNING or not shares.may_give_way(run, step):
        return False
    req = other.req
    return req.checkpointable and not (req.gang or req.lasting or req.may_miss is not None)


def _select_runs(step: Step, option: _HostOption, slots: int) -> _Selection:
    """Select the runs to end so that ``slots`` slots become free.

    Runs that are expected to end soon are selected before runs to preempt.
    """
    room = option.host.room
    wait_s = 0.0
    victims: list[Run] = []
    for remaining_s, run in option.ending:
        if free_slots(step, option.host, room) >= slots:
            break
        room = room.plus(run.task.step.req.room)
        wait_s = remaining_s
    for run in option.victims:
        if free_slots(step, option.host, room) >= slots:
            break
        room = room.plus(run.task.step.req.room)
        victims.append(run)
    return _Selection(victims=tuple(victims), wait_s=wait_s)
