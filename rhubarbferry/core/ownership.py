"""The ownership table of the partitions, and the computation of the next one."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

import xxhash
from attrs import Factory, evolve, frozen

from rhubarbferry.core.guards import GuardSet
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.ports.ownership import Member, Role

FIRST_EPOCH = 1


@frozen(kw_only=True, slots=True)
class OwnerEntry:
    """The owner of one partition.

    :param member_id: id of the owning process.
    :param incarnation: incarnation of the lease under which the process acquired the partition;
        the process does not own the partition under a later lease.
    :param address: ``ip:port`` of the owner's RPC server.
    :param epoch: increased with each change of owner or lease, never decreased.
    """

    member_id: str
    incarnation: int
    address: str
    epoch: int

    def belongs_to(self, member: Member) -> bool:
        """Return whether ``member`` is the owner under its current lease."""
        return (self.member_id, self.incarnation) == (member.id, member.incarnation)


@frozen(kw_only=True, slots=True)
class Table:
    """All owners and guard sets, stored as one value that is changed by compare-and-swap.

    A partition is never removed from the table. The host list may temporarily omit a rack, and an
    epoch that restarted at 1 would be refused by every process that has seen a higher one.

    :param planned_for: ids of the schedulers that the table was computed for, in order.
    """

    entries: Mapping[PartitionId, OwnerEntry] = Factory(dict)
    guards: Mapping[str, GuardSet] = Factory(dict)
    planned_for: tuple[str, ...] = ()

    def owned_by(self, member: Member) -> tuple[PartitionId, ...]:
        """Return the partitions that ``member`` owns under its current lease, in order."""
        return tuple(sorted(p for p, e in self.entries.items() if e.belongs_to(member)))


def plan(
    table: Table,
    members: Iterable[Member],
    partitions: Iterable[PartitionId],
    floors: Mapping[PartitionId, int] | None = None,
) -> Table:
    """Return the table for ``members``, independent of the order of the inputs.

    :param table: the current table.
    :param members: all live members; only schedulers that are not draining receive partitions.
    :param partitions: partitions that need an owner, besides those already in the table.
    :param floors: lowest epoch that may be assigned per partition. Lower epochs have been used
        even if the table does not contain them, because the store was restored to an older state
        or the owner gave up the partition.
    :returns: ``table`` itself if nothing has to change.
    """
    schedulers = _schedulers(members)
    if not schedulers:
        return table
    owners = _assign(table, schedulers, sorted({*partitions, *table.entries}))
    floors = floors or {}
    entries = {
        p: _next_entry(table.entries.get(p), owner, floors.get(p, FIRST_EPOCH))
        for p, owner in owners.items()
    }
    planned_for = tuple(member.id for member in schedulers)
    if entries == table.entries and planned_for == table.planned_for:
        return table
    return evolve(table, entries=entries, planned_for=planned_for)


def permitted(
    table: Table, planned: Table, members: Iterable[Member], given_up: frozenset[PartitionId]
) -> Table:
    """Return ``planned`` without the moves that would take a partition from a live owner.

    A live owner that has not received the change yet would continue to make decisions
    concurrently with the new owner. Only the owner itself therefore writes such a move, after it
    has stopped making decisions.

    :param given_up: partitions of the writer for which it has stopped making decisions.
    """
    live = {(member.id, member.incarnation) for member in members}
    entries = dict(planned.entries)
    for partition, entry in table.entries.items():
        if (entry.member_id, entry.incarnation) not in live or partition in given_up:
            continue
        if not _same_owner(entry, entries[partition]):
            entries[partition] = entry
    if entries == table.entries and planned.planned_for == table.planned_for:
        return table
    return evolve(planned, entries=entries)


def misplaced(table: Table, planned: Table, member: Member) -> frozenset[PartitionId]:
    """Return the partitions of ``member`` that the planned table assigns to others."""
    return frozenset(p for p in table.owned_by(member) if not planned.entries[p].belongs_to(member))


def _schedulers(members: Iterable[Member]) -> list[Member]:
    eligible = (m for m in members if m.role is Role.SCHEDULER and not m.draining)
    return sorted(eligible, key=lambda m: m.id)


def _same_owner(one: OwnerEntry, other: OwnerEntry) -> bool:
    return (one.member_id, one.incarnation) == (other.member_id, other.incarnation)


def _next_entry(old: OwnerEntry | None, owner: Member, floor: int) -> OwnerEntry:
    if old is not None and old.belongs_to(owner) and old.epoch >= floor:
        return old
    return OwnerEntry(
        member_id=owner.id,
        incarnation=owner.incarnation,
        address=owner.address,
        epoch=floor if old is None else max(floor, old.epoch + 1),
    )


def _assign(
    table: Table, schedulers: Sequence[Member], partitions: Sequence[PartitionId]
) -> dict[PartitionId, Member]:
    by_region: dict[str, list[Member]] = {}
    for member in schedulers:
        by_region.setdefault(member.region, []).append(member)
    load: Counter[str] = Counter()
    owners: dict[PartitionId, Member] = {}
    for region, candidates in sorted(by_region.items()):
        local = [p for p in partitions if p.region == region]
        owners.update(_assign_balanced(table, candidates, local, load))
    # Partitions of a region without a scheduler are assigned to schedulers of other regions, after
    # those have been assigned their own.
    orphans = [p for p in partitions if p.region not in by_region]
    owners.update(_assign_balanced(table, schedulers, orphans, load))
    return owners


def _assign_balanced(
    table: Table,
    candidates: Sequence[Member],
    partitions: Sequence[PartitionId],
    load: Counter[str],
) -> dict[PartitionId, Member]:
    total = len(partitions) + sum(load[m.id] for m in candidates)
    bound = -(-total // len(candidates))
    owners: dict[PartitionId, Member] = {}
    for partition in partitions:
        entry = table.entries.get(partition)
        current = next((m for m in candidates if entry and entry.belongs_to(m)), None)
        if current is not None and load[current.id] < bound:
            owners[partition] = current
            load[current.id] += 1
    domains = Counter((m.failure_domain, p.kind) for p, m in owners.items())
    for partition in partitions:
        if partition in owners:
            continue
        room = [m for m in candidates if load[m.id] < bound]
        # Spread the partitions of one kind first, so that the loss of a failure domain does not
        # affect all services or all keys of a region at once.
        owner = min(
            room,
            key=lambda m: (
                domains[m.failure_domain, partition.kind],
                -_rendezvous_weight(partition, m),
            ),
        )
        owners[partition] = owner
        load[owner.id] += 1
        domains[owner.failure_domain, partition.kind] += 1
    return owners


def _rendezvous_weight(partition: PartitionId, member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{partition}\x00{member.id}".encode())
