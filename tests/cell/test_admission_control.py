"""Admission while the cell is full: when a process refuses, and how it learns of the load."""

from __future__ import annotations

import asyncio
import os
import time

import pytest
from attrs import Factory, define, evolve

from rhubarbferry.cell.admission_control import STORE_CHECK_TIMEOUT_S, AdmissionControl
from rhubarbferry.cell.job_calls import PhaseUnknown
from rhubarbferry.cell.load_summary import (
    FORMAT,
    LoadSummaryError,
    LoadView,
    decode_summary,
    encode_summary,
)
from rhubarbferry.cell.members import CellView, Ownership
from rhubarbferry.cell.owner_calls import AcceptedJob
from rhubarbferry.cell.owner_client import OwnerClient
from rhubarbferry.cell.peer_server import PeerServer
from rhubarbferry.cell.peers import PeerClient
from rhubarbferry.cell.settings import AdmissionSettings
from rhubarbferry.dispatch.admission import LoadSummary
from rhubarbferry.dispatch.job import JobPhase, JobStatus
from rhubarbferry.dispatch.load import AccountLoad, QueueLoad, ServiceLoad
from rhubarbferry.dispatch.messages import Account, Sizes
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.rpc.codec import encode_reply
from rhubarbferry.rpc.gen.ttypes import JobNoticeReply, KnownLoad
from rhubarbferry.rpc.services import PEER
from rhubarbferry.test.fake_clock import FakeClock
from tests.cell.cell_harness import free_ports, member_address

from .fakes import QUEUE, FakeEventLog, member, record

FENCE = 5
REVISION = 4
ID = "00000000000000aa"
FLOODING, QUIET = Account(name="flooding"), Account(name="quiet")
QUEUED = JobStatus(phase=JobPhase.QUEUED, account="flooding")
ON = AdmissionSettings(refuse_when_full=True)


def account_load(name: str, *, work: float) -> AccountLoad:
    return AccountLoad(
        account=name,
        used_cores=20.0,
        owed_cores=20.0,
        usable_cores=20.0,
        ahead=(QueueLoad(priority=QUEUE.priority, in_time=work, late=0.0),),
    )


def summary(*, taken_at: float, **fields) -> LoadSummary:
    service = ServiceLoad(
        service=QUEUE.service,
        capacity=Sizes(millicores=80_000, memory_mb=640_000),
        accounts=(account_load("flooding", work=960.0), account_load("quiet", work=10.0)),
    )
    return evolve(
        LoadSummary(
            fence=FENCE,
            number=1,
            config_revision=REVISION,
            taken_at=taken_at,
            services=(service,),
        ),
        **fields,
    )


@define
class Load:
    """Summaries of a fake term."""

    latest: LoadSummary | None = None

    def newer_than(self, known: KnownLoad):
        if self.latest is None or known.number == self.latest.number:
            return None
        return encode_summary(self.latest, now=time.monotonic())


@define
class FakeTerm:
    """Fake term of ownership that knows some jobs."""

    load: Load = Factory(Load)
    jobs: dict[str, JobStatus] = Factory(dict)
    loaded: bool = True

    def knows(self, id: str) -> bool | None:
        return id in self.jobs if self.loaded else None

    def status(self, id: str) -> JobStatus | None:
        return self.jobs.get(id)

    def add_accepted(self, job: AcceptedJob) -> bool:
        self.jobs[job.id] = QUEUED
        return True


@define
class Peers:
    """Fake of the calls to the owner."""

    known: bool | None = False

    async def job_known(self, member, id, *, timeout_s):
        return self.known


@define(kw_only=True)
class Door:
    """Admission control of one process, with the owner in another one."""

    clock: FakeClock = Factory(FakeClock)
    log: FakeEventLog = Factory(FakeEventLog)
    peers: Peers = Factory(Peers)
    settings: AdmissionSettings = ON
    revision: int = REVISION
    stored: JobStatus | None = None
    store_delay_s: float = 0.0
    store_fails: bool = False
    cell: CellView = Factory(CellView)

    async def stored_status(self, id: str) -> JobStatus | None:
        await asyncio.sleep(self.store_delay_s)
        if self.store_fails:
            raise PhaseUnknown("the store is down")
        return self.stored

    async def refusal(self, latest: LoadSummary | None, *, account: Account = FLOODING, id=ID):
        if self.cell.ownership is None:
            self.cell.ownership = Ownership(owner=member("owner"), fence=FENCE, lease_id=1)
        owner = OwnerClient(
            clock=self.clock,
            own=member("own"),
            view=self.cell,
            peers=self.peers,
            term=lambda: None,
        )
        view = LoadView(clock=self.clock, log=self.log, enabled=lambda: True)
        view.latest = latest
        control = AdmissionControl(
            clock=self.clock,
            log=self.log,
            settings=lambda: self.settings,
            owner=owner,
            view=view,
            config_revision=lambda: self.revision,
            stored_status=self.stored_status,
        )
        return await control.refusal(record(id, account=account))

    def fresh(self, **fields) -> LoadSummary:
        return summary(taken_at=self.clock.monotonic(), **fields)


async def test_flood_is_refused_and_the_log_line_explains_it():
    door = Door()
    refused = await door.refusal(door.fresh())
    assert refused is not None
    [(event, fields)] = door.log.events
    assert event == "job.not_accepted"
    assert fields["outcome"] == "refused"
    assert fields["account"] == "flooding"
    assert fields["ahead_core_s"] == 960.0
    assert fields["owed_cores"] == 20.0
    assert fields["summary_age_s"] == 0.0
    assert fields["retry_after_s"] == refused.retry_after_s


async def test_flood_of_one_account_does_not_refuse_another():
    door = Door()
    assert await door.refusal(door.fresh(), account=QUIET) is None


@pytest.mark.parametrize(
    ("known", "stored"), [(True, None), (False, QUEUED)], ids=["by the owner", "by the store"]
)
async def test_a_job_that_was_accepted_before_is_not_refused(known, stored):
    """Guards against denying a job that runs, when its request arrives again in a flood."""
    door = Door(peers=Peers(known=known), stored=stored)
    assert await door.refusal(door.fresh()) is None


async def test_a_job_is_accepted_if_the_owner_cannot_tell_whether_it_is_known():
    door = Door(peers=Peers(known=None))
    assert await door.refusal(door.fresh()) is None


@pytest.mark.parametrize(
    "store", [{"store_delay_s": 30.0}, {"store_fails": True}], ids=["slow store", "store down"]
)
async def test_nobody_is_refused_while_the_store_does_not_answer(store):
    """Guards against denying a job that is stored and that the owner does not know yet."""
    door = Door(**store)
    started_at = time.monotonic()
    assert await door.refusal(door.fresh()) is None
    assert time.monotonic() - started_at < 3 * STORE_CHECK_TIMEOUT_S


async def test_an_old_summary_refuses_nobody():
    """Guards against refusals by a load that is over, behind a cut link."""
    door = Door()
    latest = door.fresh()
    door.clock.jump(ON.max_summary_age_s)
    assert await door.refusal(latest) is not None
    door.clock.jump(0.01)
    assert await door.refusal(latest) is None


async def test_a_summary_of_the_future_refuses_nobody():
    door = Door()
    assert await door.refusal(summary(taken_at=door.clock.monotonic() + 1.0)) is None


async def test_an_owner_killed_while_full_refuses_nobody_until_the_next_one_has_a_summary():
    """Guards against decisions by what a former owner knew."""
    door = Door()
    latest = door.fresh()
    assert await door.refusal(latest) is not None
    door.cell.ownership = Ownership(owner=member("next"), fence=FENCE + 1, lease_id=2)
    assert await door.refusal(latest) is None
    assert await door.refusal(door.fresh(fence=FENCE + 1)) is not None


async def test_no_owner_refuses_nobody():
    door = Door()
    latest = door.fresh()
    assert await door.refusal(latest) is not None
    door.cell.ownership = Ownership(owner=member("own"), fence=FENCE, lease_id=1)
    assert await door.refusal(latest) is None


async def test_a_configuration_that_the_owner_has_not_summed_up_with_refuses_nobody():
    """Guards against refusals by weights, quotas or accounts that have changed."""
    door = Door()
    latest = door.fresh()
    door.revision = REVISION + 1
    assert await door.refusal(latest) is None
    assert await door.refusal(door.fresh(config_revision=REVISION + 1)) is not None


async def test_nobody_is_refused_without_a_summary_or_switched_off():
    door = Door()
    assert await door.refusal(None) is None
    door.settings = AdmissionSettings()
    assert await door.refusal(door.fresh()) is None
    assert door.log.events == []


# ---------------------------------------------------------------- messages


def test_a_summary_survives_its_encoding():
    sent = summary(taken_at=98.75)
    received = decode_summary(encode_summary(sent, now=100.0), sent_at=50.0)
    assert received == evolve(sent, taken_at=48.75)


def test_work_beyond_the_range_of_a_field_is_encoded():
    """Guards against calls to the owner that fail because of one account's immense jobs."""
    immense = account_load("flooding", work=1e30)
    service = evolve(summary(taken_at=0.0).services[0], accounts=(immense,))
    wire = encode_summary(summary(taken_at=0.0, services=(service,)), now=0.0)
    method = PEER.methods["job_accepted"]
    frame = encode_reply(method, 1, JobNoticeReply(taken=True, load=wire))
    assert len(frame) > 0


INVALID = {
    "another format": {"format": FORMAT + 1},
    "no format": {"format": None},
    "a time of the future": {"age_ms": -1},
    "no age": {"age_ms": None},
    "a negative fence": {"fence": -1},
    "no number": {"number": None},
}


@pytest.mark.parametrize("fields", INVALID.values(), ids=INVALID.keys())
def test_an_invalid_summary_is_ignored_with_one_log_line(fields):
    """Guards against a summary of another version that stops a process or its calls."""
    wire = encode_summary(summary(taken_at=0.0), now=0.5)
    for name, value in fields.items():
        setattr(wire, name, value)
    with pytest.raises(LoadSummaryError):
        decode_summary(wire, sent_at=1.0)
    log = FakeEventLog()
    view = LoadView(clock=FakeClock(), log=log, enabled=lambda: True)
    for _ in range(3):
        view.receive(wire, sent_at=1.0)
    assert view.latest is None
    assert [event for event, _ in log.events] == ["load.summary_ignored"]


def test_an_overtaken_summary_is_not_kept():
    view = LoadView(clock=FakeClock(), log=FakeEventLog(), enabled=lambda: True)
    for fence, number in ((5, 2), (5, 1), (4, 9), (6, 1)):
        sent = summary(taken_at=0.0, fence=fence, number=number)
        view.receive(encode_summary(sent, now=0.0), sent_at=0.0)
        assert view.latest is not None
    assert (view.latest.fence, view.latest.number) == (6, 1)


async def serve(term: FakeTerm):
    server = PeerServer(
        clock=SystemClock(),
        jobs=None,
        policy=None,
        term=lambda: term,
        store_reached=None,
        take_over=None,
    )
    ip = member_address(0, pid=os.getpid())
    address = f"{ip}:{free_ports(ip, 1)[0]}"
    await server.start(address)
    return server, member("owner", address=address)


JOB = AcceptedJob(id=ID, record=b"{}", revision=9, fence=FENCE)


@pytest.mark.parametrize("call", ["notice", "question"])
async def test_the_owner_sends_each_summary_once_in_its_replies(call):
    term = FakeTerm(load=Load(latest=summary(taken_at=time.monotonic())))
    server, owner = await serve(term)
    view = LoadView(clock=SystemClock(), log=FakeEventLog(), enabled=lambda: True)
    peers = PeerClient(load=view)
    try:
        for number in (1, 2):
            term.load.latest = evolve(term.load.latest, number=number)
            if call == "notice":
                assert await peers.job_accepted(owner, JOB)
            else:
                assert await peers.job_known(owner, ID, timeout_s=1.0) is False
            assert view.latest.number == number
            assert view.latest.services == term.load.latest.services
        received = view.latest
        await peers.job_known(owner, ID, timeout_s=1.0)
        assert view.latest is received
    finally:
        await peers.close()
        await server.close()


async def test_a_process_that_uses_no_summaries_is_sent_none():
    """Guards against other answers for processes of an older build, which send no such field."""
    term = FakeTerm(load=Load(latest=summary(taken_at=time.monotonic())))
    server, owner = await serve(term)
    view = LoadView(clock=SystemClock(), log=FakeEventLog(), enabled=lambda: False)
    peers = PeerClient(load=view)
    old = PeerClient()
    try:
        for client in (peers, old):
            assert await client.owned_status(owner, "other", timeout_s=1.0) is None
            assert await client.job_accepted(owner, JOB)
            assert await client.owned_status(owner, ID, timeout_s=1.0) == QUEUED
            # As from an owner of an older build: whether it has read all jobs is not known.
            assert await client.job_known(owner, "other", timeout_s=1.0) is None
        assert view.latest is None
    finally:
        await peers.close()
        await old.close()
        await server.close()


@pytest.mark.parametrize(
    ("loaded", "id", "known"), [(True, ID, True), (True, "other", False), (False, "other", None)]
)
async def test_only_an_owner_that_has_read_all_jobs_denies_one(loaded, id, known):
    """Guards against a new owner that denies jobs which it has not read yet."""
    server, owner = await serve(FakeTerm(jobs={ID: QUEUED}, loaded=loaded))
    view = LoadView(clock=SystemClock(), log=FakeEventLog(), enabled=lambda: True)
    peers = PeerClient(load=view)
    try:
        assert await peers.job_known(owner, id, timeout_s=1.0) is known
    finally:
        await peers.close()
        await server.close()
