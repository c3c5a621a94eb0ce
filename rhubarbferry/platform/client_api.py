"""HTTP API for clients: submit, query and cancel jobs, and count pending jobs."""

from __future__ import annotations

import json
import math
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define, field, frozen
from prometheus_client import Counter, Histogram

from rhubarbferry.cell.accounts import logged_digest, may_access
from rhubarbferry.cell.admission_control import AdmissionControl
from rhubarbferry.cell.job_calls import Accepted, Cancelled, JobCalls, PhaseUnknown
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.routes import DEFAULT_BODY_BYTES, Route, RouteTable
from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.record import JobRecord
from rhubarbferry.platform.accounts import API_KEY_SCHEME, parse_api_key
from rhubarbferry.platform.job_forms import JOB_ID_PATTERN, JobFormError, parse_job
from rhubarbferry.ports.clock import Clock
from rhubarbferry.serving.connections import ABORT

RESPONSES = Counter(
    "rhubarbferry_client_answers_total", "Responses to clients", ["queue", "call", "status"]
)
ACCOUNT_RESPONSES = Counter(
    "rhubarbferry_account_answers_total",
    "Responses to the clients of an account",
    ["account", "status"],
)
RESPONSE_SECONDS = Histogram(
    "rhubarbferry_client_answer_seconds",
    "Time from a client's complete request to its response",
    ["call"],
    buckets=(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5),
)

# The Retry-After value of a rejected request is a share of the objective of its job, between these
# two limits. Store outages last a few seconds, and clients retry about four times.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 3
RETRY_OBJECTIVE_SHARE = 0.2
DEADLINE_HEADER = b"rhubarbferry-deadline-ms"
# Response deadline of a request without the deadline header.
DEFAULT_DEADLINE_S = 3.0
# Longest response deadline; a later one is treated as this one.
MAX_DEADLINE_S = 60.0

CLIENT_STATES = {
    JobPhase.QUEUED: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.COMPLETE: "complete",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "canceled",
}

CountPending = Callable[[str], Awaitable[int | None]]


@frozen(kw_only=True, slots=True)
class ClientResponse:
    """The HTTP response to a client.

    :param challenge: whether it names the authentication scheme, as a 401 response must.
    """

    status: int
    body: bytes = b"{}"
    retry_after_s: int | None = None
    challenge: bool = False


@frozen(kw_only=True, slots=True)
class ClientRequest:
    """A client's HTTP request with its complete body.

    :param key: API key; empty if there is none or it can't be read.
    :param deadline: monotonic time by which the client must have the response.
    """

    method: str
    host: str
    path: str
    body: bytes
    key: str
    deadline: float


class _TooLarge(Exception):
    """The request body exceeds the size limit."""


class _UnknownKey(Exception):
    """The call has no valid API key, and its route needs one."""


class _ClientGone(Exception):
    """The client closed the connection before it had sent the complete request."""


def _error_response(
    status: int, text: str, *, retry_after_s: int | None = None, challenge: bool = False
) -> ClientResponse:
    body = json.dumps({"error": text}).encode()
    return ClientResponse(
        status=status, body=body, retry_after_s=retry_after_s, challenge=challenge
    )


def _parse_deadline(value: bytes) -> float:
    """Return the response deadline of a request, in seconds from its arrival."""
    try:
        timeout_s = float(value) / 1000
    except ValueError:
        return DEFAULT_DEADLINE_S
    return DEFAULT_DEADLINE_S if math.isnan(timeout_s) else min(timeout_s, MAX_DEADLINE_S)


def _retry_after_s(record: JobRecord) -> int:
    """Return the Retry-After value, in seconds, for a job that was not accepted.

    Clients retry only a few times. For a job whose objective leaves much time, a longer interval
    makes it more likely that an outage is over before the last retry. A job with little time
    should be retried soon.
    """
    chain_s = sum(step.estimate_s for step in record.req.steps)
    objective_s = record.queue.job_objective_s(chain_s)
    return round(
        min(max(objective_s * RETRY_OBJECTIVE_SHARE, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    )


@define(kw_only=True, eq=False)
class ClientApi:
    """The client API as an ASGI application.

    :param routes: returns the current configuration, or ``None`` until one has been read.
    :param count_pending: returns the number of pending jobs of a queue, or ``None`` when it is
        currently unknown.
    :param admission: refuses jobs while the cell is full; ``None`` to accept all.
    :ivar closing: set before the process exits: each connection is closed after its current
        request, so that clients connect to another process.
    :ivar in_progress: number of requests in progress.
    """

    clock: Clock
    log: EventLog
    jobs: JobCalls
    routes: Callable[[], RouteTable | None]
    count_pending: CountPending
    admission: AdmissionControl | None = None
    closing: bool = False
    in_progress: int = field(default=0, init=False)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        started_at = self.clock.monotonic()
        self.in_progress += 1
        try:
            try:
                request = await self._read_request(scope, receive, started_at)
                response: ClientResponse | None = await self._respond(request)
            except _TooLarge:
                response = _error_response(413, "the body is too large")
            except _ClientGone:
                return
            if response is None:
                scope[ABORT]()
                return
            await self._send_response(send, response)
        finally:
            self.in_progress -= 1
            RESPONSE_SECONDS.labels(scope["method"]).observe(self.clock.monotonic() - started_at)

    async def _read_request(self, scope: Any, receive: Any, started_at: float) -> ClientRequest:
        headers = dict(scope["headers"])
        authorization = [value for name, value in scope["headers"] if name == b"authorization"]
        timeout_s = _parse_deadline(headers.get(DEADLINE_HEADER, b""))
        routes = self.routes()
        max_bytes = routes.limits.body_bytes if routes is not None else DEFAULT_BODY_BYTES
        chunks = []
        size = 0
        has_more = True
        while has_more:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _ClientGone
            chunk = message.get("body", b"")
            size += len(chunk)
            if size > max_bytes:
                raise _TooLarge
            chunks.append(chunk)
            has_more = message.get("more_body", False)
        return ClientRequest(
            method=scope["method"],
            host=headers.get(b"host", b"").decode("latin-1"),
            path=scope["path"],
            body=b"".join(chunks),
            key=parse_api_key(authorization),
            deadline=started_at + timeout_s,
        )

    async def _send_response(self, send: Any, response: ClientResponse) -> None:
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(response.body)).encode()),
        ]
        if response.retry_after_s is not None:
            headers.append((b"retry-after", str(response.retry_after_s).encode()))
        if response.challenge:
            headers.append((b"www-authenticate", API_KEY_SCHEME.encode()))
        if self.closing:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        await send({"type": "http.response.body", "body": response.body})

    async def _respond(self, request: ClientRequest) -> ClientResponse | None:
        """Return the response, or ``None`` when the outcome of the request is unknown."""
        routes = self.routes()
        if routes is None:
            return _error_response(
                503, "no configuration has been read yet", retry_after_s=MIN_RETRY_AFTER_S
            )
        route = routes.match(request.host, request.path)
        if route is None:
            RESPONSES.labels("", request.method, 404).inc()
            return _error_response(404, "no such queue")
        account: str | None = None
        response: ClientResponse | None
        try:
            account = self._caller(request, route, routes)
            response = await self._route_request(request, route, account)
        except _UnknownKey:
            response = _error_response(401, "a valid API key is needed", challenge=True)
        status = response.status if response is not None else "none"
        if account:
            ACCOUNT_RESPONSES.labels(account, status).inc()
        RESPONSES.labels(route.queue.name, request.method, status).inc()
        return response

    def _caller(self, request: ClientRequest, route: Route, routes: RouteTable) -> str | None:
        """Return the account of a call.

        :returns: its name, empty for a call without an account on a public route; ``None`` if the
            configuration has no accounts.
        :raises _UnknownKey: when the route needs a key and the call has no valid one.
        """
        if not routes.accounts.enabled:
            return None
        account = routes.accounts.find(request.key) if request.key else None
        if account is not None:
            return account
        if route.public:
            return ""
        self.log.emit(
            "call.unauthorized",
            queue=route.queue.name,
            call=request.method,
            key=logged_digest(request.key) if request.key else None,
            version=routes.version,
            revision=routes.revision,
            outcome="rejected",
        )
        raise _UnknownKey

    async def _route_request(
        self, request: ClientRequest, route: Route, account: str | None
    ) -> ClientResponse | None:
        id = request.path[len(route.prefix) :]
        if not id and request.method == "GET":
            return await self._get_pending_count(route)
        if not JOB_ID_PATTERN.fullmatch(id):
            return _error_response(404, "no job of that name")
        match request.method:
            case "POST":
                return await self._submit(request, route, id, account)
            case "GET":
                return await self._get_state(id, account)
            case "DELETE":
                return await self._cancel(request, id, account)
        return _error_response(405, "POST, GET or DELETE is needed")

    async def _submit(
        self, request: ClientRequest, route: Route, id: str, account: str | None
    ) -> ClientResponse | None:
        try:
            req = parse_job(id, route.queue.name, request.body)
        except JobFormError as exc:
            self.log.emit("job.not_accepted", job=id, reason=str(exc), outcome="malformed")
            return _error_response(400, str(exc))
        routes = self.routes()
        record = JobRecord(
            req=req,
            queue=route.queue,
            account=routes.accounts.settings[account] if routes is not None and account else None,
            accepted_at_s=round(self.clock.wall(), 2),
        )
        if self.admission is not None:
            refused = await self.admission.refusal(record)
            if refused is not None:
                return _error_response(
                    429,
                    "the account has more work than it can end in time; the job will not run",
                    retry_after_s=refused.retry_after_s,
                )
        match await self.jobs.submit(record, deadline=request.deadline):
            case Accepted.YES:
                return ClientResponse(status=200)
            case Accepted.ID_TAKEN:
                return _error_response(409, "the id is in use; the job will not run")
            case Accepted.NO:
                retry_after_s = _retry_after_s(record)
                return _error_response(
                    503, "not accepted; the job will not run", retry_after_s=retry_after_s
                )
        # The write may still take effect, so a response must not deny it. The connection is aborted
        # instead: the client then submits the same job again and receives the outcome.
        return None

    async def _get_state(self, id: str, account: str | None) -> ClientResponse:
        try:
            status = await self.jobs.status(id)
        except PhaseUnknown as exc:
            self.log.emit("job.not_read", job=id, reason=str(exc)[:200])
            return _error_response(
                503, "the state can't be read now", retry_after_s=MIN_RETRY_AFTER_S
            )
        if status is None or not may_access(account, status):
            return _error_response(410, "no such job")
        body = json.dumps({"state": CLIENT_STATES[status.phase]}).encode()
        return ClientResponse(status=200, body=body)

    async def _cancel(self, request: ClientRequest, id: str, account: str | None) -> ClientResponse:
        match await self.jobs.cancel(id, account=account, deadline=request.deadline):
            case Cancelled.YES:
                return ClientResponse(status=200)
            case Cancelled.UNKNOWN_JOB:
                return _error_response(410, "no such job")
        return _error_response(503, "not cancelled", retry_after_s=MIN_RETRY_AFTER_S)

    async def _get_pending_count(self, route: Route) -> ClientResponse:
        count = await self.count_pending(route.queue.name)
        if count is None:
            return _error_response(
                503, "the count is not known now", retry_after_s=MIN_RETRY_AFTER_S
            )
        return ClientResponse(status=200, body=json.dumps({"pending": count}).encode())
