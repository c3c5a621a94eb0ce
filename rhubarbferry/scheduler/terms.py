"""The shares and limits of client accounts in one runner partition."""

from __future__ import annotations

from collections.abc import Mapping

from rhubarbferry.core.cell import Account, Cell
from rhubarbferry.core.limits import DelayedLimit, LimitPart
from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.core.request_queue import Terms
from rhubarbferry.ports.ownership import OwnershipView

LIMIT_RISE_DELAY_S = 10.0


class AccountTerms:
    """Terms of all accounts, with limits divided among the runner partitions of the cell."""

    def __init__(self, *, partition: PartitionId) -> None:
        self._partition = partition
        self._concurrency: dict[str, DelayedLimit] = {}
        self._rate: dict[str, DelayedLimit] = {}

    def terms(self, cell: Cell, view: OwnershipView, *, now: float) -> Mapping[str, Terms]:
        """Return the terms in force at time ``now``, by account."""
        part = self._part(view)
        return {
            name: self._terms(account, part, now=now) for name, account in cell.accounts.items()
        }

    def _part(self, view: OwnershipView) -> LimitPart:
        known = view.partitions(PartitionKind.RUNNER)
        if self._partition not in known:
            return LimitPart(index=len(known), count=len(known) + 1)
        return LimitPart(index=known.index(self._partition), count=len(known))

    def _terms(self, account: Account, part: LimitPart, *, now: float) -> Terms:
        limits = account.limits
        concurrency = self._concurrency.setdefault(
            account.name, DelayedLimit(rise_s=LIMIT_RISE_DELAY_S)
        )
        rate = self._rate.setdefault(account.name, DelayedLimit(rise_s=LIMIT_RISE_DELAY_S))
        max_concurrency = concurrency.update(part.whole(limits.max_concurrency), now=now)
        return Terms(
            share=account.share,
            max_concurrency=None if max_concurrency is None else int(max_concurrency),
            rate_per_s=rate.update(part.rate(limits.rate_per_s), now=now),
            max_waiting=limits.max_waiting,
        )
