"""How the owner learns of jobs: from the store, and from the process that accepted one."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from rhubarbferry.cell import keys
from rhubarbferry.cell.cleaner import Cleaner
from rhubarbferry.cell.context import OwnershipLost, Tenure, TermContext
from rhubarbferry.cell.following import PrefixFollower
from rhubarbferry.cell.inbox import Inbox
from rhubarbferry.cell.members import CellView, encode_member
from rhubarbferry.cell.owned_work import AcceptedJob
from rhubarbferry.cell.recorder import Recorder
from rhubarbferry.core.lease import Lease
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.record import decode_phase, encode_phase, encode_request
from rhubarbferry.dispatch.succession import Succession
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import Put, Txn

from .parts import Lines, member, record

LEASE = 7


async def accept(store, id: str, phase: JobPhase = JobPhase.QUEUED, **fields) -> int:
    state = (keys.ENDED if phase.final else keys.STATES) + id
    result = await store.commit(
        Txn(
            put=(
                Put(key=state, value=encode_phase(phase)),
                Put(key=keys.JOBS + id, value=encode_request(record(id, **fields))),
            )
        )
    )
    return result.revision


async def take_ownership(store) -> int:
    put = Put(key=keys.OWNER, value=encode_member(member("own")))
    return (await store.commit(Txn(put=(put,)))).revision


async def inbox(store) -> Inbox:
    fence = await take_ownership(store)
    clock = SystemClock()
    log = Lines()
    lease = Lease(id=LEASE, incarnation=1, until=time.monotonic() + 60, margin_s=0.0)
    around = SimpleNamespace(
        clock=clock,
        store=store,
        log=log,
        view=CellView(),
        routes=lambda: None,
        follow=lambda prefix: PrefixFollower(
            clock=clock, store=store, log=log, prefix=prefix, history_s=20.0
        ),
    )
    ctx = TermContext(
        around=around,
        tenure=Tenure(keeper=SimpleNamespace(held=lambda: lease), lease_id=LEASE, fence=fence),
        dispatcher=Dispatcher(succession=Succession(lapsed_at=0.0), lease_s=6.0),
    )
    return Inbox(ctx=ctx)


def notice(id: str, *, revision: int, fence: int) -> AcceptedJob:
    value = encode_request(record(id))
    return AcceptedJob(id=id, record=value, revision=revision, fence=fence)


async def test_jobs_on_record_are_inherited_and_ended_ones_are_not(store):
    await accept(store, "a")
    await accept(store, "b", JobPhase.COMPLETE)
    found = await inbox(store)
    await found.load()
    dispatcher = found.ctx.dispatcher
    assert [job.inherited for job in dispatcher.jobs.values()] == [True]
    assert found.without_state == {"b"}


async def test_a_takeover_reads_no_jobs_that_have_ended(store, stand_in):
    """Guards against seconds without starts while a new owner reads ended jobs."""
    for index in range(1200):
        stand_in.put(f"{keys.ENDED}{index:016x}", {"phase": "complete"})
    await accept(store, "a")
    found = await inbox(store)
    stand_in.calls.clear()
    await found.load()
    assert stand_in.calls["range"] == 2


@pytest.mark.parametrize("ended", [True, False])
async def test_a_request_without_a_state_is_removed_only_if_its_job_has_ended(store, ended):
    """Guards against the removal of a request whose state is missing for another reason."""
    await accept(store, "a", JobPhase.COMPLETE)
    if not ended:
        await store.commit(Txn(delete=(keys.ENDED + "a",)))
    found = await inbox(store)
    await found.load()
    cleaner = Cleaner(ctx=found.ctx, without_state=found.without_state)
    await cleaner._load()
    assert found.ctx.removable == (["a"] if ended else [])
    assert found.ctx.dispatcher.ended == ({"a": JobPhase.COMPLETE} if ended else {})


async def test_the_state_of_a_job_is_kept_apart_from_its_end_on(store):
    found = await inbox(store)
    await found.load()
    revision = await accept(store, "a")
    assert found.accepted(notice("a", revision=revision, fence=found.ctx.tenure.fence))
    found.ctx.dispatcher.cancel_job("a")
    assert await Recorder(ctx=found.ctx).flush()
    assert await store.get(keys.STATES + "a") is None
    assert decode_phase((await store.get(keys.ENDED + "a")).value) is JobPhase.CANCELLED


@pytest.mark.parametrize(("ago_s", "age_s"), [(5.0, 5.0), (-5.0, 0.0), (4000.0, 0.0)])
async def test_an_inherited_job_keeps_its_age_unless_a_clock_is_wrong(store, ago_s, age_s):
    """Guards against late jobs that go before those that can be done in time."""
    await accept(store, "a", accepted_at_s=time.time() - ago_s)
    found = await inbox(store)
    await found.load()
    (job,) = found.ctx.dispatcher.jobs.values()
    assert time.monotonic() - job.arrived_at == pytest.approx(age_s, abs=0.5)


async def test_a_job_of_a_notice_and_of_the_watch_is_one_job(store):
    found = await inbox(store)
    await found.load()
    revision = await accept(store, "a")
    assert found.accepted(notice("a", revision=revision, fence=found.ctx.tenure.fence))
    job = found.ctx.dispatcher.jobs["a"]
    assert (job.inherited, job.record_revision) == (False, revision)
    await found._follow()
    assert found.ctx.dispatcher.jobs == {"a": job}


async def test_a_job_of_another_ownership_is_not_taken_from_a_notice(store):
    """Guards against a late notice that makes a job run twice."""
    found = await inbox(store)
    await found.load()
    assert not found.accepted(notice("a", revision=99, fence=found.ctx.tenure.fence - 1))
    assert found.ctx.dispatcher.jobs == {}


async def test_an_owner_whose_key_was_replaced_stops_before_it_sees_later_jobs(store):
    """Guards against a former owner that starts a job of its successor."""
    found = await inbox(store)
    await found.load()
    await take_ownership(store)
    await accept(store, "a")
    with pytest.raises(OwnershipLost):
        await found._follow()
    assert found.ctx.dispatcher.jobs == {}
    assert not found.ctx.tenure.holds()
