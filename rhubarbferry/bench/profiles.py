"""Sizes of the cells that the experiments simulate."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import frozen

from rhubarbferry.core.cell import Size

GIB = 2**30


@frozen(kw_only=True, slots=True)
class Profile:
    """The size and load of one cell.

    :param runners: runners of one runner partition, that is of one service in one region.
    :param slots: slots of each runner.
    :param worker: capacity of each worker, without accelerators.
    :param rack_size: workers in each rack.
    :param accelerators: total number, placed on two of every five workers.
    :param running_tasks: number of tasks that run on the full cell.
    :param starts_per_s: task starts per second at peak load.
    """

    name: str
    runners: int
    slots: int
    workers: int
    worker: Size
    rack_size: int
    failure_domains: int
    accelerators: int
    running_tasks: int
    starts_per_s: float
    accounts: int

    @property
    def run_s(self) -> float:
        """Return the mean task duration in seconds.

        By Little's law it is the number of running tasks over the start rate.
        """
        return self.running_tasks / self.starts_per_s


PROFILES: Mapping[str, Profile] = {
    "today": Profile(
        name="today",
        runners=8,
        slots=8,
        workers=24,
        worker=Size(millicores=64_000, memory_bytes=128 * GIB),
        rack_size=8,
        failure_domains=3,
        accelerators=0,
        running_tasks=253,
        starts_per_s=10.5,
        accounts=8,
    ),
    "aim": Profile(
        name="aim",
        runners=12,
        slots=8,
        workers=550,
        worker=Size(millicores=64_000, memory_bytes=128 * GIB),
        rack_size=8,
        failure_domains=7,
        accelerators=1300,
        running_tasks=5800,
        starts_per_s=240.0,
        accounts=20,
    ),
}


@frozen(kw_only=True, slots=True)
class Worker:
    """One worker of a generated cell."""

    id: str
    rack: str
    failure_domain: str
    capacity: Size


def make_workers(profile: Profile) -> list[Worker]:
    """Return the workers; each rack lies within one failure domain.

    Two of every five workers have accelerators, four or eight each. On these workers, tasks with
    and without accelerators compete for processors.
    """
    counts = accelerators_of(profile)
    return [_worker(profile, number, counts[number]) for number in range(profile.workers)]


def accelerators_of(profile: Profile) -> list[int]:
    """Return the number of accelerators of each worker; the sum equals that of the profile."""
    left = profile.accelerators
    counts = []
    for number in range(profile.workers):
        mine = min(left, (0, 0, 0, 4, 8)[number % 5])
        counts.append(mine)
        left -= mine
    # The remainder goes, one each, to the first workers that already have accelerators.
    holders = [number for number, count in enumerate(counts) if count]
    for number in holders * (left // max(1, len(holders)) + 1):
        if left == 0:
            break
        counts[number] += 1
        left -= 1
    return counts


def _worker(profile: Profile, number: int, accelerators: int) -> Worker:
    rack = number // profile.rack_size
    return Worker(
        id=f"w{number:04}",
        rack=f"rack-{rack}",
        failure_domain=f"d{rack % profile.failure_domains}",
        capacity=Size(
            millicores=profile.worker.millicores,
            memory_bytes=profile.worker.memory_bytes,
            accelerators=accelerators,
        ),
    )
