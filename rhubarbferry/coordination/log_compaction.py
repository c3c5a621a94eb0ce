"""Replace old log segments by a snapshot; the log is consistent after a crash at any step."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Sequence
from itertools import count
from typing import Protocol

from loguru import logger

from rhubarbferry.coordination.log_codec import encode_segment, entry_bytes
from rhubarbferry.coordination.log_head import LogHead
from rhubarbferry.coordination.log_metrics import COMPACTIONS, FAILURES
from rhubarbferry.coordination.write_once import Conflict, Created
from rhubarbferry.core.log import LogKeys, Retention, chunked, snapshot_id
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.entry_log import LogUnavailable
from rhubarbferry.ports.store import Store, StoreError
from rhubarbferry.rpc.gen.ttypes import LogEntry, LogSegment

ENTRIES_PER_YIELD = 500


class MakeSegment(Protocol):
    """Create a segment of the log's owner with a unique write id."""

    def __call__(self, entries: Sequence[LogEntry]) -> LogSegment:
        """Return the segment."""
        ...


class CreateOnce(Protocol):
    """Create a key and determine whether the value was stored."""

    def __call__(self, key: str, value: bytes) -> Awaitable[Created | Conflict]:
        """Return whether the key was created, or which other value it holds."""
        ...


class Compactor:
    """Write the chunks of a snapshot, then move the head, then delete what the snapshot covers.

    :param head: the head, claimed by this owner.
    :param chunk_bytes: size of one chunk of a snapshot in bytes.
    :param new_segment: creates a segment with the given entries.
    :param create: creates a key.
    """

    def __init__(
        self,
        *,
        store: Store,
        keys: LogKeys,
        head: LogHead,
        retention: Retention,
        clock: Clock,
        chunk_bytes: int,
        new_segment: MakeSegment,
        create: CreateOnce,
    ) -> None:
        self._store = store
        self._keys = keys
        self._head = head
        self._retention = retention
        self._clock = clock
        self._chunk_bytes = chunk_bytes
        self._new_segment = new_segment
        self._create = create
        self._attempts = count(1)

    async def replace(self, entries: Sequence[LogEntry], *, upto: int, sealed_at: float) -> None:
        """Replace all segments up to ``upto`` by a snapshot of ``entries``.

        :param sealed_at: monotonic time at which this owner sealed the log.
        :raises LogFenced: when a later owner has claimed the head.
        :raises LogUnavailable: when the store is not writable; the log is unchanged.
        :raises LogUnclear: when the head may have been moved.
        """
        epoch = self._head.head.epoch
        snapshot = snapshot_id(epoch=epoch, upto=upto, attempt=next(self._attempts))
        chunks = list(chunked(await _sizes(entries), cap=self._chunk_bytes))
        for index, chunk in enumerate(chunks):
            await self._write_chunk(self._keys.chunk(snapshot, index), entries[chunk])
        await self._head.move(upto=upto, snapshot=snapshot, chunks=len(chunks))
        COMPACTIONS.inc()
        await self._delete_covered(upto, snapshot, sealed_at)

    async def _write_chunk(self, key: str, entries: Sequence[LogEntry]) -> None:
        value = encode_segment(key, self._new_segment(entries))
        try:
            outcome = await self._create(key, value)
        except StoreError as exc:
            raise LogUnavailable(f"{key} can't be written: {exc}") from exc
        if isinstance(outcome, Conflict):
            raise LogUnavailable(f"{key} exists already; try again")

    async def _delete_covered(self, upto: int, snapshot: str, sealed_at: float) -> None:
        """Delete the snapshots and segments that the new snapshot replaces.

        Segments are kept until the retention period after the seal has passed. A later compaction
        deletes what remains.
        """
        now = self._clock.monotonic()
        try:
            await self._store.delete_range(*self._keys.snapshots_below(snapshot))
            if self._retention.may_delete(sealed_at=sealed_at, now=now):
                end = self._keys.segment(upto + 1)
                await self._store.delete_range(self._keys.first_segment, end)
        except StoreError as exc:
            FAILURES.labels("sweep").inc()
            logger.debug("log {}: deleting compacted records failed: {}", self._keys.partition, exc)


async def _sizes(entries: Sequence[LogEntry]) -> list[int]:
    """Return the size of each entry, yielding to the event loop at intervals."""
    sizes = []
    for index, entry in enumerate(entries, start=1):
        sizes.append(entry_bytes(entry))
        if index % ENTRIES_PER_YIELD == 0:
            await asyncio.sleep(0)
    return sizes
