"""How the owner learns of jobs: from the store, and from the process that accepted one."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from rhubarbferry.cell import keys
from rhubarbferry.cell.context import OwnershipLost, Tenure, TermContext
from rhubarbferry.cell.following import PrefixFollower
from rhubarbferry.cell.inbox import Inbox
from rhubarbferry.cell.members import CellView, encode_member
from rhubarbferry.cell.owned_work import AcceptedJob
from rhubarbferry.core.lease import Lease
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.record import encode_phase, encode_request
from rhubarbferry.dispatch.succession import Succession
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import Put, Txn

from .parts import Lines, member, record

LEASE = 7


async def accept(store, id: str, phase: JobPhase = JobPhase.QUEUED, **fields) -> int:
    result = await store.commit(
        Txn(
            put=(
                Put(key=keys.STATES + id, value=encode_phase(phase)),
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


async def test_jobs_on_record_are_inherited_and_ended_ones_only_known(store):
    await accept(store, "a")
    await accept(store, "b", JobPhase.COMPLETE)
    found = await inbox(store)
    await found.load()
    dispatcher = found.ctx.dispatcher
    assert [job.inherited for job in dispatcher.jobs.values()] == [True]
    assert dispatcher.ended == {"b": JobPhase.COMPLETE}
    assert found.ctx.removable == ["b"]


@pytest.mark.parametrize(("ago_s", "age_s"), [(5.0, 5.0), (-5.0, 0.0), (4000.0, 0.0)])
async def test_an_inherited_job_keeps_its_age_unless_a_clock_is_wrong(store, ago_s, age_s):
    """A job has waited through a takeover and can't be done in time any more. Taken for new, it
    would go before jobs that can."""
    await accept(store, "a", accepted_at_s=time.time() - ago_s)
    found = await inbox(store)
    await found.load()
    (job,) = found.ctx.dispatcher.jobs.values()
    assert time.monotonic() - job.arrived_at == pytest.approx(age_s, abs=0.5)


async def test_a_job_told_and_then_seen_in_the_store_is_one_job(store):
    found = await inbox(store)
    await found.load()
    revision = await accept(store, "a")
    assert found.accepted(notice("a", revision=revision, fence=found.ctx.tenure.fence))
    job = found.ctx.dispatcher.jobs["a"]
    assert (job.inherited, job.record_revision) == (False, revision)
    await found._follow()
    assert found.ctx.dispatcher.jobs == {"a": job}


async def test_a_job_of_another_ownership_is_not_taken_from_a_notice(store):
    """The ownership changes hands and back, and a notice meant for the earlier term arrives late.
    Its job may have been started by the owner between; taken as new it would run twice."""
    found = await inbox(store)
    await found.load()
    assert not found.accepted(notice("a", revision=99, fence=found.ctx.tenure.fence - 1))
    assert found.ctx.dispatcher.jobs == {}


async def test_an_owner_whose_key_was_replaced_stops_before_it_sees_later_jobs(store):
    """The store takes the owner's key away and another process wins it; a job comes in after
    that. The former owner must learn of its loss first, or both would start the job."""
    found = await inbox(store)
    await found.load()
    await take_ownership(store)
    await accept(store, "a")
    with pytest.raises(OwnershipLost):
        await found._follow()
    assert found.ctx.dispatcher.jobs == {}
    assert not found.ctx.tenure.holds()
