"""Tenures of this process: which partitions it may decide for, and until when."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

from attrs import define, field, frozen
from loguru import logger
from prometheus_client import Counter, Gauge

from rhubarbferry.conf.settings import OwnershipSettings
from rhubarbferry.coordination.change_notifier import ChangeNotifier
from rhubarbferry.coordination.membership import Membership
from rhubarbferry.coordination.mirror import Mirror
from rhubarbferry.core.ownership import OwnerEntry
from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.core.promise import HeldPromises
from rhubarbferry.ports.clock import Clock

TENURES_WON = Counter(
    "rhubarbferry_partitions_won_total", "Tenures of partitions that this process has won", ["kind"]
)
TENURES_LOST = Counter(
    "rhubarbferry_partitions_lost_total",
    "Tenures of partitions that this process has lost",
    ["kind"],
)
PARTITIONS_OWNED = Gauge("rhubarbferry_partitions_owned", "Partitions that this process owns")

MAX_EVENTS = 100_000


@define(kw_only=True, eq=False)
class HeldTenure:
    """One tenure; implements ``ports.ownership.Tenure``.

    :param lease_holds: returns whether the lease under which the tenure was won is still valid.
    :param extension_until: returns the monotonic time up to which promises may replace the lease.
    :param promises: the promises of the guards, or the replies of a rack's workers.
    :param ended: whether the tenure has ended permanently.
    :param highest_seen_epoch: the highest epoch that a worker or guard has reported.
    """

    partition: PartitionId
    epoch: int
    incarnation: int
    clock: Clock
    lease_holds: Callable[[], bool]
    extension_until: Callable[[], float]
    promises: HeldPromises = field(factory=HeldPromises)
    ended: bool = False
    highest_seen_epoch: int = 0

    def holds(self) -> bool:
        """Return whether this process may act now; call it immediately before each action."""
        if self.ended:
            return False
        match self.partition.kind:
            case PartitionKind.KEY:
                return self.lease_holds()
            case PartitionKind.WORKER | PartitionKind.RUNNER:
                # After the lease has expired, there may be a successor. While a majority supports
                # this owner, a successor has no majority, and so has not made any decision yet.
                return self.lease_holds() or self._promised()

    def observe_epoch(self, epoch: int) -> None:
        """Record an epoch reported by a worker or guard; a higher epoch ends the tenure."""
        self.highest_seen_epoch = max(self.highest_seen_epoch, epoch)
        if epoch > self.epoch:
            self.ended = True

    def _promised(self) -> bool:
        now = self.clock.monotonic()
        return now < self.extension_until() and self.promises.majority(now)


@frozen(kw_only=True, slots=True)
class TenureWon:
    """This process has become the owner of a partition."""

    tenure: HeldTenure


@frozen(kw_only=True, slots=True)
class TenureLost:
    """A tenure has ended; its ``holds()`` returned ``False`` before this event was queued."""

    partition: PartitionId
    epoch: int


class Tenures:
    """Derive tenures and events from the ownership table and the lease.

    :ivar events: :class:`TenureWon` and :class:`TenureLost`, in order.
    :ivar current: the active tenures by partition.
    :ivar end_notifier: notified whenever a tenure ends.
    """

    def __init__(
        self, *, cfg: OwnershipSettings, clock: Clock, membership: Membership, mirror: Mirror
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._mirror = mirror
        self._used_epochs: dict[PartitionId, int] = {}
        self.events: asyncio.Queue[TenureWon | TenureLost] = asyncio.Queue(MAX_EVENTS)
        self.current: dict[PartitionId, HeldTenure] = {}
        self.end_notifier = ChangeNotifier()

    def sync(self) -> None:
        """End tenures that are no longer valid and begin those that the table assigns."""
        lease = self._membership.lease
        entries = self._mirror.state.table.entries
        for partition, tenure in list(self.current.items()):
            lease_unchanged = lease is not None and lease.incarnation == tenure.incarnation
            is_assigned = _matches(entries.get(partition), self._member_id, tenure)
            if tenure.ended or not lease_unchanged or not is_assigned:
                self.end(partition)
        if lease is None or not self._membership.holds(lease.incarnation):
            return
        for partition, entry in entries.items():
            if (entry.member_id, entry.incarnation) != (self._member_id, lease.incarnation):
                continue
            if partition not in self.current and entry.epoch > self._used_epochs.get(partition, 0):
                self._begin(partition, entry)
        self._sync_guards()

    def end(self, partition: PartitionId) -> None:
        """End a tenure permanently; this process never uses its epoch again."""
        tenure = self.current.pop(partition, None)
        if tenure is None:
            return
        tenure.ended = True
        self._used_epochs[partition] = max(tenure.epoch, tenure.highest_seen_epoch)
        TENURES_LOST.labels(partition.kind.value).inc()
        PARTITIONS_OWNED.set(len(self.current))
        logger.info("tenure of {} with epoch {} has ended", partition, tenure.epoch)
        self.events.put_nowait(TenureLost(partition=partition, epoch=tenure.epoch))
        self.end_notifier.notify()

    def end_all(self, partitions: Iterable[PartitionId] | None = None) -> None:
        """End the tenures of ``partitions``, or all tenures when omitted."""
        for partition in list(self.current if partitions is None else partitions):
            self.end(partition)

    def min_epochs(self) -> Mapping[PartitionId, int]:
        """Return the lowest epoch that the next plan may use, for partitions with such a limit."""
        min_epochs: dict[PartitionId, int] = {}
        entries = self._mirror.state.table.entries
        for partition, seen in self._mirror.epochs.items():
            entry = entries.get(partition)
            # The table contains a lower epoch than before only when the store was rolled back.
            if entry is None or entry.epoch < seen:
                min_epochs[partition] = seen + 1
        for partition, used in self._used_epochs.items():
            if partition not in self.current:
                min_epochs[partition] = max(used + 1, min_epochs.get(partition, 0))
        return min_epochs

    def _begin(self, partition: PartitionId, entry: OwnerEntry) -> None:
        incarnation = entry.incarnation
        tenure = HeldTenure(
            partition=partition,
            epoch=entry.epoch,
            incarnation=incarnation,
            clock=self._clock,
            lease_holds=lambda: self._membership.holds(incarnation),
            extension_until=self._extension_until,
            promises=HeldPromises(margin_s=self._cfg.clock_margin_s),
        )
        self.current[partition] = tenure
        self._used_epochs[partition] = entry.epoch
        TENURES_WON.labels(partition.kind.value).inc()
        PARTITIONS_OWNED.set(len(self.current))
        logger.info("tenure of {} with epoch {} has begun", partition, entry.epoch)
        self.events.put_nowait(TenureWon(tenure=tenure))

    def _extension_until(self) -> float:
        # Counted from the last full read of the table: an owner that has not read it for longer
        # may have missed that its guard set was replaced without its guards' confirmation.
        return self._mirror.last_read_at + self._cfg.longest_extension_s

    def _sync_guards(self) -> None:
        for partition, tenure in self.current.items():
            if partition.kind is PartitionKind.RUNNER:
                guard_set = self._mirror.guard_set(partition.region)
                guards = () if guard_set.closing else guard_set.guards
                names = (guard.id for guard in guards)
                tenure.promises.set_guards(guards=names, version=guard_set.version)

    @property
    def _member_id(self) -> str:
        return self._membership.member.id


def _matches(entry: OwnerEntry | None, member_id: str, tenure: HeldTenure) -> bool:
    if entry is None:
        return False
    return (entry.member_id, entry.incarnation, entry.epoch) == (
        member_id,
        tenure.incarnation,
        tenure.epoch,
    )
