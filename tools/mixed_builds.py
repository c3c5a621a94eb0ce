"""Check that processes of two builds share a cell: jobs, handovers, stored data, configuration.

Run, in the environment of the tests: python tools/mixed_builds.py OLD_TREE NEW_TREE

Each scenario runs in both directions: the owner is of one build and its successors are of the
other. Prints a line for each scenario, and exits with 1 when one of them fails.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from cell.cell_harness import CellHarness, configuration, step  # noqa: E402

from rhubarbferry.test.processes import ProcessCell, Shape  # noqa: E402

# Within this time each process has read the list of members.
MEMBERS_READ_S = 1.0
TASK_S = 1.0
JOBS = 8
DONE_S = 30.0
# Events that a process logs when it can't read what another one has stored.
UNREADABLE = ("job.unreadable", "cell.not_read", "term.not_loaded", "configuration.refused")

Build = tuple[str, Path]


def use(build: Build) -> None:
    """Have the processes that are started from now on import this build."""
    os.environ["PYTHONPATH"] = str(build[1])


def check_import(build: Build) -> None:
    """Exit unless a child process imports the package from the tree of the build."""
    use(build)
    code = "import rhubarbferry; print(rhubarbferry.__file__)"
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    if not found.stdout.startswith(str(build[1])):
        raise SystemExit(f"{build[0]}: imported from {found.stdout.strip()}")


# ---------------------------------------------------------------- cells on the platform


async def start(harness: CellHarness, build: Build, *names: str) -> None:
    use(build)
    for name in names:
        await harness.ready(await harness.start(name))


async def wait_until_in_force(harness: CellHarness, version: int) -> None:
    async with asyncio.timeout(DONE_S):
        for member in harness.members.values():
            while True:
                lines = member.events("configuration.in_force")
                if any(line["version"] == version for line in lines):
                    break
                await asyncio.sleep(0.05)


def assert_all_readable(harness: CellHarness) -> None:
    for member in harness.members.values():
        for event in UNREADABLE:
            assert not member.events(event), member.events(event)


async def change_owner(dir: Path, first: Build, second: Build, number: signal.Signals) -> None:
    """Submit jobs to both builds, end the owner (first build), and let the second finish them.

    Then the first build alone reads the states that the second wrote, and runs one more job.
    """
    async with CellHarness(dir) as harness:
        harness.store.put("op/config", configuration())
        for index in range(3):
            await harness.add_worker(f"w{index}", work_s=TASK_S)
        await start(harness, first, "first")
        await harness.wait_for_owner()
        await start(harness, second, "second", "third")
        await asyncio.sleep(MEMBERS_READ_S)
        assert harness.owner_key_name() == "first"
        members = [harness.members[name] for name in ("first", "second", "third")]
        ids = [f"{index:016x}" for index in range(1, JOBS + 1)]
        for index, id in enumerate(ids):
            steps = (step(2), step(2, after=[0])) if index % 2 else (step(3, gang=True),)
            assert await harness.submit(members[index % 3], id, *steps) == 200
        harness.store.put("op/config", configuration(2, attempts=2))
        await wait_until_in_force(harness, 2)
        await asyncio.sleep(TASK_S / 2)
        assert harness.owner_key_name() == "first"
        members[0].signal(number)
        for id in ids:
            await harness.wait_for_state(members[1], id, "complete", DONE_S)
        assert harness.owner_key_name() in ("second", "third")
        code = await asyncio.wait_for(members[0].child.wait(), DONE_S)
        assert code == (0 if number == signal.SIGTERM else -number)
        assert_all_readable(harness)
        for member in members[1:]:
            member.signal(signal.SIGTERM)
            assert await asyncio.wait_for(member.child.wait(), DONE_S) == 0
        await start(harness, first, "fourth")
        again = harness.members["fourth"]
        for id in ids:
            await harness.wait_for_state(again, id, "complete", DONE_S)
        last = f"{JOBS + 1:016x}"
        assert await harness.submit(again, last, step(2)) == 200
        await harness.wait_for_state(again, last, "complete", DONE_S)
        assert_all_readable(harness)
        harness.assert_nothing_twice()


async def kill_owner(dir: Path, first: Build, second: Build) -> None:
    await change_owner(dir, first, second, signal.SIGKILL)


async def stop_owner(dir: Path, first: Build, second: Build) -> None:
    await change_owner(dir, first, second, signal.SIGTERM)


# ---------------------------------------------------------------- schedulers and frontends


async def wait_until_job_done(cell: ProcessCell, frontend: str, id: str) -> None:
    async with asyncio.timeout(DONE_S):
        while True:
            doc = await cell.job(frontend, id)
            if doc.get("phase") == "done":
                return
            await asyncio.sleep(0.1)


async def submit_job(cell: ProcessCell, frontend: str) -> str:
    job = {
        "account": "kryogonia",
        "kind": "batch",
        "idempotent": False,
        "tasks": 4,
        "run_ms": 800,
        "size": {"millicores": 1000, "memory_bytes": 2**30, "accelerators": 0},
    }
    async with asyncio.timeout(DONE_S):
        while True:
            status, doc = await cell.submit(frontend, **job)
            if status == 202:
                return str(doc["id"])
            await asyncio.sleep(0.2)


async def keyed_request(cell: ProcessCell, frontend: str, number: int) -> None:
    headers = {"Idempotent": "false", "Idempotency-Key": f"key-{number}"}
    async with asyncio.timeout(DONE_S):
        while True:
            answer = await cell.request(frontend, f"/plan/{number}", headers=headers)
            if answer.outcome == "done":
                return
            assert answer.outcome == "not-run", answer
            await asyncio.sleep(0.2)


async def daemons(dir: Path, first: Build, second: Build) -> None:
    """Share a cell between a scheduler and a frontend of each build; kill each scheduler once."""
    shape = Shape(schedulers=0, frontends=0)
    use(first)
    async with ProcessCell(dir=dir, shape=shape) as cell:
        frontends = ["frontend-one", "frontend-two"]
        for build, suffix in ((first, "one"), (second, "two")):
            use(build)
            await cell.start_daemon("scheduler", f"scheduler-{suffix}", region="attiki")
            await cell.start_daemon("frontend", f"frontend-{suffix}", region="attiki")
            await cell.wait_until_served(f"frontend-{suffix}")
        for round, (victim, build) in enumerate((("one", first), ("two", second))):
            jobs = [await submit_job(cell, frontend) for frontend in frontends]
            for index, frontend in enumerate(frontends):
                await keyed_request(cell, frontend, 10 * round + index)
            await cell.processes[f"scheduler-{victim}"].kill()
            for index, frontend in enumerate(frontends):
                await keyed_request(cell, frontend, 10 * round + 2 + index)
            for id in jobs:
                for frontend in frontends:
                    await wait_until_job_done(cell, frontend, id)
            use(build)
            await cell.start_daemon("scheduler", f"scheduler-{victim}", region="attiki")
        await assert_ran_once(cell)


async def assert_ran_once(cell: ProcessCell) -> None:
    keys: list[str] = []
    for record in await cell.records("runner"):
        keys += [row["key"] for row in record["executions"] if row["key"]]
    assert len(keys) == len(set(keys)) == 8, keys
    tasks: list[str] = []
    for record in await cell.records("worker"):
        assert all(record["max_used"][name] <= most for name, most in record["capacity"].items())
        tasks += [run["task_id"] for run in record["runs"]]
    assert len(tasks) == len(set(tasks)) == 16, tasks


# ---------------------------------------------------------------- all


SCENARIOS: dict[str, Callable[[Path, Build, Build], Awaitable[None]]] = {
    "owner killed": kill_owner,
    "owner stopped": stop_owner,
    "schedulers and frontends": daemons,
}


def main() -> int:
    old, new = (("old", Path(sys.argv[1]).resolve()), ("new", Path(sys.argv[2]).resolve()))
    # Python searches the current directory first for a module that is run with ``-m``.
    os.chdir(tempfile.gettempdir())
    check_import(old)
    check_import(new)
    failed = 0
    for name, scenario in SCENARIOS.items():
        for first, second in ((old, new), (new, old)):
            with tempfile.TemporaryDirectory() as dir:
                try:
                    asyncio.run(scenario(Path(dir), first, second))
                except Exception:
                    traceback.print_exc()
                    failed += 1
                    print(f"failed: {name}, {first[0]} then {second[0]}", flush=True)
                else:
                    print(f"passed: {name}, {first[0]} then {second[0]}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
