"""Fence earlier owners at the guards of a runner partition and collect their open grants."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from rhubarbferry.ports.ownership import Guard, Role, Tenure
from rhubarbferry.rpc import RpcError
from rhubarbferry.rpc.gen.ttypes import AdoptReply, AdoptRequest, OpenGrant
from rhubarbferry.scheduler.context import Context

CALL_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.1
POLL_INTERVAL_S = 0.5

OnGrants = Callable[[Guard, Sequence[OpenGrant]], None]


class Adoption:
    """Send the new epoch to every guard (frontend of the region) and collect its open grants.

    A guard that has acknowledged an epoch refuses grants of lower epochs. Once a majority has
    acknowledged, an earlier owner can no longer hold a majority of promises, so it stops acting.

    :param on_grants: callback that receives the open grants of each guard when the guard replies.
    """

    def __init__(self, *, tenure: Tenure, ctx: Context, on_grants: OnGrants) -> None:
        self._tenure = tenure
        self._ctx = ctx
        self._on_grants = on_grants
        self._region = tenure.partition.region
        self._acknowledged: set[str] = set()

    def possible_holders(self) -> tuple[Guard, ...]:
        """Return all processes that may hold grants: the guard set and newer frontends."""
        found = {guard.id: guard for guard in self._ctx.ownership.guards(self._region)}
        for member in self._ctx.ownership.members(Role.FRONTEND, self._region):
            found.setdefault(member.id, Guard(id=member.id, address=member.address))
        return tuple(found.values())

    def all_acknowledged(self) -> bool:
        """Return whether every process that may hold grants has reported them."""
        return all(holder.id in self._acknowledged for holder in self.possible_holders())

    def majority_acknowledged(self) -> bool:
        """Return whether more than half of the guard set has acknowledged the epoch."""
        guards = self._ctx.ownership.guards(self._region)
        acknowledged = sum(1 for guard in guards if guard.id in self._acknowledged)
        return not guards or 2 * acknowledged > len(guards)

    async def wait_for_majority(self, *, max_wait_s: float) -> None:
        """Wait until a majority of the guard set has acknowledged the epoch.

        If half of the guards or more have failed, no majority can be reached and the service
        would stay unavailable. After ``max_wait_s`` seconds no earlier owner may act and none of
        its requests can still be running, so proceeding without a majority is safe.
        """
        clock = self._ctx.clock
        deadline = clock.monotonic() + max_wait_s
        await self.adopt_pending()
        while not self.majority_acknowledged():
            if clock.monotonic() >= deadline:
                logger.warning(
                    "{}: proceeding without a majority of guards", self._tenure.partition
                )
                return
            await clock.sleep(RETRY_INTERVAL_S)
            await self.adopt_pending()

    async def poll_pending(self) -> None:
        """Retry guards that are new or have not acknowledged, until cancelled."""
        while True:
            await self._ctx.clock.sleep(POLL_INTERVAL_S)
            await self.adopt_pending()

    async def adopt_pending(self) -> None:
        """Send one adoption request to each guard that has not acknowledged yet."""
        pending = [
            holder for holder in self.possible_holders() if holder.id not in self._acknowledged
        ]
        await asyncio.gather(*(self._adopt(holder) for holder in pending))

    async def _adopt(self, guard: Guard) -> None:
        req = AdoptRequest(
            partition=str(self._tenure.partition),
            epoch=self._tenure.epoch,
            owner_id=self._ctx.member_id,
        )
        try:
            reply: AdoptReply = await self._ctx.guards.call(
                guard.address, "adopt", req, timeout_s=CALL_TIMEOUT_S, region=self._region
            )
        except RpcError:
            return
        if not reply.accepted or reply.guard_id not in (None, guard.id):
            return
        self._acknowledged.add(guard.id)
        self._on_grants(guard, reply.grants)
