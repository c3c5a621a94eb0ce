"""Follow the keys under one prefix of the store: a listing first, then what changes."""

from __future__ import annotations

from attrs import define

from rhubarbferry.cell.logs import EventLog
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import Changes, Listing, TxnStore, WatchBroken

# A watch goes on from the last change that it has seen. Where nothing changes, that point grows
# older than the history that the store keeps, and the watch would be refused; a listing before
# then moves it on. As a share of that history.
LISTING_SHARE = 0.75


@define(kw_only=True, eq=False)
class PrefixFollower:
    """Listings and changes of one prefix, in the order in which they happened.

    A watch can wait without noticing changes that are being made, and its empty answer then names
    a revision after them. Going on from there would miss them for good, and a job would never
    start. So an empty answer moves nothing on, and once the store has dropped that history it says
    so and a listing shows the changes.

    :param history_s: how long the store keeps what has happened.
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
        """Begin with a listing again."""
        self._listed_at = float("-inf")

    async def next(self, wait_s: float) -> Listing | Changes:
        """Return a listing where one is due, else what has changed since the last call.

        :param wait_s: how long to wait for a change.

        :raises StoreError: when the store does not answer.
        """
        now = self.clock.monotonic()
        if now - self._listed_at >= self.history_s * LISTING_SHARE:
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
