"""Interface of the clients' calls about jobs, independent of the path to the store."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from rhubarbferry.dispatch.job import JobStatus
from rhubarbferry.dispatch.record import JobRecord


class Accepted(Enum):
    """Result of a submission."""

    YES = "accepted"
    NO = "not accepted, and it never runs"
    ID_TAKEN = "not accepted: a job of another account has this id"
    UNCLEAR = "may have been accepted"


class Cancelled(Enum):
    """Result of a cancellation."""

    YES = "cancelled or ended"
    UNKNOWN_JOB = "no such job"
    NOT_NOW = "the store is not reached"


class PhaseUnknown(Exception):
    """The phase of a job can't be read at present; the call may be retried later."""


class JobCalls(Protocol):
    """Calls that clients make about jobs."""

    async def submit(self, record: JobRecord, *, deadline: float) -> Accepted:
        """Accept a job durably, or report whether it may have been accepted.

        :param deadline: monotonic time by which the client must have its answer.
        """
        ...

    async def status(self, id: str) -> JobStatus | None:
        """Return the status of a job, or ``None`` when there is no such job.

        :raises PhaseUnknown: when the status can't be read at present.
        """
        ...

    async def cancel(self, id: str, *, account: str | None, deadline: float) -> Cancelled:
        """Record the cancellation of a job; the owner of the cell reads it from the store.

        :param account: account of the caller, which can't cancel the jobs of other accounts;
            ``None`` to cancel the job of any account.
        :param deadline: monotonic time by which the client must have its answer.
        """
        ...
