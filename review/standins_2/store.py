"""Stand-in for the platform's metadata store: keys, leases, transactions and watches."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any

from aiohttp import web

from .record import Record

ANSWER_S = 0.004
PAGE_ITEMS = 500
HISTORY_S = 20.0
MAX_ENTRIES = 32


class Store:
    """The store.

    :ivar lose: returns for the body of a transaction ``None`` if it is answered, or the seconds
        after which it is carried out without an answer (0: at once).
    :ivar seen: called with the body and the status of each transaction after it was carried out.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.leases: dict[int, list[float]] = {}
        self.events: list[tuple[float, int, dict[str, Any]]] = []
        self.dropped = 0
        self.lose: Callable[[dict[str, Any]], float | None] = lambda body: None
        self.seen: Callable[[dict[str, Any], int], None] = lambda body, status: None
        self._next_lease = 5000
        self._tasks: set[asyncio.Task[None]] = set()

    def app(self) -> web.Application:
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/api/kv-key", self._get)
        app.router.add_get("/api/kv-range", self._range)
        app.router.add_get("/api/kv-watch", self._watch)
        app.router.add_post("/api/kv-txn", self._txn)
        app.router.add_post("/api/kv-lease", self._grant)
        app.router.add_post("/api/kv-keep/{id}", self._keep)
        app.router.add_delete("/api/kv-lease-end/{id}", self._end)
        return app

    # ------------------------------------------------------------ state

    def put(self, key: str, value: Any) -> None:
        """Write a key as the operator or a runner does."""
        self.revision += 1
        self._put(key, json.dumps(value).encode(), 0)

    def remove(self, key: str) -> None:
        """Remove a key as the platform does for a runner that has left."""
        if key in self.items:
            self.revision += 1
            self._remove(key)

    def value(self, key: str) -> Any:
        """Return the decoded value of a key, ``None`` if there is none."""
        item = self.items.get(key)
        return json.loads(item["raw"]) if item else None

    def _put(self, key: str, raw: bytes, lease: int) -> None:
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "raw": raw, "revision": self.revision, "created": created}
        item["lease"] = lease
        self.items[key] = item
        self._event(self._shown(item))

    def _remove(self, key: str) -> None:
        del self.items[key]
        self._event({"key": key, "revision": self.revision, "deleted": True})

    def _event(self, event: dict[str, Any]) -> None:
        self.events.append((time.monotonic(), event["revision"], event))
        while self.events and self.events[0][0] < time.monotonic() - HISTORY_S:
            self.dropped = self.events.pop(0)[1]

    def _shown(self, item: dict[str, Any]) -> dict[str, Any]:
        shown = {name: value for name, value in item.items() if name != "raw"}
        shown["value"] = b64encode(item["raw"]).decode()
        return shown

    def _expire(self) -> None:
        now = time.monotonic()
        for id in [id for id, (until, _) in self.leases.items() if until <= now]:
            self._drop_lease(id)

    def _drop_lease(self, id: int) -> None:
        del self.leases[id]
        keys = [key for key, item in self.items.items() if item["lease"] == id]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)

    # ------------------------------------------------------------ calls

    async def _answer(self, body: Any, status: int = 200) -> web.Response:
        await asyncio.sleep(ANSWER_S / 2)
        return web.json_response(body, status=status)

    async def _arrive(self) -> None:
        await asyncio.sleep(ANSWER_S / 2)
        self._expire()

    async def _get(self, request: web.Request) -> web.Response:
        await self._arrive()
        item = self.items.get(request.query["key"])
        if item is None:
            return await self._answer({"at": self.revision}, 404)
        return await self._answer({**self._shown(item), "at": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        await self._arrive()
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self._shown(self.items[key]) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return await self._answer({"items": page, "hasMore": more, "at": self.revision})

    async def _watch(self, request: web.Request) -> web.Response:
        await self._arrive()
        prefix, after = request.query["prefix"], int(request.query["after"])
        until = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            self._expire()
            if after < self.dropped:
                return await self._answer({}, 410)
            found = [e for _, at, e in self.events if at > after and e["key"].startswith(prefix)]
            if found or time.monotonic() >= until:
                return await self._answer({"events": found, "at": self.revision})
            await asyncio.sleep(0.002)

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        await self._arrive()
        late_s = self.lose(body)
        if late_s is None:
            answer, status = self._carry_out(body)
            return await self._answer(answer, status)
        self.record.say("store-does-not-answer", write=_keys(body), carried_out_after_s=late_s)
        if late_s:
            task = asyncio.create_task(self._carry_out_late(body, late_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._carry_out(body)
        # A connection on which a response is lost returns nothing further.
        await asyncio.sleep(60)
        return web.Response(status=500)

    async def _carry_out_late(self, body: dict[str, Any], late_s: float) -> None:
        await asyncio.sleep(late_s)
        self._expire()
        _, status = self._carry_out(body)
        self.record.say("store-carried-out-late", write=_keys(body), status=status)

    def _carry_out(self, body: dict[str, Any]) -> tuple[Any, int]:
        answer, status = self._apply(body)
        self.seen(body, status)
        return answer, status

    def _apply(self, body: dict[str, Any]) -> tuple[Any, int]:
        expect, write = body.get("expect", []), body.get("write", [])
        remove = body.get("remove", [])
        if len(expect) + len(write) + len(remove) > MAX_ENTRIES:
            return {}, 400
        if any(row["key"].startswith(("op/", "servers/")) for row in write):
            return {}, 403
        if any(row.get("lease") and row["lease"] not in self.leases for row in write):
            return {}, 404
        now = [self.items.get(row["key"]) for row in expect]
        if any(
            (item["revision"] if item else 0) != row["revision"]
            for item, row in zip(now, expect, strict=True)
        ):
            return {"items": [self._shown(item) for item in now if item]}, 412
        self.revision += 1
        for row in write:
            self._put(row["key"], b64decode(row["value"]), row.get("lease", 0))
        for key in remove:
            if key in self.items:
                self._remove(key)
        return {"revision": self.revision}, 200

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = (await request.json())["ttlMs"]
        await self._arrive()
        self._next_lease += 1
        self.leases[self._next_lease] = [time.monotonic() + ttl_ms / 1000, ttl_ms]
        return await self._answer({"lease": self._next_lease, "ttlMs": ttl_ms})

    async def _keep(self, request: web.Request) -> web.Response:
        await self._arrive()
        lease = self.leases.get(int(request.match_info["id"]))
        if lease is None:
            return await self._answer({}, 404)
        lease[0] = time.monotonic() + lease[1] / 1000
        return await self._answer({"ttlMs": lease[1]})

    async def _end(self, request: web.Request) -> web.Response:
        await self._arrive()
        id = int(request.match_info["id"])
        if id not in self.leases:
            return await self._answer({}, 404)
        self._drop_lease(id)
        return await self._answer({})


def _keys(body: dict[str, Any]) -> list[str]:
    return [row["key"] for row in body.get("write", [])]
