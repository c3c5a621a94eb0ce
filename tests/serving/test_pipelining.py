"""Requests that are sent ahead on one connection, without a network."""

from __future__ import annotations

import pytest

from .protocol_harness import RecordingApp, connect, receive, settle

REQUEST = b"POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
MALFORMED = {
    "no request": b"\0",
    "an unknown version": b"GET /b HTTP/9.9\r\n\r\n",
    "a large head": b"GET /b HTTP/1.1\r\nX: " + b"x" * 70_000,
    "two lengths": b"POST /b HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
}


async def test_one_request_of_a_connection_is_begun_at_a_time():
    """Guards against a queue of requests that is as long as what a client sends."""
    app = RecordingApp()
    protocol, transport = connect(app)
    receive(protocol, transport, b"GET /a HTTP/1.1\r\n\r\n" * 10_000)
    await settle()
    assert app.begun == ["/a"]
    assert not transport.reading
    app.release.set()
    await settle()
    assert 1 < len(app.begun) == transport.written.count(b"HTTP/1.1 200 ") + 1


async def test_requests_sent_ahead_are_answered_in_order():
    app = RecordingApp()
    app.release.set()
    protocol, transport = connect(app)
    paths = [f"/{index}" for index in range(5)]
    data = b"".join(b"GET %s HTTP/1.1\r\n\r\n" % path.encode() for path in paths)
    for start in range(0, len(data), 7):
        receive(protocol, transport, data[start : start + 7])
    for _ in paths:
        await settle()
    assert app.begun == paths
    assert transport.written.count(b"HTTP/1.1 200 ") == len(paths)
    assert transport.reading


@pytest.mark.parametrize("malformed", MALFORMED.values(), ids=MALFORMED.keys())
@pytest.mark.parametrize("together", [True, False], ids=["in one read", "in two reads"])
async def test_a_refusal_waits_for_the_response_owed_before_it(malformed, together):
    """Guards against a refusal that a client takes for the answer to an earlier request."""
    app = RecordingApp()
    protocol, transport = connect(app)
    receive(protocol, transport, REQUEST + (malformed if together else b""))
    if not together:
        receive(protocol, transport, malformed)
    await settle()
    assert transport.written == b""
    app.release.set()
    await settle()
    first, _, rest = transport.written.partition(b"ok")
    assert first.startswith(b"HTTP/1.1 200 ")
    assert rest.startswith(b"HTTP/1.1 400 ")
    assert transport.closed


async def test_nothing_behind_a_refused_request_is_begun():
    app = RecordingApp()
    app.release.set()
    protocol, transport = connect(app)
    receive(protocol, transport, REQUEST + b"GET /b HTTP/9.9\r\n\r\n" + REQUEST)
    await settle()
    assert app.begun == ["/a"]


async def test_a_request_that_is_refused_in_its_body_gets_one_response():
    app = RecordingApp()
    app.release.set()
    protocol, transport = connect(app)
    receive(protocol, transport, b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
    await settle()
    receive(protocol, transport, b"x\r\n")
    await settle()
    assert transport.written.count(b"content-length: ") == 1
    assert transport.written.startswith(b"HTTP/1.1 400 ")
    assert (app.gone, app.bodies) == (1, [])


async def test_requests_behind_the_last_of_a_connection_are_not_begun():
    app = RecordingApp()
    app.release.set()
    protocol, transport = connect(app)
    receive(protocol, transport, b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n" + REQUEST)
    await settle()
    assert app.begun == ["/a"]
    assert transport.closed
