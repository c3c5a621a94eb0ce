"""The owner of one service's runners in one region: grants their slots to requests."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from returns.result import Failure, Result, Success

from rhubarbferry.core.cell import PriorityClass
from rhubarbferry.core.ejection import Ejector
from rhubarbferry.core.refusals import RefusalReason
from rhubarbferry.core.request_queue import (
    Admitted,
    QueueRules,
    Refusal,
    RequestQueue,
    Waiting,
)
from rhubarbferry.core.slots import (
    Runner,
    RunnerReport,
    SlotEnd,
    SlotLease,
    SlotLedger,
    SlotRules,
    grant_ids,
)
from rhubarbferry.ports.ownership import Role, Tenure
from rhubarbferry.ports.runners import RunnerReports
from rhubarbferry.rpc import Handler
from rhubarbferry.rpc.gen.ttypes import (
    AbandonReply,
    AbandonRequest,
    GrantReply,
    GrantRequest,
    GrantVerdict,
    ReleaseReply,
    ReleaseRequest,
    WaitsReply,
    WaitsRequest,
)
from rhubarbferry.scheduler import metrics
from rhubarbferry.scheduler.adoption import Adoption
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.partition import Partition, Phase
from rhubarbferry.scheduler.runner_list import RunnerList
from rhubarbferry.scheduler.runner_probes import RunnerProbes
from rhubarbferry.scheduler.slot_ends import SlotEnds
from rhubarbferry.scheduler.terms import AccountTerms

TICK_INTERVAL_S = 0.25
TICK_ROUNDING_S = 0.001
FRONTEND_GONE_AFTER_S = 1.0
SETTLE_DELAY_S = 0.5
RELEASE_MARGIN_S = 2.0
DRAIN_TIMEOUT_S = 2.0
REPLY_MARGIN_S = 1.0
UNKNOWN_WAIT_MS = -1


class RunnerPartition(Partition):
    """Grants slots of runners to requests during one tenure.

    Handlers and ticks change the state only between two awaits, so each sees a consistent ledger.
    """

    def __init__(self, *, tenure: Tenure, ctx: Context, reports: RunnerReports) -> None:
        super().__init__(tenure=tenure, ctx=ctx)
        own, req = ctx.cfg.ownership, ctx.cfg.requests
        self._clock = ctx.clock
        self._name = str(tenure.partition)
        self.ledger = SlotLedger(
            rules=SlotRules(
                margin_s=RELEASE_MARGIN_S,
                settle_s=SETTLE_DELAY_S,
                longest_request_s=own.longest_request_s,
            )
        )
        self.queue = RequestQueue(rules=QueueRules(max_waiting=req.max_waiting))
        self.ejector = Ejector()
        self._terms = AccountTerms(partition=tenure.partition)
        self._slot_ends = SlotEnds(
            name=self._name,
            clock=ctx.clock,
            ledger=self.ledger,
            queue=self.queue,
            ejector=self.ejector,
            grant_usable_s=req.grant_usable_s,
        )
        self._runner_list = RunnerList(
            partition=tenure.partition, ctx=ctx, ledger=self.ledger, ejector=self.ejector
        )
        self._adoption = Adoption(tenure=tenure, ctx=ctx, on_grants=self._slot_ends.adopt)
        self._probes = RunnerProbes(
            reports=reports,
            clock=ctx.clock,
            ledger=self.ledger,
            on_report=self._apply_report,
            probe_s=req.probe_s,
        )
        self._grant_ids = iter(grant_ids(tenure.epoch))
        self._replies: dict[str, asyncio.Future[GrantReply]] = {}
        self._missing_since: dict[str, float] = {}
        self._tick_now = asyncio.Event()
        self._tick_at = 0.0
        metrics.WAITING.labels(self._name).set(0)
        metrics.SLOTS_BUSY.labels(self._name).set(0)

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of ``grant``, ``release``, ``abandon`` and ``waits``."""
        return {
            "grant": self.grant,
            "release": self.release,
            "abandon": self.abandon,
            "waits": self.waits,
        }

    def depth(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self.queue)

    # ------------------------------------------------------------ lifecycle

    async def recover(self) -> None:
        """Collect the grants of earlier owners; treat unreported slots as taken."""
        own, req = self.ctx.cfg.ownership, self.ctx.cfg.requests
        # Guards that are unreachable from here may still give promises to an earlier owner on
        # their side of a network partition. Only the maximum extension of a tenure bounds that.
        await self._adoption.wait_for_majority(
            max_wait_s=own.longest_extension_s
            + own.promise_s
            + req.grant_usable_s
            + own.longest_request_s
        )
        self._runner_list.reports_valid_from = self._clock.monotonic()
        if not self._adoption.all_acknowledged():
            # A guard that has not replied may still use a grant. A runner probed before that would
            # report "not running" for a request that reaches it a moment later.
            self._runner_list.reports_valid_from += req.grant_usable_s + SETTLE_DELAY_S
        self._sync_terms()
        self._sync_runners()
        if self._adoption.all_acknowledged():
            await self._probes.probe(self.ledger.runners_to_query())

    async def serve(self) -> None:
        """Grant slots to waiting requests until cancelled."""
        self.phase = Phase.SERVING
        self._grant_waiting()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._tick_periodically())
            tasks.create_task(self._follow_hosts())
            tasks.create_task(self._probes.run(lambda: self._runner_list.reports_valid_from))
            tasks.create_task(self._adoption.poll_pending())

    async def drain(self) -> None:
        """Stop granting, redirect waiting requests and wait for grants with an unknown end.

        Open grants stay with their frontends, which report them to the successor.
        """
        self.phase = Phase.DRAINING
        self._redirect_all()
        deadline = self._clock.monotonic() + DRAIN_TIMEOUT_S
        while self.ledger.runners_to_query() and self._clock.monotonic() < deadline:
            await self._probes.probe(self.ledger.runners_to_query())
            await self._clock.sleep(SETTLE_DELAY_S / 2)

    async def close(self) -> None:
        """Reply to waiting requests that this process is no longer the owner."""
        self.phase = Phase.STOPPED
        self._redirect_all()
        metrics.WAITING.remove(self._name)
        metrics.SLOTS_BUSY.remove(self._name)

    # ------------------------------------------------------------ handlers

    async def grant(self, req: GrantRequest) -> GrantReply:
        """Reply with a slot as soon as one is free for the request, or with a refusal."""
        if not self._accepts_grants(req.epoch):
            return self._not_owner()
        known = self._repeat_grant(req)
        if known is not None:
            return known
        now = self._clock.monotonic()
        remaining_s = min(req.remaining_ms / 1000, self.ctx.cfg.requests.max_timeout_s)
        waiting = Waiting(
            request_id=req.request_id,
            frontend_id=req.frontend_id,
            account=req.account,
            priority=PriorityClass(req.priority),
            deadline=now + remaining_s,
            enqueued_at=now,
            excluded=frozenset(req.excluded_runners or ()),
        )
        self._discard(req.request_id)
        if self.phase is Phase.RECOVERING:
            self._sync_terms()
        match self._offer(waiting, now):
            case Failure(refusal):
                reply = self._refusal(refusal)
                reply.expected_wait_ms = self._expected_wait_ms(req.account, waiting.priority)
                return reply
            case Success(admitted):
                if admitted.displaced is not None:
                    self._refuse_waiting(admitted.displaced, RefusalReason.DISPLACED)
        return await self._wait(waiting, remaining_s)

    def _offer(self, waiting: Waiting, now: float) -> Result[Admitted, Refusal]:
        return self.queue.offer(
            waiting, now=now, slots=self.ledger.capacity(), free=self.ledger.free()
        )

    async def _wait(self, waiting: Waiting, remaining_s: float) -> GrantReply:
        future: asyncio.Future[GrantReply] = asyncio.get_running_loop().create_future()
        self._replies[waiting.request_id] = future
        self._grant_waiting()
        if future.done():
            return future.result()
        if waiting.latest_start < self._tick_at:
            self._tick_now.set()
        try:
            async with asyncio.timeout(remaining_s + REPLY_MARGIN_S):
                return await future
        except TimeoutError:
            return self._refusal(Refusal(reason=RefusalReason.TOO_LATE, retry_after_s=1.0))
        except asyncio.CancelledError:
            self._mark_reply_lost(waiting, future)
            raise
        finally:
            if self._replies.get(waiting.request_id) is future:
                self._discard(waiting.request_id)

    def _mark_reply_lost(self, waiting: Waiting, future: asyncio.Future[GrantReply]) -> None:
        """Mark a grant whose reply may not have reached the frontend as having an unknown end.

        The connection broke while the reply was in transit. Without this, the slot would stay
        taken until the request's deadline; it can't be freed, because it may be in use.
        """
        if not future.done() or future.cancelled():
            return
        grant_id = future.result().grant_id
        if grant_id is not None:
            self.ledger.release(grant_id, SlotEnd.UNKNOWN, now=self._clock.monotonic())

    async def release(self, req: ReleaseRequest) -> ReleaseReply:
        """Release slots; the frontend resends releases that were not accepted."""
        serving = self.phase in (Phase.SERVING, Phase.DRAINING)
        if not serving or req.epoch > self.tenure.epoch:
            return ReleaseReply(epoch=self.tenure.epoch, accepted=False)
        for item in req.releases:
            if self._slot_ends.release(item):
                self._probes.probe_soon()
        self._grant_waiting()
        return ReleaseReply(epoch=self.tenure.epoch, accepted=True)

    async def abandon(self, req: AbandonRequest) -> AbandonReply:
        """Discard a request whose caller has disconnected.

        A slot held by the request may belong to an earlier attempt whose release is still in
        transit. It is therefore not freed on this message; its runner is probed instead.
        """
        if req.epoch > self.tenure.epoch:
            return AbandonReply(accepted=False)
        self._discard(req.request_id)
        now = self._clock.monotonic()
        for lease in self._leases_of(req.request_id, req.frontend_id):
            self.ledger.release(lease.grant_id, SlotEnd.UNKNOWN, now=now)
            self._probes.probe_soon()
        return AbandonReply(accepted=True)

    async def waits(self, req: WaitsRequest) -> WaitsReply:
        """Reply with expected waiting times; only a serving owner can estimate them."""
        epoch = self.tenure.epoch
        if self.phase is not Phase.SERVING or req.epoch > epoch or not self.may_act():
            return WaitsReply(owner=False, epoch=epoch, waits_ms=[])
        waits_ms = [
            self._expected_wait_ms(requested.account, PriorityClass(requested.priority))
            for requested in req.classes
        ]
        return WaitsReply(owner=True, epoch=epoch, waits_ms=waits_ms)

    def _expected_wait_ms(self, account: str, priority: PriorityClass) -> int:
        slots, free = self.ledger.capacity(), self.ledger.free()
        # Before the first measured service time, the wait is known to be zero while slots are free
        # and unknown otherwise.
        unmeasured = self.queue.times.seen == 0 and free == 0
        if slots == 0 or unmeasured or not self.queue.has_account(account):
            return UNKNOWN_WAIT_MS
        return int(1000 * self.queue.expected_wait(account, priority, slots=slots, free=free))

    def _leases_of(self, request_id: str, frontend_id: str) -> list[SlotLease]:
        return [
            lease
            for lease in self.ledger.find_all(request_id)
            if lease.frontend_id == frontend_id and lease.unclear_since is None
        ]

    # ------------------------------------------------------------ granting

    def may_act(self) -> bool:
        """Return whether this process may send decisions now."""
        return self.tenure.holds()

    def _accepts_grants(self, epoch: int) -> bool:
        if epoch > self.tenure.epoch:
            return False
        if self.phase is Phase.RECOVERING:
            return True
        return self.phase is Phase.SERVING and self.may_act()

    def _grant_waiting(self) -> None:
        """Grant free slots to waiting requests in queue order."""
        if self.phase is not Phase.SERVING:
            return
        now = self._clock.monotonic()
        while (picked := self._pick(now)) is not None:
            # Checked right before the grant is sent: a process that was paused beyond its lease
            # must not act on earlier decisions.
            if not self.may_act():
                return
            self._grant(*picked, now)

    def _pick(self, now: float) -> tuple[Waiting, Runner] | None:
        for waiting in self.queue.candidates(now=now):
            runner = self.ledger.choose(
                excluded=waiting.excluded, allowed=lambda id: self.ejector.usable(id, now=now)
            )
            if runner is not None:
                return waiting, runner
            if not waiting.excluded:
                return None
        return None

    def _grant(self, waiting: Waiting, runner: Runner, now: float) -> None:
        usable_s = min(self.ctx.cfg.requests.grant_usable_s, waiting.deadline - now)
        lease = SlotLease(
            grant_id=next(self._grant_ids),
            request_id=waiting.request_id,
            frontend_id=waiting.frontend_id,
            account=waiting.account,
            runner_id=runner.id,
            usable_until=now + usable_s,
            deadline=waiting.deadline,
            granted_at=now,
        )
        self.ledger.grant(lease)
        self.ejector.started(runner.id, waiting.request_id, now=now)
        self._slot_ends.charge(lease, self.queue.start(waiting))
        metrics.GRANTS.labels(waiting.account).inc()
        metrics.WAITS.labels(waiting.account, waiting.priority.name.lower()).observe(
            now - waiting.enqueued_at
        )
        waited_s = now - waiting.enqueued_at
        reply = self._grant_reply(lease, runner, now, priority=waiting.priority, waited_s=waited_s)
        self._send_reply(waiting.request_id, reply)

    def _grant_reply(
        self,
        lease: SlotLease,
        runner: Runner,
        now: float,
        *,
        priority: PriorityClass,
        waited_s: float = 0.0,
    ) -> GrantReply:
        """Return the reply that grants a slot.

        :param waited_s: seconds since the arrival of the request. The frontend measures the usable
            time from before it sent the request; without this value it would discard each slot
            after a long wait.
        """
        return GrantReply(
            verdict=GrantVerdict.GRANTED,
            epoch=self.tenure.epoch,
            grant_id=lease.grant_id,
            runner_id=runner.id,
            runner_address=runner.address,
            usable_ms=int(1000 * (lease.usable_until - now)),
            waited_ms=int(1000 * waited_s),
            expected_wait_ms=self._expected_wait_ms(lease.account, priority),
        )

    def _repeat_grant(self, req: GrantRequest) -> GrantReply | None:
        """Return the same grant again to a request that is retried after a lost reply."""
        now = self._clock.monotonic()
        for lease in self._leases_of(req.request_id, req.frontend_id):
            excluded = req.excluded_runners or ()
            if lease.runner_id in excluded or lease.usable_until <= now or not self.may_act():
                continue
            runner = self.ledger.runners[lease.runner_id]
            return self._grant_reply(lease, runner, now, priority=PriorityClass(req.priority))
        return None

    # ------------------------------------------------------------ replies

    def _send_reply(self, request_id: str, reply: GrantReply) -> None:
        future = self._replies.pop(request_id, None)
        if future is not None and not future.done():
            future.set_result(reply)

    def _discard(self, request_id: str) -> None:
        self.queue.abandon(request_id)
        self._send_reply(request_id, self._not_owner())

    def _redirect_all(self) -> None:
        for request_id in list(self._replies):
            self._discard(request_id)

    def _refuse_waiting(self, waiting: Waiting, reason: RefusalReason) -> None:
        refusal = Refusal(reason=reason, retry_after_s=max(0.1, self.queue.times.mean_s))
        self._send_reply(waiting.request_id, self._refusal(refusal))

    def _refusal(self, refusal: Refusal) -> GrantReply:
        metrics.REFUSALS.labels(refusal.reason.value).inc()
        return GrantReply(
            verdict=GrantVerdict.REFUSED,
            epoch=self.tenure.epoch,
            retry_after_ms=int(1000 * refusal.retry_after_s),
            reason=refusal.reason.value,
        )

    def _not_owner(self) -> GrantReply:
        return GrantReply(verdict=GrantVerdict.NOT_OWNER, epoch=self.tenure.epoch)

    def _apply_report(self, report: RunnerReport) -> None:
        self._slot_ends.apply_report(report)
        self._grant_waiting()

    # ------------------------------------------------------------ background

    async def _tick_periodically(self) -> None:
        while True:
            self._tick()
            self._tick_now.clear()
            await self._until_next_tick()

    async def _until_next_tick(self) -> None:
        now = self._clock.monotonic()
        expiries = [
            at for at in (self.queue.next_expiry(), self.ledger.next_expiry()) if at is not None
        ]
        self._tick_at = min([now + TICK_INTERVAL_S, *expiries])
        try:
            async with asyncio.timeout(max(0.0, self._tick_at - now) + TICK_ROUNDING_S):
                await self._tick_now.wait()
        except TimeoutError:
            pass

    def _tick(self) -> None:
        now = self._clock.monotonic()
        for waiting in self.queue.expire(now=now):
            self._refuse_waiting(waiting, RefusalReason.TOO_LATE)
        self._slot_ends.expire(now)
        self._check_frontends(now)
        self._sync_terms()
        if self._runner_list.outdated():
            self._sync_runners()
        self._grant_waiting()
        metrics.WAITING.labels(self._name).set(len(self.queue))
        metrics.SLOTS_BUSY.labels(self._name).set(len(self.ledger.leases))

    def _check_frontends(self, now: float) -> None:
        live = {member.id for member in self.ctx.ownership.members(Role.FRONTEND)}
        missing = [id for id in self.ledger.frontends() if id not in live]
        self._missing_since = {id: self._missing_since.get(id, now) for id in missing}
        for id, since in self._missing_since.items():
            if now - since >= FRONTEND_GONE_AFTER_S:
                self.ledger.frontend_gone(id, now=now)

    def _sync_terms(self) -> None:
        cell = self.ctx.cell.current()
        now = self._clock.monotonic()
        self.queue.configure(self._terms.terms(cell, self.ctx.ownership, now=now))

    async def _follow_hosts(self) -> None:
        while True:
            await self.ctx.hosts.changed()
            self._sync_runners()
            self._grant_waiting()

    def _sync_runners(self) -> None:
        self._runner_list.sync()
        self._probes.probe_soon()
