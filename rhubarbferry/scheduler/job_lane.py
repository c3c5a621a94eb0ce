"""Requests from one home to one worker partition, sent one at a time and numbered."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, Protocol

from attrs import define
from loguru import logger
from prometheus_client import Counter

from rhubarbferry.core.job_queue import Picked, Room
from rhubarbferry.core.jobs import Job
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.ports.ownership import Owner, Tenure
from rhubarbferry.rpc import PeerUnreachable, RpcError
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.messages import resources_of, size_of

MAX_CLAIMS = 200
CALL_TIMEOUT_S = 2.5
IDLE_S = 0.25
RETRY_S = 0.1
DIGEST_S = 0.5
BUSY_DIGEST_S = 0.1
ASK_AGAIN_S = 0.5
# Used when all listed workers have reported and only tasks of delisted workers are unsettled.
ASK_AGAIN_LATE_S = 3.0

LANE_CALLS = Counter(
    "rhubarbferry_home_calls_total", "Calls of homes to worker partitions", ["method", "result"]
)


class LaneHost(Protocol):
    """The part of a home that a lane uses."""

    def depth(self) -> int:
        """Return the number of waiting tasks."""
        ...

    def pick(self, lane: Lane) -> list[Picked]:
        """Select and mark tasks to be claimed in the free capacity of a lane."""
        ...

    async def record_dispatch(self, picked: Sequence[Picked]) -> bool:
        """Record that the attempts may start; return ``False`` if they must not."""
        ...

    def claimed(
        self, lane: Lane, picked: Sequence[Picked], results: Sequence[t.ClaimResult]
    ) -> None:
        """Apply the results of claims."""
        ...

    def wanted(self, picked: Sequence[Picked]) -> list[Picked]:
        """Return the tasks that still are to be claimed."""
        ...

    def put_back(self, picked: Sequence[Picked], *, dispatched: bool) -> None:
        """Return tasks whose claims were never sent to the queue."""
        ...

    def reconciled(self, lane: Lane, reply: t.HeldTasksReply) -> None:
        """Apply the list of tasks that a partition holds for the home."""
        ...

    def heard_digest(self, lane: Lane, digest: t.PartitionDigest, asked_at: float) -> None:
        """Apply the digest of a partition."""
        ...

    def partition_gone(self, lane: Lane) -> None:
        """Settle the tasks of a removed partition, whose leases have expired."""
        ...


@define(kw_only=True, slots=True)
class _Held:
    """The state of the lane towards the current owner of its partition."""

    epoch: int = 0
    synced: bool = False
    complete: bool = False
    all_heard: bool = False
    ask_at: float = 0.0


class Lane:
    """The client side of one worker partition in a home.

    After a claim whose reply was lost, and whenever the partition has a new owner, the lane
    requests the list of held tasks before it claims anything else. Requests carry increasing
    numbers and the partition refuses lower ones, so a task missing from the list can't be
    started later by a delayed request.

    :param partition: the worker partition.
    """

    def __init__(
        self, *, partition: PartitionId, tenure: Tenure, ctx: Context, host: LaneHost
    ) -> None:
        self.partition = partition
        self.name = str(partition)
        self.room: Room | None = None
        self.digest: t.PartitionDigest | None = None
        self.digest_at = -1.0
        self.ever_complete = False
        self.lock = asyncio.Lock()
        self._tenure = tenure
        self._ctx = ctx
        self._host = host
        self._owner = _Held()
        # A home that is restarted under the same epoch must continue with higher numbers.
        self._number = int(ctx.clock.monotonic() * 1_000_000)
        self._stops: dict[str, bool] = {}
        self._wake = asyncio.Event()
        self._gone_since: float | None = None
        self._stale = False

    @property
    def epoch(self) -> int:
        """The epoch of the partition's owner as last seen by the lane."""
        return self._owner.epoch

    @property
    def synced(self) -> bool:
        """Whether the home has the current list of tasks held by this partition."""
        return self._owner.synced

    @property
    def all_heard(self) -> bool:
        """Whether all workers have reported their tasks and capacity to the owner."""
        return self._owner.all_heard

    def wake(self) -> None:
        """Run the next step immediately."""
        self._wake.set()

    def freed(self) -> None:
        """Mark the last digest as outdated, since ended tasks have freed capacity."""
        self._stale = True
        self._wake.set()

    def stop(self, task_id: str, *, checkpoint: bool = False) -> None:
        """Queue a stop request for a task."""
        self._stops[task_id] = checkpoint
        self._wake.set()

    async def run(self) -> None:
        """Send claims, stops and queries until cancelled."""
        while True:
            self._wake.clear()
            async with self.lock:
                busy = await self._step()
            if not busy:
                await self._rest(BUSY_DIGEST_S if self._host.depth() else IDLE_S)

    async def _step(self) -> bool:
        owner = self._ctx.ownership.owner(self.partition)
        if owner is None or not self._tenure.holds():
            self._check_gone(owner)
            return False
        self._gone_since = None
        if owner.epoch != self._owner.epoch:
            self._owner = _Held(epoch=owner.epoch)
        if not self._owner.synced or self._ask_again():
            return await self._reconcile(owner)
        if self._stops:
            await self._send_stops(owner)
        if self._digest_due():
            await self._ask_digest(owner)
        picked = self._host.pick(self)
        if not picked:
            return False
        return await self._claim(owner, picked)

    def _ask_again(self) -> bool:
        if self._owner.complete:
            return False
        return self._ctx.clock.monotonic() >= self._owner.ask_at

    def _digest_due(self) -> bool:
        if self.room is None or self._stale:
            return True
        longest = BUSY_DIGEST_S if self._host.depth() else DIGEST_S
        return self._ctx.clock.monotonic() - self.digest_at >= longest

    async def _rest(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            pass

    # ------------------------------------------------------------ calls

    async def call(self, owner: Owner, method: str, req: Any) -> Any | None:
        """Call the owner; return ``None`` if there is no valid reply.

        The caller must hold :attr:`lock`. After ``None`` the lane requests the list of held tasks
        before it sends anything else.
        """
        try:
            reply = await self._ctx.schedulers.call(
                owner.address,
                method,
                req,
                timeout_s=CALL_TIMEOUT_S,
                region=self.partition.region,
            )
        except PeerUnreachable:
            LANE_CALLS.labels(method, "unreachable").inc()
            self._unclear()
            return None
        except RpcError as exc:
            LANE_CALLS.labels(method, "unclear").inc()
            logger.debug("{}: no reply to {}: {}", self.name, method, exc)
            self._unclear()
            return None
        if not reply.owner:
            LANE_CALLS.labels(method, "not_owner").inc()
            self._unclear()
            return None
        LANE_CALLS.labels(method, "answered").inc()
        return reply

    def owner(self) -> Owner | None:
        """Return the owner if the lane is synchronized with it."""
        owner = self._ctx.ownership.owner(self.partition)
        if owner is None or not self._owner.synced or owner.epoch != self._owner.epoch:
            return None
        return owner

    def next_number(self) -> int:
        """Return a new request number."""
        self._number += 1
        return self._number

    async def claim(
        self, owner: Owner, picked: Sequence[Picked], *, reserve_s: float = 0.0
    ) -> list[t.ClaimResult] | None:
        """Claim tasks; return ``None`` if the outcome of the claims is unknown."""
        req = t.ClaimRequest(
            partition=self.name,
            epoch=owner.epoch,
            home=str(self._tenure.partition),
            home_epoch=self._tenure.epoch,
            claims=[_claim(item, self._ctx.clock.monotonic()) for item in picked],
            reserve_ms=int(reserve_s * 1000),
            number=self.next_number(),
        )
        asked_at = self._ctx.clock.monotonic()
        reply = await self.call(owner, "claim", req)
        if reply is None:
            return None
        self._take_digest(reply.digest, asked_at)
        return reply.results

    async def settle(
        self, owner: Owner, task_ids: Sequence[str], *, commit: bool
    ) -> list[t.ClaimResult] | None:
        """Commit or release reservations; return ``None`` if the outcome is unknown."""
        req = t.ReservationRequest(
            partition=self.name,
            epoch=owner.epoch,
            home=str(self._tenure.partition),
            home_epoch=self._tenure.epoch,
            task_ids=list(task_ids),
            commit=commit,
            number=self.next_number(),
        )
        asked_at = self._ctx.clock.monotonic()
        reply = await self.call(owner, "settle_reservation", req)
        if reply is None:
            return None
        self._take_digest(reply.digest, asked_at)
        return reply.results

    async def _claim(self, owner: Owner, picked: Sequence[Picked]) -> bool:
        if not await self._host.record_dispatch(picked):
            self._host.put_back(picked, dispatched=True)
            return False
        picked = self._host.wanted(picked)
        if not picked or not self._tenure.holds():
            return False
        results = await self.claim(owner, picked)
        if results is None:
            return False
        self._host.claimed(self, picked, results)
        return any(result.verdict == t.ClaimVerdict.STARTED for result in results)

    async def _reconcile(self, owner: Owner) -> bool:
        req = t.HeldTasksRequest(
            partition=self.name,
            epoch=owner.epoch,
            home=str(self._tenure.partition),
            home_epoch=self._tenure.epoch,
            number=self.next_number(),
        )
        reply = await self.call(owner, "held_tasks", req)
        if reply is None:
            return False
        self._owner.synced = True
        # Workers delisted just before a takeover are not counted as unreported by the owner.
        complete = bool(reply.complete and reply.over)
        self._owner.complete = complete
        self._owner.all_heard = reply.complete
        pause_s = ASK_AGAIN_LATE_S if reply.complete else ASK_AGAIN_S
        self._owner.ask_at = self._ctx.clock.monotonic() + pause_s
        self.ever_complete = self.ever_complete or complete
        self._host.reconciled(self, reply)
        return True

    async def _send_stops(self, owner: Owner) -> None:
        checkpoint = next(iter(self._stops.values()))
        task_ids = [id for id, how in self._stops.items() if how == checkpoint][:MAX_CLAIMS]
        req = t.StopTasksRequest(
            partition=self.name,
            epoch=owner.epoch,
            home=str(self._tenure.partition),
            home_epoch=self._tenure.epoch,
            task_ids=task_ids,
            throttle=False,
            checkpoint=checkpoint,
        )
        if await self.call(owner, "stop_tasks", req) is not None:
            for task_id in task_ids:
                self._stops.pop(task_id, None)
            if self._stops:
                self._wake.set()

    async def _ask_digest(self, owner: Owner) -> None:
        asked_at = self._ctx.clock.monotonic()
        req = t.DigestRequest(partition=self.name, epoch=owner.epoch)
        reply = await self.call(owner, "digest", req)
        if reply is not None:
            self._take_digest(reply.digest, asked_at)

    def _take_digest(self, digest: t.PartitionDigest | None, asked_at: float) -> None:
        if digest is None:
            return
        self.digest = digest
        self._stale = False
        self.digest_at = asked_at
        before = self.room
        free, largest = size_of(digest.free), size_of(digest.largest_free)
        # Sizes that did not fit are tried again only after the free capacity has changed.
        keep = before is not None and before.largest == largest and before.free == free
        self.room = Room(
            partition=self.name,
            region=self.partition.region,
            local=self.partition.region == self._tenure.partition.region,
            free=free,
            largest=largest,
            largest_worker=size_of(digest.largest_worker),
            refused=before.refused if keep and before is not None else frozenset(),
        )
        self._host.heard_digest(self, digest, asked_at)

    def _unclear(self) -> None:
        self._owner.synced = False

    def _check_gone(self, owner: Owner | None) -> None:
        """Settle the tasks of a partition that was removed from the ownership table.

        Its workers have had no owner since then, so their task leases expire.
        """
        view = self._ctx.ownership
        known = view.partitions(self.partition.kind)
        if owner is not None or not known or self.partition in known:
            self._gone_since = None
            return
        now = self._ctx.clock.monotonic()
        self._gone_since = now if self._gone_since is None else self._gone_since
        cfg = self._ctx.cfg
        wait_s = cfg.jobs.task_lease_s + cfg.ownership.lease_s + 2 * cfg.ownership.clock_margin_s
        if now - self._gone_since >= wait_s:
            self.ever_complete = True
            self.room = None
            self._host.partition_gone(self)


def _claim(item: Picked, now: float) -> t.Claim:
    spec = item.job.spec
    live = item.job.live[item.index]
    return t.Claim(
        task_id=live.task_id,
        attempt=live.attempt,
        job_id=item.job.id,
        account=spec.account,
        kind=int(spec.kind),
        priority=spec.priority,
        size=resources_of(spec.size),
        idempotent=spec.idempotent,
        preemptible=spec.preemptible,
        run_ms=spec.run_ms,
        payload=spec.payload,
        waited_ms=_passed_ms(item.job, now),
        avoid_workers=sorted(item.job.avoid.get(item.index, ())) or None,
    )


def _passed_ms(job: Job, now: float) -> int | None:
    """Return for how many milliseconds smaller tasks have been placed ahead of this job's."""
    return None if job.passed_since is None else int(1000 * max(0.0, now - job.passed_since))
