"""The platform's key-value service, behind the store port."""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping
from typing import Any

from prometheus_client import Counter, Histogram

from rhubarbferry.platform.http import Answer, JsonClient, NoAnswer, NotSent, TransferLimit
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

CALLS = Counter("rhubarbferry_store_requests_total", "Calls to the store", ["call"])
FAILED = Counter(
    "rhubarbferry_store_failures_total", "Calls to the store that failed", ["call", "error"]
)
TRANSFER_SECONDS = Histogram(
    "rhubarbferry_store_transfer_seconds",
    "From the headers of an answer of the store to its last byte",
    ["call"],
    buckets=(0.01, 0.05, 0.1, 0.5, 1, 2, 4, 8),
)

# Twice what a slow store takes, and the way between regions.
CALL_S = 1.0
# Answers that show values may be 1 MB long, and a slow link carries other traffic beside them. A
# time limit for the whole answer would end in the middle of such a transfer, and reading it again
# would end there as well.
BODY_LIMIT = TransferLimit(idle_s=1.0, total_s=8.0)
# Beyond the time that a watch waits by itself.
WATCH_SLACK_S = 0.6
# Pages hold at most about 500 items; a listing of more pages than this is no listing of ours.
MAX_PAGES = 400


class PlatformStore:
    """Keys, leases and watches of the platform.

    :param address: ``ip:port``; may be changed between calls.
    :param extra_s: returns by how many seconds to extend time limits, as this process is behind.
    """

    def __init__(self, *, address: str, extra_s: Callable[[], float] = lambda: 0.0) -> None:
        self.address = address
        self._http = JsonClient(extra_s=extra_s)

    async def get(self, key: str) -> KeyValue | None:
        """Return the key as of now, or ``None`` when there is none."""
        answer = await self._read("get", "kv-key", {"key": key})
        if answer.status == 404:
            return None
        return _item(_body(answer))

    async def list(self, prefix: str) -> Listing:
        """Return all keys that start with ``prefix``, page by page."""
        items: list[KeyValue] = []
        revision = 0
        transfer_s = 0.0
        query = {"prefix": prefix}
        for _ in range(MAX_PAGES):
            answer = await self._read("list", "kv-range", query)
            transfer_s += answer.transfer_s
            body = _body(answer)
            page = [_item(item) for item in body.get("items", [])]
            items += page
            # Pages are read one after the other. A watch from the first page's revision on
            # sees every change that a later page may already hold or have missed.
            revision = revision or int(body["at"])
            if not body.get("hasMore") or not page:
                return Listing(revision=revision, items=tuple(items), transfer_s=transfer_s)
            query = {"prefix": prefix, "after": page[-1].key}
        raise StoreRefused(f"the list of {prefix} does not end; remove keys that nobody uses")

    async def commit(self, txn: Txn) -> Committed | Conflict:
        """Carry out a transaction."""
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
        # A failed condition is answered with the values that stand there.
        answer = await self._call("commit", "POST", "kv-txn", body=body, transfer=BODY_LIMIT)
        match answer.status:
            case 200:
                return Committed(revision=int(_body(answer, write=True)["revision"]))
            case 412:
                found = [item for item in _body(answer).get("items", []) if _exists(item)]
                items = [_item(item) for item in found]
                return Conflict(
                    items={item.key: item for item in items}, transfer_s=answer.transfer_s
                )
            case 404:
                raise LeaseLost("the lease has ended; grant a new one")
        raise _refusal(answer)

    async def changes(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Return what happened after a revision."""
        query = {"prefix": prefix, "after": str(after), "waitMs": str(int(wait_s * 1000))}
        answer = await self._call(
            "watch",
            "GET",
            "kv-watch",
            query=query,
            timeout_s=wait_s + WATCH_SLACK_S,
            transfer=BODY_LIMIT,
        )
        if answer.status == 410:
            raise WatchBroken("that history is gone; list the prefix again")
        if answer.status != 200:
            raise _refusal(answer)
        body = _body(answer)
        return Changes(
            revision=int(body["at"]),
            events=tuple(_event(e) for e in body.get("events", [])),
            transfer_s=answer.transfer_s,
        )

    async def grant_lease(self, ttl_s: float) -> int:
        """Open a lease; return its id."""
        answer = await self._call("grant", "POST", "kv-lease", body={"ttlMs": int(ttl_s * 1000)})
        if answer.status != 200:
            raise _refusal(answer)
        return int(_body(answer, write=True)["lease"])

    async def keep_alive(self, lease_id: int) -> float:
        """Extend a lease; return the seconds it runs from the arrival of the call."""
        answer = await self._call("renew", "POST", f"kv-keep/{lease_id}")
        if answer.status == 404:
            raise LeaseLost(f"lease {lease_id} has ended; grant a new one")
        if answer.status != 200:
            raise _refusal(answer)
        return float(_body(answer)["ttlMs"]) / 1000

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the keys that hang on it; one that has ended is no error."""
        answer = await self._call("revoke", "DELETE", f"kv-lease-end/{lease_id}")
        if answer.status not in (200, 204, 404):
            raise _refusal(answer)

    async def close(self) -> None:
        """Give up connections."""
        await self._http.close()

    async def _read(self, kind: str, path: str, query: Mapping[str, str]) -> Answer:
        try:
            answer = await self._call(kind, "GET", path, query=dict(query), transfer=BODY_LIMIT)
        except StoreUnclear as exc:
            # A read changes nothing, so it is never unclear.
            raise StoreUnavailable(str(exc)) from exc
        if answer.status not in (200, 404):
            raise _refusal(answer)
        return answer

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        body: Any = None,
        query: dict[str, str] | None = None,
        timeout_s: float = CALL_S,
        transfer: TransferLimit | None = None,
    ) -> Answer:
        CALLS.labels(kind).inc()
        try:
            answer = await self._http.call(
                method,
                f"http://{self.address}/api/{path}",
                timeout_s=timeout_s,
                transfer=transfer,
                body=body,
                query=query,
            )
        except NotSent as exc:
            FAILED.labels(kind, "not sent").inc()
            raise StoreUnavailable(f"the store was not reached: {exc}") from exc
        except NoAnswer as exc:
            FAILED.labels(kind, "cut off" if exc.received_bytes else "no answer").inc()
            raise StoreUnclear(f"no answer of the store: {exc}") from exc
        TRANSFER_SECONDS.labels(kind).observe(answer.transfer_s)
        return answer


def _body(answer: Answer, *, write: bool = False) -> Any:
    if isinstance(answer.body, dict):
        return answer.body
    if write:
        raise StoreUnclear("the store's answer can't be read; read back before repeating")
    raise StoreUnavailable("the store's answer can't be read")


def _refusal(answer: Answer) -> StoreError:
    match answer.status:
        case 429:
            return StoreRateLimited("over the store's rate; send fewer, larger batches")
        case 503:
            return StoreUnavailable("the store is busy; try again after a pause")
    return StoreRefused(f"the store refused the call ({answer.status}: {answer.body})")


def _exists(item: Any) -> bool:
    # Keys of a failed condition that don't exist are shown without a value.
    return isinstance(item, dict) and item.get("revision", 0) > 0 and "value" in item


def _item(item: Mapping[str, Any]) -> KeyValue:
    return KeyValue(
        key=item["key"],
        value=base64.b64decode(item.get("value") or ""),
        mod_revision=int(item["revision"]),
        create_revision=int(item.get("created", item["revision"])),
        lease_id=int(item.get("lease") or 0),
    )


def _event(event: Mapping[str, Any]) -> WatchEvent:
    if event.get("deleted"):
        return KeyDeleted(key=event["key"], revision=int(event["revision"]))
    return KeyPut(kv=_item(event))
