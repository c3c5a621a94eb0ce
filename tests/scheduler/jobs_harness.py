"""A small cluster for tests: workers, partitions and clients in one process, over TCP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence

from attrs import define, evolve, field

from rhubarbferry.conf.settings import JobSettings, OwnershipSettings, Settings
from rhubarbferry.core.cell import Account, Cell, Size
from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.core.promise import HeldPromises
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.entry_log import LogFenced, LogUnavailable, LogUnclear
from rhubarbferry.ports.hosts import Host, HostKind
from rhubarbferry.ports.ownership import Member, Owner, Role
from rhubarbferry.rpc import Pool, Server, Timing
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.rpc.services import GUARD, SCHEDULER, WORKER
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.job_home import JobHome
from rhubarbferry.scheduler.worker_partition import WorkerPartition
from rhubarbferry.test.worker import Run, WorkerEngine, WorkerStandIn

BOUND_S = 8.0
POLL_INTERVAL_S = 0.005
RACK = PartitionId.parse("worker/north/r1")
HOME = PartitionId.parse("key/north/0")
TIMING = Timing(connect_s=0.5, heartbeat_s=0.2, silence_s=1.0)
CAPACITY = Size(millicores=8000, memory_bytes=16_000, accelerators=2)
FAST = Settings(
    jobs=JobSettings(
        task_lease_s=0.6, renew_s=0.1, claim_batch_s=0.002, reserve_s=0.5, patience_s=0.3
    ),
    ownership=OwnershipSettings(lease_s=0.5, clock_margin_s=0.1, promise_s=0.4),
)


async def eventually(condition: Callable[[], bool], *, timeout_s: float = BOUND_S) -> None:
    """Wait until a condition holds; fail after ``timeout_s`` seconds."""
    for _ in range(int(timeout_s / POLL_INTERVAL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    assert condition()


@define(kw_only=True, eq=False)
class FakeTenure:
    partition: PartitionId
    epoch: int
    held: bool = True
    lease_valid: bool = True
    promises: HeldPromises = field(factory=HeldPromises)

    def holds(self) -> bool:
        return self.held and (self.lease_valid or self.promises.majority(SystemClock().monotonic()))

    def lease_holds(self) -> bool:
        return self.held and self.lease_valid

    def observe_epoch(self, epoch: int) -> None:
        if epoch > self.epoch:
            self.held = False


@define(kw_only=True, eq=False)
class FakeOwnership:
    owners: dict[PartitionId, Owner] = field(factory=dict)

    def owner(self, partition: PartitionId) -> Owner | None:
        return self.owners.get(partition)

    def partitions(self, kind: PartitionKind, region: str | None = None) -> tuple[PartitionId, ...]:
        known = (p for p in self.owners if p.kind is kind and region in (None, p.region))
        return tuple(sorted(known))

    def members(self, role: Role, region: str | None = None) -> tuple[Member, ...]:
        return ()


class FakeHosts:
    def __init__(self) -> None:
        self.list: dict[str, Host] = {}
        self._changed = asyncio.Event()

    def hosts(self) -> tuple[Host, ...]:
        return tuple(self.list.values())

    async def changed(self) -> None:
        await self._changed.wait()
        self._changed.clear()

    def put(self, host: Host) -> None:
        self.list[host.id] = host
        self._changed.set()

    def drop(self, id: str) -> None:
        del self.list[id]
        self._changed.set()


@define(kw_only=True, eq=False)
class FakeCell:
    cell: Cell

    def current(self) -> Cell:
        return self.cell


class MemoryLog:
    """An in-memory log of one key partition that outlives the owner of the partition."""

    def __init__(self, entries: list[t.LogEntry] | None = None) -> None:
        self.entries: list[t.LogEntry] = [] if entries is None else entries
        self.down = False
        self.fenced = False
        self.unclear = False
        self.writes = 0
        self.after_append: Callable[[], None] = lambda: None

    async def open(self) -> Sequence[t.LogEntry]:
        return list(self.entries)

    async def append(self, entries: Sequence[t.LogEntry]) -> None:
        await asyncio.sleep(0)
        if self.fenced:
            raise LogFenced("sealed")
        if self.down:
            raise LogUnavailable("down")
        self.writes += 1
        self.entries.extend(entries)
        if self.unclear:
            raise LogUnclear("the reply was lost")
        # Runs one event loop step after the append, as a compaction may.
        asyncio.get_running_loop().call_soon(self.after_append)

    async def compact(self, entries: Iterable[t.LogEntry]) -> None:
        self.entries[:] = list(entries)

    def size(self) -> int:
        return len(self.entries)


@define(kw_only=True, eq=False)
class Serving:
    """A served partition or component and the resources to stop with it."""

    state: JobHome | WorkerPartition
    tenure: FakeTenure
    server: Server
    task: asyncio.Task[None]
    log: MemoryLog | None = None


class Cluster:
    """A cluster of in-process components; use as an async context manager."""

    def __init__(self, *, cfg: Settings = FAST, accounts: Iterable[Account] = ()) -> None:
        self.cfg = cfg
        self.clock = SystemClock()
        self.ownership = FakeOwnership()
        self.hosts = FakeHosts()
        given = list(accounts) or [Account(name="assay"), Account(name="orders")]
        cell = Cell(revision=1, regions=("north", "south"), accounts={a.name: a for a in given})
        self.cell = FakeCell(cell=cell)
        self.schedulers = Pool(service=SCHEDULER, timing=TIMING)
        self.workers_pool = Pool(service=WORKER, timing=TIMING)
        self.guards = Pool(service=GUARD, timing=TIMING)
        self.workers: dict[str, WorkerStandIn] = {}
        self.serving: list[Serving] = []
        self.epochs: dict[PartitionId, int] = {}

    async def __aenter__(self) -> Cluster:
        return self

    async def __aexit__(self, *_: object) -> None:
        for serving in list(self.serving):
            await self.stop(serving)
        for pool in (self.schedulers, self.workers_pool, self.guards):
            await pool.close()
        for worker in self.workers.values():
            await worker.close()

    def context(self, member_id: str) -> Context:
        return Context(
            member_id=member_id,
            cfg=self.cfg,
            clock=self.clock,
            store=None,
            ownership=self.ownership,
            hosts=self.hosts,
            cell=self.cell,
            schedulers=self.schedulers,
            guards=self.guards,
            workers=self.workers_pool,
        )

    async def worker(
        self, id: str, *, capacity: Size = CAPACITY, domain: str = "d1", rack: str = "r1"
    ) -> WorkerStandIn:
        engine = WorkerEngine(id=id, capacity=capacity, clock=self.clock)
        worker = WorkerStandIn(engine=engine, clock=self.clock)
        await worker.start()
        self.workers[id] = worker
        self.hosts.put(
            Host(
                id=id,
                address=worker.address,
                kind=HostKind.WORKER,
                region="north",
                failure_domain=domain,
                rack=rack,
            )
        )
        return worker

    def mark_leaving(self, id: str) -> None:
        self.hosts.put(evolve(self.hosts.list[id], leaving=True))

    async def rack(
        self, partition: PartitionId = RACK, *, cls: type[WorkerPartition] = WorkerPartition
    ) -> Serving:
        tenure = self._tenure(partition)
        state = cls(tenure=tenure, ctx=self.context(f"w{tenure.epoch}"))
        return await self._serve(state, tenure, None)

    async def home(self, log: MemoryLog | None = None, partition: PartitionId = HOME) -> Serving:
        tenure = self._tenure(partition)
        log = log or MemoryLog()
        state = JobHome(tenure=tenure, ctx=self.context(f"h{tenure.epoch}"), log=log)
        for entry in await log.open():
            state.replay(entry)
        return await self._serve(state, tenure, log)

    def _tenure(self, partition: PartitionId) -> FakeTenure:
        self.epochs[partition] = self.epochs.get(partition, 0) + 1
        return FakeTenure(partition=partition, epoch=self.epochs[partition])

    async def _serve(
        self, state: JobHome | WorkerPartition, tenure: FakeTenure, log: MemoryLog | None
    ) -> Serving:
        server = Server(service=SCHEDULER, handlers={"ping": _ping, **state.handlers()})
        await server.start("127.0.0.1", 0)
        self.ownership.owners[tenure.partition] = Owner(
            member_id=f"m{tenure.epoch}", address=server.address, epoch=tenure.epoch
        )
        await state.recover()
        task = asyncio.create_task(state.serve())
        serving = Serving(state=state, tenure=tenure, server=server, task=task, log=log)
        self.serving.append(serving)
        return serving

    async def stop(self, serving: Serving) -> None:
        """Stop an owner as a crash would, without draining or handing over."""
        if serving in self.serving:
            self.serving.remove(serving)
        serving.tenure.held = False
        serving.task.cancel()
        await asyncio.gather(serving.task, return_exceptions=True)
        if isinstance(serving.state, WorkerPartition):
            await serving.state.close()
        await serving.server.close()

    async def call(self, partition: PartitionId, method: str, req: object) -> object:
        owner = self.ownership.owners[partition]
        return await self.schedulers.call(owner.address, method, req, timeout_s=BOUND_S)

    async def submit(self, job_id: str, spec: t.JobSpec) -> t.SubmitReply:
        epoch = self.ownership.owners[HOME].epoch
        req = t.SubmitRequest(partition=str(HOME), epoch=epoch, job_id=job_id, spec=spec)
        return await self.call(HOME, "submit_job", req)

    async def job(self, job_id: str) -> t.JobReply:
        epoch = self.ownership.owners[HOME].epoch
        req = t.JobRequest(partition=str(HOME), epoch=epoch, job_id=job_id)
        return await self.call(HOME, "get_job", req)

    async def cancel(self, job_id: str) -> t.JobReply:
        epoch = self.ownership.owners[HOME].epoch
        req = t.JobRequest(partition=str(HOME), epoch=epoch, job_id=job_id)
        return await self.call(HOME, "cancel_job", req)

    async def job_until(
        self, job_id: str, condition: Callable[[t.JobRecord], bool], *, timeout_s: float = BOUND_S
    ) -> t.JobRecord:
        async with asyncio.timeout(timeout_s):
            while True:
                reply = await self.job(job_id)
                if reply.job is not None and condition(reply.job):
                    return reply.job
                await asyncio.sleep(0.01)

    def runs(self) -> list[Run]:
        return [run for worker in self.workers.values() for run in worker.engine.record.runs]


async def _ping(_: t.PingRequest) -> t.PingReply:
    return t.PingReply(member_id="m")


def spec(
    *,
    account: str = "assay",
    kind: int = t.JobKind.BATCH,
    tasks: int = 1,
    millicores: int = 1000,
    memory_bytes: int = 1000,
    accelerators: int = 0,
    idempotent: bool = True,
    run_ms: int = 50,
    key: str | None = None,
    priority: int = t.Priority.NORMAL,
    preemptible: bool = False,
) -> t.JobSpec:
    return t.JobSpec(
        account=account,
        kind=kind,
        tasks=tasks,
        size=t.Resources(
            millicores=millicores, memory_bytes=memory_bytes, accelerators=accelerators
        ),
        priority=priority,
        idempotent=idempotent,
        preemptible=preemptible,
        run_ms=run_ms,
        key=key,
    )


def task_of(run: Run) -> str:
    """Return the id of a run's task, without the attempt number."""
    return run.task_id.rsplit("/", 1)[0]


def assert_no_overlap(runs: Iterable[Run]) -> None:
    """Fail if the workers ran two attempts of one task at the same time."""
    by_task: dict[str, list[Run]] = {}
    for run in runs:
        by_task.setdefault(task_of(run), []).append(run)
    for task, attempts in by_task.items():
        attempts.sort(key=lambda run: run.started_at)
        for first, second in zip(attempts, attempts[1:], strict=False):
            assert (
                first.ended_at is not None
            ), f"{task} still runs while another attempt was started"
            assert first.ended_at <= second.started_at, f"attempts of {task} overlap"
