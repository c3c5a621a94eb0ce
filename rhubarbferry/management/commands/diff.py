"""``diff``: compare a file with the configuration in force."""

from __future__ import annotations

import asyncio
from pathlib import Path

from rhubarbferry.coordination import configuration
from rhubarbferry.management.cell_access import DEFAULT_STORE, SettingsFile, StoreUrl, open_store
from rhubarbferry.management.exits import Exit


def diff(file: Path, *, store: StoreUrl = DEFAULT_STORE, config: SettingsFile = None) -> int:
    """Print the changes that applying the file would make; exit with 1 if there are any."""
    return asyncio.run(_diff(file.read_text(encoding="utf-8"), store, config))


async def _diff(text: str, url: str, config: Path | None) -> int:
    async with open_store(url=url, config=config) as store:
        stored = await configuration.read(store)
    changes = configuration.diff(stored.record.text, text)
    if changes:
        print(changes)
        return Exit.FAILED
    return Exit.OK
