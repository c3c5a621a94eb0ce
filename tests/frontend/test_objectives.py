import pytest

from rhubarbferry.core.cell import Objective
from rhubarbferry.frontend.objectives import objective_event
from rhubarbferry.frontend.problems import Outcome
from rhubarbferry.reports.burn import EventKind


@pytest.mark.parametrize(
    ("outcome", "status", "start_wait_s", "waited_s", "caller_gone", "expected"),
    [
        (Outcome.DONE, 200, 0.1, 3.0, False, EventKind.GOOD),
        (Outcome.DONE, 404, 0.1, 3.0, False, EventKind.GOOD),
        (Outcome.DONE, 200, 1.5, 3.0, False, EventKind.LATE),
        (Outcome.DONE, 200, None, 3.0, False, None),
        (Outcome.UNKNOWN, 502, 0.1, 3.0, False, EventKind.UNKNOWN),
        (Outcome.UNKNOWN, 200, 0.1, 3.0, False, EventKind.UNKNOWN),
        (Outcome.UNKNOWN, 409, None, 0.0, False, None),
        (Outcome.NOT_RUN, 503, None, 0.1, False, EventKind.REFUSED),
        (Outcome.NOT_RUN, 504, None, 9.0, False, EventKind.REFUSED),
        (Outcome.NOT_RUN, 503, 0.2, 0.4, False, EventKind.REFUSED),
        (Outcome.NOT_RUN, 429, None, 0.1, False, None),
        (Outcome.NOT_RUN, 413, None, 0.1, False, None),
        (Outcome.NOT_RUN, 503, None, 0.1, True, None),
        (Outcome.NOT_RUN, 503, None, 1.5, True, EventKind.LATE),
        (Outcome.RUNNING, 409, None, 0.1, False, None),
    ],
)
def test_objective_event(
    outcome: Outcome,
    status: int,
    start_wait_s: float | None,
    waited_s: float,
    caller_gone: bool,
    expected: EventKind | None,
) -> None:
    found = objective_event(
        outcome=outcome,
        status=status,
        start_wait_s=start_wait_s,
        waited_s=waited_s,
        caller_gone=caller_gone,
        objective=Objective(wait_ms=1000),
    )
    assert found is expected
