"""One process as a member of the cell: combines membership, ownership and configuration."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Awaitable, Callable

from loguru import logger

from rhubarbferry.conf.settings import Settings
from rhubarbferry.coordination.budget import SharedBudget
from rhubarbferry.coordination.change_notifier import wait_at_most
from rhubarbferry.coordination.configuration import ActiveConfig, restore
from rhubarbferry.coordination.guard_sets import GuardSetManager
from rhubarbferry.coordination.membership import Membership
from rhubarbferry.coordination.mirror import Mirror
from rhubarbferry.coordination.peers import PeerConfiguration
from rhubarbferry.coordination.planner import Planner
from rhubarbferry.coordination.promises import GuardClient, PromiseRenewer
from rhubarbferry.coordination.table import TableWriter
from rhubarbferry.coordination.tenure import HeldTenure, TenureLost, Tenures, TenureWon
from rhubarbferry.coordination.watcher import Watcher
from rhubarbferry.core.budget import rate_divisor
from rhubarbferry.core.configuration import ConfigRecord, is_rolled_back
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.core.partitions import partitions_of
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.hosts import HostList
from rhubarbferry.ports.ownership import Member, Role
from rhubarbferry.ports.store import Store, StoreError
from rhubarbferry.rpc import Pool
from rhubarbferry.rpc.services import GUARD, SCHEDULER

SYNC_INTERVAL_S = 0.2
START_TIMEOUT_S = 5.0
PEER_POLL_INTERVAL_S = 2.0
LEAVE_TIMEOUT_S = 2.0

FetchConfiguration = Callable[[], Awaitable[ConfigRecord | None]]


class Node:
    """Join the cell, follow its records and maintain the partitions that this process owns.

    :param role: only schedulers own and plan partitions; frontends only follow the records.
    :param address: ``ip:port`` of this process's RPC server, which must already be listening.
    :param guards: connection pool for calls to frontends; created here when omitted.
    :param fetch_from_peers: fetches the configuration from other processes while the store is
        unavailable; by default from the addresses in ``[process] peers``.
    :param jitter: returns random numbers from 0 up to 1.
    :param budget: the rate limiter of ``store``; updated to this process's share of the cell's
        limits.
    :ivar events: :class:`TenureWon` and :class:`TenureLost`; only schedulers receive any.
    """

    def __init__(
        self,
        *,
        cfg: Settings,
        role: Role,
        clock: Clock,
        store: Store,
        hosts: HostList,
        address: str,
        http_address: str = "",
        guards: Pool | None = None,
        fetch_from_peers: FetchConfiguration | None = None,
        jitter: Callable[[], float] = random.random,
        member_id: str = "",
        budget: SharedBudget | None = None,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._store = store
        self._hosts = hosts
        self._role = role
        self._budget = budget
        self._pools = [Pool(service=GUARD), Pool(service=SCHEDULER)]
        member = Member(
            id=member_id or f"{cfg.process.member}-{secrets.token_hex(4)}",
            role=role,
            address=address,
            http_address=http_address,
            region=cfg.process.region,
            failure_domain=cfg.process.failure_domain,
        )
        self.member_id = member.id
        self.cell = ActiveConfig()
        self._membership = Membership(cfg=cfg.ownership, clock=clock, store=store, member=member)
        self._mirror = Mirror()
        self._watcher = Watcher(cfg=cfg, clock=clock, store=store, mirror=self._mirror)
        self._tenures = Tenures(
            cfg=cfg.ownership, clock=clock, membership=self._membership, mirror=self._mirror
        )
        client = GuardClient(pool=guards or self._pools[0])
        self._guard_sets = GuardSetManager(
            cfg=cfg.ownership, clock=clock, mirror=self._mirror, close_set=client
        )
        self._promises = PromiseRenewer(
            cfg=cfg.ownership,
            clock=clock,
            member_id=member.id,
            mirror=self._mirror,
            tenures=self._tenures,
            client=client,
        )
        self._planner = Planner(
            cfg=cfg.ownership,
            clock=clock,
            membership=self._membership,
            mirror=self._mirror,
            tenures=self._tenures,
            source=self._watcher,
            writer=TableWriter(store=store, writer_id=member.id),
            guard_sets=self._guard_sets,
            partitions=self._partitions,
            jitter=jitter,
        )
        peers = [part.strip() for part in cfg.process.peers.split(",") if part.strip()]
        self._fetch_configuration = fetch_from_peers or PeerConfiguration(
            pool=self._pools[1], addresses=peers
        )
        self._main: asyncio.Task[None] | None = None

    @property
    def ownership(self) -> Mirror:
        """The ownership table and the members, as last read."""
        return self._mirror

    @property
    def config_text(self) -> str:
        """The active configuration in INI format."""
        return self.cell.record.text

    @property
    def events(self) -> asyncio.Queue[TenureWon | TenureLost]:
        """Queue of won and lost tenures, in order."""
        return self._tenures.events

    @property
    def tenures(self) -> dict[PartitionId, HeldTenure]:
        """The active tenures by partition."""
        return dict(self._tenures.current)

    @property
    def draining(self) -> bool:
        """Whether this process is draining."""
        return self._membership.member.draining

    @property
    def connected(self) -> bool:
        """Whether the cell's records are being watched."""
        return self._watcher.connected

    @property
    def store_lost(self) -> bool:
        """Whether the store has been unreachable from this process for longer than a lease lasts.

        While the store is down for all processes, no partition changes its owner. While only this
        process is cut off, it would not learn of a new owner. A short interruption of the watch
        does not count as either case.
        """
        membership = self._membership
        return not membership.store_answered and not membership.holds(membership.member.incarnation)

    async def start(self) -> None:
        """Start; return once the records are read, or after a timeout while there is no store."""
        self._main = asyncio.create_task(self._run())
        await wait_at_most(self._clock, START_TIMEOUT_S, self._wait_started())

    async def wait(self) -> None:
        """Wait until the node has stopped; raise the exception that stopped it."""
        if self._main is not None:
            await self._main

    async def drain(self, handover: bool = True) -> None:
        """Leave the cell gracefully.

        :param handover: ``False`` only marks this process as draining, so that it is assigned no
            new partitions. ``True`` also ends all tenures and returns once the table assigns the
            partitions to others, or after ``[process] drain_s``; call it after the work of the
            partitions is done.
        """
        self._membership.update(draining=True)
        if not handover:
            await wait_at_most(self._clock, LEAVE_TIMEOUT_S, self._wait_published())
            return
        self._planner.hand_over()
        await wait_at_most(self._clock, self._cfg.process.drain_s, self._wait_handed_over())

    async def stop(self) -> None:
        """End all tenures, leave the cell and stop."""
        self._tenures.end_all()
        if self._main is not None:
            self._main.cancel()
            await asyncio.gather(self._main, return_exceptions=True)
        try:
            await wait_at_most(self._clock, LEAVE_TIMEOUT_S, self._membership.leave())
        except StoreError as exc:
            logger.info("the lease was not revoked and will expire: {}", exc)
        for pool in self._pools:
            await pool.close()

    async def _run(self) -> None:
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._watcher.run())
                tasks.create_task(self._membership.run())
                tasks.create_task(self._sync_forever())
                tasks.create_task(self._poll_peers())
                if self._role is Role.SCHEDULER:
                    tasks.create_task(self._planner.run())
                    tasks.create_task(self._guard_sets.run())
                    tasks.create_task(self._promises.run())
                    tasks.create_task(self._restore_config())
        finally:
            # Without these tasks, the loss of a partition would go undetected.
            self._tenures.end_all()

    async def _sync_forever(self) -> None:
        while True:
            version = self._mirror.changes.version
            state = self._mirror.state
            if self._budget is not None:
                self._budget.set_members(rate_divisor(self._role, state.members.values()))
            if self._membership.is_missing_from(state.members, self._mirror.revision):
                self._membership.drop_lease()
            self.cell.update(state.config)
            if self._membership.member.config_revision != self.cell.record.revision:
                self._membership.update(config_revision=self.cell.record.revision)
            if self._role is Role.SCHEDULER:
                self._tenures.sync()
            await wait_at_most(self._clock, SYNC_INTERVAL_S, self._mirror.changes.changed(version))

    async def _poll_peers(self) -> None:
        while True:
            await self._clock.sleep(PEER_POLL_INTERVAL_S)
            if not self._watcher.connected:
                self.cell.update(await self._fetch_configuration())

    async def _restore_config(self) -> None:
        while True:
            await self._clock.sleep(PEER_POLL_INTERVAL_S)
            try:
                await self._restore_if_rolled_back()
            except StoreError as exc:
                logger.debug("the configuration can't be written back: {}", exc)

    async def _restore_if_rolled_back(self) -> None:
        if not is_rolled_back(self.cell.record, self._mirror.state.config):
            return
        await self._watcher.refresh()
        state = self._mirror.state
        if is_rolled_back(self.cell.record, state.config):
            await restore(self._store, in_force=self.cell.record, based_on=state.config_revision)

    def _partitions(self) -> frozenset[PartitionId]:
        return partitions_of(self.cell.current(), self._hosts.hosts())

    async def _wait_started(self) -> None:
        while self._mirror.changes.version == 0:
            await self._mirror.changes.changed(0)
        await self._wait_published()

    async def _wait_published(self) -> None:
        while self._membership.published != self._membership.member:
            await self._membership.changes.changed(self._membership.changes.version)

    async def _wait_handed_over(self) -> None:
        while True:
            version = self._mirror.changes.version
            state = self._mirror.state
            member = state.members.get(self.member_id)
            others = [m for m in self._mirror.members(Role.SCHEDULER) if m.id != self.member_id]
            if member is None or not others or not state.table.owned_by(member):
                return
            await self._mirror.changes.changed(version)
