"""A key of the store that is followed without reading a known value again."""

from __future__ import annotations

import pytest

from rhubarbferry.cell.key_following import KeyFollower, Source
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import StoreError

from .parts import Lines

WAIT_S = 0.05
KEY = "op/config"


def follower(store, *, history_s: float = 60.0) -> KeyFollower:
    return KeyFollower(clock=SystemClock(), store=store, log=Lines(), key=KEY, history_s=history_s)


async def test_a_key_is_listed_once_and_then_watched(store, stand_in):
    stand_in.put(KEY, 1)
    found = follower(store)
    first = await found.next(WAIT_S)
    assert (first.item.value, first.source) == (b"1", Source.LISTING)
    assert await found.next(WAIT_S) is None
    stand_in.put(KEY, 2)
    second = await found.next(WAIT_S)
    assert (second.item.value, second.source) == (b"2", Source.WATCH)
    assert stand_in.calls == {"range": 1, "watch": 2}


async def test_a_key_that_does_not_exist_yet_is_found_when_it_is_written(store, stand_in):
    found = follower(store, history_s=0.0)
    assert await found.next(WAIT_S) is None
    assert await found.next(WAIT_S) is None
    stand_in.put(KEY, 1)
    assert (await found.next(WAIT_S)).item.value == b"1"


async def test_other_keys_under_the_same_prefix_are_not_taken_for_it(store, stand_in):
    stand_in.put(KEY + "-other", 0)
    found = follower(store)
    assert await found.next(WAIT_S) is None
    stand_in.put(KEY, 1)
    stand_in.put(KEY + "-other", 2)
    assert (await found.next(WAIT_S)).item.value == b"1"


async def test_an_unchanged_value_is_not_read_again_as_history_passes(store, stand_in):
    """Guards against a large value that fills a slow link again and again unchanged."""
    stand_in.put(KEY, 1)
    found = follower(store, history_s=0.0)
    assert await found.next(WAIT_S) is not None
    for _ in range(3):
        assert await found.next(WAIT_S) is None
    assert stand_in.calls == {"range": 1, "txn": 3}
    assert stand_in.keys("") == [KEY]


@pytest.mark.parametrize("deleted_first", [False, True])
async def test_a_comparison_shows_the_newest_value_only(store, stand_in, deleted_first):
    stand_in.put(KEY, 1)
    found = follower(store)
    await found.next(WAIT_S)
    if deleted_first:
        stand_in.remove(KEY)
        found.compare_next()
        assert await found.next(WAIT_S) is None
    stand_in.put(KEY, 2)
    stand_in.put(KEY, 3)
    found.compare_next()
    version = await found.next(WAIT_S)
    assert (version.item.value, version.source) == (b"3", Source.COMPARISON)
    assert await found.next(WAIT_S) is None


@pytest.mark.parametrize("history_kept", [True, False])
async def test_a_change_that_a_deaf_watch_has_missed_is_found(store, stand_in, history_kept):
    """Guards against an old configuration for good after a watch that showed no change."""
    stand_in.put(KEY, 1)
    found = follower(store)
    await found.next(WAIT_S)
    stand_in.trouble.deaf = True
    stand_in.put(KEY, 2)
    assert await found.next(WAIT_S) is None
    stand_in.trouble.deaf = False
    stand_in.trouble.no_history = not history_kept
    assert (await found.next(WAIT_S)).item.value == b"2"
    assert stand_in.calls["range"] == 1


async def test_a_store_that_refuses_the_comparison_is_asked_for_the_value(store, stand_in):
    """Guards against a configuration that stays old where conditions alone are refused."""
    stand_in.put(KEY, 1)
    found = follower(store, history_s=0.0)
    await found.next(WAIT_S)
    stand_in.put(KEY, 2)
    stand_in.trouble.no_bare_conditions = True
    version = await found.next(WAIT_S)
    assert (version.item.value, version.source) == (b"2", Source.LISTING)


async def test_a_listing_in_place_of_a_comparison_shows_no_known_value(store, stand_in):
    """Guards against a known value that is read again without end over a slow link."""
    stand_in.put(KEY, 1)
    found = follower(store, history_s=0.0)
    await found.next(WAIT_S)
    stand_in.trouble.no_bare_conditions = True
    assert await found.next(WAIT_S) is None


@pytest.mark.parametrize("call", ["listing", "comparison", "watch"])
async def test_a_failed_call_loses_no_change(store, stand_in, call):
    """Guards against a change that is skipped because the call that showed it failed."""
    stand_in.put(KEY, 1)
    found = follower(store)
    if call != "listing":
        await found.next(WAIT_S)
        stand_in.put(KEY, 2)
    if call == "comparison":
        found.compare_next()
    stand_in.trouble.down = True
    with pytest.raises(StoreError):
        await found.next(WAIT_S)
    stand_in.trouble.down = False
    assert (await found.next(WAIT_S)).item.value == (b"1" if call == "listing" else b"2")
