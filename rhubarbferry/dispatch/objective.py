"""How much a waiting step can still gain for its client by being started now."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum

from attrs import frozen

from rhubarbferry.dispatch.messages import StepRequest

# A job that ends within this many times its objective is late; after that nobody waits for it.
LATE_FACTOR = 3.0


class Urgency(IntEnum):
    """In which order steps are started, before priority and arrival.

    After an outage or in a burst more waits than can be done in time. In order of arrival every
    job would then wait until it is late; those that still can be done in time go first, so that
    fewer are late and the last of the backlog is what gains least.
    """

    IN_TIME = 0
    LATE = 1
    MISSED = 2


@frozen(kw_only=True, slots=True)
class Standing:
    """A step's urgency, and until when it holds (``inf`` for good)."""

    urgency: Urgency
    until: float


def tails(steps: Sequence[StepRequest]) -> tuple[float, ...]:
    """Return for each step the longest chain of estimates from its start to the job's end."""
    found = [step.estimate_s for step in steps]
    # A step names earlier ones only, so those after it have been worked in by its turn.
    for index in range(len(steps) - 1, -1, -1):
        for before in steps[index].after:
            found[before] = max(found[before], steps[before].estimate_s + found[index])
    return tuple(found)


def standing(*, due_at: float, objective_s: float, tail_s: float, now: float) -> Standing:
    """Return what a step can still gain.

    :param due_at: when its job came in, or its time came.
    :param objective_s: by when the job is to be done after that.
    :param tail_s: expected time from the step's start to the end of its job.
    """
    in_time_until = due_at + objective_s - tail_s
    if now <= in_time_until:
        return Standing(urgency=Urgency.IN_TIME, until=in_time_until)
    late_until = due_at + LATE_FACTOR * objective_s - tail_s
    if now <= late_until:
        return Standing(urgency=Urgency.LATE, until=late_until)
    return Standing(urgency=Urgency.MISSED, until=float("inf"))
