"""Jobs from submission to their end, with real cell processes and platform stubs."""

from __future__ import annotations

import asyncio
import json
import signal

import aiohttp
import pytest

from rhubarbferry.cell.term import HOST_LIST_INTERVAL_S
from rhubarbferry.management.app import run_command
from rhubarbferry.test.store_engine import Put

from .cell_harness import HOST, CellHarness, configuration, step

pytestmark = pytest.mark.processes

# Time after which each process has received the membership of all others.
MEMBERSHIP_SYNC_S = 1.0
NAMES = ("one", "two", "three")


@pytest.fixture
async def harness(tmp_path):
    async with CellHarness(tmp_path) as harness:
        harness.store.put("op/config", configuration())
        for index in range(3):
            await harness.add_worker(f"w{index}")
        for name in NAMES:
            await harness.start(name)
        for member in harness.members.values():
            await harness.ready(member)
        await harness.wait_for_owner()
        yield harness


def ids(count: int) -> list[str]:
    return [f"{index:016x}" for index in range(1, count + 1)]


JOBS = {
    "one task": [step()],
    "two steps in order": [step(2), step(3, after=[0])],
    "a gang": [step(4, gang=True)],
    "more than there is room for at once": [step(40)],
}


@pytest.mark.parametrize("steps", JOBS.values(), ids=JOBS.keys())
async def test_job_runs_once_and_is_reported_as_complete(harness, steps):
    first, second, _ = harness.members.values()
    assert await harness.submit(first, ids(1)[0], *steps) == 200
    await harness.wait_for_state(second, ids(1)[0], "complete")
    assert len(harness.runs()) == sum(row["count"] for row in steps)
    harness.assert_nothing_twice()


REFUSED = {
    "no JSON": ("POST", "/q/00000000000000aa", b"{", 400),
    "no steps": ("POST", "/q/00000000000000aa", {"spec": "x", "phases": []}, 400),
    "a step after a later one": (
        "POST",
        "/q/00000000000000aa",
        {"spec": "x", "phases": [step(after=[1]), step()]},
        400,
    ),
    "an id of the wrong form": ("POST", "/q/short", {"spec": "x", "phases": [step()]}, 404),
    "an unknown queue": ("POST", "/none/00000000000000aa", {"spec": "x"}, 404),
    "a job that nobody submitted": ("GET", "/q/00000000000000aa", None, 410),
    "cancelling such a job": ("DELETE", "/q/00000000000000aa", None, 410),
    "another method": ("PUT", "/q/00000000000000aa", None, 405),
}


async def test_invalid_request_is_refused_and_stores_nothing(harness):
    member = harness.members["one"]
    for description, (method, path, body, status) in REFUSED.items():
        if isinstance(body, bytes):
            async with harness.session.request(
                method, f"http://{member.front}{path}", data=body, headers={"Host": "jobs.example"}
            ) as resp:
                found = resp.status
        else:
            found, _ = await harness.call(member, method, path, body)
        assert found == status, description
    assert harness.store.keys("state/") == []
    assert await harness.submit(member, ids(1)[0]) == 200


@pytest.mark.parametrize("cpu", ["Infinity", "1e999", "[" * 100_000])
async def test_an_invalid_host_entry_does_not_end_the_term_of_the_owner(harness, cpu):
    """Guards against a cell in which no task starts because of one entry of another writer."""
    fence = harness.store.engine.get("cell/control/owner").kv.mod_revision
    value = (
        f'{{"service":"pool","addr":"127.0.0.1:9","zone":"z","state":"ready",'
        f'"capacity":{{"cpu":{cpu},"memMb":1}}}}'
    )
    harness.store.engine.txn([], [Put(key="servers/other", value=value.encode())])
    await asyncio.sleep(2 * HOST_LIST_INTERVAL_S)
    for id in ids(3):
        assert await harness.submit(harness.members["one"], id) == 200
    for id in ids(3):
        await harness.wait_for_state(harness.members["two"], id, "complete", within_s=5.0)
    assert harness.store.engine.get("cell/control/owner").kv.mod_revision == fence
    harness.assert_nothing_twice()


def host_entry(**literals: str) -> str:
    """Return a host entry of which some fields are given as JSON literals."""
    fields = {
        "service": '"pool"',
        "addr": '"127.0.0.1:9"',
        "zone": '"z"',
        "state": '"ready"',
        "capacity": '{"cpu":1000,"memMb":100}',
        "born": "1",
        **literals,
    }
    return "{" + ",".join(f'"{name}":{value}' for name, value in fields.items()) + "}"


DIGITS = "9" * 5000
NESTED = "[" * 900 + "]" * 900
ODD_ENTRIES = {
    "servers/nested": "[" * 100_000,
    "servers/nested-zone": host_entry(zone=NESTED),
    "servers/nested-labels": host_entry(labels=NESTED),
    "servers/many-digits": host_entry(born=DIGITS),
    "servers/size-of-many-digits": host_entry(capacity=f'{{"cpu":{DIGITS},"memMb":1}}'),
    "servers/port-out-of-range": host_entry(addr='"127.0.0.1:65536"'),
    "servers/port-of-many-digits": host_entry(addr=f'"127.0.0.1:{DIGITS}"'),
    "servers/no-text": host_entry(zone='"\\ud800"'),
    "servers/scoped": host_entry(addr='"[::1%lo]:9"'),
    "servers/nobody-listens": host_entry(),
    "servers/far-future": host_entry(born=str(2**53 - 1)),
    "servers/odd\u00fc key": host_entry(),
    "cell/control/members/port": '{"name":"port","address":"127.0.0.1:65536","region":"r",'
    '"failure_domain":"d"}',
    "cell/control/members/digits": f'{{"name":"digits","address":"127.0.0.1:{DIGITS}",'
    '"region":"r","failure_domain":"d"}',
    "cell/control/members/nested": NESTED,
}


async def test_odd_entries_of_another_writer_end_no_process(harness):
    """Guards against processes that end, or follow no list any more, because of one odd entry."""
    fence = harness.store.engine.get("cell/control/owner").kv.mod_revision
    for key, value in ODD_ENTRIES.items():
        harness.store.engine.txn([], [Put(key=key, value=value.encode())])
    await asyncio.sleep(4 * HOST_LIST_INTERVAL_S)
    later = await harness.add_worker("later")
    await harness.wait_for_fence(later, above=0)
    # The tasks need all hosts at the same time.
    for worker in harness.workers.values():
        worker.work_s = 2.0
    assert await harness.submit(harness.members["one"], ids(1)[0], step(32)) == 200
    await harness.wait_for_state(harness.members["two"], ids(1)[0], "complete", within_s=8.0)
    assert later.history
    assert harness.store.engine.get("cell/control/owner").kv.mod_revision == fence
    assert [member.child.returncode for member in harness.members.values()] == [None] * 3
    harness.owner().signal(signal.SIGTERM)
    await asyncio.sleep(MEMBERSHIP_SYNC_S)
    assert await harness.submit(harness.members[harness.owner_key_name()], ids(4)[3]) == 200
    await harness.wait_for_state(harness.owner(), ids(4)[3], "complete", within_s=12.0)


async def test_a_restarted_host_refuses_the_calls_meant_for_its_earlier_incarnation(harness):
    """Guards against a late poll by which a host forgets ends that no owner has read."""
    one = harness.members["one"]
    worker = harness.workers["w0"]
    assert await harness.submit(one, ids(1)[0], step(20)) == 200
    await harness.wait_for_state(one, ids(1)[0], "complete")
    before = worker.fence
    address = json.loads(harness.store.engine.get("servers/w0").kv.value)["addr"]
    worker.restart()
    worker.register(address)
    await harness.wait_for_fence(worker, above=before)
    late = {"fence": before, "ackIndex": 1000, "waitMs": 0}
    headers = {"Rhubarbferry-Expect-Instance": "w0"}
    url = f"http://{address}/api/hold"
    async with harness.session.post(url, json=late, headers=headers) as resp:
        assert resp.status == 409
    assert await harness.submit(one, ids(2)[1], step(20)) == 200
    await harness.wait_for_state(one, ids(2)[1], "complete")
    assert any(run.task.startswith(ids(2)[1]) for run in worker.history)
    harness.assert_nothing_twice()


UNSCHEDULABLE_JOBS = {
    "a size beyond the range of floats": b'{"phases":[{"count":1,"cpu":1e308}]}',
    "a spec that is no text": b'{"phases":[{"count":1}],"spec":"\\ud800"}',
    "too many times": b'{"phases":[{"count":1}],"times":1e300}',
}


@pytest.mark.parametrize("body", UNSCHEDULABLE_JOBS.values(), ids=UNSCHEDULABLE_JOBS.keys())
async def test_a_job_that_cannot_be_scheduled_does_not_end_the_term_of_the_owner(harness, body):
    """Guards against a cell in which no task starts because of one job of one client."""
    fence = harness.store.engine.get("cell/control/owner").kv.mod_revision
    invalid, *sound = ids(4)
    url = f"http://{harness.members['one'].front}/q/{invalid}"
    async with harness.session.post(url, data=body, headers={"Host": HOST}) as resp:
        assert resp.status == 400
    for id in sound:
        assert await harness.submit(harness.members["one"], id) == 200
    for id in sound:
        await harness.wait_for_state(harness.members["two"], id, "complete", within_s=5.0)
    assert harness.store.engine.get("cell/control/owner").kv.mod_revision == fence


async def test_jobs_continue_after_their_owner_is_killed(harness):
    """Guards against jobs that stall or run twice after their owner was killed."""
    for worker in harness.workers.values():
        worker.work_s = 1.0
    owner = harness.owner()
    other = next(member for member in harness.members.values() if member is not owner)
    for id in ids(6):
        assert await harness.submit(other, id, step(2), step(2, after=[0])) == 200
    await asyncio.sleep(0.5)
    owner.signal(signal.SIGKILL)
    for id in ids(6):
        await harness.wait_for_state(other, id, "complete")
    harness.assert_nothing_twice()


async def test_planned_stop_hands_over_without_delay(harness):
    """Guards against a planned stop after which no task starts until the lease has expired."""
    owner = harness.owner()
    other = next(member for member in harness.members.values() if member is not owner)
    owner.signal(signal.SIGTERM)
    await asyncio.sleep(1.0)
    assert harness.owner() is not owner
    assert await harness.submit(owner, ids(1)[0]) == 200
    await harness.wait_for_state(other, ids(1)[0], "complete", within_s=3.0)
    assert await asyncio.wait_for(owner.child.wait(), 6.0) == 0
    harness.assert_nothing_twice()


async def test_owner_schedules_until_it_has_handed_over(harness):
    """Guards against seconds without an owner in a planned stop while the store is slow."""
    owner = harness.owner()
    other = next(member for member in harness.members.values() if member is not owner)
    await asyncio.sleep(MEMBERSHIP_SYNC_S)
    harness.store.faults.answer_s = 0.35
    owner.signal(signal.SIGTERM)
    assert await asyncio.wait_for(owner.child.wait(), 8.0) == 0
    (ended,) = owner.events("term.ended")
    # The watch may deliver the successor's key before its reply; the hand-over must still succeed.
    assert [line["outcome"] for line in owner.events("owner.hands_over")] == [True]
    begun = [line for member in harness.members.values() for line in member.events("term.loaded")]
    assert len(begun) == 2
    assert max(line["at"] for line in begun) - ended["at"] < 0.8
    assert await harness.submit(other, ids(1)[0]) == 200


async def test_killed_owner_is_replaced_before_its_lease_has_ended(harness):
    """Guards against waiting for the lease of an owner whose address refuses connections."""
    owner = harness.owner()
    await asyncio.sleep(MEMBERSHIP_SYNC_S)
    owner.signal(signal.SIGKILL)
    await asyncio.sleep(0.9)
    assert harness.owner_key_name() not in ("", owner.name)


async def test_paused_owner_ends_its_term_after_its_lease(harness):
    """Guards against a paused owner that continues to schedule alongside its successor."""
    owner = harness.owner()
    await asyncio.sleep(MEMBERSHIP_SYNC_S)
    owner.signal(signal.SIGSTOP)
    await asyncio.sleep(1.1)
    owner.signal(signal.SIGCONT)
    await asyncio.sleep(1.0)
    assert harness.owner() is not owner
    assert owner.events("term.ended")
    found = [
        line for each in harness.members.values() for line in each.events("owner.found_silent")
    ]
    assert "replaced" in [line["outcome"] for line in found]


async def test_acknowledged_jobs_survive_the_loss_of_all_processes(harness):
    """Guards against acknowledged jobs being lost when all processes are killed."""
    for worker in harness.workers.values():
        worker.work_s = 1.0
    member = harness.members["one"]
    for id in ids(5):
        assert await harness.submit(member, id, step(3)) == 200
    for each in harness.members.values():
        each.signal(signal.SIGKILL)
    for each in list(harness.members.values()):
        await each.child.wait()
    for name in NAMES:
        await harness.start(name)
    for each in harness.members.values():
        await harness.ready(each)
    for id in ids(5):
        await harness.wait_for_state(harness.members["one"], id, "complete")
    harness.assert_nothing_twice()


async def test_cancelled_job_stops_and_is_not_restarted(harness):
    for worker in harness.workers.values():
        worker.work_s = 30.0
    member = harness.members["two"]
    assert await harness.submit(member, ids(1)[0], step(2)) == 200
    await harness.wait_for_state(member, ids(1)[0], "running")
    status, _ = await harness.call(member, "DELETE", "/q/" + ids(1)[0])
    assert status == 200
    await harness.wait_for_state(member, ids(1)[0], "canceled")
    await asyncio.sleep(0.5)
    assert all(run.end_reason == "stopped" for run in harness.runs())


async def test_task_that_always_fails_ends_its_job_after_the_last_attempt(harness):
    """Guards against a task that is retried forever or abandoned too early."""
    id = ids(1)[0]
    for worker in harness.workers.values():
        worker.failing_tasks.add(f"{id}.0.0.0")
    assert await harness.submit(harness.members["one"], id) == 200
    await harness.wait_for_state(harness.members["one"], id, "failed")
    assert len(harness.runs()) == 3


async def test_job_refused_in_a_store_outage_never_runs(harness):
    """Guards against a job that runs although it was refused during a store outage."""
    member = harness.members["one"]
    for worker in harness.workers.values():
        worker.work_s = 0.6
    assert await harness.submit(member, ids(1)[0], step(2), step(2, after=[0])) == 200
    harness.store.faults.down = True
    await asyncio.sleep(1.0)
    assert await harness.submit(member, ids(2)[1]) == 503
    await asyncio.sleep(2.0)
    harness.store.faults.down = False
    await harness.wait_for_state(member, ids(1)[0], "complete")
    assert await harness.state(member, ids(2)[1]) == "410"
    assert not any(run.task.startswith(ids(2)[1]) for run in harness.runs())
    harness.assert_nothing_twice()


async def test_store_outage_does_not_cause_a_handover(harness):
    """Guards against a needless handover while the store is down for all processes."""
    owner = harness.owner()
    harness.store.faults.down = True
    await asyncio.sleep(2.5)
    ended = owner.events("term.ended")
    assert [line["reason"] for line in ended] == ["the lease was not extended in time"]


async def test_lost_store_answer_does_not_duplicate_a_job(harness):
    """Guards against a refusal or a duplicate job after a lost answer of the store."""
    member = harness.members["one"]
    harness.store.faults.lose_every = 2
    for id in ids(8):
        for _ in range(4):
            try:
                if await harness.submit(member, id) == 200:
                    break
            except Exception:
                await asyncio.sleep(0.2)
    harness.store.faults.lose_every = 0
    for id in ids(8):
        await harness.wait_for_state(member, id, "complete")
    assert len(harness.runs()) == 8


async def test_configuration_reaches_every_process_when_watches_lose_their_history(harness):
    """Guards against a process that misses a new queue when the store has dropped its history."""
    harness.store.faults.no_history = True
    harness.store.put("op/config", configuration(7, prefixes=("/q/", "/new/")))
    await asyncio.sleep(2.5)
    for index, member in enumerate(harness.members.values()):
        assert await harness.submit(member, ids(3)[index], prefix="/new/") == 200


async def test_every_process_reports_the_same_number_of_waiting_jobs(harness):
    for worker in harness.workers.values():
        worker.work_s = 30.0
    member = harness.members["one"]
    assert await harness.submit(member, ids(1)[0], step(24)) == 200
    await harness.wait_for_state(member, ids(1)[0], "running")
    for id in ids(4)[1:]:
        assert await harness.submit(member, id) == 200
    await asyncio.sleep(1.0)
    for each in harness.members.values():
        assert await harness.call(each, "GET", "/q/") == (200, {"pending": 3})


async def test_queue_with_a_policy_uses_approved_hosts_only(harness):
    cost = {"decisionMs": 10, "perWorkerMs": 0.1, "validMs": 1500}
    harness.policy.denied = {"w0", "w1"}
    harness.store.put("op/config", configuration(2, advisor=cost))
    await asyncio.sleep(1.5)
    assert await harness.submit(harness.members["one"], ids(1)[0], step(5)) == 200
    await harness.wait_for_state(harness.members["one"], ids(1)[0], "complete")
    assert harness.workers["w0"].history == []
    assert harness.workers["w1"].history == []


async def test_filling_tasks_are_throttled_on_the_host_of_a_slow_service(harness):
    """Guards against batch tasks that slow down a service on the same host."""
    member = harness.members["one"]
    service, batch = ids(2)
    worker = harness.workers["w0"]
    for other in ("w1", "w2"):
        harness.store.remove(f"servers/{other}")
    worker.work_s = 60.0
    worker.serving_tasks = {f"{service}.0.0.0"}
    await asyncio.sleep(1.0)
    row = step(longRunning=True, image="web", goalMs=100)
    assert await harness.submit(member, service, row) == 200
    await harness.wait_for_state(member, service, "running")
    assert await harness.submit(member, batch, step(2, fillCount=True, image="batch")) == 200
    await harness.wait_for_state(member, batch, "running")
    await asyncio.sleep(3.0)
    paces = [run.pace for run in worker.history if run.task.startswith(batch)]
    assert len(paces) == 2
    assert max(paces) < 50


async def test_changed_settings_file_is_applied_with_and_without_a_signal(harness):
    """Guards against a process that exits on SIGHUP or keeps using an old address."""
    signalled, silent, _ = harness.members.values()
    for member in (signalled, silent):
        path = harness.dir / f"{member.name}.toml"
        path.write_text(path.read_text().replace(harness.policy_address, "127.0.0.1:9"))
    signalled.signal(signal.SIGHUP)
    await asyncio.sleep(0.5)
    assert signalled.events("settings.applied")
    await asyncio.sleep(2.5)
    assert silent.events("settings.applied")
    assert await harness.submit(signalled, ids(1)[0]) == 200
    await harness.wait_for_state(silent, ids(1)[0], "complete")


async def test_metrics_are_served_on_their_address(harness):
    # The metrics listener starts concurrently with the others and may not accept connections yet.
    url = f"http://{harness.addresses['one']}:9464/metrics"
    for _ in range(50):
        try:
            async with harness.session.get(url) as resp:
                assert resp.status == 200
                assert "rhubarbferry_store_requests_total" in await resp.text()
                return
        except aiohttp.ClientConnectorError:
            await asyncio.sleep(0.1)
    raise AssertionError("the metrics endpoint did not answer in time")


async def test_check_settings_validates_the_settings_file(harness, capsys):
    path = harness.dir / "one.toml"
    assert run_command(["check-settings", str(path)]) == 0
    broken = harness.dir / "broken.toml"
    broken.write_text(path.read_text().replace('ip = "', 'other = "'))
    assert run_command(["check-settings", str(broken)]) != 0
    assert "ip" in capsys.readouterr().out
