"""One term of ownership: load what is on record, adopt the hosts, then decide."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from attrs import define, field

from rhubarbferry.cell import keys
from rhubarbferry.cell.cleaner import Cleaner
from rhubarbferry.cell.context import OwnershipLost, Surroundings, Tenure, TermContext
from rhubarbferry.cell.decision_log import DecisionLog
from rhubarbferry.cell.hand_over import hand_over
from rhubarbferry.cell.host_watch import HostWatch
from rhubarbferry.cell.inbox import Inbox
from rhubarbferry.cell.lease import TTL_S
from rhubarbferry.cell.members import Member, successors
from rhubarbferry.cell.orders import Orders
from rhubarbferry.cell.owned_work import AcceptedJob
from rhubarbferry.cell.recorder import Recorder
from rhubarbferry.cell.roster import Roster
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.hosts import CLOCK_DRIFT, LAPSE_MARGIN_S
from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.messages import HostEntry, Sizes
from rhubarbferry.dispatch.roster import close_hosts, follow_record, next_roster
from rhubarbferry.dispatch.succession import Succession
from rhubarbferry.ports.store import StoreError

# At most this long between two decisions, for what depends on time alone.
TICK_S = 0.1
# After a decision, events within this time share the next one.
GATHER_S = 0.004
# At least so many times as long as the decision took, so that the answers of hosts and the calls of
# other processes get their share of a small processor.
GATHER_FACTOR = 2.0
# Between two reads of the host list. A draining host must get no task soon after it says so.
DIRECTORY_S = 0.5
# Waiting steps are looked at anew this often, should a change have been missed.
REVIEW_S = 1.0
RETRY_S = 0.2
# An owner that has not read the work by then, though the store answers it, passes the work on.
LOAD_S = 3.0
# Between two looks at whether the store still answers this process.
REACH_LOOK_S = 0.1
# After the first process that can take the work over, wait this long for a better one: a round trip
# between regions and one to the store.
BETTER_S = 0.1
# A host of the roster gets no new task before the host list has shown its capacity.
_NO_ROOM = Sizes()


@define(kw_only=True, eq=False)
class Term:
    """Owns the work of the cell until the ownership is lost or given up.

    :ivar overloaded: whether it has passed the work on since it could not load it in time.
    """

    around: Surroundings
    tenure: Tenure
    ctx: TermContext = field(init=False)
    _roster: Roster = field(init=False)
    _inbox: Inbox = field(init=False)
    _recorder: Recorder = field(init=False)
    _log: DecisionLog = field(init=False)
    _orders: Orders = field(init=False)
    _tasks: asyncio.TaskGroup = field(init=False)
    _watched: set[str] = field(factory=set)
    _reviewed_at: float = 0.0
    _took_over_at: float = field(init=False)
    _settled: bool = False
    overloaded: bool = False

    def __attrs_post_init__(self) -> None:
        self._took_over_at = self.around.clock.monotonic()
        lease_s = self.around.cfg.bounds.task_lease_s
        succession = Succession(
            lapsed_at=self._took_over_at + TTL_S + lease_s * (1 + CLOCK_DRIFT) + LAPSE_MARGIN_S
        )
        self.ctx = TermContext(
            around=self.around,
            tenure=self.tenure,
            dispatcher=Dispatcher(succession=succession, lease_s=lease_s),
        )
        self._roster = Roster(store=self.around.store, tenure=self.tenure)
        self._inbox = Inbox(ctx=self.ctx)
        self._recorder = Recorder(ctx=self.ctx)
        self._log = DecisionLog(log=self.around.log)
        self._orders = Orders(ctx=self.ctx, log=self._log, spawn=self._spawn)

    def pending(self, queue: str) -> int | None:
        """Return how many jobs of a queue have not begun, or ``None`` when that is not known."""
        if not self.tenure.holds() or not self._inbox.loaded:
            return None
        return self.ctx.dispatcher.pending(queue)

    def phase(self, id: str) -> JobPhase | None:
        """Return the phase of a job, or ``None`` when it is not known here.

        An end counts once it stands in the store: shown any earlier, a job could be complete
        for its client and be run again by the next owner.
        """
        if not self.tenure.holds() or not self._inbox.loaded:
            return None
        dispatcher = self.ctx.dispatcher
        job = dispatcher.jobs.get(id)
        if job is None:
            return dispatcher.ended.get(id)
        return JobPhase.RUNNING if job.phase.final else job.phase

    def accepted(self, job: AcceptedJob) -> bool:
        """Take on a job that was accepted under this ownership; return whether that is so."""
        return self._inbox.accepted(job)

    async def run(self) -> None:
        """Own the work; return when that has ended."""
        try:
            await self._load_or_pass_on()
            async with asyncio.TaskGroup() as self._tasks:
                self._spawn(self._inbox.run())
                self._spawn(self._recorder.run())
                cleaner = Cleaner(ctx=self.ctx, without_state=self._inbox.without_state)
                self._spawn(cleaner.run())
                self._spawn(self._follow_directory())
                self._spawn(self._hand_over_if_cut_off())
                await self._decide_forever()
        except* OwnershipLost as lost:
            self.tenure.end(str(lost.exceptions[0]))

    async def finish(self) -> None:
        """Write what is still unwritten, before the ownership is handed over."""
        try:
            await self._recorder.flush()
        except OwnershipLost as exc:
            self.around.log.emit("term.unfinished", reason=str(exc))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.create_task(work)

    async def _load_or_pass_on(self) -> None:
        """Read what is on record.

        A host whose link or processor is too small for it would read without end, and extend its
        ownership all the while, so that no job starts.
        """
        loading = asyncio.create_task(self._load())
        try:
            while not loading.done():
                await asyncio.wait({loading}, timeout=LOAD_S)
                if not loading.done() and self.around.keeper.fresh():
                    await self._pass_on()
                self.tenure.check()
            await loading
        finally:
            loading.cancel()
            await asyncio.gather(loading, return_exceptions=True)

    async def _pass_on(self) -> None:
        member = await hand_over(self.around, self.tenure)
        if member is not None:
            self.overloaded = True
            self.tenure.end(f"not loaded after {LOAD_S} s; passed on to {member.name}")

    async def _load(self) -> None:
        while True:
            self.tenure.check()
            try:
                roster, _ = await asyncio.gather(
                    self.around.store.get(keys.ROSTER), self._inbox.load()
                )
                self._roster.load(roster)
                break
            except StoreError as exc:
                self.around.log.emit("term.not_loaded", reason=str(exc))
                await asyncio.sleep(RETRY_S)
        succession = self.ctx.dispatcher.succession
        succession.unconfirmed = dict(self._roster.entries)
        self.around.log.emit(
            "term.loaded",
            fence=self.tenure.fence,
            jobs=len(self.ctx.dispatcher.jobs),
            hosts=len(succession.unconfirmed),
        )

    async def _hand_over_if_cut_off(self) -> None:
        """Give the work to a process that reaches the store, when this one does not.

        The store may turn this process away while it serves others. New jobs are then not seen
        here, and without a hand-over nobody starts them until the lease has ended.
        """
        while True:
            await asyncio.sleep(REACH_LOOK_S)
            if self.around.keeper.fresh():
                continue
            member = await self._one_that_reaches_the_store()
            if member is not None and not self.around.keeper.fresh():
                # From here on this process must not act, whatever the other one answers.
                self.tenure.end(f"the store does not answer; handing over to {member.name}")
                await self.around.peers.take_over(member, self.tenure.fence)
                self.tenure.check()

    async def _one_that_reaches_the_store(self) -> Member | None:
        """Ask all other processes at once; return the best of those that the store answers now.

        The first to answer is likely an idle one on a weak host. The work would be too much for
        it, and nothing starts until it is found silent: three to four seconds.
        """
        others = successors(self.around.own, self.around.view)
        asking = [asyncio.create_task(self.around.peers.store_reached(m)) for m in others]
        pending = set(asking)
        try:
            reached = False
            while pending and not reached:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                reached = any(task.result() for task in done)
            if pending:
                await asyncio.wait(pending, timeout=BETTER_S)
            for member, task in zip(others, asking, strict=True):
                if task.done() and task.result():
                    return member
        finally:
            for task in asking:
                task.cancel()
        return None

    # ------------------------------------------------------------ hosts

    async def _follow_directory(self) -> None:
        self._watch_roster()
        while True:
            try:
                await self._read_directory()
            except StoreError as exc:
                self.around.log.emit("hosts.not_read", reason=str(exc))
            await asyncio.sleep(DIRECTORY_S)

    def _watch_roster(self) -> None:
        """Ask the hosts of the roster at once: they may run tasks of an earlier owner."""
        for known in self._roster.entries.values():
            entry = HostEntry(
                id=known.id,
                incarnation=known.incarnation,
                service=known.service,
                address=known.address,
                capacity=_NO_ROOM,
            )
            self.ctx.dispatcher.host_listed(entry, now=self.ctx.now())
            self._watch(known.id)
        follow_record(self._roster.entries, self.ctx.dispatcher.tracker.hosts)

    async def _read_directory(self) -> None:
        entries = {entry.id: entry for entry in await self.around.directory.hosts()}
        hosts = self.ctx.dispatcher.tracker.hosts
        await self._update_roster(entries)
        now = self.ctx.now()
        for entry in entries.values():
            if self._roster.holds(entry.id):
                self._note_phase(entry)
                new = entry.id not in hosts
                self.ctx.dispatcher.host_listed(entry, now=now)
                if new:
                    follow_record({entry.id: self._roster.entries[entry.id]}, hosts)
                self._watch(entry.id)
        for id, host in hosts.items():
            if id not in entries and host.listed:
                self.around.log.emit("host.unlisted", host=id, runs=len(host.runs))
                self.ctx.dispatcher.host_unlisted(id)
        self.ctx.wake.set()

    async def _update_roster(self, listed: dict[str, HostEntry]) -> None:
        hosts = self.ctx.dispatcher.tracker.hosts
        now = self.ctx.now()
        close_hosts(hosts, now)
        unconfirmed = self.ctx.dispatcher.succession.unconfirmed
        entries = next_roster(self._roster.entries, listed, hosts, unconfirmed=unconfirmed, now=now)
        if await self._roster.update(entries):
            follow_record(entries, hosts)

    def _note_phase(self, entry: HostEntry) -> None:
        known = self.ctx.dispatcher.tracker.hosts.get(entry.id)
        if known is None or known.entry.phase is not entry.phase:
            self.around.log.emit(
                "host.listed",
                host=entry.id,
                incarnation=entry.incarnation,
                phase=entry.phase.value,
                remaining_s=entry.remaining_s,
            )

    def _watch(self, id: str) -> None:
        if id in self._watched:
            return
        self._watched.add(id)
        self._spawn(self._watch_host(id))

    async def _watch_host(self, id: str) -> None:
        try:
            await HostWatch(ctx=self.ctx, id=id).run()
        finally:
            self._watched.discard(id)

    # ------------------------------------------------------------ decisions

    async def _decide_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self.ctx.wake.wait()
            except TimeoutError:
                pass
            self.ctx.wake.clear()
            self.tenure.check()
            begun = self.ctx.now()
            self._decide()
            if self.ctx.dispatcher.undecided:
                # Other tasks get their turn, and no more: the rest is part of the same decision.
                await asyncio.sleep(0)
            else:
                took_s = self.ctx.now() - begun
                await asyncio.sleep(max(GATHER_S, GATHER_FACTOR * took_s))

    def _decide(self) -> None:
        dispatcher = self.ctx.dispatcher
        now = self.ctx.now()
        routes = self.around.routes()
        if routes is not None:
            dispatcher.configure(routes.queues, now=now)
        if now - self._reviewed_at >= REVIEW_S:
            self._reviewed_at = now
            dispatcher.retry()
        unconfirmed = list(dispatcher.succession.unconfirmed)
        orders = dispatcher.decide(
            now=now, wall_s=self.around.clock.wall(), starts=self._orders.room()
        )
        self._note_settled(unconfirmed, now)
        self._log.outcomes(dispatcher)
        for order in orders:
            self._orders.carry_out(order)
        self._orders.ask(self._members())
        self.ctx.note_changes()
        if dispatcher.undecided:
            self.ctx.wake.set()

    def _note_settled(self, unconfirmed: list[str], now: float) -> None:
        """Log once when all inherited jobs may go on, and which hosts had not answered."""
        if self._settled or not self.ctx.dispatcher.settled:
            return
        self._settled = True
        self.around.log.emit(
            "term.settled",
            fence=self.tenure.fence,
            waited_s=round(now - self._took_over_at, 3),
            unconfirmed=unconfirmed,
        )

    def _members(self) -> list[Member]:
        members = dict(self.around.view.members)
        members.setdefault(self.around.own.name, self.around.own)
        return list(members.values())
