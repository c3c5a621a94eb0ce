"""Route each RPC to the partition it names, or reply that this process is not its owner."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from rhubarbferry.core.partition import PartitionId
from rhubarbferry.rpc import Handler
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler.partition import Partition

NotOwnerReply = Callable[[int], Any]
LatestEpoch = Callable[[PartitionId], int]

NOT_OWNER_REPLIES: Mapping[str, NotOwnerReply] = {
    "grant": lambda epoch: t.GrantReply(verdict=t.GrantVerdict.NOT_OWNER, epoch=epoch),
    "release": lambda epoch: t.ReleaseReply(epoch=epoch, accepted=False),
    "abandon": lambda epoch: t.AbandonReply(accepted=False),
    "waits": lambda epoch: t.WaitsReply(owner=False, epoch=epoch, waits_ms=[]),
    "begin_request": lambda epoch: t.IntentReply(verdict=t.IntentVerdict.NOT_OWNER, epoch=epoch),
    "finish_request": lambda epoch: t.FinishReply(recorded=False, epoch=epoch),
    "submit_job": lambda epoch: t.SubmitReply(verdict=t.SubmitVerdict.NOT_OWNER, epoch=epoch),
    "get_job": lambda epoch: t.JobReply(verdict=t.JobVerdict.NOT_OWNER, epoch=epoch),
    "cancel_job": lambda epoch: t.JobReply(verdict=t.JobVerdict.NOT_OWNER, epoch=epoch),
    "list_jobs": lambda epoch: t.JobListReply(verdict=t.JobVerdict.NOT_OWNER, epoch=epoch, jobs=[]),
    "claim": lambda epoch: t.ClaimReply(owner=False, epoch=epoch, results=[]),
    "settle_reservation": lambda epoch: t.ClaimReply(owner=False, epoch=epoch, results=[]),
    "digest": lambda epoch: t.DigestReply(owner=False, epoch=epoch),
    "stop_tasks": lambda epoch: t.StopTasksReply(owner=False, epoch=epoch, held=[]),
    "task_events": lambda epoch: t.TaskEventsReply(owner=False, epoch=epoch, recorded=[]),
    "held_tasks": lambda epoch: t.HeldTasksReply(
        owner=False, epoch=epoch, complete=False, tasks=[]
    ),
}


class OwnedPartitions(Protocol):
    """Lookup of the partitions that this process owns."""

    def find(self, partition: PartitionId) -> Partition | None:
        """Return the partition object, or ``None`` if this process does not own it."""
        ...


class Dispatcher:
    """Handlers of the RPC methods that name a partition.

    :param latest_epoch: returns the latest epoch of a partition owned elsewhere, 0 if unknown.
    """

    def __init__(self, *, owned: OwnedPartitions, latest_epoch: LatestEpoch) -> None:
        self._owned = owned
        self._latest_epoch = latest_epoch

    def handlers(self) -> Mapping[str, Handler]:
        """Return a handler for each RPC method."""
        return {method: self._handler(method) for method in NOT_OWNER_REPLIES}

    def _handler(self, method: str) -> Handler:
        async def handle(req: Any) -> Any:
            return await self._handle(method, req)

        return handle

    async def _handle(self, method: str, req: Any) -> Any:
        try:
            partition_id = PartitionId.parse(req.partition)
        except ValueError:
            return NOT_OWNER_REPLIES[method](0)
        partition = self._owned.find(partition_id)
        if partition is None:
            return NOT_OWNER_REPLIES[method](self._latest_epoch(partition_id))
        if req.epoch > partition.tenure.epoch:
            # The caller has seen a later owner: this process has lost the partition and has not
            # been notified yet.
            return NOT_OWNER_REPLIES[method](req.epoch)
        handler = partition.handlers().get(method)
        if handler is None:
            return NOT_OWNER_REPLIES[method](partition.tenure.epoch)
        return await handler(req)
