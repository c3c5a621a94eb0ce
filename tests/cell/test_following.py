"""Changes of the store that a watch does not show."""

from __future__ import annotations

import pytest

from rhubarbferry.cell.following import PrefixFollower
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import Changes, Listing

from .parts import Lines

WAIT_S = 0.05


def follower(store, *, history_s: float = 60.0) -> PrefixFollower:
    return PrefixFollower(
        clock=SystemClock(), store=store, log=Lines(), prefix="op/", history_s=history_s
    )


async def test_a_listing_comes_first_and_then_only_what_has_changed(store, stand_in):
    stand_in.put("op/a", 1)
    found = follower(store)
    first = await found.next(WAIT_S)
    assert isinstance(first, Listing)
    stand_in.put("op/b", 2)
    second = await found.next(WAIT_S)
    assert isinstance(second, Changes)
    assert [event.kv.key for event in second.events] == ["op/b"]
    assert stand_in.calls == {"range": 1, "watch": 1}


@pytest.mark.parametrize("history_kept", [True, False])
async def test_a_change_that_a_deaf_watch_has_missed_is_found(store, stand_in, history_kept):
    """Guards against an old configuration for good after a watch that showed no change."""
    found = follower(store)
    await found.next(WAIT_S)
    stand_in.trouble.deaf = True
    stand_in.put("op/config", 1)
    assert (await found.next(WAIT_S)).events == ()
    stand_in.trouble.deaf = False
    stand_in.trouble.no_history = not history_kept
    after = await found.next(WAIT_S)
    stand_in.trouble.no_history = False
    keys = [item.key for item in getattr(after, "items", ())]
    keys += [event.kv.key for event in getattr(after, "events", ())]
    assert keys == ["op/config"]


async def test_a_quiet_prefix_is_listed_before_its_history_is_gone(store, stand_in):
    """Guards against a watch that is refused each time where nothing changes for long."""
    found = follower(store, history_s=0.1)
    assert isinstance(await found.next(WAIT_S), Listing)
    assert isinstance(await found.next(WAIT_S), Changes)
    assert isinstance(await found.next(WAIT_S), Changes)
    assert isinstance(await found.next(WAIT_S), Listing)
