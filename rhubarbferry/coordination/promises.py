"""Calls to guards: request promises for runner partitions, and close guard sets."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from prometheus_client import Counter

from rhubarbferry.conf.settings import OwnershipSettings
from rhubarbferry.coordination.change_notifier import wait_at_most
from rhubarbferry.coordination.guard_sets import CloseConfirmation
from rhubarbferry.coordination.mirror import Mirror
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

PROMISE_REQUESTS = Counter(
    "rhubarbferry_promises_asked_total", "Promises requested from guards", ["result"]
)
RENEWALS_PER_PROMISE = 4
CALL_TIMEOUT_S = 0.5
MS_PER_S = 1000
MAX_PROMISE_MS = 2**31


class GuardClient:
    """RPC client for the guards.

    :param pool: connection pool for calls to frontends.
    """

    def __init__(self, *, pool: Pool) -> None:
        self._pool = pool

    async def __call__(
        self, guard: Guard, *, region: str, version: int
    ) -> CloseConfirmation | None:
        """Request that a guard closes the versions of its guard set below ``version``."""
        req = CloseGuardSetRequest(region=region, version=version)
        try:
            reply: CloseGuardSetReply = await self._pool.call(
                guard.address, "close_guard_set", req, timeout_s=CALL_TIMEOUT_S
            )
        except RpcError:
            return None
        # Another process may listen at the address of a dead guard.
        if not reply.closed or reply.guard_id != guard.id:
            return None
        return CloseConfirmation(guard_id=guard.id, promise_left_s=reply.promise_left_ms / 1000)

    async def promise(self, guard: Guard, req: PromiseRequest) -> PromiseReply | None:
        """Request a promise; return ``None`` when this guard did not answer."""
        try:
            reply: PromiseReply = await self._pool.call(
                guard.address, "promise", req, timeout_s=CALL_TIMEOUT_S
            )
        except RpcError:
            return None
        return reply if reply.guard_id == guard.id else None


class PromiseRenewer:
    """Keep promises for this process's runner partitions up to date before they are needed.

    When the lease has expired, it is too late to start: an owner that is cut off at that moment
    would refuse requests until a majority of the guards has answered.
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
        self._promised_tenures: set[HeldTenure] = set()

    async def run(self) -> None:
        """Request and renew promises until cancelled."""
        while self._cfg.longest_extension_s > 0:
            version = self._tenures.end_notifier.version
            await self._release_ended()
            runners = [
                tenure
                for partition, tenure in self._tenures.current.items()
                if partition.kind is PartitionKind.RUNNER and not tenure.ended
            ]
            self._prune_limits(runners)
            self._promised_tenures.update(runners)
            await asyncio.gather(*(self._renew(tenure) for tenure in runners))
            pause_s = self._cfg.promise_s / RENEWALS_PER_PROMISE
            await wait_at_most(self._clock, pause_s, self._tenures.end_notifier.changed(version))

    async def _release_ended(self) -> None:
        """Release the promises of tenures that have ended.

        A planned handover ends a tenure seconds before its promises expire. Until then no guard
        adopts the successor, and callers could wait up to the duration of a promise for a
        slot. If a release is lost, the promise simply expires.
        """
        ended = [tenure for tenure in self._promised_tenures if tenure.ended]
        self._promised_tenures.difference_update(ended)
        await asyncio.gather(*(self._release(tenure) for tenure in ended))

    async def _release(self, tenure: HeldTenure) -> None:
        req = PromiseRequest(
            partition=str(tenure.partition),
            epoch=tenure.epoch,
            owner_id=self._member_id,
            duration_ms=NO_PROMISE_MS,
            guard_version=tenure.promises.version,
        )
        guards = self._mirror.guards(tenure.partition.region)
        replies = await asyncio.gather(*(self._client.promise(guard, req) for guard in guards))
        released = sum(1 for reply in replies if reply is not None and reply.given)
        PROMISE_REQUESTS.labels("given up").inc(released)

    def _prune_limits(self, tenures: Iterable[HeldTenure]) -> None:
        regions = {tenure.partition.region for tenure in tenures}
        known = {guard.id for region in regions for guard in self._mirror.guards(region)}
        self._limits_ms = {id: limit_ms for id, limit_ms in self._limits_ms.items() if id in known}

    async def _renew(self, tenure: HeldTenure) -> None:
        guards = self._mirror.guards(tenure.partition.region)
        await asyncio.gather(*(self._renew_with(tenure, guard) for guard in guards))

    async def _renew_with(self, tenure: HeldTenure, guard: Guard) -> None:
        asked_at = self._clock.monotonic()
        version = tenure.promises.version
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
        PROMISE_REQUESTS.labels("given" if reply is not None and reply.given else "none").inc()
        if reply is None:
            return
        tenure.observe_epoch(reply.highest_epoch)
        if reply.limit_ms:
            # A guard started with a lower limit refuses promises longer than that limit.
            self._limits_ms[guard.id] = reply.limit_ms
        if reply.given:
            tenure.promises.add_promise(
                guard=guard.id,
                version=version,
                asked_at=asked_at,
                duration_s=duration_ms / MS_PER_S,
            )
