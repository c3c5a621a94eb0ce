"""Shares of client accounts in a full cell."""

from __future__ import annotations

import pytest

from rhubarbferry.dispatch.account_shares import owed_shares
from rhubarbferry.dispatch.messages import Account

# Weights of the accounts and the shares that they are owed.
WEIGHTS = {
    "no account": ({}, {}),
    "one account": ({"a": 3.0}, {"a": 1.0}),
    "by weight": ({"a": 3.0, "b": 1.0}, {"a": 0.75, "b": 0.25}),
    "no positive weight": ({"a": 0.0, "b": -1.0}, {}),
    "a weight below 0 counts as 0": ({"a": 2.0, "b": -1.0}, {"a": 1.0, "b": 0.0}),
}


@pytest.mark.parametrize(("weights", "shares"), WEIGHTS.values(), ids=WEIGHTS.keys())
def test_shares_follow_the_weights(weights, shares):
    accounts = [Account(name=name, weight=weight) for name, weight in weights.items()]
    assert owed_shares(accounts) == shares
