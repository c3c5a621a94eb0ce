"""Experiment ``requests``: the request queue and slot ledger under load, compared with a FIFO.

Requests arrive at 1, 2 and 10 times the capacity of the slots. A request that has not ended by
its deadline is terminated and the slot time it used is wasted. Useful work is the slot time of
the requests that ended in time, as a fraction of all slot time. At regular intervals a fraction of
the waiting clients abandons its requests, and some runners are slow for part of the run.
"""

from __future__ import annotations

import heapq
import random
import time
from collections import deque
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from attrs import Factory, define, frozen
from returns.result import Failure, Success

from rhubarbferry.bench.profiles import Profile
from rhubarbferry.bench.request_work import (
    CLASSES,
    MIXED,
    ONE_CLASS,
    Arrival,
    RequestMix,
    account_names,
    arrivals,
    demand_of,
    share_of,
)
from rhubarbferry.bench.statistics import LatencyHistogram, share_errors, water_fill
from rhubarbferry.core.cell import PriorityClass
from rhubarbferry.core.request_queue import QueueRules, RequestQueue, Terms, Waiting
from rhubarbferry.core.slots import RunnerReport, SlotEnd, SlotLease, SlotLedger

LOADS = (1.0, 2.0, 10.0)
SHARE_LOAD = 2.0
ONE_WAY_DELAY_S = 0.0015
MAX_WAITING_REQUESTS = 5000
ABANDON_INTERVAL_S = 10.0
ABANDON_FRACTION = 0.2
SLOW_RUNNER_FRACTION = 0.08
SLOW_RUNNER_FACTOR = 5.0
SLOW_FROM_FRACTION, SLOW_UNTIL_FRACTION = 0.4, 0.6
WARM_UP_FRACTION = 0.1


@frozen(kw_only=True, slots=True)
class Start:
    """One request that was granted a slot."""

    arrival: Arrival
    runner: str
    key: int


class Policy(Protocol):
    """Interface of a policy that assigns slots to requests."""

    def offer(self, arrival: Arrival, now: float) -> bool:
        """Enqueue a request; return ``False`` if it is rejected."""
        ...

    def starts(self, now: float) -> list[Start]:
        """Assign free slots and return the requests that start."""
        ...

    def ended(self, start: Start, *, done: bool, held_s: float, now: float) -> None:
        """Release the slot of a request."""
        ...

    def abandon(self, request_id: str) -> bool:
        """Abandon a request; return whether it was waiting."""
        ...

    def waiting(self) -> list[str]:
        """Return the ids of the waiting requests, in order."""
        ...

    def depth(self) -> int:
        """Return the number of waiting requests."""
        ...


class CorePolicy:
    """The queue and slot ledger of the decision core, used as in a runner partition."""

    def __init__(self, profile: Profile) -> None:
        self._queue = RequestQueue(rules=QueueRules(max_waiting=MAX_WAITING_REQUESTS))
        self._queue.configure(
            {
                name: Terms(share=share_of(number), max_waiting=MAX_WAITING_REQUESTS)
                for number, name in enumerate(account_names(profile.accounts))
            }
        )
        self._ledger = SlotLedger()
        for number in range(profile.runners):
            id = f"runner-{number:02}"
            self._ledger.put_runner(id=id, address=id, slots=profile.slots, leaving=False)
            self._ledger.apply_report(
                RunnerReport(runner_id=id, asked_at=0.0, running=frozenset(), slots=profile.slots),
                now=0.0,
            )
        self._capacity = self._ledger.capacity()
        self._arrivals: dict[str, Arrival] = {}
        self._charged: dict[int, float] = {}
        self._keys = 0

    def offer(self, arrival: Arrival, now: float) -> bool:
        """Offer a request to the queue."""
        waiting = Waiting(
            request_id=arrival.id,
            frontend_id="f",
            account=arrival.account,
            priority=arrival.priority,
            deadline=now + arrival.timeout_s,
            enqueued_at=now,
        )
        free = self._ledger.free()
        match self._queue.offer(waiting, now=now, slots=self._capacity, free=free):
            case Success(admitted):
                if admitted.displaced is not None:
                    del self._arrivals[admitted.displaced.request_id]
                self._arrivals[arrival.id] = arrival
                return True
            case Failure(_):
                return False
        raise AssertionError("unreachable")

    def starts(self, now: float) -> list[Start]:
        """Drop expired requests, then grant free slots in queue order."""
        for late in self._queue.expire(now=now):
            del self._arrivals[late.request_id]
        found: list[Start] = []
        while (start := self._next(now)) is not None:
            found.append(start)
        return found

    def _next(self, now: float) -> Start | None:
        for waiting in self._queue.candidates(now=now):
            runner = self._ledger.choose()
            if runner is None:
                return None
            self._keys += 1
            self._ledger.grant(
                SlotLease(
                    grant_id=self._keys,
                    request_id=waiting.request_id,
                    frontend_id="f",
                    account=waiting.account,
                    runner_id=runner.id,
                    usable_until=now + 1.0,
                    deadline=waiting.deadline,
                    granted_at=now,
                )
            )
            self._charged[self._keys] = self._queue.start(waiting)
            arrival = self._arrivals.pop(waiting.request_id)
            return Start(arrival=arrival, runner=runner.id, key=self._keys)
        return None

    def ended(self, start: Start, *, done: bool, held_s: float, now: float) -> None:
        """Release the slot and charge the account for the time held."""
        lease = self._ledger.release(start.key, SlotEnd.DONE, now=now)
        assert lease is not None
        if done:
            self._queue.times.add(held_s)
            self._ledger.served(start.runner, held_s)
        charged = self._charged.pop(start.key)
        self._queue.finish(start.arrival.account, charged_s=charged, used_s=held_s)

    def abandon(self, request_id: str) -> bool:
        """Remove a request from the queue; return whether it was waiting."""
        self._arrivals.pop(request_id, None)
        return self._queue.abandon(request_id) is not None

    def waiting(self) -> list[str]:
        """Return the ids of the waiting requests."""
        return list(self._arrivals)

    def depth(self) -> int:
        """Return the length of the queue."""
        return len(self._queue)


class FifoPolicy:
    """Baseline: first come, first served, on the first runner with a free slot.

    Its queue is limited to the length of the core's queue, and expired requests are skipped.
    """

    def __init__(self, profile: Profile) -> None:
        self._free = {f"runner-{n:02}": profile.slots for n in range(profile.runners)}
        self._queue: deque[Arrival] = deque()
        self._abandoned: set[str] = set()
        self._keys = 0

    def offer(self, arrival: Arrival, now: float) -> bool:
        """Append a request to the queue, unless the queue is full."""
        if len(self._queue) >= MAX_WAITING_REQUESTS:
            return False
        self._queue.append(arrival)
        return True

    def starts(self, now: float) -> list[Start]:
        """Start requests from the head of the queue."""
        found: list[Start] = []
        for runner, free in self._free.items():
            while free and (arrival := self._pop(now)) is not None:
                free -= 1
                self._keys += 1
                found.append(Start(arrival=arrival, runner=runner, key=self._keys))
            self._free[runner] = free
        return found

    def _pop(self, now: float) -> Arrival | None:
        while self._queue:
            arrival = self._queue.popleft()
            if arrival.id in self._abandoned:
                self._abandoned.discard(arrival.id)
            elif arrival.at + arrival.timeout_s > now:
                return arrival
        return None

    def ended(self, start: Start, *, done: bool, held_s: float, now: float) -> None:
        """Release the slot."""
        self._free[start.runner] += 1

    def abandon(self, request_id: str) -> bool:
        """Mark a request as abandoned, so that it is skipped."""
        self._abandoned.add(request_id)
        return True

    def waiting(self) -> list[str]:
        """Return the ids of the waiting requests."""
        return [arrival.id for arrival in self._queue if arrival.id not in self._abandoned]

    def depth(self) -> int:
        """Return the length of the queue."""
        return len(self._queue)


POLICIES: Mapping[str, type[CorePolicy] | type[FifoPolicy]] = {
    "core": CorePolicy,
    "fifo": FifoPolicy,
}


@define(kw_only=True)
class Tally:
    """Counters and sums of one run. The sums exclude the warm-up period.

    :param useful_s: slot time in seconds of requests that ended in time.
    :param lost_s: slot time in seconds of requests terminated at their deadline.
    :param held_s: slot time in seconds used by each account.
    :param wanted_s: slot time in seconds demanded by each account.
    """

    offered: int = 0
    refused: int = 0
    done: int = 0
    cut_off: int = 0
    given_up: int = 0
    most_waiting: int = 0
    decisions: int = 0
    decision_s: float = 0.0
    useful_s: float = 0.0
    lost_s: float = 0.0
    held_s: dict[str, float] = Factory(dict)
    wanted_s: dict[str, float] = Factory(dict)
    by_class: dict[PriorityClass, LatencyHistogram] = Factory(
        lambda: {cls: LatencyHistogram() for cls in CLASSES}
    )
    by_account: dict[str, LatencyHistogram] = Factory(dict)


@define(kw_only=True, eq=False)
class Run:
    """Simulation of one policy at one load."""

    profile: Profile
    policy: Policy
    load: float
    seconds: float
    seed: int
    mix: RequestMix = MIXED
    tally: Tally = Factory(Tally)
    _ends: list[tuple[float, int, Start, float]] = Factory(list)

    def run(self) -> Tally:
        """Run the simulation and return its counters."""
        rng = random.Random(self.seed + 1)
        next_abandon_at = ABANDON_INTERVAL_S
        for arrival in arrivals(
            self.profile, load=self.load, seconds=self.seconds, seed=self.seed, mix=self.mix
        ):
            self._end_until(arrival.at)
            if arrival.at >= next_abandon_at:
                self._abandon_some(rng)
                next_abandon_at += ABANDON_INTERVAL_S
            self._arrive(arrival)
        self._end_until(self.seconds)
        return self.tally

    def _arrive(self, arrival: Arrival) -> None:
        tally, now = self.tally, arrival.at
        if now >= self._warm_up_s:
            tally.offered += 1
            wanted = arrival.service_s + 2 * ONE_WAY_DELAY_S
            tally.wanted_s[arrival.account] = tally.wanted_s.get(arrival.account, 0.0) + wanted
        started_at = time.perf_counter()
        accepted = self.policy.offer(arrival, now)
        starts = self.policy.starts(now)
        tally.decision_s += time.perf_counter() - started_at
        tally.decisions += 1
        if not accepted and now >= self._warm_up_s:
            tally.refused += 1
        tally.most_waiting = max(tally.most_waiting, self.policy.depth())
        self._start(starts, now)

    def _start(self, starts: Sequence[Start], now: float) -> None:
        for start in starts:
            arrival = start.arrival
            if now >= self._warm_up_s:
                wait = now - arrival.at
                self.tally.by_class[arrival.priority].add(wait)
                self.tally.by_account.setdefault(arrival.account, LatencyHistogram()).add(wait)
            duration_s = 2 * ONE_WAY_DELAY_S + arrival.service_s * self._slowdown(start.runner, now)
            ends = min(now + duration_s, arrival.at + arrival.timeout_s)
            heapq.heappush(self._ends, (ends, start.key, start, now))

    def _end_until(self, until: float) -> None:
        while self._ends and self._ends[0][0] <= until:
            now, _, start, started_at = heapq.heappop(self._ends)
            arrival = start.arrival
            duration_s = 2 * ONE_WAY_DELAY_S + arrival.service_s * self._slowdown(
                start.runner, started_at
            )
            done = started_at + duration_s <= arrival.at + arrival.timeout_s
            self._count_end(arrival, done, started_at, now)
            decision_started_at = time.perf_counter()
            self.policy.ended(start, done=done, held_s=now - started_at, now=now)
            starts = self.policy.starts(now)
            self.tally.decision_s += time.perf_counter() - decision_started_at
            self.tally.decisions += 1
            self._start(starts, now)

    def _count_end(self, arrival: Arrival, done: bool, started_at: float, now: float) -> None:
        tally, account = self.tally, arrival.account
        if arrival.at >= self._warm_up_s:
            # Replace the estimated demand by the slot time used, which is longer on a slow runner
            # and shorter for a terminated request.
            asked = arrival.service_s + 2 * ONE_WAY_DELAY_S
            tally.wanted_s[account] += now - started_at - asked
        held = now - max(started_at, self._warm_up_s)
        if held <= 0:
            return
        tally.held_s[account] = tally.held_s.get(account, 0.0) + held
        if done:
            tally.done += 1
            tally.useful_s += held
        else:
            tally.cut_off += 1
            tally.lost_s += held

    def _abandon_some(self, rng: random.Random) -> None:
        waiting = self.policy.waiting()
        for request_id in rng.sample(waiting, int(ABANDON_FRACTION * len(waiting))):
            self.tally.given_up += self.policy.abandon(request_id)

    def _slowdown(self, runner: str, now: float) -> float:
        is_slow = int(runner.removeprefix("runner-")) < SLOW_RUNNER_FRACTION * self.profile.runners
        progress = now / self.seconds
        return (
            SLOW_RUNNER_FACTOR
            if is_slow and SLOW_FROM_FRACTION <= progress < SLOW_UNTIL_FRACTION
            else 1.0
        )

    @property
    def _warm_up_s(self) -> float:
        return WARM_UP_FRACTION * self.seconds


def statistics(run: Run) -> dict[str, Any]:
    """Return the statistics of a finished run."""
    tally, profile = run.tally, run.profile
    measured_s = (1.0 - WARM_UP_FRACTION) * run.seconds
    slot_s = profile.runners * profile.slots * measured_s
    held_s = sum(tally.held_s.values())
    weights = {name: share_of(n) for n, name in enumerate(account_names(profile.accounts))}
    wanted = {name: tally.wanted_s.get(name, 0.0) for name in weights}
    return {
        "offered": tally.offered,
        "refused": tally.refused,
        "done": tally.done,
        "cut_off": tally.cut_off,
        "given_up": tally.given_up,
        "useful_work": round(tally.useful_s / slot_s, 4),
        "lost_work": round(tally.lost_s / slot_s, 4),
        "slots_held": round(held_s / slot_s, 4),
        "most_waiting": tally.most_waiting,
        "waits_by_class": {cls.name.lower(): t.statistics() for cls, t in tally.by_class.items()},
        "waits_by_account": {n: t.statistics() for n, t in sorted(tally.by_account.items())},
        "shares": share_errors(tally.held_s, water_fill(weights, wanted, held_s)),
        "wall_us_per_decision": round(1e6 * tally.decision_s / tally.decisions, 1),
    }


def experiment(
    profile: Profile, *, seed: int, seconds: float, share_seconds: float
) -> dict[str, Any]:
    """Run all policies at all loads; return the statistics and the parameters.

    :param seconds: length of each run.
    :param share_seconds: length of the run at twice the capacity with one priority class, which
        measures the shares of the accounts.
    """
    found: dict[str, Any] = {
        "seconds": seconds,
        "class_mix": MIXED.classes,
        "demands": [demand_of(n) for n in range(profile.accounts)],
        "shares": [share_of(n) for n in range(profile.accounts)],
        "one_way_s": ONE_WAY_DELAY_S,
    }
    for name, make in POLICIES.items():
        runs = {}
        for load in LOADS:
            run = Run(profile=profile, policy=make(profile), load=load, seconds=seconds, seed=seed)
            run.run()
            runs[f"load_{load:g}"] = statistics(run)
        peak = max(one["useful_work"] for one in runs.values())
        for one in runs.values():
            one["of_peak"] = round(one["useful_work"] / peak, 4)
        saturated = Run(
            profile=profile,
            policy=make(profile),
            load=SHARE_LOAD,
            seconds=share_seconds,
            seed=seed,
            mix=ONE_CLASS,
        )
        saturated.run()
        found[name] = {**runs, "one_class": statistics(saturated)}
    return found
