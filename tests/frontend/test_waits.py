from __future__ import annotations

import asyncio
import random

import pytest
from frontend_harness import FakeOwnership
from test_guard import ManualClock

from rhubarbferry.core.cell import PriorityClass
from rhubarbferry.core.partition import runner_partition
from rhubarbferry.core.routing import SpillRules
from rhubarbferry.frontend.spill import Spill
from rhubarbferry.frontend.waits import MAX_CLASSES, ExpectedWaits, WaitClass
from rhubarbferry.rpc.gen import ttypes as t

HOME = runner_partition(region="a", service="s")
REMOTE = runner_partition(region="b", service="s")
OTHER = runner_partition(region="b", service="other")
NORMAL = WaitClass(account="acme", priority=PriorityClass.NORMAL)
POLL_S = 2.0


class FakeOwners:
    """Owners that answer with the waits from a dict; -1 means an unknown wait."""

    def __init__(self, waits_ms: dict[str, int]) -> None:
        self.waits_ms = waits_ms
        self.polls: list[tuple[str, int]] = []

    async def call_once(self, partition, method, req, *, timeout_s):
        self.polls.append((str(partition), len(req.classes)))
        await asyncio.sleep(0)
        if str(partition) not in self.waits_ms:
            return None
        waits = [self.waits_ms[str(partition)]] * len(req.classes)
        return t.WaitsReply(owner=True, epoch=1, waits_ms=waits)


class SteppedClock(ManualClock):
    """A clock whose ``sleep`` returns only when the test sets ``go``."""

    def __init__(self) -> None:
        super().__init__()
        self.go = asyncio.Event()
        self.sleeping = asyncio.Event()

    async def sleep(self, seconds: float) -> None:
        self.sleeping.set()
        await self.go.wait()
        self.go.clear()
        self.sleeping.clear()


def make_spill(
    clock: ManualClock, owners: FakeOwners, owned: tuple = (HOME, REMOTE, OTHER)
) -> tuple[ExpectedWaits, Spill]:
    view = FakeOwnership(owners={str(partition): ("address", 1) for partition in owned})
    waits = ExpectedWaits(clock=clock, owners=owners, ownership=view, poll_s=POLL_S)
    rules = SpillRules(round_trip_s=0.04, margin_s=0.25)
    return waits, Spill(waits=waits, ownership=view, rules=rules, rng=random.Random(1))


async def wait_for_poll(clock: SteppedClock) -> None:
    async with asyncio.timeout(2.0):
        await clock.sleeping.wait()


async def test_other_regions_are_polled_only_on_demand() -> None:
    """Traffic between regions has a cost, so a region with free slots does not poll the others."""
    clock, owners = SteppedClock(), FakeOwners({str(HOME): 9000, str(REMOTE): 0})
    waits, spill = make_spill(clock, owners)
    running = asyncio.create_task(waits.run())
    for wait_ms in (None, 0, 200):
        waits.record(HOME, NORMAL, wait_ms)
        assert spill.select(HOME, NORMAL) == HOME
    await asyncio.sleep(0)
    assert owners.polls == []
    waits.record(HOME, NORMAL, 9000)
    spill.select(HOME, NORMAL)
    await wait_for_poll(clock)
    assert sorted(owners.polls) == [(str(HOME), 1), (str(REMOTE), 1)]
    chosen = {spill.select(HOME, NORMAL) for _ in range(50)}
    assert chosen == {HOME, REMOTE}
    clock.now += 100.0
    clock.go.set()
    await asyncio.sleep(0.01)
    assert len(owners.polls) == 2
    assert spill.select(HOME, NORMAL) == HOME
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


@pytest.mark.parametrize(
    ("waits_ms", "owned", "fallback"),
    [
        ({str(REMOTE): 100}, (HOME, REMOTE), REMOTE),
        ({str(REMOTE): -1}, (HOME, REMOTE), None),
        ({}, (HOME, REMOTE), None),
        ({str(REMOTE): 100}, (HOME,), None),
        ({str(REMOTE): 4990}, (HOME, REMOTE), None),
    ],
    ids=["room there", "no slots there", "no answer", "no owner there", "no time there"],
)
async def test_spilling_requires_a_recent_expected_wait(waits_ms, owned, fallback) -> None:
    """Another region has lost its runners, its owner or its network link.

    A request sent there because of an outdated wait would remain queued until its deadline.
    """
    clock = SteppedClock()
    waits, spill = make_spill(clock, FakeOwners(waits_ms), owned)
    assert spill.fallback(HOME, NORMAL, 5.0) is None
    running = asyncio.create_task(waits.run())
    await wait_for_poll(clock)
    assert spill.fallback(HOME, NORMAL, 5.0) == fallback
    clock.now += 3 * POLL_S
    assert spill.fallback(HOME, NORMAL, 5.0) is None
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


def test_the_number_of_polled_classes_is_limited() -> None:
    clock, owners = ManualClock(), FakeOwners({})
    waits, _ = make_spill(clock, owners)
    for number in range(2 * MAX_CLASSES):
        waits.add_demand("s", WaitClass(account=f"a{number}", priority=PriorityClass.NORMAL))
    assert all(len(classes) == MAX_CLASSES for _, classes in waits._poll_targets())
