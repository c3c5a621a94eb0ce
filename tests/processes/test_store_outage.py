"""Requests during a store outage that lasts longer than the leases."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from attrs import frozen

from rhubarbferry.coordination.keys import CELL_PREFIX
from rhubarbferry.coordination.mirror import decode_state
from rhubarbferry.core.ownership import Table
from rhubarbferry.core.partition import PartitionId
from rhubarbferry.test.processes import ProcessCell, Shape

pytestmark = pytest.mark.processes

SHAPE = Shape(frontends=3, schedulers=2, runners=2, workers=1, key_partitions=2)
FRONTENDS = [f"frontend-attiki-{number}" for number in (1, 2, 3)]
KEYS_PARTITION = "key/attiki/0"
GIVEN_PROMISES_METRIC = 'rhubarbferry_promises_asked_total{result="given"}'
LEASE_S = 3.0
OUTAGE_S = LEASE_S + 6.0
IMMEDIATE_S = 0.5
RECOVERY_TIMEOUT_S = 8.9
SETTLE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
MAX_KEPT_BODY = 300
STORE_TIMEOUT_S = 1.0
# A write without an answer is verified by a read, and each call has its own timeout.
UNSETTLED_WRITE_S = 2 * STORE_TIMEOUT_S + IMMEDIATE_S
DETECTION_S = LEASE_S + 2 * STORE_TIMEOUT_S
JOB = {
    "account": "kryogonia",
    "kind": "batch",
    "tasks": 1,
    "size": {"millicores": 100, "memory_bytes": 1000, "accelerators": 0},
    "run_ms": 10,
}

Fault = Callable[[ProcessCell], Awaitable[None]]


@frozen(kw_only=True)
class RequestResult:
    """An answer received during or after the outage.

    :param at_s: time at which the request was sent, in seconds since the start of the period.
    :param duration_s: seconds until the answer was received.
    :param body: the start of the answer, which names the reason of a problem.
    """

    kind: str
    status: int
    outcome: str
    retry_after: str
    path: str
    at_s: float
    duration_s: float
    body: str = ""

    @property
    def rejected(self) -> bool:
        """Return whether the answer reports that nothing was run and when to retry."""
        return self.outcome == "not-run" and self.retry_after != ""


async def table_of(cell: ProcessCell) -> Table:
    """Return the ownership table from the store."""
    store = cell.open_store()
    try:
        return decode_state((await store.list(CELL_PREFIX)).items).table
    finally:
        await store.close()


async def promises_given(cell: ProcessCell) -> float:
    """Return the total number of promises received by all schedulers."""
    given = 0.0
    for process in cell.processes_with_prefix("scheduler-"):
        async with cell.session.get(f"{process.http}/metrics") as answer:
            for line in (await answer.text()).splitlines():
                if line.startswith(GIVEN_PROMISES_METRIC):
                    given += float(line.rsplit(" ", 1)[1])
    return given


async def wait_until_guards_promise(cell: ProcessCell) -> None:
    """Wait until all frontends are guards, then for two new promises per guard on average."""
    async with asyncio.timeout(SETTLE_TIMEOUT_S):
        while True:
            guards = (await table_of(cell)).guards.get("attiki")
            if guards is not None and len(guards.guards) == len(FRONTENDS):
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        target_count = await promises_given(cell) + 2 * len(FRONTENDS)
        while True:
            if await promises_given(cell) >= target_count:
                break
            await asyncio.sleep(POLL_INTERVAL_S)


async def send_until(
    cell: ProcessCell, *, kind: str, begin: float, end: float, frontends: list[str]
) -> list[RequestResult]:
    """Send requests sequentially from ``begin`` to ``end`` on the event loop's clock."""
    loop = asyncio.get_running_loop()
    results: list[RequestResult] = []
    while (sent_at := loop.time()) < end:
        frontend = frontends[len(results) % len(frontends)]
        path = f"/{kind}/{frontend}/{begin}/{len(results)}"
        if kind == "job":
            url = f"{cell.processes[frontend].http}/v1/jobs"
            async with cell.session.post(url, json=JOB) as answer:
                status, headers = answer.status, answer.headers
                outcome, retry_after = headers.get("Outcome", ""), headers.get("Retry-After", "")
                body = await answer.read()
        else:
            keyed = {"Idempotent": "false", "Idempotency-Key": path}
            chosen = keyed if kind == "slip" else {"Idempotent": "true"}
            response = await cell.request(
                frontend, path, headers={"Request-Timeout": "20", **chosen}
            )
            status, outcome, retry_after = response.status, response.outcome, response.retry_after
            body = response.body
        results.append(
            RequestResult(
                kind=kind,
                status=status,
                outcome=outcome,
                retry_after=retry_after,
                path=path,
                at_s=sent_at - begin,
                duration_s=loop.time() - sent_at,
                body=body[:MAX_KEPT_BODY].decode(errors="replace"),
            )
        )
        await asyncio.sleep(POLL_INTERVAL_S)
    return results


async def reject_calls(cell: ProcessCell) -> None:
    await cell.set_faults("store", down=True)


async def suspend_store(cell: ProcessCell) -> None:
    cell.processes["store"].signal(signal.SIGSTOP)


async def reject_calls_and_kill_keys_owner(cell: ProcessCell) -> None:
    owner = (await table_of(cell)).entries[PartitionId.parse(KEYS_PARTITION)].member_id
    await cell.set_faults("store", down=True)
    await cell.processes[owner.rsplit("-", 1)[0]].kill()


async def restore_store(cell: ProcessCell) -> None:
    cell.processes["store"].signal(signal.SIGCONT)
    await cell.set_faults("store", down=False)


@frozen(kw_only=True)
class FaultCase:
    """A way in which the store becomes unavailable.

    :param max_rejection_s: maximum delay of a rejection before the outage is detected.
    :param may_be_unclear: whether the outcome of a request may be unknown because a write to the
        store was in progress when the outage began.
    :param repeatable: whether repeatable requests must succeed, which requires that the owner of
        the runner partition survives.
    """

    name: str
    fault: Fault
    max_rejection_s: float = IMMEDIATE_S
    may_be_unclear: bool = False
    repeatable: bool = True


FAULT_CASES = [
    FaultCase(name="refuses all calls", fault=reject_calls),
    FaultCase(
        name="is silent",
        fault=suspend_store,
        max_rejection_s=UNSETTLED_WRITE_S,
        may_be_unclear=True,
    ),
    FaultCase(
        name="refuses, and the owner of the keys dies",
        fault=reject_calls_and_kill_keys_owner,
        max_rejection_s=DETECTION_S,
        repeatable=False,
    ),
]


@pytest.mark.parametrize("case", FAULT_CASES, ids=lambda case: case.name)
async def test_requests_that_need_the_store_are_rejected_at_once_in_an_outage(
    case: FaultCase, tmp_path: Path
) -> None:
    """The store is unavailable for much longer than the leases of the schedulers.

    Repeatable requests continue to run, based on the promises of the frontends. Callers of
    requests that must not run twice, and of jobs, must receive at once the answer that nothing was
    run and when to retry, instead of waiting for a deadline.
    """
    async with ProcessCell(dir=tmp_path, shape=SHAPE) as cell:
        for name in FRONTENDS:
            await cell.wait_until_served(name)
        await wait_until_guards_promise(cell)
        loop = asyncio.get_running_loop()
        await case.fault(cell)
        begin = loop.time()
        keyed_results, repeatable_results, job_results = await asyncio.gather(
            *(
                send_until(cell, kind=kind, begin=begin, end=begin + OUTAGE_S, frontends=FRONTENDS)
                for kind in ("slip", "order", "job")
            )
        )
        await restore_store(cell)
        restored_at = loop.time()
        recovery_results = await asyncio.gather(
            *(
                send_until(
                    cell,
                    kind=kind,
                    begin=restored_at,
                    end=restored_at + RECOVERY_TIMEOUT_S,
                    frontends=[name],
                )
                for kind in ("slip", "order", "job")
                for name in FRONTENDS
            )
        )
        records = await cell.records("runner")
    details = [
        f"{result.kind} {result.at_s:.1f} {result.duration_s:.2f} {result.outcome} {result.body}"
        for result in keyed_results
    ]
    ran = {execution["path"] for record in records for execution in record["executions"]}
    assert all(result.rejected for result in keyed_results), details
    assert not {result.path for result in keyed_results} & ran
    assert all(
        result.rejected or (case.may_be_unclear and result.outcome == "unknown")
        for result in job_results
    )
    for result in (*keyed_results, *job_results):
        assert result.duration_s < (
            IMMEDIATE_S if result.at_s > DETECTION_S else case.max_rejection_s
        ), result
    if case.repeatable:
        assert not [result for result in repeatable_results if result.outcome != "done"]
    for answers in recovery_results:
        last = answers[-1]
        assert last.outcome == "done" or last.status == 202, last
        assert last.at_s + last.duration_s < RECOVERY_TIMEOUT_S + IMMEDIATE_S
