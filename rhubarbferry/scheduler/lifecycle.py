"""Lifecycle of the partitions of this process: created when won, discarded when lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define
from loguru import logger

from rhubarbferry.core.partition import PartitionId
from rhubarbferry.ports.log import LogCorrupt
from rhubarbferry.ports.ownership import Tenure
from rhubarbferry.rpc.gen.ttypes import PartitionStatus
from rhubarbferry.scheduler import metrics
from rhubarbferry.scheduler.partition import Partition, Phase

FIRST_RETRY_S = 0.1
LAST_RETRY_S = 3.0
CLOSE_S = 2.0
CORRUPT = "corrupt"
NOT_MADE = "not-made"

MakePartition = Callable[[Tenure], Partition]


@define(kw_only=True, eq=False)
class _Held:
    """A tenure and its partition object, which is ``None`` while it can't be created.

    :ivar trouble: reason why the partition is not served, empty if there is none.
    """

    tenure: Tenure
    partition: Partition | None = None
    task: asyncio.Task[None] | None = None
    trouble: str = ""


class Lifecycle:
    """Run one task per owned partition, so that a failure affects only its own partition.

    :param make: factory that creates the partition object for a tenure.
    """

    def __init__(self, *, make: MakePartition) -> None:
        self._make = make
        self._held: dict[PartitionId, _Held] = {}

    def find(self, partition: PartitionId) -> Partition | None:
        """Return the object of a partition, or ``None`` if it is not owned or not created."""
        held = self._held.get(partition)
        return None if held is None else held.partition

    async def won(self, tenure: Tenure) -> None:
        """Begin a tenure, after ending an earlier tenure of the same partition."""
        await self.lost(tenure.partition, below=tenure.epoch)
        if tenure.partition in self._held:
            return
        logger.info("{}: won with epoch {}", tenure.partition, tenure.epoch)
        held = _Held(tenure=tenure)
        self._try_to_make(held)
        self._held[tenure.partition] = held
        held.task = asyncio.create_task(self._live(held))

    async def lost(self, partition: PartitionId, *, below: int) -> None:
        """End the tenure of a partition if its epoch is lower than ``below``."""
        held = self._held.get(partition)
        if held is None or held.tenure.epoch >= below:
            return
        del self._held[partition]
        logger.info("{}: lost epoch {}", partition, held.tenure.epoch)
        await self._end(held)

    async def drain(self, partition: PartitionId) -> None:
        """Drain a partition before its hand-over."""
        held = self._held.get(partition)
        if held is not None and held.partition is not None:
            await held.partition.drain()

    async def close(self) -> None:
        """End all tenures."""
        held, self._held = list(self._held.values()), {}
        await asyncio.gather(*(self._end(one) for one in held))

    def owned(self) -> tuple[PartitionId, ...]:
        """Return the partitions owned by this process."""
        return tuple(self._held)

    def status(self) -> list[PartitionStatus]:
        """Return the status of each owned partition."""
        return [_status(id, held) for id, held in sorted(self._held.items())]

    # ------------------------------------------------------------ internals

    async def _end(self, held: _Held) -> None:
        if held.task is not None:
            held.task.cancel()
            await asyncio.gather(held.task, return_exceptions=True)
        await self._close(held.partition)

    async def _close(self, partition: Partition | None) -> None:
        if partition is None:
            return
        try:
            # Bounded in time, because ownership events of all partitions wait for it.
            async with asyncio.timeout(CLOSE_S):
                await partition.close()
        except Exception as exc:
            logger.opt(exception=exc).error("{}: close failed", partition.tenure.partition)

    async def _live(self, held: _Held) -> None:
        pause = FIRST_RETRY_S
        kind = held.tenure.partition.kind.value
        while True:
            if held.partition is None:
                await asyncio.sleep(pause)
                pause = min(2 * pause, LAST_RETRY_S)
                self._try_to_make(held)
                continue
            try:
                await held.partition.recover()
                metrics.RECOVERIES.labels(kind, "ok").inc()
                pause = FIRST_RETRY_S
                logger.info("{}: serving", held.tenure.partition)
                await held.partition.serve()
                return
            except LogCorrupt as exc:
                # A retry would read the same bytes. The state can't be rebuilt, so the partition
                # stays stopped until an operator repairs the record named in the message.
                metrics.RECOVERIES.labels(kind, CORRUPT).inc()
                logger.error("{}: stopped: {}", held.tenure.partition, exc)
                held.trouble = f"{CORRUPT}: {exc}"
                held.partition.phase = Phase.STOPPED
                return
            except Exception as exc:
                metrics.RECOVERIES.labels(kind, "failed").inc()
                logger.opt(exception=exc).warning(
                    "{}: failed, restarting with a new partition object", held.tenure.partition
                )
            await self._close(held.partition)
            await asyncio.sleep(pause)
            pause = min(2 * pause, LAST_RETRY_S)
            self._try_to_make(held)

    def _try_to_make(self, held: _Held) -> None:
        """Create the partition object of a tenure; on failure, leave it to a later retry.

        The code of the partition kind is imported and run here for the first time. If an error
        propagated, it would end the process, then the next owner of the partition, and so on
        until no scheduler is left for any partition.
        """
        try:
            held.partition = self._make(held.tenure)
        except Exception as exc:
            held.partition = None
            held.trouble = f"{NOT_MADE}: {type(exc).__name__}: {exc}"
            metrics.RECOVERIES.labels(held.tenure.partition.kind.value, NOT_MADE).inc()
            logger.opt(exception=exc).error(
                "{}: partition object could not be created", held.tenure.partition
            )
        else:
            held.trouble = ""


def _status(id: PartitionId, held: _Held) -> PartitionStatus:
    partition = held.partition
    phase = Phase.RECOVERING if partition is None else partition.phase
    return PartitionStatus(
        partition=str(id),
        epoch=held.tenure.epoch,
        phase=held.trouble or phase.value,
        depth=0 if partition is None else partition.depth(),
    )
