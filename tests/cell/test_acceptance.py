"""Jobs accepted in the store, and the notices to the owner."""

from __future__ import annotations

import asyncio
import time

import pytest
from attrs import Factory, define

from rhubarbferry.cell import keys
from rhubarbferry.cell.acceptance import Acceptance
from rhubarbferry.cell.job_calls import Accepted
from rhubarbferry.cell.owned_work import AcceptedJob
from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.record import encode_phase
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import Committed, Put, Txn

from .parts import Lines, record

ID = "00000000000000aa"


@define
class OwnerStub:
    """Stands in for the way to the owner."""

    known_fence: int = 0
    jobs: list[AcceptedJob] = Factory(list)

    def fence(self) -> int:
        return self.known_fence

    def accepted(self, job: AcceptedJob) -> None:
        self.jobs.append(job)


def acceptance(store, owner: OwnerStub) -> Acceptance:
    return Acceptance(
        clock=SystemClock(), store=store, log=Lines(), owner=owner, reached=lambda: True
    )


async def take_ownership(store) -> int:
    result = await store.commit(Txn(put=(Put(key=keys.OWNER, value=b"{}"),)))
    assert isinstance(result, Committed)
    return result.revision


def deadline(seconds: float = 2.0) -> float:
    return time.monotonic() + seconds


async def test_the_owner_is_notified_of_a_job_accepted_under_its_ownership(store):
    owner = OwnerStub(known_fence=await take_ownership(store))
    calls = acceptance(store, owner)
    assert await calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    (job,) = owner.jobs
    item = await store.get(keys.JOBS + ID)
    assert (job.id, job.record, job.revision) == (ID, item.value, item.mod_revision)
    assert job.fence == owner.known_fence


async def test_the_former_owner_is_not_notified_of_a_job_accepted_after_a_takeover(store):
    """Guards against two owners that both start a job as their own."""
    owner = OwnerStub(known_fence=await take_ownership(store))
    await take_ownership(store)
    calls = acceptance(store, owner)
    assert await calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    assert owner.jobs == []
    assert await calls.phase(ID) is JobPhase.QUEUED


@pytest.mark.parametrize("owned", [True, False])
async def test_the_same_job_handed_in_again_stays_one_job(store, owned):
    """Guards against a job written twice when its client got no answer and tries again."""
    owner = OwnerStub(known_fence=await take_ownership(store) if owned else 0)
    calls = acceptance(store, owner)
    for _ in range(2):
        assert await calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    assert len(owner.jobs) == owned


async def test_a_job_that_has_ended_is_not_accepted_again(store):
    """Guards against a job that runs again when a copy of its submission arrives late."""
    value = encode_phase(JobPhase.COMPLETE)
    await store.commit(Txn(put=(Put(key=keys.ENDED + ID, value=value),)))
    calls = acceptance(store, OwnerStub(known_fence=await take_ownership(store)))
    assert await calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    assert await store.get(keys.JOBS + ID) is None
    assert await calls.phase(ID) is JobPhase.COMPLETE


async def test_a_write_whose_answer_was_lost_is_found_again(store, stand_in):
    """Guards against a job refused to its client that runs all the same."""
    owner = OwnerStub(known_fence=await take_ownership(store))
    stand_in.trouble.lose_every = 2
    calls = acceptance(store, owner)
    verdicts = [
        await calls.submit(record(f"{index:016x}"), deadline=deadline(4.0)) for index in range(3)
    ]
    assert verdicts == [Accepted.YES] * 3


async def test_without_time_left_an_unclear_write_is_not_called_refused(store, stand_in):
    stand_in.trouble.lose_every = 1
    calls = acceptance(store, OwnerStub())
    verdict = await asyncio.wait_for(calls.submit(record(ID), deadline=deadline(0.1)), 3.0)
    assert verdict is Accepted.UNCLEAR


async def test_a_store_that_turns_the_write_away_has_refused_the_job(store, stand_in):
    stand_in.trouble.down = True
    calls = acceptance(store, OwnerStub())
    assert await calls.submit(record(ID), deadline=deadline()) is Accepted.NO
    stand_in.trouble.down = False
    assert await calls.phase(ID) is None
