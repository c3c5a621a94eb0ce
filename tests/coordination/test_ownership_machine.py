from __future__ import annotations

import asyncio

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from loguru import logger

from rhubarbferry.conf.settings import OwnershipSettings, ProcessSettings, Settings
from rhubarbferry.coordination import Node, TenureWon
from rhubarbferry.coordination.configuration import apply
from rhubarbferry.coordination.membership import Membership
from rhubarbferry.ports.ownership import Role
from rhubarbferry.ports.store import LeaseLost
from rhubarbferry.test.fake_clock import FakeClock, run_ready_tasks
from rhubarbferry.test.hypothesis_settings import state_machine_settings
from rhubarbferry.test.memory_store import MemoryStore
from rhubarbferry.test.store_faults import CallKind

STEP_S = 0.25
EXAMPLES = 40
STEPS = 20
PROCESSES = st.integers(0, 2)
TEXT = "[cell]\nregions = north\nkey_partitions_per_region = 3\n"
CFG = Settings(
    process=ProcessSettings(region="north", failure_domain="a"),
    ownership=OwnershipSettings(
        lease_s=2.0, renew_s=0.5, clock_margin_s=0.2, rebalance_s=1.0, refresh_s=10.0
    ),
)


class NoHosts:
    def hosts(self):
        return ()

    async def changed(self):
        await asyncio.Event().wait()


class PolledStore(MemoryStore):
    """A store whose watches poll for changes on the test's clock."""

    async def watch(self, prefix, *, from_revision):
        while True:
            await self.clock.sleep(STEP_S)
            await self.call(CallKind.LIST, lambda: None)
            events = list(self.engine.changes(prefix, "cell0", from_revision))
            from_revision = self.engine.revision + 1
            if events and not self.faults.silent_watches:
                yield tuple(events)


class Process:
    """One node with its own clock, which can be paused."""

    def __init__(self, number: int, engine, clock: FakeClock) -> None:
        self.clock = FakeClock(now=clock.monotonic())
        self.store = PolledStore(clock=self.clock, engine=engine)
        self.paused = False
        self.tenures = []
        self.node = Node(
            cfg=CFG,
            role=Role.SCHEDULER,
            clock=self.clock,
            store=self.store,
            hosts=NoHosts(),
            address=f"10.0.0.{number}:1",
            jitter=lambda: 0.5,
            member_id=f"m{number}",
        )
        self.main = asyncio.ensure_future(self.node.start())

    def collect(self) -> None:
        while not self.node.events.empty():
            match self.node.events.get_nowait():
                case TenureWon(tenure=tenure):
                    self.tenures.append(tenure)

    async def kill(self) -> None:
        # Cancelled without cleanup: no lease is revoked and no partition is handed over.
        for task in (self.main, self.node._main):
            task.cancel()
        await asyncio.gather(self.main, self.node._main, return_exceptions=True)
        self.collect()


class OwnershipMachine(RuleBasedStateMachine):
    """Three schedulers that are paused, cut off, slowed down and restarted in any order."""

    def __init__(self) -> None:
        super().__init__()
        logger.disable("rhubarbferry")
        self.runner = asyncio.Runner()
        self.time = FakeClock()
        self.store = MemoryStore(clock=self.time)
        self.count = 0
        self.epochs: dict[str, int] = {}
        self.run_coroutine(self.start_processes())

    def run_coroutine(self, coro):
        return self.runner.run(coro)

    async def start_processes(self):
        await apply(self.store, text=TEXT, based_on=0, author="a", clock=self.time, write_id="w")
        self.processes = [self.new_process() for _ in range(3)]
        await self.advance_clocks(2.0)

    def new_process(self) -> Process:
        self.count += 1
        return Process(self.count, self.store.engine, self.time)

    async def advance_clocks(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.time.jump(STEP_S)
            for process in self.processes:
                process.clock.jump(STEP_S)
                if not process.paused:
                    process.clock.wake()
            await run_ready_tasks()
            for process in self.processes:
                process.collect()
            self.check()

    def check(self) -> None:
        holding = [t for p in self.processes for t in p.tenures if t.holds()]
        names = [tenure.partition for tenure in holding]
        assert len(names) == len(set(names)), f"two tenures hold: {holding}"

    @rule(seconds=st.sampled_from([0.25, 0.5, 1.0, 2.5]))
    def advance(self, seconds):
        self.run_coroutine(self.advance_clocks(seconds))

    @rule(number=PROCESSES)
    def pause_or_resume(self, number):
        process = self.processes[number]
        process.paused = not process.paused

    @rule(number=PROCESSES)
    def toggle_store(self, number):
        faults = self.processes[number].store.faults
        faults.down = not faults.down

    @rule(number=PROCESSES, seconds=st.sampled_from([0.0, 0.7, 1.7]))
    def slow_replies(self, number, seconds):
        self.processes[number].store.faults.slow_reply_s = seconds

    @rule(number=PROCESSES)
    def lose_replies(self, number):
        self.processes[number].store.faults.lose_replies = 2

    @rule(number=PROCESSES)
    def restart(self, number):
        self.run_coroutine(self._restart(number))

    async def _restart(self, number):
        await self.processes[number].kill()
        self.processes[number] = self.new_process()
        await run_ready_tasks()

    @invariant()
    def epochs_never_decrease(self):
        if not hasattr(self, "processes"):
            return
        for process in self.processes:
            for partition, entry in process.node.ownership.state.table.entries.items():
                seen = process.node.ownership.epochs[partition]
                assert entry.epoch <= seen

    @rule(number=PROCESSES)
    def silence_watch(self, number):
        self.processes[number].store.faults.silent_watches = True

    def kill_processes(self):
        self.run_coroutine(self._kill_processes())
        self.runner.close()

    async def _kill_processes(self):
        for process in self.processes:
            await process.kill()

    def teardown(self):
        self.run_coroutine(self._finish())
        self.runner.close()
        logger.enable("rhubarbferry")

    async def _finish(self):
        try:
            await self._check_recovery()
        finally:
            await self._kill_processes()

    async def _check_recovery(self):
        """Check that each partition has an active owner once the faults are over."""
        for process in self.processes:
            process.paused = False
            process.store.faults = type(process.store.faults)()
        await self.advance_clocks(CFG.ownership.refresh_s + 10.0)
        holding = [t for p in self.processes for t in p.tenures if t.holds()]
        assert len(holding) == 3


def run(examples: int, steps: int) -> None:
    run_state_machine_as_test(
        OwnershipMachine,
        settings=state_machine_settings(examples=examples, steps=steps),
    )


def test_machine_never_two_owners():
    run(EXAMPLES, STEPS)


_RENEW = Membership._renew


async def _renew_from_reply(self, lease):
    await self._store.keep_alive(lease.id)
    self.lease = lease.renewed(asked_at=self._clock.monotonic(), ttl_s=CFG.ownership.lease_s)


async def _renew_or_rejoin(self, lease):
    try:
        await _RENEW(self, lease)
    except LeaseLost:
        self._published = None
        await self._join()


def cut_while_a_reply_is_slow(machine: OwnershipMachine) -> None:
    machine.slow_replies(0, 1.7)
    machine.advance(1.0)
    machine.toggle_store(0)
    machine.advance(2.5)


def stopped_past_the_lease_with_a_silent_watch(machine: OwnershipMachine) -> None:
    machine.silence_watch(0)
    machine.pause_or_resume(0)
    machine.advance(2.5)
    machine.advance(1.0)
    machine.pause_or_resume(0)
    machine.advance(2.5)


@pytest.mark.parametrize("mechanism_disabled", [False, True])
@pytest.mark.parametrize(
    ("scenario", "name", "mutant"),
    [
        (cut_while_a_reply_is_slow, "_renew", _renew_from_reply),
        (stopped_past_the_lease_with_a_silent_watch, "_renew", _renew_or_rejoin),
    ],
)
def test_lease_mechanism_is_needed(monkeypatch, scenario, name, mutant, mechanism_disabled):
    """Without either mechanism two processes could act as owners at the same time.

    A lease counted from a slow reply is considered valid for too long. A lease that is regained
    after a pause would restore partitions that another process has taken over.
    """
    if mechanism_disabled:
        monkeypatch.setattr(Membership, name, mutant)
    machine = OwnershipMachine()
    try:
        if mechanism_disabled:
            with pytest.raises(AssertionError, match="two tenures hold"):
                scenario(machine)
        else:
            scenario(machine)
    finally:
        machine.kill_processes()
