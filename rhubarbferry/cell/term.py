"""Run one term of ownership: load the stored state, adopt the hosts, schedule tasks."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Coroutine
from typing import Any

from attrs import define, evolve, field

from rhubarbferry.cell import keys
from rhubarbferry.cell.account_usage import AccountUsageReport
from rhubarbferry.cell.cleaner import Cleaner
from rhubarbferry.cell.decision_log import DecisionLog
from rhubarbferry.cell.hand_over import hand_over
from rhubarbferry.cell.host_poller import HostPoller
from rhubarbferry.cell.job_watch import JobWatcher
from rhubarbferry.cell.lease import LEASE_TTL_S
from rhubarbferry.cell.load_summarizer import LoadSummarizer
from rhubarbferry.cell.members import Member, successors
from rhubarbferry.cell.orders import OrderExecutor
from rhubarbferry.cell.owner_calls import AcceptedJob
from rhubarbferry.cell.recorder import Recorder
from rhubarbferry.cell.roster import Roster, RosterError
from rhubarbferry.cell.term_context import (
    EndSignal,
    OwnershipLost,
    ProcessContext,
    Tenure,
    TermContext,
)
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.hosts import LEASE_EXPIRY_MARGIN_S, MAX_CLOCK_DRIFT
from rhubarbferry.dispatch.job import JobPhase, JobStatus
from rhubarbferry.dispatch.messages import HostEntry, Sizes
from rhubarbferry.dispatch.roster import (
    apply_roster,
    assign_fences,
    close_unavailable_hosts,
    next_roster,
)
from rhubarbferry.dispatch.takeover import Takeover
from rhubarbferry.ports.store import KeyValue, StoreError

# Longest interval between two scheduling decisions, because some changes (leases, deadlines) depend
# only on the time and raise no event.
MAX_DECISION_INTERVAL_S = 0.1
# Events that arrive within this time after a decision are handled together by the next one.
DECISION_BATCH_WINDOW_S = 0.004
# The pause after a decision is at least this multiple of the time that the decision took. This
# leaves processor time on a small host for the replies of hosts and the calls of other processes.
DECISION_PAUSE_FACTOR = 2.0
# Interval between two reads of the host list. It is short because a host that reports that it is
# draining must soon get no new tasks.
HOST_LIST_INTERVAL_S = 0.5
# All waiting steps are re-evaluated at this interval, in case the event for a change was missed.
STEP_RECHECK_INTERVAL_S = 1.0
LOAD_RETRY_INTERVAL_S = 0.2
END_LEASE_RETRY_INTERVAL_S = 0.2
# An owner that reaches the store and has still not loaded the jobs after this time hands them over
# to a process on a larger host.
LOAD_TIMEOUT_S = 3.0
# After this many times LOAD_TIMEOUT_S it hands them over to any other process. That process reads
# the same backlog from the beginning, so an equal host should not do it sooner.
LOAD_TIMEOUTS_ON_EQUAL_HOSTS = 4
MAX_LOAD_S = LOAD_TIMEOUTS_ON_EQUAL_HOSTS * LOAD_TIMEOUT_S
# Interval between two checks that the store still answers this process.
STORE_CHECK_INTERVAL_S = 0.1
# Once one process can take over, wait this long for a better one to answer: one round trip between
# regions plus one to the store.
BETTER_SUCCESSOR_WAIT_S = 0.1
# Capacity of a host on the roster until the host list reports the real one: it gets no new tasks.
_NO_CAPACITY = Sizes()


@define(kw_only=True, eq=False)
class Term:
    """Schedules the jobs of the cell until the ownership is lost or given up.

    :param former_leases: leases that owners may still hold that have asked this process to take
        over.
    :ivar load: sums up the load of the cell.
    :ivar overloaded: whether the jobs were handed over because loading them took too long.
    """

    process: ProcessContext
    tenure: Tenure
    former_leases: frozenset[int] = frozenset()
    ctx: TermContext = field(init=False)
    _roster: Roster = field(init=False)
    _job_watcher: JobWatcher = field(init=False)
    _recorder: Recorder = field(init=False)
    _log: DecisionLog = field(init=False)
    _account_usage: AccountUsageReport = field(init=False)
    load: LoadSummarizer = field(init=False)
    _executor: OrderExecutor = field(init=False)
    _tasks: asyncio.TaskGroup = field(init=False)
    _polled_hosts: set[str] = field(factory=set)
    _rechecked_at: float = 0.0
    _took_over_at: float = field(init=False)
    _settled: bool = False
    overloaded: bool = False

    def __attrs_post_init__(self) -> None:
        self._took_over_at = self.process.clock.monotonic()
        takeover = Takeover(
            began_at=self._took_over_at,
            leases_expire_at=math.inf if self.former_leases else self._task_leases_expire_at(),
        )
        self.ctx = TermContext(
            process=self.process,
            tenure=self.tenure,
            dispatcher=Dispatcher(takeover=takeover, lease_s=self.process.cfg.bounds.task_lease_s),
        )
        self._roster = Roster(store=self.process.store, tenure=self.tenure)
        self._job_watcher = JobWatcher(ctx=self.ctx)
        self._recorder = Recorder(ctx=self.ctx)
        self._log = DecisionLog(log=self.process.log, fence=self.tenure.fence)
        self._account_usage = AccountUsageReport(
            log=self.process.log, dispatcher=self.ctx.dispatcher
        )
        self.load = LoadSummarizer(ctx=self.ctx)
        self._executor = OrderExecutor(ctx=self.ctx, log=self._log, spawn=self._spawn)

    @property
    def loaded(self) -> bool:
        """Whether all jobs in progress at the takeover have been read."""
        return self._job_watcher.loaded

    def pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not started, or ``None`` if unknown."""
        if not self.tenure.holds() or not self.loaded:
            return None
        return self.ctx.dispatcher.count_pending(queue)

    def status(self, id: str) -> JobStatus | None:
        """Return the status of a job, or ``None`` if unknown.

        A final phase is reported only once it is stored. Otherwise a client could see a job as
        complete and the next owner could run it again.
        """
        if not self.tenure.holds() or not self.loaded:
            return None
        dispatcher = self.ctx.dispatcher
        job = dispatcher.jobs.get(id)
        if job is None:
            return dispatcher.ended.get(id)
        return evolve(job.status, phase=JobPhase.RUNNING) if job.phase.final else job.status

    def knows(self, id: str) -> bool | None:
        """Return whether a job exists, ``None`` while this process can't tell."""
        if not self.tenure.holds() or not self.loaded:
            return None
        return self.status(id) is not None

    def add_accepted(self, job: AcceptedJob) -> bool:
        """Add a job that was accepted under this ownership.

        :returns: whether the job was added.
        """
        return self._job_watcher.accepted(job)

    async def run(self) -> None:
        """Run the term; return when the ownership has ended."""
        try:
            async with asyncio.TaskGroup() as self._tasks:
                if self.former_leases:
                    self._spawn(self._end_former_leases())
                await self._load_or_hand_over()
                self._spawn(self._job_watcher.run())
                self._spawn(self._recorder.run())
                cleaner = Cleaner(ctx=self.ctx, without_state=self._job_watcher.without_state)
                self._spawn(cleaner.run())
                self._spawn(self._follow_host_list())
                self._spawn(self.load.run())
                self._spawn(self._hand_over_if_disconnected())
                await self._run_decisions()
        except* OwnershipLost as lost:
            self.tenure.end(str(lost.exceptions[0]), by=EndSignal.LEASE)
        finally:
            self._account_usage.clear()
            self.load.clear_metrics()

    async def flush(self) -> None:
        """Write all changed job states to the store before the ownership is released."""
        try:
            await self._recorder.flush()
        except OwnershipLost as exc:
            self.process.log.emit("term.unfinished", reason=str(exc))

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        self._tasks.create_task(call)

    def _task_leases_expire_at(self) -> float:
        """Return when all task leases must have expired, if no earlier owner gets a new lease."""
        return (
            self.process.clock.monotonic()
            + LEASE_TTL_S
            + self.process.cfg.bounds.task_lease_s * (1 + MAX_CLOCK_DRIFT)
            + LEASE_EXPIRY_MARGIN_S
        )

    async def _end_former_leases(self) -> None:
        """End the leases of former owners, then count the time for which they may still act.

        A former owner that got no answer to its request acts until it notices the new key. Without
        the lease it can't act for longer than an owner that is disconnected from the store.
        """
        for lease_id in sorted(self.former_leases):
            await self._end_lease(lease_id)
        self.ctx.dispatcher.takeover.leases_expire_at = self._task_leases_expire_at()

    async def _end_lease(self, lease_id: int) -> None:
        """End a lease; return when the store has confirmed that it has ended."""
        while True:
            try:
                existed = await self.process.store.revoke_lease(lease_id)
                break
            except StoreError as exc:
                self.process.log.emit("lease.not_ended", lease=lease_id, reason=str(exc)[:200])
                await asyncio.sleep(END_LEASE_RETRY_INTERVAL_S)
        self.process.log.emit(
            "owner.lease_ended",
            fence=self.tenure.fence,
            lease=lease_id,
            outcome="ended" if existed else "had ended",
        )

    async def _load_or_hand_over(self) -> None:
        """Load the stored state, or hand over to another process if that takes too long.

        On a host whose link or processor is too small, loading could go on forever. The process
        would keep renewing its ownership meanwhile, and no job would start.
        """
        loading = asyncio.create_task(self._load())
        timeouts = 0
        try:
            while not loading.done():
                await asyncio.wait({loading}, timeout=LOAD_TIMEOUT_S)
                timeouts += 1
                if not loading.done() and self.process.keeper.store_reachable():
                    await self._hand_over(
                        to_equal_hosts=timeouts >= LOAD_TIMEOUTS_ON_EQUAL_HOSTS,
                    )
                self.tenure.check()
            await loading
        finally:
            loading.cancel()
            await asyncio.gather(loading, return_exceptions=True)

    async def _hand_over(self, *, to_equal_hosts: bool) -> None:
        own = self.process.own
        member = await hand_over(
            self.process,
            self.tenure,
            accepts=lambda other: to_equal_hosts or other.has_larger_host(own),
        )
        if member is not None:
            self.overloaded = True
            took_s = self.process.clock.monotonic() - self._took_over_at
            self.tenure.end(f"not loaded after {took_s:.1f} s; passed on to {member.name}")

    async def _load(self) -> None:
        while True:
            self.tenure.check()
            try:
                roster, _ = await asyncio.gather(
                    self.process.store.get(keys.ROSTER), self._job_watcher.load()
                )
                break
            except StoreError as exc:
                self.process.log.emit("term.not_loaded", reason=str(exc))
                await asyncio.sleep(LOAD_RETRY_INTERVAL_S)
        takeover = self.ctx.dispatcher.takeover
        takeover.roster_known = self._load_roster(roster)
        takeover.unconfirmed = dict(self._roster.entries)
        self.process.log.emit(
            "term.loaded",
            fence=self.tenure.fence,
            jobs=len(self.ctx.dispatcher.jobs),
            hosts=len(takeover.unconfirmed),
        )

    def _load_roster(self, item: KeyValue | None) -> bool:
        """Load the stored roster; return whether it is known."""
        try:
            self._roster.load(item)
        except RosterError as exc:
            self.process.log.emit(
                "roster.unreadable",
                revision=self._roster.revision,
                reason=str(exc),
                outcome="all inherited jobs wait until earlier leases have expired",
            )
            return False
        return True

    async def _hand_over_if_disconnected(self) -> None:
        """Hand over to a process that reaches the store when this one does not.

        The store may be unreachable for this process only. This process then sees no new jobs,
        and without a handover no process would start them until its lease expires.
        """
        while True:
            await asyncio.sleep(STORE_CHECK_INTERVAL_S)
            if not self.process.keeper.store_lost():
                continue
            member = await self._find_connected_successor()
            if member is not None and self.process.keeper.store_lost():
                # This process must not act from here on, whatever the other process answers.
                self.tenure.end(f"the store does not answer; handing over to {member.name}")
                await self.process.peers.take_over(member, self.tenure.fence)
                self.tenure.check()

    async def _find_connected_successor(self) -> Member | None:
        """Query all other processes concurrently; return the best one that reaches the store.

        The first process to answer is likely an idle one on a small host. It would be overloaded
        as the owner, and no job would start until the others find it unresponsive: three to four
        seconds.
        """
        candidates = successors(self.process.own, self.process.view)
        checks = [asyncio.create_task(self.process.peers.store_reached(m)) for m in candidates]
        pending = set(checks)
        try:
            reached = False
            while pending and not reached:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                reached = any(task.result() for task in done)
            if pending:
                await asyncio.wait(pending, timeout=BETTER_SUCCESSOR_WAIT_S)
            for member, task in zip(candidates, checks, strict=True):
                if task.done() and task.result():
                    return member
        finally:
            for task in checks:
                task.cancel()
        return None

    # ------------------------------------------------------------ hosts

    async def _follow_host_list(self) -> None:
        self._poll_roster_hosts()
        while True:
            try:
                await self._read_host_list()
            except StoreError as exc:
                self.process.log.emit("hosts.not_read", reason=str(exc))
            await asyncio.sleep(HOST_LIST_INTERVAL_S)

    def _poll_roster_hosts(self) -> None:
        """Start polling the hosts on the roster: they may run tasks of an earlier owner."""
        for known in self._roster.entries.values():
            entry = HostEntry(
                id=known.id,
                incarnation=known.incarnation,
                service=known.service,
                address=known.address,
                capacity=_NO_CAPACITY,
            )
            self.ctx.dispatcher.host_listed(entry, now=self.ctx.now())
            self._start_polling(known.id)
        hosts = self.ctx.dispatcher.tracker.hosts
        apply_roster(self._roster.entries, hosts)
        assign_fences(self._roster.entries, self._roster.fences, hosts)

    async def _read_host_list(self) -> None:
        entries = {entry.id: entry for entry in await self.process.directory.hosts()}
        hosts = self.ctx.dispatcher.tracker.hosts
        await self._update_roster(entries)
        now = self.ctx.now()
        for entry in entries.values():
            if self._roster.holds(entry.id):
                self._log_listed_phase(entry)
                new = entry.id not in hosts
                self.ctx.dispatcher.host_listed(entry, now=now)
                if new:
                    apply_roster({entry.id: self._roster.entries[entry.id]}, hosts)
                self._start_polling(entry.id)
        assign_fences(self._roster.entries, self._roster.fences, hosts)
        for id, host in hosts.items():
            if id not in entries and host.listed:
                self.process.log.emit("host.unlisted", host=id, runs=len(host.runs))
                self.ctx.dispatcher.host_unlisted(id)
        self.ctx.wake.set()

    async def _update_roster(self, listed: dict[str, HostEntry]) -> None:
        hosts = self.ctx.dispatcher.tracker.hosts
        now = self.ctx.now()
        close_unavailable_hosts(hosts, now)
        unconfirmed = self.ctx.dispatcher.takeover.unconfirmed
        entries = next_roster(self._roster.entries, listed, hosts, unconfirmed=unconfirmed, now=now)
        if await self._roster.update(entries):
            apply_roster(entries, hosts)

    def _log_listed_phase(self, entry: HostEntry) -> None:
        known = self.ctx.dispatcher.tracker.hosts.get(entry.id)
        if known is None or known.entry.phase is not entry.phase:
            self.process.log.emit(
                "host.listed",
                host=entry.id,
                incarnation=entry.incarnation,
                phase=entry.phase.value,
                remaining_s=entry.remaining_s,
            )

    def _start_polling(self, id: str) -> None:
        if id in self._polled_hosts:
            return
        self._polled_hosts.add(id)
        self._spawn(self._poll_host(id))

    async def _poll_host(self, id: str) -> None:
        try:
            await HostPoller(ctx=self.ctx, id=id).run()
        finally:
            self._polled_hosts.discard(id)

    # ------------------------------------------------------------ scheduling decisions

    async def _run_decisions(self) -> None:
        while True:
            try:
                async with asyncio.timeout(MAX_DECISION_INTERVAL_S):
                    await self.ctx.wake.wait()
            except TimeoutError:
                pass
            self.ctx.wake.clear()
            self.tenure.check()
            if not self.tenure.holds():
                continue
            started_at = self.ctx.now()
            self._decide()
            if self.ctx.dispatcher.has_more:
                # The rest belongs to the same decision, so yield to other tasks without a pause.
                await asyncio.sleep(0)
            else:
                took_s = self.ctx.now() - started_at
                await asyncio.sleep(max(DECISION_BATCH_WINDOW_S, DECISION_PAUSE_FACTOR * took_s))

    def _decide(self) -> None:
        dispatcher = self.ctx.dispatcher
        now = self.ctx.now()
        routes = self.process.routes()
        if routes is not None:
            dispatcher.configure(routes.queues, routes.accounts.settings, now=now)
        if now - self._rechecked_at >= STEP_RECHECK_INTERVAL_S:
            self._rechecked_at = now
            dispatcher.reconsider_all()
            self._account_usage.update(now)
        unconfirmed = list(dispatcher.takeover.unconfirmed)
        orders = dispatcher.decide(
            now=now, wall_s=self.process.clock.wall(), starts=self._executor.start_capacity()
        )
        self._log_settled(unconfirmed, now)
        self._log.outcomes(dispatcher)
        self._account_usage.log_blocked_steps()
        for order in orders:
            self._executor.execute(order)
        self._executor.request_approvals(self._members())
        self.ctx.note_changes()
        if dispatcher.has_more:
            self.ctx.wake.set()

    def _log_settled(self, unconfirmed: list[str], now: float) -> None:
        """Log once when all inherited jobs may proceed, with the hosts that have not answered."""
        if self._settled or not self.ctx.dispatcher.takeover_complete:
            return
        self._settled = True
        self.process.log.emit(
            "term.settled",
            fence=self.tenure.fence,
            waited_s=round(now - self._took_over_at, 3),
            unconfirmed=unconfirmed,
        )

    def _members(self) -> list[Member]:
        members = dict(self.process.view.members)
        members.setdefault(self.process.own.name, self.process.own)
        return list(members.values())
