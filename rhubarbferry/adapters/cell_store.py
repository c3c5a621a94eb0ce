"""The store of a cell, limited to a daemon's share of the store's call rate."""

from __future__ import annotations

from attrs import frozen

from rhubarbferry.adapters.etcd import EtcdStore
from rhubarbferry.conf.settings import StoreSettings
from rhubarbferry.coordination.budget import SharedBudget
from rhubarbferry.ports.clock import Clock


@frozen(kw_only=True)
class CellStore:
    """A store client and the call budget that limits it."""

    store: EtcdStore
    budget: SharedBudget


def open_cell_store(*, cfg: StoreSettings, clock: Clock) -> CellStore:
    """Return the store client that ``cfg`` describes; no call is made yet."""
    budget = SharedBudget(clock=clock, writes_per_s=cfg.writes_per_s, reads_per_s=cfg.reads_per_s)
    store = EtcdStore(
        url=cfg.url, prefix=cfg.prefix, clock=clock, timeout_s=cfg.timeout_s, budget=budget
    )
    return CellStore(store=store, budget=budget)
