"""Who is in the cell and who owns its work, as the store shows it."""

from __future__ import annotations

import json
from collections.abc import Iterable

import xxhash
from attrs import asdict, define, field, frozen

from rhubarbferry.cell import keys
from rhubarbferry.ports.store import KeyDeleted, KeyPut, KeyValue, WatchEvent


@frozen(kw_only=True, slots=True)
class Member:
    """One process of the cell.

    :param address: ``ip:port`` of its calls from other processes.
    :param store_s: about how long the store's answers take to reach it.
    :param cores: processor that its host gives it, 0 where it is not known.
    :param link_mbps: bandwidth of its host's link, 0 where it is not known.
    """

    name: str
    address: str
    region: str
    failure_domain: str
    store_s: float = 0.0
    cores: float = 0.0
    link_mbps: float = 0.0


@frozen(kw_only=True, slots=True)
class Ownership:
    """The key that makes a process the owner.

    :param fence: the store's revision that holds it; higher for each later owner.
    """

    owner: Member
    fence: int
    lease_id: int


def encode_member(member: Member) -> bytes:
    """Return the value of a member's or the owner's key."""
    return json.dumps(asdict(member), separators=(",", ":")).encode()


def decode_member(value: bytes) -> Member:
    """Read a member's or the owner's key.

    :raises ValueError: when the value is none.
    """
    try:
        return Member(**json.loads(value))
    except (TypeError, ValueError) as exc:
        raise ValueError(f"no member: {exc!r}") from exc


@define(kw_only=True, eq=False)
class CellView:
    """The members and the owner, kept up to date from listings and watches.

    :ivar registered: the store's revision at which each member has registered.
    :ivar version: grows with each change of the members.
    """

    members: dict[str, Member] = field(factory=dict)
    registered: dict[str, int] = field(factory=dict)
    ownership: Ownership | None = None
    version: int = 0

    def replace(self, items: Iterable[KeyValue], *, revision: int) -> None:
        """Take in a whole listing, as of a revision of the store."""
        self.members = {}
        self.registered = {}
        self.version += 1
        if self.ownership is not None and self.ownership.fence <= revision:
            self.ownership = None
        for item in items:
            self._put(item)

    def apply(self, events: Iterable[WatchEvent]) -> None:
        """Take in changes."""
        for event in events:
            match event:
                case KeyPut(kv=kv):
                    self._put(kv)
                case KeyDeleted(key=key, revision=revision):
                    self._delete(key, revision)

    def _put(self, kv: KeyValue) -> None:
        if kv.key == keys.OWNER:
            self.owned(
                Ownership(
                    owner=decode_member(kv.value), fence=kv.mod_revision, lease_id=kv.lease_id
                )
            )
        elif kv.key.startswith(keys.MEMBERS):
            member = decode_member(kv.value)
            self.members[member.name] = member
            self.registered[member.name] = kv.mod_revision
            self.version += 1

    def owned(self, ownership: Ownership) -> None:
        """Note who owns the work, unless a later owner is known.

        A process that becomes the owner knows it from the answer to its write, and only then sees
        in its watch how the former owner's key has gone. Taken for its own, it would wait for a
        key that it has, and nobody would do the work.
        """
        if self.ownership is None or ownership.fence >= self.ownership.fence:
            self.ownership = ownership

    def _delete(self, key: str, revision: int) -> None:
        if key == keys.OWNER:
            if self.ownership is not None and self.ownership.fence <= revision:
                self.ownership = None
        elif key.startswith(keys.MEMBERS):
            name = key.removeprefix(keys.MEMBERS)
            self.members.pop(name, None)
            self.registered.pop(name, None)
            self.version += 1


# Round trips to the store that differ by less than this count as alike; another region adds more.
ALIKE_S = 0.02
# A host with less than this share of the largest processor or link in the cell is a weak one.
WEAK_SHARE = 0.5


@frozen(kw_only=True, slots=True)
class _Largest:
    """The largest processor and link among the members of a cell."""

    cores: float
    link_mbps: float

    @classmethod
    def of(cls, members: Iterable[Member]) -> _Largest:
        found = list(members)
        return cls(
            cores=max((member.cores for member in found), default=0.0),
            link_mbps=max((member.link_mbps for member in found), default=0.0),
        )

    def is_weak(self, member: Member) -> bool:
        """Tell whether an owner's work may be too much for a member while others can bear it."""
        return (
            member.cores < WEAK_SHARE * self.cores or member.link_mbps < WEAK_SHARE * self.link_mbps
        )


def successors(own: Member, view: CellView) -> list[Member]:
    """Return the other members in the order in which they are asked to take over as planned.

    Those on weak hosts come last, and those near the store first. Among them goes first who has
    registered last: in a rolling restart it is the one that will not be stopped next, and each
    further change of the owner costs a pause in which nothing starts.
    """
    largest = _Largest.of([own, *view.members.values()])

    def place(member: Member) -> tuple[bool, int, int]:
        return (
            largest.is_weak(member),
            _distance(member),
            -view.registered.get(member.name, 0),
        )

    return sorted((m for m in view.members.values() if m.name != own.name), key=place)


def _distance(member: Member) -> int:
    return int(member.store_s / ALIKE_S)


def rank(own: Member, members: Iterable[Member], *, seed: int) -> int:
    """Return the place of a member among those that may become owner next.

    Those on weak hosts come last: an owner reads all that is in progress when it begins, and on a
    small host may never get to decide. Of the others those near the store come first. Each
    acceptance reaches the owner through the store, and each end is recorded there before a client
    sees it, so an owner in another region makes both 40 ms later.

    :param seed: changes the order among the others from one election to the next.
    """
    others = [member for member in members if member.name != own.name]
    largest = _Largest.of([own, *others])

    def place(member: Member) -> tuple[bool, int, int]:
        weight = xxhash.xxh64_intdigest(member.name.encode(), seed=seed & 0xFFFFFFFF)
        return largest.is_weak(member), _distance(member), weight

    mine = place(own)
    return sum(1 for member in others if place(member) < mine)
