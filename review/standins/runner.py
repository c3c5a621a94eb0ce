"""Stand-in for a runner: what PROTOCOL.md says of runs, leases, fences and ends."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

from rhubarbferry.test.platform_store import PlatformStoreStandIn
from standins.record import Record

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
TICK_S = 0.01
MAX_ENDS = 500


class Run:
    """One run of a task on one boot of a runner."""

    def __init__(self, task: str, attempt: int, work_s: float) -> None:
        self.task = task
        self.attempt = attempt
        self.began = time.monotonic()
        self.work_s = work_s
        self.ended: float | None = None
        self.how = ""


class Boot:
    """One boot of a runner, from its start to its crash."""

    def __init__(self, id: str, address: str, labels: list[str]) -> None:
        self.id = id
        self.address = address
        self.labels = labels
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.lease_until_ms = 0
        self.active: dict[str, Run] = {}
        self.stopped: dict[str, int] = {}
        self.finished: list[list[Any]] = []
        self.ends = 0
        self.holds_answered = 0

    def clock_ms(self) -> int:
        """Return the time on the runner's steady clock."""
        return int((time.monotonic() - self.started) * 1000)


class Runner:
    """A runner that can crash and boot again, at the same or at another address.

    :param work_s: returns the duration of a task's run.
    """

    def __init__(
        self,
        *,
        id: str,
        service: str,
        store: PlatformStoreStandIn,
        record: Record,
        work_s: Callable[[str], float],
        cpu: int = 32000,
        mem_mb: int = 65536,
        zone: str = "attiki-a",
        rack: str = "r1-1",
    ) -> None:
        self.id = id
        self.service = service
        self.store = store
        self.record = record
        self.work_s = work_s
        self.capacity = {"cpu": cpu, "memMb": mem_mb, "gpu": 0}
        self.zone = zone
        self.rack = rack
        self.boot: Boot | None = None
        self.history: list[Run] = []
        self._app: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._seq = 0

    async def start(self, address: str, *, kind: str = "a") -> None:
        """Boot, listen at ``address`` and register."""
        self.boot = Boot(self.id, address, [kind, self.rack])
        app = web.Application()
        app.router.add_post("/api/run-start", self._start)
        app.router.add_post("/api/run-stop", self._stop)
        app.router.add_post("/api/hold", self._hold)
        app.router.add_post("/api/pace", self._pace)
        self._app = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
        await self._app.setup()
        ip, _, port = address.rpartition(":")
        await web.TCPSite(self._app, ip, int(port), reuse_address=True).start()
        self.record.write("runner boots", runner=self.id, address=address, kind=kind)
        self.register()
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._tick())]

    async def crash(self) -> None:
        """End at once: everything that runs ends, and nothing is sent."""
        boot, self.boot = self.boot, None
        assert boot is not None
        for run in boot.active.values():
            run.ended, run.how = time.monotonic(), "crash"
        for task in self._tasks:
            task.cancel()
        if self._app is not None:
            for site_task in [self._app.cleanup()]:
                await site_task
        self.record.write("runner crashes", runner=self.id, running=len(boot.active))

    def register(self) -> None:
        """Write the entry of this runner to the store."""
        boot = self.boot
        if boot is None:
            return
        self._seq += 1
        self.store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "addr": boot.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "capacity": self.capacity,
                "labels": boot.labels,
                "clockMs": boot.clock_ms(),
                "born": boot.born,
                "seq": self._seq,
            },
        )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _tick(self) -> None:
        while self.boot is not None:
            self._advance(self.boot)
            await asyncio.sleep(TICK_S)

    def _advance(self, boot: Boot) -> None:
        now = time.monotonic()
        for run in list(boot.active.values()):
            if boot.clock_ms() > boot.lease_until_ms:
                self._end(boot, run, "lapsed")
            elif now - run.began >= run.work_s:
                self._end(boot, run, "done")

    def _end(self, boot: Boot, run: Run, how: str) -> None:
        del boot.active[run.task]
        run.ended, run.how = time.monotonic(), how
        boot.stopped[run.task] = max(boot.stopped.get(run.task, 0), run.attempt)
        boot.ends += 1
        boot.finished.append([boot.ends, run.task, run.attempt, how, ""])
        self.record.write("run ends", runner=self.id, task=run.task, run=run.attempt, how=how)

    async def _admit(self, request: web.Request) -> tuple[Boot, dict[str, Any]] | web.Response:
        body = json.loads(await request.read())
        boot = self.boot
        if boot is None:
            raise web.HTTPServiceUnavailable
        if request.headers.get("Rhubarbferry-Expect-Instance", self.id) != self.id:
            return web.Response(status=421)
        if body.get("fence", 0) < boot.fence:
            return self._refuse(boot, "fence")
        boot.fence = body.get("fence", 0)
        self._advance(boot)
        return boot, body

    def _refuse(self, boot: Boot, reason: str) -> web.Response:
        return web.json_response({"clockMs": boot.clock_ms(), "reason": reason}, status=409)

    def _extend(self, boot: Boot, body: dict[str, Any]) -> None:
        until = min(body.get("deadlineMs", 0), boot.clock_ms() + HOLD_MAX_MS)
        boot.lease_until_ms = max(boot.lease_until_ms, until)

    async def _start(self, request: web.Request) -> web.Response:
        admitted = await self._admit(request)
        if isinstance(admitted, web.Response):
            return admitted
        boot, body = admitted
        task, attempt = body["task"], body["attempt"]
        running = boot.active.get(task)
        if running is not None and running.attempt == attempt:
            self._extend(boot, body)
            return web.json_response({"clockMs": boot.clock_ms()})
        if attempt <= boot.stopped.get(task, 0) or running is not None:
            self._extend(boot, body)
            return self._refuse(boot, "old")
        if body["deadlineMs"] <= boot.clock_ms():
            return self._refuse(boot, "late")
        self._extend(boot, body)
        run = Run(task, attempt, self.work_s(task))
        boot.active[task] = run
        self.history.append(run)
        self.record.write(
            "run starts",
            runner=self.id,
            task=task,
            run=attempt,
            fence=body.get("fence", 0),
            labels=boot.labels,
            holds_answered=boot.holds_answered,
        )
        self.on_start(boot, run)
        return web.json_response({"clockMs": boot.clock_ms()})

    def on_start(self, boot: Boot, run: Run) -> None:
        """Called for each run that starts; cases may replace it."""

    async def _stop(self, request: web.Request) -> web.Response:
        admitted = await self._admit(request)
        if isinstance(admitted, web.Response):
            return admitted
        boot, body = admitted
        run = boot.active.get(body["task"])
        if run is not None and run.attempt <= body["attempt"]:
            self.record.write("stop", runner=self.id, task=run.task, run=run.attempt)
            self._end(boot, run, "stopped")
        boot.stopped[body["task"]] = max(boot.stopped.get(body["task"], 0), body["attempt"])
        return web.json_response({"clockMs": boot.clock_ms()})

    async def _pace(self, request: web.Request) -> web.Response:
        admitted = await self._admit(request)
        if isinstance(admitted, web.Response):
            return admitted
        return web.json_response({"clockMs": admitted[0].clock_ms()})

    async def _hold(self, request: web.Request) -> web.Response:
        admitted = await self._admit(request)
        if isinstance(admitted, web.Response):
            return admitted
        boot, body = admitted
        self._extend(boot, body)
        boot.finished = [row for row in boot.finished if row[0] > body.get("ackIndex", 0)]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not boot.finished and time.monotonic() < until and self.boot is boot:
            await asyncio.sleep(TICK_S)
        boot.holds_answered += 1
        now = time.monotonic()
        active = [
            [run.task, run.attempt, "", min(99, int(100 * (now - run.began) / run.work_s)), 0]
            for run in boot.active.values()
        ]
        return web.json_response(
            {
                "clockMs": boot.clock_ms(),
                "born": boot.born,
                "active": active,
                "finished": boot.finished[:MAX_ENDS],
            }
        )
