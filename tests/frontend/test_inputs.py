from __future__ import annotations

import json

import attrs
import pytest
from frontend_harness import wait_until

from rhubarbferry.core.cell import Cell


@attrs.frozen
class BadRequest:
    name: str
    status: int
    field: str
    headers: dict = attrs.Factory(dict)
    path: str = "/v1/services/s/w"
    body: bytes = b""
    account: str = "acme"


BAD_REQUESTS = [
    BadRequest("no account", 400, "Client-Account", account=""),
    BadRequest("odd account", 400, "Client-Account", account="../x"),
    BadRequest("unknown account", 403, "Client-Account", account="nobody"),
    BadRequest("unknown service", 404, "service", path="/v1/services/nothing/w"),
    BadRequest("no service", 404, "path", path="/v1/services//w"),
    BadRequest("idempotent", 400, "Idempotent", {"Idempotent": "maybe"}),
    BadRequest("priority", 400, "Priority", {"Priority": "first"}),
    BadRequest("timeout word", 400, "Request-Timeout", {"Request-Timeout": "soon"}),
    BadRequest("timeout nan", 400, "Request-Timeout", {"Request-Timeout": "nan"}),
    BadRequest("timeout inf", 400, "Request-Timeout", {"Request-Timeout": "inf"}),
    BadRequest("timeout negative", 400, "Request-Timeout", {"Request-Timeout": "-1"}),
    BadRequest("timeout zero", 400, "Request-Timeout", {"Request-Timeout": "0"}),
    BadRequest("timeout long", 400, "Request-Timeout", {"Request-Timeout": "9"}),
    BadRequest("key empty", 400, "Idempotency-Key", {"Idempotency-Key": ""}),
    BadRequest("key long", 400, "Idempotency-Key", {"Idempotency-Key": "k" * 201}),
    BadRequest("key with a space", 400, "Idempotency-Key", {"Idempotency-Key": "a b"}),
    BadRequest("key not ascii", 400, "Idempotency-Key", {"Idempotency-Key": "ключ"}),
    BadRequest("body too large", 413, "body", body=b"x" * (1024 * 1024 + 1)),
    BadRequest("headers too large", 400, "headers", {"X-Long": "x" * 70_000}),
]


@pytest.mark.parametrize("bad", BAD_REQUESTS, ids=lambda bad: bad.name)
async def test_invalid_requests_get_a_problem_that_names_the_field(harness, bad) -> None:
    runner = await harness.add_runner()
    status, headers, body = await harness.request(
        "PUT", bad.path, body=bad.body, account=bad.account, **bad.headers
    )
    assert (status, headers["Outcome"]) == (bad.status, "not-run")
    doc = json.loads(body)
    assert headers["Content-Type"] == "application/problem+json"
    assert doc["field"] == bad.field and doc["remedy"] and doc["outcome"] == "not-run"
    assert runner.record == [] and harness.scheduler.calls == []
    status, _, _ = await harness.request("GET")
    assert status == 200


async def test_a_chunked_body_over_the_limit_is_refused(harness) -> None:
    runner = await harness.add_runner()

    async def endless():
        for _ in range(40):
            yield b"x" * 65_536

    status, headers, body = await harness.request("PUT", body=endless())
    assert status == 413 and headers["Outcome"] in ("not-run", "unknown")
    assert json.loads(body)["field"] == "body"
    await wait_until(lambda: harness.frontend.limiter.requests == 0)
    assert runner.counts.executions == 0


RAW = {
    "negative length": b"POST /v1/services/s/w HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n",
    "two lengths": b"POST /v1/services/s/w HTTP/1.1\r\nHost: h\r\n"
    b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
    "length and chunks": b"POST /v1/services/s/w HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "bad chunk": b"POST /v1/services/s/w HTTP/1.1\r\nHost: h\r\nClient-Account: acme\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    "no http": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    "two accounts": b"GET /v1/services/s/w HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    b"Client-Account: acme\r\nClient-Account: other\r\n\r\n",
    "bad header": b"GET /v1/services/s/w HTTP/1.1\r\nHost: h\r\nClient Account: acme\r\n\r\n",
}


@pytest.mark.parametrize("text", RAW.values(), ids=RAW.keys())
async def test_malformed_requests_get_a_400(harness, text) -> None:
    runner = await harness.add_runner()
    answer = await harness.send_raw(text)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"application/problem+json" in answer and b'"field": ' in answer
    assert runner.record == []


async def test_without_a_configuration_requests_are_refused(harness) -> None:
    harness.node.cell.cell = Cell()
    for method, path in (("GET", "/v1/services/s/w"), ("POST", "/v1/jobs"), ("GET", "/v1/jobs")):
        status, headers, _ = await harness.request(method, path)
        assert (status, headers["Outcome"]) == (503, "not-run") and "Retry-After" in headers


GOOD_JOB = {
    "kind": "batch",
    "tasks": 3,
    "size": {"millicores": 500, "memory_bytes": 1024, "accelerators": 0},
}
BAD_JOBS = [
    (b"", 400, "body"),
    (b"{", 400, "body"),
    (b"[]", 400, "body"),
    (b'"x"', 400, "body"),
    (b"\xff\xfe", 400, "body"),
    (b"[" * 100_000, 400, "body"),
    ({"kind": "magic"}, 400, "kind"),
    ({"kind": 5}, 400, "kind"),
    ({"kind": None}, 400, "kind"),
    ({"tasks": 0}, 400, "tasks"),
    ({"tasks": -1}, 400, "tasks"),
    ({"tasks": 1.5}, 400, "tasks"),
    ({"tasks": True}, 400, "tasks"),
    ({"tasks": "3"}, 400, "tasks"),
    ({"tasks": 10**30}, 400, "tasks"),
    ({"tasks": None}, 400, "tasks"),
    ({"size": None}, 400, "size"),
    ({"size": []}, 400, "size"),
    ({"size": {"millicores": -1, "memory_bytes": 1}}, 400, "size.millicores"),
    ({"size": {"millicores": 1}}, 400, "size.memory_bytes"),
    ({"size": {"millicores": 1, "memory_bytes": 1, "gpus": 1}}, 400, "size.gpus"),
    ({"size": {"millicores": 1, "memory_bytes": 1, "accelerators": -1}}, 400, "size.accelerators"),
    ({"priority": "first"}, 400, "priority"),
    ({"idempotent": "yes"}, 400, "idempotent"),
    ({"preemptible": 1}, 400, "preemptible"),
    ({"run_ms": -1}, 400, "run_ms"),
    ({"key": ""}, 400, "key"),
    ({"key": 7}, 400, "key"),
    ({"region": "nowhere"}, 400, "region"),
    ({"payload": {}}, 400, "payload"),
    ({"payload": "x" * 40_000}, 400, "payload"),
    ({"payload": "\ud800"}, 400, "payload"),
    ({"job_template": "x" * 200}, 400, "job_template"),
    ({"account": "nobody"}, 403, "account"),
    ({"account": "other"}, 400, "account"),
    ({"account": 5}, 400, "account"),
    ({"colour": "red"}, 400, "colour"),
    (b" " * 300_000, 413, "body"),
]


@pytest.mark.parametrize(
    ("change", "expected", "field"), BAD_JOBS, ids=lambda value: str(value)[:40]
)
async def test_invalid_jobs_get_a_problem_that_names_the_field(
    harness, change, expected, field
) -> None:
    text = change if isinstance(change, bytes) else json.dumps(GOOD_JOB | change).encode()
    status, headers, body = await harness.request("POST", "/v1/jobs", body=text)
    assert (status, headers["Outcome"]) == (expected, "not-run")
    assert json.loads(body)["field"] == field
    assert harness.scheduler.jobs == {}
