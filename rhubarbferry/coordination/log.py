"""The sealed log: durable entries of one partition, with group commit and fencing.

Segments ``log/<partition>/<n>`` have consecutive numbers and are created, never overwritten. A new
owner claims the head, reads the log and creates the next number as its seal. When a previous owner
resumes after a pause and appends, its segment number is already taken, which shows it that its
tenure has ended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from itertools import count
from uuid import uuid4

from loguru import logger

from rhubarbferry.coordination.log_batches import AppendQueue, Batch, Coverage, PendingAppend
from rhubarbferry.coordination.log_codec import (
    decode_segment,
    encode_segment,
    entry_bytes,
    stamp_of,
)
from rhubarbferry.coordination.log_compaction import Compactor
from rhubarbferry.coordination.log_head import LogHead
from rhubarbferry.coordination.log_metrics import (
    BYTES,
    ENTRIES,
    FAILURES,
    REPLAYED,
    SEGMENTS,
)
from rhubarbferry.coordination.log_reader import LogReader, Replay
from rhubarbferry.coordination.write_once import Conflict, Created, create_once
from rhubarbferry.core.log import LogKeys, Retention, Verdict, judge
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.entry_log import (
    LogCorrupt,
    LogError,
    LogFenced,
    LogTooLarge,
    LogUnavailable,
    LogUnclear,
)
from rhubarbferry.ports.store import Store, StoreError, StoreUnclear
from rhubarbferry.rpc.gen.ttypes import LogEntry, LogSegment

SEGMENT_BYTES = 256 * 1024
MAX_APPEND_BYTES = 512 * 1024
MAX_QUEUED_APPENDS = 10_000
MIN_WRITE_INTERVAL_S = 0.005
RESOLVE_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.5
RETENTION_S = 60.0
MAX_SEAL_ATTEMPTS = 200


class SealedLog:
    """The log of one partition under one epoch; discard the object when the tenure ends.

    :param partition: the partition.
    :param epoch: the epoch under which this process owns it.
    :param writer_id: the id of this process; not reused after a restart.
    :param min_write_interval_s: minimum time between the starts of two writes; appends made in the
        meantime are batched.
    :param resolve_timeout_s: how long a write whose reply was lost is retried before its callers
        receive :exc:`~rhubarbferry.ports.entry_log.LogUnclear`.
    :param retention_s: see :class:`~rhubarbferry.core.log.Retention`; the same in all processes.
    :param segment_bytes: how many bytes of appends are batched into one segment.
    :param max_queued_appends: further appends are rejected while this many are queued.
    """

    def __init__(
        self,
        *,
        store: Store,
        partition: PartitionId | str,
        epoch: int,
        writer_id: str,
        clock: Clock,
        min_write_interval_s: float = MIN_WRITE_INTERVAL_S,
        resolve_timeout_s: float = RESOLVE_TIMEOUT_S,
        retention_s: float = RETENTION_S,
        segment_bytes: int = SEGMENT_BYTES,
        max_queued_appends: int = MAX_QUEUED_APPENDS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._epoch = epoch
        self._writer_id = writer_id
        self._min_write_interval_s = min_write_interval_s
        self._resolve_timeout_s = resolve_timeout_s
        self._segment_bytes = segment_bytes
        self._retention = Retention(keep_s=retention_s)
        self._keys = LogKeys(partition=str(partition))
        self._nonce = uuid4().hex[:12]
        self._write_numbers = count(1)
        self._head = LogHead(
            store=store,
            clock=clock,
            keys=self._keys,
            epoch=epoch,
            writer_id=writer_id,
            nonce=self._nonce,
            resolve_timeout_s=resolve_timeout_s,
        )
        self._compactor = Compactor(
            store=store,
            keys=self._keys,
            head=self._head,
            retention=Retention(keep_s=retention_s),
            clock=clock,
            chunk_bytes=segment_bytes,
            new_segment=self._new_segment,
            create=self._create,
        )
        self._queue = AppendQueue(limit=max_queued_appends)
        self._coverage = Coverage(upto=0)
        self._compaction_lock = asyncio.Lock()
        self._writer: asyncio.Task[None] | None = None
        self._in_flight: Batch | None = None
        self._unresolved: Batch | None = None
        self._closed_error: LogError | None = LogUnavailable(
            "the log is not open; call open() first"
        )
        self._next_number = 1
        self._sealed_at = 0.0
        self._last_write_at = float("-inf")

    async def open(self) -> Sequence[LogEntry]:
        """Seal the log against previous owners; return all committed entries, oldest first.

        :raises LogFenced: when a later owner has already sealed it.
        :raises LogCorrupt: when a record can't be decoded.
        :raises LogUnavailable: when the store is unavailable; retry later.
        """
        try:
            replay = await self._claim_and_replay()
        except LogUnclear as exc:
            raise LogUnavailable(f"the log can't be opened now: {exc}") from exc
        self._next_number = replay.next_number
        self._coverage = Coverage(upto=replay.next_number - 1)
        self._closed_error = None
        REPLAYED.inc(len(replay.entries))
        logger.info(
            "log {} opened: epoch {}, {} entries, next segment {}",
            self._keys.partition,
            self._epoch,
            len(replay.entries),
            self._next_number,
        )
        return replay.entries

    async def append(self, entries: Sequence[LogEntry]) -> None:
        """Return once ``entries`` are committed.

        :raises LogFenced: when a successor has sealed the log; nothing was written.
        :raises LogUnavailable: when the store is not writable; nothing was written.
        :raises LogUnclear: when the entries may have been written.
        :raises LogTooLarge: when the entries exceed the size limit of one append; nothing was
            written.
        """
        if not entries:
            return
        self._check_open()
        size = sum(entry_bytes(entry) for entry in entries)
        self._check_capacity(size)
        fut = asyncio.get_running_loop().create_future()
        append = PendingAppend(entries=tuple(entries), size=size, fut=fut)
        self._queue.add(append)
        self._start_writer()
        try:
            await fut
        finally:
            append.resumed = True

    async def compact(self, entries: Iterable[LogEntry]) -> None:
        """Replace all committed entries by ``entries``, from which the same state can be rebuilt.

        :raises LogFenced: when a later owner has claimed the log.
        :raises LogUnavailable: when the store is not writable; the log is unchanged.
        :raises LogUnclear: when it may have been replaced; the log is consistent in either case.
        """
        self._check_open()
        snapshot_entries = tuple(entries)
        upto = self._coverage.advance()
        async with self._compaction_lock:
            if upto <= self._head.head.upto:
                return
            try:
                await self._compactor.replace(
                    snapshot_entries, upto=upto, sealed_at=self._sealed_at
                )
            except LogFenced as exc:
                self._close_with(exc)
                raise

    def size(self) -> int:
        """Return the number of segments since the last snapshot."""
        return self._next_number - 1 - self._head.head.upto

    async def close(self) -> None:
        """Stop writing; queued appends fail, and the one in flight fails as unclear."""
        writer = self._writer
        if writer is not None:
            writer.cancel()
            await asyncio.wait([writer])
        if self._in_flight is not None:
            self._in_flight.fail(LogUnclear("the log was closed during the write"))
        self._close_with(LogUnavailable("the log is closed; it belongs to a tenure that has ended"))

    async def _claim_and_replay(self) -> Replay:
        await self._head.claim()
        reader = LogReader(
            store=self._store, keys=self._keys, epoch=self._epoch, revision=self._head.revision
        )
        try:
            replay = await reader.read(self._head.head)
        except LogCorrupt:
            # A successor that compacts the log during this read deletes segments that are still to
            # be read. Check for a successor before reporting a corrupt record.
            await self._head.verify()
            raise
        await self._seal(replay)
        # The seal may have been created at a number that a successor's compaction had freed.
        # Appends after such a seal would never be read.
        await self._head.verify()
        return replay

    async def _seal(self, replay: Replay) -> None:
        for _ in range(MAX_SEAL_ATTEMPTS):
            key = self._keys.segment(replay.next_number)
            segment = self._new_segment((), seal=True)
            outcome = await self._create_seal(key, encode_segment(key, segment))
            if isinstance(outcome, Created):
                replay.next_number += 1
                self._sealed_at = self._clock.monotonic()
                return
            found = decode_segment(key, outcome.kv.value)
            if judge(stamp_of(found), mine=stamp_of(segment)) is Verdict.FENCED:
                raise LogFenced(f"{key} has the later epoch {found.epoch}; give up the partition")
            replay.add(key, found, own_epoch=self._epoch)
        raise LogUnavailable("a previous owner keeps writing during the seal; try again")

    async def _create_seal(self, key: str, value: bytes) -> Created | Conflict:
        try:
            return await self._create(key, value)
        except StoreError as exc:
            raise LogUnavailable(f"{key} can't be written: {exc}") from exc

    async def _create(
        self, key: str, value: bytes, *, maybe_sent: bool = False
    ) -> Created | Conflict:
        return await create_once(
            store=self._store,
            clock=self._clock,
            key=key,
            value=value,
            resolve_timeout_s=self._resolve_timeout_s,
            maybe_sent=maybe_sent,
        )

    def _new_segment(self, entries: Sequence[LogEntry], *, seal: bool = False) -> LogSegment:
        return LogSegment(
            epoch=self._epoch,
            writer_id=self._writer_id,
            write_id=f"{self._nonce}-{next(self._write_numbers)}",
            seal=seal,
            entries=list(entries),
        )

    def _check_open(self) -> None:
        if self._closed_error is not None:
            raise type(self._closed_error)(str(self._closed_error))

    def _check_capacity(self, size: int) -> None:
        if size > MAX_APPEND_BYTES:
            raise LogTooLarge(f"the entries take {size} bytes, over {MAX_APPEND_BYTES}; split them")
        if self._unresolved is not None:
            raise LogUnavailable(
                "the outcome of an earlier write is still unknown; try again in 1 s"
            )
        if self._queue.full():
            raise LogUnavailable("too many appends are queued; try again in 1 s")

    def _start_writer(self) -> None:
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_all())

    async def _write_all(self) -> None:
        try:
            while self._closed_error is None and (self._unresolved is not None or len(self._queue)):
                await self._write_next()
        except LogError as exc:
            self._close_with(exc)
        except Exception as exc:
            logger.exception("the writer of log {} failed", self._keys.partition)
            if self._in_flight is not None:
                self._in_flight.fail(LogUnclear(f"the writer failed: {exc!r}"))
            self._close_with(LogUnavailable(f"the writer failed: {exc!r}; give up the partition"))

    async def _write_next(self) -> None:
        unresolved = self._unresolved
        if unresolved is not None:
            await self._clock.sleep(RETRY_INTERVAL_S)
            await self._write(unresolved, maybe_sent=True)
            return
        await self._throttle()
        batch = self._next_batch()
        if batch is not None:
            await self._write(batch, maybe_sent=False)

    async def _throttle(self) -> None:
        wait_s = self._last_write_at + self._min_write_interval_s - self._clock.monotonic()
        if wait_s > 0:
            await self._clock.sleep(wait_s)
        self._last_write_at = self._clock.monotonic()

    def _next_batch(self) -> Batch | None:
        appends = self._queue.take(self._segment_bytes)
        if not appends:
            return None
        key = self._keys.segment(self._next_number)
        entries = [entry for append in appends for entry in append.entries]
        value = encode_segment(key, self._new_segment(entries))
        SEGMENTS.inc()
        ENTRIES.inc(len(entries))
        BYTES.inc(len(value))
        return Batch(number=self._next_number, key=key, value=value, appends=appends)

    async def _write(self, batch: Batch, *, maybe_sent: bool) -> None:
        self._in_flight = batch
        try:
            outcome = await self._create(batch.key, batch.value, maybe_sent=maybe_sent)
            if isinstance(outcome, Conflict):
                raise self._fenced_error(batch, outcome)
            await self._verify_if_due(batch)
        except (StoreUnclear, LogUnclear, LogUnavailable) as exc:
            # LogUnavailable means that the segment is written and only the check of the head
            # failed.
            self._mark_unresolved(batch, exc)
        except StoreError as exc:
            FAILURES.labels("unavailable").inc()
            batch.fail(LogUnavailable(f"the store can't be written now: {exc}"))
        except LogError as exc:
            FAILURES.labels("fenced").inc()
            batch.fail(exc)
            raise
        else:
            self._complete(batch)
        self._in_flight = None

    def _fenced_error(self, batch: Batch, outcome: Conflict) -> LogError:
        found = stamp_of(decode_segment(batch.key, outcome.kv.value))
        return LogFenced(
            f"{batch.key} was written by {found.writer_id} with epoch {found.epoch}, this owner has"
            f" epoch {self._epoch}; give up the partition"
        )

    async def _verify_if_due(self, batch: Batch) -> None:
        now = self._clock.monotonic()
        if not self._retention.must_verify(verified_at=self._head.verified_at, now=now):
            return
        try:
            await self._head.verify()
        except (LogFenced, LogCorrupt) as exc:
            # It is unknown whether the successor read this segment before it sealed the log.
            batch.fail(LogUnclear(f"this owner lost the log during the write: {exc}"))
            raise

    def _mark_unresolved(self, batch: Batch, exc: Exception) -> None:
        FAILURES.labels("unclear").inc()
        if self._unresolved is None:
            logger.warning(
                "log {}: the outcome of a write is unknown: {}", self._keys.partition, exc
            )
        self._unresolved = batch
        batch.fail(LogUnclear(f"it is unknown whether the entries were written: {exc}"))
        self._queue.fail(
            LogUnavailable("the outcome of an earlier write is still unknown; try again later")
        )

    def _complete(self, batch: Batch) -> None:
        if self._unresolved is not None:
            logger.info("log {}: the unresolved write succeeded", self._keys.partition)
        self._unresolved = None
        self._next_number = batch.number + 1
        self._coverage.segment_written(batch)
        batch.succeed()

    def _close_with(self, exc: LogError) -> None:
        if self._closed_error is None:
            self._closed_error = exc
            logger.info("log {} closed: {}", self._keys.partition, exc)
        self._queue.fail(exc)
