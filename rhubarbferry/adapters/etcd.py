"""Implement the store port over the JSON gateway of etcd v3."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import aclosing

from rhubarbferry.adapters import etcd_wire as wire
from rhubarbferry.adapters.etcd_http import GatewayClient
from rhubarbferry.adapters.store_metrics import CALLS, ERRORS
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import (
    MAX_VALUE_BYTES,
    BudgetKind,
    CallBudget,
    KeyValue,
    LeaseLost,
    Listing,
    StoreError,
    StoreRefused,
    WatchBroken,
    WatchEvent,
)

WATCH_SILENCE_TIMEOUT_S = 3.0


class EtcdStore:
    """Client for the keys of one cell in etcd.

    :param url: base URL of the gateway, as ``http://ip:port``.
    :param prefix: prepended to each key.
    :param timeout_s: timeout of one call in seconds.
    :param budget: limits the call rate; ``None`` for no limit.
    :param watch_silence_s: a watch that receives nothing for this many seconds is closed. etcd
        must be configured to send progress notifications more often.
    """

    def __init__(
        self,
        *,
        url: str,
        prefix: str,
        clock: Clock,
        timeout_s: float,
        budget: CallBudget | None = None,
        watch_silence_s: float = WATCH_SILENCE_TIMEOUT_S,
    ) -> None:
        self._clock = clock
        self._budget = budget
        self._codec = wire.EtcdCodec(prefix=prefix)
        self._gateway = GatewayClient(
            url=url, timeout_s=timeout_s, silence_timeout_s=watch_silence_s
        )

    async def get(self, key: str) -> KeyValue | None:
        """Return the key with its value, or ``None`` when it does not exist."""
        response = await self._read("get", wire.RANGE, self._codec.encode_get(key))
        items = self._codec.decode_listing(response).items
        return items[0] if items else None

    async def list(self, prefix: str, *, limit: int = 0) -> Listing:
        """Return all keys that start with ``prefix``, and the store's revision.

        :param limit: largest number of keys to return; 0 for no limit.
        """
        response = await self._read("list", wire.RANGE, self._codec.encode_list(prefix, limit))
        return self._codec.decode_listing(response)

    async def create(self, key: str, value: bytes, *, lease_id: int = 0) -> int | None:
        """Write a key that must not exist; return the revision, or ``None`` when it exists."""
        return await self._put("create", key, value, 0, lease_id)

    async def put_if(
        self, key: str, value: bytes, *, mod_revision: int, lease_id: int = 0
    ) -> int | None:
        """Write a key whose last write was at ``mod_revision``.

        :returns: the new revision, or ``None`` when the key has changed.
        """
        return await self._put("put_if", key, value, mod_revision, lease_id)

    async def delete_if(self, key: str, *, mod_revision: int) -> bool:
        """Delete a key whose last write was at ``mod_revision``; return whether it was deleted."""
        response = await self._write(
            "delete_if", wire.TXN, self._codec.encode_delete_if(key, mod_revision)
        )
        return bool(response.get("succeeded"))

    async def delete_range(self, prefix: str, end: str) -> int:
        """Delete the keys in ``[prefix, end)``; return their number."""
        req = self._codec.encode_delete_range(prefix, end)
        response = await self._write("delete_range", wire.DELETE_RANGE, req)
        return wire.read_int(response, "deleted")

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease of at least ``ttl_s`` seconds; return its id."""
        req = wire.encode_lease_grant(ttl_s)
        response = await self._write(
            "grant_lease", wire.LEASE_GRANT, req, budget_kind=BudgetKind.RENEWAL
        )
        return wire.read_int(response, "ID")

    async def keep_alive(self, lease_id: int) -> float:
        """Extend a lease; return its remaining time in seconds.

        The store restarts the lease at some time between the request and the response. The
        remaining time is therefore counted from the request: counted from the response, this
        process could act on a lease that other processes already consider expired.
        """
        sent_at = self._clock.monotonic()
        req = wire.encode_lease(lease_id)
        response = await self._write(
            "keep_alive", wire.LEASE_KEEP_ALIVE, req, budget_kind=BudgetKind.RENEWAL
        )
        ttl_s = wire.read_int(response.get("result", {}), "TTL")
        if ttl_s <= 0:
            raise LeaseLost(f"lease {lease_id} has expired; grant a new one")
        return ttl_s - (self._clock.monotonic() - sent_at)

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it; an expired lease is not an error."""
        try:
            await self._write(
                "revoke_lease",
                wire.LEASE_REVOKE,
                wire.encode_lease(lease_id),
                budget_kind=BudgetKind.RENEWAL,
            )
        except LeaseLost:
            return

    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Yield the changes under ``prefix`` from ``from_revision`` on, in order."""
        try:
            await self._acquire_budget(BudgetKind.READ)
        except StoreError as exc:
            raise WatchBroken(f"the watch was not started: {exc}") from exc
        CALLS.labels("watch").inc()
        req = self._codec.encode_watch(prefix, from_revision)
        try:
            async with aclosing(self._gateway.stream(wire.WATCH, req)) as lines:
                async for line in lines:
                    events = self._codec.decode_events(line)
                    if events:
                        yield events
        except StoreError as exc:
            ERRORS.labels("watch", type(exc).__name__).inc()
            raise

    async def close(self) -> None:
        """Close the connections; calls in progress fail."""
        await self._gateway.close()

    async def _put(
        self, kind: str, key: str, value: bytes, mod_revision: int, lease_id: int
    ) -> int | None:
        if len(value) > MAX_VALUE_BYTES:
            raise StoreRefused(
                f"value of {key} has {len(value)} bytes, more than {MAX_VALUE_BYTES}; split it"
            )
        req = self._codec.encode_put_if(key, value, mod_revision, lease_id)
        response = await self._write(kind, wire.TXN, req)
        return wire.response_revision(response) if response.get("succeeded") else None

    async def _read(self, kind: str, path: str, body: wire.Json) -> wire.Json:
        return await self._call(kind, path, body, BudgetKind.READ)

    async def _write(
        self, kind: str, path: str, body: wire.Json, *, budget_kind: BudgetKind = BudgetKind.WRITE
    ) -> wire.Json:
        return await self._call(kind, path, body, budget_kind)

    async def _call(
        self, kind: str, path: str, body: wire.Json, budget_kind: BudgetKind
    ) -> wire.Json:
        try:
            await self._acquire_budget(budget_kind)
            CALLS.labels(kind).inc()
            return await self._gateway.call(path, body, write=budget_kind is not BudgetKind.READ)
        except StoreError as exc:
            ERRORS.labels(kind, type(exc).__name__).inc()
            raise

    async def _acquire_budget(self, budget_kind: BudgetKind) -> None:
        if self._budget is not None:
            await self._budget.acquire(budget_kind)
