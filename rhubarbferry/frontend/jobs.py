"""The HTTP endpoints that submit, show, cancel, list and explain jobs."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from returns.result import Failure, Success
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from rhubarbferry.conf.settings import Settings
from rhubarbferry.core.cell import Cell
from rhubarbferry.core.partition import PartitionId, home_of, key_partition
from rhubarbferry.frontend import problems
from rhubarbferry.frontend.headers import NAME_PATTERN, new_id
from rhubarbferry.frontend.intents import STORE_LOST_REASON
from rhubarbferry.frontend.job_parsing import parse_job
from rhubarbferry.frontend.owners import NoReply, Owners, Replied
from rhubarbferry.frontend.problems import Outcome, Problem
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.ownership import ConfigurationView
from rhubarbferry.rpc.gen import ttypes as t

MS_PER_S = 1000
MAX_JOB_BODY_BYTES = 256 * 1024
CALL_TIMEOUT_S = 10.0
LIST_TIMEOUT_S = 3.0
JOB_ID_RANDOM_CHARS = 16

PHASES = {
    t.JobPhase.WAITING: "waiting",
    t.JobPhase.RUNNING: "running",
    t.JobPhase.DONE: "done",
    t.JobPhase.FAILED: "failed",
    t.JobPhase.CANCELLED: "cancelled",
    t.JobPhase.NOT_RUN: "not-run",
    t.JobPhase.UNKNOWN: "unknown",
}
OUTCOMES = {
    t.JobPhase.WAITING: Outcome.NOT_RUN,
    t.JobPhase.RUNNING: Outcome.RUNNING,
    t.JobPhase.DONE: Outcome.DONE,
    t.JobPhase.FAILED: Outcome.DONE,
    t.JobPhase.CANCELLED: Outcome.DONE,
    t.JobPhase.NOT_RUN: Outcome.NOT_RUN,
    t.JobPhase.UNKNOWN: Outcome.UNKNOWN,
}


class JobEndpoints:
    """Serve ``/v1/jobs`` by RPC calls to the homes of the jobs."""

    def __init__(
        self, *, clock: Clock, cfg: Settings, cell: ConfigurationView, owners: Owners
    ) -> None:
        self._clock = clock
        self._cfg = cfg
        self._cell = cell
        self._owners = owners
        self._rng = random.SystemRandom()

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("/v1/jobs", self.submit, methods=["POST"]),
            Route("/v1/jobs", self.list_all, methods=["GET"]),
            Route("/v1/jobs/{id}", self.show, methods=["GET"]),
            Route("/v1/jobs/{id}", self.cancel, methods=["DELETE"]),
            Route("/v1/jobs/{id}/explain", self.explain, methods=["GET"]),
        ]

    async def submit(self, request: Request) -> Response:
        """Submit a job; answer 202 when the job is recorded."""
        cell = self._cell.current()
        if cell.revision == 0:
            return _problem(problems.not_configured())
        text = await _read_body(request)
        if isinstance(text, Problem):
            return _problem(text)
        parsed = parse_job(
            text,
            account_header=request.headers.get("Client-Account"),
            key_header=request.headers.get("Idempotency-Key"),
            cell=cell,
            cfg=self._cfg.jobs,
        )
        match parsed:
            case Failure(problem):
                return _problem(problem)
            case Success(spec):
                return await self._submit(cell, spec)
        raise AssertionError("unreachable")

    async def _submit(self, cell: Cell, spec: t.JobSpec) -> Response:
        home = self._home(cell, spec)
        # The frontend generates the id, so that the home recognizes a submission that is repeated
        # after its reply was lost.
        job_id = f"{home.region}.{home.name}.{new_id()[:JOB_ID_RANDOM_CHARS]}"
        result = await self._owners.call(
            home,
            "submit_job",
            lambda epoch: t.SubmitRequest(
                partition=str(home), epoch=epoch, job_id=job_id, spec=spec
            ),
            deadline=self._clock.monotonic() + CALL_TIMEOUT_S,
            not_owner=lambda reply: reply.verdict == t.SubmitVerdict.NOT_OWNER,
        )
        match result:
            case NoReply(unclear=True):
                return _problem(_submission_unclear(job_id))
            case NoReply(store_lost=True):
                return _problem(problems.refused(STORE_LOST_REASON, problems.DEFAULT_RETRY_AFTER_S))
            case NoReply():
                return _problem(problems.refused("no scheduler takes jobs now", 1.0))
            case Replied(reply=reply, unclear=unclear):
                return self._submit_answer(reply, job_id, unclear)

    def _submit_answer(self, reply: t.SubmitReply, job_id: str, unclear: bool) -> Response:
        retry_after_s = (reply.retry_after_ms or MS_PER_S) / MS_PER_S
        match reply.verdict:
            case t.SubmitVerdict.ACCEPTED | t.SubmitVerdict.DUPLICATE:
                result = reply.job_id or job_id
                doc = {"id": result, "duplicate": result != job_id}
                return JSONResponse(
                    doc, status_code=202, headers={"Location": f"/v1/jobs/{result}"}
                )
            case t.SubmitVerdict.UNCLEAR:
                return _problem(_submission_unclear(job_id))
            case t.SubmitVerdict.UNAVAILABLE if unclear:
                return _problem(_submission_unclear(job_id))
            case t.SubmitVerdict.UNAVAILABLE:
                return _problem(problems.refused(reply.reason or "unavailable", retry_after_s))
        limited = reply.retry_after_ms is not None
        return _problem(
            Problem(
                status=429 if limited else 422,
                type="job-refused",
                outcome=Outcome.NOT_RUN,
                detail=reply.reason or "the job was refused",
                remedy="Change the job as the detail says, or come back later.",
                retry_after_s=retry_after_s if limited else None,
            )
        )

    def _home(self, cell: Cell, spec: t.JobSpec) -> PartitionId:
        if spec.key:
            return home_of(
                account=spec.account,
                key=spec.key,
                regions=cell.regions,
                per_region=cell.key_partitions_per_region,
            )
        own = self._cfg.process.region
        region = spec.region or (own if own in cell.regions else cell.regions[0])
        number = self._rng.randrange(cell.key_partitions_per_region)
        return key_partition(region=region, number=number)

    async def show(self, request: Request) -> Response:
        """Answer with the state of a job."""
        result = await self._call_home(request, "get_job")
        return result if isinstance(result, Response) else _job(result)

    async def cancel(self, request: Request) -> Response:
        """Cancel a job and answer with its state."""
        result = await self._call_home(request, "cancel_job")
        return result if isinstance(result, Response) else _job(result)

    async def explain(self, request: Request) -> Response:
        """Answer with a job and the reasons why its tasks wait."""
        result = await self._call_home(request, "get_job")
        if isinstance(result, Response):
            return result
        doc = _document(result.job) | {"explanation": result.explanation or []}
        return JSONResponse(doc)

    async def _call_home(self, request: Request, method: str) -> Response | t.JobReply:
        job_id = request.path_params["id"]
        home = self._home_of_id(job_id)
        if home is None:
            return _problem(_no_such_job(job_id))
        result = await self._owners.call(
            home,
            method,
            lambda epoch: t.JobRequest(partition=str(home), epoch=epoch, job_id=job_id),
            deadline=self._clock.monotonic() + CALL_TIMEOUT_S,
            not_owner=lambda reply: reply.verdict == t.JobVerdict.NOT_OWNER,
        )
        match result:
            case NoReply(store_lost=store_lost):
                reason = STORE_LOST_REASON if store_lost else "no scheduler answers for this job"
                return _problem(_status_unavailable(reason, problems.DEFAULT_RETRY_AFTER_S))
            case Replied(reply=reply) if reply.verdict == t.JobVerdict.FOUND:
                return reply
            case Replied(reply=reply) if reply.verdict == t.JobVerdict.NO_SUCH_JOB:
                # The job may have run and its record may have been deleted since.
                return _problem(_no_such_job(job_id).as_unknown())
            case Replied(reply=reply):
                retry_after_s = (reply.retry_after_ms or MS_PER_S) / MS_PER_S
                return _problem(
                    _status_unavailable("the job's home can't answer now", retry_after_s)
                )
        raise AssertionError("unreachable")

    def _home_of_id(self, job_id: str) -> PartitionId | None:
        cell = self._cell.current()
        # Split from the right, because region names may contain dots.
        parts = job_id.rsplit(".", 2)
        if len(parts) != 3:
            return None
        region, number, name = parts
        known = region in cell.regions and number.isascii() and number.isdigit()
        if not known or not NAME_PATTERN.match(name):
            return None
        if int(number) >= cell.key_partitions_per_region:
            return None
        return key_partition(region=region, number=int(number))

    async def list_all(self, request: Request) -> Response:
        """Answer with the jobs of an account from all homes that can be reached."""
        cell = self._cell.current()
        if cell.revision == 0:
            return _problem(problems.not_configured())
        account = request.query_params.get("account") or request.headers.get("Client-Account", "")
        if not account:
            return _problem(problems.bad_field("account", "missing", "Add ?account=NAME."))
        if account not in cell.accounts:
            return _problem(problems.unknown_account(account[:128]))
        homes = [
            key_partition(region=region, number=number)
            for region in cell.regions
            for number in range(cell.key_partitions_per_region)
        ]
        replies = await asyncio.gather(*(self._list_home(home, account) for home in homes))
        missing = [str(home) for home, jobs in zip(homes, replies, strict=True) if jobs is None]
        jobs = [_document(job) for result in replies for job in result or []]
        return JSONResponse({"jobs": jobs, "complete": not missing, "missing": missing})

    async def _list_home(self, home: PartitionId, account: str) -> list[t.JobRecord] | None:
        result = await self._owners.call(
            home,
            "list_jobs",
            lambda epoch: t.JobListRequest(partition=str(home), epoch=epoch, account=account),
            deadline=self._clock.monotonic() + LIST_TIMEOUT_S,
            not_owner=lambda reply: reply.verdict == t.JobVerdict.NOT_OWNER,
        )
        match result:
            case Replied(reply=reply) if reply.verdict == t.JobVerdict.FOUND:
                return reply.jobs
        return None


async def _read_body(request: Request) -> bytes | Problem:
    parts: list[bytes] = []
    size = 0
    try:
        async for chunk in request.stream():
            size += len(chunk)
            if size > MAX_JOB_BODY_BYTES:
                return problems.body_too_large(MAX_JOB_BODY_BYTES)
            parts.append(chunk)
    except ClientDisconnect:
        return problems.truncated_body()
    return b"".join(parts)


def _problem(problem: Problem) -> Response:
    return Response(problem.body(), status_code=problem.status, headers=dict(problem.headers()))


def _no_such_job(job_id: str) -> Problem:
    return Problem(
        status=404,
        type="no-such-job",
        outcome=Outcome.NOT_RUN,
        detail=f"there is no job {job_id[:200]!r}",
        remedy="Check the id; finished jobs are forgotten after a while.",
        field="id",
    )


def _status_unavailable(reason: str, retry_after_s: float) -> Problem:
    # The outcome in these answers is that of the job. "Not run" could be false: the job may have
    # run, or a cancellation may have been recorded.
    return problems.refused(reason, retry_after_s).as_unknown()


def _submission_unclear(job_id: str) -> Problem:
    return Problem(
        status=504,
        type="outcome-unknown",
        outcome=Outcome.UNKNOWN,
        detail=f"job {job_id} may or may not have been recorded",
        remedy=f"Look at /v1/jobs/{job_id}, or submit again with the same key.",
        retry_after_s=1.0,
    )


def _job(reply: t.JobReply) -> Response:
    headers = {"Outcome": OUTCOMES[reply.job.phase].value}
    return JSONResponse(_document(reply.job), headers=headers)


def _document(job: t.JobRecord) -> dict[str, Any]:
    spec = job.spec
    return {
        "id": job.job_id,
        "account": spec.account,
        "kind": t.JobKind(spec.kind).name.lower(),
        "phase": PHASES[job.phase],
        "outcome": OUTCOMES[job.phase].value,
        "reason": job.reason or "",
        "priority": t.Priority(spec.priority).name.lower(),
        "idempotent": spec.idempotent,
        "preemptible": spec.preemptible,
        "size": {
            "millicores": spec.size.millicores,
            "memory_bytes": spec.size.memory_bytes,
            "accelerators": spec.size.accelerators,
        },
        "tasks": {
            "all": spec.tasks,
            "waiting": job.tasks_waiting,
            "running": job.tasks_running,
            "done": job.tasks_done,
            "failed": job.tasks_failed,
            "unknown": job.tasks_unknown,
            "not_run": job.tasks_not_run,
        },
        "waited_ms": job.waited_ms,
        "run_ms": spec.run_ms,
        "key": spec.key or "",
    }
