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

CANDIDATES = 16
# Capacity is stranded when one dimension is exhausted before the others, so balance between the
# dimensions has far more weight than a small remainder.
SKEW_WEIGHT = 25.0
MAX_REMEMBERED = 256


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
class _Room:
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
        self._rooms: dict[str, _Room] = {}
        self._groups: dict[int, SortedList] = {}
        self._too_large: set[Size] = set()
        self._domain_jobs: Counter[tuple[str, str]] = Counter()
        self._largest_millicores = 1
        self._largest_memory = 1

    def put(self, worker: str, *, capacity: Size, failure_domain: str) -> None:
        """Add an empty worker that accepts tasks, replacing any previous state of the worker."""
        self.drop(worker)
        room = _Room(
            id=worker,
            failure_domain=failure_domain,
            capacity=capacity,
            free=capacity,
            open=True,
        )
        self._rooms[worker] = room
        self._largest_millicores = max(self._largest_millicores, capacity.millicores)
        self._largest_memory = max(self._largest_memory, capacity.memory_bytes)
        self._list(room)

    def drop(self, worker: str) -> None:
        """Remove a worker."""
        room = self._rooms.pop(worker, None)
        if room is None:
            return
        self._unlist(room)
        for job_id, count in room.jobs.items():
            self._domain_jobs[room.failure_domain, job_id] -= count

    def set_open(self, worker: str, is_open: bool) -> None:
        """Set whether a worker accepts new tasks."""
        room = self._rooms[worker]
        if room.open == is_open:
            return
        self._unlist(room)
        room.open = is_open
        self._list(room)

    def free(self, worker: str) -> Size:
        """Return the free capacity of a worker, whether or not it accepts tasks."""
        return self._rooms[worker].free

    def is_open(self, worker: str) -> bool:
        """Return whether a worker accepts new tasks."""
        room = self._rooms.get(worker)
        return room is not None and room.open

    def take(self, worker: str, job_id: str, size: Size) -> bool:
        """Allocate capacity on a worker and return whether there was enough."""
        if not size.fits(self._rooms[worker].free):
            return False
        self.take_running(worker, job_id, size)
        return True

    def take_running(self, worker: str, job_id: str, size: Size) -> None:
        """Allocate capacity for a task that is already running, even if it does not fit.

        A worker can return with less capacity than its tasks were allocated. These tasks are
        still counted: the free capacity is then negative, and no task is placed until they end.
        """
        room = self._rooms[worker]
        self._unlist(room)
        room.free = room.free - size
        room.jobs[job_id] += 1
        self._domain_jobs[room.failure_domain, job_id] += 1
        self._list(room, grown=False)

    def give_back(self, worker: str, job_id: str, size: Size) -> None:
        """Release allocated capacity."""
        room = self._rooms[worker]
        self._unlist(room)
        room.free = room.free + size
        self._forget(room.jobs, job_id)
        self._forget(self._domain_jobs, (room.failure_domain, job_id))
        self._list(room)

    def choose(self, need: Need) -> str | None:
        """Return the best worker for a task, or ``None`` if none has enough free capacity."""
        if not need.avoid and need.size in self._too_large:
            return None
        found = self._best(need)
        if found is None and not need.avoid and len(self._too_large) < MAX_REMEMBERED:
            self._too_large.add(need.size)
        return found.id if found is not None else None

    def largest_free(self) -> Size:
        """Return the largest free capacity per dimension, possibly of different workers."""
        open_rooms = [room.free for room in self._rooms.values() if room.open]
        return Size(
            millicores=max((free.millicores for free in open_rooms), default=0),
            memory_bytes=max((free.memory_bytes for free in open_rooms), default=0),
            accelerators=max((free.accelerators for free in open_rooms), default=0),
        )

    @staticmethod
    def _forget(counter: Counter, key: object) -> None:
        counter[key] -= 1
        if counter[key] <= 0:
            del counter[key]

    def _list(self, room: _Room, *, grown: bool = True) -> None:
        if not room.open:
            return
        room.key = (room.free.millicores, room.free.memory_bytes, room.id)
        group = self._groups.get(room.free.accelerators)
        if group is None:
            group = self._groups[room.free.accelerators] = SortedList()
        group.add(room.key)
        if grown and self._too_large:
            self._too_large = {size for size in self._too_large if not size.fits(room.free)}

    def _unlist(self, room: _Room) -> None:
        if not room.open:
            return
        group = self._groups[room.free.accelerators]
        group.remove(room.key)
        if not group:
            del self._groups[room.free.accelerators]

    def _best(self, need: Need) -> _Room | None:
        if need.spread == Spread.APART:
            return self._farthest(need)
        # Workers with more accelerators than needed are tried last: processors are available on
        # other workers, accelerators are not.
        for accelerators in sorted(self._groups):
            if accelerators < need.size.accelerators:
                continue
            found = self._tightest(self._groups[accelerators], need)
            if found is not None:
                return found
        return None

    def _tightest(self, group: SortedList, need: Need) -> _Room | None:
        size = need.size
        best: _Room | None = None
        best_left = float("inf")
        seen = 0
        for millicores, memory, worker in group.irange(minimum=(size.millicores, 0, "")):
            if memory < size.memory_bytes or worker in need.avoid:
                continue
            left = self._left(millicores - size.millicores, memory - size.memory_bytes)
            if left < best_left:
                best, best_left = self._rooms[worker], left
            seen += 1
            if seen >= CANDIDATES:
                break
        return best

    def _left(self, millicores: int, memory: int) -> float:
        """Return the cost of a remainder: small and balanced remainders cost least."""
        processors = millicores / self._largest_millicores
        bytes_ = memory / self._largest_memory
        return processors + bytes_ + SKEW_WEIGHT * abs(processors - bytes_)

    def _farthest(self, need: Need) -> _Room | None:
        best: _Room | None = None
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
                room = self._rooms[worker]
                rank = (
                    self._domain_jobs.get((room.failure_domain, need.job_id), 0),
                    room.jobs.get(need.job_id, 0),
                    -millicores,
                )
                if best_rank is None or rank < best_rank:
                    best, best_rank = room, rank
                if rank[:2] == (0, 0):
                    return room
            if best is not None:
                return best
        return best
