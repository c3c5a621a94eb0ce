"""Scheduled jobs whose occurrences overlap, while the owner's process is restarted as planned."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
import zlib
from pathlib import Path

from standins.deployment import Deployment, job_id, run_case, trouble
from standins.record import Record

JOBS = 24
TIMES = 6
INTERVAL_S = 2.0
FIRST_DUE_IN_S = 2.0
TASKS = 1
ESTIMATE_S = 4.0
# The site's kind "route-refill-plan": a task works 4 s on average and 10 s at most.
SHORTEST_S = 1.0
LONGEST_S = 9.0
STOP_AT_S = 10.25
# The last occurrence is due 12 s after the submission. Its tasks need 9 s at most, and there is
# capacity for all tasks at once.
DONE_WITHIN_S = 75.0
# How long the missing tasks are waited for once every job is shown as complete.
AFTERWARDS_S = 15.0
RUNNERS = 6


def work_s(task: str) -> float:
    """Return the duration of a task: the same in each play, between the two limits."""
    share = zlib.crc32(task.encode()) % 1000 / 1000
    return SHORTEST_S + share * (LONGEST_S - SHORTEST_S)


def tasks_of(id: str) -> set[str]:
    """Return the names of all tasks of a job."""
    return {f"{id}.{k}.0.{index}" for k in range(TIMES) for index in range(TASKS)}


async def main() -> int:
    """Run the case; return 1 if the rule was broken."""
    record = Record(Path(__file__).with_name("record.txt"))
    broken: list[str] = []
    async with Deployment(record) as cell:
        cell.configure()
        for number in range(RUNNERS):
            await cell.add_runner(f"i-{number:08x}", work_s=work_s, rack=f"r1-{number % 3}")
        await cell.start()
        started = time.monotonic()
        ids = [job_id(number) for number in range(JOBS)]
        due_ms = int((time.time() + FIRST_DUE_IN_S) * 1000)
        for id in ids:
            job = {
                "spec": "refill",
                "phases": [
                    {
                        "count": TASKS,
                        "cpu": 500,
                        "memMb": 256,
                        "estimateMs": int(ESTIMATE_S * 1000),
                    }
                ],
                "times": TIMES,
                "startAtMs": due_ms,
                "intervalMs": int(INTERVAL_S * 1000),
            }
            if not await cell.submit(id, job):
                print("a job was not accepted")
                return 2
        await asyncio.sleep(max(0.0, started + STOP_AT_S - time.monotonic()))
        if trouble():
            owner = cell.owner()
            if owner is None:
                return 2
            cell.kill(owner, signal.SIGTERM)

        def done() -> set[str]:
            return {
                run.task
                for runner in cell.runners.values()
                for run in runner.history
                if run.how == "done"
            }

        complete: set[str] = set()
        early: dict[str, list[str]] = {}
        while time.monotonic() < started + DONE_WITHIN_S and len(complete) < JOBS:
            for id in ids:
                if id in complete or await cell.state(id) != "complete":
                    continue
                complete.add(id)
                missing = sorted(tasks_of(id) - done())
                if missing:
                    early[id] = missing
                    record.write("RULE BROKEN", job=id, shown="complete", not_done=missing)
            await asyncio.sleep(0.5)
        await asyncio.sleep(AFTERWARDS_S)
        for id, missing in early.items():
            never = sorted(set(missing) - done())
            broken.append(
                f"{id} is shown as complete; not done then: {missing}; "
                f"not done {AFTERWARDS_S:.0f} s after the last job's end: {never}"
            )
        for id in ids:
            if id not in complete:
                state = await cell.state(id)
                missing = sorted(tasks_of(id) - done())
                broken.append(f"{id} is accepted and not complete at the end: {state}, {missing}")
    for line in broken:
        record.write("RULE BROKEN", what=line)
        print(line)
    print(f"{len(broken)} of {JOBS} jobs break the rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
