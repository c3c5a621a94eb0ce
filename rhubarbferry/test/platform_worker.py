"""Stand-ins for a host that runs tasks and for the platform's policy service."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from rhubarbferry.test.platform_store import PlatformStoreStandIn

POLL_INTERVAL_S = 0.01
# Maximum duration of the lease that a host grants.
MAX_LEASE_MS = 6000
# Tail latency of a serving task that is alone on its host. Each other task adds one millisecond for
# each percent of its speed.
UNLOADED_TAIL_LATENCY_MS = 50


@define(kw_only=True, eq=False)
class TaskRun:
    """One run of a task.

    :param ends_at: monotonic time at which the run completes.
    :param pace: speed in percent of the full speed, as last set by the scheduler.
    :param end_reason: reason of the end, empty while the task runs.
    """

    task: str
    attempt: int
    ends_at: float
    began_at: float = field(factory=time.monotonic)
    ended_at: float | None = None
    end_reason: str = ""
    pace: int = 100


@frozen(kw_only=True)
class Ticket:
    """Approval of a step's tasks in one life of a host.

    :param born: start of that life.
    :param valid_until_ms: monotonic time in milliseconds, which all processes of a machine share.
    """

    step: str
    host: str
    born: int
    valid_until_ms: int

    def encode(self) -> str:
        """Return the ticket as the text that a start order carries."""
        return f"{self.step}/{self.host}/{self.born}/{self.valid_until_ms}"


@define(kw_only=True, eq=False)
class PlatformWorkerStandIn:
    """Stand-in for one host.

    :param work_s: duration of each run in seconds.
    :param checks_tickets: refuse starts without a ticket that holds for the task and this life.
    :param failing_tasks: tasks whose runs end as failed.
    :param serving_tasks: tasks whose reported tail latency grows with the load by other tasks.
    :ivar history: every run that was started on this host.
    """

    id: str
    service: str
    store: PlatformStoreStandIn
    work_s: float = 0.3
    capacity: dict[str, int] = field(factory=lambda: {"cpu": 8000, "memMb": 16000, "gpu": 0})
    sizes: dict[str, int] = field(factory=dict)
    failing_tasks: set[str] = field(factory=set)
    serving_tasks: set[str] = field(factory=set)
    silent: bool = False
    checks_tickets: bool = False
    history: list[TaskRun] = field(factory=list)
    fence: int = 0
    _born: int = field(factory=lambda: int(time.time() * 1000))
    _running: dict[str, TaskRun] = field(factory=dict)
    _ended_attempts: dict[str, int] = field(factory=dict)
    _ended: list[list[Any]] = field(factory=list)
    _ended_count: int = 0
    _lease_until: float = 0.0

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/api/run-start", self._start, methods=["POST"]),
                Route("/api/run-stop", self._stop, methods=["POST"]),
                Route("/api/pace", self._pace, methods=["POST"]),
                Route("/api/hold", self._hold, methods=["POST"]),
            ]
        )

    def register(self, address: str, *, state: str = "ready") -> None:
        """Write the entry of this host to the host list."""
        entry = {
            "service": self.service,
            "addr": address,
            "zone": "zone",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldLeftMs": 0,
            "capacity": self.capacity,
            "labels": ["a", "r1-1"],
            "clockMs": self._clock_ms(),
            "seq": 1,
            "born": self._born,
        }
        self.store.put(f"servers/{self.id}", entry)

    def restart(self) -> None:
        """Start again under the same id; nothing of before is known."""
        self._advance()
        for run in self._running.values():
            run.ended_at = time.monotonic()
            run.end_reason = "lost"
        self._born += 1
        self.fence = self._ended_count = 0
        self._lease_until = 0.0
        self._running = {}
        self._ended_attempts = {}
        self._ended = []

    def _clock_ms(self) -> int:
        return int(time.monotonic() * 1000) - 50_000

    def _advance(self) -> None:
        now = time.monotonic()
        for run in list(self._running.values()):
            if self._clock_ms() > self._lease_until:
                self._end(run, "lapsed")
            elif now >= run.ends_at:
                failed = run.task in self.failing_tasks
                self._end(run, "failed" if failed else "done")

    def _end(self, run: TaskRun, how: str) -> None:
        del self._running[run.task]
        run.ended_at = time.monotonic()
        run.end_reason = how
        self._ended_attempts[run.task] = max(self._ended_attempts.get(run.task, 0), run.attempt)
        self._ended_count += 1
        self._ended.append([self._ended_count, run.task, run.attempt, how, ""])

    async def _admit(self, request: Request) -> tuple[dict[str, Any], Response | None]:
        if self.silent:
            await asyncio.sleep(30)
        body = await request.json()
        self._advance()
        if request.headers.get("rhubarbferry-expect-instance") != self.id:
            return body, Response(status_code=421)
        if body.get("fence", 0) < self.fence:
            return body, self._reject("fence")
        self.fence = body.get("fence", 0)
        return body, None

    def _tail_latency_ms(self, run: TaskRun) -> int:
        """Return the tail latency of a serving task in ms."""
        if run.task not in self.serving_tasks:
            return 0
        other_speeds = [other.pace for other in self._running.values() if other is not run]
        return UNLOADED_TAIL_LATENCY_MS + sum(other_speeds)

    def _reject(self, reason: str) -> Response:
        return JSONResponse({"clockMs": self._clock_ms(), "reason": reason}, status_code=409)

    def _extend_lease(self, body: dict[str, Any]) -> None:
        until = min(body.get("deadlineMs", 0), self._clock_ms() + MAX_LEASE_MS)
        self._lease_until = max(self._lease_until, until)

    async def _start(self, request: Request) -> Response:
        body, rejection = await self._admit(request)
        if rejection is not None:
            return rejection
        task, attempt = body["task"], body["attempt"]
        if body["deadlineMs"] < self._clock_ms():
            return self._reject("late")
        if self.checks_tickets and not self._accepts_ticket(task, body.get("ticket", "")):
            return self._reject("ticket")
        running = self._running.get(task)
        if attempt <= self._ended_attempts.get(task, 0) or (running and attempt < running.attempt):
            return self._reject("old")
        self._extend_lease(body)
        if running is None:
            work_s = self._work_s(body)
            run = TaskRun(task=task, attempt=attempt, ends_at=time.monotonic() + work_s)
            self._running[task] = run
            self.history.append(run)
        return JSONResponse({"clockMs": self._clock_ms()})

    def _work_s(self, body: dict[str, Any]) -> float:
        """Return the duration of the run that an order starts, in seconds."""
        return self.work_s

    def _accepts_ticket(self, task: str, text: str) -> bool:
        step, host, born, valid_until_ms = (text.split("/") + [""] * 4)[:4]
        return (
            (step, host, born) == (task.rpartition(".")[0], self.id, str(self._born))
            and valid_until_ms.isdecimal()
            and int(valid_until_ms) >= int(time.monotonic() * 1000)
        )

    async def _stop(self, request: Request) -> Response:
        body, rejection = await self._admit(request)
        if rejection is not None:
            return rejection
        run = self._running.get(body["task"])
        if run is not None and run.attempt == body["attempt"]:
            self._end(run, "stopped")
        self._ended_attempts[body["task"]] = max(
            self._ended_attempts.get(body["task"], 0), body["attempt"]
        )
        return JSONResponse({"clockMs": self._clock_ms()})

    async def _pace(self, request: Request) -> Response:
        body, rejection = await self._admit(request)
        if rejection is not None:
            return rejection
        run = self._running.get(body["task"])
        if run is None or run.attempt != body["attempt"]:
            return Response(status_code=400)
        run.pace = body["percent"]
        return JSONResponse({"clockMs": self._clock_ms()})

    async def _hold(self, request: Request) -> Response:
        """Extend the lease; answer once a run has ended or the wait of the request is over."""
        body, rejection = await self._admit(request)
        if rejection is not None:
            return rejection
        self._extend_lease(body)
        self._ended = [row for row in self._ended if row[0] > body.get("ackIndex", 0)]
        end = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self._ended and time.monotonic() < end:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._advance()
        active = [
            [run.task, run.attempt, "", 50, self._tail_latency_ms(run)]
            for run in self._running.values()
        ]
        return JSONResponse(
            {
                "clockMs": self._clock_ms(),
                "born": self._born,
                "active": active,
                "finished": self._ended[:500],
            }
        )


@define(kw_only=True, eq=False)
class PlatformPolicyStandIn:
    """Stand-in for the policy service; approves all hosts except those in ``denied``.

    :param born: returns the start of a host's present life. Without it, the tickets hold for none
        in particular, and hosts don't check them.
    """

    denied: set[str] = field(factory=set)
    decision_s: float = 0.01
    valid_ms: int = 1500
    born: Callable[[str], int] | None = None
    request_count: int = 0

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(routes=[Route("/api/advise", self._advise, methods=["POST"])])

    async def _advise(self, request: Request) -> Response:
        body = await request.json()
        self.request_count += 1
        await asyncio.sleep(self.decision_s)
        approved = [
            [id, self._ticket(body["stepId"], id)]
            for id in body["workers"]
            if id not in self.denied
        ]
        return JSONResponse({"approved": approved, "validMs": self.valid_ms})

    def _ticket(self, step: str, host: str) -> str:
        if self.born is None:
            return f"ticket-{host}"
        valid_until_ms = int(time.monotonic() * 1000) + self.valid_ms
        ticket = Ticket(step=step, host=host, born=self.born(host), valid_until_ms=valid_until_ms)
        return ticket.encode()
