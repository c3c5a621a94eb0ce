"""Concurrent configuration changes during store failures, and their propagation."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from attrs import Factory, define, frozen
from failure_scenarios import PAST_LEASE_S, wait_until, wait_until_all_serve

from rhubarbferry.coordination import configuration
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import StoreError
from rhubarbferry.rpc import Pool, RpcError
from rhubarbferry.rpc.gen.ttypes import StatusReply, StatusRequest
from rhubarbferry.rpc.services import GUARD, SCHEDULER
from rhubarbferry.test.processes import ProcessCell, Shape

pytestmark = pytest.mark.processes

CHANGES_PER_OPERATOR = 20
CHANGE_TIMEOUT_S = 60.0
IN_FORCE_TIMEOUT_S = 10.0
SAMPLE_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 2.0
NOT_STORED_ERRORS = (
    configuration.ConfigInvalid,
    configuration.ConfigRace,
    configuration.ConfigBehind,
)
SHAPE = Shape(frontends=2, schedulers=2, runners=1, workers=1)


@define(kw_only=True)
class RevisionMonitor:
    """The configuration revisions reported by each process over time.

    :ivar latest_revisions: last reported revision by process name.
    :ivar regressed: names of processes that reported a lower revision than before.
    """

    cell: ProcessCell
    latest_revisions: dict[str, int] = Factory(dict)
    regressed: list[str] = Factory(list)
    samples: int = 0

    async def run(self) -> None:
        """Poll the status of all daemons until cancelled."""
        pools = {"scheduler": Pool(service=SCHEDULER), "frontend": Pool(service=GUARD)}
        try:
            while True:
                for role, pool in pools.items():
                    for process in self.cell.processes_with_prefix(role):
                        if process.startup_info:
                            await self._sample(pool, process)
                await asyncio.sleep(SAMPLE_INTERVAL_S)
        finally:
            for pool in pools.values():
                await pool.close()

    async def _sample(self, pool: Pool, process: Any) -> None:
        try:
            reply: StatusReply = await pool.call(
                process.address, "status", StatusRequest(), timeout_s=CALL_TIMEOUT_S
            )
        except RpcError:
            return
        self.samples += 1
        if reply.config_revision < self.latest_revisions.get(process.name, 0):
            self.regressed.append(process.name)
        self.latest_revisions[process.name] = reply.config_revision

    async def wait_until_all_at(self, revision: int) -> None:
        """Wait until every daemon has reported ``revision`` or a later one."""
        names = {
            p.name
            for role in ("scheduler", "frontend")
            for p in self.cell.processes_with_prefix(role)
        }

        async def reached() -> bool:
            return all(self.latest_revisions.get(name, 0) >= revision for name in names)

        await wait_until(reached, within_s=IN_FORCE_TIMEOUT_S)


@asynccontextmanager
async def monitored(cell: ProcessCell) -> AsyncIterator[RevisionMonitor]:
    """Poll the status of all daemons within the context."""
    monitor = RevisionMonitor(cell=cell)
    task = asyncio.create_task(monitor.run())
    try:
        yield monitor
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@define(kw_only=True)
class OperatorChanges:
    """The results that operators received for their changes; each change adds a unique line.

    :ivar authors: by revision, the authors to whom it was confirmed as their own.
    :ivar accepted: lines of changes that were accepted.
    :ivar not_stored: lines of changes that were reported as not stored.
    :ivar failures: number of failed changes by exception class.
    """

    authors: dict[int, list[str]] = Factory(lambda: defaultdict(list))
    accepted: list[str] = Factory(list)
    not_stored: list[str] = Factory(list)
    failures: Counter[str] = Factory(Counter)

    @property
    def highest(self) -> int:
        return max(self.authors)

    async def make_changes(self, cell: ProcessCell, author: str) -> None:
        """Make changes based on the latest revision until ``CHANGES_PER_OPERATOR`` are accepted."""
        store = cell.open_store()
        accepted = 0
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_S):
                while accepted < CHANGES_PER_OPERATOR:
                    accepted += await self._change_once(store, author, accepted)
        finally:
            await store.close()

    async def _change_once(self, store: Any, author: str, number: int) -> int:
        line = f"# {author} {number} {self.failures.total()}"
        try:
            stored = await configuration.read(store)
            applied = await configuration.apply(
                store,
                text=f"{stored.record.text}{line}\n",
                based_on=stored.record.revision,
                author=author,
                clock=SystemClock(),
                write_id=line,
            )
        except (configuration.ConfigError, StoreError) as exc:
            self.failures[type(exc).__name__] += 1
            if isinstance(exc, NOT_STORED_ERRORS):
                self.not_stored.append(line)
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            return 0
        self.accepted.append(line)
        self.authors[applied.revision].append(author)
        return 1


Fault = Callable[[ProcessCell], Awaitable[None]]


async def no_fault(cell: ProcessCell) -> None:
    return None


async def lost_replies(cell: ProcessCell) -> None:
    await cell.set_faults("store", lose_every=3)
    await asyncio.sleep(2.0)
    await cell.set_faults("store", lose_every=0)


async def dropped_watches(cell: ProcessCell) -> None:
    for _ in range(10):
        await cell.set_faults("store", drop_watches=True)
        await asyncio.sleep(0.2)


async def stale_answers(cell: ProcessCell) -> None:
    await cell.set_faults("store", stale_revisions=15)
    await asyncio.sleep(1.0)
    await cell.set_faults("store", stale_revisions=0)


async def outage(cell: ProcessCell) -> None:
    await cell.set_faults("store", down=True)
    await asyncio.sleep(PAST_LEASE_S)
    await cell.set_faults("store", down=False)


@frozen(kw_only=True)
class FaultCase:
    """A fault that is injected while two operators make changes."""

    name: str
    fault: Fault
    failure: str


FAULT_CASES = [
    FaultCase(
        name="race",
        fault=no_fault,
        failure="Each operator edits the revision that the other one changes.",
    ),
    FaultCase(
        name="lost replies",
        fault=lost_replies,
        failure="A stored change looks failed to its author, or another's looks like theirs.",
    ),
    FaultCase(
        name="dropped watches",
        fault=dropped_watches,
        failure="Processes miss events; one could stay on an old revision forever.",
    ),
    FaultCase(
        name="older answers",
        fault=stale_answers,
        failure="The store answers with stale revisions, as after an outage.",
    ),
    FaultCase(
        name="outage",
        fault=outage,
        failure="The store is unavailable for longer than a lease during the changes.",
    ),
]


@pytest.mark.parametrize("case", FAULT_CASES, ids=lambda case: case.name)
async def test_accepted_changes_take_effect_everywhere(case: FaultCase, tmp_path: Path) -> None:
    """Two operators make 20 changes each while a fault is injected.

    Guards against an accepted change that disappears again, and against one revision that is
    confirmed to two operators. Each case describes how its fault leads to this.
    """
    async with ProcessCell(dir=tmp_path, shape=SHAPE) as cell, monitored(cell) as monitor:
        await wait_until_all_serve(cell)
        changes = OperatorChanges()
        operator_tasks = [
            asyncio.create_task(changes.make_changes(cell, who)) for who in ("eleni", "somchai")
        ]
        await case.fault(cell)
        await asyncio.gather(*operator_tasks)
        await monitor.wait_until_all_at(changes.highest)
        store = cell.open_store()
        try:
            final = (await configuration.read(store)).record
        finally:
            await store.close()
    print(f"{monitor.samples} samples, {dict(changes.failures)}")
    assert not monitor.regressed
    assert all(len(authors) == 1 for authors in changes.authors.values())
    assert set(monitor.latest_revisions.values()) == {final.revision}
    lines = final.text.splitlines()
    assert [line for line in changes.accepted if lines.count(line) != 1] == []
    assert [line for line in changes.not_stored if line in lines] == []


async def test_a_process_started_in_an_outage_loads_the_configuration_of_its_peers(
    tmp_path: Path,
) -> None:
    """A scheduler without local state starts while the store is down.

    Without the configuration of its peers it would have no services and no accounts. It must not
    own any partition, as a partition would then have two owners.
    """
    async with ProcessCell(dir=tmp_path, shape=SHAPE) as cell:
        await wait_until_all_serve(cell)
        changes = OperatorChanges()
        await changes.make_changes(cell, "eleni")
        async with monitored(cell) as monitor:
            await monitor.wait_until_all_at(changes.highest)
            await cell.set_faults("store", down=True)
            peers = ", ".join(p.address for p in cell.processes_with_prefix("scheduler"))
            started = await cell.start_daemon(
                "scheduler", "scheduler-late", region="attiki", peers=peers
            )
            await monitor.wait_until_all_at(changes.highest)
            pool = Pool(service=SCHEDULER)
            reply = await pool.call(
                started.address, "status", StatusRequest(), timeout_s=CALL_TIMEOUT_S
            )
            await pool.close()
    assert reply.partitions == []
    assert not monitor.regressed
