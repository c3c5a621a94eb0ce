"""Stand-in for the platform's store with the platform's HTTP interface, over the store engine."""

from __future__ import annotations

import asyncio
import json
from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any

from attrs import define, field
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import KeyDeleted, KeyValue, LeaseLost, WatchEvent
from rhubarbferry.test.memory_store import prefix_end
from rhubarbferry.test.store_engine import Compacted, Compare, Delete, Put, StoreEngine, Target

# Interval at which a waiting watch polls for changes.
POLL_INTERVAL_S = 0.005
MAX_PAGE_ITEMS = 500
MAX_TXN_ENTRIES = 32


@define(kw_only=True, eq=False)
class PlatformStoreFaults:
    """Faults to inject.

    :param down: reject every call with 503.
    :param over_rate: reject every call with 429.
    :param lose_every: apply every n-th write but send no reply to it; 0 disables the fault.
    :param late_s: delay in seconds before a write without a reply is applied.
    :param answer_s: delay of each answer in seconds.
    :param no_history: answer watches with 410, as if their history were compacted.
    :param deaf: omit all events from the answers to watches, which still state the current
        revision.
    :param page_items: maximum number of items in a page of a listing.
    :param no_bare_conditions: reject transactions without writes or removals with 400.
    :param keep_leases: reject calls that end a lease with 503.
    """

    down: bool = False
    over_rate: bool = False
    lose_every: int = 0
    late_s: float = 0.0
    answer_s: float = 0.002
    no_history: bool = False
    deaf: bool = False
    page_items: int = MAX_PAGE_ITEMS
    no_bare_conditions: bool = False
    keep_leases: bool = False


@define(kw_only=True, eq=False)
class PlatformStoreStandIn:
    """Store stand-in with keys, leases and long-poll watches.

    :param between_pages: called before each further page of a listing is read.
    """

    engine: StoreEngine = field(factory=StoreEngine)
    faults: PlatformStoreFaults = field(factory=PlatformStoreFaults)
    clock: SystemClock = field(factory=SystemClock)
    calls: dict[str, int] = field(factory=dict)
    between_pages: Callable[[], None] = lambda: None
    _writes: int = 0

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/api/kv-key", self._get),
                Route("/api/kv-range", self._range),
                Route("/api/kv-watch", self._watch),
                Route("/api/kv-txn", self._txn, methods=["POST"]),
                Route("/api/kv-lease", self._grant_lease, methods=["POST"]),
                Route("/api/kv-keep/{lease:int}", self._renew_lease, methods=["POST"]),
                Route("/api/kv-lease-end/{lease:int}", self._revoke_lease, methods=["DELETE"]),
            ]
        )

    def put(self, key: str, value: Any) -> None:
        """Write a key without access control, as the operator and the hosts do."""
        self.engine.txn([], [Put(key=key, value=json.dumps(value).encode())])

    def remove(self, key: str) -> None:
        """Remove a key without access control, as the operator and the hosts do."""
        self.engine.txn([], [Delete(key=key)])

    def keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix."""
        self._expire()
        return [stored.kv.key for stored in self.engine.read(prefix, prefix_end(prefix))]

    def _expire(self) -> None:
        self.engine.expire(self.clock.monotonic())

    async def _admit(self, call: str) -> Response | None:
        self.calls[call] = self.calls.get(call, 0) + 1
        await asyncio.sleep(self.faults.answer_s)
        self._expire()
        if self.faults.over_rate:
            return Response(status_code=429)
        return Response(status_code=503) if self.faults.down else None

    async def _get(self, request: Request) -> Response:
        rejection = await self._admit("key")
        if rejection is not None:
            return rejection
        stored = self.engine.get(request.query_params["key"])
        if stored is None:
            return JSONResponse({"at": self.engine.revision}, status_code=404)
        return JSONResponse({**_item(stored.kv), "at": self.engine.revision})

    async def _range(self, request: Request) -> Response:
        rejection = await self._admit("range")
        if rejection is not None:
            return rejection
        prefix = request.query_params["prefix"]
        start = request.query_params.get("after", "")
        if start:
            self.between_pages()
        found = self.engine.read(max(prefix, start + "\0" if start else ""), prefix_end(prefix))
        page = found[: self.faults.page_items]
        return JSONResponse(
            {
                "items": [_item(stored.kv) for stored in page],
                "hasMore": len(found) > len(page),
                "at": self.engine.revision,
            }
        )

    async def _watch(self, request: Request) -> Response:
        rejection = await self._admit("watch")
        if rejection is not None:
            return rejection
        prefix = request.query_params["prefix"]
        after = int(request.query_params["after"])
        end = self.clock.monotonic() + int(request.query_params["waitMs"]) / 1000
        while True:
            self._expire()
            try:
                events = self.engine.changes(prefix, prefix_end(prefix), after + 1)
            except Compacted:
                return Response(status_code=410)
            if self.faults.no_history:
                return Response(status_code=410)
            if self.faults.deaf:
                events = []
            if events or self.clock.monotonic() >= end:
                return JSONResponse(
                    {"events": [_event(event) for event in events], "at": self.engine.revision}
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _txn(self, request: Request) -> Response:
        body = await request.json()
        rejection = await self._admit("txn")
        if rejection is not None:
            return rejection
        self._writes += 1
        if self.faults.lose_every and self._writes % self.faults.lose_every == 0:
            await asyncio.sleep(self.faults.late_s)
            self._apply(body)
            return _TruncatedResponse()
        return self._apply(body)

    def _apply(self, body: Any) -> Response:
        expect = body.get("expect", [])
        write = body.get("write", [])
        remove = body.get("remove", [])
        if len(expect) + len(write) + len(remove) > MAX_TXN_ENTRIES:
            return JSONResponse({"error": "too many entries"}, status_code=400)
        if self.faults.no_bare_conditions and not write and not remove:
            return JSONResponse({"error": "nothing to change"}, status_code=400)
        if any(put["key"].startswith(("op/", "servers/")) for put in write):
            return Response(status_code=403)
        compares = [
            Compare(key=row["key"], target=Target.MOD, expected_value=row["revision"])
            for row in expect
        ]
        ops: list[Put | Delete] = [
            Put(key=put["key"], value=b64decode(put["value"]), lease_id=put.get("lease", 0))
            for put in write
        ]
        ops += [Delete(key=key) for key in remove]
        try:
            result = self.engine.txn(compares, ops)
        except LeaseLost:
            return Response(status_code=404)
        if result.succeeded:
            return JSONResponse({"revision": result.revision})
        items = [
            _item(stored.kv) if (stored := self.engine.get(row["key"])) else {"key": row["key"]}
            for row in expect
        ]
        return JSONResponse({"items": items}, status_code=412)

    async def _grant_lease(self, request: Request) -> Response:
        body = await request.json()
        rejection = await self._admit("grant")
        if rejection is not None:
            return rejection
        lease = self.engine.grant(body["ttlMs"] / 1000, self.clock.monotonic())
        return JSONResponse({"lease": lease, "ttlMs": body["ttlMs"]})

    async def _renew_lease(self, request: Request) -> Response:
        rejection = await self._admit("keep")
        if rejection is not None:
            return rejection
        lease = request.path_params["lease"]
        ttl_s = self.engine.keep_alive(lease, self.clock.monotonic())
        if ttl_s is None:
            return Response(status_code=404)
        return JSONResponse({"ttlMs": int(ttl_s * 1000)})

    async def _revoke_lease(self, request: Request) -> Response:
        rejection = await self._admit("end")
        if rejection is not None:
            return rejection
        if self.faults.keep_leases:
            return Response(status_code=503)
        known = self.engine.revoke(request.path_params["lease"])
        return Response(status_code=200 if known else 404)


class _TruncatedResponse(Response):
    """Response that announces a body and closes the connection without sending it."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        headers = [(b"content-length", b"2"), (b"connection", b"close")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        raise ConnectionResetError


def _item(kv: KeyValue) -> dict[str, Any]:
    return {
        "key": kv.key,
        "value": b64encode(kv.value).decode(),
        "revision": kv.mod_revision,
        "created": kv.create_revision,
        "lease": kv.lease_id,
    }


def _event(event: WatchEvent) -> dict[str, Any]:
    if isinstance(event, KeyDeleted):
        return {"key": event.key, "revision": event.revision, "deleted": True}
    return _item(event.kv)
