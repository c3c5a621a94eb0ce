"""The scheduler daemon: connects ports, coordination node, RPC server and partitions."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Mapping
from typing import Any, Protocol

from attrs import frozen
from loguru import logger
from prometheus_client import REGISTRY, CollectorRegistry

from rhubarbferry.conf.settings import Settings
from rhubarbferry.coordination.budget import SharedBudget
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.ports.clock import Clock, SystemClock
from rhubarbferry.ports.hosts import HostList
from rhubarbferry.ports.ownership import Role
from rhubarbferry.ports.runners import RunnerReports
from rhubarbferry.ports.store import Store
from rhubarbferry.reports.events import register_slo_collector
from rhubarbferry.rpc import Handler, Pool, Server
from rhubarbferry.rpc.gen.ttypes import PingReply, PingRequest, StatusReply, StatusRequest
from rhubarbferry.rpc.services import GUARD, SCHEDULER, WORKER
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.dispatch import Dispatcher
from rhubarbferry.scheduler.lifecycle import Lifecycle
from rhubarbferry.scheduler.partition import Partition
from rhubarbferry.scheduler.registry import Registry
from rhubarbferry.scheduler.web import OperatorPages

EXIT_FAILURE = 1


class PolledHostList(HostList, Protocol):
    """A host list that is refreshed in the background."""

    async def start(self) -> None:
        """Read the list once, then keep refreshing it in the background."""
        ...

    async def close(self) -> None:
        """Stop refreshing."""
        ...


@frozen(kw_only=True)
class Ports:
    """The external dependencies of a scheduler process; tests substitute their own."""

    clock: Clock
    store: Store
    hosts: PolledHostList
    reports: RunnerReports
    budget: SharedBudget | None = None
    registry: CollectorRegistry = REGISTRY


def system_ports(cfg: Settings) -> Ports:
    """Return ports connected to the platform services configured in ``cfg``."""
    from rhubarbferry.adapters.cell_store import open_cell_store
    from rhubarbferry.adapters.hosts import HttpHostList
    from rhubarbferry.adapters.runners import HttpRunnerReports

    clock = SystemClock()
    cell = open_cell_store(cfg=cfg.store, clock=clock)
    return Ports(
        clock=clock,
        store=cell.store,
        budget=cell.budget,
        hosts=HttpHostList(url=cfg.hosts.url, poll_s=cfg.hosts.poll_s, clock=clock),
        reports=HttpRunnerReports(),
    )


class SchedulerDaemon:
    """A scheduler process: start, serve until stopped, hand partitions over."""

    def __init__(self, *, cfg: Settings, ports: Ports) -> None:
        self._cfg = cfg
        self._ports = ports
        self._pools = [Pool(service=service) for service in (SCHEDULER, GUARD, WORKER)]
        self._lifecycle = Lifecycle(create=self._create_partition)
        self._operator_pages = OperatorPages(ready=lambda: self._ready)
        self._ready = False
        self._draining = False
        self._stopping = asyncio.Event()
        self._registry: Registry | None = None
        self._node: Any = None
        self._server: Server | None = None

    async def run(self) -> int:
        """Serve until :meth:`stop`; return the exit code."""
        try:
            await self._start()
        except BaseException:
            # The node may already own partitions, which would stay without a serving owner.
            await self._close()
            raise
        stopping = asyncio.create_task(self._stopping.wait())
        vital_tasks = [
            asyncio.create_task(self._process_events()),
            asyncio.create_task(self._node.wait()),
        ]
        try:
            await asyncio.wait({stopping, *vital_tasks}, return_when=asyncio.FIRST_COMPLETED)
            failed = [task for task in vital_tasks if task.done()]
            if failed:
                # If one of these tasks ends, the process would keep its lease without serving.
                logger.error("stopping, a required task has ended: {!r}", failed[0].exception())
                return EXIT_FAILURE
            await self._drain()
            return 0
        finally:
            for task in (stopping, *vital_tasks):
                task.cancel()
            await asyncio.gather(stopping, *vital_tasks, return_exceptions=True)
            await self._close()

    @property
    def address(self) -> str:
        """Return ``ip:port`` of the RPC server, or an empty string before it listens."""
        return "" if self._server is None else self._server.address

    def stop(self) -> None:
        """Request a graceful stop; :meth:`run` then drains and returns."""
        self._stopping.set()

    # ------------------------------------------------------------ start

    async def _start(self) -> None:
        from rhubarbferry.coordination.node import Node

        process = self._cfg.process
        # The server listens first, because the member record contains its address.
        self._server = Server(service=SCHEDULER, handlers=self._handlers())
        await self._server.start(process.listen_ip, process.rpc_port)
        await self._operator_pages.start(process.listen_ip, process.http_port)
        self._node = Node(
            cfg=self._cfg,
            role=Role.SCHEDULER,
            clock=self._ports.clock,
            store=self._ports.store,
            hosts=self._ports.hosts,
            address=process.advertise_rpc or self._server.address,
            http_address=process.advertise_http or self._operator_pages.address,
            budget=self._ports.budget,
        )
        await self._ports.hosts.start()
        await self._node.start()
        self._registry = Registry(ctx=self._context(), reports=self._ports.reports)
        register_slo_collector(
            cell=self._node.cell, clock=self._ports.clock, registry=self._ports.registry
        )
        self._ready = True
        self._print_addresses()

    def _print_addresses(self) -> None:
        assert self._server is not None
        line = {
            "address": self._server.address,
            "http_address": self._operator_pages.address,
            "member": self._member_id(),
        }
        print(json.dumps(line), flush=True)
        logger.info("scheduler {} serving on {}", self._member_id(), self._server.address)

    def _context(self) -> Context:
        schedulers, guards, workers = self._pools
        return Context(
            member_id=self._node.member_id,
            cfg=self._cfg,
            clock=self._ports.clock,
            store=self._ports.store,
            ownership=self._node.ownership,
            hosts=self._ports.hosts,
            cell=self._node.cell,
            schedulers=schedulers,
            guards=guards,
            workers=workers,
        )

    def _create_partition(self, tenure: Any) -> Partition:
        assert self._registry is not None
        return self._registry.create(tenure)

    def _handlers(self) -> Mapping[str, Handler]:
        dispatcher = Dispatcher(owned=self._lifecycle, latest_epoch=self._latest_epoch)
        return {"ping": self._ping, "status": self._status, **dispatcher.handlers()}

    # ------------------------------------------------------------ run

    async def _process_events(self) -> None:
        from rhubarbferry.coordination.node import TenureLost, TenureWon

        while True:
            match await self._node.events.get():
                case TenureWon(tenure=tenure):
                    await self._lifecycle.won(tenure)
                case TenureLost(partition=partition, epoch=epoch):
                    await self._lifecycle.lost(partition, below=epoch + 1)

    async def _ping(self, req: PingRequest) -> PingReply:
        return PingReply(member_id=self._member_id())

    async def _status(self, req: StatusRequest) -> StatusReply:
        return self.status()

    def status(self) -> StatusReply:
        """Return the status of this process and of its partitions."""
        text = "" if self._node is None else self._node.config_text
        revision = 0 if self._node is None else self._node.cell.current().revision
        return StatusReply(
            member_id=self._member_id(),
            role=Role.SCHEDULER.value,
            config_revision=revision,
            draining=self._draining,
            partitions=self._lifecycle.status(),
            config_text=text.encode(),
        )

    def _latest_epoch(self, partition: PartitionId) -> int:
        # The server starts before the node, so calls may arrive while there is no node yet.
        owner = None if self._node is None else self._node.ownership.owner(partition)
        return 0 if owner is None else int(owner.epoch)

    def _member_id(self) -> str:
        return "" if self._node is None else str(self._node.member_id)

    # ------------------------------------------------------------ stop

    async def _drain(self) -> None:
        """Hand over: refuse new work, finish work in progress, then release the partitions."""
        logger.info("draining")
        self._ready = False
        self._draining = True
        await self._node.drain(False)
        await self._drain_partitions()
        await self._node.drain(True)

    async def _drain_partitions(self) -> None:
        owned = self._lifecycle.owned()
        try:
            async with asyncio.timeout(self._cfg.process.drain_s):
                await asyncio.gather(*(self._lifecycle.drain(id) for id in owned))
        except TimeoutError:
            logger.warning("not all partitions drained in {} s", self._cfg.process.drain_s)

    async def _close(self) -> None:
        await self._lifecycle.close()
        if self._node is not None:
            await self._node.stop()
        if self._server is not None:
            await self._server.close()
        await self._operator_pages.close()
        for pool in self._pools:
            await pool.close()
        await self._ports.reports.close()
        await self._ports.hosts.close()
        await self._ports.store.close()


async def run(cfg: Settings) -> int:
    """Run a scheduler until SIGTERM or SIGINT; return the exit code.

    When the process is ready, it prints one JSON line with its addresses to standard output.
    """
    daemon = SchedulerDaemon(cfg=cfg, ports=system_ports(cfg))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop)
    return await daemon.run()
