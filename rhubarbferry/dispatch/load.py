"""Load of a full cell: the work ahead of each client account and the capacity that it may use."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

from attrs import Factory, define, field, frozen

from rhubarbferry.dispatch.account_shares import owed_shares, share_of
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Job, Step
from rhubarbferry.dispatch.messages import Account, Sizes
from rhubarbferry.dispatch.objective import Urgency

# A service counts as full from this share of its capacity on: a task that needs a quarter of a host
# may then find no room on any host.
FULL_SHARE = 0.75
# Time constant of the average of what an account uses. Gangs and wide steps start and end all at
# once, so the current value may be far from what the account gets.
USE_AVERAGE_S = 2.0


def equivalent_cores(sizes: Sizes, capacity: Sizes) -> float:
    """Return how many cores tasks count for by the resource that they use most of.

    :param capacity: what all hosts of the service provide.
    :returns: the dominant share of the capacity, multiplied by its cores.
    """
    return share_of(sizes, capacity) * capacity.millicores / 1000


@frozen(kw_only=True, slots=True)
class QueueLoad:
    """Work of one account that waits or runs in the queues of one priority, in core-seconds.

    :param in_time: work of steps that can still be done within their objective.
    :param late: work of steps that can only be done late. Steps that can't be done before their
        clients stop waiting are not included, since all others go before them.
    """

    priority: int
    in_time: float
    late: float


@frozen(kw_only=True, slots=True)
class AccountLoad:
    """Load of one account on the hosts of one service; cores are equivalent cores.

    :param used_cores: average of what its tasks use.
    :param owed_cores: what it is owed by its weight while the service is full.
    :param usable_cores: what it is owed, or more if other accounts leave some of their share
        unused.
    """

    account: str
    used_cores: float
    owed_cores: float
    usable_cores: float
    ahead: tuple[QueueLoad, ...]


@frozen(kw_only=True, slots=True)
class ServiceLoad:
    """Load of one service that is full.

    :param capacity: what its hosts that accept tasks provide.
    :param accounts: accounts with unfinished work.
    """

    service: str
    capacity: Sizes
    accounts: tuple[AccountLoad, ...]


def max_min_shares(
    capacity: float, demands: Mapping[str, float], shares: Mapping[str, float]
) -> dict[str, float]:
    """Divide a capacity by weight; what some accounts don't need goes to the others.

    :param demands: what each account could use now.
    :param shares: weight of each account; accounts without one receive nothing.
    :returns: what each account with a demand may use: at most its demand, except that nothing of
        the capacity is left over while a demand is not met.
    """
    weighted = [name for name in demands if shares.get(name, 0.0) > 0]
    weighted.sort(key=lambda name: demands[name] / shares[name])
    total = sum(shares[name] for name in weighted)
    left = capacity
    usable: dict[str, float] = {}
    for name in weighted:
        usable[name] = min(demands[name], max(0.0, left) * shares[name] / total)
        left -= usable[name]
        total -= shares[name]
        if total <= 0:
            break
    return usable


@define(kw_only=True, slots=True)
class _Tally:
    """Sums over the unfinished tasks of one account on one service."""

    used_cores: float = 0.0
    lasting_cores: float = 0.0
    waiting_cores: float = 0.0
    ahead: dict[int, list[float]] = Factory(dict)


@define(kw_only=True)
class UseAverage:
    """Moving average of what each account uses on each service.

    A new owner begins with the values that it finds.
    """

    _averages: dict[tuple[str, str], float] = Factory(dict)
    _updated_at: float = -math.inf

    def update(
        self, used: Mapping[tuple[str, str], float], now: float
    ) -> dict[tuple[str, str], float]:
        """Include the current values, by service and account, and return the averages."""
        weight = 1.0 - math.exp(-(now - self._updated_at) / USE_AVERAGE_S)
        self._updated_at = now
        self._averages = {
            key: value + (1 - weight) * (self._averages.get(key, value) - value)
            for key, value in used.items()
        }
        return self._averages


@define(kw_only=True)
class LoadSum:
    """Adds up the load of the cell, job by job, so that the caller can do it in slices.

    :param hosts: all hosts of the cell.
    :param blocked: returns whether a step waits for the quota of its account.
    """

    hosts: Iterable[Host]
    now: float
    blocked: Callable[[Step], bool]
    _capacities: dict[str, Sizes] = field(init=False, factory=dict)
    _full: set[str] = field(init=False, factory=set)
    _tallies: dict[tuple[str, str], _Tally] = field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        used: dict[str, Sizes] = {}
        for host in self.hosts:
            if host.is_open:
                service = host.entry.service
                total = self._capacities.get(service, Sizes())
                self._capacities[service] = total.plus(host.entry.capacity)
                used[service] = used.get(service, Sizes()).plus(host.used)
        for service, capacity in self._capacities.items():
            cores = capacity.millicores / 1000
            if cores > 0 and equivalent_cores(used[service], capacity) >= FULL_SHARE * cores:
                self._full.add(service)

    @property
    def any_full(self) -> bool:
        """Whether any service is full; if not, there is nothing to add up."""
        return bool(self._full)

    def add(self, job: Job) -> None:
        """Add the unfinished tasks of a job; ignore a job of a service that is not full."""
        service = job.queue.service
        if service not in self._full or not job.account_name or job.phase.final:
            return
        tally = self._tallies.setdefault((service, job.account_name), _Tally())
        for step in job.steps():
            if not step.done:
                self._add_step(tally, step, self._capacities[service])

    def _add_step(self, tally: _Tally, step: Step, capacity: Sizes) -> None:
        cores = equivalent_cores(step.req.room, capacity)
        running = waiting = 0
        remaining_s = 0.0
        for task in step.tasks:
            if task.run is not None:
                running += 1
                if not task.done:
                    remaining_s += 0.0 if step.req.lasting else task.run.remaining_s(self.now)
            elif not task.done:
                waiting += 1
        tally.used_cores += running * cores
        if step.ready_at is not None and not self.blocked(step):
            tally.waiting_cores += waiting * cores
        if step.req.lasting:
            tally.lasting_cores += (running + waiting) * cores
            return
        work = (remaining_s + waiting * step.req.estimate_s) * cores
        urgency = step.job.urgency(step, self.now).urgency
        if urgency is not Urgency.MISSED:
            sums = tally.ahead.setdefault(step.job.queue.priority, [0.0, 0.0])
            sums[0 if urgency is Urgency.IN_TIME else 1] += work

    def result(
        self, accounts: Mapping[str, Account], average: UseAverage
    ) -> tuple[ServiceLoad, ...]:
        """Return the load of each service that is full.

        :param accounts: accounts of the configuration in force.
        """
        used = {key: tally.used_cores for key, tally in self._tallies.items()}
        averages = average.update(used, self.now)
        shares = owed_shares(accounts.values())
        return tuple(
            self._service_load(service, shares, averages) for service in sorted(self._full)
        )

    def _service_load(
        self,
        service: str,
        shares: Mapping[str, float],
        averages: Mapping[tuple[str, str], float],
    ) -> ServiceLoad:
        capacity = self._capacities[service]
        cores = capacity.millicores / 1000
        tallies = {
            name: tally
            for (of_service, name), tally in self._tallies.items()
            if of_service == service and name in shares
        }
        demands = {name: t.used_cores + t.waiting_cores for name, t in tallies.items()}
        usable = max_min_shares(cores, demands, shares)
        unused = max(0.0, cores - sum(usable.values()))
        loads = []
        for name, tally in sorted(tallies.items()):
            owed = shares[name] * cores
            usable_cores = max(owed, usable.get(name, 0.0) + unused) - tally.lasting_cores
            ahead = tuple(
                QueueLoad(priority=priority, in_time=in_time, late=late)
                for priority, (in_time, late) in sorted(tally.ahead.items())
            )
            loads.append(
                AccountLoad(
                    account=name,
                    used_cores=averages[service, name],
                    owed_cores=owed,
                    usable_cores=max(0.0, usable_cores),
                    ahead=ahead,
                )
            )
        return ServiceLoad(service=service, capacity=capacity, accounts=tuple(loads))
