"""Calls to the owner of the work, in its own process or from another."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from rhubarbferry.dispatch.job import JobPhase


@frozen(kw_only=True, slots=True)
class AcceptedJob:
    """A job that now stands in the store.

    :param record: the value of its request.
    :param revision: the store's revision that holds it.
    :param fence: the ownership that was in force at that revision.
    """

    id: str
    record: bytes
    revision: int
    fence: int


class OwnedWork(Protocol):
    """What the owner's term answers, asked in its own process or by another."""

    def pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not begun, or ``None`` when not known."""
        ...

    def phase(self, id: str) -> JobPhase | None:
        """Return the phase of a job, or ``None`` when it is not known here."""
        ...

    def accepted(self, job: AcceptedJob) -> bool:
        """Take on a job that was accepted under this ownership; return whether that is so."""
        ...
