"""Choose which process asks the policy service which question."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Collection

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


@frozen(kw_only=True, order=True, slots=True)
class _Question:
    """A question in its place: by priority, then as they came."""

    priority: int
    number: int
    order: AdviceOrder = field(order=False)


@define(kw_only=True, eq=False)
class AdviceDesk:
    """Questions that wait, and the processes that are asking one.

    Each process asks one question at a time. Long questions use at most half of the processes,
    from the far end of a fixed order; short ones use the rest first.

    :param own: the process that this desk is in: it asks without a hop.
    """

    own: str
    region: str
    _short: list[_Question] = Factory(list)
    _long: list[_Question] = Factory(list)
    _busy: dict[str, AdviceOrder] = field(factory=dict)
    _long_asked: int = 0
    _count: int = 0

    def add(self, order: AdviceOrder, *, priority: int) -> None:
        """Add a question; those of a lower ``priority`` number go first."""
        self._count += 1
        question = _Question(priority=priority, number=self._count, order=order)
        heapq.heappush(self._long if _is_long(order) else self._short, question)

    def done(self, member: str) -> None:
        """Note that a process has its answer, or none will come."""
        order = self._busy.pop(member, None)
        if order is not None and _is_long(order):
            self._long_asked -= 1

    def assign(self, members: Collection[Member]) -> list[Assignment]:
        """Return the questions to ask now."""
        if not self._short and not self._long:
            return []
        idle = [member for member in members if member.name not in self._busy]
        free = deque(sorted(idle, key=self._distance))
        most_long = max(1, len(members) // 2)
        assigned = []
        while free:
            long = self._takes_long(most_long)
            if not long and not self._short:
                break
            order = heapq.heappop(self._long if long else self._short).order
            member = free.pop() if long else free.popleft()
            self._long_asked += long
            self._busy[member.name] = order
            assigned.append(Assignment(member=member, order=order))
        return assigned

    def _takes_long(self, most: int) -> bool:
        """Tell whether the next question to ask is a long one."""
        if not self._long or self._long_asked >= most:
            return False
        return not self._short or self._long[0] < self._short[0]

    def _distance(self, member: Member) -> tuple[int, str]:
        if member.name == self.own:
            return (0, member.name)
        return (1 if member.region == self.region else 2, member.name)


def _is_long(order: AdviceOrder) -> bool:
    return order.cost.duration_s(len(order.hosts)) > LONG_S
