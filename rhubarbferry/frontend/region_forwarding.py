"""Forward requests to the frontends of another region.

The frontends of a region fence its runners: a new owner collects the open grants from these
frontends and no others. A frontend therefore never connects to runners of another region. It
forwards the complete request to a frontend of that region, which obtains the grant and applies
the retry rules.
"""

from __future__ import annotations

import random

from attrs import evolve, frozen

from rhubarbferry.frontend import problems
from rhubarbferry.frontend.attempts import (
    MAX_ATTEMPTS,
    MAX_BUFFERED_ANSWER_BYTES,
    BufferedAnswer,
    RetryBudgets,
    StreamedAnswer,
)
from rhubarbferry.frontend.caller import Caller
from rhubarbferry.frontend.headers import PASSED_TO_REGION, RequestSpec
from rhubarbferry.frontend.problems import Outcome, Problem
from rhubarbferry.frontend.runners import (
    Answer,
    AnswerBroken,
    Exchange,
    ExchangeBroken,
    NotSent,
    RunnerRefused,
    Runners,
)
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.ownership import Member, OwnershipView, Role

MAX_CONNECTIONS_PER_FRONTEND = 256
CONNECT_TIMEOUT_S = 1.0


@frozen(kw_only=True, slots=True)
class _AnswerMissing:
    """Bytes were sent to the other region, but no complete answer was received."""

    reason: str
    timeout: bool


class RegionForwarder:
    """Forward requests to frontends of other regions.

    :param member_id: the member id of this process, which is never a target.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ownership: OwnershipView,
        runners: Runners,
        budgets: RetryBudgets,
        member_id: str,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._ownership = ownership
        self._runners = runners
        self._budgets = budgets
        self._member_id = member_id
        self._rng = rng or random.Random()

    async def run(
        self, *, spec: RequestSpec, caller: Caller, region: str, deadline: float
    ) -> BufferedAnswer | StreamedAnswer | Problem:
        """Return the other frontend's answer, or the final problem if there is none."""
        self._budgets.add_request(spec.account)
        forwarded = evolve(
            spec,
            target=f"/v1/services/{spec.service}{spec.target}",
            headers=(*spec.headers, (PASSED_TO_REGION, region)),
        )
        reason, bytes_sent = f"no frontend of region {region} can be reached", False
        for member in self._candidates(region):
            if not caller.replayable or self._clock.monotonic() >= deadline:
                break
            result = await self._forward(member, forwarded, caller, deadline)
            match result:
                case BufferedAnswer() | StreamedAnswer():
                    return result
                case NotSent() | RunnerRefused():
                    reason = result.reason
                case _AnswerMissing(reason=reason, timeout=timeout):
                    bytes_sent = True
                    may_retry = spec.idempotent and not timeout and not caller.disconnected.is_set()
                    if not may_retry or not self._budgets.take_retry(spec.account):
                        return problems.outcome_unknown(
                            reason, timeout=timeout, idempotent=spec.idempotent
                        )
        problem = problems.refused(reason, problems.DEFAULT_RETRY_AFTER_S)
        return problem.as_unknown() if bytes_sent else problem

    def _candidates(self, region: str) -> list[Member]:
        members = [
            member
            for member in self._ownership.members(Role.FRONTEND, region)
            if member.http_address and not member.draining and member.id != self._member_id
        ]
        self._rng.shuffle(members)
        return members[:MAX_ATTEMPTS]

    async def _forward(
        self, member: Member, spec: RequestSpec, caller: Caller, deadline: float
    ) -> BufferedAnswer | StreamedAnswer | NotSent | RunnerRefused | _AnswerMissing:
        exchange = Exchange(request_id=spec.request_id)
        # Closing the connection signals the disconnection to the other frontend, which then
        # continues a non-idempotent request and cancels an idempotent one.
        caller.on_disconnect(lambda: exchange.abort("the caller has gone"))
        result = await self._runners.send(
            address=member.http_address,
            spec=spec,
            body=caller.body_prefix if caller.body_complete else caller.body,
            exchange=exchange,
            usable_until=min(deadline, self._clock.monotonic() + CONNECT_TIMEOUT_S),
            may_send=lambda: True,
            deadline=deadline,
            connections=MAX_CONNECTIONS_PER_FRONTEND,
        )
        match result:
            case NotSent() | RunnerRefused():
                return result
            case ExchangeBroken(reason=reason, timeout=timeout):
                return _AnswerMissing(reason=reason, timeout=timeout)
            case Answer():
                return await self._read(member, exchange, result, deadline)

    async def _read(
        self, member: Member, exchange: Exchange, answer: Answer, deadline: float
    ) -> BufferedAnswer | StreamedAnswer | _AnswerMissing:
        try:
            outcome = Outcome(answer.outcome)
        except ValueError:
            answer.close()
            return _AnswerMissing(reason="the frontend there gave no outcome", timeout=False)
        if answer.length is None or answer.length > MAX_BUFFERED_ANSWER_BYTES:
            return StreamedAnswer(
                answer=answer,
                address=member.http_address,
                exchange=exchange,
                on_end=lambda complete: None,
                outcome=outcome,
            )
        try:
            async with self._runners.tracked(member.http_address, exchange):
                body = await answer.read()
        except AnswerBroken as exc:
            answer.close()
            return _AnswerMissing(reason=str(exc), timeout=self._clock.monotonic() >= deadline)
        return BufferedAnswer(
            status=answer.status,
            headers=answer.headers,
            body=body,
            content_length_header=answer.content_length_header,
            outcome=outcome,
        )
