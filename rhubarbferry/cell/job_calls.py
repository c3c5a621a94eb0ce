"""What clients may do with jobs, whichever way the store is reached."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.record import JobRecord


class Accepted(Enum):
    """What has become of a submission."""

    YES = "accepted"
    NO = "not accepted, and it never runs"
    UNCLEAR = "may have been accepted"


class Cancelled(Enum):
    """What has become of a cancellation."""

    YES = "cancelled or ended"
    UNKNOWN_JOB = "no such job"
    NOT_NOW = "the store is not reached"


class PhaseUnknown(Exception):
    """The state of a job can't be read now. Try again after a pause."""


class JobCalls(Protocol):
    """Calls of clients about jobs."""

    async def submit(self, record: JobRecord, *, deadline: float) -> Accepted:
        """Accept a job for good, or say truthfully what is known.

        :param deadline: monotonic time by which the client must have its answer.
        """
        ...

    async def phase(self, id: str) -> JobPhase | None:
        """Return the phase of a job, or ``None`` when there is no such job.

        :raises PhaseUnknown: when it can't be read now.
        """
        ...

    async def cancel(self, id: str, *, deadline: float) -> Cancelled:
        """Record that a job is to be stopped; the owner of the work sees it in the store."""
        ...
