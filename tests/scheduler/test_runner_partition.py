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
class Bench:
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
    prepare=lambda bench: None,
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
    bench = Bench(
        partition=partition, tenure=tenure, view=view, hosts=hosts, reports=reports, guards=made
    )
    prepare(bench)

    async def live() -> None:
        await partition.recover()
        if not recover_only:
            await partition.serve()

    task = asyncio.create_task(live())
    try:
        yield bench
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await partition.close()
        await ctx.guards.close()
        for guard in made:
            await guard.server.close()


async def test_a_freed_slot_goes_to_the_next_at_once() -> None:
    async with serving() as bench, asyncio.timeout(BOUND_S):
        first = await bench.partition.grant(grant_request("a"))
        assert first.verdict == t.GrantVerdict.GRANTED
        second = asyncio.create_task(bench.partition.grant(grant_request("b")))
        await eventually(lambda: bench.partition.depth() == 1)
        reply = await bench.partition.release(release_request(first, "a", t.GrantEnd.DONE))
        assert reply.accepted
        assert (await second).verdict == t.GrantVerdict.GRANTED


async def test_a_grant_says_how_long_its_request_has_waited() -> None:
    """A request waits longer for its slot than a grant is usable.

    The frontend measures the usable time from before it sent the request. Without the waiting time
    in the reply, it would discard every slot that it waited for, and no request would be served at
    saturation.
    """
    async with serving() as bench, asyncio.timeout(BOUND_S):
        first = await bench.partition.grant(grant_request("a"))
        waiting = asyncio.create_task(bench.partition.grant(grant_request("b")))
        await eventually(lambda: bench.partition.depth() == 1)
        begun = bench.partition.ctx.clock.monotonic()
        await eventually(lambda: bench.partition.ctx.clock.monotonic() > begun + 0.1)
        await bench.partition.release(release_request(first, "a", t.GrantEnd.DONE))
        reply = await waiting
        assert 100 <= reply.waited_ms < 1000 * BOUND_S
        repeated = await bench.partition.grant(grant_request("b"))
        assert (repeated.grant_id, repeated.waited_ms) == (reply.grant_id, 0)
        assert repeated.usable_ms <= reply.usable_ms


@pytest.mark.parametrize("before", [0, 1], ids=["before the first configuration", "one slot"])
async def test_slots_follow_the_configuration(before) -> None:
    """A scheduler wins a service before it has read the configuration, or slots are added later.

    If slots were updated only when the host list changes, runners would stay idle while requests
    are refused, until a host is added or removed.
    """
    async with serving(slots=2) as bench, asyncio.timeout(BOUND_S):
        bench.partition.ctx.cell.cell = make_cell(slots=before)
        await eventually(lambda: bench.partition.phase is Phase.SERVING)
        await eventually(lambda: bench.partition.ledger.capacity() == before)
        bench.partition.ctx.cell.cell = make_cell(slots=2)
        await eventually(lambda: bench.partition.ledger.capacity() == 2)
        for name in ("a", "b"):
            reply = await bench.partition.grant(grant_request(name))
            assert reply.verdict == t.GrantVerdict.GRANTED


async def test_the_expected_wait_is_told_and_only_by_an_owner_that_grants() -> None:
    """Frontends send requests to the region with the shortest expected wait.

    A region without slots, or whose owner may not act, must not appear to have free slots.
    """

    def ask(epoch: int = 1) -> t.WaitsRequest:
        classes = [
            t.WaitClass(account=name, priority=t.Priority.NORMAL) for name in ("lanna", "nobody")
        ]
        return t.WaitsRequest(partition=str(PARTITION), epoch=epoch, classes=classes)

    async with serving() as bench, asyncio.timeout(BOUND_S):
        first = await bench.partition.grant(grant_request("a"))
        assert first.expected_wait_ms == -1
        await bench.partition.release(release_request(first, "a", t.GrantEnd.DONE))
        assert (await bench.partition.waits(ask())).waits_ms == [0, -1]
        second = await bench.partition.grant(grant_request("b"))
        assert second.expected_wait_ms >= 5
        assert (await bench.partition.waits(ask())).waits_ms[0] >= 5
        assert not (await bench.partition.waits(ask(epoch=2))).owner
        bench.tenure.held = False
        assert not (await bench.partition.waits(ask())).owner
        bench.tenure.held = True
        bench.partition.ctx.cell.cell = make_cell(slots=0)
        await eventually(lambda: bench.partition.ledger.capacity() == 0)
        assert (await bench.partition.waits(ask())).waits_ms == [-1, -1]


async def test_requests_that_come_during_recovery_wait_for_its_end() -> None:
    async with serving() as bench, asyncio.timeout(BOUND_S):
        assert bench.partition.phase is Phase.RECOVERING
        reply = await bench.partition.grant(grant_request("a"))
        assert reply.verdict == t.GrantVerdict.GRANTED
        assert bench.guards[0].epochs == [1]


async def test_a_request_past_its_deadline_gets_its_final_answer() -> None:
    async with serving() as bench, asyncio.timeout(BOUND_S):
        await bench.partition.grant(grant_request("a"))
        reply = await bench.partition.grant(grant_request("b", remaining_ms=50))
        assert reply.verdict == t.GrantVerdict.REFUSED
        assert reply.retry_after_ms > 0
        assert bench.partition.depth() == 0


@pytest.mark.parametrize("case", ["lease over", "higher epoch in the request", "draining"])
async def test_an_owner_that_may_not_act_grants_nothing(case: str) -> None:
    """The owner was paused beyond its lease, or the caller has seen a later owner.

    The same slot could be granted by its successor too, which would overload the runner.
    """
    async with serving() as bench, asyncio.timeout(BOUND_S):
        await eventually(lambda: bench.partition.phase is Phase.SERVING)
        epoch = 1
        match case:
            case "lease over":
                bench.tenure.held = False
            case "higher epoch in the request":
                epoch = 2
            case "draining":
                await bench.partition.drain()
        reply = await bench.partition.grant(grant_request("a", epoch=epoch))
        assert reply.verdict == t.GrantVerdict.NOT_OWNER


async def test_an_owner_whose_lease_ran_out_gives_no_freed_slot_to_those_who_wait() -> None:
    """A process with a waiting request is paused and receives a release after its lease ended."""
    async with serving() as bench, asyncio.timeout(BOUND_S):
        first = await bench.partition.grant(grant_request("a"))
        waiting = asyncio.create_task(bench.partition.grant(grant_request("b", remaining_ms=300)))
        await eventually(lambda: bench.partition.depth() == 1)
        bench.tenure.held = False
        await bench.partition.release(release_request(first, "a", t.GrantEnd.DONE))
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


def later(seconds: float) -> float:
    return asyncio.get_running_loop().time() + seconds


@pytest.mark.parametrize("sent", [False, True])
async def test_a_successor_gives_no_slot_that_a_guard_still_holds(sent: bool) -> None:
    """The owner fails while a frontend holds one of its grants, used or unused.

    A successor with an empty ledger would grant the slot a second time, and the runner would
    receive more requests than it has slots.
    """

    def prepare(bench: Bench) -> None:
        bench.guards[0].grants = [open_grant("old", sent=sent)]
        if sent:
            bench.reports.runners["r1"].running.add("old")

    async with serving(prepare=prepare) as bench, asyncio.timeout(BOUND_S):
        await eventually(lambda: bench.partition.phase is Phase.SERVING)
        waiting = asyncio.create_task(bench.partition.grant(grant_request("new")))
        await eventually(lambda: bench.reports.runners["r1"].asked > 0)
        await eventually(lambda: bench.partition.depth() == 1)
        end = later(0.6)
        while asyncio.get_running_loop().time() < end:
            assert not waiting.done()
            await asyncio.sleep(0.02)
        old = t.GrantReply(verdict=0, epoch=0, grant_id=77, runner_id="r1")
        bench.reports.runners["r1"].running.clear()
        await bench.partition.release(release_request(old, "old", t.GrantEnd.DONE))
        assert (await waiting).verdict == t.GrantVerdict.GRANTED


async def test_what_an_unheard_guard_may_hold_counts_as_taken() -> None:
    """The owner and one of three frontends fail together while the frontend holds a grant.

    No guard reports that grant to the successor. The request reaches the runner after the
    takeover, and only the runner can report it.
    """

    def prepare(bench: Bench) -> None:
        bench.guards[2].deaf = True

    async with serving(guards=3, prepare=prepare) as bench, asyncio.timeout(BOUND_S):
        began = later(0)
        waiting = asyncio.create_task(bench.partition.grant(grant_request("new")))
        await eventually(lambda: bench.partition.phase is Phase.SERVING)
        bench.reports.runners["r1"].running.add("unheard")
        await eventually(lambda: bench.reports.runners["r1"].asked > 2)
        assert not waiting.done()
        bench.reports.runners["r1"].running.clear()
        assert (await waiting).verdict == t.GrantVerdict.GRANTED
        usable_s = bench.partition.ctx.cfg.requests.grant_usable_s
        assert later(0) - began >= usable_s


async def test_nothing_is_decided_before_a_majority_of_guards_has_acknowledged() -> None:
    """Two of three frontends still give promises to an earlier owner that is only disconnected.

    If the successor granted slots now, both owners would grant the same slots.
    """

    def prepare(bench: Bench) -> None:
        bench.guards[1].deaf = bench.guards[2].deaf = True

    async with serving(guards=3, prepare=prepare) as bench, asyncio.timeout(BOUND_S):
        waiting = asyncio.create_task(bench.partition.grant(grant_request("new")))
        await eventually(lambda: bench.guards[0].epochs == [1])
        end = later(0.4)
        while asyncio.get_running_loop().time() < end:
            assert bench.partition.phase is Phase.RECOVERING
            await asyncio.sleep(0.02)
        bench.guards[1].deaf = False
        assert (await waiting).verdict == t.GrantVerdict.GRANTED


async def test_a_silent_runner_gets_nothing_after_a_takeover() -> None:
    """A runner does not respond after a takeover, so its running requests are unknown."""

    def prepare(bench: Bench) -> None:
        bench.reports.runners["r1"].silent = True

    async with serving(runners=2, prepare=prepare) as bench, asyncio.timeout(BOUND_S):
        first = await bench.partition.grant(grant_request("a"))
        assert first.runner_id == "r2"
        second = asyncio.create_task(bench.partition.grant(grant_request("b")))
        await eventually(lambda: bench.partition.depth() == 1)
        bench.reports.runners["r1"].silent = False
        assert (await second).runner_id == "r1"


async def test_a_dead_frontends_slots_come_back_on_the_runners_word() -> None:
    """A frontend is killed with a request in progress and never releases its slot."""
    async with serving(guards=2) as bench, asyncio.timeout(BOUND_S):
        reply = await bench.partition.grant(grant_request("a", remaining_ms=60_000))
        assert reply.verdict == t.GrantVerdict.GRANTED
        runner = bench.reports.runners["r1"]
        runner.running.add("a")
        bench.view.frontends = bench.view.frontends[1:]
        second = asyncio.create_task(bench.partition.grant(grant_request("b", frontend_id="f2")))
        asked = runner.asked
        await eventually(lambda: runner.asked > asked + 2)
        assert not second.done()
        runner.running.clear()
        assert (await second).verdict == t.GrantVerdict.GRANTED


async def test_an_abandoned_request_frees_no_slot_of_an_earlier_attempt() -> None:
    """A client disconnects during a retry, while the first attempt may still be running.

    The frontend abandons the request id, which both attempts share. If that freed the slot, the
    runner would receive one request more than it has slots.
    """
    async with serving() as bench, asyncio.timeout(BOUND_S):
        first = await bench.partition.grant(grant_request("a"))
        bench.reports.runners["r1"].running.add("a")
        retry = grant_request("a", excluded_runners=["r1"])
        second = asyncio.create_task(bench.partition.grant(retry))
        await eventually(lambda: bench.partition.depth() == 1)
        abandon = t.AbandonRequest(
            partition=str(PARTITION), epoch=1, frontend_id="f1", request_id="a"
        )
        assert (await bench.partition.abandon(abandon)).accepted
        assert (await second).verdict != t.GrantVerdict.GRANTED
        assert bench.partition.ledger.free() == 0
        await bench.partition.release(release_request(first, "a", t.GrantEnd.DONE))
        assert bench.partition.ledger.free() == 1


async def test_a_request_that_asks_again_gets_the_same_slot() -> None:
    """The reply with the grant is lost, and the frontend repeats its request."""
    async with serving(slots=2) as bench, asyncio.timeout(BOUND_S):
        first = await bench.partition.grant(grant_request("a"))
        again = await bench.partition.grant(grant_request("a"))
        assert again.grant_id == first.grant_id
        assert bench.partition.ledger.free() == 1


async def test_a_runner_that_fails_every_request_is_left_out() -> None:
    """A runner refuses every request immediately, so it is always the least loaded one."""
    async with serving(runners=4, slots=2) as bench, asyncio.timeout(BOUND_S):
        failures = 0
        for number in range(40):
            reply = await bench.partition.grant(grant_request(f"q{number}"))
            bad = reply.runner_id == "r1"
            failures += bad
            end = t.GrantEnd.REFUSED_BY_RUNNER if bad else t.GrantEnd.DONE
            await bench.partition.release(release_request(reply, f"q{number}", end))
        assert 3 <= failures <= 4


async def test_a_majority_that_is_dead_is_waited_out() -> None:
    """All frontends of a region fail at once and never acknowledge the new epoch.

    The service must recover without intervention, but not before any earlier owner must have
    stopped.
    """

    def prepare(bench: Bench) -> None:
        bench.guards[0].deaf = True
        ctx = bench.partition.ctx
        assert ctx.cfg.ownership.longest_extension_s > 1000
        ctx.clock.monotonic = lambda: asyncio.get_running_loop().time() + bench.skipped

    async with serving(prepare=prepare) as bench, asyncio.timeout(BOUND_S):
        await eventually(lambda: bench.guards[0].asked > 0)
        for skipped, phase in ((7000.0, Phase.RECOVERING), (7300.0, Phase.SERVING)):
            bench.skipped = skipped
            asked = bench.guards[0].asked
            await eventually(lambda asked=asked: bench.guards[0].asked > asked + 1)
            await eventually(lambda phase=phase: bench.partition.phase is phase)
