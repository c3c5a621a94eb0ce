from __future__ import annotations

import pytest

from rhubarbferry.core.ejection import EjectionRules, Ejector, Health

RULES = EjectionRules(
    distinct_failures=3, window_s=30.0, eject_s=5.0, max_eject_s=8.0, max_share=0.3
)


def eject_after(causes: str, *, hosts: int = 10, id: str = "h", ejector=None) -> Ejector:
    tracker = ejector or Ejector(rules=RULES)
    for at, cause in enumerate(causes):
        tracker.failed(id, cause, now=float(at), hosts=hosts)
    return tracker


@pytest.mark.parametrize(
    ("causes", "hosts", "health"),
    [
        ("abc", 10, Health.EJECTED),
        ("ab", 10, Health.IN_USE),
        ("aaaa", 10, Health.IN_USE),
        ("abc", 3, Health.IN_USE),
    ],
    ids=["distinct", "too few", "one cause", "over max_share"],
)
def test_failures_with_distinct_causes_eject_a_host(
    causes: str, hosts: int, health: Health
) -> None:
    assert eject_after(causes, hosts=hosts).health("h", now=3.0) is health


def test_failures_outside_the_window_or_before_a_success_are_ignored() -> None:
    tracker = eject_after("ab")
    tracker.failed("h", "c", now=60.0, hosts=10)
    assert tracker.health("h", now=60.0) is Health.IN_USE
    tracker = eject_after("ab")
    tracker.succeeded("h", "x", now=2.0)
    tracker.failed("h", "c", now=3.0, hosts=10)
    assert tracker.health("h", now=3.0) is Health.IN_USE


@pytest.mark.parametrize("end", ["success", "failure", "inconclusive", "work before ejection"])
def test_an_ejected_host_is_probed_with_one_request(end: str) -> None:
    """A host that fails all of its work is given a single request or job per probe."""
    tracker = eject_after("abc")
    assert tracker.health("h", now=6.9) is Health.EJECTED
    assert tracker.health("h", now=7.0) is Health.PROBED
    tracker.started("h", "probe", now=7.0)
    assert not tracker.usable("h", now=7.1)
    match end:
        case "success":
            tracker.succeeded("h", "probe", now=8.0)
            assert tracker.health("h", now=8.0) is Health.IN_USE
        case "failure":
            assert tracker.failed("h", "probe", now=8.0, hosts=10)
            assert tracker.health("h", now=15.9) is Health.EJECTED
            assert tracker.health("h", now=16.0) is Health.PROBED
        case "inconclusive":
            tracker.record_inconclusive("h", "probe")
            assert tracker.health("h", now=8.0) is Health.PROBED
        case "work before ejection":
            tracker.succeeded("h", "old", now=8.0)
            tracker.failed("h", "older", now=8.0, hosts=10)
            assert tracker.health("h", now=99.0) is Health.EJECTED


def test_the_ejected_fraction_is_limited() -> None:
    """A failed switch makes all hosts appear faulty; most of them must remain in use."""
    tracker = Ejector(rules=RULES)
    for number in range(10):
        eject_after("abc", id=f"h{number}", ejector=tracker)
    assert tracker.ejected() == 3


@pytest.mark.parametrize("now", [0.5, 3.0, 6.9, 7.0, 7.5])
@pytest.mark.parametrize("probed", [False, True])
def test_unusable_returns_exactly_the_hosts_that_are_not_usable(now: float, probed: bool) -> None:
    """``unusable()`` and ``usable()`` must agree, or an ejected host is given work."""
    tracker = eject_after("abc", id="ejected")
    tracker.failed("failed once", "a", now=0.0, hosts=10)
    if probed:
        tracker.started("ejected", "probe", now=7.0)
    hosts = ("ejected", "failed once", "unknown")
    assert tracker.unusable(now=now) == {id for id in hosts if not tracker.usable(id, now=now)}
