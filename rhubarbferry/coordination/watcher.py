"""Keep the local copy of the cell's records up to date: one watch and periodic full reads."""

from __future__ import annotations

import asyncio

from loguru import logger
from prometheus_client import Counter

from rhubarbferry.conf.settings import Settings
from rhubarbferry.coordination.keys import CELL_PREFIX
from rhubarbferry.coordination.mirror import Mirror
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import Store, StoreError

WATCH_STARTS = Counter("rhubarbferry_watch_restarts_total", "Started watches of the cell's records")
RETRY_INTERVAL_S = 0.5


class Watcher:
    """List and watch the records of the cell.

    :ivar connected: whether the last call to the store succeeded.
    """

    def __init__(self, *, cfg: Settings, clock: Clock, store: Store, mirror: Mirror) -> None:
        self._cfg = cfg
        self._clock = clock
        self._store = store
        self._mirror = mirror
        self._watching = False
        self.connected = False

    async def run(self) -> None:
        """Watch and refresh the records until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch_forever())
            tasks.create_task(self._refresh_forever())

    async def refresh(self) -> None:
        """Read all records now.

        :raises StoreError: when they can't be read.
        """
        asked_at = self._clock.monotonic()
        # Checked before the read, because the watch may start while the read is in progress.
        without_watch = not self._watching
        listing = await self._store.list(CELL_PREFIX)
        self._mirror.replace(listing, asked_at=asked_at, without_watch=without_watch)

    async def _watch_forever(self) -> None:
        while True:
            try:
                await self._watch()
            except StoreError as exc:
                self._set_connected(connected=False, reason=str(exc))
            await self._clock.sleep(RETRY_INTERVAL_S)

    async def _watch(self) -> None:
        # Changes made while no watch was running are not delivered later. So each watch starts
        # with a full read; otherwise the deletion of a member or a new table could be missed.
        WATCH_STARTS.inc()
        await self.refresh()
        self._set_connected(connected=True, reason="")
        self._watching = True
        try:
            events = self._store.watch(CELL_PREFIX, from_revision=self._mirror.revision + 1)
            async for batch in events:
                self._mirror.apply(batch)
        finally:
            self._watching = False

    async def _refresh_forever(self) -> None:
        # A watch can stop delivering events on a connection that still appears open. A periodic
        # full read finds the changes that it missed.
        while True:
            await self._clock.sleep(self._cfg.ownership.refresh_s)
            try:
                await self.refresh()
            except StoreError as exc:
                self._set_connected(connected=False, reason=str(exc))

    def _set_connected(self, *, connected: bool, reason: str) -> None:
        if connected != self.connected:
            self.connected = connected
            if connected:
                logger.info("the records of the cell are being watched")
            else:
                logger.warning("the records of the cell can't be watched: {}", reason)
