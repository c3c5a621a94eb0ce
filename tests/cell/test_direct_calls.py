"""Job calls served directly from the store, and the notices to the owner."""

from __future__ import annotations

import asyncio
import time

import pytest
from attrs import Factory, define

from rhubarbferry.cell import keys
from rhubarbferry.cell.direct_calls import DirectJobCalls
from rhubarbferry.cell.job_calls import Accepted
from rhubarbferry.cell.owner_calls import AcceptedJob
from rhubarbferry.dispatch.job import JobPhase, JobStatus
from rhubarbferry.dispatch.record import encode_status
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import Committed, Put, Txn

from .fakes import FakeEventLog, record

ID = "00000000000000aa"


@define
class OwnerStub:
    """Stub of the owner client that records notices."""

    current_fence: int = 0
    notices: list[AcceptedJob] = Factory(list)

    def fence(self) -> int:
        return self.current_fence

    def notify_accepted(self, job: AcceptedJob) -> None:
        self.notices.append(job)


def direct_job_calls(store, owner: OwnerStub) -> DirectJobCalls:
    return DirectJobCalls(
        clock=SystemClock(),
        store=store,
        log=FakeEventLog(),
        owner=owner,
        store_reachable=lambda: True,
    )


async def take_ownership(store) -> int:
    result = await store.commit(Txn(put=(Put(key=keys.OWNER, value=b"{}"),)))
    assert isinstance(result, Committed)
    return result.revision


def deadline(seconds: float = 2.0) -> float:
    return time.monotonic() + seconds


async def test_owner_is_notified_of_a_job_accepted_under_its_ownership(store):
    owner = OwnerStub(current_fence=await take_ownership(store))
    job_calls = direct_job_calls(store, owner)
    assert await job_calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    (job,) = owner.notices
    item = await store.get(keys.JOBS + ID)
    assert (job.id, job.record, job.revision) == (ID, item.value, item.mod_revision)
    assert job.fence == owner.current_fence


async def test_former_owner_is_not_notified_of_a_job_accepted_after_a_takeover(store):
    """Guards against a job that is started by both the former and the new owner."""
    owner = OwnerStub(current_fence=await take_ownership(store))
    await take_ownership(store)
    job_calls = direct_job_calls(store, owner)
    assert await job_calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    assert owner.notices == []
    assert await job_calls.status(ID) == JobStatus(phase=JobPhase.QUEUED)


@pytest.mark.parametrize("owned", [True, False])
async def test_resubmitted_job_is_accepted_once(store, owned):
    """Guards against a job written twice when its client received no answer and retries."""
    owner = OwnerStub(current_fence=await take_ownership(store) if owned else 0)
    job_calls = direct_job_calls(store, owner)
    for _ in range(2):
        assert await job_calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    assert len(owner.notices) == owned


async def test_ended_job_is_not_accepted_again(store):
    """Guards against a job that runs again when a duplicate of its submission arrives late."""
    value = encode_status(JobStatus(phase=JobPhase.COMPLETE))
    await store.commit(Txn(put=(Put(key=keys.ENDED + ID, value=value),)))
    job_calls = direct_job_calls(store, OwnerStub(current_fence=await take_ownership(store)))
    assert await job_calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    assert await store.get(keys.JOBS + ID) is None
    assert await job_calls.status(ID) == JobStatus(phase=JobPhase.COMPLETE)


async def test_write_with_a_lost_answer_is_reported_as_accepted(store, stand_in):
    """Guards against a job that runs although its client received a refusal."""
    owner = OwnerStub(current_fence=await take_ownership(store))
    stand_in.faults.lose_every = 2
    job_calls = direct_job_calls(store, owner)
    verdicts = [
        await job_calls.submit(record(f"{index:016x}"), deadline=deadline(4.0))
        for index in range(3)
    ]
    assert verdicts == [Accepted.YES] * 3


async def test_unanswered_write_at_the_deadline_is_reported_as_unclear(store, stand_in):
    stand_in.faults.lose_every = 1
    job_calls = direct_job_calls(store, OwnerStub())
    verdict = await asyncio.wait_for(job_calls.submit(record(ID), deadline=deadline(0.1)), 3.0)
    assert verdict is Accepted.UNCLEAR


async def test_write_rejected_by_the_store_refuses_the_job(store, stand_in):
    stand_in.faults.down = True
    job_calls = direct_job_calls(store, OwnerStub())
    assert await job_calls.submit(record(ID), deadline=deadline()) is Accepted.NO
    stand_in.faults.down = False
    assert await job_calls.status(ID) is None
