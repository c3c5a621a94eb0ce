"""The directory of hosts, which register themselves in the platform's store."""

from __future__ import annotations

from typing import Any

from loguru import logger

from rhubarbferry.core.addresses import check_host_address
from rhubarbferry.dispatch.messages import HostEntry, HostPhase, Sizes
from rhubarbferry.platform.documents import (
    DECODE_ERRORS,
    InvalidDocument,
    decode_json,
    read_list,
    read_number,
    read_size,
    read_text,
)
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
        self._logged_ids &= {_host_id(item) for item in listing.items}
        return tuple(entry for entry in entries if entry is not None)

    def _decode_item(self, item: KeyValue) -> HostEntry | None:
        id = _host_id(item)
        try:
            return decode_entry(id, decode_json(item.value))
        except DECODE_ERRORS as exc:
            if id not in self._logged_ids:
                self._logged_ids.add(id)
                logger.warning("skipping the invalid host entry {!r}: {!r:.300}", id, exc)
            return None


def _host_id(item: KeyValue) -> str:
    return item.key.removeprefix(HOSTS_PREFIX)


def decode_entry(id: str, body: Any) -> HostEntry:
    """Decode one registration.

    :raises ValueError: when a field has an invalid type or value.
    :raises LookupError: when a required field is missing.
    :raises TypeError: when an object was expected and another type was found.
    :raises AttributeError: when the registration is not an object.
    """
    capacity = body["capacity"]
    remaining_ms = body.get("remainingMs")
    return HostEntry(
        id=_parse_id(id),
        incarnation=read_size(body.get("born", 0)),
        service=read_text(body["service"]),
        address=_parse_address(body["addr"]),
        failure_domain=read_text(body["zone"]),
        phase=HostPhase(read_text(body["state"])),
        capacity=Sizes(
            millicores=read_size(capacity["cpu"]),
            memory_mb=read_size(capacity["memMb"]),
            accelerators=read_size(capacity.get("gpu", 0)),
        ),
        labels=tuple(read_text(label) for label in read_list(body.get("labels", []))),
        remaining_s=None if remaining_ms is None else read_number(remaining_ms) / 1000,
    )


def _parse_id(id: str) -> str:
    # Calls to the host carry its id in a header.
    if not id or not id.isascii() or not id.isprintable():
        raise InvalidDocument("not an id of printable ASCII characters")
    return id


def _parse_address(value: Any) -> str:
    address = read_text(value)
    check_host_address(address)
    return address
