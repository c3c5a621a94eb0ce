"""Jobs that the owner receives from the store and in notices from other processes."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from rhubarbferry.cell import keys
from rhubarbferry.cell.cleaner import Cleaner
from rhubarbferry.cell.job_watch import JobWatcher
from rhubarbferry.cell.members import CellView, encode_member
from rhubarbferry.cell.owner_calls import AcceptedJob
from rhubarbferry.cell.prefix_watch import PrefixWatcher
from rhubarbferry.cell.recorder import Recorder
from rhubarbferry.cell.term_context import OwnershipLost, Tenure, TermContext
from rhubarbferry.core.lease import Lease
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.job import JobPhase, JobStatus
from rhubarbferry.dispatch.record import decode_status, encode_request, encode_status
from rhubarbferry.dispatch.takeover import Takeover
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import Put, Txn
from rhubarbferry.test import store_engine

from .fakes import FakeEventLog, keeper_of, member, record

LEASE_ID = 7


async def accept(store, id: str, phase: JobPhase = JobPhase.QUEUED, **fields) -> int:
    state = (keys.ENDED if phase.final else keys.STATES) + id
    result = await store.commit(
        Txn(
            put=(
                Put(key=state, value=encode_status(JobStatus(phase=phase))),
                Put(key=keys.JOBS + id, value=encode_request(record(id, **fields))),
            )
        )
    )
    return result.revision


async def take_ownership(store) -> int:
    put = Put(key=keys.OWNER, value=encode_member(member("own")))
    return (await store.commit(Txn(put=(put,)))).revision


async def job_watcher(store) -> JobWatcher:
    fence = await take_ownership(store)
    clock = SystemClock()
    log = FakeEventLog()
    lease = Lease(id=LEASE_ID, incarnation=1, until=time.monotonic() + 60, margin_s=0.0)
    process = SimpleNamespace(
        clock=clock,
        store=store,
        log=log,
        view=CellView(),
        routes=lambda: None,
        watch_prefix=lambda prefix: PrefixWatcher(
            clock=clock, store=store, log=log, prefix=prefix, history_s=20.0
        ),
    )
    ctx = TermContext(
        process=process,
        tenure=Tenure(
            keeper=keeper_of(lease),
            lease_id=LEASE_ID,
            fence=fence,
        ),
        dispatcher=Dispatcher(takeover=Takeover(leases_expire_at=0.0), lease_s=6.0),
    )
    return JobWatcher(ctx=ctx)


def notice(id: str, *, revision: int, fence: int) -> AcceptedJob:
    value = encode_request(record(id))
    return AcceptedJob(id=id, record=value, revision=revision, fence=fence)


async def test_jobs_in_progress_are_inherited_and_ended_jobs_are_not(store):
    await accept(store, "a")
    await accept(store, "b", JobPhase.COMPLETE)
    watcher = await job_watcher(store)
    await watcher.load()
    dispatcher = watcher.ctx.dispatcher
    assert [job.inherited for job in dispatcher.jobs.values()] == [True]
    assert watcher.without_state == {"b"}


async def test_takeover_reads_no_ended_jobs(store, stand_in):
    """Guards against a takeover that is delayed by seconds because it reads ended jobs."""
    for index in range(1200):
        stand_in.put(f"{keys.ENDED}{index:016x}", {"phase": "complete"})
    await accept(store, "a")
    watcher = await job_watcher(store)
    stand_in.calls.clear()
    await watcher.load()
    assert stand_in.calls["range"] == 2


@pytest.mark.parametrize("ended", [True, False])
async def test_request_without_a_state_is_removed_only_if_its_job_has_ended(store, ended):
    """Guards against removing a request whose state is missing for another reason."""
    await accept(store, "a", JobPhase.COMPLETE)
    if not ended:
        await store.commit(Txn(delete=(keys.ENDED + "a",)))
    watcher = await job_watcher(store)
    await watcher.load()
    cleaner = Cleaner(ctx=watcher.ctx, without_state=watcher.without_state)
    await cleaner._load()
    assert watcher.ctx.removable == (["a"] if ended else [])
    assert watcher.ctx.dispatcher.ended == (
        {"a": JobStatus(phase=JobPhase.COMPLETE)} if ended else {}
    )


async def test_state_moves_to_its_own_prefix_when_the_job_ends(store):
    watcher = await job_watcher(store)
    await watcher.load()
    revision = await accept(store, "a")
    assert watcher.accepted(notice("a", revision=revision, fence=watcher.ctx.tenure.fence))
    watcher.ctx.dispatcher.cancel_job("a")
    assert await Recorder(ctx=watcher.ctx).flush()
    assert await store.get(keys.STATES + "a") is None
    assert decode_status((await store.get(keys.ENDED + "a")).value).phase is JobPhase.CANCELLED


@pytest.mark.parametrize(("ago_s", "age_s"), [(5.0, 5.0), (-5.0, 0.0), (4000.0, 0.0)])
async def test_inherited_job_keeps_its_age_unless_a_clock_is_wrong(store, ago_s, age_s):
    """Guards against late jobs being ordered before jobs that can meet their objective."""
    await accept(store, "a", accepted_at_s=time.time() - ago_s)
    watcher = await job_watcher(store)
    await watcher.load()
    (job,) = watcher.ctx.dispatcher.jobs.values()
    assert time.monotonic() - job.arrived_at == pytest.approx(age_s, abs=0.5)


async def test_new_owner_starts_nothing_of_a_job_whose_cancellation_is_stored(store):
    """Guards against repeating tasks whose ends were acknowledged while their job was stopped."""
    await accept(store, "a", JobPhase.RUNNING)
    await store.commit(Txn(put=(Put(key=keys.CANCELS + "a", value=b""),)))
    watcher = await job_watcher(store)
    await watcher.load()
    assert watcher.ctx.dispatcher.jobs["a"].phase is JobPhase.CANCELLED
    assert not watcher.ctx.dispatcher.waiting
    assert watcher.ctx.removable == []


async def test_job_from_a_notice_and_the_watch_is_added_once(store):
    watcher = await job_watcher(store)
    await watcher.load()
    revision = await accept(store, "a")
    assert watcher.accepted(notice("a", revision=revision, fence=watcher.ctx.tenure.fence))
    job = watcher.ctx.dispatcher.jobs["a"]
    assert (job.inherited, job.record_revision) == (False, revision)
    await watcher._watch_once()
    assert watcher.ctx.dispatcher.jobs == {"a": job}


async def test_notice_of_a_job_under_another_ownership_is_ignored(store):
    """Guards against a delayed notice that makes a job run twice."""
    watcher = await job_watcher(store)
    await watcher.load()
    assert not watcher.accepted(notice("a", revision=99, fence=watcher.ctx.tenure.fence - 1))
    assert watcher.ctx.dispatcher.jobs == {}


async def test_owner_whose_key_was_replaced_stops_before_it_adds_later_jobs(store):
    """Guards against a former owner that starts a job of its successor."""
    watcher = await job_watcher(store)
    await watcher.load()
    await take_ownership(store)
    await accept(store, "a")
    with pytest.raises(OwnershipLost):
        await watcher._watch_once()
    assert watcher.ctx.dispatcher.jobs == {}
    assert not watcher.ctx.tenure.holds()


def write_between_pages(stand_in, *items: tuple[str, bytes]) -> None:
    """Let another process write keys, in this order, after the first page of the next listing."""

    def write() -> None:
        stand_in.between_pages = lambda: None
        for key, value in items:
            stand_in.engine.txn([], [store_engine.Put(key=key, value=value)])

    stand_in.faults.page_items = 1
    stand_in.between_pages = write


def job_item(id: str) -> tuple[str, bytes]:
    return keys.JOBS + id, encode_request(record(id))


async def test_former_owner_adds_no_job_of_its_successor_from_a_later_page(store, stand_in):
    """Guards against a job that two owners start because a listing was read page by page."""
    watcher = await job_watcher(store)
    await accept(store, "a")
    await watcher.load()
    successor_key = keys.OWNER, encode_member(member("later"))
    write_between_pages(stand_in, successor_key, job_item("b"))
    watcher._watcher.restart()
    with pytest.raises(OwnershipLost):
        for _ in range(2):
            await watcher._watch_once()
    assert list(watcher.ctx.dispatcher.jobs) == ["a"]


async def test_job_that_is_newer_than_its_listing_is_added_from_the_watch(store, stand_in):
    """Guards against a job that never starts as neither the listing nor the watch adds it."""
    await accept(store, "a")
    watcher = await job_watcher(store)
    write_between_pages(stand_in, job_item("b"))
    await watcher.load()
    assert [job.inherited for job in watcher.ctx.dispatcher.jobs.values()] == [True]
    await watcher._watch_once()
    jobs = watcher.ctx.dispatcher.jobs
    assert {id: job.inherited for id, job in jobs.items()} == {"a": True, "b": False}


async def test_cancellation_repeated_during_a_listing_is_applied_with_it(store, stand_in):
    """Guards against a new owner that starts a task of a cancelled job."""
    await accept(store, "a", JobPhase.RUNNING)
    await store.commit(Txn(put=(Put(key=keys.CANCELS + "a", value=b""),)))
    watcher = await job_watcher(store)
    write_between_pages(stand_in, (keys.CANCELS + "a", b""))
    await watcher.load()
    assert watcher.ctx.dispatcher.jobs["a"].phase is JobPhase.CANCELLED


async def test_cancellation_of_a_job_newer_than_its_listing_waits_for_the_job(store, stand_in):
    """Guards against removing the request of a job in progress as that of an ended one."""
    await accept(store, "a")
    watcher = await job_watcher(store)
    write_between_pages(stand_in, job_item("b"), (keys.CANCELS + "b", b""))
    await watcher.load()
    assert watcher.ctx.removable == []
    await watcher._watch_once()
    assert watcher.ctx.dispatcher.jobs["b"].phase is JobPhase.CANCELLED
    assert watcher.ctx.removable == []
