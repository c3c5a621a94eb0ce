from __future__ import annotations

import pytest

from rhubarbferry.core.slots import (
    NoFreeSlot,
    RunnerReport,
    SlotEnd,
    SlotLease,
    SlotLedger,
    SlotRules,
    grant_ids,
)

RULES = SlotRules(margin_s=1.0, settle_s=0.5, longest_request_s=10.0)


def ledger(*, runners: int = 1, slots: int = 1) -> SlotLedger:
    slot_ledger = SlotLedger(rules=RULES)
    for number in range(runners):
        slot_ledger.put_runner(id=f"r{number}", address=f"a{number}", slots=slots, leaving=False)
    return slot_ledger


def lease(grant_id: int = 1, **changes) -> SlotLease:
    values = {
        "grant_id": grant_id,
        "request_id": f"q{grant_id}",
        "frontend_id": "f1",
        "account": "lanna",
        "runner_id": "r0",
        "usable_until": 1.0,
        "deadline": 5.0,
        "granted_at": 0.0,
    }
    return SlotLease(**{**values, **changes})


def report(asked_at: float, *running: str, finished: tuple[str, ...] = ()) -> RunnerReport:
    return RunnerReport(
        runner_id="r0",
        asked_at=asked_at,
        running=frozenset(running),
        finished=frozenset(finished),
    )


@pytest.mark.parametrize(
    ("end", "free"),
    [
        (SlotEnd.DONE, 1),
        (SlotEnd.NOT_SENT, 1),
        (SlotEnd.REFUSED_BY_RUNNER, 1),
        (SlotEnd.FAILED, 0),
        (SlotEnd.UNKNOWN, 0),
    ],
)
def test_only_a_conclusive_end_frees_a_slot(end: SlotEnd, free: int) -> None:
    slots = ledger()
    slots.grant(lease())
    slots.release(1, end, now=2.0)
    assert slots.free() == free


@pytest.mark.parametrize(
    ("status", "free"),
    [
        (report(2.2), 0),
        (report(2.6), 1),
        (report(2.6, "q1"), 0),
        (report(2.1, finished=("q1",)), 1),
    ],
    ids=["requested too early", "not running", "still running", "finished"],
)
def test_a_runner_report_frees_a_slot_with_unknown_end(status: RunnerReport, free: int) -> None:
    """A connection failed during a request, and the frontend does not know the outcome.

    If a report requested while bytes were in transit freed the slot, the runner would receive
    one request more than it has slots.
    """
    slots = ledger()
    slots.grant(lease())
    slots.release(1, SlotEnd.UNKNOWN, now=2.0)
    slots.apply_report(status, now=3.0)
    assert slots.free() == free


@pytest.mark.parametrize(("asked_at", "free"), [(0.8, 0), (1.4, 0), (1.6, 1)])
def test_an_unused_grant_of_a_dead_frontend_is_held_while_usable(asked_at, free) -> None:
    """A frontend that is declared dead may only be paused and hold an unused grant.

    It may resume and send until the grant expires, so an earlier report that the request is not
    running is not conclusive.
    """
    slots = ledger()
    slots.grant(lease())
    slots.frontend_gone("f1", now=0.2)
    slots.apply_report(report(asked_at), now=2.0)
    assert slots.free() == free


@pytest.mark.parametrize(("now", "free"), [(5.9, 0), (6.0, 1)])
def test_a_slot_without_reports_is_freed_after_deadline_and_margin(now, free) -> None:
    slots = ledger()
    slots.grant(lease())
    slots.frontend_gone("f1", now=0.5)
    slots.expire(now=now)
    assert slots.free() == free


def test_a_request_reported_as_running_keeps_its_slot_past_the_deadline() -> None:
    """A request runs past its deadline and its frontend is dead.

    If the slot were freed by time alone, a second request would get it while the first runs.
    """
    slots = ledger()
    slots.grant(lease())
    slots.frontend_gone("f1", now=0.5)
    slots.apply_report(report(5.8, "q1"), now=5.9)
    slots.expire(now=6.5)
    assert slots.free() == 0
    slots.expire(now=6.9)
    assert slots.free() == 1


def test_a_runner_that_is_listed_again_keeps_its_leases() -> None:
    """The host list temporarily omits a runner.

    If the ledger removed the runner, its slots would appear free while requests run on them.
    """
    slots = ledger()
    slots.grant(lease())
    slots.drop_runner("r0")
    assert slots.choose() is None
    slots.put_runner(id="r0", address="a0", slots=1, leaving=False)
    assert slots.choose() is None
    slots.release(1, SlotEnd.DONE, now=1.0)
    assert slots.choose().id == "r0"


@pytest.mark.parametrize("case", ["listed as leaving", "reports leaving", "not listed"])
def test_a_leaving_runner_is_not_chosen(case: str) -> None:
    slots = ledger(slots=4)
    match case:
        case "listed as leaving":
            slots.put_runner(id="r0", address="a0", slots=4, leaving=True)
        case "reports leaving":
            status = RunnerReport(runner_id="r0", asked_at=0, running=frozenset(), leaving=True)
            slots.apply_report(status, now=0.1)
        case "not listed":
            slots.drop_runner("r0")
    assert slots.choose() is None


def test_a_blocked_runner_has_no_free_slot_until_a_report_or_the_timeout() -> None:
    slots = ledger(slots=2)
    slots.block("r0", until=10.0, report_not_before=1.5)
    slots.apply_report(report(1.0), now=1.1)
    assert slots.free() == 0
    slots.apply_report(report(1.6, "stranger"), now=1.7)
    assert slots.free() == 1
    slots.block("r0", until=10.0, report_not_before=99.0)
    slots.expire(now=10.0)
    assert slots.free() == 1


def test_the_least_loaded_runner_is_chosen_then_the_faster_one() -> None:
    slots = ledger(runners=3, slots=2)
    slots.grant(lease(runner_id="r2"))
    slots.served("r0", 0.5)
    slots.served("r1", 0.1)
    assert slots.choose().id == "r1"
    assert slots.choose(excluded={"r1"}).id == "r0"
    assert slots.choose(allowed=lambda id: id == "r2").id == "r2"


def test_capacity_is_the_lower_of_configured_and_reported_slots() -> None:
    slots = ledger(slots=4)
    status = RunnerReport(runner_id="r0", asked_at=0, running=frozenset(), slots=1)
    slots.apply_report(status, now=0.1)
    slots.grant(lease())
    with pytest.raises(NoFreeSlot):
        slots.grant(lease(2))


def test_a_late_release_of_an_earlier_epoch_frees_no_slot() -> None:
    """A frontend repeats a release to the successor of the owner that granted the slot.

    If grant ids restarted with each epoch, it would free the slot of another request.
    """
    assert next(iter(grant_ids(4))) != next(iter(grant_ids(5)))
    slots = ledger()
    slots.grant(lease(next(iter(grant_ids(5)))))
    assert slots.release(next(iter(grant_ids(4))), SlotEnd.DONE, now=1.0) is None
    assert slots.free() == 0
