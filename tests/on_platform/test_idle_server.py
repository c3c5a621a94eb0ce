"""Tests for an HTTP server without requests."""

from __future__ import annotations

import asyncio

import pytest
import uvicorn

from rhubarbferry.serving.server import HttpServer

IDLE_S = 0.5


class CountingServer(HttpServer):
    """A server that counts its periodic checks."""

    ticks = 0

    async def on_tick(self, counter: int) -> bool:
        self.ticks += 1
        return await super().on_tick(counter)


@pytest.mark.parametrize("date_header", [False, True])
async def test_an_idle_server_does_not_poll(date_header):
    """Guards against idle processes that wake up ten times per second for each server."""
    config = uvicorn.Config(
        None,
        port=0,
        lifespan="off",
        log_config=None,
        date_header=date_header,
    )
    server = CountingServer(config)
    serve_task = asyncio.create_task(server.serve())
    await asyncio.sleep(IDLE_S)
    assert server.ticks == 1
    server.stop()
    async with asyncio.timeout(IDLE_S):
        await serve_task
