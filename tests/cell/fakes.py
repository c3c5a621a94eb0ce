"""Fakes and builders shared by the unit tests of the cell."""

from __future__ import annotations

from types import SimpleNamespace

from attrs import Factory, define

from rhubarbferry.cell.members import Member
from rhubarbferry.dispatch.messages import JobRequest, Queue, Sizes, StepRequest
from rhubarbferry.dispatch.record import JobRecord
from rhubarbferry.ports.clock import SystemClock

QUEUE = Queue(name="queue", service="pool")


@define
class FakeEventLog:
    """Fake event log that keeps the emitted events."""

    events: list[tuple[str, dict]] = Factory(list)

    def emit(self, event: str, **fields) -> None:
        self.events.append((event, fields))

    def outcomes(self, event: str) -> list:
        return [fields.get("outcome") for name, fields in self.events if name == event]


def lines(log: FakeEventLog, event: str) -> list[dict]:
    """Return the fields of the lines of an event."""
    return [fields for name, fields in log.events if name == event]


def member(name: str, *, address: str = "", **fields: float) -> Member:
    return Member(
        name=name,
        address=address or f"{name}:1",
        region="region",
        failure_domain="domain",
        **fields,
    )


def record(id: str, **fields) -> JobRecord:
    step = StepRequest(count=1, sizes=Sizes(millicores=1000, memory_mb=100), estimate_s=1.0)
    req = JobRequest(id=id, queue=QUEUE.name, payload="work", steps=(step,))
    return JobRecord(req=req, queue=QUEUE, **fields)


def keeper_of(lease, **fields) -> SimpleNamespace:
    """Return a fake lease keeper with a lease that does not end."""
    return SimpleNamespace(
        clock=SystemClock(),
        valid_lease=lambda: lease,
        kept_lease=lambda: lease,
        acts_for_s=lambda lease_id: 1.0,
        answered_at=float("-inf"),
        **fields,
    )
