"""Keys, revisions, leases and history of the store stand-in, without I/O or a clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from enum import StrEnum

from attrs import define, field, frozen
from sortedcontainers import SortedDict

from rhubarbferry.ports.store import (
    MAX_VALUE_BYTES,
    KeyDeleted,
    KeyPut,
    KeyValue,
    LeaseLost,
    StoreRefused,
    WatchEvent,
)

HISTORY_EVENTS = 20_000


class Target(StrEnum):
    """The attribute of a key that a comparison checks."""

    MOD = "MOD"
    CREATE = "CREATE"
    VERSION = "VERSION"


@frozen(kw_only=True, slots=True)
class Compare:
    """Condition on an attribute of a key; ``expected_value`` 0 means that the key is absent."""

    key: str
    target: Target
    expected_value: int


@frozen(kw_only=True, slots=True)
class Put:
    """Write a key."""

    key: str
    value: bytes
    lease_id: int = 0


@frozen(kw_only=True, slots=True)
class Delete:
    """Delete the keys in ``[key, end)``, or only ``key`` if ``end`` is empty."""

    key: str
    end: str = ""


@frozen(kw_only=True, slots=True)
class TxnResult:
    """Result of a transaction; ``deleted`` counts the keys deleted by all its operations."""

    succeeded: bool
    revision: int
    deleted: int = 0


@frozen(kw_only=True, slots=True)
class StoredItem:
    """A key-value pair with its version, the number of writes since the key was created."""

    kv: KeyValue
    version: int


@frozen(kw_only=True, slots=True)
class Change:
    """One change of a key, with the states before and after it."""

    revision: int
    key: str
    after: StoredItem | None
    before: StoredItem | None


class Compacted(Exception):
    """The history no longer contains the requested revision."""


@define(kw_only=True, slots=True)
class Lease:
    """A lease and its attached keys.

    :param expires_at: time at which the lease expires.
    """

    ttl_s: float
    expires_at: float
    keys: set[str] = field(factory=set)


def _in_range(key: str, start: str, end: str) -> bool:
    return start <= key and (not end or key < end)


class StoreEngine:
    """State of the store; time-dependent methods take the current time in seconds.

    :param history: number of changes kept for watches and for reads of past revisions.
    """

    def __init__(self, *, history: int = HISTORY_EVENTS) -> None:
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self._items: SortedDict = SortedDict()
        self._history: deque[Change] = deque(maxlen=history)
        self._next_lease = 7_000_000

    def expire(self, now: float) -> None:
        """Remove the expired leases and their keys."""
        expired = [lease_id for lease_id, lease in self.leases.items() if lease.expires_at <= now]
        for lease_id in expired:
            self._remove_lease(lease_id)

    def next_expiry(self) -> float | None:
        """Return the time at which the next lease expires."""
        return min((lease.expires_at for lease in self.leases.values()), default=None)

    def read(
        self, start: str, end: str, *, limit: int = 0, revisions_back: int = 0
    ) -> Sequence[StoredItem]:
        """Return the keys in ``[start, end)`` as of ``revisions_back`` revisions ago."""
        items = self._as_of(self.revision - revisions_back) if revisions_back else self._items
        found = [items[key] for key in items.irange(start, end, inclusive=(True, False))]
        return found[:limit] if limit else found

    def get(self, key: str, *, revisions_back: int = 0) -> StoredItem | None:
        """Return one key as of ``revisions_back`` revisions ago."""
        items = self._as_of(self.revision - revisions_back) if revisions_back else self._items
        return items.get(key)

    def txn(self, compares: Sequence[Compare], ops: Sequence[Put | Delete]) -> TxnResult:
        """Apply all ``ops`` under one revision if all comparisons match."""
        if not all(self._matches(compare) for compare in compares):
            return TxnResult(succeeded=False, revision=self.revision)
        for op in ops:
            self._validate(op)
        deleted = 0
        before = self.revision
        revision = before + 1
        for op in ops:
            match op:
                case Put():
                    self._put(op, revision)
                case Delete():
                    deleted += self._delete(op, revision)
        return TxnResult(succeeded=True, revision=self.revision, deleted=deleted)

    def grant(self, ttl_s: float, now: float) -> int:
        """Grant a lease and return its ID."""
        self._next_lease += 1
        self.leases[self._next_lease] = Lease(ttl_s=ttl_s, expires_at=now + ttl_s)
        return self._next_lease

    def keep_alive(self, lease_id: int, now: float) -> float | None:
        """Renew a lease and return its TTL, or ``None`` if it does not exist."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return None
        lease.expires_at = now + lease.ttl_s
        return lease.ttl_s

    def revoke(self, lease_id: int) -> bool:
        """Revoke a lease; return whether it existed."""
        if lease_id not in self.leases:
            return False
        self._remove_lease(lease_id)
        return True

    def changes(self, start: str, end: str, from_revision: int) -> Sequence[WatchEvent]:
        """Return the changes in ``[start, end)`` since a revision, inclusive.

        :raises Compacted: if the history no longer contains that revision.
        """
        oldest = self._history[0].revision if self._history else self.revision + 1
        if from_revision <= oldest and self._history_is_full():
            raise Compacted(f"revision {from_revision} is gone; the oldest kept is {oldest}")
        found = [
            change
            for change in reversed(self._history)
            if change.revision >= from_revision and _in_range(change.key, start, end)
        ]
        return [self._event(change) for change in reversed(found)]

    def _history_is_full(self) -> bool:
        return len(self._history) == self._history.maxlen

    def _event(self, change: Change) -> WatchEvent:
        if change.after is None:
            return KeyDeleted(key=change.key, revision=change.revision)
        return KeyPut(kv=change.after.kv)

    def _as_of(self, revision: int) -> SortedDict:
        items = SortedDict(self._items)
        for change in reversed(self._history):
            if change.revision <= revision:
                break
            if change.before is None:
                items.pop(change.key, None)
            else:
                items[change.key] = change.before
        return items

    def _matches(self, compare: Compare) -> bool:
        item: StoredItem | None = self._items.get(compare.key)
        if item is None:
            return compare.expected_value == 0
        match compare.target:
            case Target.MOD:
                return item.kv.mod_revision == compare.expected_value
            case Target.CREATE:
                return item.kv.create_revision == compare.expected_value
            case Target.VERSION:
                return item.version == compare.expected_value

    def _validate(self, op: Put | Delete) -> None:
        if isinstance(op, Delete):
            return
        if len(op.value) > MAX_VALUE_BYTES:
            raise StoreRefused(f"value of {op.key} is over {MAX_VALUE_BYTES} bytes; split it")
        if op.lease_id and op.lease_id not in self.leases:
            raise LeaseLost(f"lease {op.lease_id} has lapsed; grant a new one")

    def _put(self, op: Put, revision: int) -> None:
        before: StoredItem | None = self._items.get(op.key)
        self._detach_from_lease(before)
        kv = KeyValue(
            key=op.key,
            value=op.value,
            mod_revision=revision,
            create_revision=before.kv.create_revision if before else revision,
            lease_id=op.lease_id,
        )
        after = StoredItem(kv=kv, version=before.version + 1 if before else 1)
        if op.lease_id:
            self.leases[op.lease_id].keys.add(op.key)
        self._record(Change(revision=revision, key=op.key, after=after, before=before))

    def _delete(self, op: Delete, revision: int) -> int:
        if not op.end:
            keys = [op.key] if op.key in self._items else []
        else:
            keys = list(self._items.irange(op.key, op.end, inclusive=(True, False)))
        for key in keys:
            before = self._items[key]
            self._detach_from_lease(before)
            self._record(Change(revision=revision, key=key, after=None, before=before))
        return len(keys)

    def _detach_from_lease(self, item: StoredItem | None) -> None:
        lease = self.leases.get(item.kv.lease_id) if item else None
        if item and lease:
            lease.keys.discard(item.kv.key)

    def _record(self, change: Change) -> None:
        if change.after is None:
            self._items.pop(change.key)
        else:
            self._items[change.key] = change.after
        self.revision = change.revision
        self._history.append(change)

    def _remove_lease(self, lease_id: int) -> None:
        lease = self.leases.pop(lease_id)
        revision = self.revision + 1
        for key in sorted(lease.keys):
            self._delete(Delete(key=key), revision)
