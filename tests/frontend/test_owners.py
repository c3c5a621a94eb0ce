from __future__ import annotations

import pytest
from frontend_harness import FakeOwnership
from test_guard import ManualClock

from rhubarbferry.core.partition import PartitionId
from rhubarbferry.frontend.owners import NoReply, Owners, Replied
from rhubarbferry.rpc import CallRejected, CallTimeout, CallUnclear, PeerSilent, PeerUnreachable

PARTITION = PartitionId.parse("runner/a/s")
NOT_OWNER, OK_REPLY = "moved", "good"


class ScriptedPool:
    """A pool that follows a script: the duration and the result of each call.

    :param default: duration and result of all calls after the script.
    """

    def __init__(
        self, clock: ManualClock, steps: list, *, default: tuple = (0.0, PeerUnreachable("nobody"))
    ) -> None:
        self.clock = clock
        self.steps = list(steps)
        self.default = default
        self.sent: list[int] = []

    async def call(self, address, method, req, *, timeout_s, region=""):
        self.sent.append(req)
        seconds, end = self.steps.pop(0) if self.steps else self.default
        self.clock.now += min(seconds, timeout_s)
        if isinstance(end, Exception):
            raise end
        return end


REPLY_LOST = CallUnclear("lost")
UNREACHABLE = PeerUnreachable("gone")
CASES = [
    ("at once", [(0.0, OK_REPLY)], True, False),
    ("moved once", [(0.0, NOT_OWNER), (0.0, OK_REPLY)], True, False),
    (
        "moved after a long wait",
        [(20.0, NOT_OWNER), (0.0, UNREACHABLE), (0.0, OK_REPLY)],
        True,
        False,
    ),
    (
        "killed after a long wait",
        [(20.0, REPLY_LOST), (0.0, UNREACHABLE), (0.0, OK_REPLY)],
        True,
        True,
    ),
    ("silent", [(3.0, PeerSilent("x")), (0.0, OK_REPLY)], True, True),
    ("rejected", [(0.0, CallRejected("x")), (0.0, OK_REPLY)], True, True),
    ("nobody", [], False, False),
    ("too late", [(40.0, CallTimeout("x"))], False, True),
]


@pytest.mark.parametrize(
    ("steps", "replied", "unclear"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
async def test_the_owner_lookup_is_repeated_within_the_deadline(steps, replied, unclear) -> None:
    """The owner of a partition changes, fails, stops answering or is unreachable during a call.

    The request is repeated with the next owner until the deadline, however long it has already
    waited. If there is no owner at all, the call ends well before the deadline.
    """
    clock = ManualClock()
    pool = ScriptedPool(clock, steps)
    view = FakeOwnership(owners={str(PARTITION): ("address", 4)})
    owners = Owners(clock=clock, ownership=view, pool=pool, owner_timeout_s=9.0)
    repeated: list[int] = []

    async def before_retry() -> None:
        repeated.append(len(pool.sent))

    started = clock.now
    result = await owners.call(
        PARTITION,
        "grant",
        lambda epoch: epoch,
        deadline=started + 30.0,
        not_owner=lambda reply: reply == NOT_OWNER,
        before_retry=before_retry,
    )
    assert isinstance(result, Replied if replied else NoReply)
    assert result.unclear is unclear and bool(repeated) is unclear
    assert set(pool.sent) == {4}
    if not replied and not steps:
        assert clock.now - started < 10.0
    if replied:
        assert result.called_at <= clock.now


NO_OWNER_CASES = [
    ("not owner", NOT_OWNER, 0.0),
    ("not owner, after a long wait", NOT_OWNER, 12.0),
    ("rejected", CallRejected("x"), 0.0),
    ("rejected, after a long wait", CallRejected("x"), 12.0),
    ("lost", REPLY_LOST, 0.0),
    ("lost, after a long wait", REPLY_LOST, 12.0),
]


@pytest.mark.parametrize(
    ("end", "first_call_s"),
    [case[1:] for case in NO_OWNER_CASES],
    ids=[case[0] for case in NO_OWNER_CASES],
)
async def test_the_wait_for_an_owner_ends_although_calls_fail_at_once(end, first_call_s) -> None:
    """Guards against requests that are held for their whole time limit without an owner.

    The process that the table names as the owner keeps failing each call at once. A request waits
    as long as a takeover may take, also after a long time in the queue of an earlier owner.
    """
    clock = ManualClock()
    pool = ScriptedPool(clock, [(first_call_s, end)], default=(0.001, end))
    view = FakeOwnership(owners={str(PARTITION): ("address", 4)})
    owners = Owners(clock=clock, ownership=view, pool=pool, owner_timeout_s=9.0)
    started = clock.now
    result = await owners.call(
        PARTITION,
        "grant",
        lambda epoch: epoch,
        deadline=started + 60.0,
        not_owner=lambda reply: reply == NOT_OWNER,
    )
    assert isinstance(result, NoReply)
    assert 9.0 <= clock.now - started - first_call_s < 9.5


async def test_without_an_owner_no_call_is_sent() -> None:
    clock = ManualClock()
    pool = ScriptedPool(clock, [])
    owners = Owners(clock=clock, ownership=FakeOwnership(), pool=pool, owner_timeout_s=9.0)
    result = await owners.call(
        PARTITION,
        "grant",
        lambda epoch: epoch,
        deadline=clock.now + 30.0,
        not_owner=lambda _: False,
    )
    assert result == NoReply(unclear=False) and pool.sent == []


KEYS = PartitionId.parse("key/a/0")
LOST_CASES = [
    ("no owner", False, [], False),
    ("owner gone", True, [(0.0, UNREACHABLE)], False),
    ("not the owner", True, [(0.0, NOT_OWNER)], False),
    ("owner killed", True, [(0.2, REPLY_LOST)], True),
]


@pytest.mark.parametrize(
    ("owned", "steps", "unclear"),
    [case[1:] for case in LOST_CASES],
    ids=[case[0] for case in LOST_CASES],
)
async def test_calls_fail_at_once_while_the_store_is_down(owned, steps, unclear) -> None:
    """The store is down for an hour, and the owner of some keys is gone or lacks their records.

    No other scheduler can take over without the store. Calls must fail at once at any time of the
    hour instead of waiting until their deadline.
    """
    clock = ManualClock()
    view = FakeOwnership(owners={str(KEYS): ("address", 4)} if owned else {})
    started = clock.now
    while clock.now < started + 3600.0:
        owners = Owners(
            clock=clock,
            ownership=view,
            pool=ScriptedPool(clock, steps),
            owner_timeout_s=9.0,
            store_lost=lambda: True,
        )
        called_at = clock.now
        result = await owners.call(
            KEYS,
            "begin_request",
            lambda epoch: epoch,
            deadline=clock.now + 30.0,
            not_owner=lambda reply: reply == NOT_OWNER,
        )
        assert result == NoReply(unclear=unclear, store_lost=True)
        assert clock.now - called_at < 0.3
        clock.now = called_at + 97.0


async def test_a_reply_is_returned_while_the_store_is_lost() -> None:
    """The store is unreachable only from this host; the owner of the keys can still record."""
    clock = ManualClock()
    owners = Owners(
        clock=clock,
        ownership=FakeOwnership(owners={str(KEYS): ("address", 4)}),
        pool=ScriptedPool(clock, [(0.0, OK_REPLY)]),
        owner_timeout_s=9.0,
        store_lost=lambda: True,
    )
    result = await owners.call(
        KEYS,
        "begin_request",
        lambda epoch: epoch,
        deadline=clock.now + 30.0,
        not_owner=lambda _: False,
    )
    assert isinstance(result, Replied)


async def test_runner_owner_lookup_is_repeated_while_the_store_is_lost() -> None:
    """The store is down, and the owner of a runner partition has to renew its promises.

    It does not need the store for that, so the request waits for the owner.
    """
    clock = ManualClock()
    owners = Owners(
        clock=clock,
        ownership=FakeOwnership(owners={str(PARTITION): ("address", 4)}),
        pool=ScriptedPool(clock, [(0.0, NOT_OWNER), (0.0, OK_REPLY)]),
        owner_timeout_s=9.0,
        store_lost=lambda: True,
    )
    result = await owners.call(
        PARTITION,
        "grant",
        lambda epoch: epoch,
        deadline=clock.now + 30.0,
        not_owner=lambda reply: reply == NOT_OWNER,
    )
    assert isinstance(result, Replied)
