"""Model test of intents with crashes between log writes and their application."""

from __future__ import annotations

from attrs import define
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rhubarbferry.core.intents import (
    Finishing,
    Free,
    Intent,
    IntentKey,
    IntentRules,
    IntentTable,
    Outcome,
)

KEYS = ("k1", "k2")
RULES = IntentRules(retention_s=10**6, kept_per_account=10**6)


@define(kw_only=True)
class Begun:
    key: str
    request_id: str
    expires_at_ms: int


@define(kw_only=True)
class Ended:
    key: str
    request_id: str
    outcome: Outcome | None


class IntentsMachine(RuleBasedStateMachine):
    """Each step writes to the log and then applies the record; ``crash`` replays the log."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.requests = 0
        self.log: list[Begun | Ended] = []
        self.book = IntentTable(rules=RULES)
        self.committed: dict[str, str] = {}
        self.executions: dict[str, int] = dict.fromkeys(KEYS, 0)
        self.told_not_run: set[str] = set()
        self.ran: set[str] = set()

    def apply(self, entry: Begun | Ended) -> None:
        at = IntentKey(account="a", key=entry.key)
        match entry:
            case Begun():
                self.book.begun(
                    Intent(
                        at=at,
                        request_id=entry.request_id,
                        fingerprint="same",
                        frontend_id="f",
                        expires_at_ms=entry.expires_at_ms,
                    )
                )
            case Ended(outcome=None):
                self.book.cancelled(at, entry.request_id)
            case Ended(outcome=outcome):
                self.book.finished(
                    at,
                    entry.request_id,
                    outcome,
                    answer="answer",
                    answer_size=1,
                    status=200,
                    finished_at_ms=self.now_ms,
                )

    @rule(key=st.sampled_from(KEYS), crash=st.sampled_from(["no", "before", "after"]))
    def begin(self, key: str, crash: str) -> None:
        at = IntentKey(account="a", key=key)
        if not isinstance(self.book.verdict(at, "same", now_ms=self.now_ms), Free):
            return
        self.requests += 1
        entry = Begun(key=key, request_id=f"q{self.requests}", expires_at_ms=self.now_ms + 500)
        if crash == "before":
            self.crash()
            return
        self.log.append(entry)
        if crash == "after":
            self.crash()
            return
        self.apply(entry)
        assert key not in self.committed
        self.committed[key] = entry.request_id

    @precondition(lambda self: self.committed)
    @rule(data=st.data())
    def execute(self, data: st.DataObject) -> None:
        key = data.draw(st.sampled_from(sorted(self.committed)))
        request_id = self.committed[key]
        if request_id not in self.ran and request_id not in self.told_not_run:
            self.ran.add(request_id)
            self.executions[key] += 1

    @precondition(lambda self: self.committed)
    @rule(
        data=st.data(),
        outcome=st.sampled_from([None, Outcome.DONE, Outcome.UNKNOWN]),
        crash=st.sampled_from(["no", "before", "after"]),
    )
    def finish(self, data: st.DataObject, outcome: Outcome | None, crash: str) -> None:
        key = data.draw(st.sampled_from(sorted(self.committed)))
        request_id = self.committed[key]
        if outcome is None and request_id in self.ran:
            return
        if outcome is None:
            self.told_not_run.add(request_id)
        at = IntentKey(account="a", key=key)
        if self.book.judge_finish(at, request_id, outcome) is not Finishing.RECORD:
            return
        if crash == "before":
            self.crash()
            return
        entry = Ended(key=key, request_id=request_id, outcome=outcome)
        self.log.append(entry)
        if outcome is None:
            del self.committed[key]
        if crash == "after":
            self.crash()
            return
        self.apply(entry)

    @rule(key=st.sampled_from(KEYS), number=st.integers(1, 6))
    def stale_not_run(self, key: str, number: int) -> None:
        request_id = f"q{number}"
        if self.committed.get(key) == request_id:
            return
        at = IntentKey(account="a", key=key)
        if self.book.judge_finish(at, request_id, None) is Finishing.RECORD:
            # The write was stored but its reply was lost, so no request was dispatched.
            self.log.append(Ended(key=key, request_id=request_id, outcome=None))
        self.book.cancelled(at, request_id)

    @rule()
    def crash(self) -> None:
        self.book = IntentTable(rules=RULES)
        for entry in self.log:
            self.apply(entry)

    @rule(seconds=st.sampled_from([0.1, 0.7, 3.0]))
    def advance(self, seconds: float) -> None:
        self.now_ms += int(1000 * seconds)
        self.book.lapse(now_ms=self.now_ms)
        self.book.expire(now_ms=self.now_ms)

    @invariant()
    def no_key_ran_twice(self) -> None:
        assert all(count <= 1 for count in self.executions.values())


TestIntents = IntentsMachine.TestCase
TestIntents.settings = settings(
    max_examples=100, stateful_step_count=40, derandomize=True, deadline=None
)
