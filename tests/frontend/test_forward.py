from __future__ import annotations

import asyncio
import json

import attrs
import pytest
import xxhash
from frontend_harness import PARTITION, wait_until

from rhubarbferry.frontend import metrics
from rhubarbferry.rpc import Server
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.rpc.services import SCHEDULER


def answer_head(body: bytes) -> dict:
    return json.loads(body.split(b"\n", 1)[0])


async def test_an_idempotent_request_is_forwarded_under_a_grant(harness) -> None:
    runner = await harness.add_runner()
    status, headers, body = await harness.request(
        "PUT", "/v1/services/s/a%20b/c?q=1&q=2", body=b"payload", Request_Timeout="2.5"
    )
    assert (status, headers["Outcome"]) == (200, "done")
    found = answer_head(body)
    assert found["request_id"] == headers["Request-Id"]
    assert found["path"] == "/a%20b/c?q=1&q=2"
    assert found["body_hash"] == xxhash.xxh3_64_hexdigest(b"payload")
    assert [execution.account for execution in runner.record] == ["acme"]
    await wait_until(lambda: harness.scheduler.release_ends() == ["DONE"])
    assert harness.guard.open_grant_count() == 0
    (request,) = harness.scheduler.called("grant")
    assert 2000 < request.remaining_ms <= 2500 and request.idempotent and request.epoch == 1


@pytest.mark.parametrize("body_bytes", [0, 1, 300_000, 1_000_000])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("answer", [{"Answer_Bytes": "500000"}, {"Answer_Chunked": "true"}])
async def test_bodies_of_any_size_are_forwarded_completely(
    harness, body_bytes, chunked, answer
) -> None:
    await harness.add_runner()
    payload = bytes(range(256)) * (body_bytes // 256) + b"z" * (body_bytes % 256)

    async def pieces():
        for start in range(0, len(payload), 50_000):
            yield payload[start : start + 50_000]

    body = pieces() if chunked else payload
    status, headers, answered = await harness.request(body=body, **answer)
    assert (status, headers["Outcome"]) == (200, "done")
    assert answer_head(answered)["body_hash"] == xxhash.xxh3_64_hexdigest(payload)
    line = answered.index(b"\n") + 1
    assert len(answered) == line + int(answer.get("Answer_Bytes", 0))


async def test_an_answer_has_one_date_header(harness) -> None:
    await harness.add_runner()
    _, headers, _ = await harness.request("GET")
    assert len(headers.getall("Date")) == 1


async def test_a_head_request_has_the_length_and_no_body(harness) -> None:
    await harness.add_runner()
    status, headers, body = await harness.request("HEAD", Answer_Bytes="100")
    assert (status, headers["Outcome"], body) == (200, "done", b"")
    assert int(headers["Content-Length"]) > 100


async def test_a_non_idempotent_request_without_a_key_gets_one(harness) -> None:
    await harness.add_runner()
    _, headers, _ = await harness.request("POST")
    (begun,) = harness.scheduler.called("begin_request")
    assert begun.key == headers["Idempotency-Key"] != ""
    names = [name for name, _ in harness.scheduler.calls if name in ("begin_request", "grant")]
    assert names == ["begin_request", "grant"]


async def test_a_duplicate_gets_the_recorded_answer_and_is_not_run_again(harness) -> None:
    runner = await harness.add_runner()
    first = await harness.request(body=b"pay", Idempotency_Key="k1")
    second = await harness.request(body=b"pay", Idempotency_Key="k1")
    assert first[2] == second[2] and second[1]["Outcome"] == "done"
    assert first[1]["Request-Id"] == second[1]["Request-Id"]
    assert runner.counts.executions == 1
    status, headers, _ = await harness.request(body=b"other", Idempotency_Key="k1")
    assert (status, headers["Outcome"]) == (422, "not-run")


async def test_a_duplicate_whose_answer_was_too_large_to_keep_gets_410(harness) -> None:
    runner = await harness.add_runner()
    await harness.request(Idempotency_Key="k1", Answer_Bytes="5000")
    status, headers, _ = await harness.request(Idempotency_Key="k1", Answer_Bytes="5000")
    assert (status, headers["Outcome"]) == (410, "done")
    assert runner.counts.executions == 1


async def test_a_duplicate_of_a_running_request_gets_retry_after(harness) -> None:
    runner = await harness.add_runner()
    first = asyncio.create_task(harness.request(Idempotency_Key="k1", Work_Ms="300"))
    await wait_until(lambda: runner.counts.executions == 1)
    status, headers, _ = await harness.request(Idempotency_Key="k1", Work_Ms="300")
    assert (status, headers["Outcome"]) == (409, "running")
    assert int(headers["Retry-After"]) >= 1
    assert (await first)[0] == 200


@attrs.frozen
class Case:
    """A fault of the first runner and the expected answer.

    ``idempotent`` and ``non_idempotent`` are the expected status and outcome by kind of request.
    ``*_runs`` are the executions started on the first and second runner.
    """

    name: str
    faults: dict
    idempotent: tuple[int, str]
    idempotent_runs: tuple[int, int]
    non_idempotent: tuple[int, str]
    non_idempotent_runs: tuple[int, int]
    release_ends: str


ANSWERED, UNCLEAR, FAILED = (200, "done"), (502, "unknown"), (500, "done")
REFUSED = "REFUSED_BY_RUNNER"
RUNNER_CASES = [
    Case("refusing", {"refuse": True}, ANSWERED, (0, 1), ANSWERED, (0, 1), REFUSED),
    Case("leaving", {"drain": True}, ANSWERED, (0, 1), ANSWERED, (0, 1), REFUSED),
    Case("truncated", {"truncate": True}, ANSWERED, (1, 1), UNCLEAR, (1, 0), "UNKNOWN"),
    Case("foreign", {"wrong_id": True}, ANSWERED, (1, 1), UNCLEAR, (1, 0), "UNKNOWN"),
    Case("hang up", {"hang_up": True}, ANSWERED, (1, 1), UNCLEAR, (1, 0), "UNKNOWN"),
    Case("failing", {"fail": True}, FAILED, (1, 0), FAILED, (1, 0), "DONE"),
    Case("late", {"late_ms": 100}, ANSWERED, (1, 0), ANSWERED, (1, 0), "DONE"),
]


@pytest.mark.parametrize("case", RUNNER_CASES, ids=lambda case: case.name)
@pytest.mark.parametrize("idempotent", [True, False])
async def test_faults_of_a_runner(harness, case, idempotent) -> None:
    """A runner refuses, breaks off, answers with another request's id or closes the connection.

    An idempotent request gets its answer from the second runner. Any other request is never run
    twice: it is sent to the second runner only if it was not run, else its outcome is "unknown".
    """
    first, second = await harness.add_runner(), await harness.add_runner()
    first.set_faults(**case.faults)
    status, headers, body = await harness.request(
        Idempotent="true" if idempotent else "false", body=b"b"
    )
    assert (status, headers["Outcome"]) == (case.idempotent if idempotent else case.non_idempotent)
    if status == 200:
        assert answer_head(body)["request_id"] == headers["Request-Id"]
    runs = (first.counts.executions, second.counts.executions)
    assert runs == (case.idempotent_runs if idempotent else case.non_idempotent_runs)
    await wait_until(lambda: harness.scheduler.release_ends()[:1] == [case.release_ends])
    await wait_until(lambda: harness.guard.open_grant_count() == 0)


@pytest.mark.parametrize("executed", [True, False])
@pytest.mark.parametrize("idempotent", [True, False])
async def test_a_silent_connection_is_detected_and_replaced(harness, idempotent, executed) -> None:
    """A network device drops the state of open connections, which accept data but return none.

    New connections work. Within the detection time the caller gets the answer of another runner,
    or "unknown" if the request must not be repeated.
    """
    first, second = await harness.add_runner(), await harness.add_runner()
    await asyncio.gather(*(harness.request("GET", Work_Ms="50") for _ in range(2)))
    assert first.go_silent(execute=executed) == 2
    before = metrics.SILENT_RUNNER_CONNECTIONS._value.get()
    started = asyncio.get_running_loop().time()
    status, headers, _ = await harness.request(Idempotent="true" if idempotent else "false")
    took = asyncio.get_running_loop().time() - started
    assert (status, headers["Outcome"]) == ((200, "done") if idempotent else (502, "unknown"))
    # The detection time is silence_s, 0.4 s here; the rest is allowance for a busy host.
    assert took < 1.5
    assert metrics.SILENT_RUNNER_CONNECTIONS._value.get() > before
    assert second.counts.executions == (1 if idempotent else 0)
    assert first.counts.executions == (3 if executed else 2)
    status, _, body = await harness.request("GET")
    assert (status, answer_head(body)["runner"]) == (200, "r1")


async def test_a_request_on_a_failed_runner_has_an_unknown_outcome(harness) -> None:
    """A runner's host fails during a request, and its connections are reset.

    The request may have taken effect, so its outcome is "unknown", also for later requests with
    the same key. Other requests are sent to the next runner.
    """
    first, second = await harness.add_runner(), await harness.add_runner()
    request = asyncio.create_task(harness.request(Idempotency_Key="k", Work_Ms="5000"))
    await wait_until(lambda: first.counts.executions == 1)
    await first.die()
    status, headers, _ = await request
    assert (status, headers["Outcome"]) == (502, "unknown")
    status, headers, _ = await harness.request(Idempotency_Key="k", Work_Ms="5000")
    assert (status, headers["Outcome"]) == (409, "unknown")
    status, headers, _ = await harness.request(Idempotency_Key="k2")
    assert (status, headers["Outcome"]) == (200, "done")
    assert (first.counts.executions, second.counts.executions) == (1, 1)


async def test_a_request_on_an_unresponsive_runner_is_retried(harness) -> None:
    """A runner stops answering requests and status probes.

    The caller gets another runner's answer after the detection time, not at the deadline.
    """
    first, second = await harness.add_runner(), await harness.add_runner()
    first.set_faults(delay_ms=60_000, no_status=True)
    status, headers, _ = await harness.request("GET")
    assert (status, headers["Outcome"]) == (200, "done")
    assert second.counts.executions == 1


async def test_the_slot_of_an_aborted_request_is_released_when_the_runner_reports_its_end(
    harness,
) -> None:
    """A request reaches its deadline while the runner continues to run it.

    The outcome is "unknown". The slot stays in use until the runner has finished; otherwise the
    next request would exceed the runner's slots.
    """
    runner = await harness.add_runner()
    runner.set_faults(hold=True)
    status, headers, _ = await harness.request("GET", Request_Timeout="2")
    assert (status, headers["Outcome"]) == (504, "unknown")
    await wait_until(lambda: harness.scheduler.release_ends() == ["UNKNOWN"])
    assert runner.record[0].ended == 0 and harness.guard.open_grant_count() == 1
    (release,) = harness.scheduler.releases()
    assert release.remaining_ms > 5000
    runner.set_faults(hold=False)
    await wait_until(lambda: harness.scheduler.release_ends() == ["UNKNOWN", "DONE"])
    assert runner.record[0].ended > 0 and harness.guard.open_grant_count() == 0


@pytest.mark.parametrize("answer", [{"Answer_Bytes": "500000"}, {"Answer_Chunked": "true"}])
async def test_a_truncated_answer_is_an_error_for_the_caller(harness, answer) -> None:
    """A runner breaks off an answer whose first bytes the caller has already received.

    The caller's connection closes before the Content-Length or the last chunk is reached, so the
    HTTP client reports an error instead of a truncated answer.
    """
    import aiohttp

    runner = await harness.add_runner()
    runner.set_faults(truncate=True)
    with pytest.raises(aiohttp.ClientPayloadError):
        await harness.request("GET", **answer)
    await wait_until(lambda: harness.scheduler.release_ends()[:1] == ["UNKNOWN"])


@pytest.mark.parametrize("framing", ["Content-Length: 100", "Transfer-Encoding: chunked"])
async def test_a_truncated_request_is_not_run(harness, framing) -> None:
    """A caller disconnects while it sends its body; the partial request must not be run."""
    runner = await harness.add_runner()
    part = b"10\r\n" + b"x" * 16 + b"\r\n" if "chunked" in framing else b"x" * 50
    request = f"POST /v1/services/s/w HTTP/1.1\r\nHost: h\r\nClient-Account: acme\r\n{framing}\r\n"
    await harness.send_raw(request.encode() + b"\r\n" + part, close=True)
    await wait_until(lambda: harness.frontend.limiter.requests == 0)
    assert runner.record == [] and harness.scheduler.called("grant") == []


async def test_a_truncated_long_request_is_not_run(harness) -> None:
    """A caller disconnects while a large body is being forwarded to the runner.

    The runner must see an incomplete request, never one that ended normally.
    """
    runner = await harness.add_runner()
    request = (
        b"PUT /v1/services/s/w HTTP/1.1\r\nHost: h\r\nClient-Account: acme\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" + b"80000\r\n" + b"x" * 0x80000 + b"\r\n"
    )
    host, _, port = harness.address.partition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    await wait_until(lambda: runner.record)
    writer.close()
    await wait_until(lambda: runner.counts.incomplete == 1)
    assert runner.counts.executions == 0


@pytest.mark.parametrize("idempotent", ["true", "false"])
async def test_a_disconnected_caller_leaves_the_queue(harness, idempotent) -> None:
    """A caller disconnects while its request waits for a free slot.

    The request leaves the queue, and its key can be used again, because nothing was run.
    """
    grant_allowed = asyncio.Event()

    async def wait(req: t.GrantRequest) -> None:
        await grant_allowed.wait()

    harness.scheduler.overrides["grant"] = wait
    request = asyncio.create_task(harness.request(Idempotent=idempotent, Idempotency_Key="k"))
    await wait_until(lambda: harness.scheduler.called("grant"))
    request.cancel()
    await wait_until(lambda: harness.scheduler.called("abandon"))
    grant_allowed.set()
    if idempotent == "false":
        await wait_until(lambda: harness.scheduler.finish_requests())
        assert harness.scheduler.finish_requests()[0].outcome == t.RequestOutcome.NOT_RUN


async def test_a_disconnected_caller_does_not_stop_a_non_idempotent_request(harness) -> None:
    """A caller disconnects while its non-idempotent request runs.

    The request completes and is recorded, so that a repetition with the same key gets its answer.
    """
    runner = await harness.add_runner()
    request = asyncio.create_task(harness.request(Idempotency_Key="k", Work_Ms="300"))
    await wait_until(lambda: runner.counts.executions == 1)
    request.cancel()
    await wait_until(lambda: harness.scheduler.finish_requests())
    status, headers, body = await harness.request(Idempotency_Key="k", Work_Ms="300")
    assert (status, headers["Outcome"]) == (200, "done")
    assert runner.counts.executions == 1


@pytest.mark.parametrize("usable_ms", [0, -5])
async def test_an_expired_grant_is_released_unused(harness, usable_ms) -> None:
    """A grant arrives after it expired, when its slot may belong to another request.

    Nothing is sent under it, and the outcome is "not run".
    """
    runner = await harness.add_runner()
    harness.scheduler.usable_ms = usable_ms
    status, headers, _ = await harness.request(Idempotency_Key="k")
    assert (status, headers["Outcome"]) == (503, "not-run")
    assert int(headers["Retry-After"]) >= 1
    assert runner.record == [] and set(harness.scheduler.release_ends()) == {"NOT_SENT"}
    await wait_until(lambda: harness.scheduler.finish_requests())
    assert harness.scheduler.finish_requests()[0].outcome == t.RequestOutcome.NOT_RUN


async def test_queueing_time_does_not_shorten_a_grant(harness) -> None:
    runner = await harness.add_runner()
    harness.scheduler.usable_ms = 100

    async def grant_slowly(req: t.GrantRequest) -> t.GrantReply:
        await asyncio.sleep(0.15)
        return harness.scheduler.grant_reply(runner, waited_ms=150)

    harness.scheduler.overrides["grant"] = grant_slowly
    status, _, _ = await harness.request("GET")
    assert status == 200 and harness.scheduler.release_ends() in ([], ["DONE"])


async def test_a_release_is_accepted_before_the_next_grant_request(harness) -> None:
    """An expired grant is released, and the request needs a new grant.

    If the new grant request overtook the release, the owner would repeat the same grant and then
    free its slot while in use. The slot would be granted twice: nine requests on eight slots.
    """
    await harness.add_runner()
    harness.scheduler.usable_ms = 0
    await harness.request("GET")
    names = [name for name, _ in harness.scheduler.calls]
    assert names[:4] == ["grant", "release", "grant", "release"]


async def test_a_grant_of_an_earlier_owner_is_not_used(harness) -> None:
    """A suspended owner resumes and grants a slot that its successor has already granted.

    The frontend has adopted the successor's epoch and sends nothing under the old one.
    """
    runner = await harness.add_runner()
    adopted = await harness.call_guard(
        "adopt", t.AdoptRequest(partition=PARTITION, epoch=7, owner_id="successor")
    )
    assert adopted.accepted
    status, headers, _ = await harness.request("GET")
    assert (status, headers["Outcome"]) == (503, "not-run")
    assert runner.record == []


async def test_a_change_of_owner_is_followed(harness) -> None:
    """The owner of a partition changes during a grant request; the new owner grants it."""
    await harness.add_runner()
    old = Server(
        service=SCHEDULER,
        handlers={
            "grant": lambda req: moved(),
            "ping": harness.scheduler._ping,
        },
    )

    async def moved() -> t.GrantReply:
        harness.node.ownership.owners[PARTITION] = (harness.scheduler.server.address, 2)
        return t.GrantReply(verdict=t.GrantVerdict.NOT_OWNER, epoch=2)

    await old.start("127.0.0.1", 0)
    harness.node.ownership.owners[PARTITION] = (old.address, 1)
    harness.scheduler.epoch = 2
    status, headers, _ = await harness.request("GET")
    await old.close()
    assert (status, headers["Outcome"]) == (200, "done")


async def test_without_a_scheduler_requests_are_not_run(make_harness) -> None:
    """No scheduler is reachable and none takes over.

    The request is refused with Retry-After, and nothing is run.
    """
    harness = await make_harness()
    runner = await harness.add_runner()
    harness.node.ownership.owners[PARTITION] = ("127.0.0.1:1", 1)
    status, headers, _ = await harness.request("GET", Request_Timeout="0.5")
    assert (status, headers["Outcome"]) == (504, "not-run")
    assert "Retry-After" in headers and runner.record == []


@pytest.mark.parametrize(
    ("method", "call", "type"),
    [
        ("POST", "begin_request", "not-recorded-in-time"),
        ("POST", "grant", "no-slot-in-time"),
        ("GET", "grant", "no-slot-in-time"),
    ],
)
async def test_an_answer_at_the_deadline_names_what_was_waited_for(
    harness, method, call, type
) -> None:
    """Guards against a request that waited for its record and is said to have had no runner."""
    await harness.add_runner()

    async def hang(req: object) -> None:
        await asyncio.Event().wait()

    harness.scheduler.overrides[call] = hang
    status, headers, body = await harness.request(method, Request_Timeout="0.5")
    assert (status, headers["Outcome"]) == (504, "not-run")
    assert json.loads(body)["type"].endswith(type)


async def test_a_lost_reply_to_an_intent_releases_the_key(harness) -> None:
    """The reply to a recorded intent is lost, and the repeated call finds the key in use.

    The key is in use by the same request, which was not sent. The outcome is "not run", and the
    key is released, so that the caller can repeat the request.
    """
    await harness.add_runner()

    async def lose_reply(req: t.IntentRequest) -> None:
        if len(harness.scheduler.called("begin_request")) == 1:
            raise RuntimeError("the reply is lost")
        return t.IntentReply(verdict=t.IntentVerdict.RUNNING, epoch=1)

    harness.scheduler.overrides["begin_request"] = lose_reply
    status, headers, _ = await harness.request(Idempotency_Key="k")
    assert (status, headers["Outcome"]) == (503, "not-run")
    await wait_until(lambda: harness.scheduler.finish_requests())
    assert harness.scheduler.finish_requests()[0].outcome == t.RequestOutcome.NOT_RUN
    assert harness.scheduler.called("grant") == []


@pytest.mark.parametrize(
    ("reason", "expected"),
    [("the store can't be written", 503), ("the account's rate is used up", 429)],
)
async def test_a_refusal_is_answered_at_once_with_retry_after(harness, reason, expected) -> None:
    async def refuse(req: t.GrantRequest) -> t.GrantReply:
        return t.GrantReply(
            verdict=t.GrantVerdict.REFUSED, epoch=1, reason=reason, retry_after_ms=2500
        )

    harness.scheduler.overrides["grant"] = refuse
    status, headers, body = await harness.request("GET")
    assert (status, headers["Outcome"], headers["Retry-After"]) == (expected, "not-run", "3")
    assert json.loads(body)["detail"] == reason


async def test_retries_stop_when_the_budget_is_used_up(make_harness) -> None:
    """All runners break off all requests.

    Requests then fail instead of multiplying the load on the failing runners by retries.
    """
    harness = await make_harness(retry_ratio=0.0)
    runners = [await harness.add_runner() for _ in range(3)]
    for runner in runners:
        runner.set_faults(hang_up=True)
    for _ in range(5):
        status, headers, _ = await harness.request("GET")
        assert (status, headers["Outcome"]) in ((502, "unknown"), (503, "unknown"))
    assert sum(runner.counts.executions for runner in runners) <= 5 + 4


async def test_too_many_requests_are_refused_at_once(make_harness) -> None:
    harness = await make_harness(max_waiting=1)
    runner = await harness.add_runner()
    first = asyncio.create_task(harness.request("GET", Work_Ms="300"))
    await wait_until(lambda: runner.counts.executions == 1)
    status, headers, _ = await harness.request("GET")
    assert (status, headers["Outcome"]) == (503, "not-run") and "Retry-After" in headers
    assert (await first)[0] == 200


async def test_a_non_idempotent_get_is_not_repeated_on_a_closed_connection(harness) -> None:
    """A persistent connection closes while a non-idempotent GET is sent on it.

    HTTP clients repeat such a GET on their own; the frontend must answer "unknown" instead.
    """
    runner = await harness.add_runner()
    await harness.request("GET")
    runner.set_faults(hang_up=True)
    status, headers, _ = await harness.request("GET", Idempotent="false")
    assert (status, headers["Outcome"]) == (502, "unknown")
    assert runner.counts.executions == 2


async def test_concurrent_requests_get_their_own_answers_and_slots(harness) -> None:
    runner = await harness.add_runner()
    free_slots = asyncio.Semaphore(runner.slots)
    held: set[int] = set()

    async def grant(req: t.GrantRequest) -> t.GrantReply:
        await free_slots.acquire()
        reply = harness.scheduler.grant_reply(runner, waited_ms=5000)
        held.add(reply.grant_id)
        return reply

    async def release(req: t.ReleaseRequest) -> None:
        for item in req.releases:
            held.remove(item.grant_id)
            free_slots.release()

    harness.scheduler.overrides |= {"grant": grant, "release": release}

    async def ask(number: int) -> None:
        payload = str(number).encode()
        method = "PUT" if number % 3 else "POST"
        status, headers, body = await harness.request(method, body=payload, Work_Ms="2")
        assert (status, headers["Outcome"]) == (200, "done")
        assert answer_head(body)["request_id"] == headers["Request-Id"]
        assert answer_head(body)["body_hash"] == xxhash.xxh3_64_hexdigest(payload)

    await asyncio.gather(*(ask(number) for number in range(150)))
    await wait_until(lambda: not held)
    assert runner.counts.refused == 0 and runner.counts.concurrent_max <= runner.slots
    assert harness.guard.open_grant_count() == 0
