from __future__ import annotations

import asyncio
import json

import pytest

from rhubarbferry.rpc.gen import ttypes as t

JOB = {"kind": "gang", "tasks": 4, "size": {"millicores": 500, "memory_bytes": 1024}}


async def submit(harness, **changes) -> tuple[int, dict, dict]:
    text = json.dumps(JOB | changes).encode()
    status, headers, body = await harness.request("POST", "/v1/jobs", body=text)
    return status, headers, json.loads(body)


async def test_a_job_is_submitted_shown_explained_listed_and_cancelled(harness) -> None:
    status, headers, doc = await submit(harness, priority="urgent", run_ms=50)
    assert status == 202 and headers["Location"] == f"/v1/jobs/{doc['id']}"
    region, number, _ = doc["id"].split(".")
    (submitted,) = harness.scheduler.called("submit_job")
    assert submitted.partition == f"key/{region}/{number}"
    assert (submitted.spec.kind, submitted.spec.priority) == (t.JobKind.GANG, t.Priority.URGENT)
    _, _, body = await harness.request("GET", headers["Location"])
    shown = json.loads(body)
    assert (shown["phase"], shown["reason"], shown["tasks"]["all"]) == ("waiting", "no room", 4)
    _, _, body = await harness.request("GET", headers["Location"] + "/explain")
    assert json.loads(body)["explanation"] == ["no room"]
    _, _, body = await harness.request("GET", "/v1/jobs?account=acme")
    listed = json.loads(body)
    assert listed["complete"] and [job["id"] for job in listed["jobs"]] == [doc["id"]]
    _, _, body = await harness.request("DELETE", headers["Location"])
    assert json.loads(body)["phase"] == "cancelled"


async def test_a_repeated_key_returns_the_same_job(harness) -> None:
    first, second = await submit(harness, key="k"), await submit(harness, key="k")
    assert first[2]["id"] == second[2]["id"]
    assert (first[2]["duplicate"], second[2]["duplicate"]) == (False, True)


async def test_a_lost_reply_does_not_make_two_jobs(harness) -> None:
    """The reply to a submission is lost after the job was recorded.

    The frontend repeats the submission with the same id, so only one job exists.
    """
    done: list[str] = []

    async def lose_reply(req: t.SubmitRequest) -> None:
        done.append(req.job_id)
        if len(done) == 1:
            await harness.scheduler._submit_job(req)
            raise RuntimeError("the reply is lost")

    harness.scheduler.overrides["submit_job"] = lose_reply
    status, _, doc = await submit(harness)
    assert status == 202 and set(done) == {doc["id"]} == set(harness.scheduler.jobs)


REFUSALS = [
    (t.SubmitVerdict.REFUSED, "no worker could ever hold a task", None, 422),
    (t.SubmitVerdict.REFUSED, "too many tasks wait", 2000, 429),
    (t.SubmitVerdict.UNAVAILABLE, "the store can't be written", 2000, 503),
]


async def test_an_unclear_submission_has_an_unknown_outcome(harness) -> None:
    """The scheduler cannot determine whether a job is recorded, because the store's reply was lost.

    "Not run" would be false if the job is recorded, and the caller would submit it again.
    """

    async def unclear(req: t.SubmitRequest) -> t.SubmitReply:
        return t.SubmitReply(verdict=t.SubmitVerdict.UNCLEAR, epoch=1, reason="lost reply")

    harness.scheduler.overrides["submit_job"] = unclear
    status, headers, _ = await submit(harness)
    assert (status, headers["Outcome"]) == (504, "unknown")
    assert float(headers["Retry-After"]) > 0


@pytest.mark.parametrize(("verdict", "reason", "retry_ms", "expected"), REFUSALS)
async def test_refusals_include_the_reason(harness, verdict, reason, retry_ms, expected) -> None:
    async def refuse(req: t.SubmitRequest) -> t.SubmitReply:
        return t.SubmitReply(verdict=verdict, epoch=1, reason=reason, retry_after_ms=retry_ms)

    harness.scheduler.overrides["submit_job"] = refuse
    status, headers, doc = await submit(harness)
    assert (status, headers["Outcome"], doc["detail"]) == (expected, "not-run", reason)
    assert headers.get("Retry-After") == (None if retry_ms is None else "2")


async def test_a_job_that_may_be_recorded_is_not_reported_as_not_run(harness) -> None:
    """The store stops answering while a job is being recorded, so the job may be recorded and run.

    After "not run", the caller would submit it again under another key, and it would run twice.
    """

    async def unclear(req: t.SubmitRequest) -> t.SubmitReply:
        return t.SubmitReply(verdict=t.SubmitVerdict.UNCLEAR, epoch=1, job_id=req.job_id)

    harness.scheduler.overrides["submit_job"] = unclear
    status, headers, doc = await submit(harness)
    (submitted,) = harness.scheduler.called("submit_job")
    assert (status, headers["Outcome"]) == (504, "unknown")
    assert submitted.job_id in doc["remedy"] and headers["Retry-After"]


@pytest.mark.parametrize("method", ["GET", "DELETE"])
async def test_an_unavailable_job_state_is_not_reported_as_not_run(harness, method) -> None:
    """The store is down, and the home of a job cannot report its state.

    "Not run" in the answer would be read as the outcome of the job, which may have run.
    """
    _, _, doc = await submit(harness)

    async def unavailable(req: t.JobRequest) -> t.JobReply:
        return t.JobReply(verdict=t.JobVerdict.UNAVAILABLE, epoch=1, retry_after_ms=1000)

    for rule in ("get_job", "cancel_job"):
        harness.scheduler.overrides[rule] = unavailable
    status, headers, _ = await harness.request(method, f"/v1/jobs/{doc['id']}")
    assert (status, headers["Outcome"], headers["Retry-After"]) == (503, "unknown", "1")


async def test_without_store_and_owner_recorded_work_is_refused_at_once(harness) -> None:
    """The store is unreachable for longer than a lease, and the owner of the keys has failed.

    Jobs and non-idempotent requests are refused at once as not run, because no new owner can
    claim the keys without the store.
    """
    harness.node.store_lost = True
    for name in ("key/a/0", "key/a/1"):
        del harness.node.ownership.owners[name]
    async with asyncio.timeout(2.0):
        status, headers, _ = await submit(harness)
        keyed, keyed_headers, _ = await harness.request(
            "POST", "/v1/services/s/x", **{"Idempotent": "false", "Idempotency-Key": "k"}
        )
    assert (status, headers["Outcome"], headers["Retry-After"]) == (503, "not-run", "1")
    assert (keyed, keyed_headers["Outcome"], keyed_headers["Retry-After"]) == (503, "not-run", "1")


@pytest.mark.parametrize(
    ("job_id", "outcome"),
    [
        *((job_id, "not-run") for job_id in ("x", "a.0", "a.9.abc", "b.0.abc", "a.0.", "a.-1.x")),
        ("a.0.missing", "unknown"),
    ],
)
async def test_unknown_job_ids_get_a_404(harness, job_id, outcome) -> None:
    """A caller requests a job whose record was deleted some time after the job ended.

    An invalid id was never run. The outcome of a valid but missing id is unknown.
    """
    for method, suffix in (("GET", ""), ("DELETE", ""), ("GET", "/explain")):
        status, headers, _ = await harness.request(method, f"/v1/jobs/{job_id}{suffix}")
        assert (status, headers["Outcome"]) == (404, outcome)


async def test_a_job_list_names_the_homes_that_did_not_answer(harness) -> None:
    """A key partition has no owner.

    The list contains the jobs of the other partitions and is marked as incomplete.
    """
    del harness.node.ownership.owners["key/a/1"]
    _, _, body = await harness.request("GET", "/v1/jobs?account=acme")
    doc = json.loads(body)
    assert (doc["complete"], doc["missing"]) == (False, ["key/a/1"])


@pytest.mark.parametrize(("path", "expected"), [("/v1/jobs", 200), ("/v1/jobs?account=x", 403)])
async def test_job_lists_require_a_known_account(harness, path, expected) -> None:
    status, _, _ = await harness.request("GET", path)
    assert status == expected
    status, _, body = await harness.request("GET", "/v1/jobs", account="")
    assert status == 400 and json.loads(body)["field"] == "account"
