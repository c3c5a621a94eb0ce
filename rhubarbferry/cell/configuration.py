"""Follow the operators' configuration; it never goes back to an older one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from prometheus_client import Gauge

from rhubarbferry.cell.following import PrefixFollower
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.routes import RouteTable
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import Changes, KeyPut, KeyValue, Listing, StoreError, TxnStore

VERSION = Gauge(
    "rhubarbferry_configuration_version", "The operators' version of the configuration in force"
)

# Short enough to find a silent connection and to read a new configuration in its time.
WATCH_S = 2.4
RETRY_S = 0.3

Decode = Callable[[bytes, int], RouteTable | None]


@define(kw_only=True, eq=False)
class ConfigurationFeed:
    """The configuration in force at this process.

    :param key: where it lies.
    :param decode: returns the routes for a value and its revision, or ``None`` when the value
        can't be used.
    :ivar routes: ``None`` until the first has come.
    """

    clock: Clock
    store: TxnStore
    log: EventLog
    key: str
    decode: Decode
    history_s: float
    routes: RouteTable | None = None
    _follower: PrefixFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._follower = PrefixFollower(
            clock=self.clock,
            store=self.store,
            log=self.log,
            prefix=self.key,
            history_s=self.history_s,
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._follow()
            except StoreError as exc:
                self.log.emit("configuration.not_read", reason=str(exc)[:300])
                # The watch may have gone silent long before, so what it has missed is read first.
                self._follower.restart()
                await asyncio.sleep(RETRY_S)

    async def _follow(self) -> None:
        match await self._follower.next(WATCH_S):
            case Listing(items=items, transfer_s=transfer_s):
                for item in items:
                    self._take(item, source="listing", transfer_s=transfer_s)
            case Changes(events=events, transfer_s=transfer_s):
                for event in events:
                    if isinstance(event, KeyPut):
                        self._take(event.kv, source="watch", transfer_s=transfer_s)

    def _take(self, item: KeyValue, *, source: str, transfer_s: float) -> None:
        if item.key != self.key:
            return
        # Answers of the store may arrive out of order; going back to an older configuration
        # would undo a change that callers have already seen in force.
        if self.routes is not None and item.mod_revision <= self.routes.revision:
            return
        begun = self.clock.monotonic()
        routes = self.decode(item.value, item.mod_revision)
        if routes is None:
            self.log.emit("configuration.refused", revision=item.mod_revision)
            return
        self.routes = routes
        VERSION.set(routes.version)
        self.log.emit(
            "configuration.in_force",
            version=routes.version,
            revision=routes.revision,
            queues=len(routes.queues),
            value_bytes=len(item.value),
            source=source,
            transfer_s=round(transfer_s, 3),
            decode_s=round(self.clock.monotonic() - begun, 3),
        )
