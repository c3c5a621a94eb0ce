"""Limit the resources that the tasks of each client account use at the same time."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Iterable, Mapping

from attrs import Factory, define

from rhubarbferry.dispatch.job import Job, Occurrence, Run, Step
from rhubarbferry.dispatch.messages import Account, Sizes, TaskId

NOTHING = Sizes()


def tasks_within(need: Sizes, quota: Sizes, used: Sizes) -> int:
    """Return how many tasks of size ``need`` fit into the part of a quota that is not used.

    :param quota: a resource of 0 is unlimited.
    """
    count = sys.maxsize
    for size, limit, taken in (
        (need.millicores, quota.millicores, used.millicores),
        (need.memory_mb, quota.memory_mb, used.memory_mb),
        (need.accelerators, quota.accelerators, used.accelerators),
    ):
        if size and limit:
            count = min(count, (limit - taken) // size)
    return max(0, count)


@define(kw_only=True, eq=False, slots=True)
class _AssumedRuns:
    """Runs that an inherited job may have on hosts that have not reported yet.

    :param tasks: size of each unfinished task of which no run has been found.
    """

    account: str
    tasks: dict[TaskId, Sizes]


@define(kw_only=True, eq=False)
class Quotas:
    """Quota and usage of each account.

    A run counts from its reservation until it has certainly ended, so runs that are being stopped
    and starts without an answer count as well. Under a new owner, the tasks of an inherited job
    count as running until all hosts that may run them have reported.

    :ivar version: changes whenever the settings of an account do.
    """

    version: int = 0
    _accounts: dict[str, Account] = Factory(dict)
    _used: dict[str, Sizes] = Factory(dict)
    _runs_of_jobs: Counter[str] = Factory(Counter)
    _assumed: dict[str, _AssumedRuns] = Factory(dict)
    _assumed_totals: dict[str, Sizes] = Factory(dict)
    _changed: set[str] = Factory(set)
    _changed_quotas: set[str] = Factory(set)

    # ------------------------------------------------------------ settings

    def configure(self, accounts: Mapping[str, Account]) -> None:
        """Apply the accounts of a new configuration; missing ones keep their previous quotas."""
        for name, account in accounts.items():
            if self._accounts.get(name) != account:
                self._accounts[name] = account
                self.version += 1
                self._changed.add(name)
                self._changed_quotas.add(name)

    def add_account(self, account: Account) -> None:
        """Add an account from the record of a job, unless a configuration has set it."""
        if account.name not in self._accounts:
            self._accounts[account.name] = account
            self.version += 1

    @property
    def accounts(self) -> Mapping[str, Account]:
        """All known accounts by name."""
        return self._accounts

    # ------------------------------------------------------------ usage

    def add(self, run: Run) -> None:
        """Count a run."""
        self._runs_of_jobs[run.task.id.job] += 1
        name = run.task.step.job.account_name
        size = run.task.step.req.sizes
        self._used[name] = self._used.get(name, NOTHING).plus(size)
        assumed = self._assumed.get(run.task.id.job)
        if assumed is not None:
            self._drop_assumed(assumed, [run.task.id])

    def remove(self, run: Run) -> None:
        """Stop counting a run that has ended."""
        id = run.task.id.job
        self._runs_of_jobs[id] -= 1
        if not self._runs_of_jobs[id]:
            del self._runs_of_jobs[id]
        name = run.task.step.job.account_name
        self._used[name] = self._used[name].minus(run.task.step.req.sizes)
        if name:
            self._changed.add(name)

    def may_have_runs(self, job: str) -> bool:
        """Return whether a job has a run on any host, or is assumed to have one."""
        return job in self._runs_of_jobs or job in self._assumed

    def assume_running(self, job: Job) -> None:
        """Count all unfinished tasks of an inherited job as running."""
        if job.account_name:
            self._assumed[job.id] = _AssumedRuns(account=job.account_name, tasks={})
            self.extend_assumption(job, job.occurrences.values())

    def extend_assumption(self, job: Job, occurrences: Iterable[Occurrence]) -> None:
        """Count the unfinished tasks of new occurrences as running if those of the others are."""
        assumed = self._assumed.get(job.id)
        if assumed is None:
            return
        total = self._assumed_totals.get(assumed.account, NOTHING)
        for step in (step for occurrence in occurrences for step in occurrence.steps):
            for task in step.tasks:
                if not task.done:
                    assumed.tasks[task.id] = step.req.sizes
                    total = total.plus(step.req.sizes)
        self._assumed_totals[assumed.account] = total

    def _drop_assumed(self, assumed: _AssumedRuns, tasks: Iterable[TaskId]) -> None:
        """Stop counting tasks as running; those that are not counted any more are ignored."""
        total = self._assumed_totals[assumed.account]
        for task in tasks:
            total = total.minus(assumed.tasks.pop(task, NOTHING))
        self._assumed_totals[assumed.account] = total

    def drop_assumptions(self, jobs: Iterable[str]) -> None:
        """Count only the known runs of jobs that no other host can still be running."""
        for id in jobs:
            assumed = self._assumed.pop(id)
            self._drop_assumed(assumed, list(assumed.tasks))
            self._changed.add(assumed.account)

    @property
    def assumed_jobs(self) -> list[str]:
        """Ids of the jobs whose unfinished tasks all count as running."""
        return list(self._assumed)

    def used(self, account: str) -> Sizes:
        """Return what an account uses, including tasks that are only assumed to run."""
        used = self._used.get(account, NOTHING)
        assumed = self._assumed_totals.get(account)
        return used if assumed is None else used.plus(assumed)

    def running(self, account: str) -> Sizes:
        """Return what the known runs of an account use; a new value whenever it has changed.

        :param account: name of the account; empty for the jobs without an account.
        """
        return self._used.get(account, NOTHING)

    def check_usage(self, runs: Iterable[Run]) -> dict[str, Sizes]:
        """Return the counted usage of each account for which it differs from the given runs.

        :param runs: all runs of all hosts.
        """
        expected: dict[str, Sizes] = {}
        for run in runs:
            name = run.task.step.job.account_name
            size = run.task.step.req.sizes
            expected[name] = expected.get(name, NOTHING).plus(size)
        return {
            name: used for name, used in self._used.items() if used != expected.get(name, NOTHING)
        }

    # ------------------------------------------------------------ limits

    def free_tasks(self, step: Step) -> int:
        """Return how many more tasks of a step its account may run now."""
        account = self._accounts.get(step.job.account_name)
        if account is None or account.quota == NOTHING:
            return sys.maxsize
        return tasks_within(step.req.sizes, account.quota, self.used(account.name))

    def exceeds_quota(self, step: Step) -> bool:
        """Return whether a step could not start even if its account used nothing else."""
        account = self._accounts.get(step.job.account_name)
        if account is None:
            return False
        fitting = tasks_within(step.req.sizes, account.quota, NOTHING)
        return fitting < (len(step.tasks) if step.req.gang else 1)

    def startable_steps(self, account: str, steps: Iterable[Step]) -> list[Step]:
        """Return the first of an account's steps that fit together into its free quota.

        :param steps: steps in the order in which they are to start.
        """
        settings = self._accounts.get(account)
        if settings is None:
            return list(steps)
        used = self.used(account)
        found: list[Step] = []
        for step in steps:
            waiting = len(step.waiting_tasks())
            free = tasks_within(step.req.sizes, settings.quota, used)
            if free < (waiting if step.req.gang else 1):
                break
            found.append(step)
            if free < waiting:
                break
            used = used.plus(step.req.sizes.times(waiting))
        return found

    def mark_changed(self, account: str) -> None:
        """Return an account from the next :meth:`take_changed`, whether or not it has changed."""
        self._changed.add(account)

    def take_changed(self) -> set[str]:
        """Return the accounts whose usage has fallen or whose quota has changed since last time."""
        changed, self._changed = self._changed, set()
        return changed

    def take_changed_quotas(self) -> set[str]:
        """Return the accounts whose quota has changed since last time."""
        changed, self._changed_quotas = self._changed_quotas, set()
        return changed
