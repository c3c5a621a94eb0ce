"""Probe the runners of a partition for their state and pass on their reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from rhubarbferry.core.slots import Runner, RunnerReport, SlotLedger
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.runners import RunnerReports, RunnerUnreachable

MAX_CONCURRENT_PROBES = 32
FULL_PROBE_EVERY_N_ROUNDS = 5
MIN_PAUSE_S = 0.25


class RunnerProbes:
    """Probe runners concurrently, with a global limit and one probe per runner at a time.

    :param ledger: provides the runners and those whose report could free slots.
    :param on_report: callback that receives each report.
    :param probe_s: seconds between two rounds when no report is needed urgently.
    """

    def __init__(
        self,
        *,
        reports: RunnerReports,
        clock: Clock,
        ledger: SlotLedger,
        on_report: Callable[[RunnerReport], None],
        probe_s: float,
    ) -> None:
        self._ledger = ledger
        self._probe_s = probe_s
        self._wake = asyncio.Event()
        self._reports = reports
        self._clock = clock
        self._on_report = on_report
        self._in_progress: set[str] = set()
        self._limit = asyncio.Semaphore(MAX_CONCURRENT_PROBES)

    def probe_soon(self) -> None:
        """Start the next round immediately."""
        self._wake.set()

    async def run(self, reports_valid_from: Callable[[], float]) -> None:
        """Probe in rounds until cancelled.

        :param reports_valid_from: returns a time on the monotonic clock; the first report of a
            runner is accepted only if its probe was sent at this time or later.
        """
        round_number = 0
        while True:
            self._wake.clear()
            round_number += 1
            full_round = round_number % FULL_PROBE_EVERY_N_ROUNDS == 0
            runners = (
                self._ledger.runners.values() if full_round else self._ledger.runners_to_query()
            )
            await self.probe(tuple(runners))
            await self._until_next_round(reports_valid_from())

    async def _until_next_round(self, reports_valid_from: float) -> None:
        pause_s = self._probe_s
        if self._ledger.runners_to_query():
            pause_s = min(pause_s, max(MIN_PAUSE_S, reports_valid_from - self._clock.monotonic()))
        try:
            async with asyncio.timeout(pause_s):
                await self._wake.wait()
        except TimeoutError:
            pass

    async def probe(self, runners: Iterable[Runner]) -> None:
        """Probe each runner once; keep the state of runners that do not respond."""
        idle = [runner for runner in runners if runner.id not in self._in_progress]
        await asyncio.gather(*(self._probe(runner.id, runner.address) for runner in idle))

    async def _probe(self, runner_id: str, address: str) -> None:
        self._in_progress.add(runner_id)
        try:
            async with self._limit:
                # Taken before the probe is sent, as the report may describe any moment since then.
                asked_at = self._clock.monotonic()
                report = await self._reports.report(runner_id=runner_id, address=address)
        except RunnerUnreachable:
            return
        finally:
            self._in_progress.discard(runner_id)
        self._on_report(
            RunnerReport(
                runner_id=runner_id,
                asked_at=asked_at,
                running=report.running,
                finished=report.finished,
                slots=report.slots,
                leaving=report.leaving,
            )
        )
