"""Calls to the other processes of the cell."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from typing import Any

from attrs import frozen

from rhubarbferry.cell.job_calls import Accepted, Cancelled, PhaseUnknown
from rhubarbferry.cell.members import Member
from rhubarbferry.cell.owned_work import AcceptedJob
from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.messages import Approval, StepId
from rhubarbferry.dispatch.record import JobRecord, encode_request
from rhubarbferry.ports.workers import Approvals, WorkerSilent
from rhubarbferry.rpc.connection import Timing
from rhubarbferry.rpc.errors import PeerRefused, PeerUnreachable, RpcError
from rhubarbferry.rpc.gen.ttypes import Acceptance as AcceptanceWord
from rhubarbferry.rpc.gen.ttypes import (
    ApprovalRequest,
    JobNotice,
    OwnedPhaseRequest,
    PendingRequest,
    PingRequest,
    RelayedCancel,
    RelayedPhase,
    RelayedSubmit,
    StoreReachRequest,
    TakeOverRequest,
)
from rhubarbferry.rpc.pool import Pool
from rhubarbferry.rpc.services import PEER

# A connection between processes that misses two heartbeats is replaced.
PEER_TIMING = Timing(connect_s=0.5, heartbeat_s=1.0, silence_s=2.0)
PENDING_S = 0.5
# A notice that takes longer is of no use: the owner's watch shows the job by then.
NOTICE_S = 0.5
# The other process asks the store first.
REACH_S = 0.6
# The other process writes the owner's key, which a slow store takes its time for.
TAKE_OVER_S = 1.2
# Both ways between regions, and the wait for a turn in the process that asks.
HOP_S = 0.4

# Left of a client's time for the way back.
RETURN_S = 0.1
PHASE_S = 0.8

WORDS = {
    Accepted.YES: AcceptanceWord.ACCEPTED,
    Accepted.NO: AcceptanceWord.NOT_ACCEPTED,
    Accepted.UNCLEAR: AcceptanceWord.UNCLEAR,
}


@frozen(kw_only=True, slots=True)
class Silence:
    """No answer of another process."""

    reason: str


class Reach(Enum):
    """What comes of a ping to another process.

    REFUSED is the word of its host that nothing listens at its address; SILENT is no word at all.
    """

    ANSWERED = auto()
    REFUSED = auto()
    SILENT = auto()


class PeerClient:
    """Calls other processes of the cell.

    :param extra_s: returns by how many seconds to extend time limits, as this process is behind.
    """

    def __init__(self, *, extra_s: Callable[[], float] = lambda: 0.0) -> None:
        self._extra_s = extra_s
        self._pool = Pool(service=PEER, timing=PEER_TIMING)

    async def _call(self, member: Member, method: str, req: Any, *, timeout_s: float) -> Any:
        return await self._pool.call(
            member.address,
            method,
            req,
            timeout_s=timeout_s + self._extra_s(),
            region=member.region,
        )

    async def pending(self, member: Member, queue: str) -> int | None:
        """Return the jobs of a queue that wait, or ``None`` when the owner is not reached."""
        try:
            reply = await self._call(
                member, "pending", PendingRequest(queue=queue), timeout_s=PENDING_S
            )
        except RpcError:
            return None
        return reply.pending if reply.owner else None

    async def job_accepted(self, member: Member, job: AcceptedJob) -> bool:
        """Tell the owner of a job; return whether it has taken it on."""
        req = JobNotice(job=job.id, record=job.record, revision=job.revision, fence=job.fence)
        try:
            reply = await self._call(member, "job_accepted", req, timeout_s=NOTICE_S)
        except RpcError:
            return False
        return reply.taken

    async def owned_phase(
        self, member: Member, id: str, *, timeout_s: float
    ) -> JobPhase | Silence | None:
        """Return the phase of a job as its owner knows it, ``None`` when it can't say."""
        try:
            reply = await self._call(
                member, "owned_phase", OwnedPhaseRequest(job=id), timeout_s=timeout_s
            )
        except RpcError as exc:
            return Silence(reason=str(exc))
        return JobPhase(reply.phase) if reply.phase is not None else None

    async def ask_approval(
        self, member: Member, step: StepId, hosts: tuple[str, ...], *, timeout_s: float
    ) -> Approvals:
        """Let another process ask the policy service.

        :raises WorkerError: when there is no answer.
        """
        req = ApprovalRequest(
            job=step.job,
            occurrence=step.occurrence,
            step=step.step,
            hosts=list(hosts),
            timeout_ms=int(timeout_s * 1000),
        )
        try:
            reply = await self._call(member, "ask_approval", req, timeout_s=timeout_s + HOP_S)
        except RpcError as exc:
            raise WorkerSilent(f"{member.name} gave no answer: {exc}") from exc
        if not reply.answered:
            raise WorkerSilent(f"{member.name}: {reply.detail}")
        return Approvals(
            approvals=tuple(Approval(host=a.host, ticket=a.ticket) for a in reply.approvals),
            valid_s=reply.valid_ms / 1000,
        )

    async def store_reached(self, member: Member) -> bool:
        """Tell whether another process is answered by the store."""
        try:
            reply = await self._call(member, "store_reach", StoreReachRequest(), timeout_s=REACH_S)
        except RpcError:
            return False
        return reply.reached

    async def take_over(self, member: Member, fence: int) -> bool:
        """Ask another process to replace the owner's key; it may do so though none answers."""
        try:
            reply = await self._call(
                member, "take_over", TakeOverRequest(fence=fence), timeout_s=TAKE_OVER_S
            )
        except RpcError:
            return False
        return reply.taken

    async def ping(self, member: Member, *, timeout_s: float) -> Reach:
        """Ask another process for a sign of life."""
        try:
            async with asyncio.timeout(timeout_s + self._extra_s()):
                await self._call(member, "ping", PingRequest(), timeout_s=timeout_s)
        except PeerRefused:
            return Reach.REFUSED
        except (RpcError, TimeoutError):
            return Reach.SILENT
        return Reach.ANSWERED

    async def submit(self, member: Member, record: JobRecord, *, timeout_s: float) -> Accepted:
        """Let another process accept a job."""
        req = RelayedSubmit(
            record=encode_request(record), timeout_ms=int((timeout_s - RETURN_S) * 1000)
        )
        try:
            reply = await self._call(member, "submit", req, timeout_s=timeout_s)
        except PeerUnreachable:
            return Accepted.NO
        except RpcError:
            return Accepted.UNCLEAR
        return next(verdict for verdict, word in WORDS.items() if word == reply.accepted)

    async def phase(self, member: Member, id: str) -> JobPhase | None:
        """Let another process look a job up.

        :raises PhaseUnknown: when it can't either.
        """
        try:
            reply = await self._call(member, "phase", RelayedPhase(job=id), timeout_s=PHASE_S)
        except RpcError as exc:
            raise PhaseUnknown(f"{member.name}: {exc}") from exc
        if not reply.read:
            raise PhaseUnknown(f"{member.name} can't read it either")
        return JobPhase(reply.phase) if reply.phase is not None else None

    async def cancel(self, member: Member, id: str, *, timeout_s: float) -> Cancelled:
        """Let another process record a cancellation."""
        req = RelayedCancel(job=id, timeout_ms=int((timeout_s - RETURN_S) * 1000))
        try:
            reply = await self._call(member, "cancel", req, timeout_s=timeout_s)
        except RpcError:
            return Cancelled.NOT_NOW
        if not reply.recorded:
            return Cancelled.NOT_NOW
        return Cancelled.YES if reply.known else Cancelled.UNKNOWN_JOB

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()
