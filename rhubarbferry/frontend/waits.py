"""The expected waits at the runner partitions of all regions.

A grant reply from the owner in this region carries its expected wait. The other regions are
polled only while requests wait here, with one small call per partition and interval, because
traffic between regions has a cost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from attrs import Factory, define, frozen

from rhubarbferry.core.cell import PriorityClass
from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.core.routing import serving_partitions
from rhubarbferry.frontend import metrics
from rhubarbferry.frontend.owners import Owners
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.ownership import OwnershipView
from rhubarbferry.rpc.gen import ttypes as t

MS_PER_S = 1000
CALL_TIMEOUT_S = 0.5
# Ages in multiples of the poll interval, after which waits and demand are dropped.
MAX_WAIT_AGE_POLLS = 2.5
MAX_DEMAND_AGE_POLLS = 3.0
MAX_CLASSES = 64
MAX_SERVICES = 64


@frozen(kw_only=True, slots=True)
class WaitClass:
    """A class of requests with the same expected wait."""

    account: str
    priority: PriorityClass


@define(kw_only=True, slots=True)
class _Wait:
    seconds: float
    received_at: float


@define(kw_only=True, slots=True)
class _Demand:
    """The classes of one service that waited recently, and when each last waited."""

    classes: dict[WaitClass, float] = Factory(dict)


class ExpectedWaits:
    """Store the latest expected waits by partition and class.

    :param poll_s: seconds between two polls of a partition.
    """

    def __init__(
        self, *, clock: Clock, owners: Owners, ownership: OwnershipView, poll_s: float
    ) -> None:
        self._clock = clock
        self._owners = owners
        self._ownership = ownership
        self._poll_s = poll_s
        self._waits: dict[PartitionId, dict[WaitClass, _Wait]] = {}
        self._demand: dict[str, _Demand] = {}
        self._has_demand = asyncio.Event()

    def record(self, partition: PartitionId, cls: WaitClass, wait_ms: int | None) -> None:
        """Store a wait reported by an owner; a negative or missing wait is unknown."""
        known = self._waits.setdefault(partition, {})
        if wait_ms is None or wait_ms < 0:
            known.pop(cls, None)
            return
        known[cls] = _Wait(seconds=wait_ms / MS_PER_S, received_at=self._clock.monotonic())

    def wait_s(self, partition: PartitionId, cls: WaitClass) -> float | None:
        """Return the wait at a partition, or ``None`` without a recent report."""
        result = self._waits.get(partition, {}).get(cls)
        if (
            result is None
            or self._clock.monotonic() - result.received_at > MAX_WAIT_AGE_POLLS * self._poll_s
        ):
            return None
        return result.seconds

    def in_other_regions(self, home: PartitionId, cls: WaitClass) -> Mapping[PartitionId, float]:
        """Return the known waits of the partitions in other regions that have an owner."""
        result: dict[PartitionId, float] = {}
        for partition in self._partitions(home.name):
            wait = None if partition == home else self.wait_s(partition, cls)
            if wait is not None and self._ownership.owner(partition) is not None:
                result[partition] = wait
        return result

    def add_demand(self, service: str, cls: WaitClass) -> None:
        """Poll all regions for the wait of a class during the next few intervals."""
        if service not in self._demand and len(self._demand) >= MAX_SERVICES:
            return
        classes = self._demand.setdefault(service, _Demand()).classes
        if cls in classes or len(classes) < MAX_CLASSES:
            classes[cls] = self._clock.monotonic()
            self._has_demand.set()

    async def run(self) -> None:
        """Poll while there is demand, until cancelled."""
        while True:
            self._drop_outdated()
            if not self._demand:
                self._has_demand.clear()
                await self._has_demand.wait()
            await asyncio.gather(*(self._poll(*item) for item in self._poll_targets()))
            await self._clock.sleep(self._poll_s)

    def _poll_targets(self) -> list[tuple[PartitionId, list[WaitClass]]]:
        return [
            (partition, list(demand.classes))
            for service, demand in self._demand.items()
            for partition in self._partitions(service)
        ]

    async def _poll(self, partition: PartitionId, classes: list[WaitClass]) -> None:
        wait_classes = [
            t.WaitClass(account=cls.account, priority=t.Priority(int(cls.priority)))
            for cls in classes
        ]
        req = t.WaitsRequest(partition=str(partition), epoch=0, classes=wait_classes)
        metrics.WAIT_POLLS.labels(partition.region).inc()
        reply = await self._owners.call_once(partition, "waits", req, timeout_s=CALL_TIMEOUT_S)
        known = reply is not None and reply.owner and len(reply.waits_ms) == len(classes)
        waits = reply.waits_ms if known else [None] * len(classes)
        for cls, wait_ms in zip(classes, waits, strict=True):
            self.record(partition, cls, wait_ms)

    def _partitions(self, service: str) -> tuple[PartitionId, ...]:
        known = self._ownership.partitions(PartitionKind.RUNNER)
        return serving_partitions(service=service, partitions=known)

    def _drop_outdated(self) -> None:
        """Drop classes that no longer wait, so that they are not polled, and outdated waits."""
        since = self._clock.monotonic() - MAX_DEMAND_AGE_POLLS * self._poll_s
        for service, demand in list(self._demand.items()):
            demand.classes = {cls: at for cls, at in demand.classes.items() if at >= since}
            if not demand.classes:
                del self._demand[service]
        oldest = self._clock.monotonic() - MAX_WAIT_AGE_POLLS * self._poll_s
        for partition, known in list(self._waits.items()):
            for cls in [cls for cls, wait in known.items() if wait.received_at < oldest]:
                del known[cls]
            if not known:
                del self._waits[partition]
