"""Calls to the guards: promises for the tenures of runner partitions, and closing a set."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from prometheus_client import Counter

from rhubarbferry.conf.settings import OwnershipSettings
from rhubarbferry.coordination.guard_sets import CloseConfirmation
from rhubarbferry.coordination.mirror import Mirror
from rhubarbferry.coordination.signal import wait_at_most
from rhubarbferry.coordination.tenure import HeldTenure, Tenures
from rhubarbferry.core.partition import PartitionKind
from rhubarbferry.core.promise import NO_PROMISE_MS
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.ownership import Guard
from rhubarbferry.rpc import Pool, RpcError
from rhubarbferry.rpc.gen.ttypes import (
    CloseGuardSetReply,
    CloseGuardSetRequest,
    PromiseReply,
    PromiseRequest,
)

PROMISES = Counter("rhubarbferry_promises_asked_total", "Promises asked of guards", ["result"])
RENEWALS_PER_PROMISE = 4
CALL_TIMEOUT_S = 0.5
MS_PER_S = 1000
MAX_PROMISE_MS = 2**31


class GuardClient:
    """Ask guards over RPC.

    :param pool: calls to frontends.
    """

    def __init__(self, *, pool: Pool) -> None:
        self._pool = pool

    async def __call__(
        self, guard: Guard, *, region: str, version: int
    ) -> CloseConfirmation | None:
        """Ask a guard to close the versions of its set below ``version``."""
        req = CloseGuardSetRequest(region=region, version=version)
        try:
            reply: CloseGuardSetReply = await self._pool.call(
                guard.address, "close_guard_set", req, timeout_s=CALL_TIMEOUT_S
            )
        except RpcError:
            return None
        # Another process may listen at the address of a guard that has died.
        if not reply.closed or reply.guard_id != guard.id:
            return None
        return CloseConfirmation(guard_id=guard.id, promise_left_s=reply.promise_left_ms / 1000)

    async def promise(self, guard: Guard, req: PromiseRequest) -> PromiseReply | None:
        """Ask a guard for a promise; ``None`` when it didn't answer for itself."""
        try:
            reply: PromiseReply = await self._pool.call(
                guard.address, "promise", req, timeout_s=CALL_TIMEOUT_S
            )
        except RpcError:
            return None
        return reply if reply.guard_id == guard.id else None


class PromiseRenewer:
    """Hold promises for the runner partitions of this process, before it needs them.

    It is too late to begin when the lease is over: an owner that is cut off just then would
    refuse requests until the first majority has answered.
    """

    def __init__(
        self,
        *,
        cfg: OwnershipSettings,
        clock: Clock,
        member_id: str,
        mirror: Mirror,
        tenures: Tenures,
        client: GuardClient,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._member_id = member_id
        self._mirror = mirror
        self._tenures = tenures
        self._client = client
        self._limits_ms: dict[str, int] = {}
        self._promised: set[HeldTenure] = set()

    async def run(self) -> None:
        """Ask in rounds until cancelled."""
        while self._cfg.longest_extension_s > 0:
            ends = self._tenures.end_signal.version
            await self._release_ended()
            runners = [
                tenure
                for partition, tenure in self._tenures.current.items()
                if partition.kind is PartitionKind.RUNNER and not tenure.ended
            ]
            self._prune_limits(runners)
            self._promised.update(runners)
            await asyncio.gather(*(self._renew(tenure) for tenure in runners))
            pause_s = self._cfg.promise_s / RENEWALS_PER_PROMISE
            await wait_at_most(self._clock, pause_s, self._tenures.end_signal.changed(ends))

    async def _release_ended(self) -> None:
        """Tell the guards of tenures that have ended that their promises are not counted on.

        A planned hand-over ends a tenure seconds before its promises run out. Until then no guard
        acknowledges the successor, and callers get no slot for up to the length of a promise.
        A word that is lost only means that the promise runs out by itself.
        """
        ended = [tenure for tenure in self._promised if tenure.ended]
        self._promised.difference_update(ended)
        await asyncio.gather(*(self._release(tenure) for tenure in ended))

    async def _release(self, tenure: HeldTenure) -> None:
        req = PromiseRequest(
            partition=str(tenure.partition),
            epoch=tenure.epoch,
            owner_id=self._member_id,
            duration_ms=NO_PROMISE_MS,
            guard_version=tenure.book.version,
        )
        guards = self._mirror.guards(tenure.partition.region)
        replies = await asyncio.gather(*(self._client.promise(guard, req) for guard in guards))
        released = sum(1 for reply in replies if reply is not None and reply.given)
        PROMISES.labels("given up").inc(released)

    def _prune_limits(self, tenures: Iterable[HeldTenure]) -> None:
        regions = {tenure.partition.region for tenure in tenures}
        known = {guard.id for region in regions for guard in self._mirror.guards(region)}
        self._limits_ms = {id: limit_ms for id, limit_ms in self._limits_ms.items() if id in known}

    async def _renew(self, tenure: HeldTenure) -> None:
        guards = self._mirror.guards(tenure.partition.region)
        await asyncio.gather(*(self._renew_with(tenure, guard) for guard in guards))

    async def _renew_with(self, tenure: HeldTenure, guard: Guard) -> None:
        asked_at = self._clock.monotonic()
        version = tenure.book.version
        duration_ms = min(
            int(self._cfg.promise_s * MS_PER_S), self._limits_ms.get(guard.id, MAX_PROMISE_MS)
        )
        req = PromiseRequest(
            partition=str(tenure.partition),
            epoch=tenure.epoch,
            owner_id=self._member_id,
            duration_ms=duration_ms,
            guard_version=version,
        )
        reply = await self._client.promise(guard, req)
        PROMISES.labels("given" if reply is not None and reply.given else "none").inc()
        if reply is None:
            return
        tenure.seen(reply.highest_epoch)
        if reply.limit_ms:
            # A guard started with a shorter setting gives nothing for more than that.
            self._limits_ms[guard.id] = reply.limit_ms
        if reply.given:
            tenure.book.given(
                guard=guard.id,
                version=version,
                asked_at=asked_at,
                duration_s=duration_ms / MS_PER_S,
            )
