"""Acquire and renew this process's lease in the store."""

from __future__ import annotations

import asyncio

from attrs import define, field

from rhubarbferry.cell.answer_times import AnswerTimes
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.core.lease import Lease
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.store import LeaseLost, StoreError, TxnStore

# Short, because an owner that no process can ping is replaced only when its lease expires. Long
# enough to survive a slow store and two lost renewals.
LEASE_TTL_S = 1.5
# Used for a while after a slow renewal. On a busy link the answers of renewals wait behind other
# transfers, and a new owner that lost its lease while it reads the jobs would have to read them
# again. An outage of the store is no reason: the keys of a process that has died would only stay.
LONG_LEASE_TTL_S = 4.0
LONG_LEASE_PERIOD_S = 30.0
RENEWAL_INTERVAL_S = 0.3
# Subtracted from each lease period, because the clocks of this host and the store may drift apart
# by 2 %.
CLOCK_MARGIN_S = 0.1
GRANT_RETRY_INTERVAL_S = 0.2
# A renewal that takes this long is slow. A slow but idle store answers sooner.
SLOW_RENEWAL_S = 0.5
# The store counts as responsive for this long after an answer: the renewal interval plus the answer
# time of a slow store.
STORE_ANSWER_MAX_AGE_S = 0.5
# The store counts as lost after this time at the latest, while an owner may still act.
LOST_STORE_MAX_AGE_S = LEASE_TTL_S - 2 * CLOCK_MARGIN_S


@define(kw_only=True, eq=False)
class LeaseKeeper:
    """Acquires a lease and renews it until cancelled.

    :ivar answered_at: when the store last granted or renewed the lease.
    :ivar round_trip_s: how long the last grant took.
    :ivar granted: set while there is a lease, for tasks that wait for one.
    """

    clock: Clock
    store: TxnStore
    log: EventLog
    lease: Lease | None = None
    answered_at: float = float("-inf")
    round_trip_s: float = 0.0
    granted: asyncio.Event = field(factory=asyncio.Event)
    _incarnation: int = 0
    _sent_at: float = float("-inf")
    _extended_at: float = float("-inf")
    _acted_until: float = float("-inf")
    _answer_times: AnswerTimes = field(factory=AnswerTimes)
    _long_leases_until: float = float("-inf")
    _renewals: set[asyncio.Task[None]] = field(factory=set)
    _ends: set[asyncio.Task[None]] = field(factory=set)

    def valid_lease(self) -> Lease | None:
        """Return the lease if an owner may act on it, else ``None``.

        An owner may act for as long as a lease of the usual length holds, since its successor
        waits no longer for its actions. With a long lease it may act again once a renewal has been
        answered.
        """
        acts_until = self._extended_at + LEASE_TTL_S - CLOCK_MARGIN_S
        return self.kept_lease() if self.clock.monotonic() < acts_until else None

    def kept_lease(self) -> Lease | None:
        """Return the lease, ``None`` if it may have expired."""
        lease = self.lease
        return lease if lease is not None and lease.holds(self.clock.monotonic()) else None

    def acts_for_s(self, lease_id: int) -> float:
        """Return how long an owner may still act if no further renewal is answered.

        It is negative once it may not act any more: the time since it last could.

        :param lease_id: lease that the owner's key is attached to.
        """
        holds = self.lease is not None and self.lease.id == lease_id
        acts_until = self._acts_until() if holds else self._acted_until
        return acts_until - self.clock.monotonic()

    def _acts_until(self) -> float:
        assert self.lease is not None
        return min(self.lease.until, self._extended_at + LEASE_TTL_S - CLOCK_MARGIN_S)

    def store_reachable(self) -> bool:
        """Return whether the store has answered this process recently."""
        return self.clock.monotonic() - self.answered_at < STORE_ANSWER_MAX_AGE_S

    def store_lost(self) -> bool:
        """Return whether the store has been silent for much longer than its recent answers took.

        Handing over costs a takeover, and on a busy link the successor's answers are as late.
        """
        max_age_s = self._answer_times.limit_s(
            extra_s=RENEWAL_INTERVAL_S,
            min_s=STORE_ANSWER_MAX_AGE_S,
            max_s=LOST_STORE_MAX_AGE_S,
        )
        return self.clock.monotonic() - self.answered_at >= max_age_s

    async def run(self) -> None:
        """Acquire and renew a lease until cancelled."""
        while True:
            if self.lease is None:
                await self._grant()
            elif not self.lease.holds(self.clock.monotonic()):
                self._discard("it was not extended in time")
            else:
                # Renewals may overlap. If each waited for the one before, a renewal on a dead
                # connection would delay the next one until the lease expires, although the store
                # is healthy.
                renewal = asyncio.create_task(self._renew(self.lease))
                self._renewals.add(renewal)
                renewal.add_done_callback(self._renewals.discard)
                await self.clock.sleep(RENEWAL_INTERVAL_S)

    def drop(self, reason: str) -> None:
        """Stop renewing the lease and end it, so that all keys that are bound to it are removed."""
        if self.lease is not None:
            end = asyncio.create_task(self._end(self.lease.id))
            self._ends.add(end)
            end.add_done_callback(self._ends.discard)
            self._discard(reason)

    async def _end(self, lease_id: int) -> None:
        try:
            await self.store.revoke_lease(lease_id)
        except StoreError as exc:
            self.log.emit("lease.not_ended", lease=lease_id, reason=str(exc)[:200])

    async def _grant(self) -> None:
        sent_at = self.clock.monotonic()
        ttl_s = LONG_LEASE_TTL_S if sent_at < self._long_leases_until else LEASE_TTL_S
        try:
            id = await self.store.grant_lease(ttl_s)
        except StoreError as exc:
            self.log.emit("lease.not_granted", reason=str(exc))
            await self.clock.sleep(GRANT_RETRY_INTERVAL_S)
            return
        self._incarnation += 1
        self.answered_at = self.clock.monotonic()
        self.round_trip_s = self.answered_at - sent_at
        self._extended_at = sent_at
        self.lease = Lease.granted(
            id=id,
            incarnation=self._incarnation,
            asked_at=sent_at,
            ttl_s=ttl_s,
            margin_s=CLOCK_MARGIN_S,
        )
        self.granted.set()
        self.log.emit("lease.granted", lease=id, ttl_s=ttl_s, outcome="store reached")

    async def _renew(self, lease: Lease) -> None:
        sent_at = self._sent_at = self.clock.monotonic()
        try:
            ttl_s = await self.store.keep_alive(lease.id)
        except LeaseLost:
            if self.lease is not None and self.lease.id == lease.id:
                self._discard("the store has ended it")
        except StoreError as exc:
            self.log.emit("lease.not_extended", lease=lease.id, reason=str(exc))
        else:
            self.answered_at = self.clock.monotonic()
            took_s = self.answered_at - sent_at
            self._answer_times.record(took_s)
            if took_s >= SLOW_RENEWAL_S:
                self._long_leases_until = self.answered_at + LONG_LEASE_PERIOD_S
                self.log.emit("lease.extended_late", lease=lease.id, took_s=round(took_s, 3))
            if self.lease is not None and self.lease.id == lease.id:
                self.lease = self.lease.renewed(asked_at=sent_at, ttl_s=ttl_s)
                self._extended_at = max(self._extended_at, sent_at)

    def _discard(self, reason: str) -> None:
        assert self.lease is not None
        now = self.clock.monotonic()
        self.log.emit(
            "lease.lost",
            lease=self.lease.id,
            reason=reason,
            last_sent_ago_s=round(now - self._sent_at, 3),
            last_answered_ago_s=round(now - self.answered_at, 3),
            unanswered=len(self._renewals),
        )
        self._acted_until = min(now, self._acts_until())
        self.lease = None
        self.granted.clear()
