"""Token bucket that returns how long a call must wait to stay within a rate."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from rhubarbferry.ports.ownership import Member, Role

# Share of the store's request rate per process. A frontend only renews its lease and watches
# keys; a scheduler also appends to logs.
ROLE_WEIGHTS = {Role.FRONTEND: 1, Role.SCHEDULER: 8}


@frozen(kw_only=True, slots=True)
class Rate:
    """The rate and burst size of a token bucket.

    :param per_s: tokens added per second; must be positive.
    :param burst: maximum number of stored tokens, at least 1.
    """

    per_s: float
    burst: float


@frozen(kw_only=True, slots=True)
class Bucket:
    """The state of a token bucket at one instant.

    :param tokens: tokens at ``at``; a negative count was taken in advance.
    :param at: seconds on the caller's monotonic clock.
    """

    tokens: float
    at: float


@frozen(kw_only=True, slots=True)
class TakeResult:
    """The bucket after a token was taken, and the wait before the token may be used."""

    bucket: Bucket
    wait_s: float


def refill(bucket: Bucket, rate: Rate, now: float) -> Bucket:
    """Return the bucket with the tokens added up to ``now``."""
    gained = max(0.0, now - bucket.at) * rate.per_s
    return Bucket(tokens=min(rate.burst, bucket.tokens + gained), at=now)


def take(bucket: Bucket, rate: Rate, now: float) -> TakeResult:
    """Take one token, in advance if the bucket is empty.

    The wait is 0 when a token was available.
    """
    full = refill(bucket, rate, now)
    left = Bucket(tokens=full.tokens - 1, at=now)
    return TakeResult(bucket=left, wait_s=max(0.0, -left.tokens / rate.per_s))


def rate_divisor(role: Role, members: Iterable[Member]) -> float:
    """Return the divisor that gives a process of ``role`` its part of the total rate."""
    total = sum(ROLE_WEIGHTS[member.role] for member in members)
    return max(1.0, total / ROLE_WEIGHTS[role])


def share(*, per_s: float, members: float, burst_s: float) -> Rate:
    """Return the rate of one of ``members`` processes that share ``per_s`` tokens per second."""
    own = per_s / max(1.0, members)
    return Rate(per_s=own, burst=max(1.0, own * burst_s))
