"""Weighted dominant resource fairness of client accounts, with decaying usage.

An account's standing is its dominant share (the largest fraction of the cell's total that it
uses in any dimension), computed from its current usage and a decayed mean of past usage, divided
by its weight. Work of the account with the lowest standing is scheduled first. Capacity that an
account does not use is available to the others, so no work waits while there is free capacity.

Usage is reported in digests, one per worker partition. A digest of a given age does not include
tasks that were started or ended since, so a standing is wrong by at most the tasks started within
that age. Homes add their own claims until a newer digest arrives.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import define, frozen

from rhubarbferry.core.cell import Size

ZERO_SIZE = Size()
# Weight of past usage relative to current usage. With equal weights, an account with large tasks
# permanently stays one task's share behind, because starting one more task outweighs that much
# past usage.
PAST_USAGE_WEIGHT = 10.0


def dominant_share(used: Iterable[float], total: Iterable[float]) -> float:
    """Return the largest fraction of the total that is used in any dimension.

    :param used: amount used in each dimension.
    :param total: capacity in each dimension; those of capacity 0 are ignored.
    """
    return max(
        (value / whole for value, whole in zip(used, total, strict=True) if whole), default=0.0
    )


@frozen(kw_only=True, slots=True)
class UsageDigest:
    """Declared sizes of the tasks in one partition, per account.

    :param taken_at: the reader's monotonic time when it requested the digest.
    """

    taken_at: float
    used: Mapping[str, Size]


@define(kw_only=True, slots=True)
class _AccountUsage:
    weight: float = 1.0
    quota: Size = ZERO_SIZE
    now: Size = ZERO_SIZE
    claimed: Size = ZERO_SIZE
    past_mean: tuple[float, float, float] = (0.0, 0.0, 0.0)
    updated_at: float = 0.0


class FairShare:
    """Computes the standing of every account.

    :param half_life_s: time after which the weight of past usage is halved.
    """

    def __init__(self, *, half_life_s: float) -> None:
        self._rate = math.log(2.0) / half_life_s
        self._accounts: dict[str, _AccountUsage] = {}
        self._digests: dict[str, UsageDigest] = {}
        self._total = Size()

    def set_account(self, account: str, *, weight: float, quota: Size) -> None:
        """Set an account's weight and quota; a quota dimension of 0 is unlimited."""
        usage = self._usage_of(account)
        usage.weight = weight
        usage.quota = quota

    def set_total(self, total: Size) -> None:
        """Set the total capacity of the cell, of which shares are fractions."""
        self._total = total

    def put_digest(self, partition: str, digest: UsageDigest) -> None:
        """Replace the usage digest of one partition."""
        previous = self._digests.get(partition)
        self._digests[partition] = digest
        accounts = set(digest.used) | set(previous.used if previous else ())
        for account in accounts:
            change = digest.used.get(account, ZERO_SIZE)
            if previous is not None:
                change = change - previous.used.get(account, ZERO_SIZE)
            self._decay(account, digest.taken_at)
            usage = self._usage_of(account)
            usage.now = usage.now + change

    def claim(self, account: str, size: Size) -> None:
        """Add a claim that no digest includes yet."""
        usage = self._usage_of(account)
        usage.claimed = usage.claimed + size

    def unclaim(self, account: str, size: Size) -> None:
        """Remove a claim that was refused or that a digest now includes."""
        usage = self._usage_of(account)
        usage.claimed = usage.claimed - size

    def standing(self, account: str, now: float) -> float:
        """Return the account's weighted dominant share; the lowest is scheduled first."""
        self._decay(account, now)
        usage = self._usage_of(account)
        current = self._dominant(usage.now + usage.claimed)
        return (current + PAST_USAGE_WEIGHT * self._dominant_mean(usage.past_mean)) / usage.weight

    def within_quota(self, account: str, size: Size) -> bool:
        """Return whether the account may use ``size`` more without exceeding its quota."""
        usage = self._usage_of(account)
        after = usage.now + usage.claimed + size
        quota = usage.quota
        return (
            (not quota.millicores or after.millicores <= quota.millicores)
            and (not quota.memory_bytes or after.memory_bytes <= quota.memory_bytes)
            and (not quota.accelerators or after.accelerators <= quota.accelerators)
        )

    def used(self, account: str) -> Size:
        """Return the account's usage, including claims that no digest includes yet."""
        usage = self._usage_of(account)
        return usage.now + usage.claimed

    def age(self, partition: str, now: float) -> float:
        """Return the age of a partition's digest in seconds, infinite without a digest."""
        digest = self._digests.get(partition)
        return math.inf if digest is None else now - digest.taken_at

    def _usage_of(self, account: str) -> _AccountUsage:
        usage = self._accounts.get(account)
        if usage is None:
            usage = self._accounts[account] = _AccountUsage()
        return usage

    def _decay(self, account: str, now: float) -> None:
        usage = self._usage_of(account)
        if now <= usage.updated_at:
            return
        # An account without a previous update has no past usage: its mean starts at zero.
        decay_factor = math.exp(-self._rate * (now - usage.updated_at)) if usage.updated_at else 1.0
        held = usage.now + usage.claimed
        current = (held.millicores, held.memory_bytes, held.accelerators)
        usage.past_mean = tuple(  # type: ignore[assignment]
            value + (old - value) * decay_factor
            for value, old in zip(current, usage.past_mean, strict=True)
        )
        usage.updated_at = now

    def _dominant(self, size: Size) -> float:
        return self._dominant_mean((size.millicores, size.memory_bytes, size.accelerators))

    def _dominant_mean(self, used: tuple[float, float, float]) -> float:
        total = (self._total.millicores, self._total.memory_bytes, self._total.accelerators)
        return dominant_share(used, total)
