"""Queue of a home's jobs, and selection of the next tasks for a worker partition."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Iterator

from attrs import Factory, define, frozen
from sortedcontainers import SortedDict

from rhubarbferry.core.cell import PriorityClass, Size
from rhubarbferry.core.fairshare import FairShare
from rhubarbferry.core.jobs import Job, JobKind

MAX_SCANNED_JOBS = 64
MAX_SPREAD_WAIT_S = 1.0
CAPACITY_REQUEST_INTERVAL_S = 0.5
PARTITION_SWITCH_DELAY_S = 5.0


@define(kw_only=True, slots=True)
class Room:
    """Free capacity of a worker partition as last reported by its owner.

    :param largest: largest free size of any worker, per dimension.
    :param largest_worker: largest capacity of any worker, per dimension.
    :param local: whether the partition is in the home's region.
    :param refused: sizes that the partition could not place.
    :param domain: the partitions in the same failure domain, including this one.
    :param domains: number of failure domains in the region.
    """

    partition: str
    region: str
    free: Size
    largest: Size
    largest_worker: Size = Factory(Size)
    local: bool = True
    refused: frozenset[Size] = frozenset()
    domain: frozenset[str] = frozenset()
    domains: int = 1


@frozen(kw_only=True, slots=True)
class Picked:
    """One task that was claimed for a worker partition."""

    job: Job
    index: int


class JobQueue:
    """Jobs with waiting tasks, by priority and account.

    Within a priority class the account with the lowest standing is first, and within an account
    the job that was accepted first. A job whose tasks do not fit into a worker partition is
    skipped for that partition, so that smaller tasks can use its free capacity.

    :param other_region_after_s: how long a job waits in its home's region before it may run in
        another region.
    :param patience_s: how long a large task waits before a worker is dedicated to it.
    """

    def __init__(self, *, other_region_after_s: float, patience_s: float) -> None:
        self._other_region_after_s = other_region_after_s
        self._patience_s = patience_s
        self._jobs: dict[int, dict[str, SortedDict]] = {}
        self._counted_tasks: dict[str, int] = {}
        self._depth = 0

    def put(self, job: Job) -> None:
        """Add a job to the queue, or update the counts of a queued one."""
        accounts = self._jobs.setdefault(job.spec.priority, {})
        jobs = accounts.setdefault(job.spec.account, SortedDict())
        jobs[job.since, job.id] = job
        self._update_depth(job)

    def drop(self, job: Job) -> None:
        """Remove a job from the queue."""
        self._depth -= self._counted_tasks.pop(job.id, 0)
        accounts = self._jobs.get(job.spec.priority, {})
        jobs = accounts.get(job.spec.account)
        if jobs is None:
            return
        jobs.pop((job.since, job.id), None)
        if not jobs:
            del accounts[job.spec.account]

    def jobs(self, kind: JobKind | None = None) -> Iterator[Job]:
        """Yield the queued jobs, the most urgent priority class first."""
        for priority in sorted(self._jobs):
            for jobs in list(self._jobs[priority].values()):
                for job in list(jobs.values()):
                    if kind is None or job.spec.kind is kind:
                        yield job

    def depth(self) -> int:
        """Return the number of waiting tasks, as of the last update of each job."""
        return self._depth

    def pick(
        self,
        room: Room,
        *,
        share: FairShare,
        limit: int,
        now: float,
        epoch: int,
        home_epoch: int,
    ) -> list[Picked]:
        """Claim up to ``limit`` tasks for a worker partition.

        The claims are charged to the partition's free capacity and to the account's share. Gangs
        are skipped unless formed: the gang dispatcher places all tasks of a gang together.
        """
        picked: list[Picked] = []
        too_large: dict[str, Job] = {}
        for priority in sorted(self._jobs):
            accounts = self._jobs[priority]
            heap = [(share.standing(account, now), account) for account in accounts]
            heapq.heapify(heap)
            while heap and len(picked) < limit:
                _, account = heapq.heappop(heap)
                jobs = accounts.get(account, {}).values()
                job = self._next_job(jobs, room, share, now, too_large)
                if job is None:
                    continue
                _record_skipped(too_large.values(), job, now)
                index = job.claim(partition=room.partition, epoch=epoch, home_epoch=home_epoch)
                picked.append(Picked(job=job, index=index))
                room.free = room.free - job.spec.size
                share.claim(account, job.spec.size)
                self._update_depth(job)
                if not job.waiting():
                    self.drop(job)
                heapq.heappush(heap, (share.standing(account, now), account))
        return picked

    def _update_depth(self, job: Job) -> None:
        self._depth += job.waiting() - self._counted_tasks.get(job.id, 0)
        self._counted_tasks[job.id] = job.waiting()

    def _next_job(
        self,
        jobs: Iterable[Job],
        room: Room,
        share: FairShare,
        now: float,
        too_large: dict[str, Job],
    ) -> Job | None:
        """Return the first job with a task that fits; collect those that are too large."""
        for position, job in enumerate(jobs):
            if position >= MAX_SCANNED_JOBS:
                return None
            if not self._is_eligible(job, room, now):
                continue
            if not share.within_quota(job.spec.account, job.spec.size):
                continue
            if _fits(job, room) or self._requests_capacity(job, room, now):
                return job
            too_large[job.id] = job
        return None

    def _is_eligible(self, job: Job, room: Room, now: float) -> bool:
        spec = job.spec
        if spec.kind is JobKind.GANG and not job.formed:
            return False
        if not job.waiting() or job.paused_until > now:
            return False
        if not self._region_allowed(job, room, now):
            return False
        return spec.kind is not JobKind.SERVICE or self._spread_allows(job, room, now)

    def _requests_capacity(self, job: Job, room: Room, now: float) -> bool:
        """Return whether a job requests that a partition free capacity for it.

        An urgent job does so immediately, another job after smaller tasks have been scheduled
        before it for ``patience_s``. A job does so in one partition at a time.
        """
        urgent = job.spec.priority == PriorityClass.URGENT
        skipped_since = job.skipped_since
        if not urgent and (skipped_since is None or now - skipped_since < self._patience_s):
            return False
        if not job.spec.size.fits(room.largest_worker):
            return False
        elsewhere = job.capacity_partition not in ("", room.partition)
        if now < job.next_capacity_request_at + (PARTITION_SWITCH_DELAY_S if elsewhere else 0.0):
            return False
        job.capacity_partition, job.next_capacity_request_at = (
            room.partition,
            now + CAPACITY_REQUEST_INTERVAL_S,
        )
        return True

    @staticmethod
    def _spread_allows(job: Job, room: Room, now: float) -> bool:
        """Return whether a service may place one more task in the partition's failure domain.

        The spread is enforced for ``MAX_SPREAD_WAIT_S`` only: a service with several tasks in
        one failure domain is better than a service that does not run.
        """
        if now - job.waiting_since >= MAX_SPREAD_WAIT_S:
            return True
        placed = sum(job.on_partition(name) for name in room.domain)
        return placed < math.ceil(job.spec.tasks / room.domains)

    def _region_allowed(self, job: Job, room: Room, now: float) -> bool:
        wanted = job.spec.region
        if wanted:
            return wanted == room.region
        return room.local or now - job.since >= self._other_region_after_s


def _fits(job: Job, room: Room) -> bool:
    size = job.spec.size
    return size.fits(room.free) and size.fits(room.largest) and size not in room.refused


def _record_skipped(too_large: Iterable[Job], by: Job, now: float) -> None:
    """Record since when jobs have been skipped in favour of a later one."""
    for job in too_large:
        if job is not by and job.skipped_since is None:
            job.skipped_since = now
