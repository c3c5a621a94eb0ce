"""Experiment ``days``: the dispatcher on generated days of jobs.

Hosts, the policy service and clients are simulated in virtual time, so a day takes a second or
two and the same seed gives the same results. The results measure the value delivered to users:
the fraction of the total worth of all jobs that was earned, over the whole day and over the two
worst windows of two seconds.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from attrs import Factory, define, evolve, field

from rhubarbferry.bench.day_work import DAYS, Arrival, Day, arrivals
from rhubarbferry.cell.members import Member
from rhubarbferry.cell.policy_requests import PolicyRequestQueue
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.job import Job, JobPhase
from rhubarbferry.dispatch.messages import (
    Account,
    Approval,
    ApprovalRequest,
    ApprovalResponse,
    EndedTask,
    EndKind,
    HostEntry,
    HostReport,
    Order,
    RunningTask,
    Sizes,
    Started,
    StartOrder,
    StepId,
    StopOrder,
    TaskId,
    Unanswered,
)
from rhubarbferry.dispatch.takeover import Takeover

# One-way network delay to a host or to the policy service, and the time to persist the end of a
# job.
ONE_WAY_DELAY_S = 0.02
PERSIST_DELAY_S = 0.04
# Interval of decisions that depend on time alone, and the longest interval between two status
# reports of a host.
DECISION_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 0.7
LEASE_S = 6.0
STOP_DURATION_S = 0.5
RESTORE_DURATION_S = 0.1
# The hosts approved for a step have, when empty, at least this many times the capacity it needs.
MIN_APPROVED_CAPACITY_FACTOR = 1.3
# Tolerance in seconds for the floating-point error between two computations of the same time.
TIME_TOLERANCE_S = 1e-6
WINDOW_S = 2.0
WORST_WINDOW_COUNT = 2
# The simulation continues for this long after the arrival period ends, so that jobs can finish.
DRAIN_S = 40.0
LATE_FACTOR = 3
# The worth of a job grows with its work: this fraction is fixed, the rest is proportional to the
# job's work relative to the mean of its kind.
FIXED_WORTH_FRACTION = 0.3
MAX_WORTH_FACTOR = 4.0

AttemptKey = tuple[TaskId, int]


@define(kw_only=True, eq=False)
class _Host:
    """A simulated host.

    :ivar running: time at which each running attempt will end.
    :ivar end_kinds: how each attempt will end.
    :ivar ended: attempts that have ended since the host was started; each report contains all of
        them.
    :ivar count: number of ended attempts since the host was started.
    """

    entry: HostEntry
    speed: float
    running: dict[AttemptKey, float] = Factory(dict)
    started_at: dict[AttemptKey, float] = Factory(dict)
    end_kinds: dict[AttemptKey, EndKind] = Factory(dict)
    ended: list[EndedTask] = Factory(list)
    count: int = 0
    dead: bool = False

    def report(self, now: float) -> HostReport:
        return HostReport(
            clock_s=now,
            incarnation=self.entry.incarnation,
            running=tuple(
                RunningTask(task=task, attempt=attempt, percent=self._percent((task, attempt), now))
                for task, attempt in self.running
            ),
            ended=tuple(self.ended),
        )

    def _percent(self, run: AttemptKey, now: float) -> float:
        length = max(1e-9, self.running[run] - self.started_at[run])
        return min(100.0, 100 * (now - self.started_at[run]) / length)


@define(kw_only=True, eq=False)
class DaySimulation:
    """Discrete-event simulation of one day.

    :param account: account of the jobs of a day without accounts.
    """

    day: Day
    seed: str
    account: Account | None = None
    now: float = 0.0
    done_at: dict[str, float] = Factory(dict)
    useful_core_s: float = 0.0
    wasted_core_s: float = 0.0
    _arrivals: dict[str, Arrival] = Factory(dict)
    _hosts: dict[str, _Host] = Factory(dict)
    _events: list[tuple[float, int, Callable[[], None]]] = Factory(list)
    _numbers: itertools.count[int] = Factory(itertools.count)
    _attempt_counts: dict[TaskId, int] = Factory(dict)
    _approved: dict[StepId, frozenset[str]] = Factory(dict)
    _dispatcher: Dispatcher = field(init=False)
    _advice_queue: PolicyRequestQueue = field(init=False)
    _members: list[Member] = field(init=False)

    def run(self) -> None:
        """Simulate the arrival period and the drain period that follows."""
        self._set_up()
        end = self.day.seconds + DRAIN_S
        while self._events and self._events[0][0] <= end:
            self.now = self._events[0][0]
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self._decide()

    def _set_up(self) -> None:
        self._dispatcher = Dispatcher(takeover=Takeover(leases_expire_at=0.0), lease_s=LEASE_S)
        self._advice_queue = PolicyRequestQueue(own="0", region="region")
        self._members = [
            Member(name=str(index), address="", region="region", failure_domain="")
            for index in range(self.day.members)
        ]
        accounts = self.day.accounts or ((self.account,) if self.account is not None else ())
        self._dispatcher.configure({}, {account.name: account for account in accounts}, now=0.0)
        for index in range(self.day.hosts):
            self._add_host(index)
        for arrival in arrivals(self.day, self._rng("arrivals")):
            self._arrivals[arrival.req.id] = arrival
            self._schedule(arrival.at_s, partial(self._arrive, arrival))
        for loss in self.day.losses:
            count = round(loss.fraction * len(self._hosts))
            lost = self._rng(f"lost {loss.at_s}").sample(sorted(self._hosts), count)
            for id in lost:
                self._schedule(loss.at_s, partial(self._fail, id))
                self._schedule(loss.at_s + loss.duration_s, partial(self._restart, id))
        for slow in self.day.slow:
            count = round(slow.fraction * len(self._hosts))
            chosen = self._rng(f"slow {slow.at_s}").sample(sorted(self._hosts), count)
            for id in chosen:
                self._schedule(slow.at_s, partial(self._change_speed, id, 1 / slow.factor))
                self._schedule(
                    slow.at_s + slow.duration_s, partial(self._change_speed, id, slow.factor)
                )
        self._tick()

    def _add_host(self, index: int) -> None:
        entry = HostEntry(
            id=f"h{index:03}",
            incarnation=1,
            service="pool",
            address="",
            capacity=Sizes(
                millicores=self.day.host_cores * 1000, memory_mb=self.day.host_memory_mb
            ),
        )
        speeds = self.day.speeds
        self._hosts[entry.id] = _Host(entry=entry, speed=speeds[index % len(speeds)])
        self._dispatcher.host_listed(entry, now=0.0)
        self._poll(entry.id)

    def _rng(self, purpose: str) -> random.Random:
        """Return a random generator for one purpose.

        Each purpose has its own sequence, so different decisions elsewhere do not change it.
        """
        return random.Random(f"{self.seed} {purpose}")

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _tick(self) -> None:
        self._dispatcher.reconsider_all()
        self._schedule(self.now + DECISION_INTERVAL_S, self._tick)

    # ------------------------------------------------------------ hosts

    def _poll(self, id: str) -> None:
        self._report(id)
        self._schedule(self.now + REPORT_INTERVAL_S, lambda: self._poll(id))

    def _report(self, id: str) -> None:
        host = self._hosts[id]
        state = self._dispatcher.tracker.hosts.get(id)
        if host.dead or state is None:
            return
        state.extend_leases(self.now, LEASE_S)
        self._dispatcher.handle_report(id, host.report(self.now), sent_at=self.now, now=self.now)

    def _fail(self, id: str) -> None:
        host = self._hosts[id]
        host.dead = True
        for run in list(host.running):
            self._count_wasted(host, run)
        host.running.clear()
        self._dispatcher.host_unlisted(id)

    def _restart(self, id: str) -> None:
        host = self._hosts[id]
        host.dead = False
        host.ended.clear()
        host.count = 0
        entry = host.entry
        host.entry = HostEntry(
            id=id,
            incarnation=entry.incarnation + 1,
            service=entry.service,
            address="",
            capacity=entry.capacity,
        )
        self._dispatcher.host_listed(host.entry, now=self.now)
        self._report(id)

    def _change_speed(self, id: str, factor: float) -> None:
        """Change the speed of a host; gangs with a task there change speed with it."""
        self._hosts[id].speed *= factor
        steps = {(run[0].job, run[0].step) for run in self._hosts[id].running}
        for host in self._hosts.values():
            for run in list(host.running):
                gang = self._arrivals[run[0].job].req.steps[run[0].step].gang
                if host.entry.id == id or (gang and (run[0].job, run[0].step) in steps):
                    self._scale_remaining(host, run, 1 / factor)

    def _scale_remaining(self, host: _Host, run: AttemptKey, factor: float) -> None:
        """Multiply the remaining time of a run by ``factor``, keeping its progress."""
        started_at, end = host.started_at[run], host.running[run]
        done = (self.now - started_at) / max(1e-9, end - started_at)
        left = (end - self.now) * factor
        host.running[run] = self.now + left
        host.started_at[run] = self.now - left * done / max(1e-9, 1 - done)
        how = host.end_kinds[run]
        self._schedule(self.now + left, lambda: self._end_if_due(host, run, how))

    def _start(self, order: StartOrder) -> None:
        host = self._hosts[order.host]
        if host.dead:
            return
        arrival = self._arrivals[order.task.job]
        run = (order.task, order.attempt)
        if run in host.running:
            return
        whole = arrival.run_s[order.task.step] / self._speed(order)
        saved = float(order.checkpoint or 0.0)
        length = whole * (1 - saved) + (RESTORE_DURATION_S if saved else 0.0)
        attempt_count = self._attempt_counts[order.task] = (
            self._attempt_counts.get(order.task, 0) + 1
        )
        rng = self._rng(f"{order.task} {attempt_count}")
        fails = rng.random() < arrival.kind.failure_fraction
        if fails:
            length *= rng.random()
        host.started_at[run] = self.now
        host.running[run] = self.now + length
        how = host.end_kinds[run] = EndKind.FAILED if fails else EndKind.DONE
        self._schedule(self.now + length, lambda: self._end_if_due(host, run, how))
        self._schedule(
            self.now + ONE_WAY_DELAY_S,
            lambda: self._dispatcher.start_answered(
                host.entry.id, order.task, order.attempt, Started(clock_s=self.now), now=self.now
            ),
        )

    def _speed(self, order: StartOrder) -> float:
        """Return the speed of a run; a gang runs at the speed of its slowest host."""
        job = self._dispatcher.jobs.get(order.task.job)
        task = job.task(order.task) if job is not None else None
        if task is None or not task.step.req.gang:
            return self._hosts[order.host].speed
        step = task.step
        hosts = [task.run.host for task in step.tasks if task.run is not None]
        return min(self._hosts[id].speed for id in hosts)

    def _end_if_due(self, host: _Host, run: AttemptKey, how: EndKind) -> None:
        """End a run, unless a change of speed has rescheduled its end."""
        if run in host.running and abs(host.running[run] - self.now) < TIME_TOLERANCE_S:
            self._end(host, run, how)

    def _end(self, host: _Host, run: AttemptKey, how: EndKind, checkpoint: str = "") -> None:
        if run not in host.running:
            return
        if how is EndKind.DONE:
            spent = self._core_s(run) * (self.now - host.started_at[run])
            self.useful_core_s += spent
        elif not checkpoint:
            self._count_wasted(host, run)
        del host.running[run]
        host.count += 1
        host.ended.append(
            EndedTask(
                number=host.count, task=run[0], attempt=run[1], how=how, checkpoint=checkpoint
            )
        )
        self._schedule(self.now + ONE_WAY_DELAY_S, lambda: self._report(host.entry.id))

    def _core_s(self, run: AttemptKey) -> float:
        step = self._arrivals[run[0].job].req.steps[run[0].step]
        return step.sizes.millicores / 1000

    def _count_wasted(self, host: _Host, run: AttemptKey) -> None:
        self.wasted_core_s += self._core_s(run) * (self.now - host.started_at[run])

    def _stop(self, order: StopOrder) -> None:
        host = self._hosts[order.host]
        run = (order.task, order.attempt)
        if run not in host.running:
            return
        arrival = self._arrivals[order.task.job]
        checkpoint = ""
        if arrival.req.steps[order.task.step].checkpointable:
            whole = arrival.run_s[order.task.step] / host.speed
            checkpoint = f"{min(0.99, (self.now - host.started_at[run]) / whole):.6f}"
        self._schedule(
            self.now + STOP_DURATION_S, lambda: self._end(host, run, EndKind.STOPPED, checkpoint)
        )

    # ------------------------------------------------------------ jobs and decisions

    def _arrive(self, arrival: Arrival) -> None:
        job = Job(
            req=arrival.req,
            queue=arrival.kind.queue,
            arrived_at=self.now,
            record_revision=1,
            account=arrival.account or self.account,
        )
        self._dispatcher.add_job(job, now=self.now, wall_s=self.now)

    def _decide(self) -> None:
        if any(pause.at_s <= self.now < pause.at_s + pause.duration_s for pause in self.day.pauses):
            return
        orders = self._dispatcher.decide(now=self.now, wall_s=self.now)
        while self._dispatcher.has_more:
            orders += self._dispatcher.decide(now=self.now, wall_s=self.now)
        for order in orders:
            self._execute(order)
        for assignment in self._advice_queue.assign(self._members):
            self._request_advice(assignment.order, assignment.member.name)
        for job in list(self._dispatcher.dirty.values()):
            if job.phase.final:
                self._schedule(self.now + PERSIST_DELAY_S, partial(self._handle_recorded_end, job))
        self._dispatcher.dirty.clear()
        self._dispatcher.run_events.clear()

    def _execute(self, order: Order) -> None:
        match order:
            case StartOrder() if self._is_lost(order):
                self._schedule(
                    self.now + order.timeout_s, lambda: self._handle_unanswered_start(order)
                )
            case StartOrder():
                self._schedule(self.now + ONE_WAY_DELAY_S, lambda: self._start(order))
            case StopOrder():
                self._schedule(self.now + ONE_WAY_DELAY_S, lambda: self._stop(order))
            case ApprovalRequest():
                job = self._dispatcher.jobs.get(order.step.job)
                self._advice_queue.add(order, priority=job.queue.priority if job is not None else 0)

    def _is_lost(self, order: StartOrder) -> bool:
        share = sum(
            lost.fraction
            for lost in self.day.starts_lost
            if lost.at_s <= self.now < lost.at_s + lost.duration_s
        )
        rng = self._rng(f"lost {order.task} {order.attempt} {order.retries}")
        return rng.random() < share

    def _handle_unanswered_start(self, order: StartOrder) -> None:
        """Handle a start order without an answer as the owner of the dispatcher does.

        If the order is not retried, stop the task and poll the host.
        """
        dispatcher = self._dispatcher
        dispatcher.start_answered(order.host, order.task, order.attempt, Unanswered(), now=self.now)
        if dispatcher.is_start_unclear(order.host, order.task, order.attempt):
            self._schedule(self.now + 4 * ONE_WAY_DELAY_S, lambda: self._resolve_start(order))

    def _resolve_start(self, order: StartOrder) -> None:
        if self._hosts[order.host].dead:
            return
        clock_s = self._hosts[order.host].report(self.now).clock_s
        self._dispatcher.stop_answered(order.host, order.task, order.attempt, clock_s)
        self._schedule(self.now + 2 * ONE_WAY_DELAY_S, lambda: self._report(order.host))

    def _request_advice(self, order: ApprovalRequest, member: str) -> None:
        elapsed_s = order.cost.duration_s(len(order.hosts)) + ONE_WAY_DELAY_S
        self._schedule(self.now + elapsed_s, lambda: self._deliver_advice(order, member))

    def _deliver_advice(self, order: ApprovalRequest, member: str) -> None:
        self._advice_queue.done(member)
        approved = self._approved.get(order.step)
        if approved is None:
            approved = self._approved[order.step] = self._draw_approved(order.step)
        approvals = tuple(
            Approval(host=id, ticket="ticket") for id in order.hosts if id in approved
        )
        advice = ApprovalResponse(
            step=order.step,
            asked=order.hosts,
            approvals=approvals,
            answered_at=self.now,
            valid_s=order.cost.valid_s,
        )
        self._dispatcher.handle_approvals(advice, now=self.now)

    def _draw_approved(self, id: StepId) -> frozenset[str]:
        """Choose the hosts approved for a step.

        They are a fraction of all hosts, with enough total capacity for all tasks of the step.
        """
        arrival = self._arrivals[id.job]
        req = arrival.req.steps[id.step]
        hosts = self._rng(f"approved {id}").sample(sorted(self._hosts), len(self._hosts))
        count = max(1, round(arrival.kind.approved_fraction * len(hosts)))
        slots = min(
            self.day.host_cores * 1000 // max(1, req.sizes.millicores),
            self.day.host_memory_mb // max(1, req.sizes.memory_mb),
        )
        count = max(count, math.ceil(MIN_APPROVED_CAPACITY_FACTOR * req.count / max(1, slots)))
        return frozenset(hosts[:count])

    def _handle_recorded_end(self, job: Job) -> None:
        if job.id not in self.done_at and job.phase is JobPhase.COMPLETE:
            self.done_at[job.id] = self.now
        self._dispatcher.mark_recorded(job)

    # ------------------------------------------------------------ figures

    def statistics(self) -> dict[str, Any]:
        """Return the results as users see them."""
        means = self._mean_work()
        kinds: dict[str, dict[str, Any]] = {}
        windows: dict[int, list[float]] = {}
        for arrival in self._arrivals.values():
            name = arrival.kind.queue.name
            row = kinds.setdefault(name, {"jobs": 0, "in_time": 0, "late": 0, "missed": 0})
            window = windows.setdefault(int(arrival.at_s / WINDOW_S), [0.0, 0.0])
            factor = min(
                MAX_WORTH_FACTOR,
                FIXED_WORTH_FRACTION + (1 - FIXED_WORTH_FRACTION) * arrival.core_s / means[name],
            )
            outcome = self._outcome(arrival)
            row["jobs"] += 1
            row[outcome] += 1
            earned = {"in_time": arrival.kind.worth, "late": arrival.kind.late_worth}
            window[0] += factor * earned.get(outcome, 0.0)
            window[1] += factor * arrival.kind.worth
        shares = sorted(earned / possible for earned, possible in windows.values())
        whole = sum(pair[0] for pair in windows.values()) / sum(p[1] for p in windows.values())
        return {
            "worth_share": round(whole, 4),
            "worst_windows": round(sum(shares[:WORST_WINDOW_COUNT]) / WORST_WINDOW_COUNT, 4),
            "useful_core_s": round(self.useful_core_s),
            "wasted_core_s": round(self.wasted_core_s),
            "kinds": kinds,
            **self._account_statistics(),
        }

    def _account_statistics(self) -> dict[str, Any]:
        """Return the fraction of the jobs of each account that ended within their objective."""
        counts: dict[str, list[int]] = {}
        for arrival in self._arrivals.values():
            if arrival.account is not None:
                count = counts.setdefault(arrival.account.name, [0, 0])
                count[0] += self._outcome(arrival) == "in_time"
                count[1] += 1
        if not counts:
            return {}
        hot = {hot.account for hot in self.day.hot}
        others = [count for name, count in counts.items() if name not in hot]
        return {
            "accounts": {name: round(found / sent, 4) for name, (found, sent) in counts.items()},
            "other_accounts": round(sum(c[0] for c in others) / sum(c[1] for c in others), 4),
        }

    def _mean_work(self) -> dict[str, float]:
        sums: dict[str, list[float]] = {}
        for arrival in self._arrivals.values():
            sums.setdefault(arrival.kind.queue.name, []).append(arrival.core_s)
        return {name: sum(found) / len(found) for name, found in sums.items()}

    def _outcome(self, arrival: Arrival) -> str:
        done_at = self.done_at.get(arrival.req.id)
        if done_at is None:
            return "missed"
        elapsed_s = done_at - arrival.at_s
        if elapsed_s <= arrival.objective_s:
            return "in_time"
        return "late" if elapsed_s <= LATE_FACTOR * arrival.objective_s else "missed"


def experiment(*, seed: int, seconds: float) -> dict[str, Any]:
    """Simulate each of the days.

    :param seconds: period in seconds during which jobs arrive.
    """
    report: dict[str, Any] = {}
    for name, day in DAYS.items():
        simulation = DaySimulation(day=evolve(day, seconds=seconds), seed=f"{seed} {name}")
        simulation.run()
        report[name] = simulation.statistics()
    return report
