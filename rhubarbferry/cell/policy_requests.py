"""Assign requests for the policy service to the processes of the cell that send them."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Collection
from typing import Protocol

from attrs import Factory, define, evolve, field, frozen

from rhubarbferry.cell.members import Member
from rhubarbferry.cell.policy_processes import FailingProcesses, ShortLoad
from rhubarbferry.dispatch.approval_requests import MAX_HOSTS_PER_CALL, RequestRank
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
# A request that has waited for longer than this is updated before it is sent.
MAX_REQUEST_AGE_S = 0.05


class RequestSource(Protocol):
    """The decisions that requests come from."""

    def request_rank(self, request: ApprovalRequest, *, now: float) -> RequestRank | None:
        """Return the rank of a request, ``None`` if its step has ended."""

    def update_request(self, request: ApprovalRequest, *, now: float) -> ApprovalRequest | None:
        """Return a request with the hosts that are needed now, ``None`` if there are none."""


@frozen(kw_only=True, slots=True, eq=False)
class Assignment:
    """A request and the process that sends it.

    :param waited_s: time from the request to its assignment.
    """

    member: Member
    order: ApprovalRequest
    waited_s: float = 0.0


@frozen(kw_only=True, order=True, slots=True)
class _WaitingRequest:
    """A waiting request, ordered by rank and then by arrival.

    :param added_at: when it was requested.
    :param updated_at: when its hosts were chosen.
    """

    rank: RequestRank
    number: int
    order: ApprovalRequest = field(order=False)
    added_at: float = field(order=False)
    updated_at: float = field(order=False)


@define(kw_only=True, eq=False)
class PolicyRequestQueue:
    """Queue of requests for the policy service, and the requests in progress.

    Each process sends one request at a time. Processes are ordered by distance: this process, then
    its region, then other regions. Short requests go to the nearest idle processes, long requests
    to the farthest. Long requests leave as many processes free as the short ones need. The answer
    takes longer with each host in the request, so a long request is split among several idle
    processes.

    :param own: name of this process, which can send a request without relaying it.
    :param region: region of this process.
    :param source: ranks and updates the waiting requests.
    """

    own: str
    region: str
    source: RequestSource
    _short: list[_WaitingRequest] = Factory(list)
    _long: list[_WaitingRequest] = Factory(list)
    _in_progress: dict[str, Assignment] = field(factory=dict)
    _long_in_progress: int = 0
    _count: int = 0
    _dropped: int = 0
    _short_load: ShortLoad = Factory(ShortLoad)
    _failing: FailingProcesses = Factory(FailingProcesses)

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a process."""
        return len(self._short) + len(self._long)

    @property
    def in_progress_count(self) -> int:
        """Number of processes with a request in progress."""
        return len(self._in_progress)

    def take_dropped(self) -> int:
        """Return how many requests were dropped unsent since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def add(self, order: ApprovalRequest, *, now: float) -> None:
        """Add a request."""
        rank = self.source.request_rank(order, now=now)
        if rank is None:
            self._dropped += 1
            return
        self._count += 1
        self._push(
            _WaitingRequest(
                rank=rank, number=self._count, order=order, added_at=now, updated_at=now
            )
        )

    def _push(self, waiting: _WaitingRequest) -> None:
        heapq.heappush(self._long if _is_long(waiting.order) else self._short, waiting)

    def done(self, assignment: Assignment, *, answered: bool, now: float) -> bool:
        """Mark a request as finished; return whether it was still in progress."""
        if self._in_progress.get(assignment.member.name) is not assignment:
            return False
        self._release(assignment)
        self._failing.record(assignment.member.name, answered=answered, now=now)
        return True

    def release_absent(self, members: Collection[Member]) -> list[Assignment]:
        """Release and return the requests in progress whose processes are not among ``members``."""
        names = {member.name for member in members}
        self._failing.forget_absent(names)
        absent = [item for name, item in self._in_progress.items() if name not in names]
        for assignment in absent:
            self._release(assignment)
        return absent

    def _release(self, assignment: Assignment) -> None:
        del self._in_progress[assignment.member.name]
        self._long_in_progress -= _is_long(assignment.order)

    def assign(self, members: Collection[Member], *, now: float) -> list[Assignment]:
        """Return the assignments for the idle processes among ``members``."""
        if not self._short and not self._long:
            return []
        usable = self._failing.usable(members, now=now)
        idle = [member for member in usable if member.name not in self._in_progress]
        idle_by_distance = deque(sorted(idle, key=self._distance))
        max_long = self.max_long(len(usable), now=now)
        assigned = []
        while idle_by_distance:
            waiting = self._take_next(max_long, now)
            if waiting is None:
                break
            long = _is_long(waiting.order)
            available = min(len(idle_by_distance), max_long - self._long_in_progress) if long else 1
            parts = _split(waiting.order, available, others=len(self._long))
            for part in parts[:available]:
                member = idle_by_distance.pop() if long else idle_by_distance.popleft()
                assigned.append(self._start(member, waiting, part, now))
            for part in parts[available:]:
                self._push(evolve(waiting, order=part))
        return assigned

    def max_long(self, processes: int, *, now: float) -> int:
        """Return how many of a number of processes may send long requests at the same time."""
        kept = min(self._short_load.processes(now), processes // 2)
        return max(1, processes - kept)

    def _start(
        self, member: Member, waiting: _WaitingRequest, part: ApprovalRequest, now: float
    ) -> Assignment:
        started = Assignment(member=member, order=part, waited_s=now - waiting.added_at)
        self._in_progress[member.name] = started
        if _is_long(part):
            self._long_in_progress += 1
        else:
            self._short_load.record(_duration_s(part), now=now)
        return started

    def _take_next(self, max_long: int, now: float) -> _WaitingRequest | None:
        """Remove and return the next request to assign, with its present rank and hosts.

        :param max_long: maximum number of long requests in progress.
        """
        while True:
            long = self._next_is_long(max_long)
            if not long and not self._short:
                return None
            waiting = heapq.heappop(self._long if long else self._short)
            rank = self.source.request_rank(waiting.order, now=now)
            if rank is None:
                self._dropped += 1
            elif rank > waiting.rank:
                self._push(evolve(waiting, rank=rank))
            elif now - waiting.updated_at <= MAX_REQUEST_AGE_S:
                return waiting
            elif (order := self.source.update_request(waiting.order, now=now)) is None:
                self._dropped += 1
            else:
                # Its class may have changed with its hosts, so it is taken out of its new heap.
                self._push(evolve(waiting, order=order, updated_at=now))

    def _next_is_long(self, max_long: int) -> bool:
        """Return whether the next request to assign is a long one."""
        if not self._long or self._long_in_progress >= max_long:
            return False
        return not self._short or self._long[0] < self._short[0]

    def _distance(self, member: Member) -> tuple[int, str]:
        if member.name == self.own:
            return (0, member.name)
        return (1 if member.region == self.region else 2, member.name)


def _duration_s(order: ApprovalRequest) -> float:
    return order.cost.duration_s(len(order.hosts))


def _is_long(order: ApprovalRequest) -> bool:
    return _duration_s(order) > LONG_REQUEST_S


def _split(order: ApprovalRequest, available: int, *, others: int) -> list[ApprovalRequest]:
    """Split a request into requests with fewer hosts each.

    The fixed time of each part is lost to other requests. So the more of them wait, the fewer
    parts there are, down to what an answer within the objective requires.

    :param available: number of processes available for the parts.
    :param others: number of other long requests that wait.
    """
    hosts = len(order.hosts)
    count = math.ceil(hosts / MAX_HOSTS_PER_CALL)
    if _is_long(order):
        useful = math.ceil(hosts / _min_hosts(order))
        affordable = int(available * IDLE_PROCESS_SHARE / (1 + others))
        count = max(math.ceil(hosts / _max_hosts(order)), min(useful, affordable))
    size = math.ceil(hosts / count)
    return [
        evolve(order, hosts=order.hosts[start : start + size]) for start in range(0, hosts, size)
    ]


def _min_hosts(order: ApprovalRequest) -> float:
    """Return the number of hosts below which a part would hardly be answered earlier."""
    cost = order.cost
    if not cost.per_host_s:
        return MAX_HOSTS_PER_CALL
    return max(cost.decision_s * HOSTS_TIME_SHARE / cost.per_host_s, 1.0)


def _max_hosts(order: ApprovalRequest) -> float:
    """Return the number of hosts up to which a part is answered within the objective."""
    cost = order.cost
    if not cost.per_host_s or not order.objective_s:
        return MAX_HOSTS_PER_CALL
    within_objective = math.floor((order.objective_s - cost.decision_s) / cost.per_host_s)
    return min(MAX_HOSTS_PER_CALL, max(within_objective, _min_hosts(order)))
