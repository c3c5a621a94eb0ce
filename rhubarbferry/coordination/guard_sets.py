"""Replace a region's guard set after a majority of the old one has agreed."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from typing import Protocol

from attrs import define, evolve, frozen
from loguru import logger

from rhubarbferry.conf.settings import OwnershipSettings
from rhubarbferry.coordination.mirror import Mirror
from rhubarbferry.core.guards import NO_GUARDS, GuardSet, plan_guards
from rhubarbferry.core.ownership import Table
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.ownership import Guard, Member

RETRY_INTERVAL_S = 1.0
CLOSE_DELAY_S = 30.0


@frozen(kw_only=True, slots=True)
class CloseConfirmation:
    """A guard's word that it promises nothing more under lower versions.

    :param promise_left_s: the longest promise that it has still open for the region.
    """

    guard_id: str
    promise_left_s: float


class CloseGuardSet(Protocol):
    """Ask a guard to close the versions of its region's set below ``version``."""

    async def __call__(
        self, guard: Guard, *, region: str, version: int
    ) -> CloseConfirmation | None:
        """Return its word, or ``None`` when it did not give it."""
        ...


@define(kw_only=True, slots=True)
class _PendingChange:
    """What this planner knows about the change of one version of a set.

    :param since: when it first saw this version to be in the way.
    :param usable_at: when the last promise under this version has run out.
    """

    old: GuardSet
    since: float
    usable_at: float | None = None


class GuardSetManager:
    """Find out which changes of guard sets are safe, and put them into a table.

    An owner that acts on promises of the old set and a successor acknowledged by the new one
    need not share a guard. So the old set's majority must have stopped to promise, and its
    open promises must have run out, before the new set counts. When that majority does not
    answer, the set is first marked as closing, and replaced after the longest extension: an
    owner that has read the table later holds no promise, one that has not has stopped.

    :param close_set: asks one guard.
    """

    def __init__(
        self, *, cfg: OwnershipSettings, clock: Clock, mirror: Mirror, close_set: CloseGuardSet
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._mirror = mirror
        self._close_set = close_set
        self._changes: dict[str, _PendingChange] = {}

    def apply(self, table: Table, members: Iterable[Member]) -> Table:
        """Return ``table`` with those changes of guard sets that are safe now."""
        guards = dict(table.guards)
        for region, desired in self._desired(table, members).items():
            old = table.guards.get(region, NO_GUARDS)
            if self._is_safe(region, old, desired):
                guards[region] = desired
            elif self._must_close(region, old):
                guards[region] = evolve(old, version=old.version + 1, closing=True)
        return table if guards == table.guards else evolve(table, guards=guards)

    async def run(self) -> None:
        """Ask the guards for the changes that are desired, until cancelled."""
        while True:
            state = self._mirror.state
            for region, desired in self._desired(state.table, state.members.values()).items():
                old = state.table.guards.get(region, NO_GUARDS)
                if not self._is_safe(region, old, desired):
                    await self._request_close(region, old)
            await self._clock.sleep(RETRY_INTERVAL_S)

    def _desired(self, table: Table, members: Iterable[Member]) -> Mapping[str, GuardSet]:
        desired = dict(plan_guards(table.guards, members))
        for region, change in self._changes.items():
            old = table.guards.get(region, NO_GUARDS)
            if region not in desired and change.old == old and change.usable_at is not None:
                # The guards have closed this version for a change that is no longer desired, and
                # would refuse its owners' promises for good.
                desired[region] = evolve(old, version=old.version + 1)
        return desired

    def _change(self, region: str, old: GuardSet) -> _PendingChange:
        change = self._changes.get(region)
        if change is None or change.old != old:
            change = _PendingChange(old=old, since=self._clock.monotonic())
            self._changes[region] = change
        return change

    def _is_safe(self, region: str, old: GuardSet, desired: GuardSet) -> bool:
        if not old.guards or old.guards == desired.guards or self._cfg.longest_extension_s == 0:
            return True
        change = self._change(region, old)
        now = self._clock.monotonic()
        if change.usable_at is not None and now >= change.usable_at:
            return True
        wait_s = self._cfg.longest_extension_s + self._cfg.clock_margin_s
        return old.closing and now >= change.since + wait_s

    def _must_close(self, region: str, old: GuardSet) -> bool:
        change = self._change(region, old)
        waited_s = self._clock.monotonic() - change.since
        return not old.closing and change.usable_at is None and waited_s >= CLOSE_DELAY_S

    async def _request_close(self, region: str, old: GuardSet) -> None:
        change = self._change(region, old)
        if change.usable_at is not None:
            return
        version = old.version + 1
        answers = await asyncio.gather(
            *(self._close_set(guard, region=region, version=version) for guard in old.guards)
        )
        closed = [answer for answer in answers if answer is not None]
        if len(closed) < old.majority:
            logger.debug("{} of {} guards of {} agree", len(closed), len(old.guards), region)
            return
        left_s = max(answer.promise_left_s for answer in closed)
        change.usable_at = self._clock.monotonic() + left_s + self._cfg.clock_margin_s
