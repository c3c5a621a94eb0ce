"""The task that writes job states, at the end of a term."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from rhubarbferry.cell.recorder import Recorder
from rhubarbferry.cell.term_context import OwnershipLost, Tenure, TermContext
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.takeover import Takeover
from rhubarbferry.ports.clock import SystemClock

from .fakes import FakeEventLog, keeper_of

TIMEOUT_S = 1.0


def term_context(keeper) -> TermContext:
    return TermContext(
        process=SimpleNamespace(clock=SystemClock(), log=FakeEventLog(), store=None),
        tenure=Tenure(keeper=keeper, lease_id=7, fence=3),
        dispatcher=Dispatcher(takeover=Takeover(leases_expire_at=0.0), lease_s=6.0),
    )


@pytest.mark.parametrize("turns", range(5))
async def test_a_recorder_that_is_cancelled_as_a_job_ends_stops(turns):
    """Guards against a term that never ends, so that no process schedules."""
    ctx = term_context(keeper_of(SimpleNamespace(id=7)))
    recording = asyncio.create_task(Recorder(ctx=ctx).run())
    ctx.record.set()
    await asyncio.sleep(0.01)
    ctx.job_ended.set()
    for _ in range(turns):
        await asyncio.sleep(0)
    recording.cancel()
    done, _ = await asyncio.wait({recording}, timeout=TIMEOUT_S)
    assert done


def test_a_tenure_that_has_ended_with_its_lease_is_not_revived():
    """Guards against a late renewal after which some tasks of a term go on, others have ended."""
    lease = SimpleNamespace(id=7)
    keeper = keeper_of(lease)
    tenure = term_context(keeper).tenure
    for kept in (None, lease):
        keeper.kept_lease = lambda kept=kept: kept
        with pytest.raises(OwnershipLost):
            tenure.check()
    assert not tenure.holds()
