"""Urgency of a step, from the objective of its job and the work that remains."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum

from attrs import frozen

from rhubarbferry.dispatch.messages import StepRequest

# A job that ends within this multiple of its objective counts as late; after that its client is
# assumed to have stopped waiting for it.
LATE_FACTOR = 3.0


class Urgency(IntEnum):
    """Class in which a step is scheduled, before its priority and arrival time.

    After an outage or in a burst, more steps wait than can be done in time. If they were scheduled
    in the order of their arrival, every job would wait until it is late. So steps that can still be
    done in time come first, then those that can still be done late, and last those that can no
    longer end before their clients stop waiting.
    """

    IN_TIME = 0
    LATE = 1
    MISSED = 2


@frozen(kw_only=True, slots=True)
class UrgencyPeriod:
    """Urgency of a step and the time until which it applies (``inf`` if it does not change)."""

    urgency: Urgency
    until: float


def critical_paths(steps: Sequence[StepRequest]) -> tuple[float, ...]:
    """Return for each step the longest chain of estimates from its start to the end of the job."""
    paths = [step.estimate_s for step in steps]
    # Steps depend on earlier ones only, so in reverse order each step is processed after all steps
    # that depend on it.
    for index in range(len(steps) - 1, -1, -1):
        for preceding in steps[index].after:
            paths[preceding] = max(paths[preceding], steps[preceding].estimate_s + paths[index])
    return tuple(paths)


def classify_urgency(
    *, due_at: float, objective_s: float, critical_path_s: float, now: float
) -> UrgencyPeriod:
    """Return the urgency of a step.

    :param due_at: when its job was accepted or its occurrence was due.
    :param objective_s: time after ``due_at`` within which the job should be done.
    :param critical_path_s: expected time from the step's start to the end of its job.
    """
    in_time_until = due_at + objective_s - critical_path_s
    if now <= in_time_until:
        return UrgencyPeriod(urgency=Urgency.IN_TIME, until=in_time_until)
    late_until = due_at + LATE_FACTOR * objective_s - critical_path_s
    if now <= late_until:
        return UrgencyPeriod(urgency=Urgency.LATE, until=late_until)
    return UrgencyPeriod(urgency=Urgency.MISSED, until=float("inf"))
