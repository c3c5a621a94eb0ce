"""The sealed log on a store that has stopped answering."""

from __future__ import annotations

import asyncio

import pytest
from log_harness import RETENTION_S, entry, make_log

from rhubarbferry.ports.entry_log import LogError
from rhubarbferry.ports.store import StoreUnavailable, StoreUnclear
from rhubarbferry.test.fake_clock import FakeClock
from rhubarbferry.test.memory_store import MemoryStore

CALL_TIMEOUT_S = 1.0
TIMER_DELAY_S = 0.01
# A write without an answer is verified by a read, and each call has its own timeout.
MAX_WAIT_S = 2 * CALL_TIMEOUT_S + 0.5


class SilentStore(MemoryStore):
    """A store whose calls time out once ``calls_left`` of them have been answered."""

    calls_left = float("inf")

    async def call(self, kind, operation, *, size=0):
        self.calls_left -= 1
        if self.calls_left >= 0:
            return await super().call(kind, operation, size=size)
        await self.clock.sleep(CALL_TIMEOUT_S + TIMER_DELAY_S)
        raise StoreUnclear("no answer") if kind.writes else StoreUnavailable("no answer")


@pytest.mark.parametrize("verify_due", [False, True])
@pytest.mark.parametrize("answered_calls", [0, 1])
async def test_appends_fail_soon_when_the_store_is_silent(verify_due, answered_calls):
    """Guards against callers that wait for a deadline while the head of the log is verified."""
    clock = FakeClock()
    store = SilentStore(clock=clock)
    log = make_log(store, epoch=1)
    await log.open()
    if verify_due:
        await clock.advance(RETENTION_S)
    store.calls_left = answered_calls
    appends = [asyncio.create_task(log.append([entry(number)])) for number in range(3)]
    await clock.advance(MAX_WAIT_S)
    assert all(append.done() for append in appends)
    results = await asyncio.gather(*appends, return_exceptions=True)
    if answered_calls and not verify_due:
        assert results == [None] * 3
    else:
        assert all(isinstance(result, LogError) for result in results)
    await log.close()
