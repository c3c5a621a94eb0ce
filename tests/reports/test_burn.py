import math

import pytest

from rhubarbferry.core.cell import Objective
from rhubarbferry.reports.burn import (
    Alarm,
    Counts,
    EventKind,
    EventRing,
    Window,
    alarm_level,
    budget_left,
    burn_rate,
)

MINUTE = 60.0
HOUR = 3600.0


@pytest.mark.parametrize(
    ("counts", "target", "burn"),
    [
        (Counts(), 0.99, 0.0),
        (Counts(good=100), 0.99, 0.0),
        (Counts(good=99, late=1), 0.99, 1.0),
        (Counts(good=90, late=2, refused=3, unknown=5), 0.99, 10.0),
        (Counts(late=5), 0.9, 10.0),
        (Counts(good=5), 1.0, 0.0),
        (Counts(good=5, refused=1), 1.0, math.inf),
    ],
)
def test_burn_rate(counts: Counts, target: float, burn: float) -> None:
    objective = Objective(target=target)
    assert burn_rate(counts, objective) == pytest.approx(burn)
    assert budget_left(counts, objective) == pytest.approx(1.0 - burn)


@pytest.mark.parametrize(
    ("m5", "m30", "h1", "h6", "events", "expected"),
    [
        (0, 0, 0, 0, 0, Alarm.NO_EVENTS),
        (0.5, 0.5, 0.5, 0.5, 9, Alarm.OK),
        (50, 8, 2, 1, 9, Alarm.OK),
        (20, 20, 20, 1, 9, Alarm.FAST),
        (0, 0, 20, 5, 9, Alarm.OK),
        (1, 7, 7, 7, 9, Alarm.SLOW),
        (1, 1, 7, 7, 9, Alarm.OK),
    ],
)
def test_alarm_needs_a_long_and_a_short_window(
    m5: float, m30: float, h1: float, h6: float, events: int, expected: Alarm
) -> None:
    burn = {Window.M5: m5, Window.M30: m30, Window.H1: h1, Window.H6: h6}
    assert alarm_level(burn, events) is expected


@pytest.mark.parametrize(
    ("age_s", "inside"),
    [
        (0.0, {Window.M5, Window.M30, Window.H1, Window.H6}),
        (4 * MINUTE, {Window.M5, Window.M30, Window.H1, Window.H6}),
        (7 * MINUTE, {Window.M30, Window.H1, Window.H6}),
        (45 * MINUTE, {Window.H1, Window.H6}),
        (5.9 * HOUR, {Window.H6}),
        (6.1 * HOUR, set()),
        (100 * HOUR, set()),
    ],
)
def test_ring_counts_each_event_in_the_windows_that_hold_it(
    age_s: float, inside: set[Window]
) -> None:
    ring = EventRing()
    ring.add(EventKind.LATE, now=1e6, count=3)
    found = {w for w in Window if ring.counts(w, now=1e6 + age_s) == Counts(late=3)}
    empty = {w for w in Window if ring.counts(w, now=1e6 + age_s) == Counts()}
    assert found == inside
    assert found | empty == set(Window)


def test_ring_agrees_with_a_list_of_events() -> None:
    ring = EventRing()
    steps = [(7 * i) % 113 for i in range(2000)]
    events, now = [], 500.0
    for index, step in enumerate(steps):
        now += step
        kind = list(EventKind)[index % 4]
        ring.add(kind, now=now)
        events.append((now, kind))
    for window in Window:
        first = int(now // MINUTE) - int(window.seconds // MINUTE)
        kept = [kind for at, kind in events if at // MINUTE >= first]
        counts = ring.counts(window, now=now)
        assert [counts.of_kind(kind) for kind in EventKind] == [kept.count(k) for k in EventKind]


def test_ring_does_not_grow_or_overflow() -> None:
    ring = EventRing()
    ring.add(EventKind.GOOD, now=0.0, count=2**32)
    ring.add(EventKind.GOOD, now=1.0)
    assert ring.counts(Window.M5, now=1.0).good == 2**32 - 1
    assert len(ring._counts) * ring._counts.itemsize == 5776
