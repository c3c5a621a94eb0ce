from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys

import aiohttp
import pytest

from rhubarbferry.test.runner import Runner

TEST_TIMEOUT_S = 10.0


@pytest.fixture
async def runner():
    server = Runner(id="r", slots=2, connections=3)
    await server.start()
    yield server
    await server.close()


async def fetch(session, runner, path="/w", **headers):
    all_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    async with session.post(f"http://{runner.address}{path}", headers=all_headers) as res:
        return res.status, res.headers, await res.read()


async def test_it_records_executions_and_rejects_requests_beyond_its_slots(runner) -> None:
    async with aiohttp.ClientSession() as session:
        first = [
            asyncio.create_task(fetch(session, runner, Request_Id=f"q{n}", Work_Ms="100"))
            for n in range(2)
        ]
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(runner.status()["running"]) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        status, headers, _ = await fetch(session, runner, Request_Id="q3")
        assert (status, headers["Outcome"], headers["Request-Id"]) == (503, "not-run", "q3")
        answers = await asyncio.gather(*first)
        assert [status for status, _, _ in answers] == [200, 200]
        assert runner.counts.concurrent_max == 2 and runner.counts.executions == 2
        assert all(e.ended - e.started >= 0.1 and e.answered for e in runner.record)
        assert sorted(runner.status()["finished_recent"]) == ["q0", "q1"]


async def test_it_closes_connections_beyond_its_limit(runner) -> None:
    sessions = [aiohttp.ClientSession() for _ in range(4)]
    for session in sessions[:3]:
        assert (await fetch(session, runner))[0] == 200
    with pytest.raises(aiohttp.ClientError):
        await fetch(sessions[3], runner)
    assert runner.counts.connections_refused >= 1
    for session in sessions:
        await session.close()


@pytest.mark.parametrize("faults", [{"truncate": True}, {"hang_up": True}])
async def test_broken_answers_raise_client_errors(runner, faults) -> None:
    runner.set_faults(**faults)
    async with aiohttp.ClientSession() as session:
        with pytest.raises(aiohttp.ClientError):
            await fetch(session, runner, Answer_Bytes="1000")
    assert runner.counts.executions == 1


async def test_the_process_prints_its_address_and_stops_on_sigterm() -> None:
    process = subprocess.Popen(  # noqa: ASYNC220
        [sys.executable, "-m", "rhubarbferry.test.runner", "--id", "r9", "--service", "s"],
        stdout=subprocess.PIPE,
        env=dict(os.environ),
    )
    try:
        line = json.loads(await asyncio.to_thread(process.stdout.readline))
        assert line["id"] == "r9"
        async with aiohttp.ClientSession() as session:
            base = f"http://{line['address']}"
            async with session.post(f"{base}/faults", json={"drain": True}) as res:
                assert res.status == 200
            async with session.post(f"{base}/faults", json={"nonsense": True}) as res:
                assert res.status == 400
            async with session.get(f"{base}/rhubarbferry/status") as res:
                assert (await res.json())["leaving"] is True
            async with session.get(f"{base}/record") as res:
                assert (await res.json())["executions"] == []
        process.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(process.wait, TEST_TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()
