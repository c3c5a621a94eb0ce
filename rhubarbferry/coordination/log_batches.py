"""Queued appends, their batches, and how much of the log the caller's state covers."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable, Sequence

from attrs import define, field

from rhubarbferry.core.log import leading
from rhubarbferry.ports.entry_log import LogError
from rhubarbferry.rpc.gen.ttypes import LogEntry


@define(kw_only=True, slots=True, eq=False)
class PendingAppend:
    """One append that waits for its write.

    :param size: size of its entries in bytes.
    :param resumed: whether the caller has continued after the write.
    """

    entries: Sequence[LogEntry]
    size: int
    fut: asyncio.Future[None]
    resumed: bool = False

    def fail(self, exc: LogError) -> None:
        """Wake the caller with an error, unless it is already woken or cancelled."""
        if not self.fut.done():
            self.fut.set_exception(exc)

    def succeed(self) -> None:
        """Wake the caller, unless it is already woken or cancelled."""
        if not self.fut.done():
            self.fut.set_result(None)


@define(kw_only=True, slots=True, eq=False)
class Batch:
    """Appends that are written as one segment."""

    number: int
    key: str
    value: bytes
    appends: Sequence[PendingAppend]

    def fail(self, exc: LogError) -> None:
        """Wake all callers with an error."""
        for append in self.appends:
            append.fail(exc)

    def succeed(self) -> None:
        """Wake all callers."""
        for append in self.appends:
            append.succeed()

    def all_resumed(self) -> bool:
        """Return whether all callers have continued after the write."""
        return all(append.resumed for append in self.appends)


@define(kw_only=True, slots=True)
class Coverage:
    """Tracks up to which segment a snapshot of the caller's state covers the log.

    An entry is written shortly before its caller applies it to the state. A snapshot taken between
    these two steps does not contain the entry, and would lose it if it replaced the segment. A
    segment therefore counts as covered only once all its callers have continued.
    """

    upto: int
    _batches: deque[Batch] = field(factory=deque)

    def segment_written(self, batch: Batch) -> None:
        """Record that the next segment is written."""
        self._batches.append(batch)

    def advance(self) -> int:
        """Return the highest segment number that the current state covers."""
        while self._batches and self._batches[0].all_resumed():
            self.upto = self._batches.popleft().number
        return self.upto


@define(kw_only=True, slots=True)
class AppendQueue:
    """Appends that are not part of a write yet."""

    limit: int
    _items: deque[PendingAppend] = field(factory=deque)

    def __len__(self) -> int:
        return len(self._items)

    def full(self) -> bool:
        """Return whether further appends must be rejected."""
        return len(self._items) >= self.limit

    def add(self, append: PendingAppend) -> None:
        """Add an append to the end of the queue."""
        self._items.append(append)

    def take(self, cap: int) -> Sequence[PendingAppend]:
        """Remove and return the first appends that fit into one segment, without cancelled ones."""
        while self._items and self._items[0].fut.done():
            self._items.popleft()
        count = leading((append.size for append in self._items), cap=cap)
        taken = [self._items.popleft() for _ in range(count)]
        return [append for append in taken if not append.fut.done()]

    def fail(self, exc: LogError) -> None:
        """Remove all appends and wake their callers with an error."""
        items: Iterable[PendingAppend] = tuple(self._items)
        self._items.clear()
        for append in items:
            append.fail(exc)
