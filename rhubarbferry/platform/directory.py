"""The hosts that register themselves in the platform's store."""

from __future__ import annotations

import json
from typing import Any

from loguru import logger

from rhubarbferry.dispatch.messages import HostEntry, HostPhase, Sizes
from rhubarbferry.ports.store import KeyValue, TxnStore

PREFIX = "servers/"


class PlatformDirectory:
    """Reads the registrations; invalid entries are skipped and logged once each."""

    def __init__(self, *, store: TxnStore) -> None:
        self._store = store
        self._logged: set[str] = set()

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the hosts that are registered now."""
        listing = await self._store.list(PREFIX)
        entries = [self._entry(item) for item in listing.items]
        return tuple(entry for entry in entries if entry is not None)

    def _entry(self, item: KeyValue) -> HostEntry | None:
        id = item.key.removeprefix(PREFIX)
        try:
            return decode_entry(id, json.loads(item.value))
        except (ValueError, TypeError, KeyError, AttributeError) as exc:
            if id not in self._logged:
                self._logged.add(id)
                logger.warning("host entry {} is not understood and skipped: {!r}", id, exc)
            return None


def decode_entry(id: str, body: Any) -> HostEntry:
    """Translate one registration.

    :raises ValueError: when a field is missing or of another type, among others.
    """
    capacity = body["capacity"]
    remaining = body.get("remainingMs")
    return HostEntry(
        id=id,
        incarnation=_integer(body.get("born", 0)),
        service=_text(body["service"]),
        address=_address(body["addr"]),
        failure_domain=_text(body["zone"]),
        phase=HostPhase(_text(body["state"])),
        capacity=Sizes(
            millicores=_integer(capacity["cpu"]),
            memory_mb=_integer(capacity["memMb"]),
            accelerators=_integer(capacity.get("gpu", 0)),
        ),
        labels=tuple(_text(label) for label in body.get("labels", [])),
        remaining_s=None if remaining is None else float(remaining) / 1000,
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError(f"no text: {value!r}")
    return value


def _integer(value: Any) -> int:
    if not isinstance(value, (int, float)) or isinstance(value, bool) or value != int(value):
        raise ValueError(f"no whole number: {value!r}")
    return int(value)


def _address(value: Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"no address: {value!r}")
    return value
