"""Intents of non-idempotent requests, which dispatch each idempotency key at most once.

The state of a key is derived from the log. An intent is recorded before its request is
dispatched, and a key becomes free again only after "not run" is recorded.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterator
from enum import StrEnum
from typing import Any

from attrs import Factory, define, field, frozen


class Outcome(StrEnum):
    """How a request ended."""

    DONE = "done"
    UNKNOWN = "unknown"


@frozen(kw_only=True, slots=True)
class IntentRules:
    """Retention limits of intents and recorded answers.

    :param retention_s: how long a finished intent answers duplicates.
    :param kept_per_account: maximum number of finished intents per account; the oldest are
        removed first.
    :param least_retention_s: minimum retention whatever the number of intents. New requests are
        refused instead, because a duplicate of a removed key would run again.
    :param answer_bytes: maximum total size of recorded answers; the oldest bodies are dropped
        first.
    """

    retention_s: float = 24 * 3600.0
    kept_per_account: int = 20_000
    least_retention_s: float = 600.0
    answer_bytes: int = 4 * 1024 * 1024


@frozen(kw_only=True, slots=True)
class IntentKey:
    """An idempotency key of one account."""

    account: str
    key: str


@define(kw_only=True, eq=False, slots=True)
class Intent:
    """One recorded intent.

    :param fingerprint: digest of the request's content.
    :param expires_at_ms: Unix time by which the request must have ended.
    :param begin_id: id of the attempt to record it; empty if unknown.
    :param outcome: ``None`` while the request runs.
    :param answer: the recorded answer, opaque to this module.
    :param answer_size: size of the answer in bytes.
    :param status: status of the answer, retained after the answer itself is dropped.
    :param orphaned: whether the frontend died while the request was running.
    :param lapsed: whether ``UNKNOWN`` was set by expiry, not reported by the frontend.
    """

    at: IntentKey
    request_id: str
    fingerprint: str
    frontend_id: str
    expires_at_ms: int
    begin_id: str = ""
    outcome: Outcome | None = None
    answer: Any = None
    answer_size: int = 0
    status: int = 0
    finished_at_ms: int = 0
    orphaned: bool = False
    lapsed: bool = False


# -------------------------------------------- states of a key, as seen by a new request


@frozen(kw_only=True, slots=True)
class Free:
    """The key has no intent: record one, then dispatch the request."""


@frozen(kw_only=True, slots=True)
class Running:
    """A request with this key is running."""

    intent: Intent


@frozen(kw_only=True, slots=True)
class Recorded:
    """A request with this key has finished with the recorded answer."""

    intent: Intent


@frozen(kw_only=True, slots=True)
class Unclear:
    """A request with this key was dispatched, and its outcome is unknown."""


@frozen(kw_only=True, slots=True)
class Mismatch:
    """The key was used for a request with other content."""


@frozen(kw_only=True, slots=True)
class Full:
    """The account has reached its maximum number of intents."""


Verdict = Free | Running | Recorded | Unclear | Mismatch | Full


class Finishing(StrEnum):
    """How to handle a reported outcome."""

    RECORD = "record"
    ALREADY = "already on record"
    NO_INTENT = "no such intent"
    CONTRADICTED = "another outcome is on record"


@define(kw_only=True, eq=False)
class IntentTable:
    """The intents of one key partition. Changes are applied after they are recorded."""

    rules: IntentRules = Factory(IntentRules)
    _intents: dict[IntentKey, Intent] = field(factory=dict, init=False)
    _running: dict[IntentKey, Intent] = field(factory=dict, init=False)
    _finished: dict[str, OrderedDict[IntentKey, Intent]] = field(factory=dict, init=False)
    _answers: OrderedDict[IntentKey, Intent] = field(factory=OrderedDict, init=False)
    _answer_bytes: int = field(default=0, init=False)

    def __len__(self) -> int:
        return len(self._intents)

    def __iter__(self) -> Iterator[Intent]:
        return iter(self._intents.values())

    def get(self, at: IntentKey) -> Intent | None:
        """Return the intent of a key."""
        return self._intents.get(at)

    def verdict(self, at: IntentKey, fingerprint: str, *, now_ms: int) -> Verdict:
        """Decide how to handle a request with a key; a resent request is a duplicate as well."""
        intent = self._intents.get(at)
        if intent is None:
            return Full() if self._is_full(at.account, now_ms) else Free()
        if intent.fingerprint != fingerprint:
            return Mismatch()
        match intent.outcome:
            case None if intent.orphaned or intent.expires_at_ms <= now_ms:
                return Unclear()
            case None:
                return Running(intent=intent)
            case Outcome.DONE:
                return Recorded(intent=intent)
            case _:
                return Unclear()

    def judge_finish(self, at: IntentKey, request_id: str, outcome: Outcome | None) -> Finishing:
        """Decide how to handle a reported outcome; ``None`` means "not run".

        A report that arrives after expiry is accepted: it replaces the outcome "unknown".
        """
        intent = self._intents.get(at)
        if intent is None or intent.request_id != request_id:
            return Finishing.NO_INTENT
        if intent.outcome is None or intent.lapsed:
            return Finishing.RECORD
        if intent.outcome is outcome:
            return Finishing.ALREADY
        if intent.outcome is Outcome.UNKNOWN and outcome is Outcome.DONE:
            return Finishing.RECORD
        return Finishing.CONTRADICTED

    # ------------------------------------------------------------ applying log records

    def begun(self, intent: Intent) -> None:
        """Apply a recorded intent."""
        self._remove(intent.at)
        self._intents[intent.at] = intent
        self._running[intent.at] = intent

    def cancelled(self, at: IntentKey, request_id: str) -> None:
        """Apply a recorded "not run", which frees the key."""
        intent = self._intents.get(at)
        if intent is None or intent.request_id != request_id:
            return
        if intent.outcome is None or intent.lapsed:
            self._remove(at)

    def finished(
        self,
        at: IntentKey,
        request_id: str,
        outcome: Outcome,
        *,
        answer: Any,
        answer_size: int,
        status: int,
        finished_at_ms: int,
    ) -> None:
        """Apply a recorded outcome."""
        intent = self._intents.get(at)
        if intent is None or intent.request_id != request_id:
            return
        self._set_outcome(intent, outcome, finished_at_ms)
        intent.lapsed = False
        intent.status = status
        if answer is not None:
            self._store_answer(intent, answer, answer_size)

    def lapse(self, *, now_ms: int) -> int:
        """Set expired running intents to the outcome "unknown".

        :returns: the number of expired intents.
        """
        expired = [intent for intent in self._running.values() if intent.expires_at_ms <= now_ms]
        for intent in expired:
            self._set_outcome(intent, Outcome.UNKNOWN, intent.expires_at_ms)
            intent.lapsed = True
        return len(expired)

    def mark_orphaned(self, live: Collection[str]) -> int:
        """Mark running intents whose frontend is not live as orphaned.

        The outcome of an orphaned request may never be reported.

        :returns: the number of orphaned intents.
        """
        orphans = 0
        for intent in self._running.values():
            intent.orphaned = intent.frontend_id not in live
            orphans += intent.orphaned
        return orphans

    def expire(self, *, now_ms: int) -> int:
        """Remove finished intents that exceed the retention time or the maximum number.

        :returns: the number of removed intents.
        """
        removed = 0
        for finished in list(self._finished.values()):
            while finished and self._is_removable(
                next(iter(finished.values())), len(finished), now_ms
            ):
                self._remove(next(iter(finished)))
                removed += 1
        return removed

    # ------------------------------------------------------------ internal

    def _is_removable(self, oldest: Intent, count: int, now_ms: int) -> bool:
        age_s = (now_ms - oldest.finished_at_ms) / 1000
        if age_s >= self.rules.retention_s:
            return True
        return count > self.rules.kept_per_account and age_s >= self.rules.least_retention_s

    def _is_full(self, account: str, now_ms: int) -> bool:
        finished = self._finished.get(account)
        if not finished or len(finished) < self.rules.kept_per_account:
            return False
        return not self._is_removable(next(iter(finished.values())), len(finished) + 1, now_ms)

    def _set_outcome(self, intent: Intent, outcome: Outcome, at_ms: int) -> None:
        intent.outcome = outcome
        intent.finished_at_ms = at_ms
        self._running.pop(intent.at, None)
        self._finished.setdefault(intent.at.account, OrderedDict())[intent.at] = intent

    def _store_answer(self, intent: Intent, answer: Any, size: int) -> None:
        intent.answer, intent.answer_size = answer, size
        self._answers[intent.at] = intent
        self._answer_bytes += size
        while self._answer_bytes > self.rules.answer_bytes:
            self._drop_answer(next(iter(self._answers)))

    def _drop_answer(self, at: IntentKey) -> None:
        intent = self._answers.pop(at, None)
        if intent is not None:
            self._answer_bytes -= intent.answer_size
            intent.answer, intent.answer_size = None, 0

    def _remove(self, at: IntentKey) -> None:
        if self._intents.pop(at, None) is None:
            return
        self._running.pop(at, None)
        self._drop_answer(at)
        finished = self._finished.get(at.account)
        if finished is not None:
            finished.pop(at, None)
            if not finished:
                del self._finished[at.account]
