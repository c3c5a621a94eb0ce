"""Measure the size and planning time of the ownership table, in process."""

from __future__ import annotations

import time

from bench.probe import Point, listed, slope
from rhubarbferry.coordination.records import TableRecord, encode
from rhubarbferry.core.guards import GuardSet
from rhubarbferry.core.ownership import Table, plan
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.ports.ownership import Guard, Member, Role

REGIONS = ("region-1", "region-2")
FAILURE_DOMAINS = 7
WORKERS_PER_RACK = 8
SERVICES = 2
KEYS_PER_REGION = 8
SCHEDULERS = 9
WORKER_COUNTS = (24, 138, 275, 550, 1100)
ROUNDS = 20


def make_members(role: Role, count: int) -> list[Member]:
    """Return members spread over regions and failure domains."""
    return [
        Member(
            id=f"{role.value}-{number}-0a1b2c3d",
            role=role,
            address=f"10.0.{number}.12:40123",
            http_address=f"10.0.{number}.12:40124",
            region=REGIONS[number % len(REGIONS)],
            failure_domain=f"domain-{number % FAILURE_DOMAINS}",
            config_revision=480,
        )
        for number in range(count)
    ]


def make_partitions(workers: int) -> list[PartitionId]:
    """Return racks, services and key partitions."""
    racks = -(-workers // WORKERS_PER_RACK)
    names = [f"worker/{REGIONS[n % len(REGIONS)]}/rack-{n}" for n in range(racks)]
    for region in REGIONS:
        names += [f"runner/{region}/service-{n}" for n in range(SERVICES)]
        names += [f"key/{region}/{n}" for n in range(KEYS_PER_REGION)]
    return [PartitionId.parse(name) for name in names]


def guard_sets(frontends: list[Member]) -> dict[str, GuardSet]:
    """Return the guard set of each region."""
    return {
        region: GuardSet(
            version=1,
            guards=tuple(
                Guard(id=m.id, address=m.address) for m in frontends if m.region == region
            ),
        )
        for region in REGIONS
    }


def size_of(table: Table) -> int:
    """Return the size in bytes of the value written to the store."""
    return len(encode(TableRecord(table=table, writer_id="scheduler-1-0a1b2c3d", write_id="17")))


def timed_plan(table: Table, members: list[Member], partitions: list[PartitionId]) -> float:
    """Return the shortest planning time in milliseconds."""
    best = float("inf")
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        plan(table, members, partitions)
        best = min(best, time.perf_counter() - started_at)
    return 1000 * best


def measure_one(workers: int) -> dict[str, float]:
    """Plan a whole table, then plan it again with one scheduler removed."""
    members = make_members(Role.SCHEDULER, SCHEDULERS)
    frontends = make_members(Role.FRONTEND, SCHEDULERS)
    partitions = make_partitions(workers)
    empty = Table(guards=guard_sets(frontends))
    first = plan(empty, members, partitions)
    after = plan(first, members[1:], partitions)
    lost = sum(e.member_id == members[0].id for e in first.entries.values())
    moved = sum(after.entries[p] != e for p, e in first.entries.items())
    size = size_of(first)
    return {
        "partitions": len(partitions),
        "table_bytes": size,
        "members_bytes": sum(len(encode(m)) for m in members + frontends),
        "plan_first_ms": round(timed_plan(empty, members, partitions), 3),
        "plan_unchanged_ms": round(timed_plan(first, members, partitions), 3),
        "plan_death_ms": round(timed_plan(first, members[1:], partitions), 3),
        "death_partitions_lost": lost,
        "death_partitions_moved": moved,
        "death_bytes_to_all": size * (2 * SCHEDULERS - 1),
    }


def measure() -> dict[str, object]:
    """Measure with increasing numbers of workers."""
    found = {workers: measure_one(workers) for workers in WORKER_COUNTS}
    sizes = [Point(amount=f["partitions"], value=f["table_bytes"]) for f in found.values()]
    times = [Point(amount=f["partitions"], value=f["plan_death_ms"]) for f in found.values()]
    return {
        "by_workers": found,
        "table_bytes_per_partition": round(slope(sizes), 1),
        "plan_ms_per_partition": round(slope(times), 4),
        "plan_points": listed(times),
    }
