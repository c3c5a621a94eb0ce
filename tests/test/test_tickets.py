"""Tickets of the policy service's stand-in, as checked by a host's stand-in."""

from __future__ import annotations

import time

import pytest

from rhubarbferry.test.platform_store import PlatformStoreStandIn
from rhubarbferry.test.platform_worker import PlatformWorkerStandIn, Ticket

TASK = "5c0e7a21d94b36f8.0.0.3"
VALID = {"step": "5c0e7a21d94b36f8.0.0", "host": "a", "born": 9, "valid_for_ms": 60_000}


def ticket(*, valid_for_ms: int, **fields) -> str:
    now_ms = int(time.monotonic() * 1000)
    return Ticket(valid_until_ms=now_ms + valid_for_ms, **fields).encode()


@pytest.mark.parametrize(
    ("changes", "accepted"),
    [
        pytest.param({}, True, id="valid"),
        pytest.param({"step": "5c0e7a21d94b36f8.0.1"}, False, id="another step"),
        pytest.param({"host": "b"}, False, id="another host"),
        pytest.param({"born": 8}, False, id="earlier life"),
        pytest.param({"born": 10}, False, id="later life"),
        pytest.param({"valid_for_ms": -1}, False, id="expired"),
    ],
)
def test_a_ticket_holds_for_one_step_and_life(changes, accepted):
    """Guards against stand-ins that hide an order which the platform would refuse, or accept."""
    host = PlatformWorkerStandIn(
        id="a", service="pool", store=PlatformStoreStandIn(), checks_tickets=True, born=9
    )
    assert host._accepts_ticket(TASK, ticket(**{**VALID, **changes})) is accepted


@pytest.mark.parametrize("text", ["", "ticket-a", "a/b/c"])
def test_other_texts_are_no_tickets(text):
    """Guards against orders without a ticket that are carried out."""
    host = PlatformWorkerStandIn(
        id="a", service="pool", store=PlatformStoreStandIn(), checks_tickets=True
    )
    assert not host._accepts_ticket(TASK, text)
