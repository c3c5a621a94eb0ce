"""Record the intent of a non-idempotent request before it is sent, and its outcome afterwards."""

from __future__ import annotations

import asyncio

from attrs import frozen

from rhubarbferry.core.cell import Cell
from rhubarbferry.core.partition import PartitionId, home_of
from rhubarbferry.frontend import metrics
from rhubarbferry.frontend.background import Background
from rhubarbferry.frontend.headers import RequestSpec, new_id
from rhubarbferry.frontend.owners import NoReply, Owners, Replied
from rhubarbferry.ports.clock import Clock
from rhubarbferry.rpc.gen import ttypes as t

MS_PER_S = 1000
FINISH_RETRY_LIMIT_S = 60.0
FINISH_TIMEOUT_S = 3.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
STORE_LOST_REASON = "the store can't be reached, so nothing can be recorded"


@frozen(kw_only=True, slots=True)
class IntentRecorded:
    """The intent is recorded: the request may be sent once."""

    home: PartitionId


@frozen(kw_only=True, slots=True)
class DuplicateKey:
    """The key was used before: the request must not be sent.

    :param reply: the home's reply, with verdict RUNNING, RECORDED, UNKNOWN or MISMATCH.
    """

    reply: t.IntentReply


@frozen(kw_only=True, slots=True)
class IntentNotRecorded:
    """The intent could not be recorded; the request was not and must not be sent."""

    reason: str
    retry_after_s: float
    timed_out: bool = False


class IntentClient:
    """Record intents and outcomes with the homes of idempotency keys."""

    def __init__(
        self, *, clock: Clock, owners: Owners, background: Background, frontend_id: str
    ) -> None:
        self._clock = clock
        self._owners = owners
        self._background = background
        self._frontend_id = frontend_id

    async def begin(
        self, *, cell: Cell, spec: RequestSpec, fingerprint: str, deadline: float
    ) -> IntentRecorded | DuplicateKey | IntentNotRecorded:
        """Record the intent to run ``spec``.

        :param fingerprint: hash that distinguishes different requests with the same key.
        """
        home = home_of(
            account=spec.account,
            key=spec.key,
            regions=cell.regions,
            per_region=cell.key_partitions_per_region,
        )

        begin_id = new_id()

        def build(epoch: int) -> t.IntentRequest:
            left = max(0.0, deadline - self._clock.monotonic())
            return t.IntentRequest(
                partition=str(home),
                epoch=epoch,
                account=spec.account,
                key=spec.key,
                request_id=spec.request_id,
                fingerprint=fingerprint,
                frontend_id=self._frontend_id,
                remaining_ms=int(left * MS_PER_S),
                begin_id=begin_id,
            )

        result = await self._owners.call(
            home,
            "begin_request",
            build,
            deadline=deadline,
            not_owner=lambda reply: reply.verdict == t.IntentVerdict.NOT_OWNER,
        )
        return self._parse_reply(home, spec, result, deadline)

    def _parse_reply(
        self, home: PartitionId, spec: RequestSpec, result: Replied | NoReply, deadline: float
    ) -> IntentRecorded | DuplicateKey | IntentNotRecorded:
        match result:
            case NoReply(unclear=unclear, store_lost=store_lost):
                if unclear:
                    self.finish(home, spec, t.RequestOutcome.NOT_RUN)
                timed_out = not store_lost and self._clock.monotonic() >= deadline
                reason = STORE_LOST_REASON if store_lost else "no scheduler answers for this key"
                return IntentNotRecorded(reason=reason, retry_after_s=1.0, timed_out=timed_out)
            case Replied(reply=reply, unclear=unclear):
                retry_after_s = (reply.retry_after_ms or MS_PER_S) / MS_PER_S
                if reply.verdict == t.IntentVerdict.COMMITTED:
                    return IntentRecorded(home=home)
                if unclear:
                    # The reply to an earlier call was lost, so the recorded intent may be that
                    # of this request, which has not been sent. Without this outcome the key would
                    # stay in use until it expires as unknown. The home accepts the outcome only
                    # for the request id that it recorded.
                    self.finish(home, spec, t.RequestOutcome.NOT_RUN)
                if reply.verdict == t.IntentVerdict.REFUSED:
                    return IntentNotRecorded(
                        reason=reply.reason or "refused", retry_after_s=retry_after_s
                    )
                if reply.verdict == t.IntentVerdict.RUNNING and unclear:
                    return IntentNotRecorded(
                        reason="the key's record is unclear", retry_after_s=1.0
                    )
                return DuplicateKey(reply=reply)

    def finish(
        self,
        home: PartitionId,
        spec: RequestSpec,
        outcome: t.RequestOutcome,
        answer: t.RecordedAnswer | None = None,
    ) -> asyncio.Task[None]:
        """Record the outcome of a request in the background; return the task."""
        return self._background.start(self._finish(home, spec, outcome, answer))

    async def _finish(
        self,
        home: PartitionId,
        spec: RequestSpec,
        outcome: t.RequestOutcome,
        answer: t.RecordedAnswer | None,
    ) -> None:
        end = self._clock.monotonic() + FINISH_RETRY_LIMIT_S
        backoff_s = INITIAL_BACKOFF_S
        while self._clock.monotonic() < end:
            req = t.FinishRequest(
                partition=str(home),
                epoch=0,
                account=spec.account,
                key=spec.key,
                request_id=spec.request_id,
                outcome=outcome,
                answer=answer,
            )
            reply = await self._owners.call_once(
                home, "finish_request", req, timeout_s=FINISH_TIMEOUT_S
            )
            if reply is not None and reply.recorded:
                return
            await self._clock.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
        metrics.RECORDS_LOST.inc()
