"""The limits of requests in the operator's configuration."""

from __future__ import annotations

import json

import pytest

from rhubarbferry.cell.routes import Limits, RouteTable
from rhubarbferry.cell.settings import CellSettings
from rhubarbferry.platform.configuration import ConfigurationError, decode_configuration
from rhubarbferry.platform.listeners import create_listeners

LIMITS = {
    "maxHeaderBytes": 1000,
    "maxBodyBytes": 2000,
    "headerTimeoutMs": 300,
    "idleTimeoutMs": 4500,
}
CELL = CellSettings(member="m", region="r", failure_domain="d")


def decode(limits) -> RouteTable:
    value = json.dumps({"version": 1, "routes": [], "limits": limits}).encode()
    return decode_configuration(value, revision=1)


def test_all_limits_are_decoded():
    assert decode(LIMITS).limits == Limits(
        head_bytes=1000, body_bytes=2000, head_timeout_s=0.3, idle_timeout_s=4.5
    )


@pytest.mark.parametrize("name", LIMITS)
@pytest.mark.parametrize("value", [0, -1])
def test_a_limit_that_is_not_positive_has_its_default(name, value):
    """Guards against a configuration that closes all connections."""
    others = {key: limit for key, limit in LIMITS.items() if key != name}
    assert decode({**LIMITS, name: value}).limits == decode(others).limits


@pytest.mark.parametrize("name", LIMITS)
@pytest.mark.parametrize("value", ["1", None, [], True])
def test_a_limit_of_another_type_is_refused(name, value):
    with pytest.raises(ConfigurationError):
        decode({**LIMITS, name: value})


def test_listeners_of_clients_follow_the_configuration():
    """Guards against limits that the operator has set and no process follows."""
    table: RouteTable | None = None
    listeners = create_listeners(cfg=CELL, routes=lambda: table, report=lambda *_, **__: None)
    found = listeners.clients.limits()
    assert (found.head_bytes, found.body_bytes) == (16_384, 262_144)
    assert (found.head_timeout_s, found.idle_timeout_s) == (3.0, 15.0)
    table = decode(LIMITS)
    found = listeners.clients.limits()
    assert (found.head_bytes, found.body_bytes) == (1000, 2000)
    assert (found.head_timeout_s, found.idle_timeout_s) == (0.3, 4.5)
    table = decode({})
    assert listeners.clients.limits().head_bytes == 16_384
