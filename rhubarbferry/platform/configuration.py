"""Decoding of the operator's configuration, done once for each revision."""

from __future__ import annotations

from typing import Any

from attrs import asdict, evolve
from loguru import logger

from rhubarbferry.cell.routes import Limits, Route, RouteTable
from rhubarbferry.dispatch.messages import ApprovalCost, Queue
from rhubarbferry.platform.accounts import decode_accounts
from rhubarbferry.platform.documents import DECODE_ERRORS, decode_json, read_integer, read_number

CONFIGURATION_KEY = "op/config"
# Milliseconds in a second.
MS = 1000


class ConfigurationError(Exception):
    """The value is not a valid configuration; the previous one remains in effect."""


def decode_configuration(value: bytes, *, revision: int) -> RouteTable:
    """Decode a configuration; log and skip each invalid route.

    :raises ConfigurationError: when the value is not a valid configuration as a whole.
    """
    try:
        body = decode_json(value)
        version = read_integer(body["version"])
        entries = list(body["routes"])
        limits = _decode_limits(body.get("limits") or {})
    except DECODE_ERRORS as exc:
        raise ConfigurationError(f"not a valid configuration: {exc!r:.300}") from exc
    routes = [route for entry in entries if (route := _decode_route_or_none(entry)) is not None]
    return RouteTable(
        version=version,
        revision=revision,
        routes=routes,
        limits=limits,
        accounts=decode_accounts(body.get("tenants")),
    )


def _decode_limits(entry: Any) -> Limits:
    """Decode the limits; log and replace each that is not positive by its default."""
    defaults = Limits()
    decoded = Limits(
        head_bytes=read_integer(entry.get("maxHeaderBytes", defaults.head_bytes)),
        body_bytes=read_integer(entry.get("maxBodyBytes", defaults.body_bytes)),
        head_timeout_s=read_number(entry.get("headerTimeoutMs", defaults.head_timeout_s * MS)) / MS,
        idle_timeout_s=read_number(entry.get("idleTimeoutMs", defaults.idle_timeout_s * MS)) / MS,
    )
    invalid = {name for name, value in asdict(decoded).items() if value <= 0}
    if invalid:
        logger.warning("limits that are not positive are replaced by their defaults: {}", invalid)
    return evolve(decoded, **{name: getattr(defaults, name) for name in invalid})


def _decode_route_or_none(entry: Any) -> Route | None:
    try:
        return _decode_route(entry)
    except DECODE_ERRORS as exc:
        logger.warning("skipping an invalid route: {!r:.300}", exc)
        return None


def _decode_route(entry: Any) -> Route:
    # The platform's field "advisor" holds the cost of a call to the policy service; the address of
    # that service is in the settings.
    cost = entry.get("advisor")
    advice = None
    if cost:
        advice = ApprovalCost(
            decision_s=read_number(cost["decisionMs"]) / 1000,
            per_host_s=read_number(cost["perWorkerMs"]) / 1000,
            valid_s=read_number(cost["validMs"]) / 1000,
        )
    queue = Queue(
        name=str(entry["name"]),
        service=str(entry["service"]),
        priority=read_integer(entry.get("priority", 0)),
        attempts=max(1, read_integer(entry.get("attempts", 1))),
        slack_factor=read_number(entry.get("slackFactor", 1.0)),
        objective_s=read_number(entry.get("sloMs", 0)) / 1000,
        advice=advice,
    )
    return Route(
        host=str(entry["host"]).lower(),
        prefix=str(entry["prefix"]),
        queue=queue,
        public=entry.get("public") is True,
    )
