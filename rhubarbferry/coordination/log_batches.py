"""Appends that wait for their write, and how far the state has taken them in."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable, Sequence

from attrs import define, field

from rhubarbferry.core.log import leading
from rhubarbferry.ports.log import LogError
from rhubarbferry.rpc.gen.ttypes import LogEntry


@define(kw_only=True, slots=True, eq=False)
class PendingAppend:
    """One append.

    :param size: bytes of its entries.
    :param resumed: whether the caller has gone on with the result.
    """

    entries: Sequence[LogEntry]
    size: int
    fut: asyncio.Future[None]
    resumed: bool = False

    def fail(self, exc: LogError) -> None:
        """Wake the caller with an error, unless it has been woken or has gone."""
        if not self.fut.done():
            self.fut.set_exception(exc)

    def succeed(self) -> None:
        """Wake the caller, unless it has been woken or has gone."""
        if not self.fut.done():
            self.fut.set_result(None)


@define(kw_only=True, slots=True, eq=False)
class Batch:
    """Appends that go into one segment."""

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
        """Tell whether all callers have gone on."""
        return all(append.resumed for append in self.appends)


@define(kw_only=True, slots=True)
class Coverage:
    """How far a snapshot of the state covers the log.

    An entry is on record a little before its caller has applied it. A snapshot taken between
    the two that claimed to cover the entry would lose it for good; so a segment is covered
    only once all its callers have gone on.
    """

    upto: int
    _batches: deque[Batch] = field(factory=deque)

    def segment_written(self, batch: Batch) -> None:
        """Note that the next segment stands."""
        self._batches.append(batch)

    def advance(self) -> int:
        """Return the highest number that the present state covers."""
        while self._batches and self._batches[0].all_resumed():
            self.upto = self._batches.popleft().number
        return self.upto


@define(kw_only=True, slots=True)
class AppendQueue:
    """Appends that no write has taken yet."""

    limit: int
    _items: deque[PendingAppend] = field(factory=deque)

    def __len__(self) -> int:
        return len(self._items)

    def full(self) -> bool:
        """Tell whether an append must be refused."""
        return len(self._items) >= self.limit

    def add(self, append: PendingAppend) -> None:
        """Put an append at the end."""
        self._items.append(append)

    def take(self, cap: int) -> Sequence[PendingAppend]:
        """Take the first appends that fit into one segment, without those given up."""
        while self._items and self._items[0].fut.done():
            self._items.popleft()
        count = leading((append.size for append in self._items), cap=cap)
        taken = [self._items.popleft() for _ in range(count)]
        return [append for append in taken if not append.fut.done()]

    def fail(self, exc: LogError) -> None:
        """Wake all callers with an error."""
        items: Iterable[PendingAppend] = tuple(self._items)
        self._items.clear()
        for append in items:
            append.fail(exc)
