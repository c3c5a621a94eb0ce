"""The directory of hosts, which register themselves in the platform's store."""

from __future__ import annotations

import json
from typing import Any

from loguru import logger

from rhubarbferry.dispatch.messages import HostEntry, HostPhase, Sizes
from rhubarbferry.ports.store import KeyValue, TxnStore

HOSTS_PREFIX = "servers/"


class PlatformDirectory:
    """Read the registrations of hosts; skip each invalid entry and log it once."""

    def __init__(self, *, store: TxnStore) -> None:
        self._store = store
        self._logged_ids: set[str] = set()

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the hosts that are currently registered."""
        listing = await self._store.list(HOSTS_PREFIX)
        entries = [self._decode_item(item) for item in listing.items]
        return tuple(entry for entry in entries if entry is not None)

    def _decode_item(self, item: KeyValue) -> HostEntry | None:
        id = item.key.removeprefix(HOSTS_PREFIX)
        try:
            return decode_entry(id, json.loads(item.value))
        except (ValueError, TypeError, KeyError, AttributeError) as exc:
            if id not in self._logged_ids:
                self._logged_ids.add(id)
                logger.warning("skipping the invalid host entry {}: {!r}", id, exc)
            return None


def decode_entry(id: str, body: Any) -> HostEntry:
    """Decode one registration.

    :raises ValueError: when a field has an invalid type or value.
    :raises KeyError: when a required field is missing.
    :raises TypeError: when an object was expected and another type was found.
    :raises AttributeError: when the registration is not an object.
    """
    capacity = body["capacity"]
    remaining_ms = body.get("remainingMs")
    return HostEntry(
        id=id,
        incarnation=_parse_integer(body.get("born", 0)),
        service=_parse_string(body["service"]),
        address=_parse_address(body["addr"]),
        failure_domain=_parse_string(body["zone"]),
        phase=HostPhase(_parse_string(body["state"])),
        capacity=Sizes(
            millicores=_parse_integer(capacity["cpu"]),
            memory_mb=_parse_integer(capacity["memMb"]),
            accelerators=_parse_integer(capacity.get("gpu", 0)),
        ),
        labels=tuple(_parse_string(label) for label in body.get("labels", [])),
        remaining_s=None if remaining_ms is None else float(remaining_ms) / 1000,
    )


def _parse_string(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"not a string: {value!r}")
    return value


def _parse_integer(value: Any) -> int:
    if not isinstance(value, (int, float)) or isinstance(value, bool) or value != int(value):
        raise ValueError(f"not an integer: {value!r}")
    return int(value)


def _parse_address(value: Any) -> str:
    host, _, port = _parse_string(value).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"not an ip:port address: {value!r}")
    return value
