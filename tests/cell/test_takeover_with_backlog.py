"""A new owner on a small processor must stay responsive while it loads a long backlog.

It must keep answering pings and renewing its lease meanwhile. Otherwise the other members treat it
as dead, the next owner loads the same backlog, and so on endlessly.
"""

from __future__ import annotations

import asyncio
import itertools

from rhubarbferry.cell.job_watch import JOBS_PER_TURN

from .test_job_watch import accept, job_watcher

BACKLOG = 200


class IterationSampler:
    """Samples a value at each iteration of the event loop."""

    def __init__(self, sample) -> None:
        self._sample = sample
        self.samples = []

    async def run(self) -> None:
        while True:
            self.samples.append(self._sample())
            await asyncio.sleep(0)

    def largest_step(self) -> int:
        return max(after - before for before, after in itertools.pairwise(self.samples))


async def test_other_tasks_run_while_a_backlog_is_loaded(store):
    """Guard against an owner that is replaced because it does not respond while it loads."""
    for index in range(BACKLOG):
        await accept(store, f"{index:016x}")
    watcher = await job_watcher(store)
    sampler = IterationSampler(lambda: len(watcher.ctx.dispatcher.jobs))
    sampling = asyncio.create_task(sampler.run())
    await watcher.load()
    await asyncio.sleep(0)
    sampling.cancel()
    assert len(watcher.ctx.dispatcher.jobs) == BACKLOG
    assert sampler.largest_step() <= JOBS_PER_TURN
