"""A store in the platform's form, and a client of it."""

from __future__ import annotations

import pytest

from rhubarbferry.platform.store import PlatformStore
from rhubarbferry.test.platform_store import PlatformStoreStandIn
from rhubarbferry.test.serving import serving


@pytest.fixture
async def stand_in():
    return PlatformStoreStandIn()


@pytest.fixture
async def store(stand_in):
    async with serving(stand_in.app()) as address:
        client = PlatformStore(address=address)
        yield client
        await client.close()
