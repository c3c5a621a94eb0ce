"""Limits of the listeners of a process."""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache

from attrs import define

from rhubarbferry.cell.routes import Limits, RouteTable
from rhubarbferry.cell.settings import CellSettings
from rhubarbferry.serving.limits import RequestLimits
from rhubarbferry.serving.listener import Listener, Report

# Limits of clients before a configuration has been read.
UNCONFIGURED = Limits()
HEALTH_LIMITS = RequestLimits(head_bytes=16 * 1024, body_bytes=16 * 1024, head_timeout_s=3.0)


@define(kw_only=True, eq=False)
class Listeners:
    """The listeners of a process."""

    clients: Listener
    health: Listener
    metrics: Listener


def create_listeners(
    *, cfg: CellSettings, routes: Callable[[], RouteTable | None], report: Report
) -> Listeners:
    """Return the listeners of a process.

    :param routes: returns the current configuration, or ``None`` until one has been read.
    :param report: writes a log line from the name of an event and its fields.
    """

    def client_limits() -> RequestLimits:
        table = routes()
        return _request_limits(table.limits if table is not None else UNCONFIGURED)

    def create(name: str, limits: Callable[[], RequestLimits]) -> Listener:
        return Listener(
            name=name,
            limits=limits,
            write_timeout_s=cfg.connections.write_timeout_s,
            report=report,
        )

    return Listeners(
        clients=create("clients", client_limits),
        health=create("health", lambda: HEALTH_LIMITS),
        metrics=create("metrics", lambda: HEALTH_LIMITS),
    )


@lru_cache(maxsize=1)
def _request_limits(limits: Limits) -> RequestLimits:
    return RequestLimits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        head_timeout_s=limits.head_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )
