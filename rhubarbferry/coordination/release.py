"""Manual release of a region's guard set, for when its guards are permanently lost."""

from __future__ import annotations

from attrs import evolve

from rhubarbferry.coordination.keys import OWNERSHIP_KEY
from rhubarbferry.coordination.records import TableRecord, decode
from rhubarbferry.coordination.table import TableWriter
from rhubarbferry.core.guards import NO_GUARDS
from rhubarbferry.ports.store import Store


class NoTable(Exception):
    """There is no ownership table yet. Start a scheduler first."""


class ReleaseRace(Exception):
    """The table was changed concurrently; nothing was done. Retry."""


async def release_guards(store: Store, *, region: str, writer_id: str) -> int:
    """Empty the guard set of a region, so that its live frontends form a new one immediately.

    This is safe only when no scheduler that owned a runner partition of the region is still
    running without access to the store. Otherwise two owners could grant the same slots.

    :param writer_id: identifies the author of the change; unique for each call.
    :returns: the version of the empty set.
    :raises NoTable: when there is no ownership table.
    :raises ReleaseRace: when the table was changed concurrently.
    """
    kv = await store.get(OWNERSHIP_KEY)
    if kv is None:
        raise NoTable("there is no ownership table; start a scheduler first")
    table = decode(OWNERSHIP_KEY, kv.value, TableRecord).table
    old = table.guards.get(region, NO_GUARDS)
    empty = evolve(old, version=old.version + 1, guards=(), closing=False)
    released = evolve(table, guards={**table.guards, region: empty})
    writer = TableWriter(store=store, writer_id=writer_id)
    if not await writer.write(released, based_on=kv.mod_revision):
        raise ReleaseRace("the ownership table was changed concurrently; try again")
    return empty.version
