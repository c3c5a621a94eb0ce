"""Jobs accepted in the store, and the owner told of them."""

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
class Told:
    """Stands in for the way to the owner."""

    known_fence: int = 0
    jobs: list[AcceptedJob] = Factory(list)

    def fence(self) -> int:
        return self.known_fence

    def accepted(self, job: AcceptedJob) -> None:
        self.jobs.append(job)


def acceptance(store, owner: Told) -> Acceptance:
    return Acceptance(
        clock=SystemClock(), store=store, log=Lines(), owner=owner, reached=lambda: True
    )


async def take_ownership(store) -> int:
    result = await store.commit(Txn(put=(Put(key=keys.OWNER, value=b"{}"),)))
    assert isinstance(result, Committed)
    return result.revision


def deadline(seconds: float = 2.0) -> float:
    return time.monotonic() + seconds


async def test_the_owner_is_told_of_a_job_accepted_under_its_ownership(store):
    owner = Told(known_fence=await take_ownership(store))
    calls = acceptance(store, owner)
    assert await calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    (job,) = owner.jobs
    item = await store.get(keys.JOBS + ID)
    assert (job.id, job.record, job.revision) == (ID, item.value, item.mod_revision)
    assert job.fence == owner.known_fence


async def test_a_job_accepted_after_a_takeover_is_not_told_to_the_owner_before(store):
    """The ownership has changed hands and this process has not heard of it. Were the former
    owner told, it could start the job beside its successor, and a slip be printed twice. The
    job is accepted all the same; the client notices nothing."""
    owner = Told(known_fence=await take_ownership(store))
    await take_ownership(store)
    calls = acceptance(store, owner)
    assert await calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    assert owner.jobs == []
    assert await calls.phase(ID) is JobPhase.QUEUED


@pytest.mark.parametrize("owned", [True, False])
async def test_the_same_job_handed_in_again_stays_one_job(store, owned):
    """A client got no answer and hands its job in again. It must be told that the job is
    accepted, and the job must not be written a second time."""
    owner = Told(known_fence=await take_ownership(store) if owned else 0)
    calls = acceptance(store, owner)
    for _ in range(2):
        assert await calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    assert len(owner.jobs) == owned


async def test_a_job_that_has_ended_is_not_accepted_again(store):
    """A copy of a submission arrives seconds after the job has ended. Accepted, it would run a
    second time."""
    value = encode_phase(JobPhase.COMPLETE)
    await store.commit(Txn(put=(Put(key=keys.ENDED + ID, value=value),)))
    calls = acceptance(store, Told(known_fence=await take_ownership(store)))
    assert await calls.submit(record(ID), deadline=deadline()) is Accepted.YES
    assert await store.get(keys.JOBS + ID) is None
    assert await calls.phase(ID) is JobPhase.COMPLETE


async def test_a_write_whose_answer_was_lost_is_found_again(store, stand_in):
    """The store accepts the job and its answer is lost. Said to be refused, the job would run
    all the same; so the process asks again until it knows."""
    owner = Told(known_fence=await take_ownership(store))
    stand_in.trouble.lose_every = 2
    calls = acceptance(store, owner)
    verdicts = [
        await calls.submit(record(f"{index:016x}"), deadline=deadline(4.0)) for index in range(3)
    ]
    assert verdicts == [Accepted.YES] * 3


async def test_without_time_left_an_unclear_write_is_not_called_refused(store, stand_in):
    stand_in.trouble.lose_every = 1
    calls = acceptance(store, Told())
    verdict = await asyncio.wait_for(calls.submit(record(ID), deadline=deadline(0.1)), 3.0)
    assert verdict is Accepted.UNCLEAR


async def test_a_store_that_turns_the_write_away_has_refused_the_job(store, stand_in):
    stand_in.trouble.down = True
    calls = acceptance(store, Told())
    assert await calls.submit(record(ID), deadline=deadline()) is Accepted.NO
    stand_in.trouble.down = False
    assert await calls.phase(ID) is None
