"""Measure requests in a small cell: latency of single requests, and rate of concurrent ones.

Prints one JSON object. Run: python bench/request_latency.py
"""

from __future__ import annotations

import asyncio
import json
import secrets
import sys
import tempfile
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from rhubarbferry.test.processes import ProcessCell, Shape

SEQUENTIAL_REQUESTS = 200
CONCURRENT_REQUESTS = 3000
CONCURRENCY = 32
MAX_US = 60_000_000


def summary(times: HdrHistogram) -> dict[str, float]:
    percentiles = {"p50": 50, "p99": 99, "max": 100}
    return {
        name: times.get_value_at_percentile(percentile) / 1000
        for name, percentile in percentiles.items()
    }


async def send_request(cell: ProcessCell, keyed: bool, times: HdrHistogram) -> None:
    headers = {"Idempotent": "true"}
    if keyed:
        headers = {"Idempotent": "false", "Idempotency-Key": secrets.token_hex(8)}
    started_at = time.perf_counter()
    answer = await cell.request("frontend-attiki-1", "/bench", headers=headers, body=b"x" * 100)
    if answer.outcome != "done":
        raise SystemExit(f"{answer.status} {answer.outcome}: {answer.body!r}")
    times.record_value(int((time.perf_counter() - started_at) * 1e6))


async def measure_sequential(cell: ProcessCell, keyed: bool) -> dict[str, float]:
    times = HdrHistogram(1, MAX_US, 3)
    for _ in range(SEQUENTIAL_REQUESTS):
        await send_request(cell, keyed, times)
    return summary(times)


async def measure_concurrent(cell: ProcessCell, keyed: bool) -> dict[str, float]:
    times = HdrHistogram(1, MAX_US, 3)
    semaphore = asyncio.Semaphore(CONCURRENCY)

    async def bounded() -> None:
        async with semaphore:
            await send_request(cell, keyed, times)

    started_at = time.perf_counter()
    await asyncio.gather(*(bounded() for _ in range(CONCURRENT_REQUESTS)))
    return {**summary(times), "per_s": CONCURRENT_REQUESTS / (time.perf_counter() - started_at)}


async def main() -> None:
    with tempfile.TemporaryDirectory() as dir:
        shape = Shape(runners=8, workers=1, schedulers=1)
        async with ProcessCell(dir=Path(dir), shape=shape) as cell:
            await cell.wait_until_served("frontend-attiki-1")
            result = {
                "alone_ms": await measure_sequential(cell, False),
                "alone_keyed_ms": await measure_sequential(cell, True),
                "many_ms": await measure_concurrent(cell, False),
                "many_keyed_ms": await measure_concurrent(cell, True),
            }
            if "--errors" in sys.argv:
                print(cell.processes["frontend-attiki-1"].last_lines(40), file=sys.stderr)
    print(json.dumps(result))


if __name__ == "__main__":
    asyncio.run(main())
