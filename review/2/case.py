"""An entry below `servers/` from another writer, with a number that can't be read."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins.deployment import SERVICE, Deployment, job_id, run_case, trouble
from standins.record import Record

from rhubarbferry.test.store_engine import Put

RUNNERS = 6
WORK_S = 1.0
JOBS = 40
JOB_INTERVAL_S = 0.5
ENTRY_AT_S = 5.0
# `finish_s` after the last job; each job needs 1 s of one core of 192.
FINISH_S = 14.0
# Python's json.dumps writes float("inf") like this, and JSON has no such number.
ENTRY = (
    f'{{"service":"{SERVICE}","addr":"127.0.0.1:9","zone":"attiki-a","version":"v1","slots":8,'
    '"state":"ready","coldLeftMs":0,"capacity":{"cpu":Infinity,"memMb":65536,"gpu":0},'
    '"labels":["a","r1-3"],"clockMs":1,"born":1,"seq":1}'
)


async def main() -> int:
    """Run the case; return 1 if the rule was broken."""
    record = Record(Path(__file__).with_name("record.txt"))
    broken: list[str] = []
    async with Deployment(record) as cell:
        cell.configure()
        for number in range(RUNNERS):
            await cell.add_runner(
                f"i-{number:08x}", work_s=lambda task: WORK_S, rack=f"r1-{number % 3}"
            )
        await cell.start()
        started = time.monotonic()
        accepted: list[str] = []
        entered = False
        for number in range(JOBS):
            if trouble() and not entered and time.monotonic() - started >= ENTRY_AT_S:
                entered = True
                cell.store.engine.txn([], [Put(key="servers/i-0badf00d", value=ENTRY.encode())])
                record.write("entry of another writer", value=ENTRY)
            phase = {"count": 1, "cpu": 1000, "memMb": 256, "estimateMs": int(WORK_S * 1000)}
            id = job_id(number)
            if await cell.submit(id, {"spec": "slot", "phases": [phase]}, tries=2):
                accepted.append(id)
            await asyncio.sleep(JOB_INTERVAL_S)
        deadline = time.monotonic() + FINISH_S
        waiting = set(accepted)
        while waiting and time.monotonic() < deadline:
            waiting -= {id for id in sorted(waiting) if await cell.state(id) == "complete"}
            await asyncio.sleep(1.0)
        begun = {run.task for runner in cell.runners.values() for run in runner.history}
        for id in sorted(waiting):
            state = await cell.state(id)
            has_run = f"{id}.0.0.0" in begun
            broken.append(f"{id} was accepted and is not complete: {state}, begun: {has_run}")
    for line in broken:
        record.write("RULE BROKEN", what=line)
    print(f"{len(broken)} of {len(accepted)} accepted jobs are not done")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
