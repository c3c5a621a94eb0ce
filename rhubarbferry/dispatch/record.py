"""How a job and its progress are written to the store.

Two values for each job: the request, written once when the job is accepted and removed when it
has ended, and the state, which changes as tasks end. Both are JSON, so that an operator can
read them.
"""

from __future__ import annotations

import json
from typing import Any

import cattrs
from attrs import frozen
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn

from rhubarbferry.dispatch.job import Job, JobPhase, Step
from rhubarbferry.dispatch.messages import AdviceCost, JobRequest, Queue, Sizes, StepRequest


class RecordError(Exception):
    """A value in the store is no record of this program. Another version may have written it."""


@frozen(kw_only=True, slots=True)
class JobRecord:
    """A job as it was accepted.

    :param queue: as the configuration had it then, for when the queue has since been removed.
    :param accepted_at_s: time of day (Unix) by the clock of the process that accepted it, 0 where
        it is not known. Such a clock may be seconds off.
    """

    req: JobRequest
    queue: Queue
    accepted_at_s: float = 0.0


_converter = cattrs.Converter(omit_if_default=True, prefer_attrib_converters=True)
for _cls in (Sizes, StepRequest, AdviceCost, Queue, JobRequest, JobRecord):
    _converter.register_unstructure_hook(
        _cls, make_dict_unstructure_fn(_cls, _converter, _cattrs_omit_if_default=True)
    )
    _converter.register_structure_hook(_cls, make_dict_structure_fn(_cls, _converter))


def encode_request(record: JobRecord) -> bytes:
    """Return the value that accepts a job."""
    return json.dumps(_converter.unstructure(record), separators=(",", ":")).encode()


def decode_request(value: bytes) -> JobRecord:
    """Read an accepted job.

    :raises RecordError: when the value is none.
    """
    try:
        return _converter.structure(json.loads(value), JobRecord)
    except Exception as exc:
        raise RecordError(f"no record of a job: {exc!r}") from exc


def encode_phase(phase: JobPhase) -> bytes:
    """Return the state of a job whose tasks no longer matter, or that has none yet."""
    return json.dumps({"phase": phase.value}, separators=(",", ":")).encode()


def encode_state(job: Job) -> bytes:
    """Return the state of a job: its phase and what has become of its tasks."""
    if job.phase.final:
        return encode_phase(job.phase)
    steps = {
        f"{step.id.occurrence}.{step.id.step}": fields
        for step in job.steps()
        if (fields := _step_fields(step))
    }
    body: dict[str, Any] = {"phase": job.phase.value}
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


def decode_phase(value: bytes) -> JobPhase:
    """Read the phase of a state.

    :raises RecordError: when the value is none.
    """
    try:
        return JobPhase(json.loads(value)["phase"])
    except Exception as exc:
        raise RecordError(f"no state of a job: {exc!r}") from exc


def restore_state(job: Job, value: bytes, *, now: float) -> None:
    """Work a recorded state into a job that was just made.

    :raises RecordError: when the value is none.
    """
    job.phase = decode_phase(value)
    try:
        for name, fields in json.loads(value).get("steps", {}).items():
            number, index = (int(part) for part in name.split("."))
            if number not in job.occurrences:
                job.add_occurrence(number, now)
                job.next_occurrence = max(job.next_occurrence, number + 1)
            _restore_step(job.occurrences[number].steps[index], fields)
    except (KeyError, IndexError, TypeError, ValueError) as exc:
        raise RecordError(f"no state of job {job.id}: {exc!r}") from exc


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
    step.ever_started = bool(done or failed or saved or step.failed_attempts)
