"""A dispatcher with simulated hosts that tests control."""

from __future__ import annotations

from attrs import Factory, define

from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.job import Job
from rhubarbferry.dispatch.messages import (
    ApprovalRequest,
    EndedTask,
    EndKind,
    HostEntry,
    HostReport,
    JobRequest,
    Order,
    Queue,
    RunningTask,
    Sizes,
    Started,
    StartOrder,
    StepRequest,
    StopOrder,
)
from rhubarbferry.dispatch.takeover import RosterEntry, Takeover

LEASE_S = 6.0
CORES = 1000
QUEUE = Queue(name="queue", service="pool", attempts=3)


def entry(id: str, *, millicores: int = 8 * CORES, incarnation: int = 1, **fields) -> HostEntry:
    return HostEntry(
        id=id,
        incarnation=incarnation,
        service="pool",
        address=f"{id}:1",
        capacity=Sizes(millicores=millicores, memory_mb=64_000),
        **fields,
    )


def step(
    count: int = 1, *, millicores: int = CORES, estimate: float = 1.0, **fields
) -> StepRequest:
    sizes = Sizes(millicores=millicores, memory_mb=100)
    return StepRequest(count=count, sizes=sizes, estimate_s=estimate, **fields)


def job(id: str, *steps: StepRequest, queue: Queue = QUEUE, **fields) -> Job:
    return Job(
        req=JobRequest(id=id, queue=queue.name, payload="work", steps=steps),
        queue=queue,
        arrived_at=fields.pop("arrived_at", 0.0),
        record_revision=1,
        **fields,
    )


@define
class SimulatedHost:
    """A simulated host: the runs that it reports as active and as ended."""

    id: str
    incarnation: int = 1
    clock_offset: float = 100.0
    running: dict = Factory(dict)
    ended: list = Factory(list)
    end_count: int = 0

    def run(self, order: StartOrder, percent: float = 0.0) -> None:
        self.running[(order.task, order.attempt)] = RunningTask(
            task=order.task, attempt=order.attempt, percent=percent
        )

    def end(self, order, how: EndKind = EndKind.DONE, checkpoint: str = "") -> None:
        self.running.pop((order.task, order.attempt), None)
        self.end_count += 1
        self.ended.append(
            EndedTask(
                number=self.end_count,
                task=order.task,
                attempt=order.attempt,
                how=how,
                checkpoint=checkpoint,
            )
        )

    def report(self, now: float) -> HostReport:
        return HostReport(
            clock_s=now + self.clock_offset,
            incarnation=self.incarnation,
            running=tuple(self.running.values()),
            ended=tuple(self.ended),
        )


class World:
    """A dispatcher, its hosts, and a clock that the test advances.

    :ivar clock_error_s: error of the owner's time of day.
    """

    def __init__(self, *hosts: str, roster: tuple[str, ...] = (), **fields) -> None:
        self.now = 10.0
        self.clock_error_s = 0.0
        self.dispatcher = Dispatcher(
            takeover=Takeover(
                unconfirmed={
                    id: RosterEntry(id=id, address=f"{id}:1", incarnation=1, service="pool")
                    for id in roster
                },
                leases_expire_at=self.now + 9.0,
            ),
            lease_s=LEASE_S,
        )
        self.hosts: dict[str, SimulatedHost] = {}
        for id in hosts:
            self.add_host(id, **fields)

    @property
    def wall_s(self) -> float:
        return self.now + self.clock_error_s

    def add_host(self, id: str, **fields) -> SimulatedHost:
        self.hosts[id] = SimulatedHost(id=id)
        self.dispatcher.host_listed(entry(id, **fields), now=self.now)
        self.deliver_reports(id)
        return self.hosts[id]

    def deliver_reports(self, *ids: str) -> None:
        for id in ids or tuple(self.hosts):
            host = self.dispatcher.tracker.hosts.get(id)
            if host is None:
                continue
            host.extend_leases(self.now, LEASE_S)
            self.dispatcher.handle_report(
                id, self.hosts[id].report(self.now), sent_at=self.now, now=self.now
            )

    def add(self, item: Job) -> Job:
        self.dispatcher.add_job(item, now=self.now, wall_s=self.wall_s)
        return item

    def decide(self, seconds: float = 0.0, **limits) -> list[Order]:
        self.now += seconds
        return self.dispatcher.decide(now=self.now, wall_s=self.wall_s, **limits)

    def starts(self, seconds: float = 0.0) -> list[StartOrder]:
        return [order for order in self.decide(seconds) if isinstance(order, StartOrder)]

    def accept(self, *orders: StartOrder) -> None:
        """Run start orders on their hosts and report success to the dispatcher."""
        for order in orders:
            self.hosts[order.host].run(order)
            self.answer(order, Started(clock_s=self.now + 100.0))

    def answer(self, order: StartOrder, result) -> None:
        self.dispatcher.start_answered(order.host, order.task, order.attempt, result, now=self.now)


__all__ = ["ApprovalRequest", "StopOrder", "World", "entry", "job", "step"]
