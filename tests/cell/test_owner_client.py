"""Tests of queries to the owner, also while the owner does not respond."""

from __future__ import annotations

import pytest
from attrs import Factory, define

from rhubarbferry.cell.members import CellView, Ownership
from rhubarbferry.cell.owner_calls import AcceptedJob
from rhubarbferry.cell.owner_client import OWNER_BACKOFF_S, PENDING_COUNT_TTL_S, OwnerClient
from rhubarbferry.cell.peers import NoReply
from rhubarbferry.dispatch.job import JobPhase, JobStatus
from rhubarbferry.test.fake_clock import FakeClock

from .fakes import member

RUNNING = JobStatus(phase=JobPhase.RUNNING, account="lanna")
JOB = AcceptedJob(id="j", record=b"{}", revision=9, fence=5)


@define
class Peers:
    """Fake of the calls to other processes."""

    answer: JobStatus | NoReply | None = None
    asked: list[str] = Factory(list)
    notified: list[AcceptedJob] = Factory(list)

    async def owned_status(self, member, id, *, timeout_s):
        self.asked.append(id)
        return self.answer

    async def job_accepted(self, member, job):
        self.notified.append(job)
        return True

    async def pending(self, member, queue):
        self.asked.append(queue)
        return 3


@define
class OwnTerm:
    """Fake of this process's own term of ownership."""

    notified: list[AcceptedJob] = Factory(list)

    def pending(self, queue):
        return 7

    def status(self, id):
        return RUNNING

    def add_accepted(self, job):
        self.notified.append(job)
        return True


def make_client(peers: Peers, *, owner: str = "other", fence: int = 5, term=None) -> OwnerClient:
    view = CellView()
    if owner:
        view.ownership = Ownership(owner=member(owner), fence=fence, lease_id=1)
    return OwnerClient(
        clock=FakeClock(), own=member("own"), view=view, peers=peers, term=lambda: term
    )


@pytest.mark.parametrize("status", [RUNNING, JobStatus(phase=JobPhase.COMPLETE), None])
async def test_the_status_of_a_job_comes_from_the_owner(status):
    assert await make_client(Peers(answer=status)).status("j") is status


async def test_an_unresponsive_owner_is_not_queried_again_at_once():
    """Guard against hundreds of clients that each wait for a frozen owner."""
    peers = Peers(answer=NoReply(reason="no answer"))
    client = make_client(peers)
    assert [await client.status("j") for _ in range(3)] == [None] * 3
    assert peers.asked == ["j"]
    client.view.ownership = Ownership(owner=member("next"), fence=6, lease_id=2)
    await client.status("j")
    assert peers.asked == ["j"] * 2
    await client.clock.advance(OWNER_BACKOFF_S)
    await client.status("j")
    assert peers.asked == ["j"] * 3


async def test_without_an_owner_no_query_is_sent():
    peers = Peers(answer=RUNNING)
    assert await make_client(peers, owner="").status("j") is None
    assert peers.asked == []


async def test_the_own_term_is_queried_without_a_remote_call():
    peers = Peers()
    term = OwnTerm()
    client = make_client(peers, owner="own", term=term)
    assert await client.status("j") is RUNNING
    assert await client.pending("queue") == 7
    client.notify_accepted(JOB)
    assert (term.notified, peers.asked, peers.notified) == ([JOB], [], [])


@pytest.mark.parametrize(("fence", "notified"), [(5, [JOB]), (6, [])])
async def test_only_the_owner_that_the_job_was_accepted_under_is_notified(fence, notified):
    """Guard against a new owner that treats an inherited job as a new one."""
    peers = Peers()
    client = make_client(peers, fence=fence)
    client.notify_accepted(JOB)
    await client.clock.advance(0.0)
    assert peers.notified == notified


async def test_pending_counts_are_cached():
    peers = Peers()
    client = make_client(peers)
    assert [await client.pending("queue") for _ in range(3)] == [3, 3, 3]
    assert peers.asked == ["queue"]
    await client.clock.advance(PENDING_COUNT_TTL_S + 0.01)
    await client.pending("queue")
    assert peers.asked == ["queue"] * 2
