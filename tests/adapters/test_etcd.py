"""Errors that the etcd adapter raises for failures between it and the store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager

import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from rhubarbferry.adapters.etcd import EtcdStore
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import (
    BudgetKind,
    LeaseLost,
    StoreError,
    StoreRateLimited,
    StoreRefused,
    StoreUnavailable,
    StoreUnclear,
    WatchBroken,
)
from rhubarbferry.test.memory_store import MemoryStore
from rhubarbferry.test.serving import address_of, bind, serving
from rhubarbferry.test.store import StoreGateway

WAIT_TIMEOUT_S = 5.0
MAX_POLLS = 500


def _store(address: str, *, timeout_s: float = 0.3, silence_s: float = 0.3) -> EtcdStore:
    return EtcdStore(
        url=f"http://{address}",
        prefix="cell/",
        clock=SystemClock(),
        timeout_s=timeout_s,
        watch_silence_s=silence_s,
    )


@asynccontextmanager
async def _serve_memory_store() -> AsyncIterator[tuple[EtcdStore, MemoryStore]]:
    memory = MemoryStore(clock=SystemClock())
    async with serving(StoreGateway(store=memory).app()) as address:
        store = _store(address)
        try:
            yield store, memory
        finally:
            memory.faults.down = True
            await store.close()


async def test_a_refused_connection_changes_nothing() -> None:
    """No store listens at the address, so the write can't have taken effect."""
    sock = bind()
    address = address_of(sock)
    sock.close()
    store = _store(address)
    with pytest.raises(StoreUnavailable):
        await store.create("a", b"")
    with pytest.raises(WatchBroken):
        async for _ in store.watch("", from_revision=1):
            pass
    await store.close()


@pytest.mark.parametrize("fault", ["slow_s", "slow_reply_s"])
async def test_a_slow_write_is_unclear_but_a_slow_read_is_not(fault: str) -> None:
    """The store responds after the timeout. The write may take effect before or after that."""
    async with _serve_memory_store() as (store, memory):
        setattr(memory.faults, fault, 0.6)
        with pytest.raises(StoreUnclear):
            await store.create("a", b"")
        with pytest.raises(StoreUnavailable):
            await store.get("a")
        for _ in range(MAX_POLLS):
            if memory.engine.get("cell/a") is not None:
                break
            await asyncio.sleep(0.01)
        assert memory.engine.get("cell/a") is not None


async def test_a_silent_watch_is_closed() -> None:
    """A middlebox drops the state of a watch's connection, so no change would ever arrive."""
    async with _serve_memory_store() as (store, memory):
        memory.faults.silent_watches = True
        with pytest.raises(WatchBroken):
            async with (
                asyncio.timeout(WAIT_TIMEOUT_S),
                aclosing(store.watch("", from_revision=1)) as watch,
            ):
                async for _ in watch:
                    pass


async def test_progress_notifications_keep_an_idle_watch_open() -> None:
    async with (
        _serve_memory_store() as (_, memory),
        serving(StoreGateway(store=memory).app()) as address,
    ):
        store = _store(address, silence_s=1.5)
        watch = store.watch("", from_revision=memory.engine.revision + 1)
        async with aclosing(watch):
            waiting = asyncio.ensure_future(anext(watch))
            done, _ = await asyncio.wait([waiting], timeout=2.5)
            assert not done
            await store.create("a", b"")
            assert len(await asyncio.wait_for(waiting, WAIT_TIMEOUT_S)) == 1
        await store.close()


ERROR_RESPONSES = [
    (500, {"error": "x"}, StoreUnclear, StoreUnavailable),
    (502, None, StoreUnclear, StoreUnavailable),
    (200, None, StoreUnclear, StoreUnavailable),
    (503, {"code": 14, "message": "etcdserver: no leader"}, StoreUnavailable, StoreUnavailable),
    (503, {"code": 14, "message": "etcdserver: request timed out"}, StoreUnclear, StoreUnavailable),
    (429, {"code": 8, "message": "etcdserver: too many"}, StoreRateLimited, StoreRateLimited),
    (400, {"code": 3, "message": "etcdserver: too large"}, StoreRefused, StoreRefused),
    (404, {"code": 5, "message": "requested lease not found"}, LeaseLost, LeaseLost),
]


@pytest.mark.parametrize(("status", "body", "for_write", "for_read"), ERROR_RESPONSES)
async def test_an_error_response_is_mapped_to_its_exception(
    status: int, body: object, for_write: type[StoreError], for_read: type[StoreError]
) -> None:
    """The store or a proxy returns an error. Only some errors prove that nothing was changed."""

    async def respond(_req: Request) -> Response:
        return JSONResponse(body, status) if body else Response("<html>", status)

    app = Starlette(routes=[Route("/{path:path}", respond, methods=["POST"])])
    async with serving(app) as address:
        store = _store(address)
        with pytest.raises(for_write) as write:
            await store.create("a", b"")
        with pytest.raises(for_read) as read:
            await store.get("a")
        await store.close()
    assert (type(write.value), type(read.value)) == (for_write, for_read)


class _RecordingBudget:
    def __init__(self) -> None:
        self.acquired: list[BudgetKind] = []

    async def acquire(self, spend: BudgetKind) -> None:
        self.acquired.append(spend)
        if spend is BudgetKind.WRITE:
            raise StoreRateLimited("no budget")


async def test_each_call_first_acquires_budget() -> None:
    budget = _RecordingBudget()
    memory = MemoryStore(clock=SystemClock())
    async with serving(StoreGateway(store=memory).app()) as address:
        store = EtcdStore(
            url=f"http://{address}", prefix="", clock=SystemClock(), timeout_s=1.0, budget=budget
        )
        with pytest.raises(StoreRateLimited):
            await store.create("a", b"")
        await store.get("a")
        await store.grant_lease(1.0)
        await store.close()
    assert budget.acquired == [BudgetKind.WRITE, BudgetKind.READ, BudgetKind.RENEWAL]
    assert memory.counters.calls["txn"] == 0
