"""Fakes of the ports that scheduler partitions use."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence

from attrs import Factory, define

from rhubarbferry.conf.settings import OwnershipSettings, RequestSettings, Settings
from rhubarbferry.core.cell import Account, Cell, Service
from rhubarbferry.core.partition import PartitionId, PartitionKind, runner_partition
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.entry_log import LogError
from rhubarbferry.ports.hosts import Host, HostKind
from rhubarbferry.ports.ownership import Guard, Member, Owner, Role
from rhubarbferry.ports.runners import RunnerReport, RunnerUnreachable
from rhubarbferry.rpc import Pool, Server, Timing
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.rpc.services import GUARD, SCHEDULER, WORKER
from rhubarbferry.scheduler.context import Context

REGION = "nan"
SERVICE = "records"
PARTITION = runner_partition(region=REGION, service=SERVICE)
BOUND_S = 5.0


async def eventually(condition, *, timeout_s: float = BOUND_S) -> None:
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


@define(kw_only=True)
class FakeTenure:
    partition: PartitionId = PARTITION
    epoch: int = 1
    held: bool = True
    ended: bool = False

    def holds(self) -> bool:
        return self.held and not self.ended


@define(kw_only=True)
class FakeView:
    frontends: list[Member] = Factory(list)
    guard_set: list[Guard] = Factory(list)

    def owner(self, partition: PartitionId) -> Owner | None:
        return None

    def partitions(self, kind: PartitionKind, region: str | None = None):
        return (PARTITION,) if kind is PartitionKind.RUNNER else ()

    def members(self, role: Role, region: str | None = None):
        return tuple(self.frontends) if role is Role.FRONTEND else ()

    def guards(self, region: str):
        return tuple(self.guard_set)

    def guard_version(self, region: str) -> int:
        return 1


@define(kw_only=True)
class FakeHosts:
    listed: list[Host] = Factory(list)
    event: asyncio.Event = Factory(asyncio.Event)

    def hosts(self):
        return tuple(self.listed)

    async def changed(self) -> None:
        await self.event.wait()
        self.event.clear()

    def replace(self, listed: Iterable[Host]) -> None:
        self.listed = list(listed)
        self.event.set()


@define(kw_only=True)
class FakeCell:
    cell: Cell

    def current(self) -> Cell:
        return self.cell


@define(kw_only=True)
class FakeRunner:
    slots: int = 2
    running: set[str] = Factory(set)
    finished: set[str] = Factory(set)
    silent: bool = False
    queries: int = 0


@define(kw_only=True)
class FakeReports:
    runners: dict[str, FakeRunner] = Factory(dict)

    async def report(self, *, runner_id: str, address: str) -> RunnerReport:
        runner = self.runners[runner_id]
        runner.queries += 1
        if runner.silent:
            raise RunnerUnreachable(runner_id)
        return RunnerReport(
            runner_id=runner_id,
            slots=runner.slots,
            running=frozenset(runner.running),
            finished=frozenset(runner.finished),
        )

    async def close(self) -> None:
        pass


class FakeGuard:
    """The guard interface of a frontend, served over TCP."""

    def __init__(self, *, id: str) -> None:
        self.id = id
        self.grants: list[t.OpenGrant] = []
        self.epochs: list[int] = []
        self.refuses = False
        self.queries = 0
        self.server = Server(service=GUARD, handlers={"adopt": self.adopt, "ping": self.ping})

    async def ping(self, req: t.PingRequest) -> t.PingReply:
        return t.PingReply(member_id=self.id)

    async def adopt(self, req: t.AdoptRequest) -> t.AdoptReply:
        self.queries += 1
        accepted = not self.refuses
        if accepted:
            self.epochs.append(req.epoch)
        return t.AdoptReply(
            accepted=accepted,
            highest_epoch=max(self.epochs, default=0),
            promise_left_ms=0,
            grants=self.grants if accepted else [],
            guard_id=self.id,
        )

    def member(self) -> Member:
        return Member(
            id=self.id,
            role=Role.FRONTEND,
            address=self.server.address,
            region=REGION,
            failure_domain="a",
        )


class FakeLog:
    """An in-memory log that can fail appends.

    :ivar faults: errors raised by the next appends, ``None`` for a successful one.
    :ivar stored: whether the entries of a failed append are stored nevertheless.
    """

    def __init__(self, *, entries: Sequence[t.LogEntry] = ()) -> None:
        self.entries = list(entries)
        self.faults: list[LogError | None] = []
        self.stored = False
        self.gate: asyncio.Event | None = None
        self.compacted = 0

    async def open(self) -> Sequence[t.LogEntry]:
        return tuple(self.entries)

    async def append(self, entries: Sequence[t.LogEntry]) -> None:
        if self.gate is not None:
            await self.gate.wait()
        fault = self.faults.pop(0) if self.faults else None
        if fault is None or self.stored:
            self.entries.extend(entries)
        if fault is not None:
            raise fault

    async def compact(self, entries: Iterable[t.LogEntry]) -> None:
        self.entries = list(entries)
        self.compacted += 1

    def size(self) -> int:
        return len(self.entries)

    async def close(self) -> None:
        pass


def runner_host(id: str, *, leaving: bool = False) -> Host:
    return Host(
        id=id,
        address=f"{id}:1",
        kind=HostKind.RUNNER,
        region=REGION,
        failure_domain="a",
        service=SERVICE,
        leaving=leaving,
    )


def make_cell(*, slots: int = 2, accounts: Iterable[Account] = ()) -> Cell:
    known = {account.name: account for account in accounts} or {"lanna": Account(name="lanna")}
    return Cell(
        revision=1,
        regions=(REGION,),
        accounts=known,
        services={SERVICE: Service(name=SERVICE, slots=slots)},
    )


def make_context(
    *,
    view: FakeView | None = None,
    hosts: FakeHosts | None = None,
    cell: Cell | None = None,
    clock=None,
    cfg: Settings | None = None,
) -> Context:
    timing = Timing(connect_s=0.5, heartbeat_s=0.2, silence_s=0.6)
    return Context(
        member_id="scheduler-1",
        cfg=cfg
        or Settings(
            ownership=OwnershipSettings(longest_request_s=3.0, promise_s=0.5),
            requests=RequestSettings(grant_usable_s=0.3, probe_s=0.1),
        ),
        clock=clock or SystemClock(),
        store=None,
        ownership=view or FakeView(),
        hosts=hosts or FakeHosts(),
        cell=FakeCell(cell=cell or make_cell()),
        schedulers=Pool(service=SCHEDULER, timing=timing),
        guards=Pool(service=GUARD, timing=timing),
        workers=Pool(service=WORKER, timing=timing),
    )
