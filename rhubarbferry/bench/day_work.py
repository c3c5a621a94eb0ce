"""Generated days of jobs: the arrivals of jobs and the faults injected meanwhile.

The parameters model the workloads of the two groups of users: short urgent jobs, wide jobs whose
long tasks run only together (gangs), and batch jobs between the two. Sizes follow a log-normal
distribution because most tasks are small and a few are large.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from attrs import evolve, frozen

from rhubarbferry.dispatch.messages import (
    Account,
    ApprovalCost,
    JobRequest,
    Queue,
    Sizes,
    StepRequest,
)


@frozen(kw_only=True, slots=True)
class BoundedLogNormal:
    """A log-normal distribution with an upper bound.

    :param mean: mean of the distribution before the bound is applied.
    :param spread: standard deviation of the logarithm.
    :param maximum: upper bound of the samples.
    """

    mean: float
    spread: float
    maximum: float

    def __call__(self, rng: random.Random) -> float:
        """Return one sample."""
        mu = math.log(self.mean) - self.spread**2 / 2
        return min(self.maximum, rng.lognormvariate(mu, self.spread))


@frozen(kw_only=True, slots=True)
class JobKind:
    """The distribution of one kind of job.

    :param jobs_per_s: arrival rate in jobs per second.
    :param worth: value of a job of mean size that ends within its objective.
    :param late_worth: value of a job that ends later, up to three times its objective.
    :param steps: number of sequential steps of a job.
    :param tasks_per_step: number of tasks in a step.
    :param run_s: duration of a task in seconds on a host of speed 1.
    :param cores: cores of a task.
    :param memory_mb: memory of a task in MB.
    :param estimate_spread: error of the declared duration, as the standard deviation of the
        logarithm of its ratio to the true one.
    :param gang_fraction: fraction of the jobs whose tasks run only together.
    :param checkpointable_fraction: fraction of the jobs whose tasks can resume from a checkpoint.
    :param failure_fraction: fraction of the attempts that fail because of the task itself.
    :param approved_fraction: fraction of the hosts that the policy service approves for a step.
    """

    queue: Queue
    jobs_per_s: float
    worth: float
    late_worth: float
    steps: BoundedLogNormal
    tasks_per_step: BoundedLogNormal
    run_s: BoundedLogNormal
    cores: BoundedLogNormal
    memory_mb: BoundedLogNormal
    estimate_spread: float
    gang_fraction: float
    checkpointable_fraction: float
    failure_fraction: float
    approved_fraction: float


@frozen(kw_only=True, slots=True)
class Burst:
    """Multiply the arrival rate of one queue by ``factor`` for ``duration_s`` seconds.

    An empty ``queue`` selects all queues.
    """

    at_s: float
    duration_s: float
    factor: float
    queue: str = ""


@frozen(kw_only=True, slots=True)
class HotAccount:
    """Let an account send ``factor`` times its usual jobs for ``duration_s`` seconds."""

    at_s: float
    duration_s: float
    factor: float
    account: str


@frozen(kw_only=True, slots=True)
class HostsLost:
    """Fail a fraction of the hosts at once and restart them empty after ``duration_s`` seconds."""

    at_s: float
    duration_s: float
    fraction: float


@frozen(kw_only=True, slots=True)
class HostsSlow:
    """Slow a fraction of the hosts down by a factor of ``factor`` for ``duration_s`` seconds.

    Slow hosts keep answering requests.
    """

    at_s: float
    duration_s: float
    fraction: float
    factor: float


@frozen(kw_only=True, slots=True)
class StartsLost:
    """Drop a fraction of the start requests for ``duration_s`` seconds.

    Dropped requests are neither executed nor answered.
    """

    at_s: float
    duration_s: float
    fraction: float


@frozen(kw_only=True, slots=True)
class Pause:
    """Suspend all decisions for ``duration_s`` seconds, as during a takeover by a new owner."""

    at_s: float
    duration_s: float


@frozen(kw_only=True, slots=True)
class Day:
    """A simulated day: the hosts, the workload and the injected faults.

    :param seconds: period in seconds during which jobs arrive.
    :param speeds: relative speeds, assigned to the hosts in round-robin order.
    :param members: number of processes that send requests to the policy service.
    :param accounts: client accounts, each of which usually sends jobs in proportion to its weight;
        empty if jobs belong to none.
    :param hot: accounts that send more than usual for a time.
    """

    seconds: float
    hosts: int
    host_cores: int
    host_memory_mb: int
    job_kinds: tuple[JobKind, ...]
    speeds: tuple[float, ...] = (0.8, 1.0, 1.25)
    members: int = 8
    bursts: tuple[Burst, ...] = ()
    losses: tuple[HostsLost, ...] = ()
    pauses: tuple[Pause, ...] = ()
    slow: tuple[HostsSlow, ...] = ()
    starts_lost: tuple[StartsLost, ...] = ()
    accounts: tuple[Account, ...] = ()
    hot: tuple[HotAccount, ...] = ()


@frozen(kw_only=True, slots=True)
class Arrival:
    """A submitted job, with properties that the dispatcher does not see.

    :param run_s: true task duration in seconds of each step, on a host of speed 1.
    """

    at_s: float
    kind: JobKind
    req: JobRequest
    run_s: tuple[float, ...]
    account: Account | None = None

    @property
    def objective_s(self) -> float:
        """Return the time from arrival within which the job should end, in seconds."""
        return self.kind.queue.job_objective_s(sum(self.run_s))

    @property
    def core_s(self) -> float:
        """Return the total work of the job in core-seconds, at speed 1."""
        return sum(
            step.count * step.sizes.millicores / 1000 * run_s
            for step, run_s in zip(self.req.steps, self.run_s, strict=True)
        )


def arrivals(day: Day, rng: random.Random) -> Iterator[Arrival]:
    """Yield the jobs of a day; they are ordered by time only within each kind and account.

    What a hot account sends beyond its usual does not change what the others send.
    """
    for kind in day.job_kinds:
        for at_s in _arrival_times(day, kind.jobs_per_s, kind.queue.name, rng):
            account = _choose_account(day, rng) if day.accounts else None
            yield _arrival(kind, at_s, rng, account)
    total = sum(account.weight for account in day.accounts)
    for hot in day.hot:
        (account,) = (account for account in day.accounts if account.name == hot.account)
        for kind in day.job_kinds:
            rate = kind.jobs_per_s * account.weight / total * (hot.factor - 1)
            for at_s in _arrival_times(day, rate, kind.queue.name, rng):
                if hot.at_s <= at_s < hot.at_s + hot.duration_s:
                    yield _arrival(kind, at_s, rng, account)


def _choose_account(day: Day, rng: random.Random) -> Account:
    weights = [account.weight for account in day.accounts]
    return rng.choices(day.accounts, weights)[0]


def _arrival_times(day: Day, rate: float, queue: str, rng: random.Random) -> Iterator[float]:
    now = 0.0
    while True:
        factor = math.prod(
            burst.factor
            for burst in day.bursts
            if burst.queue in ("", queue) and burst.at_s <= now < burst.at_s + burst.duration_s
        )
        now += rng.expovariate(rate * factor)
        if now >= day.seconds:
            return
        yield now


def _arrival(kind: JobKind, now: float, rng: random.Random, account: Account | None) -> Arrival:
    gang = rng.random() < kind.gang_fraction
    saves = rng.random() < kind.checkpointable_fraction
    steps = []
    durations = []
    for index in range(max(1, round(kind.steps(rng)))):
        run_s = kind.run_s(rng)
        durations.append(run_s)
        steps.append(
            StepRequest(
                count=max(1, round(kind.tasks_per_step(rng))),
                sizes=Sizes(
                    millicores=max(100, round(kind.cores(rng) * 1000)),
                    memory_mb=round(kind.memory_mb(rng)),
                ),
                estimate_s=run_s * rng.lognormvariate(0.0, kind.estimate_spread),
                after=(index - 1,) if index else (),
                gang=gang,
                checkpointable=saves,
            )
        )
    req = JobRequest(
        id=f"{rng.getrandbits(64):016x}",
        queue=kind.queue.name,
        payload="",
        steps=tuple(steps),
    )
    return Arrival(at_s=now, kind=kind, req=req, run_s=tuple(durations), account=account)


_ADVICE_VALID_S = 1.5

WIDE = JobKind(
    queue=Queue(
        name="wide",
        service="pool",
        priority=1,
        attempts=3,
        slack_factor=2.2,
        objective_s=1.2,
        advice=ApprovalCost(decision_s=0.65, per_host_s=0.0092, valid_s=_ADVICE_VALID_S),
    ),
    jobs_per_s=0.577,
    worth=13.1,
    late_worth=2.62,
    steps=BoundedLogNormal(mean=1.2, spread=0.4, maximum=3),
    tasks_per_step=BoundedLogNormal(mean=8, spread=0.8, maximum=48),
    run_s=BoundedLogNormal(mean=6.2, spread=0.5, maximum=16),
    cores=BoundedLogNormal(mean=18, spread=0.4, maximum=30),
    memory_mb=BoundedLogNormal(mean=26_000, spread=0.5, maximum=52_000),
    estimate_spread=0.5,
    gang_fraction=1.0,
    checkpointable_fraction=0.5,
    failure_fraction=0.02,
    approved_fraction=0.25,
)
BATCH = JobKind(
    queue=Queue(
        name="batch",
        service="pool",
        priority=2,
        attempts=3,
        slack_factor=4.0,
        objective_s=3.0,
        advice=ApprovalCost(decision_s=0.083, per_host_s=0.0012, valid_s=_ADVICE_VALID_S),
    ),
    jobs_per_s=2.18,
    worth=2.18,
    late_worth=0.436,
    steps=BoundedLogNormal(mean=1.5, spread=0.4, maximum=3.8),
    tasks_per_step=BoundedLogNormal(mean=10, spread=0.8, maximum=60),
    run_s=BoundedLogNormal(mean=3.4, spread=0.5, maximum=8.4),
    cores=BoundedLogNormal(mean=3.9, spread=0.45, maximum=12),
    memory_mb=BoundedLogNormal(mean=5_600, spread=0.6, maximum=17_000),
    estimate_spread=0.9,
    gang_fraction=0.0,
    checkpointable_fraction=0.8,
    failure_fraction=0.02,
    approved_fraction=0.45,
)
SHORT = JobKind(
    queue=Queue(
        name="short",
        service="pool",
        priority=0,
        attempts=4,
        slack_factor=1.5,
        objective_s=0.5,
        advice=ApprovalCost(decision_s=0.012, per_host_s=0.00017, valid_s=_ADVICE_VALID_S),
    ),
    jobs_per_s=15.4,
    worth=0.432,
    late_worth=0.0864,
    steps=BoundedLogNormal(mean=1, spread=0.0, maximum=2.5),
    tasks_per_step=BoundedLogNormal(mean=2, spread=0.8, maximum=12),
    run_s=BoundedLogNormal(mean=1.0, spread=0.5, maximum=2.5),
    cores=BoundedLogNormal(mean=5.6, spread=0.45, maximum=17),
    memory_mb=BoundedLogNormal(mean=8_000, spread=0.6, maximum=24_000),
    estimate_spread=0.2,
    gang_fraction=0.3,
    checkpointable_fraction=0.0,
    failure_fraction=0.05,
    approved_fraction=0.7,
)

FAULT_FREE_DAY = Day(
    seconds=60.0,
    hosts=24,
    host_cores=64,
    host_memory_mb=131_072,
    job_kinds=(WIDE, BATCH, SHORT),
)
# A few accounts are large.
_ACCOUNTS = (
    Account(name="large", weight=8.0),
    Account(name="middle", weight=4.0),
    *(Account(name=f"small {index}", weight=1.0) for index in range(8)),
)
DAYS: dict[str, Day] = {
    "calm": FAULT_FREE_DAY,
    "bursts": evolve(
        FAULT_FREE_DAY,
        bursts=(
            Burst(at_s=10, duration_s=4, factor=2.1, queue="short"),
            Burst(at_s=25, duration_s=4, factor=1.7, queue="wide"),
            Burst(at_s=40, duration_s=8, factor=1.6),
        ),
    ),
    "hosts lost": evolve(
        FAULT_FREE_DAY,
        losses=(HostsLost(at_s=15, duration_s=8, fraction=0.3),),
        bursts=(Burst(at_s=15, duration_s=8, factor=1.3),),
    ),
    "takeovers": evolve(
        FAULT_FREE_DAY, pauses=(Pause(at_s=10, duration_s=3), Pause(at_s=35, duration_s=6))
    ),
    "hosts slow": evolve(
        FAULT_FREE_DAY,
        slow=(
            HostsSlow(at_s=8, duration_s=6, fraction=0.08, factor=6.0),
            HostsSlow(at_s=30, duration_s=8, fraction=0.17, factor=6.5),
        ),
        bursts=(Burst(at_s=30, duration_s=4, factor=1.3),),
    ),
    "starts lost": evolve(
        FAULT_FREE_DAY,
        starts_lost=(
            StartsLost(at_s=5, duration_s=15, fraction=0.055),
            StartsLost(at_s=30, duration_s=15, fraction=0.11),
        ),
    ),
    "overload": evolve(FAULT_FREE_DAY, bursts=(Burst(at_s=0, duration_s=60, factor=1.6),)),
    "hot account": evolve(
        FAULT_FREE_DAY,
        accounts=_ACCOUNTS,
        bursts=(Burst(at_s=0, duration_s=60, factor=1.15),),
        hot=(HotAccount(at_s=8, duration_s=12, factor=6.0, account="middle"),),
    ),
    "hot large account": evolve(
        FAULT_FREE_DAY,
        accounts=_ACCOUNTS,
        hot=(HotAccount(at_s=8, duration_s=12, factor=6.0, account="large"),),
    ),
    "accounts overloaded": evolve(
        FAULT_FREE_DAY, accounts=_ACCOUNTS, bursts=(Burst(at_s=0, duration_s=60, factor=1.6),)
    ),
}
