"""Protocols of the platform's key-value service.

Callers must distinguish three kinds of failure:

* the store refused the call; nothing was changed (:class:`StoreRefused`, and the results
  ``None`` and ``False`` of conditional writes);
* the store was not reached; nothing was changed (:class:`StoreUnavailable`);
* the response was lost; the write may have taken effect (:class:`StoreUnclear`).
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from enum import StrEnum
from typing import Protocol

from attrs import frozen

MAX_VALUE_BYTES = 1024 * 1024


class StoreError(Exception):
    """Base class of the errors of the store."""


class StoreUnavailable(StoreError):
    """The store was not reached; the call changed nothing. Retry after a delay."""


class StoreUnclear(StoreError):
    """The response was lost; the call may have taken effect. Read back before repeating it."""


class StoreRefused(StoreError):
    """The store refused the call; it changed nothing. The message names the remedy."""


class StoreRateLimited(StoreRefused):
    """The call exceeded the store's rate limit; it changed nothing. Send fewer, larger batches."""


class LeaseLost(StoreRefused):
    """The lease has expired in the store. Grant a new one; it does not restore ownership."""


class WatchBroken(StoreError):
    """The watch ended and may have missed changes. List the prefix again, then watch it."""


@frozen(kw_only=True, slots=True)
class KeyValue:
    """One key with its value and revisions.

    :param key: the key.
    :param value: the value of the key.
    :param mod_revision: the store's revision of the last write to this key.
    :param create_revision: the store's revision of the write that created it.
    :param lease_id: the lease that the key is attached to, 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int
    lease_id: int = 0


@frozen(kw_only=True, slots=True)
class Listing:
    """The keys under a prefix, with a revision of the store.

    :param revision: the store's revision at the start of the read. A watch of all changes after
        this revision misses no change.
    :param items: the keys, in order.
    :param transfer_s: transfer time of the response bodies in seconds, 0 when it is unknown.
    """

    revision: int
    items: tuple[KeyValue, ...]
    transfer_s: float = 0.0


@frozen(kw_only=True, slots=True)
class KeyPut:
    """A watched key was written."""

    kv: KeyValue


@frozen(kw_only=True, slots=True)
class KeyDeleted:
    """A watched key was deleted, explicitly or because its lease ended."""

    key: str
    revision: int


WatchEvent = KeyPut | KeyDeleted


@frozen(kw_only=True, slots=True)
class Expect:
    """A condition of a transaction.

    :param revision: the store's revision of the key's last write; 0 when it must not exist.
    """

    key: str
    revision: int


@frozen(kw_only=True, slots=True)
class Put:
    """A write of a transaction.

    :param lease_id: the lease that the key is attached to, 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


@frozen(kw_only=True, slots=True)
class Txn:
    """Conditions and changes that are applied atomically.

    :param expect: conditions that must all hold.
    :param put: keys to write.
    :param delete: keys to delete; a key that does not exist is ignored.
    """

    expect: tuple[Expect, ...] = ()
    put: tuple[Put, ...] = ()
    delete: tuple[str, ...] = ()


@frozen(kw_only=True, slots=True)
class Committed:
    """The transaction took effect.

    :param revision: the store's revision after the transaction.
    """

    revision: int


@frozen(kw_only=True, slots=True)
class Conflict:
    """A condition did not hold, so nothing was changed.

    :param items: the current state of the keys of the conditions, without those that don't exist.
    :param transfer_s: transfer time of the response body in seconds, 0 when it is unknown.
    """

    items: Mapping[str, KeyValue]
    transfer_s: float = 0.0


@frozen(kw_only=True, slots=True)
class Changes:
    """The changes under a prefix.

    :param revision: revision after which to request further changes.
    :param events: the changes, in order.
    :param transfer_s: transfer time of the response body in seconds, 0 when it is unknown.
    """

    revision: int
    events: tuple[WatchEvent, ...]
    transfer_s: float = 0.0


class TxnStore(Protocol):
    """A key-value service with multi-key transactions and long-poll watches."""

    async def get(self, key: str) -> KeyValue | None:
        """Return the current state of a key, or ``None`` when it does not exist."""
        ...

    async def list(self, prefix: str) -> Listing:
        """Return all keys that start with ``prefix``.

        The keys may have been read at different revisions. The changes after the revision of the
        listing include every change that the listing missed.
        """
        ...

    async def commit(self, txn: Txn) -> Committed | Conflict:
        """Execute a transaction.

        :raises LeaseLost: when a lease that it uses has ended; nothing was changed.
        :raises StoreUnclear: when it may have taken effect or may still take effect.
        """
        ...

    async def changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision; wait up to ``wait_s`` for the first one.

        :raises WatchBroken: when the store no longer keeps this history; list the prefix again.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease of ``ttl_s`` seconds; return its id."""
        ...

    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease; return its remaining seconds from the time the store received the call.

        :raises LeaseLost: when the lease has ended.
        """
        ...

    async def revoke_lease(self, lease_id: int) -> bool:
        """Revoke a lease and delete the keys attached to it.

        :returns: whether the lease existed until then.
        """
        ...

    async def close(self) -> None:
        """Close all connections; calls in progress fail."""
        ...


class BudgetKind(StrEnum):
    """Kinds of calls, which the call budget treats differently."""

    READ = "read"
    WRITE = "write"
    RENEWAL = "renewal"


class CallBudget(Protocol):
    """The share of the store's rate limit that one process may use."""

    async def acquire(self, kind: BudgetKind) -> None:
        """Wait until a call of this kind may be sent.

        :raises StoreRateLimited: when the wait would be too long; do not send the call.
        """
        ...


class Store(Protocol):
    """A key-value service with compare-and-swap of single keys, leases and watches."""

    async def get(self, key: str) -> KeyValue | None:
        """Return the state of a key, or ``None`` when it does not exist."""
        ...

    async def list(self, prefix: str, *, limit: int = 0) -> Listing:
        """Return all keys that start with ``prefix``; ``limit`` 0 means no limit."""
        ...

    async def create(self, key: str, value: bytes, *, lease_id: int = 0) -> int | None:
        """Write a key that must not exist.

        :returns: the new revision, or ``None`` when the key exists; nothing was changed then.
        """
        ...

    async def put_if(
        self, key: str, value: bytes, *, mod_revision: int, lease_id: int = 0
    ) -> int | None:
        """Write a key whose last write must be ``mod_revision``.

        :returns: the new revision, or ``None`` when the key was written or deleted since.
        """
        ...

    async def delete_if(self, key: str, *, mod_revision: int) -> bool:
        """Delete a key whose last write must be ``mod_revision``; return whether it was deleted."""
        ...

    async def delete_range(self, prefix: str, end: str) -> int:
        """Delete the keys from ``prefix`` up to, not including, ``end``; return their number."""
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease of ``ttl_s`` seconds; return its id."""
        ...

    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease; return its remaining seconds, counted from before the call was sent.

        :raises LeaseLost: when the lease has expired.
        """
        ...

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        ...

    def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Yield the changes under ``prefix`` from ``from_revision`` on, in order.

        :raises WatchBroken: when changes may have been missed.
        """
        ...

    async def close(self) -> None:
        """Close all connections; calls in progress fail."""
        ...
