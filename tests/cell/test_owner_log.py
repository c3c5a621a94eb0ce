"""Log lines of changes of the owner."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from attrs import define, evolve

from rhubarbferry.cell import candidate as candidate_module
from rhubarbferry.cell import keys
from rhubarbferry.cell.acquisition import Opportunity
from rhubarbferry.cell.candidate import Candidate
from rhubarbferry.cell.cleaner import Cleaner
from rhubarbferry.cell.job_watch import JobWatcher
from rhubarbferry.cell.members import CellView, Ownership, encode_member
from rhubarbferry.cell.recorder import Recorder
from rhubarbferry.cell.roster import Roster
from rhubarbferry.cell.term_context import EndSignal, OwnershipLost, Tenure, TermContext
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.messages import HostEntry, Sizes
from rhubarbferry.dispatch.takeover import RosterEntry, Takeover
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import (
    Changes,
    KeyDeleted,
    KeyPut,
    KeyValue,
    Listing,
    Put,
    StoreError,
    Txn,
)
from rhubarbferry.test.fake_clock import FakeClock
from tests.dispatch.world import LEASE_S, job, step

from .fakes import FakeEventLog, keeper_of, lines, member

LEASE_TTL_S = 5.0
TIMEOUT_S = 5.0
# How long a process does not notice that it has become the owner.
NOTICE_S = 0.2
FORMER = member("former")
OWN = member("own")


# ------------------------------------------------------------ how an ownership begins


class EndedTerm:
    """Fake of a term whose ownership ends at once."""

    overloaded = False

    def __init__(self, *, process, tenure: Tenure, former_leases: frozenset[int]) -> None:
        self.tenure = tenure

    async def run(self) -> None:
        self.tenure.end("a test", by=EndSignal.WATCH)

    async def flush(self) -> None:
        pass


class ListedWatcher:
    """Fake of a watch that has read a listing and delivers no change."""

    listed = True

    def restart(self) -> None:
        pass

    async def next(self, wait_s: float) -> Changes:
        await asyncio.sleep(wait_s)
        return Changes(events=(), revision=0)


@define
class Rival:
    """A candidate and the store that it shares with a former owner."""

    store: object
    faults: object
    candidate: Candidate

    async def write_owner_key(self, owner) -> Ownership:
        """Write the owner's key for a process, and let the candidate see it."""
        lease_id = await self.store.grant_lease(LEASE_TTL_S)
        put = Put(key=keys.OWNER, value=encode_member(owner), lease_id=lease_id)
        result = await self.store.commit(Txn(put=(put,)))
        ownership = Ownership(owner=owner, fence=result.revision, lease_id=lease_id)
        self.candidate.process.view.set_owner(ownership)
        return ownership

    async def remove_owner_key(self, ownership: Ownership) -> None:
        await self.store.revoke_lease(ownership.lease_id)
        deleted = KeyDeleted(key=keys.OWNER, revision=ownership.fence + 1)
        self.candidate.process.view.apply([deleted])

    async def begin_term(self) -> dict:
        """Let the candidate become the owner; return its log line."""
        log = self.candidate.process.log
        async with asyncio.timeout(TIMEOUT_S):
            while not lines(log, "term.ended"):
                await self.candidate._step()
        (line,) = lines(log, "term.begun")
        return line


@pytest.fixture
async def rival(monkeypatch, store, stand_in):
    monkeypatch.setattr(candidate_module, "Term", EndedTerm)
    lease = SimpleNamespace(id=await store.grant_lease(LEASE_TTL_S))
    process = SimpleNamespace(
        clock=SystemClock(),
        store=store,
        log=FakeEventLog(),
        own=OWN,
        view=CellView(),
        keeper=keeper_of(lease, round_trip_s=0.0, drop=lambda reason: None),
        watch_prefix=lambda prefix: ListedWatcher(),
    )
    return Rival(store=store, faults=stand_in.faults, candidate=Candidate(process=process))


async def first_owner(rival: Rival) -> None:
    return None


async def vacancy(rival: Rival) -> Ownership:
    former = await rival.write_owner_key(FORMER)
    await rival.remove_owner_key(former)
    return former


async def hand_over(rival: Rival) -> Ownership:
    former = await rival.write_owner_key(FORMER)
    assert await rival.candidate.take_over(former.fence)
    return former


async def replacement(rival: Rival) -> Ownership:
    former = await rival.write_owner_key(FORMER)
    assert await rival.candidate.replace_unresponsive(former)
    return former


async def own_restart(rival: Rival) -> Ownership:
    return await rival.write_owner_key(OWN)


BEGINNINGS = {
    "no earlier owner": (first_owner, "vacant"),
    "the former lease has ended": (vacancy, "vacant"),
    "hand-over": (hand_over, "handed over"),
    "silent owner": (replacement, "former lease revoked"),
    "own restart": (own_restart, "own earlier incarnation"),
}


@pytest.mark.parametrize(("begin", "acquired"), BEGINNINGS.values(), ids=BEGINNINGS.keys())
async def test_the_begin_of_a_term_is_logged_with_how_and_from_whom(rival, begin, acquired):
    """Guards against two owners of which the log does not tell how one followed the other."""
    former = await begin(rival)
    line = await rival.begin_term()
    assert line["acquired"] == acquired
    assert line["former"] == (former.owner.name if former is not None else None)
    assert line["former_fence"] == (former.fence if former is not None else None)
    assert line["key_answered"] is True
    assert 0.0 <= line["key_sent_ago_s"] < TIMEOUT_S


async def test_a_hand_over_by_an_owner_that_was_not_seen_is_logged_with_its_fence(rival):
    """Guards against the name of an earlier owner for one that this process has not seen."""
    await rival.write_owner_key(member("earlier"))
    seen = rival.candidate.process.view.ownership
    asking = await rival.write_owner_key(FORMER)
    rival.candidate.process.view.ownership = rival.candidate.process.view.last_owner = seen
    assert await rival.candidate.take_over(asking.fence)
    line = await rival.begin_term()
    assert (line["former"], line["former_fence"]) == (None, asking.fence)


async def test_an_ownership_whose_write_was_not_answered_is_logged_as_such(rival):
    """Guards against a term that seems to begin only when its process noticed its own key."""
    former = await vacancy(rival)
    lease = rival.candidate.process.keeper.valid_lease()
    await rival.candidate._register(lease)
    rival.faults.lose_every = 1
    with pytest.raises(StoreError):
        await rival.candidate._step()
    rival.faults.lose_every = 0
    await asyncio.sleep(NOTICE_S)
    # A second attempt is refused, since the first one took effect.
    await rival.candidate._acquire_and_run(lease, Opportunity.VACANT, replaces=0)
    key = await rival.store.get(keys.OWNER)
    rival.candidate.process.view.apply([KeyPut(kv=key)])
    line = await rival.begin_term()
    assert (line["acquired"], line["former_fence"]) == ("vacant", former.fence)
    assert line["key_answered"] is False
    assert line["key_sent_ago_s"] >= NOTICE_S


# ------------------------------------------------------------ how an ownership ends


async def test_the_end_of_a_term_is_logged_with_when_it_was_noticed_and_what_remained(rival):
    """Guards against an overlap of two owners that can't be computed from their lines."""
    await vacancy(rival)
    process = rival.candidate.process
    process.clock = process.keeper.clock = FakeClock(now=50.0)
    process.keeper.answered_at = 49.75
    process.keeper.acts_for_s = lambda lease_id: 51.125 - process.clock.monotonic()
    tenure = Tenure(keeper=process.keeper, lease_id=1, fence=9)
    tenure.end("its key was replaced", by=EndSignal.WATCH)
    process.clock.jump(0.5)
    tenure.end("a later reason", by=EndSignal.LEASE)
    rival.candidate._log_ended(tenure)
    assert lines(process.log, "term.ended") == [
        {
            "fence": 9,
            "reason": "its key was replaced",
            "noticed_by": "watch",
            "noticed_ago_s": 0.5,
            "acts_for_s": 1.125,
            "store_answered_ago_s": 0.75,
        }
    ]


async def test_a_term_that_is_left_ends_by_an_own_decision(rival):
    process = rival.candidate.process
    tenure = Tenure(keeper=process.keeper, lease_id=1, fence=9)
    rival.candidate._log_ended(tenure)
    (line,) = lines(process.log, "term.ended")
    assert (line["reason"], line["noticed_by"]) == ("left", "own decision")
    assert (line["noticed_ago_s"], line["acts_for_s"]) == (0.0, 1.0)


def owner_context(store, *, fence: int) -> TermContext:
    log = FakeEventLog()
    return TermContext(
        process=SimpleNamespace(
            clock=SystemClock(),
            store=store,
            log=log,
            view=CellView(),
            routes=lambda: None,
            watch_prefix=lambda prefix: ListedWatcher(),
        ),
        tenure=Tenure(keeper=keeper_of(SimpleNamespace(id=1)), lease_id=1, fence=fence),
        dispatcher=Dispatcher(takeover=Takeover(leases_expire_at=0.0), lease_s=LEASE_S),
    )


LATER = KeyValue(
    key=keys.OWNER, value=encode_member(FORMER), mod_revision=1000, create_revision=1000
)


async def watch_put(ctx: TermContext) -> None:
    JobWatcher(ctx=ctx)._apply_events((KeyPut(kv=LATER),))


async def watch_delete(ctx: TermContext) -> None:
    JobWatcher(ctx=ctx)._apply_events((KeyDeleted(key=keys.OWNER, revision=1000),))


async def listing(ctx: TermContext) -> None:
    await JobWatcher(ctx=ctx)._apply_listing(Listing(items=(LATER,), revision=1000), {})


async def stale_listing(ctx: TermContext) -> None:
    own = Ownership(owner=OWN, fence=ctx.tenure.fence, lease_id=1)
    ctx.process.view.set_owner(own)
    earlier = evolve(LATER, mod_revision=1)
    await JobWatcher(ctx=ctx)._apply_listing(Listing(items=(earlier,), revision=1), {})


async def roster_conflict(ctx: TermContext) -> None:
    roster = Roster(store=ctx.process.store, tenure=ctx.tenure)
    await roster.update({"a": RosterEntry(id="a", address="a:1", incarnation=1, service="pool")})


async def record_conflict(ctx: TermContext) -> None:
    added = job("j", step())
    ctx.dispatcher.add_job(added, now=0.0, wall_s=0.0)
    ctx.dispatcher.dirty["j"] = added
    await Recorder(ctx=ctx).flush()


async def clean_conflict(ctx: TermContext) -> None:
    ctx.removable.append("j")
    await Cleaner(ctx=ctx, without_state=set())._remove_requests()


async def stale_fence(ctx: TermContext) -> None:
    host = HostEntry(id="a", incarnation=1, service="pool", address="a:1", capacity=Sizes())
    ctx.dispatcher.host_listed(host, now=0.0)
    ctx.dispatcher.tracker.hosts["a"].fence = ctx.tenure.fence
    ctx.handle_stale_fence("a", ctx.tenure.fence, "higher")
    raise OwnershipLost


SIGNALS = {
    "the watch shows another key": (watch_put, EndSignal.WATCH),
    "the watch shows no key": (watch_delete, EndSignal.WATCH),
    "a listing shows another key": (listing, EndSignal.LISTING),
    "a listing older than the ownership": (stale_listing, EndSignal.LISTING),
    "the roster can't be written": (roster_conflict, EndSignal.CONFLICT),
    "a state can't be written": (record_conflict, EndSignal.CONFLICT),
    "a request can't be removed": (clean_conflict, EndSignal.CONFLICT),
    "a host has seen a higher fence": (stale_fence, EndSignal.FENCE),
}


@pytest.mark.parametrize(("lose", "signal"), SIGNALS.values(), ids=SIGNALS.keys())
async def test_the_end_of_an_ownership_tells_by_what_it_was_noticed(store, lose, signal):
    """Guards against an owner of which the log does not tell how it learnt of its successor."""
    ctx = owner_context(store, fence=500)
    with pytest.raises(OwnershipLost):
        await lose(ctx)
    assert ctx.tenure.noticed_by is signal
    assert ctx.tenure.ended_at is not None
