"""Metrics of the scheduler."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

WAIT_BUCKETS_S = (0.001, 0.005, 0.02, 0.1, 0.5, 1.0, 2.5, 5.0, 9.0, 30.0)

GRANTS = Counter("rhubarbferry_grants_total", "Slots given to requests", ["account"])
REFUSALS = Counter(
    "rhubarbferry_grant_refusals_total", "Requests refused before they ran", ["reason"]
)
WAITS = Histogram(
    "rhubarbferry_grant_wait_seconds",
    "Time that requests waited for a slot",
    ["account", "priority"],
    buckets=WAIT_BUCKETS_S,
)
RELEASES = Counter("rhubarbferry_releases_total", "Slots given back", ["end"])
SLOTS_FREED = Counter("rhubarbferry_slots_freed_total", "Slots freed without a release", ["by"])
EJECTIONS = Counter("rhubarbferry_runner_ejections_total", "Runners taken out of use")
ADOPTED_GRANTS = Counter("rhubarbferry_adopted_grants_total", "Grants of earlier owners taken over")
WAITING = Gauge("rhubarbferry_requests_waiting", "Requests that wait for a slot", ["partition"])
SLOTS_BUSY = Gauge("rhubarbferry_slots_busy", "Slots taken", ["partition"])
INTENTS = Counter(
    "rhubarbferry_intents_total", "Answers about non-idempotent requests", ["verdict"]
)
PARTITIONS = Gauge("rhubarbferry_partitions", "Partitions of this process", ["phase"])
RECOVERIES = Counter(
    "rhubarbferry_recoveries_total", "Recoveries of partitions", ["kind", "result"]
)
