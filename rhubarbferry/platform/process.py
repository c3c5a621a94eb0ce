"""One process of a cell on the platform: wire the parts together and run them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from pathlib import Path

from attrs import define, field
from loguru import logger

from rhubarbferry.cell.acceptance import Acceptance
from rhubarbferry.cell.candidate import Candidate
from rhubarbferry.cell.configuration import ConfigurationFeed
from rhubarbferry.cell.context import Surroundings
from rhubarbferry.cell.detour import DetouredCalls
from rhubarbferry.cell.lease import LeaseKeeper
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.loop_lag import LoopLag
from rhubarbferry.cell.members import CellView, Member
from rhubarbferry.cell.owner_link import OwnerLink
from rhubarbferry.cell.owner_watch import OwnerWatch
from rhubarbferry.cell.peer_server import PeerServer
from rhubarbferry.cell.peers import PeerClient
from rhubarbferry.cell.routes import RouteTable
from rhubarbferry.platform.client_api import ClientApi
from rhubarbferry.platform.configuration import KEY as CONFIGURATION_KEY
from rhubarbferry.platform.configuration import ConfigurationError, decode_configuration
from rhubarbferry.platform.directory import PlatformDirectory
from rhubarbferry.platform.health_api import build_app
from rhubarbferry.platform.policy import PlatformPolicy
from rhubarbferry.platform.serving import listen, serve
from rhubarbferry.platform.settings import SETTINGS_VARIABLE, ProcessFile, SettingsFileError, load
from rhubarbferry.platform.store import PlatformStore
from rhubarbferry.platform.workers import PlatformWorkers
from rhubarbferry.ports.clock import SystemClock

# Without an answer of the store for this long a process can serve nobody; others may be able to.
STORE_SILENCE_S = 2.0
# After SIGTERM the balancer needs two of its checks, a second apart, to send clients elsewhere.
LEAVE_ROTATION_S = 2.6
# Left of the grace time for the process to end by itself.
EXIT_RESERVE_S = 1.0
# How long a connection to this process may be idle.
IDLE_S = 75
# Between two looks at the settings file, which may change without a signal.
SETTINGS_LOOK_S = 2.0


@define(kw_only=True, eq=False)
class Signals:
    """Signals that came in, from the moment the process could take any."""

    stop: asyncio.Event = field(factory=asyncio.Event)
    reload: asyncio.Event = field(factory=asyncio.Event)


@define(kw_only=True, eq=False, slots=False)
class Process:
    """The parts of one process."""

    file: ProcessFile
    log: EventLog
    signals: Signals
    clock: SystemClock = field(factory=SystemClock)
    view: CellView = field(factory=CellView)
    leaving: bool = False

    def __attrs_post_init__(self) -> None:
        cfg = self.file.cell
        addresses = self.file.addresses
        own = Member(
            name=cfg.member,
            address=addresses.peers,
            region=cfg.region,
            failure_domain=cfg.failure_domain,
            cores=cfg.cores,
            link_mbps=cfg.link_mbps,
        )
        self.loop_lag = LoopLag(log=self.log)
        self.store = PlatformStore(address=addresses.store, extra_s=self.loop_lag.per_call_s)
        self.feed = ConfigurationFeed(
            clock=self.clock,
            store=self.store,
            log=self.log,
            key=CONFIGURATION_KEY,
            decode=self._decode,
            history_s=cfg.bounds.history_s,
        )
        self.workers = PlatformWorkers(extra_s=self.loop_lag.per_call_s)
        self.policy = (
            PlatformPolicy(address=addresses.policy, extra_s=self.loop_lag.per_call_s)
            if addresses.policy
            else None
        )
        self.peers = PeerClient(extra_s=self.loop_lag.per_call_s)
        self.keeper = LeaseKeeper(clock=self.clock, store=self.store, log=self.log)
        self.candidate = Candidate(
            around=Surroundings(
                cfg=cfg,
                clock=self.clock,
                store=self.store,
                log=self.log,
                own=own,
                view=self.view,
                keeper=self.keeper,
                workers=self.workers,
                directory=PlatformDirectory(store=self.store),
                policy=self.policy,
                peers=self.peers,
                routes=lambda: self.feed.routes,
                lag_s=lambda: self.loop_lag.lag_s,
            )
        )
        owner = OwnerLink(
            clock=self.clock,
            own=own,
            view=self.view,
            peers=self.peers,
            term=lambda: self.candidate.term,
        )
        acceptance = Acceptance(
            clock=self.clock,
            store=self.store,
            log=self.log,
            owner=owner,
            reached=self.keeper.fresh,
        )
        self.owner_watch = OwnerWatch(
            clock=self.clock,
            log=self.log,
            own=own,
            view=self.view,
            peers=self.peers,
            replace=self.candidate.replace_silent,
        )
        self.peer_server = PeerServer(
            clock=self.clock,
            jobs=acceptance,
            policy=self.policy,
            term=lambda: self.candidate.term,
            store_reached=self.candidate.reaches_store,
            take_over=self.candidate.take_over,
        )
        self.api = ClientApi(
            clock=self.clock,
            log=self.log,
            jobs=DetouredCalls(
                clock=self.clock,
                log=self.log,
                own=own,
                view=self.view,
                peers=self.peers,
                direct=acceptance,
                owner=owner,
                reached=self.keeper.fresh,
            ),
            routes=lambda: self.feed.routes,
            count_pending=owner.pending,
        )

    async def run(self) -> None:
        """Serve until asked to stop, then hand over and end within the grace time.

        :raises OSError: when an address can't be listened on.
        """
        addresses = self.file.addresses
        health_socket = listen(addresses.health)
        client_socket = listen(addresses.clients)
        await self.peer_server.start(addresses.peers)
        health = build_app(ready=self._not_ready)
        tasks = [
            asyncio.create_task(self.loop_lag.run()),
            asyncio.create_task(self.feed.run()),
            asyncio.create_task(self.keeper.run()),
            asyncio.create_task(self.candidate.run()),
            asyncio.create_task(self.owner_watch.run()),
            asyncio.create_task(self._follow_settings()),
        ]
        sockets = [(health, health_socket), (self.api, client_socket)]
        metrics_socket = self._metrics_socket()
        if metrics_socket is not None:
            sockets.append((health, metrics_socket))
        servers = []
        serving = []
        for app, sock in sockets:
            server = serve(app, idle_s=IDLE_S)
            servers.append(server)
            serving.append(asyncio.create_task(server.serve(sockets=[sock])))
        stopping = asyncio.create_task(self.signals.stop.wait())
        await asyncio.wait([*tasks, *serving, stopping], return_when=asyncio.FIRST_COMPLETED)
        for task in tasks + serving:
            if task.done():
                logger.opt(exception=task.exception()).error("a part of the process has ended")
        await self._leave()
        for server in servers:
            server.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *serving, return_exceptions=True)
        await self.peer_server.close()
        await self.peers.close()
        await self.workers.close()
        if self.policy is not None:
            await self.policy.close()
        await self.store.close()

    def _metrics_socket(self) -> socket.socket | None:
        """Listen on the port that does not change; without it the process serves all the same."""
        try:
            return listen(self.file.addresses.metrics)
        except OSError as exc:
            self.log.emit(
                "metrics.not_served", address=self.file.addresses.metrics, reason=str(exc)
            )
            return None

    async def _leave(self) -> None:
        grace_s = self.file.cell.bounds.grace_s
        self.leaving = True
        self.log.emit("process.stopping", grace_s=grace_s)
        begun = self.clock.monotonic()
        await self.candidate.leave()
        # Clients keep using open connections, and the balancer sends new ones for two of its
        # checks. A process that ended at once would cut both off.
        await asyncio.sleep(max(0.0, LEAVE_ROTATION_S - (self.clock.monotonic() - begun)))
        self.api.closing = True
        end = begun + grace_s - EXIT_RESERVE_S
        await asyncio.sleep(max(0.0, end - self.clock.monotonic()))
        self.log.emit("process.stopped", in_progress=self.api.in_progress)

    async def _follow_settings(self) -> None:
        """Apply changes of the settings file, with or without a signal."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.signals.reload.wait(), SETTINGS_LOOK_S)
            self.signals.reload.clear()
            try:
                file = read_settings()
            except SettingsFileError as exc:
                self.log.emit("settings.refused", reason=str(exc), outcome="the last ones stay")
                continue
            if file != self.file:
                self._apply(file)

    def _apply(self, file: ProcessFile) -> None:
        """Follow the addresses of the services; what this process listens on stays."""
        self.store.address = file.addresses.store
        if self.policy is not None and file.addresses.policy:
            self.policy.address = file.addresses.policy
        self.file = file
        self.log.emit("settings.applied", addresses=str(file.addresses))

    def _not_ready(self) -> str:
        if self.leaving:
            return "the process is stopping"
        if self.feed.routes is None:
            return "no configuration has been read yet"
        silent_s = self.clock.monotonic() - self.keeper.answered_at
        if silent_s > STORE_SILENCE_S:
            return f"the store has not answered for {silent_s:.1f} s"
        return ""

    def _decode(self, value: bytes, revision: int) -> RouteTable | None:
        try:
            return decode_configuration(value, revision=revision)
        except ConfigurationError as exc:
            logger.error("the configuration is not understood; the last one stays: {}", exc)
            return None


def read_settings() -> ProcessFile:
    """Read the settings file that the environment names.

    :raises SettingsFileError: when it can't be used.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsFileError(f"{SETTINGS_VARIABLE}: not set; name the settings file there")
    return load(Path(path))
