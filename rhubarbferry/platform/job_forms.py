"""Validation and decoding of the jobs that the platform's clients submit."""

from __future__ import annotations

import re
from typing import Any

from rhubarbferry.dispatch.messages import JobRequest, Sizes, StepRequest
from rhubarbferry.platform.documents import (
    MAX_INTEGER,
    InvalidDocument,
    decode_json,
    read_integer,
    read_number,
    read_text,
)

JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
# The platform limits specs to 4,000 bytes.
MAX_PAYLOAD_BYTES = 4000
# Protect the memory of the owner against oversized jobs; clients send far smaller ones. All
# occurrences are kept until the job has ended, so the tasks of all of them count.
MAX_STEPS = 256
MAX_TASKS = 20_000


class JobFormError(Exception):
    """The body is not a valid job; the message names the invalid field."""


def parse_job(id: str, queue: str, body: bytes) -> JobRequest:
    """Decode the body of a job submission.

    :param id: id of the job, from the URL.
    :param queue: name of the queue that receives the job.
    :raises JobFormError: when the body is not a valid job.
    """
    try:
        form = decode_json(body)
    except InvalidDocument as exc:
        raise JobFormError("the body is no JSON") from exc
    if not isinstance(form, dict):
        raise JobFormError("the body is no object")
    payload = _parse_string(form, "spec")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise JobFormError(f"spec: a text of at most {MAX_PAYLOAD_BYTES} bytes is needed")
    rows = form.get("phases")
    if not isinstance(rows, list) or not 1 <= len(rows) <= MAX_STEPS:
        raise JobFormError(f"phases: a list of 1 to {MAX_STEPS} steps is needed")
    steps = tuple(_parse_step(index, row) for index, row in enumerate(rows))
    times = _parse_integer(form, "times")
    if sum(step.count for step in steps) * max(1, times) > MAX_TASKS:
        raise JobFormError(f"phases: more than {MAX_TASKS} tasks at all times together")
    return JobRequest(
        id=id,
        queue=queue,
        payload=payload,
        steps=steps,
        times=times,
        start_at_s=_parse_number(form, "startAtMs") / 1000,
        interval_s=_parse_number(form, "intervalMs") / 1000,
    )


def _parse_step(index: int, row: Any) -> StepRequest:
    if not isinstance(row, dict):
        raise JobFormError(f"phases[{index}]: no object")
    after = row.get("after", [])
    if not isinstance(after, list) or not all(
        isinstance(step, int) and 0 <= step < index for step in after
    ):
        raise JobFormError(f"phases[{index}].after: only earlier steps may be named")
    count = _parse_integer(row, "count")
    if count < 1:
        raise JobFormError(f"phases[{index}].count: at least 1 is needed")
    return StepRequest(
        count=count,
        sizes=Sizes(
            millicores=_parse_integer(row, "cpu"),
            memory_mb=_parse_integer(row, "memMb"),
            accelerators=_parse_integer(row, "gpu"),
        ),
        estimate_s=_parse_number(row, "estimateMs") / 1000,
        after=tuple(after),
        gang=_parse_boolean(row, "gang"),
        one_rack=_parse_boolean(row, "colocated"),
        checkpointable=_parse_boolean(row, "checkpointable"),
        required_label=_parse_string(row, "requiredLabel"),
        near_rack=_parse_string(row, "affinity"),
        max_per_host=_parse_integer(row, "maxPerServer"),
        copies_allowed=_parse_boolean(row, "speculative"),
        lasting=_parse_boolean(row, "longRunning"),
        image=_parse_string(row, "image"),
        goal_s=_parse_number(row, "goalMs") / 1000,
        # A flag, despite its name: the step's CPU is not deducted from a host's capacity.
        filling=bool(row.get("fillCount", False)),
        may_miss=_parse_integer(row, "disruptionBudget") if "disruptionBudget" in row else None,
    )


def _parse_integer(row: dict[str, Any], name: str) -> int:
    try:
        return read_integer(_parse_number(row, name))
    except InvalidDocument as exc:
        raise JobFormError(f"{name}: a whole number is needed") from exc


def _parse_number(row: dict[str, Any], name: str) -> float:
    try:
        value = read_number(row.get(name, 0))
    except InvalidDocument as exc:
        raise JobFormError(f"{name}: a number from 0 to {MAX_INTEGER} is needed") from exc
    if value < 0:
        raise JobFormError(f"{name}: a number of 0 or more is needed")
    return value


def _parse_boolean(row: dict[str, Any], name: str) -> bool:
    value = row.get(name, False)
    if not isinstance(value, bool):
        raise JobFormError(f"{name}: true or false is needed")
    return value


def _parse_string(row: dict[str, Any], name: str) -> str:
    try:
        return read_text(row.get(name, ""))
    except InvalidDocument as exc:
        raise JobFormError(f"{name}: a text is needed") from exc
