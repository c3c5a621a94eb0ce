"""Become a member of the cell, and the owner of its work when there is none."""

from __future__ import annotations

import asyncio
import contextlib

from attrs import define, evolve, field
from loguru import logger

from rhubarbferry.cell import keys
from rhubarbferry.cell.context import Surroundings, Tenure
from rhubarbferry.cell.following import PrefixFollower
from rhubarbferry.cell.hand_over import hand_over
from rhubarbferry.cell.members import Member, Ownership, encode_member, rank
from rhubarbferry.cell.term import Term
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

# How long one watch call waits.
WATCH_S = 2.0
RETRY_S = 0.2
# Members try for the ownership one after the other, each this long after the one before, so
# that a free ownership costs one write and not one from each member.
TURN_S = 0.12
# How long a store that serves this process takes at most, when it is slow.
REACH_S = 0.45
# A process that could not load the work in time does not take it over again for this long.
OVERLOADED_S = 30.0
# Between two looks at a lease that has run out, until its keeper asks for another.
LAPSED_S = 0.05
# After a term that ended with a failure of this program, others get their turn first.
FAILURE_PAUSE_S = 1.0


@define(kw_only=True, eq=False)
class Candidate:
    """This process's part in the cell.

    :ivar term: the term of ownership, while there is one.
    """

    around: Surroundings
    term: Term | None = None
    _draining: bool = False
    _running: asyncio.Task[None] | None = None
    _follower: PrefixFollower = field(init=False)
    _won: asyncio.Event = field(factory=asyncio.Event)
    _registered: int = 0
    _free_since: float | None = None
    _election: int = 0
    _overloaded_until: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        self._follower = self.around.follow(keys.CONTROL)

    async def run(self) -> None:
        """Take part until cancelled."""
        while True:
            try:
                await self._step()
            except StoreError as exc:
                self.around.log.emit("cell.not_read", reason=str(exc)[:200])
                await asyncio.sleep(RETRY_S)

    async def leave(self) -> None:
        """Hand over at once, for a planned stop."""
        self._draining = True
        lease = self.around.keeper.held()
        if self.term is not None:
            await self._hand_over(self.term)
        if self._running is not None:
            self._running.cancel()
            await asyncio.gather(self._running, return_exceptions=True)
        if lease is None:
            return
        try:
            await self.around.store.commit(Txn(delete=(keys.MEMBERS + self.around.own.name,)))
        except StoreError as exc:
            self.around.log.emit("member.not_removed", reason=str(exc)[:200])

    async def reaches_store(self) -> bool:
        """Tell whether the store answers this process, by asking it.

        What it answered just now is no proof: as an outage begins, each process has still been
        answered a moment ago, and the owner would hand over for nothing.
        """
        try:
            async with asyncio.timeout(REACH_S):
                await self.around.store.get(keys.OWNER)
        except (StoreError, TimeoutError):
            return False
        return True

    async def take_over(self, fence: int) -> bool:
        """Replace the key of an owner that asks for it; return whether that is done."""
        self.around.log.emit("owner.asked_to_take_over", fence=fence)
        return await self._become_owner(replaces=fence)

    async def replace_silent(self, ownership: Ownership) -> bool:
        """Take the work from an owner that does not answer; return whether that is done.

        Its lease is ended first, and its key goes with that. It may be alive and only cut off from
        this process: were just the key replaced, it could go on to extend its lease, and would act
        until it learns of that, longer than its successor waits for hosts that only it can reach.
        """
        try:
            await self.around.store.revoke_lease(ownership.lease_id)
        except StoreError as exc:
            self.around.log.emit("owner.not_replaced", reason=str(exc)[:200])
            return False
        return await self._become_owner(replaces=0)

    async def _become_owner(self, *, replaces: int) -> bool:
        """Write this process's key; return whether it owns the work.

        :param replaces: revision of the key that stands there, 0 for none.
        """
        lease = self.around.keeper.held()
        if lease is None or self._draining or self.term is not None or self._overloaded():
            return False
        try:
            ownership = await self._write_key(lease, replaces=replaces)
        except StoreError as exc:
            self.around.log.emit("owner.not_replaced", reason=str(exc)[:200])
            return False
        if ownership is None:
            return False
        # The watch shows it too, by one more answer of the store in which nobody would decide.
        self.around.view.owned(ownership)
        self._won.set()
        return True

    def _overloaded(self) -> bool:
        return self.around.clock.monotonic() < self._overloaded_until

    async def _hand_over(self, term: Term) -> None:
        member = await hand_over(self.around, term.tenure)
        if member is not None:
            term.tenure.end(f"handed over to {member.name}")

    async def _step(self) -> None:
        lease = self.around.keeper.held()
        if lease is None:
            self._registered = 0
            await self._wait_for_lease()
            return
        if lease.id != self._registered and not self._draining:
            await self._register(lease)
        if not self._follower.listed:
            await self._watch(0.0)
        ownership = self.around.view.ownership
        if ownership is not None:
            self._free_since = None
            if self._is_ours(ownership, lease):
                await self._hold(ownership, lease)
                return
        if self._draining:
            await self._watch(WATCH_S)
        elif ownership is None:
            await self._wait_for_turn_and_own(lease)
        elif ownership.owner.address == self.around.own.address:
            # The key of an earlier life of this process: there is one process to an address, so
            # that one has ended. Waiting for its lease to end would only lengthen the gap.
            await self._try_to_own(lease, replaces=ownership.fence)
        else:
            await self._watch(WATCH_S)

    async def _wait_for_lease(self) -> None:
        """Return as soon as there may be a lease: until then a start or an outage lasts longer."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.around.keeper.granted.wait(), RETRY_S)
        if self.around.keeper.granted.is_set() and self.around.keeper.held() is None:
            # It has run out, and its keeper has not noticed yet.
            await asyncio.sleep(LAPSED_S)

    async def _watch(self, wait_s: float) -> None:
        """Take in what changes; return early when this process has become the owner."""
        change = asyncio.ensure_future(self._follower.next(wait_s))
        won = asyncio.ensure_future(self._won.wait())
        try:
            await asyncio.wait({change, won}, return_when=asyncio.FIRST_COMPLETED)
            # Left set, it would end every later watch before a change can arrive.
            self._won.clear()
            if not change.done():
                return
        finally:
            change.cancel()
            won.cancel()
        match change.result():
            case Listing(items=items, revision=revision):
                self.around.view.replace(items, revision=revision)
                self._election = revision
            case Changes(events=events, revision=revision) if events:
                self.around.view.apply(events)
                self._election = revision

    async def _register(self, lease: Lease) -> None:
        key = keys.MEMBERS + self.around.own.name
        value = encode_member(self._own())
        await self.around.store.commit(Txn(put=(Put(key=key, value=value, lease_id=lease.id),)))
        self._registered = lease.id
        self.around.log.emit("member.registered", lease=lease.id)

    def _own(self) -> Member:
        return evolve(self.around.own, store_s=round(self.around.keeper.round_trip_s, 3))

    def _is_ours(self, ownership: Ownership, lease: Lease) -> bool:
        return ownership.owner.name == self.around.own.name and ownership.lease_id == lease.id

    async def _wait_for_turn_and_own(self, lease: Lease) -> None:
        now = self.around.clock.monotonic()
        if self._free_since is None:
            self._free_since = now
        place = rank(self._own(), self.around.view.members.values(), seed=self._election)
        if self._overloaded():
            # Only where nobody else does.
            place += len(self.around.view.members)
        left = self._free_since + place * TURN_S - now
        if left > 0:
            await self._watch(left)
            return
        await self._try_to_own(lease, replaces=0)

    async def _try_to_own(self, lease: Lease, *, replaces: int) -> None:
        ownership = await self._write_key(lease, replaces=replaces)
        self._follower.restart()
        if ownership is not None:
            self.around.view.owned(ownership)
            await self._hold(ownership, lease)

    async def _write_key(self, lease: Lease, *, replaces: int) -> Ownership | None:
        """Write the owner's key; return the ownership if it was won.

        :param replaces: revision of the key that stands there, 0 for none.
        """
        value = encode_member(self.around.own)
        result = await self.around.store.commit(
            Txn(
                expect=(Expect(key=keys.OWNER, revision=replaces),),
                put=(Put(key=keys.OWNER, value=value, lease_id=lease.id),),
            )
        )
        if not isinstance(result, Committed):
            return None
        return Ownership(owner=self.around.own, fence=result.revision, lease_id=lease.id)

    async def _hold(self, ownership: Ownership, lease: Lease) -> None:
        tenure = Tenure(keeper=self.around.keeper, lease_id=lease.id, fence=ownership.fence)
        term = Term(around=self.around, tenure=tenure)
        self.around.log.emit("term.begun", fence=tenure.fence, lease=lease.id)
        self.term = term
        self._running = asyncio.create_task(term.run())
        failed = False
        try:
            await asyncio.shield(self._running)
        except asyncio.CancelledError:
            if self._running.cancelled() and not self._draining:
                raise
            self._running.cancel()
        except Exception:
            # A fault of this program. Another process may do better, and this one must not
            # hold on to work that it does not do.
            logger.opt(exception=True).error("the term of ownership failed")
            failed = True
        self.term = None
        if term.overloaded:
            self._overloaded_until = self.around.clock.monotonic() + OVERLOADED_S
        await self._give_up(term)
        self._follower.restart()
        if failed:
            await asyncio.sleep(FAILURE_PAUSE_S)

    async def _give_up(self, term: Term) -> None:
        tenure = term.tenure
        self.around.log.emit("term.ended", fence=tenure.fence, reason=tenure.ended or "left")
        if tenure.handed_over or await self._key_removed(term):
            return
        # The key may still be there, under a lease that this process goes on to extend: then
        # nobody would do the work. Without the lease the key ends within its time.
        self.around.keeper.drop("its term of ownership has ended")

    async def _key_removed(self, term: Term) -> bool:
        """Remove the owner's key if this process may; return whether it is gone."""
        tenure = term.tenure
        if not tenure.holds():
            return False
        await term.finish()
        tenure.end("given up")
        try:
            await self.around.store.commit(Txn(expect=(tenure.condition(),), delete=(keys.OWNER,)))
        except StoreError as exc:
            self.around.log.emit("owner.not_removed", reason=str(exc)[:200])
            return False
        return True
