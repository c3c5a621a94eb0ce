"""Settings of one process of a cell and of its environment."""

from __future__ import annotations

import math

from attrs import Factory, field, frozen
from attrs.validators import ge, gt, lt


@frozen(kw_only=True, slots=True)
class Bounds:
    """Time limits that the environment guarantees or requires, in seconds.

    :param grace_s: time between SIGTERM and SIGKILL.
    :param task_lease_s: longest lease that a host grants to a task.
    :param status_s: how long the phase of an ended job can be read.
    :param history_s: how long the store keeps the history of changes, for watches.
    """

    grace_s: float = 6.0
    task_lease_s: float = 6.0
    status_s: float = 120.0
    history_s: float = 20.0


@frozen(kw_only=True, slots=True)
class AdmissionSettings:
    """Section ``[admission]``: new jobs while the cell is full.

    :param refuse_when_full: whether a job is refused that can't end within three times its
        objective, because of the work of its own account.
    :param max_summary_age_s: seconds; with an older summary of the load no job is refused.
    """

    refuse_when_full: bool = False
    max_summary_age_s: float = 2.0


@frozen(kw_only=True, slots=True)
class ConnectionSettings:
    """Section ``[connections]``: connections that a process accepts.

    :param max_clients: limit of open connections of clients; 0 for an eighth of the descriptors.
    :param held_bytes: limit in bytes of what all connections hold for unanswered requests; 0 for an
        eighth of the memory of the process.
    :param write_timeout_s: seconds after which a connection is closed whose client reads nothing
        of a response.
    """

    max_clients: int = field(default=0, validator=ge(0))
    held_bytes: int = field(default=0, validator=ge(0))
    write_timeout_s: float = field(default=15.0, validator=[gt(0), lt(math.inf)])


@frozen(kw_only=True, slots=True)
class CellSettings:
    """Settings of one process.

    :param member: name of the process, unique in the cell.
    :param cores: processor cores that its host provides, 0 if unknown.
    :param link_mbps: bandwidth of its host's network link in Mbit/s, 0 if unknown.
    :param max_descriptors: file descriptors that the process may use, 0 if unknown.
    :param memory_bytes: memory that the process may use, 0 if unknown.
    """

    member: str
    region: str
    failure_domain: str
    cores: float = 0.0
    link_mbps: float = 0.0
    max_descriptors: int = 0
    memory_bytes: int = 0
    bounds: Bounds = Factory(Bounds)
    admission: AdmissionSettings = Factory(AdmissionSettings)
    connections: ConnectionSettings = Factory(ConnectionSettings)
