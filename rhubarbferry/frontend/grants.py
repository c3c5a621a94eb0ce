"""Request grants of slots from the owner of a runner partition, and release them."""

from __future__ import annotations

import asyncio
from collections import deque

from attrs import frozen

from rhubarbferry.core.cell import PriorityClass
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.frontend import metrics
from rhubarbferry.frontend.background import Background
from rhubarbferry.frontend.headers import RequestSpec
from rhubarbferry.frontend.owners import NoReply, Owners, Replied
from rhubarbferry.frontend.waits import ExpectedWaits, WaitClass
from rhubarbferry.ports.clock import Clock
from rhubarbferry.rpc.gen import ttypes as t

MS_PER_S = 1000
RELEASE_BATCH_DELAY_S = 0.003
RELEASE_RETRY_INTERVAL_S = 0.05
RELEASE_RETENTION_S = 60.0
RELEASE_TIMEOUT_S = 1.0
MAX_RELEASES_PER_BATCH = 1000
MAX_QUEUED_RELEASES = 100_000
MAX_ABANDON_ATTEMPTS = 20
DEFAULT_RETRY_AFTER_MS = 1000
NO_SCHEDULER_REASON = "no scheduler decides for this service"


@frozen(kw_only=True, slots=True)
class Granted:
    """The right to send one request to one runner.

    :param usable_until: on this process's monotonic clock, counted from before the grant request.
    """

    partition: PartitionId
    epoch: int
    grant_id: int
    runner_id: str
    runner_address: str
    usable_until: float


@frozen(kw_only=True, slots=True)
class Refused:
    """No grant was obtained.

    :param timed_out: whether the deadline passed.
    """

    reason: str
    retry_after_s: float
    timed_out: bool = False


@frozen(kw_only=True, slots=True)
class _QueuedRelease:
    release: t.Release
    expires: float
    accepted: asyncio.Future[bool]

    def resolve(self, accepted: bool) -> None:
        if not self.accepted.done():
            self.accepted.set_result(accepted)


class GrantClient:
    """Request, release and abandon grants for this process.

    :param frontend_id: the member id of this process.
    :param waits: receives the expected wait from each grant reply.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        owners: Owners,
        background: Background,
        frontend_id: str,
        waits: ExpectedWaits,
    ) -> None:
        self._waits = waits
        self._clock = clock
        self._owners = owners
        self._background = background
        self._frontend_id = frontend_id
        self._queues: dict[PartitionId, deque[_QueuedRelease]] = {}

    async def acquire(
        self,
        *,
        partition: PartitionId,
        spec: RequestSpec,
        priority: PriorityClass,
        excluded: list[str],
        deadline: float,
    ) -> Granted | Refused:
        """Wait for a grant; if cancelled, remove the request from the owner's queue too."""

        def build(epoch: int) -> t.GrantRequest:
            left = max(0.0, deadline - self._clock.monotonic())
            return t.GrantRequest(
                partition=str(partition),
                epoch=epoch,
                request_id=spec.request_id,
                frontend_id=self._frontend_id,
                account=spec.account,
                priority=t.Priority(int(priority)),
                remaining_ms=int(left * MS_PER_S),
                idempotent=spec.idempotent,
                excluded_runners=excluded,
            )

        started_at = self._clock.monotonic()
        try:
            result = await self._owners.call(
                partition,
                "grant",
                build,
                deadline=deadline,
                not_owner=lambda reply: reply.verdict == t.GrantVerdict.NOT_OWNER,
                before_retry=lambda: self._abandon(partition, spec.request_id, max_attempts=1),
            )
        except asyncio.CancelledError:
            self.abandon(partition, spec.request_id)
            raise
        metrics.GRANT_WAIT.observe(self._clock.monotonic() - started_at)
        match result:
            case NoReply(unclear=unclear):
                if unclear:
                    self.abandon(partition, spec.request_id)
                if self._clock.monotonic() >= deadline:
                    return Refused(reason="deadline", retry_after_s=1.0, timed_out=True)
                return Refused(reason=NO_SCHEDULER_REASON, retry_after_s=1.0)
            case Replied(reply=reply, called_at=called_at):
                cls = WaitClass(account=spec.account, priority=priority)
                self._waits.record(partition, cls, reply.expected_wait_ms)
                return _parse_reply(partition, reply, called_at)

    def release(self, partition: PartitionId, release: t.Release) -> asyncio.Future[bool]:
        """Queue a release, or a report of an unknown outcome, for the next batch to the owner.

        :returns: a future that resolves to whether an owner accepted it.
        """
        accepted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        queue = self._queues.get(partition)
        if queue is None:
            queue = self._queues[partition] = deque()
            self._background.start(self._flush(partition, queue))
        if len(queue) >= MAX_QUEUED_RELEASES:
            metrics.RELEASES_LOST.inc()
            accepted.set_result(False)
            return accepted
        expires = self._clock.monotonic() + RELEASE_RETENTION_S
        queue.append(_QueuedRelease(release=release, expires=expires, accepted=accepted))
        return accepted

    async def _flush(self, partition: PartitionId, queue: deque[_QueuedRelease]) -> None:
        try:
            while queue:
                await self._clock.sleep(RELEASE_BATCH_DELAY_S)
                batch = [queue[index] for index in range(min(len(queue), MAX_RELEASES_PER_BATCH))]
                if await self._send(partition, batch):
                    for _ in batch:
                        queue.popleft().resolve(True)
                    continue
                await self._clock.sleep(RELEASE_RETRY_INTERVAL_S)
                now = self._clock.monotonic()
                while queue and queue[0].expires <= now:
                    queue.popleft().resolve(False)
                    metrics.RELEASES_LOST.inc()
        finally:
            del self._queues[partition]

    async def _send(self, partition: PartitionId, batch: list[_QueuedRelease]) -> bool:
        req = t.ReleaseRequest(
            partition=str(partition),
            epoch=0,
            frontend_id=self._frontend_id,
            releases=[queued.release for queued in batch],
        )
        reply = await self._owners.call_once(partition, "release", req, timeout_s=RELEASE_TIMEOUT_S)
        return reply is not None and reply.accepted

    def abandon(self, partition: PartitionId, request_id: str) -> None:
        """Remove a grant request from the owner's queue, in the background."""
        self._background.start(
            self._abandon(partition, request_id, max_attempts=MAX_ABANDON_ATTEMPTS)
        )

    async def _abandon(self, partition: PartitionId, request_id: str, *, max_attempts: int) -> None:
        for _ in range(max_attempts):
            req = t.AbandonRequest(
                partition=str(partition),
                epoch=0,
                frontend_id=self._frontend_id,
                request_id=request_id,
            )
            reply = await self._owners.call_once(
                partition, "abandon", req, timeout_s=RELEASE_TIMEOUT_S
            )
            if reply is not None and reply.accepted:
                return
            await self._clock.sleep(RELEASE_RETRY_INTERVAL_S)


def _parse_reply(
    partition: PartitionId, reply: t.GrantReply, called_at: float
) -> Granted | Refused:
    if reply.verdict == t.GrantVerdict.GRANTED:
        return Granted(
            partition=partition,
            epoch=reply.epoch,
            grant_id=reply.grant_id,
            runner_id=reply.runner_id,
            runner_address=reply.runner_address,
            # The owner received the request after ``called_at``, so this time is never later than
            # the end of the grant at the owner, however long the reply took.
            usable_until=called_at + ((reply.waited_ms or 0) + (reply.usable_ms or 0)) / MS_PER_S,
        )
    retry_ms = DEFAULT_RETRY_AFTER_MS if reply.retry_after_ms is None else reply.retry_after_ms
    return Refused(reason=reply.reason or "refused", retry_after_s=retry_ms / MS_PER_S)
