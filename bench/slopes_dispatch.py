"""Measure the processor time of the dispatcher against the number of hosts.

The job rate and the number of policy service clients are proportional to the number of hosts.

Run: python bench/slopes_dispatch.py [HOSTS ...]. Simulates the fault-free day, scaled, and
sums the processor time spent in calls to the dispatcher. Prints one JSON line for each size.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from typing import Any

from attrs import evolve

from rhubarbferry.bench.day_work import FAULT_FREE_DAY
from rhubarbferry.bench.days import DaySimulation
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.messages import StartOrder

HOST_COUNTS = (24, 176, 270, 550)
ARRIVAL_S = 20.0
TIMED_METHODS = (
    "add_job",
    "handle_report",
    "start_answered",
    "handle_approvals",
    "decide",
    "reconsider_all",
    "mark_recorded",
)


class Meter:
    """Sum the processor time of wrapped calls."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self.calls = 0
        self.starts = 0

    def wrap(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*args: Any, **kwargs: Any) -> Any:
            started_at = time.process_time()
            result = call(*args, **kwargs)
            self.seconds += time.process_time() - started_at
            self.calls += 1
            if isinstance(result, list):
                self.starts += sum(isinstance(order, StartOrder) for order in result)
            return result

        return timed


def measure(hosts: int) -> dict[str, float]:
    meter = Meter()
    originals = {name: getattr(Dispatcher, name) for name in TIMED_METHODS}
    for name, call in originals.items():
        setattr(Dispatcher, name, meter.wrap(call))
    try:
        scale = hosts / FAULT_FREE_DAY.hosts
        job_kinds = tuple(
            evolve(kind, jobs_per_s=kind.jobs_per_s * scale) for kind in FAULT_FREE_DAY.job_kinds
        )
        members = round(FAULT_FREE_DAY.members * scale)
        day = evolve(
            FAULT_FREE_DAY, hosts=hosts, members=members, job_kinds=job_kinds, seconds=ARRIVAL_S
        )
        DaySimulation(day=day, seed=f"slopes {hosts}").run()
    finally:
        for name, call in originals.items():
            setattr(Dispatcher, name, call)
    return {
        "hosts": hosts,
        "starts": meter.starts,
        "starts_per_s": round(meter.starts / ARRIVAL_S, 1),
        "ms_per_start": round(1000 * meter.seconds / max(1, meter.starts), 3),
        "core_share": round(meter.seconds / ARRIVAL_S, 4),
    }


def main() -> None:
    for hosts in [int(arg) for arg in sys.argv[1:]] or HOST_COUNTS:
        print(json.dumps(measure(hosts)), flush=True)


if __name__ == "__main__":
    main()
