"""Run a cell of real processes against fakes of the platform in the test's event loop."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import json
import os
import signal
import sys
from contextlib import AsyncExitStack
from pathlib import Path

import aiohttp
from attrs import Factory, define, field

from rhubarbferry.platform.settings import METRICS_PORT
from rhubarbferry.test.platform_store import PlatformStoreStandIn
from rhubarbferry.test.platform_worker import PlatformPolicyStandIn, PlatformWorkerStandIn
from rhubarbferry.test.serving import bind, serving

SETTINGS = """\
nodeName = "{name}"
role = "cell"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "zone"
region = "region"
portRange = [{peer_port}, {peer_port}]
unknownField = "is ignored"
{advisor}
[listen]
front = "{ip}:{front_port}"
readiness = "{ip}:{health_port}"
[bounds]
graceS = 6
[limits]
{limits}
[platform]
addr = "{store}"
"""
HOST = "jobs.example"
PREFIX = "/q/"
SERVICE = "pool"
START_TIMEOUT_S = 20.0
# The upper half of the loopback network, divided into a block for each test process.
LOOPBACK_BASE = ipaddress.IPv4Address("127.128.0.0")
LOOPBACK_BLOCKS = 2**17
LOOPBACK_BLOCK_SIZE = 2**6


def configuration(
    version: int = 1,
    *,
    prefixes: tuple[str, ...] = (PREFIX,),
    limits: dict[str, int] | None = None,
    **queue,
) -> dict:
    routes = [
        {
            "name": f"route{prefix}",
            "host": HOST,
            "prefix": prefix,
            "kind": "mutating",
            "timeoutMs": 3000,
            "sloMs": 500,
            "priority": 0,
            "service": SERVICE,
            "attempts": 3,
            "slackFactor": 1.5,
            **queue,
        }
        for prefix in prefixes
    ]
    services = [{"name": SERVICE, "rejectsOverload": False}]
    return {"version": version, "routes": routes, "services": services, "limits": limits or {}}


def member_address(index: int, *, pid: int) -> str:
    """Return the address of a member, which no other test process uses.

    Members of several harnesses would otherwise compete for ports, as :func:`free_ports` releases
    them before the member binds them, and for the port of the metrics.

    :param pid: id of the test process.
    """
    assert 0 <= index < LOOPBACK_BLOCK_SIZE - 2
    return str(LOOPBACK_BASE + (pid % LOOPBACK_BLOCKS) * LOOPBACK_BLOCK_SIZE + 1 + index)


def free_ports(ip: str, count: int) -> list[int]:
    """Return distinct free ports of an address."""
    # All sockets stay open until the last port is known: a port that is released earlier may be
    # assigned again.
    socks = [bind(ip=ip) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


@define
class MemberProcess:
    name: str
    child: asyncio.subprocess.Process
    output: Path
    front: str
    health: str
    peers: str = ""
    metrics: str = ""

    def signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        if self.child.returncode is None:
            # The process may have exited without the event loop having been notified yet.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    def lines(self) -> list[dict]:
        found = []
        for line in self.output.read_text(errors="replace").splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found

    def events(self, name: str) -> list[dict]:
        return [line for line in self.lines() if line.get("event") == name]


@define
class CellHarness:
    dir: Path
    store: PlatformStoreStandIn = Factory(PlatformStoreStandIn)
    policy: PlatformPolicyStandIn = Factory(PlatformPolicyStandIn)
    workers: dict[str, PlatformWorkerStandIn] = Factory(dict)
    members: dict[str, MemberProcess] = Factory(dict)
    addresses: dict[str, str] = Factory(dict)
    # Resource limits in the settings file of each process.
    limits: dict[str, int] = Factory(dict)
    # Module that each process runs, and additions to its environment.
    module: str = "rhubarbferry.platform"
    environment: dict[str, str] = Factory(dict)
    # Addresses at which a process finds the store, instead of ``store_address``.
    store_addresses: dict[str, str] = Factory(dict)
    store_address: str = ""
    policy_address: str = ""
    starts: int = 0
    session: aiohttp.ClientSession = field(init=False)
    _stack: AsyncExitStack = Factory(AsyncExitStack)

    async def __aenter__(self) -> CellHarness:
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=6))
        self.store_address = await self._stack.enter_async_context(serving(self.store.app()))
        self.policy_address = await self._stack.enter_async_context(serving(self.policy.app()))
        return self

    async def __aexit__(self, *exc: object) -> None:
        for member in self.members.values():
            member.signal(signal.SIGKILL)
            await member.child.wait()
        await self.session.close()
        await self._stack.aclose()

    async def add_worker(self, id: str, **fields) -> PlatformWorkerStandIn:
        worker = PlatformWorkerStandIn(id=id, service=SERVICE, store=self.store, **fields)
        address = await self._stack.enter_async_context(serving(worker.app()))
        worker.register(address)
        self.workers[id] = worker
        return worker

    async def start(self, name: str, *args: str) -> MemberProcess:
        # Each process needs its own address, because one of its ports is the same for all.
        ip = self.addresses.setdefault(name, member_address(len(self.addresses), pid=os.getpid()))
        ports = free_ports(ip, 3)
        text = SETTINGS.format(
            name=name,
            ip=ip,
            peer_port=ports[0],
            front_port=ports[1],
            health_port=ports[2],
            store=self.store_addresses.get(name, self.store_address),
            advisor=f'advisor = "{self.policy_address}"',
            limits="\n".join(f"{key} = {value}" for key, value in self.limits.items()),
        )
        path = self.dir / f"{name}.toml"
        path.write_text(text)
        self.starts += 1
        output = self.dir / f"{name}.{self.starts}.log"
        with output.open("wb") as sink:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.module,
                *args,
                stdout=sink,
                stderr=asyncio.subprocess.STDOUT,
                env={**os.environ, **self.environment, "RHUBARBFERRY_SETTINGS": str(path)},
            )
        member = MemberProcess(
            name=name,
            child=child,
            output=output,
            front=f"{ip}:{ports[1]}",
            health=f"{ip}:{ports[2]}",
            peers=f"{ip}:{ports[0]}",
            metrics=f"{ip}:{METRICS_PORT}",
        )
        self.members[name] = member
        return member

    async def ready(self, member: MemberProcess) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                assert member.child.returncode is None, member.output.read_text()
                try:
                    async with self.session.get(f"http://{member.health}/api/readyz") as resp:
                        if resp.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.05)

    async def call(
        self, member: MemberProcess, method: str, path: str, body=None
    ) -> tuple[int, dict]:
        async with self.session.request(
            method, f"http://{member.front}{path}", json=body, headers={"Host": HOST}
        ) as resp:
            return resp.status, await resp.json()

    async def submit(
        self, member: MemberProcess, id: str, *steps: dict, prefix: str = PREFIX
    ) -> int:
        status, _ = await self.call(
            member, "POST", prefix + id, {"spec": "work", "phases": list(steps) or [step()]}
        )
        return status

    async def state(self, member: MemberProcess, id: str, prefix: str = PREFIX) -> str:
        status, body = await self.call(member, "GET", prefix + id)
        return body["state"] if status == 200 else str(status)

    async def wait_for_state(
        self, member: MemberProcess, id: str, state: str, within_s: float = 20.0
    ) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        found = await self.state(member, id)
        while found != state and loop.time() < end:
            await asyncio.sleep(0.05)
            found = await self.state(member, id)
        assert found == state

    async def wait_for_owner(self) -> None:
        """Wait until some process is the owner; processes may become ready before that."""
        for _ in range(int(START_TIMEOUT_S / 0.05)):
            if self.store.engine.get("cell/control/owner") is not None:
                return
            await asyncio.sleep(0.05)
        raise AssertionError("no process owns the cell")

    async def wait_for_fence(self, worker: PlatformWorkerStandIn, *, above: int) -> None:
        """Wait until a host has been called with a higher fence number."""
        for _ in range(100):
            if worker.fence > above:
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"no call with a fence number above {above}")

    def owner_key_name(self) -> str:
        """Return the name that is stored in the owner's key, empty if there is no key."""
        stored = self.store.engine.get("cell/control/owner")
        return json.loads(stored.kv.value)["name"] if stored is not None else ""

    def owner(self) -> MemberProcess:
        name = self.owner_key_name()
        assert name
        return self.members[name]

    def runs(self) -> list:
        return [run for worker in self.workers.values() for run in worker.history]

    def assert_nothing_twice(self) -> None:
        by_task: dict[str, list] = {}
        for run in self.runs():
            by_task.setdefault(run.task, []).append(run)
        for task, runs in by_task.items():
            runs.sort(key=lambda run: run.began_at)
            for first, second in zip(runs, runs[1:], strict=False):
                assert first.ended_at is not None, f"{task} ran twice at once"
                assert first.ended_at <= second.began_at, f"{task} ran twice at once"
                assert first.end_reason != "done", f"{task} ran again after it was done"


def step(count: int = 1, **fields) -> dict:
    return {"count": count, "cpu": 1000, "memMb": 100, "estimateMs": 300, **fields}
