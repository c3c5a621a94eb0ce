from __future__ import annotations

import pytest

from rhubarbferry.core.retry import RetryBudget


@pytest.mark.parametrize(
    ("ratio", "requests", "expected"), [(0.1, 1000, 50), (0.1, 100, 13), (0.0, 1000, 3)]
)
def test_retries_are_proportional_to_requests_with_a_floor(ratio, requests, expected) -> None:
    budget = RetryBudget(ratio=ratio)
    for _ in range(requests):
        budget.begun(now=0.0)
    assert sum(budget.take(now=0.0) for _ in range(requests)) == pytest.approx(expected, abs=1)


def test_an_idle_account_gains_retries_at_the_floor_rate() -> None:
    budget = RetryBudget(ratio=0.1, tokens=0.0)
    assert not budget.take(now=0.0)
    assert not budget.take(now=4.0)
    assert budget.take(now=6.0)
    assert not budget.take(now=5.0)
