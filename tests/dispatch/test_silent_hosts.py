"""Hosts that stop answering, and the tasks that run on them."""

from __future__ import annotations

import pytest

from rhubarbferry.dispatch.hosts import MAX_ORDER_DELAY_S
from rhubarbferry.dispatch.messages import Unanswered
from rhubarbferry.dispatch.retries import START_TIMEOUTS_S

from .world import LEASE_S, World, entry, job, step


@pytest.mark.parametrize("gang", [False, True])
def test_tasks_of_a_dead_host_start_elsewhere_when_their_leases_expire(gang):
    """Guards against task leases of a dead host that are counted as extended for ever."""
    world = World("a", "b")
    world.add(job("j", step(2, gang=gang)))
    orders = world.starts()
    world.accept(*orders)
    dead = orders[0].host
    alive = "b" if dead == "a" else "a"
    died_at = world.now
    again = []
    while not again and world.now < died_at + 30:
        world.now += 0.5
        world.dispatcher.tracker.hosts[dead].extend_leases(world.now, LEASE_S)
        world.deliver_reports(alive)
        again = world.starts()
    assert {order.host for order in again} == {alive}
    assert LEASE_S <= world.now - died_at <= LEASE_S + 3.0


def test_a_partitioned_host_keeps_its_tasks_while_their_leases_last():
    """Guards against a second run of a task whose host is partitioned and still runs it."""
    world = World("a", "b")
    world.add(job("j", step()))
    (order,) = world.starts()
    world.accept(order)
    other = "b" if order.host == "a" else "a"
    for _ in range(8):
        world.deliver_reports(other)
        assert world.starts(0.5) == []
    world.hosts[order.host].end(order)
    world.deliver_reports()
    assert world.starts() == []
    assert world.dispatcher.jobs["j"].phase.final


@pytest.mark.parametrize("answered", [True, False])
def test_tasks_of_a_host_that_is_silent_since_its_restart_start_elsewhere(answered):
    """Guards against a start that stays unclear for ever, since no incarnation reports any more."""
    world = World("a", "b")
    world.add(job("j", step()))
    (order,) = world.starts()
    if answered:
        world.accept(order)
    else:
        for timeout_s in START_TIMEOUTS_S:
            world.answer(order, Unanswered())
            world.starts(timeout_s)
    other = "b" if order.host == "a" else "a"
    world.dispatcher.host_listed(entry(order.host, incarnation=2), now=world.now)
    restarted_at = world.now
    world.dispatcher.host_unlisted(order.host)
    again = []
    while not again and world.now < restarted_at + 60:
        world.now += 0.5
        world.deliver_reports(other)
        again = world.starts()
    assert {order.host for order in again} == {other}
    assert world.now - restarted_at > MAX_ORDER_DELAY_S + LEASE_S
    assert order.host not in world.dispatcher.tracker.hosts
