"""The ASGI application that serves requests to services."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import xxhash
from attrs import define, evolve, frozen
from loguru import logger
from returns.result import Failure, Success

from rhubarbferry.conf.settings import Settings
from rhubarbferry.core.cell import Cell
from rhubarbferry.core.partition import PartitionId, PartitionKind
from rhubarbferry.core.refusals import RefusalReason
from rhubarbferry.core.routing import choose_region
from rhubarbferry.frontend import metrics, problems
from rhubarbferry.frontend.attempts import Attempts, BufferedAnswer, StreamedAnswer
from rhubarbferry.frontend.caller import (
    BODY_PREFIX_BYTES,
    BodyTooLarge,
    Caller,
    CallerGone,
    Receive,
    Send,
)
from rhubarbferry.frontend.grants import NO_SCHEDULER_REASON
from rhubarbferry.frontend.headers import (
    RequestSpec,
    is_forwarded,
    parse_request,
    request_id_of,
)
from rhubarbferry.frontend.intents import (
    DuplicateKey,
    IntentClient,
    IntentNotRecorded,
    IntentRecorded,
)
from rhubarbferry.frontend.objectives import objective_event
from rhubarbferry.frontend.problems import Outcome, Problem
from rhubarbferry.frontend.region_forwarding import RegionForwarder
from rhubarbferry.frontend.runners import AnswerBroken, Runners
from rhubarbferry.frontend.spill import Spill
from rhubarbferry.frontend.waits import WaitClass
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.ownership import ConfigurationView, OwnershipView
from rhubarbferry.reports.burn import EventKind
from rhubarbferry.reports.events import EVENT_COUNTERS, WorkKind, objective_of
from rhubarbferry.rpc.gen import ttypes as t

SERVICES_PATH = "/v1/services/"
MS_PER_S = 1000
MAX_FINISHED_IDS = 4096
RECORDED_ID_HEADER = "recorded-request-id"
# Reasons for a refusal after which another region may still serve the request in time.
SPILLABLE_REFUSALS = frozenset(
    {RefusalReason.TOO_LATE.value, RefusalReason.QUEUE_FULL.value, NO_SCHEDULER_REASON}
)


@define(kw_only=True, slots=True)
class RequestLimiter:
    """Limit the requests in progress and the memory that their buffered bodies take."""

    max_requests: int
    max_bytes: int
    requests: int = 0
    reserved_bytes: int = 0

    def admit(self, size: int) -> bool:
        """Admit a request and reserve ``size`` bytes; return ``False`` if a limit is reached."""
        if self.requests >= self.max_requests or self.reserved_bytes + size > self.max_bytes:
            return False
        self.requests += 1
        self.reserved_bytes += size
        metrics.IN_PROGRESS.set(self.requests)
        return True

    def release(self, size: int) -> None:
        """Release the request and its ``size`` bytes."""
        self.requests -= 1
        self.reserved_bytes -= size
        metrics.IN_PROGRESS.set(self.requests)


@frozen(kw_only=True, slots=True)
class _Request:
    spec: RequestSpec
    caller: Caller
    cell: Cell
    partition: PartitionId
    deadline: float
    started_at: float
    forwarded: bool


class Forwarder:
    """Serve ``/v1/services/{service}/{path}``."""

    def __init__(
        self,
        *,
        clock: Clock,
        cfg: Settings,
        cell: ConfigurationView,
        ownership: OwnershipView,
        attempts: Attempts,
        intents: IntentClient,
        runners: Runners,
        region_forwarder: RegionForwarder,
        limiter: RequestLimiter,
        spill: Spill,
    ) -> None:
        self._clock = clock
        self._cfg = cfg
        self._cell = cell
        self._ownership = ownership
        self._attempts = attempts
        self._intents = intents
        self._runners = runners
        self._region_forwarder = region_forwarder
        self._limiter = limiter
        self._spill = spill
        self._running: dict[str, None] = {}
        self._finished: deque[str] = deque(maxlen=MAX_FINISHED_IDS)

    def status(self) -> dict[str, Any]:
        """Return the status that frontends of other regions poll while they wait for an answer."""
        return {
            "slots": self._cfg.requests.max_waiting,
            "running": list(self._running),
            "finished_recent": list(self._finished),
            "leaving": False,
        }

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request."""
        started_at = self._clock.monotonic()
        request_id = request_id_of(scope["headers"])
        caller = Caller(receive=receive, send=send, limit=self._cfg.requests.max_body_bytes)
        try:
            req = self._validate(scope, caller, request_id, started_at)
            if isinstance(req, Problem):
                await _answer_problem(caller, request_id, req)
                return
            size = _buffer_size(req.spec)
            if not self._limiter.admit(size):
                metrics.REFUSED_BUSY.inc()
                account, now = req.spec.account, self._clock.monotonic()
                EVENT_COUNTERS.add(account, WorkKind.REQUESTS, EventKind.REFUSED, now=now)
                busy = problems.busy("too many requests are in progress on this host")
                await _answer_problem(caller, request_id, busy)
                return
            self._running[request_id] = None
            try:
                await self._serve(req)
            finally:
                self._limiter.release(size)
                self._running.pop(request_id, None)
                self._finished.append(request_id)
        except Exception as exc:
            # A programming error. The caller still gets a final answer: the outcome is unknown.
            logger.opt(exception=exc).error("request {} failed", request_id)
            if not caller.answer_started:
                fault = problems.outcome_unknown("a fault here", timeout=False, idempotent=False)
                await _answer_problem(caller, request_id, fault)
        finally:
            caller.close()

    def _validate(
        self, scope: dict[str, Any], caller: Caller, request_id: str, started_at: float
    ) -> _Request | Problem:
        cell = self._cell.current()
        if cell.revision == 0:
            return problems.not_configured()
        service, target = _target(scope)
        parsed = parse_request(
            method=scope["method"],
            service=service,
            target=target,
            raw=scope["headers"],
            cfg=self._cfg.requests,
            request_id=request_id,
        )
        match parsed:
            case Failure(problem):
                return problem
            case Success(spec):
                forwarded = is_forwarded(scope["headers"])
                return self._route(spec, caller, cell, started_at, forwarded)
        raise AssertionError("unreachable")

    def _route(
        self, spec: RequestSpec, caller: Caller, cell: Cell, started_at: float, forwarded: bool
    ) -> _Request | Problem:
        if spec.account not in cell.accounts:
            return problems.unknown_account(spec.account)
        if spec.service not in cell.services:
            return problems.unknown_service(spec.service)
        partition = choose_region(
            service=spec.service,
            own_region=self._cfg.process.region,
            partitions=self._ownership.partitions(PartitionKind.RUNNER),
        )
        own = self._cfg.process.region
        # A request is forwarded between regions at most once. Two regions whose ownership tables
        # differ could otherwise forward it back and forth until its deadline.
        if partition is None or (forwarded and partition.region != own):
            return problems.busy(f"no region has runners of {spec.service}")
        if partition.region == own and not forwarded:
            partition = self._spill.select(partition, _wait_class(spec, cell))
        return _Request(
            spec=spec,
            caller=caller,
            cell=cell,
            partition=partition,
            deadline=started_at + spec.timeout_s,
            started_at=started_at,
            forwarded=forwarded,
        )

    async def _serve(self, req: _Request) -> None:
        try:
            async with asyncio.timeout(req.deadline - self._clock.monotonic()):
                await req.caller.read_body_prefix()
        except CallerGone:
            metrics.CALLERS_DISCONNECTED.inc()
            await self._send_problem(req, problems.truncated_body())
            return
        except BodyTooLarge:
            await self._send_problem(
                req, problems.body_too_large(self._cfg.requests.max_body_bytes)
            )
            return
        except TimeoutError:
            remedy = "Send the body faster, or give a longer Request-Timeout."
            problem = problems.bad_field("body", "not whole by the deadline", remedy, status=408)
            await self._send_problem(req, problem)
            return
        if req.partition.region != self._cfg.process.region:
            await self._serve_in_other_region(req)
        elif req.spec.idempotent:
            await self._serve_idempotent(req)
        else:
            await self._serve_non_idempotent(req)

    async def _serve_in_other_region(self, req: _Request) -> None:
        result = await self._region_forwarder.run(
            spec=req.spec,
            caller=req.caller,
            region=req.partition.region,
            deadline=req.deadline,
        )
        await self._send_result(req, result)

    async def _serve_idempotent(self, req: _Request) -> None:
        result = await self._run(req)
        if isinstance(result, Problem) and result.detail in SPILLABLE_REFUSALS:
            fallback = self._spill_after_refusal(req, result)
            if fallback is not None:
                await self._serve_in_other_region(evolve(req, partition=fallback))
                return
        await self._send_result(req, result)

    def _spill_after_refusal(self, req: _Request, problem: Problem) -> PartitionId | None:
        # Only idempotent requests get here. A request that must not run twice stays in its region,
        # because recording the intent of a second attempt could race with recording the outcome
        # of the refused one.
        if (
            req.forwarded
            or problem.outcome is not Outcome.NOT_RUN
            or req.caller.disconnected.is_set()
        ):
            return None
        left_s = req.deadline - self._clock.monotonic()
        return self._spill.fallback(req.partition, _wait_class(req.spec, req.cell), left_s)

    async def _send_result(
        self, req: _Request, result: BufferedAnswer | StreamedAnswer | Problem
    ) -> None:
        match result:
            case BufferedAnswer() as buffered:
                await self._send_buffered(req, buffered)
            case StreamedAnswer() as streaming:
                await self._send_streamed(req, streaming, max_recorded_bytes=0)
            case Problem() as problem:
                await self._send_problem(req, problem)

    async def _run(self, req: _Request) -> BufferedAnswer | StreamedAnswer | Problem:
        try:
            return await self._attempts.run(
                cell=req.cell,
                spec=req.spec,
                caller=req.caller,
                partition=req.partition,
                deadline=req.deadline,
            )
        except CallerGone:
            metrics.CALLERS_DISCONNECTED.inc()
            return problems.busy("the caller has gone")

    async def _serve_non_idempotent(self, req: _Request) -> None:
        fingerprint = _fingerprint(req.spec, req.caller)
        intent = await self._intents.begin(
            cell=req.cell, spec=req.spec, fingerprint=fingerprint, deadline=req.deadline
        )
        match intent:
            case IntentNotRecorded(timed_out=True):
                await self._send_problem(req, problems.not_recorded_in_time())
            case IntentNotRecorded(reason=reason, retry_after_s=retry_after_s):
                await self._send_problem(req, problems.refused(reason, retry_after_s))
            case DuplicateKey(reply=reply):
                await self._answer_duplicate(req, reply)
            case IntentRecorded(home=home):
                await self._run_recorded(req, home)

    async def _run_recorded(self, req: _Request, home: PartitionId) -> None:
        spec = req.spec
        # An attempt that ends with an unexpected error may have sent the request, so it is
        # recorded as unknown. Without a record, the key would appear to be still running.
        outcome = t.RequestOutcome.UNKNOWN
        answer: t.RecordedAnswer | None = None
        try:
            match await self._run(req):
                case BufferedAnswer() as buffered:
                    outcome = t.RequestOutcome.DONE
                    answer = self._build_record(spec, buffered)
                    await self._record_outcome(home, spec, outcome, answer)
                    await self._send_buffered(req, buffered)
                case StreamedAnswer() as streaming:
                    kept = self._cfg.requests.kept_answer_bytes
                    answer = await self._send_streamed(req, streaming, max_recorded_bytes=kept)
                    if answer is not None:
                        outcome = t.RequestOutcome.DONE
                    self._intents.finish(home, spec, outcome, answer)
                case Problem() as problem:
                    if problem.outcome is Outcome.NOT_RUN:
                        outcome = t.RequestOutcome.NOT_RUN
                    self._intents.finish(home, spec, outcome)
                    await self._send_problem(req, problem)
        except BaseException:
            self._intents.finish(home, spec, outcome, answer)
            raise

    async def _record_outcome(
        self,
        home: PartitionId,
        spec: RequestSpec,
        outcome: t.RequestOutcome,
        answer: t.RecordedAnswer,
    ) -> None:
        task = self._intents.finish(home, spec, outcome, answer)
        await asyncio.wait({task}, timeout=self._cfg.requests.record_wait_s)

    def _build_record(self, spec: RequestSpec, buffered: BufferedAnswer) -> t.RecordedAnswer:
        kept = len(buffered.body) <= self._cfg.requests.kept_answer_bytes
        return _recorded_answer(
            spec, buffered.status, buffered.headers, buffered.body if kept else b"", kept
        )

    async def _answer_duplicate(self, req: _Request, reply: t.IntentReply) -> None:
        match reply.verdict:
            case t.IntentVerdict.RUNNING:
                retry_after_s = (reply.retry_after_ms or MS_PER_S) / MS_PER_S
                await self._send_problem(req, problems.key_running(retry_after_s))
            case t.IntentVerdict.UNKNOWN:
                await self._send_problem(req, problems.key_outcome_unknown())
            case t.IntentVerdict.MISMATCH:
                await self._send_problem(req, problems.key_mismatch())
            case _:
                await self._answer_recorded(req, reply.answer)

    async def _answer_recorded(self, req: _Request, answer: t.RecordedAnswer | None) -> None:
        if answer is None or not answer.body_kept:
            await self._send_problem(req, problems.answer_not_kept(answer.status if answer else 0))
            return
        headers = [(header.name, header.value) for header in answer.headers]
        buffered = BufferedAnswer(
            status=answer.status, headers=headers, body=answer.body, content_length_header=None
        )
        await self._send_buffered(req, buffered, request_id=answer.request_id)

    async def _send_buffered(
        self, req: _Request, buffered: BufferedAnswer, *, request_id: str = ""
    ) -> None:
        self._record_metrics(req, buffered.outcome, buffered.status, len(buffered.body))
        length = (
            buffered.content_length_header
            if not buffered.body and buffered.content_length_header
            else str(len(buffered.body))
        )
        headers = _answer_headers(req.spec, buffered.headers, request_id, buffered.outcome)
        if req.forwarded and request_id:
            # The forwarding frontend only accepts an answer with the request id that it sent.
            headers = [item for item in headers if item[0] != "request-id"]
            headers.append(("request-id", req.spec.request_id))
            headers.append((RECORDED_ID_HEADER, request_id))
        if buffered.status not in (204, 304):
            headers.append(("content-length", length))
        await req.caller.answer(buffered.status, headers, buffered.body)

    async def _send_streamed(
        self, req: _Request, streaming: StreamedAnswer, *, max_recorded_bytes: int
    ) -> t.RecordedAnswer | None:
        """Stream an answer to the caller; return its record, or ``None`` if it broke off.

        If it breaks off, the final part is never sent. The connection then closes before the
        Content-Length or the last chunk is reached, so the caller detects the truncation.

        :param max_recorded_bytes: maximum number of body bytes to record.
        """
        answer = streaming.answer
        headers = _answer_headers(req.spec, answer.headers, "", streaming.outcome)
        if answer.length is not None:
            headers.append(("content-length", str(answer.length)))
        kept: list[bytes] = []
        size = 0
        try:
            async with self._runners.tracked(streaming.address, streaming.exchange):
                await req.caller.start_answer(answer.status, headers)
                async for chunk in answer.chunks():
                    size += len(chunk)
                    if size <= max_recorded_bytes:
                        kept.append(chunk)
                    # A caller that stops reading must not hold the runner's slot past the deadline.
                    async with asyncio.timeout(req.deadline - self._clock.monotonic()):
                        await req.caller.send_chunk(chunk, more=True)
        except (AnswerBroken, TimeoutError):
            streaming.on_end(False)
            self._record_metrics(req, Outcome.UNKNOWN, answer.status, size)
            return None
        except BaseException:
            streaming.on_end(False)
            raise
        finally:
            answer.close()
        streaming.on_end(True)
        await req.caller.send_chunk(b"", more=False)
        self._record_metrics(req, streaming.outcome, answer.status, size)
        complete = size <= max_recorded_bytes
        body = b"".join(kept) if complete else b""
        return _recorded_answer(req.spec, answer.status, answer.headers, body, complete)

    async def _send_problem(self, req: _Request, problem: Problem) -> None:
        self._record_metrics(req, problem.outcome, problem.status, 0)
        await _answer_problem(req.caller, req.spec.request_id, problem, key=req.spec.key)

    def _record_metrics(self, req: _Request, outcome: Outcome, status: int, size: int) -> None:
        metrics.REQUESTS.labels(req.spec.account, outcome.value, str(status)).inc()
        now = self._clock.monotonic()
        metrics.LATENCY.observe(now - req.started_at)
        self._record_objective_event(req, outcome, status, now)
        region = req.partition.region
        if region != self._cfg.process.region:
            metrics.REGION_BYTES.labels("in", region).inc(size)
            metrics.REGION_BYTES.labels("out", region).inc(req.caller.size)

    def _record_objective_event(
        self, req: _Request, outcome: Outcome, status: int, now: float
    ) -> None:
        account, sent_at = req.spec.account, req.caller.sent_at
        if outcome is Outcome.DONE and sent_at is not None:
            metrics.START_WAIT.labels(account).observe(sent_at - req.started_at)
        kind = objective_event(
            outcome=outcome,
            status=status,
            start_wait_s=None if sent_at is None else sent_at - req.started_at,
            waited_s=now - req.started_at,
            caller_gone=req.caller.disconnected.is_set(),
            objective=objective_of(req.cell, account),
        )
        if kind is not None:
            EVENT_COUNTERS.add(account, WorkKind.REQUESTS, kind, now=now)


def _wait_class(spec: RequestSpec, cell: Cell) -> WaitClass:
    priority = cell.accounts[spec.account].priority if spec.priority is None else spec.priority
    return WaitClass(account=spec.account, priority=priority)


def _target(scope: dict[str, Any]) -> tuple[str, str]:
    raw: bytes = scope.get("raw_path") or scope["path"].encode()
    rest = raw.decode("latin-1").removeprefix(SERVICES_PATH)
    service, _, path = rest.partition("/")
    query = scope.get("query_string", b"").decode("latin-1")
    return service, f"/{path}?{query}" if query else f"/{path}"


def _buffer_size(spec: RequestSpec) -> int:
    if spec.content_length is None:
        return BODY_PREFIX_BYTES
    return min(spec.content_length, BODY_PREFIX_BYTES)


def _fingerprint(spec: RequestSpec, caller: Caller) -> str:
    line = f"{spec.method} {spec.service} {spec.target}"
    return f"{xxhash.xxh3_128_hexdigest(line.encode())}-{caller.fingerprint()}"


def _answer_headers(
    spec: RequestSpec, headers: list[tuple[str, str]], request_id: str, outcome: Outcome
) -> list[tuple[str, str]]:
    result = [(name.lower(), value) for name, value in headers]
    recorded = dict(result).get(RECORDED_ID_HEADER, "")
    result = [(name, value) for name, value in result if name != RECORDED_ID_HEADER]
    result.append(("request-id", request_id or recorded or spec.request_id))
    result.append(("outcome", outcome.value))
    if spec.key:
        result = [(name, value) for name, value in result if name != "idempotency-key"]
        result.append(("idempotency-key", spec.key))
    return result


def _recorded_answer(
    spec: RequestSpec, status: int, headers: list[tuple[str, str]], body: bytes, kept: bool
) -> t.RecordedAnswer:
    return t.RecordedAnswer(
        status=status,
        headers=[t.Header(name=name, value=value) for name, value in headers],
        body=body,
        body_kept=kept,
        request_id=spec.request_id,
    )


async def _answer_problem(
    caller: Caller, request_id: str, problem: Problem, *, key: str = ""
) -> None:
    body = problem.body()
    headers = problem.headers()
    headers.append(("content-length", str(len(body))))
    headers.append(("request-id", request_id))
    if key:
        headers.append(("idempotency-key", key))
    await caller.answer(problem.status, headers, body)
