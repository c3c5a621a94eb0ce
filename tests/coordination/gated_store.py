"""A store in which the test decides when each call takes effect and when it returns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import StrEnum
from typing import Any

from attrs import define

from rhubarbferry.ports.store import KeyValue, Listing, StoreUnavailable, StoreUnclear
from rhubarbferry.test.memory_store import MemoryStore


class Delivery(StrEnum):
    """How a pending call continues."""

    ANSWER = "answer"
    EFFECT_ONLY = "effect only"
    LOSE_REPLY = "lose reply"
    LOSE_CALL = "lose call"
    DELAY = "delay"


def run_without_waiting(coro: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that is expected to finish without suspending."""
    try:
        coro.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine was suspended")


@define(kw_only=True, eq=False)
class PendingCall:
    operation: Callable[[], Any]
    is_write: bool
    fut: asyncio.Future[Any]
    applied: bool = False
    result: Any = None

    def apply(self) -> None:
        if not self.applied:
            self.result = run_without_waiting(self.operation())
            self.applied = True


class GatedStore:
    """Store of one process; requests in transit are still executed after the process has ended."""

    def __init__(self, *, memory: MemoryStore, in_transit: list[Callable[[], Any]]) -> None:
        self._memory = memory
        self._in_transit = in_transit
        self.pending: list[PendingCall] = []

    def step(self, index: int, delivery: Delivery) -> None:
        """Continue one pending call."""
        call = self.pending[index % len(self.pending)]
        if delivery is Delivery.EFFECT_ONLY:
            call.apply()
            return
        self.pending.remove(call)
        if call.fut.done():
            return
        if delivery is Delivery.ANSWER or (
            delivery is Delivery.LOSE_CALL and call.applied and not call.is_write
        ):
            call.apply()
            call.fut.set_result(call.result)
        elif not call.is_write or (delivery is Delivery.LOSE_CALL and not call.applied):
            call.fut.set_exception(StoreUnavailable("lost"))
        else:
            self._lose(call, delay=delivery is Delivery.DELAY)
            call.fut.set_exception(StoreUnclear("lost"))

    def leave_in_transit(self) -> None:
        """Keep sent writes in transit, so that they take effect later without a caller."""
        self._in_transit.extend(
            call.operation for call in self.pending if call.is_write and not call.applied
        )

    def _lose(self, call: PendingCall, *, delay: bool) -> None:
        if delay and not call.applied:
            self._in_transit.append(call.operation)
        else:
            call.apply()

    async def _call(self, operation: Callable[[], Any], *, is_write: bool) -> Any:
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.pending.append(PendingCall(operation=operation, is_write=is_write, fut=fut))
        return await fut

    async def get(self, key: str) -> KeyValue | None:
        return await self._call(lambda: self._memory.get(key), is_write=False)

    async def list(self, prefix: str, *, limit: int = 0) -> Listing:
        return await self._call(lambda: self._memory.list(prefix, limit=limit), is_write=False)

    async def create(self, key: str, value: bytes, *, lease_id: int = 0) -> int | None:
        return await self._call(lambda: self._memory.create(key, value), is_write=True)

    async def put_if(
        self, key: str, value: bytes, *, mod_revision: int, lease_id: int = 0
    ) -> int | None:
        return await self._call(
            lambda: self._memory.put_if(key, value, mod_revision=mod_revision), is_write=True
        )

    async def delete_range(self, prefix: str, end: str) -> int:
        return await self._call(lambda: self._memory.delete_range(prefix, end), is_write=True)
