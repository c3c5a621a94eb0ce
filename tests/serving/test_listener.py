"""Limits that connections share, without a network."""

from __future__ import annotations

import pytest

from rhubarbferry.serving.listener import ByteBudget, Listener

from .protocol_harness import RecordingApp, connect, receive, settle

REQUEST = b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
HEAD = b"POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"


def listen(**limits) -> Listener:
    return Listener(name="test", **limits)


async def test_the_connection_that_has_waited_longest_gives_way_to_a_new_one():
    """Guards against ordinary clients that are kept out by connections without a request."""
    listener = listen(max_connections=3)
    app = RecordingApp()
    first, second, third = (connect(app, listener=listener) for _ in range(3))
    receive(*first, REQUEST)
    await settle()
    newest = connect(app, listener=listener)
    await settle()
    closed = [transport.closed for _, transport in (first, second, third, newest)]
    assert closed == [False, True, False, False]


async def test_a_new_connection_is_closed_if_all_others_have_requests():
    listener = listen(max_connections=2)
    app = RecordingApp()
    busy = [connect(app, listener=listener) for _ in range(2)]
    for conn in busy:
        receive(*conn, REQUEST)
    _, refused = connect(app, listener=listener)
    await settle()
    assert refused.closed
    app.release.set()
    await settle()
    assert all(transport.written.count(b" 200 ") == 1 for _, transport in busy)
    _, accepted = connect(app, listener=listener)
    await settle()
    assert not accepted.closed


async def test_an_answered_connection_waits_from_its_answer_on():
    listener = listen(max_connections=2)
    app = RecordingApp()
    app.release.set()
    first = connect(app, listener=listener)
    second = connect(app, listener=listener)
    receive(*first, REQUEST)
    await settle()
    connect(app, listener=listener)
    await settle()
    assert second[1].closed and not first[1].closed


async def test_the_oldest_incomplete_request_gives_way_when_the_memory_is_used_up():
    """Guards against limits for each connection that together exceed the memory of a process."""
    listener = listen(budget=ByteBudget(max_bytes=10_000))
    app = RecordingApp()
    conns = [connect(app, listener=listener) for _ in range(4)]
    idle = connect(app, listener=listener)
    for conn in conns:
        receive(*conn, HEAD + b"x" * 3000)
        assert listener.budget.used <= listener.budget.max_bytes
    await settle()
    assert [transport.closed for _, transport in conns] == [True, False, False, False]
    assert not idle[1].closed
    assert app.gone == 1


async def test_complete_requests_are_not_given_up_for_incomplete_ones():
    listener = listen(budget=ByteBudget(max_bytes=10_000))
    app = RecordingApp()
    complete = [connect(app, listener=listener) for _ in range(2)]
    for conn in complete:
        receive(*conn, HEAD.replace(b"5000", b"3000") + b"x" * 3000)
    for _ in range(5):
        receive(*connect(app, listener=listener), HEAD + b"x" * 4500)
    await settle()
    assert not any(transport.closed for _, transport in complete)
    app.release.set()
    await settle()
    assert all(b" 200 " in transport.written for _, transport in complete)
    assert listener.budget.used <= listener.budget.max_bytes


async def test_requests_sent_ahead_count_as_held():
    listener = listen(budget=ByteBudget(max_bytes=10_000))
    protocol, transport = connect(RecordingApp(), listener=listener)
    receive(protocol, transport, REQUEST * 1000)
    await settle()
    assert transport.closed
    assert listener.budget.used == 0


@pytest.mark.parametrize("sent", [b"", HEAD[:20], HEAD + b"x", REQUEST, REQUEST * 3, b"\0"])
async def test_a_closed_connection_holds_nothing(sent):
    listener = listen()
    app = RecordingApp()
    protocol, transport = connect(app, listener=listener)
    receive(protocol, transport, sent)
    await settle()
    transport.close()
    await settle()
    assert listener.budget.used == 0
    for _ in range(listener.max_connections + 1):
        listener.opened(protocol)
        listener.closed(protocol)
    assert not transport.aborted


async def test_an_answered_request_holds_nothing():
    listener = listen()
    app = RecordingApp()
    app.release.set()
    protocol, transport = connect(app, listener=listener)
    receive(protocol, transport, REQUEST)
    assert listener.budget.used > len(b"abc")
    await settle()
    assert listener.budget.used == 0


@pytest.mark.parametrize("reads", [True, False], ids=["sends ahead", "does not read"])
async def test_a_client_that_sends_ahead_or_does_not_read_gives_way(reads):
    """Guards against ordinary clients that are kept out by requests without end."""
    listener = listen(max_connections=2)
    app = RecordingApp()
    polite = connect(app, listener=listener)
    receive(*polite, REQUEST)
    rude = connect(app, listener=listener)
    receive(*rude, REQUEST)
    if reads:
        receive(*rude, REQUEST)
    else:
        rude[0].pause_writing()
    _, newest = connect(app, listener=listener)
    await settle()
    assert rude[1].closed
    assert not polite[1].closed and not newest.closed
