"""What a process of a cell must know about itself and its surroundings."""

from __future__ import annotations

from attrs import Factory, frozen


@frozen(kw_only=True, slots=True)
class Bounds:
    """Times that the surroundings promise or demand, in seconds.

    :param drain_s: after a host has said that it drains, until it must get no new task.
    :param grace_s: between SIGTERM and SIGKILL.
    :param config_apply_s: until a configuration must be in force.
    :param task_lease_s: longest lease that a host grants to what it runs.
    :param stop_s: longest time that a stopped task goes on.
    :param gang_gather_s: longest time that a member of a gang waits for the others.
    :param cancel_s: after a cancellation, until no task of the job may start.
    :param status_s: how long an ended job stays known.
    :param remote_slowdown: how many times as long work takes in another rack than its data.
    """

    drain_s: float = 2.5
    grace_s: float = 6.0
    config_apply_s: float = 2.5
    task_lease_s: float = 6.0
    stop_s: float = 1.0
    gang_gather_s: float = 3.0
    cancel_s: float = 3.0
    status_s: float = 120.0
    remote_slowdown: float = 1.0


@frozen(kw_only=True, slots=True)
class StoreRates:
    """What the store allows to the whole cell.

    :param min_lease_s: shortest lease that the store grants.
    """

    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    min_lease_s: float = 1.0


@frozen(kw_only=True, slots=True)
class CellSettings:
    """Settings of one process.

    :param member: its name, unique in the cell.
    """

    member: str
    region: str
    failure_domain: str
    bounds: Bounds = Factory(Bounds)
    rates: StoreRates = Factory(StoreRates)
