"""Bodies that are received after their response, without a network."""

from __future__ import annotations

from typing import Any

import pytest

from rhubarbferry.serving.limits import RequestLimits

from .protocol_harness import connect, receive, settle

BODY_BYTES = RequestLimits().body_bytes
HEADS = {
    "a length": (b"Content-Length: 99999999", b""),
    "chunks": (b"Transfer-Encoding: chunked", b"5f5e0ff\r\n"),
}


async def refuse(scope: Any, receive: Any, send: Any) -> None:
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 413, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


@pytest.mark.parametrize(("header", "chunk"), HEADS.values(), ids=HEADS.keys())
async def test_a_body_that_is_read_after_its_response_is_bounded(header, chunk):
    """Guards against a connection whose client sends on without end after a refusal."""
    protocol, transport = connect(refuse)
    receive(protocol, transport, b"POST /a HTTP/1.1\r\n" + header + b"\r\n\r\n" + chunk)
    await settle()
    assert b" 413 " in transport.written
    receive(protocol, transport, b"x" * (BODY_BYTES - len(chunk)))
    assert not transport.closed
    receive(protocol, transport, b"x" * (len(chunk) + 1))
    assert transport.closed
    assert transport.written.count(b"HTTP/1.1 ") == 1


async def test_a_connection_goes_on_after_the_rest_of_a_refused_body():
    protocol, transport = connect(refuse)
    for _ in range(3):
        receive(protocol, transport, b"POST /a HTTP/1.1\r\nContent-Length: 1000\r\n\r\n")
        await settle()
        receive(protocol, transport, b"x" * 1000)
    await settle()
    assert transport.written.count(b" 413 ") == 3
    assert not transport.closed
