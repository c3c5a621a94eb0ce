"""Which waiting steps a decision tries to place, and in which order."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from attrs import Factory, define

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.waiting import WaitingSteps


@define(kw_only=True, eq=False)
class Candidates:
    """The waiting steps that something has happened to, or that a changed host may have room for.

    Those of one moment all get their turn before those of a later one are found. Otherwise steps
    that come first in the order and find no room could keep the others from ever being tried.
    """

    waiting: WaitingSteps
    _touched: dict[Step, None] = Factory(dict)
    _found: deque[Step] = Factory(deque)

    def __bool__(self) -> bool:
        return bool(self._found)

    def touch(self, step: Step) -> None:
        """Try a step the next time that candidates are found."""
        self._touched[step] = None

    def touch_all(self) -> None:
        """Try all waiting steps the next time that candidates are found."""
        self._touched.update(dict.fromkeys(self.waiting.in_order()))

    def find(self, changed: Sequence[Host]) -> None:
        """Find candidates, in their order.

        :param changed: hosts whose room or state has changed since the last time.
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
        """Return the next candidate that still waits, ``None`` when there is none left."""
        while self._found:
            step = self._found.popleft()
            if step in self.waiting:
                return step
        return None

    def put_back(self) -> None:
        """Order those that are left anew the next time: what comes then may be more urgent."""
        self._touched.update(dict.fromkeys(self._found))
        self._found.clear()


def _may_help(step: Step, host: Host) -> bool:
    return step.approvals.allows(host.id) and step.req.room.fits(host.room)
