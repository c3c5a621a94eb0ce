"""Response deadlines that clients send with their requests."""

from __future__ import annotations

import pytest

from rhubarbferry.platform.client_api import DEFAULT_DEADLINE_S, MAX_DEADLINE_S, _parse_deadline

DEADLINES = [
    (b"1500", 1.5),
    (b"-1", -0.001),
    (b"", DEFAULT_DEADLINE_S),
    (b"soon", DEFAULT_DEADLINE_S),
    (b"nan", DEFAULT_DEADLINE_S),
    (b"inf", MAX_DEADLINE_S),
    (b"1e300", MAX_DEADLINE_S),
]


@pytest.mark.parametrize(("value", "timeout_s"), DEADLINES)
def test_a_deadline_is_a_finite_time(value, timeout_s):
    """Guards against a request that is repeated for as long as an outage lasts."""
    assert _parse_deadline(value) == timeout_s
