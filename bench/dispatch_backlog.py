"""Measure placements per second while 10,000 tasks that do not fit are waiting.

Run: python bench/dispatch_backlog.py. The load models a burst of large jobs on a full cell: freed
capacity is too small for them, and small jobs are placed ahead. Prints one JSON line.
"""

from __future__ import annotations

import json
import time

from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.job import Job
from rhubarbferry.dispatch.messages import (
    EndedTask,
    EndKind,
    HostEntry,
    HostReport,
    JobRequest,
    Queue,
    Sizes,
    Started,
    StartOrder,
    StepRequest,
)
from rhubarbferry.dispatch.takeover import Takeover

HOSTS = 24
LARGE_JOBS = 1_000
TASKS_PER_LARGE_JOB = 10
SMALL_JOBS = 5_000
LEASE_S = 6.0
QUEUE = Queue(name="queue", service="pool")


def host_entry(index: int) -> HostEntry:
    return HostEntry(
        id=f"h{index}",
        incarnation=1,
        service="pool",
        address=f"h{index}:1",
        capacity=Sizes(millicores=64_000, memory_mb=128_000),
    )


def job(id: str, count: int, millicores: int) -> Job:
    step = StepRequest(count=count, sizes=Sizes(millicores=millicores, memory_mb=10))
    return Job(
        req=JobRequest(id=id, queue="queue", payload="", steps=(step,)),
        queue=QUEUE,
        arrived_at=0.0,
        record_revision=1,
    )


class DispatchSimulation:
    """A dispatcher with simulated hosts that end each task as soon as it has started."""

    def __init__(self) -> None:
        self.now = 1.0
        takeover = Takeover(leases_expire_at=0.0)
        self.dispatcher = Dispatcher(takeover=takeover, lease_s=LEASE_S)
        self.ends = {f"h{index}": 0 for index in range(HOSTS)}
        for index in range(HOSTS):
            self.dispatcher.host_listed(host_entry(index), now=self.now)
            self.report(f"h{index}", [])

    def report(self, host: str, orders: list[StartOrder]) -> None:
        ended = []
        for order in orders:
            self.ends[host] += 1
            ended.append(
                EndedTask(
                    number=self.ends[host],
                    task=order.task,
                    attempt=order.attempt,
                    how=EndKind.DONE,
                )
            )
        report = HostReport(clock_s=self.now, incarnation=1, running=(), ended=tuple(ended))
        self.dispatcher.handle_report(host, report, sent_at=self.now, now=self.now)

    def step(self) -> int:
        """Decide once, start and end the placed tasks; return their number."""
        self.now += 0.001
        orders = self.dispatcher.decide(now=self.now, wall_s=self.now)
        starts = [order for order in orders if isinstance(order, StartOrder)]
        by_host: dict[str, list[StartOrder]] = {}
        for order in starts:
            answer = Started(clock_s=self.now)
            self.dispatcher.start_answered(
                order.host, order.task, order.attempt, answer, now=self.now
            )
            by_host.setdefault(order.host, []).append(order)
        self.now += 0.001
        for host in self.ends:
            self.report(host, by_host.get(host, []))
        return len(starts)


def measure(waiting_tasks: int) -> float:
    simulation = DispatchSimulation()
    for index in range(waiting_tasks // TASKS_PER_LARGE_JOB):
        # Larger than any host, so the tasks wait during the whole run.
        large = job(f"large{index}", TASKS_PER_LARGE_JOB, 65_000)
        simulation.dispatcher.add_job(large, now=simulation.now, wall_s=simulation.now)
    simulation.step()
    for index in range(SMALL_JOBS):
        small = job(f"small{index}", 1, 2_000)
        simulation.dispatcher.add_job(small, now=simulation.now, wall_s=simulation.now)
    placed = 0
    started_at = time.perf_counter()
    while placed < SMALL_JOBS:
        placed += simulation.step()
    return placed / (time.perf_counter() - started_at)


def main() -> None:
    waiting = LARGE_JOBS * TASKS_PER_LARGE_JOB
    statistics = {
        "placements_per_s": {str(tasks): round(measure(tasks)) for tasks in (0, waiting)},
        "hosts": HOSTS,
    }
    print(json.dumps(statistics))


if __name__ == "__main__":
    main()
