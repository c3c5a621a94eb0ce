"""Shares of a full cell that client accounts are owed."""

from __future__ import annotations

from collections.abc import Iterable

from rhubarbferry.dispatch.messages import Account


def owed_shares(accounts: Iterable[Account]) -> dict[str, float]:
    """Return the share of all room that each account is owed while the cell is full.

    :returns: the weight of each account divided by the sum of all weights, by the account's name;
        empty if no weight is above 0.
    """
    weights = {account.name: max(0.0, account.weight) for account in accounts}
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()} if total else {}
