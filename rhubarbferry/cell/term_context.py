"""State and collaborators shared by the tasks of one term of ownership."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

from attrs import define, field, frozen

from rhubarbferry.cell import keys
from rhubarbferry.cell.lease import LeaseKeeper
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.members import CellView, Member
from rhubarbferry.cell.peers import PeerClient
from rhubarbferry.cell.prefix_watch import PrefixWatcher
from rhubarbferry.cell.routes import RouteTable
from rhubarbferry.cell.settings import AdmissionSettings, CellSettings
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import Expect, TxnStore
from rhubarbferry.ports.workers import HostDirectory, PolicyService, WorkerCalls


class OwnershipLost(Exception):
    """This process is no longer the owner of the cell, or can't be certain that it is."""


class EndSignal(enum.Enum):
    """By what a process notices that its ownership has ended."""

    OWN = "own decision"
    WATCH = "watch"
    LISTING = "listing"
    CONFLICT = "conflict"
    FENCE = "stale fence"
    LEASE = "lease"


@define(kw_only=True, eq=False)
class Tenure:
    """This process's ownership of the cell, which ends with its lease at the latest.

    :param keeper: holds and extends the lease.
    :param lease_id: lease that the owner's key is attached to.
    :param fence: store revision of the owner's key.
    :ivar ended: why the ownership ended, empty while it has not.
    :ivar handed_over: whether another process has replaced the key at this process's request.
    :ivar noticed_by: by what the end was noticed.
    :ivar ended_at: when the end was noticed.
    :ivar acted_for_s: how long its lease still allowed this process to act at that time.
    """

    keeper: LeaseKeeper
    lease_id: int
    fence: int
    ended: str = ""
    handed_over: bool = False
    noticed_by: EndSignal = EndSignal.OWN
    ended_at: float | None = None
    acted_for_s: float = 0.0

    def holds(self) -> bool:
        """Return whether this process may act as the owner now.

        Call it immediately before each action of the owner, with no ``await`` in between.
        """
        lease = self.keeper.valid_lease()
        return not self.ended and lease is not None and lease.id == self.lease_id

    def acts_for_s(self) -> float:
        """Return how long its lease still allows this process to act, whether or not it has ended.

        It is negative once the lease does not.
        """
        return self.keeper.acts_for_s(self.lease_id)

    def check(self) -> None:
        """Check that this process may still be the owner, whether or not it may act now.

        :raises OwnershipLost: if it is no longer the owner.
        """
        lease = self.keeper.kept_lease()
        if lease is None or lease.id != self.lease_id:
            # A renewal that is answered late must not revive a term whose tasks are being stopped.
            self.end("the lease was not extended in time", by=EndSignal.LEASE)
        if self.ended:
            raise OwnershipLost(self.ended)

    def end(self, reason: str, *, by: EndSignal = EndSignal.OWN) -> None:
        """Mark the ownership as lost; the first reason is kept."""
        if self.ended:
            return
        self.ended = reason
        self.noticed_by = by
        self.ended_at = self.keeper.clock.monotonic()
        self.acted_for_s = self.acts_for_s()

    def condition(self) -> Expect:
        """Return the condition that every write by the owner includes."""
        return Expect(key=keys.OWNER, revision=self.fence)


@frozen(kw_only=True)
class ProcessContext:
    """Settings and collaborators of a process, whether or not it is the owner.

    :param own: this process as a member of the cell.
    :param policy: ``None`` when no policy service is configured.
    :param routes: returns the routes in force, ``None`` until a configuration has been read.
    :param lag_s: returns the recent lag of the event loop in seconds.
    :param admission: returns the settings of admission in force.
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
    admission: Callable[[], AdmissionSettings] = AdmissionSettings

    def watch_prefix(self, prefix: str) -> PrefixWatcher:
        """Return a watcher of the keys under a prefix."""
        return PrefixWatcher(
            clock=self.clock,
            store=self.store,
            log=self.log,
            prefix=prefix,
            history_s=self.cfg.bounds.history_s,
        )


@define(kw_only=True, eq=False)
class TermContext:
    """State of one term of ownership.

    Its tasks run on one event loop, so state that is changed without an ``await`` in between
    stays consistent.

    :ivar wake: set when there may be a scheduling decision to make.
    :ivar record: set when there may be changes of jobs to write to the store.
    :ivar job_ended: set when a job has ended, so that its end is written without delay for the
        client that waits for it.
    :ivar removable: ids of jobs recorded as ended, whose requests can be removed from the store.
    """

    process: ProcessContext
    tenure: Tenure
    dispatcher: Dispatcher
    wake: asyncio.Event = field(factory=asyncio.Event)
    record: asyncio.Event = field(factory=asyncio.Event)
    job_ended: asyncio.Event = field(factory=asyncio.Event)
    removable: list[str] = field(factory=list)

    def note_changes(self) -> None:
        """Request that changed jobs are written to the store."""
        dirty = self.dispatcher.dirty
        if dirty:
            self.record.set()
        if any(job.phase.final for job in dirty.values()):
            self.job_ended.set()

    def fence_is_current(self, host: Host, fence: int) -> bool:
        """Return whether calls to a host still have a fence number.

        They have another one, or none yet, once its restart has been noticed.
        """
        return self.dispatcher.tracker.hosts.get(host.id) is host and host.fence == fence

    def handle_stale_fence(self, id: str, fence: int, reason: str) -> None:
        """End the ownership if a host has refused a call because of a later owner's call.

        The host may as well have refused a call that was meant for its earlier incarnation.

        :param id: id of the host.
        :param fence: fence number of the refused call.
        """
        host = self.dispatcher.tracker.hosts.get(id)
        if host is not None and host.fence == fence:
            self.tenure.end(f"host {id}: {reason}", by=EndSignal.FENCE)
        else:
            self.process.log.emit(
                "host.refused_earlier_call",
                host=id,
                fence=fence,
                current=host.fence if host is not None else None,
                outcome="ignored",
            )

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.process.clock.monotonic()
