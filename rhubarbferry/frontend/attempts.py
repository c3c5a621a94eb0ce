"""Send a request to runners: obtain a grant, send, release, and retry where that is allowed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field, frozen

from rhubarbferry.conf.settings import Settings
from rhubarbferry.core.cell import Cell, PriorityClass
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.core.retry import RetryBudget
from rhubarbferry.frontend import metrics, problems
from rhubarbferry.frontend.caller import Caller, CallerGone
from rhubarbferry.frontend.grants import GrantClient, Granted, Refused
from rhubarbferry.frontend.guard import Guard, HeldGrant
from rhubarbferry.frontend.headers import RequestSpec
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
from rhubarbferry.rpc.gen import ttypes as t

MS_PER_S = 1000
# Answers up to this size are buffered before they are sent to the caller, so that an answer that
# breaks off can still be replaced by another runner's.
MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
MAX_ATTEMPTS = 5
# A refusal whose reason contains one of these is caused by a limit of the account: HTTP 429.
LIMIT_REASON_PHRASES = ("limit", "rate is", "of the account", "quota")
RELEASE_ACCEPT_TIMEOUT_S = 1.0


@frozen(kw_only=True, slots=True)
class BufferedAnswer:
    """A completely read answer, whose slot has been released."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    content_length_header: str | None
    outcome: Outcome = Outcome.DONE


@define(kw_only=True, slots=True)
class Attempt:
    """One attempt to run a request under a grant.

    :param held: the grant as registered with the guard.
    :param sent_at: start of the exchange, on the monotonic clock.
    :param released: resolves to whether the owner accepted the latest release of the slot.
    """

    granted: Granted
    held: HeldGrant
    exchange: Exchange
    spec: RequestSpec
    deadline: float
    sent_at: float
    released: asyncio.Future[bool] | None = None


@frozen(kw_only=True, slots=True)
class StreamedAnswer:
    """An answer whose body has still to be read and sent to the caller.

    :param address: address of the runner or frontend that answers.
    :param on_end: called at the end with whether the whole body was read.
    """

    answer: Answer
    address: str
    exchange: Exchange
    on_end: Callable[[bool], None]
    outcome: Outcome = Outcome.DONE


class RetryBudgets:
    """The retry budget of each account in the configuration."""

    def __init__(self, *, clock: Clock, ratio: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._budgets: dict[str, RetryBudget] = {}

    def add_request(self, account: str) -> None:
        """Count a new request, which adds to the budget."""
        self._budget_of(account).begun(now=self._clock.monotonic())

    def take_retry(self, account: str) -> bool:
        """Consume one retry; return whether the budget allowed it."""
        if self._budget_of(account).take(now=self._clock.monotonic()):
            metrics.RETRIES.labels(account).inc()
            return True
        metrics.RETRIES_REFUSED.labels(account).inc()
        return False

    def _budget_of(self, account: str) -> RetryBudget:
        budget = self._budgets.get(account)
        if budget is None:
            budget = self._budgets[account] = RetryBudget(ratio=self._ratio)
        return budget


@define(kw_only=True, slots=True)
class _RequestState:
    """The state of one request across its attempts.

    :param bytes_sent: whether an attempt may have sent bytes to a runner.
    """

    spec: RequestSpec
    caller: Caller
    partition: PartitionId
    priority: PriorityClass
    deadline: float
    excluded: list[str] = field(factory=list)
    attempts_made: int = 0
    bytes_sent: bool = False
    last_reason: str = ""


class Attempts:
    """Send requests to runners and apply the retry rules."""

    def __init__(
        self,
        *,
        clock: Clock,
        cfg: Settings,
        grants: GrantClient,
        guard: Guard,
        runners: Runners,
        budgets: RetryBudgets,
    ) -> None:
        self._clock = clock
        self._cfg = cfg
        self._grants = grants
        self._guard = guard
        self._runners = runners
        self._budgets = budgets

    async def run(
        self,
        *,
        cell: Cell,
        spec: RequestSpec,
        caller: Caller,
        partition: PartitionId,
        deadline: float,
    ) -> BufferedAnswer | StreamedAnswer | Problem:
        """Return an answer, or the final problem if there is none.

        :raises CallerGone: when the caller disconnected before any bytes were sent.
        """
        account = cell.accounts[spec.account]
        self._budgets.add_request(spec.account)
        state = _RequestState(
            spec=spec,
            caller=caller,
            partition=partition,
            priority=account.priority if spec.priority is None else spec.priority,
            deadline=deadline,
        )
        while True:
            result = await self._attempt_once(state)
            if result is not None:
                return result

    async def _attempt_once(
        self, state: _RequestState
    ) -> BufferedAnswer | StreamedAnswer | Problem | None:
        """Make one attempt; return ``None`` if another may follow."""
        granted = await state.caller.run_while_connected(
            self._grants.acquire(
                partition=state.partition,
                spec=state.spec,
                priority=state.priority,
                excluded=state.excluded,
                deadline=state.deadline,
            )
        )
        match granted:
            case Refused():
                return self._refusal_problem(state, granted)
            case Granted():
                attempt = self._new_attempt(state, granted)
                result = await self._use_grant(state, attempt)
                return await self._await_release(state, attempt) if result is None else result

    async def _use_grant(
        self, state: _RequestState, attempt: Attempt
    ) -> BufferedAnswer | StreamedAnswer | Problem | None:
        granted = attempt.granted
        if self._guard.add_grant(str(granted.partition), granted.epoch, attempt.held):
            return await self._send(state, attempt)
        metrics.GRANTS_UNUSED.labels("epoch").inc()
        self._release(attempt, t.GrantEnd.NOT_SENT)
        return self._handle_not_sent(state, "the grant is of an earlier epoch")

    async def _await_release(self, state: _RequestState, attempt: Attempt) -> Problem | None:
        """Wait until the owner has accepted the release, before the next grant is requested.

        If the next grant request arrived first, the owner could repeat the grant that is being
        released. The release would then free the slot while it is in use, and the owner could
        grant it a second time.
        """
        assert attempt.released is not None
        await asyncio.wait({attempt.released}, timeout=RELEASE_ACCEPT_TIMEOUT_S)
        excluded = attempt.granted.runner_id in state.excluded
        if excluded or (attempt.released.done() and attempt.released.result()):
            return None
        problem = problems.refused("the scheduler does not answer", problems.DEFAULT_RETRY_AFTER_S)
        return problem.as_unknown() if state.bytes_sent else problem

    def _new_attempt(self, state: _RequestState, granted: Granted) -> Attempt:
        now = self._clock.monotonic()
        held = HeldGrant(
            request_id=state.spec.request_id,
            grant_id=granted.grant_id,
            runner_id=granted.runner_id,
            account=state.spec.account,
            until=granted.usable_until + self._cfg.ownership.longest_request_s,
        )
        return Attempt(
            granted=granted,
            held=held,
            exchange=Exchange(request_id=state.spec.request_id),
            spec=state.spec,
            deadline=state.deadline,
            sent_at=now,
        )

    async def _send(
        self, state: _RequestState, attempt: Attempt
    ) -> BufferedAnswer | StreamedAnswer | Problem | None:
        caller, spec, granted = state.caller, state.spec, attempt.granted
        partition = str(granted.partition)
        caller.sent_at = attempt.sent_at
        if spec.idempotent:
            caller.on_disconnect(lambda: attempt.exchange.abort("the caller has gone"))
        result = await self._runners.send(
            address=granted.runner_address,
            spec=spec,
            body=caller.body_prefix if caller.body_complete else caller.body,
            exchange=attempt.exchange,
            usable_until=granted.usable_until,
            may_send=lambda: self._guard.may_send(partition, granted.epoch, attempt.held),
            deadline=state.deadline,
        )
        match result:
            case NotSent(reason=reason, unreachable=unreachable):
                # FAILED reports a fault of this runner to the owner. The slot is free either way.
                end = t.GrantEnd.FAILED if unreachable else t.GrantEnd.NOT_SENT
                metrics.GRANTS_UNUSED.labels("unreachable" if unreachable else "expired").inc()
                self._close_grant(attempt, end)
                if unreachable:
                    state.excluded.append(granted.runner_id)
                return self._handle_not_sent(state, reason)
            case RunnerRefused(reason=reason):
                self._close_grant(attempt, t.GrantEnd.REFUSED_BY_RUNNER)
                state.excluded.append(granted.runner_id)
                return self._handle_not_sent(state, reason)
            case ExchangeBroken(reason=reason, timeout=timeout):
                self._release_unknown(attempt)
                return self._handle_broken(state, attempt, reason, timeout)
            case Answer():
                return await self._read(state, attempt, result)

    async def _read(
        self, state: _RequestState, attempt: Attempt, answer: Answer
    ) -> BufferedAnswer | StreamedAnswer | Problem | None:
        if answer.length is None or answer.length > MAX_BUFFERED_ANSWER_BYTES:
            return StreamedAnswer(
                answer=answer,
                address=attempt.granted.runner_address,
                exchange=attempt.exchange,
                on_end=lambda complete: self._end_attempt(attempt, complete),
            )
        address = attempt.granted.runner_address
        try:
            async with self._runners.tracked(address, attempt.exchange):
                body = await answer.read()
        except AnswerBroken as exc:
            answer.close()
            self._release_unknown(attempt)
            timed_out = self._clock.monotonic() >= state.deadline
            return self._handle_broken(state, attempt, str(exc), timed_out)
        self._end_attempt(attempt, complete=True)
        return BufferedAnswer(
            status=answer.status,
            headers=answer.headers,
            body=body,
            content_length_header=answer.content_length_header,
        )

    def _refusal_problem(self, state: _RequestState, refused: Refused) -> Problem:
        if refused.timed_out:
            problem = problems.no_slot_in_time()
        else:
            limited = any(word in refused.reason for word in LIMIT_REASON_PHRASES)
            problem = problems.refused(refused.reason, refused.retry_after_s, limited=limited)
        return problem.as_unknown() if state.bytes_sent else problem

    def _handle_not_sent(self, state: _RequestState, reason: str) -> Problem | None:
        state.attempts_made += 1
        if state.caller.disconnected.is_set() and not state.bytes_sent:
            raise CallerGone
        replayable = state.caller.replayable
        if (
            state.attempts_made < MAX_ATTEMPTS
            and replayable
            and self._clock.monotonic() < state.deadline
        ):
            return None
        problem = problems.refused(reason, problems.DEFAULT_RETRY_AFTER_S)
        return problem.as_unknown() if state.bytes_sent else problem

    def _handle_broken(
        self, state: _RequestState, attempt: Attempt, reason: str, timeout: bool
    ) -> Problem | None:
        spec, caller = state.spec, state.caller
        state.bytes_sent = True
        state.attempts_made += 1
        state.excluded.append(attempt.granted.runner_id)
        if caller.too_large:
            limit = self._cfg.requests.max_body_bytes
            return problems.body_too_large(limit, outcome=Outcome.UNKNOWN)
        may_retry = (
            spec.idempotent
            and caller.replayable
            and not caller.disconnected.is_set()
            and state.attempts_made < MAX_ATTEMPTS
            and self._clock.monotonic() < state.deadline
        )
        if may_retry and self._budgets.take_retry(spec.account):
            return None
        return problems.outcome_unknown(reason, timeout=timeout, idempotent=spec.idempotent)

    def _end_attempt(self, attempt: Attempt, complete: bool) -> None:
        if complete:
            self._close_grant(attempt, t.GrantEnd.DONE)
        else:
            self._release_unknown(attempt)

    def _release_unknown(self, attempt: Attempt) -> None:
        """Report an unknown outcome; free the slot when the runner reports the end."""
        self._release(attempt, t.GrantEnd.UNKNOWN)
        partition = str(attempt.granted.partition)
        self._runners.watch_request(
            address=attempt.granted.runner_address,
            request_id=attempt.held.request_id,
            until=attempt.held.until,
            on_end=lambda: self._close_grant(attempt, t.GrantEnd.DONE),
            on_timeout=lambda: self._guard.remove_grant(partition, attempt.held),
        )

    def _close_grant(self, attempt: Attempt, end: t.GrantEnd) -> None:
        self._guard.remove_grant(str(attempt.granted.partition), attempt.held)
        self._release(attempt, end)

    def _release(self, attempt: Attempt, end: t.GrantEnd) -> None:
        now = self._clock.monotonic()
        release = t.Release(
            request_id=attempt.held.request_id,
            grant_id=attempt.held.grant_id,
            runner_id=attempt.held.runner_id,
            end=end,
            service_ms=max(0, round((now - attempt.sent_at) * MS_PER_S)),
            remaining_ms=max(0, round((attempt.held.until - now) * MS_PER_S)),
        )
        attempt.released = self._grants.release(attempt.granted.partition, release)
