"""Replace the guard set of a region once a majority of the old set has agreed."""

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
# How long to wait for a majority's confirmations before the set is marked as closing.
CLOSE_DELAY_S = 30.0


@frozen(kw_only=True, slots=True)
class CloseConfirmation:
    """A guard's confirmation that it makes no further promises under lower versions.

    :param promise_left_s: remaining time of the longest promise it has made for the region.
    """

    guard_id: str
    promise_left_s: float


class CloseGuardSet(Protocol):
    """Request that a guard closes all versions of its region's guard set below ``version``."""

    async def __call__(
        self, guard: Guard, *, region: str, version: int
    ) -> CloseConfirmation | None:
        """Return the guard's confirmation, or ``None`` when it has not confirmed."""
        ...


@define(kw_only=True, slots=True)
class _PendingChange:
    """A pending replacement of one version of a guard set.

    :param since: monotonic time at which the replacement became necessary.
    :param replaceable_at: monotonic time from which this version can be replaced because its
        last promise has expired; ``None`` until a majority has confirmed.
    """

    old: GuardSet
    since: float
    replaceable_at: float | None = None


class GuardSetManager:
    """Determine which guard sets can be replaced safely, and update the ownership table.

    An owner that acts on promises of the old set and a successor adopted by the new set may have
    no guard in common. The new set therefore becomes valid only after a majority of the old
    set has stopped making promises and its promises have expired. If that majority does not
    respond, the set is first marked as closing, and replaced after ``longest_extension_s``: by
    then, an owner that has read the closing mark no longer relies on promises, and an owner that
    has not read the table since has stopped.

    :param close_set: sends a close request to one guard.
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
        """Return ``table`` with all guard set changes that are safe now."""
        guards = dict(table.guards)
        for region, desired in self._desired_sets(table, members).items():
            old = table.guards.get(region, NO_GUARDS)
            if self._is_safe(region, old, desired):
                guards[region] = desired
            elif self._must_close(region, old):
                guards[region] = evolve(old, version=old.version + 1, closing=True)
        return table if guards == table.guards else evolve(table, guards=guards)

    async def run(self) -> None:
        """Send close requests for all required replacements until cancelled."""
        while True:
            state = self._mirror.state
            for region, desired in self._desired_sets(state.table, state.members.values()).items():
                old = state.table.guards.get(region, NO_GUARDS)
                if not self._is_safe(region, old, desired):
                    await self._request_close(region, old)
            await self._clock.sleep(RETRY_INTERVAL_S)

    def _desired_sets(self, table: Table, members: Iterable[Member]) -> Mapping[str, GuardSet]:
        desired = dict(plan_guards(table.guards, members))
        for region, change in self._changes.items():
            old = table.guards.get(region, NO_GUARDS)
            if region not in desired and change.old == old and change.replaceable_at is not None:
                # The guards have closed this version for a replacement that is no longer needed.
                # Without a new version they would refuse all promises to the owners of the region.
                desired[region] = evolve(old, version=old.version + 1)
        return desired

    def _pending_change(self, region: str, old: GuardSet) -> _PendingChange:
        change = self._changes.get(region)
        if change is None or change.old != old:
            change = _PendingChange(old=old, since=self._clock.monotonic())
            self._changes[region] = change
        return change

    def _is_safe(self, region: str, old: GuardSet, desired: GuardSet) -> bool:
        if not old.guards or old.guards == desired.guards or self._cfg.longest_extension_s == 0:
            return True
        change = self._pending_change(region, old)
        now = self._clock.monotonic()
        if change.replaceable_at is not None and now >= change.replaceable_at:
            return True
        wait_s = self._cfg.longest_extension_s + self._cfg.clock_margin_s
        return old.closing and now >= change.since + wait_s

    def _must_close(self, region: str, old: GuardSet) -> bool:
        change = self._pending_change(region, old)
        waited_s = self._clock.monotonic() - change.since
        return not old.closing and change.replaceable_at is None and waited_s >= CLOSE_DELAY_S

    async def _request_close(self, region: str, old: GuardSet) -> None:
        change = self._pending_change(region, old)
        if change.replaceable_at is not None:
            return
        version = old.version + 1
        replies = await asyncio.gather(
            *(self._close_set(guard, region=region, version=version) for guard in old.guards)
        )
        confirmations = [reply for reply in replies if reply is not None]
        if len(confirmations) < old.majority:
            logger.debug(
                "{} of {} guards of region {} have closed their set",
                len(confirmations),
                len(old.guards),
                region,
            )
            return
        left_s = max(reply.promise_left_s for reply in confirmations)
        change.replaceable_at = self._clock.monotonic() + left_s + self._cfg.clock_margin_s
