"""A new owner on a small processor inherits a long backlog, and clients keep sending.

While it reads the backlog it must go on answering pings and extending its lease. Otherwise the
other processes take it for dead, the next one reads the same backlog, and so on without end.
"""

from __future__ import annotations

import asyncio
import itertools

from rhubarbferry.cell.inbox import JOBS_PER_TURN

from .test_inbox import accept, inbox

BACKLOG = 200


class TurnCounter:
    """Samples a number at each turn of the event loop."""

    def __init__(self, sample) -> None:
        self._sample = sample
        self.samples = []

    async def run(self) -> None:
        while True:
            self.samples.append(self._sample())
            await asyncio.sleep(0)

    def largest_step(self) -> int:
        return max(after - before for before, after in itertools.pairwise(self.samples))


async def test_other_work_gets_its_turn_while_a_backlog_is_loaded(store):
    """Guards against an owner that is replaced while it loads, for its silence."""
    for index in range(BACKLOG):
        await accept(store, f"{index:016x}")
    found = await inbox(store)
    counter = TurnCounter(lambda: len(found.ctx.dispatcher.jobs))
    counting = asyncio.create_task(counter.run())
    await found.load()
    await asyncio.sleep(0)
    counting.cancel()
    assert len(found.ctx.dispatcher.jobs) == BACKLOG
    assert counter.largest_step() <= JOBS_PER_TURN
