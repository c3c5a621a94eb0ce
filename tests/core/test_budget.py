from __future__ import annotations

import pytest

from rhubarbferry.core.budget import Bucket, Rate, refill, share, take

RATE = Rate(per_s=10.0, burst=5.0)


@pytest.mark.parametrize(
    ("tokens", "at", "now", "wait_s", "left"),
    [
        (5.0, 0.0, 0.0, 0.0, 4.0),
        (1.0, 0.0, 0.0, 0.0, 0.0),
        (0.0, 0.0, 0.0, 0.1, -1.0),
        (-3.0, 0.0, 0.0, 0.4, -4.0),
        (0.0, 0.0, 0.1, 0.0, 0.0),
        (0.0, 0.0, 100.0, 0.0, 4.0),
        (0.0, 5.0, 1.0, 0.1, -1.0),
    ],
)
def test_take_returns_the_wait_for_a_token(
    tokens: float, at: float, now: float, wait_s: float, left: float
) -> None:
    taken = take(Bucket(tokens=tokens, at=at), RATE, now)
    assert taken.wait_s == pytest.approx(wait_s)
    assert taken.bucket.tokens == pytest.approx(left)


def test_refill_is_limited_to_the_burst() -> None:
    assert refill(Bucket(tokens=4.0, at=0.0), RATE, 60.0).tokens == 5.0


@pytest.mark.parametrize(("members", "per_s"), [(1, 300.0), (18, 300 / 18), (0, 300.0)])
def test_the_rate_is_divided_by_the_number_of_members(members: int, per_s: float) -> None:
    assert share(per_s=300.0, members=members, burst_s=0.5).per_s == pytest.approx(per_s)


def test_the_waits_of_concurrent_calls_enforce_the_rate() -> None:
    bucket = Bucket(tokens=RATE.burst, at=0.0)
    waits = []
    for _ in range(25):
        taken = take(bucket, RATE, 0.0)
        bucket = taken.bucket
        waits.append(taken.wait_s)
    assert sum(wait <= 1.0 for wait in waits) == RATE.burst + RATE.per_s
