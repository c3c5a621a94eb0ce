"""Error answers in the problem+json format."""

from __future__ import annotations

import json
import math
from enum import StrEnum

from attrs import evolve, frozen

from rhubarbferry.conf.settings import RequestSettings

TYPE_PREFIX = "urn:rhubarbferry:problem:"
CONTENT_TYPE = "application/problem+json"
DEFAULT_RETRY_AFTER_S = 1.0


class Outcome(StrEnum):
    """The known execution state of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RUNNING = "running"


@frozen(kw_only=True, slots=True)
class Problem:
    """The final answer to a request that failed.

    :param status: HTTP status.
    :param type: short name, see docs/reference/http.md.
    :param outcome: whether the request was run.
    :param detail: description of the failure.
    :param remedy: what the caller can do.
    :param field: the invalid header or JSON field.
    :param retry_after_s: seconds after which the caller may retry.
    """

    status: int
    type: str
    outcome: Outcome
    detail: str
    remedy: str
    field: str = ""
    retry_after_s: float | None = None

    def body(self) -> bytes:
        """Return the problem document as JSON."""
        doc: dict[str, object] = {
            "type": TYPE_PREFIX + self.type,
            "title": self.type.replace("-", " "),
            "status": self.status,
            "outcome": self.outcome.value,
            "detail": self.detail,
            "remedy": self.remedy,
        }
        if self.field:
            doc["field"] = self.field
        if self.retry_after_s is not None:
            doc["retry_after_s"] = round(self.retry_after_s, 3)
        return json.dumps(doc).encode()

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers of the answer."""
        headers = [("content-type", CONTENT_TYPE), ("outcome", self.outcome.value)]
        if self.retry_after_s is not None:
            headers.append(("retry-after", str(max(1, math.ceil(self.retry_after_s)))))
        return headers

    def as_unknown(self) -> Problem:
        """Return the same problem with an unknown outcome, for a request that may have run."""
        return evolve(self, outcome=Outcome.UNKNOWN)


def bad_field(field: str, detail: str, remedy: str, *, status: int = 400) -> Problem:
    """Return the problem of an invalid header or JSON field."""
    return Problem(
        status=status,
        type="bad-field",
        outcome=Outcome.NOT_RUN,
        detail=f"{field}: {detail}",
        remedy=remedy,
        field=field,
    )


def unknown_account(name: str) -> Problem:
    """Return the problem of an account that is not in the configuration."""
    return Problem(
        status=403,
        type="unknown-account",
        outcome=Outcome.NOT_RUN,
        detail=f"Client-Account: there is no account {name!r}",
        remedy="Check the name, or ask the operators to add the account.",
        field="Client-Account",
    )


def unknown_service(name: str) -> Problem:
    """Return the problem of a service that is not in the configuration."""
    return Problem(
        status=404,
        type="unknown-service",
        outcome=Outcome.NOT_RUN,
        detail=f"service: there is no service {name!r}",
        remedy="Check the path, or ask the operators to add the service.",
        field="service",
    )


def body_too_large(limit: int, *, outcome: Outcome = Outcome.NOT_RUN) -> Problem:
    """Return the problem of a body that exceeds the size limit."""
    return Problem(
        status=413,
        type="body-too-large",
        outcome=outcome,
        detail=f"body: longer than {limit} bytes",
        remedy="Send a smaller body, or ask the operators to raise requests.max_body_bytes.",
        field="body",
    )


def truncated_body() -> Problem:
    """Return the problem of a body that ended early."""
    return bad_field("body", "it ended before it was whole", "Send the whole body again.")


def not_configured() -> Problem:
    """Return the problem of a cell without a configuration."""
    return Problem(
        status=503,
        type="not-configured",
        outcome=Outcome.NOT_RUN,
        detail="this process has no configuration yet",
        remedy="Come back shortly; operators: run `rhubarbferry apply`.",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def busy(detail: str, *, retry_after_s: float = DEFAULT_RETRY_AFTER_S) -> Problem:
    """Return the problem of a frontend that cannot accept another request now."""
    return Problem(
        status=503,
        type="busy",
        outcome=Outcome.NOT_RUN,
        detail=detail,
        remedy="Come back after the time in Retry-After.",
        retry_after_s=retry_after_s,
    )


def refused(reason: str, retry_after_s: float, *, limited: bool = False) -> Problem:
    """Return the problem of a request that the scheduler refused."""
    return Problem(
        status=429 if limited else 503,
        type="limit-reached" if limited else "refused",
        outcome=Outcome.NOT_RUN,
        detail=reason,
        remedy="Come back after the time in Retry-After.",
        retry_after_s=retry_after_s,
    )


def no_slot_in_time() -> Problem:
    """Return the problem of a deadline that passed before a slot became free."""
    return Problem(
        status=504,
        type="no-slot-in-time",
        outcome=Outcome.NOT_RUN,
        detail="the deadline passed before a runner had room",
        remedy="Send it again later, or with a longer Request-Timeout.",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def not_recorded_in_time() -> Problem:
    """Return the problem of a deadline that passed before the request was recorded."""
    return Problem(
        status=504,
        type="not-recorded-in-time",
        outcome=Outcome.NOT_RUN,
        detail="the deadline passed before the request was recorded",
        remedy="Send it again later, or with a longer Request-Timeout.",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def outcome_unknown(detail: str, *, timeout: bool, idempotent: bool) -> Problem:
    """Return the problem of a request that may or may not have been run."""
    remedy = (
        "It is idempotent: send it again."
        if idempotent
        else "Find out by other means whether it took effect; this key will not run again."
    )
    return Problem(
        status=504 if timeout else 502,
        type="outcome-unknown",
        outcome=Outcome.UNKNOWN,
        detail=detail,
        remedy=remedy,
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def key_running(retry_after_s: float) -> Problem:
    """Return the problem of a key whose first request is still in progress."""
    return Problem(
        status=409,
        type="key-running",
        outcome=Outcome.RUNNING,
        detail="a request with this Idempotency-Key is in progress",
        remedy="Come back with the same key for its recorded answer.",
        field="Idempotency-Key",
        retry_after_s=retry_after_s,
    )


def key_outcome_unknown() -> Problem:
    """Return the problem of a key whose first request has an unknown outcome."""
    return Problem(
        status=409,
        type="key-outcome-unknown",
        outcome=Outcome.UNKNOWN,
        detail="the outcome of the request with this Idempotency-Key is unknown",
        remedy="Find out by other means whether it took effect; this key will not run again.",
        field="Idempotency-Key",
    )


def key_mismatch() -> Problem:
    """Return the problem of a key that was used for another request."""
    return Problem(
        status=422,
        type="key-mismatch",
        outcome=Outcome.NOT_RUN,
        detail="Idempotency-Key: it was used before for another request",
        remedy="Use a new key for a new request.",
        field="Idempotency-Key",
    )


def answer_not_kept(status: int) -> Problem:
    """Return the problem of a duplicate whose recorded answer was too large to keep."""
    return Problem(
        status=410,
        type="answer-not-kept",
        outcome=Outcome.DONE,
        detail=f"the request was run and answered {status}; the answer was too large to keep",
        remedy="Read the result by other means; do not send the request under a new key.",
        field="Idempotency-Key",
    )


def timeout_remedy(cfg: RequestSettings) -> str:
    """Return the remedy for an invalid Request-Timeout."""
    return f"Give seconds above 0 and at most {cfg.max_timeout_s:g}, such as 2.5."
