"""The record of closed connections, without a network."""

from __future__ import annotations

from attrs import define, field

from rhubarbferry.serving.closures import Closure, Reason
from rhubarbferry.serving.listener import CLOSED, Listener

from .protocol_harness import RecordingApp, connect, receive


@define(eq=False)
class Lines:
    lines: list[dict] = field(factory=list)

    def __call__(self, event: str, **fields) -> None:
        self.lines.append({"event": event, **fields})


async def test_closures_are_counted_and_logged_at_a_limited_rate():
    lines = Lines()
    listener = Listener(name="test", report=lines)
    before = CLOSED.labels("test", Reason.MALFORMED.value)._value.get()
    for _ in range(10):
        protocol, transport = connect(RecordingApp(), listener=listener)
        receive(protocol, transport, b"\0")
    listener.record(Closure(reason=Reason.IDLE, limit=1.0), peer="127.0.0.1:1")
    listener.record(Closure(reason=Reason.HEADERS, limit=200), peer="127.0.0.1:2")
    assert CLOSED.labels("test", Reason.MALFORMED.value)._value.get() == before + 10
    assert [(line["reason"], line["limit"], line["peer"]) for line in lines.lines] == [
        ("malformed", None, "127.0.0.1:1"),
        ("headers", 200, "127.0.0.1:2"),
    ]
