"""Connections of the HTTP protocol without a network."""

from __future__ import annotations

import asyncio
from typing import Any

import uvicorn
from attrs import define, field
from uvicorn.server import ServerState

from rhubarbferry.serving.connections import BoundedHttpProtocol
from rhubarbferry.serving.listener import Listener


class FakeTransport(asyncio.Transport):
    """A transport that keeps what is written, and writes nothing while ``blocked``."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False
        self.aborted = False
        self.blocked = False
        self.reading = True
        self.protocol: Any = None

    def write(self, data: Any) -> None:
        self.written += bytes(data)

    def get_write_buffer_size(self) -> int:
        return len(self.written) if self.blocked else 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            if not self.blocked:
                asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    def abort(self) -> None:
        self.aborted = True
        if not self.closed or self.blocked:
            self.closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return ("127.0.0.1", 1) if name in ("peername", "sockname") else default


@define(kw_only=True)
class RecordingApp:
    """An application that records requests and answers each after its body has been read.

    :param release: set to let requests be answered.
    """

    release: asyncio.Event = field(factory=asyncio.Event)
    begun: list[str] = field(factory=list)
    bodies: list[bytes] = field(factory=list)
    gone: int = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        self.begun.append(scope["path"])
        body = b""
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                self.gone += 1
                return
            body += message["body"]
            more = message["more_body"]
        self.bodies.append(body)
        await self.release.wait()
        headers = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"ok"})


def connect(
    app: Any, *, listener: Listener | None = None
) -> tuple[BoundedHttpProtocol, FakeTransport]:
    """Return a connected protocol and its transport."""
    config = uvicorn.Config(app, lifespan="off", log_config=None, log_level="critical")
    protocol = BoundedHttpProtocol(
        config=config,
        server_state=ServerState(),
        app_state={},
        listener=listener or Listener(name="test"),
    )
    transport = FakeTransport()
    transport.protocol = protocol
    protocol.connection_made(transport)
    return protocol, transport


def receive(protocol: BoundedHttpProtocol, transport: FakeTransport, data: bytes) -> None:
    """Pass data to a protocol unless its connection has been closed."""
    if not transport.closed:
        protocol.data_received(data)


async def settle() -> None:
    """Let all callbacks and tasks that are ready run."""
    for _ in range(20):
        await asyncio.sleep(0)
