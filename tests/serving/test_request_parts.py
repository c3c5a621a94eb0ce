"""Limits of the parts of a request, without a network."""

from __future__ import annotations

import pytest
from attrs import frozen

from rhubarbferry.serving.limits import RequestLimits

from .protocol_harness import RecordingApp, connect, receive, settle

HEAD_BYTES = RequestLimits().head_bytes
HEADERS = RequestLimits().headers
START = b"GET /a HTTP/1.1\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
NEXT = b"GET /next HTTP/1.1\r\n\r\n"


@frozen(kw_only=True)
class Growing:
    """A request of which one part can be of any size.

    :param fixed: size of the limited part without the bytes that are repeated.
    :param limit: largest size of the part.
    """

    before: bytes = b""
    repeat: bytes = b"x"
    after: bytes = b""
    fixed: int
    limit: int = HEAD_BYTES

    def request(self, excess: int) -> bytes:
        """Return the request with its part at the limit, and ``excess`` repetitions more."""
        count = (self.limit - self.fixed) // len(self.repeat)
        return self.before + self.repeat * (count + excess) + self.after


END = b"\r\n\r\n"
GROWING = {
    "target": Growing(before=b"GET /", after=b" HTTP/1.1" + END, fixed=18),
    "header name": Growing(before=START, after=b":" + END, fixed=len(START) + 5),
    "header value": Growing(before=START + b"X:", after=END, fixed=len(START) + 6),
    "headers": Growing(before=START, repeat=b"x: y\r\n", after=b"\r\n", fixed=0, limit=HEADERS * 6),
    "empty lines": Growing(repeat=b"\r\n", after=NEXT, fixed=0),
    "chunk extension": Growing(
        before=CHUNKED + b"1;", after=b"\r\nx\r\n0\r\n\r\n", fixed=-18 + 4 + 2
    ),
    "trailer": Growing(before=CHUNKED + b"0\r\nX:", after=END, fixed=6),
}
SPLITS = {"whole": 10**9, "in segments": 1000, "byte by byte": 1}


def pieces(data: bytes, size: int) -> list[bytes]:
    return [data[start : start + size] for start in range(0, len(data), size)]


@pytest.mark.parametrize("size", SPLITS.values(), ids=SPLITS.keys())
@pytest.mark.parametrize("growing", GROWING.values(), ids=GROWING.keys())
async def test_a_request_at_a_limit_is_served(growing, size):
    app = RecordingApp()
    app.release.set()
    protocol, transport = connect(app)
    for piece in pieces(growing.request(0), size):
        receive(protocol, transport, piece)
    await settle()
    assert transport.written.startswith(b"HTTP/1.1 200 ")
    assert not transport.closed


@pytest.mark.parametrize("size", SPLITS.values(), ids=SPLITS.keys())
@pytest.mark.parametrize("growing", GROWING.values(), ids=GROWING.keys())
async def test_a_request_over_a_limit_is_refused(growing, size):
    """Guards against parts of requests that are collected without a bound."""
    app = RecordingApp()
    app.release.set()
    protocol, transport = connect(app)
    for piece in pieces(growing.request(1), size):
        receive(protocol, transport, piece)
    await settle()
    assert transport.written.startswith(b"HTTP/1.1 400 ")
    assert transport.closed
    assert app.bodies == []


@pytest.mark.parametrize("growing", GROWING.values(), ids=GROWING.keys())
async def test_an_endless_part_is_refused_before_it_ends(growing):
    protocol, transport = connect(RecordingApp())
    receive(protocol, transport, growing.before + growing.repeat * (growing.limit + 20))
    assert transport.closed


async def test_limits_apply_to_each_request_of_a_connection():
    app = RecordingApp()
    app.release.set()
    protocol, transport = connect(app)
    for growing in GROWING.values():
        receive(protocol, transport, growing.request(0))
        await settle()
    assert transport.written.count(b"HTTP/1.1 200 ") == len(GROWING)
    assert not transport.closed


BODY = b"a\r\n\r\nb\n;c"
REQUESTS = {
    "no body": (b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", b""),
    "empty lines before it": (b"\r\n\r\r\n\nGET /a HTTP/1.1\r\n\r\n", b""),
    "a length": (b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY, BODY),
    "chunks": (
        CHUNKED
        + b"%x\r\n%s\r\n" % (len(BODY), BODY)
        + b"00000003;x=y\r\nabc\r\n0\r\nX: y\r\nZ: \r\n\r\n",
        BODY + b"abc",
    ),
    "another protocol": (
        b"GET /a HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n",
        b"",
    ),
}


@pytest.mark.parametrize(("request_bytes", "body"), REQUESTS.values(), ids=REQUESTS.keys())
async def test_a_request_may_be_split_at_every_byte(request_bytes, body):
    for at in range(1, len(request_bytes)):
        app = RecordingApp()
        app.release.set()
        protocol, transport = connect(app)
        receive(protocol, transport, request_bytes[:at])
        receive(protocol, transport, request_bytes[at:] + NEXT)
        await settle()
        assert app.begun == ["/a", "/next"], at
        assert app.bodies == [body, b""], at
        assert transport.written.count(b"HTTP/1.1 200 ") == 2, at


MALFORMED = {
    "a bare line feed": b"GET / HTTP/1.1\nHost: h\n\n",
    "a folded header": b"GET / HTTP/1.1\r\nX: a\r\n b\r\n\r\n",
    "an unknown version": b"GET / HTTP/9.9\r\n\r\n",
    "a NUL byte": b"\0",
    "two lengths": b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
    "a length and chunks": b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "chunks that are not last": b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
    "a chunk without a size": CHUNKED + b";x\r\n",
    "a chunk with a sign": CHUNKED + b"-1\r\n",
    "a chunk with a large size": CHUNKED + b"f" * 17 + b"\r\n",
    "a chunk without a line end": CHUNKED + b"1\r\nxy\r\n",
    "a bare line feed after a chunk size": CHUNKED + b"1\nx\n",
}


@pytest.mark.parametrize("size", SPLITS.values(), ids=SPLITS.keys())
@pytest.mark.parametrize("data", MALFORMED.values(), ids=MALFORMED.keys())
async def test_a_malformed_request_is_refused(data, size):
    app = RecordingApp()
    app.release.set()
    protocol, transport = connect(app)
    for piece in pieces(data, size):
        receive(protocol, transport, piece)
    await settle()
    assert transport.written.startswith(b"HTTP/1.1 400 ")
    assert transport.closed
    assert app.bodies == []
