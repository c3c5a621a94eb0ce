"""``get``: print the configuration of the cell."""

from __future__ import annotations

import asyncio
from pathlib import Path

from rhubarbferry.coordination import configuration
from rhubarbferry.management.cell_access import DEFAULT_STORE, SettingsFile, StoreUrl, open_store
from rhubarbferry.management.exits import Exit
from rhubarbferry.management.output import Format, print_record


def get(
    *,
    format: Format = "table",
    store: StoreUrl = DEFAULT_STORE,
    config: SettingsFile = None,
) -> int:
    """Print the accepted configuration, preceded by its revision and author as a comment."""
    return asyncio.run(_get(format, store, config))


async def _get(format: Format, url: str, config: Path | None) -> int:
    async with open_store(url=url, config=config) as store:
        record = (await configuration.read(store)).record
    if format == "json":
        print_record(record, format=format)
    else:
        print(f"# revision {record.revision} by {record.author or 'nobody'}")
        print(record.text, end="")
    return Exit.OK
