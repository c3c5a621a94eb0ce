"""Burn rates of service-level objectives: how fast the budget for bad events is used up.

A burn rate of 1 uses up the budget exactly by the end of the period; a rate of 10 uses it up ten
times as fast. An alarm on a long window alone fires late, and one on a short window alone fires at
every brief error spike. An alarm therefore requires two windows: the long one shows that the burn
is significant, the short one that it is still going on.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Sequence
from enum import StrEnum

from attrs import frozen

from rhubarbferry.core.cell import Objective

BUCKET_DURATION_S = 60.0
BUCKET_COUNT = 361
FAST_BURN_RATE = 14.4
SLOW_BURN_RATE = 6.0


class EventKind(StrEnum):
    """Classification of one request or job with regard to its objective.

    ``GOOD``: it started within the objective's wait. ``LATE``: it started later, or its caller
    disconnected after that wait. ``REFUSED``: it was not run because there was no capacity.
    ``UNKNOWN``: it may or may not have been run.
    """

    GOOD = "good"
    LATE = "late"
    REFUSED = "refused"
    UNKNOWN = "unknown"


EVENT_KINDS = tuple(EventKind)


class Window(StrEnum):
    """Time windows over which burn rates are computed."""

    M5 = "5m"
    M30 = "30m"
    H1 = "1h"
    H6 = "6h"

    @property
    def seconds(self) -> float:
        """Return the length of the window in seconds."""
        return WINDOW_S[self]


WINDOW_S = {Window.M5: 300.0, Window.M30: 1800.0, Window.H1: 3600.0, Window.H6: 21600.0}


class Alarm(StrEnum):
    """Alarm level computed from the burn rates of the four windows.

    ``FAST`` requires a high rate in the 5 min and 1 h windows, ``SLOW`` a lower one in the 30 min
    and 6 h windows.
    """

    NO_EVENTS = "no events"
    OK = "ok"
    SLOW = "burns"
    FAST = "burns fast"


@frozen(kw_only=True, slots=True)
class Counts:
    """Numbers of events by kind."""

    good: int = 0
    late: int = 0
    refused: int = 0
    unknown: int = 0

    def __add__(self, other: Counts) -> Counts:
        return Counts(
            good=self.good + other.good,
            late=self.late + other.late,
            refused=self.refused + other.refused,
            unknown=self.unknown + other.unknown,
        )

    def __sub__(self, other: Counts) -> Counts:
        return Counts(
            good=self.good - other.good,
            late=self.late - other.late,
            refused=self.refused - other.refused,
            unknown=self.unknown - other.unknown,
        )

    @property
    def bad(self) -> int:
        """Return the number of events that use up the budget."""
        return self.late + self.refused + self.unknown

    @property
    def total(self) -> int:
        """Return the number of all events."""
        return self.good + self.bad

    def of_kind(self, kind: EventKind) -> int:
        """Return the number of events of one kind."""
        return int(getattr(self, kind.value))


def sum_counts(parts: Iterable[Counts]) -> Counts:
    """Return the sum of several counts."""
    return sum(parts, Counts())


def burn_rate(counts: Counts, objective: Objective) -> float:
    """Return the ratio of the measured bad fraction to the bad fraction that the objective allows.

    :returns: 0 without bad events; infinity when events are bad although the target is 1.
    """
    if counts.bad == 0:
        return 0.0
    allowed = 1.0 - objective.target
    if allowed <= 0.0:
        return float("inf")
    return counts.bad / counts.total / allowed


def budget_left(counts: Counts, objective: Objective) -> float:
    """Return the unused fraction of the budget for these events; negative when it is overdrawn."""
    return 1.0 - burn_rate(counts, objective)


def alarm_level(burn: dict[Window, float], events: int) -> Alarm:
    """Return the alarm level for the burn rates of the four windows.

    :param burn: the burn rate of each window.
    :param events: number of events in the longest window.
    """
    if events == 0:
        return Alarm.NO_EVENTS
    if burn[Window.M5] >= FAST_BURN_RATE and burn[Window.H1] >= FAST_BURN_RATE:
        return Alarm.FAST
    if burn[Window.M30] >= SLOW_BURN_RATE and burn[Window.H6] >= SLOW_BURN_RATE:
        return Alarm.SLOW
    return Alarm.OK


class EventRing:
    """Ring buffer of event counts of the last six hours, in buckets of one minute.

    Its counts take 5,776 bytes, however many events are counted. A window consists of whole
    buckets: the current, incomplete one and as many earlier ones as the window has minutes.
    """

    def __init__(self) -> None:
        self._counts = array("I", bytes(4 * BUCKET_COUNT * len(EVENT_KINDS)))
        self._newest_bucket = -1
        self.last_event_at = 0.0

    def add(self, kind: EventKind, *, now: float, count: int = 1) -> None:
        """Count events that occur at ``now``."""
        self._advance(now)
        self.last_event_at = now
        array_index = self._newest_bucket % BUCKET_COUNT * len(EVENT_KINDS) + EVENT_KINDS.index(
            kind
        )
        self._counts[array_index] = min(2**32 - 1, self._counts[array_index] + count)

    def counts(self, window: Window, *, now: float) -> Counts:
        """Return the counts of a window that ends at ``now``."""
        self._advance(now)
        bucket_count = min(BUCKET_COUNT, int(window.seconds // BUCKET_DURATION_S) + 1)
        totals = [0] * len(EVENT_KINDS)
        for offset in range(bucket_count):
            array_index = (self._newest_bucket - offset) % BUCKET_COUNT * len(EVENT_KINDS)
            for index in range(len(EVENT_KINDS)):
                totals[index] += self._counts[array_index + index]
        return counts_from_values(totals)

    def _advance(self, now: float) -> None:
        """Clear the buckets whose time has begun since the last access."""
        bucket = int(now // BUCKET_DURATION_S)
        if self._newest_bucket < 0:
            self._newest_bucket = bucket
        for new_bucket in range(
            max(self._newest_bucket + 1, bucket - BUCKET_COUNT + 1), bucket + 1
        ):
            array_index = new_bucket % BUCKET_COUNT * len(EVENT_KINDS)
            self._counts[array_index : array_index + len(EVENT_KINDS)] = array(
                "I", bytes(4 * len(EVENT_KINDS))
            )
        self._newest_bucket = max(self._newest_bucket, bucket)


def counts_from_values(values: Sequence[int]) -> Counts:
    """Return the counts given as numbers in the order of the event kinds."""
    return Counts(**{kind.value: value for kind, value in zip(EVENT_KINDS, values, strict=True)})
