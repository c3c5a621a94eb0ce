"""An unanswered write of the owner's list of runners, and a later change of the owner."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from standins_2.deployment import CouldNotRun, Deployment, main
from standins_2.record import Record

EARLY = "00000000000000a1"
LATER = "00000000000000b2"


async def case(record: Record, trouble: bool) -> list[str]:
    async with Deployment(record, machines=3) as cell:
        cell.configure()
        # The far runner is in another region: 20 ms one way. It is the smaller one, so tasks that
        # fit are packed there first.
        cell.add_runner("near", cores=8, labels=["a", "r1-1"])
        far = cell.add_runner("far", cores=2, labels=["a", "r2-1"], zone="z2", rtt_s=0.04)
        await cell.start()
        await cell.submit(EARLY, 300, {"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 300})
        await asyncio.sleep(2.0)
        if await cell.state(EARLY) != "complete":
            raise CouldNotRun("the first job has not ended")

        if trouble:
            await cut_off_with_an_unanswered_write(cell, far)
        await asyncio.sleep(4.0)

        step = {"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 9000}
        await cell.submit(LATER, 9000, step)
        await cell.until(
            lambda: len([run for run in cell.runs(LATER) if run.runner == "far"]) == 2,
            5,
            "the tasks of the later job run on the far runner",
        )
        await asyncio.sleep(2.0)
        if trouble:
            await cell.kill(cell.owner())
        await asyncio.sleep(12.0)
        record.say("state-at-the-end", job=LATER, state=await cell.state(LATER))
        return cell.twice()


async def cut_off_with_an_unanswered_write(cell: Deployment, far: Any) -> None:
    """Cut the far runner off; lose one answer of the store meanwhile; heal the cut."""
    lost = asyncio.Event()

    def lose(body: dict[str, Any]) -> float | None:
        if lost.is_set() or not any(row["key"] == "roster" for row in body.get("write", [])):
            return None
        lost.set()
        return 0.0

    cell.store.lose = lose
    far.cut = True
    cell.record.say("cut-begins", runner=far.id)
    try:
        async with asyncio.timeout(5.5):
            await lost.wait()
    except TimeoutError:
        raise CouldNotRun("the owner wrote nothing while the runner was cut off") from None
    await asyncio.sleep(0.1)
    far.cut = False
    cell.record.say("cut-ends", runner=far.id)


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).parent))
