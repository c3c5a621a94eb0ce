"""Members and owner of the cell, as read from the store."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable

import cattrs
import xxhash
from attrs import asdict, define, field, frozen
from loguru import logger

from rhubarbferry.cell import keys
from rhubarbferry.core.addresses import parse_port
from rhubarbferry.ports.store import KeyDeleted, KeyPut, KeyValue, WatchEvent


@frozen(kw_only=True, slots=True)
class Member:
    """One process of the cell.

    :param address: ``ip:port`` on which it serves calls from other processes.
    :param store_s: approximate round-trip time to the store, in seconds.
    :param cores: processor cores that its host gives it, 0 if unknown.
    :param link_mbps: bandwidth of its host's network link, 0 if unknown.
    """

    name: str
    address: str
    region: str
    failure_domain: str
    store_s: float = 0.0
    cores: float = 0.0
    link_mbps: float = 0.0

    def has_larger_host(self, other: Member) -> bool:
        """Return whether its host is larger than another's in one respect and in none smaller."""
        own = (self.cores, self.link_mbps)
        theirs = (other.cores, other.link_mbps)
        return own != theirs and all(a >= b for a, b in zip(own, theirs, strict=True))


@frozen(kw_only=True, slots=True)
class Ownership:
    """The stored key that makes a process the owner.

    :param fence: store revision of the key; it is higher for each later owner.
    """

    owner: Member
    fence: int
    lease_id: int


def encode_member(member: Member) -> bytes:
    """Encode the value of a member's or the owner's key."""
    return json.dumps(asdict(member), separators=(",", ":")).encode()


def decode_member(value: bytes) -> Member:
    """Decode the value of a member's or the owner's key; ignore unknown fields.

    :raises ValueError: if the value does not describe a member.
    """
    try:
        fields = json.loads(value)
        member = cattrs.structure(fields, Member)
    except Exception as exc:
        raise ValueError(f"invalid member record: {exc!r:.300}") from exc
    if not all(math.isfinite(x) for x in (member.store_s, member.cores, member.link_mbps)):
        raise ValueError("invalid member record: a number is not finite")
    for name in ("name", "address", "region", "failure_domain"):
        if not isinstance(fields[name], str):
            raise ValueError(f"invalid member record: {name} is not a string")
        # Calls to other processes carry it.
        fields[name].encode()
    parse_port(member.address.rpartition(":")[2])
    return member


# Stands for the writer of an owner's key that can't be decoded. No process listens at its address,
# so the other processes find it unresponsive and replace it.
UNKNOWN_OWNER = Member(name="", address="0.0.0.0:0", region="", failure_domain="")


@define(kw_only=True, eq=False)
class CellView:
    """The members and the owner, kept up to date from listings and watches.

    :ivar registered: store revision at which each member registered.
    :ivar last_owner: the owner that was seen last, also after its key was removed.
    :ivar version: incremented with each change of the members.
    """

    members: dict[str, Member] = field(factory=dict)
    registered: dict[str, int] = field(factory=dict)
    ownership: Ownership | None = None
    last_owner: Ownership | None = None
    version: int = 0

    def replace(self, items: Iterable[KeyValue], *, revision: int) -> None:
        """Replace the members and the owner by a complete listing.

        :param revision: store revision of the listing.
        """
        self.members = {}
        self.registered = {}
        self.version += 1
        if self.ownership is not None and self.ownership.fence <= revision:
            self.ownership = None
        for item in items:
            self._put(item)

    def apply(self, events: Iterable[WatchEvent]) -> None:
        """Apply changes from a watch."""
        for event in events:
            match event:
                case KeyPut(kv=kv):
                    self._put(kv)
                case KeyDeleted(key=key, revision=revision):
                    self._delete(key, revision)

    def _put(self, kv: KeyValue) -> None:
        if kv.key != keys.OWNER and not kv.key.startswith(keys.MEMBERS):
            return
        try:
            member = decode_member(kv.value)
        except ValueError as exc:
            logger.warning("the value of {!r} can't be decoded: {}", kv.key, exc)
            if kv.key != keys.OWNER:
                return
            member = UNKNOWN_OWNER
        if kv.key == keys.OWNER:
            self.set_owner(Ownership(owner=member, fence=kv.mod_revision, lease_id=kv.lease_id))
        else:
            self.members[member.name] = member
            self.registered[member.name] = kv.mod_revision
            self.version += 1

    def set_owner(self, ownership: Ownership) -> None:
        """Set the owner, unless a later owner is already set.

        A process that becomes the owner learns this from the answer to its write. Its watch
        reports the deletion of the former owner's key only afterwards. If that were applied to
        its own key, it would wait for an ownership that it already has, and no process would
        schedule.
        """
        if self.ownership is None or ownership.fence >= self.ownership.fence:
            self.ownership = self.last_owner = ownership

    def _delete(self, key: str, revision: int) -> None:
        if key == keys.OWNER:
            if self.ownership is not None and self.ownership.fence <= revision:
                self.ownership = None
        elif key.startswith(keys.MEMBERS):
            name = key.removeprefix(keys.MEMBERS)
            self.members.pop(name, None)
            self.registered.pop(name, None)
            self.version += 1


# Round trips to the store that differ by less than this are treated as equal. A store in another
# region adds more than this.
ROUND_TRIP_STEP_S = 0.02
# A host with less than this share of the largest processor or link in the cell is a small one.
SMALL_HOST_SHARE = 0.5


@frozen(kw_only=True, slots=True)
class _LargestHost:
    """The largest processor and link among the members of a cell."""

    cores: float
    link_mbps: float

    @classmethod
    def of(cls, members: Iterable[Member]) -> _LargestHost:
        known = list(members)
        return cls(
            cores=max((member.cores for member in known), default=0.0),
            link_mbps=max((member.link_mbps for member in known), default=0.0),
        )

    def is_small(self, member: Member) -> bool:
        """Return whether a member's host is small compared with the largest one in the cell."""
        return (
            member.cores < SMALL_HOST_SHARE * self.cores
            or member.link_mbps < SMALL_HOST_SHARE * self.link_mbps
        )


def successors(own: Member, view: CellView) -> list[Member]:
    """Return the other members in the order in which they are asked to take over.

    Members on small hosts come last, and members near the store come first. Among equals the
    member that registered last comes first. In a rolling restart it is the one that will not be
    stopped next, and each further change of the owner causes a pause in which no task starts.
    """
    largest = _LargestHost.of([own, *view.members.values()])

    def sort_key(member: Member) -> tuple[bool, int, int]:
        return (
            largest.is_small(member),
            _round_trip_steps(member),
            -view.registered.get(member.name, 0),
        )

    return sorted((m for m in view.members.values() if m.name != own.name), key=sort_key)


def _round_trip_steps(member: Member) -> int:
    return int(member.store_s / ROUND_TRIP_STEP_S)


def election_rank(own: Member, members: Iterable[Member], *, seed: int) -> int:
    """Return a member's position among the members that may become the next owner.

    Members on small hosts come last. A new owner first reads all jobs in progress, and on a small
    host it might never get to schedule any. Of the others, members near the store come first. Each
    accepted job reaches the owner through the store, and each end is recorded there before a
    client sees it, so an owner in another region delays both by 40 ms.

    :param seed: number of the election; it changes the order among equal members.
    """
    others = [member for member in members if member.name != own.name]
    largest = _LargestHost.of([own, *others])

    def sort_key(member: Member) -> tuple[bool, int, int]:
        tie_breaker = xxhash.xxh64_intdigest(member.name.encode(), seed=seed & 0xFFFFFFFF)
        return largest.is_small(member), _round_trip_steps(member), tie_breaker

    own_key = sort_key(own)
    return sum(1 for member in others if sort_key(member) < own_key)
