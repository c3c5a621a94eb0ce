"""Partition ids. A partition is the unit of ownership."""

from __future__ import annotations

from enum import StrEnum

import xxhash
from attrs import frozen


class PartitionKind(StrEnum):
    """What a partition consists of."""

    WORKER = "worker"
    RUNNER = "runner"
    KEY = "key"


@frozen(kw_only=True, slots=True, order=True)
class PartitionId:
    """Identifies a partition: a rack, a service in a region, or a slice of the key space.

    :param kind: what the partition consists of.
    :param region: the region that the partition belongs to.
    :param name: name of the rack or service, or number of the slice.
    """

    kind: PartitionKind
    region: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.region}/{self.name}"

    @classmethod
    def parse(cls, text: str) -> PartitionId:
        """Parse the text form that ``str()`` returns.

        :raises ValueError: if ``text`` is not in that form.
        """
        kind, region, name = text.split("/", 2)
        return cls(kind=PartitionKind(kind), region=region, name=name)


def worker_partition(*, region: str, rack: str) -> PartitionId:
    """Return the partition of the workers of one rack."""
    return PartitionId(kind=PartitionKind.WORKER, region=region, name=rack)


def runner_partition(*, region: str, service: str) -> PartitionId:
    """Return the partition of the runners of one service in one region."""
    return PartitionId(kind=PartitionKind.RUNNER, region=region, name=service)


def key_partition(*, region: str, number: int) -> PartitionId:
    """Return the partition of one slice of the key space, whose home is in ``region``."""
    return PartitionId(kind=PartitionKind.KEY, region=region, name=str(number))


def home_of(*, account: str, key: str, regions: tuple[str, ...], per_region: int) -> PartitionId:
    """Return the key partition that owns ``key`` of ``account``; all hosts compute the same one.

    The account is part of the hash, so the same key of two accounts is independent.
    """
    slices = len(regions) * per_region
    number = xxhash.xxh3_64_intdigest(f"{account}\x00{key}".encode()) % slices
    return key_partition(region=regions[number // per_region], number=number % per_region)
