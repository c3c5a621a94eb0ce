"""Protocol of the durable log of one partition, from which its state is rebuilt."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol

from rhubarbferry.rpc.gen.ttypes import LogEntry


class LogError(Exception):
    """Base class of the errors of the log."""


class LogFenced(LogError):
    """A successor sealed the log; no entry of this append was written. Release the partition."""


class LogUnavailable(LogError):
    """The store is not writable; no entry of this append is or will be written. Retry later."""


class LogUnclear(LogError):
    """It is not yet known whether the entries of the append were written.

    Apply them to the state as if they were: the log writes them before any later entry, unless a
    successor seals the log first. Report the outcome "unknown" to the caller.
    """


class LogCorrupt(LogError):
    """A record can't be decoded; the message names its key. Restore it from a backup."""


class LogTooLarge(LogError):
    """The entries of one append exceed the size of one record; none was written. Split them."""


class EntryLog(Protocol):
    """An ordered log; an entry must be written before any action that depends on it."""

    async def open(self) -> Sequence[LogEntry]:
        """Seal the log against earlier owners; return all written entries, oldest first.

        :raises LogFenced: when a later owner has already sealed the log.
        :raises LogCorrupt: when a record can't be decoded.
        """
        ...

    async def append(self, entries: Sequence[LogEntry]) -> None:
        """Write ``entries`` and return when they are durable; batch concurrent calls in one write.

        Apply the entries to the state before this call, or right after it returns or raises
        :class:`LogUnclear`, without an ``await`` in between; :meth:`compact` relies on this.

        :raises LogFenced: when a successor has sealed the log; nothing was written.
        :raises LogUnavailable: when the store is not writable; nothing was written.
        :raises LogUnclear: when the entries may have been written.
        :raises LogTooLarge: when they don't fit into one record; nothing was written.
        """
        ...

    async def compact(self, entries: Iterable[LogEntry]) -> None:
        """Replace the log by a snapshot: ``entries`` that rebuild the same state.

        The iterable is consumed before the first ``await``. It may include entries of appends in
        progress, which are then replayed twice, so replay must be idempotent.

        :raises LogFenced: when a later owner has sealed the log.
        :raises LogUnavailable: when the store is not writable; the log is unchanged.
        :raises LogUnclear: when the snapshot may have been written; the log is complete either way.
        """
        ...

    def size(self) -> int:
        """Return the number of segments written since the last snapshot."""
        ...

    async def close(self) -> None:
        """Stop writing; appends in progress fail, with ``LogUnclear`` if they may be written."""
        ...
