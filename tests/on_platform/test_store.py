"""Tests for the client of the platform's store: responses, errors and lost responses."""

from __future__ import annotations

import pytest

from rhubarbferry.platform.store import PlatformStore
from rhubarbferry.ports.store import (
    Committed,
    Conflict,
    Expect,
    KeyDeleted,
    KeyPut,
    LeaseLost,
    Put,
    StoreRateLimited,
    StoreUnavailable,
    StoreUnclear,
    Txn,
    WatchBroken,
)

CALLS = {
    "get": lambda store: store.get("a"),
    "list": lambda store: store.list("a"),
    "commit": lambda store: store.commit(Txn(put=(Put(key="a", value=b"1"),))),
    "changes": lambda store: store.changes("a", after=1, wait_s=0.1),
    "grant": lambda store: store.grant_lease(5.0),
}
REFUSALS = {"down": StoreUnavailable, "over_rate": StoreRateLimited}


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS.keys())
@pytest.mark.parametrize("trouble", REFUSALS)
async def test_a_refused_call_changes_nothing(store, stand_in, call, trouble):
    setattr(stand_in.faults, trouble, True)
    with pytest.raises(REFUSALS[trouble]):
        await call(store)
    setattr(stand_in.faults, trouble, False)
    assert await store.get("a") is None


@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS.keys())
async def test_a_refused_connection_is_reported_as_unavailable(call):
    store = PlatformStore(address="127.0.0.1:9")
    with pytest.raises(StoreUnavailable):
        await call(store)
    await store.close()


async def test_a_write_without_a_response_is_unclear(store, stand_in):
    """Guards against a job that is reported as refused to its client but runs."""
    stand_in.faults.lose_every = 1
    with pytest.raises(StoreUnclear):
        await store.commit(Txn(put=(Put(key="a", value=b"1"),)))
    item = await store.get("a")
    assert item is not None and item.value == b"1"


async def test_a_conflict_returns_the_current_keys(store):
    first = await store.commit(Txn(put=(Put(key="a", value=b"1"),)))
    assert isinstance(first, Committed)
    expect = (Expect(key="a", revision=0), Expect(key="missing", revision=3))
    found = await store.commit(Txn(expect=expect, put=(Put(key="b", value=b"2"),)))
    assert isinstance(found, Conflict)
    assert {key: item.mod_revision for key, item in found.items.items()} == {"a": first.revision}
    assert await store.get("b") is None


async def test_an_ended_lease_deletes_its_keys(store):
    lease = await store.grant_lease(5.0)
    put = Put(key="a", value=b"1", lease_id=lease)
    await store.commit(Txn(put=(put,)))
    assert await store.revoke_lease(lease)
    assert not await store.revoke_lease(lease)
    assert await store.get("a") is None
    with pytest.raises(LeaseLost):
        await store.keep_alive(lease)
    with pytest.raises(LeaseLost):
        await store.commit(Txn(put=(put,)))


async def test_changes_are_ordered_and_lost_history_breaks_the_watch(store, stand_in):
    start_revision = (await store.list("a")).revision
    await store.commit(Txn(put=(Put(key="a", value=b"1"),)))
    await store.commit(Txn(delete=("a",)))
    changes = await store.changes("a", after=start_revision, wait_s=0.1)
    assert [type(event) for event in changes.events] == [KeyPut, KeyDeleted]
    stand_in.faults.no_history = True
    with pytest.raises(WatchBroken):
        await store.changes("a", after=start_revision, wait_s=0.1)


async def test_a_long_list_is_read_in_pages(store):
    for start in range(0, 620, 31):
        puts = tuple(Put(key=f"k{start + i:04}", value=b"") for i in range(31))
        await store.commit(Txn(put=puts))
    listing = await store.list("k")
    assert [item.key for item in listing.items] == [f"k{i:04}" for i in range(620)]
