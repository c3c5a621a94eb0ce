"""Validation of settings before a process starts; every check reports all its problems."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterator
from urllib.parse import urlsplit

import attrs

from rhubarbferry.conf.problems import Problem
from rhubarbferry.conf.settings import Settings
from rhubarbferry.core.addresses import MAX_PORT, parse_port

Check = Callable[[Settings], Iterator[Problem]]

CHECKS: list[Check] = []
# Settings for which 0 is valid and disables the feature.
ZERO_DISABLES = frozenset({"longest_extension_s", "spill_margin_s"})


def register(check: Check) -> Check:
    """Register a check that runs before a process starts."""
    CHECKS.append(check)
    return check


def run_checks(cfg: Settings) -> tuple[Problem, ...]:
    """Run all checks and return the problems found."""
    return tuple(problem for check in CHECKS for problem in check(cfg))


@register
def check_location(cfg: Settings) -> Iterator[Problem]:
    """Require the location of the process, a valid IP address and valid ports."""
    for key in ("region", "failure_domain", "member"):
        if not getattr(cfg.process, key):
            yield Problem(
                section="process",
                key=key,
                message="is empty",
                hint=f"Write the {key.replace('_', ' ')} of this host",
            )
    try:
        ipaddress.ip_address(cfg.process.listen_ip)
    except ValueError:
        yield Problem(
            section="process",
            key="listen_ip",
            message=f"{cfg.process.listen_ip!r} is not an IP address",
            hint="Write the IP at which other hosts reach this host",
        )
    for key in ("rpc_port", "http_port"):
        port = getattr(cfg.process, key)
        if not 0 <= port <= MAX_PORT:
            yield Problem(
                section="process",
                key=key,
                message=f"{port} is not a valid port",
                hint=f"Write 0 for any free port, or a port from 1 to {MAX_PORT}",
            )


@register
def check_advertised(cfg: Settings) -> Iterator[Problem]:
    """Require that each advertised address is an IP address and a port."""
    for key in ("advertise_rpc", "advertise_http"):
        address = getattr(cfg.process, key)
        if address and not _is_address(address):
            yield Problem(
                section="process",
                key=key,
                message=f"{address!r} is not an ip:port address",
                hint="Write an ip:port like 10.0.0.1:7000, or omit it to use the bound address",
            )


def _is_address(text: str) -> bool:
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip.removeprefix("[").removesuffix("]"))
        parse_port(port)
    except ValueError:
        return False
    return True


@register
def check_urls(cfg: Settings) -> Iterator[Problem]:
    """Require HTTP(S) URLs for the external services."""
    for section, url in (("store", cfg.store.url), ("hosts", cfg.hosts.url)):
        parts = urlsplit(url)
        if parts.scheme not in ("http", "https") or not parts.netloc:
            yield Problem(
                section=section,
                key="url",
                message=f"{url!r} is not an HTTP URL",
                hint="Write it like http://10.0.0.1:2379",
            )


@register
def check_positive(cfg: Settings) -> Iterator[Problem]:
    """Require durations and rates above zero."""
    for section in attrs.fields(Settings):
        group = getattr(cfg, section.name)
        for field in attrs.fields(type(group)):
            value = getattr(group, field.name)
            if value == 0 and field.name in ZERO_DISABLES:
                continue
            if field.name.endswith(("_s", "_per_s", "_bytes")) and value <= 0:
                yield Problem(
                    section=section.name,
                    key=field.name,
                    message=f"{value} is not above 0",
                    hint=f"The default is {field.default}",
                )


@register
def check_connections(cfg: Settings) -> Iterator[Problem]:
    """Require that a frontend accepts connections."""
    if cfg.connections.max_connections < 1:
        yield Problem(
            section="connections",
            key="max_connections",
            message=f"{cfg.connections.max_connections} allows no connection",
            hint="Write 1 or more",
        )


@register
def check_lease(cfg: Settings) -> Iterator[Problem]:
    """Require that a lease can be renewed twice before it expires.

    Otherwise a single lost renewal lets the lease expire, and the process repeatedly loses its
    partitions although nothing has failed.
    """
    own = cfg.ownership
    usable_s = own.lease_s - own.clock_margin_s
    if own.renew_s > 0 and usable_s < 2 * own.renew_s:
        yield Problem(
            section="ownership",
            key="renew_s",
            message=f"{own.renew_s} allows no lost renewal within a lease of {own.lease_s} s",
            hint=f"Write at most {usable_s / 2:.2f}",
        )


@register
def check_task_lease(cfg: Settings) -> Iterator[Problem]:
    """Require that a task lease is longer than a takeover.

    A worker stops its tasks when their lease expires. With a shorter task lease, each failure of a
    scheduler would stop all tasks of its racks.
    """
    takeover_s = cfg.ownership.lease_s + 2 * cfg.jobs.renew_s
    if cfg.jobs.task_lease_s < takeover_s:
        yield Problem(
            section="jobs",
            key="task_lease_s",
            message=f"{cfg.jobs.task_lease_s} is shorter than a takeover",
            hint=f"Write at least {takeover_s}",
        )


@register
def check_log(cfg: Settings) -> Iterator[Problem]:
    """Require a known log format."""
    if cfg.log.format not in ("text", "json"):
        yield Problem(
            section="log",
            key="format",
            message=f"{cfg.log.format!r} is not a log format",
            hint="Write text or json",
        )
