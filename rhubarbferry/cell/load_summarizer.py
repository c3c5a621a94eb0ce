"""Sum up the load of the cell at an interval, as its owner."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator

from attrs import define, field
from prometheus_client import Gauge

from rhubarbferry.cell.load_summary import encode_summary
from rhubarbferry.cell.term_context import TermContext
from rhubarbferry.dispatch.admission import LoadSummary
from rhubarbferry.dispatch.load import LoadSum, ServiceLoad, UseAverage
from rhubarbferry.rpc.gen.ttypes import KnownLoad
from rhubarbferry.rpc.gen.ttypes import LoadSummary as WireLoadSummary

ACCOUNT_CORES = Gauge(
    "rhubarbferry_account_cores",
    "Cores that an account uses, is owed and may use while its service is full",
    ["account", "service", "kind"],
)
ACCOUNT_AHEAD = Gauge(
    "rhubarbferry_account_ahead_core_seconds",
    "Unfinished work of an account while its service is full",
    ["account", "service"],
)
METRICS = (ACCOUNT_CORES, ACCOUNT_AHEAD)

# Interval between two summaries. It is a small part of the time within which a job can still end.
SUMMARY_INTERVAL_S = 0.5
# Number of jobs added up before control returns to the event loop.
JOBS_PER_TURN = 20


@define(kw_only=True, eq=False)
class LoadSummarizer:
    """Sums up the load at an interval during one term of ownership."""

    ctx: TermContext
    latest: LoadSummary | None = field(default=None, init=False)
    _average: UseAverage = field(init=False, factory=UseAverage)
    _numbers: Iterator[int] = field(init=False, factory=lambda: itertools.count(1))

    async def run(self) -> None:
        """Sum up the load until cancelled, while the settings ask for it."""
        while True:
            await asyncio.sleep(SUMMARY_INTERVAL_S)
            if self.ctx.process.admission().refuse_when_full:
                before = self.latest
                self.latest = await self._sum_up()
                self._log_changes(before, self.latest)
                self._update_metrics()
            else:
                self.latest = None

    async def _sum_up(self) -> LoadSummary | None:
        routes = self.ctx.process.routes()
        if routes is None or not routes.accounts.settings:
            return None
        dispatcher = self.ctx.dispatcher
        load = LoadSum(
            hosts=dispatcher.tracker.hosts.values(),
            now=self.ctx.now(),
            blocked=dispatcher.waiting.is_blocked,
        )
        services: tuple[ServiceLoad, ...] = ()
        if load.any_full:
            for index, job in enumerate(list(dispatcher.jobs.values())):
                if index % JOBS_PER_TURN == JOBS_PER_TURN - 1:
                    await asyncio.sleep(0)
                load.add(job)
            services = load.result(routes.accounts.settings, self._average)
        return LoadSummary(
            fence=self.ctx.tenure.fence,
            number=next(self._numbers),
            config_revision=routes.revision,
            taken_at=load.now,
            services=services,
        )

    def _log_changes(self, before: LoadSummary | None, after: LoadSummary | None) -> None:
        """Log each service that has become full or has room again."""
        old = {load.service: load for load in before.services} if before is not None else {}
        new = {load.service: load for load in after.services} if after is not None else {}
        for service in sorted(old.keys() ^ new.keys()):
            load = new.get(service) or old[service]
            self.ctx.process.log.emit(
                "service.load",
                service=service,
                cores=load.capacity.millicores / 1000,
                accounts=len(load.accounts),
                fence=self.ctx.tenure.fence,
                outcome="full" if service in new else "has room",
            )

    def newer_than(self, known: KnownLoad) -> WireLoadSummary | None:
        """Return the latest summary, encoded, if the caller does not have it yet."""
        latest = self.latest
        if latest is None or (known.fence == latest.fence and known.number == latest.number):
            return None
        return encode_summary(latest, now=self.ctx.now())

    def _update_metrics(self) -> None:
        self.clear_metrics()
        for service in self.latest.services if self.latest is not None else ():
            for load in service.accounts:
                labels = (load.account, service.service)
                ACCOUNT_CORES.labels(*labels, "used").set(load.used_cores)
                ACCOUNT_CORES.labels(*labels, "owed").set(load.owed_cores)
                ACCOUNT_CORES.labels(*labels, "usable").set(load.usable_cores)
                ahead = sum(item.in_time + item.late for item in load.ahead)
                ACCOUNT_AHEAD.labels(*labels).set(ahead)

    def clear_metrics(self) -> None:
        """Remove the metrics of the accounts."""
        for metric in METRICS:
            metric.clear()
