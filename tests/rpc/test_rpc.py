from __future__ import annotations

import asyncio

import pytest

from rhubarbferry.rpc import CallTimeout, CallUnclear, Pool, Server, Timing
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.rpc.services import SCHEDULER

FAST_TIMING = Timing(connect_s=1.0, heartbeat_s=0.05, silence_s=0.2)
TEST_TIMEOUT_S = 5.0


async def ping(req: t.PingRequest) -> t.PingReply:
    return t.PingReply(member_id="m")


async def start_server(**handlers) -> Server:
    server = Server(service=SCHEDULER, handlers={"ping": ping, **handlers})
    await server.start("127.0.0.1", 0)
    return server


def grant_request(request_id: str) -> t.GrantRequest:
    return t.GrantRequest(
        partition="runner/a/s",
        epoch=1,
        request_id=request_id,
        frontend_id="f",
        account="x",
        priority=t.Priority.NORMAL,
        remaining_ms=100,
        idempotent=True,
    )


async def test_each_call_gets_its_own_reply_in_any_order() -> None:
    async def grant(req: t.GrantRequest) -> t.GrantReply:
        await asyncio.sleep(0.02 if req.request_id == "1" else 0)
        return t.GrantReply(verdict=t.GrantVerdict.REFUSED, epoch=1, reason=req.request_id)

    server = await start_server(grant=grant)
    pool = Pool(service=SCHEDULER)
    try:
        replies = await asyncio.gather(
            *(
                pool.call(server.address, "grant", grant_request(str(i)), timeout_s=TEST_TIMEOUT_S)
                for i in range(50)
            )
        )
        assert [reply.reason for reply in replies] == [str(i) for i in range(50)]
    finally:
        await pool.close()
        await server.close()


async def test_a_late_reply_is_not_matched_to_another_call() -> None:
    """A peer replies after its caller has timed out.

    Without correlation the next caller would receive the reply to another request.
    """
    release = asyncio.Event()

    async def grant(req: t.GrantRequest) -> t.GrantReply:
        if req.request_id == "slow":
            await release.wait()
        return t.GrantReply(verdict=t.GrantVerdict.REFUSED, epoch=1, reason=req.request_id)

    server = await start_server(grant=grant)
    pool = Pool(service=SCHEDULER)
    try:
        with pytest.raises(CallTimeout):
            await pool.call(server.address, "grant", grant_request("slow"), timeout_s=0.05)
        release.set()
        reply = await pool.call(
            server.address, "grant", grant_request("next"), timeout_s=TEST_TIMEOUT_S
        )
        assert reply.reason == "next"
    finally:
        await pool.close()
        await server.close()


async def test_a_silent_connection_is_detected_and_replaced() -> None:
    """A middlebox drops the state of a connection: bytes are lost without an error.

    A call would wait until its deadline although a new connection works.
    """
    accepted: list[asyncio.StreamWriter] = []

    async def discard(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.append(writer)
        while await reader.read(65536):
            pass

    black_hole = await asyncio.start_server(discard, "127.0.0.1", 0)
    address = f"127.0.0.1:{black_hole.sockets[0].getsockname()[1]}"
    pool = Pool(service=SCHEDULER, timing=FAST_TIMING)
    try:
        with pytest.raises(CallUnclear):
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await pool.call(address, "ping", t.PingRequest(), timeout_s=TEST_TIMEOUT_S * 2)
        with pytest.raises(CallUnclear):
            await pool.call(address, "ping", t.PingRequest(), timeout_s=0.05)
        assert len(accepted) == 2
    finally:
        await pool.close()
        black_hole.close()


@pytest.mark.parametrize(
    "payload",
    [b"", b"\x00", b"\xff" * 40, b"\x80\x01\x00\x01\x00\x00\x00\x04nope\x00\x00\x00\x01\x00"],
)
async def test_a_malformed_frame_closes_only_its_connection(payload: bytes) -> None:
    server = await start_server()
    pool = Pool(service=SCHEDULER)
    host, port = server.address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(len(payload).to_bytes(4, "big") + payload)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            try:
                assert await reader.read() == b""
            except ConnectionResetError:
                pass
        writer.close()
        reply = await pool.call(server.address, "ping", t.PingRequest(), timeout_s=TEST_TIMEOUT_S)
        assert reply.member_id == "m"
    finally:
        await pool.close()
        await server.close()
