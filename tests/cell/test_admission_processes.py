"""Admission in a full cell of real processes."""

from __future__ import annotations

import asyncio
import signal

import pytest

from rhubarbferry.cell.load_summarizer import SUMMARY_INTERVAL_S

from .cell_harness import HOST, PREFIX, CellHarness, MemberProcess, configuration, step

pytestmark = pytest.mark.processes

NAMES = ("one", "two", "three")
WORK_S = 2.0
# The objective is 3.5 s (1.5 x 2 s + 0.5 s), so a job must end within 10.5 s. The backlog takes
# 15 s on all 8 cores. It is one job: a summary of the load that is made between the submissions of
# several would refuse the last of them.
BACKLOG_TASKS = 60
TASK = {"cpu": 1000, "estimateMs": int(WORK_S * 1000)}
KEYS = {"flooding": "key-of-flooding", "quiet": "key-of-quiet"}


def tenants(accounts: dict[str, float]) -> list[dict]:
    return [
        {"name": name, "apiKeys": [KEYS[name]], "weight": weight}
        for name, weight in accounts.items()
    ]


@pytest.fixture
async def harness(tmp_path):
    settings = tmp_path / "cell.ini"
    settings.write_text("[admission]\nrefuse_when_full = yes\n")
    async with CellHarness(tmp_path) as harness:
        harness.store.put(
            "op/config", {**configuration(), "tenants": tenants({"flooding": 1, "quiet": 1})}
        )
        await harness.add_worker("w", work_s=WORK_S)
        for name in NAMES:
            await harness.start(name, str(settings))
        for member in harness.members.values():
            await harness.ready(member)
        await harness.wait_for_owner()
        yield harness


async def post(
    harness: CellHarness, member: MemberProcess, account: str, id: str, count: int = 1
) -> tuple[int, str | None]:
    """Submit a job; return the status and the Retry-After header."""
    headers = {"Host": HOST, "Authorization": f"Bearer {KEYS[account]}"}
    body = {"spec": "work", "phases": [step(count, **TASK)]}
    url = f"http://{member.front}{PREFIX}{id}"
    async with harness.session.post(url, json=body, headers=headers) as resp:
        return resp.status, resp.headers.get("Retry-After")


async def get(harness: CellHarness, member: MemberProcess, account: str, id: str) -> int:
    headers = {"Host": HOST, "Authorization": f"Bearer {KEYS[account]}"}
    async with harness.session.get(f"http://{member.front}{PREFIX}{id}", headers=headers) as resp:
        return resp.status


def id_of(number: int) -> str:
    return f"{number:016x}"


async def flood_until_refused(
    harness: CellHarness, member: MemberProcess, first: int
) -> tuple[str, str | None]:
    """Submit small jobs until one is refused; return its id and Retry-After."""
    for number in range(first, first + 40):
        status, retry_after = await post(harness, member, "flooding", id_of(number))
        if status == 429:
            return id_of(number), retry_after
        assert status == 200
        await asyncio.sleep(SUMMARY_INTERVAL_S / 4)
    raise AssertionError("no job was refused")


async def test_a_flood_is_refused_and_all_else_is_accepted(harness):
    """Guards against refusals of jobs that run, of other accounts, and by a dead owner."""
    owner = harness.owner()
    other, third = (m for m in harness.members.values() if m is not owner)
    assert await post(harness, other, "flooding", id_of(0), BACKLOG_TASKS) == (200, None)
    refused, retry_after = await flood_until_refused(harness, other, 1000)
    assert int(retry_after) >= 1
    assert await get(harness, third, "flooding", refused) == 410
    # A request that arrives again is answered by its first outcome, wherever it arrives.
    for member in harness.members.values():
        assert (await post(harness, member, "flooding", id_of(0), BACKLOG_TASKS))[0] == 200
    assert (await post(harness, other, "quiet", id_of(2000)))[0] == 200
    [line] = [line for line in other.events("job.not_accepted") if line["job"] == refused]
    assert line["account"] == "flooding"
    assert line["retry_after_s"] == int(retry_after)
    assert not any(run.task.startswith(refused) for run in harness.runs())
    owner.signal(signal.SIGKILL)
    await owner.child.wait()
    assert (await post(harness, other, "flooding", id_of(3000)))[0] == 200
    # The id that was refused may be submitted again; it is accepted then.
    assert (await post(harness, other, "flooding", refused))[0] == 200
    harness.assert_nothing_twice()
