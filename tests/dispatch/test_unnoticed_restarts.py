"""Step lists in which a ticket is issued for an incarnation that the owner doesn't know of yet.

A start order with such a ticket is carried out by the new incarnation, which has seen no fence
number, though the owner meant the earlier one.
"""

from __future__ import annotations

from .test_dispatcher_machine import HOSTS, QUEUES, Fate
from .test_incarnation_machine import ADDRESSES, KINDS
from .test_two_owners_machine import TwoOwnersMachine

URGENT = QUEUES[0]
OTHERS = {"h1", "h2"}


def machine() -> TwoOwnersMachine:
    """Return a machine whose owner reaches the first host only."""
    found = TwoOwnersMachine()
    found.begin(rates=[1.0] * HOSTS)
    found.partitioned.update(OTHERS)
    found.advance(ticks=8)
    return found


def submit(found: TwoOwnersMachine) -> None:
    found.submit(widths=[1], cores=1, gang=False, checkpointable=False, queue=URGENT)


def set_latencies(found: TwoOwnersMachine, *, decision_ticks: int, late_call_ticks: int = 5):
    found.set_latencies(
        decision_ticks=decision_ticks, trip_ticks=0, late_call_ticks=late_call_ticks
    )


def submit_at_restart(found: TwoOwnersMachine, **fields) -> None:
    found.submit_at_restart(host=0, width=1, cores=1, **fields)


def cut_off(found: TwoOwnersMachine) -> None:
    """Let the owner reach all hosts but the first."""
    found.partitioned = {"h0"}
    set_latencies(found, decision_ticks=1)


def test_run_of_an_unnoticed_incarnation_is_not_given_up_before_its_lease_ends():
    """Guards against leases that are counted from before the start that was carried out late."""
    found = machine()
    set_latencies(found, decision_ticks=4)
    submit_at_restart(found, reports_lost=True, fate=Fate.LATE, ticks=6)
    cut_off(found)
    found.advance(ticks=36)
    found.teardown()


def test_run_of_an_unnoticed_incarnation_is_not_given_up_while_late_polls_extend_its_lease():
    """Guards against a poll with a time on an earlier clock, which extends the lease anew."""
    found = machine()
    found.delay_polls(host=0)
    set_latencies(found, decision_ticks=1, late_call_ticks=16)
    found.advance(ticks=2)
    found.polls_late.clear()
    set_latencies(found, decision_ticks=1)
    submit_at_restart(found, reports_lost=True, fate=Fate.LATE, ticks=3)
    cut_off(found)
    found.advance(ticks=50)
    found.teardown()


def test_late_report_of_the_earlier_incarnation_does_not_end_a_run_of_the_next_one():
    """Guards against a report from before a start that ends the run which was answered since."""
    found = machine()
    found.delay_reports(host=0, ticks=3)
    found.advance(ticks=8)
    submit_at_restart(found, reports_lost=False, fate=Fate.ANSWERED, ticks=5)
    found.teardown()


def test_new_owner_waits_for_leases_of_an_incarnation_that_the_former_owner_did_not_know_of():
    """Guards against a start of the former owner that is carried out after the end of its lease."""
    found = machine()
    set_latencies(found, decision_ticks=4)
    found.set_fates(host=0, fates=[Fate.LATE])
    submit(found)
    found.restart_unnoticed(host=0, reports_lost=True)
    found.take_over_beside(
        cut_off={0}, former_cut_off={1, 2}, reads_host_list=False, acts_first=True
    )
    found.advance(ticks=11)
    assert found.oracle.hosts["h0"].running
    found.fates.clear()
    set_latencies(found, decision_ticks=1)
    found.advance(ticks=24)
    found.teardown()


def take_over_beside_request(decision_ticks: int) -> TwoOwnersMachine:
    """Replace an owner that waits for a ticket, and acts on; its successor reaches all hosts."""
    found = machine()
    set_latencies(found, decision_ticks=decision_ticks)
    submit(found)
    found.advance(ticks=1)
    found.take_over_beside(
        cut_off=set(), former_cut_off={1, 2}, reads_host_list=False, acts_first=True
    )
    assert found.former is not None
    found.former.reports_lost = {"h0"}
    return found


def test_former_owner_starts_nothing_beside_its_successor_on_a_host_that_restarts():
    """Guards against a host that was confirmed, then restarts and takes the former owner's call."""
    found = take_over_beside_request(decision_ticks=2)
    found.advance(ticks=1)
    found.restart_unnoticed(host=0, reports_lost=False)
    found.advance(ticks=2)
    found.teardown()


def test_former_owner_starts_nothing_on_a_host_that_is_back_at_its_address():
    """Guards against a host that counts as gone at a takeover and starts anew at its address."""
    found = take_over_beside_request(decision_ticks=3)
    found.former.partitioned = {"h0"} | OTHERS
    first, second, *others = ADDRESSES
    kinds = [host.kind for host in found.oracle.hosts.values()]
    for host in range(HOSTS):
        found.delay_entry(host)
    found.move([second, first, *others], kinds)
    set_latencies(found, decision_ticks=1)
    found.advance(ticks=1)
    assert "h0" not in found.dispatcher.takeover.unconfirmed
    found.move(list(ADDRESSES), kinds)
    found.former.partitioned = OTHERS
    found.partitioned = {"h0"}
    found.advance(ticks=2)
    found.teardown()


def test_task_that_needs_a_kind_does_not_start_on_a_host_that_restarted_as_another():
    """Guards against a start by the label of an earlier incarnation, with a ticket of the next."""
    found = machine()
    set_latencies(found, decision_ticks=1)
    host = found.oracle.hosts["h0"]
    found.restart_unnoticed(host=0, reports_lost=True)
    found.change_kind(host=0, kind=KINDS[1 - KINDS.index(host.kind)])
    found.submit_for_kind(width=1, kind=host.listed_entry.labels[0], queue=URGENT)
    found.advance(ticks=3)
    found.teardown()
