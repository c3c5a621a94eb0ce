"""Configurations whose transfer takes seconds on a slow network link."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from attrs import define

from rhubarbferry.cell.configuration_watch import ConfigurationWatcher
from rhubarbferry.platform.configuration import CONFIGURATION_KEY, decode_configuration
from rhubarbferry.platform.store import PlatformStore
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.test.platform_store import PlatformStoreStandIn
from rhubarbferry.test.relay import Link, Mode, Relay, Scope
from rhubarbferry.test.serving import serving

from .cell_harness import configuration
from .fakes import FakeEventLog

# Time limit from the write of a configuration until it is in force in every process.
IN_FORCE_LIMIT_S = 4.0
# Padding for a configuration of 1 MB on the wire, and the time of its transfer on the slow link.
PADDING = "x" * 750_000
TRANSFER_S = 2.5
LINK_BYTES_PER_S = 1_000_000 / TRANSFER_S
POLL_INTERVAL_S = 0.01
HISTORY_S = 60.0


@define
class SlowHost:
    """A configuration watcher behind a slow link to the store."""

    stand_in: PlatformStoreStandIn
    link: Link
    watcher: ConfigurationWatcher
    lines: FakeEventLog

    def write(self, version: int, *, padding: str = PADDING) -> None:
        self.stand_in.put(CONFIGURATION_KEY, configuration(version) | {"padding": padding})

    async def until(self, condition, limit_s: float) -> float:
        """Wait for a condition and return the seconds that it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.timeout(limit_s):
            while not condition():  # noqa: ASYNC110 - the condition may depend on any state
                await asyncio.sleep(POLL_INTERVAL_S)
        return loop.time() - started_at

    async def until_in_force(self, version: int, limit_s: float = 20.0) -> float:
        watcher = self.watcher
        return await self.until(
            lambda: watcher.routes is not None and watcher.routes.version >= version, limit_s
        )

    async def until_next_watch(self) -> None:
        before = self.calls("watch")
        await self.until(lambda: self.calls("watch") > before, 20.0)

    def calls(self, call: str) -> int:
        return self.stand_in.calls.get(call, 0)


@asynccontextmanager
async def slow_host(stand_in: PlatformStoreStandIn):
    lines = FakeEventLog()
    relay = Relay()
    async with serving(stand_in.app()) as address:
        link = await relay.open(address)
        link.set(Mode.PASS, bytes_per_s=LINK_BYTES_PER_S)
        store = PlatformStore(address=link.address)
        watcher = ConfigurationWatcher(
            clock=SystemClock(),
            store=store,
            log=lines,
            key=CONFIGURATION_KEY,
            decode=lambda value, revision: decode_configuration(value, revision=revision),
            history_s=HISTORY_S,
        )
        task = asyncio.create_task(watcher.run())
        try:
            yield SlowHost(stand_in=stand_in, link=link, watcher=watcher, lines=lines)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await store.close()
            await relay.close()


async def test_first_configuration_may_exceed_the_usual_timeout(stand_in):
    """Guards against a listing that is cut off by a timeout and retried forever."""
    stand_in.put(CONFIGURATION_KEY, configuration(1) | {"padding": PADDING})
    async with slow_host(stand_in) as host:
        await host.until_in_force(1, 2 * TRANSFER_S)
        assert host.calls("range") == 1


@pytest.mark.parametrize("waited_s", [0.2, 1.0, 2.0])
async def test_transfer_in_progress_is_not_cut_off_when_its_watch_ends(stand_in, waited_s):
    """Guards against a configuration that is transferred twice and comes into force late."""
    async with slow_host(stand_in) as host:
        host.write(1, padding="")
        await host.until_in_force(1)
        await host.until_next_watch()
        await asyncio.sleep(waited_s)
        host.write(2)
        assert await host.until_in_force(2) < IN_FORCE_LIMIT_S
        assert host.calls("range") == 1
        assert "configuration.not_read" not in [event for event, _ in host.lines.events]


async def test_versions_written_faster_than_they_are_read_are_skipped(stand_in):
    """Guards against a process that reads every version of a burst and never catches up."""
    async with slow_host(stand_in) as host:
        host.write(1, padding="")
        await host.until_in_force(1)
        await host.until_next_watch()
        for version in range(2, 7):
            host.write(version)
            await asyncio.sleep(0.4)
        # Two transfers: the one in progress when the last version is written, then that version.
        assert await host.until_in_force(6) < 2 * TRANSFER_S
        assert host.calls("range") == 1


async def test_change_on_a_silent_connection_is_in_force_in_time(stand_in):
    """Guards against a dead watch connection that is detected later than the time limit."""
    async with slow_host(stand_in) as host:
        host.write(1, padding="")
        await host.until_in_force(1)
        await host.until_next_watch()
        host.link.set(Mode.SILENT, scope=Scope.EXISTING)
        host.write(2, padding="")
        assert await host.until_in_force(2) < IN_FORCE_LIMIT_S
        assert host.calls("range") == 1


async def test_log_line_describes_how_the_configuration_was_read(stand_in):
    async with slow_host(stand_in) as host:
        host.write(1, padding="")
        await host.until_in_force(1)
        await host.until_next_watch()
        host.write(2)
        await host.until_in_force(2)
    events = [fields for event, fields in host.lines.events if event == "configuration.in_force"]
    assert [fields["version"] for fields in events] == [1, 2]
    assert events[1]["value_bytes"] > len(PADDING)
    assert 0.8 * TRANSFER_S < events[1]["transfer_s"] < 1.5 * TRANSFER_S
