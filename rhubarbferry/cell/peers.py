"""Calls between the processes of a cell."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import Protocol

from attrs import frozen
from loguru import logger

from rhubarbferry.cell.job_calls import Accepted, Cancelled, JobCalls, PhaseUnknown
from rhubarbferry.cell.members import Member
from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.messages import Approval, StepId
from rhubarbferry.dispatch.record import (
    JobRecord,
    RecordError,
    decode_request,
    encode_request,
)
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.workers import Approvals, PolicyService, WorkerError, WorkerSilent
from rhubarbferry.rpc.connection import Timing
from rhubarbferry.rpc.errors import PeerRefused, PeerUnreachable, RpcError
from rhubarbferry.rpc.gen.ttypes import Acceptance as AcceptanceWord
from rhubarbferry.rpc.gen.ttypes import (
    ApprovalReply,
    ApprovalRequest,
    HostApproval,
    JobNotice,
    JobNoticeReply,
    OwnedPhaseReply,
    OwnedPhaseRequest,
    PendingReply,
    PendingRequest,
    PingReply,
    PingRequest,
    RelayedCancel,
    RelayedCancelReply,
    RelayedPhase,
    RelayedPhaseReply,
    RelayedSubmit,
    RelayedSubmitReply,
    StoreReachReply,
    StoreReachRequest,
    TakeOverReply,
    TakeOverRequest,
)
from rhubarbferry.rpc.pool import Pool
from rhubarbferry.rpc.server import Server
from rhubarbferry.rpc.services import PEER

# Between processes a connection costs a beat each second; one that is silent for 2 s is replaced.
PEER_TIMING = Timing(connect_s=0.5, heartbeat_s=1.0, silence_s=2.0)
PENDING_S = 0.5
# A notice that takes longer is of no use: the owner's watch shows the job by then.
NOTICE_S = 0.5
# The other process asks the store first, which may take 0.45 s.
REACH_S = 0.6
# The other process writes the owner's key, which takes a slow store 0.4 s; both ways are added.
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
class AcceptedJob:
    """A job that now stands in the store.

    :param record: the value of its request.
    :param revision: the store's revision that holds it.
    :param fence: the ownership that was in force at that revision.
    """

    id: str
    record: bytes
    revision: int
    fence: int


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


class OwnedWork(Protocol):
    """What the owner's term answers, asked in its own process or by another."""

    def pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not begun, or ``None`` when not known."""
        ...

    def phase(self, id: str) -> JobPhase | None:
        """Return the phase of a job, or ``None`` when it is not known here."""
        ...

    def accepted(self, job: AcceptedJob) -> bool:
        """Take on a job that was accepted under this ownership; return whether that is so."""
        ...


class PeerServer:
    """Answers other processes of the cell.

    :param jobs: serves the job calls of processes that can't reach the store.
    :param policy: asked on behalf of the owner.
    :param term: this process's term of ownership, while there is one.
    :param store_reached: whether the store answers this process now.
    :param take_over: replaces the owner's key of the given revision by this process's own.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        jobs: JobCalls,
        policy: PolicyService | None,
        term: Callable[[], OwnedWork | None],
        store_reached: Callable[[], Awaitable[bool]],
        take_over: Callable[[int], Awaitable[bool]],
    ) -> None:
        self._clock = clock
        self._jobs = jobs
        self._policy = policy
        self._term = term
        self._store_reached = store_reached
        self._take_over = take_over
        handlers: dict[str, Callable[..., Awaitable[object]]] = {
            "ping": self._ping,
            "pending": self._pending,
            "job_accepted": self._job_accepted,
            "owned_phase": self._owned_phase,
            "ask_approval": self._ask_approval,
            "store_reach": self._reach,
            "take_over": self._take,
            "submit": self._submit,
            "phase": self._phase,
            "cancel": self._cancel,
        }
        self._server = Server(service=PEER, handlers=handlers)

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        ip, _, port = address.rpartition(":")
        await self._server.start(ip, int(port))

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close()

    async def _ping(self, req: PingRequest) -> PingReply:
        return PingReply()

    async def _reach(self, req: StoreReachRequest) -> StoreReachReply:
        return StoreReachReply(reached=await self._store_reached())

    async def _take(self, req: TakeOverRequest) -> TakeOverReply:
        return TakeOverReply(taken=await self._take_over(req.fence))

    async def _pending(self, req: PendingRequest) -> PendingReply:
        term = self._term()
        count = term.pending(req.queue) if term is not None else None
        return PendingReply(owner=count is not None, pending=count or 0)

    async def _job_accepted(self, req: JobNotice) -> JobNoticeReply:
        term = self._term()
        if term is None:
            return JobNoticeReply(taken=False)
        job = AcceptedJob(id=req.job, record=req.record, revision=req.revision, fence=req.fence)
        return JobNoticeReply(taken=term.accepted(job))

    async def _owned_phase(self, req: OwnedPhaseRequest) -> OwnedPhaseReply:
        term = self._term()
        phase = term.phase(req.job) if term is not None else None
        return OwnedPhaseReply(phase=phase.value if phase is not None else None)

    async def _submit(self, req: RelayedSubmit) -> RelayedSubmitReply:
        deadline = self._clock.monotonic() + req.timeout_ms / 1000
        try:
            record = decode_request(req.record)
        except RecordError as exc:
            logger.error("a process passed on a job that can't be read: {}", exc)
            return RelayedSubmitReply(accepted=AcceptanceWord.NOT_ACCEPTED)
        return RelayedSubmitReply(
            accepted=WORDS[await self._jobs.submit(record, deadline=deadline)]
        )

    async def _phase(self, req: RelayedPhase) -> RelayedPhaseReply:
        try:
            phase = await self._jobs.phase(req.job)
        except PhaseUnknown:
            return RelayedPhaseReply(read=False)
        return RelayedPhaseReply(read=True, phase=phase.value if phase is not None else None)

    async def _cancel(self, req: RelayedCancel) -> RelayedCancelReply:
        deadline = self._clock.monotonic() + req.timeout_ms / 1000
        result = await self._jobs.cancel(req.job, deadline=deadline)
        return RelayedCancelReply(
            recorded=result is not Cancelled.NOT_NOW,
            known=result is not Cancelled.UNKNOWN_JOB,
        )

    async def _ask_approval(self, req: ApprovalRequest) -> ApprovalReply:
        step = StepId(job=req.job, occurrence=req.occurrence, step=req.step)
        if self._policy is None:
            return ApprovalReply(
                answered=False, approvals=[], valid_ms=0, detail="no policy service is set"
            )
        try:
            found = await self._policy.ask(step, tuple(req.hosts), timeout_s=req.timeout_ms / 1000)
        except WorkerError as exc:
            return ApprovalReply(answered=False, approvals=[], valid_ms=0, detail=str(exc))
        return ApprovalReply(
            answered=True,
            approvals=[HostApproval(host=a.host, ticket=a.ticket) for a in found.approvals],
            valid_ms=int(found.valid_s * 1000),
        )


class PeerClient:
    """Calls other processes of the cell."""

    def __init__(self) -> None:
        self._pool = Pool(service=PEER, timing=PEER_TIMING)

    async def pending(self, member: Member, queue: str) -> int | None:
        """Return the jobs of a queue that wait, or ``None`` when the owner is not reached."""
        try:
            reply = await self._pool.call(
                member.address,
                "pending",
                PendingRequest(queue=queue),
                timeout_s=PENDING_S,
                region=member.region,
            )
        except RpcError:
            return None
        return reply.pending if reply.owner else None

    async def job_accepted(self, member: Member, job: AcceptedJob) -> bool:
        """Tell the owner of a job; return whether it has taken it on."""
        req = JobNotice(job=job.id, record=job.record, revision=job.revision, fence=job.fence)
        try:
            reply = await self._pool.call(
                member.address, "job_accepted", req, timeout_s=NOTICE_S, region=member.region
            )
        except RpcError:
            return False
        return reply.taken

    async def owned_phase(
        self, member: Member, id: str, *, timeout_s: float
    ) -> JobPhase | Silence | None:
        """Return the phase of a job as its owner knows it, ``None`` when it can't say."""
        try:
            reply = await self._pool.call(
                member.address,
                "owned_phase",
                OwnedPhaseRequest(job=id),
                timeout_s=timeout_s,
                region=member.region,
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
            reply = await self._pool.call(
                member.address,
                "ask_approval",
                req,
                timeout_s=timeout_s + HOP_S,
                region=member.region,
            )
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
            reply = await self._pool.call(
                member.address,
                "store_reach",
                StoreReachRequest(),
                timeout_s=REACH_S,
                region=member.region,
            )
        except RpcError:
            return False
        return reply.reached

    async def take_over(self, member: Member, fence: int) -> bool:
        """Ask another process to replace the owner's key; it may do so though none answers."""
        try:
            reply = await self._pool.call(
                member.address,
                "take_over",
                TakeOverRequest(fence=fence),
                timeout_s=TAKE_OVER_S,
                region=member.region,
            )
        except RpcError:
            return False
        return reply.taken

    async def ping(self, member: Member, *, timeout_s: float) -> Reach:
        """Ask another process for a sign of life."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._pool.call(
                    member.address,
                    "ping",
                    PingRequest(),
                    timeout_s=timeout_s,
                    region=member.region,
                )
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
            reply = await self._pool.call(
                member.address, "submit", req, timeout_s=timeout_s, region=member.region
            )
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
            reply = await self._pool.call(
                member.address,
                "phase",
                RelayedPhase(job=id),
                timeout_s=PHASE_S,
                region=member.region,
            )
        except RpcError as exc:
            raise PhaseUnknown(f"{member.name}: {exc}") from exc
        if not reply.read:
            raise PhaseUnknown(f"{member.name} can't read it either")
        return JobPhase(reply.phase) if reply.phase is not None else None

    async def cancel(self, member: Member, id: str, *, timeout_s: float) -> Cancelled:
        """Let another process record a cancellation."""
        req = RelayedCancel(job=id, timeout_ms=int((timeout_s - RETURN_S) * 1000))
        try:
            reply = await self._pool.call(
                member.address, "cancel", req, timeout_s=timeout_s, region=member.region
            )
        except RpcError:
            return Cancelled.NOT_NOW
        if not reply.recorded:
            return Cancelled.NOT_NOW
        return Cancelled.YES if reply.known else Cancelled.UNKNOWN_JOB

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()
