"""Lifecycle of the partitions of this process: created when won, discarded when lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define
from loguru import logger

from rhubarbferry.core.partition import PartitionId
from rhubarbferry.ports.entry_log import LogCorrupt
from rhubarbferry.ports.ownership import Tenure
from rhubarbferry.rpc.gen.ttypes import PartitionStatus
from rhubarbferry.scheduler import metrics
from rhubarbferry.scheduler.partition import Partition, Phase

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 3.0
CLOSE_TIMEOUT_S = 2.0
CORRUPT = "corrupt"
NOT_CREATED = "not-made"

PartitionFactory = Callable[[Tenure], Partition]


@define(kw_only=True, eq=False)
class _OwnedPartition:
    """A tenure and its partition object, which is ``None`` while it can't be created.

    :ivar failure: reason why the partition is not served, empty if there is none.
    """

    tenure: Tenure
    partition: Partition | None = None
    task: asyncio.Task[None] | None = None
    failure: str = ""


class Lifecycle:
    """Run one task per owned partition, so that a failure affects only its own partition.

    :param create: factory that creates the partition object for a tenure.
    """

    def __init__(self, *, create: PartitionFactory) -> None:
        self._create = create
        self._entries: dict[PartitionId, _OwnedPartition] = {}

    def find(self, partition: PartitionId) -> Partition | None:
        """Return the object of a partition, or ``None`` if it is not owned or not created."""
        entry = self._entries.get(partition)
        return None if entry is None else entry.partition

    async def won(self, tenure: Tenure) -> None:
        """Begin a tenure, after ending an earlier tenure of the same partition."""
        await self.lost(tenure.partition, below=tenure.epoch)
        if tenure.partition in self._entries:
            return
        logger.info("{}: won with epoch {}", tenure.partition, tenure.epoch)
        entry = _OwnedPartition(tenure=tenure)
        self._try_to_create(entry)
        self._entries[tenure.partition] = entry
        entry.task = asyncio.create_task(self._run_tenure(entry))

    async def lost(self, partition: PartitionId, *, below: int) -> None:
        """End the tenure of a partition if its epoch is lower than ``below``."""
        entry = self._entries.get(partition)
        if entry is None or entry.tenure.epoch >= below:
            return
        del self._entries[partition]
        logger.info("{}: lost epoch {}", partition, entry.tenure.epoch)
        await self._end(entry)

    async def drain(self, partition: PartitionId) -> None:
        """Drain a partition before its hand-over."""
        entry = self._entries.get(partition)
        if entry is not None and entry.partition is not None:
            await entry.partition.drain()

    async def close(self) -> None:
        """End all tenures."""
        entries, self._entries = list(self._entries.values()), {}
        await asyncio.gather(*(self._end(entry) for entry in entries))

    def owned(self) -> tuple[PartitionId, ...]:
        """Return the partitions owned by this process."""
        return tuple(self._entries)

    def status(self) -> list[PartitionStatus]:
        """Return the status of each owned partition."""
        return [
            _status(partition_id, entry) for partition_id, entry in sorted(self._entries.items())
        ]

    # ------------------------------------------------------------ internals

    async def _end(self, entry: _OwnedPartition) -> None:
        if entry.task is not None:
            entry.task.cancel()
            await asyncio.gather(entry.task, return_exceptions=True)
        await self._close(entry.partition)

    async def _close(self, partition: Partition | None) -> None:
        if partition is None:
            return
        try:
            # Bounded in time, because ownership events of all partitions wait for it.
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await partition.close()
        except Exception as exc:
            logger.opt(exception=exc).error("{}: close failed", partition.tenure.partition)

    async def _run_tenure(self, entry: _OwnedPartition) -> None:
        retry_delay_s = MIN_RETRY_DELAY_S
        kind = entry.tenure.partition.kind.value
        while True:
            if entry.partition is None:
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
                self._try_to_create(entry)
                continue
            try:
                await entry.partition.recover()
                metrics.RECOVERIES.labels(kind, "ok").inc()
                retry_delay_s = MIN_RETRY_DELAY_S
                logger.info("{}: serving", entry.tenure.partition)
                await entry.partition.serve()
                return
            except LogCorrupt as exc:
                # A retry would read the same bytes. The state can't be rebuilt, so the partition
                # stays stopped until an operator repairs the record named in the message.
                metrics.RECOVERIES.labels(kind, CORRUPT).inc()
                logger.error("{}: stopped: {}", entry.tenure.partition, exc)
                entry.failure = f"{CORRUPT}: {exc}"
                entry.partition.phase = Phase.STOPPED
                return
            except Exception as exc:
                metrics.RECOVERIES.labels(kind, "failed").inc()
                logger.opt(exception=exc).warning(
                    "{}: failed, restarting with a new partition object", entry.tenure.partition
                )
            await self._close(entry.partition)
            await asyncio.sleep(retry_delay_s)
            retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
            self._try_to_create(entry)

    def _try_to_create(self, entry: _OwnedPartition) -> None:
        """Create the partition object of a tenure; on failure, leave it to a later retry.

        The code of the partition kind is imported and run here for the first time. If an error
        propagated, it would end the process, then the next owner of the partition, and so on
        until no scheduler is left for any partition.
        """
        try:
            entry.partition = self._create(entry.tenure)
        except Exception as exc:
            entry.partition = None
            entry.failure = f"{NOT_CREATED}: {type(exc).__name__}: {exc}"
            metrics.RECOVERIES.labels(entry.tenure.partition.kind.value, NOT_CREATED).inc()
            logger.opt(exception=exc).error(
                "{}: partition object could not be created", entry.tenure.partition
            )
        else:
            entry.failure = ""


def _status(partition_id: PartitionId, entry: _OwnedPartition) -> PartitionStatus:
    partition = entry.partition
    phase = Phase.RECOVERING if partition is None else partition.phase
    return PartitionStatus(
        partition=str(partition_id),
        epoch=entry.tenure.epoch,
        phase=entry.failure or phase.value,
        depth=0 if partition is None else partition.depth(),
    )
