"""Fence the owners of runner partitions: track the highest epoch and the open grants of each.

A new owner of a partition asks every frontend of the region to *adopt* it. From then on this
process rejects grants of earlier epochs; its reply lists the grants that are still open. Owners
also request short *promises* from the frontends, under which they may act after their lease has
expired. A guard that has given a promise adopts no other owner until the promise expires.
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

MS_PER_S = 1000


@define(kw_only=True, slots=True)
class HeldGrant:
    """A grant whose slot may still be in use.

    :param until: latest time at which its request can still run, on the monotonic clock.
    :param sent: whether bytes of the request may have been sent.
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
    """The process state that the ``status`` call reports."""

    config_revision: int = 0
    draining: bool = False
    config_text: str = ""


class Guard:
    """Store the epoch, promise and open grants of each runner partition for this process.

    :param longest_promise_s: maximum duration of a promise; longer requests are refused.
    :param view: returns the process state for the ``status`` call.
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

    def add_grant(self, partition: str, epoch: int, grant: HeldGrant) -> bool:
        """Register a received grant; return ``False`` if its epoch is outdated.

        A grant that was not registered must not be used. The check and the registration happen
        without an ``await`` in between, so a successor that adopts this guard either finds the
        grant in the reply or has it rejected.
        """
        fence = self._fence(partition)
        if epoch < fence.state.highest_epoch:
            return False
        # A majority of other guards may have adopted this owner, so its epoch can be new here.
        fence.state.highest_epoch = epoch
        fence.grants[(grant.request_id, grant.grant_id)] = grant
        return True

    def may_send(self, partition: str, epoch: int, grant: HeldGrant) -> bool:
        """Return whether a registered grant may be used now, and if so mark it as sent."""
        if epoch < self._fence(partition).state.highest_epoch:
            return False
        grant.sent = True
        return True

    def remove_grant(self, partition: str, grant: HeldGrant) -> None:
        """Remove a grant whose request has ended or can no longer be running."""
        self._fence(partition).grants.pop((grant.request_id, grant.grant_id), None)

    def open_grant_count(self) -> int:
        """Return the number of registered grants."""
        return sum(len(fence.grants) for fence in self._fences.values())

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of the ``Guard`` RPC service, by method."""
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
            # A closed guard set gives no promises for partitions that are first seen after the
            # close request, either.
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
            promise_left_ms=_ceil_ms(answer.promise_left_s),
            grants=self._list_grants(fence, now) if answer.accepted else [],
            guard_id=self.member_id,
        )

    def _list_grants(self, fence: _Fence, now: float) -> list[t.OpenGrant]:
        for key in [key for key, grant in fence.grants.items() if grant.until <= now]:
            del fence.grants[key]
        return [
            t.OpenGrant(
                request_id=grant.request_id,
                grant_id=grant.grant_id,
                runner_id=grant.runner_id,
                account=grant.account,
                remaining_ms=round((grant.until - now) * MS_PER_S),
                sent=grant.sent,
            )
            for grant in fence.grants.values()
        ]

    async def _promise(self, req: t.PromiseRequest) -> t.PromiseReply:
        # The owner counts the promise from before its request, and this guard from its reply, so
        # the promise always ends later here than at the owner. This holds only if the guard
        # grants the full duration. A promise shortened to the guard's limit would let a successor
        # be adopted while the owner still relies on it.
        state = self._fence(req.partition).state
        if req.duration_ms > self._longest_promise_s * MS_PER_S:
            return t.PromiseReply(
                given=False,
                highest_epoch=state.highest_epoch,
                guard_id=self.member_id,
                limit_ms=int(self._longest_promise_s * MS_PER_S),
            )
        now = self._clock.monotonic()
        if req.duration_ms == NO_PROMISE_MS:
            answer = state.give_up(epoch=req.epoch, owner=req.owner_id, now=now)
        else:
            answer = state.promise(
                epoch=req.epoch,
                owner=req.owner_id,
                now=now,
                duration_s=req.duration_ms / MS_PER_S,
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
            closed=True, promise_left_ms=_ceil_ms(max(left, default=0.0)), guard_id=self.member_id
        )


def _region(partition: str) -> str:
    return PartitionId.parse(partition).region


def _ceil_ms(seconds: float) -> int:
    # Rounded up, so that a successor never stops waiting before the promise ends.
    return math.ceil(seconds * MS_PER_S)
