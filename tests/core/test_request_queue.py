from __future__ import annotations

import heapq
import random
import time
from collections import Counter

import pytest
from attrs import Factory, define
from returns.result import Failure, Success

from rhubarbferry.core.cell import PriorityClass
from rhubarbferry.core.limits import DelayedLimit, LimitPart, TokenBucket
from rhubarbferry.core.refusals import RefusalReason
from rhubarbferry.core.request_queue import (
    QueueRules,
    RequestQueue,
    ServiceTimes,
    Terms,
    Waiting,
)

URGENT, NORMAL, BATCH = PriorityClass


def queue(*, rules: QueueRules | None = None, mean_s: float = 0.0, **terms: Terms) -> RequestQueue:
    pending = RequestQueue(
        rules=rules or QueueRules(), times=ServiceTimes(mean_s=mean_s, seen=1 if mean_s else 0)
    )
    pending.configure(terms or {"a": Terms()})
    return pending


def waiting(id: str, **changes) -> Waiting:
    values = {
        "request_id": id,
        "frontend_id": "f",
        "account": "a",
        "priority": NORMAL,
        "deadline": 100.0,
        "enqueued_at": 0.0,
    }
    return Waiting(**{**values, **changes})


def offer(pending: RequestQueue, item: Waiting, *, now: float = 0.0, slots: int = 1, free: int = 0):
    return pending.offer(item, now=now, slots=slots, free=free)


def serve_all(pending: RequestQueue, *, now: float = 0.0) -> list[str]:
    order = []
    while (first := next(pending.candidates(now=now), None)) is not None:
        pending.start(first)
        pending.finish(first.account, charged_s=pending.times.mean_s, used_s=1.0)
        order.append(first.request_id)
    return order


def test_order_is_priority_then_share_then_deadline() -> None:
    pending = queue(a=Terms(share=1), b=Terms(share=2))
    for item in (
        waiting("batch", priority=BATCH, account="b"),
        waiting("late", deadline=50),
        waiting("soon", deadline=40),
        waiting("urgent", priority=URGENT),
        waiting("b1", account="b", deadline=90),
        waiting("b2", account="b", deadline=91),
    ):
        offer(pending, item)
    # "urgent" charged account a, so b is served until it has used twice as much.
    assert serve_all(pending) == ["urgent", "b1", "b2", "soon", "late", "batch"]


def test_slot_time_is_proportional_to_shares_for_any_request_duration() -> None:
    pending = queue(a=Terms(share=1), b=Terms(share=3))
    cost = {"a": 4.0, "b": 1.0}
    used: Counter[str] = Counter()
    for number in range(800):
        offer(pending, waiting(f"a{number}", account="a"))
        offer(pending, waiting(f"b{number}", account="b"))
    for _ in range(700):
        first = next(pending.candidates(now=0.0))
        charged = pending.start(first)
        pending.finish(first.account, charged_s=charged, used_s=cost[first.account])
        used[first.account] += cost[first.account]
    assert used["b"] / used["a"] == pytest.approx(3.0, rel=0.05)


def test_an_idle_account_gets_no_credit() -> None:
    """An account that was idle must share the slots instead of occupying all of them."""
    pending = queue(a=Terms(), b=Terms())
    for number in range(100):
        offer(pending, waiting(f"a{number}"))
    for _ in range(50):
        first = next(pending.candidates(now=0.0))
        pending.finish("a", charged_s=pending.start(first), used_s=1.0)
    for number in range(50):
        offer(pending, waiting(f"b{number}", account="b"))
    assert 18 <= Counter(id[0] for id in serve_all(pending)[:40])["b"] <= 22


def test_waiting_batch_requests_are_not_starved_by_urgent_ones() -> None:
    """Under continuous urgent load, waiting batch requests get one of ``aged_every`` grants."""
    pending = queue(rules=QueueRules(aging_s=5.0, aged_every=8))
    for number in range(100):
        offer(pending, waiting(f"u{number}", priority=URGENT))
        offer(pending, waiting(f"b{number}", priority=BATCH))
    assert "b" not in {id[0] for id in serve_turns(pending, 80, now=1.0)}
    pending = queue(rules=QueueRules(aging_s=5.0, aged_every=8))
    for number in range(100):
        offer(pending, waiting(f"u{number}", priority=URGENT))
        offer(pending, waiting(f"b{number}", priority=BATCH))
    assert Counter(id[0] for id in serve_turns(pending, 80, now=6.0)) == {"u": 70, "b": 10}


def serve_turns(pending: RequestQueue, turns: int, *, now: float) -> list[str]:
    order = []
    for _ in range(turns):
        first = next(pending.candidates(now=now))
        pending.start(first)
        order.append(first.request_id)
    return order


@pytest.mark.parametrize(
    ("terms", "rules", "before", "item", "reason"),
    [
        (Terms(), None, 0, {"account": "x"}, RefusalReason.UNKNOWN_ACCOUNT),
        (Terms(max_waiting=2), None, 2, {}, RefusalReason.ACCOUNT_QUEUE_FULL),
        (Terms(), QueueRules(max_waiting=3), 3, {}, RefusalReason.QUEUE_FULL),
        (Terms(rate_per_s=1.0), None, 1, {}, RefusalReason.RATE),
        (Terms(max_concurrency=0), None, 0, {}, RefusalReason.NO_SHARE_OF_LIMIT),
        (Terms(), None, 10, {"deadline": 5.0}, RefusalReason.TOO_LATE),
        (Terms(), None, 0, {"deadline": 0.0}, RefusalReason.TOO_LATE),
    ],
)
def test_a_request_that_cannot_be_queued_is_refused_on_arrival(
    terms, rules, before, item, reason
) -> None:
    pending = queue(rules=rules, mean_s=1.0, a=terms)
    for number in range(before):
        offer(pending, waiting(f"w{number}"))
    match offer(pending, waiting("last", **item)):
        case Failure(refusal):
            assert refusal.reason is reason
            assert refusal.retry_after_s > 0
        case Success(_):
            pytest.fail("admitted")
    assert len(pending) == before


def test_urgent_work_displaces_the_newest_batch_request_of_a_full_queue() -> None:
    pending = queue(rules=QueueRules(max_waiting=2))
    offer(pending, waiting("b1", priority=BATCH))
    offer(pending, waiting("b2", priority=BATCH))
    admitted = offer(pending, waiting("u", priority=URGENT)).unwrap()
    assert admitted.displaced.request_id == "b2"
    assert serve_all(pending) == ["u", "b1"]


def test_an_account_at_its_concurrency_limit_does_not_block_others() -> None:
    pending = queue(a=Terms(max_concurrency=1), b=Terms())
    for item in (waiting("a1"), waiting("a2"), waiting("b1", account="b")):
        offer(pending, item)
    charged = pending.start(next(pending.candidates(now=0.0)))
    assert [item.request_id for item in pending.candidates(now=0.0)] == ["b1"]
    pending.finish("a", charged_s=charged, used_s=1.0)
    assert {item.request_id for item in pending.candidates(now=0.0)} == {"a2", "b1"}


def test_requests_that_can_no_longer_finish_are_removed() -> None:
    pending = queue(mean_s=1.0)
    offer(pending, waiting("a1", deadline=3.0), free=1)
    assert pending.next_expiry() == 2.0
    assert pending.expire(now=2.0) == ()
    assert [item.request_id for item in pending.expire(now=2.1)] == ["a1"]
    assert len(pending) == 0


def test_cost_per_operation_grows_slower_than_the_queue() -> None:
    """Ten times as many waiting requests must cost less than six times as much."""

    def cost_s(size: int) -> float:
        accounts = {f"t{number}": Terms(max_waiting=size) for number in range(20)}
        pending = queue(rules=QueueRules(max_waiting=size + 100), **accounts)
        rng = random.Random(7)
        for number in range(size):
            name, when = f"t{number % 20}", 100 + rng.random()
            offer(pending, waiting(f"w{number}", account=name, deadline=when))
        began = time.process_time()
        for number in range(1000):
            offer(pending, waiting(f"n{number}", account="t1"))
            pending.start(next(pending.candidates(now=0.0)))
            pending.abandon(f"w{number * (size // 1000)}")
        return time.process_time() - began

    assert min(cost_s(10_000) for _ in range(2)) < 6 * min(cost_s(1000) for _ in range(2))


# ---------------------------------------------------------------- limits


@pytest.mark.parametrize("limit", [1, 2, 7, 100])
@pytest.mark.parametrize("count", [1, 3, 8])
def test_the_parts_of_a_limit_add_up_to_it(limit: int, count: int) -> None:
    parts = [LimitPart(index=index, count=count) for index in range(count)]
    assert sum(part.whole(limit) for part in parts) == limit
    assert sum(part.rate(limit) for part in parts) == pytest.approx(limit)


def test_a_limit_decreases_immediately_and_increases_with_a_delay() -> None:
    """Partitions receive a change at different times and together must not exceed the limit."""
    limit = DelayedLimit(rise_s=10.0)
    seen = [(10, 0), (4, 1), (8, 2), (8, 11), (8, 12), (2, 13), (None, 14), (None, 24)]
    assert [limit.update(value, now=now) for value, now in seen] == [10, 4, 4, 4, 8, 2, 2, None]


def test_a_token_bucket_enforces_its_rate() -> None:
    bucket = TokenBucket(rate_per_s=5.0)
    taken = sum(bucket.take(now=step / 100) == 0.0 for step in range(1000))
    assert 5 * 10 <= taken <= 5 * 11


# ---------------------------------------------------------------- overload


@define(kw_only=True)
class Load:
    """Simulate the requests of one service in a queue.

    The slot time of a request that does not finish before its deadline is wasted.
    """

    factor: float
    slots: int = 16
    seconds: float = 40.0
    timeout_s: float = 10.0
    useful_s: float = 0.0
    urgent_waits: list[float] = Factory(list)
    deepest: int = 0
    refused: int = 0

    def run(self) -> Load:
        rng = random.Random(11)
        pending = queue(rules=QueueRules(max_waiting=500), a=Terms(share=1), b=Terms(share=2))
        mean_s, urgent_part = 0.25, 0.2 / self.factor
        rate = self.factor * self.slots / mean_s
        now, number, free = 0.0, 0, self.slots
        ends: list[tuple[float, int, str, float, float, bool]] = []
        arrival = rng.expovariate(rate)
        while now < self.seconds:
            if ends and ends[0][0] <= arrival:
                now, _, account, charged, began, in_time = heapq.heappop(ends)
                free += 1
                pending.times.add(now - began)
                pending.finish(account, charged_s=charged, used_s=now - began)
                if in_time:
                    self.useful_s += now - began
            else:
                now = arrival
                arrival = now + rng.expovariate(rate)
                number += 1
                item = waiting(
                    f"q{number}",
                    account=rng.choice("ab"),
                    priority=URGENT if rng.random() < urgent_part else NORMAL,
                    deadline=now + self.timeout_s,
                    enqueued_at=now,
                )
                admitted = pending.offer(item, now=now, slots=self.slots, free=free)
                self.refused += isinstance(admitted, Failure)
            self.deepest = max(self.deepest, len(pending))
            pending.expire(now=now)
            while free and (first := next(pending.candidates(now=now), None)) is not None:
                charged = pending.start(first)
                free -= 1
                if first.priority is URGENT:
                    self.urgent_waits.append(now - first.enqueued_at)
                end_at = now + rng.expovariate(1 / mean_s)
                in_time, end_at = end_at <= first.deadline, min(end_at, first.deadline)
                number += 1
                end = (end_at, number, first.account, charged, now, in_time)
                heapq.heappush(ends, end)
        return self

    def busy(self) -> float:
        return self.useful_s / (self.slots * self.seconds)


@pytest.mark.parametrize("timeout_s", [10.0, 1.0])
@pytest.mark.parametrize("factor", [2.0, 10.0])
def test_overload_reduces_no_useful_work_and_delays_no_urgent_requests(factor, timeout_s) -> None:
    """Callers send two or ten times as many requests as the runners can serve.

    Without early refusal, every request would wait until it can no longer finish before its
    deadline, and all slots would be busy with requests that time out.
    """
    peak = Load(factor=1.0, timeout_s=timeout_s).run()
    load = Load(factor=factor, timeout_s=timeout_s).run()
    assert load.busy() >= 0.95 * peak.busy()
    assert max(load.urgent_waits) < 1.0
    assert load.deepest <= 500
    assert load.refused > 0
