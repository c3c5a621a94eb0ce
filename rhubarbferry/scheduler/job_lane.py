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

MAX_CLAIMS_PER_CALL = 200
CALL_TIMEOUT_S = 2.5
IDLE_INTERVAL_S = 0.25
RETRY_INTERVAL_S = 0.1
DIGEST_INTERVAL_S = 0.5
BUSY_DIGEST_INTERVAL_S = 0.1
HELD_TASKS_INTERVAL_S = 0.5
# Used when all listed workers have reported and only tasks of delisted workers are unsettled.
SLOW_HELD_TASKS_INTERVAL_S = 3.0

LANE_CALLS = Counter(
    "rhubarbferry_home_calls_total", "Calls of homes to worker partitions", ["method", "result"]
)


class LaneHome(Protocol):
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

    def apply_results(
        self, lane: Lane, picked: Sequence[Picked], results: Sequence[t.ClaimResult]
    ) -> None:
        """Apply the results of claims."""
        ...

    def drop_cancelled(self, picked: Sequence[Picked]) -> list[Picked]:
        """Return the tasks whose jobs were not cancelled; requeue the others."""
        ...

    def requeue(self, picked: Sequence[Picked], *, dispatched: bool) -> None:
        """Requeue tasks whose claims were never sent."""
        ...

    def reconciled(self, lane: Lane, reply: t.HeldTasksReply) -> None:
        """Apply the list of tasks that a partition holds for the home."""
        ...

    def apply_digest(self, lane: Lane, digest: t.PartitionDigest, requested_at: float) -> None:
        """Apply the free capacity and account usage that a partition reported."""
        ...

    def partition_removed(self, lane: Lane) -> None:
        """Settle the tasks of a removed partition, whose leases have expired."""
        ...


@define(kw_only=True, slots=True)
class _OwnerState:
    """The state of the lane towards the current owner of its partition."""

    epoch: int = 0
    synced: bool = False
    complete: bool = False
    all_reported: bool = False
    next_query_at: float = 0.0


class Lane:
    """The client side of one worker partition in a home.

    After a claim whose reply was lost, and whenever the partition has a new owner, the lane
    requests the list of held tasks before it claims anything else. Requests carry increasing
    numbers and the partition refuses lower ones, so a task missing from the list can't be
    started later by a delayed request.

    :param partition: the worker partition.
    """

    def __init__(
        self, *, partition: PartitionId, tenure: Tenure, ctx: Context, home: LaneHome
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
        self._home = home
        self._owner_state = _OwnerState()
        # A home that is restarted under the same epoch must continue with higher numbers.
        self._last_number = int(ctx.clock.monotonic() * 1_000_000)
        self._pending_stops: dict[str, bool] = {}
        self._wake = asyncio.Event()
        self._removed_since: float | None = None
        self._digest_outdated = False

    @property
    def epoch(self) -> int:
        """The epoch of the partition's owner as last seen by the lane."""
        return self._owner_state.epoch

    @property
    def synced(self) -> bool:
        """Whether the home has the current list of tasks held by this partition."""
        return self._owner_state.synced

    @property
    def all_reported(self) -> bool:
        """Whether all workers have reported their tasks and capacity to the owner."""
        return self._owner_state.all_reported

    def wake(self) -> None:
        """Run the next step immediately."""
        self._wake.set()

    def capacity_freed(self) -> None:
        """Mark the last digest as outdated, since ended tasks have freed capacity."""
        self._digest_outdated = True
        self._wake.set()

    def stop(self, task_id: str, *, checkpoint: bool = False) -> None:
        """Queue a stop request for a task."""
        self._pending_stops[task_id] = checkpoint
        self._wake.set()

    async def run(self) -> None:
        """Send claims, stops and queries until cancelled."""
        while True:
            self._wake.clear()
            async with self.lock:
                busy = await self._step()
            if not busy:
                await self._wait(BUSY_DIGEST_INTERVAL_S if self._home.depth() else IDLE_INTERVAL_S)

    async def _step(self) -> bool:
        owner = self._ctx.ownership.owner(self.partition)
        if owner is None or not self._tenure.holds():
            self._check_removed(owner)
            return False
        self._removed_since = None
        if owner.epoch != self._owner_state.epoch:
            self._owner_state = _OwnerState(epoch=owner.epoch)
        if not self._owner_state.synced or self._held_tasks_due():
            return await self._reconcile(owner)
        if self._pending_stops:
            await self._send_stops(owner)
        if self._digest_due():
            await self._request_digest(owner)
        picked = self._home.pick(self)
        if not picked:
            return False
        return await self._claim(owner, picked)

    def _held_tasks_due(self) -> bool:
        if self._owner_state.complete:
            return False
        return self._ctx.clock.monotonic() >= self._owner_state.next_query_at

    def _digest_due(self) -> bool:
        if self.room is None or self._digest_outdated:
            return True
        max_age_s = BUSY_DIGEST_INTERVAL_S if self._home.depth() else DIGEST_INTERVAL_S
        return self._ctx.clock.monotonic() - self.digest_at >= max_age_s

    async def _wait(self, seconds: float) -> None:
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
            self._desynchronize()
            return None
        except RpcError as exc:
            LANE_CALLS.labels(method, "unclear").inc()
            logger.debug("{}: no reply to {}: {}", self.name, method, exc)
            self._desynchronize()
            return None
        if not reply.owner:
            LANE_CALLS.labels(method, "not_owner").inc()
            self._desynchronize()
            return None
        LANE_CALLS.labels(method, "answered").inc()
        return reply

    def owner(self) -> Owner | None:
        """Return the owner if the lane is synchronized with it."""
        owner = self._ctx.ownership.owner(self.partition)
        if owner is None or not self._owner_state.synced or owner.epoch != self._owner_state.epoch:
            return None
        return owner

    def next_number(self) -> int:
        """Return a new request number."""
        self._last_number += 1
        return self._last_number

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
        requested_at = self._ctx.clock.monotonic()
        reply = await self.call(owner, "claim", req)
        if reply is None:
            return None
        self._apply_digest(reply.digest, requested_at)
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
        requested_at = self._ctx.clock.monotonic()
        reply = await self.call(owner, "settle_reservation", req)
        if reply is None:
            return None
        self._apply_digest(reply.digest, requested_at)
        return reply.results

    async def _claim(self, owner: Owner, picked: Sequence[Picked]) -> bool:
        if not await self._home.record_dispatch(picked):
            self._home.requeue(picked, dispatched=True)
            return False
        picked = self._home.drop_cancelled(picked)
        if not picked or not self._tenure.holds():
            return False
        results = await self.claim(owner, picked)
        if results is None:
            return False
        self._home.apply_results(self, picked, results)
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
        self._owner_state.synced = True
        # Workers delisted just before a takeover are not counted as unreported by the owner.
        complete = bool(reply.complete and reply.over)
        self._owner_state.complete = complete
        self._owner_state.all_reported = reply.complete
        interval_s = SLOW_HELD_TASKS_INTERVAL_S if reply.complete else HELD_TASKS_INTERVAL_S
        self._owner_state.next_query_at = self._ctx.clock.monotonic() + interval_s
        self.ever_complete = self.ever_complete or complete
        self._home.reconciled(self, reply)
        return True

    async def _send_stops(self, owner: Owner) -> None:
        checkpoint = next(iter(self._pending_stops.values()))
        task_ids = [
            id
            for id, stop_checkpoint in self._pending_stops.items()
            if stop_checkpoint == checkpoint
        ][:MAX_CLAIMS_PER_CALL]
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
                self._pending_stops.pop(task_id, None)
            if self._pending_stops:
                self._wake.set()

    async def _request_digest(self, owner: Owner) -> None:
        requested_at = self._ctx.clock.monotonic()
        req = t.DigestRequest(partition=self.name, epoch=owner.epoch)
        reply = await self.call(owner, "digest", req)
        if reply is not None:
            self._apply_digest(reply.digest, requested_at)

    def _apply_digest(self, digest: t.PartitionDigest | None, requested_at: float) -> None:
        if digest is None:
            return
        self.digest = digest
        self._digest_outdated = False
        self.digest_at = requested_at
        previous = self.room
        free, largest = size_of(digest.free), size_of(digest.largest_free)
        # Sizes that did not fit are tried again only after the free capacity has changed.
        unchanged = previous is not None and previous.largest == largest and previous.free == free
        self.room = Room(
            partition=self.name,
            region=self.partition.region,
            local=self.partition.region == self._tenure.partition.region,
            free=free,
            largest=largest,
            largest_worker=size_of(digest.largest_worker),
            refused=previous.refused if unchanged and previous is not None else frozenset(),
        )
        self._home.apply_digest(self, digest, requested_at)

    def _desynchronize(self) -> None:
        self._owner_state.synced = False

    def _check_removed(self, owner: Owner | None) -> None:
        """Settle the tasks of a partition that was removed from the ownership table.

        Its workers have had no owner since then, so their task leases expire.
        """
        view = self._ctx.ownership
        listed = view.partitions(self.partition.kind)
        if owner is not None or not listed or self.partition in listed:
            self._removed_since = None
            return
        now = self._ctx.clock.monotonic()
        self._removed_since = now if self._removed_since is None else self._removed_since
        cfg = self._ctx.cfg
        wait_s = cfg.jobs.task_lease_s + cfg.ownership.lease_s + 2 * cfg.ownership.clock_margin_s
        if now - self._removed_since >= wait_s:
            self.ever_complete = True
            self.room = None
            self._home.partition_removed(self)


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
        waited_ms=_overtaken_ms(item.job, now),
        avoid_workers=sorted(item.job.avoid.get(item.index, ())) or None,
    )


def _overtaken_ms(job: Job, now: float) -> int | None:
    """Return for how many milliseconds smaller tasks have been placed ahead of this job's."""
    return None if job.skipped_since is None else int(1000 * max(0.0, now - job.skipped_since))
