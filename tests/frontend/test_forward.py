from __future__ import annotations

import asyncio
import json

import attrs
import pytest
import xxhash
from frontend_stage import PARTITION, until

from rhubarbferry.frontend import metrics
from rhubarbferry.rpc import Server
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.rpc.services import SCHEDULER


def head(body: bytes) -> dict:
    return json.loads(body.split(b"\n", 1)[0])


async def test_an_idempotent_request_is_forwarded_whole_under_a_grant(stage) -> None:
    runner = await stage.add_runner()
    status, headers, body = await stage.request(
        "PUT", "/v1/services/s/a%20b/c?q=1&q=2", body=b"payload", Request_Timeout="2.5"
    )
    assert (status, headers["Outcome"]) == (200, "done")
    found = head(body)
    assert found["request_id"] == headers["Request-Id"]
    assert found["path"] == "/a%20b/c?q=1&q=2"
    assert found["body_hash"] == xxhash.xxh3_64_hexdigest(b"payload")
    assert [execution.account for execution in runner.record] == ["acme"]
    await until(lambda: stage.scheduler.ends() == ["DONE"])
    assert stage.guard.open_grants() == 0
    (asked,) = stage.scheduler.called("grant")
    assert 2000 < asked.remaining_ms <= 2500 and asked.idempotent and asked.epoch == 1


@pytest.mark.parametrize("body_bytes", [0, 1, 300_000, 1_000_000])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("answer", [{"Answer_Bytes": "500000"}, {"Answer_Chunked": "true"}])
async def test_bodies_of_any_size_pass_whole_both_ways(stage, body_bytes, chunked, answer) -> None:
    await stage.add_runner()
    payload = bytes(range(256)) * (body_bytes // 256) + b"z" * (body_bytes % 256)

    async def pieces():
        for start in range(0, len(payload), 50_000):
            yield payload[start : start + 50_000]

    body = pieces() if chunked else payload
    status, headers, answered = await stage.request(body=body, **answer)
    assert (status, headers["Outcome"]) == (200, "done")
    assert head(answered)["body_hash"] == xxhash.xxh3_64_hexdigest(payload)
    line = answered.index(b"\n") + 1
    assert len(answered) == line + int(answer.get("Answer_Bytes", 0))


async def test_an_answer_has_one_date(stage) -> None:
    await stage.add_runner()
    _, headers, _ = await stage.request("GET")
    assert len(headers.getall("Date")) == 1


async def test_a_head_request_has_the_length_and_no_body(stage) -> None:
    await stage.add_runner()
    status, headers, body = await stage.request("HEAD", Answer_Bytes="100")
    assert (status, headers["Outcome"], body) == (200, "done", b"")
    assert int(headers["Content-Length"]) > 100


async def test_a_request_without_a_key_that_needs_one_gets_one(stage) -> None:
    await stage.add_runner()
    _, headers, _ = await stage.request("POST")
    (begun,) = stage.scheduler.called("begin_request")
    assert begun.key == headers["Idempotency-Key"] != ""
    names = [name for name, _ in stage.scheduler.calls if name in ("begin_request", "grant")]
    assert names == ["begin_request", "grant"]


async def test_a_duplicate_gets_the_recorded_answer_and_is_not_run_again(stage) -> None:
    runner = await stage.add_runner()
    first = await stage.request(body=b"pay", Idempotency_Key="k1")
    second = await stage.request(body=b"pay", Idempotency_Key="k1")
    assert first[2] == second[2] and second[1]["Outcome"] == "done"
    assert first[1]["Request-Id"] == second[1]["Request-Id"]
    assert runner.counts.executions == 1
    status, headers, _ = await stage.request(body=b"other", Idempotency_Key="k1")
    assert (status, headers["Outcome"]) == (422, "not-run")


async def test_a_duplicate_whose_answer_was_too_large_to_keep_is_told_so(stage) -> None:
    runner = await stage.add_runner()
    await stage.request(Idempotency_Key="k1", Answer_Bytes="5000")
    status, headers, _ = await stage.request(Idempotency_Key="k1", Answer_Bytes="5000")
    assert (status, headers["Outcome"]) == (410, "done")
    assert runner.counts.executions == 1


async def test_a_duplicate_of_a_running_request_is_told_when_to_come_back(stage) -> None:
    runner = await stage.add_runner()
    first = asyncio.create_task(stage.request(Idempotency_Key="k1", Work_Ms="300"))
    await until(lambda: runner.counts.executions == 1)
    status, headers, _ = await stage.request(Idempotency_Key="k1", Work_Ms="300")
    assert (status, headers["Outcome"]) == (409, "running")
    assert int(headers["Retry-After"]) >= 1
    assert (await first)[0] == 200


@attrs.frozen
class Case:
    """A fault of the first runner and what a caller then gets.

    ``runs``: executions begun on the first and on the second runner.
    """

    name: str
    faults: dict
    idempotent: tuple[int, str]
    idempotent_runs: tuple[int, int]
    once: tuple[int, str]
    once_runs: tuple[int, int]
    ends: str


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
async def test_faults_of_a_runner(stage, case, idempotent) -> None:
    """A runner refuses, breaks off, answers for another request, or dies in the middle.

    The caller of an idempotent request gets an answer from the second runner. The caller of any
    other request gets a final word at once: an answer when the request had not been run, else
    "unknown"; it is never run twice.
    """
    one, two = await stage.add_runner(), await stage.add_runner()
    one.set_faults(**case.faults)
    status, headers, body = await stage.request(
        Idempotent="true" if idempotent else "false", body=b"b"
    )
    assert (status, headers["Outcome"]) == (case.idempotent if idempotent else case.once)
    if status == 200:
        assert head(body)["request_id"] == headers["Request-Id"]
    runs = (one.counts.executions, two.counts.executions)
    assert runs == (case.idempotent_runs if idempotent else case.once_runs)
    await until(lambda: stage.scheduler.ends()[:1] == [case.ends])
    await until(lambda: stage.guard.open_grants() == 0)


@pytest.mark.parametrize("executed", [True, False])
@pytest.mark.parametrize("idempotent", [True, False])
async def test_a_silent_connection_is_found_and_replaced(stage, idempotent, executed) -> None:
    """Something between loses track of the open connections: they take bytes and give none.

    New connections work. A caller notices a pause within the bound and then gets the answer of
    another runner, or "unknown" when the request may not be repeated.
    """
    one, two = await stage.add_runner(), await stage.add_runner()
    await asyncio.gather(*(stage.request("GET", Work_Ms="50") for _ in range(2)))
    assert one.go_silent(execute=executed) == 2
    before = metrics.SILENT_RUNNER_CONNECTIONS._value.get()
    started = asyncio.get_running_loop().time()
    status, headers, _ = await stage.request(Idempotent="true" if idempotent else "false")
    took = asyncio.get_running_loop().time() - started
    assert (status, headers["Outcome"]) == ((200, "done") if idempotent else (502, "unknown"))
    # The bound is silence_s, 0.4 s here; the rest is room for a busy machine.
    assert took < 1.5
    assert metrics.SILENT_RUNNER_CONNECTIONS._value.get() > before
    assert two.counts.executions == (1 if idempotent else 0)
    assert one.counts.executions == (3 if executed else 2)
    status, _, body = await stage.request("GET")
    assert (status, head(body)["runner"]) == (200, "r1")


async def test_a_runner_that_dies_with_a_request_leaves_it_unknown(stage) -> None:
    """The runner's host is taken away while it works: its connections are reset.

    The request may have taken effect, so its caller is told "unknown" at once, and so is
    everyone who sends the key again. Other requests find the next runner.
    """
    one, two = await stage.add_runner(), await stage.add_runner()
    asked = asyncio.create_task(stage.request(Idempotency_Key="k", Work_Ms="5000"))
    await until(lambda: one.counts.executions == 1)
    await one.die()
    status, headers, _ = await asked
    assert (status, headers["Outcome"]) == (502, "unknown")
    status, headers, _ = await stage.request(Idempotency_Key="k", Work_Ms="5000")
    assert (status, headers["Outcome"]) == (409, "unknown")
    status, headers, _ = await stage.request(Idempotency_Key="k2")
    assert (status, headers["Outcome"]) == (200, "done")
    assert (one.counts.executions, two.counts.executions) == (1, 1)


async def test_a_runner_that_freezes_is_given_up(stage) -> None:
    """The runner stops answering altogether, also its status.

    The caller gets another runner's answer after the bound, not at the deadline.
    """
    one, two = await stage.add_runner(), await stage.add_runner()
    one.set_faults(delay_ms=60_000, no_status=True)
    status, headers, _ = await stage.request("GET")
    assert (status, headers["Outcome"]) == (200, "done")
    assert two.counts.executions == 1


async def test_a_slot_given_up_is_released_only_when_the_runner_says_so(stage) -> None:
    """A request is cut off at its deadline while the runner goes on with it.

    The caller is told "unknown". The slot stays taken until the runner has finished, or the next
    request would be one too many there.
    """
    runner = await stage.add_runner()
    runner.set_faults(hold=True)
    status, headers, _ = await stage.request("GET", Request_Timeout="2")
    assert (status, headers["Outcome"]) == (504, "unknown")
    await until(lambda: stage.scheduler.ends() == ["UNKNOWN"])
    assert runner.record[0].ended == 0 and stage.guard.open_grants() == 1
    (release,) = stage.scheduler.releases()
    assert release.remaining_ms > 5000
    runner.set_faults(hold=False)
    await until(lambda: stage.scheduler.ends() == ["UNKNOWN", "DONE"])
    assert runner.record[0].ended > 0 and stage.guard.open_grants() == 0


@pytest.mark.parametrize("answer", [{"Answer_Bytes": "500000"}, {"Answer_Chunked": "true"}])
async def test_a_truncated_answer_is_never_whole_for_the_caller(stage, answer) -> None:
    """A runner breaks off an answer whose first bytes the caller has already.

    The caller's connection ends before the announced length or the last chunk, so that its
    library reports an error instead of half an answer.
    """
    import aiohttp

    runner = await stage.add_runner()
    runner.set_faults(truncate=True)
    with pytest.raises(aiohttp.ClientPayloadError):
        await stage.request("GET", **answer)
    await until(lambda: stage.scheduler.ends()[:1] == ["UNKNOWN"])


@pytest.mark.parametrize("framing", ["Content-Length: 100", "Transfer-Encoding: chunked"])
async def test_a_truncated_request_is_not_run(stage, framing) -> None:
    """A caller dies while it sends its body.

    The part that came is not run as if it were the whole.
    """
    runner = await stage.add_runner()
    part = b"10\r\n" + b"x" * 16 + b"\r\n" if "chunked" in framing else b"x" * 50
    request = f"POST /v1/services/s/w HTTP/1.1\r\nHost: h\r\nClient-Account: acme\r\n{framing}\r\n"
    await stage.raw(request.encode() + b"\r\n" + part, close=True)
    await until(lambda: stage.frontend.room.requests == 0)
    assert runner.record == [] and stage.scheduler.called("grant") == []


async def test_a_long_request_cut_in_the_middle_is_not_run(stage) -> None:
    """A caller dies while a large body is already on its way to the runner.

    The runner sees a broken request, never one that ended normally.
    """
    runner = await stage.add_runner()
    request = (
        b"PUT /v1/services/s/w HTTP/1.1\r\nHost: h\r\nClient-Account: acme\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" + b"80000\r\n" + b"x" * 0x80000 + b"\r\n"
    )
    host, _, port = stage.address.partition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    await until(lambda: runner.record)
    writer.close()
    await until(lambda: runner.counts.incomplete == 1)
    assert runner.counts.executions == 0


@pytest.mark.parametrize("idempotent", ["true", "false"])
async def test_a_caller_that_leaves_while_it_waits_gives_up_its_place(stage, idempotent) -> None:
    """A caller closes its connection while no runner has room.

    Its place in the queue goes to others, and its key is free again, as nothing was run.
    """
    gate = asyncio.Event()

    async def wait(req: t.GrantRequest) -> None:
        await gate.wait()

    stage.scheduler.rules["grant"] = wait
    asked = asyncio.create_task(stage.request(Idempotent=idempotent, Idempotency_Key="k"))
    await until(lambda: stage.scheduler.called("grant"))
    asked.cancel()
    await until(lambda: stage.scheduler.called("abandon"))
    gate.set()
    if idempotent == "false":
        await until(lambda: stage.scheduler.finished())
        assert stage.scheduler.finished()[0].outcome == t.RequestOutcome.NOT_RUN


async def test_a_caller_that_leaves_does_not_stop_what_runs_once(stage) -> None:
    """A caller closes its connection while its non-idempotent request runs.

    The request is finished and recorded, so that the caller gets its answer with the key later.
    """
    runner = await stage.add_runner()
    asked = asyncio.create_task(stage.request(Idempotency_Key="k", Work_Ms="300"))
    await until(lambda: runner.counts.executions == 1)
    asked.cancel()
    await until(lambda: stage.scheduler.finished())
    status, headers, body = await stage.request(Idempotency_Key="k", Work_Ms="300")
    assert (status, headers["Outcome"]) == (200, "done")
    assert runner.counts.executions == 1


@pytest.mark.parametrize("usable_ms", [0, -5])
async def test_a_grant_that_ran_out_is_given_back_unused(stage, usable_ms) -> None:
    """A grant arrives so late that its slot may be another's by now.

    Nothing is sent under it; the caller is told that its request was not run.
    """
    runner = await stage.add_runner()
    stage.scheduler.usable_ms = usable_ms
    status, headers, _ = await stage.request(Idempotency_Key="k")
    assert (status, headers["Outcome"]) == (503, "not-run")
    assert int(headers["Retry-After"]) >= 1
    assert runner.record == [] and set(stage.scheduler.ends()) == {"NOT_SENT"}
    await until(lambda: stage.scheduler.finished())
    assert stage.scheduler.finished()[0].outcome == t.RequestOutcome.NOT_RUN


async def test_the_time_in_the_queue_is_not_taken_off_a_grant(stage) -> None:
    runner = await stage.add_runner()
    stage.scheduler.usable_ms = 100

    async def slowly(req: t.GrantRequest) -> t.GrantReply:
        await asyncio.sleep(0.15)
        return stage.scheduler.granted(runner, waited_ms=150)

    stage.scheduler.rules["grant"] = slowly
    status, _, _ = await stage.request("GET")
    assert status == 200 and stage.scheduler.ends() in ([], ["DONE"])


async def test_a_release_is_taken_before_the_owner_is_asked_again(stage) -> None:
    """A grant comes too late and its slot is given back while the request asks again.

    Were the order lost, the owner would repeat the same grant and then take its slot back while
    it is in use, and grant it to another: nine requests on eight slots.
    """
    await stage.add_runner()
    stage.scheduler.usable_ms = 0
    await stage.request("GET")
    names = [name for name, _ in stage.scheduler.calls]
    assert names[:4] == ["grant", "release", "grant", "release"]


async def test_a_grant_of_an_earlier_owner_is_not_used(stage) -> None:
    """A frozen owner wakes up and grants a slot that its successor has granted already.

    The frontend knows the successor's epoch and sends nothing under the old one.
    """
    runner = await stage.add_runner()
    adopted = await stage.call_guard(
        "adopt", t.AdoptRequest(partition=PARTITION, epoch=7, owner_id="successor")
    )
    assert adopted.accepted
    status, headers, _ = await stage.request("GET")
    assert (status, headers["Outcome"]) == (503, "not-run")
    assert runner.record == []


async def test_a_moved_partition_is_looked_up_again(stage) -> None:
    """The owner of a partition changes while a request asks for a grant.

    The caller gets its answer from the new owner's grant, a little later.
    """
    await stage.add_runner()
    old = Server(
        service=SCHEDULER,
        handlers={
            "grant": lambda req: moved(),
            "ping": stage.scheduler._ping,
        },
    )

    async def moved() -> t.GrantReply:
        stage.node.ownership.owners[PARTITION] = (stage.scheduler.server.address, 2)
        return t.GrantReply(verdict=t.GrantVerdict.NOT_OWNER, epoch=2)

    await old.start("127.0.0.1", 0)
    stage.node.ownership.owners[PARTITION] = (old.address, 1)
    stage.scheduler.epoch = 2
    status, headers, _ = await stage.request("GET")
    await old.close()
    assert (status, headers["Outcome"]) == (200, "done")


async def test_no_scheduler_means_not_run_before_the_deadline(make_stage) -> None:
    """No scheduler can be reached, and none takes over.

    The caller is told so, with when to come back, and nothing was run.
    """
    stage = await make_stage()
    runner = await stage.add_runner()
    stage.node.ownership.owners[PARTITION] = ("127.0.0.1:1", 1)
    status, headers, _ = await stage.request("GET", Request_Timeout="0.5")
    assert (status, headers["Outcome"]) == (504, "not-run")
    assert "Retry-After" in headers and runner.record == []


async def test_a_lost_reply_to_an_intent_frees_the_key(stage) -> None:
    """The reply that an intent is on record is lost, and asking again finds the key running.

    It is this very request that is meant. The caller is told "not run", which is true, and the
    key is given free, so that it can be sent again.
    """
    await stage.add_runner()

    async def lose(req: t.IntentRequest) -> None:
        if len(stage.scheduler.called("begin_request")) == 1:
            raise RuntimeError("the reply is lost")
        return t.IntentReply(verdict=t.IntentVerdict.RUNNING, epoch=1)

    stage.scheduler.rules["begin_request"] = lose
    status, headers, _ = await stage.request(Idempotency_Key="k")
    assert (status, headers["Outcome"]) == (503, "not-run")
    await until(lambda: stage.scheduler.finished())
    assert stage.scheduler.finished()[0].outcome == t.RequestOutcome.NOT_RUN
    assert stage.scheduler.called("grant") == []


@pytest.mark.parametrize(
    ("reason", "expected"),
    [("the store can't be written", 503), ("the account's rate is used up", 429)],
)
async def test_a_refusal_goes_out_at_once_with_when_to_come_back(stage, reason, expected) -> None:
    async def refuse(req: t.GrantRequest) -> t.GrantReply:
        return t.GrantReply(
            verdict=t.GrantVerdict.REFUSED, epoch=1, reason=reason, retry_after_ms=2500
        )

    stage.scheduler.rules["grant"] = refuse
    status, headers, body = await stage.request("GET")
    assert (status, headers["Outcome"], headers["Retry-After"]) == (expected, "not-run", "3")
    assert json.loads(body)["detail"] == reason


async def test_retries_stop_when_the_budget_is_spent(make_stage) -> None:
    """Every runner breaks every request off.

    Callers are told so instead of multiplying the load on runners that fail anyway.
    """
    stage = await make_stage(retry_ratio=0.0)
    runners = [await stage.add_runner() for _ in range(3)]
    for runner in runners:
        runner.set_faults(hang_up=True)
    for _ in range(5):
        status, headers, _ = await stage.request("GET")
        assert (status, headers["Outcome"]) in ((502, "unknown"), (503, "unknown"))
    assert sum(runner.counts.executions for runner in runners) <= 5 + 4


async def test_too_many_requests_are_refused_at_once(make_stage) -> None:
    stage = await make_stage(max_waiting=1)
    runner = await stage.add_runner()
    first = asyncio.create_task(stage.request("GET", Work_Ms="300"))
    await until(lambda: runner.counts.executions == 1)
    status, headers, _ = await stage.request("GET")
    assert (status, headers["Outcome"]) == (503, "not-run") and "Retry-After" in headers
    assert (await first)[0] == 200


async def test_a_get_that_runs_once_is_not_repeated_on_a_closed_connection(stage) -> None:
    """A kept connection closes just as a request that must run once goes out on it.

    HTTP libraries repeat a GET by themselves then. Here the caller is told "unknown".
    """
    runner = await stage.add_runner()
    await stage.request("GET")
    runner.set_faults(hang_up=True)
    status, headers, _ = await stage.request("GET", Idempotent="false")
    assert (status, headers["Outcome"]) == (502, "unknown")
    assert runner.counts.executions == 2


async def test_a_crowd_gets_its_own_answers_and_no_slot_is_used_twice(stage) -> None:
    runner = await stage.add_runner()
    room = asyncio.Semaphore(runner.slots)
    held: set[int] = set()

    async def grant(req: t.GrantRequest) -> t.GrantReply:
        await room.acquire()
        reply = stage.scheduler.granted(runner, waited_ms=5000)
        held.add(reply.grant_id)
        return reply

    async def release(req: t.ReleaseRequest) -> None:
        for item in req.releases:
            held.remove(item.grant_id)
            room.release()

    stage.scheduler.rules |= {"grant": grant, "release": release}

    async def ask(number: int) -> None:
        payload = str(number).encode()
        method = "PUT" if number % 3 else "POST"
        status, headers, body = await stage.request(method, body=payload, Work_Ms="2")
        assert (status, headers["Outcome"]) == (200, "done")
        assert head(body)["request_id"] == headers["Request-Id"]
        assert head(body)["body_hash"] == xxhash.xxh3_64_hexdigest(payload)

    await asyncio.gather(*(ask(number) for number in range(150)))
    await until(lambda: not held)
    assert runner.counts.refused == 0 and runner.counts.concurrent_max <= runner.slots
    assert stage.guard.open_grants() == 0
