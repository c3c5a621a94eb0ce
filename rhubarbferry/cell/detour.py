"""Serve clients through another process while the store turns this one away."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from attrs import define
from prometheus_client import Counter

from rhubarbferry.cell.job_calls import Accepted, Cancelled, JobCalls, PhaseUnknown
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.members import CellView, Member
from rhubarbferry.cell.owner_link import OwnerLink
from rhubarbferry.cell.peers import PeerClient
from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.record import JobRecord
from rhubarbferry.ports.clock import Clock

DETOURS = Counter(
    "rhubarbferry_store_detours_total", "Calls sent through another process", ["call"]
)

# Without an answer for this long the other way is tried as well. Calls are idempotent, so both may
# be carried out.
HEDGE_S = 0.3
# How much of the client's time one other process gets, before the next is tried.
PEER_S = 1.0
PEERS_TRIED = 2

T = TypeVar("T")


@define(kw_only=True, eq=False)
class DetouredCalls:
    """Job calls straight to the store, and through another process where that fails.

    The store may turn single processes away, silently or not, while it serves the others. Their
    clients would be refused, or wait in vain for their whole time, though the cell is well.

    :param owner: answers questions about jobs in progress, which saves calls to the store.
    :param reached: whether the store answers this process now.
    """

    clock: Clock
    log: EventLog
    own: Member
    view: CellView
    peers: PeerClient
    direct: JobCalls
    owner: OwnerLink
    reached: Callable[[], bool]

    async def submit(self, record: JobRecord, *, deadline: float) -> Accepted:
        """Accept a job for good, or say truthfully what is known."""

        async def by_peer(member: Member) -> Accepted:
            timeout_s = min(PEER_S, deadline - self.clock.monotonic())
            return await self.peers.submit(member, record, timeout_s=timeout_s)

        results = await self._both_ways(
            "submit",
            self.direct.submit(record, deadline=deadline),
            by_peer,
            good=lambda verdict: verdict is Accepted.YES,
            deadline=deadline,
        )
        if Accepted.YES in results:
            return Accepted.YES
        # Any way that may have written leaves it open whether the job will run.
        return Accepted.UNCLEAR if Accepted.UNCLEAR in results else Accepted.NO

    async def phase(self, id: str) -> JobPhase | None:
        """Return the phase of a job, or ``None`` when there is no such job."""
        known = await self.owner.phase(id)
        if known is not None:
            return known

        async def read(way: Coroutine[Any, Any, JobPhase | None]) -> JobPhase | None | PhaseUnknown:
            try:
                return await way
            except PhaseUnknown as exc:
                return exc

        results = await self._both_ways(
            "phase",
            read(self.direct.phase(id)),
            lambda member: read(self.peers.phase(member, id)),
            good=lambda found: not isinstance(found, PhaseUnknown),
            deadline=self.clock.monotonic() + PEERS_TRIED * PEER_S,
        )
        for found in results:
            if not isinstance(found, PhaseUnknown):
                return found
        raise PhaseUnknown("; ".join(str(found) for found in results)[:200])

    async def cancel(self, id: str, *, deadline: float) -> Cancelled:
        """Record that a job is to be stopped."""

        async def by_peer(member: Member) -> Cancelled:
            timeout_s = min(PEER_S, deadline - self.clock.monotonic())
            return await self.peers.cancel(member, id, timeout_s=timeout_s)

        results = await self._both_ways(
            "cancel",
            self.direct.cancel(id, deadline=deadline),
            by_peer,
            good=lambda verdict: verdict is not Cancelled.NOT_NOW,
            deadline=deadline,
        )
        return next((found for found in results if found is not Cancelled.NOT_NOW), results[0])

    async def _both_ways(
        self,
        call: str,
        direct: Coroutine[Any, Any, T],
        by_peer: Callable[[Member], Coroutine[Any, Any, T]],
        *,
        good: Callable[[T], bool],
        deadline: float,
    ) -> list[T]:
        """Return what the ways gave, up to the first good answer."""
        first = asyncio.create_task(direct)
        await asyncio.wait({first}, timeout=HEDGE_S if self.reached() else 0.0)
        if first.done() and good(first.result()):
            return [first.result()]
        second = asyncio.create_task(self._ask_peers(call, by_peer, good, deadline))
        results: list[T] = []
        pending: set[asyncio.Task[Any]] = {first, second}
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    found = task.result()
                    results += found if task is second else [found]
                if any(good(found) for found in results):
                    return results
        finally:
            for task in pending:
                task.cancel()
        return results

    async def _ask_peers(
        self,
        call: str,
        by_peer: Callable[[Member], Coroutine[Any, Any, T]],
        good: Callable[[T], bool],
        deadline: float,
    ) -> list[T]:
        results: list[T] = []
        for member in self._likely():
            if self.clock.monotonic() >= deadline:
                break
            DETOURS.labels(call).inc()
            found = await by_peer(member)
            self.log.emit("store.detour", call=call, through=member.name, outcome=str(found))
            results.append(found)
            if good(found):
                break
        return results

    def _likely(self) -> list[Member]:
        """Return the processes that most likely reach the store: the owner, then near ones."""
        ownership = self.view.ownership
        owner = ownership.owner.name if ownership is not None else ""
        others = [m for m in self.view.members.values() if m.name != self.own.name]
        others.sort(key=lambda m: (m.name != owner, m.region != self.own.region, m.name))
        return others[:PEERS_TRIED]
