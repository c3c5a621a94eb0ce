"""Serialise jobs and their progress for the store.

Each job has two values: the request, which is written once when the job is accepted and deleted
when it has ended, and the state, which changes as tasks end. Both are JSON, so that an operator can
read them.
"""

from __future__ import annotations

import json
from typing import Any

import cattrs
from attrs import frozen
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn

from rhubarbferry.dispatch.job import Job, JobPhase, JobStatus, Step
from rhubarbferry.dispatch.messages import (
    Account,
    ApprovalCost,
    JobRequest,
    Queue,
    Sizes,
    StepRequest,
)


class RecordError(Exception):
    """A stored value can't be decoded; another version of the program may have written it."""


@frozen(kw_only=True, slots=True)
class JobRecord:
    """A job as it was accepted.

    :param req: the client's request.
    :param queue: settings of the queue at that time, used if the queue has been removed since.
    :param account: settings of the client account at that time, used if the account has been
        removed since; ``None`` for a job without an account.
    :param accepted_at_s: Unix time on the clock of the process that accepted it, which may be off
        by seconds; 0 if unknown.
    """

    req: JobRequest
    queue: Queue
    account: Account | None = None
    accepted_at_s: float = 0.0

    @property
    def initial_status(self) -> JobStatus:
        """Status of the job when it has just been accepted."""
        account = self.account.name if self.account is not None else ""
        return JobStatus(phase=JobPhase.QUEUED, account=account)


_converter = cattrs.Converter(omit_if_default=True, prefer_attrib_converters=True)
for _cls in (Sizes, StepRequest, ApprovalCost, Queue, Account, JobRequest, JobRecord):
    _converter.register_unstructure_hook(
        _cls, make_dict_unstructure_fn(_cls, _converter, _cattrs_omit_if_default=True)
    )
    _converter.register_structure_hook(_cls, make_dict_structure_fn(_cls, _converter))


def encode_request(record: JobRecord) -> bytes:
    """Encode the request of an accepted job."""
    return json.dumps(_converter.unstructure(record), separators=(",", ":")).encode()


def decode_request(value: bytes) -> JobRecord:
    """Decode the request of an accepted job.

    :raises RecordError: if the value is not a valid request.
    """
    try:
        return _converter.structure(json.loads(value), JobRecord)
    except Exception as exc:
        raise RecordError(f"the value is not a valid job request: {exc!r}") from exc


def encode_status(status: JobStatus) -> bytes:
    """Encode the state of a job that has ended or has not started: it has no progress."""
    return json.dumps(_status_fields(status), separators=(",", ":")).encode()


def _status_fields(status: JobStatus) -> dict[str, Any]:
    fields: dict[str, Any] = {"phase": status.phase.value}
    if status.account:
        fields["account"] = status.account
    return fields


def encode_state(job: Job) -> bytes:
    """Encode the state of a job: its phase and the progress of its tasks."""
    if job.phase.final:
        return encode_status(job.status)
    steps = {
        f"{step.id.occurrence}.{step.id.step}": fields
        for step in job.steps()
        if (fields := _step_fields(step))
    }
    body = _status_fields(job.status)
    if steps:
        body["steps"] = steps
    return json.dumps(body, separators=(",", ":")).encode()


def _step_fields(step: Step) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    done = sum(1 << task.id.index for task in step.tasks if task.done)
    if done:
        fields["done"] = f"{done:x}"
    failed = {
        str(task.id.index): sorted(task.failed_attempts)
        for task in step.tasks
        if task.failed_attempts
    }
    if failed:
        fields["failed"] = failed
    if step.failed_attempts:
        fields["gang_failed"] = sorted(step.failed_attempts)
    saved = {
        str(task.id.index): task.checkpoint
        for task in step.tasks
        if task.checkpoint and not task.done
    }
    if saved:
        fields["saved"] = saved
    return fields


def decode_status(value: bytes) -> JobStatus:
    """Decode the status from the state of a job.

    :raises RecordError: if the value is not a valid state.
    """
    try:
        fields = json.loads(value)
        return JobStatus(phase=JobPhase(fields["phase"]), account=str(fields.get("account", "")))
    except Exception as exc:
        raise RecordError(f"the value is not a valid job state: {exc!r}") from exc


def restore_state(job: Job, value: bytes, *, now: float) -> None:
    """Apply a stored state to a newly created job.

    :raises RecordError: if the value is not a valid state.
    """
    job.phase = decode_status(value).phase
    try:
        for name, fields in json.loads(value).get("steps", {}).items():
            number, index = (int(part) for part in name.split("."))
            if not job.has_occurrence(number):
                raise ValueError(f"there is no occurrence {number}")
            job.create_occurrences_through(number, now)
            _restore_step(job.occurrences[number].steps[index], fields)
    except Exception as exc:
        raise RecordError(f"the value is not a valid state of job {job.id}: {exc!r}") from exc


def _restore_step(step: Step, fields: dict[str, Any]) -> None:
    done = int(fields.get("done", "0"), 16)
    failed = fields.get("failed", {})
    saved = fields.get("saved", {})
    step.failed_attempts = {int(attempt) for attempt in fields.get("gang_failed", ())}
    for task in step.tasks:
        key = str(task.id.index)
        task.done = bool(done >> task.id.index & 1)
        task.failed_attempts = {int(attempt) for attempt in failed.get(key, ())}
        task.checkpoint = str(saved.get(key, ""))
    step.done_count = sum(task.done for task in step.tasks)
