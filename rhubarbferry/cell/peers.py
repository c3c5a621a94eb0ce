"""Calls to the other processes of the cell."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from typing import Any

from attrs import frozen

from rhubarbferry.cell.job_calls import Accepted, Cancelled, PhaseUnknown
from rhubarbferry.cell.load_summary import LoadView
from rhubarbferry.cell.members import Member
from rhubarbferry.cell.owner_calls import AcceptedJob
from rhubarbferry.dispatch.job import JobPhase, JobStatus
from rhubarbferry.dispatch.messages import Approval, StepId
from rhubarbferry.dispatch.record import JobRecord, encode_request
from rhubarbferry.ports.workers import Approvals, WorkerSilent
from rhubarbferry.rpc.connection import Timing
from rhubarbferry.rpc.errors import PeerRefused, PeerUnreachable, RpcError
from rhubarbferry.rpc.gen.ttypes import Acceptance as WireAcceptance
from rhubarbferry.rpc.gen.ttypes import (
    ApprovalRequest,
    JobNotice,
    OwnedPhaseReply,
    OwnedPhaseRequest,
    PendingRequest,
    PingRequest,
    RelayedCancel,
    RelayedPhase,
    RelayedPhaseReply,
    RelayedSubmit,
    StoreReachRequest,
    TakeOverRequest,
)
from rhubarbferry.rpc.pool import Pool
from rhubarbferry.rpc.services import PEER

# A connection between processes on which two heartbeats remain unanswered is replaced.
PEER_TIMING = Timing(connect_s=0.5, heartbeat_s=1.0, silence_s=2.0)
PENDING_TIMEOUT_S = 0.5
# A notice that takes longer is useless: by then the owner's watch delivers the job.
NOTICE_TIMEOUT_S = 0.5
# Includes the called process's own request to the store.
STORE_REACH_TIMEOUT_S = 0.6
# Includes the write of the owner's key by the called process, which takes long on a slow store.
TAKE_OVER_TIMEOUT_S = 1.2
# Extra time for a relayed request: the round trip between regions, and the time until the event
# loop of the relaying process handles it.
RELAY_OVERHEAD_S = 0.4

# Part of a call's time limit that is reserved for returning the reply.
REPLY_MARGIN_S = 0.1
PHASE_TIMEOUT_S = 0.8

WIRE_VERDICTS = {
    Accepted.YES: WireAcceptance.ACCEPTED,
    Accepted.NO: WireAcceptance.NOT_ACCEPTED,
    Accepted.UNCLEAR: WireAcceptance.UNCLEAR,
    Accepted.ID_TAKEN: WireAcceptance.ID_TAKEN,
}


@frozen(kw_only=True, slots=True)
class NoReply:
    """Result of a call that another process did not answer."""

    reason: str


class PingResult(Enum):
    """Result of a ping to another process.

    LOADING means that it answered as an owner that has not read all jobs yet. REFUSED means that
    its host refused the connection, so that nothing listens at its address. SILENT means that no
    reply arrived in time.
    """

    ANSWERED = auto()
    LOADING = auto()
    REFUSED = auto()
    SILENT = auto()


class PeerClient:
    """Client for calls to other processes of the cell.

    :param extra_s: returns the seconds to add to each time limit because of this process's lag.
    :param load: keeps the summaries of the load that the owner's replies contain.
    """

    def __init__(
        self, *, extra_s: Callable[[], float] = lambda: 0.0, load: LoadView | None = None
    ) -> None:
        self._extra_s = extra_s
        self._load = load
        self._pool = Pool(service=PEER, timing=PEER_TIMING)

    async def _call(self, member: Member, method: str, req: Any, *, timeout_s: float) -> Any:
        return await self._pool.call(
            member.address,
            method,
            req,
            timeout_s=timeout_s + self._extra_s(),
            region=member.region,
        )

    async def _call_owner(self, member: Member, method: str, req: Any, *, timeout_s: float) -> Any:
        """Make a call whose reply may contain a summary of the load."""
        if self._load is None:
            return await self._call(member, method, req, timeout_s=timeout_s)
        req.known_load = self._load.known()
        sent_at = self._load.clock.monotonic()
        reply = await self._call(member, method, req, timeout_s=timeout_s)
        self._load.receive(reply.load, sent_at=sent_at)
        return reply

    async def pending(self, member: Member, queue: str) -> int | None:
        """Return how many jobs of a queue have not started, or ``None`` if unknown."""
        try:
            reply = await self._call(
                member, "pending", PendingRequest(queue=queue), timeout_s=PENDING_TIMEOUT_S
            )
        except RpcError:
            return None
        return reply.pending if reply.owner else None

    async def job_accepted(self, member: Member, job: AcceptedJob) -> bool:
        """Notify the owner of an accepted job; return whether it has taken the job."""
        req = JobNotice(job=job.id, record=job.record, revision=job.revision, fence=job.fence)
        try:
            reply = await self._call_owner(member, "job_accepted", req, timeout_s=NOTICE_TIMEOUT_S)
        except RpcError:
            return False
        return reply.taken

    async def owned_status(
        self, member: Member, id: str, *, timeout_s: float
    ) -> JobStatus | NoReply | None:
        """Return the status of a job according to the owner, ``None`` when the owner has none."""
        try:
            reply = await self._call_owner(
                member, "owned_phase", OwnedPhaseRequest(job=id), timeout_s=timeout_s
            )
        except RpcError as exc:
            return NoReply(reason=str(exc))
        return _status(reply)

    async def job_known(self, member: Member, id: str, *, timeout_s: float) -> bool | None:
        """Return whether the owner knows a job, ``None`` if it can't tell."""
        try:
            reply = await self._call_owner(
                member, "owned_phase", OwnedPhaseRequest(job=id), timeout_s=timeout_s
            )
        except RpcError:
            return None
        if reply.phase is not None:
            return True
        return False if reply.loaded else None

    async def ask_approval(
        self, member: Member, step: StepId, hosts: tuple[str, ...], *, timeout_s: float
    ) -> Approvals:
        """Request approvals from the policy service through another process.

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
            reply = await self._call(
                member, "ask_approval", req, timeout_s=timeout_s + RELAY_OVERHEAD_S
            )
        except RpcError as exc:
            raise WorkerSilent(f"{member.name} did not answer: {exc}") from exc
        if not reply.answered:
            raise WorkerSilent(f"{member.name}: {reply.detail}")
        return Approvals(
            approvals=tuple(Approval(host=a.host, ticket=a.ticket) for a in reply.approvals),
            valid_s=reply.valid_ms / 1000,
        )

    async def store_reached(self, member: Member) -> bool:
        """Return whether the store answers another process."""
        try:
            reply = await self._call(
                member, "store_reach", StoreReachRequest(), timeout_s=STORE_REACH_TIMEOUT_S
            )
        except RpcError:
            return False
        return reply.reached

    async def take_over(self, member: Member, fence: int) -> bool:
        """Request another process to replace the owner's key.

        :returns: whether it confirmed the takeover. Without a reply it may have taken over as well.
        """
        try:
            reply = await self._call(
                member, "take_over", TakeOverRequest(fence=fence), timeout_s=TAKE_OVER_TIMEOUT_S
            )
        except RpcError:
            return False
        return reply.taken

    async def ping(self, member: Member, *, timeout_s: float) -> PingResult:
        """Check that another process answers."""
        try:
            async with asyncio.timeout(timeout_s + self._extra_s()):
                reply = await self._call(member, "ping", PingRequest(), timeout_s=timeout_s)
        except PeerRefused:
            return PingResult.REFUSED
        except (RpcError, TimeoutError):
            return PingResult.SILENT
        return PingResult.LOADING if reply.loading else PingResult.ANSWERED

    async def submit(self, member: Member, record: JobRecord, *, timeout_s: float) -> Accepted:
        """Submit a job through another process."""
        req = RelayedSubmit(
            record=encode_request(record), timeout_ms=int((timeout_s - REPLY_MARGIN_S) * 1000)
        )
        try:
            reply = await self._call(member, "submit", req, timeout_s=timeout_s)
        except PeerUnreachable:
            return Accepted.NO
        except RpcError:
            return Accepted.UNCLEAR
        return next(verdict for verdict, wire in WIRE_VERDICTS.items() if wire == reply.accepted)

    async def status(self, member: Member, id: str) -> JobStatus | None:
        """Read the status of a job through another process.

        :raises PhaseUnknown: when that process can't read it either.
        """
        try:
            reply = await self._call(
                member, "phase", RelayedPhase(job=id), timeout_s=PHASE_TIMEOUT_S
            )
        except RpcError as exc:
            raise PhaseUnknown(f"{member.name}: {exc}") from exc
        if not reply.read:
            raise PhaseUnknown(f"{member.name} can't read the phase either")
        return _status(reply)

    async def cancel(
        self, member: Member, id: str, *, account: str | None, timeout_s: float
    ) -> Cancelled:
        """Record a cancellation through another process."""
        req = RelayedCancel(
            job=id, timeout_ms=int((timeout_s - REPLY_MARGIN_S) * 1000), account=account
        )
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


def _status(reply: OwnedPhaseReply | RelayedPhaseReply) -> JobStatus | None:
    """Decode a status; a process of an older build sends no account."""
    if reply.phase is None:
        return None
    return JobStatus(phase=JobPhase(reply.phase), account=reply.account or "")
