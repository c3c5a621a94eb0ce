"""Selection of the configuration in force, whose revision never decreases."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from rhubarbferry.ports.ownership import Member


@frozen(kw_only=True, slots=True)
class ConfigRecord:
    """One accepted revision of the configuration as stored.

    :param revision: increases by one with each accepted change.
    :param text: the configuration in INI format.
    :param author: the operator who applied it.
    :param applied_at: seconds since the Unix epoch; informational only.
    :param write_id: unique per write attempt; lets a writer whose reply was lost recognise its
        own write.
    """

    revision: int
    text: str
    author: str = ""
    applied_at: float = 0.0
    write_id: str = ""


NO_CONFIG = ConfigRecord(revision=0, text="")


def newer(in_force: ConfigRecord, offered: ConfigRecord | None) -> ConfigRecord:
    """Return the newer of ``in_force`` and a record read from the store or received from a peer."""
    if offered is None or offered.revision <= in_force.revision:
        return in_force
    return offered


def is_rolled_back(in_force: ConfigRecord, stored: ConfigRecord | None) -> bool:
    """Return whether the store holds an older revision than the one in force in this process."""
    return (NO_CONFIG if stored is None else stored).revision < in_force.revision


def highest_in_force(members: Iterable[Member]) -> int:
    """Return the highest revision reported by a live member."""
    return max((member.config_revision for member in members), default=0)


def lagging(members: Iterable[Member], revision: int) -> tuple[str, ...]:
    """Return the ids of the live members that have not yet applied ``revision``."""
    return tuple(sorted(m.id for m in members if m.config_revision < revision))
