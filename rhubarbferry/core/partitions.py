"""Computation of a cell's partitions from its configuration and hosts."""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbferry.core.cell import Cell
from rhubarbferry.core.partition import (
    PartitionId,
    key_partition,
    runner_partition,
    worker_partition,
)
from rhubarbferry.ports.hosts import Host, HostKind


def partitions_of(cell: Cell, hosts: Iterable[Host]) -> frozenset[PartitionId]:
    """Return all partitions: slices of the key space, services per region, and racks."""
    keys = {
        key_partition(region=region, number=number)
        for region in cell.regions
        for number in range(cell.key_partitions_per_region)
    }
    return frozenset(keys | {_partition_of(host) for host in hosts})


def _partition_of(host: Host) -> PartitionId:
    match host.kind:
        case HostKind.RUNNER:
            return runner_partition(region=host.region, service=host.service)
        case HostKind.WORKER:
            return worker_partition(region=host.region, rack=host.rack)
