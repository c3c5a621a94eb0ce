"""Decide whether a new job is accepted while the cell is full."""

from __future__ import annotations

import math
import zlib

from attrs import frozen

from rhubarbferry.dispatch.load import AccountLoad, ServiceLoad, equivalent_cores
from rhubarbferry.dispatch.messages import Sizes, StepRequest
from rhubarbferry.dispatch.objective import LATE_FACTOR, critical_paths
from rhubarbferry.dispatch.quotas import tasks_within
from rhubarbferry.dispatch.record import JobRecord

# An account that uses less than this part of what it is owed is within its share: what holds up
# its jobs is not its own load. The rest is room that its tasks can't fill exactly.
WITHIN_SHARE = 0.9
MIN_RETRY_AFTER_S = 1
# After a longer time the load has little to do with the load of now.
MAX_RETRY_AFTER_S = 60
_ID_HASHES = 2**32


@frozen(kw_only=True, slots=True)
class LoadSummary:
    """What a process knows of the load of the cell.

    :param fence: fence of the owner that has summed it up.
    :param number: rises with each summary of an owner.
    :param config_revision: revision of the configuration whose weights it uses.
    :param taken_at: when it was taken at the latest, on this process's monotonic clock.
    :param services: the services that are full.
    """

    fence: int
    number: int
    config_revision: int
    taken_at: float
    services: tuple[ServiceLoad, ...]

    def find(self, service: str, account: str) -> tuple[ServiceLoad, AccountLoad] | None:
        """Return the load of an account on a service; ``None`` unless the service is full."""
        for of_service in self.services:
            if of_service.service == service:
                for load in of_service.accounts:
                    if load.account == account:
                        return of_service, load
        return None


@frozen(kw_only=True, slots=True)
class Admitted:
    """The job is accepted."""


@frozen(kw_only=True, slots=True)
class Refused:
    """The job could only end after its client has stopped waiting.

    :param account: its account, whose share and work are meant below.
    :param owed_cores: what the account is owed by its weight.
    :param used_cores: what its tasks use.
    :param usable_cores: rate at which its work can be done, in cores.
    :param ahead_core_s: its own work ahead of the job, in core-seconds.
    :param expected_s: earliest time until the job would end.
    :param limit_s: time within which it would have to end.
    :param age_s: age of the summary.
    :param retry_after_s: when to submit the job again.
    """

    account: str
    owed_cores: float
    used_cores: float
    usable_cores: float
    ahead_core_s: float
    expected_s: float
    limit_s: float
    age_s: float
    retry_after_s: int


def decide_admission(record: JobRecord, summary: LoadSummary, *, now: float) -> Admitted | Refused:
    """Decide whether to accept a new job.

    It is refused only if it can't end within :data:`~rhubarbferry.dispatch.objective.LATE_FACTOR`
    times its objective even with all capacity that its account may use, and only because of the
    work of its own account. Repeated jobs and lasting tasks have no such end and are accepted.

    :param summary: a summary that is recent enough and matches the configuration in force.
    """
    steps = record.req.steps
    if record.account is None or record.req.times or any(step.lasting for step in steps):
        return Admitted()
    found = summary.find(record.queue.service, record.account.name)
    if found is None:
        return Admitted()
    service, load = found
    usable = min(load.usable_cores, _quota_cores(steps, record.account.quota, service.capacity))
    owed = min(load.owed_cores, usable)
    if usable <= 0 or load.used_cores < WITHIN_SHARE * owed:
        return Admitted()
    path_s = max(critical_paths(steps), default=0.0)
    objective_s = record.queue.job_objective_s(path_s)
    limit_s = LATE_FACTOR * objective_s
    ahead = [item for item in load.ahead if item.priority <= record.queue.priority]
    in_time = sum(item.in_time for item in ahead)
    if in_time / usable <= objective_s - path_s:
        # It starts before it would be late, so no late work goes before it.
        return Admitted()
    ahead_core_s = in_time + sum(item.late for item in ahead)
    expected_s = ahead_core_s / usable + path_s
    if expected_s <= limit_s:
        return Admitted()
    return Refused(
        account=load.account,
        owed_cores=load.owed_cores,
        used_cores=load.used_cores,
        usable_cores=usable,
        ahead_core_s=ahead_core_s,
        expected_s=expected_s,
        limit_s=limit_s,
        age_s=now - summary.taken_at,
        retry_after_s=retry_after_s(
            record.req.id, excess_s=expected_s - limit_s, objective_s=objective_s
        ),
    )


def _quota_cores(steps: tuple[StepRequest, ...], quota: Sizes, capacity: Sizes) -> float:
    """Return the most that a quota lets tasks such as those of a job use, in equivalent cores."""
    if quota == Sizes():
        return math.inf
    return max(
        (
            tasks_within(step.sizes, quota, Sizes()) * equivalent_cores(step.sizes, capacity)
            for step in steps
        ),
        default=math.inf,
    )


def retry_after_s(id: str, *, excess_s: float, objective_s: float) -> int:
    """Return after how many seconds a refused job may be submitted again.

    Jobs that are refused together come back one after the other, in an order that depends on their
    ids only, while the account's work drains. Those with a short objective come back first.

    :param excess_s: time by which the job would end too late; by then the account has done enough
        of its work.
    """
    window_s = max(objective_s, excess_s)
    position = zlib.crc32(id.encode()) / _ID_HASHES
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, math.ceil(excess_s + position * window_s)))
