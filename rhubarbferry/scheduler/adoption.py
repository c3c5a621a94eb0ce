"""Fence earlier owners at the guards of a runner partition and collect their open grants."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from loguru import logger

from rhubarbferry.ports.ownership import Guard, Role, Tenure
from rhubarbferry.rpc import RpcError
from rhubarbferry.rpc.gen.ttypes import AdoptReply, AdoptRequest, OpenGrant
from rhubarbferry.scheduler.context import Context

CALL_S = 0.5
RETRY_S = 0.1
FOLLOW_S = 0.5

TakeGrants = Callable[[Guard, Sequence[OpenGrant]], None]


class Adoption:
    """Send the new epoch to every guard (frontend of the region) and collect its open grants.

    A guard that has acknowledged an epoch refuses grants of lower epochs. Once a majority has
    acknowledged, an earlier owner can no longer hold a majority of promises, so it stops acting.

    :param take: callback that receives the open grants of each guard when the guard replies.
    """

    def __init__(self, *, tenure: Tenure, ctx: Context, take: TakeGrants) -> None:
        self._tenure = tenure
        self._ctx = ctx
        self._take = take
        self._region = tenure.partition.region
        self._heard: set[str] = set()

    def holders(self) -> tuple[Guard, ...]:
        """Return all processes that may hold grants: the guard set and newer frontends."""
        found = {guard.id: guard for guard in self._ctx.ownership.guards(self._region)}
        for member in self._ctx.ownership.members(Role.FRONTEND, self._region):
            found.setdefault(member.id, Guard(id=member.id, address=member.address))
        return tuple(found.values())

    def all_heard(self) -> bool:
        """Return whether every process that may hold grants has reported them."""
        return all(holder.id in self._heard for holder in self.holders())

    def majority_heard(self) -> bool:
        """Return whether more than half of the guard set has acknowledged the epoch."""
        guards = self._ctx.ownership.guards(self._region)
        heard = sum(1 for guard in guards if guard.id in self._heard)
        return not guards or 2 * heard > len(guards)

    async def until_majority(self, *, give_up_s: float) -> None:
        """Wait until a majority of the guard set has acknowledged the epoch.

        If half of the guards or more have failed, no majority can be reached and the service
        would stay unavailable. After ``give_up_s`` seconds no earlier owner may act and none of
        its requests can still be running, so proceeding without a majority is safe.
        """
        clock = self._ctx.clock
        give_up_at = clock.monotonic() + give_up_s
        await self.ask_unheard()
        while not self.majority_heard():
            if clock.monotonic() >= give_up_at:
                logger.warning(
                    "{}: proceeding without a majority of guards", self._tenure.partition
                )
                return
            await clock.sleep(RETRY_S)
            await self.ask_unheard()

    async def follow(self) -> None:
        """Retry guards that are new or have not acknowledged, until cancelled."""
        while True:
            await self._ctx.clock.sleep(FOLLOW_S)
            await self.ask_unheard()

    async def ask_unheard(self) -> None:
        """Send one adoption request to each guard that has not acknowledged yet."""
        unheard = [holder for holder in self.holders() if holder.id not in self._heard]
        await asyncio.gather(*(self._ask(holder) for holder in unheard))

    async def _ask(self, guard: Guard) -> None:
        req = AdoptRequest(
            partition=str(self._tenure.partition),
            epoch=self._tenure.epoch,
            owner_id=self._ctx.member_id,
        )
        try:
            reply: AdoptReply = await self._ctx.guards.call(
                guard.address, "adopt", req, timeout_s=CALL_S, region=self._region
            )
        except RpcError:
            return
        if not reply.accepted or reply.guard_id not in (None, guard.id):
            return
        self._heard.add(guard.id)
        self._take(guard, reply.grants)
