"""The sealed log: group commit, fencing, lost replies, snapshots and corrupt records."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest
from gated_store import Delivery, GatedStore
from log_harness import (
    PARTITION,
    RETENTION_S,
    AutoAdvancingClock,
    entry,
    make_log,
    make_store,
    names,
)

from rhubarbferry.coordination.log import MAX_APPEND_BYTES, SealedLog
from rhubarbferry.coordination.log_codec import decode_segment, encode_segment
from rhubarbferry.core.log import LogKeys
from rhubarbferry.ports.entry_log import (
    LogCorrupt,
    LogFenced,
    LogTooLarge,
    LogUnavailable,
    LogUnclear,
)
from rhubarbferry.rpc.gen.ttypes import LogSegment
from rhubarbferry.test.memory_store import MemoryStore
from rhubarbferry.test.store_engine import Put
from rhubarbferry.test.store_faults import CallKind

KEYS = LogKeys(partition=PARTITION)
SEGMENT_BYTES = 400


async def opened(store: MemoryStore, epoch: int, **options: int) -> SealedLog:
    log = make_log(store, epoch=epoch, **options)
    await log.open()
    return log


async def replayed(store: MemoryStore, epoch: int) -> list[str]:
    return names(await make_log(store, epoch=epoch).open())


async def settle() -> None:
    for _ in range(50):
        await asyncio.sleep(0)


class SteppedLog:
    """A log whose store calls are continued one by one."""

    def __init__(self, memory: MemoryStore, epoch: int) -> None:
        self.store = GatedStore(memory=memory, in_transit=[])
        self.log = make_log(self.store, epoch=epoch, clock=memory.clock)

    async def step(self, delivery: Delivery = Delivery.ANSWER) -> None:
        assert self.store.pending, "no store call is pending"
        self.store.step(0, delivery)
        await settle()

    async def finish(self, task: asyncio.Task[object]) -> None:
        for _ in range(200):
            await settle()
            if task.done():
                return
            await self.step()
        raise AssertionError("the task does not finish")

    async def open(self) -> list[str]:
        task = asyncio.ensure_future(self.log.open())
        await self.finish(task)
        return names(task.result())

    def append(self, name: str) -> asyncio.Task[None]:
        return asyncio.ensure_future(self.log.append([entry(name)]))


async def test_concurrent_appends_share_a_write_and_keep_their_order() -> None:
    store = make_store()
    log = await opened(store, 1)
    before = store.counters.calls[CallKind.TXN]
    await asyncio.gather(*(log.append([entry(number)]) for number in range(100)))
    assert store.counters.calls[CallKind.TXN] == before + 1
    assert await replayed(store, 2) == [str(number) for number in range(100)]


async def test_a_large_batch_is_split_and_one_large_append_is_rejected() -> None:
    store = make_store()
    log = await opened(store, 1, segment_bytes=SEGMENT_BYTES)
    await asyncio.gather(*(log.append([entry("x" * 100)]) for _ in range(20)))
    values = [item.kv.value for item in store.engine.read("log/", "log0")]
    assert len(values) > 5
    assert max(map(len, values)) < SEGMENT_BYTES + 200
    with pytest.raises(LogTooLarge):
        await log.append([entry("x" * MAX_APPEND_BYTES)])
    await log.append([entry("small")])


async def test_a_full_queue_rejects_appends_immediately() -> None:
    """With a slow store, appends beyond the queue limit are rejected and not written."""
    store = make_store()
    log = await opened(store, 1, max_queued_appends=3)
    results = await asyncio.gather(
        *(log.append([entry(number)]) for number in range(5)), return_exceptions=True
    )
    assert [type(result) for result in results[3:]] == [LogUnavailable] * 2
    assert await replayed(store, 2) == ["0", "1", "2"]


async def test_an_append_refused_in_an_outage_is_never_written() -> None:
    """An append during an outage of the store is rejected; the next one succeeds."""
    store = make_store()
    log = await opened(store, 1)
    store.faults.down = True
    with pytest.raises(LogUnavailable):
        await log.append([entry("a")])
    store.faults.down = False
    await log.append([entry("b")])
    assert await replayed(store, 2) == ["b"]


async def test_a_lost_reply_is_read_back_and_the_append_counts_once() -> None:
    """A write takes effect, but its reply is lost; the caller receives a success."""
    store = make_store()
    log = await opened(store, 1)
    store.faults.lose_replies = 1
    await log.append([entry("a")])
    await log.append([entry("b")])
    assert await replayed(store, 2) == ["a", "b"]


async def test_an_unclear_append_is_resolved_before_later_ones() -> None:
    """The reply to a write is lost and the store becomes unavailable.

    The caller receives LogUnclear and later appends are rejected. Once the store is available
    again, the unclear entry is written before later ones.
    """
    memory = make_store()
    stepped = SteppedLog(memory, 1)
    await stepped.open()
    task = stepped.append("a")
    await settle()
    await stepped.step(Delivery.DELAY)
    for _ in range(40):
        if task.done():
            break
        await stepped.step(Delivery.LOSE_CALL)
    with pytest.raises(LogUnclear):
        await task
    with pytest.raises(LogUnavailable):
        await stepped.log.append([entry("b")])
    for _ in range(10):
        if not stepped.store.pending:
            break
        await stepped.step()
    await stepped.finish(stepped.append("c"))
    await stepped.log.close()
    assert await replayed(memory, 2) == ["a", "c"]


async def test_a_paused_owner_finds_the_seal_and_appends_nothing() -> None:
    """An owner pauses, a successor takes over, and the first owner resumes.

    Its callers receive LogFenced, and the successor has read all committed entries.
    """
    store = make_store()
    old = await opened(store, 1)
    await old.append([entry("a")])
    new = make_log(store, epoch=2)
    assert names(await new.open()) == ["a"]
    results = await asyncio.gather(
        *(old.append([entry("late")]) for _ in range(3)), return_exceptions=True
    )
    assert [type(result) for result in results] == [LogFenced] * 3
    with pytest.raises(LogFenced):
        await old.append([entry("later")])
    await new.append([entry("b")])
    assert await replayed(store, 3) == ["a", "b"]


async def test_an_old_epoch_cannot_open_a_log() -> None:
    """A process learns too late that it had become the owner; it must not take the log back."""
    store = make_store()
    await opened(store, 2)
    with pytest.raises(LogFenced):
        await make_log(store, epoch=1).open()


async def test_an_append_on_a_freed_number_is_not_acknowledged() -> None:
    """An owner pauses for a long time right before a write.

    Its successor compacts the log and deletes the seal, so the write succeeds at a number that is
    never read. The caller must not receive a success.
    """
    memory = make_store()
    stepped = SteppedLog(memory, 1)
    await stepped.open()
    task = stepped.append("lost")
    await settle()
    new = await opened(memory, 2)
    memory.clock.now += RETENTION_S + 1
    await new.compact([entry("kept")])
    assert memory.engine.get(KEYS.segment(2)) is None
    await stepped.finish(task)
    with pytest.raises(LogUnclear):
        await task
    with pytest.raises(LogFenced):
        await stepped.log.append([entry("more")])
    assert await replayed(memory, 3) == ["kept"]


async def test_a_new_owner_keeps_its_seal_for_the_retention_period() -> None:
    """A successor compacts right after its takeover.

    The previous owner is about to write without checking the head again. The seal must still exist
    to reject this write.
    """
    store = make_store()
    old = await opened(store, 1)
    new = await opened(store, 2)
    await new.compact([entry("kept")])
    with pytest.raises(LogFenced):
        await old.append([entry("lost")])
    assert await replayed(store, 3) == ["kept"]


async def test_an_owner_whose_log_is_compacted_while_it_opens_is_fenced() -> None:
    """Two processes open the log; the later one compacts it between two reads of the earlier one.

    The earlier one must not find an empty log and continue with it.
    """
    memory = make_store()
    first = await opened(memory, 1)
    await first.append([entry("a")])
    stepped = SteppedLog(memory, 2)
    task = asyncio.ensure_future(stepped.log.open())
    await settle()
    await stepped.step()
    await stepped.step()
    new = await opened(memory, 3)
    memory.clock.now += RETENTION_S + 1
    await new.compact([entry("a")])
    await stepped.finish(task)
    with pytest.raises(LogFenced):
        await task
    assert await replayed(memory, 4) == ["a"]


async def test_a_fenced_owner_cannot_activate_its_snapshot() -> None:
    """An owner whose state holds an entry that was never committed pauses during a compaction.

    The successor opens the log without the entry, which must not appear later.
    """
    memory = make_store()
    stepped = SteppedLog(memory, 1)
    await stepped.open()
    task = asyncio.ensure_future(stepped.log.compact([entry("never recorded")]))
    await settle()
    await stepped.step()
    assert await replayed(memory, 2) == []
    await stepped.finish(task)
    with pytest.raises(LogFenced):
        await task
    assert await replayed(memory, 3) == []


async def test_a_snapshot_does_not_cover_an_entry_that_is_not_applied() -> None:
    """A task compacts the log after an entry is committed and before its caller applies it.

    The entry must not be lost by the compaction.
    """
    store = make_store()
    log = await opened(store, 1)
    state: list[str] = []

    async def append() -> None:
        await log.append([entry("a")])
        state.append("a")

    task = asyncio.ensure_future(append())
    for _ in range(50):
        if store.engine.get(KEYS.segment(2)):
            break
        await asyncio.sleep(0)
    assert state == []
    await log.compact([entry(name) for name in state])
    await task
    assert await replayed(store, 2) == ["a"]


async def test_compaction_keeps_the_log_short_and_deletes_what_is_covered() -> None:
    store = make_store()
    log = await opened(store, 1, segment_bytes=SEGMENT_BYTES)
    store.clock.now += RETENTION_S + 1
    for number in range(25):
        await log.append([entry(number)])
    assert log.size() == 26
    kept = [f"k{number}" for number in range(200)]
    await log.compact([entry(name) for name in kept])
    await log.compact([entry(name) for name in kept])
    assert log.size() == 0
    assert not store.engine.read("log/", "log0")
    await log.append([entry("after")])
    await log.compact([entry(name) for name in [*kept, "after"]])
    assert len({item.kv.key.split("/")[4] for item in store.engine.read("snap/", "snap0")}) == 2
    assert await replayed(store, 2) == [*kept, "after"]


@pytest.mark.parametrize("crash_after", range(0, 40, 3))
async def test_a_crash_within_a_compaction_leaves_a_consistent_log(crash_after: int) -> None:
    """A process dies after any call of a compaction; the successor reads all entries."""
    memory = make_store()
    stepped = SteppedLog(memory, 1)
    await stepped.open()
    memory.clock.now += RETENTION_S + 1
    kept = ["a", "b"]
    for name in kept:
        await stepped.finish(stepped.append(name))
    task = asyncio.ensure_future(stepped.log.compact(entry(name) for name in kept))
    await settle()
    for _ in range(crash_after):
        if stepped.store.pending:
            stepped.store.step(0, Delivery.EFFECT_ONLY)
            await stepped.step()
    task.cancel()
    await settle()
    assert await replayed(memory, 2) == kept


def _truncated(value: bytes) -> bytes:
    return value[:-3]


def _bit_flipped(value: bytes) -> bytes:
    return value[:20] + bytes([value[20] ^ 1]) + value[21:]


def _emptied(_value: bytes) -> bytes:
    return b""


def _wrong_format(_value: bytes) -> bytes:
    return b'{"json": 1}'


def _copied_from_other_key(_value: bytes) -> bytes:
    segment = LogSegment(epoch=1, writer_id="w", write_id="1", seal=False, entries=[])
    return encode_segment("log/elsewhere/000000000001", segment)


CORRUPTIONS = [_truncated, _bit_flipped, _emptied, _wrong_format, _copied_from_other_key]


def _overwrite(store: MemoryStore, key: str, change: Callable[[bytes], bytes]) -> None:
    item = store.engine.get(key)
    assert item is not None
    store.engine.txn((), (Put(key=key, value=change(item.kv.value)),))


def _key_of(store: MemoryStore, kind: str) -> str:
    if kind == "chunk":
        return next(
            item.kv.key
            for item in store.engine.read("snap/", "snap0")
            if not item.kv.key.endswith("head")
        )
    return KEYS.head if kind == "head" else KEYS.segment(3)


@pytest.mark.parametrize("kind", ["segment", "chunk", "head"])
@pytest.mark.parametrize("change", CORRUPTIONS)
async def test_the_error_for_a_corrupt_record_names_its_key(
    kind: str, change: Callable[[bytes], bytes]
) -> None:
    """A record is edited manually or truncated.

    The error names its key, nothing after it is read, and the logs of other partitions stay
    available.
    """
    store = make_store()
    log = await opened(store, 1)
    await log.append([entry("a")])
    await log.compact([entry("a")])
    await log.append([entry("b")])
    key = _key_of(store, kind)
    _overwrite(store, key, change)
    with pytest.raises(LogCorrupt) as caught:
        await make_log(store, epoch=2).open()
    assert key in str(caught.value)
    other = SealedLog(
        store=store, partition="key/north/1", epoch=1, writer_id="w", clock=store.clock
    )
    assert await other.open() == []


@pytest.mark.parametrize("kind", ["segment", "chunk"])
async def test_the_error_for_a_missing_record_names_its_key(kind: str) -> None:
    """A record is deleted manually; the gap must be reported instead of being skipped."""
    store = make_store()
    log = await opened(store, 1)
    await log.append([entry("a")])
    await log.compact([entry("a")])
    await log.append([entry("b")])
    await log.append([entry("c")])
    key = _key_of(store, kind)
    await store.delete_range(key, key + "\x00")
    with pytest.raises(LogCorrupt) as caught:
        await make_log(store, epoch=2).open()
    assert key in str(caught.value)


async def test_a_record_of_a_fenced_epoch_behind_a_later_one_is_corrupt() -> None:
    """Only a fault of the store lets a fenced owner write after a seal; the record is rejected."""
    store = make_store()
    await opened(store, 5)
    key = KEYS.segment(2)
    segment = LogSegment(epoch=4, writer_id="w", write_id="1", seal=False, entries=[entry("x")])
    await store.create(key, encode_segment(key, segment))
    with pytest.raises(LogCorrupt) as caught:
        await make_log(store, epoch=6).open()
    assert key in str(caught.value)


async def test_reads_from_a_lagging_store_are_rejected() -> None:
    """After an outage the store returns outdated reads; the log opens once it has caught up."""
    store = make_store()
    log = await opened(store, 1)
    for number in range(3):
        await log.append([entry(number)])
    store.faults.stale_revisions = 2
    new = make_log(store, epoch=2)
    with pytest.raises(LogUnavailable):
        await new.open()
    store.faults.stale_revisions = 0
    assert names(await new.open()) == ["0", "1", "2"]


async def test_writes_keep_their_minimum_interval() -> None:
    clock = AutoAdvancingClock()
    store = make_store(clock=clock)
    log = await opened(store, 1, min_write_interval_s=1)
    started_at = clock.now
    for number in range(4):
        await log.append([entry(number)])
    assert clock.now - started_at == pytest.approx(3.0)


async def test_a_closed_log_rejects_appends() -> None:
    store = make_store()
    log = await opened(store, 1)
    await log.close()
    with pytest.raises(LogUnavailable):
        await log.append([entry("a")])


def test_a_segment_reads_back_as_it_was_written() -> None:
    segment = LogSegment(
        epoch=3, writer_id="w", write_id="1", seal=False, entries=[entry("a"), entry("b")]
    )
    assert decode_segment("k", encode_segment("k", segment)) == segment
