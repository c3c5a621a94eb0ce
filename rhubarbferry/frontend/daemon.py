"""The frontend process: its servers, its ports and its graceful shutdown."""

from __future__ import annotations

import asyncio
import json
import random
import resource
import signal
import socket
from functools import partial
from typing import Any, Protocol

from attrs import define
from loguru import logger

from rhubarbferry.conf.settings import Settings
from rhubarbferry.frontend.app import Dispatch, Readiness, build_app
from rhubarbferry.frontend.attempts import Attempts, RetryBudgets
from rhubarbferry.frontend.background import Background
from rhubarbferry.frontend.forward import Forwarder, RequestLimiter
from rhubarbferry.frontend.grants import GrantClient
from rhubarbferry.frontend.guard import Guard, ProcessView
from rhubarbferry.frontend.intents import IntentClient
from rhubarbferry.frontend.jobs import JobEndpoints
from rhubarbferry.frontend.owners import Owners
from rhubarbferry.frontend.region_forwarding import RegionForwarder
from rhubarbferry.frontend.runners import Runners
from rhubarbferry.frontend.spill import Spill, spill_rules
from rhubarbferry.frontend.waits import ExpectedWaits
from rhubarbferry.ports.clock import Clock, SystemClock
from rhubarbferry.ports.ownership import ConfigurationView, OwnershipView, Role
from rhubarbferry.reports.events import register_slo_collector
from rhubarbferry.rpc import Pool, Server, Timing
from rhubarbferry.rpc.services import GUARD, SCHEDULER
from rhubarbferry.serving.limits import RequestLimits
from rhubarbferry.serving.listener import ByteBudget, Listener

# How long a request waits for a reachable partition owner, in multiples of the lease duration.
OWNER_TIMEOUT_LEASES = 3.0
# Time between failing /readyz and closing the listening socket.
READINESS_PROPAGATION_S = 0.5
LISTEN_BACKLOG = 1024
# Share of the descriptors for connections from callers.
DESCRIPTOR_SHARE = 3 / 4
# Most bytes of a body that a connection buffers before the application takes them.
BUFFERED_BODY_BYTES = 64 * 1024


class Membership(Protocol):
    """What the frontend needs of :class:`rhubarbferry.coordination.node.Node`."""

    member_id: str

    @property
    def ownership(self) -> OwnershipView:
        """The latest known ownership table and members."""
        ...

    @property
    def cell(self) -> ConfigurationView:
        """The configuration in force."""
        ...

    @property
    def config_text(self) -> str:
        """The INI of the configuration in force."""
        ...

    @property
    def store_lost(self) -> bool:
        """Whether the store has been unreachable for longer than a lease."""
        ...

    async def wait(self) -> None:
        """Wait until the membership ends; raise the error that ended it."""
        ...

    async def drain(self, handover: bool = True) -> None:
        """Mark this process as draining."""
        ...


@define(kw_only=True)
class Frontend:
    """The components of a running frontend.

    :param wait_polling: task that polls expected waits from schedulers.
    :param draining: set by the daemon on SIGTERM; ``/readyz`` then answers 503.
    """

    app: Dispatch
    guard: Guard
    runners: Runners
    pool: Pool
    background: Background
    limiter: RequestLimiter
    wait_polling: asyncio.Task[None]
    draining: bool = False

    async def close(self, within_s: float) -> None:
        """Finish background work, then close all connections."""
        self.wait_polling.cancel()
        await asyncio.gather(self.wait_polling, return_exceptions=True)
        await self.background.finish(within_s)
        await self.runners.close()
        await self.pool.close()


async def assemble(*, cfg: Settings, clock: Clock, node: Membership, guard: Guard) -> Frontend:
    """Create the components of a frontend for a started ``node``."""
    requests = cfg.requests
    pool = Pool(
        service=SCHEDULER,
        timing=Timing(heartbeat_s=requests.probe_s, silence_s=requests.silence_s),
    )
    owners = Owners(
        clock=clock,
        ownership=node.ownership,
        pool=pool,
        owner_timeout_s=OWNER_TIMEOUT_LEASES * cfg.ownership.lease_s,
        store_lost=lambda: node.store_lost,
    )
    background = Background()
    waits = ExpectedWaits(
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
    limiter = RequestLimiter(max_requests=requests.max_waiting, max_bytes=requests.buffered_bytes)
    budgets = RetryBudgets(clock=clock, ratio=requests.retry_ratio)
    forwarder = Forwarder(
        clock=clock,
        cfg=cfg,
        cell=node.cell,
        ownership=node.ownership,
        attempts=Attempts(
            clock=clock, cfg=cfg, grants=grants, guard=guard, runners=runners, budgets=budgets
        ),
        region_forwarder=RegionForwarder(
            clock=clock,
            ownership=node.ownership,
            runners=runners,
            budgets=budgets,
            member_id=node.member_id,
        ),
        intents=intents,
        runners=runners,
        limiter=limiter,
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
        limiter=limiter,
        wait_polling=asyncio.create_task(waits.run()),
    )
    return frontend


def create_listener(cfg: Settings) -> Listener:
    """Return the limits of the connections from callers."""
    connections = cfg.connections
    limits = RequestLimits(
        head_bytes=connections.head_bytes,
        body_bytes=cfg.requests.max_body_bytes,
        # The application limits and counts what it has taken from the connection.
        buffered_body_bytes=BUFFERED_BODY_BYTES,
        head_timeout_s=connections.head_timeout_s,
        idle_timeout_s=connections.idle_timeout_s,
    )
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    usable = int(descriptors * DESCRIPTOR_SHARE)
    if descriptors == resource.RLIM_INFINITY:
        usable = connections.max_connections
    return Listener(
        name="callers",
        limits=lambda: limits,
        budget=ByteBudget(max_bytes=connections.held_bytes),
        max_connections=max(1, min(connections.max_connections, usable)),
        write_timeout_s=connections.write_timeout_s,
    )


def make_http_server(app: Any, *, drain_s: float, listener: Listener | None = None) -> Any:
    """Return a uvicorn server that leaves signal handling to the daemon.

    :param listener: limits of the connections; ``None`` for the defaults.
    """
    import uvicorn

    from rhubarbferry.frontend.http import HttpProtocol
    from rhubarbferry.serving.server import HttpServer

    protocol: Any = partial(HttpProtocol, listener=listener or create_listener(Settings()))
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=protocol,
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        log_level="critical",
        server_header=False,
        timeout_graceful_shutdown=max(1, round(drain_s)),
        backlog=LISTEN_BACKLOG,
    )
    return HttpServer(config)


def bind_http(ip: str, port: int) -> socket.socket:
    """Return a listening socket; ``port`` 0 selects a free port.

    The socket listens at once, because its address is published before the server accepts
    connections. A caller that connected in between would otherwise be refused.
    """
    # asyncio sets TCP_NODELAY on accepted connections only if the protocol is given here. Without
    # it, the second write of each answer waits 40 ms for the delayed ACK of the first.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    sock.setblocking(False)
    sock.listen(LISTEN_BACKLOG)
    return sock


async def run(cfg: Settings) -> int:
    """Run a frontend until SIGTERM or SIGINT; return the exit code.

    When the frontend is ready to serve, it prints its addresses to standard output as one line of
    JSON.
    """
    # Imported here so that the components above can be used without the platform's adapters.
    from rhubarbferry.adapters.cell_store import open_cell_store
    from rhubarbferry.adapters.hosts import HttpHostList
    from rhubarbferry.coordination.node import Node

    clock = SystemClock()
    cell = open_cell_store(cfg=cfg.store, clock=clock)
    hosts = HttpHostList(url=cfg.hosts.url, poll_s=cfg.hosts.poll_s, clock=clock)
    sock = bind_http(cfg.process.listen_ip, cfg.process.http_port)
    http_address = "{}:{}".format(*sock.getsockname())
    state = _StartupState()
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
    # Set before the node starts: a successor may adopt this guard before the store has answered.
    guard.member_id = node.member_id
    await node.start()
    guard.member_id = node.member_id
    state.node = node
    register_slo_collector(cell=node.cell, clock=clock)
    state.frontend = await assemble(cfg=cfg, clock=clock, node=node, guard=guard)
    try:
        failed = await _serve(cfg, clock, state.frontend, sock, rpc.address, http_address, node)
    finally:
        await node.stop()
        await rpc.close()
        await cell.store.close()
    return 1 if failed else 0


@define(kw_only=True)
class _StartupState:
    """Components created during startup, for the guard's ``status`` call."""

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
    """Serve until a stop signal; return whether a failure ended the service instead."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    server = make_http_server(
        frontend.app, drain_s=cfg.process.drain_s, listener=create_listener(cfg)
    )
    serving = asyncio.create_task(server.serve(sockets=[sock]))
    addresses = {"address": rpc_address, "http_address": http_address, "member": node.member_id}
    print(json.dumps(addresses), flush=True)
    logger.info("frontend {} serves {}", node.member_id, http_address)
    stop_wait = asyncio.create_task(stop.wait())
    node_wait = asyncio.create_task(node.wait())
    await asyncio.wait({serving, stop_wait, node_wait}, return_when=asyncio.FIRST_COMPLETED)
    failed = not stop_wait.done()
    stop_wait.cancel()
    frontend.draining = True
    node_drain = asyncio.create_task(node.drain(handover=False))
    await drain(cfg, clock, frontend, server, serving)
    node_wait.cancel()
    for result in await asyncio.gather(node_drain, node_wait, return_exceptions=True):
        if isinstance(result, Exception):
            logger.error("frontend {}: {!r}", node.member_id, result)
    logger.info("frontend {} drained", node.member_id)
    return failed


async def drain(
    cfg: Settings, clock: Clock, frontend: Frontend, server: Any, serving: asyncio.Task[None]
) -> None:
    """Report "not ready", let requests in progress finish, then close everything."""
    frontend.draining = True
    end = clock.monotonic() + cfg.process.drain_s
    # Load balancers poll /readyz at intervals; requests that they send until then are served.
    await clock.sleep(min(READINESS_PROPAGATION_S, cfg.process.drain_s / 2))
    server.stop()
    await asyncio.wait({serving}, timeout=max(0.0, end - clock.monotonic()))
    if not serving.done():
        server.force_exit = True
        serving.cancel()
    await asyncio.gather(serving, return_exceptions=True)
    await frontend.close(max(0.1, end - clock.monotonic()))
