"""Follow the operators' configuration; it never goes back to an older one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define

from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.routes import RouteTable
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import KeyPut, KeyValue, StoreError, TxnStore, WatchBroken

# A configuration must be in force within 2.5 s of its being accepted. A watch that has gone
# silent is found after this wait and 0.6 s more, and a read follows.
WATCH_S = 1.2
# A watch may miss changes without saying so; a read of the key now and then finds them.
AUDIT_S = 2.0
RETRY_S = 0.3

Decode = Callable[[bytes, int], RouteTable | None]


@define(kw_only=True, eq=False)
class ConfigurationFeed:
    """The configuration in force at this process.

    :param key: where it lies.
    :param decode: returns the routes for a value and its revision, or ``None`` when the value
        can't be used.
    :ivar routes: ``None`` until the first has come.
    :ivar read_at: when the store last answered.
    """

    clock: Clock
    store: TxnStore
    log: EventLog
    key: str
    decode: Decode
    routes: RouteTable | None = None
    read_at: float = float("-inf")
    _revision: int = 0
    _audited_at: float = float("-inf")

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._follow()
                self.read_at = self.clock.monotonic()
            except WatchBroken as exc:
                self.log.emit("watch.broken", prefix=self.key, reason=str(exc))
                self._audited_at = float("-inf")
            except StoreError as exc:
                self.log.emit("configuration.not_read", reason=str(exc)[:200])
                self._audited_at = float("-inf")
                await asyncio.sleep(RETRY_S)

    async def _follow(self) -> None:
        now = self.clock.monotonic()
        if now - self._audited_at >= AUDIT_S:
            listing = await self.store.list(self.key)
            self._revision = max(self._revision, listing.revision)
            self._audited_at = now
            for item in listing.items:
                self._take(item)
        if self.routes is None:
            await asyncio.sleep(RETRY_S)
            self._audited_at = float("-inf")
            return
        changes = await self.store.changes(self.key, after=self._revision, wait_s=WATCH_S)
        self._revision = max(self._revision, changes.revision)
        for event in changes.events:
            if isinstance(event, KeyPut):
                self._take(event.kv)

    def _take(self, item: KeyValue) -> None:
        if item.key != self.key:
            return
        # Answers of the store may arrive out of order; going back to an older configuration
        # would undo a change that callers have already seen in force.
        if self.routes is not None and item.mod_revision <= self.routes.revision:
            return
        routes = self.decode(item.value, item.mod_revision)
        if routes is None:
            self.log.emit("configuration.refused", revision=item.mod_revision)
            return
        self.routes = routes
        self.log.emit(
            "configuration.in_force",
            version=routes.version,
            revision=routes.revision,
            queues=len(routes.queues),
        )
