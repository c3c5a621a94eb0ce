"""The report on service level objectives agrees with the outcomes that callers received."""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from rhubarbferry.test.processes import ProcessCell, Shape

pytestmark = pytest.mark.processes

FRONTEND = "frontend-attiki-1"
REQUESTS, JOBS = 150, 3
MAX_POLLS, POLL_INTERVAL_S = 40, 0.2
HEADERS = {
    "Client-Account": "golden-comb",
    "Idempotent": "true",
    "Work-Ms": "40",
    "Request-Timeout": "0.8",
}
JOB = {
    "account": "golden-comb",
    "kind": "batch",
    "tasks": 2,
    "size": {"millicores": 1000, "memory_bytes": 2**20},
    "run_ms": 50,
    "idempotent": True,
}


async def run_report(cell: ProcessCell) -> dict[str, Any]:
    argv = ["-m", "rhubarbferry", "report", "slo", "--format", "json"]
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        *argv,
        "--store",
        cell.processes["store"].http,
        stdout=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(20):
        out, _ = await child.communicate()
    return json.loads(out)


def counts(report_data: dict[str, Any], work: str) -> dict[str, int]:
    accounts = [
        x for x in report_data["accounts"] if x["account"] == "golden-comb" and x["work"] == work
    ]
    return accounts[0]["counts"]["6h"] if accounts else {}


async def test_report_agrees_with_what_callers_saw(tmp_path: Path) -> None:
    shape = Shape(runners=1, workers=1, schedulers=1)
    async with ProcessCell(dir=tmp_path, shape=shape) as cell:
        await cell.wait_until_served(FRONTEND)
        before = counts(await run_report(cell), "requests")
        answers = await asyncio.gather(
            *(
                cell.request(FRONTEND, f"/{number}", headers=HEADERS, body=b"")
                for number in range(REQUESTS)
            )
        )
        for _ in range(JOBS):
            status, _ = await cell.submit(FRONTEND, **JOB)
            assert status == 202
        for _ in range(MAX_POLLS):
            report_data = await run_report(cell)
            if counts(report_data, "jobs").get("good", 0) == JOBS:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
    observed = Counter(answer.outcome for answer in answers)
    reported = {
        kind: value - before.get(kind, 0) for kind, value in counts(report_data, "requests").items()
    }
    assert reported["good"] + reported["late"] == observed["done"]
    assert reported["refused"] == observed["not-run"] > 0
    assert reported["unknown"] == observed["unknown"]
    assert counts(report_data, "jobs")["good"] == JOBS
    assert all(member["problem"] == "" for member in report_data["members"])
