"""Run a whole cell as separate local processes, for failure tests and benchmarks.

Only tests and benchmarks start processes; the daemons never do.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import aiohttp
from attrs import Factory, define, field, frozen

from rhubarbferry.test.relay import Link, Relay

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
READY_POLL_INTERVAL_S = 0.05
SERVICE = "orders"
PLACEHOLDER_ADDRESS = "127.0.0.1:1"

SETTINGS_TEMPLATE = """\
[process]
member = {name}
region = {region}
failure_domain = {failure_domain}
drain_s = 10
advertise_rpc = {advertise_rpc}
peers = {peers}

[store]
url = http://{store}

[hosts]
url = http://{hosts}/hosts
poll_s = 0.5
"""

CELL_TEMPLATE = """\
[cell]
regions = {regions}
key_partitions_per_region = {key_partitions}

[account kryogonia]
share = 3

[account golden-comb]
share = 1

[service orders]
slots = {slots}
connections = 64
"""


class ProcessFailed(Exception):
    """A process exited or printed no address in time; the message contains its last log lines."""


@define(kw_only=True)
class Process:
    """A child process.

    :param errors: file that receives its standard error.
    :param startup_info: the JSON line that it printed once it listened.
    """

    name: str
    child: asyncio.subprocess.Process
    errors: Path
    startup_info: dict[str, str] = Factory(dict)

    @property
    def address(self) -> str:
        """Return the ``ip:port`` of its main server."""
        return self.startup_info["address"]

    @property
    def http(self) -> str:
        """Return the base URL of its HTTP interface."""
        return f"http://{self.startup_info.get('http_address', self.startup_info['address'])}"

    @property
    def running(self) -> bool:
        """Return whether the process is still running."""
        return self.child.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        if self.running:
            # The process may have exited without the event loop having been notified yet.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    async def kill(self) -> None:
        """Kill the process with SIGKILL, as a crash does."""
        self.signal(signal.SIGKILL)
        await self.child.wait()

    async def terminate(self, within_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM and return the exit code.

        :raises TimeoutError: if the process has not exited in time.
        """
        self.signal(signal.SIGTERM)
        async with asyncio.timeout(within_s):
            return await self.child.wait()

    def last_lines(self, count: int = 15) -> str:
        """Return the last lines of its standard error."""
        return "\n".join(self.errors.read_text(errors="replace").splitlines()[-count:])


@frozen(kw_only=True)
class Shape:
    """Size and layout of a cell.

    :param frontends: number in each of ``frontend_regions``.
    :param schedulers: number in each region.
    :param racks: number in each region.
    :param workers: number in each rack.
    :param runners: number in each region.
    :param relayed: names of processes that are reached through a relay; see
        :attr:`ProcessCell.links`.
    :param overrides: additional INI text for the settings of all daemons.
    """

    regions: tuple[str, ...] = ("attiki",)
    frontend_regions: tuple[str, ...] = ("attiki",)
    frontends: int = 1
    schedulers: int = 2
    racks: int = 1
    workers: int = 2
    runners: int = 2
    slots: int = 8
    key_partitions: int = 1
    millicores: int = 32_000
    memory_bytes: int = 64 * 2**30
    accelerators: int = 2
    relayed: frozenset[str] = frozenset()
    overrides: str = ""
    store_options: tuple[str, ...] = ()


@define(kw_only=True)
class ProcessCell:
    """The processes of one cell.

    :param dir: an empty directory for settings and outputs.
    :ivar links: relay links by process name: in front of the RPC server of a daemon, or in front
        of the server of a runner or worker as published in the host list. A daemon has a second
        link at ``<name>/store``, which carries only its own traffic to the store.
    """

    dir: Path
    shape: Shape = field(factory=Shape)
    processes: dict[str, Process] = Factory(dict)
    hosts: list[dict[str, Any]] = Factory(list)
    links: dict[str, Link] = Factory(dict)
    relay: Relay = Factory(Relay)
    session: aiohttp.ClientSession = field(init=False)

    async def __aenter__(self) -> ProcessCell:
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=90)
        self.session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Terminate all processes; kill those that do not exit in time."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await asyncio.gather(*(p.child.wait() for p in self.processes.values()))
        except TimeoutError:
            await asyncio.gather(*(p.kill() for p in self.processes.values()))
        await self.relay.close()
        await self.session.close()

    def processes_with_prefix(self, prefix: str) -> list[Process]:
        """Return the processes whose names start with ``prefix``, sorted by name."""
        return [self.processes[n] for n in sorted(self.processes) if n.startswith(prefix)]

    async def start_daemon(
        self,
        role: str,
        name: str,
        *,
        region: str,
        store: str = "",
        domain: str = "",
        peers: str = "",
    ) -> Process:
        """Start an additional frontend or scheduler.

        :param store: ``ip:port`` of the store; by default the store of this cell.
        :param domain: failure domain; by default the first one of the region.
        :param peers: RPC addresses from which to request the configuration during a store outage.
        """
        relayed = name in self.shape.relayed
        store = store or self.processes["store"].address
        if relayed:
            # The port of the daemon is known only once it listens; its address is not published
            # before.
            store = (await self._open_link(f"{name}/store", store)).address
            await self._open_link(name, PLACEHOLDER_ADDRESS)
        text = SETTINGS_TEMPLATE.format(
            name=name,
            region=region,
            failure_domain=domain or f"{region}-1",
            advertise_rpc=self.links[name].address if relayed else "",
            peers=peers,
            store=store,
            hosts=self.processes["hosts"].address,
        )
        path = self.dir / f"{name}.ini"
        path.write_text(text + self.shape.overrides)
        process = await self.start(name, "rhubarbferry", role, "--config", str(path))
        if relayed:
            self.links[name].target = process.address
        return process

    async def _open_link(self, name: str, target: str) -> Link:
        link = await self.relay.open(target)
        self.links[name] = link
        return link

    async def start(self, name: str, *argv: str) -> Process:
        """Run a Python module as a process and wait for its first output line."""
        errors = self.dir / f"{name}.err"
        with errors.open("w") as stderr:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *argv,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=stderr,
            )
        process = Process(name=name, child=child, errors=errors)
        self.processes[name] = process
        assert child.stdout is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await child.stdout.readline()
            process.startup_info = json.loads(line)
        except (TimeoutError, ValueError) as exc:
            raise ProcessFailed(f"{name}: {process.last_lines()}") from exc
        return process

    # ------------------------------------------------------------ stand-ins

    async def set_faults(self, name: str, **faults: object) -> None:
        """Change the given faults of a stand-in; the other faults stay unchanged."""
        process = self.processes[name]
        base = process.startup_info.get("control", process.address)
        async with self.session.post(f"http://{base}/faults", json=faults) as answer:
            answer.raise_for_status()

    async def record(self, name: str) -> dict[str, Any]:
        """Return the record of a runner or worker."""
        process = self.processes[name]
        base = process.startup_info.get("control", process.address)
        async with self.session.get(f"http://{base}/record") as answer:
            found: dict[str, Any] = await answer.json()
            return found

    async def records(self, prefix: str) -> list[dict[str, Any]]:
        """Return the records of all running stand-ins whose names start with ``prefix``."""
        return [await self.record(p.name) for p in self.processes_with_prefix(prefix) if p.running]

    async def mark_leaving(self, name: str) -> None:
        """Mark a runner or worker as leaving in the host list."""
        for host in self.hosts:
            if host["labels"]["id"] == name:
                host["labels"]["state"] = "leaving"
        await self.publish_hosts()

    async def publish_hosts(self) -> None:
        """Publish ``hosts`` to the host list."""
        url = f"{self.processes['hosts'].http}/hosts"
        async with self.session.put(url, json=self.hosts) as answer:
            answer.raise_for_status()

    # ------------------------------------------------------------ callers

    async def request(
        self,
        frontend: str,
        path: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Send one request to the service and return the complete answer."""
        url = f"{self.processes[frontend].http}/v1/services/{SERVICE}{path}"
        all_headers = {"Client-Account": "kryogonia", **(headers or {})}
        async with self.session.post(url, headers=all_headers, data=body) as answer:
            return Answer(
                status=answer.status,
                outcome=answer.headers.get("Outcome", ""),
                request_id=answer.headers.get("Request-Id", ""),
                retry_after=answer.headers.get("Retry-After", ""),
                body=await answer.read(),
            )

    async def submit(self, frontend: str, **job: object) -> tuple[int, dict[str, Any]]:
        """Submit a job; return the status and the JSON document."""
        url = f"{self.processes[frontend].http}/v1/jobs"
        async with self.session.post(url, json=job) as answer:
            return answer.status, await answer.json(content_type=None)

    async def job(self, frontend: str, job_id: str) -> dict[str, Any]:
        """Return the JSON document of a job, or an empty one if it is not available."""
        url = f"{self.processes[frontend].http}/v1/jobs/{job_id}"
        async with self.session.get(url) as answer:
            document: dict[str, Any] = await answer.json(content_type=None)
            return document if answer.ok else {}

    async def wait_until_served(self, frontend: str, within_s: float = START_TIMEOUT_S) -> float:
        """Send requests until one succeeds; return the elapsed seconds."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.timeout(within_s):
            while True:
                answer = await self.request(frontend, "/ready", headers={"Idempotent": "true"})
                if answer.outcome == "done":
                    return loop.time() - started_at
                await asyncio.sleep(READY_POLL_INTERVAL_S)

    # ------------------------------------------------------------ start

    async def _start(self) -> None:
        await asyncio.gather(
            self.start("store", "rhubarbferry.test.store", *self.shape.store_options),
            self.start("hosts", "rhubarbferry.test.hosts"),
            *(self._start_worker(*position) for position in self._worker_positions()),
            *(self._start_runner(*position) for position in self._runner_positions()),
        )
        await self.publish_hosts()
        await self._configure()
        await asyncio.gather(*self._daemon_starts())

    def _worker_positions(self) -> Sequence[tuple[str, int, int]]:
        shape = self.shape
        return [
            (region, rack, n)
            for region in shape.regions
            for rack in range(1, shape.racks + 1)
            for n in range(1, shape.workers + 1)
        ]

    def _runner_positions(self) -> Sequence[tuple[str, int]]:
        shape = self.shape
        return [(region, n) for region in shape.regions for n in range(1, shape.runners + 1)]

    async def _start_worker(self, region: str, rack: int, number: int) -> None:
        shape = self.shape
        name = f"worker-{region}-{rack}-{number}"
        process = await self.start(
            name,
            "rhubarbferry.test.worker",
            "--id",
            name,
            "--millicores",
            str(shape.millicores),
            "--memory-bytes",
            str(shape.memory_bytes),
            "--accelerators",
            str(shape.accelerators),
        )
        await self._add_host(process, kind="worker", region=region, rack=f"rack-{rack}")

    async def _start_runner(self, region: str, number: int) -> None:
        name = f"runner-{region}-{number}"
        process = await self.start(
            name,
            "rhubarbferry.test.runner",
            "--id",
            name,
            "--service",
            SERVICE,
            "--slots",
            str(self.shape.slots),
        )
        await self._add_host(process, kind="runner", region=region, service=SERVICE)

    async def _add_host(
        self, process: Process, *, kind: str, region: str, rack: str = "", service: str = ""
    ) -> None:
        address = process.address
        if process.name in self.shape.relayed:
            address = (await self._open_link(process.name, address)).address
        labels = {
            "id": process.name,
            "kind": kind,
            "region": region,
            "failure_domain": f"{region}-1",
            "rack": rack,
            "service": service,
            "state": "live",
        }
        self.hosts.append({"targets": [address], "labels": labels})

    async def _configure(self) -> None:
        from rhubarbferry.coordination import configuration
        from rhubarbferry.ports.clock import SystemClock

        store = self.open_store()
        try:
            await configuration.apply(
                store,
                text=self.cell_text(),
                based_on=0,
                author="test",
                clock=SystemClock(),
                write_id="first",
            )
        finally:
            await store.close()

    def open_store(self) -> Any:
        """Return a store client, for tests that read or write the store directly."""
        from rhubarbferry.adapters.etcd import EtcdStore
        from rhubarbferry.conf.settings import StoreSettings
        from rhubarbferry.ports.clock import SystemClock

        return EtcdStore(
            url=self.processes["store"].http,
            prefix=StoreSettings().prefix,
            clock=SystemClock(),
            timeout_s=5.0,
        )

    def cell_text(self) -> str:
        """Return the configuration of the cell as INI text."""
        return CELL_TEMPLATE.format(
            regions=", ".join(self.shape.regions),
            key_partitions=self.shape.key_partitions,
            slots=self.shape.slots,
        )

    def _daemon_starts(self) -> list[Any]:
        shape = self.shape
        starts: list[Any] = []
        for region in shape.regions:
            for n in range(1, shape.schedulers + 1):
                name = f"scheduler-{region}-{n}"
                starts.append(self.start_daemon("scheduler", name, region=region))
        for region in shape.frontend_regions:
            for n in range(1, shape.frontends + 1):
                name = f"frontend-{region}-{n}"
                starts.append(self.start_daemon("frontend", name, region=region))
        return starts


@frozen(kw_only=True)
class Answer:
    """The complete answer to a request."""

    status: int
    outcome: str
    request_id: str
    retry_after: str
    body: bytes
