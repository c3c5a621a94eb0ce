"""In-memory store with fault injection, for unit tests and as the engine of the store stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
from typing import TypeVar

from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import (
    KeyValue,
    LeaseLost,
    Listing,
    StoreRateLimited,
    StoreUnavailable,
    StoreUnclear,
    WatchBroken,
    WatchEvent,
)
from rhubarbferry.test.store_engine import (
    Compacted,
    Compare,
    Delete,
    Put,
    StoreEngine,
    Target,
    TxnResult,
)
from rhubarbferry.test.store_faults import (
    CallKind,
    RateLimiter,
    StoreCounters,
    StoreFaults,
    StoreRates,
)

T = TypeVar("T")
POLL_INTERVAL_S = 0.02


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys that start with ``prefix``."""
    if not prefix:
        return "\U0010ffff"
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class MemoryStore:
    """Implement the store port over an engine in this process.

    Two stores over one engine act as two clients of one service, each with its own faults:
    ``MemoryStore(clock=clock, engine=first.engine, rate_limiter=first.rate_limiter)``.

    :param clock: time source of leases, rate limits and delays.
    :param engine: the stored state; a new one by default.
    :param faults: faults to inject; may be changed at any time.
    :param rates: rate limits; ignored if ``rate_limiter`` is given.
    :param rate_limiter: a rate limiter shared with other stores.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        engine: StoreEngine | None = None,
        faults: StoreFaults | None = None,
        rates: StoreRates | None = None,
        rate_limiter: RateLimiter | None = None,
    ) -> None:
        self.clock = clock
        self.engine = engine or StoreEngine()
        self.faults = faults or StoreFaults()
        self.rate_limiter = rate_limiter or RateLimiter(rates=rates or StoreRates())
        self.counters = StoreCounters()

    async def call(self, kind: CallKind, operation: Callable[[], T], *, size: int = 0) -> T:
        """Execute one call: count it, apply the faults, expire leases, then run ``operation``.

        :param operation: the function to run; it takes effect at one instant.
        :param size: number of bytes that the call sends.
        :raises StoreUnavailable: if the call failed before it took effect.
        :raises StoreUnclear: if the reply was lost.
        """
        self._admit(kind)
        self.counters.bytes_in += size
        if self.faults.slow_s:
            await self.clock.sleep(self.faults.slow_s)
        if self.faults.consume_failure():
            raise StoreUnavailable("the store is down; try again later")
        self.engine.expire(self.clock.monotonic())
        result = operation()
        if self.faults.slow_reply_s:
            await self.clock.sleep(self.faults.slow_reply_s)
        if kind.writes and self.faults.consume_lost_reply():
            self.counters.replies_lost += 1
            raise StoreUnclear("the reply was lost; read the key before retrying")
        return result

    async def get(self, key: str) -> KeyValue | None:
        """Return the key-value pair, or ``None`` if the key does not exist."""
        revisions_back = self.faults.stale_revisions
        found = await self.call(
            CallKind.GET, lambda: self.engine.get(key, revisions_back=revisions_back)
        )
        return found.kv if found else None

    async def list(self, prefix: str, *, limit: int = 0) -> Listing:
        """Return the key-value pairs under a prefix."""
        revisions_back = self.faults.stale_revisions

        def operation() -> Listing:
            found = self.engine.read(
                prefix, prefix_end(prefix), limit=limit, revisions_back=revisions_back
            )
            items = tuple(item.kv for item in found)
            return Listing(revision=self.engine.revision - revisions_back, items=items)

        return await self.call(CallKind.LIST, operation)

    async def create(self, key: str, value: bytes, *, lease_id: int = 0) -> int | None:
        """Write a key that must not exist."""
        return await self._put(key, value, 0, lease_id)

    async def put_if(
        self, key: str, value: bytes, *, mod_revision: int, lease_id: int = 0
    ) -> int | None:
        """Write a key whose modification revision must be ``mod_revision``."""
        return await self._put(key, value, mod_revision, lease_id)

    async def delete_if(self, key: str, *, mod_revision: int) -> bool:
        """Delete a key whose modification revision must be ``mod_revision``."""
        compare = Compare(key=key, target=Target.MOD, expected_value=mod_revision)
        result = await self._txn(compare, Delete(key=key))
        return result.succeeded and result.deleted > 0

    async def delete_range(self, prefix: str, end: str) -> int:
        """Delete the keys in ``[prefix, end)``."""
        delete = Delete(key=prefix, end=end)
        result = await self.call(CallKind.DELETE_RANGE, lambda: self.engine.txn((), (delete,)))
        return result.deleted

    async def grant_lease(self, ttl_s: float) -> int:
        """Grant a lease and return its ID."""
        return await self.call(
            CallKind.GRANT_LEASE, lambda: self.engine.grant(ttl_s, self.clock.monotonic())
        )

    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease and return its remaining seconds, counted from the start of the call."""
        started_at = self.clock.monotonic()
        ttl = await self.call(
            CallKind.KEEP_ALIVE,
            lambda: self.engine.keep_alive(lease_id, self.clock.monotonic()),
        )
        if ttl is None:
            raise LeaseLost(f"lease {lease_id} has lapsed; grant a new one")
        return ttl - (self.clock.monotonic() - started_at)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease."""
        await self.call(CallKind.REVOKE_LEASE, lambda: self.engine.revoke(lease_id))

    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncGenerator[tuple[WatchEvent, ...], None]:
        """Yield the changes under a prefix."""
        async for events in self.watch_range(prefix, prefix_end(prefix), from_revision):
            if events:
                yield events

    async def watch_range(
        self, start: str, end: str, from_revision: int, *, idle_s: float = 0.0
    ) -> AsyncGenerator[tuple[WatchEvent, ...], None]:
        """Yield the changes in ``[start, end)``, and ``()`` after each ``idle_s`` without a
        change.

        The clock may be a fake one, so the wait polls the state at short real-time intervals.
        """
        try:
            self._admit(CallKind.WATCH)
        except StoreRateLimited as exc:
            raise WatchBroken(f"the watch was not opened: {exc}") from exc
        initial_drops = self.faults.watch_drops
        next_revision = from_revision
        last_yield_at = self.clock.monotonic()
        while True:
            if self.faults.down or self.faults.watch_drops != initial_drops:
                raise WatchBroken("the watch ended; read the prefix again, then watch")
            self.engine.expire(self.clock.monotonic())
            events = self._changes(start, end, next_revision)
            idle_elapsed = idle_s > 0 and self.clock.monotonic() - last_yield_at >= idle_s
            if (events or idle_elapsed) and not self.faults.silent_watches:
                next_revision = self.engine.revision + 1
                last_yield_at = self.clock.monotonic()
                yield tuple(events)
            else:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Do nothing, as there are no connections to close."""

    def _changes(self, start: str, end: str, from_revision: int) -> tuple[WatchEvent, ...]:
        if from_revision > self.engine.revision:
            return ()
        try:
            return tuple(self.engine.changes(start, end, from_revision))
        except Compacted as exc:
            raise WatchBroken(f"{exc}; read the prefix again, then watch") from exc

    def _admit(self, kind: CallKind) -> None:
        self.counters.calls[kind] += 1
        try:
            self.rate_limiter.admit(kind, self.clock.monotonic())
        except Exception:
            self.counters.rate_limited += 1
            raise

    async def _put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int
    ) -> int | None:
        compare = Compare(key=key, target=Target.MOD, expected_value=expected_revision)
        result = await self._txn(compare, Put(key=key, value=value, lease_id=lease_id))
        return result.revision if result.succeeded else None

    async def _txn(self, compare: Compare, op: Put | Delete) -> TxnResult:
        size = len(op.value) if isinstance(op, Put) else 0
        return await self.call(CallKind.TXN, lambda: self.engine.txn((compare,), (op,)), size=size)
