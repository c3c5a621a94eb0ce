"""Configuration of a cell, set by its operators: regions, client accounts and services."""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum

from attrs import Factory, frozen

NO_LIMIT = 0


class PriorityClass(IntEnum):
    """Priority of work, applied before fair share; lower values are scheduled first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


@frozen(kw_only=True, slots=True)
class Size:
    """Resources of a task or a worker, or a sum of such resources.

    :param millicores: processor time, in thousandths of a core.
    :param memory_bytes: memory in bytes.
    :param accelerators: number of accelerators.
    """

    millicores: int = 0
    memory_bytes: int = 0
    accelerators: int = 0

    def __add__(self, other: Size) -> Size:
        return Size(
            millicores=self.millicores + other.millicores,
            memory_bytes=self.memory_bytes + other.memory_bytes,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Size) -> Size:
        return Size(
            millicores=self.millicores - other.millicores,
            memory_bytes=self.memory_bytes - other.memory_bytes,
            accelerators=self.accelerators - other.accelerators,
        )

    def fits(self, room: Size) -> bool:
        """Return whether every dimension of this size is at most that of ``room``."""
        return (
            self.millicores <= room.millicores
            and self.memory_bytes <= room.memory_bytes
            and self.accelerators <= room.accelerators
        )


@frozen(kw_only=True, slots=True)
class Objective:
    """A service-level objective: the fraction ``target`` of the work starts within ``wait_ms``."""

    wait_ms: int = 1000
    target: float = 0.99


@frozen(kw_only=True, slots=True)
class Limits:
    """Limits of one client account across the cell; ``NO_LIMIT`` (0) means unlimited.

    :param max_concurrency: maximum number of requests in progress.
    :param rate_per_s: maximum number of requests started per second.
    :param max_waiting: maximum number of requests waiting for a slot per runner partition.
    :param quota: maximum total size of running tasks; a dimension of 0 is unlimited.
    """

    max_concurrency: int = NO_LIMIT
    rate_per_s: float = NO_LIMIT
    max_waiting: int = 1000
    quota: Size = Factory(Size)


@frozen(kw_only=True, slots=True)
class Account:
    """Scheduling parameters and limits of one client account.

    :param name: account name.
    :param template: name of the template that the account's parameters fill in.
    :param share: fair-share weight; must be positive.
    :param priority: priority class of work that does not specify one.
    """

    name: str
    template: str = ""
    share: float = 1.0
    priority: PriorityClass = PriorityClass.NORMAL
    limits: Limits = Factory(Limits)
    objective: Objective = Factory(Objective)


@frozen(kw_only=True, slots=True)
class Service:
    """A service provided by runners.

    :param slots: number of concurrent requests per runner.
    :param connections: maximum number of connections per runner.
    """

    name: str
    slots: int = 8
    connections: int = 64


@frozen(kw_only=True, slots=True)
class Cell:
    """One accepted revision of the cell configuration.

    :param revision: increases by one with each accepted change; 0 before the first.
    """

    revision: int = 0
    regions: tuple[str, ...] = ()
    key_partitions_per_region: int = 2
    accounts: Mapping[str, Account] = Factory(dict)
    services: Mapping[str, Service] = Factory(dict)
