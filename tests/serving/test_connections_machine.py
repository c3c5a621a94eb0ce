"""A state machine of connections that get arbitrary pieces of requests."""

from __future__ import annotations

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from rhubarbferry.serving.limits import RequestLimits
from rhubarbferry.serving.listener import ByteBudget, Listener
from rhubarbferry.test.hypothesis_settings import state_machine_settings

from .protocol_harness import FakeTransport, RecordingApp, connect, receive, settle

MAX_CONNECTIONS = 4
MAX_HELD_BYTES = 3000
LIMITS = RequestLimits(
    head_bytes=200, headers=5, body_bytes=500, buffered_body_bytes=500, head_timeout_s=60.0
)
PIECES = st.one_of(
    st.sampled_from(
        [
            b"GET / HTTP/1.1\r\n",
            b"POST /a HTTP/1.1\r\n",
            b"\r\n",
            b"\r\n\r\n",
            b"Content-Length: 5\r\n",
            b"Content-Length: 100000\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Connection: close\r\n",
            b"Expect: 100-continue\r\n",
            b"5\r\nabcde\r\n",
            b"3;x=y\r\n",
            b"0\r\n",
            b"abcde",
            b"x" * 150,
            b"X: y\r\n" * 4,
            b"GET /b HTTP/1.1\r\n\r\n" * 5,
            b"POST /c HTTP/1.1\r\nContent-Length: 1\r\n\r\nx" * 3,
            b"GET / HTTP/9.9\r\n\r\n",
        ]
    ),
    st.binary(max_size=30),
)


class ConnectionsMachine(RuleBasedStateMachine):
    """Held bytes, connections and requests in progress stay within their bounds."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.conns: list[tuple] = []
        self.apps: list[RecordingApp] = []

    def run(self, coroutine) -> None:
        self.loop.run_until_complete(coroutine)

    @initialize()
    def listen(self) -> None:
        self.listener = Listener(
            name="machine",
            limits=lambda: LIMITS,
            budget=ByteBudget(max_bytes=MAX_HELD_BYTES),
            max_connections=MAX_CONNECTIONS,
            report=lambda event, **fields: None,
        )

    @rule()
    def open(self) -> None:
        async def open() -> None:
            app = RecordingApp()
            self.conns.append(connect(app, listener=self.listener))
            self.apps.append(app)
            await settle()

        self.run(open())

    @rule(index=st.integers(0, 7), data=st.lists(PIECES, min_size=1, max_size=6).map(b"".join))
    def send(self, index: int, data: bytes) -> None:
        if not self.conns:
            return

        async def send() -> None:
            receive(*self.conns[index % len(self.conns)], data)
            self.check()
            await settle()

        self.run(send())

    @rule(index=st.integers(0, 7))
    def answer(self, index: int) -> None:
        if not self.conns:
            return

        async def answer() -> None:
            app = self.apps[index % len(self.apps)]
            app.release.set()
            await settle()
            app.release.clear()

        self.run(answer())

    @rule(index=st.integers(0, 7))
    def disconnect(self, index: int) -> None:
        if not self.conns:
            return

        async def disconnect() -> None:
            transport = self.conns[index % len(self.conns)][1]
            if not transport.closed:
                transport.close()
            await settle()

        self.run(disconnect())

    @invariant()
    def check(self) -> None:
        if not self.conns:
            return
        open_conns = [conn for conn, transport in self.conns if not transport.closed]
        assert len(open_conns) <= MAX_CONNECTIONS
        assert 0 <= self.listener.budget.used <= MAX_HELD_BYTES
        for (_, transport), app in zip(self.conns, self.apps, strict=True):
            assert isinstance(transport, FakeTransport)
            # Complete responses besides those to malformed requests.
            answered = transport.written.count(b"HTTP/1.1 200 OK")
            assert len(app.begun) - answered - app.gone <= 1

    def teardown(self) -> None:
        async def close() -> None:
            for app in self.apps:
                app.release.set()
            for _, transport in self.conns:
                if not transport.closed:
                    transport.close()
            await settle()

        self.run(close())
        assert self.listener.budget.used == 0 if self.conns else True
        self.loop.close()


TestConnectionsMachine = ConnectionsMachine.TestCase
TestConnectionsMachine.settings = state_machine_settings(examples=60, steps=40)
