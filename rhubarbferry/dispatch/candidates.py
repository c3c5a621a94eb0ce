"""Select the waiting steps that a decision tries to place, and their order."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterator, Sequence

from attrs import Factory, define

from rhubarbferry.dispatch.account_shares import AccountShares
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.waiting import Position, WaitingSteps


@define(kw_only=True, eq=False, slots=True)
class _AccountQueues:
    """Candidates of one urgency and priority: a queue for each account, and a heap of accounts.

    An entry of the heap holds the standing by which the account is compared, the position of its
    first step, its name, and the part of the standing that is due to that step.
    """

    _queues: dict[str, deque[tuple[Position, Step]]] = Factory(dict)
    _heap: list[tuple[float, Position, str, float]] = Factory(list)

    def add(self, step: Step, position: Position) -> None:
        """Add a step; steps of one account must be added in the order of their positions."""
        self._queues.setdefault(step.job.account_name, deque()).append((position, step))

    def sort(self, shares: AccountShares) -> None:
        """Sort the accounts by their present standings."""
        self._heap = [
            _heap_entry(account, steps, shares) for account, steps in self._queues.items() if steps
        ]
        heapq.heapify(self._heap)

    def pop(self, shares: AccountShares) -> Step | None:
        """Return the first step of the account with the lowest standing."""
        while self._heap:
            standing, first, account, half_step = self._heap[0]
            current = shares.standing(account) + half_step
            if current > standing:
                # Steps of the account have been placed since.
                heapq.heapreplace(self._heap, (current, first, account, half_step))
                continue
            steps = self._queues[account]
            _, step = steps.popleft()
            if steps:
                heapq.heapreplace(self._heap, _heap_entry(account, steps, shares))
            else:
                heapq.heappop(self._heap)
            return step
        return None

    def __iter__(self) -> Iterator[Step]:
        for steps in self._queues.values():
            for _, step in steps:
                yield step


def _heap_entry(
    account: str, steps: deque[tuple[Position, Step]], shares: AccountShares
) -> tuple[float, Position, str, float]:
    position, step = steps[0]
    half_step = shares.half_step(step)
    return (shares.standing(account) + half_step, position, account, half_step)


@define(kw_only=True, eq=False)
class Candidates:
    """Waiting steps that have changed, or that may fit on a host that has changed.

    All candidates that were collected together are tried before new ones are collected. Otherwise
    steps that come first in the order and find no room could starve the others.

    Their order is that of their positions. Among steps of one urgency and priority, those of the
    account with the lowest standing come first, if there are several accounts; the standings
    change with each placement.
    """

    waiting: WaitingSteps
    shares: AccountShares = Factory(AccountShares)
    _included: dict[Step, None] = Factory(dict)
    _queue: deque[Step] = Factory(deque)
    _classes: deque[_AccountQueues] = Factory(deque)

    def __bool__(self) -> bool:
        return bool(self._queue or self._classes)

    def include(self, step: Step) -> None:
        """Include a step the next time that candidates are collected."""
        self._included[step] = None

    def include_all(self) -> None:
        """Include all waiting steps the next time that candidates are collected."""
        self._included.update(dict.fromkeys(self.waiting.iter_sorted()))

    def collect(self, changed: Sequence[Host]) -> None:
        """Collect candidates and sort them by their position in the queue.

        :param changed: hosts whose free room or state has changed since the last call.
        """
        found = {step for step in self._included if self._is_candidate(step)}
        self._included.clear()
        if changed:
            max_millicores = max(host.room.millicores for host in changed)
            for step in self.waiting.iter_sorted(millicores=max_millicores):
                if step in found or step.approvals.awaiting_first_approval:
                    continue
                if any(_may_fit(step, host) for host in changed):
                    found.add(step)
        ordered = sorted(found, key=self.waiting.position)
        if not self.shares.enabled:
            self._queue.extend(ordered)
            return
        current: tuple[int, float] | None = None
        for step in ordered:
            position = self.waiting.position(step)
            if position[:2] != current:
                current = position[:2]
                self._classes.append(_AccountQueues())
            self._classes[-1].add(step, position)
        self.update_standings()

    def update_standings(self) -> None:
        """Sort the accounts again, since runs may have ended; call before each decision."""
        if self._classes:
            self._classes[0].sort(self.shares)

    def pop(self) -> Step | None:
        """Return the next candidate that still waits, or ``None`` if none is left."""
        while self._queue:
            step = self._queue.popleft()
            if self._is_candidate(step):
                return step
        while self._classes:
            candidate = self._classes[0].pop(self.shares)
            if candidate is None:
                self._classes.popleft()
                if self._classes:
                    self._classes[0].sort(self.shares)
            elif self._is_candidate(candidate):
                return candidate
        return None

    def _is_candidate(self, step: Step) -> bool:
        return step in self.waiting and not self.waiting.is_blocked(step)

    def postpone(self) -> None:
        """Return the remaining candidates to the pool, to be sorted again with newer ones."""
        self._included.update(dict.fromkeys(self._queue))
        self._queue.clear()
        for queues in self._classes:
            self._included.update(dict.fromkeys(queues))
        self._classes.clear()


def _may_fit(step: Step, host: Host) -> bool:
    return step.approvals.may_use_or_request(host.id) and step.req.room.fits(host.room)
