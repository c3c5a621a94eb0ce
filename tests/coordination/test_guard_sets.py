from __future__ import annotations

import asyncio

import pytest
from attrs import evolve

from rhubarbferry.conf.settings import OwnershipSettings
from rhubarbferry.coordination.guard_sets import CloseConfirmation, GuardSetManager
from rhubarbferry.coordination.mirror import Mirror
from rhubarbferry.core.guards import GuardSet
from rhubarbferry.core.ownership import Table
from rhubarbferry.ports.ownership import Guard, Member, Role
from rhubarbferry.test.fake_clock import FakeClock, run_ready_tasks


def frontend(name: str) -> Member:
    return Member(
        id=name, role=Role.FRONTEND, address=f"{name}:1", region="north", failure_domain="a"
    )


OLD = GuardSet(version=3, guards=tuple(Guard(id=n, address=f"{n}:1") for n in "abc"))
CFG = OwnershipSettings(clock_margin_s=0.5, longest_extension_s=100.0)


class FakeGuards:
    """Guards of which only live ones answer; a promise may still be open."""

    def __init__(self, alive: str, left_s: float = 0.0) -> None:
        self.alive = alive
        self.left_s = left_s

    async def __call__(self, guard, *, region, version):
        if guard.id not in self.alive:
            return None
        return CloseConfirmation(guard_id=guard.id, promise_left_s=self.left_s)


async def proposed_set(*, alive, left_s=0.0, seconds, extension_s=100.0, closing=False):
    """Return the guard set proposed after some time, with live frontends ``bcd``."""
    clock, mirror = FakeClock(), Mirror()
    table = Table(guards={"north": evolve(OLD, closing=closing)})
    members = {name: frontend(name) for name in "bcd"}
    mirror.state = evolve(mirror.state, table=table, members=members)
    cfg = evolve(CFG, longest_extension_s=extension_s)
    manager = GuardSetManager(
        cfg=cfg, clock=clock, mirror=mirror, close_set=FakeGuards(alive, left_s)
    )
    task = asyncio.ensure_future(manager.run())
    await run_ready_tasks()
    await clock.advance(seconds)
    task.cancel()
    return manager.apply(table, members.values()).guards["north"]


@pytest.mark.parametrize(
    ("case", "version", "closing", "names"),
    [
        ({"alive": "bc", "seconds": 1.0}, 4, False, "bcd"),
        ({"alive": "bc", "left_s": 2.0, "seconds": 1.0}, 3, False, "abc"),
        ({"alive": "bc", "left_s": 2.0, "seconds": 3.0}, 4, False, "bcd"),
        ({"alive": "c", "seconds": 1.0}, 3, False, "abc"),
        ({"alive": "cd", "seconds": 29.0}, 3, False, "abc"),
        ({"alive": "c", "seconds": 31.0}, 4, True, "abc"),
        ({"alive": "c", "seconds": 99.0, "closing": True}, 3, True, "abc"),
        ({"alive": "c", "seconds": 101.0, "closing": True}, 4, False, "bcd"),
        ({"alive": "c", "seconds": 0.0, "extension_s": 0.0}, 4, False, "bcd"),
    ],
)
async def test_set_changes_only_when_it_is_safe(case, version, closing, names):
    """One or two of the guards a, b and c die, and the frontend d is new.

    The set is replaced once a majority of it has closed the old version and its promises have
    expired, or after ``longest_extension_s``.
    """
    found = await proposed_set(**case)
    assert (found.version, found.closing) == (version, closing)
    assert "".join(guard.id for guard in found.guards) == names


async def test_change_that_is_no_longer_wanted_opens_the_set_again():
    """The guards have closed their set for a new frontend, which then died.

    Without a new version of the set they would refuse all promises permanently.
    """
    clock, mirror = FakeClock(), Mirror()
    table = Table(guards={"north": OLD})
    members = {name: frontend(name) for name in "abcd"}
    mirror.state = evolve(mirror.state, table=table, members=members)
    manager = GuardSetManager(cfg=CFG, clock=clock, mirror=mirror, close_set=FakeGuards("abc"))
    task = asyncio.ensure_future(manager.run())
    await clock.advance(1.0)
    task.cancel()
    del members["d"]
    found = manager.apply(table, members.values()).guards["north"]
    assert found == evolve(OLD, version=4)
