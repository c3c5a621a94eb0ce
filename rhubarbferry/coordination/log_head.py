"""The head of a log: claimed by each new owner, changed only by compare-and-swap."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from itertools import count

import attrs

from rhubarbferry.coordination.log_codec import decode_head, encode_head
from rhubarbferry.core.log import Head, LogKeys, may_move
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.entry_log import LogFenced, LogUnavailable, LogUnclear
from rhubarbferry.ports.store import KeyValue, Store, StoreError, StoreUnclear

MAX_ATTEMPTS = 8
RETRY_INTERVAL_S = 0.02


def _unchanged(head: Head) -> Head:
    return head


class LogHead:
    """The head of the log as last read or written by this owner.

    A new owner claims the head before it reads the log. From then on no previous owner can move
    the head. Otherwise a snapshot of a previous owner, which may contain entries that were never
    committed, could become valid after the new owner has read the log.

    :param writer_id: the id of this process.
    :param epoch: the epoch under which this process owns the partition.
    :param nonce: unique for each object, so that its write ids are never reused.
    :param resolve_timeout_s: how long a change of the head is retried after a lost reply; appends
        wait for it.
    :ivar revision: store revision of the last known head; 0 before the first read.
    :ivar verified_at: monotonic time of the last confirmation that no later owner has claimed it.
    :ivar head: the last known head.
    """

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        keys: LogKeys,
        epoch: int,
        writer_id: str,
        nonce: str,
        resolve_timeout_s: float,
    ) -> None:
        self._store = store
        self._clock = clock
        self._keys = keys
        self._epoch = epoch
        self._writer_id = writer_id
        self._nonce = nonce
        self._resolve_timeout_s = resolve_timeout_s
        self._write_numbers = count(1)
        self._lock = asyncio.Lock()
        self.revision = 0
        self.verified_at = 0.0
        self.head = Head(epoch=0, writer_id="", write_id="")

    async def claim(self) -> None:
        """Write the epoch of this owner into the head.

        :raises LogFenced: when a later owner has claimed the head.
        """
        async with self._lock:
            self._load(await self._read())
            await self._compare_and_swap()

    async def verify(self) -> None:
        """Check that no later owner has claimed the head.

        The check is a write, not a read, because a read from a lagging store could miss a claim.

        :raises LogFenced: when a later owner has claimed the head.
        """
        async with self._lock:
            await self._compare_and_swap(timeout_s=self._resolve_timeout_s)

    async def move(self, *, upto: int, snapshot: str, chunks: int) -> None:
        """Point the head at a snapshot whose chunks are all stored."""
        async with self._lock:
            await self._compare_and_swap(
                lambda head: attrs.evolve(head, upto=upto, snapshot=snapshot, chunks=chunks),
                timeout_s=self._resolve_timeout_s,
            )

    async def _compare_and_swap(
        self, change: Callable[[Head], Head] = _unchanged, *, timeout_s: float = math.inf
    ) -> None:
        until = self._clock.monotonic() + timeout_s
        outcome_unknown = False
        for _ in range(MAX_ATTEMPTS):
            started_at = self._clock.monotonic()
            new_head = self._build(change)
            value = encode_head(self._keys.head, new_head)
            try:
                revision = await self._put(value)
            except StoreUnclear:
                outcome_unknown = True
            except StoreError as exc:
                if not outcome_unknown:
                    raise LogUnavailable(f"the head can't be written: {exc}") from exc
            else:
                if revision is not None:
                    self._set(new_head, revision, started_at)
                    return
            if await self._is_stored(value, started_at):
                return
            if self._clock.monotonic() >= until:
                break
            await self._clock.sleep(RETRY_INTERVAL_S)
        if outcome_unknown:
            raise LogUnclear(f"it is unknown whether {self._keys.head} was written; try again")
        raise LogUnavailable(f"the store returned an outdated {self._keys.head}; try again")

    async def _put(self, value: bytes) -> int | None:
        if self.revision:
            return await self._store.put_if(self._keys.head, value, mod_revision=self.revision)
        return await self._store.create(self._keys.head, value)

    async def _is_stored(self, value: bytes, started_at: float) -> bool:
        try:
            found = await self._store.get(self._keys.head)
        except StoreError:
            return False
        if found is None or found.mod_revision < self.revision:
            return False
        self._load(found)
        if found.value != value:
            return False
        self.verified_at = started_at
        return True

    async def _read(self) -> KeyValue | None:
        try:
            return await self._store.get(self._keys.head)
        except StoreError as exc:
            raise LogUnavailable(f"the head can't be read: {exc}") from exc

    def _load(self, found: KeyValue | None) -> None:
        if found is None:
            return
        head = decode_head(self._keys.head, found.value)
        if not may_move(head, epoch=self._epoch, writer_id=self._writer_id):
            raise LogFenced(
                f"{self._keys.partition} was claimed by {head.writer_id} with epoch {head.epoch}"
                f", this owner has epoch {self._epoch}; give up the partition"
            )
        self.head = head
        self.revision = found.mod_revision

    def _set(self, head: Head, revision: int, started_at: float) -> None:
        self.head = head
        self.revision = revision
        self.verified_at = started_at

    def _build(self, change: Callable[[Head], Head]) -> Head:
        return attrs.evolve(
            change(self.head),
            epoch=self._epoch,
            writer_id=self._writer_id,
            write_id=f"{self._nonce}-h{next(self._write_numbers)}",
        )
