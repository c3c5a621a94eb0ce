"""Changes under a prefix, including changes that a watch does not deliver."""

from __future__ import annotations

import pytest

from rhubarbferry.cell.prefix_watch import RELIST_HISTORY_SHARE, PrefixWatcher
from rhubarbferry.ports.clock import Clock, SystemClock
from rhubarbferry.ports.store import Changes, Listing
from rhubarbferry.test.fake_clock import FakeClock

from .fakes import FakeEventLog

WAIT_S = 0.05
# History that the platform's store keeps, and the time for a listing over a slow link.
HISTORY_S = 20.0
LONGEST_LISTING_S = 5.0
JUST_BEFORE_S = 0.001


def prefix_watcher(
    store, *, history_s: float = HISTORY_S, clock: Clock | None = None
) -> PrefixWatcher:
    return PrefixWatcher(
        clock=clock or SystemClock(),
        store=store,
        log=FakeEventLog(),
        prefix="op/",
        history_s=history_s,
    )


async def test_listing_is_followed_by_changes(store, stand_in):
    stand_in.put("op/a", 1)
    watcher = prefix_watcher(store)
    first = await watcher.next(WAIT_S)
    assert isinstance(first, Listing)
    stand_in.put("op/b", 2)
    second = await watcher.next(WAIT_S)
    assert isinstance(second, Changes)
    assert [event.kv.key for event in second.events] == ["op/b"]
    assert stand_in.calls == {"range": 1, "watch": 1}


@pytest.mark.parametrize("history_kept", [True, False])
async def test_change_missed_by_a_watch_is_returned_later(store, stand_in, history_kept):
    """Guards against a change lost permanently after a watch that did not deliver it."""
    watcher = prefix_watcher(store)
    await watcher.next(WAIT_S)
    stand_in.faults.deaf = True
    stand_in.put("op/config", 1)
    assert (await watcher.next(WAIT_S)).events == ()
    stand_in.faults.deaf = False
    stand_in.faults.no_history = not history_kept
    after = await watcher.next(WAIT_S)
    stand_in.faults.no_history = False
    keys = [item.key for item in getattr(after, "items", ())]
    keys += [event.kv.key for event in getattr(after, "events", ())]
    assert keys == ["op/config"]


async def test_unchanged_prefix_is_listed_before_its_history_is_dropped(store):
    """Guards against a watch that is refused each time because nothing has changed for long."""
    clock = FakeClock()
    watcher = prefix_watcher(store, history_s=HISTORY_S, clock=clock)
    due_s = HISTORY_S * RELIST_HISTORY_SHARE
    for _ in range(2):
        assert isinstance(await watcher.next(WAIT_S), Listing)
        assert isinstance(await watcher.next(WAIT_S), Changes)
        clock.jump(due_s - JUST_BEFORE_S)
        assert isinstance(await watcher.next(WAIT_S), Changes)
        clock.jump(JUST_BEFORE_S)


def test_a_listing_is_due_well_before_the_history_is_dropped():
    """Guards against a listing that is due so late that its call would not end in time."""
    assert HISTORY_S * (1 - RELIST_HISTORY_SHARE) >= LONGEST_LISTING_S
