"""Adapter for the platform's key-value service; implements the port ``TxnStore``."""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping
from typing import Any

from prometheus_client import Counter, Histogram

from rhubarbferry.platform.http_client import JsonClient, NoAnswer, NotSent, Response, TransferLimit
from rhubarbferry.ports.store import (
    Changes,
    Committed,
    Conflict,
    KeyDeleted,
    KeyPut,
    KeyValue,
    LeaseLost,
    Listing,
    StoreError,
    StoreRateLimited,
    StoreRefused,
    StoreUnavailable,
    StoreUnclear,
    Txn,
    WatchBroken,
    WatchEvent,
)

REQUESTS = Counter("rhubarbferry_store_requests_total", "Calls to the store", ["call"])
FAILURES = Counter(
    "rhubarbferry_store_failures_total", "Calls to the store that failed", ["call", "error"]
)
TRANSFER_SECONDS = Histogram(
    "rhubarbferry_store_transfer_seconds",
    "Time from the headers of a store response to its last byte",
    ["call"],
    buckets=(0.01, 0.05, 0.1, 0.5, 1, 2, 4, 8),
)

# Allows for twice the response time of a slow store and a round trip between regions.
CALL_TIMEOUT_S = 1.0
# Responses with values may be 1 MB long, and a slow link carries other traffic too. A timeout for
# the whole call would interrupt such a transfer, and each retry would be interrupted as well.
VALUE_TRANSFER_LIMIT = TransferLimit(idle_s=1.0, total_s=8.0)
# Added to the time that a watch request asks the store to wait.
WATCH_TIMEOUT_MARGIN_S = 0.6
# A page holds at most about 500 items; no prefix of this project needs more pages than this.
MAX_PAGES = 400


class PlatformStore:
    """Client for the keys, leases and watches of the platform's key-value service.

    :param address: ``ip:port`` of the service; may be changed between calls.
    :param extra_timeout_s: returns the seconds to add to each timeout, to allow for delays of this
        process's event loop.
    """

    def __init__(self, *, address: str, extra_timeout_s: Callable[[], float] = lambda: 0.0) -> None:
        self.address = address
        self._http = JsonClient(extra_timeout_s=extra_timeout_s)

    async def get(self, key: str) -> KeyValue | None:
        """Return the current value of a key, or ``None`` when the key does not exist."""
        response = await self._read("get", "kv-key", {"key": key})
        if response.status == 404:
            return None
        return _decode_item(_require_body(response))

    async def list(self, prefix: str) -> Listing:
        """Return all keys that start with ``prefix``, read page by page."""
        items: list[KeyValue] = []
        revision = 0
        transfer_s = 0.0
        query = {"prefix": prefix}
        for _ in range(MAX_PAGES):
            response = await self._read("list", "kv-range", query)
            transfer_s += response.transfer_s
            body = _require_body(response)
            page = [_decode_item(item) for item in body.get("items", [])]
            items += page
            # The pages are read at different revisions. The changes after the revision of the first
            # page include every change that a later page may include or miss.
            revision = revision or int(body["at"])
            if not body.get("hasMore") or not page:
                return Listing(revision=revision, items=tuple(items), transfer_s=transfer_s)
            query = {"prefix": prefix, "after": page[-1].key}
        raise StoreRefused(f"listing {prefix} takes too many pages; remove unused keys")

    async def commit(self, txn: Txn) -> Committed | Conflict:
        """Execute a transaction."""
        body = {
            "expect": [{"key": e.key, "revision": e.revision} for e in txn.expect],
            "write": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease_id,
                }
                for put in txn.put
            ],
            "remove": list(txn.delete),
        }
        # The response to a failed condition contains the current values of its keys.
        response = await self._call(
            "commit", "POST", "kv-txn", body=body, transfer=VALUE_TRANSFER_LIMIT
        )
        match response.status:
            case 200:
                return Committed(revision=int(_require_body(response, write=True)["revision"]))
            case 412:
                existing = [
                    item for item in _require_body(response).get("items", []) if _has_value(item)
                ]
                items = [_decode_item(item) for item in existing]
                return Conflict(
                    items={item.key: item for item in items}, transfer_s=response.transfer_s
                )
            case 404:
                raise LeaseLost("the lease has ended; grant a new one")
        raise _error_for(response)

    async def changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision; wait up to ``wait_s`` for the first one."""
        query = {"prefix": prefix, "after": str(after), "waitMs": str(int(wait_s * 1000))}
        response = await self._call(
            "watch",
            "GET",
            "kv-watch",
            query=query,
            timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S,
            transfer=VALUE_TRANSFER_LIMIT,
        )
        if response.status == 410:
            raise WatchBroken("the store no longer keeps this history; list the prefix again")
        if response.status != 200:
            raise _error_for(response)
        body = _require_body(response)
        return Changes(
            revision=int(body["at"]),
            events=tuple(_decode_event(e) for e in body.get("events", [])),
            transfer_s=response.transfer_s,
        )

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease; return its id."""
        response = await self._call("grant", "POST", "kv-lease", body={"ttlMs": int(ttl_s * 1000)})
        if response.status != 200:
            raise _error_for(response)
        return int(_require_body(response, write=True)["lease"])

    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease; return its remaining seconds from the time the store received the call."""
        response = await self._call("renew", "POST", f"kv-keep/{lease_id}")
        if response.status == 404:
            raise LeaseLost(f"lease {lease_id} has ended; grant a new one")
        if response.status != 200:
            raise _error_for(response)
        return float(_require_body(response)["ttlMs"]) / 1000

    async def revoke_lease(self, lease_id: int) -> bool:
        """Revoke a lease and delete the keys attached to it; return whether it existed."""
        response = await self._call("revoke", "DELETE", f"kv-lease-end/{lease_id}")
        if response.status not in (200, 204, 404):
            raise _error_for(response)
        return response.status != 404

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def _read(self, call: str, path: str, query: Mapping[str, str]) -> Response:
        try:
            response = await self._call(
                call, "GET", path, query=dict(query), transfer=VALUE_TRANSFER_LIMIT
            )
        except StoreUnclear as exc:
            # A read changes nothing, so its outcome is never unclear.
            raise StoreUnavailable(str(exc)) from exc
        if response.status not in (200, 404):
            raise _error_for(response)
        return response

    async def _call(
        self,
        call: str,
        method: str,
        path: str,
        *,
        body: Any = None,
        query: dict[str, str] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        transfer: TransferLimit | None = None,
    ) -> Response:
        REQUESTS.labels(call).inc()
        try:
            response = await self._http.call(
                method,
                f"http://{self.address}/api/{path}",
                timeout_s=timeout_s,
                transfer=transfer,
                body=body,
                query=query,
            )
        except NotSent as exc:
            FAILURES.labels(call, "not sent").inc()
            raise StoreUnavailable(f"the store was not reached: {exc}") from exc
        except NoAnswer as exc:
            FAILURES.labels(call, "cut off" if exc.received_bytes else "no answer").inc()
            raise StoreUnclear(f"no response from the store: {exc}") from exc
        TRANSFER_SECONDS.labels(call).observe(response.transfer_s)
        return response


def _require_body(response: Response, *, write: bool = False) -> Any:
    if isinstance(response.body, dict):
        return response.body
    if write:
        raise StoreUnclear(
            "the store's response is invalid; read the keys back before repeating the write"
        )
    raise StoreUnavailable("the store's response is invalid")


def _error_for(response: Response) -> StoreError:
    match response.status:
        case 429:
            return StoreRateLimited(
                "the store's rate limit is exceeded; send fewer, larger batches"
            )
        case 503:
            return StoreUnavailable("the store is busy; retry after a delay")
    return StoreRefused(f"the store refused the call ({response.status}: {response.body})")


def _has_value(item: Any) -> bool:
    # The response to a failed condition lists keys that don't exist without a value.
    return isinstance(item, dict) and item.get("revision", 0) > 0 and "value" in item


def _decode_item(item: Mapping[str, Any]) -> KeyValue:
    return KeyValue(
        key=item["key"],
        value=base64.b64decode(item.get("value") or ""),
        mod_revision=int(item["revision"]),
        create_revision=int(item.get("created", item["revision"])),
        lease_id=int(item.get("lease") or 0),
    )


def _decode_event(event: Mapping[str, Any]) -> WatchEvent:
    if event.get("deleted"):
        return KeyDeleted(key=event["key"], revision=int(event["revision"]))
    return KeyPut(kv=_decode_item(event))
