"""State machine test of the log: several owners with crashes, pauses and lost calls."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Sequence
from typing import Any

from attrs import define, field
from gated_store import Delivery, GatedStore
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from log_harness import RETENTION_S, AutoAdvancingClock, entry, make_log, make_store, names

from rhubarbferry.coordination.log import SealedLog
from rhubarbferry.ports.entry_log import LogFenced, LogUnavailable, LogUnclear
from rhubarbferry.test.store_engine import StoreEngine

FUZZ = os.environ.get("HYPOTHESIS_PROFILE") == "fuzz"
EXAMPLES = 2000 if FUZZ else 150
STEPS = 60
LOOP_ITERATIONS = 40
MAX_LIVE_PROCESSES = 3
MAX_CALLS = 60
INDEX = st.integers(min_value=0, max_value=50)


@define(kw_only=True, eq=False)
class Process:
    """One owner of the log; ``state`` is the state that it rebuilds and snapshots."""

    epoch: int
    store: GatedStore
    log: SealedLog
    state: list[str] = field(factory=list)
    opened: list[str] | None = None
    tasks: list[asyncio.Task[None]] = field(factory=list)


def distinct(found: Sequence[str]) -> list[str]:
    return list(dict.fromkeys(found))


class LogMachine(RuleBasedStateMachine):
    """No acknowledged entry is lost, and no entry of a fenced owner appears after a seal."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = AutoAdvancingClock()
        self.engine = StoreEngine()
        self.in_transit: list[Callable[[], Any]] = []
        self.processes: list[Process] = []
        self.all_processes: list[Process] = []
        self.acked: list[tuple[int, str]] = []
        self.rejected: set[str] = set()
        self.epoch_of: dict[str, int] = {}

    def teardown(self) -> None:
        self.start()
        last = self.processes[-1]
        for _ in range(300):
            if last.opened is not None:
                break
            self.answer_next_call(last)
        assert last.opened is not None, "the last owner could not open the log"
        while self.in_transit:
            self.deliver(0)
        for process in self.processes:
            self.cancel(process)
        self.settle()
        self.loop.close()

    def settle(self) -> None:
        async def iterate() -> None:
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(iterate())
        for process in self.all_processes:
            for task in [task for task in process.tasks if task.done()]:
                process.tasks.remove(task)
                if not task.cancelled():
                    task.result()

    def cancel(self, process: Process) -> None:
        for task in process.tasks:
            task.cancel()
        writer = process.log._writer
        if writer is not None:
            writer.cancel()

    def spawn(self, process: Process, coro: Any) -> None:
        process.tasks.append(self.loop.create_task(coro))
        self.settle()

    async def _open(self, process: Process) -> None:
        try:
            found = await process.log.open()
        except LogFenced:
            return
        except LogUnavailable:
            process.tasks.append(asyncio.ensure_future(self._open(process)))
            return
        process.opened = distinct(names(found))
        process.state = list(process.opened)
        self.check_replayed(process)

    def check_replayed(self, process: Process) -> None:
        found = process.opened or []
        assert not self.rejected & set(found), "an entry exists that was reported as not written"
        for epoch, name in self.acked:
            if epoch < process.epoch:
                assert name in found, f"{name} was acknowledged and is lost"
        for epoch in {epoch for epoch, _ in self.acked}:
            order = [name for e, name in self.acked if e == epoch and name in found]
            assert order == [
                name for name in found if name in set(order)
            ], "the order of entries changed"
        for other in self.all_processes:
            if other.opened is None or other is process:
                continue
            first, second = sorted((other, process), key=lambda candidate: candidate.epoch)
            assert first.opened is not None and second.opened is not None
            self.check_pair(first, second)

    def check_pair(self, first: Process, second: Process) -> None:
        early, late = first.opened or [], second.opened or []
        kept = [name for name in late if name in set(early)]
        assert kept == early, "entries read by the earlier owner are missing or reordered"
        added = set(late) - set(early)
        for name in added:
            assert self.epoch_of[name] >= first.epoch, f"{name} of a fenced owner has appeared"

    async def _append(self, process: Process, submitted: list[str]) -> None:
        try:
            await process.log.append([entry(name) for name in submitted])
        except LogUnclear:
            process.state.extend(submitted)
        except (LogUnavailable, LogFenced):
            self.rejected.update(submitted)
            for other in self.all_processes:
                assert not set(submitted) & set(other.opened or []), "a rejected entry was written"
        else:
            process.state.extend(submitted)
            self.acked.extend((process.epoch, name) for name in submitted)
            for other in self.all_processes:
                if other.epoch > process.epoch and other.opened is not None:
                    assert set(submitted) <= set(other.opened), "entry acknowledged after a seal"

    async def _compact(self, process: Process) -> None:
        try:
            await process.log.compact(entry(name) for name in process.state)
        except (LogUnavailable, LogFenced, LogUnclear):
            return

    @precondition(lambda self: len(self.processes) < MAX_LIVE_PROCESSES)
    @rule()
    def start(self) -> None:
        epoch = len(self.all_processes) + 1
        memory = make_store(self.engine, self.clock)
        store = GatedStore(memory=memory, in_transit=self.in_transit)
        log = make_log(store, epoch=epoch, clock=self.clock, resolve_timeout_s=0.0)
        process = Process(epoch=epoch, store=store, log=log)
        self.processes.append(process)
        self.all_processes.append(process)
        self.spawn(process, self._open(process))

    @precondition(lambda self: len(self.processes) < MAX_LIVE_PROCESSES)
    @rule(wait_retention=st.booleans(), compact_log=st.booleans())
    def take_over(self, wait_retention: bool, compact_log: bool) -> None:
        """Let a new owner finish all its calls while the others are paused."""
        self.start()
        process = self.processes[-1]
        self.run_until_idle(process)
        if wait_retention:
            self.clock.now += RETENTION_S + 1
        if compact_log and process.opened is not None:
            self.spawn(process, self._compact(process))
            self.run_until_idle(process)

    def run_until_idle(self, process: Process) -> None:
        for _ in range(MAX_CALLS):
            if not process.store.pending:
                return
            self.answer_next_call(process)

    def pick(self, index: int, *, opened: bool) -> Process | None:
        found = [
            candidate for candidate in self.processes if not opened or candidate.opened is not None
        ]
        return found[index % len(found)] if found else None

    @rule(
        index=INDEX,
        number=st.integers(min_value=1, max_value=2),
        steps=st.lists(st.sampled_from(Delivery), max_size=3),
    )
    def append(self, index: int, number: int, steps: list[Delivery]) -> None:
        process = self.pick(index, opened=True)
        if process is None:
            return
        submitted = [f"e{len(self.epoch_of) + at}" for at in range(number)]
        self.epoch_of.update((name, process.epoch) for name in submitted)
        self.spawn(process, self._append(process, submitted))
        self.take_steps(process, steps)

    @rule(index=INDEX, steps=st.lists(st.sampled_from(Delivery), max_size=3))
    def compact(self, index: int, steps: list[Delivery]) -> None:
        process = self.pick(index, opened=True)
        if process is not None:
            self.spawn(process, self._compact(process))
            self.take_steps(process, steps)

    def take_steps(self, process: Process, steps: list[Delivery]) -> None:
        for delivery in steps:
            if process.store.pending:
                process.store.step(0, delivery)
                self.settle()

    def answer_next_call(self, process: Process) -> None:
        if process.store.pending:
            process.store.step(0, Delivery.ANSWER)
        self.settle()

    @rule(index=INDEX, count=st.integers(min_value=1, max_value=20))
    def resume(self, index: int, count: int) -> None:
        process = self.pick(index, opened=False)
        for _ in range(count if process else 0):
            assert process is not None
            self.answer_next_call(process)

    @rule(index=INDEX, call=INDEX, delivery=st.sampled_from(Delivery))
    def step(self, index: int, call: int, delivery: Delivery) -> None:
        process = self.pick(index, opened=False)
        if process is not None and process.store.pending:
            process.store.step(call, delivery)
            self.settle()

    @precondition(lambda self: self.in_transit)
    @rule(index=INDEX)
    def deliver(self, index: int) -> None:
        operation = self.in_transit.pop(index % len(self.in_transit))
        self.loop.run_until_complete(operation())

    @rule(seconds=st.sampled_from([1.0, RETENTION_S / 3, RETENTION_S + 1]))
    def advance_clock(self, seconds: float) -> None:
        self.clock.now += seconds

    @rule(index=INDEX, sent=st.booleans())
    def crash(self, index: int, sent: bool) -> None:
        process = self.pick(index, opened=False)
        if process is not None:
            if sent:
                process.store.leave_in_transit()
            self.cancel(process)
            self.processes.remove(process)
            self.settle()


TestLogMachine = LogMachine.TestCase
TestLogMachine.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=STEPS, derandomize=not FUZZ, deadline=None
)
