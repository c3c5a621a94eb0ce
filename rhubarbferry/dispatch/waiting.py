"""Queue of the steps that wait for room, indexed by the size of their tasks."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Iterator, Mapping

from attrs import Factory, define
from sortedcontainers import SortedKeyList

from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.objective import Urgency

# Urgency, priority, arrival time, and three tie-breakers: job id, occurrence, step.
Order = tuple[int, float, float, str, int, int]


def _size_class(step: Step) -> int:
    return step.req.room.millicores.bit_length()


@define(kw_only=True, eq=False, slots=True)
class WaitingSteps:
    """Waiting steps sorted by their position, in one list for each size class.

    With a backlog, most waiting steps don't fit into the room that has just become free. Size
    classes (powers of two of the processor that one task needs) allow a search to skip these steps
    without visiting them, so its cost does not grow with the backlog.
    """

    _classes: dict[int, SortedKeyList] = Factory(dict)
    _orders: dict[Step, Order] = Factory(dict)
    _turns: list[tuple[float, int, Step]] = Factory(list)
    _numbers: Iterator[int] = Factory(itertools.count)

    def add(self, step: Step, now: float) -> None:
        """Add a step, or move it to its current position."""
        job = step.job
        standing = job.standing(step, now)
        order = (
            int(standing.urgency),
            job.queue.priority,
            job.arrived_at,
            job.id,
            step.id.occurrence,
            step.id.step,
        )
        if self._orders.get(step) == order:
            return
        self.discard(step)
        self._orders[step] = order
        steps = self._classes.get(_size_class(step))
        if steps is None:
            steps = SortedKeyList(key=self._orders.__getitem__)
            self._classes[_size_class(step)] = steps
        steps.add(step)
        if standing.until < math.inf:
            heapq.heappush(self._turns, (standing.until, next(self._numbers), step))

    def reorder(self, now: float) -> None:
        """Move the steps whose urgency has changed over time."""
        while self._turns and self._turns[0][0] < now:
            _, _, step = heapq.heappop(self._turns)
            if step in self._orders:
                self.add(step, now)

    def discard(self, step: Step) -> None:
        """Remove a step if it is present."""
        if step in self._orders:
            self._classes[_size_class(step)].remove(step)
            del self._orders[step]

    def __contains__(self, step: Step) -> bool:
        return step in self._orders

    def __len__(self) -> int:
        return len(self._orders)

    @property
    def orders(self) -> Mapping[Step, Order]:
        """Position of each waiting step."""
        return self._orders

    def urgency(self, step: Step) -> Urgency | None:
        """Return the urgency of a waiting step, or ``None`` if it does not wait."""
        order = self._orders.get(step)
        return Urgency(order[0]) if order is not None else None

    def order(self, step: Step) -> Order:
        """Return the position of a waiting step."""
        return self._orders[step]

    def in_order(self, *, millicores: int | None = None) -> Iterator[Step]:
        """Yield the steps in the order of their positions.

        :param millicores: skip the size classes whose smallest task needs more than this.
        """
        classes = [
            steps
            for bits, steps in self._classes.items()
            if steps and (millicores is None or bits == 0 or 1 << (bits - 1) <= millicores)
        ]
        if len(classes) == 1:
            yield from classes[0]
            return
        yield from heapq.merge(*classes, key=self._orders.__getitem__)
