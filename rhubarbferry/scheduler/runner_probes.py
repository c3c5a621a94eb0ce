"""Probe the runners of a partition for their state and pass on their reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from rhubarbferry.core.slots import Runner, RunnerWord, SlotLedger
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.runners import RunnerReports, RunnerUnreachable

AT_ONCE = 32
IDLE_TURNS = 5
LEAST_PAUSE_S = 0.25


class RunnerProbes:
    """Probe runners concurrently, with a global limit and one probe per runner at a time.

    :param ledger: provides the runners and those whose report could free slots.
    :param hear: callback that receives each report.
    :param probe_s: seconds between two rounds when no report is needed urgently.
    """

    def __init__(
        self,
        *,
        reports: RunnerReports,
        clock: Clock,
        ledger: SlotLedger,
        hear: Callable[[RunnerWord], None],
        probe_s: float,
    ) -> None:
        self._ledger = ledger
        self._probe_s = probe_s
        self._soon = asyncio.Event()
        self._reports = reports
        self._clock = clock
        self._hear = hear
        self._asking: set[str] = set()
        self._room = asyncio.Semaphore(AT_ONCE)

    def soon(self) -> None:
        """Start the next round immediately."""
        self._soon.set()

    async def run(self, word_from: Callable[[], float]) -> None:
        """Probe in rounds until cancelled.

        :param word_from: returns the earliest time, on the monotonic clock, at which a probe must
            be sent for the first report of a runner to be accepted.
        """
        turn = 0
        while True:
            self._soon.clear()
            turn += 1
            everyone = turn % IDLE_TURNS == 0
            runners = self._ledger.runners.values() if everyone else self._ledger.to_ask()
            await self.ask(tuple(runners))
            await self._until_next_round(word_from())

    async def _until_next_round(self, word_from: float) -> None:
        pause = self._probe_s
        if self._ledger.to_ask():
            pause = min(pause, max(LEAST_PAUSE_S, word_from - self._clock.monotonic()))
        try:
            async with asyncio.timeout(pause):
                await self._soon.wait()
        except TimeoutError:
            pass

    async def ask(self, runners: Iterable[Runner]) -> None:
        """Probe each runner once; keep the state of runners that do not respond."""
        idle = [runner for runner in runners if runner.id not in self._asking]
        await asyncio.gather(*(self._ask(runner.id, runner.address) for runner in idle))

    async def _ask(self, runner_id: str, address: str) -> None:
        self._asking.add(runner_id)
        try:
            async with self._room:
                # Taken before the probe is sent, as the report may describe any moment since then.
                asked_at = self._clock.monotonic()
                report = await self._reports.report(runner_id=runner_id, address=address)
        except RunnerUnreachable:
            return
        finally:
            self._asking.discard(runner_id)
        self._hear(
            RunnerWord(
                runner_id=runner_id,
                asked_at=asked_at,
                running=report.running,
                finished=report.finished,
                slots=report.slots,
                leaving=report.leaving,
            )
        )
