"""Stand-in for a runner: it does what the users' page says of running tasks."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from aiohttp import web

from .record import Record
from .store import Store

HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
HOLD_MAX_MS = 6000
KILL_GRACE_S = 0.2
MAX_ENDS = 500


class Run:
    """One run of a task on a runner."""

    def __init__(self, task: str, attempt: int, runner: Runner, work_s: float) -> None:
        self.task = task
        self.attempt = attempt
        self.runner = runner.id
        self.labels = list(runner.labels)
        self.born = runner.born
        self.began_at = time.monotonic()
        self.work_s = work_s
        self.ended_at: float | None = None
        self.how = ""
        self.stopping_at: float | None = None
        # Whether a call has made the runner forget the end, and whether the lease lapsed before.
        self.noted_at: float | None = None
        self.lapsed_before_note = False


class Runner:
    """A runner.

    The spec of a job is the milliseconds that each of its tasks works.

    :param rtt_s: round trip between the machines and this runner.
    :ivar cut: while set, nothing passes between the runner and all others.
    """

    def __init__(
        self,
        *,
        id: str,
        service: str,
        store: Store,
        record: Record,
        cores: int,
        labels: list[str],
        zone: str = "z1",
        rtt_s: float = 0.0005,
    ) -> None:
        self.id = id
        self.service = service
        self.store = store
        self.record = record
        self.capacity = {"cpu": cores * 1000, "memMb": 64000, "gpu": 0}
        self.labels = labels
        self.zone = zone
        self.rtt_s = rtt_s
        self.cut = False
        self.up = False
        self.state = "ready"
        self.history: list[Run] = []
        self.address = ""
        self._boot()
        self._site: web.TCPSite | None = None
        self._web: web.AppRunner | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._last_beat = 0.0

    def _boot(self) -> None:
        self.born = int(time.time() * 1000)
        self._clock_zero = time.monotonic()
        self.fence = 0
        self.running: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[tuple[int, Run]] = []
        self.end_count = 0
        self.lease_until_ms = 0
        self.seq = 0

    # ------------------------------------------------------------ life

    async def start(self) -> None:
        """Listen on the runner's address, then write the entry; begin to work."""
        app = web.Application()
        app.router.add_post("/api/run-start", self._call)
        app.router.add_post("/api/run-stop", self._call)
        app.router.add_post("/api/hold", self._call)
        self._web = web.AppRunner(app, shutdown_timeout=0.01)
        await self._web.setup()
        ip, port = self.address.split(":") if self.address else ("127.0.0.1", "0")
        site = web.TCPSite(self._web, ip, int(port), reuse_address=True)
        self.up = True
        await site.start()
        if not self.address:
            host, bound = site._server.sockets[0].getsockname()[:2]  # noqa: SLF001
            self.address = f"{host}:{bound}"
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
            asyncio.create_task(self._expire_entry()),
        ]

    async def crash(self) -> None:
        """Lose everything at once; all connections are reset."""
        self.record.say("runner-crashes", runner=self.id)
        self.up = False
        self._tasks.pop(0).cancel()
        self._tasks.pop(0).cancel()
        for run in list(self.running.values()):
            run.ended_at, run.how = time.monotonic(), "lost"
        assert self._web is not None
        for connection in list(self._web.server.connections):
            connection.transport.abort()
        await self._web.cleanup()

    async def restart(self, *, labels: list[str]) -> None:
        """Start again under the same id and address; nothing of before is known."""
        for task in self._tasks:
            task.cancel()
        self.labels = labels
        self._boot()
        await self.start()
        self.record.say("runner-starts-again", runner=self.id, born=self.born, labels=labels)

    async def _beat(self) -> None:
        while True:
            if not self.cut:
                self.seq += 1
                self._last_beat = time.monotonic()
                self.store.put(f"servers/{self.id}", self._entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _expire_entry(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self._last_beat > MISSED_HEARTBEATS * HEARTBEAT_S:
                self.store.remove(f"servers/{self.id}")

    def _entry(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
            "capacity": self.capacity,
            "labels": self.labels,
        }

    async def close(self) -> None:
        """Stop the stand-in at the end of the case."""
        for task in self._tasks:
            task.cancel()
        if self._web is not None and self.up:
            await self._web.cleanup()

    # ------------------------------------------------------------ work

    def clock_ms(self) -> int:
        """Return the runner's own steady clock, which starts anew with each boot."""
        return int((time.monotonic() - self._clock_zero) * 1000) + 1000

    async def _work(self) -> None:
        while True:
            self._advance()
            await asyncio.sleep(0.005)

    def _advance(self) -> None:
        now = time.monotonic()
        lapsed = self.clock_ms() > self.lease_until_ms
        if lapsed:
            for _, run in self.ended:
                run.lapsed_before_note = True
        for run in list(self.running.values()):
            if lapsed:
                self._end(run, "lapsed")
            elif run.stopping_at is not None and now >= run.stopping_at + KILL_GRACE_S:
                self._end(run, "stopped")
            elif now >= run.began_at + run.work_s:
                self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        run.ended_at, run.how = time.monotonic(), how
        del self.running[run.task]
        self.end_count += 1
        self.ended.append((self.end_count, run))
        self.record.say(
            "run-ends",
            runner=self.id,
            task=run.task,
            attempt=run.attempt,
            how=how,
            number=self.end_count,
        )

    # ------------------------------------------------------------ calls

    async def _pass(self, request: web.Request) -> bool:
        """Wait for the network; return whether the bytes have arrived."""
        await asyncio.sleep(self.rtt_s / 2)
        while self.cut:
            await asyncio.sleep(0.01)
            if request.transport is None or request.transport.is_closing():
                return False
        return self.up and request.transport is not None

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.json()
        born = self.born
        if not await self._pass(request):
            return web.Response(status=500)
        answer, status = self._admit(request, body)
        if status == 200:
            name = request.path.rpartition("/")[2]
            if name == "hold":
                answer, status = await self._hold(body)
            else:
                answer, status = self._start(body) if name == "run-start" else self._stop(body)
        if born != self.born or not await self._pass(request):
            return web.Response(status=500)
        return web.json_response({"clockMs": self.clock_ms(), **answer}, status=status)

    def _admit(self, request: web.Request, body: dict[str, Any]) -> tuple[dict[str, Any], int]:
        self._advance()
        if request.headers.get("Rhubarbferry-Expect-Instance", self.id) != self.id:
            return {}, 421
        if body.get("fence", 0) < self.fence:
            return {"reason": "fence"}, 409
        self.fence = body.get("fence", 0)
        return {}, 200

    def _extend(self, body: dict[str, Any]) -> None:
        if "deadlineMs" in body:
            until = min(body["deadlineMs"], self.clock_ms() + HOLD_MAX_MS)
            self.lease_until_ms = max(self.lease_until_ms, until)

    def _start(self, body: dict[str, Any]) -> tuple[dict[str, Any], int]:
        task, attempt = body["task"], body["attempt"]
        running = self.running.get(task)
        if running is not None and running.attempt == attempt:
            self._extend(body)
            return {}, 200
        if body["deadlineMs"] < self.clock_ms():
            return self._refused(body, "late")
        if attempt <= self.highest.get(task, 0) or running is not None:
            self._extend(body)
            return self._refused(body, "old")
        self._extend(body)
        run = Run(task, attempt, self, int(body["spec"]) / 1000)
        self.running[task] = run
        self.history.append(run)
        self.record.say(
            "run-starts",
            runner=self.id,
            task=task,
            attempt=attempt,
            fence=body["fence"],
            labels=self.labels,
            born=self.born,
        )
        return {}, 200

    def _refused(self, body: dict[str, Any], reason: str) -> tuple[dict[str, Any], int]:
        self.record.say(
            "start-refused",
            runner=self.id,
            task=body["task"],
            attempt=body["attempt"],
            reason=reason,
        )
        return {"reason": reason}, 409

    def _stop(self, body: dict[str, Any]) -> tuple[dict[str, Any], int]:
        task, attempt = body["task"], body["attempt"]
        self.record.say("stop", runner=self.id, task=task, attempt=attempt, fence=body["fence"])
        run = self.running.get(task)
        if run is not None and run.attempt == attempt and run.stopping_at is None:
            run.stopping_at = time.monotonic()
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        return {}, 200

    async def _hold(self, body: dict[str, Any]) -> tuple[dict[str, Any], int]:
        self._extend(body)
        acked = body.get("ackIndex", 0)
        for number, run in self.ended:
            if number <= acked and run.noted_at is None:
                run.noted_at = time.monotonic()
                self.record.say(
                    "end-taken-note-of",
                    runner=self.id,
                    task=run.task,
                    attempt=run.attempt,
                    how=run.how,
                    number=number,
                    lease_lapsed_before=run.lapsed_before_note,
                )
        self.ended = [(number, run) for number, run in self.ended if number > acked]
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < until and self.up:
            await asyncio.sleep(0.004)
            self._advance()
        active = [
            [run.task, run.attempt, "", min(99, int(100 * self._share(run))), 0]
            for run in self.running.values()
        ]
        finished = [[n, run.task, run.attempt, run.how, ""] for n, run in self.ended[:MAX_ENDS]]
        return {"born": self.born, "active": active, "finished": finished}, 200

    def _share(self, run: Run) -> float:
        return (time.monotonic() - run.began_at) / run.work_s if run.work_s else 1.0
