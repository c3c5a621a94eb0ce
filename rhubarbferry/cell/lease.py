"""The lease in the store that this process lives by."""

from __future__ import annotations

import asyncio

from attrs import define, field

from rhubarbferry.cell.logs import EventLog
from rhubarbferry.core.lease import Lease
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import LeaseLost, StoreError, TxnStore

# Short, since an owner that nobody can ping is replaced when its lease ends. Long enough for a slow
# store and two lost renewals.
TTL_S = 1.5
RENEW_S = 0.3
# Taken off each term: the clocks of this host and the store may differ by 2 %.
MARGIN_S = 0.1
RETRY_S = 0.2
# The interval of renewals and the answer of a slow store.
FRESH_S = 0.5


@define(kw_only=True, eq=False)
class LeaseKeeper:
    """Open a lease and extend it until cancelled.

    :ivar answered_at: when the store last granted or extended it.
    :ivar round_trip_s: how long the last grant took.
    :ivar granted: set while there is a lease, for those that wait for one.
    """

    clock: Clock
    store: TxnStore
    log: EventLog
    lease: Lease | None = None
    answered_at: float = float("-inf")
    round_trip_s: float = 0.0
    granted: asyncio.Event = field(factory=asyncio.Event)
    _incarnation: int = 0
    _renewals: set[asyncio.Task[None]] = field(factory=set)

    def held(self) -> Lease | None:
        """Return the lease if it holds for sure now."""
        lease = self.lease
        return lease if lease is not None and lease.holds(self.clock.monotonic()) else None

    def fresh(self) -> bool:
        """Tell whether the store answered this process just now."""
        return self.clock.monotonic() - self.answered_at < FRESH_S

    async def run(self) -> None:
        """Keep a lease until cancelled."""
        while True:
            if self.lease is None:
                await self._grant()
            elif not self.lease.holds(self.clock.monotonic()):
                self._lost("it was not extended in time")
            else:
                # Not one after the other: a renewal whose connection has gone silent must not
                # hold up the next one, or the lease ends although the store is well.
                renewal = asyncio.create_task(self._renew(self.lease))
                self._renewals.add(renewal)
                renewal.add_done_callback(self._renewals.discard)
                await self.clock.sleep(RENEW_S)

    def drop(self, reason: str) -> None:
        """Give the lease up: it is not extended any more, and all that hangs on it ends."""
        if self.lease is not None:
            self._lost(reason)

    async def _grant(self) -> None:
        asked_at = self.clock.monotonic()
        try:
            id = await self.store.grant_lease(TTL_S)
        except StoreError as exc:
            self.log.emit("lease.not_granted", reason=str(exc))
            await self.clock.sleep(RETRY_S)
            return
        self._incarnation += 1
        self.answered_at = self.clock.monotonic()
        self.round_trip_s = self.answered_at - asked_at
        self.lease = Lease.granted(
            id=id,
            incarnation=self._incarnation,
            asked_at=asked_at,
            ttl_s=TTL_S,
            margin_s=MARGIN_S,
        )
        self.granted.set()
        self.log.emit("lease.granted", lease=id, outcome="store reached")

    async def _renew(self, lease: Lease) -> None:
        asked_at = self.clock.monotonic()
        try:
            ttl_s = await self.store.keep_alive(lease.id)
        except LeaseLost:
            if self.lease is not None and self.lease.id == lease.id:
                self._lost("the store has ended it")
        except StoreError as exc:
            self.log.emit("lease.not_extended", lease=lease.id, reason=str(exc))
        else:
            self.answered_at = self.clock.monotonic()
            if self.lease is not None and self.lease.id == lease.id:
                self.lease = self.lease.renewed(asked_at=asked_at, ttl_s=ttl_s)

    def _lost(self, reason: str) -> None:
        assert self.lease is not None
        self.log.emit("lease.lost", lease=self.lease.id, reason=reason)
        self.lease = None
        self.granted.clear()
