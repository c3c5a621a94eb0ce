"""What the tasks of one term of ownership share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field, frozen

from rhubarbferry.cell import keys
from rhubarbferry.cell.following import PrefixFollower
from rhubarbferry.cell.lease import LeaseKeeper
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.members import CellView, Member
from rhubarbferry.cell.peers import PeerClient
from rhubarbferry.cell.routes import RouteTable
from rhubarbferry.cell.settings import CellSettings
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import Expect, TxnStore
from rhubarbferry.ports.workers import HostDirectory, PolicyService, WorkerCalls


class OwnershipLost(Exception):
    """This process no longer owns the work, or can't be sure that it does."""


@define(kw_only=True, eq=False)
class Tenure:
    """Whether this process owns the work, by the lease that it won it under.

    :param fence: the store's revision of the owner's key.
    :ivar handed_over: whether another process has replaced the key at this one's request.
    """

    keeper: LeaseKeeper
    lease_id: int
    fence: int
    ended: str = ""
    handed_over: bool = False

    def holds(self) -> bool:
        """Tell whether it may act now. Ask right before each act, with nothing awaited between."""
        lease = self.keeper.held()
        return not self.ended and lease is not None and lease.id == self.lease_id

    def check(self) -> None:
        """Return if it may act now.

        :raises OwnershipLost: if not.
        """
        if not self.holds():
            raise OwnershipLost(self.ended or "the lease was not extended in time")

    def end(self, reason: str) -> None:
        """Note that the ownership is lost."""
        self.ended = self.ended or reason

    def condition(self) -> Expect:
        """Return the condition that each write of the owner carries."""
        return Expect(key=keys.OWNER, revision=self.fence)


@frozen(kw_only=True)
class Surroundings:
    """What a process has, whether it owns the work or not.

    :param lag_s: returns how many seconds this process is behind.
    """

    cfg: CellSettings
    clock: Clock
    store: TxnStore
    log: EventLog
    own: Member
    view: CellView
    keeper: LeaseKeeper
    workers: WorkerCalls
    directory: HostDirectory
    policy: PolicyService | None
    peers: PeerClient
    routes: Callable[[], RouteTable | None]
    lag_s: Callable[[], float]

    def follow(self, prefix: str) -> PrefixFollower:
        """Return a follower of the keys under a prefix."""
        return PrefixFollower(
            clock=self.clock,
            store=self.store,
            log=self.log,
            prefix=prefix,
            history_s=self.cfg.bounds.history_s,
        )


@define(kw_only=True, eq=False)
class TermContext:
    """State of one term. Its tasks run on one event loop and change it between awaits only.

    :ivar wake: set when there may be something to decide.
    :ivar record: set when there may be something to write.
    :ivar job_ended: set when a job has ended, as its client waits for that.
    :ivar removable: jobs on record as ended whose requests can be removed.
    """

    around: Surroundings
    tenure: Tenure
    dispatcher: Dispatcher
    wake: asyncio.Event = field(factory=asyncio.Event)
    record: asyncio.Event = field(factory=asyncio.Event)
    job_ended: asyncio.Event = field(factory=asyncio.Event)
    removable: list[str] = field(factory=list)

    def note_changes(self) -> None:
        """Have what has changed about jobs written."""
        dirty = self.dispatcher.dirty
        if dirty:
            self.record.set()
        if any(job.phase.final for job in dirty.values()):
            self.job_ended.set()

    def now(self) -> float:
        """Return the time."""
        return self.around.clock.monotonic()
