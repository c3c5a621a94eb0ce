"""Parse and validate the request headers of the frontend."""

from __future__ import annotations

import math
import re
import secrets
from collections.abc import Sequence

from attrs import frozen
from returns.result import Failure, Result, Success

from rhubarbferry.conf.settings import RequestSettings
from rhubarbferry.core.cell import PriorityClass
from rhubarbferry.frontend import problems
from rhubarbferry.frontend.problems import Problem

RawHeaders = Sequence[tuple[bytes, bytes]]

ACCOUNT = "Client-Account"
KEY = "Idempotency-Key"
IDEMPOTENT = "Idempotent"
PRIORITY = "Priority"
TIMEOUT = "Request-Timeout"
REQUEST_ID = "Request-Id"
OUTCOME = "Outcome"
# Set by a frontend that forwards a request to another region; its value is that region's name.
PASSED_TO_REGION = "Passed-To-Region"

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}\Z")
REQUEST_ID_PATTERN = re.compile(rb"[0-9a-f]{32}\Z")
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}\Z")
# The idempotent methods of RFC 9110.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_CONSUMED_HEADERS = frozenset(
    {
        "client-account",
        "content-length",
        "host",
        "idempotency-key",
        "passed-to-region",
        "request-id",
        "request-timeout",
    }
)


class _Bad(Exception):
    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


@frozen(kw_only=True, slots=True)
class RequestSpec:
    """A caller's request after validation.

    :param target: raw path and query for the runner.
    :param key: the caller's idempotency key, or a generated one if the request is not idempotent.
    :param priority: ``None`` selects the account's default class.
    :param timeout_s: seconds from arrival to the deadline.
    :param content_length: ``None`` when the body is chunked.
    :param headers: headers that are forwarded to the runner.
    """

    request_id: str
    account: str
    service: str
    method: str
    target: str
    idempotent: bool
    key: str
    priority: PriorityClass | None
    timeout_s: float
    content_length: int | None
    headers: tuple[tuple[str, str], ...]


def new_id() -> str:
    """Return a random id for a request or an idempotency key."""
    return secrets.token_hex(16)


def request_id_of(raw: RawHeaders) -> str:
    """Return the id sent by a forwarding frontend, or a new id for any other request."""
    headers = dict(raw)
    given = headers.get(b"request-id", b"")
    if b"passed-to-region" in headers and REQUEST_ID_PATTERN.match(given):
        return given.decode()
    return new_id()


def is_forwarded(raw: RawHeaders) -> bool:
    """Return whether another frontend forwarded the request."""
    return any(name == b"passed-to-region" for name, _ in raw)


def parse_request(
    *,
    method: str,
    service: str,
    target: str,
    raw: RawHeaders,
    cfg: RequestSettings,
    request_id: str,
) -> Result[RequestSpec, Problem]:
    """Validate the headers of a service request.

    :param raw: the received headers; names are in lower case.
    :returns: the request, or a problem that names the first invalid field.
    """
    try:
        return Success(_parse(method, service, target, raw, cfg, request_id))
    except _Bad as exc:
        return Failure(exc.problem)


def _parse(
    method: str, service: str, target: str, raw: RawHeaders, cfg: RequestSettings, request_id: str
) -> RequestSpec:
    idempotent = _idempotent(raw, method)
    key = _key(raw)
    return RequestSpec(
        request_id=request_id,
        account=account_of(raw),
        service=service,
        method=method,
        target=target,
        idempotent=idempotent,
        key=key or ("" if idempotent else new_id()),
        priority=_priority(raw),
        timeout_s=_timeout(raw, cfg),
        content_length=_content_length(raw, cfg),
        headers=_forwarded_headers(raw),
    )


def single_header(raw: RawHeaders, name: str) -> str | None:
    """Return the value of a header, which may occur at most once."""
    lower_name = name.lower().encode()
    values = [value for key, value in raw if key == lower_name]
    if len(values) > 1:
        raise _Bad(problems.bad_field(name, "given more than once", "Give it once."))
    return values[0].decode("latin-1").strip() if values else None


def account_of(raw: RawHeaders) -> str:
    """Return the client account in the request headers."""
    value = single_header(raw, ACCOUNT)
    if value is None:
        raise _Bad(problems.bad_field(ACCOUNT, "missing", f"Name your account in {ACCOUNT}."))
    if not NAME_PATTERN.match(value):
        remedy = "Use letters, digits, '.', '_' and '-', at most 128."
        raise _Bad(problems.bad_field(ACCOUNT, "not the form of a name", remedy))
    return value


def _key(raw: RawHeaders) -> str:
    value = single_header(raw, KEY)
    if value is None:
        return ""
    if not KEY_PATTERN.match(value):
        remedy = "Use 1 to 200 visible ASCII characters."
        raise _Bad(problems.bad_field(KEY, "not the form of a key", remedy))
    return value


def _idempotent(raw: RawHeaders, method: str) -> bool:
    match single_header(raw, IDEMPOTENT):
        case None:
            return method in IDEMPOTENT_METHODS
        case "true":
            return True
        case "false":
            return False
        case _:
            raise _Bad(problems.bad_field(IDEMPOTENT, "not true or false", "Give true or false."))


def _priority(raw: RawHeaders) -> PriorityClass | None:
    value = single_header(raw, PRIORITY)
    if value is None:
        return None
    try:
        return PriorityClass[value.upper()]
    except KeyError:
        remedy = "Give urgent, normal or batch."
        raise _Bad(problems.bad_field(PRIORITY, "no such class", remedy)) from None


def _timeout(raw: RawHeaders, cfg: RequestSettings) -> float:
    value = single_header(raw, TIMEOUT)
    if value is None:
        return cfg.default_timeout_s
    try:
        seconds = float(value)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= cfg.max_timeout_s:
        remedy = problems.timeout_remedy(cfg)
        raise _Bad(problems.bad_field(TIMEOUT, "not a usable time", remedy))
    return seconds


def _content_length(raw: RawHeaders, cfg: RequestSettings) -> int | None:
    value = single_header(raw, "Content-Length")
    if single_header(raw, "Transfer-Encoding") is not None:
        return None
    if value is None:
        return 0
    if not (value.isascii() and value.isdigit()):
        raise _Bad(problems.bad_field("Content-Length", "not a count of bytes", "Give digits."))
    length = int(value)
    if length > cfg.max_body_bytes:
        raise _Bad(problems.body_too_large(cfg.max_body_bytes))
    return length


def _forwarded_headers(raw: RawHeaders) -> tuple[tuple[str, str], ...]:
    connection_options = single_header(raw, "Connection") or ""
    dropped = (
        {part.strip().lower() for part in connection_options.split(",")}
        | HOP_BY_HOP
        | _CONSUMED_HEADERS
    )
    decoded = ((name.decode("latin-1"), value.decode("latin-1")) for name, value in raw)
    return tuple((name, value) for name, value in decoded if name not in dropped)
