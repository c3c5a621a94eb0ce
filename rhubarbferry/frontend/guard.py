"""The fence of the runner partitions: which epoch may act here, and which grants are open.

A successor of a partition's owner asks every frontend of the region to *adopt* it. From then on
this process uses no grant of an earlier epoch, and the answer lists the grants still open. While
an owner is past its lease it asks for short *promises*; a guard with an open promise adopts no
one else until it has run out.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from attrs import Factory, define, frozen

from rhubarbferry.core.partition import PartitionId
from rhubarbferry.core.promise import NO_PROMISE_MS, GuardState
from rhubarbferry.ports.clock import Clock
from rhubarbferry.rpc import Handler
from rhubarbferry.rpc.gen import ttypes as t

MS = 1000


@define(kw_only=True, slots=True)
class HeldGrant:
    """A grant whose slot is not known to be free.

    :param until: when its request must have ended, on the monotonic clock.
    :param sent: whether bytes of the request may have gone out.
    """

    request_id: str
    grant_id: int
    runner_id: str
    account: str
    until: float
    sent: bool = False


@define(kw_only=True, slots=True)
class _Fence:
    state: GuardState = Factory(GuardState)
    grants: dict[tuple[str, int], HeldGrant] = Factory(dict)


@frozen(kw_only=True, slots=True)
class ProcessView:
    """What ``status`` says about this process."""

    config_revision: int = 0
    draining: bool = False
    config_text: str = ""


class Guard:
    """Epochs, promises and open grants of each runner partition, as this process holds them.

    :param longest_promise_s: longest promise that is given; one that asks for more is refused.
    :param view: returns what ``status`` says.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        longest_promise_s: float,
        view: Callable[[], ProcessView] = ProcessView,
    ) -> None:
        self._clock = clock
        self._longest_promise_s = longest_promise_s
        self._view = view
        self._fences: dict[str, _Fence] = {}
        self._closed_below: dict[str, int] = {}
        self.member_id = ""

    def open(self, partition: str, epoch: int, grant: HeldGrant) -> bool:
        """Hold a grant that came in; ``False`` when its epoch has been overtaken: never use it.

        Checking and holding are one step: a successor that adopts this guard either is told of
        the grant or has it refused.
        """
        fence = self._fence(partition)
        if epoch < fence.state.highest_epoch:
            return False
        # An owner that this guard has not heard of may have been adopted by a majority of others.
        fence.state.highest_epoch = epoch
        fence.grants[(grant.request_id, grant.grant_id)] = grant
        return True

    def may_send(self, partition: str, epoch: int, grant: HeldGrant) -> bool:
        """Tell whether a held grant may be used now; it counts as sent from then on."""
        if epoch < self._fence(partition).state.highest_epoch:
            return False
        grant.sent = True
        return True

    def close(self, partition: str, grant: HeldGrant) -> None:
        """Forget a grant whose request is known to have ended, or must have."""
        self._fence(partition).grants.pop((grant.request_id, grant.grant_id), None)

    def open_grants(self) -> int:
        """Return how many grants are held."""
        return sum(len(fence.grants) for fence in self._fences.values())

    def handlers(self) -> Mapping[str, Handler]:
        """Return the methods of the ``Guard`` service."""
        return {
            "ping": self._ping,
            "status": self._status,
            "adopt": self._adopt,
            "promise": self._promise,
            "close_guard_set": self._close_guard_set,
        }

    def _fence(self, partition: str) -> _Fence:
        fence = self._fences.get(partition)
        if fence is None:
            # A set that was closed stays closed for partitions that come up later.
            closed = self._closed_below.get(_region(partition), 0)
            fence = _Fence(state=GuardState(closed_below=closed))
            self._fences[partition] = fence
        return fence

    async def _ping(self, req: t.PingRequest) -> t.PingReply:
        return t.PingReply(member_id=self.member_id)

    async def _status(self, req: t.StatusRequest) -> t.StatusReply:
        view = self._view()
        return t.StatusReply(
            member_id=self.member_id,
            role="frontend",
            config_revision=view.config_revision,
            draining=view.draining,
            partitions=[],
            config_text=view.config_text.encode(),
        )

    async def _adopt(self, req: t.AdoptRequest) -> t.AdoptReply:
        now = self._clock.monotonic()
        fence = self._fence(req.partition)
        answer = fence.state.acknowledge(epoch=req.epoch, owner=req.owner_id, now=now)
        return t.AdoptReply(
            accepted=answer.accepted,
            highest_epoch=answer.highest_epoch,
            promise_left_ms=_ms(answer.promise_left_s),
            grants=self._listed(fence, now) if answer.accepted else [],
            guard_id=self.member_id,
        )

    def _listed(self, fence: _Fence, now: float) -> list[t.OpenGrant]:
        for key in [key for key, grant in fence.grants.items() if grant.until <= now]:
            del fence.grants[key]
        return [
            t.OpenGrant(
                request_id=grant.request_id,
                grant_id=grant.grant_id,
                runner_id=grant.runner_id,
                account=grant.account,
                remaining_ms=round((grant.until - now) * MS),
                sent=grant.sent,
            )
            for grant in fence.grants.values()
        ]

    async def _promise(self, req: t.PromiseRequest) -> t.PromiseReply:
        # The owner counts from before asking, this guard from answering: so a promise always
        # ends later here than the owner believes. That is only so while this guard gives all
        # that was asked for: one cut to its own limit would let a successor in while the owner
        # still counts it.
        state = self._fence(req.partition).state
        if req.duration_ms > self._longest_promise_s * MS:
            return t.PromiseReply(
                given=False,
                highest_epoch=state.highest_epoch,
                guard_id=self.member_id,
                limit_ms=int(self._longest_promise_s * MS),
            )
        now = self._clock.monotonic()
        if req.duration_ms == NO_PROMISE_MS:
            answer = state.give_up(epoch=req.epoch, owner=req.owner_id, now=now)
        else:
            answer = state.promise(
                epoch=req.epoch,
                owner=req.owner_id,
                now=now,
                duration_s=req.duration_ms / MS,
                version=req.guard_version or 0,
            )
        return t.PromiseReply(
            given=answer.accepted, highest_epoch=answer.highest_epoch, guard_id=self.member_id
        )

    async def _close_guard_set(self, req: t.CloseGuardSetRequest) -> t.CloseGuardSetReply:
        now = self._clock.monotonic()
        version = max(req.version, self._closed_below.get(req.region, 0))
        self._closed_below[req.region] = version
        left = [
            fence.state.close(version=version, now=now).promise_left_s
            for partition, fence in self._fences.items()
            if _region(partition) == req.region
        ]
        return t.CloseGuardSetReply(
            closed=True, promise_left_ms=_ms(max(left, default=0.0)), guard_id=self.member_id
        )


def _region(partition: str) -> str:
    return PartitionId.parse(partition).region


def _ms(seconds: float) -> int:
    # Up, since the one who waits for the end of a promise must not be told too little.
    return math.ceil(seconds * MS)
