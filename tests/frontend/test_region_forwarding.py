from __future__ import annotations

import asyncio

import aiohttp
import pytest
from frontend_harness import PARTITION, wait_until
from test_forward import answer_head

from rhubarbferry.frontend import metrics
from rhubarbferry.ports.ownership import Member, Role


def member(id: str, address: str) -> Member:
    return Member(
        id=id,
        role=Role.FRONTEND,
        address="",
        http_address=address,
        region="a",
        failure_domain="x",
    )


@pytest.fixture
async def regions(make_harness):
    """Return two frontends: one in a region without runners, one in the region with the runners."""
    local, remote = await make_harness(region="b"), await make_harness()
    local.node.ownership.owners[PARTITION] = remote.node.ownership.owners[PARTITION]
    local.node.ownership.frontends.append(member("there", remote.address))
    return local, remote


async def test_requests_reach_other_regions_through_their_frontends(regions) -> None:
    local, remote = regions
    runner = await remote.add_runner()
    before = metrics.REGION_BYTES.labels("out", "a")._value.get()
    status, headers, body = await local.request("POST", body=b"x" * 1000, Idempotency_Key="k")
    assert (status, headers["Outcome"]) == (200, "done")
    assert answer_head(body)["request_id"] == headers["Request-Id"]
    assert headers.getall("Idempotency-Key") == ["k"]
    assert runner.counts.executions == 1 and runner.record[0].key == "k"
    assert runner.record[0].path == "/work"
    assert len(remote.scheduler.called("grant")) == 1 and local.scheduler.calls == []
    assert metrics.REGION_BYTES.labels("out", "a")._value.get() == before + 1000
    repeated = await local.request("POST", body=b"x" * 1000, Idempotency_Key="k")
    assert repeated[2] == body and runner.counts.executions == 1
    assert repeated[1].getall("Request-Id") == headers.getall("Request-Id")
    assert "Recorded-Request-Id" not in repeated[1]


async def test_a_non_idempotent_request_gets_its_key_before_forwarding(regions) -> None:
    local, remote = regions
    runner = await remote.add_runner()
    _, headers, _ = await local.request("POST", Answer_Bytes="200000")
    assert headers["Idempotency-Key"] == runner.record[0].key != ""


async def test_problems_are_returned_unchanged(regions) -> None:
    local, remote = regions
    runner = await remote.add_runner()
    runner.set_faults(hang_up=True)
    status, headers, _ = await local.request("POST", Idempotency_Key="k")
    assert (status, headers["Outcome"]) == (502, "unknown")
    status, headers, _ = await local.request("POST", Idempotency_Key="k")
    assert (status, headers["Outcome"]) == (409, "unknown")


async def test_unreachable_frontends_are_skipped(regions) -> None:
    local, remote = regions
    await remote.add_runner()
    for port in range(1, 4):
        local.node.ownership.frontends.append(member(f"dead{port}", f"127.0.0.1:{port}"))
    for _ in range(3):
        status, headers, _ = await local.request("POST")
        assert (status, headers["Outcome"]) == (200, "done")


async def test_a_request_is_forwarded_at_most_once(regions) -> None:
    """The ownership tables of two regions differ, and each region selects the other.

    The request is refused at once instead of being forwarded back and forth.
    """
    local, remote = regions
    del remote.node.ownership.owners[PARTITION]
    remote.node.ownership.owners["runner/b/s"] = ("127.0.0.1:1", 1)
    remote.node.ownership.frontends.append(
        Member(
            id="here",
            role=Role.FRONTEND,
            address="",
            http_address=local.address,
            region="b",
            failure_domain="x",
        )
    )
    status, headers, _ = await local.request("GET")
    assert (status, headers["Outcome"]) == (503, "not-run")


@pytest.mark.parametrize("answer", [{"Answer_Bytes": "500000"}, {"Answer_Chunked": "true"}])
async def test_a_truncated_answer_stays_truncated(regions, answer) -> None:
    """A runner in another region breaks off a long answer.

    Both frontends must pass the truncation on, so that the caller detects it.
    """
    local, remote = regions
    runner = await remote.add_runner()
    runner.set_faults(truncate=True)
    with pytest.raises(aiohttp.ClientPayloadError):
        await local.request("GET", **answer)


async def test_a_long_remote_request_is_not_treated_as_silent(regions) -> None:
    local, remote = regions
    await remote.add_runner()
    status, headers, _ = await local.request("GET", Work_Ms="1200")
    assert (status, headers["Outcome"]) == (200, "done")


async def test_a_disconnected_caller_leaves_the_remote_queue(regions) -> None:
    """A caller disconnects while its request waits in the queue of another region.

    The request is removed from that queue.
    """
    local, remote = regions
    grant_allowed = asyncio.Event()

    async def wait(req) -> None:
        await grant_allowed.wait()

    remote.scheduler.overrides["grant"] = wait
    request = asyncio.create_task(local.request("GET"))
    await wait_until(lambda: remote.scheduler.called("grant"))
    request.cancel()
    await wait_until(lambda: remote.scheduler.called("abandon"))
    grant_allowed.set()
