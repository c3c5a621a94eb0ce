"""Stand-in for the platform's store: a subset of the etcd v3 JSON gateway, with fault injection.

``python -m rhubarbferry.test.store --port 0`` prints one JSON line with its address. ``POST
/faults`` sets fields of :class:`StoreFaults` (and ``{"drop_watches": true}`` ends all watches),
``GET /counters`` returns the call counters and ``GET /dump`` all keys.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from typing import Any

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route
from starlette.types import Receive, Scope, Send

from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.store import (
    KeyDeleted,
    LeaseLost,
    StoreRateLimited,
    StoreRefused,
    StoreUnavailable,
    StoreUnclear,
    WatchBroken,
    WatchEvent,
)
from rhubarbferry.test.memory_store import MemoryStore
from rhubarbferry.test.serving import serve_process
from rhubarbferry.test.store_engine import Compare, Delete, Put, StoredItem, Target
from rhubarbferry.test.store_faults import CallKind, StoreRates

Json = dict[str, Any]
PROGRESS_INTERVAL_S = 1.0
ALL_KEYS = b"\x00"
LAST_KEY = "\U0010ffff"
OK = 200

STATUS_OF_ERROR: tuple[tuple[type[Exception], int, int], ...] = (
    (StoreRateLimited, 429, 8),
    (LeaseLost, 404, 5),
    (StoreRefused, 400, 3),
    (StoreUnavailable, 503, 14),
)


class LostReply(Response):
    """Response that announces a body and closes the connection without sending it."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send only the response head."""
        headers = [(b"content-length", b"2"), (b"connection", b"close")]
        await send({"type": "http.response.start", "status": OK, "headers": headers})


def _error(exc: Exception) -> Response:
    for kind, status, code in STATUS_OF_ERROR:
        if isinstance(exc, kind):
            message = "etcdserver: no leader" if code == 14 else f"etcdserver: {exc}"
            return JSONResponse({"error": message, "code": code, "message": message}, status)
    raise exc


def _key(message: Json, name: str = "key") -> str:
    return b64decode(message.get(name, "")).decode()


def _end(message: Json) -> str:
    raw = b64decode(message.get("range_end", ""))
    return LAST_KEY if raw == ALL_KEYS else raw.decode()


def _text(value: bytes) -> str:
    return b64encode(value).decode()


def _kv(item: StoredItem) -> Json:
    kv = item.kv
    found: Json = {
        "key": _text(kv.key.encode()),
        "create_revision": str(kv.create_revision),
        "mod_revision": str(kv.mod_revision),
        "version": str(item.version),
        "value": _text(kv.value),
    }
    if kv.lease_id:
        found["lease"] = str(kv.lease_id)
    return found


def _compare(message: Json) -> Compare:
    target = Target(message.get("target", Target.VERSION))
    field = {
        Target.MOD: "mod_revision",
        Target.CREATE: "create_revision",
        Target.VERSION: "version",
    }[target]
    if message.get("result", "EQUAL") != "EQUAL":
        raise StoreRefused("this stand-in supports only the EQUAL comparison")
    return Compare(key=_key(message), target=target, expected_value=int(message.get(field, 0)))


def _op(message: Json) -> Put | Delete:
    put = message.get("request_put", message.get("requestPut"))
    if put is not None:
        value = b64decode(put.get("value", ""))
        return Put(key=_key(put), value=value, lease_id=int(put.get("lease", 0)))
    delete = message.get("request_delete_range", message.get("requestDeleteRange"))
    if delete is None:
        raise StoreRefused("this stand-in supports only request_put and request_delete_range")
    return Delete(key=_key(delete), end=_end(delete))


def _event(event: WatchEvent) -> Json:
    if isinstance(event, KeyDeleted):
        key = _text(event.key.encode())
        return {"type": "DELETE", "kv": {"key": key, "mod_revision": str(event.revision)}}
    return {"kv": _kv(StoredItem(kv=event.kv, version=1))}


class StoreGateway:
    """HTTP interface of a :class:`MemoryStore`.

    :param store: the stored state and its faults.
    """

    def __init__(self, *, store: MemoryStore) -> None:
        self.store = store

    def app(self) -> Starlette:
        """Return the HTTP application."""
        methods: dict[str, Callable[[Json], Awaitable[Json]]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/kv/deleterange": self._delete_range,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }
        routes = [
            Route(path, self._endpoint(method), methods=["POST"])
            for path, method in methods.items()
        ]
        routes += [
            Route("/v3/watch", self._watch, methods=["POST"]),
            Route("/faults", self._set_faults, methods=["POST"]),
            Route("/counters", self._counters, methods=["GET"]),
            Route("/dump", self._dump, methods=["GET"]),
        ]
        return Starlette(routes=routes)

    def _endpoint(
        self, method: Callable[[Json], Awaitable[Json]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def endpoint(req: Request) -> Response:
            try:
                answer = await method(await req.json())
            except StoreUnclear:
                return LostReply()
            except (StoreRefused, StoreUnavailable) as exc:
                return _error(exc)
            answer.setdefault("header", {"revision": str(self.store.engine.revision)})
            return JSONResponse(answer)

        return endpoint

    async def _range(self, req: Json) -> Json:
        store = self.store
        revisions_back = store.faults.stale_revisions
        kind = CallKind.LIST if req.get("range_end") else CallKind.GET
        limit = int(req.get("limit", 0))

        def operation() -> Json:
            if kind is CallKind.GET:
                item = store.engine.get(_key(req), revisions_back=revisions_back)
                items = [item] if item else []
            else:
                items = list(
                    store.engine.read(
                        _key(req), _end(req), limit=limit, revisions_back=revisions_back
                    )
                )
            header = {"revision": str(store.engine.revision - revisions_back)}
            return {"header": header, "kvs": [_kv(item) for item in items]}

        return await store.call(kind, operation)

    async def _txn(self, req: Json) -> Json:
        compares = [_compare(message) for message in req.get("compare", ())]
        ops = [_op(message) for message in req.get("success", ())]
        size = sum(len(op.value) for op in ops if isinstance(op, Put))
        result = await self.store.call(
            CallKind.TXN, lambda: self.store.engine.txn(compares, ops), size=size
        )
        answer: Json = {"header": {"revision": str(result.revision)}}
        if result.succeeded:
            answer["succeeded"] = True
        return answer

    async def _delete_range(self, req: Json) -> Json:
        delete = Delete(key=_key(req), end=_end(req))
        result = await self.store.call(
            CallKind.DELETE_RANGE, lambda: self.store.engine.txn((), (delete,))
        )
        return {"deleted": str(result.deleted)}

    async def _grant(self, req: Json) -> Json:
        lease_id = await self.store.grant_lease(float(req["TTL"]))
        return {"ID": str(lease_id), "TTL": str(req["TTL"])}

    async def _keep_alive(self, req: Json) -> Json:
        lease_id = int(req["ID"])
        result: Json = {"ID": str(lease_id)}
        ttl_s = await self.store.call(
            CallKind.KEEP_ALIVE,
            lambda: self.store.engine.keep_alive(lease_id, self.store.clock.monotonic()),
        )
        if ttl_s is not None:
            result["TTL"] = str(int(ttl_s))
        return {"result": result}

    async def _revoke(self, req: Json) -> Json:
        existed = await self.store.call(
            CallKind.REVOKE_LEASE, lambda: self.store.engine.revoke(int(req["ID"]))
        )
        if not existed:
            raise LeaseLost("requested lease not found")
        return {}

    async def _watch(self, req: Request) -> Response:
        create = (await req.json())["create_request"]
        if self.store.faults.down:
            return _error(StoreUnavailable("down"))
        return StreamingResponse(self._lines(create), media_type="application/json")

    async def _lines(self, create: Json) -> AsyncIterator[bytes]:
        from_revision = int(create.get("start_revision", 0)) or self.store.engine.revision + 1
        yield self._line({"created": True})
        changes = self.store.watch_range(
            _key(create), _end(create), from_revision, idle_s=PROGRESS_INTERVAL_S
        )
        try:
            async with aclosing(changes):
                async for events in changes:
                    yield self._line({"events": [_event(event) for event in events]})
        except (WatchBroken, StoreRefused) as exc:
            yield self._line({"canceled": True, "cancel_reason": str(exc)})

    def _line(self, result: Json) -> bytes:
        result["header"] = {"revision": str(self.store.engine.revision)}
        return json.dumps({"result": result}).encode() + b"\n"

    async def _set_faults(self, req: Request) -> Response:
        changes = await req.json()
        if changes.pop("drop_watches", False):
            self.store.faults.drop_watches()
        known_faults = {field.name for field in attrs.fields(type(self.store.faults)) if field.init}
        unknown_faults = sorted(set(changes) - known_faults)
        if unknown_faults:
            return JSONResponse(
                {"error": f"unknown faults {unknown_faults}; available: {sorted(known_faults)}"},
                400,
            )
        for name, value in changes.items():
            setattr(self.store.faults, name, value)
        return JSONResponse(
            {name: getattr(self.store.faults, name) for name in sorted(known_faults)}
        )

    async def _counters(self, _req: Request) -> Response:
        counters = self.store.counters
        return JSONResponse(
            {
                "calls": {kind.value: count for kind, count in counters.calls.items()},
                "writes": counters.writes,
                "reads": counters.reads,
                "rate_limited": counters.rate_limited,
                "replies_lost": counters.replies_lost,
                "bytes_in": counters.bytes_in,
            }
        )

    async def _dump(self, _req: Request) -> Response:
        items = self.store.engine.read("", LAST_KEY)
        found = {item.kv.key: _text(item.kv.value) for item in items}
        return JSONResponse({"revision": self.store.engine.revision, "keys": found})


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Stand in for the platform's store.")
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--writes-per-s", type=int, default=StoreRates().writes_per_s)
    parser.add_argument("--reads-per-s", type=int, default=StoreRates().reads_per_s)
    return parser.parse_args()


def main() -> None:
    """Serve until SIGTERM."""
    args = _arguments()
    rates = StoreRates(writes_per_s=args.writes_per_s, reads_per_s=args.reads_per_s)
    store = MemoryStore(clock=SystemClock(), rates=rates)
    app = StoreGateway(store=store).app()
    asyncio.run(serve_process(app, ip=args.ip, port=args.port))


if __name__ == "__main__":
    main()
