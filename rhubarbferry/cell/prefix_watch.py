"""Watch the keys under one prefix of the store: a listing first, then changes."""

from __future__ import annotations

from attrs import define

from rhubarbferry.cell.logs import EventLog
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import Changes, Listing, TxnStore, WatchBroken

# Time between listings, as a share of the time for which the store keeps its history. A watch
# continues from the last change it received. While nothing changes, that revision would fall out
# of the store's history and the watch would be refused. A listing advances it before then.
RELIST_HISTORY_SHARE = 0.75


@define(kw_only=True, eq=False)
class PrefixWatcher:
    """Return listings and changes of one prefix in the order of their revisions.

    A listing may contain items that are newer than its revision, if they were written while its
    pages were read. The changes after it contain them as well.

    A watch can fail to deliver changes, and its empty answer then carries a revision after them.
    Continuing from that revision would lose the changes permanently, and a job would never start.
    Therefore an empty answer does not advance the revision. If the store has dropped the history
    since that revision, it reports this, and a new listing contains the changes.

    :param history_s: how long the store keeps the history of changes, in seconds.
    """

    clock: Clock
    store: TxnStore
    log: EventLog
    prefix: str
    history_s: float
    _revision: int = 0
    _listed_at: float = float("-inf")

    @property
    def listed(self) -> bool:
        """Whether a listing has been read since the last restart."""
        return self._listed_at > float("-inf")

    def restart(self) -> None:
        """Start with a new listing on the next call."""
        self._listed_at = float("-inf")

    async def next(self, wait_s: float) -> Listing | Changes:
        """Return a listing if one is due, else the changes since the last call.

        :param wait_s: how long to wait for a change, in seconds.

        :raises StoreError: when the store does not answer.
        """
        now = self.clock.monotonic()
        if now - self._listed_at >= self.history_s * RELIST_HISTORY_SHARE:
            listing = await self.store.list(self.prefix)
            self._revision = max(self._revision, listing.revision)
            self._listed_at = now
            return listing
        try:
            changes = await self.store.changes(self.prefix, after=self._revision, wait_s=wait_s)
        except WatchBroken as exc:
            self.log.emit("watch.broken", prefix=self.prefix, after=self._revision, reason=str(exc))
            self.restart()
            return await self.next(wait_s)
        if changes.events:
            self._revision = max(self._revision, changes.revision)
        return changes
