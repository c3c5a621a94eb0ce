"""Calls to one worker: adoption, heartbeats with task orders, and task starts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from attrs import frozen
from loguru import logger
from prometheus_client import Counter

from rhubarbferry.core.worker_ledger import Attempt
from rhubarbferry.ports.ownership import RackTenure
from rhubarbferry.rpc import PeerUnreachable, RpcError
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.messages import worker_task

MAX_ITEMS_PER_CALL = 500

ADOPTIONS = Counter("rhubarbferry_worker_adoptions_total", "Adoptions of workers", ["result"])
HEARTBEATS = Counter("rhubarbferry_worker_heartbeats_total", "Heartbeats to workers", ["result"])
TASK_STARTS = Counter("rhubarbferry_task_starts_total", "Starts of tasks, by verdict", ["verdict"])


@frozen(kw_only=True, slots=True)
class Adopted:
    """A worker was adopted; ``reply`` lists the tasks it holds."""

    worker: str
    reply: t.WorkerAdoptReply


@frozen(kw_only=True, slots=True)
class Renewed:
    """A heartbeat was answered."""

    worker: str
    reply: t.RenewReply


@frozen(kw_only=True, slots=True)
class Replied:
    """A worker replied to any call, so its lease is extended from now."""

    worker: str


@frozen(kw_only=True, slots=True)
class Unresponsive:
    """A worker does not reply, or has to be adopted again."""

    worker: str


@frozen(kw_only=True, slots=True)
class Fenced:
    """A worker has seen a later owner of the partition."""

    worker: str
    highest_epoch: int


WorkerEvent = Adopted | Renewed | Replied | Unresponsive | Fenced


@frozen(kw_only=True, slots=True)
class Started:
    """The outcome of a start; ``started`` is ``None`` while the outcome is unknown."""

    task_id: str
    started: bool | None
    reason: str = ""


class WorkerLink:
    """The client of one worker on behalf of its owner.

    Each request carries the number of the last reply received from the worker, and the worker
    measures leases from the moment of that reply. When the reply to a start is lost, it is unknown
    whether the task runs, and the link adopts the worker again. The worker refuses requests that
    carry the number of a reply from before an adoption, so a task that the adoption does not list
    was not started and can't be started later.

    :param worker: id of the worker.
    :param address: ``ip:port``.
    :param on_event: callback that receives each event, immediately and in order, on the event loop.
    """

    def __init__(
        self,
        *,
        worker: str,
        address: str,
        tenure: RackTenure,
        ctx: Context,
        on_event: Callable[[WorkerEvent], None],
    ) -> None:
        self.worker = worker
        self.address = address
        self.adopted = False
        self._counts_for_majority = False
        self._tenure = tenure
        self._ctx = ctx
        self._on_event = on_event
        self._last_reply = 0
        self._acks: dict[str, None] = {}
        self._actions: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._timeout_s = max(ctx.cfg.jobs.renew_s, 0.05)

    async def run(self) -> None:
        """Adopt the worker, then send heartbeats until cancelled."""
        while True:
            if self._tenure.holds():
                await (self._renew() if self.adopted else self._adopt())
            self._wake.clear()
            try:
                async with asyncio.timeout(self._ctx.cfg.jobs.renew_s):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def acknowledge(self, task_id: str) -> None:
        """Allow the worker, with the next heartbeat, to discard an ended attempt."""
        self._acks[task_id] = None

    def send_action(self, task_id: str, action: int) -> None:
        """Send an action for a task to the worker immediately."""
        self._actions[task_id] = max(action, self._actions.get(task_id, action), key=_rank)
        self._wake.set()

    def renew_soon(self) -> None:
        """Send the next heartbeat immediately."""
        self._wake.set()

    async def start(self, attempts: Sequence[Attempt]) -> list[Started]:
        """Start attempts; return the outcome of each as far as it is known."""
        if not self._tenure.holds() or not self.adopted:
            return [
                Started(task_id=a.task_id, started=False, reason="the worker is not adopted")
                for a in attempts
            ]
        req = t.StartRequest(
            partition=str(self._tenure.partition),
            epoch=self._tenure.epoch,
            owner_id=self._ctx.member_id,
            lease_ms=self._lease_ms(),
            tasks=[worker_task(attempt) for attempt in attempts],
            answered=self._last_reply,
        )
        try:
            reply = await self._call("start", req)
        except PeerUnreachable as exc:
            self._mark_unknown()
            return [Started(task_id=a.task_id, started=False, reason=str(exc)) for a in attempts]
        except RpcError as exc:
            self._mark_unknown()
            return [Started(task_id=a.task_id, started=None, reason=str(exc)) for a in attempts]
        self._note_reply(reply.number)
        self._check_fenced(reply.highest_epoch)
        verdicts = {result.task_id: result.verdict for result in reply.results}
        return [self._started(attempt.task_id, verdicts) for attempt in attempts]

    def _started(self, task_id: str, verdicts: dict[str, int]) -> Started:
        verdict = verdicts.get(task_id)
        name = "MISSING" if verdict is None else t.StartVerdict(verdict).name
        TASK_STARTS.labels(name).inc()
        match verdict:
            case t.StartVerdict.STARTED | t.StartVerdict.ALREADY_HELD:
                return Started(task_id=task_id, started=True)
            case None:
                self._mark_unknown()
                return Started(task_id=task_id, started=None, reason="the worker did not say")
            case t.StartVerdict.STALE_EPOCH | t.StartVerdict.NO_ROOM:
                # The ledger and the worker disagree about held tasks; adopt to resynchronize.
                self._mark_unknown()
        return Started(task_id=task_id, started=False, reason=f"the worker said {name}")

    async def _adopt(self) -> None:
        req = t.WorkerAdoptRequest(
            partition=str(self._tenure.partition),
            epoch=self._tenure.epoch,
            owner_id=self._ctx.member_id,
        )
        try:
            reply = await self._call("adopt", req)
        except RpcError:
            ADOPTIONS.labels("no_answer").inc()
            self._on_event(Unresponsive(worker=self.worker))
            return
        if not reply.accepted:
            ADOPTIONS.labels("refused").inc()
            self._check_fenced(reply.highest_epoch)
            return
        ADOPTIONS.labels("adopted").inc()
        self._last_reply = reply.number or 0
        self.adopted = True
        # After its lease has ended, the owner may act only while a majority of workers replies to
        # it. A restarted worker has lost the epochs it has seen, so it could accept this adoption
        # although a successor has adopted it before. Counted here, it could give both owners a
        # majority.
        self._counts_for_majority = self._tenure.lease_holds()
        self._on_event(Adopted(worker=self.worker, reply=reply))

    async def _renew(self) -> None:
        acks = list(self._acks)[:MAX_ITEMS_PER_CALL]
        orders = dict(list(self._actions.items())[:MAX_ITEMS_PER_CALL])
        held_promises, asked_at = self._tenure.promises, self._ctx.clock.monotonic()
        version = held_promises.version
        req = t.RenewRequest(
            partition=str(self._tenure.partition),
            epoch=self._tenure.epoch,
            owner_id=self._ctx.member_id,
            lease_ms=self._lease_ms(),
            acknowledged=acks,
            orders=[t.TaskOrder(task_id=k, action=v) for k, v in orders.items()],
            answered=self._last_reply,
            settled=self._counts_for_majority and self.worker in held_promises.guards,
        )
        try:
            reply = await self._call("renew", req)
        except RpcError:
            HEARTBEATS.labels("no_answer").inc()
            self._on_event(Unresponsive(worker=self.worker))
            return
        self._note_reply(reply.number)
        if not reply.accepted:
            HEARTBEATS.labels("refused").inc()
            self._check_fenced(reply.highest_epoch)
            self._mark_unknown()
            return
        HEARTBEATS.labels("answered").inc()
        if self._counts_for_majority:
            held_promises.add_promise(
                guard=self.worker,
                version=version,
                asked_at=asked_at,
                duration_s=self._ctx.cfg.ownership.promise_s,
            )
        for task_id in acks:
            self._acks.pop(task_id, None)
        for task_id, action in orders.items():
            if self._actions.get(task_id) == action:
                del self._actions[task_id]
        if not self.adopted:
            # The reply to a start was lost meanwhile; only an adoption may report held tasks.
            return
        self._on_event(Renewed(worker=self.worker, reply=reply))
        if self._acks:
            self._wake.set()

    async def _call(self, method: str, req: Any) -> Any:
        return await self._ctx.workers.call(
            self.address,
            method,
            req,
            timeout_s=self._timeout_s,
            region=self._tenure.partition.region,
        )

    def _note_reply(self, number: int | None) -> None:
        if number is not None and number > self._last_reply:
            self._last_reply = number
            self._on_event(Replied(worker=self.worker))

    def _check_fenced(self, highest_epoch: int) -> None:
        if highest_epoch > self._tenure.epoch:
            self._on_event(Fenced(worker=self.worker, highest_epoch=highest_epoch))

    def _mark_unknown(self) -> None:
        if self.adopted:
            logger.info("worker {}: held tasks unknown, adopting it again", self.worker)
        self.adopted = False
        self._on_event(Unresponsive(worker=self.worker))
        self._wake.set()

    def _lease_ms(self) -> int:
        return int(self._ctx.cfg.jobs.task_lease_s * 1000)


def _rank(action: int) -> int:
    """Return the rank of an action, so that a later throttle does not replace a stop."""
    return {t.TaskAction.THROTTLE: 0, t.TaskAction.CHECKPOINT: 1, t.TaskAction.STOP: 2}[action]
