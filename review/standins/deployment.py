"""A small deployment on loopback addresses: the cell's processes beside stand-ins.

The processes run the command of the deploy file, with the settings of a small site. The store is
the project's own stand-in; it runs in the process of the case, like the runners and the clients.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import aiohttp

from rhubarbferry.test.platform_store import PlatformStoreStandIn
from rhubarbferry.test.serving import serving
from standins.record import Record
from standins.runner import Runner

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-m", "rhubarbferry.platform")
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
RESTART_DELAY_S = 0.5
REQUEST_TIMEOUT_S = 3.0
# A case may take 120 s.
CASE_TIMEOUT_S = 112.0

SETTINGS = """\
nodeName = "{name}"
role = "cell"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "attiki-a"
region = "attiki"
portRange = [{peers}, {peers}]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","upkeep","sharing"]
commandMode = "invoke"
[zones]
attiki-a = "attiki"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
stableWindowMs = 4000
ackMs = 5000
drainMs = 2500
graceS = 6
lossSlackMs = 200
configApplyMs = 2500
downgradeMs = 250
skewMaxMs = 6000
recoveryS = 12
holdMaxMs = 6000
killGraceMs = 200
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteSlowdown = 1.5
checkpointS = 2
restoreMs = 100
noticeMs = 5500
[platform]
addr = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""

ROUTE = {
    "name": "r-3hwrr6x",
    "host": HOST,
    "prefix": PREFIX,
    "kind": "mutating",
    "timeoutMs": 3000,
    "sloMs": 1200,
    "priority": 1,
    "service": SERVICE,
    "attempts": 2,
    "slackFactor": 2.2,
}


def trouble() -> bool:
    """Return whether the case applies its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(ip: str, count: int) -> list[int]:
    """Return distinct free ports of an address."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class Node:
    """One machine of the system: its settings and its process."""

    def __init__(self, name: str, ip: str) -> None:
        self.name = name
        self.ip = ip
        self.peers, self.front, self.ready = free_ports(ip, 3)
        self.child: asyncio.subprocess.Process | None = None


class Deployment:
    """The cell, its store and its runners; use it as an asynchronous context manager."""

    def __init__(self, record: Record, *, nodes: int = 3) -> None:
        self.record = record
        self.store = PlatformStoreStandIn()
        self.runners: dict[str, Runner] = {}
        # Each process needs an address of its own, since the metrics port is fixed. The addresses
        # are drawn, so that two cases can run on one machine at the same time.
        base = random.randint(10, 250)
        self.nodes = [
            Node(f"edge-attiki-a-{number}", f"127.{base}.{random.randint(1, 250)}.{number}")
            for number in range(1, nodes + 1)
        ]
        self.runner_ip = f"127.{base}.251.1"
        self._dir = Path(tempfile.mkdtemp(prefix="review-"))
        self._stack = AsyncExitStack()
        self._store_address = ""
        self._stopped = False
        self._watchers: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Deployment:
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S))
        )
        self._store_address = await self._stack.enter_async_context(serving(self.store.app()))
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._stopped = True
        for watcher in self._watchers:
            watcher.cancel()
        for node in self.nodes:
            if node.child is not None and node.child.returncode is None:
                node.child.kill()
                await node.child.wait()
        for runner in self.runners.values():
            if runner.boot is not None:
                await runner.crash()
        await self._stack.aclose()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._dir, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self._dir, ignore_errors=True)

    # ------------------------------------------------------------ the operator and the runners

    def configure(self, *routes: dict[str, Any], version: int = 7) -> None:
        """Write the operator's configuration."""
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": list(routes) or [ROUTE],
                "services": [
                    {
                        "name": SERVICE,
                        "healthPath": "/healthz",
                        "maxConns": 64,
                        "protocol": "h1",
                        "tls": False,
                        "rejectsOverload": False,
                        "standby": False,
                    }
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    async def add_runner(
        self, id: str, *, work_s: Callable[[str], float], kind: str = "a", **fields: Any
    ) -> Runner:
        """Start a runner at a free port."""
        runner = Runner(
            id=id, service=SERVICE, store=self.store, record=self.record, work_s=work_s, **fields
        )
        (port,) = free_ports(self.runner_ip, 1)
        await runner.start(f"{self.runner_ip}:{port}", kind=kind)
        self.runners[id] = runner
        return runner

    # ------------------------------------------------------------ the processes of the cell

    async def start(self) -> None:
        """Start all processes and wait until they are ready and one of them is the owner."""
        for node in self.nodes:
            await self._spawn(node)
            self._watchers.append(asyncio.create_task(self._restart_when_ended(node)))
        deadline = time.monotonic() + 25
        while time.monotonic() < deadline:
            ready = [await self._is_ready(node) for node in self.nodes]
            if all(ready) and self.owner() is not None:
                self.record.write("the cell is ready", owner=self.owner_name())
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the cell does not become ready")

    async def _spawn(self, node: Node) -> None:
        path = self._dir / f"{node.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=node.name,
                ip=node.ip,
                peers=node.peers,
                front=node.front,
                ready=node.ready,
                store=self._store_address,
            )
        )
        log = (self._dir / f"{node.name}.log").open("ab")
        program = sys.executable if COMMAND[0] == "python3" else COMMAND[0]
        node.child = await asyncio.create_subprocess_exec(
            program,
            *COMMAND[1:],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": str(self._dir),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "RHUBARBFERRY_SETTINGS": str(path),
            },
        )
        log.close()
        self.record.write("process starts", node=node.name)

    async def _restart_when_ended(self, node: Node) -> None:
        """Restart a process that has ended, as the platform does."""
        while not self._stopped:
            assert node.child is not None
            code = await node.child.wait()
            self.record.write("process ends", node=node.name, code=code)
            await asyncio.sleep(RESTART_DELAY_S)
            if not self._stopped:
                await self._spawn(node)

    async def _is_ready(self, node: Node) -> bool:
        try:
            async with self.session.get(f"http://{node.ip}:{node.ready}/api/readyz") as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def owner_name(self) -> str:
        """Return the name in the owner's key; empty if there is no key."""
        stored = self.store.engine.get("cell/control/owner")
        return json.loads(stored.kv.value)["name"] if stored is not None else ""

    def owner(self) -> Node | None:
        """Return the process that last wrote the owner's key."""
        name = self.owner_name()
        return next((node for node in self.nodes if node.name == name), None)

    def kill(self, node: Node, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to a process of the cell."""
        assert node.child is not None
        self.record.write("signal", node=node.name, signal=number.name)
        node.child.send_signal(number)

    def log_lines(self, node: Node) -> list[str]:
        """Return what a process has written."""
        return (self._dir / f"{node.name}.log").read_text(errors="replace").splitlines()

    # ------------------------------------------------------------ clients

    async def call(
        self, method: str, path: str, body: Any = None, *, node: Node | None = None
    ) -> tuple[int, Any]:
        """Send a client's request to a node; status 0 means no answer."""
        target = node or random.choice(self.nodes)
        headers = {"Host": HOST, "Rhubarbferry-Deadline-Ms": "3000"}
        try:
            async with self.session.request(
                method, f"http://{target.ip}:{target.front}{path}", json=body, headers=headers
            ) as resp:
                answer = await resp.json(content_type=None)
                status = resp.status
        except (aiohttp.ClientError, TimeoutError, ValueError):
            status, answer = 0, None
        self.record.write(
            "request", node=target.name, method=method, path=path, status=status, answer=answer
        )
        return status, answer

    async def submit(self, id: str, job: dict[str, Any], *, tries: int = 8) -> bool:
        """Submit a job as a client does: again, with the same id, until there is an answer."""
        for _ in range(tries):
            status, _ = await self.call("POST", PREFIX + id, job)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, id: str) -> str:
        """Return the state of a job, or the status of an answer without one."""
        status, answer = await self.call("GET", PREFIX + id)
        return answer["state"] if status == 200 else str(status)


def run_case(main: Callable[[], Awaitable[int]]) -> int:
    """Run a case; return its exit code, 2 if it could not run."""
    try:
        return asyncio.run(_limited(main))
    except BaseException:
        traceback.print_exc()
        return 2


async def _limited(main: Callable[[], Awaitable[int]]) -> int:
    async with asyncio.timeout(CASE_TIMEOUT_S):
        return await main()


def job_id(number: int) -> str:
    """Return an id of 16 hexadecimal digits."""
    return f"{0x5C0E7A21D94B0000 + number:016x}"
