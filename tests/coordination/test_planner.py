from __future__ import annotations

import pytest
from attrs import evolve
from cell_harness import settings

from rhubarbferry.coordination.keys import OWNERSHIP_KEY, member_key
from rhubarbferry.coordination.mirror import Mirror
from rhubarbferry.coordination.planner import Planner
from rhubarbferry.coordination.records import TableRecord, encode
from rhubarbferry.core.ownership import Table, plan
from rhubarbferry.core.partition import key_partition
from rhubarbferry.ports.ownership import Member, Role
from rhubarbferry.ports.store import KeyValue, Listing, StoreUnavailable

PARTITIONS = frozenset(key_partition(region="north", number=number) for number in range(4))
OWNER, NEWCOMER = (
    Member(id=id, role=Role.SCHEDULER, address=f"{id}:9", region="north", failure_domain="a")
    for id in ("a", "b")
)
CONFIG = settings().ownership


class ManualClock:
    """A clock that advances with each sleep and then calls ``after_sleep``."""

    def __init__(self) -> None:
        self.now = 100.0
        self.after_sleep = lambda: None

    def monotonic(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds
        self.after_sleep()


class FakeMembership:
    member = OWNER

    def holds(self, incarnation: int) -> bool:
        return True


class FakeTenures:
    def __init__(self) -> None:
        self.current = dict.fromkeys(PARTITIONS)

    def min_epochs(self):
        return {}

    def end_all(self, partitions) -> None:
        for partition in partitions:
            del self.current[partition]


class FakeStore:
    """The store's side of the planner: full reads and writes of the table."""

    def __init__(self) -> None:
        self.silent = False
        self.written = []

    async def refresh(self) -> None:
        if self.silent:
            raise StoreUnavailable("silent")

    async def write(self, table, *, based_on: int) -> bool:
        self.written.append(table)
        return True


class FakeGuardSets:
    def apply(self, table, members):
        return table


def unbalanced_mirror() -> Mirror:
    """Return records in which one of two schedulers owns all partitions."""
    table = plan(Table(), [OWNER], PARTITIONS)
    table = evolve(table, planned_for=(OWNER.id, NEWCOMER.id))
    values = {
        member_key(OWNER.id): OWNER,
        member_key(NEWCOMER.id): NEWCOMER,
        OWNERSHIP_KEY: TableRecord(table=table, writer_id=OWNER.id, write_id="1"),
    }
    items = tuple(
        KeyValue(key=key, value=encode(value), mod_revision=3, create_revision=3)
        for key, value in values.items()
    )
    mirror = Mirror()
    mirror.replace(Listing(revision=3, items=items), asked_at=0.0, without_watch=True)
    return mirror


SILENT_CASES = [
    ("never", False, False, 2),
    ("before", True, True, 4),
    ("in the delay", False, True, 4),
]


@pytest.mark.parametrize(
    ("silent_before", "silent_after_delay", "kept"),
    [case[1:] for case in SILENT_CASES],
    ids=[case[0] for case in SILENT_CASES],
)
async def test_partitions_keep_their_owner_if_a_move_meets_a_silent_store(
    silent_before: bool, silent_after_delay: bool, kept: int
) -> None:
    """Guards against partitions without an owner for the whole outage of a store.

    A new scheduler has joined, and the owner of all partitions moves half of them. The store stops
    answering before that, or in the delay by which planners avoid writing at the same time.
    """
    clock, store, tenures = ManualClock(), FakeStore(), FakeTenures()
    planner = Planner(
        cfg=CONFIG,
        clock=clock,
        membership=FakeMembership(),
        mirror=unbalanced_mirror(),
        tenures=tenures,
        source=store,
        writer=store,
        guard_sets=FakeGuardSets(),
        partitions=lambda: PARTITIONS,
        jitter=lambda: 0.5,
    )
    await planner.step()
    assert not store.written
    clock.now += 2 * CONFIG.rebalance_s
    store.silent = silent_before

    def end_delay() -> None:
        store.silent = silent_after_delay

    clock.after_sleep = end_delay
    if silent_after_delay:
        with pytest.raises(StoreUnavailable):
            await planner.step()
    else:
        await planner.step()
    assert len(tenures.current) == kept
    owners = [entry.member_id for table in store.written for entry in table.entries.values()]
    assert sorted(owners) == ([] if silent_after_delay else ["a", "a", "b", "b"])
