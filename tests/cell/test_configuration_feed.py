"""When a process asks the store again for a configuration that it could not read."""

from __future__ import annotations

import asyncio

import pytest
from attrs import Factory, define

from rhubarbferry.cell.configuration import RETRY_S, ConfigurationFeed
from rhubarbferry.cell.routes import RouteTable
from rhubarbferry.ports.store import KeyValue, Listing, StoreUnavailable
from rhubarbferry.test.fake_clock import FakeClock

from .parts import Lines

KEY = "configuration"


@define
class FailingStore:
    """A store whose calls take some time and then fail."""

    clock: FakeClock
    took_s: float
    asked_at: list[float] = Factory(list)

    async def list(self, prefix: str) -> Listing:
        self.asked_at.append(self.clock.monotonic())
        self.clock.jump(self.took_s)
        raise StoreUnavailable("no answer")


def feed(clock: FakeClock, store) -> ConfigurationFeed:
    return ConfigurationFeed(
        clock=clock,
        store=store,
        log=Lines(),
        key=KEY,
        decode=lambda value, revision: RouteTable(version=int(value), revision=revision, routes=()),
        history_s=60.0,
    )


@pytest.mark.parametrize(
    ("took_s", "interval_s"), [(0.0, RETRY_S), (RETRY_S / 2, RETRY_S), (3.0, 3.0)]
)
async def test_a_call_that_failed_slowly_is_followed_by_the_next_at_once(took_s, interval_s):
    """Guards against a part of the time for a configuration that is spent asleep."""
    clock = FakeClock()
    store = FailingStore(clock, took_s)
    task = asyncio.create_task(feed(clock, store).run())
    # The clock has gone on by the first call when it advances by the rest of the interval.
    await clock.advance(interval_s)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert store.asked_at[1] - store.asked_at[0] == pytest.approx(interval_s)


class OldAnswerStore:
    """A store whose second answer is older than its first."""

    def __init__(self) -> None:
        self.revisions = [7, 5]

    async def list(self, prefix: str) -> Listing:
        revision = self.revisions.pop(0)
        value = KeyValue(key=KEY, value=b"%d" % revision, mod_revision=revision, create_revision=1)
        return Listing(revision=revision, items=(value,))


async def test_an_older_answer_does_not_undo_a_configuration():
    """Guards against a configuration in force that goes back."""
    found = feed(FakeClock(), OldAnswerStore())
    for _ in range(2):
        found._follower._known = None
        found._take(await found._follower.next(1.0))
    assert found.routes.version == 7
