"""Binary encoding of log records: magic, checksum over key and payload, Thrift payload."""

from __future__ import annotations

import json

import attrs
import xxhash
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from rhubarbferry.core.log import Head, Stamp
from rhubarbferry.ports.entry_log import LogCorrupt
from rhubarbferry.rpc.codec import check_required_fields
from rhubarbferry.rpc.gen.ttypes import LogEntry, LogSegment

SEGMENT_MAGIC = b"RFL1"
HEAD_MAGIC = b"RFH1"
MAGIC_BYTES = 4
DIGEST_BYTES = 8


def _digest(key: str, payload: bytes) -> bytes:
    # The checksum includes the key, so that a value copied to another key is detected as corrupt.
    return xxhash.xxh3_64_digest(key.encode() + b"\x00" + payload)


def _frame(magic: bytes, key: str, payload: bytes) -> bytes:
    return magic + _digest(key, payload) + payload


def _unframe(magic: bytes, key: str, value: bytes) -> bytes:
    start = MAGIC_BYTES + DIGEST_BYTES
    payload = value[start:]
    if value[:MAGIC_BYTES] != magic:
        raise _corrupt_record_error(key, f"it starts with {value[:MAGIC_BYTES]!r}, not {magic!r}")
    if value[MAGIC_BYTES:start] != _digest(key, payload):
        raise _corrupt_record_error(key, "its checksum does not match")
    return payload


def _corrupt_record_error(key: str, problem: str) -> LogCorrupt:
    return LogCorrupt(
        f"the record at key {key!r} can't be read: {problem}. Restore it from a backup; until then"
        " its partition stays unavailable; other partitions are not affected"
    )


def missing_record_error(key: str) -> LogCorrupt:
    """Return the error for a record that should exist but does not."""
    return _corrupt_record_error(key, "it is missing, though later ones or the head need it")


def decreasing_epoch_error(key: str, *, epoch: int, previous_epoch: int) -> LogCorrupt:
    """Return the error for a record whose epoch is lower than that of the preceding record."""
    return _corrupt_record_error(
        key, f"its epoch {epoch} is lower than {previous_epoch} of the record before it"
    )


def entry_bytes(entry: LogEntry) -> int:
    """Return the encoded size of an entry in bytes."""
    transport = TMemoryBuffer()
    entry.write(TBinaryProtocolAccelerated(transport))
    return len(transport.getvalue())


def encode_segment(key: str, segment: LogSegment) -> bytes:
    """Return the encoded segment for ``key``."""
    transport = TMemoryBuffer()
    segment.write(TBinaryProtocolAccelerated(transport))
    return _frame(SEGMENT_MAGIC, key, transport.getvalue())


def decode_segment(key: str, value: bytes) -> LogSegment:
    """Decode a segment.

    :raises LogCorrupt: when the value is damaged; names ``key``.
    """
    payload = _unframe(SEGMENT_MAGIC, key, value)
    segment = LogSegment()
    try:
        segment.read(TBinaryProtocolAccelerated(TMemoryBuffer(payload)))
        check_required_fields(segment)
    except Exception as exc:
        raise _corrupt_record_error(key, f"it is not a segment ({exc!r})") from exc
    return segment


def stamp_of(segment: LogSegment) -> Stamp:
    """Return the stamp that identifies the writer of a segment."""
    return Stamp(
        epoch=segment.epoch,
        writer_id=segment.writer_id,
        write_id=segment.write_id,
        seal=segment.seal,
    )


def encode_head(key: str, head: Head) -> bytes:
    """Return the encoded head for ``key``."""
    return _frame(HEAD_MAGIC, key, json.dumps(attrs.asdict(head)).encode())


def decode_head(key: str, value: bytes) -> Head:
    """Decode the head of a log, which points to its current snapshot.

    :raises LogCorrupt: when the value is damaged; names ``key``.
    """
    payload = _unframe(HEAD_MAGIC, key, value)
    try:
        return Head(**json.loads(payload))
    except (ValueError, TypeError) as exc:
        raise _corrupt_record_error(key, f"it is not a head ({exc!r})") from exc
