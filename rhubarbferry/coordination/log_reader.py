"""Read a log page by page, starting at its head, and check that it is complete and in order."""

from __future__ import annotations

from attrs import define, field

from rhubarbferry.coordination.log_codec import (
    decode_segment,
    decreasing_epoch_error,
    missing_record_error,
)
from rhubarbferry.core.log import PAGE, Head, LogKeys
from rhubarbferry.ports.entry_log import LogFenced, LogUnavailable
from rhubarbferry.ports.store import KeyValue, Store, StoreError
from rhubarbferry.rpc.gen.ttypes import LogEntry, LogSegment


@define(kw_only=True, slots=True)
class Replay:
    """The contents of a log.

    :param entries: all committed entries, oldest first.
    :param next_number: the first segment number that does not exist.
    :param epoch: epoch of the last segment.
    """

    entries: list[LogEntry] = field(factory=list)
    next_number: int = 1
    epoch: int = 0

    def add(self, key: str, segment: LogSegment, *, own_epoch: int) -> None:
        """Append the segment with the next number.

        :param own_epoch: the epoch of this owner; a segment with a higher epoch fences it.
        :raises LogFenced: when a later owner wrote the segment.
        :raises LogCorrupt: when the segment was written by an owner that was already fenced.
        """
        if segment.epoch > own_epoch:
            raise LogFenced(f"{key} has the later epoch {segment.epoch}; give up the partition")
        if segment.epoch < self.epoch:
            raise decreasing_epoch_error(key, epoch=segment.epoch, previous_epoch=self.epoch)
        self.entries.extend(segment.entries)
        self.epoch = segment.epoch
        self.next_number += 1


class LogReader:
    """Read the snapshot and the segments after it.

    Each reply of the store holds at most ``PAGE`` values, which bounds its size.

    :param revision: replies from an earlier store revision than this are rejected.
    """

    def __init__(self, *, store: Store, keys: LogKeys, epoch: int, revision: int) -> None:
        self._store = store
        self._keys = keys
        self._epoch = epoch
        self._revision = revision

    async def read(self, head: Head) -> Replay:
        """Return the contents of the log.

        :raises LogUnavailable: when the store does not respond or lags behind.
        :raises LogCorrupt: when a record is missing or damaged.
        :raises LogFenced: when a later owner wrote a segment.
        """
        replay = Replay(next_number=head.upto + 1)
        await self._read_snapshot(head, replay)
        await self._read_segments(replay)
        return replay

    async def _read_snapshot(self, head: Head, replay: Replay) -> None:
        for start in range(0, head.chunks, PAGE):
            found = await self._page(self._keys.chunk_page(head.snapshot, start))
            for index in range(start, min(start + PAGE, head.chunks)):
                key = self._keys.chunk(head.snapshot, index)
                replay.entries.extend(self._decode(key, found).entries)

    async def _read_segments(self, replay: Replay) -> None:
        page_full = True
        while page_full:
            number = replay.next_number
            found = await self._page(self._keys.segment_page(number))
            last = number - number % PAGE + PAGE - 1
            page_full = self._add_page(replay, found, last=last)

    def _add_page(self, replay: Replay, found: dict[str, KeyValue], *, last: int) -> bool:
        while replay.next_number <= last:
            key = self._keys.segment(replay.next_number)
            if key not in found:
                self._check_end(key, found)
                return False
            replay.add(key, self._decode(key, found), own_epoch=self._epoch)
        return True

    def _check_end(self, key: str, found: dict[str, KeyValue]) -> None:
        # Segment numbers are consecutive, so a segment after a gap shows that a record was lost.
        if any(other > key for other in found):
            raise missing_record_error(key)

    def _decode(self, key: str, found: dict[str, KeyValue]) -> LogSegment:
        if key not in found:
            raise missing_record_error(key)
        return decode_segment(key, found[key].value)

    async def _page(self, prefix: str) -> dict[str, KeyValue]:
        try:
            listing = await self._store.list(prefix)
        except StoreError as exc:
            raise LogUnavailable(f"{prefix}* can't be read: {exc}") from exc
        if listing.revision < self._revision:
            raise LogUnavailable(
                f"the store answered from revision {listing.revision}, before {self._revision};"
                " try again once it has caught up"
            )
        return {kv.key: kv for kv in listing.items}
