"""Cancelled jobs whose tasks end while they are being stopped."""

from __future__ import annotations

import pytest

from rhubarbferry.dispatch.messages import Account, EndKind, Sizes

from .test_dispatcher_machine import HOSTS, QUEUES, DispatcherMachine
from .world import CORES, World, job, step

URGENT = QUEUES[0]


def test_done_task_of_a_cancelled_job_is_not_started_by_the_next_owner():
    """Guards against acknowledging an end of which the next owner finds nothing on record."""
    machine = DispatcherMachine()
    machine.begin(rates=[1.0] * HOSTS)
    machine.submit(widths=[2], cores=1, gang=False, checkpointable=False, queue=URGENT)
    machine.advance(ticks=1)
    machine.cancel(pick=0)
    machine.end_run(pick=0, how=EndKind.DONE)
    machine.advance(ticks=1)
    machine.record()
    machine.advance(ticks=1)
    machine.take_over()
    machine.teardown()


@pytest.mark.parametrize(
    ("account", "recorded"),
    [
        pytest.param(None, True, id="no account"),
        pytest.param(Account(name="lanna", quota=Sizes(millicores=4 * CORES)), False, id="account"),
    ],
)
def test_only_a_quota_delays_the_record_of_a_cancelled_job(account, recorded):
    """Guards against deployments without accounts that pay for what only quotas need."""
    world = World("h0", "h1")
    world.add(job("j", step(2), account=account))
    world.accept(*world.starts())
    world.dispatcher.cancel_job("j")
    assert ("j" in world.dispatcher.dirty) is recorded
