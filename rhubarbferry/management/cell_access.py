"""Access to a cell from the command line, through its store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from rhubarbferry.adapters.etcd import EtcdStore
from rhubarbferry.conf import require_settings
from rhubarbferry.conf.settings import StoreSettings
from rhubarbferry.coordination.keys import CELL_PREFIX
from rhubarbferry.coordination.mirror import CellState, decode_state
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.ownership import Member, Role
from rhubarbferry.ports.store import Store

COMMAND_TIMEOUT_S = 5.0
DEFAULT_STORE = StoreSettings().url

StoreUrl = Annotated[str, Parameter(help="Address of the platform's key-value service.")]
SettingsFile = Annotated[
    Path | None,
    Parameter(help="Settings file of any process of the cell, used in place of --store."),
]


class NoFrontend(OSError):
    """No live frontend is registered. Start one; ``rhubarbferry status`` lists the members."""


@asynccontextmanager
async def open_store(*, url: str, config: Path | None) -> AsyncIterator[Store]:
    """Open the store of a cell and close it on exit.

    :param url: address of the store.
    :param config: settings file to read the store's settings from, in place of ``url``.
    """
    cfg = StoreSettings(url=url) if config is None else require_settings(config).store
    store = EtcdStore(
        url=cfg.url, prefix=cfg.prefix, clock=SystemClock(), timeout_s=COMMAND_TIMEOUT_S
    )
    try:
        yield store
    finally:
        await store.close()


async def read_cell(store: Store) -> CellState:
    """Return members, ownership and configuration as stored."""
    listing = await store.list(CELL_PREFIX)
    return decode_state(listing.items)


def find_frontend(state: CellState) -> Member:
    """Return a frontend that is not draining.

    :raises NoFrontend: when there is none.
    """
    for member in state.members.values():
        if member.role is Role.FRONTEND and member.http_address and not member.draining:
            return member
    raise NoFrontend("no live frontend is registered; start one and check rhubarbferry status")
