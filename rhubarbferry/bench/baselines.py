"""Baseline policies that the decision core is compared with."""

from __future__ import annotations

import random
from collections.abc import Sequence

from rhubarbferry.bench.profiles import Worker
from rhubarbferry.core.cell import Size
from rhubarbferry.core.fairshare import FairShare
from rhubarbferry.core.job_queue import Picked, Room
from rhubarbferry.core.jobs import Job
from rhubarbferry.core.placement import Need

MAX_SCANNED_JOBS = 64


class LinearScan:
    """Scan workers linearly: first fit in list order, or in random order with ``rng``."""

    def __init__(self, workers: Sequence[Worker], rng: random.Random | None = None) -> None:
        self._order = [worker.id for worker in workers]
        self._free = {worker.id: worker.capacity for worker in workers}
        self._rng = rng

    def choose(self, need: Need) -> str | None:
        """Return the first worker with enough free capacity, or ``None``."""
        order = self._order
        if self._rng is not None:
            order = self._rng.sample(self._order, len(self._order))
        for worker in order:
            if need.size.fits(self._free[worker]):
                return worker
        return None

    def take(self, worker: str, job_id: str, size: Size) -> bool:
        """Reserve capacity on a worker."""
        self._free[worker] = self._free[worker] - size
        return True

    def give_back(self, worker: str, job_id: str, size: Size) -> None:
        """Release capacity on a worker."""
        self._free[worker] = self._free[worker] + size


class FifoJobs:
    """Job queue in arrival order, without fair shares; jobs that do not fit are skipped."""

    def __init__(self) -> None:
        self._jobs: dict[str, Job] = {}

    def put(self, job: Job) -> None:
        """Append a job, unless it is already queued."""
        self._jobs.setdefault(job.id, job)

    def drop(self, job: Job) -> None:
        """Remove a job."""
        self._jobs.pop(job.id, None)

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
        """Claim tasks for a partition's free capacity, as ``JobQueue.pick`` does."""
        picked: list[Picked] = []
        for job in list(self._jobs.values())[:MAX_SCANNED_JOBS]:
            size = job.spec.size
            while job.waiting() and len(picked) < limit:
                fits = size.fits(room.free) and size.fits(room.largest)
                if not fits or size in room.refused:
                    break
                index = job.claim(partition=room.partition, epoch=epoch, home_epoch=home_epoch)
                picked.append(Picked(job=job, index=index))
                room.free = room.free - size
                share.claim(job.spec.account, size)
            if not job.waiting():
                self.drop(job)
        return picked
