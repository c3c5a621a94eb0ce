from __future__ import annotations

import pytest
from attrs import define

from rhubarbferry.frontend.guard import Guard, HeldGrant
from rhubarbferry.rpc.gen import ttypes as t

PARTITION = "runner/a/s"


@define
class ManualClock:
    """A clock that advances only under control of the test."""

    now: float = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds


def make_guard(clock: ManualClock) -> Guard:
    guard = Guard(clock=clock, longest_promise_s=3.0)
    guard.member_id = "g"
    return guard


def make_grant(number: int, until: float = 160.0) -> HeldGrant:
    return HeldGrant(
        request_id=f"q{number}", grant_id=number, runner_id="r", account="acme", until=until
    )


async def adopt(guard: Guard, epoch: int, owner: str = "s2") -> t.AdoptReply:
    req = t.AdoptRequest(partition=PARTITION, epoch=epoch, owner_id=owner)
    return await guard.handlers()["adopt"](req)


async def promise(
    guard: Guard, epoch: int, duration_ms: int = 3000, owner: str = "s1"
) -> t.PromiseReply:
    req = t.PromiseRequest(
        partition=PARTITION, epoch=epoch, owner_id=owner, duration_ms=duration_ms
    )
    return await guard.handlers()["promise"](req)


async def test_adoption_lists_all_grants_that_may_hold_a_slot() -> None:
    clock = ManualClock()
    guard = make_guard(clock)
    sent, waiting, ended, old = (
        make_grant(1),
        make_grant(2),
        make_grant(3),
        make_grant(4, until=100.5),
    )
    for grant in (sent, waiting, ended, old):
        assert guard.add_grant(PARTITION, 1, grant)
    assert guard.may_send(PARTITION, 1, sent)
    guard.remove_grant(PARTITION, ended)
    clock.now = 101.0
    reply = await adopt(guard, 2)
    assert reply.accepted and reply.guard_id == "g"
    listed = {(grant.request_id, grant.sent, grant.remaining_ms) for grant in reply.grants}
    assert listed == {("q1", True, 59_000), ("q2", False, 59_000)}


async def test_adoption_fences_earlier_epochs() -> None:
    """An owner that was suspended past its lease resumes while its grants are in transit.

    The successor received the list of open grants at adoption. A grant that was not on the list
    is rejected, and a listed one that was not sent yet can no longer be sent.
    """
    guard = make_guard(ManualClock())
    known = make_grant(1)
    guard.add_grant(PARTITION, 1, known)
    await adopt(guard, 2)
    assert not guard.add_grant(PARTITION, 1, make_grant(2))
    assert not guard.may_send(PARTITION, 1, known)
    assert guard.add_grant(PARTITION, 4, make_grant(3))
    assert not guard.add_grant(PARTITION, 3, make_grant(4))


@pytest.mark.parametrize(("epoch", "accepted"), [(1, False), (2, True), (3, True)])
async def test_epochs_never_decrease(epoch, accepted) -> None:
    guard = make_guard(ManualClock())
    await adopt(guard, 2)
    reply = await adopt(guard, epoch)
    assert (reply.accepted, reply.highest_epoch) == (accepted, max(epoch, 2))
    assert reply.grants == []


async def test_an_open_promise_blocks_adoption() -> None:
    """An owner without access to the store keeps granting under promises from its guards.

    A successor that has claimed the partition in the store is not adopted before the promise
    expires, so the two owners never grant at the same time.
    """
    clock = ManualClock()
    guard = make_guard(clock)
    assert (await promise(guard, 1)).given
    refused = await adopt(guard, 2)
    assert (
        not refused.accepted
        and abs(refused.promise_left_ms - 3000) <= 1
        and refused.highest_epoch == 1
    )
    clock.now += 3.001
    assert (await adopt(guard, 2)).accepted
    assert not (await promise(guard, 1)).given


async def test_a_promise_above_the_limit_is_refused_and_not_shortened() -> None:
    """The promise duration is raised, and the schedulers restart before this guard.

    The owner relies on the full duration that it requested. If the guard shortened the promise,
    the owner would still grant slots after the guard had adopted a successor, and two requests
    could get the same slot.
    """
    clock = ManualClock()
    guard = make_guard(clock)
    refused = await promise(guard, 1, duration_ms=3001)
    assert (refused.given, refused.limit_ms) == (False, 3000)
    assert (await adopt(guard, 2)).promise_left_ms == 0
    taken = await promise(guard, 2, duration_ms=3000)
    assert (taken.given, taken.limit_ms) == (True, None)


async def test_a_shorter_promise_does_not_shorten_a_longer_one() -> None:
    guard = make_guard(ManualClock())
    await promise(guard, 1, duration_ms=3000)
    await promise(guard, 1, duration_ms=1)
    assert (await adopt(guard, 2)).promise_left_ms == pytest.approx(3000, abs=1)


async def test_a_closed_guard_set_gives_no_promises() -> None:
    """The frontends of a region change while an owner still uses the old guard set.

    A majority of the old set and a majority of the new set need not share a guard. The old set
    therefore gives no promises once the change has begun, not even for partitions that are first
    seen after that.
    """
    clock = ManualClock()
    guard = make_guard(clock)
    await promise(guard, 1)
    clock.now += 1.0
    reply = await guard.handlers()["close_guard_set"](t.CloseGuardSetRequest(region="a", version=2))
    assert reply.closed and reply.guard_id == "g"
    assert reply.promise_left_ms == pytest.approx(2000, abs=1)
    for partition in (PARTITION, "runner/a/later"):
        for version, given in ((1, False), (2, True)):
            req = t.PromiseRequest(
                partition=partition, epoch=1, owner_id="s1", duration_ms=9, guard_version=version
            )
            assert (await guard.handlers()["promise"](req)).given is given


async def test_partitions_are_fenced_independently() -> None:
    guard = make_guard(ManualClock())
    await adopt(guard, 9)
    assert guard.add_grant("runner/a/other", 1, make_grant(1))
