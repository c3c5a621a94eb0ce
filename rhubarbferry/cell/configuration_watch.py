"""Watch the operators' configuration and never return to an older revision."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field
from prometheus_client import Gauge

from rhubarbferry.cell.accounts import log_account_changes
from rhubarbferry.cell.key_watch import KeyWatcher, Version
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.routes import RouteTable
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import StoreError, TxnStore

VERSION = Gauge(
    "rhubarbferry_configuration_version", "The operators' version of the configuration in force"
)

# Short enough to detect a silent connection and still apply a new configuration within the time
# allowed for it.
WATCH_WAIT_S = 2.4
RETRY_INTERVAL_S = 0.3

Decode = Callable[[bytes, int], RouteTable | None]


@define(kw_only=True, eq=False)
class ConfigurationWatcher:
    """The configuration in force in this process.

    :param key: key of the configuration in the store.
    :param decode: returns the routes for a value and its revision, or ``None`` when the value
        is not a valid configuration.
    :param history_s: how long the store keeps the history of changes, in seconds.
    :ivar routes: routes in force, ``None`` until the first configuration has been read.
    """

    clock: Clock
    store: TxnStore
    log: EventLog
    key: str
    decode: Decode
    history_s: float
    routes: RouteTable | None = None
    _watcher: KeyWatcher = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._watcher = KeyWatcher(
            clock=self.clock,
            store=self.store,
            log=self.log,
            key=self.key,
            history_s=self.history_s,
        )

    async def run(self) -> None:
        """Watch the configuration until cancelled."""
        while True:
            started_at = self.clock.monotonic()
            try:
                version = await self._watcher.next(WATCH_WAIT_S)
            except StoreError as exc:
                self.log.emit("configuration.not_read", reason=str(exc)[:300])
                # The watch's connection may have been silent for long: check for missed changes.
                self._watcher.compare_next()
                # No further delay after a call that ran until its time limit.
                await self.clock.sleep(
                    max(0.0, started_at + RETRY_INTERVAL_S - self.clock.monotonic())
                )
            else:
                if version is not None:
                    self._apply(version)

    def _apply(self, version: Version) -> None:
        item = version.item
        # The store's answers may arrive out of order. Returning to an older configuration would
        # undo a change that clients have already seen in force.
        if self.routes is not None and item.mod_revision <= self.routes.revision:
            return
        started_at = self.clock.monotonic()
        routes = self.decode(item.value, item.mod_revision)
        if routes is None:
            self.log.emit("configuration.refused", revision=item.mod_revision)
            return
        if self.routes is not None:
            log_account_changes(
                self.log,
                self.routes.accounts,
                routes.accounts,
                version=routes.version,
                revision=routes.revision,
            )
        self.routes = routes
        VERSION.set(routes.version)
        self.log.emit(
            "configuration.in_force",
            version=routes.version,
            revision=routes.revision,
            queues=len(routes.queues),
            accounts=len(routes.accounts.settings),
            value_bytes=len(item.value),
            source=version.source,
            transfer_s=round(version.transfer_s, 3),
            decode_s=round(self.clock.monotonic() - started_at, 3),
        )
