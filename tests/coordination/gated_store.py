"""A store whose calls take apply, and answer, only when a test says so."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from enum import StrEnum
from typing import Any

from attrs import define

from rhubarbferry.ports.store import KeyValue, Listing, StoreUnavailable, StoreUnclear
from rhubarbferry.test.memory_store import MemoryStore


class Delivery(StrEnum):
    """What becomes of a call."""

    ANSWER = "answer"
    EFFECT_ONLY = "effect only"
    LOSE_REPLY = "lose reply"
    LOSE_CALL = "lose call"
    DELAY = "delay"


def run_now(coro: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that waits for nothing."""
    try:
        coro.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("it waited")


@define(kw_only=True, eq=False)
class Pending:
    act: Callable[[], Any]
    writes: bool
    fut: asyncio.Future[Any]
    applied: bool = False
    result: Any = None

    def apply(self) -> None:
        if not self.applied:
            self.result = run_now(self.act())
            self.applied = True


class GatedStore:
    """Calls of one process; effects that are under way outlive the process."""

    def __init__(self, *, memory: MemoryStore, in_transit: list[Callable[[], Any]]) -> None:
        self._memory = memory
        self._in_transit = in_transit
        self.pending: list[Pending] = []

    def step(self, index: int, delivery: Delivery) -> None:
        """Let one call go on."""
        call = self.pending[index % len(self.pending)]
        if delivery is Delivery.EFFECT_ONLY:
            call.apply()
            return
        self.pending.remove(call)
        if call.fut.done():
            return
        if delivery is Delivery.ANSWER or (
            delivery is Delivery.LOSE_CALL and call.applied and not call.writes
        ):
            call.apply()
            call.fut.set_result(call.result)
        elif not call.writes or (delivery is Delivery.LOSE_CALL and not call.applied):
            call.fut.set_exception(StoreUnavailable("lost"))
        else:
            self._lose(call, delay=delivery is Delivery.DELAY)
            call.fut.set_exception(StoreUnclear("lost"))

    def leave_in_transit(self) -> None:
        """Let writes that were sent take apply later, though nobody waits for them."""
        self._in_transit.extend(
            call.act for call in self.pending if call.writes and not call.applied
        )

    def _lose(self, call: Pending, *, delay: bool) -> None:
        if delay and not call.applied:
            self._in_transit.append(call.act)
        else:
            call.apply()

    async def _call(self, act: Callable[[], Any], *, writes: bool) -> Any:
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.pending.append(Pending(act=act, writes=writes, fut=fut))
        return await fut

    async def get(self, key: str) -> KeyValue | None:
        return await self._call(lambda: self._memory.get(key), writes=False)

    async def list(self, prefix: str, *, limit: int = 0) -> Listing:
        return await self._call(lambda: self._memory.list(prefix, limit=limit), writes=False)

    async def create(self, key: str, value: bytes, *, lease_id: int = 0) -> int | None:
        return await self._call(lambda: self._memory.create(key, value), writes=True)

    async def put_if(
        self, key: str, value: bytes, *, mod_revision: int, lease_id: int = 0
    ) -> int | None:
        return await self._call(
            lambda: self._memory.put_if(key, value, mod_revision=mod_revision), writes=True
        )

    async def delete_prefix_below(self, prefix: str, end: str) -> int:
        return await self._call(lambda: self._memory.delete_prefix_below(prefix, end), writes=True)
