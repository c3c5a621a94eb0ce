"""Choose which process asks the policy service which question."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from attrs import Factory, define, field, frozen

from rhubarbferry.cell.members import Member
from rhubarbferry.dispatch.messages import AdviceOrder

# A question that takes longer than this counts as long. The policy service serves the questions
# of one process one after the other, so a short question behind a long one waits for nearly a
# second and its job misses its objective.
LONG_S = 0.3


@frozen(kw_only=True, slots=True)
class Assignment:
    """A question and the process that asks it."""

    member: Member
    order: AdviceOrder


@define(kw_only=True, eq=False)
class AdviceDesk:
    """Questions that wait, and the processes that are asking one.

    Each process asks one question at a time. Long questions use at most half of the processes,
    from the far end of a fixed order; short ones use the rest first.

    :param own: the process that this desk is in: it asks without a hop.
    """

    own: str
    region: str
    _waiting: list[tuple[int, int, AdviceOrder]] = Factory(list)
    _busy: dict[str, AdviceOrder] = field(factory=dict)
    _count: int = 0

    def add(self, order: AdviceOrder, *, priority: int) -> None:
        """Add a question; those of a lower ``priority`` number go first."""
        self._count += 1
        self._waiting.append((priority, self._count, order))

    def done(self, member: str) -> None:
        """Note that a process has its answer, or none will come."""
        self._busy.pop(member, None)

    def assign(self, members: Iterable[Member]) -> list[Assignment]:
        """Return the questions to ask now."""
        if not self._waiting:
            return []
        found = list(members)
        near_first = sorted(found, key=self._distance)
        free = deque(member for member in near_first if member.name not in self._busy)
        # How many more long questions may be asked.
        long_left = max(1, len(found) // 2) - sum(map(_is_long, self._busy.values()))
        self._waiting.sort(key=lambda entry: entry[:2])
        assigned = []
        left = []
        for entry in self._waiting:
            order = entry[2]
            long = _is_long(order)
            if not free or (long and long_left <= 0):
                left.append(entry)
                continue
            member = free.pop() if long else free.popleft()
            long_left -= long
            self._busy[member.name] = order
            assigned.append(Assignment(member=member, order=order))
        self._waiting = left
        return assigned

    def _distance(self, member: Member) -> tuple[int, str]:
        if member.name == self.own:
            return (0, member.name)
        return (1 if member.region == self.region else 2, member.name)


def _is_long(order: AdviceOrder) -> bool:
    return order.cost.duration_s(len(order.hosts)) > LONG_S
