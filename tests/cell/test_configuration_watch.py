"""Retries and ordering of reads of the configuration from the store."""

from __future__ import annotations

import asyncio

import pytest
from attrs import Factory, define

from rhubarbferry.cell.configuration_watch import RETRY_INTERVAL_S, ConfigurationWatcher
from rhubarbferry.cell.routes import RouteTable
from rhubarbferry.ports.store import KeyValue, Listing, StoreUnavailable
from rhubarbferry.test.fake_clock import FakeClock

from .fakes import FakeEventLog

KEY = "configuration"


@define
class FailingStore:
    """A store whose calls fail after a given time."""

    clock: FakeClock
    call_duration_s: float
    called_at: list[float] = Factory(list)

    async def list(self, prefix: str) -> Listing:
        self.called_at.append(self.clock.monotonic())
        self.clock.jump(self.call_duration_s)
        raise StoreUnavailable("no answer")


def configuration_watcher(clock: FakeClock, store) -> ConfigurationWatcher:
    return ConfigurationWatcher(
        clock=clock,
        store=store,
        log=FakeEventLog(),
        key=KEY,
        decode=lambda value, revision: RouteTable(version=int(value), revision=revision, routes=()),
        history_s=60.0,
    )


@pytest.mark.parametrize(
    ("call_duration_s", "interval_s"),
    [(0.0, RETRY_INTERVAL_S), (RETRY_INTERVAL_S / 2, RETRY_INTERVAL_S), (3.0, 3.0)],
)
async def test_retry_interval_includes_the_duration_of_the_failed_call(call_duration_s, interval_s):
    """Guards against an extra delay before a new configuration is read."""
    clock = FakeClock()
    store = FailingStore(clock, call_duration_s)
    task = asyncio.create_task(configuration_watcher(clock, store).run())
    # The first call advances the clock by its duration before the retry delay begins.
    await clock.advance(interval_s)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert store.called_at[1] - store.called_at[0] == pytest.approx(interval_s)


class ReorderedAnswersStore:
    """A store whose second answer has an older revision than its first."""

    def __init__(self) -> None:
        self.revisions = [7, 5]

    async def list(self, prefix: str) -> Listing:
        revision = self.revisions.pop(0)
        value = KeyValue(key=KEY, value=b"%d" % revision, mod_revision=revision, create_revision=1)
        return Listing(revision=revision, items=(value,))


async def test_answer_with_an_older_revision_is_ignored():
    """Guards against a return to an older configuration."""
    watcher = configuration_watcher(FakeClock(), ReorderedAnswersStore())
    for _ in range(2):
        watcher._watcher._known_revision = None
        watcher._apply(await watcher._watcher.next(1.0))
    assert watcher.routes.version == 7
