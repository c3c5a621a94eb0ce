"""One process of a cell on the platform: create its components and run them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from pathlib import Path

from attrs import define, evolve, field
from loguru import logger

from rhubarbferry.cell.admission_control import AdmissionControl
from rhubarbferry.cell.candidate import Candidate
from rhubarbferry.cell.configuration_watch import ConfigurationWatcher
from rhubarbferry.cell.direct_calls import DirectJobCalls
from rhubarbferry.cell.fallback_calls import FallbackJobCalls
from rhubarbferry.cell.lease import LeaseKeeper
from rhubarbferry.cell.load_summary import LoadView
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.loop_lag import LoopLag
from rhubarbferry.cell.members import CellView, Member
from rhubarbferry.cell.owner_client import OwnerClient
from rhubarbferry.cell.owner_monitor import OwnerMonitor
from rhubarbferry.cell.peer_server import PeerServer
from rhubarbferry.cell.peers import PeerClient
from rhubarbferry.cell.routes import RouteTable
from rhubarbferry.cell.term_context import ProcessContext
from rhubarbferry.platform.client_api import ClientApi
from rhubarbferry.platform.configuration import (
    CONFIGURATION_KEY,
    ConfigurationError,
    decode_configuration,
)
from rhubarbferry.platform.directory import PlatformDirectory
from rhubarbferry.platform.health_api import build_app
from rhubarbferry.platform.http_server import create_server, listen
from rhubarbferry.platform.listeners import create_listeners
from rhubarbferry.platform.policy import PlatformPolicy
from rhubarbferry.platform.settings import (
    SETTINGS_VARIABLE,
    SettingsFile,
    SettingsFileError,
    load_own_settings,
    load_settings_file,
)
from rhubarbferry.platform.store import PlatformStore
from rhubarbferry.platform.workers import PlatformWorkers
from rhubarbferry.ports.clock import SystemClock

# A process without a response from the store for this long can't serve clients and reports that it
# is not ready; other processes may still reach the store.
STORE_RESPONSE_TIMEOUT_S = 2.0
# The load balancer needs two failed readiness checks, one second apart, to remove a process.
BALANCER_REMOVAL_S = 2.6
# Part of the grace period that is reserved for closing servers and connections before SIGKILL.
SHUTDOWN_RESERVE_S = 1.0
# Interval between checks of the settings file, which may change without a signal.
SETTINGS_POLL_INTERVAL_S = 2.0


@define(kw_only=True, eq=False)
class Signals:
    """Signals received since the start of the process."""

    stop: asyncio.Event = field(factory=asyncio.Event)
    reload: asyncio.Event = field(factory=asyncio.Event)


@define(kw_only=True, eq=False, slots=False)
class Process:
    """One process of a cell and its components.

    :param own_settings: INI file with this system's own settings; ``None`` for the defaults.
    :ivar draining: set when the process has begun to shut down.
    """

    settings: SettingsFile
    log: EventLog
    signals: Signals
    clock: SystemClock = field(factory=SystemClock)
    view: CellView = field(factory=CellView)
    own_settings: Path | None = None
    draining: bool = False

    def __attrs_post_init__(self) -> None:
        cfg = self.settings.cell
        addresses = self.settings.addresses
        own = Member(
            name=cfg.member,
            address=addresses.peers,
            region=cfg.region,
            failure_domain=cfg.failure_domain,
            cores=cfg.cores,
            link_mbps=cfg.link_mbps,
        )
        self.loop_lag = LoopLag(log=self.log)
        self.store = PlatformStore(
            address=addresses.store, extra_timeout_s=self.loop_lag.per_call_s
        )
        self.feed = ConfigurationWatcher(
            clock=self.clock,
            store=self.store,
            log=self.log,
            key=CONFIGURATION_KEY,
            decode=self._decode_configuration,
            history_s=cfg.bounds.history_s,
        )
        self.workers = PlatformWorkers(
            extra_timeout_s=self.loop_lag.per_call_s, max_descriptors=cfg.max_descriptors
        )
        self.policy = (
            PlatformPolicy(address=addresses.policy, extra_timeout_s=self.loop_lag.per_call_s)
            if addresses.policy
            else None
        )
        self.load_view = LoadView(
            clock=self.clock,
            log=self.log,
            enabled=lambda: self.settings.cell.admission.refuse_when_full,
        )
        self.peers = PeerClient(extra_s=self.loop_lag.per_call_s, load=self.load_view)
        self.keeper = LeaseKeeper(clock=self.clock, store=self.store, log=self.log)
        self.candidate = Candidate(
            process=ProcessContext(
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
                admission=lambda: self.settings.cell.admission,
            )
        )
        owner = OwnerClient(
            clock=self.clock,
            own=own,
            view=self.view,
            peers=self.peers,
            term=lambda: self.candidate.term,
        )
        direct_calls = DirectJobCalls(
            clock=self.clock,
            store=self.store,
            log=self.log,
            owner=owner,
            store_reachable=self.keeper.store_reachable,
        )
        self.owner_monitor = OwnerMonitor(
            clock=self.clock,
            log=self.log,
            own=own,
            view=self.view,
            peers=self.peers,
            replace=self.candidate.replace_unresponsive,
        )
        self.listeners = create_listeners(
            cfg=cfg, routes=lambda: self.feed.routes, report=self.log.emit
        )
        self.peer_server = PeerServer(
            clock=self.clock,
            jobs=direct_calls,
            policy=self.policy,
            term=lambda: self.candidate.term,
            store_reached=self.candidate.reaches_store,
            take_over=self.candidate.take_over,
            listener=self.listeners.peers,
        )
        self.api = ClientApi(
            clock=self.clock,
            log=self.log,
            jobs=FallbackJobCalls(
                clock=self.clock,
                log=self.log,
                own=own,
                view=self.view,
                peers=self.peers,
                direct=direct_calls,
                owner=owner,
                store_reachable=self.keeper.store_reachable,
            ),
            routes=lambda: self.feed.routes,
            count_pending=owner.pending,
            admission=AdmissionControl(
                clock=self.clock,
                log=self.log,
                settings=lambda: self.settings.cell.admission,
                owner=owner,
                view=self.load_view,
                config_revision=lambda: self.feed.routes.revision if self.feed.routes else 0,
                stored_status=direct_calls.status,
            ),
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then hand over owned work and shut down within the grace period.

        :raises OSError: when an address is not available.
        """
        addresses = self.settings.addresses
        health_socket = listen(addresses.health)
        client_socket = listen(addresses.clients)
        await self.peer_server.start(addresses.peers)
        health = build_app(not_ready_reason=self._not_ready_reason)
        background_tasks = [
            asyncio.create_task(self.log.run()),
            asyncio.create_task(self.loop_lag.run()),
            asyncio.create_task(self.feed.run()),
            asyncio.create_task(self.keeper.run()),
            asyncio.create_task(self.candidate.run()),
            asyncio.create_task(self.owner_monitor.run()),
            asyncio.create_task(self._watch_settings()),
        ]
        sockets = [
            (health, health_socket, self.listeners.health),
            (self.api, client_socket, self.listeners.clients),
        ]
        metrics_socket = self._listen_for_metrics()
        if metrics_socket is not None:
            sockets.append((health, metrics_socket, self.listeners.metrics))
        servers = []
        server_tasks = []
        for app, sock, listener in sockets:
            server = create_server(app, listener=listener)
            servers.append(server)
            server_tasks.append(asyncio.create_task(server.serve(sockets=[sock])))
        stop_signal = asyncio.create_task(self.signals.stop.wait())
        await asyncio.wait(
            [*background_tasks, *server_tasks, stop_signal], return_when=asyncio.FIRST_COMPLETED
        )
        for task in background_tasks + server_tasks:
            if task.done():
                logger.opt(exception=task.exception()).error(
                    "a component of the process has stopped unexpectedly"
                )
        await self._drain()
        for server in servers:
            server.stop()
        for task in background_tasks:
            task.cancel()
        await asyncio.gather(*background_tasks, *server_tasks, return_exceptions=True)
        await self.peer_server.close()
        await self.peers.close()
        await self.workers.close()
        if self.policy is not None:
            await self.policy.close()
        await self.store.close()

    def _listen_for_metrics(self) -> socket.socket | None:
        """Listen on the fixed metrics port; return ``None`` when the port is not available."""
        try:
            return listen(self.settings.addresses.metrics)
        except OSError as exc:
            self.log.emit(
                "metrics.not_served", address=self.settings.addresses.metrics, reason=str(exc)
            )
            return None

    async def _drain(self) -> None:
        grace_s = self.settings.cell.bounds.grace_s
        self.draining = True
        self.log.emit("process.stopping", grace_s=grace_s)
        started_at = self.clock.monotonic()
        await self.candidate.leave()
        # Clients keep using open connections, and the load balancer sends new ones until two of
        # its checks have failed. Exiting at once would break both.
        await asyncio.sleep(max(0.0, BALANCER_REMOVAL_S - (self.clock.monotonic() - started_at)))
        self.api.closing = True
        drain_deadline = started_at + grace_s - SHUTDOWN_RESERVE_S
        await asyncio.sleep(max(0.0, drain_deadline - self.clock.monotonic()))
        self.log.emit("process.stopped", in_progress=self.api.in_progress)

    async def _watch_settings(self) -> None:
        """Apply changes of the settings file, on SIGHUP and at regular intervals."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                    await self.signals.reload.wait()
            self.signals.reload.clear()
            try:
                settings = read_settings(self.own_settings)
            except SettingsFileError as exc:
                self.log.emit("settings.refused", reason=str(exc), outcome="the last ones stay")
                continue
            if settings != self.settings:
                self._apply(settings)

    def _apply(self, settings: SettingsFile) -> None:
        """Update the addresses of the called services; listening addresses remain unchanged."""
        self.store.address = settings.addresses.store
        if self.policy is not None and settings.addresses.policy:
            self.policy.address = settings.addresses.policy
        self.settings = settings
        self.log.emit("settings.applied", addresses=str(settings.addresses))

    def _not_ready_reason(self) -> str:
        if self.draining:
            return "the process is stopping"
        if self.feed.routes is None:
            return "no configuration has been read yet"
        unanswered_s = self.clock.monotonic() - self.keeper.answered_at
        if unanswered_s > STORE_RESPONSE_TIMEOUT_S:
            return f"the store has not answered for {unanswered_s:.1f} s"
        return ""

    def _decode_configuration(self, value: bytes, revision: int) -> RouteTable | None:
        try:
            return decode_configuration(value, revision=revision)
        except ConfigurationError as exc:
            logger.error(
                "the configuration is invalid; the previous one remains in effect: {}", exc
            )
            return None


def read_settings(own_settings: Path | None = None) -> SettingsFile:
    """Read the settings file that the environment variable names.

    :param own_settings: INI file with this system's own settings; ``None`` for the defaults.
    :raises SettingsFileError: when the file is not usable.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsFileError(
            f"{SETTINGS_VARIABLE}: not set; set it to the path of the settings file"
        )
    settings = load_settings_file(Path(path))
    if own_settings is None:
        return settings
    own = load_own_settings(own_settings)
    cell = evolve(settings.cell, admission=own.admission, connections=own.connections)
    return evolve(settings, cell=cell)
