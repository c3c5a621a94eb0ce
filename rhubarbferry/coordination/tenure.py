"""The tenures of this process: which partitions it may decide for, and until when."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

from attrs import define, field, frozen
from loguru import logger
from prometheus_client import Counter, Gauge

from rhubarbferry.conf.settings import OwnershipSettings
from rhubarbferry.coordination.membership import Membership
from rhubarbferry.coordination.mirror import Mirror
from rhubarbferry.coordination.signal import Signal
from rhubarbferry.core.ownership import OwnerEntry
from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.core.promise import PromiseBook
from rhubarbferry.ports.clock import Clock

WON = Counter("rhubarbferry_partitions_won_total", "Partitions won", ["kind"])
LOST = Counter("rhubarbferry_partitions_lost_total", "Partitions lost", ["kind"])
OWNED = Gauge("rhubarbferry_partitions_owned", "Partitions owned now")

MAX_EVENTS = 100_000


@define(kw_only=True, eq=False)
class HeldTenure:
    """One tenure; implements ``ports.ownership.Tenure``.

    :param lease_holds: tells whether the lease it was won under holds.
    :param extension_until: monotonic time up to which promises may stand in for the lease.
    :param book: the promises of the guards, or the answers of a rack's workers.
    """

    partition: PartitionId
    epoch: int
    incarnation: int
    clock: Clock
    lease_holds: Callable[[], bool]
    extension_until: Callable[[], float]
    book: PromiseBook = field(factory=PromiseBook)
    ended: bool = False
    highest_seen_epoch: int = 0

    def holds(self) -> bool:
        """Tell whether this process may act NOW: checked right before each act."""
        if self.ended:
            return False
        match self.partition.kind:
            case PartitionKind.KEY:
                return self.lease_holds()
            case PartitionKind.WORKER | PartitionKind.RUNNER:
                # Past the lease there may be a successor. With a majority behind it, this
                # owner knows that a successor has none, and so has decided nothing yet.
                return self.lease_holds() or self._promised()

    def seen(self, epoch: int) -> None:
        """Note an epoch that a worker or a guard has named; a higher one end_signal the tenure."""
        self.highest_seen_epoch = max(self.highest_seen_epoch, epoch)
        if epoch > self.epoch:
            self.ended = True

    def _promised(self) -> bool:
        now = self.clock.monotonic()
        return now < self.extension_until() and self.book.majority(now)


@frozen(kw_only=True, slots=True)
class Won:
    """This process has become the owner of a partition."""

    tenure: HeldTenure


@frozen(kw_only=True, slots=True)
class Lost:
    """A tenure has ended; its ``holds()`` was false before this was sent."""

    partition: PartitionId
    epoch: int


class Tenures:
    """Turn what the mirror and the lease say into tenures and events.

    :ivar events: :class:`Won` and :class:`Lost`, in order.
    :ivar current: the tenures that have not ended.
    :ivar end_signal: counts the tenures that have ended.
    """

    def __init__(
        self, *, cfg: OwnershipSettings, clock: Clock, membership: Membership, mirror: Mirror
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._mirror = mirror
        self._used_epochs: dict[PartitionId, int] = {}
        self.events: asyncio.Queue[Won | Lost] = asyncio.Queue(MAX_EVENTS)
        self.current: dict[PartitionId, HeldTenure] = {}
        self.end_signal = Signal()

    def sync(self) -> None:
        """End what is no longer ours, begin what has become ours."""
        lease = self._membership.lease
        entries = self._mirror.state.table.entries
        for partition, tenure in list(self.current.items()):
            lease_unchanged = lease is not None and lease.incarnation == tenure.incarnation
            ours = _matches(entries.get(partition), self._member_id, tenure)
            if tenure.ended or not lease_unchanged or not ours:
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
        """End a tenure for good: its epoch is never used again here."""
        tenure = self.current.pop(partition, None)
        if tenure is None:
            return
        tenure.ended = True
        self._used_epochs[partition] = max(tenure.epoch, tenure.highest_seen_epoch)
        LOST.labels(partition.kind.value).inc()
        OWNED.set(len(self.current))
        logger.info("{} lost at epoch {}", partition, tenure.epoch)
        self.events.put_nowait(Lost(partition=partition, epoch=tenure.epoch))
        self.end_signal.notify()

    def end_all(self, partitions: Iterable[PartitionId] | None = None) -> None:
        """End the tenures of ``partitions``, of all when there is no list."""
        for partition in list(self.current if partitions is None else partitions):
            self.end(partition)

    def min_epochs(self) -> Mapping[PartitionId, int]:
        """Return the lowest epochs that the next plan may use."""
        min_epochs: dict[PartitionId, int] = {}
        entries = self._mirror.state.table.entries
        for partition, seen in self._mirror.epochs.items():
            entry = entries.get(partition)
            # The table shows a lower epoch than before only when the store itself went back.
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
            book=PromiseBook(margin_s=self._cfg.clock_margin_s),
        )
        self.current[partition] = tenure
        self._used_epochs[partition] = entry.epoch
        WON.labels(partition.kind.value).inc()
        OWNED.set(len(self.current))
        logger.info("{} won at epoch {}", partition, entry.epoch)
        self.events.put_nowait(Won(tenure=tenure))

    def _extension_until(self) -> float:
        # Counted from the last whole read of the table: an owner that has not read it for
        # longer may have missed that its guard set was replaced without its guards.
        return self._mirror.last_read_at + self._cfg.longest_extension_s

    def _sync_guards(self) -> None:
        for partition, tenure in self.current.items():
            if partition.kind is PartitionKind.RUNNER:
                guard_set = self._mirror.guard_set(partition.region)
                guards = () if guard_set.closing else guard_set.guards
                names = (guard.id for guard in guards)
                tenure.book.use(guards=names, version=guard_set.version)

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
