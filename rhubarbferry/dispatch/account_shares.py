"""Shares of the hosts' capacity: what client accounts are owed, and what they have in use.

Among steps of one urgency and priority, those of the account with the lowest standing go first. No
room is left free for the sake of a share: an account may use what the others leave.

All of this is derived from the runs of the hosts, so a new owner has the same order as soon as it
knows the same runs.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import Factory, define, evolve

from rhubarbferry.core.fairshare import dominant_share
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, Step
from rhubarbferry.dispatch.messages import Account, Sizes
from rhubarbferry.dispatch.quotas import NOTHING, Quotas
from rhubarbferry.dispatch.waiting import Position

# Bounds the standing of an account whose weight is tiny beside those of the others.
MIN_OWED_SHARE = 1e-9

# Part of a step that counts as in use when its account is compared with others.
STARTING_FRACTION = 0.5
# A position with the standing of the account after the urgency and the priority.
Rank = tuple[int, float, float, float, str, int, int]


def owed_shares(accounts: Iterable[Account]) -> dict[str, float]:
    """Return the share of all room that each account is owed while the cell is full.

    :returns: the weight of each account divided by the sum of all weights, by the account's name;
        empty if no weight is above 0. A weight that is no finite number above 0 counts as 0.
    """
    weights = {
        account.name: account.weight if is_valid_weight(account.weight) else 0.0
        for account in accounts
    }
    largest = max(weights.values(), default=0.0)
    if not largest:
        return {}
    # Dividing by the largest weight first keeps the sum of huge weights finite.
    total = sum(weight / largest for weight in weights.values())
    return {name: weight / largest / total for name, weight in weights.items()}


def is_valid_weight(weight: float) -> bool:
    """Return whether a weight is a finite number above 0."""
    return math.isfinite(weight) and weight > 0


def share_of(used: Sizes, capacity: Sizes) -> float:
    """Return the largest fraction of a capacity that is used in any resource."""
    return dominant_share(
        (used.millicores, used.memory_mb, used.accelerators),
        (capacity.millicores, capacity.memory_mb, capacity.accelerators),
    )


@define(kw_only=True, eq=False)
class AccountShares:
    """Standing of each client account.

    The standing is the dominant share that the runs of the account have in use (the largest
    fraction of all hosts' capacity in any resource, counted as for the quotas), divided by the
    share that it is owed. It is 1 for an account that uses exactly its share. Tasks that a new
    owner only assumes to run count for the quotas, but not here: they would put the accounts with
    the longest backlogs last.

    Jobs without an account belong to one further account of the smallest weight.

    With fewer than two accounts all standings are 0, so they change no order.
    """

    quotas: Quotas = Factory(Quotas)
    _owed: dict[str, float] = Factory(dict)
    _owed_version: int = -1
    _enabled: bool = False
    _invalid: frozenset[str] = frozenset()
    _capacity: Sizes = NOTHING
    _standings: dict[str, tuple[Sizes, float]] = Factory(dict)
    _without_room: dict[str, int] = Factory(dict)

    # ------------------------------------------------------------ settings

    def set_capacity(self, hosts: Iterable[Host]) -> None:
        """Set the capacity, of which shares are fractions, to that of the listed hosts."""
        if not self.enabled:
            return
        millicores = memory_mb = accelerators = 0
        for host in hosts:
            if host.listed:
                capacity = host.entry.capacity
                millicores += capacity.millicores
                memory_mb += capacity.memory_mb
                accelerators += capacity.accelerators
        capacity = Sizes(millicores=millicores, memory_mb=memory_mb, accelerators=accelerators)
        if capacity != self._capacity:
            self._capacity = capacity
            self._standings.clear()

    @property
    def enabled(self) -> bool:
        """Whether there are several accounts whose shares can differ."""
        self._update_owed()
        return self._enabled

    @property
    def owed(self) -> Mapping[str, float]:
        """Share of the capacity that each account is owed while the cell is full."""
        self._update_owed()
        return self._owed

    @property
    def invalid(self) -> frozenset[str]:
        """Accounts whose weight is not valid, and counts as the smallest valid one."""
        self._update_owed()
        return self._invalid

    def _update_owed(self) -> None:
        if self._owed_version == self.quotas.version:
            return
        self._owed_version = self.quotas.version
        accounts = self.quotas.accounts.values()
        valid = [account.weight for account in accounts if is_valid_weight(account.weight)]
        smallest = min(valid, default=1.0)
        self._owed = owed_shares(
            account if is_valid_weight(account.weight) else evolve(account, weight=smallest)
            for account in accounts
        )
        self._invalid = frozenset(
            account.name for account in accounts if not is_valid_weight(account.weight)
        )
        self._enabled = len(self._owed) > 1
        self._standings.clear()

    # ------------------------------------------------------------ standings

    def in_use(self, account: str) -> float:
        """Return the dominant share that an account has in use, from 0 to 1."""
        return share_of(self.quotas.running(account), self._capacity)

    def standing(self, account: str) -> float:
        """Return the share that an account has in use, relative to the share that it is owed."""
        if self._owed_version != self.quotas.version:
            self._update_owed()
        if not self._enabled:
            return 0.0
        used = self.quotas.running(account)
        known = self._standings.get(account)
        # The sizes in use are replaced when they change, so their identity tells whether the
        # cached value holds.
        if known is not None and known[0] is used:
            return known[1]
        standing = share_of(used, self._capacity) / self._owed_share(account)
        self._standings[account] = (used, standing)
        return standing

    def _owed_share(self, account: str) -> float:
        owed = self._owed.get(account)
        if owed is None:
            owed = min(self._owed.values())
        return max(owed, MIN_OWED_SHARE)

    def half_step(self, step: Step) -> float:
        """Return by how much half of the waiting tasks of a step would raise a standing.

        By its standing before the start alone, an account would exceed its share by half a step on
        average, and one with a small share and wide steps would exceed it by much. By its standing
        after the start, it would stay below by as much.
        """
        if not self.enabled:
            return 0.0
        fraction = STARTING_FRACTION * len(step.waiting_tasks())
        owed = self._owed_share(step.job.account_name)
        return fraction * share_of(step.req.sizes, self._capacity) / owed

    def rank(self, step: Step, position: Position) -> Rank:
        """Return the sort key by which a waiting step comes before steps of other accounts."""
        standing = self.standing(step.job.account_name) + self.half_step(step)
        return (*position[:2], standing, *position[2:])

    def is_above(self, step: Step) -> bool:
        """Return whether the account of a step has more in use than it is owed."""
        return self.standing(step.job.account_name) > 1.0

    def may_give_way(self, run: Run, step: Step) -> bool:
        """Return whether a run may be preempted for a step, as far as shares matter.

        A run of an account below its share never gives way to an account above its share.
        """
        return not self.is_above(step) or self.standing(run.task.step.job.account_name) >= 1.0

    # ------------------------------------------------------------ accounts that are held back

    def record_without_room(self, step: Step) -> None:
        """Record that a step has found no room."""
        if self.enabled and self.is_above(step):
            account = step.job.account_name
            self._without_room[account] = self._without_room.get(account, 0) + 1

    def take_held_back(self) -> dict[str, int]:
        """Return how often steps of each account above its share found no room since last time."""
        found, self._without_room = self._without_room, {}
        return found
