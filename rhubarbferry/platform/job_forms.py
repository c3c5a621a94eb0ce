"""Jobs as the platform's clients submit them, checked and translated."""

from __future__ import annotations

import json
import re
from typing import Any

from rhubarbferry.dispatch.messages import JobRequest, Sizes, StepRequest

ID = re.compile(r"[0-9a-fA-F]{16}")
# The platform allows specs of 4,000 bytes.
MAX_PAYLOAD_BYTES = 4000
# Bounds against bodies that would fill the memory of the owner; far above what clients send.
MAX_STEPS = 256
MAX_TASKS = 20_000


class JobFormError(Exception):
    """The body is no job; the message names the field."""


def parse_job(id: str, queue: str, body: bytes) -> JobRequest:
    """Read a submission.

    :raises JobFormError: when it is none.
    """
    try:
        form = json.loads(body)
    except ValueError as exc:
        raise JobFormError("the body is no JSON") from exc
    if not isinstance(form, dict):
        raise JobFormError("the body is no object")
    payload = form.get("spec", "")
    if not isinstance(payload, str) or len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise JobFormError(f"spec: a text of at most {MAX_PAYLOAD_BYTES} bytes is needed")
    rows = form.get("phases")
    if not isinstance(rows, list) or not 1 <= len(rows) <= MAX_STEPS:
        raise JobFormError(f"phases: a list of 1 to {MAX_STEPS} steps is needed")
    steps = tuple(_step(index, row) for index, row in enumerate(rows))
    if sum(step.count for step in steps) > MAX_TASKS:
        raise JobFormError(f"phases: more than {MAX_TASKS} tasks")
    return JobRequest(
        id=id,
        queue=queue,
        payload=payload,
        steps=steps,
        times=_integer(form, "times"),
        start_at_s=_number(form, "startAtMs") / 1000,
        interval_s=_number(form, "intervalMs") / 1000,
    )


def _step(index: int, row: Any) -> StepRequest:
    if not isinstance(row, dict):
        raise JobFormError(f"phases[{index}]: no object")
    after = row.get("after", [])
    if not isinstance(after, list) or not all(
        isinstance(step, int) and 0 <= step < index for step in after
    ):
        raise JobFormError(f"phases[{index}].after: only earlier steps may be named")
    count = _integer(row, "count")
    if count < 1:
        raise JobFormError(f"phases[{index}].count: at least 1 is needed")
    return StepRequest(
        count=count,
        sizes=Sizes(
            millicores=_integer(row, "cpu"),
            memory_mb=_integer(row, "memMb"),
            accelerators=_integer(row, "gpu"),
        ),
        estimate_s=_number(row, "estimateMs") / 1000,
        after=tuple(after),
        gang=_flag(row, "gang"),
        one_rack=_flag(row, "colocated"),
        checkpointable=_flag(row, "checkpointable"),
        required_label=_text(row, "requiredLabel"),
        near_rack=_text(row, "affinity"),
        max_per_host=_integer(row, "maxPerServer"),
        copies_allowed=_flag(row, "speculative"),
        lasting=_flag(row, "longRunning"),
        image=_text(row, "image"),
        goal_s=_number(row, "goalMs") / 1000,
        # Despite its name this is a flag: the step's processor is not counted against room.
        filling=bool(row.get("fillCount", False)),
        may_miss=_integer(row, "disruptionBudget") if "disruptionBudget" in row else None,
    )


def _integer(row: dict[str, Any], name: str) -> int:
    value = _number(row, name)
    if value != int(value):
        raise JobFormError(f"{name}: a whole number is needed")
    return int(value)


def _number(row: dict[str, Any], name: str) -> float:
    value = row.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise JobFormError(f"{name}: a number of 0 or more is needed")
    return value


def _flag(row: dict[str, Any], name: str) -> bool:
    value = row.get(name, False)
    if not isinstance(value, bool):
        raise JobFormError(f"{name}: true or false is needed")
    return value


def _text(row: dict[str, Any], name: str) -> str:
    value = row.get(name, "")
    if not isinstance(value, str):
        raise JobFormError(f"{name}: a text is needed")
    return value
