"""Follow the operators' configuration; it never goes back to an older one."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field
from prometheus_client import Gauge

from rhubarbferry.cell.key_following import KeyFollower, Version
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.routes import RouteTable
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import StoreError, TxnStore

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
    _follower: KeyFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._follower = KeyFollower(
            clock=self.clock,
            store=self.store,
            log=self.log,
            key=self.key,
            history_s=self.history_s,
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            begun = self.clock.monotonic()
            try:
                version = await self._follower.next(WATCH_S)
            except StoreError as exc:
                self.log.emit("configuration.not_read", reason=str(exc)[:300])
                # The watch may have gone silent long before, so what it has missed is read first.
                self._follower.compare_next()
                # A call that has ended by its time limit has paused for long enough.
                await self.clock.sleep(max(0.0, begun + RETRY_S - self.clock.monotonic()))
            else:
                if version is not None:
                    self._take(version)

    def _take(self, version: Version) -> None:
        item = version.item
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
            source=version.source,
            transfer_s=round(version.transfer_s, 3),
            decode_s=round(self.clock.monotonic() - begun, 3),
        )
