"""Assign requests for the policy service to the processes of the cell that send them."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Collection

from attrs import Factory, define, evolve, field, frozen

from rhubarbferry.cell.members import Member
from rhubarbferry.dispatch.approval_requests import MAX_HOSTS_PER_CALL
from rhubarbferry.dispatch.messages import ApprovalRequest

# A request expected to take longer than this is a long request. The policy service handles the
# requests of one process sequentially, so a short request behind a long one would wait for nearly
# a second and its job would miss its objective.
LONG_REQUEST_S = 0.3
# A long request is split until the time its hosts add is at most this share of the fixed time per
# request. Smaller parts would hardly shorten the wait, and each part is a further request for the
# policy service to handle.
HOSTS_TIME_SHARE = 0.5
# Largest share of the processes available for long requests that one request is split among.
IDLE_PROCESS_SHARE = 0.5


@frozen(kw_only=True, slots=True)
class Assignment:
    """A request and the process that sends it."""

    member: Member
    order: ApprovalRequest


@frozen(kw_only=True, order=True, slots=True)
class _WaitingRequest:
    """A waiting request, ordered by priority and then by arrival."""

    priority: int
    number: int
    order: ApprovalRequest = field(order=False)


@define(kw_only=True, eq=False)
class PolicyRequestQueue:
    """Queue of requests for the policy service, and the requests in progress.

    Each process sends one request at a time. Processes are ordered by distance: this process, then
    its region, then other regions. Short requests go to the nearest idle processes, long requests
    to the farthest and to at most half of all. The answer takes longer with each host in the
    request, so a long request is split among several idle processes.

    :param own: name of this process, which can send a request without relaying it.
    :param region: region of this process.
    """

    own: str
    region: str
    _short: list[_WaitingRequest] = Factory(list)
    _long: list[_WaitingRequest] = Factory(list)
    _in_progress: dict[str, ApprovalRequest] = field(factory=dict)
    _long_in_progress: int = 0
    _count: int = 0

    def add(self, order: ApprovalRequest, *, priority: int) -> None:
        """Add a request; lower ``priority`` numbers are assigned first."""
        self._count += 1
        self._push(_WaitingRequest(priority=priority, number=self._count, order=order))

    def _push(self, waiting: _WaitingRequest) -> None:
        heapq.heappush(self._long if _is_long(waiting.order) else self._short, waiting)

    def done(self, member: str) -> None:
        """Mark the request of a process as finished, whether it was answered or failed."""
        order = self._in_progress.pop(member, None)
        if order is not None and _is_long(order):
            self._long_in_progress -= 1

    def assign(self, members: Collection[Member]) -> list[Assignment]:
        """Return the assignments for the idle processes among ``members``."""
        if not self._short and not self._long:
            return []
        idle = [member for member in members if member.name not in self._in_progress]
        idle_by_distance = deque(sorted(idle, key=self._distance))
        max_long = max(1, len(members) // 2)
        assigned = []
        while idle_by_distance:
            long = self._next_is_long(max_long)
            if not long and not self._short:
                break
            waiting = heapq.heappop(self._long if long else self._short)
            available = min(len(idle_by_distance), max_long - self._long_in_progress) if long else 1
            parts = _split(waiting.order, available)
            for part in parts[:available]:
                member = idle_by_distance.pop() if long else idle_by_distance.popleft()
                self._long_in_progress += _is_long(part)
                self._in_progress[member.name] = part
                assigned.append(Assignment(member=member, order=part))
            for part in parts[available:]:
                self._push(evolve(waiting, order=part))
        return assigned

    def _next_is_long(self, max_long: int) -> bool:
        """Return whether the next request to assign is a long one.

        :param max_long: maximum number of long requests in progress.
        """
        if not self._long or self._long_in_progress >= max_long:
            return False
        return not self._short or self._long[0] < self._short[0]

    def _distance(self, member: Member) -> tuple[int, str]:
        if member.name == self.own:
            return (0, member.name)
        return (1 if member.region == self.region else 2, member.name)


def _is_long(order: ApprovalRequest) -> bool:
    return order.cost.duration_s(len(order.hosts)) > LONG_REQUEST_S


def _split(order: ApprovalRequest, available: int) -> list[ApprovalRequest]:
    """Split a request into requests with fewer hosts each.

    :param available: number of processes available for the parts.
    """
    hosts = len(order.hosts)
    min_parts = math.ceil(hosts / MAX_HOSTS_PER_CALL)
    count = min_parts
    if _is_long(order):
        share_s = max(order.cost.decision_s * HOSTS_TIME_SHARE, order.cost.per_host_s)
        max_useful = math.ceil(hosts * order.cost.per_host_s / share_s)
        count = max(min_parts, min(max_useful, int(available * IDLE_PROCESS_SHARE)))
    size = math.ceil(hosts / count)
    return [
        evolve(order, hosts=order.hosts[start : start + size]) for start in range(0, hosts, size)
    ]
