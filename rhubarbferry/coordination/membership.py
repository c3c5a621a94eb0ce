"""The member record of this process and the lease that it depends on."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from attrs import evolve
from loguru import logger
from prometheus_client import Counter

from rhubarbferry.conf.settings import OwnershipSettings
from rhubarbferry.coordination.change_notifier import ChangeNotifier, wait_at_most
from rhubarbferry.coordination.keys import member_key
from rhubarbferry.coordination.records import decode, encode
from rhubarbferry.core.lease import Lease
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.ownership import Member
from rhubarbferry.ports.store import LeaseLost, Store, StoreError, StoreUnclear

LEASES_LOST = Counter("rhubarbferry_leases_lost_total", "Leases that this process has lost")
RENEWALS_FAILED = Counter(
    "rhubarbferry_lease_renewals_failed_total", "Lease renewals that the store did not answer"
)
FIRST_INCARNATION = 1
REJOIN_DELAY_S = 0.05


class Membership:
    """Keep this process a member of the cell: maintain its lease and publish its record.

    :param member: the record to publish.
    :ivar lease: the current lease, or ``None``.
    :ivar store_answered: whether the store answered the last request.
    :ivar changes: notified when the lease is renewed or lost, and on publication.
    """

    def __init__(
        self, *, cfg: OwnershipSettings, clock: Clock, store: Store, member: Member
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._store = store
        self._desired = evolve(member, incarnation=FIRST_INCARNATION)
        self._published: Member | None = None
        self._revision = 0
        self._updates = ChangeNotifier()
        self.lease: Lease | None = None
        self.store_answered = True
        self.changes = ChangeNotifier()

    @property
    def member(self) -> Member:
        """The desired state of the record."""
        return self._desired

    @property
    def published(self) -> Member | None:
        """The record as last stored, or ``None`` without a lease."""
        return self._published

    def is_missing_from(self, members: Mapping[str, Member], revision: int) -> bool:
        """Return whether the record was deleted, as of a store revision.

        Other members treat a missing record as the end of this process, even if its lease is still
        valid.
        """
        published = self._published
        if published is None or revision < self._revision:
            return False
        stored = members.get(published.id)
        return stored is None or stored.incarnation != published.incarnation

    def update(self, **changes: Any) -> None:
        """Change fields of the record; changes made in quick succession share one write."""
        self._desired = evolve(self._desired, **changes)
        self._updates.notify()

    def holds(self, incarnation: int) -> bool:
        """Return whether the lease with this incarnation is still valid beyond doubt."""
        lease = self.lease
        if lease is None or lease.incarnation != incarnation:
            return False
        return lease.holds(self._clock.monotonic())

    def drop_lease(self) -> None:
        """Drop the lease, which ends all tenures that were won under it.

        While there is no lease, others may take over the partitions. A lease acquired later is a
        new one with a new incarnation, which no entry of the ownership table refers to.
        """
        if self.lease is None:
            return
        LEASES_LOST.inc()
        logger.warning("lease {} of {} is lost", self.lease.id, self._desired.id)
        self.lease = None
        self._published = None
        self._desired = evolve(self._desired, incarnation=self._desired.incarnation + 1)
        self.changes.notify()

    async def run(self) -> None:
        """Acquire and renew the lease and publish the record until cancelled."""
        while True:
            version = self._updates.version
            pause_s = self._cfg.renew_s
            try:
                await self._step()
                self.store_answered = True
            except LeaseLost:
                self.store_answered = True
                self.drop_lease()
                pause_s = REJOIN_DELAY_S
            except StoreError as exc:
                self.store_answered = False
                RENEWALS_FAILED.inc()
                logger.debug("membership: {}", exc)
            await wait_at_most(self._clock, pause_s, self._updates.changed(version))

    async def leave(self) -> None:
        """Revoke the lease, so that others need not wait for it to expire.

        :raises StoreError: when the store can't be reached; the lease then expires on its own.
        """
        lease = self.lease
        self.drop_lease()
        if lease is not None:
            await self._store.revoke_lease(lease.id)

    async def _step(self) -> None:
        if self.lease is None:
            await self._join()
        else:
            await self._renew(self.lease)
        if self._published != self._desired:
            await self._publish()

    async def _join(self) -> None:
        asked_at = self._clock.monotonic()
        lease_id = await self._store.grant_lease(self._cfg.lease_s)
        self.lease = Lease.granted(
            id=lease_id,
            incarnation=self._desired.incarnation,
            asked_at=asked_at,
            ttl_s=self._cfg.lease_s,
            margin_s=self._cfg.clock_margin_s,
        )

    async def _renew(self, lease: Lease) -> None:
        asked_at = self._clock.monotonic()
        ttl_s = await self._store.keep_alive(lease.id)
        if self.lease is lease:
            self.lease = lease.renewed(asked_at=asked_at, ttl_s=ttl_s)
            self.changes.notify()

    async def _publish(self) -> None:
        lease, desired = self.lease, self._desired
        assert lease is not None
        key, value = member_key(desired.id), encode(desired)
        try:
            if self._published is None:
                revision = await self._store.create(key, value, lease_id=lease.id)
            else:
                revision = await self._store.put_if(
                    key, value, mod_revision=self._revision, lease_id=lease.id
                )
        except StoreUnclear:
            revision = None
        if revision is None:
            revision = await self._resolve_write(key, value, lease)
        if self.lease is not lease and (self.lease is None or self.lease.id != lease.id):
            return
        self._revision = revision
        self._published = desired
        self.changes.notify()

    async def _resolve_write(self, key: str, value: bytes, lease: Lease) -> int:
        """Return the revision of the stored record, or raise when it must not be overwritten.

        :raises StoreUnclear: when an older record of this lease is stored; it is written again.
        :raises LeaseLost: when the record is gone or belongs to another lease.
        """
        kv = await self._store.get(key)
        if kv is not None and kv.lease_id == lease.id:
            if kv.value == value:
                return kv.mod_revision
            self._revision = kv.mod_revision
            self._published = decode(key, kv.value, Member)
            self._updates.notify()
            raise StoreUnclear(
                "the store holds an older record of this member; it must be written again"
            )
        # Deleted, or attached to another lease: others may already consider this process dead.
        raise LeaseLost(f"the record {key!r} is not attached to the lease of this process")
