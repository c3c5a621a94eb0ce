from __future__ import annotations

import pytest

from rhubarbferry.coordination.tenure import HeldTenure
from rhubarbferry.core.lease import Lease
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.core.promise import GuardState, HeldPromises
from rhubarbferry.test.fake_clock import FakeClock

HOUR_S = 3600.0
PROMISE_S = 3.0
RENEWAL_INTERVAL_S = 0.75
MARGIN_S = 0.3
EXTENSION_S = 7200.0


@pytest.mark.parametrize(
    ("name", "answering", "may_act"),
    [
        ("runner/attiki/orders", 3, True),
        ("runner/attiki/orders", 2, True),
        ("runner/attiki/orders", 1, False),
        ("key/attiki/0", 3, False),
    ],
    ids=["all guards", "two of three", "one of three", "keys"],
)
def test_owner_during_an_outage_of_one_hour(name, answering, may_act) -> None:
    """The store is unavailable for an hour.

    Requests that can be repeated safely continue while a majority of the frontends makes promises.
    Key partitions, whose decisions must be recorded, stop for the whole hour. No frontend
    acknowledges another owner in the meantime.
    """
    clock = FakeClock()
    began = clock.monotonic()
    lease = Lease.granted(id=1, incarnation=1, asked_at=began, ttl_s=3.0, margin_s=MARGIN_S)
    guards = {f"f{number}": GuardState() for number in range(3)}
    book = HeldPromises(margin_s=MARGIN_S)
    book.set_guards(guards=guards, version=1)
    tenure = HeldTenure(
        partition=PartitionId.parse(name),
        epoch=4,
        incarnation=1,
        clock=clock,
        lease_holds=lambda: lease.holds(clock.monotonic()),
        extension_until=lambda: began + EXTENSION_S,
        promises=book,
    )
    held: set[bool] = set()
    acknowledged: set[bool] = set()
    while (now := clock.monotonic()) < began + HOUR_S:
        for id, state in list(guards.items())[:answering]:
            answer = state.promise(epoch=4, owner="s1", now=now, duration_s=PROMISE_S, version=1)
            if answer.accepted:
                book.add_promise(guard=id, version=1, asked_at=now, duration_s=PROMISE_S)
        clock.jump(RENEWAL_INTERVAL_S)
        if lease.holds(clock.monotonic()):
            continue
        held.add(tenure.holds())
        first = guards["f0"].acknowledge(epoch=5, owner="s2", now=clock.monotonic())
        acknowledged.add(first.accepted)
    assert held == {may_act}
    assert acknowledged == {False}
