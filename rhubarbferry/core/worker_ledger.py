"""Ledger of the tasks and reservations on the workers of a partition.

Capacity counts as taken from the moment a worker is chosen for a task until the task is known to
have ended, because the worker reported it or because its lease must have expired.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from enum import IntEnum

from attrs import Factory, define, field, frozen

from rhubarbferry.core.cell import Size
from rhubarbferry.core.placement import Need, Placement, Spread

DEDICATED_WORKER_TTL_S = 3.0
# Maximum number of tasks of one account that may be preempted on one worker at a time.
MAX_PREEMPTED_PER_ACCOUNT = 8


class End(IntEnum):
    """How an attempt ended; the values are those of the RPC messages."""

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LEASE_LAPSED = 3
    NOT_STARTED = 4
    PREEMPTED = 5


class HeldState(IntEnum):
    """State of an attempt that a worker holds."""

    RESERVED = 0
    STARTING = 1
    RUNNING = 2
    ENDED = 3


class WorkerState(IntEnum):
    """Whether a worker can be given tasks.

    ``NOT_ADOPTED``: never adopted under this epoch, so its tasks are unknown. ``LIVE``: adopted and
    responding. ``SILENT``: adopted but not responding; its tasks may continue to run.
    """

    NOT_ADOPTED = 0
    LIVE = 1
    SILENT = 2


@frozen(kw_only=True, slots=True)
class Attempt:
    """One attempt of a task, as specified by its home.

    :param task_id: unique per attempt.
    :param home: the key partition to which the attempt's end must be reported.
    """

    task_id: str
    attempt: int
    job_id: str
    home: str
    account: str
    size: Size
    kind: int
    priority: int = 1
    idempotent: bool = True
    preemptible: bool = False
    run_ms: int = 0
    payload: str | None = None
    avoid: frozenset[str] = frozenset()

    def need(self, spread: Spread) -> Need:
        """Return the requirements for choosing a worker."""
        return Need(job_id=self.job_id, size=self.size, spread=spread, avoid=self.avoid)


@define(kw_only=True, slots=True)
class Held:
    """One attempt on one worker.

    :param reserved_until: expiry of a reservation on the owner's monotonic clock.
    :param stopping: whether the worker was ordered to stop the attempt.
    :param lapses_at: set if the worker no longer reports the attempt, which may run until then.
    """

    attempt: Attempt
    worker: str
    state: HeldState
    since: float
    reserved_until: float = 0.0
    end: End | None = None
    ran_ms: int = 0
    stopping: bool = False
    lapses_at: float | None = None


@frozen(kw_only=True, slots=True)
class Reported:
    """Report of a worker about one attempt; ``end`` is ``None`` while the attempt runs."""

    attempt: Attempt
    end: End | None = None
    ran_ms: int = 0


@define(kw_only=True, slots=True)
class _Worker:
    id: str
    failure_domain: str
    state: WorkerState
    lease_until: float
    accepting: bool = True
    capacity: Size = Factory(Size)
    tasks: set[str] = field(factory=set)


@frozen(kw_only=True, slots=True)
class DedicatedWorker:
    """A worker that accepts no other tasks until a task of one job fits.

    :param until: time at which the worker is released unless the dedication is renewed.
    """

    job_id: str
    worker: str
    priority: int
    since: float
    until: float


class WorkerLedger:
    """The tasks and the free capacity of one worker partition.

    :param lease_s: duration of the lease that each renewal gives a worker's tasks.
    :param margin_s: added to leases to allow for clocks that run at different rates.
    """

    def __init__(self, *, lease_s: float, margin_s: float) -> None:
        self._lease_s = lease_s
        self._margin_s = margin_s
        self._workers: dict[str, _Worker] = {}
        self._held: dict[str, Held] = {}
        self._used: dict[str, Size] = {}
        self.placement = Placement()
        self._dedicated: DedicatedWorker | None = None

    # ------------------------------------------------------------ workers

    def add_worker(self, worker: str, *, failure_domain: str, unadopted_until: float) -> None:
        """Add a worker, which may run unknown tasks until it is adopted or ``unadopted_until``."""
        self._workers[worker] = _Worker(
            id=worker,
            failure_domain=failure_domain,
            state=WorkerState.NOT_ADOPTED,
            lease_until=unadopted_until,
        )

    def workers(self) -> tuple[str, ...]:
        """Return the workers of the partition."""
        return tuple(self._workers)

    def state(self, worker: str) -> WorkerState:
        """Return whether a worker can be given tasks."""
        return self._workers[worker].state

    def remove_worker(self, worker: str) -> bool:
        """Remove a worker without tasks and return whether it was removed."""
        entry = self._workers[worker]
        if entry.tasks:
            return False
        self.placement.drop(worker)
        del self._workers[worker]
        return True

    def limit_unknown_tasks(self, worker: str, *, until: float) -> None:
        """Record that all tasks of earlier owners on a worker end by ``until``."""
        entry = self._workers[worker]
        if entry.state == WorkerState.NOT_ADOPTED:
            entry.lease_until = min(entry.lease_until, until)

    def set_accepting(self, worker: str, accepting: bool) -> None:
        """Set whether a worker may be given new tasks while it is live."""
        entry = self._workers[worker]
        entry.accepting = accepting
        self._update_open(entry)

    def adopt(
        self, worker: str, *, capacity: Size, reported: Sequence[Reported], now: float
    ) -> list[Held]:
        """Take over a worker together with the attempts that it reports.

        An attempt that was being started and is not reported was not started and never will be,
        because the worker refuses all requests sent before this reply. A running attempt that is
        not reported counts as running until its lease expires, because only the worker's record
        of it may be lost.

        :returns: the attempts that ended, which must be reported to their homes.
        """
        entry = self._workers[worker]
        entry.capacity = capacity
        missing = self._find_unstarted(entry, reported)
        # Assigned, not raised: a lease granted by an earlier owner has expired by then as well.
        entry.lease_until = now + self._lease_s + self._margin_s
        self.placement.put(worker, capacity=capacity, failure_domain=entry.failure_domain)
        for task_id in entry.tasks:
            held = self._held[task_id]
            if held.state != HeldState.ENDED:
                self.placement.take_running(worker, held.attempt.job_id, held.attempt.size)
        for report in reported:
            self._apply_report(entry, report, now)
        entry.state = WorkerState.LIVE
        self._update_open(entry)
        ended = [self.end(task_id, End.NOT_STARTED) for task_id in missing]
        ended += [
            self.end(r.attempt.task_id, r.end, r.ran_ms) for r in reported if r.end is not None
        ]
        return [held for held in ended if held is not None]

    def extend(self, worker: str, *, now: float) -> None:
        """Extend the lease of a worker from a reply that was just received.

        A request starts its lease at the reply that it refers to. No request sent before this
        reply, however late it arrives, can therefore extend a task beyond the time recorded here.
        """
        entry = self._workers[worker]
        entry.lease_until = max(entry.lease_until, now + self._lease_s + self._margin_s)

    def mark_responding(self, worker: str) -> None:
        """Record that an adopted worker responds again."""
        entry = self._workers[worker]
        if entry.state == WorkerState.SILENT:
            entry.state = WorkerState.LIVE
            self._update_open(entry)

    def mark_silent(self, worker: str) -> None:
        """Assign no tasks to a worker until it responds."""
        entry = self._workers[worker]
        if entry.state == WorkerState.LIVE:
            entry.state = WorkerState.SILENT
            self._update_open(entry)

    def lapse(self, now: float) -> list[Held]:
        """End the attempts on workers whose lease must have expired by ``now``.

        :returns: the attempts that ended.
        """
        ended: list[Held] = []
        for entry in self._workers.values():
            expired = entry.state != WorkerState.LIVE and entry.lease_until <= now
            for task_id in tuple(entry.tasks):
                lapses_at = self._held[task_id].lapses_at
                if not expired and (lapses_at is None or lapses_at > now):
                    continue
                held = self.end(task_id, End.LEASE_LAPSED)
                if held is not None:
                    ended.append(held)
        return ended

    def adopted(self) -> list[str]:
        """Return the adopted workers; they run no attempt that is missing in this ledger."""
        workers = self._workers.values()
        return [entry.id for entry in workers if entry.state != WorkerState.NOT_ADOPTED]

    def never_adopted(self) -> list[str]:
        """Return the workers that were never adopted, also if their earlier tasks have ended."""
        workers = self._workers.values()
        return [entry.id for entry in workers if entry.state == WorkerState.NOT_ADOPTED]

    def with_unknown_tasks(self, now: float) -> list[str]:
        """Return the workers that may run attempts that are missing in this ledger."""
        return [
            entry.id
            for entry in self._workers.values()
            if entry.state == WorkerState.NOT_ADOPTED and entry.lease_until > now
        ]

    # ------------------------------------------------------------ attempts

    def held(self, task_id: str) -> Held | None:
        """Return an attempt in the ledger, which may have ended."""
        return self._held.get(task_id)

    def all_held(self) -> Iterable[Held]:
        """Return all attempts in the ledger, including ended ones."""
        return self._held.values()

    def on_worker(self, worker: str) -> list[Held]:
        """Return the attempts of one worker."""
        return [self._held[task_id] for task_id in self._workers[worker].tasks]

    def place(
        self, attempt: Attempt, *, spread: Spread, now: float, reserved_until: float = 0.0
    ) -> Held | None:
        """Choose a worker and allocate its capacity to a task, to start it or as a reservation.

        :returns: ``None`` if no worker has enough free capacity.
        """
        worker = self._dedicated_for(attempt) or self.placement.choose(attempt.need(spread))
        if worker is None:
            return None
        if not self.placement.take(worker, attempt.job_id, attempt.size):
            return None
        state = HeldState.RESERVED if reserved_until else HeldState.STARTING
        held = Held(
            attempt=attempt, worker=worker, state=state, since=now, reserved_until=reserved_until
        )
        self._add(held)
        return held

    def dedicate_worker(self, attempt: Attempt, *, waited_s: float, now: float) -> bool:
        """Dedicate a worker to a task that has waited long; return whether one is dedicated.

        In a full rack, small tasks take all capacity that becomes free, and a large task would
        starve. One worker at a time accepts no other tasks until the large task fits; the other
        workers are unaffected.
        """
        self._expire_dedicated(now)
        dedicated, since = self._dedicated, now - waited_s
        job_id = attempt.job_id
        if dedicated is not None and dedicated.job_id != job_id:
            if (dedicated.priority, dedicated.since) <= (attempt.priority, since):
                return False
            self._release_dedicated()
            dedicated = None
        worker = self._closest_fit(attempt) if dedicated is None else dedicated.worker
        if worker is None:
            return False
        self._dedicated = DedicatedWorker(
            job_id=job_id,
            worker=worker,
            priority=attempt.priority,
            since=since,
            until=now + DEDICATED_WORKER_TTL_S,
        )
        self._update_open(self._workers[worker])
        return True

    def preempt(self, attempt: Attempt, *, now: float) -> list[Held]:
        """Choose tasks to checkpoint so that an urgent task fits, and dedicate their worker to it.

        Only preemptible tasks of a less urgent class are chosen, on the worker where the fewest
        must be preempted. The most recently started tasks of the least urgent class are chosen
        first, and at most ``MAX_PREEMPTED_PER_ACCOUNT`` per account at a time. Tasks that are
        already being stopped count as ended, so that a repeated call stops no further tasks.

        :returns: the tasks to checkpoint; empty if preemption cannot free enough capacity.
        """
        best: tuple[int, str, list[Held]] | None = None
        for entry in self._workers.values():
            usable = entry.accepting and entry.state == WorkerState.LIVE
            dedicated_to_other = (
                self._dedicated is not None
                and self._dedicated.worker == entry.id
                and self._dedicated.job_id != attempt.job_id
            )
            if not usable or dedicated_to_other or entry.id in attempt.avoid:
                continue
            victims = self._find_victims(entry, attempt)
            if victims is not None and (best is None or len(victims) < best[0]):
                best = (len(victims), entry.id, victims)
        if best is None:
            return []
        self._expire_dedicated(now)
        if self._dedicated is None or self._dedicated.job_id != attempt.job_id:
            self._release_dedicated()
            self._dedicated = DedicatedWorker(
                job_id=attempt.job_id,
                worker=best[1],
                priority=attempt.priority,
                since=now,
                until=now + DEDICATED_WORKER_TTL_S,
            )
            self._update_open(self._workers[best[1]])
        return best[2]

    def _find_victims(self, entry: _Worker, attempt: Attempt) -> list[Held] | None:
        """Return the tasks to preempt on a worker, or ``None`` if that frees too little."""
        free_size = self.placement.free(entry.id)
        stopping: Counter[str] = Counter()
        candidates = []
        for held in self.on_worker(entry.id):
            if held.state != HeldState.RUNNING:
                continue
            if held.stopping:
                free_size = free_size + held.attempt.size
                stopping[held.attempt.account] += 1
            elif _is_preemptible_by(held.attempt, attempt):
                candidates.append(held)
        candidates.sort(key=lambda held: (-held.attempt.priority, -held.since))
        victims: list[Held] = []
        for held in candidates:
            if attempt.size.fits(free_size):
                break
            if stopping[held.attempt.account] >= MAX_PREEMPTED_PER_ACCOUNT:
                continue
            stopping[held.attempt.account] += 1
            free_size = free_size + held.attempt.size
            victims.append(held)
        return victims if attempt.size.fits(free_size) else None

    def _closest_fit(self, attempt: Attempt) -> str | None:
        """Return the open worker with sufficient capacity that lacks the least free capacity."""
        size = attempt.size
        best: str | None = None
        smallest_shortage = float("inf")
        for entry in self._workers.values():
            usable = self.placement.is_open(entry.id) and entry.id not in attempt.avoid
            if not usable or not size.fits(entry.capacity):
                continue
            free = self.placement.free(entry.id)
            shortage = max(
                (size.millicores - free.millicores) / max(1, entry.capacity.millicores),
                (size.memory_bytes - free.memory_bytes) / max(1, entry.capacity.memory_bytes),
                (size.accelerators - free.accelerators) / max(1, entry.capacity.accelerators),
            )
            if shortage < smallest_shortage:
                best, smallest_shortage = entry.id, shortage
        return best

    def _dedicated_for(self, attempt: Attempt) -> str | None:
        """Release and return the worker dedicated to this task, if the task fits there now."""
        dedicated = self._dedicated
        if dedicated is None or dedicated.job_id != attempt.job_id:
            return None
        entry = self._workers.get(dedicated.worker)
        if entry is None or not entry.accepting or entry.state != WorkerState.LIVE:
            return None
        if not attempt.size.fits(self.placement.free(dedicated.worker)):
            return None
        self._release_dedicated()
        return dedicated.worker

    def _expire_dedicated(self, now: float) -> None:
        if self._dedicated is not None and self._dedicated.until <= now:
            self._release_dedicated()

    def _release_dedicated(self) -> None:
        dedicated, self._dedicated = self._dedicated, None
        if dedicated is not None and dedicated.worker in self._workers:
            self._update_open(self._workers[dedicated.worker])

    def commit(self, task_id: str) -> Held | None:
        """Turn a reservation into a start; return ``None`` if the reservation no longer exists."""
        held = self._held.get(task_id)
        if held is None or held.state != HeldState.RESERVED:
            return None
        held.state = HeldState.STARTING
        held.reserved_until = 0.0
        return held

    def release(self, task_id: str) -> bool:
        """Release a reservation, or an attempt that is known not to have started."""
        held = self._held.get(task_id)
        if held is None or held.state not in (HeldState.RESERVED, HeldState.STARTING):
            return False
        self._release_capacity(held)
        self._remove(held)
        return True

    def expire(self, now: float) -> int:
        """Release expired reservations and return their number."""
        self._expire_dedicated(now)
        expired = [
            task_id
            for task_id, held in self._held.items()
            if held.state == HeldState.RESERVED and held.reserved_until <= now
        ]
        return sum(self.release(task_id) for task_id in expired)

    def started(self, task_id: str) -> None:
        """Record that the worker reported an attempt as running."""
        held = self._held.get(task_id)
        if held is not None and held.state == HeldState.STARTING:
            held.state = HeldState.RUNNING

    def end(self, task_id: str, end: End, ran_ms: int = 0) -> Held | None:
        """Record the end of an attempt and free its capacity; it remains until :meth:`forget`.

        :returns: the attempt, or ``None`` if it is not in the ledger or had already ended.
        """
        held = self._held.get(task_id)
        if held is None or held.state in (HeldState.ENDED, HeldState.RESERVED):
            return None
        self._release_capacity(held)
        held.state = HeldState.ENDED
        held.end = end
        held.ran_ms = ran_ms
        return held

    def forget(self, task_id: str) -> None:
        """Remove an ended attempt whose home has recorded its end."""
        held = self._held.get(task_id)
        if held is not None and held.state == HeldState.ENDED:
            self._remove(held)

    # ------------------------------------------------------------ totals

    def total(self) -> Size:
        """Return the total known capacity."""
        return sum((entry.capacity for entry in self._workers.values()), Size())

    def free(self) -> Size:
        """Return the total free capacity of the workers that accept tasks."""
        rooms = (
            self.placement.free(worker)
            for worker in self._workers
            if self.placement.is_open(worker)
        )
        return sum(rooms, Size())

    def largest_worker(self) -> Size:
        """Return the largest known capacity of any worker, per dimension."""
        sizes = [entry.capacity for entry in self._workers.values()]
        return Size(
            millicores=max((size.millicores for size in sizes), default=0),
            memory_bytes=max((size.memory_bytes for size in sizes), default=0),
            accelerators=max((size.accelerators for size in sizes), default=0),
        )

    def usage(self) -> dict[str, Size]:
        """Return the total declared size of the attempts per client account."""
        return dict(self._used)

    # ------------------------------------------------------------ internal

    def _find_unstarted(self, entry: _Worker, reported: Sequence[Reported]) -> list[str]:
        """Return the attempts that never started; set ``lapses_at`` of unreported running ones."""
        reported_ids = {report.attempt.task_id for report in reported}
        missing = []
        for task_id in entry.tasks - reported_ids:
            held = self._held[task_id]
            if held.state == HeldState.STARTING:
                missing.append(task_id)
            elif held.state == HeldState.RUNNING and held.lapses_at is None:
                held.lapses_at = entry.lease_until
        return missing

    def _apply_report(self, entry: _Worker, report: Reported, now: float) -> None:
        held = self._held.get(report.attempt.task_id)
        if held is not None:
            if held.state == HeldState.STARTING:
                held.state = HeldState.RUNNING
            return
        held = Held(attempt=report.attempt, worker=entry.id, state=HeldState.RUNNING, since=now)
        self.placement.take_running(entry.id, report.attempt.job_id, report.attempt.size)
        self._add(held)

    def _add(self, held: Held) -> None:
        attempt = held.attempt
        self._held[attempt.task_id] = held
        self._workers[held.worker].tasks.add(attempt.task_id)
        self._used[attempt.account] = self._used.get(attempt.account, Size()) + attempt.size

    def _release_capacity(self, held: Held) -> None:
        attempt = held.attempt
        self.placement.give_back(held.worker, attempt.job_id, attempt.size)
        left = self._used[attempt.account] - attempt.size
        if left == Size():
            del self._used[attempt.account]
        else:
            self._used[attempt.account] = left

    def _remove(self, held: Held) -> None:
        task_id = held.attempt.task_id
        del self._held[task_id]
        self._workers[held.worker].tasks.discard(task_id)

    def _update_open(self, entry: _Worker) -> None:
        if entry.state != WorkerState.NOT_ADOPTED:
            dedicated = self._dedicated is not None and self._dedicated.worker == entry.id
            is_open = entry.accepting and entry.state == WorkerState.LIVE and not dedicated
            self.placement.set_open(entry.id, is_open)


def _is_preemptible_by(held: Attempt, urgent: Attempt) -> bool:
    """Return whether a task may be preempted; a non-idempotent task could not be resumed."""
    return held.preemptible and held.idempotent and held.priority > urgent.priority
