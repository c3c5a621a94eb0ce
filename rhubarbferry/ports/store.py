"""The platform's key-value service, as this project needs it.

Three answers of the service must be kept apart, since callers act on the difference:

* it refused, so nothing was changed (:class:`StoreRefused` and the ``bool`` results);
* it was not reached, so nothing was changed (:class:`StoreUnavailable`);
* the reply was lost and the write may or may not stand (:class:`StoreUnclear`).
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping
from enum import StrEnum
from typing import Protocol

from attrs import frozen

MAX_VALUE_BYTES = 1024 * 1024


class StoreError(Exception):
    """Base of the errors of the store."""


class StoreUnavailable(StoreError):
    """The store was not reached; the call changed nothing. Try again after a pause."""


class StoreUnclear(StoreError):
    """The reply was lost; the call may have taken effect. Read back before repeating."""


class StoreRefused(StoreError):
    """The store refused the call; it changed nothing. The message names the remedy."""


class StoreRateLimited(StoreRefused):
    """The call was over the store's rate; it changed nothing. Send fewer, larger batches."""


class LeaseLost(StoreRefused):
    """The lease has lapsed in the store. Take a new one; it brings no ownership back."""


class WatchBroken(StoreError):
    """The watch ended; changes may have been missed. Read the prefix again, then watch."""


@frozen(kw_only=True, slots=True)
class KeyValue:
    """One key as the store holds it.

    :param key: the key.
    :param value: its bytes.
    :param mod_revision: the store's revision of the last write to this key.
    :param create_revision: the store's revision of the write that created it.
    :param lease_id: the lease it hangs on, 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int
    lease_id: int = 0


@frozen(kw_only=True, slots=True)
class Listing:
    """Keys under a prefix, all read at one revision of the store.

    :param revision: the store's revision at the time of the read.
    :param items: the keys in order.
    :param transfer_s: seconds that the bodies of its answers took to arrive, where it is known.
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
    """A watched key was deleted, by hand or with its lease."""

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
    """A write of a transaction."""

    key: str
    value: bytes
    lease_id: int = 0


@frozen(kw_only=True, slots=True)
class Txn:
    """Conditions and changes that take effect together or not at all.

    :param delete: keys to remove; one that does not exist is no error.
    """

    expect: tuple[Expect, ...] = ()
    put: tuple[Put, ...] = ()
    delete: tuple[str, ...] = ()


@frozen(kw_only=True, slots=True)
class Committed:
    """The transaction took effect.

    :param revision: the store's revision that it made.
    """

    revision: int


@frozen(kw_only=True, slots=True)
class Conflict:
    """A condition did not hold, so nothing was changed.

    :param items: the keys of the conditions as they are now; those that don't exist are absent.
    :param transfer_s: seconds that the body of the answer took to arrive, where it is known.
    """

    items: Mapping[str, KeyValue]
    transfer_s: float = 0.0


@frozen(kw_only=True, slots=True)
class Changes:
    """What happened under a prefix.

    :param revision: go on from here.
    :param transfer_s: seconds that the body of the answer took to arrive, where it is known.
    """

    revision: int
    events: tuple[WatchEvent, ...]
    transfer_s: float = 0.0


class TxnStore(Protocol):
    """A key-value service with transactions over several keys and watches by long poll."""

    async def get(self, key: str) -> KeyValue | None:
        """Return the key as of now, or ``None`` when there is none."""
        ...

    async def list(self, prefix: str) -> Listing:
        """Return all keys that start with ``prefix``.

        The keys may be of different times; watching from the listing's revision on finds each
        change that it missed.
        """
        ...

    async def commit(self, txn: Txn) -> Committed | Conflict:
        """Carry out a transaction.

        :raises LeaseLost: when a lease that it names has ended; nothing was changed.
        :raises StoreUnclear: when it may have taken effect, or may yet.
        """
        ...

    async def changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Return what happened after a revision, once something has or ``wait_s`` is over.

        :raises WatchBroken: when that history is gone; list the prefix again.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """Open a lease of ``ttl_s`` seconds; return its id."""
        ...

    async def keep_alive(self, lease_id: int) -> float:
        """Extend a lease; return the seconds it runs from the arrival of the call.

        :raises LeaseLost: when it has ended.
        """
        ...

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the keys that hang on it."""
        ...

    async def close(self) -> None:
        """Give up connections; calls in progress fail."""
        ...


class Spend(StrEnum):
    """What a call takes from the budget of a process."""

    READ = "read"
    WRITE = "write"
    RENEWAL = "renewal"


class CallBudget(Protocol):
    """The share of the store's rate that one process may use."""

    async def spend(self, spend: Spend) -> None:
        """Return when the call may be sent.

        :raises StoreRateLimited: when it would wait too long; nothing was sent.
        """
        ...


class Store(Protocol):
    """Compare-and-swap, leases and watches on small values."""

    async def get(self, key: str) -> KeyValue | None:
        """Return the key, or ``None`` when there is none."""
        ...

    async def list(self, prefix: str, *, limit: int = 0) -> Listing:
        """Return all keys that start with ``prefix``; ``limit`` 0 means no limit."""
        ...

    async def create(self, key: str, value: bytes, *, lease_id: int = 0) -> int | None:
        """Write a key that must not exist.

        :returns: the new revision, or ``None`` when the key exists (nothing changed).
        """
        ...

    async def put_if(
        self, key: str, value: bytes, *, mod_revision: int, lease_id: int = 0
    ) -> int | None:
        """Write a key whose last write must be ``mod_revision``.

        :returns: the new revision, or ``None`` when another write came first.
        """
        ...

    async def delete_if(self, key: str, *, mod_revision: int) -> bool:
        """Delete a key whose last write must be ``mod_revision``; tell whether it did."""
        ...

    async def delete_prefix_below(self, prefix: str, end: str) -> int:
        """Delete the keys in ``[prefix, end)``; return how many there were."""
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """Open a lease of ``ttl_s`` seconds; return its id."""
        ...

    async def keep_alive(self, lease_id: int) -> float:
        """Extend a lease; return the seconds it now runs, counted from BEFORE the call.

        :raises LeaseLost: when it has lapsed.
        """
        ...

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the keys that hang on it."""
        ...

    def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Yield changes under ``prefix`` from ``from_revision`` on, in order.

        :raises WatchBroken: when changes may have been missed.
        """
        ...

    async def close(self) -> None:
        """Give up connections; calls in progress fail."""
        ...
