"""The owner of one range of keys: request intents and jobs, kept in one log."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence

from loguru import logger

from rhubarbferry.ports.entry_log import EntryLog, LogError, LogFenced
from rhubarbferry.ports.ownership import Tenure
from rhubarbferry.rpc import Handler
from rhubarbferry.rpc.gen.ttypes import LogEntry
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.key_component import KeyComponent
from rhubarbferry.scheduler.partition import Partition, Phase

MIN_COMPACT_SEGMENTS = 512
ENTRIES_PER_SEGMENT = 8
COMPACT_CHECK_INTERVAL_S = 2.0
REPLAY_YIELD_ENTRIES = 2000
DRAIN_TIMEOUT_S = 3.0


def compaction_threshold(*, retained: int, min_segments: int) -> int:
    """Return the number of log segments at which the next snapshot is made.

    A snapshot rewrites all retained entries. With a fixed number of segments between snapshots
    the cost per entry would grow with the number of retained entries. A number in proportion to
    the retained entries keeps the cost per entry constant.

    :param retained: number of entries in the last snapshot.
    :param min_segments: minimum number of segments between snapshots.
    """
    return max(min_segments, retained // ENTRIES_PER_SEGMENT)


ComponentFactory = Callable[[EntryLog], KeyComponent]


class KeyPartition(Partition):
    """A partition whose state is recorded in, and rebuilt from, its log.

    :param log: the partition's log, not opened yet.
    :param components: factories of the components that share the log.
    :param compact_segments: minimum number of segments before a snapshot is made.
    """

    def __init__(
        self,
        *,
        tenure: Tenure,
        ctx: Context,
        log: EntryLog,
        components: Sequence[ComponentFactory],
        compact_segments: int = MIN_COMPACT_SEGMENTS,
    ) -> None:
        super().__init__(tenure=tenure, ctx=ctx)
        self.log = log
        self.components = [create(log) for create in components]
        self._compact_segments = compact_segments
        self._compaction_threshold = compact_segments

    def handlers(self) -> Mapping[str, Handler]:
        """Return the RPC handlers of all components."""
        handlers: dict[str, Handler] = {}
        for component in self.components:
            handlers.update(component.handlers())
        return handlers

    def depth(self) -> int:
        """Return the number of pending work items of all components."""
        return sum(component.depth() for component in self.components)

    async def recover(self) -> None:
        """Seal the log against earlier owners, read it, and rebuild the state."""
        entries = await self.log.open()
        for index, entry in enumerate(entries):
            for component in self.components:
                component.replay(entry)
            if index % REPLAY_YIELD_ENTRIES == 0:
                # Replaying a long log must not delay heartbeats and lease renewals of the process.
                await asyncio.sleep(0)
        for component in self.components:
            await component.recover()

    async def serve(self) -> None:
        """Serve requests for the keys until cancelled."""
        for component in self.components:
            component.ready = True
        self.phase = Phase.SERVING
        async with asyncio.TaskGroup() as tasks:
            for component in self.components:
                tasks.create_task(component.serve())
            tasks.create_task(self._compact_periodically())

    async def drain(self) -> None:
        """Refuse new requests and wait for appends in progress."""
        self._stop(Phase.DRAINING)
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await asyncio.gather(*(component.drain() for component in self.components))
        except TimeoutError:
            logger.warning(
                "{}: appends still in progress after {} s", self.tenure.partition, DRAIN_TIMEOUT_S
            )

    async def close(self) -> None:
        """Stop replying and writing."""
        self._stop(Phase.STOPPED)
        await self.log.close()

    def _stop(self, phase: Phase) -> None:
        self.phase = phase
        for component in self.components:
            component.ready = False

    async def _compact_periodically(self) -> None:
        while True:
            await self.ctx.clock.sleep(COMPACT_CHECK_INTERVAL_S)
            settled = all(component.settled() for component in self.components)
            if settled and self.log.size() >= self._compaction_threshold:
                await self._compact()

    async def _compact(self) -> None:
        retained = self._snapshot()
        self._compaction_threshold = compaction_threshold(
            retained=len(retained), min_segments=self._compact_segments
        )
        try:
            await self.log.compact(retained)
        except LogFenced:
            self._stop(Phase.STOPPED)
        except LogError as exc:
            logger.debug("{}: log compaction failed: {}", self.tenure.partition, exc)

    def _snapshot(self) -> list[LogEntry]:
        return [entry for component in self.components for entry in component.snapshot()]
