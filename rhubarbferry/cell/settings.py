"""What a process of a cell must know about itself and its surroundings."""

from __future__ import annotations

from attrs import Factory, frozen


@frozen(kw_only=True, slots=True)
class Bounds:
    """Times that the surroundings promise or demand, in seconds.

    :param grace_s: between SIGTERM and SIGKILL.
    :param task_lease_s: longest lease that a host grants to what it runs.
    :param status_s: how long an ended job stays known.
    :param history_s: how long the store keeps what has happened, for watches.
    """

    grace_s: float = 6.0
    task_lease_s: float = 6.0
    status_s: float = 120.0
    history_s: float = 20.0


@frozen(kw_only=True, slots=True)
class CellSettings:
    """Settings of one process.

    :param member: its name, unique in the cell.
    :param cores: processor that its host gives it, 0 where it is not known.
    :param link_mbps: bandwidth of its host's link, 0 where it is not known.
    """

    member: str
    region: str
    failure_domain: str
    cores: float = 0.0
    link_mbps: float = 0.0
    bounds: Bounds = Factory(Bounds)
