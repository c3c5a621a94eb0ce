from __future__ import annotations

from collections import Counter

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbferry.core.ownership import OwnerEntry, Table, misplaced, permitted, plan
from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.ports.ownership import Member, Role

REGIONS = ("north", "south", "west")
CHECKED = settings(derandomize=True, max_examples=150, deadline=None)


def member(number: int, region: str = "north", **changes) -> Member:
    defaults = {"failure_domain": f"d{number % 2}", "role": Role.SCHEDULER}
    return Member(
        id=f"m{number}", address=f"10.0.0.{number}:1", region=region, **{**defaults, **changes}
    )


members_st = st.lists(
    st.builds(
        member,
        st.integers(0, 9),
        st.sampled_from(REGIONS),
        draining=st.booleans(),
        incarnation=st.integers(1, 2),
        role=st.sampled_from([Role.SCHEDULER, Role.SCHEDULER, Role.FRONTEND]),
    ),
    unique_by=lambda m: m.id,
    max_size=9,
)
partitions_st = st.sets(
    st.builds(
        PartitionId,
        kind=st.sampled_from(PartitionKind),
        region=st.sampled_from(REGIONS),
        name=st.sampled_from("abcde"),
    ),
    max_size=30,
)
tables_st = st.builds(lambda m, p: plan(Table(), m, p), members_st, partitions_st)


def able(members):
    return [m for m in members if m.role is Role.SCHEDULER and not m.draining]


@CHECKED
@given(tables_st, members_st, partitions_st, st.randoms(use_true_random=False))
def test_the_plan_is_independent_of_the_input_order(table, members, partitions, rng):
    mixed = list(members)
    rng.shuffle(mixed)
    entries = list(table.entries.items())
    rng.shuffle(entries)
    same = evolve(table, entries=dict(entries))
    shuffled = sorted(partitions, key=lambda _: rng.random())
    assert plan(same, mixed, shuffled) == plan(table, members, partitions)


@CHECKED
@given(tables_st, members_st, partitions_st)
def test_all_partitions_are_owned_evenly_and_epochs_never_decrease(table, members, partitions):
    new = plan(table, members, partitions)
    if not able(members):
        assert new == table
        return
    ids = {m.id: m for m in able(members)}
    assert new.entries.keys() == set(partitions) | table.entries.keys()
    assert all(entry.belongs_to(ids[entry.member_id]) for entry in new.entries.values())
    for partition, old in table.entries.items():
        entry = new.entries[partition]
        moved = (entry.member_id, entry.incarnation) != (old.member_id, old.incarnation)
        assert entry.epoch == old.epoch + moved
    for region in {m.region for m in ids.values()}:
        local = [m for m in ids.values() if m.region == region]
        count = sum(p.region == region for p in new.entries)
        orphans = sum(p.region not in {m.region for m in ids.values()} for p in new.entries)
        load = Counter(entry.member_id for entry in new.entries.values())
        bound = -(-count // len(local)) + -(-orphans // len(ids))
        assert max(load[m.id] for m in local) <= max(bound, -(-len(new.entries) // len(ids)))


@CHECKED
@given(members_st, partitions_st)
def test_plan_is_stable(members, partitions):
    table = plan(Table(), members, partitions)
    assert plan(table, members, partitions) is table


@CHECKED
@given(partitions_st, st.integers(2, 6), st.data())
def test_losing_a_member_moves_only_its_partitions(partitions, count, data):
    members = [member(number) for number in range(count)]
    local = {evolve(p, region="north") for p in partitions}
    table = plan(Table(), members, local)
    lost = data.draw(st.sampled_from(members))
    new = plan(table, [m for m in members if m is not lost], local)
    moved = {p for p in local if new.entries[p].member_id != table.entries[p].member_id}
    assert moved == {p for p in local if table.entries[p].member_id == lost.id}


@CHECKED
@given(tables_st, members_st, partitions_st)
def test_permitted_never_takes_a_partition_from_a_live_owner(table, members, partitions):
    planned = plan(table, members, partitions)
    new = permitted(table, planned, members, frozenset())
    live = {(m.id, m.incarnation) for m in members}
    for partition, old in table.entries.items():
        if (old.member_id, old.incarnation) in live:
            assert new.entries[partition].member_id == old.member_id


KEY = PartitionId(kind=PartitionKind.KEY, region="north", name="0")


def entry(number: int, epoch: int, incarnation: int = 1) -> OwnerEntry:
    return OwnerEntry(
        member_id=f"m{number}",
        incarnation=incarnation,
        address=f"10.0.0.{number}:1",
        epoch=epoch,
    )


@pytest.mark.parametrize(
    ("old", "members", "floors", "owner", "epoch"),
    [
        (None, [member(1)], {}, "m1", 1),
        (None, [member(1)], {KEY: 7}, "m1", 7),
        (entry(1, 4), [member(1)], {}, "m1", 4),
        (entry(1, 4), [member(1)], {KEY: 9}, "m1", 9),
        (entry(1, 4), [member(1, incarnation=2)], {}, "m1", 5),
        (entry(1, 4), [member(1, draining=True), member(2)], {}, "m2", 5),
        (entry(1, 4), [member(2, "south")], {}, "m2", 5),
        (entry(2, 4), [member(1), member(2, "south")], {}, "m1", 5),
        (entry(1, 4), [], {}, "m1", 4),
    ],
)
def test_owner_and_epoch(old, members, floors, owner, epoch):
    table = Table(entries={} if old is None else {KEY: old})
    new = plan(table, members, [KEY], floors).entries[KEY]
    assert (new.member_id, new.epoch) == (owner, epoch)


def test_partitions_of_a_kind_are_spread_over_failure_domains():
    members = [member(number, failure_domain=f"d{number // 2}") for number in range(4)]
    names = [PartitionId(kind=k, region="north", name=n) for k in PartitionKind for n in "ab"]
    table = plan(Table(), members, names)
    domains = {m.id: m.failure_domain for m in members}
    for kind in PartitionKind:
        owners = [domains[e.member_id] for p, e in table.entries.items() if p.kind is kind]
        assert len(set(owners)) == 2


def test_an_owner_hands_over_partitions_that_it_has_given_up():
    members = [member(1), member(2, "south")]
    table = Table(entries={KEY: entry(2, 4)}, planned_for=("m1", "m2"))
    planned = plan(table, members, [KEY])
    assert misplaced(table, planned, members[1]) == {KEY}
    assert permitted(table, planned, members, frozenset()) is table
    assert permitted(table, planned, members, frozenset({KEY})).entries[KEY].member_id == "m1"
