"""The dependencies shared by the partitions of a scheduler process."""

from __future__ import annotations

from attrs import frozen

from rhubarbferry.conf.settings import Settings
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.hosts import HostList
from rhubarbferry.ports.ownership import ConfigurationView, OwnershipView
from rhubarbferry.ports.store import Store
from rhubarbferry.rpc import Pool


@frozen(kw_only=True)
class Context:
    """Ports and views used by all partitions of one process.

    :param member_id: member id of this process.
    :param schedulers: connection pool for calls to other schedulers.
    :param guards: connection pool for calls to frontends in their role as guards.
    :param workers: connection pool for calls to workers.
    """

    member_id: str
    cfg: Settings
    clock: Clock
    store: Store
    ownership: OwnershipView
    hosts: HostList
    cell: ConfigurationView
    schedulers: Pool
    guards: Pool
    workers: Pool
