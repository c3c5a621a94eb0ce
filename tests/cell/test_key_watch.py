"""Watching one key without transferring a known value again."""

from __future__ import annotations

import pytest

from rhubarbferry.cell.key_watch import KeyWatcher, Source
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import StoreError
from rhubarbferry.test.store_engine import Delete

from .fakes import FakeEventLog

WAIT_S = 0.05
KEY = "op/config"


def key_watcher(store, *, history_s: float = 60.0) -> KeyWatcher:
    return KeyWatcher(
        clock=SystemClock(), store=store, log=FakeEventLog(), key=KEY, history_s=history_s
    )


async def test_key_is_listed_once_and_then_watched(store, stand_in):
    stand_in.put(KEY, 1)
    watcher = key_watcher(store)
    first = await watcher.next(WAIT_S)
    assert (first.item.value, first.source) == (b"1", Source.LISTING)
    assert await watcher.next(WAIT_S) is None
    stand_in.put(KEY, 2)
    second = await watcher.next(WAIT_S)
    assert (second.item.value, second.source) == (b"2", Source.WATCH)
    assert stand_in.calls == {"range": 1, "watch": 2}


async def test_key_created_later_is_returned(store, stand_in):
    watcher = key_watcher(store, history_s=0.0)
    assert await watcher.next(WAIT_S) is None
    assert await watcher.next(WAIT_S) is None
    stand_in.put(KEY, 1)
    assert (await watcher.next(WAIT_S)).item.value == b"1"


async def test_other_keys_with_the_same_prefix_are_ignored(store, stand_in):
    stand_in.put(KEY + "-other", 0)
    watcher = key_watcher(store)
    assert await watcher.next(WAIT_S) is None
    stand_in.put(KEY, 1)
    stand_in.put(KEY + "-other", 2)
    assert (await watcher.next(WAIT_S)).item.value == b"1"


async def test_unchanged_value_is_not_transferred_again(store, stand_in):
    """Guards against repeated transfers of a large unchanged value over a slow link."""
    stand_in.put(KEY, 1)
    watcher = key_watcher(store, history_s=0.0)
    assert await watcher.next(WAIT_S) is not None
    for _ in range(3):
        assert await watcher.next(WAIT_S) is None
    assert stand_in.calls == {"range": 1, "txn": 3}
    assert stand_in.keys("") == [KEY]


@pytest.mark.parametrize("deleted_first", [False, True])
async def test_comparison_returns_only_the_newest_value(store, stand_in, deleted_first):
    stand_in.put(KEY, 1)
    watcher = key_watcher(store)
    await watcher.next(WAIT_S)
    if deleted_first:
        stand_in.remove(KEY)
        watcher.compare_next()
        assert await watcher.next(WAIT_S) is None
    stand_in.put(KEY, 2)
    stand_in.put(KEY, 3)
    watcher.compare_next()
    version = await watcher.next(WAIT_S)
    assert (version.item.value, version.source) == (b"3", Source.COMPARISON)
    assert await watcher.next(WAIT_S) is None


@pytest.mark.parametrize("history_kept", [True, False])
async def test_change_missed_by_a_watch_is_returned_later(store, stand_in, history_kept):
    """Guards against a change lost permanently after a watch that did not deliver it."""
    stand_in.put(KEY, 1)
    watcher = key_watcher(store)
    await watcher.next(WAIT_S)
    stand_in.faults.deaf = True
    stand_in.put(KEY, 2)
    assert await watcher.next(WAIT_S) is None
    stand_in.faults.deaf = False
    stand_in.faults.no_history = not history_kept
    assert (await watcher.next(WAIT_S)).item.value == b"2"
    assert stand_in.calls["range"] == 1


async def test_refused_comparison_is_replaced_by_a_listing(store, stand_in):
    """Guards against an outdated value when the store refuses transactions without writes."""
    stand_in.put(KEY, 1)
    watcher = key_watcher(store, history_s=0.0)
    await watcher.next(WAIT_S)
    stand_in.put(KEY, 2)
    stand_in.faults.no_bare_conditions = True
    version = await watcher.next(WAIT_S)
    assert (version.item.value, version.source) == (b"2", Source.LISTING)


async def test_listing_in_place_of_a_comparison_returns_no_known_value(store, stand_in):
    """Guards against a known value that is reported as new after each listing."""
    stand_in.put(KEY, 1)
    watcher = key_watcher(store, history_s=0.0)
    await watcher.next(WAIT_S)
    stand_in.faults.no_bare_conditions = True
    assert await watcher.next(WAIT_S) is None


@pytest.mark.parametrize("call", ["listing", "comparison", "watch"])
async def test_failed_call_loses_no_change(store, stand_in, call):
    """Guards against a change that is lost because the call that would return it failed."""
    stand_in.put(KEY, 1)
    watcher = key_watcher(store)
    if call != "listing":
        await watcher.next(WAIT_S)
        stand_in.put(KEY, 2)
    if call == "comparison":
        watcher.compare_next()
    stand_in.faults.down = True
    with pytest.raises(StoreError):
        await watcher.next(WAIT_S)
    stand_in.faults.down = False
    assert (await watcher.next(WAIT_S)).item.value == (b"1" if call == "listing" else b"2")


@pytest.mark.parametrize("compared", [True, False])
async def test_value_that_was_deleted_again_is_not_returned(store, stand_in, compared):
    """Guards against a deleted value that comes into force, and is then compared in vain."""
    stand_in.put(KEY, 1)
    watcher = key_watcher(store)
    await watcher.next(WAIT_S)
    stand_in.put(KEY, 2)
    stand_in.engine.txn([], [Delete(key=KEY)])
    if compared:
        watcher.compare_next()
        assert await watcher.next(WAIT_S) is None
    assert await watcher.next(WAIT_S) is None
    stand_in.put(KEY, 3)
    assert (await watcher.next(WAIT_S)).item.value == b"3"
