from __future__ import annotations

from rhubarbferry.core.cell import Size
from rhubarbferry.core.fairshare import FairShare
from rhubarbferry.core.job_queue import JobQueue, Room
from rhubarbferry.core.jobs import Job, JobSpec
from rhubarbferry.core.placement import Spread
from rhubarbferry.core.worker_ledger import DEDICATED_WORKER_TTL_S, Attempt, End, WorkerLedger

WORKER = Size(millicores=8, memory_bytes=8)
PACK = Spread.PACK


def attempt(job_id: str, millicores: int, number: int = 0) -> Attempt:
    return Attempt(
        task_id=f"{job_id}/{number}/1.1",
        attempt=1,
        job_id=job_id,
        home="key/north/0",
        account="a",
        size=Size(millicores=millicores, memory_bytes=1),
        kind=0,
    )


def ledger(*workers: str) -> WorkerLedger:
    rack = WorkerLedger(lease_s=6.0, margin_s=0.3)
    for worker in workers:
        rack.add_worker(worker, failure_domain="d", unadopted_until=0.0)
        rack.adopt(worker, capacity=WORKER, reported=[], now=0.0)
    return rack


def test_a_large_task_is_not_starved_by_small_ones() -> None:
    """Small tasks use all capacity that becomes free, so no worker is ever entirely free.

    Without a dedicated worker, a large task waits for as long as small tasks arrive.
    """
    rack = ledger("w1")
    running = [attempt("small", 1, number) for number in range(8)]
    for small in running:
        assert rack.place(small, spread=PACK, now=0.0)
    large = attempt("large", 8)
    for step in range(8):
        assert rack.place(large, spread=PACK, now=float(step)) is None
        assert rack.dedicate_worker(large, waited_s=10.0, now=float(step))
        rack.end(running[step].task_id, End.DONE)
        assert rack.place(attempt("small", 1, 100 + step), spread=PACK, now=float(step)) is None
    assert rack.place(large, spread=PACK, now=8.0).worker == "w1"


def test_one_worker_is_dedicated_and_released_unless_renewed() -> None:
    rack = ledger("w1", "w2")
    for number in range(2):
        assert rack.place(attempt("small", 5, number), spread=PACK, now=0.0)
    assert rack.dedicate_worker(attempt("large", 8), waited_s=10.0, now=0.0)
    assert not rack.dedicate_worker(attempt("other", 8), waited_s=5.0, now=0.0)
    placed = [rack.place(attempt("s", 1, number), spread=PACK, now=0.0) for number in range(4)]
    assert len({held.worker for held in placed if held is not None}) == 1
    assert placed[3] is None
    rack.expire(DEDICATED_WORKER_TTL_S)
    assert rack.place(attempt("s", 1, 9), spread=PACK, now=DEDICATED_WORKER_TTL_S) is not None


def test_a_job_requests_capacity_only_after_being_skipped_for_long() -> None:
    queue = JobQueue(other_region_after_s=1.0, patience_s=5.0)
    share = FairShare(half_life_s=600.0)
    share.set_total(WORKER)
    for since, (id, account, millicores, tasks) in enumerate(
        [("large", "a", 8, 1), ("small", "b", 1, 100)]
    ):
        job_spec = JobSpec(
            account=account, size=Size(millicores=millicores, memory_bytes=1), tasks=tasks
        )
        queue.put(Job(id=id, spec=job_spec, accepted_at=0, since=since, max_attempts=3))

    def pick(now: float, free: int) -> list[str]:
        size = Size(millicores=free, memory_bytes=8)
        room = Room(
            partition="worker/r/1", region="r", free=size, largest=size, largest_worker=WORKER
        )
        picked = queue.pick(room, share=share, limit=9, now=now, epoch=1, home_epoch=1)
        return [item.job.id for item in picked]

    assert pick(100.0, 0) == []
    assert pick(110.0, 1) == ["small"]
    assert pick(114.0, 1) == ["small"]
    assert pick(115.0, 1) == ["large"]
