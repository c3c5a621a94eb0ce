"""Place gangs, whose tasks must all start together: reserve all slots, then commit."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from random import Random
from typing import Protocol

from attrs import define, field
from loguru import logger
from prometheus_client import Counter

from rhubarbferry.core.gangs import back_off, hold, how_many
from rhubarbferry.core.job_queue import Picked
from rhubarbferry.core.jobs import Job
from rhubarbferry.ports.ownership import Tenure
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.job_lane import Lane

IDLE_S = 0.25
RETRY_S = 0.2

GANGS = Counter("rhubarbferry_gangs_total", "Tries to place a gang", ["result"])


class GangHost(Protocol):
    """The part of a home that the gang dispatcher uses."""

    def lanes(self) -> list[Lane]:
        """Return the usable lanes, those of the home's region first."""
        ...

    def waiting_gangs(self) -> list[Job]:
        """Return the gangs to be placed, in scheduling order."""
        ...

    def gang_allowed(self, job: Job) -> bool:
        """Return whether the whole gang fits into the account's quota."""
        ...

    def count_reserved(self, picked: Sequence[Picked]) -> None:
        """Count claims towards account usage until a digest includes them."""
        ...

    async def record_dispatch(self, picked: Sequence[Picked]) -> bool:
        """Record that the attempts may start; return whether that succeeded."""
        ...

    def claimed(
        self, lane: Lane, picked: Sequence[Picked], results: Sequence[t.ClaimResult]
    ) -> None:
        """Apply the results of committed reservations."""
        ...

    def put_back(self, picked: Sequence[Picked], *, dispatched: bool) -> None:
        """Return tasks that were not started to the queue."""
        ...

    def stop_live(self, job: Job) -> None:
        """Request a stop of all running tasks of a job."""
        ...


@define(kw_only=True, slots=True)
class _Try:
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

    def __init__(self, *, tenure: Tenure, ctx: Context, host: GangHost, rng: Random) -> None:
        self._tenure = tenure
        self._ctx = ctx
        self._host = host
        self._rng = rng
        self._breaking: dict[str, Job] = {}
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Start the next round immediately."""
        self._wake.set()

    async def run(self) -> None:
        """Place gangs until cancelled."""
        while True:
            self._wake.clear()
            await self.round()
            try:
                async with asyncio.timeout(IDLE_S):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def round(self) -> None:
        """Stop the tasks of partially started gangs, then place the waiting gangs."""
        # The order matters: a partially started gang must be removed from the list of broken
        # gangs once none of its tasks runs, before it is placed again. Otherwise its new tasks
        # would be stopped and, as the gang counts as formed, replaced one by one without end.
        self._break_up()
        for job in self._host.waiting_gangs():
            if job.id not in self._breaking:
                await self._place(job)

    async def _place(self, job: Job) -> None:
        lanes = self._host.lanes()
        regions = list(dict.fromkeys(lane.partition.region for lane in lanes))
        if job.spec.region:
            regions = [job.spec.region]
        for region in regions:
            near = [lane for lane in lanes if lane.partition.region == region]
            if self._tenure.holds() and await self._try(job, near):
                GANGS.labels("started").inc()
                return
        GANGS.labels("no_room").inc()
        now = self._ctx.clock.monotonic()
        age_s = now - job.since
        job.paused_until = now + back_off(age_s=age_s, chance=self._rng.random())

    async def _try(self, job: Job, lanes: Sequence[Lane]) -> bool:
        now = self._ctx.clock.monotonic()
        reserve_s = self._ctx.cfg.jobs.reserve_s
        hold_s = hold(age_s=now - job.since, reserve_s=reserve_s)
        trial = _Try(job=job)
        if not self._host.gang_allowed(job):
            return False
        if not self._worth_trying(job, lanes, patient=hold_s > reserve_s):
            return False
        # The reservations must outlast the commit, so only half of their lifetime is used here.
        until = now + hold_s / 2
        while True:
            await self._reserve(trial, lanes, hold_s)
            if not job.waiting() or job.cancelled:
                break
            if hold_s <= reserve_s or self._ctx.clock.monotonic() + RETRY_S >= until:
                break
            await self._ctx.clock.sleep(RETRY_S)
        whole = job.waiting() == 0 and not job.cancelled
        if not whole or self._ctx.clock.monotonic() >= until:
            await self._give_back(trial, dispatched=False)
            return False
        return await self._commit(trial)

    def _worth_trying(self, job: Job, lanes: Sequence[Lane], *, patient: bool) -> bool:
        if patient:
            return True
        room = sum(
            how_many(job.spec.size, free=lane.room.free, largest=lane.room.largest)
            for lane in lanes
            if lane.room is not None
        )
        return room >= job.waiting()

    async def _reserve(self, trial: _Try, lanes: Sequence[Lane], hold_s: float) -> None:
        job = trial.job
        for lane in lanes:
            if not job.waiting() or job.cancelled:
                return
            async with lane.lock:
                await self._reserve_on(trial, lane, hold_s)

    async def _reserve_on(self, trial: _Try, lane: Lane, hold_s: float) -> None:
        job, owner = trial.job, lane.owner()
        if owner is None or lane.room is None:
            return
        room = how_many(job.spec.size, free=lane.room.free, largest=lane.room.largest)
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
        self._host.count_reserved(picked)
        results = await lane.claim(owner, picked, reserve_s=hold_s)
        given = {r.task_id for r in results or () if r.verdict == t.ClaimVerdict.RESERVED}
        kept = [item for item in picked if _task_id(item) in given]
        # Tasks without a confirmed reservation can't start, since that requires a commit.
        missing = [item for item in picked if _task_id(item) not in given]
        self._host.put_back(missing, dispatched=False)
        trial.lanes[lane.name] = lane
        trial.reserved.setdefault(lane.name, []).extend(kept)

    async def _give_back(self, trial: _Try, *, dispatched: bool) -> None:
        for name, items in trial.reserved.items():
            lane = trial.lanes[name]
            async with lane.lock:
                owner = lane.owner()
                if owner is not None and items:
                    ids = [id for item in items if (id := _task_id(item))]
                    await lane.settle(owner, ids, commit=False)
            self._host.put_back(items, dispatched=dispatched)

    async def _commit(self, trial: _Try) -> bool:
        job = trial.job
        if not await self._host.record_dispatch(trial.all()):
            await self._give_back(trial, dispatched=True)
            return False
        await asyncio.gather(
            *(self._commit_on(trial.lanes[name], items) for name, items in trial.reserved.items())
        )
        whole = not job.waiting() and job.counts.running >= trial.count()
        self._note_started(job, whole=whole)
        return whole

    def _note_started(self, job: Job, *, whole: bool) -> None:
        job.formed = whole
        if not whole:
            logger.warning("gang {} started only in part, stopping the started tasks", job.id)
            self._breaking[job.id] = job

    async def _commit_on(self, lane: Lane, items: Sequence[Picked]) -> None:
        async with lane.lock:
            owner = lane.owner()
            if owner is None or not self._tenure.holds():
                self._host.put_back(items, dispatched=True)
                return
            ids = [_task_id(item) for item in items]
            results = await lane.settle(owner, ids, commit=True)
            if results is not None:
                self._host.claimed(lane, items, results)

    def _break_up(self) -> None:
        """Stop the running tasks of partially started gangs until none is left."""
        for job_id, job in list(self._breaking.items()):
            if not job.counts.running or job.finished is not None:
                del self._breaking[job_id]
                if job.counts.failed and not job.spec.idempotent:
                    job.give_up("the gang could not be started whole")
                continue
            self._host.stop_live(job)


def _task_id(item: Picked) -> str:
    live = item.job.live.get(item.index)
    return "" if live is None else live.task_id
