"""Queue of the steps that wait for room, indexed by the size of their tasks."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Iterator, Mapping, Sequence

from attrs import Factory, define, frozen
from sortedcontainers import SortedKeyList

from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.objective import Urgency

# Urgency, priority, arrival time, and three tie-breakers: job id, occurrence, step.
Position = tuple[int, float, float, str, int, int]


@frozen(kw_only=True, slots=True)
class BlockKey:
    """Why a step is blocked.

    :param account: the account whose quota blocks it.
    :param oversized: whether it would not fit even if the account used nothing else.
    """

    account: str
    oversized: bool = False


def _size_class(step: Step) -> int:
    return step.req.room.millicores.bit_length()


@define(kw_only=True, eq=False, slots=True)
class WaitingSteps:
    """Waiting steps sorted by their position, in one list for each size class.

    With a backlog, most waiting steps don't fit into the room that has just become free. Size
    classes (powers of two of the processor that one task needs) allow a search to skip these steps
    without visiting them, so its cost does not grow with the backlog.

    Steps that are blocked by the quota of their account wait in a list of that account instead, and
    are not visited until they are unblocked.
    """

    _size_classes: dict[int, SortedKeyList] = Factory(dict)
    _blocked: dict[Step, BlockKey] = Factory(dict)
    _blocked_lists: dict[BlockKey, SortedKeyList] = Factory(dict)
    _positions: dict[Step, Position] = Factory(dict)
    _urgency_changes: list[tuple[float, int, Step]] = Factory(list)
    _sequence: Iterator[int] = Factory(itertools.count)

    def add(self, step: Step, now: float) -> None:
        """Add a step, or move it to its current position."""
        job = step.job
        period = job.urgency(step, now)
        position = (
            int(period.urgency),
            job.queue.priority,
            job.arrived_at,
            job.id,
            step.id.occurrence,
            step.id.step,
        )
        if self._positions.get(step) == position:
            return
        key = self._blocked.get(step)
        self.discard(step)
        self._positions[step] = position
        if key is not None:
            self._blocked[step] = key
        self._list_of(step).add(step)
        if period.until < math.inf:
            heapq.heappush(self._urgency_changes, (period.until, next(self._sequence), step))

    def reorder(self, now: float) -> None:
        """Move the steps whose urgency has changed over time."""
        while self._urgency_changes and self._urgency_changes[0][0] < now:
            _, _, step = heapq.heappop(self._urgency_changes)
            if step in self._positions:
                self.add(step, now)

    def discard(self, step: Step) -> None:
        """Remove a step if it is present."""
        if step in self._positions:
            self._list_of(step).remove(step)
            del self._positions[step]
            self._blocked.pop(step, None)

    def _list_of(self, step: Step) -> SortedKeyList:
        key = self._blocked.get(step)
        found = (
            self._size_classes.get(_size_class(step))
            if key is None
            else self._blocked_lists.get(key)
        )
        if found is not None:
            return found
        steps = SortedKeyList(key=self._positions.__getitem__)
        if key is None:
            self._size_classes[_size_class(step)] = steps
        else:
            self._blocked_lists[key] = steps
        return steps

    def block(self, step: Step, key: BlockKey) -> None:
        """Move a waiting step to the blocked steps."""
        self._list_of(step).remove(step)
        self._blocked[step] = key
        self._list_of(step).add(step)

    def unblock(self, step: Step) -> None:
        """Move a blocked step back to the steps that wait for room."""
        self._list_of(step).remove(step)
        del self._blocked[step]
        self._list_of(step).add(step)

    def blocked(self, key: BlockKey) -> Sequence[Step]:
        """Return the blocked steps with a key, in the order of their positions."""
        return self._blocked_lists.get(key, ())

    def is_blocked(self, step: Step) -> bool:
        """Return whether a waiting step is blocked."""
        return step in self._blocked

    def blocked_counts(self) -> dict[str, int]:
        """Return the number of blocked steps of each account."""
        counts: dict[str, int] = {}
        for key, steps in self._blocked_lists.items():
            counts[key.account] = counts.get(key.account, 0) + len(steps)
        return counts

    def __contains__(self, step: Step) -> bool:
        return step in self._positions

    def __len__(self) -> int:
        """Return the number of steps that wait for room, without the blocked ones."""
        return len(self._positions) - len(self._blocked)

    @property
    def positions(self) -> Mapping[Step, Position]:
        """Position of each waiting step."""
        return self._positions

    def urgency(self, step: Step) -> Urgency | None:
        """Return the urgency of a waiting step, or ``None`` if it does not wait."""
        position = self._positions.get(step)
        return Urgency(position[0]) if position is not None else None

    def position(self, step: Step) -> Position:
        """Return the position of a waiting step."""
        return self._positions[step]

    def iter_sorted(self, *, millicores: int | None = None) -> Iterator[Step]:
        """Yield the steps that are not blocked, in the order of their positions.

        :param millicores: skip the size classes whose smallest task needs more than this.
        """
        classes = [
            steps
            for bits, steps in self._size_classes.items()
            if steps and (millicores is None or bits == 0 or 1 << (bits - 1) <= millicores)
        ]
        if len(classes) == 1:
            yield from classes[0]
            return
        yield from heapq.merge(*classes, key=self._positions.__getitem__)
