from __future__ import annotations

import asyncio

import pytest

from rhubarbferry.core.partition import key_partition
from rhubarbferry.ports.entry_log import LogCorrupt, LogUnavailable
from rhubarbferry.rpc.codec import LENGTH, decode_reply, encode_reply
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.rpc.services import SCHEDULER
from rhubarbferry.scheduler.dispatch import NOT_OWNER_REPLIES, Dispatcher
from rhubarbferry.scheduler.lifecycle import Lifecycle
from rhubarbferry.scheduler.partition import Partition, Phase
from rhubarbferry.scheduler.web import OperatorPages
from tests.scheduler.fakes import FakeTenure, eventually, make_context

ONE, TWO = (key_partition(region="nan", number=number) for number in (1, 2))


class ScriptedPartition(Partition):
    """Fails the recovery of each new object with the next error scripted for its partition."""

    script: dict = {}
    created: list[ScriptedPartition] = []

    def __init__(self, *, tenure, ctx) -> None:
        super().__init__(tenure=tenure, ctx=ctx)
        self.closed = False
        ScriptedPartition.created.append(self)

    def handlers(self):
        return {"get_job": self.get_job}

    async def get_job(self, req):
        return t.JobReply(verdict=t.JobVerdict.FOUND, epoch=self.tenure.epoch)

    async def recover(self) -> None:
        faults = ScriptedPartition.script.get(self.tenure.partition, [])
        if faults:
            raise faults.pop(0)

    async def serve(self) -> None:
        self.phase = Phase.SERVING
        await asyncio.Event().wait()

    async def close(self) -> None:
        self.closed = True


@pytest.fixture
async def lifecycle():
    ctx = make_context()
    ScriptedPartition.script, ScriptedPartition.created = {}, []
    created = Lifecycle(create=lambda tenure: ScriptedPartition(tenure=tenure, ctx=ctx))
    yield created
    await created.close()


def phases(lifecycle: Lifecycle) -> dict[str, str]:
    return {line.partition: line.phase for line in lifecycle.status()}


async def test_a_corrupt_record_stops_only_its_own_partition(lifecycle) -> None:
    """A log record of one partition is corrupt.

    Its keys are refused and the status names the record; other partitions are not affected.
    """
    ScriptedPartition.script[ONE] = [LogCorrupt("log/key/nan/1/000000000007 is cut short")]
    await lifecycle.won(FakeTenure(partition=ONE))
    await lifecycle.won(FakeTenure(partition=TWO))
    await eventually(lambda: phases(lifecycle)[str(TWO)] == "serving")
    await eventually(lambda: "000000000007" in phases(lifecycle)[str(ONE)])
    assert len(ScriptedPartition.created) == 2


async def test_a_failed_recovery_is_retried_with_a_new_object(lifecycle) -> None:
    """The store is unavailable for a short time while a partition is taken over."""
    ScriptedPartition.script[ONE] = [LogUnavailable("down"), LogUnavailable("down")]
    await lifecycle.won(FakeTenure(partition=ONE))
    await eventually(lambda: phases(lifecycle)[str(ONE)] == "serving")
    assert [one.closed for one in ScriptedPartition.created] == [True, True, False]


async def test_a_failed_creation_is_retried_and_affects_no_other_partition() -> None:
    """A module of a partition kind can't be imported while its host is short of memory.

    If the error propagated, it would end the process with all of its partitions, and then each
    process that takes them over. Instead, the status names the cause and creation is retried.
    """
    ctx = make_context()
    ScriptedPartition.script, ScriptedPartition.created = {}, []
    faults = [MemoryError("no room"), ImportError("no module")]
    gate = asyncio.Event()

    def create(tenure: FakeTenure) -> ScriptedPartition:
        if tenure.partition == ONE and (faults or not gate.is_set()):
            raise faults.pop(0) if len(faults) > 1 else faults[0]
        return ScriptedPartition(tenure=tenure, ctx=ctx)

    lifecycle = Lifecycle(create=create)
    try:
        await lifecycle.won(FakeTenure(partition=ONE))
        await lifecycle.won(FakeTenure(partition=TWO))
        await eventually(lambda: phases(lifecycle)[str(TWO)] == "serving")
        await eventually(lambda: "ImportError: no module" in phases(lifecycle)[str(ONE)])
        assert lifecycle.find(ONE) is None and set(lifecycle.owned()) == {ONE, TWO}
        await lifecycle.drain(ONE)
        faults.clear()
        gate.set()
        await eventually(lambda: phases(lifecycle)[str(ONE)] == "serving")
    finally:
        await lifecycle.close()


async def test_the_creation_of_a_lost_partition_is_not_retried() -> None:
    tried: list[int] = []

    def create(tenure: FakeTenure) -> ScriptedPartition:
        tried.append(tenure.epoch)
        raise ValueError("broken")

    lifecycle = Lifecycle(create=create)
    await lifecycle.won(FakeTenure(partition=ONE, epoch=3))
    await eventually(lambda: len(tried) > 1)
    await lifecycle.lost(ONE, below=4)
    assert lifecycle.owned() == () and lifecycle.status() == []
    seen = len(tried)
    await asyncio.sleep(0)
    assert len(tried) == seen


async def test_a_late_loss_of_an_old_epoch_keeps_the_new_tenure(lifecycle) -> None:
    """A partition is lost and won again, and the loss is processed after the second win."""
    await lifecycle.won(FakeTenure(partition=ONE, epoch=3))
    await lifecycle.won(FakeTenure(partition=ONE, epoch=5))
    await lifecycle.lost(ONE, below=4)
    assert [one.closed for one in ScriptedPartition.created] == [True, False]
    assert lifecycle.find(ONE).tenure.epoch == 5
    await lifecycle.lost(ONE, below=6)
    assert lifecycle.find(ONE) is None


@pytest.mark.parametrize(
    ("partition", "epoch", "verdict", "answered"),
    [
        (str(ONE), 4, t.JobVerdict.FOUND, 4),
        (str(ONE), 1, t.JobVerdict.FOUND, 4),
        (str(ONE), 5, t.JobVerdict.NOT_OWNER, 5),
        (str(TWO), 4, t.JobVerdict.NOT_OWNER, 9),
        ("nonsense", 4, t.JobVerdict.NOT_OWNER, 0),
    ],
    ids=["same epoch", "stale caller", "later owner known", "owned elsewhere", "no partition"],
)
async def test_calls_are_routed_to_their_partition(
    lifecycle, partition, epoch, verdict, answered
) -> None:
    await lifecycle.won(FakeTenure(partition=ONE, epoch=4))
    dispatcher = Dispatcher(owned=lifecycle, latest_epoch=lambda id: 9 if id == TWO else 0)
    req = t.JobRequest(partition=partition, epoch=epoch, job_id="j")
    reply = await dispatcher.handlers()["get_job"](req)
    assert (reply.verdict, reply.epoch) == (verdict, answered)


def test_each_method_has_a_serializable_not_owner_reply() -> None:
    assert set(NOT_OWNER_REPLIES) == set(SCHEDULER.methods) - {"ping", "status"}
    for method, create in NOT_OWNER_REPLIES.items():
        frame = encode_reply(SCHEDULER.methods[method], 1, create(3))
        assert decode_reply(SCHEDULER, frame[LENGTH.size :]).value == create(3)


@pytest.mark.parametrize(
    ("request_line", "status"),
    [
        ("GET /healthz HTTP/1.1", b"200"),
        ("GET /readyz HTTP/1.1", b"503"),
        ("GET /metrics HTTP/1.1", b"200"),
        ("GET /other HTTP/1.1", b"404"),
        ("nonsense", b"400"),
    ],
)
async def test_operator_pages(request_line: str, status: bytes) -> None:
    pages = OperatorPages(ready=lambda: False)
    await pages.start("127.0.0.1", 0)
    host, port = pages.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{request_line}\r\n\r\n".encode())
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    await pages.close()
    assert answer.split(b" ")[1] == status
