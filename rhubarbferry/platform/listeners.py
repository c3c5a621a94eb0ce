"""Limits of the listeners of a process, derived from its memory and descriptors."""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache

from attrs import define

from rhubarbferry.cell.routes import Limits, RouteTable
from rhubarbferry.cell.settings import CellSettings
from rhubarbferry.serving.limits import RequestLimits
from rhubarbferry.serving.listener import (
    DEFAULT_HELD_BYTES,
    DEFAULT_LIMITS,
    ByteBudget,
    Listener,
    Report,
)

# Used when the settings name no limit.
DEFAULT_DESCRIPTORS = 4096
# Shares of the descriptors. The others are for files, the store, hosts and calls to processes.
CLIENT_SHARE = 1 / 8
PEER_SHARE = 1 / 8
# Share of the memory for unanswered requests.
HELD_MEMORY_SHARE = 1 / 8
# The load balancer and monitoring tools use a few connections each.
HEALTH_CONNECTIONS = 16
METRICS_CONNECTIONS = 16
# Limits of clients before a configuration has been read.
UNCONFIGURED = Limits()
HEALTH_LIMITS = RequestLimits(
    head_bytes=16 * 1024, body_bytes=16 * 1024, buffered_body_bytes=64 * 1024, head_timeout_s=3.0
)


@define(kw_only=True, eq=False)
class Listeners:
    """The listeners of a process, which share one budget of bytes."""

    clients: Listener
    health: Listener
    metrics: Listener
    peers: Listener


def create_listeners(
    *, cfg: CellSettings, routes: Callable[[], RouteTable | None], report: Report
) -> Listeners:
    """Return the listeners of a process.

    :param routes: returns the current configuration, or ``None`` until one has been read.
    :param report: writes a log line from the name of an event and its fields.
    """
    connections = cfg.connections
    descriptors = cfg.max_descriptors or DEFAULT_DESCRIPTORS
    held_bytes = connections.held_bytes or int(cfg.memory_bytes * HELD_MEMORY_SHARE)
    budget = ByteBudget(max_bytes=held_bytes or DEFAULT_HELD_BYTES)

    def create(name: str, max_connections: int, limits: Callable[[], RequestLimits]) -> Listener:
        return Listener(
            name=name,
            limits=limits,
            budget=budget,
            max_connections=max(1, max_connections),
            write_timeout_s=connections.write_timeout_s,
            report=report,
        )

    def client_limits() -> RequestLimits:
        table = routes()
        return _request_limits(table.limits if table is not None else UNCONFIGURED)

    max_clients = connections.max_clients or int(descriptors * CLIENT_SHARE)
    return Listeners(
        clients=create("clients", max_clients, client_limits),
        health=create("health", HEALTH_CONNECTIONS, lambda: HEALTH_LIMITS),
        metrics=create("metrics", METRICS_CONNECTIONS, lambda: HEALTH_LIMITS),
        peers=create("peers", int(descriptors * PEER_SHARE), lambda: DEFAULT_LIMITS),
    )


@lru_cache(maxsize=1)
def _request_limits(limits: Limits) -> RequestLimits:
    return RequestLimits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        buffered_body_bytes=limits.body_bytes,
        head_timeout_s=limits.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )
