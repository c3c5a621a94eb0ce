"""Generator of the requests for the experiments."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from attrs import frozen

from rhubarbferry.bench.profiles import Profile
from rhubarbferry.core.cell import PriorityClass

MEAN_SERVICE_S = 0.2
SERVICE_LOG_STDDEV = 0.6
CLASSES = (PriorityClass.URGENT, PriorityClass.NORMAL, PriorityClass.BATCH)
DEMANDS = (1.0, 2.0, 1.0, 4.0)
SHARES = (1.0, 1.0, 2.0, 3.0)


@frozen(kw_only=True, slots=True)
class Arrival:
    """One generated request.

    :param at: arrival time in seconds.
    :param service_s: service time in seconds on a healthy runner.
    """

    id: str
    at: float
    account: str
    priority: PriorityClass
    timeout_s: float
    service_s: float


@frozen(kw_only=True, slots=True)
class RequestMix:
    """Distribution of the priority classes and timeouts of requests.

    :param classes: fractions of the priority classes, the most urgent first.
    :param timeouts_s: timeouts in seconds, drawn with equal probability.
    """

    classes: tuple[float, float, float]
    timeouts_s: tuple[float, ...]


MIXED = RequestMix(classes=(0.05, 0.65, 0.30), timeouts_s=(1.0, 2.0, 5.0, 10.0))
# With several classes and short deadlines, the slot time of an account depends on more than its
# share. This mix isolates the effect of the shares.
ONE_CLASS = RequestMix(classes=(0.0, 1.0, 0.0), timeouts_s=(10.0,))


def account_names(count: int) -> list[str]:
    """Return the names of ``count`` client accounts."""
    return [f"account-{number:02}" for number in range(count)]


def share_of(number: int) -> float:
    """Return the fair-share weight of an account."""
    return SHARES[number % len(SHARES)]


def demand_of(number: int) -> float:
    """Return the relative demand of an account, in another order than the weights."""
    return DEMANDS[(number * 3 + 1) % len(DEMANDS)]


def arrivals(
    profile: Profile, *, load: float, seconds: float, seed: int, mix: RequestMix = MIXED
) -> Iterator[Arrival]:
    """Yield requests in order of arrival time.

    :param load: offered work as a multiple of the total slot capacity of the profile.
    :param seconds: length of the arrival period.
    """
    rng = random.Random(seed)
    rate = load * profile.runners * profile.slots / MEAN_SERVICE_S
    names = account_names(profile.accounts)
    demands = [demand_of(number) for number in range(profile.accounts)]
    mu = math.log(MEAN_SERVICE_S) - SERVICE_LOG_STDDEV**2 / 2
    now, number = 0.0, 0
    while True:
        now += rng.expovariate(rate)
        if now >= seconds:
            return
        number += 1
        yield Arrival(
            id=f"r{number}",
            at=now,
            account=rng.choices(names, demands)[0],
            priority=rng.choices(CLASSES, mix.classes)[0],
            timeout_s=rng.choice(mix.timeouts_s),
            service_s=rng.lognormvariate(mu, SERVICE_LOG_STDDEV),
        )
