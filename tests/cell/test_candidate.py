"""Tests of how a process follows changes of the owner and becomes the owner."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from rhubarbferry.cell import keys
from rhubarbferry.cell.candidate import Candidate
from rhubarbferry.cell.members import CellView, Ownership, encode_member
from rhubarbferry.platform.store import CALL_TIMEOUT_S
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import Changes, Conflict, KeyPut, KeyValue, StoreUnavailable

from .fakes import FakeEventLog, member

LATER_OWNER_KEY = KeyValue(
    key=keys.OWNER, value=encode_member(member("later")), mod_revision=20, create_revision=20
)
TIMEOUT_S = 2.0


class FakeWatcher:
    """Fake watch that delivers one change after a delay."""

    listed = True

    async def next(self, wait_s: float) -> Changes:
        await asyncio.sleep(0.05)
        return Changes(events=(KeyPut(kv=LATER_OWNER_KEY),), revision=20)


def make_candidate() -> Candidate:
    process = SimpleNamespace(
        view=CellView(),
        log=FakeEventLog(),
        own=member("own"),
        watch_prefix=lambda prefix: FakeWatcher(),
    )
    return Candidate(process=process)


async def test_a_process_that_has_become_owner_still_sees_changes():
    """Guard against a new owner that sees no further changes, so that no process schedules."""
    candidate = make_candidate()
    candidate.process.view.set_owner(Ownership(owner=member("own"), fence=9, lease_id=1))
    candidate._won.set()
    async with asyncio.timeout(TIMEOUT_S):
        while candidate.process.view.ownership.fence == 9:
            await candidate._follow_changes(1.0)
    assert candidate.process.view.ownership.owner.name == "later"


async def test_a_late_removal_leaves_the_key_of_a_process_that_has_started_again(store, stand_in):
    """Guards against a running process that no other process counts as a member."""
    candidate = make_candidate()
    lease = SimpleNamespace(id=await store.grant_lease(5.0))
    candidate.process.store = store
    candidate.process.keeper = SimpleNamespace(valid_lease=lambda: lease, round_trip_s=0.0)
    await candidate._register(lease)
    stand_in.faults.lose_every = 1
    stand_in.faults.late_s = CALL_TIMEOUT_S + 0.3
    await candidate.leave()
    stand_in.faults.lose_every = 0
    again = make_candidate()
    again.process.store = store
    again.process.keeper = candidate.process.keeper
    await again._register(lease)
    await asyncio.sleep(stand_in.faults.late_s)
    assert await store.get(keys.MEMBERS + "own") is not None
    await again.leave()
    assert await store.get(keys.MEMBERS + "own") is None


class ContestedStore:
    """Fake store in which another process becomes the owner as soon as there is none.

    :param lease_exists: whether the silent owner's lease has not ended yet.
    """

    def __init__(self, *, lease_exists: bool, down: bool = False) -> None:
        self._lease_exists = lease_exists
        self._down = down

    async def revoke_lease(self, lease_id):
        if self._down:
            raise StoreUnavailable("down")
        return self._lease_exists

    async def commit(self, txn):
        return Conflict(items={keys.OWNER: LATER_OWNER_KEY})


@pytest.mark.parametrize(
    ("store", "replaced"),
    [
        pytest.param(ContestedStore(lease_exists=True), True, id="its lease is ended here"),
        pytest.param(ContestedStore(lease_exists=False), False, id="its lease had ended"),
        pytest.param(ContestedStore(lease_exists=True, down=True), False, id="store outage"),
    ],
)
async def test_a_silent_owner_is_replaced_whoever_succeeds_it(store, replaced):
    """Guard against a replaced owner that no process reports, since another won the election."""
    candidate = make_candidate()
    candidate.process.store = store
    candidate.process.keeper = SimpleNamespace(valid_lease=lambda: SimpleNamespace(id=7))
    candidate.process.clock = SystemClock()
    silent = Ownership(owner=member("silent"), fence=9, lease_id=1)
    assert await candidate.replace_unresponsive(silent) is replaced
    assert candidate.term is None
