"""``apply``: put a configuration in force in the whole cell."""

from __future__ import annotations

import asyncio
import getpass
import secrets
from pathlib import Path

from rhubarbferry.coordination import configuration
from rhubarbferry.management.cell_access import DEFAULT_STORE, SettingsFile, StoreUrl, open_store
from rhubarbferry.management.exits import Exit
from rhubarbferry.ports.clock import SystemClock

WRITE_ID_BYTES = 8


def apply(
    file: Path,
    *,
    based_on: int | None = None,
    wait: bool = False,
    timeout_s: float = 30.0,
    author: str = "",
    store: StoreUrl = DEFAULT_STORE,
    config: SettingsFile = None,
) -> int:
    """Validate a configuration and store it; refuse if it has changed since ``--based-on``.

    :param file: file with the templates, client accounts and services of the cell.
    :param based_on: the revision that the file was edited from; the newest one by default.
    :param wait: return only when the configuration is in force in every live member.
    :param timeout_s: longest time to wait, in seconds.
    :param author: name recorded with the change.
    """
    text = file.read_text(encoding="utf-8")
    return asyncio.run(
        _apply(text, based_on, wait, timeout_s, author or getpass.getuser(), store, config)
    )


async def _apply(
    text: str,
    based_on: int | None,
    wait: bool,
    timeout_s: float,
    author: str,
    url: str,
    config: Path | None,
) -> int:
    clock = SystemClock()
    async with open_store(url=url, config=config) as store:
        if based_on is None:
            based_on = (await configuration.read(store)).record.revision
        applied = await configuration.apply(
            store,
            text=text,
            based_on=based_on,
            author=author,
            clock=clock,
            write_id=secrets.token_hex(WRITE_ID_BYTES),
        )
        print(f"revision {applied.revision} accepted")
        if applied.diff:
            print(applied.diff)
        if wait:
            await configuration.wait_in_force(
                store, revision=applied.revision, timeout_s=timeout_s, clock=clock
            )
            print(f"revision {applied.revision} in force in every member")
    return Exit.OK
