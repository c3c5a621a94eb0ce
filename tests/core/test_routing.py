from __future__ import annotations

import random

import pytest

from rhubarbferry.core.partition import key_partition, runner_partition, worker_partition
from rhubarbferry.core.routing import SpillRules, choose_fallback, choose_region, choose_spill

A = runner_partition(region="a", service="s")
B = runner_partition(region="b", service="s")
OTHERS = [
    runner_partition(region="c", service="t"),
    key_partition(region="c", number=0),
    worker_partition(region="c", rack="s"),
]


@pytest.mark.parametrize(
    ("own", "partitions", "expected"),
    [("a", [B, A], A), ("b", [A, B], B), ("c", [B, A], A), ("a", [B], B), ("a", [], None)],
)
def test_the_own_region_is_preferred_if_it_has_the_service(own, partitions, expected) -> None:
    found = choose_region(service="s", own_region=own, partitions=[*OTHERS, *partitions])
    assert found == expected


C = runner_partition(region="c", service="s")
RULES = SpillRules(round_trip_s=0.04, margin_s=0.25)
NEVER = SpillRules(round_trip_s=0.04, margin_s=0.0)
INF = float("inf")


@pytest.mark.parametrize(
    ("home_wait_s", "waits", "draw", "expected"),
    [
        (None, {B: 0.0}, 0.0, None),
        (0.0, {B: 0.0}, 0.0, None),
        (0.28, {B: 0.0}, 0.0, None),
        (0.30, {B: 0.0}, 0.0, B),
        (5.0, {B: 4.8}, 0.0, None),
        (5.0, {B: 4.0, C: 1.0}, 0.0, C),
        (5.0, {A: 0.0}, 0.0, None),
        (5.0, {}, 0.0, None),
        (5.0, {B: 3.46}, 0.29, B),
        (5.0, {B: 3.46}, 0.31, None),
        (5.0, {B: 0.0}, 0.49, B),
        (5.0, {B: 0.0}, 0.51, None),
        (INF, {B: 3.0}, 0.999, B),
        (INF, {}, 0.0, None),
    ],
    ids=[
        "home unknown",
        "home free",
        "within the margin",
        "past the margin",
        "gain below the margin",
        "the best of two",
        "only home wait known",
        "no wait known",
        "drawn to spill",
        "drawn to stay",
        "at most half spills",
        "at least half stays",
        "no owner at home",
        "no owner anywhere",
    ],
)
def test_a_request_spills_only_if_it_starts_earlier_by_the_margin(
    home_wait_s, waits, draw, expected
) -> None:
    arguments = {"home": A, "home_wait_s": home_wait_s, "waits": waits, "draw": draw}
    assert choose_spill(**arguments, rules=RULES) == expected
    assert choose_spill(**arguments, rules=NEVER) is None


@pytest.mark.parametrize(
    ("waits", "remaining_s", "expected"),
    [
        ({B: 0.5, C: 0.6}, 1.0, B),
        ({B: 0.5}, 0.79, None),
        ({B: 0.5}, 0.80, B),
        ({A: 0.0}, 9.0, None),
        ({}, 9.0, None),
    ],
)
def test_a_refused_request_is_sent_where_it_can_still_start_in_time(
    waits, remaining_s, expected
) -> None:
    arguments = {"home": A, "waits": waits, "remaining_s": remaining_s}
    assert choose_fallback(**arguments, rules=RULES) == expected
    assert choose_fallback(**arguments, rules=NEVER) is None


def test_outdated_waits_do_not_make_all_frontends_switch_regions() -> None:
    """Frontends receive the waits of the regions only at intervals.

    If all of them used the best region in between, it would be overloaded at the next update and
    all would switch back, so that both regions oscillate between idle and overloaded.
    """
    rng = random.Random(5)
    waits = {A: 8.0, B: 0.0}
    spilled_counts = []
    for _ in range(30):
        known = dict(waits)
        spilled = [
            choose_spill(home=A, home_wait_s=known[A], waits=known, rules=RULES, draw=rng.random())
            for _ in range(100)
        ].count(B)
        spilled_counts.append(spilled)
        waits = {
            A: max(0.0, waits[A] + (100 - spilled) * 0.02 - 1.5),
            B: max(0.0, waits[B] + spilled * 0.02 - 1.5),
        }
    assert max(spilled_counts[10:]) - min(spilled_counts[10:]) < 60
