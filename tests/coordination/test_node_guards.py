from __future__ import annotations

import asyncio
import time

from attrs import evolve
from cell_harness import settings, until

from rhubarbferry.coordination.release import release_guards
from rhubarbferry.core.partition import PartitionKind
from rhubarbferry.core.promise import GuardState
from rhubarbferry.ports.ownership import Role
from rhubarbferry.rpc import PeerUnreachable
from rhubarbferry.rpc.gen.ttypes import (
    CloseGuardSetReply,
    CloseGuardSetRequest,
    PromiseReply,
    PromiseRequest,
)


async def test_guard_set_is_replaced_with_its_majority(cell):
    """One of three frontends dies; the other two confirm, and a new one joins the guard set."""
    guards = FakeGuardPool()
    node = await cell.join("a", guards=guards)
    frontends = [await cell.join(f"f{number}", role=Role.FRONTEND) for number in range(3)]
    await until(lambda: len(node.ownership.guards("north")) == 3)
    await until(lambda: _promised(node))
    await frontends[0].stop()
    guards.dead.add("f0")
    await cell.join("f3", role=Role.FRONTEND)
    names = ["f1", "f2", "f3"]
    await until(lambda: [guard.id for guard in node.ownership.guards("north")] == names)
    await until(lambda: _promised(node))


async def test_guard_set_without_its_majority_is_closed_first(cell, monkeypatch):
    """Two of three frontends die at the same time, so no majority can confirm.

    The set is marked as closing and replaced after ``longest_extension_s``.
    """
    monkeypatch.setattr("rhubarbferry.coordination.guard_sets.CLOSE_DELAY_S", 0.2)
    monkeypatch.setattr("rhubarbferry.coordination.guard_sets.RETRY_INTERVAL_S", 0.1)
    cfg = settings()
    cfg = evolve(cfg, ownership=evolve(cfg.ownership, longest_extension_s=0.5))
    guards = FakeGuardPool()
    node = await cell.join("a", guards=guards, cfg=cfg)
    frontends = [await cell.join(f"f{number}", role=Role.FRONTEND) for number in range(3)]
    await until(lambda: len(node.ownership.guards("north")) == 3)
    guards.dead.update({"f0", "f1"})
    await asyncio.gather(frontends[0].stop(), frontends[1].stop())
    await until(lambda: node.ownership.guard_set("north").closing)
    await until(lambda: not _runner(node).promises.guards)
    await until(lambda: [guard.id for guard in node.ownership.guards("north")] == ["f2"])


async def test_operator_can_release_dead_guards(cell):
    """Two of three frontends are permanently lost, and the operator releases the guard set.

    The remaining frontend forms the guard set immediately, not after ``longest_extension_s``.
    """
    guards = FakeGuardPool()
    node = await cell.join("a", guards=guards)
    frontends = [await cell.join(f"f{number}", role=Role.FRONTEND) for number in range(3)]
    await until(lambda: len(node.ownership.guards("north")) == 3)
    guards.dead.update({"f0", "f1"})
    await asyncio.gather(frontends[0].stop(), frontends[1].stop())
    await until(lambda: len(node.ownership.members(Role.FRONTEND)) == 1)
    await release_guards(cell.store, region="north", writer_id="op")
    await until(lambda: [guard.id for guard in node.ownership.guards("north")] == ["f2"])


async def test_an_owner_respects_the_promise_limit_of_its_guards(cell):
    """The operators lengthen promises, and the schedulers restart before the frontends.

    The frontends refuse the longer promises. The owner must request shorter ones, or it would stop
    as soon as the store is unavailable.
    """
    guards = FakeGuardPool(limit_ms=200)
    node = await cell.join("a", guards=guards)
    await cell.join("f0", role=Role.FRONTEND)
    await until(lambda: _promised(node))
    assert guards.requested_ms[0] > 200 and guards.requested_ms[-1] == 200


async def test_a_handover_releases_promises(cell):
    """A scheduler hands over as planned while the promises of its guards are still valid.

    If the guards waited for their promises to expire, the successor could not grant slots for up
    to 3 s.
    """
    cfg = settings()
    cfg = evolve(cfg, ownership=evolve(cfg.ownership, promise_s=6.0))
    guards = FakeGuardPool()
    node = await cell.join("a", guards=guards, cfg=cfg)
    frontends = [await cell.join(f"f{number}", role=Role.FRONTEND) for number in range(3)]
    await until(lambda: _promised(node))
    await until(lambda: all(guards.left_s(frontend.member_id) > 0 for frontend in frontends))
    await node.drain()
    await until(lambda: all(guards.left_s(frontend.member_id) == 0 for frontend in frontends), 1.5)


def _runner(node):
    kinds = {partition.kind: tenure for partition, tenure in node.tenures.items()}
    return kinds[PartitionKind.RUNNER]


def _promised(node):
    runners = [t for p, t in node.tenures.items() if p.kind is PartitionKind.RUNNER]
    return any(tenure.promises.majority(time.monotonic()) for tenure in runners)


class FakeGuardPool:
    """Fake guards, by address; dead guards do not answer."""

    def __init__(self, *, limit_ms: int = 60_000) -> None:
        self.limit_ms = limit_ms
        self.requested_ms: list[int] = []
        self.states: dict[str, GuardState] = {}
        self.dead: set[str] = set()

    async def call(self, address, method, req, *, timeout_s, region=""):
        name = address.split(":")[0]
        if name in self.dead:
            raise PeerUnreachable(name)
        guard = self.states.setdefault(name, GuardState())
        now = time.monotonic()
        match req:
            case CloseGuardSetRequest():
                answer = guard.close(version=req.version, now=now)
                left_ms = int(answer.promise_left_s * 1000) + 1
                return CloseGuardSetReply(closed=True, promise_left_ms=left_ms, guard_id=name)
            case PromiseRequest(duration_ms=duration_ms) if self._over_limit(duration_ms):
                return PromiseReply(
                    given=False, highest_epoch=0, guard_id=name, limit_ms=self.limit_ms
                )
            case PromiseRequest(duration_ms=0):
                answer = guard.give_up(epoch=req.epoch, owner=req.owner_id, now=now)
                return PromiseReply(
                    given=answer.accepted, highest_epoch=answer.highest_epoch, guard_id=name
                )
            case PromiseRequest():
                answer = guard.promise(
                    epoch=req.epoch,
                    owner=req.owner_id,
                    now=now,
                    duration_s=req.duration_ms / 1000,
                    version=req.guard_version,
                )
                return PromiseReply(
                    given=answer.accepted, highest_epoch=answer.highest_epoch, guard_id=name
                )

    def left_s(self, name: str) -> float:
        """Return the remaining time of a guard's promise in seconds."""
        return self.states[name].promise_left_s(time.monotonic()) if name in self.states else 0.0

    def _over_limit(self, duration_ms: int) -> bool:
        self.requested_ms.append(duration_ms)
        return duration_ms > self.limit_ms
