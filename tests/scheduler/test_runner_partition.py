from __future__ import annotations

import asyncio
import contextlib

import pytest
from attrs import define

from rhubarbferry.core.cell import Account
from rhubarbferry.ports.ownership import Guard
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler.partition import Phase
from rhubarbferry.scheduler.runner_partition import RunnerPartition
from tests.scheduler.fakes import (
    BOUND_S,
    PARTITION,
    FakeGuard,
    FakeHosts,
    FakeReports,
    FakeRunner,
    FakeTenure,
    FakeView,
    eventually,
    make_cell,
    make_context,
    runner_host,
)


def grant_request(request_id: str, **changes) -> t.GrantRequest:
    values = {
        "partition": str(PARTITION),
        "epoch": 1,
        "request_id": request_id,
        "frontend_id": "f1",
        "account": "lanna",
        "priority": t.Priority.NORMAL,
        "remaining_ms": 2000,
        "idempotent": True,
    }
    return t.GrantRequest(**{**values, **changes})


def release_request(reply: t.GrantReply, request_id: str, end: t.GrantEnd) -> t.ReleaseRequest:
    release = t.Release(
        request_id=request_id,
        grant_id=reply.grant_id,
        runner_id=reply.runner_id,
        end=end,
        service_ms=5,
        remaining_ms=1000,
    )
    return t.ReleaseRequest(partition=str(PARTITION), epoch=1, frontend_id="f1", releases=[release])


@define(kw_only=True)
class Harness:
    partition: RunnerPartition
    tenure: FakeTenure
    view: FakeView
    hosts: FakeHosts
    reports: FakeReports
    guards: list[FakeGuard]
    skipped: float = 0.0


@contextlib.asynccontextmanager
async def serving(
    *,
    runners: int = 1,
    slots: int = 1,
    guards: int = 1,
    prepare=lambda harness: None,
    recover_only: bool = False,
    accounts: tuple[Account, ...] = (),
):
    made = [FakeGuard(id=f"f{n + 1}") for n in range(guards)]
    for guard in made:
        await guard.server.start("127.0.0.1", 0)
    ids = [f"r{n + 1}" for n in range(runners)]
    members = [guard.member() for guard in made]
    view = FakeView(
        frontends=members,
        guard_set=[Guard(id=member.id, address=member.address) for member in members],
    )
    hosts = FakeHosts(listed=[runner_host(id) for id in ids])
    reports = FakeReports(runners={id: FakeRunner(slots=slots) for id in ids})
    tenure = FakeTenure()
    ctx = make_context(view=view, hosts=hosts, cell=make_cell(slots=slots, accounts=accounts))
    partition = RunnerPartition(tenure=tenure, ctx=ctx, reports=reports)
    harness = Harness(
        partition=partition, tenure=tenure, view=view, hosts=hosts, reports=reports, guards=made
    )
    prepare(harness)

    async def live() -> None:
        await partition.recover()
        if not recover_only:
            await partition.serve()

    task = asyncio.create_task(live())
    try:
        yield harness
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await partition.close()
        await ctx.guards.close()
        for guard in made:
            await guard.server.close()


async def test_a_freed_slot_is_granted_to_the_next_request_immediately() -> None:
    async with serving() as harness, asyncio.timeout(BOUND_S):
        first = await harness.partition.grant(grant_request("a"))
        assert first.verdict == t.GrantVerdict.GRANTED
        second = asyncio.create_task(harness.partition.grant(grant_request("b")))
        await eventually(lambda: harness.partition.depth() == 1)
        reply = await harness.partition.release(release_request(first, "a", t.GrantEnd.DONE))
        assert reply.accepted
        assert (await second).verdict == t.GrantVerdict.GRANTED


async def test_a_grant_reports_the_waiting_time_of_its_request() -> None:
    """A request waits longer for its slot than a grant is usable.

    The frontend measures the usable time from before it sent the request. Without the waiting time
    in the reply, it would discard every slot that it waited for, and no request would be served at
    saturation.
    """
    async with serving() as harness, asyncio.timeout(BOUND_S):
        first = await harness.partition.grant(grant_request("a"))
        waiting = asyncio.create_task(harness.partition.grant(grant_request("b")))
        await eventually(lambda: harness.partition.depth() == 1)
        begun = harness.partition.ctx.clock.monotonic()
        await eventually(lambda: harness.partition.ctx.clock.monotonic() > begun + 0.1)
        await harness.partition.release(release_request(first, "a", t.GrantEnd.DONE))
        reply = await waiting
        assert 100 <= reply.waited_ms < 1000 * BOUND_S
        repeated = await harness.partition.grant(grant_request("b"))
        assert (repeated.grant_id, repeated.waited_ms) == (reply.grant_id, 0)
        assert repeated.usable_ms <= reply.usable_ms


@pytest.mark.parametrize("before", [0, 1], ids=["before the first configuration", "one slot"])
async def test_slots_follow_the_configuration(before) -> None:
    """A scheduler wins a service before it has read the configuration, or slots are added later.

    If slots were updated only when the host list changes, runners would stay idle while requests
    are refused, until a host is added or removed.
    """
    async with serving(slots=2) as harness, asyncio.timeout(BOUND_S):
        harness.partition.ctx.cell.cell = make_cell(slots=before)
        await eventually(lambda: harness.partition.phase is Phase.SERVING)
        await eventually(lambda: harness.partition.ledger.capacity() == before)
        harness.partition.ctx.cell.cell = make_cell(slots=2)
        await eventually(lambda: harness.partition.ledger.capacity() == 2)
        for name in ("a", "b"):
            reply = await harness.partition.grant(grant_request(name))
            assert reply.verdict == t.GrantVerdict.GRANTED


async def test_only_a_serving_owner_reports_the_expected_wait() -> None:
    """Frontends send requests to the region with the shortest expected wait.

    A region without slots, or whose owner may not act, must not appear to have free slots.
    """

    def ask(epoch: int = 1) -> t.WaitsRequest:
        classes = [
            t.WaitClass(account=name, priority=t.Priority.NORMAL) for name in ("lanna", "nobody")
        ]
        return t.WaitsRequest(partition=str(PARTITION), epoch=epoch, classes=classes)

    async with serving() as harness, asyncio.timeout(BOUND_S):
        first = await harness.partition.grant(grant_request("a"))
        assert first.expected_wait_ms == -1
        await harness.partition.release(release_request(first, "a", t.GrantEnd.DONE))
        assert (await harness.partition.waits(ask())).waits_ms == [0, -1]
        second = await harness.partition.grant(grant_request("b"))
        assert second.expected_wait_ms >= 5
        assert (await harness.partition.waits(ask())).waits_ms[0] >= 5
        assert not (await harness.partition.waits(ask(epoch=2))).owner
        harness.tenure.held = False
        assert not (await harness.partition.waits(ask())).owner
        harness.tenure.held = True
        harness.partition.ctx.cell.cell = make_cell(slots=0)
        await eventually(lambda: harness.partition.ledger.capacity() == 0)
        assert (await harness.partition.waits(ask())).waits_ms == [-1, -1]


async def test_requests_received_during_recovery_wait_for_its_end() -> None:
    async with serving() as harness, asyncio.timeout(BOUND_S):
        assert harness.partition.phase is Phase.RECOVERING
        reply = await harness.partition.grant(grant_request("a"))
        assert reply.verdict == t.GrantVerdict.GRANTED
        assert harness.guards[0].epochs == [1]


async def test_a_request_past_its_deadline_is_refused() -> None:
    async with serving() as harness, asyncio.timeout(BOUND_S):
        await harness.partition.grant(grant_request("a"))
        reply = await harness.partition.grant(grant_request("b", remaining_ms=50))
        assert reply.verdict == t.GrantVerdict.REFUSED
        assert reply.retry_after_ms > 0
        assert harness.partition.depth() == 0


@pytest.mark.parametrize("case", ["lease over", "higher epoch in the request", "draining"])
async def test_an_owner_that_may_not_act_grants_nothing(case: str) -> None:
    """The owner was paused beyond its lease, or the caller has seen a later owner.

    The same slot could be granted by its successor too, which would overload the runner.
    """
    async with serving() as harness, asyncio.timeout(BOUND_S):
        await eventually(lambda: harness.partition.phase is Phase.SERVING)
        epoch = 1
        match case:
            case "lease over":
                harness.tenure.held = False
            case "higher epoch in the request":
                epoch = 2
            case "draining":
                await harness.partition.drain()
        reply = await harness.partition.grant(grant_request("a", epoch=epoch))
        assert reply.verdict == t.GrantVerdict.NOT_OWNER


async def test_an_owner_with_an_expired_lease_grants_no_freed_slot() -> None:
    """A process with a waiting request is paused and receives a release after its lease ended."""
    async with serving() as harness, asyncio.timeout(BOUND_S):
        first = await harness.partition.grant(grant_request("a"))
        waiting = asyncio.create_task(harness.partition.grant(grant_request("b", remaining_ms=300)))
        await eventually(lambda: harness.partition.depth() == 1)
        harness.tenure.held = False
        await harness.partition.release(release_request(first, "a", t.GrantEnd.DONE))
        assert (await waiting).verdict == t.GrantVerdict.REFUSED


# ---------------------------------------------------------------- takeover


def open_grant(request_id: str, *, sent: bool, runner_id: str = "r1") -> t.OpenGrant:
    return t.OpenGrant(
        request_id=request_id,
        grant_id=77,
        runner_id=runner_id,
        account="lanna",
        remaining_ms=1500,
        sent=sent,
    )


def loop_time_after(seconds: float) -> float:
    return asyncio.get_running_loop().time() + seconds


@pytest.mark.parametrize("sent", [False, True])
async def test_a_successor_does_not_grant_a_slot_held_by_a_guard(sent: bool) -> None:
    """The owner fails while a frontend holds one of its grants, used or unused.

    A successor with an empty ledger would grant the slot a second time, and the runner would
    receive more requests than it has slots.
    """

    def prepare(harness: Harness) -> None:
        harness.guards[0].grants = [open_grant("old", sent=sent)]
        if sent:
            harness.reports.runners["r1"].running.add("old")

    async with serving(prepare=prepare) as harness, asyncio.timeout(BOUND_S):
        await eventually(lambda: harness.partition.phase is Phase.SERVING)
        waiting = asyncio.create_task(harness.partition.grant(grant_request("new")))
        await eventually(lambda: harness.reports.runners["r1"].queries > 0)
        await eventually(lambda: harness.partition.depth() == 1)
        end = loop_time_after(0.6)
        while asyncio.get_running_loop().time() < end:
            assert not waiting.done()
            await asyncio.sleep(0.02)
        old = t.GrantReply(verdict=0, epoch=0, grant_id=77, runner_id="r1")
        harness.reports.runners["r1"].running.clear()
        await harness.partition.release(release_request(old, "old", t.GrantEnd.DONE))
        assert (await waiting).verdict == t.GrantVerdict.GRANTED


async def test_slots_possibly_held_by_an_unreachable_guard_count_as_taken() -> None:
    """The owner and one of three frontends fail together while the frontend holds a grant.

    No guard reports that grant to the successor. The request reaches the runner after the
    takeover, and only the runner can report it.
    """

    def prepare(harness: Harness) -> None:
        harness.guards[2].refuses = True

    async with serving(guards=3, prepare=prepare) as harness, asyncio.timeout(BOUND_S):
        began = loop_time_after(0)
        waiting = asyncio.create_task(harness.partition.grant(grant_request("new")))
        await eventually(lambda: harness.partition.phase is Phase.SERVING)
        harness.reports.runners["r1"].running.add("unheard")
        await eventually(lambda: harness.reports.runners["r1"].queries > 2)
        assert not waiting.done()
        harness.reports.runners["r1"].running.clear()
        assert (await waiting).verdict == t.GrantVerdict.GRANTED
        usable_s = harness.partition.ctx.cfg.requests.grant_usable_s
        assert loop_time_after(0) - began >= usable_s


async def test_nothing_is_granted_before_a_majority_of_guards_has_acknowledged() -> None:
    """Two of three frontends still give promises to an earlier owner that is only disconnected.

    If the successor granted slots now, both owners would grant the same slots.
    """

    def prepare(harness: Harness) -> None:
        harness.guards[1].refuses = harness.guards[2].refuses = True

    async with serving(guards=3, prepare=prepare) as harness, asyncio.timeout(BOUND_S):
        waiting = asyncio.create_task(harness.partition.grant(grant_request("new")))
        await eventually(lambda: harness.guards[0].epochs == [1])
        end = loop_time_after(0.4)
        while asyncio.get_running_loop().time() < end:
            assert harness.partition.phase is Phase.RECOVERING
            await asyncio.sleep(0.02)
        harness.guards[1].refuses = False
        assert (await waiting).verdict == t.GrantVerdict.GRANTED


async def test_an_unresponsive_runner_gets_no_requests_after_a_takeover() -> None:
    """A runner does not respond after a takeover, so its running requests are unknown."""

    def prepare(harness: Harness) -> None:
        harness.reports.runners["r1"].silent = True

    async with serving(runners=2, prepare=prepare) as harness, asyncio.timeout(BOUND_S):
        first = await harness.partition.grant(grant_request("a"))
        assert first.runner_id == "r2"
        second = asyncio.create_task(harness.partition.grant(grant_request("b")))
        await eventually(lambda: harness.partition.depth() == 1)
        harness.reports.runners["r1"].silent = False
        assert (await second).runner_id == "r1"


async def test_slots_of_a_failed_frontend_are_freed_by_the_runners_report() -> None:
    """A frontend is killed with a request in progress and never releases its slot."""
    async with serving(guards=2) as harness, asyncio.timeout(BOUND_S):
        reply = await harness.partition.grant(grant_request("a", remaining_ms=60_000))
        assert reply.verdict == t.GrantVerdict.GRANTED
        runner = harness.reports.runners["r1"]
        runner.running.add("a")
        harness.view.frontends = harness.view.frontends[1:]
        second = asyncio.create_task(harness.partition.grant(grant_request("b", frontend_id="f2")))
        queries = runner.queries
        await eventually(lambda: runner.queries > queries + 2)
        assert not second.done()
        runner.running.clear()
        assert (await second).verdict == t.GrantVerdict.GRANTED


async def test_an_abandoned_request_frees_no_slot_of_an_earlier_attempt() -> None:
    """A client disconnects during a retry, while the first attempt may still be running.

    The frontend abandons the request id, which both attempts share. If that freed the slot, the
    runner would receive one request more than it has slots.
    """
    async with serving() as harness, asyncio.timeout(BOUND_S):
        first = await harness.partition.grant(grant_request("a"))
        harness.reports.runners["r1"].running.add("a")
        retry = grant_request("a", excluded_runners=["r1"])
        second = asyncio.create_task(harness.partition.grant(retry))
        await eventually(lambda: harness.partition.depth() == 1)
        abandon = t.AbandonRequest(
            partition=str(PARTITION), epoch=1, frontend_id="f1", request_id="a"
        )
        assert (await harness.partition.abandon(abandon)).accepted
        assert (await second).verdict != t.GrantVerdict.GRANTED
        assert harness.partition.ledger.free() == 0
        await harness.partition.release(release_request(first, "a", t.GrantEnd.DONE))
        assert harness.partition.ledger.free() == 1


async def test_a_repeated_request_gets_the_same_slot() -> None:
    """The reply with the grant is lost, and the frontend repeats its request."""
    async with serving(slots=2) as harness, asyncio.timeout(BOUND_S):
        first = await harness.partition.grant(grant_request("a"))
        again = await harness.partition.grant(grant_request("a"))
        assert again.grant_id == first.grant_id
        assert harness.partition.ledger.free() == 1


async def test_a_runner_that_fails_every_request_is_ejected() -> None:
    """A runner refuses every request immediately, so it is always the least loaded one."""
    async with serving(runners=4, slots=2) as harness, asyncio.timeout(BOUND_S):
        failures = 0
        for number in range(40):
            reply = await harness.partition.grant(grant_request(f"q{number}"))
            bad = reply.runner_id == "r1"
            failures += bad
            end = t.GrantEnd.REFUSED_BY_RUNNER if bad else t.GrantEnd.DONE
            await harness.partition.release(release_request(reply, f"q{number}", end))
        assert 3 <= failures <= 4


async def test_recovery_proceeds_after_a_failed_majority_times_out() -> None:
    """All frontends of a region fail at once and never acknowledge the new epoch.

    The service must recover without intervention, but not before any earlier owner must have
    stopped.
    """

    def prepare(harness: Harness) -> None:
        harness.guards[0].refuses = True
        ctx = harness.partition.ctx
        assert ctx.cfg.ownership.longest_extension_s > 1000
        ctx.clock.monotonic = lambda: asyncio.get_running_loop().time() + harness.skipped

    async with serving(prepare=prepare) as harness, asyncio.timeout(BOUND_S):
        await eventually(lambda: harness.guards[0].queries > 0)
        for skipped, phase in ((7000.0, Phase.RECOVERING), (7300.0, Phase.SERVING)):
            harness.skipped = skipped
            queries = harness.guards[0].queries
            await eventually(lambda queries=queries: harness.guards[0].queries > queries + 1)
            await eventually(lambda phase=phase: harness.partition.phase is phase)
