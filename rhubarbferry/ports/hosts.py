"""The platform's list of live and leaving hosts, which may be out of date."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

from attrs import frozen


class HostKind(StrEnum):
    """The kind of work that a host in the list does."""

    WORKER = "worker"
    RUNNER = "runner"


@frozen(kw_only=True, slots=True)
class Host:
    """One host in the list.

    :param id: name of the host, unique in the cell.
    :param address: ``ip:port`` of the host's agent (worker) or server (runner).
    :param kind: worker or runner.
    :param region: region of the host.
    :param failure_domain: failure domain of the host within the region.
    :param rack: rack of the host; empty for runners.
    :param service: service that a runner belongs to; empty for workers.
    :param leaving: whether the platform is about to remove the host.
    """

    id: str
    address: str
    kind: HostKind
    region: str
    failure_domain: str
    rack: str = ""
    service: str = ""
    leaving: bool = False


class HostList(Protocol):
    """The list of hosts, as it was last read."""

    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts of the last successful read, also while the list is unavailable."""
        ...

    async def changed(self) -> None:
        """Wait until the list has changed since the last call."""
        ...
