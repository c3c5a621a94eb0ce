"""What all tests share: the list of known failures, and a store in the platform's form.

The tests that KNOWN-RED.txt lists run and are shown, and don't fail the run.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from rhubarbferry.platform.store import PlatformStore
from rhubarbferry.test.platform_store import PlatformStoreStandIn
from rhubarbferry.test.serving import serving

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the listed tests with what the list says of each."""
    if not KNOWN_RED.exists():
        return {}
    lines = (line.partition(": ") for line in KNOWN_RED.read_text().splitlines())
    return {test.strip(): about for test, _, about in lines if test.strip()}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=False))


@pytest.fixture
async def stand_in():
    """A stand-in of the platform's store, to be troubled."""
    return PlatformStoreStandIn()


@pytest.fixture
async def store(stand_in):
    """A client of that stand-in over loopback."""
    async with serving(stand_in.app()) as address:
        client = PlatformStore(address=address)
        yield client
        await client.close()
