"""The interface for clients: submit, look up and cancel jobs, and count those that wait."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define, field, frozen
from prometheus_client import Counter, Histogram

from rhubarbferry.cell.job_calls import Accepted, Cancelled, JobCalls, PhaseUnknown
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.routes import DEFAULT_BODY_BYTES, Route, RouteTable
from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.record import JobRecord
from rhubarbferry.platform.job_forms import ID, JobFormError, parse_job
from rhubarbferry.ports.clock import Clock
from rhubarbferry.serving.connections import ABORT

ANSWERS = Counter(
    "rhubarbferry_client_answers_total", "Answers to clients", ["queue", "call", "status"]
)
ANSWER_SECONDS = Histogram(
    "rhubarbferry_client_answer_seconds",
    "From a client's whole request to its answer",
    ["call"],
    buckets=(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5),
)

# When a client that was turned away should come back, in seconds: at least, at most, and as a
# share of its job's objective. Outages of the store last some seconds, and clients try about four
# times more.
RETRY_AFTER_S = 1
LONGEST_RETRY_AFTER_S = 3
RETRY_SHARE = 0.2
DEADLINE_HEADER = b"rhubarbferry-deadline-ms"
# Where a client does not say how long it waits.
DEFAULT_DEADLINE_S = 3.0

WORDS = {
    JobPhase.QUEUED: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.COMPLETE: "complete",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "canceled",
}

CountPending = Callable[[str], Awaitable[int | None]]


@frozen(kw_only=True, slots=True)
class Reply:
    """An answer to a client."""

    status: int
    body: bytes = b"{}"
    retry_after_s: int | None = None


@frozen(kw_only=True, slots=True)
class Call:
    """A client's request, read whole.

    :param deadline: monotonic time by which the client must have its answer.
    """

    method: str
    host: str
    path: str
    body: bytes
    deadline: float


class _TooLarge(Exception):
    """The body is over the limit."""


class _ClientGone(Exception):
    """The client closed its connection before its request was whole."""


def _problem(status: int, text: str, *, retry_s: int | None = None) -> Reply:
    body = json.dumps({"error": text}).encode()
    return Reply(status=status, body=body, retry_after_s=retry_s)


def _come_back_after(record: JobRecord) -> int:
    """Return after how many seconds a job that was turned away is best handed in again.

    Clients try a few times only. A job with much time until its objective gains from tries that
    are further apart, since more outages are over by then; one with little time is worth most
    when it comes back soon.
    """
    chain_s = sum(step.estimate_s for step in record.req.steps)
    objective_s = record.queue.slack_factor * chain_s + record.queue.objective_s
    return round(min(max(objective_s * RETRY_SHARE, RETRY_AFTER_S), LONGEST_RETRY_AFTER_S))


@define(kw_only=True, eq=False)
class ClientApi:
    """An ASGI application.

    :param routes: returns the configuration in force, ``None`` before the first.
    :param count_pending: returns the jobs of a queue that wait, ``None`` when not known now.
    :ivar closing: set when the process is about to end: connections are closed after their
        present request, so that clients go elsewhere.
    """

    clock: Clock
    log: EventLog
    jobs: JobCalls
    routes: Callable[[], RouteTable | None]
    count_pending: CountPending
    closing: bool = False
    in_progress: int = field(default=0, init=False)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        begun = self.clock.monotonic()
        self.in_progress += 1
        try:
            try:
                call = await self._read(scope, receive, begun)
                reply: Reply | None = await self._answer(call)
            except _TooLarge:
                reply = _problem(413, "the body is too large")
            except _ClientGone:
                return
            if reply is None:
                scope[ABORT]()
                return
            await self._send(send, reply)
        finally:
            self.in_progress -= 1
            ANSWER_SECONDS.labels(scope["method"]).observe(self.clock.monotonic() - begun)

    async def _read(self, scope: Any, receive: Any, begun: float) -> Call:
        headers = dict(scope["headers"])
        try:
            wait_s = float(headers.get(DEADLINE_HEADER, b"")) / 1000
        except ValueError:
            wait_s = DEFAULT_DEADLINE_S
        routes = self.routes()
        limit = routes.limits.body_bytes if routes is not None else DEFAULT_BODY_BYTES
        parts = []
        size = 0
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _ClientGone
            part = message.get("body", b"")
            size += len(part)
            if size > limit:
                raise _TooLarge
            parts.append(part)
            more = message.get("more_body", False)
        return Call(
            method=scope["method"],
            host=headers.get(b"host", b"").decode("latin-1"),
            path=scope["path"],
            body=b"".join(parts),
            deadline=begun + wait_s,
        )

    async def _send(self, send: Any, reply: Reply) -> None:
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(reply.body)).encode()),
        ]
        if reply.retry_after_s is not None:
            headers.append((b"retry-after", str(reply.retry_after_s).encode()))
        if self.closing:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": reply.status, "headers": headers})
        await send({"type": "http.response.body", "body": reply.body})

    async def _answer(self, call: Call) -> Reply | None:
        """Return the answer; ``None`` when nothing true can be said."""
        routes = self.routes()
        if routes is None:
            return _problem(503, "no configuration has been read yet", retry_s=RETRY_AFTER_S)
        route = routes.match(call.host, call.path)
        if route is None:
            ANSWERS.labels("", call.method, 404).inc()
            return _problem(404, "no such queue")
        reply = await self._serve(call, route)
        status = reply.status if reply is not None else "none"
        ANSWERS.labels(route.queue.name, call.method, status).inc()
        return reply

    async def _serve(self, call: Call, route: Route) -> Reply | None:
        id = call.path[len(route.prefix) :]
        if not id and call.method == "GET":
            return await self._pending(route)
        if not ID.fullmatch(id):
            return _problem(404, "no job of that name")
        match call.method:
            case "POST":
                return await self._submit(call, route, id)
            case "GET":
                return await self._state(id)
            case "DELETE":
                return await self._cancel(call, id)
        return _problem(405, "POST, GET or DELETE is needed")

    async def _submit(self, call: Call, route: Route, id: str) -> Reply | None:
        try:
            req = parse_job(id, route.queue.name, call.body)
        except JobFormError as exc:
            self.log.emit("job.not_accepted", job=id, reason=str(exc), outcome="malformed")
            return _problem(400, str(exc))
        accepted_at_s = round(self.clock.wall(), 2)
        record = JobRecord(req=req, queue=route.queue, accepted_at_s=accepted_at_s)
        match await self.jobs.submit(record, deadline=call.deadline):
            case Accepted.YES:
                return Reply(status=200)
            case Accepted.NO:
                after_s = _come_back_after(record)
                return _problem(503, "not accepted; the job will not run", retry_s=after_s)
        # The write may yet take effect, so nothing may be said that denies it. A client whose
        # connection breaks hands the same job in again, and gets its answer then.
        return None

    async def _state(self, id: str) -> Reply:
        try:
            phase = await self.jobs.phase(id)
        except PhaseUnknown as exc:
            self.log.emit("job.not_read", job=id, reason=str(exc)[:200])
            return _problem(503, "the state can't be read now", retry_s=RETRY_AFTER_S)
        if phase is None:
            return _problem(410, "no such job")
        return Reply(status=200, body=json.dumps({"state": WORDS[phase]}).encode())

    async def _cancel(self, call: Call, id: str) -> Reply:
        match await self.jobs.cancel(id, deadline=call.deadline):
            case Cancelled.YES:
                return Reply(status=200)
            case Cancelled.UNKNOWN_JOB:
                return _problem(410, "no such job")
        return _problem(503, "not cancelled", retry_s=RETRY_AFTER_S)

    async def _pending(self, route: Route) -> Reply:
        count = await self.count_pending(route.queue.name)
        if count is None:
            return _problem(503, "the count is not known now", retry_s=RETRY_AFTER_S)
        return Reply(status=200, body=json.dumps({"pending": count}).encode())
