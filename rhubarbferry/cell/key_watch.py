"""Watch one key of the store without transferring a known value again."""

from __future__ import annotations

from enum import StrEnum

from attrs import define, frozen

from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.prefix_watch import RELIST_HISTORY_SHARE
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import (
    Committed,
    Conflict,
    Expect,
    KeyDeleted,
    KeyPut,
    KeyValue,
    StoreRefused,
    Txn,
    TxnStore,
    WatchBroken,
)

# A watch delivers every version of the value. If one takes this long to transfer, versions may be
# written faster than they can be read, and the watcher skips to the newest by a comparison.
SLOW_TRANSFER_S = 0.5


class Source(StrEnum):
    """The kind of call that returned a value."""

    LISTING = "listing"
    COMPARISON = "comparison"
    WATCH = "watch"


@frozen(kw_only=True, slots=True)
class Version:
    """A version of the key's value that was not known before.

    :param transfer_s: seconds that the transfer of the answer's body took.
    """

    item: KeyValue
    source: Source
    transfer_s: float


@define(kw_only=True, eq=False)
class KeyWatcher:
    """Return new values of one key, which may be large.

    The watch starts from the last revision at which the value was known to be current. An empty
    answer does not advance this revision, because a watch can fail to deliver changes and its
    answer then carries a revision after them. A comparison does advance it: a transaction whose
    only condition is the known revision of the key. It succeeds without transferring the value
    while the key is unchanged, and returns the newest value otherwise. A comparison replaces the
    next watch call

    * before the store drops the history from which the watch continues,
    * after a failure, when changes may have been missed,
    * after a slow transfer.

    :param history_s: how long the store keeps the history of changes, in seconds.
    """

    clock: Clock
    store: TxnStore
    log: EventLog
    key: str
    history_s: float
    _known_revision: int | None = None
    _watch_after: int = 0
    _compared_at: float = float("-inf")

    def compare_next(self) -> None:
        """Compare the key with its known revision before the next watch call."""
        self._compared_at = float("-inf")

    async def next(self, wait_s: float) -> Version | None:
        """Return the value if it has changed, else ``None``.

        :param wait_s: how long to wait for a change, in seconds.

        :raises StoreError: when the store does not answer.
        """
        version = await self._next(wait_s)
        if version is not None and version.transfer_s >= SLOW_TRANSFER_S:
            self.compare_next()
        return version

    async def _next(self, wait_s: float) -> Version | None:
        if self._known_revision is None:
            return await self._list()
        if self.clock.monotonic() - self._compared_at >= self.history_s * RELIST_HISTORY_SHARE:
            return await self._compare(self._known_revision)
        try:
            return await self._watch(wait_s)
        except WatchBroken as exc:
            self.log.emit("watch.broken", prefix=self.key, after=self._watch_after, reason=str(exc))
            return await self._compare(self._known_revision)

    async def _list(self) -> Version | None:
        started_at = self.clock.monotonic()
        listing = await self.store.list(self.key)
        current = next((item for item in listing.items if item.key == self.key), None)
        self._compared_at = started_at
        self._watch_after = max(self._watch_after, listing.revision)
        return self._new_version(current, Source.LISTING, listing.transfer_s)

    async def _compare(self, known_revision: int) -> Version | None:
        started_at = self.clock.monotonic()
        condition = Expect(key=self.key, revision=known_revision)
        try:
            result = await self.store.commit(Txn(expect=(condition,)))
        except StoreRefused as exc:
            self.log.emit(
                "key.not_compared", key=self.key, known=known_revision, reason=str(exc)[:200]
            )
            return await self._list()
        self._compared_at = started_at
        match result:
            case Committed(revision=revision):
                self._watch_after = max(self._watch_after, revision)
                return None
            case Conflict(items=items, transfer_s=transfer_s):
                current = items.get(self.key)
                if current is not None:
                    self._watch_after = max(self._watch_after, current.mod_revision)
                return self._new_version(current, Source.COMPARISON, transfer_s)

    async def _watch(self, wait_s: float) -> Version | None:
        changes = await self.store.changes(self.key, after=self._watch_after, wait_s=wait_s)
        version = None
        for event in changes.events:
            match event:
                case KeyPut(kv=kv) if kv.key == self.key:
                    version = self._new_version(kv, Source.WATCH, changes.transfer_s)
                case KeyDeleted(key=key) if key == self.key:
                    # A value that was deleted again is not the current one.
                    version = self._new_version(None, Source.WATCH, changes.transfer_s)
        if changes.events:
            self._watch_after = max(self._watch_after, changes.revision)
        return version

    def _new_version(
        self, item: KeyValue | None, source: Source, transfer_s: float
    ) -> Version | None:
        known_revision = self._known_revision
        self._known_revision = 0 if item is None else item.mod_revision
        if item is None or item.mod_revision == known_revision:
            return None
        return Version(item=item, source=source, transfer_s=transfer_s)
