"""This process's copy of the cell's records, and views derived from it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from attrs import frozen
from loguru import logger
from prometheus_client import Counter

from rhubarbferry.coordination.change_notifier import ChangeNotifier
from rhubarbferry.coordination.keys import CONFIG_KEY, MEMBERS_PREFIX, OWNERSHIP_KEY
from rhubarbferry.coordination.records import RecordCorrupt, TableRecord, decode
from rhubarbferry.core.configuration import ConfigRecord
from rhubarbferry.core.guards import NO_GUARDS, GuardSet
from rhubarbferry.core.ownership import Table
from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.ports.ownership import Guard, Member, Owner, Role
from rhubarbferry.ports.store import KeyDeleted, KeyPut, KeyValue, Listing, WatchEvent

CORRUPT_RECORDS = Counter(
    "rhubarbferry_corrupt_records_total", "Records of the cell that can't be decoded"
)
ROLLBACKS = Counter(
    "rhubarbferry_store_went_back_total",
    "Full reads that returned an older revision of the store than earlier reads",
)

T = TypeVar("T")


@frozen(kw_only=True, slots=True)
class CellState:
    """The decoded records at one revision of the store.

    :param members: live members by id.
    :param table_revision: the store revision at which the ownership table was last written; 0 when
        there is none.
    :param table_readable: whether ``table`` was decoded from that write. While it is ``False``, no
        table may be planned: epochs would start again at 1 because the stored ones can't be read.
    :param config_revision: the same as ``table_revision``, for the configuration.
    """

    members: dict[str, Member]
    table: Table
    table_revision: int
    table_readable: bool
    config: ConfigRecord | None
    config_revision: int


EMPTY_STATE = CellState(
    members={},
    table=Table(),
    table_revision=0,
    table_readable=True,
    config=None,
    config_revision=0,
)


def decode_state(items: Iterable[KeyValue], previous: CellState = EMPTY_STATE) -> CellState:
    """Decode the records of a list; records that can't be decoded are skipped and counted.

    :param previous: supplies the table or configuration while the stored one can't be decoded.
    """
    members: dict[str, Member] = {}
    table, table_revision, table_readable = Table(), 0, True
    config, config_revision = None, 0
    for kv in items:
        if kv.key.startswith(MEMBERS_PREFIX):
            member = _read(kv, Member)
            if member is not None:
                members[member.id] = member
        elif kv.key == OWNERSHIP_KEY:
            record = _read(kv, TableRecord)
            table_readable = record is not None
            table = previous.table if record is None else record.table
            table_revision = kv.mod_revision
        elif kv.key == CONFIG_KEY:
            config = _read(kv, ConfigRecord) or previous.config
            config_revision = kv.mod_revision
    return CellState(
        members=members,
        table=table,
        table_revision=table_revision,
        table_readable=table_readable,
        config=config,
        config_revision=config_revision,
    )


def _read(kv: KeyValue, kind: type[T]) -> T | None:
    try:
        return decode(kv.key, kv.value, kind)
    except RecordCorrupt as exc:
        CORRUPT_RECORDS.inc()
        logger.error("{}", exc)
        return None


class Mirror:
    """The records as last read; implements ``ports.ownership.OwnershipView``.

    :ivar state: the decoded records.
    :ivar revision: the store revision that ``state`` reflects.
    :ivar changes: notified after each change.
    :ivar last_read_at: monotonic time at which the last full read was requested.
    :ivar epochs: the highest epoch ever observed for each partition.
    """

    def __init__(self) -> None:
        self.state = EMPTY_STATE
        self.revision = 0
        self.last_read_at = float("-inf")
        self.changes = ChangeNotifier()
        self.epochs: dict[PartitionId, int] = {}
        self._items: dict[str, KeyValue] = {}
        self._by_kind: dict[tuple[PartitionKind, str | None], tuple[PartitionId, ...]] = {}

    def replace(self, listing: Listing, *, asked_at: float, without_watch: bool) -> None:
        """Replace all records by the result of a full read.

        :param asked_at: monotonic time at which the read was requested.
        :param without_watch: whether no watch was running when the read was requested. In that
            case a lower revision means that the store itself was rolled back; otherwise the watch
            was merely ahead of the read.
        """
        if listing.revision < self.revision:
            if not without_watch:
                return
            ROLLBACKS.inc()
            logger.warning(
                "the store was rolled back from revision {} to {}", self.revision, listing.revision
            )
        self.last_read_at = max(self.last_read_at, asked_at)
        self.revision = listing.revision
        items = {kv.key: kv for kv in listing.items}
        if items != self._items or self.changes.version == 0:
            self._items = items
            self._update()

    def apply(self, events: Iterable[WatchEvent]) -> None:
        """Apply events received from a watch."""
        for event in events:
            match event:
                case KeyPut(kv=kv):
                    self._put(kv)
                case KeyDeleted(key=key, revision=revision):
                    self._delete(key, revision)
        self._update()

    def _put(self, kv: KeyValue) -> None:
        old = self._items.get(kv.key)
        if old is None or old.mod_revision < kv.mod_revision:
            self._items[kv.key] = kv
        self.revision = max(self.revision, kv.mod_revision)

    def _delete(self, key: str, revision: int) -> None:
        old = self._items.get(key)
        if old is not None and old.mod_revision < revision:
            del self._items[key]
        self.revision = max(self.revision, revision)

    def _update(self) -> None:
        self.state = decode_state(self._items.values(), self.state)
        for partition, entry in self.state.table.entries.items():
            self.epochs[partition] = max(entry.epoch, self.epochs.get(partition, 0))
        self._by_kind.clear()
        self.changes.notify()

    def owner(self, partition: PartitionId) -> Owner | None:
        """Return the owner of a partition, or ``None`` when it has no live owner."""
        entry = self.state.table.entries.get(partition)
        if entry is None:
            return None
        member = self.state.members.get(entry.member_id)
        if member is None or not entry.belongs_to(member):
            return None
        return Owner(member_id=entry.member_id, address=entry.address, epoch=entry.epoch)

    def partitions(self, kind: PartitionKind, region: str | None = None) -> tuple[PartitionId, ...]:
        """Return the known partitions of a kind in sorted order."""
        found = self._by_kind.get((kind, region))
        if found is None:
            entries = self.state.table.entries
            found = tuple(
                sorted(p for p in entries if p.kind is kind and region in (None, p.region))
            )
            self._by_kind[kind, region] = found
        return found

    def members(self, role: Role, region: str | None = None) -> tuple[Member, ...]:
        """Return the live members with a role, ordered by id."""
        found = (m for m in self.state.members.values() if m.role is role)
        return tuple(sorted((m for m in found if region in (None, m.region)), key=lambda m: m.id))

    def guards(self, region: str) -> tuple[Guard, ...]:
        """Return the guard set of a region, including its dead members."""
        return self.guard_set(region).guards

    def guard_version(self, region: str) -> int:
        """Return the version of that guard set; 0 when there is none."""
        return self.guard_set(region).version

    def guard_set(self, region: str) -> GuardSet:
        """Return the guard set of a region; its version is 0 when there is none."""
        return self.state.table.guards.get(region, NO_GUARDS)
