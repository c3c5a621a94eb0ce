"""Guard sets of the regions, and the computation of their successors."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from attrs import frozen

from rhubarbferry.ports.ownership import Guard, Member, Role

MIN_GUARDS = 3
MAX_GUARDS = 5


@frozen(kw_only=True, slots=True)
class GuardSet:
    """The frontends whose promises are valid in a region; immutable within a version.

    :param closing: whether owners may rely on no promise any more, because the set is about to be
        replaced without the consent of its own majority.
    """

    version: int
    guards: tuple[Guard, ...] = ()
    closing: bool = False

    @property
    def majority(self) -> int:
        """The number of guards in a majority; any two majorities have a guard in common."""
        return len(self.guards) // 2 + 1


NO_GUARDS = GuardSet(version=0)


def plan_guards(sets: Mapping[str, GuardSet], members: Iterable[Member]) -> Mapping[str, GuardSet]:
    """Return the next guard sets of the regions whose set has to change.

    A set keeps its live members and adds the region's frontends in order of id. A region with
    fewer than ``MIN_GUARDS`` frontends also uses frontends of other regions: with two guards, the
    loss of one would leave no majority. A region without any live frontend keeps its set, because
    the region may be partitioned from the store and still working.

    :param sets: the current sets by region.
    :param members: all live members.
    """
    frontends = [m for m in members if m.role is Role.FRONTEND and not m.draining]
    frontends.sort(key=lambda m: m.id)
    changes: dict[str, GuardSet] = {}
    for region in sorted({member.region for member in frontends}):
        current = sets.get(region, NO_GUARDS)
        guards = _next_guards(current, region, frontends)
        if guards != current.guards or current.closing:
            changes[region] = GuardSet(version=current.version + 1, guards=guards)
    return changes


def _next_guards(current: GuardSet, region: str, frontends: Sequence[Member]) -> tuple[Guard, ...]:
    current_ids = {guard.id for guard in current.guards}
    # Existing guards come first, to change as few guards as possible.
    ordered = sorted(frontends, key=lambda m: (m.region != region, m.id not in current_ids, m.id))
    local = sum(member.region == region for member in frontends)
    wanted = min(max(local, MIN_GUARDS), MAX_GUARDS)
    chosen = sorted(ordered[:wanted], key=lambda m: m.id)
    return tuple(Guard(id=member.id, address=member.address) for member in chosen)
