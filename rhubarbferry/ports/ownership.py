"""Ownership of partitions, as last observed by one process."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from attrs import frozen

from rhubarbferry.core.cell import Cell
from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.core.promise import HeldPromises


class Role(StrEnum):
    """The role of a member process."""

    FRONTEND = "frontend"
    SCHEDULER = "scheduler"


@frozen(kw_only=True, slots=True)
class Member:
    """One live process, as described by its record under ``members/``.

    :param id: unique for each start of a process; never reused.
    :param incarnation: number of the lease that this process holds, counted from its start;
        partitions that it owned under an earlier lease are lost.
    :param address: ``ip:port`` of its RPC server.
    :param http_address: ``ip:port`` of its HTTP server.
    :param config_revision: revision of the configuration that the process uses.
    :param draining: whether the process is shutting down.
    """

    id: str
    role: Role
    address: str
    region: str
    failure_domain: str
    http_address: str = ""
    config_revision: int = 0
    draining: bool = False
    incarnation: int = 1


@frozen(kw_only=True, slots=True)
class Guard:
    """A frontend in a guard set, whose promises are counted; ``address`` is its RPC server."""

    id: str
    address: str


@frozen(kw_only=True, slots=True)
class Owner:
    """The owner of a partition under one epoch; ``address`` is its RPC server."""

    member_id: str
    address: str
    epoch: int


class OwnershipView(Protocol):
    """The ownership table and the members, as last received through a watch."""

    def owner(self, partition: PartitionId) -> Owner | None:
        """Return the owner, or ``None`` while there is no live one."""
        ...

    def partitions(self, kind: PartitionKind, region: str | None = None) -> tuple[PartitionId, ...]:
        """Return the known partitions of a kind, in order."""
        ...

    def members(self, role: Role, region: str | None = None) -> tuple[Member, ...]:
        """Return the live members with a role, ordered by id."""
        ...

    def guards(self, region: str) -> tuple[Guard, ...]:
        """Return the guard set of a region, including its dead members."""
        ...

    def guard_version(self, region: str) -> int:
        """Return the version of the guard set of a region; 0 while there is none."""
        ...


class ConfigurationView(Protocol):
    """The configuration that this process currently uses."""

    def current(self) -> Cell:
        """Return the current configuration; its revision never decreases."""
        ...


class Tenure(Protocol):
    """The right of this process to act as the owner of one partition under one epoch."""

    @property
    def partition(self) -> PartitionId:
        """The owned partition."""
        ...

    @property
    def epoch(self) -> int:
        """The epoch under which the partition was acquired."""
        ...

    @property
    def ended(self) -> bool:
        """Whether the tenure has ended permanently, as when the partition was reassigned."""
        ...

    def holds(self) -> bool:
        """Return whether this process may act now; check it right before each action."""
        ...


class RackTenure(Tenure, Protocol):
    """A tenure that promises of the workers of its rack can extend beyond the lease."""

    @property
    def promises(self) -> HeldPromises:
        """The promises of the workers, and the set of workers whose majority is required."""
        ...

    @property
    def lease_holds(self) -> Callable[[], bool]:
        """Returns whether the lease in the store is valid, so that no successor can exist."""
        ...

    def observe_epoch(self, epoch: int) -> None:
        """Record an epoch reported by a worker; a higher one ends the tenure."""
        ...
