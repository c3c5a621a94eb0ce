"""Choose which process asks the policy service which question."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Collection

from attrs import Factory, define, evolve, field, frozen

from rhubarbferry.cell.members import Member
from rhubarbferry.dispatch.messages import AdviceOrder
from rhubarbferry.dispatch.questions import HOSTS_PER_CALL

# A question that takes longer than this counts as long. The policy service serves the questions
# of one process one after the other, so a short question behind a long one waits for nearly a
# second and its job misses its objective.
LONG_S = 0.3
# A long question is divided until the time for its hosts is this share of the time that any answer
# takes. Smaller parts make the answer hardly earlier, and each is work for the policy service.
HOSTS_TIME_SHARE = 0.5
# Of the processes that are free for long questions, at most this share asks about one step.
FREE_SHARE = 0.5


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

    Each process makes one call at a time. Long questions use at most half of the processes, from
    the far end of a fixed order; short ones use the rest first. Where processes are free, a long
    question is divided among some of them, as its answer takes longer with each host.

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
        self._put(_Question(priority=priority, number=self._count, order=order))

    def _put(self, question: _Question) -> None:
        heapq.heappush(self._long if _is_long(question.order) else self._short, question)

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
            question = heapq.heappop(self._long if long else self._short)
            room = min(len(free), most_long - self._long_asked) if long else 1
            parts = _parts(question.order, room)
            for part in parts[:room]:
                member = free.pop() if long else free.popleft()
                self._long_asked += _is_long(part)
                self._busy[member.name] = part
                assigned.append(Assignment(member=member, order=part))
            for part in parts[room:]:
                self._put(evolve(question, order=part))
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


def _parts(order: AdviceOrder, room: int) -> list[AdviceOrder]:
    """Divide a question among processes.

    :param room: how many processes are free for it.
    """
    hosts = len(order.hosts)
    fewest = math.ceil(hosts / HOSTS_PER_CALL)
    count = fewest
    if _is_long(order):
        share_s = max(order.cost.decision_s * HOSTS_TIME_SHARE, order.cost.per_host_s)
        useful = math.ceil(hosts * order.cost.per_host_s / share_s)
        count = max(fewest, min(useful, int(room * FREE_SHARE)))
    size = math.ceil(hosts / count)
    return [
        evolve(order, hosts=order.hosts[start : start + size]) for start in range(0, hosts, size)
    ]
