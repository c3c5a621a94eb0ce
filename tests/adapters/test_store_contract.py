"""Contract tests of the store port, run on the simulated store and on the etcd adapter."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing

import pytest
from attrs import frozen

from rhubarbferry.adapters.etcd import EtcdStore
from rhubarbferry.ports.store import (
    MAX_VALUE_BYTES,
    KeyDeleted,
    KeyPut,
    LeaseLost,
    Store,
    StoreRateLimited,
    StoreRefused,
    StoreUnavailable,
    StoreUnclear,
    WatchBroken,
)
from rhubarbferry.test.memory_store import MemoryStore
from rhubarbferry.test.serving import serving
from rhubarbferry.test.store import StoreGateway
from rhubarbferry.test.store_engine import StoreEngine

WAIT_TIMEOUT_S = 5.0
MAX_POLLS = 500
TIMEOUT_S = 2.0


class ShiftedClock:
    """System clock that the test can move forward."""

    def __init__(self) -> None:
        self.shift_s = 0.0

    def monotonic(self) -> float:
        return time.monotonic() + self.shift_s

    def wall(self) -> float:
        return time.time() + self.shift_s

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


@frozen(kw_only=True)
class Harness:
    store: Store
    memory: MemoryStore
    clock: ShiftedClock


@pytest.fixture(params=["memory", "etcd"])
async def harness(request: pytest.FixtureRequest) -> AsyncIterator[Harness]:
    clock = ShiftedClock()
    memory = MemoryStore(clock=clock, engine=StoreEngine(history=50))
    if request.param == "memory":
        yield Harness(store=memory, memory=memory, clock=clock)
        return
    async with serving(StoreGateway(store=memory).app()) as address:
        store = EtcdStore(url=f"http://{address}", prefix="cell/", clock=clock, timeout_s=TIMEOUT_S)
        yield Harness(store=store, memory=memory, clock=clock)
        await store.close()


async def test_writes_succeed_only_at_the_given_revision(harness: Harness) -> None:
    store = harness.store
    first = await store.create("a", b"1")
    assert first is not None
    assert await store.create("a", b"2") is None
    assert await store.put_if("a", b"2", mod_revision=first + 7) is None
    second = await store.put_if("a", b"2", mod_revision=first)
    found = await store.get("a")
    assert found is not None and second is not None
    assert (found.key, found.value, found.mod_revision) == ("a", b"2", second)
    assert found.create_revision == first
    assert not await store.delete_if("a", mod_revision=first)
    assert await store.delete_if("a", mod_revision=second)
    assert await store.get("a") is None


async def test_list_is_sorted_and_limited_to_its_prefix(harness: Harness) -> None:
    for key in ("p/2", "p/10", "p/1", "q/1", "p"):
        await harness.store.create(key, key.encode())
    listing = await harness.store.list("p/")
    assert [kv.key for kv in listing.items] == ["p/1", "p/10", "p/2"]
    assert listing.revision == harness.memory.engine.revision
    assert [kv.key for kv in (await harness.store.list("p/", limit=2)).items] == ["p/1", "p/10"]
    assert len((await harness.store.list("")).items) == 5


async def test_a_range_is_deleted_without_its_end(harness: Harness) -> None:
    for key in ("s/1", "s/2", "s/3", "t/1"):
        await harness.store.create(key, b"")
    assert await harness.store.delete_range("s/1", "s/3") == 2
    assert [kv.key for kv in (await harness.store.list("")).items] == ["s/3", "t/1"]


async def test_an_expired_lease_deletes_its_keys(harness: Harness) -> None:
    """A process stops renewing its lease. Its record is deleted, and its next renewal fails."""
    lease = await harness.store.grant_lease(3.0)
    await harness.store.create("m/1", b"x", lease_id=lease)
    harness.clock.shift_s += 2.0
    assert 0 < await harness.store.keep_alive(lease) <= 3.0
    harness.clock.shift_s += 2.0
    found = await harness.store.get("m/1")
    assert found is not None and found.lease_id == lease
    harness.clock.shift_s += 2.0
    assert await harness.store.get("m/1") is None
    with pytest.raises(LeaseLost):
        await harness.store.keep_alive(lease)
    with pytest.raises(LeaseLost):
        await harness.store.create("m/1", b"x", lease_id=lease)


async def test_a_renewed_lease_is_counted_from_the_request(harness: Harness) -> None:
    """The response to a renewal is slow. If the lease were counted from the response, it would
    seem valid after other processes already consider it expired."""
    lease = await harness.store.grant_lease(3.0)
    harness.memory.faults.slow_reply_s = 0.3
    assert 2.0 < await harness.store.keep_alive(lease) <= 2.7


async def test_a_revoked_lease_deletes_its_keys(harness: Harness) -> None:
    lease = await harness.store.grant_lease(30.0)
    await harness.store.create("m/1", b"x", lease_id=lease)
    await harness.store.revoke_lease(lease)
    assert await harness.store.get("m/1") is None


async def test_a_watch_yields_every_change_in_order(harness: Harness) -> None:
    store = harness.store
    lease = await store.grant_lease(3.0)
    first = await store.create("w/a", b"1", lease_id=lease)
    await store.create("other", b"1")
    assert first is not None
    seen = []
    async with (
        asyncio.timeout(WAIT_TIMEOUT_S),
        aclosing(store.watch("w/", from_revision=first)) as watch,
    ):
        async for events in watch:
            for event in events:
                match event:
                    case KeyPut(kv=kv):
                        seen.append((kv.key, kv.value))
                    case KeyDeleted(key=key):
                        seen.append((key, None))
            if len(seen) == 1:
                await store.create("w/b", b"2")
                harness.clock.shift_s += 5.0
            if len(seen) == 3:
                break
    assert seen == [("w/a", b"1"), ("w/b", b"2"), ("w/a", None)]


async def _first_change(store: Store, from_revision: int) -> None:
    async with (
        asyncio.timeout(WAIT_TIMEOUT_S),
        aclosing(store.watch("", from_revision=from_revision)) as w,
    ):
        async for _ in w:
            return


async def test_a_watch_from_a_compacted_revision_breaks(harness: Harness) -> None:
    """A process was disconnected for longer than the store keeps changes. It must list again."""
    for number in range(60):
        await harness.store.create(f"k/{number}", b"")
    with pytest.raises(WatchBroken):
        await _first_change(harness.store, 2)


@pytest.mark.parametrize("fault", ["drop", "down"])
async def test_a_watch_that_the_store_ends_breaks(harness: Harness, fault: str) -> None:
    """The store ends watches or goes down. The watcher must fail instead of waiting forever."""

    async def cause_fault() -> None:
        for _ in range(MAX_POLLS):
            if harness.memory.counters.calls["watch"]:
                break
            await asyncio.sleep(0.01)
        if fault == "drop":
            harness.memory.faults.drop_watches()
        else:
            harness.memory.faults.down = True

    task = asyncio.create_task(cause_fault())
    with pytest.raises(WatchBroken):
        await _first_change(harness.store, harness.memory.engine.revision + 1)
    await task


async def test_a_value_over_the_limit_is_refused(harness: Harness) -> None:
    """A value exceeds the store's size limit. The write is refused and nothing changes."""
    assert await harness.store.create("big", bytes(MAX_VALUE_BYTES)) is not None
    with pytest.raises(StoreRefused):
        await harness.store.create("bigger", bytes(MAX_VALUE_BYTES + 1))
    assert await harness.store.get("bigger") is None


Call = Callable[[Store], Awaitable[object]]


def _create(store: Store) -> Awaitable[object]:
    return store.create("new", b"n")


def _put(store: Store) -> Awaitable[object]:
    return store.put_if("old", b"n", mod_revision=2)


def _delete(store: Store) -> Awaitable[object]:
    return store.delete_if("old", mod_revision=2)


def _delete_range(store: Store) -> Awaitable[object]:
    return store.delete_range("o", "p")


def _get(store: Store) -> Awaitable[object]:
    return store.get("old")


def _list(store: Store) -> Awaitable[object]:
    return store.list("")


WRITES: list[Call] = [_create, _put, _delete, _delete_range]
READS: list[Call] = [_get, _list]


async def _state(memory: MemoryStore) -> list[tuple[str, bytes]]:
    return [(item.kv.key, item.kv.value) for item in memory.engine.read("", "\U0010ffff")]


@pytest.mark.parametrize("call", WRITES + READS)
@pytest.mark.parametrize("fault", [{"down": True}, {"fail_next": 1}])
async def test_a_call_that_fails_before_its_effect_changes_nothing(
    harness: Harness, call: Call, fault: dict[str, int]
) -> None:
    """The store is down or drops one call. The error must state that nothing was changed."""
    await harness.store.create("old", b"o")
    before = await _state(harness.memory)
    for name, value in fault.items():
        setattr(harness.memory.faults, name, value)
    with pytest.raises(StoreUnavailable):
        await call(harness.store)
    assert await _state(harness.memory) == before


@pytest.mark.parametrize("call", WRITES)
async def test_a_lost_response_to_a_write_is_unclear(harness: Harness, call: Call) -> None:
    """A write takes effect but its response is lost. The caller must not assume that it failed."""
    await harness.store.create("old", b"o")
    before = await _state(harness.memory)
    harness.memory.faults.lose_replies = 1
    with pytest.raises(StoreUnclear):
        await call(harness.store)
    assert await _state(harness.memory) != before


@pytest.mark.parametrize(("call", "limit"), [(_create, "writes_per_s"), (_get, "reads_per_s")])
async def test_calls_over_the_rate_are_refused_until_the_window_has_passed(
    harness: Harness, call: Call, limit: str
) -> None:
    """A process exceeds the call rate. Excess calls are refused as such; later calls succeed."""
    rates = harness.memory.rate_limiter.rates
    harness.memory.rate_limiter.rates = type(rates)(**{limit: 5})
    refused = 0
    for _ in range(8):
        try:
            await call(harness.store)
        except StoreRateLimited:
            refused += 1
    assert refused == 3
    harness.clock.shift_s += 1.1
    await call(harness.store)


async def test_a_stale_response_shows_its_revision(harness: Harness) -> None:
    """After an outage the store returns outdated data, which its revision shows."""
    await harness.store.create("a", b"1")
    await harness.store.create("b", b"1")
    await harness.store.delete_range("a", "b")
    harness.memory.faults.stale_revisions = 2
    listing = await harness.store.list("")
    assert [kv.key for kv in listing.items] == ["a"]
    assert listing.revision == harness.memory.engine.revision - 2
    assert await harness.store.get("b") is None


async def test_every_call_is_counted_by_kind_and_a_watch_once(harness: Harness) -> None:
    store = harness.store
    await store.create("a", b"")
    await store.get("a")
    await store.list("")
    await store.keep_alive(await store.grant_lease(5.0))
    await _first_change(store, 2)
    await store.delete_range("a", "b")
    counted = {kind.value: count for kind, count in harness.memory.counters.calls.items()}
    assert counted == {
        "txn": 1,
        "get": 1,
        "list": 1,
        "grant_lease": 1,
        "keep_alive": 1,
        "watch": 1,
        "delete_range": 1,
    }
    assert (harness.memory.counters.writes, harness.memory.counters.reads) == (4, 3)
