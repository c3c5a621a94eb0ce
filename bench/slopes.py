"""Measure the slopes that docs/CAPACITY.md is computed from; print them as JSON.

Parts, each with real daemons and simulated dependencies unless stated otherwise:

requests
    frontend and runner partition: processor time, bytes and store calls per idempotent and per
    keyed request; memory when idle and per request in progress or waiting.
jobs
    worker partitions and job homes: idle with 8 and 24 workers, per task start, per running
    task, per waiting job; bytes between a scheduler and a worker.
store
    calls while idle against the number of members.
config
    time until a change is active in eight members; store calls and bytes for each change.
takeover
    latency and outcomes of requests when the owner of a service is killed, eight times.
plan
    sizes and planning time of the ownership table (in process).
memory
    resident memory after each import of a daemon's dependencies (bare interpreters), and of an
    idle daemon; without and with cached bytecode.

Run: python -m bench.slopes --part NAME
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from bench import slopes_jobs, slopes_members, slopes_memory, slopes_plan, slopes_requests

Part = Callable[[Path], Awaitable[dict[str, object]]]


async def _plan(dir: Path) -> dict[str, object]:
    return slopes_plan.measure()


PARTS: dict[str, Part] = {
    "requests": slopes_requests.measure,
    "jobs": slopes_jobs.measure,
    "store": slopes_members.measure_store,
    "config": slopes_members.measure_config,
    "takeover": slopes_members.measure_takeover,
    "plan": _plan,
    "memory": slopes_memory.measure,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--part", choices=sorted(PARTS), required=True)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as dir:
        load = os.getloadavg()[0]
        found = asyncio.run(PARTS[args.part](Path(dir)))
    print(json.dumps({"part": args.part, "load_before": load, **found}, indent=1))


if __name__ == "__main__":
    main()
