"""Tests of the stored roster of hosts that owners have sent orders to."""

from __future__ import annotations

import asyncio
import contextlib
import time
from types import SimpleNamespace

import pytest
from attrs import evolve

from rhubarbferry.cell import keys
from rhubarbferry.cell.roster import Roster, RosterError
from rhubarbferry.cell.term_context import OwnershipLost, Tenure
from rhubarbferry.core.lease import Lease
from rhubarbferry.dispatch.takeover import RosterEntry
from rhubarbferry.platform.store import CALL_TIMEOUT_S
from rhubarbferry.ports.store import Put, StoreUnclear, Txn

from .fakes import keeper_of

OPEN = RosterEntry(id="a", address="a:1", incarnation=1, service="pool")
CLOSED = RosterEntry(id="b", address="b:1", incarnation=2, service="pool", outstanding=("j",))
IDLE = RosterEntry(id="c", address="c:1", incarnation=3, service="pool", outstanding=())


async def take_ownership(store) -> int:
    return (await store.commit(Txn(put=(Put(key=keys.OWNER, value=b"{}"),)))).revision


async def make_tenure(store, *, fence: int = 0) -> Tenure:
    lease = Lease(id=7, incarnation=1, until=time.monotonic() + 60, margin_s=0.0)
    return Tenure(
        keeper=keeper_of(lease),
        lease_id=7,
        fence=fence or await take_ownership(store),
    )


async def make_roster(store, *, fence: int = 0) -> Roster:
    roster = Roster(store=store, tenure=await make_tenure(store, fence=fence))
    roster.load(await store.get(keys.ROSTER))
    return roster


async def test_the_next_owner_loads_the_stored_roster(store):
    first = await make_roster(store)
    entries = {entry.id: entry for entry in (OPEN, CLOSED, IDLE)}
    assert await first.update(entries)
    second = await make_roster(store)
    assert second.entries == entries
    assert [entry.may_run("j") for entry in second.entries.values()] == [True, True, False]


async def test_an_unchanged_roster_is_not_written_again(store, stand_in):
    roster = await make_roster(store)
    assert await roster.update({"a": OPEN})
    calls = stand_in.calls["txn"]
    assert await roster.update({"a": OPEN})
    assert stand_in.calls["txn"] == calls


async def test_a_former_owner_cannot_open_a_host(store):
    """Guard against orders of a former owner to a host that the current owner assumes is idle."""
    roster = await make_roster(store)
    assert await roster.update({"b": CLOSED})
    await take_ownership(store)
    with pytest.raises(OwnershipLost):
        await roster.update({"b": OPEN})
    assert not roster.tenure.holds()


async def test_a_write_whose_answer_was_lost_is_recognized_as_its_own(store, stand_in):
    roster = await make_roster(store)
    stand_in.faults.lose_every = 1
    with pytest.raises(StoreUnclear):
        await roster.update({"a": OPEN})
    stand_in.faults.lose_every = 0
    assert not await roster.update({"a": OPEN, "b": CLOSED})
    assert roster.entries == {"a": OPEN}
    assert await roster.update({"a": OPEN, "b": CLOSED})


@pytest.mark.parametrize(
    "unanswered",
    [
        pytest.param({"a": evolve(OPEN, outstanding=())}, id="closes a host"),
        pytest.param({}, id="drops a host"),
        pytest.param({"a": OPEN, "b": CLOSED}, id="adds a host"),
    ],
)
@pytest.mark.parametrize(
    "late_s",
    [
        pytest.param(0.0, id="carried out at once"),
        pytest.param(CALL_TIMEOUT_S + 0.3, id="carried out late"),
    ],
)
async def test_an_unanswered_write_is_settled_before_earlier_entries_count_again(
    store, stand_in, late_s, unanswered
):
    """Guards against orders to a host that is closed or missing in the store."""
    roster = await make_roster(store)
    assert await roster.update({"a": OPEN})
    stand_in.faults.lose_every = 1
    stand_in.faults.late_s = late_s
    with pytest.raises(StoreUnclear):
        await roster.update(unanswered)
    stand_in.faults.lose_every = 0
    while not await roster.update({"a": OPEN}):
        pass
    await asyncio.sleep(late_s)
    assert (await make_roster(store)).entries == {"a": OPEN}
    calls = stand_in.calls["txn"]
    assert await roster.update({"a": OPEN})
    assert stand_in.calls["txn"] == calls


async def test_each_incarnation_of_a_host_is_called_with_a_higher_fence_number(store):
    """Guards against a host that can't tell calls to its earlier incarnation from those to it."""
    roster = await make_roster(store)
    assert await roster.update({"a": OPEN, "b": CLOSED})
    first = dict(roster.fences)
    assert first["a"] == first["b"] > roster.tenure.fence
    assert await roster.update({"a": evolve(OPEN, incarnation=2), "b": CLOSED})
    assert roster.fences["a"] == roster.revision > first["a"]
    assert roster.fences["b"] == first["b"]
    assert await roster.update({"b": CLOSED})
    assert await roster.update({"a": evolve(OPEN, incarnation=2), "b": CLOSED})
    assert roster.fences == {"a": roster.revision, "b": first["b"]}
    later = await make_roster(store)
    assert later.fences == {"a": later.tenure.fence, "b": later.tenure.fence}
    assert later.tenure.fence > roster.revision


async def test_an_incarnation_that_an_unanswered_write_has_listed_is_called_with_its_revision(
    store, stand_in
):
    """Guards against a fence number that is not higher than that of the earlier calls."""
    roster = await make_roster(store)
    assert await roster.update({"a": OPEN})
    before = roster.fences["a"]
    stand_in.faults.lose_every = 1
    with pytest.raises(StoreUnclear):
        await roster.update({"a": evolve(OPEN, incarnation=2)})
    stand_in.faults.lose_every = 0
    assert not await roster.update({"a": evolve(OPEN, incarnation=2)})
    assert roster.fences["a"] == (await store.get(keys.ROSTER)).mod_revision > before


async def test_entries_without_outstanding_jobs_are_read_as_open(store):
    roster = Roster(store=store, tenure=await make_tenure(store))
    stored = b'[{"id":"a","address":"a:1","incarnation":1,"service":"pool"}]'
    roster.load(SimpleNamespace(mod_revision=3, value=stored))
    assert roster.entries == {"a": OPEN}


@pytest.mark.parametrize("value", [b"{", b"7", b'[{"id":"a"}]', b"[" * 100_000])
async def test_a_roster_that_cannot_be_decoded_is_replaced(store, value):
    """Guards against a stored value that ends the term of every owner in turn."""
    await store.commit(Txn(put=(Put(key=keys.ROSTER, value=value),)))
    with pytest.raises(RosterError):
        await make_roster(store)
    roster = Roster(store=store, tenure=(await make_tenure(store)))
    with contextlib.suppress(RosterError):
        roster.load(await store.get(keys.ROSTER))
    assert roster.entries == {}
    assert await roster.update({"a": OPEN})
    assert (await make_roster(store)).entries == {"a": OPEN}
