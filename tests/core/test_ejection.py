from __future__ import annotations

import pytest

from rhubarbferry.core.ejection import EjectionRules, Ejector, Health

RULES = EjectionRules(
    distinct_failures=3, window_s=30.0, eject_s=5.0, max_eject_s=8.0, max_share=0.3
)


def failing(causes: str, *, hosts: int = 10, id: str = "h", ejector=None) -> Ejector:
    made = ejector or Ejector(rules=RULES)
    for at, cause in enumerate(causes):
        made.failed(id, cause, now=float(at), hosts=hosts)
    return made


@pytest.mark.parametrize(
    ("causes", "hosts", "health"),
    [
        ("abc", 10, Health.EJECTED),
        ("ab", 10, Health.IN_USE),
        ("aaaa", 10, Health.IN_USE),
        ("abc", 3, Health.IN_USE),
    ],
    ids=["distinct", "too few", "one cause", "over the ceiling"],
)
def test_failures_of_distinct_causes_eject(causes: str, hosts: int, health: Health) -> None:
    assert failing(causes, hosts=hosts).health("h", now=3.0) is health


def test_old_failures_and_failures_before_a_success_do_not_count() -> None:
    made = failing("ab")
    made.failed("h", "c", now=60.0, hosts=10)
    assert made.health("h", now=60.0) is Health.IN_USE
    made = failing("ab")
    made.succeeded("h", "x", now=2.0)
    made.failed("h", "c", now=3.0, hosts=10)
    assert made.health("h", now=3.0) is Health.IN_USE


@pytest.mark.parametrize("end", ["success", "failure", "neither", "work from before"])
def test_an_ejected_host_is_probed_with_one_piece_of_work(end: str) -> None:
    """A host that fails all it gets must not get more than one piece to fail, each time."""
    made = failing("abc")
    assert made.health("h", now=6.9) is Health.EJECTED
    assert made.health("h", now=7.0) is Health.PROBED
    made.started("h", "probe", now=7.0)
    assert not made.usable("h", now=7.1)
    match end:
        case "success":
            made.succeeded("h", "probe", now=8.0)
            assert made.health("h", now=8.0) is Health.IN_USE
        case "failure":
            assert made.failed("h", "probe", now=8.0, hosts=10)
            assert made.health("h", now=15.9) is Health.EJECTED
            assert made.health("h", now=16.0) is Health.PROBED
        case "neither":
            made.neither("h", "probe")
            assert made.health("h", now=8.0) is Health.PROBED
        case "work from before":
            made.succeeded("h", "old", now=8.0)
            made.failed("h", "older", now=8.0, hosts=10)
            assert made.health("h", now=99.0) is Health.EJECTED


def test_no_more_than_the_ceiling_is_out_at_a_time() -> None:
    """A switch fails and every host looks sick. The fault is not theirs; work must go on."""
    made = Ejector(rules=RULES)
    for number in range(10):
        failing("abc", id=f"h{number}", ejector=made)
    assert made.ejected() == 3


@pytest.mark.parametrize("now", [0.5, 3.0, 6.9, 7.0, 7.5])
@pytest.mark.parametrize("probed", [False, True])
def test_the_hosts_that_are_out_of_use_are_those_that_may_not_get_work(
    now: float, probed: bool
) -> None:
    """Guards against an ejected host that gets work since two ways of asking differ."""
    made = failing("abc", id="ejected")
    made.failed("failed once", "a", now=0.0, hosts=10)
    if probed:
        made.started("ejected", "probe", now=7.0)
    hosts = ("ejected", "failed once", "unknown")
    assert made.unusable(now=now) == {id for id in hosts if not made.usable(id, now=now)}
