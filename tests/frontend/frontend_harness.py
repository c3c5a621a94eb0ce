"""Run a frontend in the test process, with a fake scheduler and test runners."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import attrs
from attrs import Factory, define

from rhubarbferry.conf.settings import (
    OwnershipSettings,
    ProcessSettings,
    RequestSettings,
    Settings,
)
from rhubarbferry.core.cell import Account, Cell, Service
from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.frontend.daemon import Frontend, assemble, bind_http, drain, make_http_server
from rhubarbferry.frontend.guard import Guard
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.ownership import Member, Owner, Role
from rhubarbferry.rpc import Pool, Server
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.rpc.services import GUARD, SCHEDULER
from rhubarbferry.test.runner import Runner

TIMEOUT_S = 10.0
PARTITION = "runner/a/s"

CELL = Cell(
    revision=1,
    regions=("a",),
    key_partitions_per_region=2,
    accounts={"acme": Account(name="acme"), "other": Account(name="other", share=3.0)},
    services={"s": Service(name="s")},
)
CFG = Settings(
    process=ProcessSettings(region="a", drain_s=5.0),
    ownership=OwnershipSettings(lease_s=1.0, longest_request_s=10.0),
    requests=RequestSettings(
        default_timeout_s=5.0,
        max_timeout_s=8.0,
        probe_s=0.1,
        silence_s=0.4,
        max_body_bytes=1024 * 1024,
        kept_answer_bytes=1024,
    ),
)


async def wait_until(condition: Callable[[], Any]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110 - the condition can depend on other tasks
            await asyncio.sleep(0.005)


@define
class FakeOwnership:
    """An ownership view backed by a dict of partition to (address, epoch)."""

    owners: dict[str, tuple[str, int]] = Factory(dict)
    frontends: list[Member] = Factory(list)

    def owner(self, partition: PartitionId) -> Owner | None:
        result = self.owners.get(str(partition))
        return None if result is None else Owner(member_id="m", address=result[0], epoch=result[1])

    def partitions(self, kind: PartitionKind, region: str | None = None) -> tuple[PartitionId, ...]:
        parsed = map(PartitionId.parse, self.owners)
        return tuple(sorted(p for p in parsed if p.kind is kind and region in (None, p.region)))

    def members(self, role: Role, region: str | None = None) -> tuple[Member, ...]:
        if role is Role.FRONTEND:
            return tuple(m for m in self.frontends if region in (None, m.region))
        return (Member(id="m", role=role, address="", region="a", failure_domain="x"),)


@define
class FakeCellView:
    cell: Cell = CELL

    def current(self) -> Cell:
        return self.cell


@define
class FakeNode:
    member_id: str = "frontend-1"
    ownership: FakeOwnership = Factory(FakeOwnership)
    cell: FakeCellView = Factory(FakeCellView)
    config_text: str = ""
    store_lost: bool = False


class FakeScheduler:
    """A scheduler that grants slots of the first runner that is not excluded.

    ``overrides`` maps a method to a function that is called before the default handler. If it
    returns ``None``, the default handler answers.
    """

    def __init__(self) -> None:
        self.runners: list[Runner] = []
        self.overrides: dict[str, Callable[[Any], Awaitable[Any]]] = {}
        self.calls: list[tuple[str, Any]] = []
        self.intents: dict[tuple[str, str], dict[str, Any]] = {}
        self.jobs: dict[str, t.JobSpec] = {}
        self.usable_ms = 900
        self.epoch = 1
        self._grants = itertools.count(1)
        names = ["grant", "release", "abandon", "begin_request", "finish_request"]
        names += ["submit_job", "get_job", "cancel_job", "list_jobs"]
        handlers = {name: self._handler(name) for name in names}
        self.server = Server(service=SCHEDULER, handlers={"ping": self._ping, **handlers})

    def _handler(self, name: str) -> Callable[[Any], Awaitable[Any]]:
        async def handle(req: Any) -> Any:
            self.calls.append((name, req))
            override = self.overrides.get(name)
            result = None if override is None else await override(req)
            return await getattr(self, f"_{name}")(req) if result is None else result

        return handle

    def called(self, name: str) -> list[Any]:
        return [req for called, req in self.calls if called == name]

    def releases(self) -> list[t.Release]:
        return [release for req in self.called("release") for release in req.releases]

    def release_ends(self) -> list[str]:
        return [t.GrantEnd(release.end).name for release in self.releases()]

    def finish_requests(self) -> list[t.FinishRequest]:
        return self.called("finish_request")

    async def _ping(self, req: t.PingRequest) -> t.PingReply:
        return t.PingReply()

    async def _grant(self, req: t.GrantRequest) -> t.GrantReply:
        excluded = req.excluded_runners or []
        for runner in self.runners:
            if runner.id not in excluded:
                return self.grant_reply(runner)
        return t.GrantReply(
            verdict=t.GrantVerdict.REFUSED, epoch=self.epoch, reason="no runner", retry_after_ms=700
        )

    def grant_reply(self, runner: Runner, **changes: Any) -> t.GrantReply:
        fields = {
            "verdict": t.GrantVerdict.GRANTED,
            "epoch": self.epoch,
            "grant_id": next(self._grants),
            "runner_id": runner.id,
            "runner_address": runner.address,
            "usable_ms": self.usable_ms,
        }
        return t.GrantReply(**(fields | changes))

    async def _release(self, req: t.ReleaseRequest) -> t.ReleaseReply:
        return t.ReleaseReply(epoch=self.epoch, accepted=True)

    async def _abandon(self, req: t.AbandonRequest) -> t.AbandonReply:
        return t.AbandonReply(accepted=True)

    async def _begin_request(self, req: t.IntentRequest) -> t.IntentReply:
        verdict, answer = t.IntentVerdict.COMMITTED, None
        intent = self.intents.setdefault(
            (req.account, req.key),
            {"id": req.request_id, "fingerprint": req.fingerprint, "outcome": None, "answer": None},
        )
        if intent["id"] != req.request_id:
            outcome, answer = intent["outcome"], intent["answer"]
            verdict = {
                None: t.IntentVerdict.RUNNING,
                t.RequestOutcome.DONE: t.IntentVerdict.RECORDED,
                t.RequestOutcome.UNKNOWN: t.IntentVerdict.UNKNOWN,
            }[outcome]
            if intent["fingerprint"] != req.fingerprint:
                verdict = t.IntentVerdict.MISMATCH
        return t.IntentReply(
            verdict=verdict, epoch=self.epoch, answer=answer, retry_after_ms=200, reason=""
        )

    async def _finish_request(self, req: t.FinishRequest) -> t.FinishReply:
        key = (req.account, req.key)
        if req.outcome == t.RequestOutcome.NOT_RUN:
            self.intents.pop(key, None)
        elif key in self.intents:
            self.intents[key]["outcome"] = req.outcome
            self.intents[key]["answer"] = req.answer
        return t.FinishReply(recorded=True, epoch=self.epoch)

    async def _submit_job(self, req: t.SubmitRequest) -> t.SubmitReply:
        for job_id, spec in self.jobs.items():
            if spec.key and (spec.account, spec.key) == (req.spec.account, req.spec.key):
                return t.SubmitReply(verdict=t.SubmitVerdict.DUPLICATE, epoch=1, job_id=job_id)
        self.jobs[req.job_id] = req.spec
        return t.SubmitReply(verdict=t.SubmitVerdict.ACCEPTED, epoch=1, job_id=req.job_id)

    def job_record(self, job_id: str, phase: t.JobPhase) -> t.JobRecord:
        return t.JobRecord(
            job_id=job_id,
            spec=self.jobs[job_id],
            phase=phase,
            tasks_waiting=1,
            tasks_running=0,
            tasks_done=0,
            tasks_failed=0,
            tasks_unknown=0,
            tasks_not_run=0,
            reason="no room",
            waited_ms=5,
        )

    async def _get_job(self, req: t.JobRequest) -> t.JobReply:
        if req.job_id not in self.jobs:
            return t.JobReply(verdict=t.JobVerdict.NO_SUCH_JOB, epoch=1)
        job = self.job_record(req.job_id, t.JobPhase.WAITING)
        return t.JobReply(verdict=t.JobVerdict.FOUND, epoch=1, job=job, explanation=["no room"])

    async def _cancel_job(self, req: t.JobRequest) -> t.JobReply:
        if req.job_id not in self.jobs:
            return t.JobReply(verdict=t.JobVerdict.NO_SUCH_JOB, epoch=1)
        job = self.job_record(req.job_id, t.JobPhase.CANCELLED)
        return t.JobReply(verdict=t.JobVerdict.FOUND, epoch=1, job=job)

    async def _list_jobs(self, req: t.JobListRequest) -> t.JobListReply:
        jobs = [
            self.job_record(job_id, t.JobPhase.WAITING)
            for job_id, spec in self.jobs.items()
            if spec.account == req.account and job_id.startswith(f"a.{req.partition[-1]}.")
        ]
        return t.JobListReply(verdict=t.JobVerdict.FOUND, epoch=1, jobs=jobs)


@define
class FrontendHarness:
    """A frontend, its fake scheduler and runners, and an HTTP client."""

    cfg: Settings
    node: FakeNode
    scheduler: FakeScheduler
    frontend: Frontend
    guard: Guard
    guard_address: str
    address: str
    http: Any
    serving: asyncio.Task
    client: aiohttp.ClientSession
    guards: Pool

    async def add_runner(self, **options: Any) -> Runner:
        runner = Runner(id=f"r{len(self.scheduler.runners) + 1}", service="s", **options)
        await runner.start()
        self.scheduler.runners.append(runner)
        return runner

    async def request(
        self,
        method: str = "POST",
        path: str = "/v1/services/s/work",
        *,
        body: Any = b"",
        account: str = "acme",
        **headers: str,
    ) -> tuple[int, Any, bytes]:
        all_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        if account:
            all_headers["Client-Account"] = account
        url = f"http://{self.address}{path}"
        async with asyncio.timeout(TIMEOUT_S):
            async with self.client.request(method, url, data=body, headers=all_headers) as res:
                return res.status, res.headers, await res.read()

    async def send_raw(self, text: bytes, *, close: bool = False) -> bytes:
        """Send raw bytes and return everything received until the connection closes."""
        host, _, port = self.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(text)
        if close:
            writer.write_eof()
        async with asyncio.timeout(TIMEOUT_S):
            result = await reader.read()
        writer.close()
        return result

    async def call_guard(self, method: str, req: Any) -> Any:
        return await self.guards.call(self.guard_address, method, req, timeout_s=TIMEOUT_S)

    async def close(self) -> None:
        await self.client.close()
        if not self.serving.done():
            cfg = attrs.evolve(self.cfg, process=attrs.evolve(self.cfg.process, drain_s=0.2))
            await drain(cfg, SystemClock(), self.frontend, self.http, self.serving)
        await self.guards.close()
        await self.scheduler.server.close()
        for runner in self.scheduler.runners:
            await runner.close()


async def build_harness(cfg: Settings) -> tuple[FrontendHarness, Server]:
    clock = SystemClock()
    scheduler = FakeScheduler()
    await scheduler.server.start("127.0.0.1", 0)
    node = FakeNode()
    for name in (PARTITION, "key/a/0", "key/a/1"):
        node.ownership.owners[name] = (scheduler.server.address, 1)
    guard = Guard(clock=clock, longest_promise_s=cfg.ownership.promise_s)
    guard.member_id = node.member_id
    rpc = Server(service=GUARD, handlers=guard.handlers())
    await rpc.start("127.0.0.1", 0)
    frontend = await assemble(cfg=cfg, clock=clock, node=node, guard=guard)
    sock = bind_http("127.0.0.1", 0)
    http = make_http_server(frontend.app, drain_s=5.0)
    serving = asyncio.create_task(http.serve(sockets=[sock]))
    harness = FrontendHarness(
        cfg=cfg,
        node=node,
        scheduler=scheduler,
        frontend=frontend,
        guard=guard,
        guard_address=rpc.address,
        address="{}:{}".format(*sock.getsockname()),
        http=http,
        serving=serving,
        client=aiohttp.ClientSession(),
        guards=Pool(service=GUARD),
    )
    await wait_until(lambda: http.started)
    return harness, rpc
