"""Watch the store for accepted jobs, cancellations and an ownership change, in revision order."""

from __future__ import annotations

import asyncio

from attrs import define, evolve, field

from rhubarbferry.cell import keys
from rhubarbferry.cell.owner_calls import AcceptedJob
from rhubarbferry.cell.prefix_watch import PrefixWatcher
from rhubarbferry.cell.term_context import EndSignal, OwnershipLost, TermContext
from rhubarbferry.dispatch.job import MAX_JOB_AGE_S, Job
from rhubarbferry.dispatch.record import (
    JobRecord,
    RecordError,
    decode_request,
    encode_status,
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

# How long one watch call waits for changes. A watch that receives no answer at all is detected
# shortly after this time.
WATCH_WAIT_S = 1.0
# While steps wait for free capacity, a new job would wait as well, so the next watch call is
# delayed by this time to receive several changes in one answer. Otherwise the next call follows
# immediately: the watch may deliver a job before the notice from the process that accepted it.
BATCH_DELAY_S = 0.2
RETRY_INTERVAL_S = 0.1
# Number of records processed before control returns to the event loop. Processing a long backlog in
# one go on a slow processor would delay ping replies and lease renewals until another process takes
# over, which would then read the same backlog.
JOBS_PER_TURN = 4


@define(kw_only=True, eq=False)
class JobWatcher:
    """Pass jobs and cancellations from the store to the dispatcher.

    :ivar loaded: whether all jobs in progress at the takeover have been read.
    :ivar without_state: ids of inherited jobs that have no state in the store, such as jobs that
        have ended.
    """

    ctx: TermContext
    loaded: bool = False
    without_state: set[str] = field(factory=set)
    _watcher: PrefixWatcher = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._watcher = self.ctx.process.watch_prefix(keys.CELL)

    async def load(self) -> None:
        """Read all jobs that are in the store at the takeover.

        The two listings are read concurrently, which is safe: the state of a job accepted under an
        earlier owner existed before this owner's key was written, and only this owner writes job
        states after that.

        :raises StoreError: when the store can't be read.
        :raises OwnershipLost: when another process is the owner.
        """
        store = self.ctx.process.store
        # An earlier attempt may have received only one of the two listings.
        self._watcher.restart()
        started_at = self.ctx.now()
        stored, listing = await asyncio.gather(
            store.list(keys.STATES), self._watcher.next(WATCH_WAIT_S)
        )
        assert isinstance(listing, Listing)
        read_at = self.ctx.now()
        states = {item.key.removeprefix(keys.STATES): item for item in stored.items}
        await self._apply_listing(listing, states)
        self.loaded = True
        self.ctx.process.log.emit(
            "jobs.read",
            fence=self.ctx.tenure.fence,
            records=len(listing.items),
            states=len(stored.items),
            bytes=sum(len(item.value) for item in (*listing.items, *stored.items)),
            read_s=round(read_at - started_at, 3),
            transfer_s=round(max(listing.transfer_s, stored.transfer_s), 3),
            applied_s=round(self.ctx.now() - read_at, 3),
        )

    async def run(self) -> None:
        """Watch the store until cancelled.

        :raises OwnershipLost: when the owner's key was deleted or replaced.
        """
        while True:
            try:
                await self._watch_once()
            except StoreError as exc:
                self.ctx.process.log.emit("watch.failed", prefix=keys.CELL, reason=str(exc)[:200])
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _watch_once(self) -> None:
        match await self._watcher.next(WATCH_WAIT_S):
            case Listing() as listing:
                await self._apply_listing(listing, {})
            case Changes(events=events) if events:
                self._apply_events(events)
                if len(self.ctx.dispatcher.waiting):
                    await asyncio.sleep(BATCH_DELAY_S)

    def _apply_events(self, events: tuple[WatchEvent, ...]) -> None:
        self.ctx.process.view.apply(events)
        for event in events:
            match event:
                case KeyPut(kv=kv):
                    self._apply_put(kv, {})
                case KeyDeleted(key=key) if key == keys.OWNER:
                    self._end_tenure("its key was removed", EndSignal.WATCH)
        self.ctx.wake.set()

    def accepted(self, job: AcceptedJob) -> bool:
        """Take a job from another process's notice, before the watch delivers it.

        The transaction that accepted the job required the owner's key to be at revision ``fence``.
        Without this condition a notice of a job accepted after a takeover could reach the former
        owner, and both owners would start the job.

        :returns: whether this owner has taken the job.
        """
        if not self.loaded or job.fence != self.ctx.tenure.fence or not self.ctx.tenure.holds():
            return False
        kv = KeyValue(
            key=keys.JOBS + job.id,
            value=job.record,
            mod_revision=job.revision,
            create_revision=job.revision,
        )
        self._add_job(kv, {})
        self.ctx.wake.set()
        return True

    async def _apply_listing(self, listing: Listing, states: dict[str, KeyValue]) -> None:
        control = (item for item in listing.items if item.key.startswith(keys.CONTROL))
        self.ctx.process.view.replace(control, revision=listing.revision)
        ownership = self.ctx.process.view.ownership
        if ownership is None or ownership.fence != self.ctx.tenure.fence:
            self._end_tenure("its key was removed or replaced", EndSignal.LISTING)
        # Process jobs first: the cancellation of an unknown job is taken for that of an ended one.
        items = sorted(listing.items, key=lambda item: item.key.startswith(keys.CANCELS))
        for number, item in enumerate(items, start=1):
            if not self._is_left_to_watch(item, listing):
                self._apply_put(item, states, signal=EndSignal.LISTING)
            if number % JOBS_PER_TURN == 0:
                await asyncio.sleep(0)
        self.ctx.wake.set()

    def _is_left_to_watch(self, item: KeyValue, listing: Listing) -> bool:
        """Return whether only the watch may deliver an item of a listing.

        The pages of a listing are read one after the other. A later page may contain a job of a
        later owner although the owner's key was read before it was replaced. The watch delivers
        such a job after the change of that key. A cancellation of a known job is applied at once,
        since an earlier version of it may have been replaced while the pages were read.
        """
        if item.mod_revision <= listing.revision:
            return False
        id = item.key.removeprefix(keys.CANCELS)
        return not (item.key.startswith(keys.CANCELS) and id in self.ctx.dispatcher.jobs)

    def _end_tenure(self, reason: str, signal: EndSignal) -> None:
        self.ctx.tenure.end(reason, by=signal)
        raise OwnershipLost(reason)

    def _apply_put(
        self, kv: KeyValue, states: dict[str, KeyValue], *, signal: EndSignal = EndSignal.WATCH
    ) -> None:
        if kv.key == keys.OWNER and kv.mod_revision != self.ctx.tenure.fence:
            self._end_tenure("its key was replaced", signal)
        elif kv.key.startswith(keys.JOBS):
            self._add_job(kv, states)
        elif kv.key.startswith(keys.CANCELS):
            self._cancel_job(kv)

    def _add_job(self, kv: KeyValue, states: dict[str, KeyValue]) -> None:
        id = kv.key.removeprefix(keys.JOBS)
        # A listing may contain a job that has ended since the listing was read.
        dispatcher = self.ctx.dispatcher
        if id in dispatcher.jobs or id in dispatcher.ended or id in self.without_state:
            return
        inherited = kv.mod_revision < self.ctx.tenure.fence
        state = states.get(id)
        if state is None and inherited:
            self.without_state.add(id)
            return
        try:
            job = self._make_job(kv, state, inherited=inherited)
        except RecordError as exc:
            self.ctx.process.log.emit("job.unreadable", job=id, reason=str(exc))
            return
        wall_s = self.ctx.process.clock.wall()
        self.ctx.dispatcher.add_job(job, now=self.ctx.now(), wall_s=wall_s)
        self.ctx.process.log.emit(
            "job.taken",
            job=id,
            queue=job.queue.name,
            account=job.account_name or None,
            revision=kv.mod_revision,
            inherited=inherited,
            tasks=[step.count for step in job.req.steps],
            times=job.req.times or None,
            occurrences=len(job.occurrences) if job.req.times else None,
            objective_s=round(job.objective_s, 3),
            outcome=job.phase.value,
        )

    def _make_job(self, kv: KeyValue, state: KeyValue | None, *, inherited: bool) -> Job:
        record = decode_request(kv.value)
        if state is None:
            # The request and the state are created in one transaction, at the same revision, and
            # only this owner writes the state after that.
            value = encode_status(record.initial_status)
            state = evolve(kv, key=keys.STATES + record.req.id, value=value)
        routes = self.ctx.process.routes()
        queue = routes.queues.get(record.queue.name) if routes is not None else None
        job = Job(
            req=record.req,
            queue=queue or record.queue,
            account=record.account,
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
        """Return approximately how long ago an inherited job was accepted, in seconds.

        If a job that waited during a takeover were treated as new, it would be ordered before jobs
        that can still meet their objective. An inaccurate clock changes this order only slightly.
        """
        age_s = self.ctx.process.clock.wall() - record.accepted_at_s
        return age_s if 0.0 < age_s < MAX_JOB_AGE_S else 0.0

    def _cancel_job(self, kv: KeyValue) -> None:
        id = kv.key.removeprefix(keys.CANCELS)
        if id in self.ctx.dispatcher.jobs:
            # The key is removed after the job's end has been written. If it were removed earlier,
            # the job would run again after a crash between the two writes.
            self.ctx.dispatcher.cancel_job(id)
            outcome = "stopping"
        else:
            self.ctx.removable.append(id)
            outcome = "had ended"
        self.ctx.process.log.emit(
            "job.cancelled", job=id, revision=kv.mod_revision, outcome=outcome
        )
