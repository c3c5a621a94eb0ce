"""Encode requests to the etcd v3 JSON gateway and decode its responses."""

from __future__ import annotations

import math
from base64 import b64decode, b64encode
from collections.abc import Mapping
from typing import Any

from rhubarbferry.ports.store import KeyDeleted, KeyPut, KeyValue, Listing, WatchBroken, WatchEvent

Json = dict[str, Any]

RANGE = "/v3/kv/range"
TXN = "/v3/kv/txn"
DELETE_RANGE = "/v3/kv/deleterange"
LEASE_GRANT = "/v3/lease/grant"
LEASE_KEEP_ALIVE = "/v3/lease/keepalive"
LEASE_REVOKE = "/v3/lease/revoke"
WATCH = "/v3/watch"

ALL_KEYS = b"\x00"


def encode_base64(raw: bytes) -> str:
    """Encode bytes in Base64, as the gateway expects them."""
    return b64encode(raw).decode()


def read_int(message: Mapping[str, Any], name: str) -> int:
    """Return an integer field. The gateway writes 64-bit integers as text and omits 0."""
    return int(message.get(name, 0))


def prefix_end(prefix: bytes) -> bytes:
    """Return the first key after all keys that start with ``prefix``."""
    for length in range(len(prefix), 0, -1):
        last = prefix[length - 1]
        if last < 0xFF:
            return prefix[: length - 1] + bytes([last + 1])
    return ALL_KEYS


class EtcdCodec:
    """Encode requests and decode responses for the keys under one prefix.

    :param prefix: prepended to each key sent and removed from each key received.
    """

    def __init__(self, *, prefix: str) -> None:
        self._prefix = prefix.encode()

    def encode_get(self, key: str) -> Json:
        """Encode a read of one key."""
        return {"key": encode_base64(self._full_key(key))}

    def encode_list(self, prefix: str, limit: int) -> Json:
        """Encode a read of the keys under a prefix, in order."""
        first_key = self._full_key(prefix)
        req: Json = {
            "key": encode_base64(first_key or ALL_KEYS),
            "range_end": encode_base64(prefix_end(first_key)),
        }
        if limit:
            req["limit"] = str(limit)
        return req

    def encode_put_if(self, key: str, value: bytes, mod_revision: int, lease_id: int) -> Json:
        """Encode a write on condition that the last write was at ``mod_revision``.

        A ``mod_revision`` of 0 requires that the key does not exist.
        """
        put: Json = {"key": encode_base64(self._full_key(key)), "value": encode_base64(value)}
        if lease_id:
            put["lease"] = str(lease_id)
        return self._txn(key, mod_revision, {"request_put": put})

    def encode_delete_if(self, key: str, mod_revision: int) -> Json:
        """Encode a deletion on condition that the last write was at ``mod_revision``."""
        delete = {"key": encode_base64(self._full_key(key))}
        return self._txn(key, mod_revision, {"request_delete_range": delete})

    def encode_delete_range(self, first_key: str, end: str) -> Json:
        """Encode a deletion of the keys in ``[first_key, end)``."""
        return {
            "key": encode_base64(self._full_key(first_key)),
            "range_end": encode_base64(self._full_key(end)),
        }

    def encode_watch(self, prefix: str, from_revision: int) -> Json:
        """Encode a watch of the keys under a prefix, with progress notifications."""
        create = self.encode_list(prefix, 0)
        create["start_revision"] = str(from_revision)
        create["progress_notify"] = True
        return {"create_request": create}

    def decode_listing(self, response: Mapping[str, Any]) -> Listing:
        """Decode the response to a range request."""
        items = tuple(self.decode_key_value(kv) for kv in response.get("kvs", ()))
        return Listing(revision=response_revision(response), items=items)

    def decode_key_value(self, kv: Mapping[str, Any]) -> KeyValue:
        """Decode one key with its value."""
        return KeyValue(
            key=self._strip_prefix(kv),
            value=b64decode(kv.get("value", "")),
            mod_revision=read_int(kv, "mod_revision"),
            create_revision=read_int(kv, "create_revision"),
            lease_id=read_int(kv, "lease"),
        )

    def decode_events(self, line: Mapping[str, Any]) -> tuple[WatchEvent, ...]:
        """Decode one message of a watch; a progress notification has no events.

        :raises WatchBroken: when the store has ended the watch.
        """
        result = line.get("result")
        if not isinstance(result, dict) or result.get("canceled"):
            raise WatchBroken(f"the store ended the watch: {line}; list the prefix again")
        return tuple(self._decode_event(event) for event in result.get("events", ()))

    def _decode_event(self, event: Mapping[str, Any]) -> WatchEvent:
        kv = event["kv"]
        if event.get("type") == "DELETE":
            return KeyDeleted(key=self._strip_prefix(kv), revision=read_int(kv, "mod_revision"))
        return KeyPut(kv=self.decode_key_value(kv))

    def _txn(self, key: str, mod_revision: int, op: Json) -> Json:
        compare = {
            "key": encode_base64(self._full_key(key)),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(mod_revision),
        }
        return {"compare": [compare], "success": [op]}

    def _full_key(self, key: str) -> bytes:
        return self._prefix + key.encode()

    def _strip_prefix(self, kv: Mapping[str, Any]) -> str:
        return b64decode(kv["key"])[len(self._prefix) :].decode()


def response_revision(response: Mapping[str, Any]) -> int:
    """Return the store's revision at the time of a response."""
    return read_int(response["header"], "revision")


def encode_lease_grant(ttl_s: float) -> Json:
    """Encode a lease grant, rounded up since the store accepts only whole seconds."""
    return {"TTL": str(math.ceil(ttl_s))}


def encode_lease(lease_id: int) -> Json:
    """Encode a request that names an existing lease."""
    return {"ID": str(lease_id)}
