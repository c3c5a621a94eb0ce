"""Learn of accepted jobs and cancellations, and of the loss of ownership, in their order."""

from __future__ import annotations

import asyncio

from attrs import define, evolve, field

from rhubarbferry.cell import keys
from rhubarbferry.cell.context import OwnershipLost, TermContext
from rhubarbferry.cell.following import PrefixFollower
from rhubarbferry.cell.owned_work import AcceptedJob
from rhubarbferry.dispatch.job import Job, JobPhase
from rhubarbferry.dispatch.record import (
    JobRecord,
    RecordError,
    decode_request,
    encode_phase,
    restore_state,
)
from rhubarbferry.ports.store import (
    Changes,
    KeyDeleted,
    KeyPut,
    KeyValue,
    Listing,
    StoreError,
    WatchEvent,
)

# How long one watch call waits. A silent watch is found soon after that.
WATCH_S = 1.0
# While steps wait for room, changes within this time share one call, as a new job would wait as
# well. With room to spare the watch is asked again at once: it may show a job before its notice.
GATHER_S = 0.2
RETRY_S = 0.1
# So many records are worked in before other tasks of the process get their turn. A long backlog on
# a small processor would hold up the answers to pings and the renewals of the lease until another
# process takes the work over, which then reads the same backlog.
JOBS_PER_TURN = 4
# An age above this is the mark of a clock that is wrong, or of a record without a time.
OLDEST_S = 300.0


@define(kw_only=True, eq=False)
class Inbox:
    """Feeds the dispatcher from the store.

    :ivar loaded: whether all that was in progress at the takeover has been read.
    :ivar without_state: inherited jobs that have no state, as those that have ended.
    """

    ctx: TermContext
    loaded: bool = False
    without_state: set[str] = field(factory=set)
    _follower: PrefixFollower = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._follower = self.ctx.around.follow(keys.CELL)

    async def load(self) -> None:
        """Read what is on record.

        The two listings are read at once. A job that was accepted under an earlier owner had its
        state when the owner's key was written, and nobody but this owner writes states of its
        jobs after that.

        :raises StoreError: when it can't be read.
        :raises OwnershipLost: when another process owns the work.
        """
        store = self.ctx.around.store
        # An earlier try may have got one of the two.
        self._follower.restart()
        stored, found = await asyncio.gather(store.list(keys.STATES), self._follower.next(WATCH_S))
        assert isinstance(found, Listing)
        states = {item.key.removeprefix(keys.STATES): item for item in stored.items}
        await self._take_listing(found, states)
        self.loaded = True

    async def run(self) -> None:
        """Follow the store until cancelled.

        :raises OwnershipLost: when the owner's key is gone or another's.
        """
        while True:
            try:
                await self._follow()
            except StoreError as exc:
                self.ctx.around.log.emit("watch.failed", prefix=keys.CELL, reason=str(exc)[:200])
                await asyncio.sleep(RETRY_S)

    async def _follow(self) -> None:
        match await self._follower.next(WATCH_S):
            case Listing() as listing:
                await self._take_listing(listing, {})
            case Changes(events=events) if events:
                self._take_events(events)
                if len(self.ctx.dispatcher.waiting):
                    await asyncio.sleep(GATHER_S)

    def _take_events(self, events: tuple[WatchEvent, ...]) -> None:
        self.ctx.around.view.apply(events)
        for event in events:
            match event:
                case KeyPut(kv=kv):
                    self._put(kv, {})
                case KeyDeleted(key=key) if key == keys.OWNER:
                    self._lost("its key was removed")
        self.ctx.wake.set()

    def accepted(self, job: AcceptedJob) -> bool:
        """Take on a job from another process's notice, before the watch shows it.

        The process has accepted it under the condition that the owner's key stood at ``fence``.
        Without that a job accepted after a takeover could reach the owner before, which would
        start it as its own while the new owner does the same.
        """
        if not self.loaded or job.fence != self.ctx.tenure.fence or not self.ctx.tenure.holds():
            return False
        kv = KeyValue(
            key=keys.JOBS + job.id,
            value=job.record,
            mod_revision=job.revision,
            create_revision=job.revision,
        )
        self._job(kv, {})
        self.ctx.wake.set()
        return True

    async def _take_listing(self, listing: Listing, states: dict[str, KeyValue]) -> None:
        control = (item for item in listing.items if item.key.startswith(keys.CONTROL))
        self.ctx.around.view.replace(control, revision=listing.revision)
        ownership = self.ctx.around.view.ownership
        if ownership is None or ownership.fence != self.ctx.tenure.fence:
            self._lost("its key was removed or replaced")
        # Jobs first: a cancellation is of use only once its job is known.
        items = sorted(listing.items, key=lambda item: item.key.startswith(keys.CANCELS))
        for number, item in enumerate(items, start=1):
            self._put(item, states)
            if number % JOBS_PER_TURN == 0:
                await asyncio.sleep(0)
        self.ctx.wake.set()

    def _lost(self, reason: str) -> None:
        self.ctx.tenure.end(reason)
        raise OwnershipLost(reason)

    def _put(self, kv: KeyValue, states: dict[str, KeyValue]) -> None:
        if kv.key == keys.OWNER and kv.mod_revision != self.ctx.tenure.fence:
            self._lost("its key was replaced")
        elif kv.key.startswith(keys.JOBS):
            self._job(kv, states)
        elif kv.key.startswith(keys.CANCELS):
            self._cancel(kv)

    def _job(self, kv: KeyValue, states: dict[str, KeyValue]) -> None:
        id = kv.key.removeprefix(keys.JOBS)
        # A listing may be older than the end of a job that it shows.
        dispatcher = self.ctx.dispatcher
        if id in dispatcher.jobs or id in dispatcher.ended or id in self.without_state:
            return
        inherited = kv.mod_revision < self.ctx.tenure.fence
        state = states.get(id)
        if state is None and inherited:
            self.without_state.add(id)
            return
        if state is None:
            # Acceptance writes the request and the state at one revision, and after it only
            # this owner writes the state.
            state = evolve(kv, key=keys.STATES + id, value=encode_phase(JobPhase.QUEUED))
        try:
            job = self._make(kv, state, inherited=inherited)
        except RecordError as exc:
            self.ctx.around.log.emit("job.unreadable", job=id, reason=str(exc))
            return
        wall_s = self.ctx.around.clock.wall()
        self.ctx.dispatcher.add_job(job, now=self.ctx.now(), wall_s=wall_s)
        self.ctx.around.log.emit(
            "job.taken",
            job=id,
            queue=job.queue.name,
            revision=kv.mod_revision,
            inherited=inherited,
            tasks=[step.count for step in job.req.steps],
            objective_s=round(job.objective_s, 3),
            outcome=job.phase.value,
        )

    def _make(self, kv: KeyValue, state: KeyValue, *, inherited: bool) -> Job:
        record = decode_request(kv.value)
        routes = self.ctx.around.routes()
        queue = routes.queues.get(record.queue.name) if routes is not None else None
        job = Job(
            req=record.req,
            queue=queue or record.queue,
            arrived_at=self.ctx.now() - (self._age_s(record) if inherited else 0.0),
            record_revision=state.mod_revision,
            inherited=inherited,
            first_attempt=self.ctx.tenure.fence if inherited else 1,
        )
        if not job.req.times:
            job.add_occurrence(0, self.ctx.now())
        restore_state(job, state.value, now=self.ctx.now())
        return job

    def _age_s(self, record: JobRecord) -> float:
        """Return how long ago an inherited job was accepted, about.

        Taken for new, a job that has waited through a takeover would go before those that can
        still be done in time. A clock that is off only changes the order a little.
        """
        age_s = self.ctx.around.clock.wall() - record.accepted_at_s
        return age_s if 0.0 < age_s < OLDEST_S else 0.0

    def _cancel(self, kv: KeyValue) -> None:
        id = kv.key.removeprefix(keys.CANCELS)
        if id in self.ctx.dispatcher.jobs:
            # The key goes after the job's end is on record. Removed any earlier, a crash
            # between the two would bring the job back to life.
            self.ctx.dispatcher.cancel_job(id)
            outcome = "stopping"
        else:
            self.ctx.removable.append(id)
            outcome = "had ended"
        self.ctx.around.log.emit("job.cancelled", job=id, revision=kv.mod_revision, outcome=outcome)
