"""Parse and validate the JSON of a job submission."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from rhubarbferry.conf.settings import JobSettings
from rhubarbferry.core.cell import Cell
from rhubarbferry.frontend import problems
from rhubarbferry.frontend.headers import KEY_PATTERN, NAME_PATTERN
from rhubarbferry.frontend.problems import Problem
from rhubarbferry.rpc.gen import ttypes as t

KINDS = {"batch": t.JobKind.BATCH, "gang": t.JobKind.GANG, "service": t.JobKind.SERVICE}
PRIORITIES = {
    "urgent": t.Priority.URGENT,
    "normal": t.Priority.NORMAL,
    "batch": t.Priority.BATCH,
}
FIELDS = frozenset(
    {
        "account",
        "kind",
        "tasks",
        "size",
        "priority",
        "idempotent",
        "preemptible",
        "run_ms",
        "key",
        "job_template",
        "region",
        "payload",
    }
)
SIZE_FIELDS = ("millicores", "memory_bytes", "accelerators")
MAX_RESOURCE_AMOUNT = 2**50
MAX_ACCELERATORS = 2**20
MAX_RUN_MS = 366 * 24 * 3600 * 1000
MAX_PAYLOAD_BYTES = 32 * 1024


class _Bad(Exception):
    def __init__(self, field: str, detail: str, remedy: str, status: int = 400) -> None:
        super().__init__(detail)
        self.problem = problems.bad_field(field, detail, remedy, status=status)


def parse_job(
    text: bytes, *, account_header: str | None, key_header: str | None, cell: Cell, cfg: JobSettings
) -> Result[t.JobSpec, Problem]:
    """Validate a job submission.

    :param text: the JSON body.
    :param account_header: the account to use if the body has none; if both exist, they must match.
    :param key_header: the same for the idempotency key.
    :returns: the job, or a problem that names the first invalid field.
    """
    try:
        return Success(_parse(_document(text), account_header, key_header, cell, cfg))
    except _Bad as exc:
        return Failure(exc.problem)


def _document(text: bytes) -> Mapping[str, Any]:
    try:
        doc = json.loads(text, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as exc:
        raise _Bad("body", f"not JSON: {exc}"[:200], "Send one JSON object.") from exc
    if not isinstance(doc, dict):
        raise _Bad("body", "not an object", "Send one JSON object.")
    for name in doc:
        if name not in FIELDS:
            raise _Bad(name[:100], "no such field", f"Fields: {', '.join(sorted(FIELDS))}.")
    return doc


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number of JSON")


def _parse(
    doc: Mapping[str, Any],
    account_header: str | None,
    key_header: str | None,
    cell: Cell,
    cfg: JobSettings,
) -> t.JobSpec:
    account = _account(doc, account_header, cell)
    kind = _choice(doc, "kind", KINDS, None)
    default = PRIORITIES[cell.accounts[account].priority.name.lower()]
    return t.JobSpec(
        account=account,
        kind=kind,
        tasks=_integer(doc, "tasks", 1, low=1, high=cfg.max_tasks_per_job),
        size=_size(doc),
        priority=_choice(doc, "priority", PRIORITIES, default),
        idempotent=_boolean(doc, "idempotent", False),
        preemptible=_boolean(doc, "preemptible", False),
        run_ms=_integer(doc, "run_ms", 0, low=0, high=MAX_RUN_MS),
        key=_key(doc, key_header),
        job_template=_text(doc, "job_template", 128),
        region=_region(doc, cell),
        payload=_text(doc, "payload", MAX_PAYLOAD_BYTES),
    )


def _account(doc: Mapping[str, Any], header: str | None, cell: Cell) -> str:
    name = doc.get("account", header)
    if name is None:
        raise _Bad("account", "missing", "Name your account.")
    if not isinstance(name, str) or not NAME_PATTERN.match(name):
        remedy = "Use letters, digits, '.', '_' and '-', at most 128."
        raise _Bad("account", "not the form of a name", remedy)
    if name not in cell.accounts:
        remedy = "Check the name, or ask the operators to add the account."
        raise _Bad("account", f"there is no account {name!r}", remedy, status=403)
    if header is not None and header != name:
        raise _Bad("account", "body and Client-Account differ", "Name one account.")
    return name


def _key(doc: Mapping[str, Any], header: str | None) -> str | None:
    key = doc.get("key", header)
    if key is None:
        return None
    if not isinstance(key, str) or not KEY_PATTERN.match(key):
        raise _Bad("key", "not the form of a key", "Use 1 to 200 visible ASCII characters.")
    if header is not None and header != key:
        raise _Bad("key", "body and Idempotency-Key differ", "Give one key.")
    return key


def _choice(doc: Mapping[str, Any], name: str, choices: Mapping[str, Any], default: Any) -> Any:
    value = doc.get(name)
    if value is None and default is not None:
        return default
    if not isinstance(value, str) or value not in choices:
        raise _Bad(name, "missing or no such choice", f"Give {', '.join(choices)}.")
    return choices[value]


def _integer(
    doc: Mapping[str, Any], name: str, default: int | None, *, low: int, high: int, path: str = ""
) -> int:
    value = doc.get(name, default)
    field_path = path + name
    if isinstance(value, bool) or not isinstance(value, int):
        raise _Bad(field_path, "missing or not a whole number", f"Give {low} to {high}.")
    if not low <= value <= high:
        raise _Bad(field_path, "out of range", f"Give {low} to {high}.")
    return value


def _boolean(doc: Mapping[str, Any], name: str, default: bool) -> bool:
    value = doc.get(name, default)
    if not isinstance(value, bool):
        raise _Bad(name, "not true or false", "Give true or false.")
    return value


def _text(doc: Mapping[str, Any], name: str, max_bytes: int) -> str | None:
    value = doc.get(name)
    if value is None:
        return None
    if not isinstance(value, str):
        raise _Bad(name, "not a text", "Give a text.")
    try:
        length = len(value.encode())
    except UnicodeEncodeError as exc:
        raise _Bad(name, "not valid Unicode", "Give a text of valid Unicode.") from exc
    if length > max_bytes:
        raise _Bad(name, "too long", f"Give at most {max_bytes} bytes.")
    return value


def _region(doc: Mapping[str, Any], cell: Cell) -> str | None:
    region = _text(doc, "region", 128)
    if region and region not in cell.regions:
        raise _Bad("region", "no such region", f"Give one of: {', '.join(cell.regions)}.")
    return region or None


def _size(doc: Mapping[str, Any]) -> t.Resources:
    size = doc.get("size")
    if not isinstance(size, dict):
        raise _Bad("size", "missing or not an object", f"Give {', '.join(SIZE_FIELDS)}.")
    for name in size:
        if name not in SIZE_FIELDS:
            raise _Bad(f"size.{name}"[:100], "no such field", f"Fields: {', '.join(SIZE_FIELDS)}.")
    return t.Resources(
        millicores=_integer(
            size, "millicores", None, low=1, high=MAX_RESOURCE_AMOUNT, path="size."
        ),
        memory_bytes=_integer(
            size, "memory_bytes", None, low=1, high=MAX_RESOURCE_AMOUNT, path="size."
        ),
        accelerators=_integer(size, "accelerators", 0, low=0, high=MAX_ACCELERATORS, path="size."),
    )
