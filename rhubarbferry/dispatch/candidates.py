"""Select the waiting steps that a decision tries to place, and their order."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from attrs import Factory, define

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.waiting import WaitingSteps


@define(kw_only=True, eq=False)
class Candidates:
    """Waiting steps that have changed, or that may fit on a host that has changed.

    All candidates that were collected together are tried before new ones are collected. Otherwise
    steps that come first in the order and find no room could starve the others.
    """

    waiting: WaitingSteps
    _included: dict[Step, None] = Factory(dict)
    _queue: deque[Step] = Factory(deque)

    def __bool__(self) -> bool:
        return bool(self._queue)

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
        self._queue.extend(sorted(found, key=self.waiting.position))

    def pop(self) -> Step | None:
        """Return the next candidate that still waits, or ``None`` if none is left."""
        while self._queue:
            step = self._queue.popleft()
            if self._is_candidate(step):
                return step
        return None

    def _is_candidate(self, step: Step) -> bool:
        return step in self.waiting and not self.waiting.is_blocked(step)

    def postpone(self) -> None:
        """Return the remaining candidates to the pool, to be sorted again with newer ones."""
        self._included.update(dict.fromkeys(self._queue))
        self._queue.clear()


def _may_fit(step: Step, host: Host) -> bool:
    return step.approvals.may_use_or_request(host.id) and step.req.room.fits(host.room)
