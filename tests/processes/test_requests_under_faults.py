"""Requests during failures of processes, connections and the store."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
from attrs import evolve, frozen
from failure_scenarios import (
    FRONTENDS,
    KEYS_PARTITION,
    PAST_LEASE_S,
    RUNNERS_PARTITION,
    SCHEDULERS,
    SHAPE,
    Fault,
    assert_guarantees_kept,
    inject_under_load,
    kill_owner,
    owner_of,
    silence,
)
from request_load import REQUEST_TIMEOUT_S

from rhubarbferry.test.processes import ProcessCell, Shape

pytestmark = pytest.mark.processes

SUSPENSION_S = 5.0
LATE_ANSWER_MS = 2500


async def kill_owner_of_runners(cell: ProcessCell) -> None:
    await kill_owner(cell, RUNNERS_PARTITION)


async def kill_owner_of_keys(cell: ProcessCell) -> None:
    await kill_owner(cell, KEYS_PARTITION)


async def freeze_owner_past_its_lease(cell: ProcessCell) -> None:
    process = cell.processes[await owner_of(cell, RUNNERS_PARTITION)]
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(PAST_LEASE_S)
    process.signal(signal.SIGCONT)


async def freeze_owner_of_keys_past_its_lease(cell: ProcessCell) -> None:
    process = cell.processes[await owner_of(cell, KEYS_PARTITION)]
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(PAST_LEASE_S)
    process.signal(signal.SIGCONT)


async def lose_replies_of_the_store(cell: ProcessCell) -> None:
    await cell.set_faults("store", lose_every=3)
    await asyncio.sleep(2.0)
    await cell.set_faults("store", lose_every=0)


async def slow_store(cell: ProcessCell) -> None:
    await cell.set_faults("store", slow_s=0.4)
    await asyncio.sleep(2.0)
    await cell.set_faults("store", slow_s=0.0)


async def store_down_past_the_lease(cell: ProcessCell) -> None:
    await cell.set_faults("store", down=True)
    await asyncio.sleep(PAST_LEASE_S)
    await cell.set_faults("store", down=False)


async def kill_a_runner(cell: ProcessCell) -> None:
    await cell.processes["runner-attiki-1"].kill()


async def truncated_answers(cell: ProcessCell) -> None:
    await cell.set_faults("runner-attiki-1", truncate=True)
    await asyncio.sleep(1.0)
    await cell.set_faults("runner-attiki-1", truncate=False)


async def wrong_request_ids(cell: ProcessCell) -> None:
    await cell.set_faults("runner-attiki-1", wrong_id=True)
    await asyncio.sleep(1.0)
    await cell.set_faults("runner-attiki-1", wrong_id=False)


async def planned_stop_of_the_owner(cell: ProcessCell) -> None:
    process = cell.processes[await owner_of(cell, RUNNERS_PARTITION)]
    assert await process.terminate(within_s=15.0) == 0


async def kill_owner_while_replies_are_lost(cell: ProcessCell) -> None:
    await cell.set_faults("store", lose_every=4)
    await kill_owner_of_keys(cell)
    await asyncio.sleep(2.0)
    await cell.set_faults("store", lose_every=0)


async def store_down_and_kill(cell: ProcessCell) -> None:
    await cell.set_faults("store", down=True)
    await asyncio.sleep(0.5)
    await cell.processes[SCHEDULERS[0]].kill()
    await asyncio.sleep(PAST_LEASE_S)
    await cell.set_faults("store", down=False)


async def freeze_owner_while_replies_are_lost(cell: ProcessCell) -> None:
    await cell.set_faults("store", lose_every=4)
    await freeze_owner_of_keys_past_its_lease(cell)
    await cell.set_faults("store", lose_every=0)


async def silent_connections_and_kill(cell: ProcessCell) -> None:
    silence(cell, *SCHEDULERS, *FRONTENDS)
    await asyncio.sleep(0.5)
    await kill_owner(cell, RUNNERS_PARTITION)


async def kill_two_schedulers(cell: ProcessCell) -> None:
    await kill_owner(cell, RUNNERS_PARTITION)
    await asyncio.sleep(1.0)
    remaining = [process for process in cell.processes_with_prefix("scheduler") if process.running]
    await remaining[0].kill()


async def freeze_a_frontend(cell: ProcessCell) -> None:
    process = cell.processes[FRONTENDS[0]]
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(SUSPENSION_S)
    process.signal(signal.SIGCONT)


async def late_answers(cell: ProcessCell) -> None:
    await cell.set_faults("runner-attiki-1", late_ms=LATE_ANSWER_MS)
    await asyncio.sleep(1.0)
    await cell.set_faults("runner-attiki-1", late_ms=0)
    await asyncio.sleep(LATE_ANSWER_MS / 1000)


@frozen(kw_only=True)
class FaultCase:
    """A fault and the failure that it could cause.

    :param shape: size of the cell.
    :param timeout_s: deadline of each request.
    """

    name: str
    fault: Fault
    failure: str
    shape: Shape = SHAPE
    timeout_s: float = REQUEST_TIMEOUT_S


FAULT_CASES = [
    FaultCase(
        name="kill runners' owner",
        fault=kill_owner_of_runners,
        failure="The owner of the grants crashes. Requests wait for a few seconds.",
    ),
    FaultCase(
        name="kill keys' owner",
        fault=kill_owner_of_keys,
        failure="The owner of the intents crashes. Keyed requests wait for a few seconds.",
    ),
    FaultCase(
        name="freeze runners' owner",
        fault=freeze_owner_past_its_lease,
        failure=(
            "The owner is suspended past its lease and resumes with old messages in its buffers. "
            "A slot could be granted twice."
        ),
    ),
    FaultCase(
        name="freeze keys' owner",
        fault=freeze_owner_of_keys_past_its_lease,
        failure=(
            "The owner of the intents is suspended past its lease and resumes. It could accept a "
            "key that its successor has accepted too, so that a request runs twice."
        ),
    ),
    FaultCase(
        name="lost replies",
        fault=lose_replies_of_the_store,
        failure="Writes take effect, but their replies are lost. A blind retry would run twice.",
    ),
    FaultCase(
        name="slow store",
        fault=slow_store,
        failure="The store delays each call by 0.4 s. Keyed requests take longer.",
    ),
    FaultCase(
        name="store down",
        fault=store_down_past_the_lease,
        failure="The store is down for longer than a lease. Keyed requests are rejected.",
    ),
    FaultCase(
        name="kill a runner",
        fault=kill_a_runner,
        failure="A backend server crashes with requests in progress. Some outcomes are unknown.",
    ),
    FaultCase(
        name="truncated answers",
        fault=truncated_answers,
        failure="A runner closes its connection within an answer, which must not pass as complete.",
    ),
    FaultCase(
        name="foreign answers",
        fault=wrong_request_ids,
        failure="A runner answers with a wrong request ID. A caller could see another's data.",
    ),
    FaultCase(
        name="planned stop",
        fault=planned_stop_of_the_owner,
        failure="A scheduler is stopped as planned. No request may fail because of that.",
    ),
    FaultCase(
        name="kill and lost replies",
        fault=kill_owner_while_replies_are_lost,
        failure="The owner of the intents crashes while replies of the store are lost.",
    ),
    FaultCase(
        name="store down and kill",
        fault=store_down_and_kill,
        failure="A scheduler crashes in an outage; no takeover is possible before its end.",
    ),
    FaultCase(
        name="lost replies and freeze",
        fault=freeze_owner_while_replies_are_lost,
        failure="The owner of the intents is suspended past its lease while replies are lost.",
    ),
    FaultCase(
        name="silent connections and kill",
        fault=silent_connections_and_kill,
        failure=(
            "All connections between daemons go silent, then the owner of the grants crashes. "
            "Its successor must not wait for guards on silent connections."
        ),
        shape=evolve(SHAPE, relayed=frozenset([*SCHEDULERS, *FRONTENDS])),
    ),
    FaultCase(
        name="two kills",
        fault=kill_two_schedulers,
        failure="The owner of the grants crashes, and a second scheduler within a second.",
        shape=evolve(SHAPE, schedulers=3),
    ),
    FaultCase(
        name="freeze a frontend",
        fault=freeze_a_frontend,
        failure=(
            "A frontend with unused grants is suspended for 5 s and resumes. A grant used after "
            "its expiry would use a slot that was granted to another request."
        ),
    ),
    FaultCase(
        name="late answers",
        fault=late_answers,
        failure=(
            "A runner answers after the deadline of the request. On a reused connection the answer "
            "could be treated as the answer to the next request."
        ),
        timeout_s=1.0,
    ),
]


@pytest.mark.parametrize("case", FAULT_CASES, ids=lambda case: case.name)
async def test_requests_keep_their_guarantees(case: FaultCase, tmp_path: Path) -> None:
    """Callers send keyed and repeatable requests to two frontends while a fault is injected.

    Guards against requests that run twice, answers to other requests, and the outcome "not run"
    for requests that ran. Each case describes how its fault leads to this.
    """
    async with ProcessCell(dir=tmp_path, shape=case.shape) as cell:
        evaluation = await inject_under_load(cell, case.fault, timeout_s=case.timeout_s)
    assert_guarantees_kept(evaluation)
