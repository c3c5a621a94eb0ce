"""Stand-in for a worker: simulates tasks under leases and records what happened.

Failure tests use its record as their oracle: every start and end with times, attempt and epoch,
and the peak of the total resources in use.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
from collections.abc import Mapping
from typing import Any

from attrs import Factory, asdict, define, fields

from rhubarbferry.core.cell import Size
from rhubarbferry.ports.clock import Clock, SystemClock
from rhubarbferry.rpc import Handler, Server
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.rpc.services import WORKER

TICK_INTERVAL_S = 0.02
HOUR_S = 3600.0


@define(kw_only=True, slots=True)
class Faults:
    """Faults to inject.

    :param fail_all: make every task fail as soon as it starts.
    :param pause_s: answer no calls for this many seconds; leases keep expiring meanwhile.
    :param lose_replies: number of next calls that take effect but are never answered.
    :param usage_factor: ratio of reported usage to declared size.
    :param usage_lag_s: age of the reported usage in seconds.
    :param ignore_orders: ignore orders to throttle, checkpoint or stop a task.
    :param die: exit the process at once.
    """

    fail_all: bool = False
    pause_s: float = 0.0
    lose_replies: int = 0
    usage_factor: float = 1.0
    usage_lag_s: float = 2.0
    ignore_orders: bool = False
    die: bool = False


@define(kw_only=True, slots=True)
class Run:
    """One recorded start of a task; times are seconds on ``CLOCK_MONOTONIC``."""

    worker: str
    task_id: str
    job_id: str
    attempt: int
    partition: str
    epoch: int
    started_at: float
    ended_at: float | None = None
    end: str | None = None
    throttled: bool = False


@define(kw_only=True, slots=True)
class Record:
    """Everything that the worker recorded.

    :param used: the total size of its running tasks.
    :param max_used: the peak of each resource in ``used``.
    :param refused: number of rejected starts by verdict.
    """

    runs: list[Run] = Factory(list)
    used: Size = Factory(Size)
    max_used: Size = Factory(Size)
    refused: dict[str, int] = Factory(dict)


@define(kw_only=True, slots=True)
class _HeldTask:
    task: t.WorkerTask
    run: Run
    ends_at: float
    lease_until: float
    end: int | None = None


def _size_from_resources(resources: t.Resources) -> Size:
    """Convert a resources message to a size."""
    return Size(
        millicores=resources.millicores,
        memory_bytes=resources.memory_bytes,
        accelerators=resources.accelerators,
    )


def _resources_from_size(size: Size) -> t.Resources:
    return t.Resources(
        millicores=size.millicores,
        memory_bytes=size.memory_bytes,
        accelerators=size.accelerators,
    )


class WorkerEngine:
    """The worker logic without its server.

    :param id: the worker ID.
    :param capacity: its total resources.
    :param clock: its own clock, by which leases expire.
    """

    def __init__(self, *, id: str, capacity: Size, clock: Clock) -> None:
        self.id = id
        self.capacity = capacity
        self.faults = Faults()
        self.record = Record()
        self._clock = clock
        self._held: dict[str, _HeldTask] = {}
        self._epochs: dict[str, int] = {}
        self._settled_epochs: dict[str, int] = {}
        self._replied_at: dict[int, float] = {}
        # Start the numbers at the current time, so that a restarted worker does not accept the
        # number of a reply that its previous process sent.
        self._last_number = int(clock.monotonic() * 1000)
        self._oldest_valid_number: dict[str, int] = {}
        self._longest_lease_s = 0.0

    def adopt(self, req: t.WorkerAdoptRequest) -> t.WorkerAdoptReply:
        """Accept a new owner and return the held tasks; older requests become invalid."""
        self.tick()
        accepted = self._accepts(req.partition, req.epoch)
        number = self._next_number()
        if accepted:
            self._oldest_valid_number[req.partition] = number
        return t.WorkerAdoptReply(
            accepted=accepted,
            highest_epoch=self._epochs[req.partition],
            capacity=_resources_from_size(self.capacity),
            tasks=[self._task_message(held) for held in self._held.values()],
            longest_lease_ms=int(self._longest_lease_s * 1000),
            number=number,
            settled_epoch=self._settled_epochs.get(req.partition, 0),
        )

    def start(self, req: t.StartRequest) -> t.StartReply:
        """Start tasks; return a verdict for each."""
        self.tick()
        lease_until = self._lease_until(req.partition, req.answered, req.lease_ms)
        current = self._accepts(req.partition, req.epoch) and lease_until is not None
        results = []
        for task in req.tasks:
            verdict = self._start(task, req, lease_until) if current else t.StartVerdict.STALE_EPOCH
            if verdict != t.StartVerdict.STARTED:
                name = t.StartVerdict(verdict).name
                self.record.refused[name] = self.record.refused.get(name, 0) + 1
            results.append(t.StartResult(task_id=task.task_id, verdict=verdict))
        return t.StartReply(
            highest_epoch=self._epochs[req.partition], results=results, number=self._next_number()
        )

    def renew(self, req: t.RenewRequest) -> t.RenewReply:
        """Extend the leases, apply acknowledgements and orders, and return the ended tasks."""
        self.tick()
        accepted = self._accepts(req.partition, req.epoch)
        lease_until = self._lease_until(req.partition, req.answered, req.lease_ms)
        if accepted and lease_until is not None:
            if req.settled:
                self._settled_epochs[req.partition] = req.epoch
            self._apply_renewal(req, lease_until)
        ended = [self._task_message(held) for held in self._held.values() if held.end is not None]
        running = [held for held in self._held.values() if held.end is None]
        return t.RenewReply(
            accepted=accepted and lease_until is not None,
            highest_epoch=self._epochs[req.partition],
            ended=ended,
            usage=self._usage(running),
            running=len(running),
            number=self._next_number(),
        )

    def tick(self) -> None:
        """End the tasks that have completed and those whose lease has expired."""
        now = self._clock.monotonic()
        for held in self._held.values():
            if held.end is not None:
                continue
            if held.lease_until <= min(now, held.ends_at):
                # Applies also after this process was suspended: a host ends a task together with
                # its lease.
                self._end(held, t.TaskEnd.LEASE_LAPSED, held.lease_until)
            elif held.ends_at <= now:
                self._end(held, t.TaskEnd.DONE, held.ends_at)

    def _next_number(self) -> int:
        self._last_number += 1
        self._replied_at[self._last_number] = self._clock.monotonic()
        self._replied_at.pop(self._last_number - 1000, None)
        return self._last_number

    def _accepts(self, partition: str, epoch: int) -> bool:
        highest = max(self._epochs.get(partition, 0), epoch)
        self._epochs[partition] = highest
        return epoch == highest

    def _lease_until(self, partition: str, answered: int | None, lease_ms: int) -> float | None:
        """Return when a lease of this request expires, or ``None`` if the request is outdated."""
        now = self._clock.monotonic()
        if answered is None:
            return now + lease_ms / 1000
        replied_at = self._replied_at.get(answered)
        oldest_valid = self._oldest_valid_number.get(partition)
        if replied_at is None or oldest_valid is None or answered < oldest_valid:
            return None
        until = replied_at + lease_ms / 1000
        return until if until > now else None

    def _start(self, task: t.WorkerTask, req: t.StartRequest, lease_until: float | None) -> int:
        assert lease_until is not None
        if task.task_id in self._held:
            return t.StartVerdict.ALREADY_HELD
        size = _size_from_resources(task.size)
        if not size.fits(self.capacity - self.record.used):
            return t.StartVerdict.NO_ROOM
        now = self._clock.monotonic()
        endless = task.kind == t.JobKind.SERVICE
        run = Run(
            worker=self.id,
            task_id=task.task_id,
            job_id=task.job_id,
            attempt=task.attempt,
            partition=req.partition,
            epoch=req.epoch,
            started_at=now,
        )
        held = _HeldTask(
            task=task,
            run=run,
            ends_at=float("inf") if endless else now + task.run_ms / 1000,
            lease_until=lease_until,
        )
        self._held[task.task_id] = held
        self.record.runs.append(run)
        self._set_used(self.record.used + size)
        self._longest_lease_s = max(self._longest_lease_s, req.lease_ms / 1000)
        if self.faults.fail_all:
            self._end(held, t.TaskEnd.FAILED, now)
        return t.StartVerdict.STARTED

    def _set_used(self, used: Size) -> None:
        self.record.used = used
        peak = self.record.max_used
        self.record.max_used = Size(
            millicores=max(peak.millicores, used.millicores),
            memory_bytes=max(peak.memory_bytes, used.memory_bytes),
            accelerators=max(peak.accelerators, used.accelerators),
        )

    def _apply_renewal(self, req: t.RenewRequest, lease_until: float) -> None:
        self._longest_lease_s = max(self._longest_lease_s, req.lease_ms / 1000)
        for task_id in req.acknowledged:
            held = self._held.get(task_id)
            if held is not None and held.end is not None:
                del self._held[task_id]
        for held in self._held.values():
            held.lease_until = max(held.lease_until, lease_until)
        if not self.faults.ignore_orders:
            for order in req.orders:
                self._execute_order(order)

    def _execute_order(self, order: t.TaskOrder) -> None:
        held = self._held.get(order.task_id)
        if held is None or held.end is not None:
            return
        match order.action:
            case t.TaskAction.THROTTLE:
                held.run.throttled = True
            case t.TaskAction.CHECKPOINT:
                self._end(held, t.TaskEnd.PREEMPTED, self._clock.monotonic())
            case _:
                self._end(held, t.TaskEnd.STOPPED, self._clock.monotonic())

    def _end(self, held: _HeldTask, end: int, at: float) -> None:
        held.end = end
        held.run.ended_at = at
        held.run.end = t.TaskEnd(end).name
        self._set_used(self.record.used - _size_from_resources(held.task.size))

    def _task_message(self, held: _HeldTask) -> t.WorkerHeldTask:
        until = self._clock.monotonic() if held.run.ended_at is None else held.run.ended_at
        return t.WorkerHeldTask(
            task=held.task,
            running=held.end is None,
            end=held.end,
            ran_ms=int((until - held.run.started_at) * 1000),
        )

    def _usage(self, running: list[_HeldTask]) -> list[t.TaskUsage]:
        reported_until = self._clock.monotonic() - self.faults.usage_lag_s
        return [
            t.TaskUsage(task_id=held.task.task_id, used=self._reported_usage(held))
            for held in running
            if held.run.started_at <= reported_until
        ]

    def _reported_usage(self, held: _HeldTask) -> t.Resources:
        factor = 1.0 if held.run.throttled else self.faults.usage_factor
        size = _size_from_resources(held.task.size)
        return t.Resources(
            millicores=int(size.millicores * factor),
            memory_bytes=int(size.memory_bytes * factor),
            accelerators=size.accelerators,
        )


class WorkerStandIn:
    """The worker with its RPC server.

    :param engine: the worker logic.
    """

    def __init__(self, *, engine: WorkerEngine, clock: Clock) -> None:
        self.engine = engine
        self._clock = clock
        self._server = Server(service=WORKER, handlers=self._handlers())
        self._ticker: asyncio.Task[None] | None = None
        self._paused_until = 0.0

    @property
    def address(self) -> str:
        """Return the ``ip:port`` of the server once it listens."""
        return self._server.address

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen and to advance the tasks periodically."""
        await self._server.start(host, port)
        self._ticker = asyncio.create_task(self._tick())

    async def close(self) -> None:
        """Stop listening; all tasks are lost."""
        if self._ticker is not None:
            self._ticker.cancel()
        await self._server.close()

    def set_faults(self, changes: Mapping[str, Any]) -> None:
        """Change the given faults; the other faults stay unchanged."""
        known = {a.name for a in fields(Faults)}
        for name, value in changes.items():
            if name not in known:
                raise ValueError(f"unknown fault {name!r}; available: {sorted(known)}")
            setattr(self.engine.faults, name, value)
        if self.engine.faults.pause_s:
            self._paused_until = self._clock.monotonic() + self.engine.faults.pause_s
            self.engine.faults.pause_s = 0.0
        if self.engine.faults.die:
            os._exit(1)

    def _handlers(self) -> dict[str, Handler]:
        return {
            "ping": self._ping,
            "adopt": lambda req: self._serve(self.engine.adopt, req),
            "start": lambda req: self._serve(self.engine.start, req),
            "renew": lambda req: self._serve(self.engine.renew, req),
        }

    async def _ping(self, _: t.PingRequest) -> t.PingReply:
        await self._pause()
        return t.PingReply(member_id=self.engine.id)

    async def _serve(self, method: Any, req: Any) -> Any:
        await self._pause()
        reply = method(req)
        if self.engine.faults.lose_replies > 0:
            self.engine.faults.lose_replies -= 1
            await asyncio.sleep(HOUR_S)
        return reply

    async def _pause(self) -> None:
        remaining_s = self._paused_until - self._clock.monotonic()
        if remaining_s > 0:
            await asyncio.sleep(remaining_s)

    async def _tick(self) -> None:
        while True:
            self.engine.tick()
            await asyncio.sleep(TICK_INTERVAL_S)


async def _control(stand_in: WorkerStandIn, host: str, port: int) -> Any:
    """Serve ``GET /record`` and ``POST /faults``; return the running application."""
    from aiohttp import web

    async def record(_: web.Request) -> web.Response:
        stand_in.engine.tick()
        body = {"id": stand_in.engine.id, **asdict(stand_in.engine.record)}
        body["capacity"] = asdict(stand_in.engine.capacity)
        return web.json_response(body)

    async def faults(request: web.Request) -> web.Response:
        try:
            stand_in.set_faults(await request.json())
        except ValueError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        return web.json_response(asdict(stand_in.engine.faults))

    app = web.Application()
    app.add_routes([web.get("/record", record), web.post("/faults", faults)])
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    return runner


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--id", default="worker-1")
    parser.add_argument("--millicores", type=int, default=64_000)
    parser.add_argument("--memory-bytes", type=int, default=128 * 2**30)
    parser.add_argument("--accelerators", type=int, default=0)
    return parser.parse_args()


async def _main(args: argparse.Namespace) -> None:
    clock = SystemClock()
    capacity = Size(
        millicores=args.millicores,
        memory_bytes=args.memory_bytes,
        accelerators=args.accelerators,
    )
    engine = WorkerEngine(id=args.id, capacity=capacity, clock=clock)
    stand_in = WorkerStandIn(engine=engine, clock=clock)
    await stand_in.start(args.host, args.port)
    control = await _control(stand_in, args.host, args.control_port)
    host, port = control.addresses[0][:2]
    line = {"id": args.id, "address": stand_in.address, "control": f"{host}:{port}"}
    print(json.dumps(line), flush=True)
    stopped = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signum, stopped.set)
    await stopped.wait()
    await control.cleanup()
    await stand_in.close()


if __name__ == "__main__":
    asyncio.run(_main(_arguments()))
