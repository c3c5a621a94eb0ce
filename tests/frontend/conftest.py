from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import attrs
import pytest
from frontend_harness import CFG, FrontendHarness, build_harness

from rhubarbferry.rpc import Server


@pytest.fixture
async def make_harness() -> AsyncIterator[Callable[..., Awaitable[FrontendHarness]]]:
    started: list[tuple[FrontendHarness, Server]] = []

    async def make(region: str = "a", **requests: Any) -> FrontendHarness:
        cfg = attrs.evolve(
            CFG,
            process=attrs.evolve(CFG.process, region=region),
            requests=attrs.evolve(CFG.requests, **requests),
        )
        started.append(await build_harness(cfg))
        return started[-1][0]

    yield make
    for harness, rpc in started:
        await harness.close()
        await rpc.close()


@pytest.fixture
async def harness(make_harness) -> FrontendHarness:
    return await make_harness()
