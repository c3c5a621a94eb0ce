from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbferry.coordination import configuration as conf
from rhubarbferry.coordination.configuration import ActiveConfig
from rhubarbferry.coordination.keys import CONFIG_KEY, MEMBERS_PREFIX
from rhubarbferry.coordination.records import decode, encode
from rhubarbferry.core.configuration import ConfigRecord, is_rolled_back
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.ownership import Member, Role
from rhubarbferry.ports.store import StoreUnavailable
from rhubarbferry.test.memory_store import MemoryStore

TEXT = "[cell]\nregions = north\n"
OTHER = "[cell]\nregions = north, south\n"


@pytest.fixture
def store(monkeypatch):
    monkeypatch.setattr(conf, "RETRY_INTERVAL_S", 0.01)
    return MemoryStore(clock=SystemClock())


async def apply(store, *, text=TEXT, based_on=0, author="ann"):
    return await conf.apply(
        store,
        text=text,
        based_on=based_on,
        author=author,
        clock=SystemClock(),
        write_id=f"{author}-{based_on}",
    )


async def test_accepted_change_returns_its_diff(store):
    assert (await apply(store)).revision == 1
    applied = await apply(store, text=OTHER, based_on=1)
    assert applied.revision == 2
    assert "+regions = north, south" in applied.diff


async def test_conflict_names_the_other_author(store):
    """Two operators edit the same revision, and the second change is rejected.

    The error names the author of the first change, and the first change is kept.
    """
    await apply(store, author="ann")
    with pytest.raises(conf.ConfigRace, match="ann"):
        await apply(store, text=OTHER, author="bob")
    assert (await conf.read(store)).record.text == TEXT


async def test_concurrent_changes(store):
    """Concurrent changes all read the store before any is written; exactly one succeeds."""
    results = await asyncio.gather(
        *(apply(store, author=name) for name in ("ann", "bob", "eve")), return_exceptions=True
    )
    won = [r for r in results if isinstance(r, conf.AppliedChange)]
    lost = [r for r in results if isinstance(r, conf.ConfigRace)]
    assert (len(won), len(lost)) == (1, 2)


@pytest.mark.parametrize("lost", [1, 3])
async def test_lost_reply_is_resolved_by_reading_back(store, lost):
    """The store applies the change, but its reply is lost.

    The operator receives a success, and the change is made only once.
    """
    store.faults.lose_replies = lost
    assert (await apply(store)).revision == 1
    assert (await conf.read(store)).record.revision == 1


async def test_store_down_changes_nothing(store):
    store.faults.down = True
    with pytest.raises(StoreUnavailable):
        await apply(store)
    store.faults.down = False
    assert (await conf.read(store)).record.revision == 0


async def test_store_lost_after_an_unclear_write(store, monkeypatch):
    """The reply to the write is lost and the store becomes unavailable.

    Whether the change was stored can't be determined, which the error must state.
    """

    async def create(key, value, *, lease_id=0):
        store.faults.down = True
        raise conf.StoreUnclear("lost")

    monkeypatch.setattr(store, "create", create)
    with pytest.raises(conf.ConfigUnclear):
        await apply(store)


async def test_invalid_text_is_rejected(store):
    with pytest.raises(conf.ConfigInvalid, match="regions"):
        await apply(store, text="[cell]\n")


def member(name: str, revision: int) -> Member:
    return Member(
        id=name,
        role=Role.FRONTEND,
        address="10.0.0.1:1",
        region="north",
        failure_domain="a",
        config_revision=revision,
    )


async def test_change_is_rejected_while_the_store_is_behind(store):
    """After an outage the store holds an older revision than the members use.

    A change based on that revision would revert the configuration. It is rejected until the later
    revision is restored.
    """
    await apply(store)
    await store.create(MEMBERS_PREFIX + "a", encode(member("a", 5)))
    with pytest.raises(conf.ConfigBehind):
        await apply(store, text=OTHER, based_on=1)


async def test_wait_in_force_names_lagging_members(store):
    clock = SystemClock()
    await store.create(MEMBERS_PREFIX + "a", encode(member("a", 2)))
    await conf.wait_in_force(store, revision=2, timeout_s=0.05, clock=clock)
    await store.create(MEMBERS_PREFIX + "b", encode(member("b", 1)))
    with pytest.raises(conf.NotInForce, match="b") as caught:
        await conf.wait_in_force(store, revision=2, timeout_s=0.05, clock=clock)
    assert caught.value.members == ("b",)


records_st = st.builds(
    ConfigRecord, revision=st.integers(0, 6), text=st.sampled_from([TEXT, OTHER, "garbage"])
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.none() | records_st, max_size=12))
def test_active_revision_never_decreases(records):
    active = ActiveConfig()
    for record in records:
        before = active.record
        active.update(record)
        assert active.record.revision >= before.revision
        assert active.current().revision == active.record.revision
        if active.record.revision == before.revision:
            assert active.record is before


@pytest.mark.parametrize(
    ("stored", "back"),
    [(None, True), (2, True), (3, False), (4, False)],
)
def test_store_rollback_is_detected(stored, back):
    in_force = ConfigRecord(revision=3, text=TEXT)
    record = None if stored is None else ConfigRecord(revision=stored, text=TEXT)
    assert is_rolled_back(in_force, record) is back


@pytest.mark.parametrize("older", [None, ConfigRecord(revision=1, text=TEXT)])
async def test_later_configuration_is_restored(store, older):
    in_force = ConfigRecord(revision=3, text=OTHER, author="ann")
    based_on = 0 if older is None else await store.create(CONFIG_KEY, encode(older))
    assert await conf.restore(store, in_force=in_force, based_on=based_on)
    kv = await store.get(CONFIG_KEY)
    assert decode(CONFIG_KEY, kv.value, ConfigRecord) == in_force
    assert not await conf.restore(store, in_force=in_force, based_on=based_on)
