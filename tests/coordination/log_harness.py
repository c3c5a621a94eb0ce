"""Helpers for tests of the log: entries, logs, stores and a clock that advances itself."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

from rhubarbferry.coordination.log import SealedLog
from rhubarbferry.rpc.gen.ttypes import JobCancelled, LogEntry
from rhubarbferry.test.memory_store import MemoryStore
from rhubarbferry.test.store_engine import StoreEngine
from rhubarbferry.test.store_faults import RateLimiter, StoreRates

PARTITION = "key/north/0"
RETENTION_S = 60.0
NO_LIMIT = StoreRates(writes_per_s=0, reads_per_s=0)


class AutoAdvancingClock:
    """A clock whose sleeps return immediately and advance the time to their end."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += max(0.0, seconds)
        await asyncio.sleep(0)


def entry(name: object) -> LogEntry:
    return LogEntry(job_cancelled=JobCancelled(job_id=str(name)))


def names(entries: Sequence[LogEntry]) -> list[str]:
    return [one.job_cancelled.job_id for one in entries]


def make_log(
    store: Any, *, epoch: int, clock: AutoAdvancingClock | None = None, **options: Any
) -> SealedLog:
    return SealedLog(
        store=store,
        partition=PARTITION,
        epoch=epoch,
        writer_id=f"member-{epoch}",
        clock=clock or store.clock,
        retention_s=RETENTION_S,
        **options,
    )


def make_store(
    engine: StoreEngine | None = None, clock: AutoAdvancingClock | None = None
) -> MemoryStore:
    return MemoryStore(
        clock=clock or AutoAdvancingClock(), engine=engine, rate_limiter=RateLimiter(rates=NO_LIMIT)
    )
