"""Interface that the owner of the cell offers to its own and to other processes."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from rhubarbferry.dispatch.admission import LoadSummary
from rhubarbferry.dispatch.job import JobStatus
from rhubarbferry.rpc.gen.ttypes import KnownLoad
from rhubarbferry.rpc.gen.ttypes import LoadSummary as WireLoadSummary


class OwnerLoad(Protocol):
    """Summaries of the load that a term of ownership makes."""

    @property
    def latest(self) -> LoadSummary | None:
        """The latest one, ``None`` while there is none."""
        ...

    def newer_than(self, known: KnownLoad) -> WireLoadSummary | None:
        """Return the latest one, encoded, if it is not the one that the caller has."""
        ...


@frozen(kw_only=True, slots=True)
class AcceptedJob:
    """A job that has been accepted and written to the store.

    :param record: stored value of its request.
    :param revision: store revision at which it was written.
    :param fence: fence of the ownership that was in force at that revision.
    """

    id: str
    record: bytes
    revision: int
    fence: int


class OwnerCalls(Protocol):
    """Queries and notifications that a term of ownership serves."""

    @property
    def loaded(self) -> bool:
        """Whether all jobs in progress at the takeover have been read."""
        ...

    def knows(self, id: str) -> bool | None:
        """Return whether a job exists, ``None`` while the owner can't tell."""
        ...

    @property
    def load(self) -> OwnerLoad:
        """Summaries of the load of the cell."""
        ...

    def pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not started, or ``None`` if unknown."""
        ...

    def status(self, id: str) -> JobStatus | None:
        """Return the status of a job, or ``None`` if unknown."""
        ...

    def add_accepted(self, job: AcceptedJob) -> bool:
        """Add a job that was accepted under this ownership; return whether it was added."""
        ...
