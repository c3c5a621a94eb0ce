"""Relay job calls through another process while the store rejects or ignores this one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from attrs import define
from prometheus_client import Counter

from rhubarbferry.cell.job_calls import Accepted, Cancelled, JobCalls, PhaseUnknown
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.members import CellView, Member
from rhubarbferry.cell.owner_client import OwnerClient
from rhubarbferry.cell.peers import PeerClient
from rhubarbferry.dispatch.job import JobStatus
from rhubarbferry.dispatch.record import JobRecord
from rhubarbferry.ports.clock import Clock

RELAYED_CALLS = Counter(
    "rhubarbferry_store_detours_total", "Job calls relayed through another process", ["call"]
)

# Without an answer from the store for this long, the call is relayed to another process as well.
# Calls are idempotent, so both may take effect.
HEDGE_DELAY_S = 0.3
# Longest time that one other process may take before the next is tried.
PEER_TIMEOUT_S = 1.0
MAX_PEERS_TRIED = 2

# Results of a submission that need no further attempt.
CONCLUSIVE = (Accepted.YES, Accepted.ID_TAKEN)

T = TypeVar("T")


@define(kw_only=True, eq=False)
class FallbackJobCalls:
    """Serve job calls directly from the store, with other processes as the fallback path.

    The store may reject or ignore the calls of single processes while it serves the others. Without
    a fallback path, clients of such a process would be refused or time out although the cell works.

    :param direct: serves calls directly from the store.
    :param owner: returns phases of jobs in progress, which saves calls to the store.
    :param store_reachable: returns whether the store currently answers this process.
    """

    clock: Clock
    log: EventLog
    own: Member
    view: CellView
    peers: PeerClient
    direct: JobCalls
    owner: OwnerClient
    store_reachable: Callable[[], bool]

    async def submit(self, record: JobRecord, *, deadline: float) -> Accepted:
        """Accept a job durably, or report whether it may have been accepted."""

        async def via_peer(member: Member) -> Accepted:
            timeout_s = min(PEER_TIMEOUT_S, deadline - self.clock.monotonic())
            return await self.peers.submit(member, record, timeout_s=timeout_s)

        results = await self._call_with_fallback(
            "submit",
            self.direct.submit(record, deadline=deadline),
            via_peer,
            conclusive=lambda verdict: verdict in CONCLUSIVE,
            deadline=deadline,
        )
        for result in results:
            if result in CONCLUSIVE:
                return result
        # After any attempt that may have written the job, it is not known whether the job will run.
        return Accepted.UNCLEAR if Accepted.UNCLEAR in results else Accepted.NO

    async def status(self, id: str) -> JobStatus | None:
        """Return the status of a job, or ``None`` when there is no such job."""
        owned_status = await self.owner.status(id)
        if owned_status is not None:
            return owned_status

        async def read(
            attempt: Coroutine[Any, Any, JobStatus | None],
        ) -> JobStatus | None | PhaseUnknown:
            try:
                return await attempt
            except PhaseUnknown as exc:
                return exc

        results = await self._call_with_fallback(
            "phase",
            read(self.direct.status(id)),
            lambda member: read(self.peers.status(member, id)),
            conclusive=lambda result: not isinstance(result, PhaseUnknown),
            deadline=self.clock.monotonic() + MAX_PEERS_TRIED * PEER_TIMEOUT_S,
        )
        for result in results:
            if not isinstance(result, PhaseUnknown):
                return result
        raise PhaseUnknown("; ".join(str(result) for result in results)[:200])

    async def cancel(self, id: str, *, account: str | None, deadline: float) -> Cancelled:
        """Record the cancellation of a job."""

        async def via_peer(member: Member) -> Cancelled:
            timeout_s = min(PEER_TIMEOUT_S, deadline - self.clock.monotonic())
            return await self.peers.cancel(member, id, account=account, timeout_s=timeout_s)

        results = await self._call_with_fallback(
            "cancel",
            self.direct.cancel(id, account=account, deadline=deadline),
            via_peer,
            conclusive=lambda verdict: verdict is not Cancelled.NOT_NOW,
            deadline=deadline,
        )
        return next((result for result in results if result is not Cancelled.NOT_NOW), results[0])

    async def _call_with_fallback(
        self,
        call: str,
        direct: Coroutine[Any, Any, T],
        via_peer: Callable[[Member], Coroutine[Any, Any, T]],
        *,
        conclusive: Callable[[T], bool],
        deadline: float,
    ) -> list[T]:
        """Make a call directly and, when that takes too long or fails, through other processes.

        :param conclusive: returns whether a result needs no further attempt.
        :returns: the results received, up to and including the first conclusive one.
        """
        direct_task = asyncio.create_task(direct)
        await asyncio.wait({direct_task}, timeout=HEDGE_DELAY_S if self.store_reachable() else 0.0)
        if direct_task.done() and conclusive(direct_task.result()):
            return [direct_task.result()]
        peer_task = asyncio.create_task(self._call_peers(call, via_peer, conclusive, deadline))
        results: list[T] = []
        pending: set[asyncio.Task[Any]] = {direct_task, peer_task}
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    result = task.result()
                    results += result if task is peer_task else [result]
                if any(conclusive(result) for result in results):
                    return results
        finally:
            for task in pending:
                task.cancel()
        return results

    async def _call_peers(
        self,
        call: str,
        via_peer: Callable[[Member], Coroutine[Any, Any, T]],
        conclusive: Callable[[T], bool],
        deadline: float,
    ) -> list[T]:
        results: list[T] = []
        for member in self._relay_candidates():
            if self.clock.monotonic() >= deadline:
                break
            RELAYED_CALLS.labels(call).inc()
            result = await via_peer(member)
            self.log.emit("store.detour", call=call, through=member.name, outcome=str(result))
            results.append(result)
            if conclusive(result):
                break
        return results

    def _relay_candidates(self) -> list[Member]:
        """Return the processes most likely to reach the store: the owner, then this region's."""
        ownership = self.view.ownership
        owner = ownership.owner.name if ownership is not None else ""
        others = [m for m in self.view.members.values() if m.name != self.own.name]
        others.sort(key=lambda m: (m.name != owner, m.region != self.own.region, m.name))
        return others[:MAX_PEERS_TRIED]
