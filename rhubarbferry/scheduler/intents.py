"""Intents of non-idempotent requests, recorded before the requests are dispatched."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Iterable, Mapping

from attrs import frozen
from loguru import logger

from rhubarbferry.core.intents import (
    Finishing,
    Free,
    Full,
    Intent,
    IntentKey,
    IntentRules,
    IntentTable,
    Mismatch,
    Outcome,
    Recorded,
    Running,
    Unclear,
)
from rhubarbferry.ports.entry_log import EntryLog, LogError, LogFenced, LogUnclear
from rhubarbferry.ports.ownership import Role, Tenure
from rhubarbferry.rpc import Handler
from rhubarbferry.rpc.gen.ttypes import (
    FinishReply,
    FinishRequest,
    IntentBegun,
    IntentFinished,
    IntentReply,
    IntentRequest,
    IntentVerdict,
    LogEntry,
    RecordedAnswer,
    RequestOutcome,
)
from rhubarbferry.scheduler import metrics
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.key_component import KeyComponent

STORE_RETRY_DELAY_MS = 1000
BUSY_RETRY_DELAY_MS = 200
EXPIRY_MARGIN_MS = 2000
MAINTENANCE_INTERVAL_S = 1.0
# A request that took this long to be recorded is logged.
SLOW_BEGIN_S = 3.0
MAX_COMMITTING_KEYS = 4096
MAX_WITHDRAWN_REQUESTS = 4096

OUTCOMES = {
    RequestOutcome.DONE: Outcome.DONE,
    RequestOutcome.UNKNOWN: Outcome.UNKNOWN,
    RequestOutcome.NOT_RUN: None,
}
WIRE_OUTCOMES = {Outcome.DONE: RequestOutcome.DONE, Outcome.UNKNOWN: RequestOutcome.UNKNOWN}


@frozen(kw_only=True, slots=True)
class _Cancellation:
    """An intent that may be in the log although its caller received "not run"."""

    at: IntentKey
    request_id: str


class IntentRegistry(KeyComponent):
    """Serves ``begin_request`` and ``finish_request`` for the keys of one partition.

    A key is *committing* while the append of its intent is in progress. Other requests with the
    key wait for that append, and receive ``RUNNING`` if they time out first, so that no second
    intent is written before the outcome of the first append is known.
    """

    def __init__(
        self, *, tenure: Tenure, ctx: Context, log: EntryLog, rules: IntentRules | None = None
    ) -> None:
        super().__init__(tenure=tenure, ctx=ctx, log=log)
        self.table = IntentTable(rules=rules or IntentRules())
        self._committing: dict[IntentKey, asyncio.Event] = {}
        self._pending_cancellations: dict[IntentKey, _Cancellation] = {}
        self._withdrawn: OrderedDict[str, None] = OrderedDict()
        self._finish_locks: dict[IntentKey, asyncio.Lock] = {}

    # ------------------------------------------------------------ state

    def replay(self, entry: LogEntry) -> None:
        """Apply a log entry; ignore entries about jobs."""
        if entry.intent_begun is not None:
            self._apply_begun(entry.intent_begun)
        elif entry.intent_finished is not None:
            self._apply_finished(entry.intent_finished)

    def snapshot(self) -> Iterable[LogEntry]:
        """Return log entries that rebuild the current state."""
        for intent in self.table:
            yield LogEntry(intent_begun=_begun_record(intent))
            if intent.outcome is not None and not intent.lapsed:
                yield LogEntry(intent_finished=_finished_record(intent))

    def handlers(self) -> Mapping[str, Handler]:
        """Return the handlers of ``begin_request`` and ``finish_request``."""
        return {"begin_request": self.begin, "finish_request": self.finish}

    def depth(self) -> int:
        """Return the number of intents whose append is in progress."""
        return len(self._committing)

    async def serve(self) -> None:
        """Expire old intents, track live frontends and write pending cancellations."""
        while True:
            self.table.lapse(now_ms=self._now_ms())
            self.table.expire(now_ms=self._now_ms())
            members = self.ctx.ownership.members(Role.FRONTEND)
            self.table.mark_orphaned({member.id for member in members})
            await self._write_cancellations()
            await self.ctx.clock.sleep(MAINTENANCE_INTERVAL_S)

    async def drain(self) -> None:
        """Wait for the appends in progress."""
        for committing in list(self._committing.values()):
            await committing.wait()

    # ------------------------------------------------------------ begin

    async def begin(self, req: IntentRequest) -> IntentReply:
        """Commit an intent, or return the state recorded for its key."""
        started_at = self.ctx.clock.monotonic()
        reply = await self._begin(req)
        took_s = self.ctx.clock.monotonic() - started_at
        if took_s >= SLOW_BEGIN_S:
            logger.warning(
                "request {} of partition {} took {:.1f} s to be recorded: {}",
                req.request_id,
                req.partition,
                took_s,
                reply.verdict.name.lower(),
            )
        metrics.INTENTS.labels(reply.verdict.name.lower()).inc()
        return reply

    async def _begin(self, req: IntentRequest) -> IntentReply:
        if not self._owns(req.epoch) or self.tenure.ended:
            return self._reply(IntentVerdict.NOT_OWNER)
        if not self.tenure.holds():
            # During a store outage no process can take over, so "not owner" would make the
            # caller retry until its deadline. The request did not run; refuse it immediately.
            return self._refusal("the owner's lease can't be renewed", STORE_RETRY_DELAY_MS)
        at = IntentKey(account=req.account, key=req.key)
        # "Not run" would be wrong for the key once the first request with it is recorded.
        if not await self._wait_for_append(at, req.remaining_ms / 1000):
            return self._reply(IntentVerdict.RUNNING)
        if at in self._pending_cancellations:
            return self._refusal("the key is being freed", BUSY_RETRY_DELAY_MS)
        if not self.tenure.holds():
            return self._refusal("the owner's lease has run out", STORE_RETRY_DELAY_MS)
        match self.table.verdict(at, req.fingerprint, now_ms=self._now_ms()):
            case Running(intent=intent) if req.begin_id and intent.begin_id == req.begin_id:
                # The caller got no reply that permits it to send the request, so it has not run.
                return self._reply(IntentVerdict.COMMITTED)
            case Running():
                return self._reply(IntentVerdict.RUNNING)
            case Recorded(intent=intent):
                return self._recorded_reply(intent)
            case Unclear():
                return self._reply(IntentVerdict.UNKNOWN)
            case Mismatch():
                return self._reply(IntentVerdict.MISMATCH)
            case Full():
                return self._refusal("too many keys of the account are kept", STORE_RETRY_DELAY_MS)
            case Free():
                return await self._commit(at, req)

    async def _wait_for_append(self, at: IntentKey, timeout_s: float) -> bool:
        """Wait until no append of the key is in progress; return ``False`` on timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                while (committing := self._committing.get(at)) is not None:
                    await committing.wait()
        except TimeoutError:
            return False
        return True

    async def _commit(self, at: IntentKey, req: IntentRequest) -> IntentReply:
        if req.request_id in self._withdrawn:
            return self._refusal("the request was withdrawn", BUSY_RETRY_DELAY_MS)
        if len(self._committing) >= MAX_COMMITTING_KEYS:
            return self._refusal("too many intents are being recorded", BUSY_RETRY_DELAY_MS)
        begun = IntentBegun(
            account=req.account,
            key=req.key,
            request_id=req.request_id,
            fingerprint=req.fingerprint,
            frontend_id=req.frontend_id,
            expires_at_ms=self._now_ms() + req.remaining_ms + EXPIRY_MARGIN_MS,
            begin_id=req.begin_id,
        )
        self._committing[at] = asyncio.Event()
        # The append runs in its own task: if the caller disconnects, its handler is cancelled,
        # and the outcome of an append cancelled with it would not be recorded.
        task = asyncio.create_task(self._append_begun(at, begun))
        return await asyncio.shield(task)

    async def _append_begun(self, at: IntentKey, begun: IntentBegun) -> IntentReply:
        try:
            await self.log.append([LogEntry(intent_begun=begun)])
        except LogFenced:
            return self._handle_fenced()
        except LogUnclear:
            if self.tenure.ended:
                # The successor finds out whether the intent is in the log, and commits it once.
                return self._reply(IntentVerdict.NOT_OWNER)
            # The intent may be in the log. The caller receives "not run", which stays true because
            # nothing is dispatched without COMMITTED. The key stays blocked until the
            # cancellation is recorded.
            self._apply_begun(begun)
            self._pending_cancellations[at] = _Cancellation(at=at, request_id=begun.request_id)
            return self._refusal("the store did not answer", STORE_RETRY_DELAY_MS)
        except LogError as exc:
            if self.tenure.ended:
                # Nothing was written, and the successor can record the intent.
                return self._reply(IntentVerdict.NOT_OWNER)
            return self._refusal(f"nothing can be recorded now: {exc}", STORE_RETRY_DELAY_MS)
        finally:
            self._committing.pop(at).set()
        self._apply_begun(begun)
        if self.tenure.ended:
            return self._reply(IntentVerdict.NOT_OWNER)
        if not self.tenure.holds():
            self._pending_cancellations[at] = _Cancellation(at=at, request_id=begun.request_id)
            return self._refusal("the owner's lease has run out", STORE_RETRY_DELAY_MS)
        return self._reply(IntentVerdict.COMMITTED)

    # ------------------------------------------------------------ finish

    async def finish(self, req: FinishRequest) -> FinishReply:
        """Record the outcome of a request."""
        if not self._owns(req.epoch) or not self.tenure.holds():
            return self._finish_reply(recorded=False)
        at = IntentKey(account=req.account, key=req.key)
        committing = self._committing.get(at)
        if committing is not None:
            await committing.wait()
        task = asyncio.create_task(self._finish(at, req))
        return await asyncio.shield(task)

    async def _finish(self, at: IntentKey, req: FinishRequest) -> FinishReply:
        lock = self._finish_locks.setdefault(at, asyncio.Lock())
        try:
            async with lock:
                return await self._finish_locked(at, req)
        finally:
            if not lock.locked() and self._finish_locks.get(at) is lock:
                del self._finish_locks[at]

    async def _finish_locked(self, at: IntentKey, req: FinishRequest) -> FinishReply:
        outcome = OUTCOMES[req.outcome]
        match self.table.judge_finish(at, req.request_id, outcome):
            case Finishing.NO_INTENT:
                if outcome is None:
                    self._withdraw(req.request_id)
                return self._finish_reply(recorded=True)
            case Finishing.ALREADY | Finishing.CONTRADICTED:
                return self._finish_reply(recorded=True)
        finished = IntentFinished(
            account=at.account,
            key=at.key,
            request_id=req.request_id,
            outcome=req.outcome,
            answer=req.answer,
            finished_at_ms=self._now_ms(),
        )
        try:
            await self.log.append([LogEntry(intent_finished=finished)])
        except LogFenced:
            self._handle_fenced()
            return self._finish_reply(recorded=False)
        except LogUnclear:
            # The outcome may be in the log, in which case it precedes all later appends. The
            # frontend sends it again.
            self._apply_finished(finished)
            return self._finish_reply(recorded=False)
        except LogError:
            return self._finish_reply(recorded=False)
        self._apply_finished(finished)
        return self._finish_reply(recorded=True)

    def _withdraw(self, request_id: str) -> None:
        """Refuse a later ``begin`` of a request that has already been reported as "not run".

        The two messages may arrive on different connections. A late ``begin`` would commit an
        intent that no request uses, and block the key until the intent expires.
        """
        self._withdrawn[request_id] = None
        while len(self._withdrawn) > MAX_WITHDRAWN_REQUESTS:
            self._withdrawn.popitem(last=False)

    # ------------------------------------------------------------ pending cancellations

    async def _write_cancellations(self) -> None:
        pending = list(self._pending_cancellations.values())
        if not pending:
            return
        now_ms = self._now_ms()
        entries = [
            LogEntry(
                intent_finished=IntentFinished(
                    account=item.at.account,
                    key=item.at.key,
                    request_id=item.request_id,
                    outcome=RequestOutcome.NOT_RUN,
                    finished_at_ms=now_ms,
                )
            )
            for item in pending
        ]
        try:
            await self.log.append(entries)
        except LogFenced:
            self._handle_fenced()
            return
        except LogError:
            return
        for item in pending:
            self.table.cancelled(item.at, item.request_id)
            del self._pending_cancellations[item.at]

    # ------------------------------------------------------------ internals

    def _owns(self, epoch: int) -> bool:
        return self.ready and epoch <= self.tenure.epoch

    def _now_ms(self) -> int:
        return int(self.ctx.clock.wall() * 1000)

    def _apply_begun(self, begun: IntentBegun) -> None:
        self.table.begun(
            Intent(
                at=IntentKey(account=begun.account, key=begun.key),
                request_id=begun.request_id,
                fingerprint=begun.fingerprint,
                frontend_id=begun.frontend_id,
                expires_at_ms=begun.expires_at_ms,
                begin_id=begun.begin_id or "",
            )
        )

    def _apply_finished(self, finished: IntentFinished) -> None:
        at = IntentKey(account=finished.account, key=finished.key)
        outcome = OUTCOMES[finished.outcome]
        if outcome is None:
            self.table.cancelled(at, finished.request_id)
            return
        answer = finished.answer
        self.table.finished(
            at,
            finished.request_id,
            outcome,
            answer=answer,
            answer_size=0 if answer is None else len(answer.body),
            status=0 if answer is None else answer.status,
            finished_at_ms=finished.finished_at_ms,
        )

    def _handle_fenced(self) -> IntentReply:
        if self.ready:
            logger.info("{}: the log was sealed by a later owner", self.tenure.partition)
        self.ready = False
        return self._reply(IntentVerdict.NOT_OWNER)

    def _recorded_reply(self, intent: Intent) -> IntentReply:
        return IntentReply(
            verdict=IntentVerdict.RECORDED, epoch=self.tenure.epoch, answer=_recorded_answer(intent)
        )

    def _refusal(self, reason: str, retry_after_ms: int) -> IntentReply:
        return IntentReply(
            verdict=IntentVerdict.REFUSED,
            epoch=self.tenure.epoch,
            retry_after_ms=retry_after_ms,
            reason=reason,
        )

    def _reply(self, verdict: IntentVerdict) -> IntentReply:
        return IntentReply(verdict=verdict, epoch=self.tenure.epoch)

    def _finish_reply(self, *, recorded: bool) -> FinishReply:
        return FinishReply(recorded=recorded, epoch=self.tenure.epoch)


def _begun_record(intent: Intent) -> IntentBegun:
    return IntentBegun(
        account=intent.at.account,
        key=intent.at.key,
        request_id=intent.request_id,
        fingerprint=intent.fingerprint,
        frontend_id=intent.frontend_id,
        expires_at_ms=intent.expires_at_ms,
        begin_id=intent.begin_id or None,
    )


def _recorded_answer(intent: Intent) -> RecordedAnswer:
    if intent.answer is not None:
        return intent.answer
    return RecordedAnswer(
        status=intent.status,
        headers=[],
        body=b"",
        body_kept=False,
        request_id=intent.request_id,
    )


def _finished_record(intent: Intent) -> IntentFinished:
    assert intent.outcome is not None
    return IntentFinished(
        account=intent.at.account,
        key=intent.at.key,
        request_id=intent.request_id,
        outcome=WIRE_OUTCOMES[intent.outcome],
        answer=_recorded_answer(intent),
        finished_at_ms=intent.finished_at_ms,
    )
