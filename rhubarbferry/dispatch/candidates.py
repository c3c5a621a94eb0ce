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
    _touched: dict[Step, None] = Factory(dict)
    _found: deque[Step] = Factory(deque)

    def __bool__(self) -> bool:
        return bool(self._found)

    def touch(self, step: Step) -> None:
        """Include a step the next time that candidates are collected."""
        self._touched[step] = None

    def touch_all(self) -> None:
        """Include all waiting steps the next time that candidates are collected."""
        self._touched.update(dict.fromkeys(self.waiting.in_order()))

    def find(self, changed: Sequence[Host]) -> None:
        """Collect candidates and sort them by their position in the queue.

        :param changed: hosts whose free room or state has changed since the last call.
        """
        found = {step for step in self._touched if step in self.waiting}
        self._touched.clear()
        if changed:
            most = max(host.room.millicores for host in changed)
            for step in self.waiting.in_order(millicores=most):
                if step in found or step.approvals.awaiting_first:
                    continue
                if any(_may_help(step, host) for host in changed):
                    found.add(step)
        self._found.extend(sorted(found, key=self.waiting.order))

    def pop(self) -> Step | None:
        """Return the next candidate that still waits, or ``None`` if none is left."""
        while self._found:
            step = self._found.popleft()
            if step in self.waiting:
                return step
        return None

    def put_back(self) -> None:
        """Return the remaining candidates, to be sorted again together with more urgent new ones.
        """
        self._touched.update(dict.fromkeys(self._found))
        self._found.clear()


def _may_help(step: Step, host: Host) -> bool:
    return step.approvals.allows(host.id) and step.req.room.fits(host.room)
