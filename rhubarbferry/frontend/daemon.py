"""The frontend as a process: servers, ports, and an orderly end."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import socket
from typing import Any, Protocol

from attrs import define
from loguru import logger

from rhubarbferry.conf.settings import Settings
from rhubarbferry.frontend.app import Dispatch, Readiness, build_app
from rhubarbferry.frontend.attempts import Attempts, RetryBudgets
from rhubarbferry.frontend.forward import Forwarder, Room
from rhubarbferry.frontend.grants import GrantClient
from rhubarbferry.frontend.guard import Guard, ProcessView
from rhubarbferry.frontend.intents import IntentClient
from rhubarbferry.frontend.jobs import JobEndpoints
from rhubarbferry.frontend.owners import Owners
from rhubarbferry.frontend.passing import RegionPass
from rhubarbferry.frontend.runners import Runners
from rhubarbferry.frontend.spill import Spill, spill_rules
from rhubarbferry.frontend.tasks import Background
from rhubarbferry.frontend.waits import WaitBook
from rhubarbferry.ports.clock import Clock, SystemClock
from rhubarbferry.ports.ownership import CellView, OwnershipView, Role
from rhubarbferry.reports.events import publish as publish_objectives
from rhubarbferry.rpc import Pool, Server, Timing
from rhubarbferry.rpc.services import GUARD, SCHEDULER

OWNER_PATIENCE_LEASES = 3.0
DRAIN_NOTICE_S = 0.5
BACKLOG = 1024


class Membership(Protocol):
    """What the frontend needs of :class:`rhubarbferry.coordination.node.Node`."""

    member_id: str

    @property
    def ownership(self) -> OwnershipView:
        """The ownership table and the members, as last seen."""
        ...

    @property
    def cell(self) -> CellView:
        """The configuration in force."""
        ...

    @property
    def config_text(self) -> str:
        """The INI of the configuration in force."""
        ...

    @property
    def store_lost(self) -> bool:
        """Whether the store has not answered for longer than a lease lasts."""
        ...

    async def wait(self) -> None:
        """Return when the membership has ended; raise what ended it."""
        ...

    async def drain(self, handover: bool = True) -> None:
        """Mark this process as leaving."""
        ...


@define(kw_only=True)
class Frontend:
    """The parts of a frontend, wired.

    :param polling: asks for expected waits.
    :param draining: set by the daemon at SIGTERM; ``/readyz`` then says no.
    """

    app: Dispatch
    guard: Guard
    runners: Runners
    pool: Pool
    background: Background
    room: Room
    polling: asyncio.Task[None]
    draining: bool = False

    async def close(self, within_s: float) -> None:
        """Finish background work, then close all connections."""
        self.polling.cancel()
        await asyncio.gather(self.polling, return_exceptions=True)
        await self.background.finish(within_s)
        await self.runners.close()
        await self.pool.close()


async def assemble(*, cfg: Settings, clock: Clock, node: Membership, guard: Guard) -> Frontend:
    """Wire the parts of a frontend round a started ``node``."""
    requests = cfg.requests
    pool = Pool(
        service=SCHEDULER,
        timing=Timing(heartbeat_s=requests.probe_s, silence_s=requests.silence_s),
    )
    owners = Owners(
        clock=clock,
        ownership=node.ownership,
        pool=pool,
        patience_s=OWNER_PATIENCE_LEASES * cfg.ownership.lease_s,
        store_lost=lambda: node.store_lost,
    )
    background = Background()
    waits = WaitBook(
        clock=clock, owners=owners, ownership=node.ownership, poll_s=requests.wait_poll_s
    )
    grants = GrantClient(
        clock=clock,
        owners=owners,
        background=background,
        frontend_id=node.member_id,
        waits=waits,
    )
    intents = IntentClient(
        clock=clock, owners=owners, background=background, frontend_id=node.member_id
    )
    runners = Runners(clock=clock, cfg=requests)
    await runners.start()
    room = Room(max_requests=requests.max_waiting, max_bytes=requests.buffered_bytes)
    budgets = RetryBudgets(clock=clock, ratio=requests.retry_ratio)
    forwarder = Forwarder(
        clock=clock,
        cfg=cfg,
        cell=node.cell,
        ownership=node.ownership,
        attempts=Attempts(
            clock=clock, cfg=cfg, grants=grants, guard=guard, runners=runners, budgets=budgets
        ),
        passing=RegionPass(
            clock=clock,
            ownership=node.ownership,
            runners=runners,
            budgets=budgets,
            member_id=node.member_id,
        ),
        intents=intents,
        runners=runners,
        room=room,
        spill=Spill(
            waits=waits,
            ownership=node.ownership,
            rules=spill_rules(requests),
            rng=random.Random(),
        ),
    )
    jobs = JobEndpoints(clock=clock, cfg=cfg, cell=node.cell, owners=owners)

    def readiness() -> Readiness:
        if frontend.draining:
            return Readiness(ready=False, reason="draining")
        if node.cell.current().revision == 0:
            return Readiness(ready=False, reason="no configuration yet")
        if not node.ownership.members(Role.SCHEDULER):
            return Readiness(ready=False, reason="no scheduler seen yet")
        return Readiness(ready=True)

    frontend = Frontend(
        app=build_app(forwarder=forwarder, jobs=jobs, readiness=readiness),
        guard=guard,
        runners=runners,
        pool=pool,
        background=background,
        room=room,
        polling=asyncio.create_task(waits.run()),
    )
    return frontend


def make_http_server(app: Any, *, drain_s: float) -> Any:
    """Return a uvicorn server that leaves the signals to the daemon."""
    import uvicorn

    from rhubarbferry.frontend.http import HttpProtocol
    from rhubarbferry.serving.server import HttpServer

    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=HttpProtocol,
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        log_level="critical",
        server_header=False,
        timeout_keep_alive=75,
        timeout_graceful_shutdown=max(1, round(drain_s)),
        backlog=BACKLOG,
    )
    return HttpServer(config)


def bind_http(ip: str, port: int) -> socket.socket:
    """Return a listening socket; ``port`` 0 takes a free one.

    It listens from here on, since its address is told to others before the server takes it
    over: a caller that came in between would be refused.
    """
    # With the protocol named, asyncio sets TCP_NODELAY on accepted connections. Without, the
    # second write of each answer waits 40 ms for the delayed acknowledgement of the first.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    sock.setblocking(False)
    sock.listen(BACKLOG)
    return sock


async def run(cfg: Settings) -> int:
    """Run a frontend until SIGTERM or SIGINT; return the exit code.

    Once it serves, one JSON line on standard output names its addresses.
    """
    # Imported here, so that the parts above can be embedded without the platform's adapters.
    from rhubarbferry.adapters.cell_store import open_cell_store
    from rhubarbferry.adapters.hosts import HttpHostList
    from rhubarbferry.coordination.node import Node

    clock = SystemClock()
    cell = open_cell_store(cfg=cfg.store, clock=clock)
    hosts = HttpHostList(url=cfg.hosts.url, poll_s=cfg.hosts.poll_s, clock=clock)
    sock = bind_http(cfg.process.listen_ip, cfg.process.http_port)
    http_address = "{}:{}".format(*sock.getsockname())
    state = _Late()
    guard = Guard(clock=clock, longest_promise_s=cfg.ownership.promise_s, view=state.view)
    rpc = Server(service=GUARD, handlers=guard.handlers())
    await rpc.start(cfg.process.listen_ip, cfg.process.rpc_port)
    node = Node(
        cfg=cfg,
        role=Role.FRONTEND,
        clock=clock,
        store=cell.store,
        hosts=hosts,
        address=cfg.process.advertise_rpc or rpc.address,
        http_address=cfg.process.advertise_http or http_address,
        budget=cell.budget,
    )
    # Known from the start: a successor may adopt this guard before the node has its first answer.
    guard.member_id = node.member_id
    await node.start()
    guard.member_id = node.member_id
    state.node = node
    publish_objectives(cell=node.cell, clock=clock)
    state.frontend = await assemble(cfg=cfg, clock=clock, node=node, guard=guard)
    try:
        failed = await _serve(cfg, clock, state.frontend, sock, rpc.address, http_address, node)
    finally:
        await node.stop()
        await rpc.close()
        await cell.store.close()
    return 1 if failed else 0


@define(kw_only=True)
class _Late:
    """What is only there once the process has started, for the guard's ``status``."""

    node: Any = None
    frontend: Frontend | None = None

    def view(self) -> ProcessView:
        if self.node is None:
            return ProcessView()
        return ProcessView(
            config_revision=self.node.cell.current().revision,
            draining=self.frontend is not None and self.frontend.draining,
            config_text=self.node.config_text or "",
        )


async def _serve(
    cfg: Settings,
    clock: Clock,
    frontend: Frontend,
    sock: socket.socket,
    rpc_address: str,
    http_address: str,
    node: Membership,
) -> bool:
    """Serve until told to stop; return whether something failed instead."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    server = make_http_server(frontend.app, drain_s=cfg.process.drain_s)
    serving = asyncio.create_task(server.serve(sockets=[sock]))
    line = {"address": rpc_address, "http_address": http_address, "member": node.member_id}
    print(json.dumps(line), flush=True)
    logger.info("frontend {} serves {}", node.member_id, http_address)
    stopping = asyncio.create_task(stop.wait())
    following = asyncio.create_task(node.wait())
    await asyncio.wait({serving, stopping, following}, return_when=asyncio.FIRST_COMPLETED)
    failed = not stopping.done()
    stopping.cancel()
    frontend.draining = True
    leaving = asyncio.create_task(node.drain(handover=False))
    await drain(cfg, clock, frontend, server, serving)
    following.cancel()
    for found in await asyncio.gather(leaving, following, return_exceptions=True):
        if isinstance(found, Exception):
            logger.error("frontend {}: {!r}", node.member_id, found)
    logger.info("frontend {} drained", node.member_id)
    return failed


async def drain(
    cfg: Settings, clock: Clock, frontend: Frontend, server: Any, serving: asyncio.Task[None]
) -> None:
    """Say "not ready", let requests in progress finish, then close everything."""
    frontend.draining = True
    end = clock.monotonic() + cfg.process.drain_s
    # Balancers look at /readyz now and then; what they still send in this time is served.
    await clock.sleep(min(DRAIN_NOTICE_S, cfg.process.drain_s / 2))
    server.stop()
    await asyncio.wait({serving}, timeout=max(0.0, end - clock.monotonic()))
    if not serving.done():
        server.force_exit = True
        serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)
    await frontend.close(max(0.1, end - clock.monotonic()))
