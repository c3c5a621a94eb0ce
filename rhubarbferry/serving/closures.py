"""Reasons for which a server refuses a request or closes a connection."""

from __future__ import annotations

import enum

from attrs import frozen


class Reason(enum.Enum):
    """Why a request is refused or a connection is closed; also a label of a metric."""

    MALFORMED = "malformed"
    HEAD_BYTES = "head_bytes"
    HEADERS = "headers"
    EMPTY_LINES = "empty_lines"
    CHUNK_OVERHEAD = "chunk_overhead"
    UNREAD_BODY = "unread_body"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    IDLE = "idle"
    UNREAD_RESPONSE = "unread_response"
    CONNECTIONS = "connections"
    HELD_BYTES = "held_bytes"


@frozen(kw_only=True, slots=True)
class Closure:
    """The end of a connection that a server closes.

    :param limit: the limit that the client exceeded, in the unit of its setting; ``None`` if there
        is none.
    """

    reason: Reason
    limit: float | None = None


class RequestRefused(Exception):
    """The bytes are no request that the server accepts; the connection can't be used any more."""

    def __init__(self, reason: Reason, limit: float | None = None) -> None:
        super().__init__(f"{reason.value}, limit {limit}")
        self.closure = Closure(reason=reason, limit=limit)
