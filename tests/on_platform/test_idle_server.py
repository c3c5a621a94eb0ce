"""What a server does while nobody calls it."""

from __future__ import annotations

import asyncio

import pytest
import uvicorn

from rhubarbferry.serving.server import HttpServer

IDLE_S = 0.5


class Counting(HttpServer):
    """Counts how often it looks around."""

    ticks = 0

    async def on_tick(self, counter: int) -> bool:
        self.ticks += 1
        return await super().on_tick(counter)


@pytest.mark.parametrize("date_header", [False, True])
async def test_an_idle_server_does_not_wake_up_to_see_whether_to_stop(date_header):
    """Guards against idle processes that wake up ten times a second for each of their servers."""
    config = uvicorn.Config(
        None,
        port=0,
        lifespan="off",
        log_config=None,
        date_header=date_header,
    )
    server = Counting(config)
    serving = asyncio.create_task(server.serve())
    await asyncio.sleep(IDLE_S)
    assert server.ticks == 1
    server.stop()
    async with asyncio.timeout(IDLE_S):
        await serving
