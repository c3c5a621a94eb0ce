"""Update the ownership table: replace dead owners and move partitions to new members."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import evolve
from loguru import logger

from rhubarbferry.conf.settings import OwnershipSettings
from rhubarbferry.coordination.change_notifier import wait_at_most
from rhubarbferry.coordination.guard_sets import GuardSetManager
from rhubarbferry.coordination.membership import Membership
from rhubarbferry.coordination.mirror import Mirror
from rhubarbferry.coordination.records import RecordCorrupt
from rhubarbferry.coordination.table import TableWriter
from rhubarbferry.coordination.tenure import Tenures
from rhubarbferry.core.ownership import Table, misplaced, permitted, plan
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.ownership import Member, Role
from rhubarbferry.ports.store import StoreError

MAX_STEP_INTERVAL_S = 1.0
DELAY_PER_RANK_S = 0.03


class RecordSource(Protocol):
    """Source of all records of the cell."""

    async def refresh(self) -> None:
        """Read all records again.

        :raises StoreError: when they can't be read.
        """
        ...


class Planner:
    """Compute the ownership table and write it.

    Each scheduler runs a planner; from the same records, all of them compute the same table.

    :param partitions: returns the partitions that need an owner, from configuration and hosts.
    :param jitter: returns a random number from 0 up to 1, so that not all planners write at the
        same time.
    """

    def __init__(
        self,
        *,
        cfg: OwnershipSettings,
        clock: Clock,
        membership: Membership,
        mirror: Mirror,
        tenures: Tenures,
        source: RecordSource,
        writer: TableWriter,
        guard_sets: GuardSetManager,
        partitions: Callable[[], frozenset[PartitionId]],
        jitter: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._mirror = mirror
        self._tenures = tenures
        self._source = source
        self._writer = writer
        self._guard_sets = guard_sets
        self._partitions = partitions
        self._jitter = jitter
        self._leaving = False
        self._misplaced_since: float | None = None

    async def run(self) -> None:
        """Run a planning step after each change until cancelled."""
        while True:
            version = self._mirror.changes.version
            try:
                await self.step()
            except (StoreError, RecordCorrupt) as exc:
                logger.debug("the planning step failed: {}", exc)
            await wait_at_most(
                self._clock, MAX_STEP_INTERVAL_S, self._mirror.changes.changed(version)
            )

    def hand_over(self) -> None:
        """End all tenures; the next step assigns their partitions to other members."""
        self._leaving = True
        self._tenures.end_all()

    async def step(self) -> None:
        """Move the table one step closer to the target assignment.

        :raises StoreError: when the store can't be read or written.
        """
        member = self._own_member()
        if member is None or not self._membership.holds(member.incarnation):
            return
        moving = self._misplaced(member) if self._moves_due(member) else frozenset()
        if self._next_table(moving) is None:
            return
        await self._clock.sleep(
            self._rank(member) * DELAY_PER_RANK_S + self._jitter() * DELAY_PER_RANK_S
        )
        # A member may seem dead only because this process has not received its record. So a
        # partition is reassigned only after a full read, which also returns the table to be
        # replaced.
        await self._source.refresh()
        if moving:
            # If tenures were ended while the store is down, their partitions would have no owner
            # until it is available again. So the store must have answered just before, and the
            # moves must still be required.
            self._tenures.end_all(moving & self._misplaced(member))
            self._misplaced_since = None
        table = self._next_table()
        if table is None:
            return
        based_on = self._mirror.state.table_revision
        if await self._writer.write(table, based_on=based_on):
            await self._source.refresh()

    def _target_table(self) -> Table:
        state = self._mirror.state
        members = [self._mark_if_leaving(member) for member in state.members.values()]
        return plan(state.table, members, self._partitions(), self._tenures.min_epochs())

    def _mark_if_leaving(self, member: Member) -> Member:
        if self._leaving and member.id == self._membership.member.id:
            return evolve(member, draining=True)
        return member

    def _next_table(self, moving: frozenset[PartitionId] = frozenset()) -> Table | None:
        """Return the table to be written, or ``None`` if the stored one is up to date.

        :param moving: partitions whose tenures are to be ended before the table is written.
        """
        state = self._mirror.state
        member = self._own_member()
        if member is None or not state.table_readable:
            return None
        owned = state.table.owned_by(member)
        released = moving | frozenset(p for p in owned if p not in self._tenures.current)
        members = state.members.values()
        table = permitted(state.table, self._target_table(), members, released)
        table = self._guard_sets.apply(table, members)
        return None if table == state.table else table

    def _misplaced(self, member: Member) -> frozenset[PartitionId]:
        misplaced_partitions = misplaced(self._mirror.state.table, self._target_table(), member)
        return misplaced_partitions & self._tenures.current.keys()

    def _moves_due(self, member: Member) -> bool:
        """Return whether partitions of this member have been misplaced for long enough to move.

        The members of a starting cell join one by one, and each move requires the new owner to
        adopt the partition.
        """
        if member.draining or not self._mirror.state.table_readable:
            # A draining member keeps its partitions until their work is done.
            return False
        if not self._misplaced(member):
            self._misplaced_since = None
            return False
        now = self._clock.monotonic()
        if self._misplaced_since is None:
            self._misplaced_since = now
        return now - self._misplaced_since >= self._cfg.rebalance_s

    def _own_member(self) -> Member | None:
        own = self._mirror.state.members.get(self._membership.member.id)
        if own is None or own.incarnation != self._membership.member.incarnation:
            return None
        return own

    def _rank(self, member: Member) -> int:
        schedulers = self._mirror.members(Role.SCHEDULER)
        return sum(other.id < member.id for other in schedulers)
