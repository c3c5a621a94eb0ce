"""Stateful test of the key watcher: writes, lost history, silent watches and failing calls."""

from __future__ import annotations

import os
from collections.abc import Coroutine
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rhubarbferry.cell.key_watch import SLOW_TRANSFER_S, KeyWatcher, Source, Version
from rhubarbferry.ports.store import (
    Changes,
    Committed,
    Conflict,
    Listing,
    StoreError,
    StoreRateLimited,
    StoreRefused,
    StoreUnavailable,
    StoreUnclear,
    Txn,
    WatchBroken,
)
from rhubarbferry.test.fake_clock import FakeClock
from rhubarbferry.test.memory_store import prefix_end
from rhubarbferry.test.store_engine import Compacted, Delete, Put, StoreEngine

from .fakes import FakeEventLog

KEY = "op/config"
OTHER = "op/config-other"
HISTORY_S = 20.0
HISTORY_EVENTS = 4
FUZZ = os.environ.get("HYPOTHESIS_PROFILE") == "fuzz"
EXAMPLES = 2000 if FUZZ else 150
FAILURES = (StoreUnavailable, StoreUnclear, StoreRateLimited, StoreRefused)


class FaultyStore:
    """A store with injected failures, whose calls never wait.

    :ivar failures: exceptions that the next calls raise, ``None`` for an answer.
    :ivar watch_silent: whether watches return no events although there are changes.
    """

    def __init__(self) -> None:
        self.engine = StoreEngine(history=HISTORY_EVENTS)
        self.failures: list[type[StoreError] | None] = []
        self.watch_silent = False
        self.transfer_s = 0.0
        self.calls: list[str] = []

    def _enter(self, call: str) -> None:
        self.calls.append(call)
        failure = self.failures.pop(0) if self.failures else None
        if failure is not None:
            raise failure("injected failure")

    async def list(self, prefix: str) -> Listing:
        self._enter("list")
        items = tuple(stored.kv for stored in self.engine.read(prefix, prefix_end(prefix)))
        return Listing(revision=self.engine.revision, items=items, transfer_s=self.transfer_s)

    async def commit(self, txn: Txn) -> Committed | Conflict:
        self._enter("commit")
        assert not txn.put and not txn.delete
        (condition,) = txn.expect
        stored = self.engine.get(condition.key)
        if (stored.kv.mod_revision if stored else 0) == condition.revision:
            return Committed(revision=self.engine.revision)
        items = {condition.key: stored.kv} if stored else {}
        return Conflict(items=items, transfer_s=self.transfer_s)

    async def changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        self._enter("changes")
        try:
            events = self.engine.changes(prefix, prefix_end(prefix), after + 1)
        except Compacted as exc:
            raise WatchBroken("history is gone") from exc
        if self.watch_silent:
            events = ()
        return Changes(
            revision=self.engine.revision, events=tuple(events), transfer_s=self.transfer_s
        )


def run_without_waiting(coro: Coroutine[Any, Any, Version | None]) -> Version | None:
    """Return the result of a coroutine that never waits."""
    try:
        coro.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the watcher waited")


class KeyWatcherMachine(RuleBasedStateMachine):
    """Returned revisions increase, and the newest is returned once calls are answered."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock()
        self.store = FaultyStore()
        self.watcher = KeyWatcher(
            clock=self.clock, store=self.store, log=FakeEventLog(), key=KEY, history_s=HISTORY_S
        )
        self.returned: list[Version] = []

    @rule(value=st.binary(max_size=2))
    def write(self, value: bytes) -> None:
        self.store.engine.txn([], [Put(key=KEY, value=value)])

    @rule()
    def write_another_key(self) -> None:
        self.store.engine.txn([], [Put(key=OTHER, value=b"")])

    @rule()
    def delete(self) -> None:
        self.store.engine.txn([], [Delete(key=KEY)])

    @rule(watch_silent=st.booleans())
    def set_watch_silent(self, watch_silent: bool) -> None:
        self.store.watch_silent = watch_silent

    @rule(slow=st.booleans())
    def set_slow(self, slow: bool) -> None:
        self.store.transfer_s = SLOW_TRANSFER_S if slow else 0.0

    @rule(failures=st.lists(st.sampled_from((None, *FAILURES)), max_size=3))
    def fail_next(self, failures: list[type[StoreError] | None]) -> None:
        self.store.failures = failures

    @rule(seconds=st.sampled_from((0.5, 3.0, HISTORY_S)))
    def advance_clock(self, seconds: float) -> None:
        self.clock.jump(seconds)

    @rule()
    def call_next(self) -> None:
        try:
            self.record_version(run_without_waiting(self.watcher.next(0.0)))
        except StoreError:
            self.watcher.compare_next()

    def record_version(self, version: Version | None) -> None:
        if version is None:
            return
        if self.returned:
            assert version.item.mod_revision > self.returned[-1].item.mod_revision
        self.returned.append(version)

    @rule()
    def recover(self) -> None:
        """End all failures; the next call must return the newest value."""
        self.store.failures = []
        self.store.watch_silent = False
        self.record_version(run_without_waiting(self.watcher.next(0.0)))
        stored = self.store.engine.get(KEY)
        if stored is not None:
            assert self.returned[-1].item == stored.kv

    @rule()
    def call_next_without_failures(self) -> None:
        self.clock.jump(HISTORY_S)
        for _ in range(2):
            self.recover()
        self.store.calls.clear()
        self.recover()
        assert self.store.calls == ["changes"], "unnecessary calls to a store without failures"

    @rule()
    def write_and_read_without_failures(self) -> None:
        """A change made while nothing fails is returned by the next call."""
        self.recover()
        calls = len(self.returned)
        self.store.engine.txn([], [Put(key=KEY, value=b"calm")])
        self.record_version(run_without_waiting(self.watcher.next(0.0)))
        assert [version.item.value for version in self.returned[calls:]] == [b"calm"]

    @invariant()
    def lists_only_when_required(self) -> None:
        """Only the first value, or one after a refused comparison, comes from a listing."""
        refused = [event for event, _ in self.watcher.log.events if event == "key.not_compared"]
        listed = [version for version in self.returned if version.source is Source.LISTING]
        assert len(listed) <= 1 + len(refused)


TestKeyWatcher = KeyWatcherMachine.TestCase
TestKeyWatcher.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=40, deadline=None, derandomize=not FUZZ
)
