"""Count the events that objectives cover and publish them as metrics of this process."""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum

from prometheus_client import REGISTRY, Counter
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector, CollectorRegistry

from rhubarbferry.core.cell import Account, Cell, Objective
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.ownership import ConfigurationView
from rhubarbferry.reports.burn import (
    EVENT_KINDS,
    Counts,
    EventKind,
    EventRing,
    Window,
    budget_left,
    burn_rate,
)

EVENTS = Counter(
    "rhubarbferry_slo_event_total",
    "Requests and jobs by how they came out for the objective",
    ["account", "work", "kind"],
)
MAX_SERIES = 512
LABELS = ["account", "template", "work"]


class WorkKind(StrEnum):
    """Kind of work that an objective covers."""

    REQUESTS = "requests"
    JOBS = "jobs"


class EventCounters:
    """Event counts of each account in one process.

    At most ``MAX_SERIES`` rings of 5.8 kB each are kept (3 MB). Beyond that the ring without events
    for the longest time is removed, so that memory stays bounded when accounts are created and
    deleted over time.
    """

    def __init__(self) -> None:
        self._rings: dict[tuple[str, WorkKind], EventRing] = {}

    def add(self, account: str, work: WorkKind, kind: EventKind, *, now: float) -> None:
        """Count one event.

        :param account: name of an account in the configuration. Names that callers choose freely
            must not be passed, since each one creates a time series.
        :param now: on the monotonic clock of the process.
        """
        ring = self._rings.get((account, work))
        if ring is None:
            if len(self._rings) >= MAX_SERIES:
                self._remove_least_recent()
            ring = self._rings[account, work] = EventRing()
        ring.add(kind, now=now)
        EVENTS.labels(account, work.value, kind.value).inc()

    def series(self) -> list[tuple[str, WorkKind]]:
        """Return the account and kind of work of each ring, sorted."""
        return sorted(self._rings)

    def counts(self, account: str, work: WorkKind, window: Window, *, now: float) -> Counts:
        """Return the counts of a window that ends at ``now``."""
        return self._rings[account, work].counts(window, now=now)

    def _remove_least_recent(self) -> None:
        account, work = min(self._rings, key=lambda key: self._rings[key].last_event_at)
        del self._rings[account, work]
        for kind in EVENT_KINDS:
            try:
                EVENTS.remove(account, work.value, kind.value)
            except KeyError:
                pass


EVENT_COUNTERS = EventCounters()


def classify_start(wait_s: float, objective: Objective) -> EventKind:
    """Return whether work that waited ``wait_s`` seconds for its start is good or late."""
    return EventKind.GOOD if 1000 * wait_s <= objective.wait_ms else EventKind.LATE


def objective_of(cell: Cell, account: str) -> Objective:
    """Return the objective of an account; the default when the account is no longer configured."""
    return cell.accounts.get(account, Account(name=account)).objective


class SloCollector(Collector):
    """Publish the windows of the event counts as gauges, computed at each scrape.

    :param cell: source of the objectives and template names.
    """

    def __init__(self, *, counters: EventCounters, cell: ConfigurationView, clock: Clock) -> None:
        self._counters = counters
        self._cell = cell
        self._clock = clock
        self._started_at = clock.monotonic()

    def describe(self) -> list[Metric]:
        """Return the metric families without samples."""
        return list(self.empty_families())

    def collect(self) -> Iterator[Metric]:
        """Return the metric families with their current samples."""
        now = self._clock.monotonic()
        events, burn, budget, covered_time = self.empty_families()
        covered_time.add_metric([], min(Window.H6.seconds, now - self._started_at))
        cell = self._cell.current()
        for account, work in self._counters.series():
            configured = cell.accounts.get(account, Account(name=account))
            labels = [account, configured.template, work.value]
            for window in Window:
                counts = self._counters.counts(account, work, window, now=now)
                for kind in EVENT_KINDS:
                    events.add_metric([*labels, window.value, kind.value], counts.of_kind(kind))
                burn.add_metric([*labels, window.value], burn_rate(counts, configured.objective))
            budget.add_metric(labels, budget_left(counts, configured.objective))
        return iter((events, burn, budget, covered_time))

    @staticmethod
    def empty_families() -> tuple[GaugeMetricFamily, ...]:
        """Return the four metric families without samples."""
        return (
            GaugeMetricFamily(
                "rhubarbferry_slo_events",
                "Events of this process in a window, by how they came out",
                labels=[*LABELS, "window", "kind"],
            ),
            GaugeMetricFamily(
                "rhubarbferry_slo_burn_rate",
                "Burn of the objective in a window, of the events of this process",
                labels=[*LABELS, "window"],
            ),
            GaugeMetricFamily(
                "rhubarbferry_slo_budget_left",
                "Part of the allowance of the last 6 h that is left, of this process",
                labels=LABELS,
            ),
            GaugeMetricFamily(
                "rhubarbferry_slo_covered_seconds", "How far back this process has counted"
            ),
        )


def register_slo_collector(
    *, cell: ConfigurationView, clock: Clock, registry: CollectorRegistry = REGISTRY
) -> None:
    """Register the collector of this process; call it once for each process."""
    registry.register(SloCollector(counters=EVENT_COUNTERS, cell=cell, clock=clock))
