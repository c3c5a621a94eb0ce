"""Read HTTP/1.1 requests one at a time, with a limit for each part of a request."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any

import httptools
from attrs import define, field

from rhubarbferry.serving.closures import Reason, RequestRefused
from rhubarbferry.serving.limits import RequestLimits

LINE_ENDS = b"\r\n"
HEAD_END = b"\r\n\r\n"
# The size of a chunk in at most 16 digits, and the line end.
PLAIN_CHUNK_LINE_BYTES = 18
# Memory for the objects of one header, besides its bytes.
HEADER_OVERHEAD_BYTES = 150


class Part(enum.Enum):
    """The part of a request to which the next byte belongs."""

    BEFORE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    CHUNK_LINE = enum.auto()
    CHUNK = enum.auto()
    TRAILERS = enum.auto()
    COMPLETE = enum.auto()


@define(kw_only=True, eq=False)
class RequestReader:
    """Pass a stream to the parser in pieces that end where a part of a request ends.

    The parser has no limits of its own, collects an incomplete header without reporting it, and
    does not say where in a piece a request ends. The parser alone decides what is valid. Its
    callbacks have to be forwarded to the methods with the same names.

    :param limits: returns the current limits; they are read once for each request.
    :ivar part: the part of the request that is being read.
    :ivar head_bytes: size of the head as far as it has been read.
    :ivar head_complete: whether the head has been read and is valid.
    """

    parser: Any
    limits: Callable[[], RequestLimits]
    part: Part = field(default=Part.BEFORE, init=False)
    head_bytes: int = field(default=0, init=False)
    head_complete: bool = field(default=False, init=False)
    _body_bytes: int = field(default=0, init=False)
    _current: RequestLimits = field(init=False)
    _headers: int = field(default=0, init=False)
    _message_complete: bool = field(default=False, init=False)
    _content_length: int = field(default=0, init=False)
    _chunked: bool = field(default=False, init=False)
    _refused: RequestRefused | None = field(default=None, init=False)
    # The last bytes of the head that has been read, as the end of the head may be split.
    _tail: bytes = field(default=b"", init=False)
    _empty_line_bytes: int = field(default=0, init=False)
    _remaining: int = field(default=0, init=False)
    _chunk_line: bytes = field(default=b"", init=False)
    _chunk_overhead: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.begin()

    def begin(self) -> None:
        """Expect a new request."""
        self.part = Part.BEFORE
        self.head_bytes = 0
        self._body_bytes = 0
        self._current = self.limits()
        self._headers = 0
        self.head_complete = self._message_complete = False
        self._content_length = 0
        self._chunked = False
        self._tail = b""
        self._empty_line_bytes = 0
        self._remaining = 0
        self._chunk_line = b""
        self._chunk_overhead = 0

    @property
    def held_bytes(self) -> int:
        """The memory for the current request, as far as it has been read, in bytes."""
        body = min(self._body_bytes, self._current.buffered_body_bytes)
        return self.head_bytes + self._headers * HEADER_OVERHEAD_BYTES + body

    def feed(self, data: bytes, start: int = 0) -> int:
        """Read from a position at most up to the end of the current request.

        :returns: the position up to which the data has been read.
        :raises RequestRefused: when the request is malformed or exceeds a limit.
        """
        pos = start
        while pos < len(data) and self.part is not Part.COMPLETE:
            match self.part:
                case Part.BEFORE:
                    pos = self._skip_empty_lines(data, pos)
                case Part.HEAD:
                    pos = self._feed_head(data, pos)
                case Part.CHUNK_LINE:
                    pos = self._feed_chunk_line(data, pos)
                case Part.TRAILERS:
                    pos = self._feed_trailer(data, pos)
                case _:
                    pos = self._feed_content(data, pos)
        return pos

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Check that a message begins where one is expected."""
        if self.part is not Part.HEAD or self.head_complete:
            raise RequestRefused(Reason.MALFORMED)

    def on_header(self, name: bytes, value: bytes) -> bool:
        """Count a header; return whether it belongs to the head, and not to the trailers."""
        if self.head_complete:
            return False
        self._headers += 1
        if self._headers > self._current.headers:
            self._refused = RequestRefused(Reason.HEADERS, self._current.headers)
            raise self._refused
        match name.lower():
            case b"content-length":
                self._content_length = int(value)
            case b"transfer-encoding":
                self._chunked = True
        return True

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        self.head_complete = True

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        self._message_complete = True

    def _parse(self, data: bytes, start: int, end: int) -> None:
        piece = data if end - start == len(data) else memoryview(data)[start:end]
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            # No other protocol is offered. The request ends with its head.
            pass
        except httptools.HttpParserError as exc:
            raise self._refused or RequestRefused(Reason.MALFORMED) from exc
        if self._message_complete:
            self.part = Part.COMPLETE

    def _skip_empty_lines(self, data: bytes, start: int) -> int:
        limit = self._current.head_bytes
        window = data[start : start + limit + 1]
        skipped = len(window) - len(window.lstrip(LINE_ENDS))
        self._empty_line_bytes += skipped
        if self._empty_line_bytes > limit:
            raise RequestRefused(Reason.EMPTY_LINES, limit)
        if skipped < len(window):
            self.part = Part.HEAD
        return start + skipped

    def _feed_head(self, data: bytes, start: int) -> int:
        limit = self._current.head_bytes
        window = self._tail + data[start : start + limit - self.head_bytes]
        found = window.find(HEAD_END)
        size = (found + len(HEAD_END) if found >= 0 else len(window)) - len(self._tail)
        self.head_bytes += size
        end = start + size
        if found < 0 and self.head_bytes >= limit:
            raise RequestRefused(Reason.HEAD_BYTES, limit)
        self._parse(data, start, end)
        if found < 0:
            self._tail = window[-(len(HEAD_END) - 1) :]
        elif self.part is not Part.COMPLETE:
            self._begin_body()
        return end

    def _begin_body(self) -> None:
        if not self.head_complete:
            raise RequestRefused(Reason.MALFORMED)
        if self._chunked:
            self.part = Part.CHUNK_LINE
        else:
            self.part = Part.BODY
            self._remaining = self._content_length

    def _feed_content(self, data: bytes, start: int) -> int:
        end = min(len(data), start + self._remaining)
        self._remaining -= end - start
        self._body_bytes += end - start
        self._parse(data, start, end)
        if self._remaining == 0 and self.part is Part.CHUNK:
            self.part = Part.CHUNK_LINE
        elif self._remaining == 0 and self.part is Part.BODY:
            raise RequestRefused(Reason.MALFORMED)
        return end

    def _feed_chunk_line(self, data: bytes, start: int) -> int:
        end = _line_end(data, start)
        before = len(self._chunk_line)
        self._chunk_line += data[start:end]
        plain = PLAIN_CHUNK_LINE_BYTES
        self._add_overhead(max(0, len(self._chunk_line) - plain) - max(0, before - plain))
        self._parse(data, start, end)
        if self._chunk_line.endswith(b"\n"):
            size = int(self._chunk_line.partition(b";")[0], 16)
            self._chunk_line = b""
            # The line end after the data belongs to the chunk.
            self._remaining = size + len(LINE_ENDS)
            self.part = Part.CHUNK if size else Part.TRAILERS
        return end

    def _feed_trailer(self, data: bytes, start: int) -> int:
        end = _line_end(data, start)
        self._add_overhead(end - start)
        self._parse(data, start, end)
        return end

    def _add_overhead(self, size: int) -> None:
        self._chunk_overhead += size
        if self._chunk_overhead > self._current.head_bytes:
            raise RequestRefused(Reason.CHUNK_OVERHEAD, self._current.head_bytes)


def _line_end(data: bytes, start: int) -> int:
    """Return the position after the next line end, or the end of the data."""
    found = data.find(b"\n", start)
    return found + 1 if found >= 0 else len(data)
