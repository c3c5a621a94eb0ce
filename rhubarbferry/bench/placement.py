"""Experiment ``placement``: compare the placement index with first fit and random placement.

speed
    Fill the cell; then, in each step, end a batch of tasks and place as many new ones. Only
    choosing a worker and reserving its capacity are timed. A third of the tasks belong to
    services, which are placed with ``Spread.APART``.
packing
    Place a fixed set of batch tasks, larger than the capacity of the cell, in arrival order,
    sorted by size within each batch of 256. A full cell cannot use more than all of its scarcest
    dimension, so the result is the fraction of that dimension in use when no remaining task
    fits.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from attrs import Factory, define, evolve

from rhubarbferry.bench.baselines import LinearScan
from rhubarbferry.bench.profiles import GIB, Profile, Worker, make_workers
from rhubarbferry.bench.statistics import LatencyHistogram
from rhubarbferry.bench.task_work import task_need
from rhubarbferry.core.cell import Size
from rhubarbferry.core.placement import Need, Placement

BATCH_TASKS = 32
PACKING_BATCH_TASKS = 256
SMALL_CELL_WORKERS = 24
OFFERED_TASKS_PER_WORKER = 40
BYTES_PER_MILLICORE = 2 * GIB // 1000

Policy = Placement | LinearScan
PolicyFactory = Callable[[Sequence[Worker], random.Random], Policy]


def make_index(workers: Sequence[Worker], rng: random.Random) -> Placement:
    """Return the placement index of the decision core."""
    index = Placement()
    for worker in workers:
        index.put(worker.id, capacity=worker.capacity, failure_domain=worker.failure_domain)
    return index


POLICIES: Mapping[str, PolicyFactory] = {
    "core": make_index,
    "first_fit": lambda workers, rng: LinearScan(workers),
    "random": lambda workers, rng: LinearScan(workers, rng),
}


@define(kw_only=True)
class Speed:
    """Placement times of one run, per batch and per task."""

    placed: int = 0
    tried: int = 0
    seconds: float = 0.0
    batches: LatencyHistogram = Factory(LatencyHistogram)
    decisions: LatencyHistogram = Factory(LatencyHistogram)

    def statistics(self) -> dict[str, Any]:
        """Return the statistics; all but the last are wall-clock times."""
        return {
            "wall_placements_per_s": round(self.placed / self.seconds),
            "wall_tries_per_s": round(self.tried / self.seconds),
            "wall_us_per_try": round(1e6 * self.seconds / self.tried, 1),
            "wall_batch": self.batches.statistics(),
            "wall_decision": self.decisions.statistics(),
            "placed_of_tried": round(self.placed / self.tried, 4),
        }


@define(kw_only=True)
class Churn:
    """A cell that is kept full while tasks end and new ones arrive."""

    policy: Policy
    workers: int
    rng: random.Random
    running: list[tuple[str, Need]] = Factory(list)
    speed: Speed = Factory(Speed)
    _number: int = 0

    def fill(self) -> None:
        """Place tasks until the cell is approximately full."""
        wanted = self.workers * 10 + self.workers // 2
        while len(self.running) < wanted and self._number < 3 * wanted:
            need = self._next()
            worker = self.policy.choose(need)
            if worker is not None and self.policy.take(worker, need.job_id, need.size):
                self.running.append((worker, need))

    def step(self) -> None:
        """End a batch of random tasks and place another batch."""
        for _ in range(min(BATCH_TASKS, len(self.running))):
            at = self.rng.randrange(len(self.running))
            self.running[at], self.running[-1] = self.running[-1], self.running[at]
            worker, need = self.running.pop()
            self.policy.give_back(worker, need.job_id, need.size)
        self._place([self._next() for _ in range(BATCH_TASKS)])

    def _place(self, needs: Sequence[Need]) -> None:
        speed = self.speed
        started_at = last = time.perf_counter()
        for need in needs:
            found = self.policy.choose(need)
            if found is not None and self.policy.take(found, need.job_id, need.size):
                self.running.append((found, need))
                speed.placed += 1
            now = time.perf_counter()
            speed.decisions.add(now - last)
            last = now
        speed.batches.add(last - started_at)
        speed.seconds += last - started_at
        speed.tried += len(needs)

    def _next(self) -> Need:
        self._number += 1
        return task_need(self.rng, self._number, services=True)


def measure_speed(policy: Policy, *, workers: int, seed: int, steps: int) -> Speed:
    """Measure the placement times of ``steps`` batches."""
    churn = Churn(policy=policy, workers=workers, rng=random.Random(seed))
    churn.fill()
    for _ in range(steps):
        churn.step()
    return churn.speed


def measure_packing(policy: Policy, workers: Sequence[Worker], seed: int) -> dict[str, float]:
    """Return the fraction of each resource dimension in use on a full cell."""
    rng = random.Random(seed)
    count = len(workers) * OFFERED_TASKS_PER_WORKER
    needs = [task_need(rng, number, services=False) for number in range(count)]
    total = sum((worker.capacity for worker in workers), Size())
    used = Size()
    for at in range(0, count, PACKING_BATCH_TASKS):
        for need in sorted(needs[at : at + PACKING_BATCH_TASKS], key=_largest_first):
            worker = policy.choose(need)
            if worker is not None and policy.take(worker, need.job_id, need.size):
                used = used + need.size
    processors = used.millicores / total.millicores
    memory = used.memory_bytes / total.memory_bytes
    return {
        "processors": round(processors, 4),
        "memory": round(memory, 4),
        "accelerators": round(used.accelerators / max(1, total.accelerators), 4),
        "of_bound": round(max(processors, memory), 4),
    }


def _largest_first(need: Need) -> tuple[int, int]:
    size = need.size
    return (-size.accelerators, -max(size.millicores, size.memory_bytes // BYTES_PER_MILLICORE))


def experiment(profile: Profile, *, seed: int, steps: int) -> dict[str, Any]:
    """Run all policies on the cell of the profile and on one of 24 workers."""
    found: dict[str, Any] = {"steps": steps, "batch": BATCH_TASKS}
    for count in sorted({SMALL_CELL_WORKERS, profile.workers}):
        workers = make_workers(_scale_down(profile, count))
        found[f"workers_{count}"] = {
            name: {
                "speed": measure_speed(
                    factory(workers, random.Random(seed + 1)), workers=count, seed=seed, steps=steps
                ).statistics(),
                "packing": measure_packing(
                    factory(workers, random.Random(seed + 1)), workers, seed
                ),
            }
            for name, factory in POLICIES.items()
        }
    small = found[f"workers_{SMALL_CELL_WORKERS}"]["core"]["speed"]["wall_us_per_try"]
    large = found[f"workers_{profile.workers}"]["core"]["speed"]["wall_us_per_try"]
    found["wall_cost_over_small_cell"] = round(large / small, 2)
    return found


def _scale_down(profile: Profile, workers: int) -> Profile:
    """Return a profile with fewer workers and proportionally fewer accelerators."""
    accelerators = round(profile.accelerators * workers / profile.workers)
    return evolve(profile, workers=workers, accelerators=accelerators)
