"""``explain``: print what a job waits for."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from rhubarbferry.management.cell_access import (
    COMMAND_TIMEOUT_S,
    DEFAULT_STORE,
    SettingsFile,
    StoreUrl,
    find_frontend,
    open_store,
    read_cell,
)
from rhubarbferry.management.exits import Exit
from rhubarbferry.management.output import Format


def explain(
    job: str,
    *,
    format: Format = "table",
    store: StoreUrl = DEFAULT_STORE,
    config: SettingsFile = None,
) -> int:
    """Print which constraint prevents the tasks of a job from starting.

    :param job: job id that the submission returned.
    """
    return asyncio.run(_explain(job, format, store, config))


async def _explain(job: str, format: Format, url: str, config: Path | None) -> int:
    import aiohttp

    async with open_store(url=url, config=config) as store:
        state = await read_cell(store)
    address = find_frontend(state).http_address
    timeout = aiohttp.ClientTimeout(total=COMMAND_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(f"http://{address}/v1/jobs/{job}/explain") as response,
    ):
        body = await response.json(content_type=None)
        ok = response.ok
    if format == "json" or not ok:
        print(json.dumps(body))
    else:
        for line in body.get("explanation", ()):
            print(line)
    return Exit.OK if ok else Exit.FAILED
