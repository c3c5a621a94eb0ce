"""Shared helpers of the failure tests of whole cells: names, owners and faults under load."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from request_load import REQUEST_TIMEOUT_S, Evaluation, Load, evaluate

from rhubarbferry.coordination.keys import CELL_PREFIX
from rhubarbferry.coordination.mirror import CellState, decode_state
from rhubarbferry.test.processes import ProcessCell, Shape
from rhubarbferry.test.relay import Mode, Scope

SEED = 11
LOAD_BEFORE_FAULT_S = 1.0
LOAD_AFTER_FAULT_S = 1.5
RECOVERY_TIMEOUT_S = 8.9
PAST_LEASE_S = 4.5
POLL_INTERVAL_S = 0.05
# A silent connection is guaranteed to be detected within 3 s. The slack covers a request that
# begins just before the next check of its connection and is resent on a new one, and delays on a
# busy host.
SILENCE_DETECTION_S = 3.0
SLACK_S = 2.0
RUNNERS_PARTITION = "runner/attiki/orders"
KEYS_PARTITION = "key/attiki/0"
FRONTENDS = ["frontend-attiki-1", "frontend-attiki-2"]
SCHEDULERS = ["scheduler-attiki-1", "scheduler-attiki-2"]
SHAPE = Shape(frontends=2, schedulers=2, runners=2, workers=1, key_partitions=2)

Fault = Callable[[ProcessCell], Awaitable[None]]


async def state_of(cell: ProcessCell) -> CellState:
    """Return members, ownership and configuration from the store."""
    store = cell.open_store()
    try:
        return decode_state((await store.list(CELL_PREFIX)).items)
    finally:
        await store.close()


async def owner_of(cell: ProcessCell, partition: str) -> str:
    """Return the name of the scheduler that owns a partition."""
    state = await state_of(cell)
    entry = next(e for p, e in state.table.entries.items() if str(p) == partition)
    return entry.member_id.rsplit("-", 1)[0]


async def every_scheduler_owns_partitions(cell: ProcessCell) -> bool:
    """Return whether each scheduler owns at least one partition."""
    state = await state_of(cell)
    owners = {entry.member_id for entry in state.table.entries.values()}
    return len(owners) == len(cell.processes_with_prefix("scheduler"))


async def wait_until_all_serve(cell: ProcessCell) -> None:
    """Wait until a request through each frontend succeeds."""
    for process in cell.processes_with_prefix("frontend"):
        await cell.wait_until_served(process.name)


async def set_mode_for(cell: ProcessCell, name: str, mode: Mode, *, seconds: float) -> None:
    """Set the mode of a link for a period, then restore it."""
    cell.links[name].set(mode)
    await asyncio.sleep(seconds)
    cell.links[name].set(Mode.PASS)


def silence(cell: ProcessCell, *names: str) -> None:
    """Discard all bytes on the current connections of links; new connections work."""
    for name in names:
        cell.links[name].set(Mode.SILENT, scope=Scope.EXISTING)


async def inject_under_load(
    cell: ProcessCell, fault: Fault, *, timeout_s: float = REQUEST_TIMEOUT_S
) -> Evaluation:
    """Send keyed and repeatable requests to both frontends while a fault is injected.

    Keyed requests have an idempotency key and run at most once; repeatable ones may run again.

    :param timeout_s: deadline of each request.
    """
    await wait_until_all_serve(cell)
    load = Load(cell=cell, frontends=FRONTENDS, rng=random.Random(SEED), timeout_s=timeout_s)
    running = asyncio.create_task(load.run())
    await asyncio.sleep(LOAD_BEFORE_FAULT_S)
    await fault(cell)
    recovery_s = [await cell.wait_until_served(name) for name in FRONTENDS]
    await asyncio.sleep(LOAD_AFTER_FAULT_S)
    load.stopping = True
    await running
    evaluation = await evaluate(load)
    print(f"recovered after {recovery_s} s, {evaluation.summary()}")
    assert max(recovery_s) < RECOVERY_TIMEOUT_S
    return evaluation


def assert_guarantees_kept(evaluation: Evaluation, *, lost: bool = False) -> None:
    """Assert that no guarantee was broken.

    :param lost: whether requests may remain unanswered because their frontend was killed.
    """
    assert not evaluation.run_twice
    assert not evaluation.wrong_answers
    assert not evaluation.false_not_run
    assert not evaluation.over_slots
    assert not evaluation.server_errors
    assert lost or evaluation.lost == 0
    assert evaluation.done > 50


async def wait_until(condition: Callable[[], Awaitable[bool]], *, within_s: float) -> None:
    """Poll a condition of another process until it is true.

    :raises TimeoutError: if that takes longer than ``within_s``.
    """
    async with asyncio.timeout(within_s):
        while True:
            if await condition():
                return
            await asyncio.sleep(POLL_INTERVAL_S)


async def kill_owner(cell: ProcessCell, partition: str) -> None:
    """Kill the scheduler that owns a partition."""
    await cell.processes[await owner_of(cell, partition)].kill()
