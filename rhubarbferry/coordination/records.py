"""Encode and decode the cell's records as JSON."""

from __future__ import annotations

from typing import TypeVar

from attrs import frozen
from cattrs.preconf.json import make_converter

from rhubarbferry.core.ownership import Table
from rhubarbferry.core.partition import PartitionId

T = TypeVar("T")


class RecordCorrupt(Exception):
    """A record can't be decoded; the message names its key. Restore or delete it manually."""


@frozen(kw_only=True, slots=True)
class TableRecord:
    """The ownership table as stored.

    :param writer_id: the member that wrote it.
    :param write_id: unique for each attempt of that member, so that it can identify its own write.
    """

    table: Table
    writer_id: str
    write_id: str


_converter = make_converter()
_converter.register_unstructure_hook(PartitionId, str)
_converter.register_structure_hook(PartitionId, lambda text, _: PartitionId.parse(text))


def encode(record: object) -> bytes:
    """Return a record as JSON."""
    return _converter.dumps(record).encode()


def decode(key: str, value: bytes, kind: type[T]) -> T:
    """Decode a record.

    :raises RecordCorrupt: when ``value`` is not valid JSON for a ``kind``.
    """
    try:
        return _converter.loads(value.decode(), kind)
    except Exception as exc:
        raise RecordCorrupt(f"record {key!r} can't be read as {kind.__name__}: {exc!r}") from exc
