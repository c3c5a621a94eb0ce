"""The end of a task that the owner has read and not yet recorded, when its runner is cut off."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from standins_2.deployment import CouldNotRun, Deployment, main
from standins_2.record import Record

JOB = "00000000000000c3"
# An answer of the store is lost at most this often, and such a write is carried out this much later
# (1 to 6 s).
LOST_ANSWERS = 2
LATE_S = 6.0
CUT_S = 4.5


async def case(record: Record, trouble: bool) -> list[str]:
    async with Deployment(record, machines=3) as cell:
        cell.configure()
        cell.add_runner("near", cores=8, labels=["a", "r1-1"])
        far = cell.add_runner("far", cores=2, labels=["a", "r2-1"], zone="z2", rtt_s=0.04)
        await cell.start()

        heard = asyncio.Event()
        listed = asyncio.Event()
        lost = 0

        def lose(body: dict[str, Any]) -> float | None:
            nonlocal lost
            if f"ended/{JOB}" not in [row["key"] for row in body.get("write", [])]:
                return None
            heard.set()
            lost += 1
            return LATE_S if lost <= LOST_ANSWERS else None

        def seen(body: dict[str, Any], status: int) -> None:
            keys = [row["key"] for row in body.get("write", [])]
            if heard.is_set() and status == 200 and "roster" in keys:
                record.say("roster-written", value=cell.store.value("roster"))
                listed.set()

        if trouble:
            cell.store.lose = lose
            cell.store.seen = seen
        step = {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 1000}
        await cell.submit(JOB, 1000, step)
        if trouble:
            await wait(heard, 8.0, "the owner does not record the end of the task")
            far.cut = True
            cut_at = record.now()
            record.say("cut-begins", runner=far.id)
            await wait(listed, 3.5, "the owner does not list the runner as cut off")
            await asyncio.sleep(0.02)
            await cell.kill(cell.owner())
            await asyncio.sleep(max(0.0, cut_at + CUT_S - record.now()))
            far.cut = False
            record.say("cut-ends", runner=far.id)
        await asyncio.sleep(10.0)
        record.say("state-at-the-end", job=JOB, state=await cell.state(JOB))
        return cell.twice()


async def wait(event: asyncio.Event, within_s: float, what: str) -> None:
    try:
        await asyncio.wait_for(event.wait(), within_s)
    except TimeoutError:
        raise CouldNotRun(what) from None


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).parent))
