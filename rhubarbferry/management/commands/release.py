"""``release``: empty a region's guard set so that its live frontends can form a new one."""

from __future__ import annotations

import asyncio
import secrets
import sys
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from rhubarbferry.coordination.mirror import CellState
from rhubarbferry.coordination.release import NoTable, ReleaseRace, release_guards
from rhubarbferry.core.guards import NO_GUARDS
from rhubarbferry.management.cell_access import (
    DEFAULT_STORE,
    SettingsFile,
    StoreUrl,
    open_store,
    read_cell,
)
from rhubarbferry.management.exits import Exit
from rhubarbferry.ports.ownership import Role

WRITER_ID_BYTES = 8
CONDITIONS = """\
Safe only when no scheduler that has owned runners of region {region} still runs without access to
the store. Otherwise two owners might grant the same slot, and two requests would run in it.
  1. {ended} of its {all} guards are not live: {names}.
  2. Make sure that the process of every scheduler that `rhubarbferry status` does not show, and
     that may have owned runner/{region}/..., has ended. A lost connection is not enough.
  3. Then run the command again with --force."""


def release(
    region: str,
    *,
    force: Annotated[bool, Parameter(negative="")] = False,
    store: StoreUrl = DEFAULT_STORE,
    config: SettingsFile = None,
) -> int:
    """Release a region's runner partitions from guards that are known to have ended.

    :param region: region whose guard set is replaced by its live frontends.
    :param force: release the guards; without it, only print the conditions for a safe release.
    """
    return asyncio.run(_release(region, force, store, config))


async def _release(region: str, force: bool, url: str, config: Path | None) -> int:
    async with open_store(url=url, config=config) as store:
        state = await read_cell(store)
        if region not in state.table.guards:
            regions = ", ".join(sorted(state.table.guards)) or "none yet"
            return _refuse(f"region {region!r} has no guard set; there are: {regions}")
        if not force:
            return _refuse(_describe_conditions(state, region))
        try:
            version = await release_guards(
                store, region=region, writer_id=f"release-{secrets.token_hex(WRITER_ID_BYTES)}"
            )
        except (NoTable, ReleaseRace) as exc:
            return _refuse(f"{type(exc).__name__}: {exc}")
    print(f"guard set {version} of region {region} is empty; the live frontends form the next one")
    return Exit.OK


def _describe_conditions(state: CellState, region: str) -> str:
    guards = state.table.guards.get(region, NO_GUARDS).guards
    live = {member.id for member in state.members.values() if member.role is Role.FRONTEND}
    ended = sorted(guard.id for guard in guards if guard.id not in live)
    names = ", ".join(ended) or "none, so a release is not needed"
    return CONDITIONS.format(region=region, ended=len(ended), all=len(guards), names=names)


def _refuse(message: str) -> int:
    print(message, file=sys.stderr)
    return Exit.REFUSED
