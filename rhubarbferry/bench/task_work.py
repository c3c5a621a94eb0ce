"""Generator of the tasks and jobs for the experiments."""

from __future__ import annotations

import random

from attrs import frozen

from rhubarbferry.bench.profiles import GIB, Profile
from rhubarbferry.core.cell import Size
from rhubarbferry.core.jobs import JobSpec
from rhubarbferry.core.placement import Need, Spread

CORES = (1, 1, 2, 2, 4, 4, 8, 16)
GIB_PER_CORE = (0.5, 1, 2, 2, 4, 6)
ACCELERATED_FRACTION = 0.08
TASKS_PER_JOB = (1, 2, 4, 8, 16, 32)
MAX_USE_RATIO = 4.0
IMPOSSIBLE_FRACTION = 0.02


def task_size(rng: random.Random, *, accelerated: bool = True) -> Size:
    """Return the declared size of one task."""
    cores = rng.choice(CORES)
    per_core = rng.choice(GIB_PER_CORE)
    needs_accelerators = accelerated and rng.random() < ACCELERATED_FRACTION
    return Size(
        millicores=cores * 1000 + rng.randrange(0, 1000, 100),
        memory_bytes=int(cores * per_core * GIB),
        accelerators=rng.choice((1, 1, 2, 4)) if needs_accelerators else 0,
    )


def task_need(rng: random.Random, number: int, *, services: bool) -> Need:
    """Return the placement request of one task; with ``services``, every third is spread."""
    spread = Spread.APART if services and number % 3 == 0 else Spread.PACK
    return Need(job_id=f"j{number // 8}", size=task_size(rng), spread=spread)


@frozen(kw_only=True, slots=True)
class Submission:
    """One generated job.

    :param run_s: duration of each task in seconds.
    :param use_ratio: ratio of the resources that the tasks use to the declared size, from a
        quarter to four.
    :param impossible: whether its tasks are larger than any worker of the cell.
    """

    spec: JobSpec
    run_s: float
    use_ratio: float
    impossible: bool


def submission(rng: random.Random, account: str, profile: Profile) -> Submission:
    """Return the next job of an account."""
    impossible = rng.random() < IMPOSSIBLE_FRACTION
    size = task_size(rng, accelerated=profile.accelerators > 0)
    if impossible:
        size = Size(millicores=2 * profile.worker.millicores, memory_bytes=GIB)
    return Submission(
        spec=JobSpec(account=account, tasks=rng.choice(TASKS_PER_JOB), size=size),
        run_s=profile.run_s * rng.uniform(0.5, 1.5),
        use_ratio=MAX_USE_RATIO ** rng.uniform(-1.0, 1.0),
        impossible=impossible,
    )
