"""Experiment ``shares``: ten minutes of saturation with jobs, compared with a FIFO queue.

One home, with its queue and fair-share state, places tasks in worker partitions of one rack each,
as the daemons do but without messages. All accounts demand more than they receive, in different
amounts and with different task sizes. Some jobs fit no worker, many jobs are cancelled at regular
intervals, and some workers become unreachable for longer than their leases.
"""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import Any

from attrs import Factory, define, field, frozen

from rhubarbferry.bench.baselines import FifoJobs
from rhubarbferry.bench.profiles import Profile, Worker, make_workers
from rhubarbferry.bench.request_work import account_names, demand_of, share_of
from rhubarbferry.bench.statistics import LatencyHistogram, share_errors
from rhubarbferry.bench.task_work import Submission, submission
from rhubarbferry.core.cell import Account, Cell, Size
from rhubarbferry.core.fairshare import FairShare, UsageDigest
from rhubarbferry.core.feasibility import Extent, refusal
from rhubarbferry.core.job_queue import JobQueue, Picked, Room
from rhubarbferry.core.jobs import Job
from rhubarbferry.core.placement import Spread
from rhubarbferry.core.worker_ledger import Attempt, End, Held, WorkerLedger

TICK_INTERVAL_S = 0.1
DIGEST_INTERVAL_S = 0.5
LEASE_S, MARGIN_S = 6.0, 1.0
HALF_LIFE_S = 600.0
RESERVE_AFTER_S = 5.0
MAX_PICKS = 200
BACKLOG_TASKS = 150
CANCEL_INTERVAL_S = 120.0
CANCEL_FRACTION = 0.3
OUTAGE_INTERVAL_S = 60.0
OUTAGE_FRACTION = 0.02
OUTAGE_DURATION_S = 20.0
WARM_UP_S = 60.0
PEAK_DURATION_S = 90.0
MAX_TASKS = 1000
REGION = "r"

Queue = JobQueue | FifoJobs


@define(kw_only=True, eq=False)
class Rack:
    """One worker partition, with the home's view of its free capacity."""

    name: str
    ledger: WorkerLedger
    workers: Sequence[Worker]
    room: Room
    needs_report: bool = True

    def report_usage(self, share: FairShare, now: float) -> None:
        """Send the partition's used and free capacity to the home."""
        self.ledger.expire(now)
        share.put_digest(self.name, UsageDigest(taken_at=now, used=self.ledger.usage()))
        free, largest = self.ledger.free(), self.ledger.placement.largest_free()
        # Sizes that did not fit are retried only after the free capacity has changed.
        unchanged = self.room.free == free and self.room.largest == largest
        self.room = Room(
            partition=self.name,
            region=REGION,
            free=free,
            largest=largest,
            largest_worker=self.ledger.largest_worker(),
            refused=self.room.refused if unchanged else frozenset(),
        )
        self.needs_report = False


def make_racks(profile: Profile) -> list[Rack]:
    """Return the worker partitions, with all workers live and empty."""
    groups: dict[str, list[Worker]] = defaultdict(list)
    for worker in make_workers(profile):
        groups[worker.rack].append(worker)
    racks = []
    for name, workers in groups.items():
        ledger = WorkerLedger(lease_s=LEASE_S, margin_s=MARGIN_S)
        for worker in workers:
            ledger.add_worker(worker.id, failure_domain=worker.failure_domain, unadopted_until=0.0)
            ledger.adopt(worker.id, capacity=worker.capacity, reported=(), now=0.0)
        room = Room(partition=name, region=REGION, free=Size(), largest=Size())
        racks.append(Rack(name=name, ledger=ledger, workers=workers, room=room))
    return racks


@frozen(kw_only=True, slots=True, order=True)
class Ending:
    """The scheduled end of an attempt."""

    at: float
    task_id: str
    rack: int


@define(kw_only=True, eq=False, slots=False)
class CellSimulation:
    """Simulation of the whole cell under one policy.

    :param queue: job queue of the decision core, or a baseline.
    :param reserves_workers: whether workers are reserved for large tasks after a long wait.
    :param rate: tasks submitted per second; with 0, each account's backlog is kept full.
    """

    profile: Profile
    queue: Queue
    seconds: float
    seed: int
    reserves_workers: bool = True
    rate: float = 0.0
    wall_picks: LatencyHistogram = Factory(LatencyHistogram)
    wall_decisions: LatencyHistogram = Factory(LatencyHistogram)
    wall_s: float = 0.0
    starts: int = 0
    counts: Counter[str] = Factory(Counter)
    held_s: dict[str, list[float]] = Factory(dict)
    free_s: list[float] = Factory(lambda: [0.0, 0.0, 0.0])
    first_start_waits: LatencyHistogram = Factory(LatencyHistogram)
    _jobs: dict[str, tuple[Job, Submission]] = field(factory=dict, init=False)
    _waiting: Counter[str] = field(factory=Counter, init=False)
    _endings: list[Ending] = field(factory=list, init=False)
    _disconnected: list[tuple[float, int, str]] = field(factory=list, init=False)
    _number: int = field(default=0, init=False)
    _submitted: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._racks = make_racks(self.profile)
        self._total = sum((rack.ledger.total() for rack in self._racks), Size())
        self._share = FairShare(half_life_s=HALF_LIFE_S)
        self._share.set_total(self._total)
        self._names = account_names(self.profile.accounts)
        for number, name in enumerate(self._names):
            self._share.set_account(name, weight=share_of(number), quota=Size())
        accounts = {name: Account(name=name) for name in self._names}
        self._cell = Cell(revision=1, regions=(REGION,), accounts=accounts)
        self._extents = [_extent(rack) for rack in self._racks]

    def run(self) -> None:
        """Run the simulation."""
        for tick in range(int(self.seconds / TICK_INTERVAL_S)):
            now = 1.0 + tick * TICK_INTERVAL_S
            self._end_until(now)
            self._inject_faults(tick, now)
            self._submit(now)
            self._place(tick, now)
            if now > WARM_UP_S:
                self._add_usage()

    # ------------------------------------------------------------ work

    def _submit(self, now: float) -> None:
        """Submit jobs at the given rate, or refill each account's backlog to its demand."""
        if self.rate:
            while self._submitted < self.rate * now:
                self._submit_one(self._rng.choice(self._names), now)
            return
        for number, name in enumerate(self._names):
            wanted = BACKLOG_TASKS * demand_of(number)
            while self._waiting[name] < wanted:
                self._submit_one(name, now)

    def _submit_one(self, account: str, now: float) -> None:
        submitted = submission(self._rng, account, self.profile)
        self.counts["jobs"] += 1
        reason = refusal(
            submitted.spec, cell=self._cell, extents=self._extents, max_tasks=MAX_TASKS
        )
        if submitted.impossible:
            self.counts["impossible"] += 1
            self.counts["impossible_accepted"] += reason is None
        if reason is not None:
            self.counts["refused"] += 1
            return
        self._number += 1
        job = Job(
            id=f"j{self._number}", spec=submitted.spec, accepted_at=now, since=now, max_attempts=3
        )
        self._jobs[job.id] = job, submitted
        self._waiting[account] += job.waiting()
        self._submitted += job.waiting()
        self.queue.put(job)

    def _place(self, tick: int, now: float) -> None:
        report_due = tick % round(DIGEST_INTERVAL_S / TICK_INTERVAL_S) == 0
        for number, rack in enumerate(self._racks):
            if not rack.needs_report and not report_due:
                continue
            rack.report_usage(self._share, now)
            started_at = time.perf_counter()
            picked = self.queue.pick(
                rack.room, share=self._share, limit=MAX_PICKS, now=now, epoch=1, home_epoch=1
            )
            held = [self._claim(rack, item, now) for item in picked]
            elapsed_s = time.perf_counter() - started_at
            self._apply_placements(number, picked, held, now)
            if picked:
                self.wall_picks.add(elapsed_s)
                self.wall_s += elapsed_s
                self.wall_decisions.add(elapsed_s / len(picked))

    def _claim(self, rack: Rack, item: Picked, now: float) -> Held | None:
        live, spec = item.job.live[item.index], item.job.spec
        attempt = Attempt(
            task_id=live.task_id,
            attempt=live.attempt,
            job_id=item.job.id,
            home="h",
            account=spec.account,
            size=spec.size,
            kind=int(spec.kind),
        )
        held = rack.ledger.place(attempt, spread=Spread.PACK, now=now)
        waited_s = now - item.job.since
        if held is None and self.reserves_workers and waited_s >= RESERVE_AFTER_S:
            kept = rack.ledger.dedicate_worker(attempt, waited_s=waited_s, now=now)
            self.counts["kept_workers"] += kept
        return held

    def _apply_placements(
        self, number: int, picked: Sequence[Picked], held: Sequence[Held | None], now: float
    ) -> None:
        rack = self._racks[number]
        for item, placed in zip(picked, held, strict=True):
            job, spec = item.job, item.job.spec
            self._share.unclaim(spec.account, spec.size)
            if placed is None:
                self.counts["no_room"] += 1
                rack.room.refused = rack.room.refused | {spec.size}
                job.never_started(item.index)
                self.queue.put(job)
                continue
            self._record_start(number, item, placed, now)
        if picked:
            used = rack.ledger.usage()
            self._share.put_digest(rack.name, UsageDigest(taken_at=now, used=used))

    def _record_start(self, number: int, item: Picked, held: Held, now: float) -> None:
        job, task_id = item.job, held.attempt.task_id
        self._racks[number].ledger.started(task_id)
        if job.first_start is None and now > WARM_UP_S:
            self.first_start_waits.add(now - job.since)
        job.started(item.index, worker=held.worker, now=now)
        self._waiting[job.spec.account] -= 1
        self.starts += 1
        run_s = self._jobs[job.id][1].run_s
        heapq.heappush(self._endings, Ending(at=now + run_s, task_id=task_id, rack=number))

    # ------------------------------------------------------------ ends

    def _end_until(self, now: float) -> None:
        while self._endings and self._endings[0].at <= now:
            ending = heapq.heappop(self._endings)
            self._end(ending.rack, ending.task_id, End.DONE, now)

    def _end(self, number: int, task_id: str, end: End, now: float) -> None:
        rack = self._racks[number]
        held = rack.ledger.held(task_id)
        if held is None:
            return
        rack.ledger.end(task_id, end)
        rack.ledger.forget(task_id)
        rack.needs_report = True
        self._record_end(held, end, now)

    def _record_end(self, held: Held, end: End, now: float) -> None:
        job, submitted = self._jobs[held.attempt.job_id]
        index = int(held.attempt.task_id.split("/")[1])
        before = job.waiting()
        job.ended(index, end, now=now)
        self._waiting[submitted.spec.account] += job.waiting() - before
        if job.waiting():
            self.queue.put(job)
        elif not job.open():
            self.queue.drop(job)
            del self._jobs[job.id]

    # ------------------------------------------------------------ faults

    def _inject_faults(self, tick: int, now: float) -> None:
        if tick and tick % round(CANCEL_INTERVAL_S / TICK_INTERVAL_S) == 0:
            self._cancel_jobs()
        if tick and tick % round(OUTAGE_INTERVAL_S / TICK_INTERVAL_S) == 0:
            self._disconnect_workers(now)
        for number, rack in enumerate(self._racks):
            # The ledger uses sets, whose iteration order differs between processes.
            lapsed = sorted(rack.ledger.lapse(now), key=lambda held: held.attempt.task_id)
            for held in lapsed:
                self.counts["lapsed"] += 1
                rack.ledger.forget(held.attempt.task_id)
                self._record_end(held, End.LEASE_LAPSED, now)
                rack.needs_report = True
            self._extend_leases(number, rack, now)

    def _extend_leases(self, number: int, rack: Rack, now: float) -> None:
        unreachable = {worker for _, at, worker in self._disconnected if at == number}
        for worker in rack.workers:
            if worker.id not in unreachable:
                rack.ledger.extend(worker.id, now=now)
        for item in [item for item in self._disconnected if item[1] == number and item[0] <= now]:
            self._disconnected.remove(item)
            worker = next(w for w in rack.workers if w.id == item[2])
            rack.ledger.adopt(worker.id, capacity=worker.capacity, reported=(), now=now)
            rack.needs_report = True

    def _disconnect_workers(self, now: float) -> None:
        for number, rack in enumerate(self._racks):
            for worker in rack.workers:
                if self._rng.random() < OUTAGE_FRACTION:
                    rack.ledger.mark_silent(worker.id)
                    self._disconnected.append((now + OUTAGE_DURATION_S, number, worker.id))
                    self.counts["silent_workers"] += 1

    def _cancel_jobs(self) -> None:
        """Cancel a fraction of the jobs of every second account; running tasks continue."""
        for job, submitted in list(self._jobs.values()):
            if (
                self._rng.random() >= CANCEL_FRACTION
                or submitted.spec.account not in self._names[::2]
            ):
                continue
            self._waiting[submitted.spec.account] -= job.waiting()
            self.queue.drop(job)
            job.cancel()
            self.counts["cancelled"] += 1
            if not job.open():
                del self._jobs[job.id]

    # ------------------------------------------------------------ sums

    def _add_usage(self) -> None:
        for rack in self._racks:
            for account, size in rack.ledger.usage().items():
                sums = self.held_s.setdefault(account, [0.0, 0.0, 0.0])
                _add(sums, size)
            _add(self.free_s, rack.ledger.free())

    def statistics(self) -> dict[str, Any]:
        """Return the statistics of a finished run."""
        totals = _dimensions(self._total)
        ticks = int(self.seconds / TICK_INTERVAL_S) - int((WARM_UP_S - 1.0) / TICK_INTERVAL_S) - 1
        dominant = {
            name: max(value / whole for value, whole in zip(sums, totals, strict=True) if whole)
            / ticks
            for name, sums in self.held_s.items()
        }
        weights = {name: share_of(number) for number, name in enumerate(self._names)}
        per_weight = sum(dominant.values()) / sum(weights.values())
        entitled = {name: per_weight * weight for name, weight in weights.items()}
        held = [sum(sums[i] for sums in self.held_s.values()) / ticks for i in range(3)]
        return {
            "starts": self.starts,
            "starts_per_s": round(self.starts / self.seconds, 1),
            "running_at_end": sum(1 for rack in self._racks for _ in rack.ledger.all_held()),
            "in_use": [round(h / t, 4) if t else 0.0 for h, t in zip(held, totals, strict=True)],
            "shares": share_errors(dominant, entitled),
            "first_start_wait": self.first_start_waits.statistics(),
            "counts": dict(sorted(self.counts.items())),
            "wall_placements_per_s": round(self.starts / self.wall_s),
            "wall_claims_per_s": round((self.starts + self.counts["no_room"]) / self.wall_s),
            "wall_batch": self.wall_picks.statistics(),
            "wall_decision": self.wall_decisions.statistics(),
        }


def _extent(rack: Rack) -> Extent:
    return Extent(
        partition=rack.name,
        region=REGION,
        total=rack.ledger.total(),
        free=rack.ledger.free(),
        largest_worker=rack.ledger.largest_worker(),
        largest_free=rack.ledger.placement.largest_free(),
    )


def _dimensions(size: Size) -> tuple[int, int, int]:
    return size.millicores, size.memory_bytes, size.accelerators


def _add(sums: list[float], size: Size) -> None:
    for index, value in enumerate(_dimensions(size)):
        sums[index] += value


def make_queue() -> JobQueue:
    """Return the job queue of the decision core."""
    return JobQueue(other_region_after_s=0.0, patience_s=RESERVE_AFTER_S)


POLICIES: Mapping[str, Any] = {"core": make_queue, "fifo": FifoJobs}


def experiment(profile: Profile, *, seed: int, seconds: float) -> dict[str, Any]:
    """Run all policies; return the statistics and the parameters."""
    found: dict[str, Any] = {
        "seconds": seconds,
        "warm_up_s": WARM_UP_S,
        "half_life_s": HALF_LIFE_S,
        "weights": [share_of(n) for n in range(profile.accounts)],
        "demands": [demand_of(n) for n in range(profile.accounts)],
    }
    for name, make in POLICIES.items():
        queue = make()
        reserves_workers = isinstance(queue, JobQueue)
        cell = CellSimulation(
            profile=profile,
            queue=queue,
            seconds=seconds,
            seed=seed,
            reserves_workers=reserves_workers,
        )
        cell.run()
        peak = CellSimulation(
            profile=profile,
            queue=make(),
            seconds=PEAK_DURATION_S,
            seed=seed,
            reserves_workers=reserves_workers,
            rate=profile.starts_per_s,
        )
        peak.run()
        found[name] = {**cell.statistics(), "peak_of_starts": peak.statistics()}
    return found
