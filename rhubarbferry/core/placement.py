"""Worker selection for tasks, using an index of the free capacity of a partition's workers.

Batch tasks are placed where the remaining free capacity is best balanced between the dimensions
and smallest (best fit). Tasks of a service are placed where the fewest tasks of the same job run.

The index groups workers by free accelerators and orders each group by free processors, so a
selection examines a bounded number of workers. It examines more only when none of these has enough
free capacity, and a size that could not be placed is cached until capacity for it becomes free.
"""

from __future__ import annotations

from collections import Counter
from enum import IntEnum

from attrs import Factory, define, frozen
from sortedcontainers import SortedList

from rhubarbferry.core.cell import Size

MAX_CANDIDATES = 16
# Capacity is stranded when one dimension is exhausted before the others, so balance between the
# dimensions has far more weight than a small remainder.
SKEW_WEIGHT = 25.0
MAX_UNPLACEABLE_SIZES = 256


class Spread(IntEnum):
    """How the tasks of a job are distributed over workers."""

    PACK = 0
    APART = 1


@frozen(kw_only=True, slots=True)
class Need:
    """Requirements of one task that needs a worker.

    :param job_id: job of the task; ``Spread.APART`` separates tasks of the same job.
    :param avoid: workers that must not be chosen.
    """

    job_id: str
    size: Size
    spread: Spread = Spread.PACK
    avoid: frozenset[str] = frozenset()


@define(kw_only=True, slots=True)
class _WorkerEntry:
    id: str
    failure_domain: str
    capacity: Size
    free: Size
    open: bool
    key: tuple[int, int, str] = (0, 0, "")
    jobs: Counter[str] = Factory(Counter)


class Placement:
    """Free capacity of workers, and worker selection.

    The caller reports allocations and releases. :meth:`take` refuses what does not fit, so no
    order of events can overcommit a worker.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _WorkerEntry] = {}
        self._groups: dict[int, SortedList] = {}
        self._unplaceable: set[Size] = set()
        self._domain_jobs: Counter[tuple[str, str]] = Counter()
        self._largest_millicores = 1
        self._largest_memory = 1

    def put(self, worker: str, *, capacity: Size, failure_domain: str) -> None:
        """Add an empty worker that accepts tasks, replacing any previous state of the worker."""
        self.drop(worker)
        entry = _WorkerEntry(
            id=worker,
            failure_domain=failure_domain,
            capacity=capacity,
            free=capacity,
            open=True,
        )
        self._entries[worker] = entry
        self._largest_millicores = max(self._largest_millicores, capacity.millicores)
        self._largest_memory = max(self._largest_memory, capacity.memory_bytes)
        self._index(entry)

    def drop(self, worker: str) -> None:
        """Remove a worker."""
        entry = self._entries.pop(worker, None)
        if entry is None:
            return
        self._unindex(entry)
        for job_id, count in entry.jobs.items():
            self._domain_jobs[entry.failure_domain, job_id] -= count

    def set_open(self, worker: str, is_open: bool) -> None:
        """Set whether a worker accepts new tasks."""
        entry = self._entries[worker]
        if entry.open == is_open:
            return
        self._unindex(entry)
        entry.open = is_open
        self._index(entry)

    def free(self, worker: str) -> Size:
        """Return the free capacity of a worker, whether or not it accepts tasks."""
        return self._entries[worker].free

    def is_open(self, worker: str) -> bool:
        """Return whether a worker accepts new tasks."""
        entry = self._entries.get(worker)
        return entry is not None and entry.open

    def take(self, worker: str, job_id: str, size: Size) -> bool:
        """Allocate capacity on a worker and return whether there was enough."""
        if not size.fits(self._entries[worker].free):
            return False
        self.take_running(worker, job_id, size)
        return True

    def take_running(self, worker: str, job_id: str, size: Size) -> None:
        """Allocate capacity for a task that is already running, even if it does not fit.

        A worker can return with less capacity than its tasks were allocated. These tasks are
        still counted: the free capacity is then negative, and no task is placed until they end.
        """
        entry = self._entries[worker]
        self._unindex(entry)
        entry.free = entry.free - size
        entry.jobs[job_id] += 1
        self._domain_jobs[entry.failure_domain, job_id] += 1
        self._index(entry, capacity_grew=False)

    def give_back(self, worker: str, job_id: str, size: Size) -> None:
        """Release allocated capacity."""
        entry = self._entries[worker]
        self._unindex(entry)
        entry.free = entry.free + size
        self._decrement(entry.jobs, job_id)
        self._decrement(self._domain_jobs, (entry.failure_domain, job_id))
        self._index(entry)

    def choose(self, need: Need) -> str | None:
        """Return the best worker for a task, or ``None`` if none has enough free capacity."""
        if not need.avoid and need.size in self._unplaceable:
            return None
        found = self._select(need)
        if found is None and not need.avoid and len(self._unplaceable) < MAX_UNPLACEABLE_SIZES:
            self._unplaceable.add(need.size)
        return found.id if found is not None else None

    def largest_free(self) -> Size:
        """Return the largest free capacity per dimension, possibly of different workers."""
        open_sizes = [entry.free for entry in self._entries.values() if entry.open]
        return Size(
            millicores=max((free.millicores for free in open_sizes), default=0),
            memory_bytes=max((free.memory_bytes for free in open_sizes), default=0),
            accelerators=max((free.accelerators for free in open_sizes), default=0),
        )

    @staticmethod
    def _decrement(counter: Counter, key: object) -> None:
        counter[key] -= 1
        if counter[key] <= 0:
            del counter[key]

    def _index(self, entry: _WorkerEntry, *, capacity_grew: bool = True) -> None:
        if not entry.open:
            return
        entry.key = (entry.free.millicores, entry.free.memory_bytes, entry.id)
        group = self._groups.get(entry.free.accelerators)
        if group is None:
            group = self._groups[entry.free.accelerators] = SortedList()
        group.add(entry.key)
        if capacity_grew and self._unplaceable:
            self._unplaceable = {size for size in self._unplaceable if not size.fits(entry.free)}

    def _unindex(self, entry: _WorkerEntry) -> None:
        if not entry.open:
            return
        group = self._groups[entry.free.accelerators]
        group.remove(entry.key)
        if not group:
            del self._groups[entry.free.accelerators]

    def _select(self, need: Need) -> _WorkerEntry | None:
        if need.spread == Spread.APART:
            return self._most_apart(need)
        # Workers with more accelerators than needed are tried last: processors are available on
        # other workers, accelerators are not.
        for accelerators in sorted(self._groups):
            if accelerators < need.size.accelerators:
                continue
            found = self._best_fit(self._groups[accelerators], need)
            if found is not None:
                return found
        return None

    def _best_fit(self, group: SortedList, need: Need) -> _WorkerEntry | None:
        size = need.size
        best: _WorkerEntry | None = None
        best_cost = float("inf")
        examined = 0
        for millicores, memory, worker in group.irange(minimum=(size.millicores, 0, "")):
            if memory < size.memory_bytes or worker in need.avoid:
                continue
            cost = self._remainder_cost(millicores - size.millicores, memory - size.memory_bytes)
            if cost < best_cost:
                best, best_cost = self._entries[worker], cost
            examined += 1
            if examined >= MAX_CANDIDATES:
                break
        return best

    def _remainder_cost(self, millicores: int, memory: int) -> float:
        """Return the cost of a remainder: small and balanced remainders cost least."""
        processors = millicores / self._largest_millicores
        bytes_ = memory / self._largest_memory
        return processors + bytes_ + SKEW_WEIGHT * abs(processors - bytes_)

    def _most_apart(self, need: Need) -> _WorkerEntry | None:
        best: _WorkerEntry | None = None
        best_rank: tuple[int, int, int] | None = None
        for accelerators in sorted(self._groups):
            if accelerators < need.size.accelerators:
                continue
            group = self._groups[accelerators]
            for millicores, memory, worker in group.irange(
                minimum=(need.size.millicores, 0, ""), reverse=True
            ):
                if memory < need.size.memory_bytes or worker in need.avoid:
                    continue
                entry = self._entries[worker]
                rank = (
                    self._domain_jobs.get((entry.failure_domain, need.job_id), 0),
                    entry.jobs.get(need.job_id, 0),
                    -millicores,
                )
                if best_rank is None or rank < best_rank:
                    best, best_rank = entry, rank
                if rank[:2] == (0, 0):
                    return entry
            if best is not None:
                return best
        return best
