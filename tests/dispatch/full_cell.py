"""A cell whose client accounts send more work than fits, in virtual time and without a network."""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Callable, Mapping

from attrs import Factory, define, field, frozen

from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.job import Job, Task
from rhubarbferry.dispatch.messages import Account, Queue, StartOrder, StepRequest, StopOrder
from rhubarbferry.dispatch.takeover import Takeover

from .world import CORES, LEASE_S, World, entry, job

STEP_S = 0.1
# The longest time between two reports of a host.
REPORT_INTERVAL_S = 0.5
HOST_CORES = 8
# All steps stay in time, so that their order depends on the accounts alone.
PATIENT = Queue(name="queue", service="pool", attempts=3, objective_s=1e6)


def _tasks(item: Job) -> list[Task]:
    return [task for each in item.steps() for task in each.tasks]


@frozen(kw_only=True)
class Load:
    """What an account sends.

    :param jobs_per_s: mean arrival rate of its jobs.
    :param step: makes the only step of a job.
    :param max_waiting: it sends no further job while this many have not started.
    """

    account: Account
    jobs_per_s: float
    step: Callable[[], StepRequest]
    queue: Queue = PATIENT
    max_waiting: int = 10


@define(kw_only=True, eq=False)
class FullCell:
    """Hosts on which each task runs for its estimated time, and accounts that send jobs.

    :param sends_until: time in seconds after which no job is sent.
    :ivar used: core-seconds that each account has used in each second.
    :ivar ended: time from arrival to end of each job, by account.
    """

    loads: tuple[Load, ...]
    hosts: int = 8
    seed: int = 1
    sends_until: float = math.inf
    world: World = field(init=False)
    used: Mapping[int, dict[str, float]] = Factory(lambda: defaultdict(lambda: defaultdict(float)))
    ended: Mapping[str, list[float]] = Factory(lambda: defaultdict(list))
    sent: Mapping[str, int] = Factory(lambda: defaultdict(int))
    started: list[StartOrder] = Factory(list)
    _started_jobs: Mapping[str, set[str]] = Factory(lambda: defaultdict(set))
    _jobs: dict[str, Job] = Factory(dict)
    _orders: dict[tuple[object, int], StartOrder] = Factory(dict)
    _ends: list[tuple[float, int, StartOrder]] = Factory(list)
    _due: dict[str, float] = Factory(dict)
    _reported_at: dict[str, float] = Factory(dict)
    _rngs: dict[str, random.Random] = Factory(dict)
    _began: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        names = [f"h{index:02}" for index in range(self.hosts)]
        self.world = World(*names, millicores=HOST_CORES * CORES)
        self.world.dispatcher.configure(
            {}, {load.account.name: load.account for load in self.loads}, now=self.world.now
        )
        for load in self.loads:
            # Each account has its own sequence, so none changes what the others send.
            self._rngs[load.account.name] = random.Random(f"{self.seed} {load.account.name}")
        self._began = self.world.now

    @property
    def cores(self) -> int:
        return self.hosts * HOST_CORES

    @property
    def elapsed(self) -> float:
        return self.world.now - self._began

    def run(self, seconds: float) -> None:
        until = self.elapsed + seconds
        while self.elapsed < until - STEP_S / 2:
            self._send()
            self._end_due_tasks()
            for order in self.world.decide():
                self._carry_out(order)
            while self.world.dispatcher.has_more:
                for order in self.world.decide():
                    self._carry_out(order)
            self._count()
            self.world.now += STEP_S

    def _send(self) -> None:
        for load in self.loads:
            name = load.account.name
            rng = self._rngs[name]
            due = self._due.setdefault(name, rng.expovariate(load.jobs_per_s))
            while due <= min(self.elapsed, self.sends_until):
                due += rng.expovariate(load.jobs_per_s)
                if self.sent[name] - len(self._started_jobs[name]) >= load.max_waiting:
                    continue
                self.sent[name] += 1
                new = job(
                    f"{name}-{self.sent[name]:05}",
                    load.step(),
                    queue=load.queue,
                    account=load.account,
                    arrived_at=self.world.now,
                )
                self._jobs[new.id] = self.world.add(new)
            self._due[name] = due

    def _carry_out(self, order: object) -> None:
        match order:
            case StartOrder():
                self.started.append(order)
                self.world.accept(order)
                started = self._jobs[order.task.job]
                self._started_jobs[started.account_name].add(started.id)
                self._orders[order.task, order.attempt] = order
                estimate_s = started.req.steps[0].estimate_s
                end = self.world.now + estimate_s
                heapq.heappush(self._ends, (end, len(self.started), order))
            case StopOrder():
                if (order.task, order.attempt) in self._orders:
                    raise AssertionError(f"{order.task} was stopped")

    def _end_due_tasks(self) -> None:
        now = self.world.now
        reporting = {id for id, at in self._reported_at.items() if now >= at + REPORT_INTERVAL_S}
        reporting.update(self.world.hosts.keys() - self._reported_at.keys())
        while self._ends and self._ends[0][0] <= now:
            _, _, order = heapq.heappop(self._ends)
            del self._orders[order.task, order.attempt]
            self.world.hosts[order.host].end(order)
            reporting.add(order.host)
        for id in sorted(reporting):
            self._reported_at[id] = now
            self.world.deliver_reports(id)
        dispatcher = self.world.dispatcher
        for item in list(dispatcher.dirty.values()):
            if item.phase.final:
                self.ended[item.account_name].append(now - item.arrived_at)
                dispatcher.mark_recorded(item)
        dispatcher.dirty.clear()

    def _count(self) -> None:
        second = self.used[int(self.elapsed)]
        for order in self._orders.values():
            item = self._jobs[order.task.job]
            cores = item.req.steps[0].sizes.millicores / CORES
            second[item.account_name] += cores * STEP_S

    def successor(self) -> Dispatcher:
        """Return a dispatcher that has taken over, and knows the jobs and the hosts' reports."""
        now = self.world.now
        dispatcher = Dispatcher(takeover=Takeover(leases_expire_at=now), lease_s=LEASE_S)
        accounts = {load.account.name: load.account for load in self.loads}
        dispatcher.configure({}, accounts, now=now)
        for item in self.world.dispatcher.jobs.values():
            inherited = job(
                item.id,
                *item.req.steps,
                queue=item.queue,
                account=item.account,
                arrived_at=item.arrived_at,
                inherited=True,
            )
            dispatcher.add_job(inherited, now=now, wall_s=now)
            for task, old in zip(_tasks(inherited), _tasks(item), strict=True):
                if old.done:
                    task.done = True
                    task.step.done_count += 1
        for id, host in self.world.hosts.items():
            dispatcher.host_listed(entry(id, millicores=HOST_CORES * CORES), now=now)
            dispatcher.handle_report(id, host.report(now), sent_at=now, now=now)
        dispatcher.decide(now=now, wall_s=now)
        # Steps whose tasks all run wait until they are considered.
        dispatcher.reconsider_all()
        dispatcher.decide(now=now, wall_s=now)
        while dispatcher.has_more:
            dispatcher.decide(now=now, wall_s=now)
        return dispatcher

    def core_s(self, begin: int, end: int) -> dict[str, float]:
        """Return the core-seconds that each account has used from one second to another."""
        total: dict[str, float] = defaultdict(float)
        for second in range(begin, end):
            for name, used in self.used[second].items():
                total[name] += used
        return total

    def share_error(self, begin: int, end: int) -> float:
        """Return the largest difference between a share and the weight, relative to the latter."""
        used = self.core_s(begin, end)
        weights = sum(load.account.weight for load in self.loads)
        errors = []
        for load in self.loads:
            share = used[load.account.name] / sum(used.values())
            owed = load.account.weight / weights
            errors.append(abs(share - owed) / owed)
        return max(errors)
