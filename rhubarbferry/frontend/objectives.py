"""Classify finished requests for the service level objectives of their accounts."""

from __future__ import annotations

from rhubarbferry.core.cell import Objective
from rhubarbferry.frontend.problems import Outcome
from rhubarbferry.reports.burn import EventKind
from rhubarbferry.reports.events import classify_start

MIN_SERVER_ERROR_STATUS = 500


def objective_event(
    *,
    outcome: Outcome,
    status: int,
    start_wait_s: float | None,
    waited_s: float,
    caller_gone: bool,
    objective: Objective,
) -> EventKind | None:
    """Return the event that a request counts as, or ``None`` if it does not count.

    Failures caused by the caller do not count: an invalid field, its own rate limit or a reused
    key. Neither do recorded answers, because no request was run for them.

    :param start_wait_s: seconds from arrival until the request was last sent to a runner;
        ``None`` if it never was.
    :param waited_s: seconds from arrival until the end of the request.
    """
    match outcome:
        case Outcome.DONE if start_wait_s is not None:
            return classify_start(start_wait_s, objective)
        case Outcome.UNKNOWN if start_wait_s is not None:
            return EventKind.UNKNOWN
        case Outcome.NOT_RUN if caller_gone:
            # A request that its caller cancelled counts as late if it waited too long. Otherwise an
            # overload in which all callers cancel would look like a healthy cell.
            late = classify_start(waited_s, objective) is EventKind.LATE
            return EventKind.LATE if late else None
        case Outcome.NOT_RUN if status >= MIN_SERVER_ERROR_STATUS:
            return EventKind.REFUSED
        case _:
            return None
