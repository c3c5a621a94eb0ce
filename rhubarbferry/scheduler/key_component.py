"""Base class of the two kinds of state that a key partition keeps in its log."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping

from rhubarbferry.ports.entry_log import EntryLog
from rhubarbferry.ports.ownership import Tenure
from rhubarbferry.rpc import Handler
from rhubarbferry.rpc.gen.ttypes import LogEntry
from rhubarbferry.scheduler.context import Context


class KeyComponent(ABC):
    """State rebuilt from the log of a key partition: request intents or jobs.

    :param log: the partition's log, shared by its components.
    """

    def __init__(self, *, tenure: Tenure, ctx: Context, log: EntryLog) -> None:
        self.tenure = tenure
        self.ctx = ctx
        self.log = log
        self.ready = False

    @abstractmethod
    def replay(self, entry: LogEntry) -> None:
        """Apply a log entry; ignore entries of other components."""

    @abstractmethod
    def snapshot(self) -> Iterable[LogEntry]:
        """Return log entries that rebuild the current state."""

    def settled(self) -> bool:
        """Return whether a snapshot made now would include all recorded entries."""
        return True

    @abstractmethod
    def handlers(self) -> Mapping[str, Handler]:
        """Return the RPC methods that this component serves."""

    async def recover(self) -> None:
        """Complete the recovery after all log entries have been replayed."""

    async def serve(self) -> None:
        """Run background tasks until cancelled."""

    async def drain(self) -> None:
        """Wait for appends in progress; ``ready`` is false, so no new ones are started."""

    def depth(self) -> int:
        """Return the number of pending work items."""
        return 0
