"""Model of a host that follows the platform's rules, and an oracle that checks every run.

A host refuses orders with an older fence, with an attempt that it has already ended or stopped, and
after their deadline. It ends all its runs when its lease expires on its own clock.
"""

from __future__ import annotations

from attrs import Factory, define

from rhubarbferry.dispatch.messages import (
    Account,
    EndedTask,
    EndKind,
    HostEntry,
    HostReport,
    OrderResult,
    Refusal,
    Refused,
    RunningTask,
    Sizes,
    Started,
    StartOrder,
    StepRequest,
    StopOrder,
    TaskId,
)

LEASE_S = 6.0
GANG_TIMEOUT_S = 3.0
CAPACITY = Sizes(millicores=4000, memory_mb=64_000)


# One end of a run: the host's id, its incarnation, and the number of the end there.
EndKey = tuple[str, int, int]


class InvariantViolated(AssertionError):
    """An invariant of the system was violated."""


@define
class Oracle:
    """Records all runs on all hosts and all acknowledged ends, and checks invariants.

    :ivar done: tasks of which a run has ended done, whether or not any process has learned of it.
    :ivar done_ends: the ends of these runs.
    :ivar restarted_after: those of them after which their task was started again, although their
        host had neither crashed nor let its lease lapse until then. No end of the task may be
        acknowledged any more.
    :ivar accounts: settings of the client accounts by name.
    :ivar account_of: name of the account of each job that has one.
    """

    steps: dict[str, tuple[StepRequest, ...]] = Factory(dict)
    attempts: int = 3
    hosts: dict[str, HostModel] = Factory(dict)
    done: set[TaskId] = Factory(set)
    acknowledged_done: set[TaskId] = Factory(set)
    done_ends: dict[TaskId, set[EndKey]] = Factory(dict)
    restarted_after: dict[TaskId, set[EndKey]] = Factory(dict)
    acknowledged_failed: dict[TaskId, set[int]] = Factory(dict)
    accounts: dict[str, Account] = Factory(dict)
    account_of: dict[str, str] = Factory(dict)

    def request(self, task: TaskId) -> StepRequest:
        if task.job not in self.steps:
            raise InvariantViolated(f"job {task.job} was not submitted")
        return self.steps[task.job][task.step]

    def started(self, host: HostModel, task: TaskId) -> None:
        req = self.request(task)
        used = sum(self.request(run).room.millicores for run, _ in host.running)
        if used > CAPACITY.millicores:
            raise InvariantViolated(
                f"host {host.id} runs {used} of {CAPACITY.millicores} millicores"
            )
        self.check_quota(self.account_of.get(task.job, ""))
        runs = [run for each in self.hosts.values() for run, _ in each.running if run == task]
        if len(runs) > 1:
            raise InvariantViolated(f"{task} runs twice")
        if task in self.acknowledged_done:
            raise InvariantViolated(f"{task} starts although its end was acknowledged")
        ends = {end for end in self.done_ends.get(task, ()) if self.counts(end)}
        self.restarted_after.setdefault(task, set()).update(ends)
        failed = self.acknowledged_failed.get(task, set())
        if not req.gang and len(failed) >= self.attempts:
            raise InvariantViolated(f"{task} starts after {len(failed)} failures")
        for before in req.after:
            count = self.steps[task.job][before].count
            members = {
                task_of(task.job, before, index, occurrence=task.occurrence)
                for index in range(count)
            }
            gang = self.steps[task.job][before].gang
            if not (members & self.done if gang else members <= self.done):
                raise InvariantViolated(f"{task} starts before step {before} is done")

    def check_quota(self, name: str) -> None:
        """Check that an account whose task has just started runs at most its quota."""
        if name not in self.accounts:
            return
        quota = self.accounts[name].quota.millicores
        used = sum(
            self.request(run).sizes.millicores
            for host in self.hosts.values()
            for run, _ in host.running
            if self.account_of.get(run.job) == name
        )
        if used > quota:
            raise InvariantViolated(f"account {name} runs {used} of {quota} millicores")

    def ended_done(self, host: HostModel, ended: EndedTask) -> None:
        self.done.add(ended.task)
        key = (host.id, host.incarnation, ended.number)
        self.done_ends.setdefault(ended.task, set()).add(key)

    def counts(self, end: EndKey) -> bool:
        """Return whether an end's host has neither crashed nor let its lease lapse since."""
        host_id, incarnation, number = end
        host = self.hosts[host_id]
        remembered = not host.down and host.incarnation == incarnation
        return remembered and number > host.lapsed_up_to

    def acknowledged(self, ended: EndedTask) -> None:
        if ended.how is EndKind.DONE:
            if self.restarted_after.get(ended.task):
                raise InvariantViolated(
                    f"{ended.task} was started again before its end was acknowledged"
                )
            self.acknowledged_done.add(ended.task)
        elif ended.how is EndKind.FAILED:
            self.acknowledged_failed.setdefault(ended.task, set()).add(ended.attempt)


def task_of(job: str, step: int, index: int, *, occurrence: int = 0) -> TaskId:
    return TaskId(job=job, occurrence=occurrence, step=step, index=index)


@define
class HostModel:
    """One host.

    :ivar clock_rate: speed of its clock relative to real time.
    """

    id: str
    oracle: Oracle
    clock_rate: float = 1.0
    incarnation: int = 1
    clock_s: float = 50.0
    lease_until: float = 0.0
    fence: int = 0
    down: bool = False
    running: dict[tuple[TaskId, int], float] = Factory(dict)
    ended: list[EndedTask] = Factory(list)
    end_count: int = 0
    lapsed_up_to: int = 0
    refused_up_to: dict[TaskId, int] = Factory(dict)

    def entry(self) -> HostEntry:
        return HostEntry(
            id=self.id,
            incarnation=self.incarnation,
            service="pool",
            address=f"{self.id}:1",
            capacity=CAPACITY,
        )

    def advance(self, seconds: float) -> None:
        self.clock_s += seconds * self.clock_rate
        if self.clock_s > self.lease_until:
            for run in list(self.running):
                self.end(run, EndKind.LAPSED)
            self.lapsed_up_to = self.end_count

    def restart(self) -> None:
        self.incarnation += 1
        self.clock_s = self.lease_until = 0.0
        self.fence = self.end_count = self.lapsed_up_to = 0
        self.running.clear()
        self.ended.clear()
        self.refused_up_to.clear()
        self.down = False

    def end(self, run: tuple[TaskId, int], how: EndKind) -> None:
        del self.running[run]
        task, attempt = run
        self.refused_up_to[task] = max(self.refused_up_to.get(task, 0), attempt)
        self.end_count += 1
        checkpoint = "saved" if how is EndKind.STOPPED else ""
        self.ended.append(
            EndedTask(
                number=self.end_count, task=task, attempt=attempt, how=how, checkpoint=checkpoint
            )
        )
        if how is EndKind.DONE:
            self.oracle.ended_done(self, self.ended[-1])

    def start(self, order: StartOrder, fence: int) -> OrderResult:
        if fence < self.fence:
            return Refused(reason=Refusal.STALE_FENCE)
        self.fence = fence
        run = (order.task, order.attempt)
        if run in self.running:
            return Started(clock_s=self.clock_s)
        if order.attempt <= self.refused_up_to.get(order.task, 0):
            self.lease_until = max(self.lease_until, order.deadline_s)
            return Refused(reason=Refusal.OLD_ATTEMPT)
        if self.clock_s > order.deadline_s:
            return Refused(reason=Refusal.LATE)
        self.lease_until = max(self.lease_until, order.deadline_s)
        self.running[run] = self.clock_s
        self.oracle.started(self, order.task)
        return Started(clock_s=self.clock_s)

    def stop(self, order: StopOrder, fence: int) -> float | None:
        if fence < self.fence:
            return None
        self.fence = fence
        run = (order.task, order.attempt)
        if run in self.running:
            self.end(run, EndKind.STOPPED)
        self.refused_up_to[order.task] = max(self.refused_up_to.get(order.task, 0), order.attempt)
        return self.clock_s

    def poll(self, fence: int, deadline_s: float | None, forget_up_to: int) -> HostReport | None:
        if fence < self.fence:
            return None
        self.fence = fence
        if deadline_s is not None:
            until = min(deadline_s, self.clock_s + LEASE_S)
            self.lease_until = max(self.lease_until, until)
        for ended in self.ended:
            if ended.number <= forget_up_to:
                self.oracle.acknowledged(ended)
        self.ended = [ended for ended in self.ended if ended.number > forget_up_to]
        return HostReport(
            clock_s=self.clock_s,
            incarnation=self.incarnation,
            running=tuple(
                RunningTask(task=task, attempt=attempt, percent=10 * (self.clock_s - started_at))
                for (task, attempt), started_at in self.running.items()
            ),
            ended=tuple(self.ended),
        )
