"""Run a cell of real processes and hosts through the faults of a plan."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from pathlib import Path
from random import Random

import aiohttp
from attrs import Factory, define, field

from rhubarbferry.test.platform_worker import PlatformPolicyStandIn
from tests.cell.cell_harness import (
    HOST,
    PREFIX,
    SERVICE,
    CellHarness,
    MemberProcess,
    configuration,
    free_ports,
    member_address,
)

from .cell_process import FAULT_VARIABLE, ROUTES_VARIABLE
from .links import Rule, SoakLink
from .plan import ALL, CELLS, HOSTS, OTHERS, OWNER, Fault, Kind, Plan
from .records import Findings, Record, examine

# Addresses of hosts follow those of the processes.
FIRST_HOST_ADDRESS = 32
CLIENTS = 8
SUBMISSION_INTERVAL_S = (0.3, 1.0)
SUBMISSION_ATTEMPTS = 4
# Time after the last fault in which runs that were started too early still show.
SETTLING_S = 4.0
STOP_TIMEOUT_S = 8.0
# Every second write is lost.
LOSE_EVERY = 2

RULES = {
    Kind.DELAY: lambda delay_s: Rule(delay_s=delay_s),
    Kind.DELAY_ORDERS: lambda delay_s: Rule(order_delay_s=delay_s),
    Kind.HOLD: lambda _: Rule(hold=True),
    Kind.HOLD_POLLS: lambda delay_s: Rule(hold_polls=True, order_delay_s=delay_s),
    Kind.DROP_TO: lambda _: Rule(drop_to=True),
    Kind.DROP_FROM: lambda _: Rule(drop_from=True),
    Kind.REFUSE: lambda _: Rule(refuse=True),
    Kind.STORE_DELAY: lambda delay_s: Rule(delay_s=delay_s),
    Kind.STORE_HOLD: lambda _: Rule(hold=True),
    Kind.STORE_DROP_TO: lambda _: Rule(drop_to=True),
    Kind.STORE_DROP_FROM: lambda _: Rule(drop_from=True),
}


@define(kw_only=True)
class SoakHost:
    """One host, over all its lives."""

    id: str
    ip: str
    port: int
    pid_fd: int = 0
    born: int = 0
    up: asyncio.Event = Factory(asyncio.Event)

    @property
    def address(self) -> str:
        return f"{self.ip}:{self.port}"


@define(kw_only=True, eq=False)
class SoakCell:
    """A cell, its hosts, clients and faults."""

    dir: Path
    plan: Plan
    fault: str = ""
    hosts: list[SoakHost] = Factory(list)
    kills: dict[tuple[str, int], float] = Factory(dict)
    log: list[str] = Factory(list)
    accepted: int = 0
    harness: CellHarness = field(init=False)
    _host_links: dict[tuple[int, int], SoakLink] = Factory(dict)
    _store_links: dict[int, SoakLink] = Factory(dict)
    _farm: asyncio.subprocess.Process = field(init=False)
    _busy_cells: set[int] = Factory(set)
    _busy_hosts: set[int] = Factory(set)
    _began: float = 0.0

    async def run(self) -> Findings:
        """Run the plan; return what the hosts' records show."""
        (self.dir / "records").mkdir(parents=True, exist_ok=True)
        self.harness = CellHarness(
            dir=self.dir,
            module="tests.cell.soak.cell_process",
            environment={ROUTES_VARIABLE: str(self.dir), FAULT_VARIABLE: self.fault},
            policy=PlatformPolicyStandIn(decision_s=self.plan.decision_s, born=self._born),
        )
        self._farm = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.cell.soak.hosts",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            async with asyncio.TaskGroup() as tasks:
                reading = tasks.create_task(self._read_farm())
                async with self.harness:
                    await self._start()
                    await self._play()
                reading.cancel()
        finally:
            await self._stop_hosts()
            for link in [*self._host_links.values(), *self._store_links.values()]:
                await link.close()
        return examine(self.records(), self.kills)

    def records(self) -> list[Record]:
        """Return the records of all hosts."""
        return [
            json.loads(line)
            for path in sorted((self.dir / "records").iterdir())
            for line in path.read_text().splitlines()
        ]

    def _born(self, id: str) -> int:
        return next(host.born for host in self.hosts if host.id == id)

    async def _start(self) -> None:
        self.harness.store.faults.page_items = self.plan.page_items
        cost = {
            "decisionMs": int(self.plan.decision_s * 1000),
            "perWorkerMs": 0,
            "validMs": self.harness.policy.valid_ms,
        }
        self.harness.store.put("op/config", configuration(advisor=cost))
        for index in range(HOSTS):
            ip = member_address(FIRST_HOST_ADDRESS + index, pid=os.getpid())
            host = SoakHost(id=f"h{index}", ip=ip, port=free_ports(ip, 1)[0])
            self.hosts.append(host)
            await self._start_host(host)
            self._list_host(host)
        for cell in range(CELLS):
            link = SoakLink(target=self.harness.store_address)
            await link.open()
            self._store_links[cell] = link
            self.harness.store_addresses[_name(cell)] = link.address
            routes = {}
            for index, host in enumerate(self.hosts):
                link = SoakLink(target=host.address)
                await link.open()
                self._host_links[cell, index] = link
                routes[host.address] = link.address
            (self.dir / f"{_name(cell)}.json").write_text(json.dumps(routes))
        members = [await self.harness.start(_name(cell)) for cell in range(CELLS)]
        for member in members:
            await self.harness.ready(member)
        await self.harness.wait_for_owner()

    async def _play(self) -> None:
        self._began = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            clients = [tasks.create_task(self._submit_jobs(index)) for index in range(CLIENTS)]
            faults = []
            for fault in self.plan.faults:
                await asyncio.sleep(max(0.0, self._began + fault.at - time.monotonic()))
                faults.append(tasks.create_task(self._apply(fault)))
            await asyncio.sleep(max(0.0, self._began + self.plan.length_s - time.monotonic()))
            await asyncio.gather(*faults)
            for client in clients:
                client.cancel()
        await asyncio.sleep(SETTLING_S)

    def _note(self, text: str) -> None:
        self.log.append(f"{time.monotonic():.3f} {text}")

    # ------------------------------------------------------------ hosts

    async def _read_farm(self) -> None:
        assert self._farm.stdout is not None
        while line := await self._farm.stdout.readline():
            row = json.loads(line)
            host = next(host for host in self.hosts if host.id == row["id"])
            host.pid_fd, host.born = os.pidfd_open(row["pid"]), row["born"]
            host.up.set()

    async def _start_host(self, host: SoakHost) -> None:
        assert self._farm.stdin is not None
        order = {
            "id": host.id,
            "ip": host.ip,
            "port": host.port,
            "service": SERVICE,
            "records": str(self.dir / "records" / f"{host.id}.jsonl"),
        }
        host.up.clear()
        self._farm.stdin.write(json.dumps(order).encode() + b"\n")
        async with asyncio.timeout(10):
            await host.up.wait()
        self._note(f"{host.id} is up, life {host.born}")

    def _list_host(self, host: SoakHost) -> None:
        entry = {
            "service": SERVICE,
            "addr": host.address,
            "zone": "zone",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": 8000, "memMb": 16000, "gpu": 0},
            "labels": ["a", "r1-1"],
            "seq": 1,
            "born": host.born,
        }
        self.harness.store.put(f"servers/{host.id}", entry)

    async def _kill_host(self, host: SoakHost) -> None:
        ended = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_reader(host.pid_fd, ended.set)
        self.kills[host.id, host.born] = time.monotonic()
        signal.pidfd_send_signal(host.pid_fd, signal.SIGKILL)
        await ended.wait()
        loop.remove_reader(host.pid_fd)
        os.close(host.pid_fd)
        host.pid_fd = 0
        self._note(f"{host.id} is killed, life {host.born}")

    async def _restart_host(self, index: int, fault: Fault) -> None:
        host = self.hosts[index]
        if index in self._busy_hosts:
            return
        self._busy_hosts.add(index)
        try:
            await self._kill_host(host)
            await asyncio.sleep(fault.duration_s)
            await self._start_host(host)
            await asyncio.sleep(fault.delay_s)
            self._list_host(host)
        finally:
            self._busy_hosts.discard(index)

    async def _unlist_host(self, index: int, fault: Fault) -> None:
        if index in self._busy_hosts:
            return
        self._busy_hosts.add(index)
        try:
            self.harness.store.remove(f"servers/{self.hosts[index].id}")
            await asyncio.sleep(fault.duration_s)
            self._list_host(self.hosts[index])
        finally:
            self._busy_hosts.discard(index)

    async def _stop_hosts(self) -> None:
        for host in self.hosts:
            if host.pid_fd:
                await self._kill_host(host)
        if self._farm.returncode is None:
            assert self._farm.stdin is not None
            self._farm.stdin.close()
            await self._farm.wait()

    # ------------------------------------------------------------ faults

    async def _apply(self, fault: Fault) -> None:
        cells = self._cells(fault.cell)
        self._note(f"{fault.kind} cells={cells} {fault}")
        faults = self.harness.store.faults
        match fault.kind:
            case Kind.KILL_CELL | Kind.STOP_CELL | Kind.PAUSE_CELL:
                await asyncio.gather(*(self._disturb_cell(cell, fault) for cell in cells))
            case Kind.RESTART_HOST:
                await asyncio.gather(*(self._restart_host(i, fault) for i in fault.hosts))
            case Kind.UNLIST_HOST:
                await asyncio.gather(*(self._unlist_host(i, fault) for i in fault.hosts))
            case Kind.LOSE_ANSWERS:
                faults.lose_every, faults.late_s = LOSE_EVERY, 0.0
                await asyncio.sleep(fault.duration_s)
                faults.lose_every = 0
            case Kind.SILENT_WATCHES:
                faults.deaf = True
                await asyncio.sleep(fault.duration_s)
                faults.deaf = False
            case Kind.RESET:
                for cell in cells:
                    for index in fault.hosts:
                        self._host_links[cell, index].reset()
            case _:
                await self._change_paths(cells, fault)

    async def _change_paths(self, cells: list[int], fault: Fault) -> None:
        rule = RULES[fault.kind](fault.delay_s)
        if fault.kind.startswith("store-"):
            links = [self._store_links[cell] for cell in cells]
        else:
            links = [self._host_links[cell, index] for cell in cells for index in fault.hosts]
        for link in links:
            link.set(rule)
        await asyncio.sleep(fault.duration_s)
        for link in links:
            if link.rule is rule:
                link.set(Rule())

    def _cells(self, target: int) -> list[int]:
        if target == ALL:
            return list(range(CELLS))
        if target in (OWNER, OTHERS):
            name = self.harness.owner_key_name()
            return [cell for cell in range(CELLS) if (_name(cell) == name) == (target == OWNER)]
        return [target]

    async def _disturb_cell(self, cell: int, fault: Fault) -> None:
        # The others keep the cell alive.
        if cell in self._busy_cells or len(self._busy_cells) >= CELLS - 1:
            return
        self._busy_cells.add(cell)
        member = self.harness.members[_name(cell)]
        try:
            if fault.kind is Kind.PAUSE_CELL:
                member.signal(signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                member.signal(signal.SIGCONT)
                return
            await self._end_process(member, fault.kind)
            await asyncio.sleep(fault.duration_s)
            await self.harness.ready(await self.harness.start(_name(cell)))
        finally:
            self._busy_cells.discard(cell)

    async def _end_process(self, member: MemberProcess, kind: Kind) -> None:
        if kind is Kind.STOP_CELL:
            member.signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await member.child.wait()
                return
        member.signal(signal.SIGKILL)
        await member.child.wait()

    # ------------------------------------------------------------ clients

    async def _submit_jobs(self, client: int) -> None:
        random = Random(f"{self.plan.seed}/{client}")
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=4)) as session:
            while True:
                await self._submit_job(session, random)
                await asyncio.sleep(random.uniform(*SUBMISSION_INTERVAL_S))

    async def _submit_job(self, session: aiohttp.ClientSession, random: Random) -> None:
        """Submit a job, by other processes if one gives no answer."""
        id = f"{random.getrandbits(64):016x}"
        longest_s = random.choice([1.2, 1.2, 1.2, 4.0, 4.0, 8.0])
        work_s = round(random.uniform(0.3, longest_s), 2)
        step = {
            "count": random.randint(1, 8),
            "cpu": random.choice([250, 500, 1000]),
            "memMb": 100,
            "estimateMs": int(work_s * 1000),
            "gang": random.random() < 0.3,
        }
        body = {"spec": f"work {work_s}", "phases": [step]}
        for _ in range(SUBMISSION_ATTEMPTS):
            member = self.harness.members[_name(random.randrange(CELLS))]
            url = f"http://{member.front}{PREFIX}{id}"
            try:
                async with session.post(url, json=body, headers={"Host": HOST}) as resp:
                    if resp.status == 200:
                        self.accepted += 1
                        return
            except (aiohttp.ClientError, TimeoutError):
                await asyncio.sleep(0.05)


def _name(cell: int) -> str:
    return f"c{cell}"
