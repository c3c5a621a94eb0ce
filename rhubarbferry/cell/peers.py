"""Calls between the processes of a cell."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from rhubarbferry.cell.members import Member
from rhubarbferry.dispatch.messages import Approval, StepId
from rhubarbferry.ports.workers import Approvals, PolicyService, WorkerError, WorkerSilent
from rhubarbferry.rpc.connection import Timing
from rhubarbferry.rpc.errors import RpcError
from rhubarbferry.rpc.gen.ttypes import (
    ApprovalReply,
    ApprovalRequest,
    HostApproval,
    PendingReply,
    PendingRequest,
    PingReply,
    PingRequest,
)
from rhubarbferry.rpc.pool import Pool
from rhubarbferry.rpc.server import Server
from rhubarbferry.rpc.services import PEER

# Between processes a connection costs a beat each second; one that is silent for 2 s is replaced.
PEER_TIMING = Timing(connect_s=0.5, heartbeat_s=1.0, silence_s=2.0)
PENDING_S = 0.5
# Both ways between regions, and the wait for a turn in the process that asks.
HOP_S = 0.4

CountPending = Callable[[str], int | None]


class PeerServer:
    """Answers other processes of the cell.

    :param policy: asked on behalf of the owner.
    :param count_pending: returns the jobs of a queue that wait, or ``None`` when this process
        does not own the work.
    """

    def __init__(self, *, policy: PolicyService | None, count_pending: CountPending) -> None:
        self._policy = policy
        self._count_pending = count_pending
        handlers: dict[str, Callable[..., Awaitable[object]]] = {
            "ping": self._ping,
            "pending": self._pending,
            "ask_approval": self._ask_approval,
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

    async def _pending(self, req: PendingRequest) -> PendingReply:
        count = self._count_pending(req.queue)
        return PendingReply(owner=count is not None, pending=count or 0)

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

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()
