"""Server for calls from other processes of the cell."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from loguru import logger

from rhubarbferry.cell.job_calls import Cancelled, JobCalls, PhaseUnknown
from rhubarbferry.cell.owner_calls import AcceptedJob, OwnerCalls
from rhubarbferry.cell.peers import WIRE_VERDICTS
from rhubarbferry.dispatch.messages import StepId
from rhubarbferry.dispatch.record import RecordError, decode_request
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.workers import PolicyService, WorkerError
from rhubarbferry.rpc.gen.ttypes import Acceptance as WireAcceptance
from rhubarbferry.rpc.gen.ttypes import (
    ApprovalReply,
    ApprovalRequest,
    HostApproval,
    JobNotice,
    JobNoticeReply,
    KnownLoad,
    LoadSummary,
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
from rhubarbferry.rpc.server import Server
from rhubarbferry.rpc.services import PEER
from rhubarbferry.serving.listener import Listener


class PeerServer:
    """Answer calls from other processes of the cell.

    :param jobs: serves the job calls relayed by processes that can't reach the store.
    :param policy: receives requests on behalf of the owner, ``None`` when not configured.
    :param term: returns this process's term of ownership, ``None`` while it is not the owner.
    :param store_reached: returns whether the store currently answers this process.
    :param take_over: replaces the owner's key, if it is at the given revision, by a key of this
        process, and returns whether it did.
    :param listener: limits of the connections.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        jobs: JobCalls,
        policy: PolicyService | None,
        term: Callable[[], OwnerCalls | None],
        store_reached: Callable[[], Awaitable[bool]],
        take_over: Callable[[int], Awaitable[bool]],
        listener: Listener | None = None,
    ) -> None:
        self._clock = clock
        self._jobs = jobs
        self._policy = policy
        self._current_term = term
        self._store_reached = store_reached
        self._take_over = take_over
        handlers: dict[str, Callable[..., Awaitable[object]]] = {
            "ping": self._ping,
            "pending": self._pending,
            "job_accepted": self._job_accepted,
            "owned_phase": self._owned_phase,
            "ask_approval": self._ask_approval,
            "store_reach": self._store_reach,
            "take_over": self._replace_owner,
            "submit": self._submit,
            "phase": self._phase,
            "cancel": self._cancel,
        }
        self._server = Server(service=PEER, handlers=handlers, listener=listener)

    async def start(self, address: str) -> None:
        """Listen on ``ip:port``."""
        ip, _, port = address.rpartition(":")
        await self._server.start(ip, int(port))

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._server.close()

    async def _ping(self, req: PingRequest) -> PingReply:
        term = self._current_term()
        return PingReply(loading=True if term is not None and not term.loaded else None)

    async def _store_reach(self, req: StoreReachRequest) -> StoreReachReply:
        return StoreReachReply(reached=await self._store_reached())

    async def _replace_owner(self, req: TakeOverRequest) -> TakeOverReply:
        return TakeOverReply(taken=await self._take_over(req.fence))

    async def _pending(self, req: PendingRequest) -> PendingReply:
        term = self._current_term()
        count = term.pending(req.queue) if term is not None else None
        return PendingReply(owner=count is not None, pending=count or 0)

    async def _job_accepted(self, req: JobNotice) -> JobNoticeReply:
        term = self._current_term()
        if term is None:
            return JobNoticeReply(taken=False)
        job = AcceptedJob(id=req.job, record=req.record, revision=req.revision, fence=req.fence)
        return JobNoticeReply(taken=term.add_accepted(job), load=_load(term, req.known_load))

    async def _owned_phase(self, req: OwnedPhaseRequest) -> OwnedPhaseReply:
        term = self._current_term()
        if term is None:
            return OwnedPhaseReply()
        status = term.status(req.job)
        load = _load(term, req.known_load)
        if status is None:
            loaded = req.known_load is not None and term.knows(req.job) is False
            return OwnedPhaseReply(load=load, loaded=loaded or None)
        return OwnedPhaseReply(phase=status.phase.value, account=status.account, load=load)

    async def _submit(self, req: RelayedSubmit) -> RelayedSubmitReply:
        deadline = self._clock.monotonic() + req.timeout_ms / 1000
        try:
            record = decode_request(req.record)
        except RecordError as exc:
            logger.error("another process relayed a job record that can't be decoded: {}", exc)
            return RelayedSubmitReply(accepted=WireAcceptance.NOT_ACCEPTED)
        return RelayedSubmitReply(
            accepted=WIRE_VERDICTS[await self._jobs.submit(record, deadline=deadline)]
        )

    async def _phase(self, req: RelayedPhase) -> RelayedPhaseReply:
        try:
            status = await self._jobs.status(req.job)
        except PhaseUnknown:
            return RelayedPhaseReply(read=False)
        if status is None:
            return RelayedPhaseReply(read=True)
        return RelayedPhaseReply(read=True, phase=status.phase.value, account=status.account)

    async def _cancel(self, req: RelayedCancel) -> RelayedCancelReply:
        deadline = self._clock.monotonic() + req.timeout_ms / 1000
        result = await self._jobs.cancel(req.job, account=req.account, deadline=deadline)
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
            answer = await self._policy.request_approvals(
                step, tuple(req.hosts), timeout_s=req.timeout_ms / 1000
            )
        except WorkerError as exc:
            return ApprovalReply(answered=False, approvals=[], valid_ms=0, detail=str(exc))
        return ApprovalReply(
            answered=True,
            approvals=[HostApproval(host=a.host, ticket=a.ticket) for a in answer.approvals],
            valid_ms=int(answer.valid_s * 1000),
        )


def _load(term: OwnerCalls, known: KnownLoad | None) -> LoadSummary | None:
    """Return the summary of the load for a process that uses summaries and lacks this one."""
    return term.load.newer_than(known) if known is not None else None
