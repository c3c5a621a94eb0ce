"""Place gangs, whose tasks must all start together: reserve all slots, then commit."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from random import Random
from typing import Protocol

from attrs import define, field
from loguru import logger
from prometheus_client import Counter

from rhubarbferry.core.gangs import max_task_count, reservation_time_s, retry_delay_s
from rhubarbferry.core.job_queue import Picked
from rhubarbferry.core.jobs import Job
from rhubarbferry.ports.ownership import Tenure
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.job_lane import Lane

POLL_INTERVAL_S = 0.25
RESERVE_RETRY_INTERVAL_S = 0.2

GANG_PLACEMENTS = Counter("rhubarbferry_gangs_total", "Tries to place a gang", ["result"])


class GangHome(Protocol):
    """The part of a home that the gang dispatcher uses."""

    def lanes(self) -> list[Lane]:
        """Return the usable lanes, those of the home's region first."""
        ...

    def placeable_gangs(self) -> list[Job]:
        """Return the gangs to be placed, in scheduling order."""
        ...

    def within_quota(self, job: Job) -> bool:
        """Return whether the whole gang fits into the account's quota."""
        ...

    def count_reserved(self, picked: Sequence[Picked]) -> None:
        """Count claims towards account usage until a digest includes them."""
        ...

    async def record_dispatch(self, picked: Sequence[Picked]) -> bool:
        """Record that the attempts may start; return whether that succeeded."""
        ...

    def apply_results(
        self, lane: Lane, picked: Sequence[Picked], results: Sequence[t.ClaimResult]
    ) -> None:
        """Apply the results of committed reservations."""
        ...

    def requeue(self, picked: Sequence[Picked], *, dispatched: bool) -> None:
        """Requeue tasks that were not started."""
        ...

    def stop_running(self, job: Job) -> None:
        """Request a stop of all running tasks of a job."""
        ...


@define(kw_only=True, slots=True)
class _Placement:
    """The reservations of one placement attempt of a gang, by lane."""

    job: Job
    reserved: dict[str, list[Picked]] = field(factory=dict)
    lanes: dict[str, Lane] = field(factory=dict)

    def count(self) -> int:
        return sum(len(items) for items in self.reserved.values())

    def all(self) -> list[Picked]:
        return [item for items in self.reserved.values() for item in items]


class GangDispatcher:
    """Place the gangs of one home, one at a time.

    A gang is placed within one region. Reservations expire, so a home that fails during a
    placement leaves none behind. Two homes whose gangs each reserve part of the resources that
    both need would deadlock; a placement attempt is therefore bounded in time, releases its
    reservations on failure and is retried after a randomized backoff.
    """

    def __init__(self, *, tenure: Tenure, ctx: Context, home: GangHome, rng: Random) -> None:
        self._tenure = tenure
        self._ctx = ctx
        self._home = home
        self._rng = rng
        self._partially_started: dict[str, Job] = {}
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Start the next round immediately."""
        self._wake.set()

    async def run(self) -> None:
        """Place gangs until cancelled."""
        while True:
            self._wake.clear()
            await self.run_round()
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def run_round(self) -> None:
        """Stop the tasks of partially started gangs, then place the waiting gangs."""
        # The order matters: once none of its tasks runs, a gang must be removed from
        # ``_partially_started`` before it is placed again. Otherwise its new tasks would be
        # stopped and, as the gang counts as formed, replaced one by one without end.
        self._stop_partially_started()
        for job in self._home.placeable_gangs():
            if job.id not in self._partially_started:
                await self._place(job)

    async def _place(self, job: Job) -> None:
        lanes = self._home.lanes()
        regions = list(dict.fromkeys(lane.partition.region for lane in lanes))
        if job.spec.region:
            regions = [job.spec.region]
        for region in regions:
            region_lanes = [lane for lane in lanes if lane.partition.region == region]
            if self._tenure.holds() and await self._place_in_region(job, region_lanes):
                GANG_PLACEMENTS.labels("started").inc()
                return
        GANG_PLACEMENTS.labels("no_room").inc()
        now = self._ctx.clock.monotonic()
        age_s = now - job.since
        job.paused_until = now + retry_delay_s(age_s=age_s, chance=self._rng.random())

    async def _place_in_region(self, job: Job, lanes: Sequence[Lane]) -> bool:
        now = self._ctx.clock.monotonic()
        reserve_s = self._ctx.cfg.jobs.reserve_s
        hold_s = reservation_time_s(age_s=now - job.since, reserve_s=reserve_s)
        placement = _Placement(job=job)
        if not self._home.within_quota(job):
            return False
        if not self._may_fit(job, lanes, wait_for_capacity=hold_s > reserve_s):
            return False
        # The reservations must outlast the commit, so only half of their lifetime is used here.
        commit_by = now + hold_s / 2
        while True:
            await self._reserve(placement, lanes, hold_s)
            if not job.waiting() or job.cancelled:
                break
            if (
                hold_s <= reserve_s
                or self._ctx.clock.monotonic() + RESERVE_RETRY_INTERVAL_S >= commit_by
            ):
                break
            await self._ctx.clock.sleep(RESERVE_RETRY_INTERVAL_S)
        whole = job.waiting() == 0 and not job.cancelled
        if not whole or self._ctx.clock.monotonic() >= commit_by:
            await self._release(placement, dispatched=False)
            return False
        return await self._commit(placement)

    def _may_fit(self, job: Job, lanes: Sequence[Lane], *, wait_for_capacity: bool) -> bool:
        if wait_for_capacity:
            return True
        room = sum(
            max_task_count(job.spec.size, free=lane.room.free, largest=lane.room.largest)
            for lane in lanes
            if lane.room is not None
        )
        return room >= job.waiting()

    async def _reserve(self, placement: _Placement, lanes: Sequence[Lane], hold_s: float) -> None:
        job = placement.job
        for lane in lanes:
            if not job.waiting() or job.cancelled:
                return
            async with lane.lock:
                await self._reserve_on(placement, lane, hold_s)

    async def _reserve_on(self, placement: _Placement, lane: Lane, hold_s: float) -> None:
        job, owner = placement.job, lane.owner()
        if owner is None or lane.room is None:
            return
        room = max_task_count(job.spec.size, free=lane.room.free, largest=lane.room.largest)
        picked = [
            Picked(
                job=job,
                index=job.claim(
                    partition=lane.name, epoch=owner.epoch, home_epoch=self._tenure.epoch
                ),
            )
            for _ in range(min(room, job.waiting()))
        ]
        if not picked:
            return
        self._home.count_reserved(picked)
        results = await lane.claim(owner, picked, reserve_s=hold_s)
        reserved_ids = {r.task_id for r in results or () if r.verdict == t.ClaimVerdict.RESERVED}
        reserved = [item for item in picked if _task_id(item) in reserved_ids]
        # Tasks without a confirmed reservation can't start, since that requires a commit.
        not_reserved = [item for item in picked if _task_id(item) not in reserved_ids]
        self._home.requeue(not_reserved, dispatched=False)
        placement.lanes[lane.name] = lane
        placement.reserved.setdefault(lane.name, []).extend(reserved)

    async def _release(self, placement: _Placement, *, dispatched: bool) -> None:
        for name, items in placement.reserved.items():
            lane = placement.lanes[name]
            async with lane.lock:
                owner = lane.owner()
                if owner is not None and items:
                    ids = [id for item in items if (id := _task_id(item))]
                    await lane.settle(owner, ids, commit=False)
            self._home.requeue(items, dispatched=dispatched)

    async def _commit(self, placement: _Placement) -> bool:
        job = placement.job
        if not await self._home.record_dispatch(placement.all()):
            await self._release(placement, dispatched=True)
            return False
        await asyncio.gather(
            *(
                self._commit_on(placement.lanes[name], items)
                for name, items in placement.reserved.items()
            )
        )
        whole = not job.waiting() and job.counts.running >= placement.count()
        self._record_start(job, whole=whole)
        return whole

    def _record_start(self, job: Job, *, whole: bool) -> None:
        job.formed = whole
        if not whole:
            logger.warning("gang {} started only in part, stopping the started tasks", job.id)
            self._partially_started[job.id] = job

    async def _commit_on(self, lane: Lane, items: Sequence[Picked]) -> None:
        async with lane.lock:
            owner = lane.owner()
            if owner is None or not self._tenure.holds():
                self._home.requeue(items, dispatched=True)
                return
            ids = [_task_id(item) for item in items]
            results = await lane.settle(owner, ids, commit=True)
            if results is not None:
                self._home.apply_results(lane, items, results)

    def _stop_partially_started(self) -> None:
        """Stop the running tasks of partially started gangs until none is left."""
        for job_id, job in list(self._partially_started.items()):
            if not job.counts.running or job.finished is not None:
                del self._partially_started[job_id]
                if job.counts.failed and not job.spec.idempotent:
                    job.give_up("the gang could not be started whole")
                continue
            self._home.stop_running(job)


def _task_id(item: Picked) -> str:
    live = item.job.live.get(item.index)
    return "" if live is None else live.task_id
