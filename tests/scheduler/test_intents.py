from __future__ import annotations

import asyncio

import pytest

from rhubarbferry.core.intents import IntentRules
from rhubarbferry.core.partition import key_partition
from rhubarbferry.ports.entry_log import LogFenced, LogUnavailable, LogUnclear
from rhubarbferry.ports.ownership import Member, Role
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler.intents import IntentRegistry
from rhubarbferry.scheduler.key_partition import KeyPartition
from tests.scheduler.fakes import (
    BOUND_S,
    REGION,
    FakeLog,
    FakeTenure,
    FakeView,
    eventually,
    make_context,
)

HOME = key_partition(region=REGION, number=0)


class FakeClock:
    """A clock with short sleeps that block while ``may_continue`` is not set."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.sleeps = 0
        self.may_continue = asyncio.Event()
        self.may_continue.set()

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.sleeps += 1
        await asyncio.sleep(0.01)
        await self.may_continue.wait()


class Harness:
    """A key partition that serves only intents and can be restarted after a crash."""

    def __init__(self) -> None:
        self.log = FakeLog()
        self.clock = FakeClock()
        self.tenure = FakeTenure(partition=HOME)
        self.view = FakeView(frontends=[member("f1")])
        self.task: asyncio.Task[None] | None = None

    async def start(self, rules: IntentRules | None = None) -> IntentRegistry:
        ctx = make_context(view=self.view, clock=self.clock)
        registries: list[IntentRegistry] = []

        def make(log: FakeLog) -> IntentRegistry:
            registries.append(IntentRegistry(tenure=self.tenure, ctx=ctx, log=log, rules=rules))
            return registries[0]

        partition = KeyPartition(
            tenure=self.tenure, ctx=ctx, log=self.log, components=[make], compact_segments=50
        )
        await partition.recover()
        self.task = asyncio.create_task(partition.serve())
        await eventually(lambda: registries[0].ready)
        return registries[0]

    async def crash(self) -> None:
        assert self.task is not None
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


@pytest.fixture
async def harness():
    made = Harness()
    yield made
    await made.crash()


def member(id: str) -> Member:
    return Member(id=id, role=Role.FRONTEND, address="", region=REGION, failure_domain="a")


def begin_request(request_id: str = "q1", **changes) -> t.IntentRequest:
    values = {
        "partition": str(HOME),
        "epoch": 1,
        "account": "lanna",
        "key": "slip-7",
        "request_id": request_id,
        "fingerprint": "body",
        "frontend_id": "f1",
        "remaining_ms": 5000,
    }
    return t.IntentRequest(**{**values, **changes})


def finish_request(
    outcome: t.RequestOutcome = t.RequestOutcome.DONE, request_id: str = "q1", body: bytes = b"ok"
) -> t.FinishRequest:
    answer = None
    if outcome is t.RequestOutcome.DONE:
        answer = t.RecordedAnswer(
            status=201, headers=[], body=body, body_kept=True, request_id=request_id
        )
    return t.FinishRequest(
        partition=str(HOME),
        epoch=1,
        account="lanna",
        key="slip-7",
        request_id=request_id,
        outcome=outcome,
        answer=answer,
    )


V = t.IntentVerdict
O = t.RequestOutcome  # noqa: E741


@pytest.mark.parametrize("crash", [False, True], ids=["same owner", "after a takeover"])
@pytest.mark.parametrize(
    ("outcome", "fingerprint", "verdict"),
    [
        (None, "body", V.RUNNING),
        (O.DONE, "body", V.RECORDED),
        (O.UNKNOWN, "body", V.UNKNOWN),
        (O.NOT_RUN, "body", V.COMMITTED),
        (None, "other", V.MISMATCH),
        (O.DONE, "other", V.MISMATCH),
    ],
)
async def test_a_repeated_key_gets_the_recorded_outcome(
    harness, crash, outcome, fingerprint, verdict
) -> None:
    """A client repeats a request with the same key, because it received no reply.

    It must receive the outcome of the first request, even from a new owner of the key. If the
    request ran twice, a customer could be charged twice.
    """
    registry = await harness.start()
    assert (await registry.begin(begin_request())).verdict == V.COMMITTED
    if outcome is not None:
        assert (await registry.finish(finish_request(outcome))).recorded
    if crash:
        await harness.crash()
        registry = await harness.start()
    reply = await registry.begin(begin_request("q2", fingerprint=fingerprint))
    assert reply.verdict == verdict
    if verdict == V.RECORDED:
        assert (reply.answer.status, reply.answer.body) == (201, b"ok")


async def test_an_intent_is_recorded_before_the_reply(harness) -> None:
    """The owner fails right after replying "committed"; its successor must find the intent."""
    registry = await harness.start()
    harness.log.gate = asyncio.Event()
    first = asyncio.create_task(registry.begin(begin_request()))
    await eventually(lambda: registry.depth() == 1)
    second = asyncio.create_task(registry.begin(begin_request("q2")))
    await asyncio.sleep(0)
    assert not first.done() and not second.done()
    harness.log.gate.set()
    async with asyncio.timeout(BOUND_S):
        assert (await first).verdict == V.COMMITTED
        assert (await second).verdict == V.RUNNING
    assert len(harness.log.entries) == 1


@pytest.mark.parametrize(
    ("fault", "stored", "verdict"),
    [
        (LogUnavailable("down"), False, V.REFUSED),
        (LogUnclear("lost reply"), False, V.REFUSED),
        (LogUnclear("lost reply"), True, V.REFUSED),
        (LogFenced("sealed"), False, V.NOT_OWNER),
    ],
    ids=["store down", "unclear, not standing", "unclear, standing", "fenced"],
)
async def test_a_failed_append_commits_nothing(harness, fault, stored, verdict) -> None:
    """The store is unavailable, its reply is lost, or a later owner has sealed the log.

    The request is refused as "not run". When the store is available again, the key must be free,
    and only one request may be allowed to run, whether or not the failed write was stored.
    """
    registry = await harness.start()
    harness.log.faults, harness.log.stored = [fault], stored
    # Block the background task that writes the cancellation. On a busy machine 10 ms can pass
    # between two lines of this test, so that it would free the key before the second request.
    harness.clock.may_continue.clear()
    reply = await registry.begin(begin_request())
    assert reply.verdict == verdict
    if verdict == V.NOT_OWNER:
        assert (await registry.begin(begin_request("q2"))).verdict == V.NOT_OWNER
        return
    assert reply.retry_after_ms > 0
    if isinstance(fault, LogUnclear):
        assert (await registry.begin(begin_request("q2"))).verdict == V.REFUSED
    harness.log.stored = False
    harness.clock.may_continue.set()
    sleeps = harness.clock.sleeps
    await eventually(lambda: harness.clock.sleeps > sleeps + 2)
    assert (await registry.begin(begin_request("q2"))).verdict == V.COMMITTED
    await harness.crash()
    registry = await harness.start()
    assert (await registry.begin(begin_request("q3"))).verdict == V.RUNNING


async def test_an_owner_without_a_lease_refuses_immediately(harness) -> None:
    """The store is down for longer than a lease; requests are refused immediately as not run."""
    registry = await harness.start()
    harness.tenure.held = False
    reply = await registry.begin(begin_request())
    assert (reply.verdict, reply.retry_after_ms > 0) == (V.REFUSED, True)
    assert not (await registry.finish(finish_request())).recorded
    assert harness.log.entries == []


@pytest.mark.parametrize("queued", [False, True], ids=["received later", "queued"])
async def test_a_request_that_a_hand_over_overtakes_is_sent_to_the_successor(
    harness, queued
) -> None:
    """The partition is reassigned while a request waits to be recorded, with nothing written.

    Refused as "not run", its caller would have to come back although the successor serves it.
    """
    registry = await harness.start()
    harness.log.faults = [LogUnavailable("the log is closed; it belongs to a tenure that ended")]
    harness.log.gate = asyncio.Event()
    if queued:
        begin = asyncio.create_task(registry.begin(begin_request()))
        await eventually(lambda: registry.depth() == 1)
        harness.tenure.ended = True
    else:
        harness.tenure.ended = True
        begin = asyncio.create_task(registry.begin(begin_request()))
    harness.log.gate.set()
    async with asyncio.timeout(BOUND_S):
        assert (await begin).verdict == V.NOT_OWNER


@pytest.mark.parametrize("stored", [False, True], ids=["not written", "written"])
@pytest.mark.parametrize("fault", [LogUnclear("closed during the write"), None])
async def test_a_request_whose_write_a_hand_over_interrupts_is_committed_by_the_successor(
    harness, stored, fault
) -> None:
    """Guards against a refusal of a request that is being recorded as its partition is handed over.

    The successor may find the intent in the log. The request has not been sent, so it may run, and
    no other request with its key may.
    """
    registry = await harness.start()
    harness.log.faults, harness.log.stored = [fault], stored
    harness.log.gate = asyncio.Event()
    begin = asyncio.create_task(registry.begin(begin_request(begin_id="b1")))
    await eventually(lambda: registry.depth() == 1)
    harness.tenure.ended = True
    harness.log.gate.set()
    async with asyncio.timeout(BOUND_S):
        assert (await begin).verdict == V.NOT_OWNER
    await harness.crash()
    harness.log.stored = False
    harness.tenure.ended = False
    registry = await harness.start()
    if stored or fault is None:
        assert (await registry.begin(begin_request("q2", begin_id="b2"))).verdict == V.RUNNING
    assert (await registry.begin(begin_request(begin_id="b1"))).verdict == V.COMMITTED
    assert (await registry.begin(begin_request("q2", begin_id="b2"))).verdict == V.RUNNING
    assert len(harness.log.entries) == 1


@pytest.mark.parametrize("begin_id", [None, "b2"])
async def test_another_attempt_to_record_the_same_request_is_not_committed(
    harness, begin_id
) -> None:
    """Guards against a request that runs twice because it was forwarded twice under its id."""
    registry = await harness.start()
    await registry.begin(begin_request(begin_id="b1"))
    assert (await registry.begin(begin_request(begin_id=begin_id))).verdict == V.RUNNING


async def test_a_repeated_call_of_one_attempt_is_committed_until_its_outcome_is_recorded(
    harness,
) -> None:
    """Guards against a refusal of a request whose reply "committed" was lost on the way."""
    registry = await harness.start()
    for _ in range(2):
        assert (await registry.begin(begin_request(begin_id="b1"))).verdict == V.COMMITTED
    assert len(harness.log.entries) == 1
    await registry.finish(finish_request())
    assert (await registry.begin(begin_request(begin_id="b1"))).verdict == V.RECORDED


async def test_a_snapshot_keeps_which_attempt_recorded_a_request(harness) -> None:
    """Guards against a compacted log whose successor refuses the request that it has recorded."""
    registry = await harness.start()
    await registry.begin(begin_request(begin_id="b1"))
    harness.log.entries[:] = list(registry.snapshot())
    await harness.crash()
    registry = await harness.start()
    assert (await registry.begin(begin_request(begin_id="b1"))).verdict == V.COMMITTED


@pytest.mark.parametrize("case", ["expired", "frontend dead", "expired, then taken over"])
async def test_a_request_without_an_outcome_becomes_unknown_and_never_runs_again(
    harness, case
) -> None:
    """A frontend fails with a request in progress and never reports the outcome."""
    registry = await harness.start()
    await registry.begin(begin_request())
    match case:
        case "frontend dead":
            harness.view.frontends = []
        case _:
            harness.clock.now += 8
    sleeps = harness.clock.sleeps
    await eventually(lambda: harness.clock.sleeps > sleeps + 3)
    if case == "expired, then taken over":
        await harness.crash()
        registry = await harness.start()
    assert (await registry.begin(begin_request("q2"))).verdict == V.UNKNOWN
    assert (await registry.finish(finish_request())).recorded
    assert (await registry.begin(begin_request("q2"))).verdict == V.RECORDED


async def test_an_outcome_of_another_request_is_ignored(harness) -> None:
    """A late "not run" of an earlier request must not free the key for a second run."""
    registry = await harness.start()
    await registry.begin(begin_request())
    await registry.finish(finish_request(O.NOT_RUN))
    await registry.begin(begin_request("q2"))
    await registry.finish(finish_request(O.NOT_RUN, "q1"))
    assert (await registry.begin(begin_request("q3"))).verdict == V.RUNNING


async def test_a_late_begin_of_a_withdrawn_request_commits_nothing(harness) -> None:
    """A request on a slow connection arrives after the frontend has reported it as "not run"."""
    registry = await harness.start()
    await registry.finish(finish_request(O.NOT_RUN))
    assert (await registry.begin(begin_request())).verdict == V.REFUSED
    assert (await registry.begin(begin_request("q2"))).verdict == V.COMMITTED


@pytest.mark.parametrize(
    ("fault", "verdict"), [(None, V.RUNNING), (LogUnavailable("down"), V.COMMITTED)]
)
async def test_a_duplicate_waits_until_the_first_is_recorded(harness, fault, verdict) -> None:
    """Two requests with the same key arrive at the same time through two frontends.

    If the second were refused as "not run" while the first is being recorded, its client could
    send the request under another key although the first one runs.
    """
    registry = await harness.start()
    harness.log.gate = asyncio.Event()
    harness.log.faults = [fault]
    first = asyncio.create_task(registry.begin(begin_request("q1")))
    await eventually(lambda: registry.depth() == 1)
    second = asyncio.create_task(registry.begin(begin_request("q2")))
    await asyncio.sleep(0)
    harness.log.gate.set()
    assert (await first).verdict == (V.COMMITTED if fault is None else V.REFUSED)
    assert (await second).verdict == verdict


async def test_a_disconnect_does_not_interrupt_recording_an_intent(harness) -> None:
    """The connection of a frontend breaks while its intent is being recorded."""
    registry = await harness.start()
    harness.log.gate = asyncio.Event()
    first = asyncio.create_task(registry.begin(begin_request()))
    await eventually(lambda: registry.depth() == 1)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    harness.log.gate.set()
    await eventually(lambda: registry.depth() == 0)
    assert (await registry.begin(begin_request("q2"))).verdict == V.RUNNING


async def test_compaction_keeps_the_state(harness) -> None:
    registry = await harness.start()
    for number in range(40):
        await registry.begin(begin_request(f"q{number}", key=f"k{number}"))
    await registry.begin(begin_request())
    await registry.finish(finish_request(body=b"kept"))
    for number in range(20):
        await registry.begin(begin_request(f"z{number}", key=f"z{number}"))
    await eventually(lambda: harness.log.compacted > 0)
    await harness.crash()
    registry = await harness.start()
    reply = await registry.begin(begin_request("q2"))
    assert (reply.verdict, reply.answer.body) == (V.RECORDED, b"kept")
    assert (await registry.begin(begin_request("x", key="k3"))).verdict == V.RUNNING


async def test_a_full_account_is_refused_instead_of_dropping_keys(harness) -> None:
    """An account uses more keys than are retained before the retention time has passed.

    If a key were dropped early, a request with it could run a second time.
    """
    rules = IntentRules(kept_per_account=2, least_retention_s=60.0)
    registry = await harness.start(rules)
    for number in range(2):
        await registry.begin(begin_request(f"q{number}", key=f"k{number}"))
        req = finish_request(request_id=f"q{number}")
        req.key = f"k{number}"
        await registry.finish(req)
    assert (await registry.begin(begin_request())).verdict == V.REFUSED
    harness.clock.now += 61
    assert (await registry.begin(begin_request())).verdict == V.COMMITTED
