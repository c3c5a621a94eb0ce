from __future__ import annotations

import asyncio

import pytest
from frontend_harness import CFG, TIMEOUT_S

from rhubarbferry.frontend.headers import RequestSpec
from rhubarbferry.frontend.runners import Answer, Exchange, ExchangeBroken, NotSent, Runners
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.test.runner import Runner

SPEC = RequestSpec(
    request_id="q1",
    account="acme",
    service="s",
    method="GET",
    target="/w",
    idempotent=True,
    key="",
    priority=None,
    timeout_s=5.0,
    content_length=0,
    headers=(),
)


class SuspendedClock(SystemClock):
    ahead = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.ahead


class SuspendedRunners(Runners):
    """Advance the clock by 5 s after the first check of the grant, as a suspended process would."""

    def _headers(self, *args):
        self._clock.ahead = 5.0
        return super()._headers(*args)


async def send(runners: Runners, address: str):
    now = runners._clock.monotonic()
    return await runners.send(
        address=address,
        spec=SPEC,
        body=b"",
        exchange=Exchange(request_id=SPEC.request_id),
        usable_until=now + 0.9,
        may_send=lambda: True,
        deadline=now + TIMEOUT_S,
    )


@pytest.fixture
async def runner():
    runner = Runner(id="r", service="s")
    await runner.start()
    yield runner
    await runner.close()


async def test_a_resumed_process_does_not_use_an_expired_grant(runner) -> None:
    """The process is suspended between receiving a grant and sending the request.

    When it resumes, the slot may belong to another request. Nothing is sent, so that the request
    can be repeated under a new grant.
    """
    runners = SuspendedRunners(clock=SuspendedClock(), cfg=CFG.requests)
    await runners.start()
    result = await send(runners, runner.address)
    await runners.close()
    assert isinstance(result, NotSent) and not result.unreachable
    assert runner.record == []


async def serve_once(text: bytes) -> tuple[asyncio.Server, str]:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(text)
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    return server, "{}:{}".format(*server.sockets[0].getsockname())


ANSWERS = [
    (b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\nok", Answer),
    (b"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n\r\nok", ExchangeBroken),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ExchangeBroken),
    (b"HTTP/1.1 200 OK\r\nRequest-Id: q2\r\nContent-Length: 2\r\n\r\nok", ExchangeBroken),
    (b"HTTP/1.1 503 No\r\nOutcome: not-run\r\nContent-Length: 0\r\n\r\n", ExchangeBroken),
    (b"nonsense\r\n\r\n", ExchangeBroken),
    (b"", ExchangeBroken),
]


@pytest.mark.parametrize(("text", "expected"), ANSWERS)
async def test_only_verified_and_complete_answers_are_accepted(text, expected) -> None:
    """A runner answers without a request id, without a length, or with invalid HTTP.

    It is then unknown whether the request was run or the answer is complete, so it is dropped.
    """
    server, address = await serve_once(text)
    runners = Runners(clock=SystemClock(), cfg=CFG.requests)
    await runners.start()
    result = await send(runners, address)
    if isinstance(result, Answer):
        assert await result.read() == b"ok"
    await runners.close()
    server.close()
    assert isinstance(result, expected)


async def test_an_unreachable_runner_is_reported_as_not_sent() -> None:
    runners = Runners(clock=SystemClock(), cfg=CFG.requests)
    await runners.start()
    result = await send(runners, "127.0.0.1:1")
    await runners.close()
    assert isinstance(result, NotSent) and result.unreachable
