"""Register this process as a member of the cell and make it the owner when there is none."""

from __future__ import annotations

import asyncio
import contextlib

from attrs import define, evolve, field
from loguru import logger

from rhubarbferry.cell import keys
from rhubarbferry.cell.acquisition import Acquisition, Opportunity
from rhubarbferry.cell.hand_over import hand_over
from rhubarbferry.cell.members import Member, Ownership, election_rank, encode_member
from rhubarbferry.cell.prefix_watch import PrefixWatcher
from rhubarbferry.cell.term import Term
from rhubarbferry.cell.term_context import ProcessContext, Tenure
from rhubarbferry.core.lease import Lease
from rhubarbferry.ports.store import (
    Changes,
    Committed,
    Expect,
    Listing,
    Put,
    StoreError,
    Txn,
)

# Timeout of one watch call.
WATCH_TIMEOUT_S = 2.0
STORE_RETRY_INTERVAL_S = 0.2
# Members try to become the owner one after the other, at this interval. A vacant ownership then
# costs one write to the store and not one from each member.
ELECTION_STAGGER_S = 0.12
# Longest time that a slow but working store takes to answer.
STORE_CHECK_TIMEOUT_S = 0.45
# A process that could not load the jobs in time does not take them over again for this long.
OVERLOAD_COOLDOWN_S = 30.0
# Poll interval while the lease has expired and its keeper has not yet requested a new one.
EXPIRED_LEASE_POLL_INTERVAL_S = 0.05
# After a term that ended with an unexpected exception, this process waits for this long, so that
# another member can become the owner.
FAILED_TERM_BACKOFF_S = 1.0


@define(kw_only=True, eq=False)
class Candidate:
    """Keeps this process registered in the cell and acquires the ownership when it is vacant.

    :ivar term: the current term of ownership, ``None`` while this process is not the owner.
    """

    process: ProcessContext
    term: Term | None = None
    _draining: bool = False
    _term_task: asyncio.Task[None] | None = None
    _watcher: PrefixWatcher = field(init=False)
    _won: asyncio.Event = field(factory=asyncio.Event)
    _registered_lease_id: int = 0
    _registered_revision: int = 0
    _vacant_since: float | None = None
    _election_seed: int = 0
    _overloaded_until: float = float("-inf")
    _attempt: Acquisition | None = None
    _acquired_fence: int = 0
    # Leases of owners that have asked this process to take over, to be ended by its next term.
    _former_leases: set[int] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._watcher = self.process.watch_prefix(keys.CONTROL)

    async def run(self) -> None:
        """Take part in the cell until cancelled."""
        while True:
            try:
                await self._step()
            except StoreError as exc:
                self.process.log.emit("cell.not_read", reason=str(exc)[:200])
                await asyncio.sleep(STORE_RETRY_INTERVAL_S)

    async def leave(self) -> None:
        """Hand over the ownership and unregister, for a planned stop."""
        self._draining = True
        lease = self.process.keeper.valid_lease()
        if self.term is not None:
            await self._hand_over(self.term)
        if self._term_task is not None:
            self._term_task.cancel()
            await asyncio.gather(self._term_task, return_exceptions=True)
        if lease is None:
            return
        key = keys.MEMBERS + self.process.own.name
        # Without the condition, a removal that is carried out late could remove the key that this
        # process writes when it starts again.
        registered = Expect(key=key, revision=self._registered_revision)
        try:
            await self.process.store.commit(Txn(expect=(registered,), delete=(key,)))
        except StoreError as exc:
            self.process.log.emit("member.not_removed", reason=str(exc)[:200])

    async def reaches_store(self) -> bool:
        """Return whether the store answers this process now, by sending it a request.

        A recent answer is not enough. At the start of an outage every process was answered a
        moment ago, and the owner would hand over in vain.
        """
        try:
            async with asyncio.timeout(STORE_CHECK_TIMEOUT_S):
                await self.process.store.get(keys.OWNER)
        except (StoreError, TimeoutError):
            return False
        return True

    async def take_over(self, fence: int) -> bool:
        """Replace the owner's key at the owner's request.

        The owner schedules until this process has written its own key, and may go on if it gets no
        answer. Its lease is therefore ended as soon as the key is written.

        :returns: whether this process is now the owner.
        """
        self.process.log.emit("owner.asked_to_take_over", fence=fence)
        try:
            lease_id = await self._find_lease(fence)
        except StoreError as exc:
            self.process.log.emit("owner.not_replaced", reason=str(exc)[:200])
            return False
        if lease_id is None:
            self.process.log.emit("owner.not_replaced", reason="another process is the owner")
            return False
        self._former_leases.add(lease_id)
        return await self._acquire(Opportunity.HANDED_OVER, replaces=fence)

    async def _find_lease(self, fence: int) -> int | None:
        """Return the lease of the owner's key, ``None`` if the key has another revision."""
        ownership = self.process.view.ownership
        if ownership is not None and ownership.fence == fence:
            return ownership.lease_id
        # The watch may not have delivered the key yet.
        item = await self.process.store.get(keys.OWNER)
        return item.lease_id if item is not None and item.mod_revision == fence else None

    async def replace_unresponsive(self, ownership: Ownership) -> bool:
        """Replace an owner that does not respond.

        Its lease is revoked first, which also removes its key. The owner may be alive and only
        disconnected from this process. If just the key were replaced, it could go on renewing its
        lease and would act until it notices the new key. That may take longer than its successor
        waits for hosts that only the former owner can reach. Another process may notice the vacancy
        and become the owner first.

        :returns: whether this process has ended the owner's lease.
        """
        try:
            ended = await self.process.store.revoke_lease(ownership.lease_id)
        except StoreError as exc:
            self.process.log.emit("owner.not_replaced", reason=str(exc)[:200])
            return False
        await self._acquire(Opportunity.LEASE_REVOKED if ended else Opportunity.VACANT, replaces=0)
        return ended

    async def _acquire(self, opportunity: Opportunity, *, replaces: int) -> bool:
        """Write the owner's key for this process, unless it may not become the owner now.

        :param replaces: revision of the owner's key to replace, 0 if there is none.
        :returns: whether this process is now the owner.
        """
        lease = self.process.keeper.valid_lease()
        if lease is None or self._draining or self.term is not None or self._overloaded():
            return False
        try:
            ownership = await self._write_owner_key(lease, opportunity, replaces=replaces)
        except StoreError as exc:
            self.process.log.emit("owner.not_replaced", reason=str(exc)[:200])
            return False
        if ownership is None:
            return False
        # The watch also delivers this key, but one store answer later, and until then no process
        # would schedule.
        self.process.view.set_owner(ownership)
        self._won.set()
        return True

    def _overloaded(self) -> bool:
        return self.process.clock.monotonic() < self._overloaded_until

    async def _hand_over(self, term: Term) -> None:
        member = await hand_over(self.process, term.tenure)
        if member is not None:
            term.tenure.end(f"handed over to {member.name}")

    async def _step(self) -> None:
        lease = self.process.keeper.kept_lease()
        if lease is None:
            self._registered_lease_id = 0
            await self._wait_for_lease()
            return
        if lease.id != self._registered_lease_id and not self._draining:
            await self._register(lease)
        if not self._watcher.listed:
            await self._follow_changes(0.0)
        ownership = self.process.view.ownership
        if ownership is not None:
            self._vacant_since = None
            if self._is_ours(ownership, lease):
                await self._run_term(ownership, lease)
                return
        if self._draining:
            await self._follow_changes(WATCH_TIMEOUT_S)
        elif ownership is None:
            await self._acquire_in_turn(lease)
        elif ownership.owner.address == self.process.own.address:
            # The key was written by an earlier incarnation of this process. An address belongs to
            # one process only, so that incarnation has exited. Waiting for its lease to expire
            # would only lengthen the gap.
            await self._acquire_and_run(lease, Opportunity.OWN_EARLIER, replaces=ownership.fence)
        else:
            await self._follow_changes(WATCH_TIMEOUT_S)

    async def _wait_for_lease(self) -> None:
        """Return as soon as there may be a lease.

        Any delay here lengthens a start or an outage.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STORE_RETRY_INTERVAL_S):
                await self.process.keeper.granted.wait()
        if self.process.keeper.granted.is_set() and self.process.keeper.kept_lease() is None:
            # The lease has expired, and its keeper has not noticed yet.
            await asyncio.sleep(EXPIRED_LEASE_POLL_INTERVAL_S)

    async def _follow_changes(self, wait_s: float) -> None:
        """Apply changes of the cell; return early when this process has become the owner."""
        change = asyncio.ensure_future(self._watcher.next(wait_s))
        won = asyncio.ensure_future(self._won.wait())
        try:
            await asyncio.wait({change, won}, return_when=asyncio.FIRST_COMPLETED)
            # If the event stayed set, every later watch would end before a change can arrive.
            self._won.clear()
            if not change.done():
                return
        finally:
            change.cancel()
            won.cancel()
        match change.result():
            case Listing(items=items, revision=revision):
                self.process.view.replace(items, revision=revision)
                self._election_seed = revision
            case Changes(events=events, revision=revision) if events:
                self.process.view.apply(events)
                self._election_seed = revision

    async def _register(self, lease: Lease) -> None:
        key = keys.MEMBERS + self.process.own.name
        value = encode_member(self._own_member())
        result = await self.process.store.commit(
            Txn(put=(Put(key=key, value=value, lease_id=lease.id),))
        )
        if isinstance(result, Committed):
            self._registered_revision = result.revision
        self._registered_lease_id = lease.id
        self.process.log.emit("member.registered", lease=lease.id)

    def _own_member(self) -> Member:
        return evolve(self.process.own, store_s=round(self.process.keeper.round_trip_s, 3))

    def _is_ours(self, ownership: Ownership, lease: Lease) -> bool:
        return ownership.owner.name == self.process.own.name and ownership.lease_id == lease.id

    async def _acquire_in_turn(self, lease: Lease) -> None:
        now = self.process.clock.monotonic()
        if self._vacant_since is None:
            self._vacant_since = now
        position = election_rank(
            self._own_member(), self.process.view.members.values(), seed=self._election_seed
        )
        if self._overloaded():
            # Become the owner only if no other member does.
            position += len(self.process.view.members)
        remaining_s = self._vacant_since + position * ELECTION_STAGGER_S - now
        if remaining_s > 0:
            await self._follow_changes(remaining_s)
            return
        await self._acquire_and_run(lease, Opportunity.VACANT, replaces=0)

    async def _acquire_and_run(
        self, lease: Lease, opportunity: Opportunity, *, replaces: int
    ) -> None:
        ownership = await self._write_owner_key(lease, opportunity, replaces=replaces)
        self._watcher.restart()
        if ownership is not None:
            self.process.view.set_owner(ownership)
            await self._run_term(ownership, lease)

    async def _write_owner_key(
        self, lease: Lease, opportunity: Opportunity, *, replaces: int
    ) -> Ownership | None:
        """Write the owner's key.

        :param replaces: revision of the owner's key to replace, 0 if there is none.
        :returns: the new ownership, ``None`` if the key has another revision.
        """
        value = encode_member(self.process.own)
        earlier = self._attempt
        attempt = self._attempt = Acquisition(
            opportunity=opportunity,
            former=self.process.view.last_owner,
            replaces=replaces,
            sent_at=self.process.clock.monotonic(),
        )
        result = await self.process.store.commit(
            Txn(
                expect=(Expect(key=keys.OWNER, revision=replaces),),
                put=(Put(key=keys.OWNER, value=value, lease_id=lease.id),),
            )
        )
        if not isinstance(result, Committed):
            # An earlier write without an answer may have taken effect.
            self._attempt = earlier
            return None
        self._attempt = attempt
        self._acquired_fence = result.revision
        return Ownership(owner=self.process.own, fence=result.revision, lease_id=lease.id)

    async def _run_term(self, ownership: Ownership, lease: Lease) -> None:
        tenure = Tenure(keeper=self.process.keeper, lease_id=lease.id, fence=ownership.fence)
        term = Term(
            process=self.process, tenure=tenure, former_leases=frozenset(self._former_leases)
        )
        self._former_leases.clear()
        self._log_begun(tenure)
        self.term = term
        self._term_task = asyncio.create_task(term.run())
        failed = False
        try:
            await asyncio.shield(self._term_task)
        except asyncio.CancelledError:
            if self._term_task.cancelled() and not self._draining:
                raise
            self._term_task.cancel()
        except Exception:
            # A bug in this program. It may not affect another process, and this one must not keep
            # the ownership of jobs that it does not schedule.
            logger.opt(exception=True).error("the term of ownership failed")
            failed = True
        self.term = None
        if term.overloaded:
            self._overloaded_until = self.process.clock.monotonic() + OVERLOAD_COOLDOWN_S
        await self._release(term)
        self._watcher.restart()
        if failed:
            await asyncio.sleep(FAILED_TERM_BACKOFF_S)

    def _log_begun(self, tenure: Tenure) -> None:
        attempt = self._attempt
        fields: dict[str, object] = {}
        if attempt is not None:
            fields = {
                "acquired": attempt.opportunity.value,
                "former": attempt.former_name,
                "former_fence": attempt.former_fence,
                "key_sent_ago_s": round(self.process.clock.monotonic() - attempt.sent_at, 3),
                "key_answered": tenure.fence == self._acquired_fence,
            }
        self.process.log.emit("term.begun", fence=tenure.fence, lease=tenure.lease_id, **fields)

    def _log_ended(self, tenure: Tenure) -> None:
        now = self.process.clock.monotonic()
        noticed_at = tenure.ended_at if tenure.ended_at is not None else now
        acts_for_s = tenure.acted_for_s if tenure.ended_at is not None else tenure.acts_for_s()
        self.process.log.emit(
            "term.ended",
            fence=tenure.fence,
            reason=tenure.ended or "left",
            noticed_by=tenure.noticed_by.value,
            noticed_ago_s=round(now - noticed_at, 3),
            acts_for_s=round(acts_for_s, 3),
            store_answered_ago_s=round(now - self.process.keeper.answered_at, 3),
        )

    async def _release(self, term: Term) -> None:
        tenure = term.tenure
        self._log_ended(tenure)
        if tenure.handed_over or await self._remove_key(term):
            return
        # The key may still exist under a lease that this process keeps renewing, and then no
        # process would schedule. Once the lease is dropped, the key is removed with it.
        self.process.keeper.drop("its term of ownership has ended")

    async def _remove_key(self, term: Term) -> bool:
        """Remove the owner's key if this process still owns it.

        :returns: whether the key has been removed.
        """
        tenure = term.tenure
        if not tenure.holds():
            return False
        await term.flush()
        tenure.end("given up")
        try:
            await self.process.store.commit(Txn(expect=(tenure.condition(),), delete=(keys.OWNER,)))
        except StoreError as exc:
            self.process.log.emit("owner.not_removed", reason=str(exc)[:200])
            return False
        return True
