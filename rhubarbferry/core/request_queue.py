"""Queue of requests that wait for a slot, by priority, then fair share, then deadline.

Order: the most urgent priority class is first. Within a class, the account with the least slot
time relative to its share is first (start-time fair queueing), and within an account the request
with the earliest deadline. To prevent starvation, every ``aged_every``-th grant goes to the
request of a less urgent class that has waited longest, if it has waited at least ``aging_s``.

Refusal: a request that cannot start in time is refused on arrival, with a time after which to
retry. Under overload the slots are then used for requests that can still finish in time.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Iterator, Mapping

from attrs import Factory, define, field, frozen
from returns.result import Failure, Result, Success
from sortedcontainers import SortedList

from rhubarbferry.core.cell import PriorityClass
from rhubarbferry.core.limits import TokenBucket
from rhubarbferry.core.refusals import RefusalReason

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0
MAX_SCANNED_REQUESTS = 16
SERVICE_TIME_WEIGHT = 0.05
RESERVE_DEVIATIONS = 4.0
MAX_RESERVE_FRACTION = 0.75


@frozen(kw_only=True, slots=True)
class Refusal:
    """Final reply to a request that did not run; it may be retried after ``retry_after_s``."""

    reason: RefusalReason
    retry_after_s: float


@frozen(kw_only=True, slots=True)
class QueueRules:
    """Limits of the queue.

    :param max_waiting: maximum total number of waiting requests.
    :param aging_s: wait after which a request of a less urgent class may be granted out of order.
    :param aged_every: at most one in this many grants is made out of order.
    """

    max_waiting: int = 5000
    aging_s: float = 5.0
    aged_every: int = 8


@frozen(kw_only=True, slots=True)
class Terms:
    """Share and limits of one account in this partition; ``None`` means no limit."""

    share: float = 1.0
    max_concurrency: int | None = None
    rate_per_s: float | None = None
    max_waiting: int = 1000


@define(kw_only=True, eq=False, slots=True)
class Waiting:
    """One request that waits for a slot.

    :param deadline: deadline on the same clock as ``now``.
    :param excluded: ids of runners that must not serve the request.
    :param latest_start: time after which the request is dropped; set by the queue.
    :param seq: arrival number; set by the queue.
    """

    request_id: str
    frontend_id: str
    account: str
    priority: PriorityClass
    deadline: float
    enqueued_at: float
    excluded: frozenset[str] = frozenset()
    latest_start: float = 0.0
    seq: int = 0


@frozen(kw_only=True, slots=True)
class Admitted:
    """The request was queued; ``displaced`` was removed for it and needs a final reply."""

    displaced: Waiting | None = None


@define(kw_only=True, eq=False)
class ServiceTimes:
    """Exponentially weighted mean and mean deviation of the time a request holds a slot."""

    mean_s: float = 0.0
    deviation_s: float = 0.0
    seen: int = 0

    def add(self, seconds: float) -> None:
        """Add one slot holding time."""
        self.seen += 1
        weight = max(SERVICE_TIME_WEIGHT, 1.0 / self.seen)
        self.deviation_s += weight * (abs(seconds - self.mean_s) - self.deviation_s)
        self.mean_s += weight * (seconds - self.mean_s)

    def reserve_s(self, timeout_s: float) -> float:
        """Return how long before its deadline a request must start.

        A request started later would probably exceed its deadline and waste its slot. The mean
        alone is not sufficient, because under overload every request starts as late as allowed.
        """
        likely_s = self.mean_s + RESERVE_DEVIATIONS * self.deviation_s
        return min(likely_s, MAX_RESERVE_FRACTION * timeout_s)


@define(kw_only=True, eq=False)
class _Account:
    """An account and its waiting requests.

    :param used: slot time divided by share, which is the account's virtual time.
    """

    name: str
    terms: Terms
    bucket: TokenBucket
    used: float = 0.0
    running: int = 0
    waiting: dict[PriorityClass, SortedList] = Factory(
        lambda: {cls: SortedList() for cls in PriorityClass}
    )

    def at_limit(self) -> bool:
        limit = self.terms.max_concurrency
        return limit is not None and self.running >= limit

    def depth(self) -> int:
        return sum(len(requests) for requests in self.waiting.values())


@define(kw_only=True, eq=False)
class _Class:
    """Waiting requests of one priority class.

    :param ready: ``(used, account)`` of the accounts with a request that may start now.
    :param shares: sum of the shares of the accounts with waiting requests.
    """

    ready: SortedList = Factory(SortedList)
    arrived: OrderedDict[int, Waiting] = Factory(OrderedDict)
    shares: float = 0.0


@define(kw_only=True, eq=False)
class RequestQueue:
    """Waiting requests of one runner partition; every operation is O(log n)."""

    rules: QueueRules = Factory(QueueRules)
    times: ServiceTimes = Factory(ServiceTimes)
    _accounts: dict[str, _Account] = field(factory=dict, init=False)
    _classes: dict[PriorityClass, _Class] = field(
        factory=lambda: {cls: _Class() for cls in PriorityClass}, init=False
    )
    _by_id: dict[str, Waiting] = field(factory=dict, init=False)
    _by_latest_start: SortedList = field(factory=SortedList, init=False)
    _seq: itertools.count = field(factory=itertools.count, init=False)
    _virtual_now: float = field(default=0.0, init=False)
    _grants_since_aged: int = field(default=0, init=False)

    def __len__(self) -> int:
        return len(self._by_id)

    def configure(self, terms: Mapping[str, Terms]) -> None:
        """Set the terms of all accounts; a removed account first serves its waiting requests."""
        for name, new in terms.items():
            account = self._accounts.get(name)
            if account is None:
                bucket = TokenBucket(rate_per_s=new.rate_per_s)
                self._accounts[name] = _Account(
                    name=name, terms=new, bucket=bucket, used=self._virtual_now
                )
                continue
            priorities = self._remove_from_order(account)
            account.terms = new
            account.bucket.rate_per_s = new.rate_per_s
            self._add_to_order(account, priorities)
        for name in [n for n, a in self._accounts.items() if n not in terms and not a.depth()]:
            if self._accounts[name].running == 0:
                del self._accounts[name]

    # ------------------------------------------------------------ arrival

    def offer(
        self, waiting: Waiting, *, now: float, slots: int, free: int
    ) -> Result[Admitted, Refusal]:
        """Queue a request or refuse it.

        :param slots: total number of slots of the runners that accept requests.
        :param free: number of slots that are free now.
        :returns: ``Success(Admitted)`` or ``Failure(Refusal)``.
        """
        account = self._accounts.get(waiting.account)
        if account is None:
            return _refused(RefusalReason.UNKNOWN_ACCOUNT, MAX_RETRY_AFTER_S)
        if account.terms.max_concurrency == 0:
            return _refused(RefusalReason.NO_SHARE_OF_LIMIT, MAX_RETRY_AFTER_S)
        expected = self.expected_wait(waiting.account, waiting.priority, slots=slots, free=free)
        if account.depth() >= account.terms.max_waiting:
            return _refused(RefusalReason.ACCOUNT_QUEUE_FULL, expected)
        latest_start = waiting.deadline - self.times.reserve_s(waiting.deadline - now)
        late = expected - (latest_start - now)
        if waiting.deadline <= now or (expected > 0.0 and late > 0.0):
            return _refused(RefusalReason.TOO_LATE, late)
        displaced = None
        if len(self) >= self.rules.max_waiting:
            displaced = self._find_displaceable(waiting.priority)
            if displaced is None:
                return _refused(RefusalReason.QUEUE_FULL, expected)
        pause = account.bucket.take(now=now)
        if pause > 0.0:
            return _refused(RefusalReason.RATE, pause)
        if displaced is not None:
            self._remove(displaced)
        waiting.seq = next(self._seq)
        waiting.latest_start = max(now, latest_start)
        self._add(account, waiting)
        return Success(Admitted(displaced=displaced))

    def has_account(self, account: str) -> bool:
        """Return whether an account is configured in this queue."""
        return account in self._accounts

    def expected_wait(
        self, account: str, priority: PriorityClass, *, slots: int, free: int
    ) -> float:
        """Estimate the wait, in seconds, of a request that arrives now."""
        if self.times.seen == 0 or slots == 0:
            return 0.0
        state = self._accounts[account]
        own = len(state.waiting[priority])
        shares = self._classes[priority].shares + (state.terms.share if own == 0 else 0.0)
        ahead_by_share = own * shares / state.terms.share
        requests_ahead = min(ahead_by_share, len(self._classes[priority].arrived))
        requests_ahead += sum(len(c.arrived) for p, c in self._classes.items() if p < priority)
        wait = 0.0
        if requests_ahead >= free:
            wait = (requests_ahead - free + 1) * self.times.mean_s / slots
        limit = state.terms.max_concurrency
        if limit is not None and state.running + own >= limit:
            wait = max(wait, (state.running + own - limit + 1) * self.times.mean_s / limit)
        return wait

    # ------------------------------------------------------------ dispatch

    def candidates(self, *, now: float) -> Iterator[Waiting]:
        """Yield a bounded number of requests that may start next, in order."""
        aged = self._aged_candidate(now)
        if aged is not None:
            yield aged
        left = MAX_SCANNED_REQUESTS
        for priority, cls in self._classes.items():
            for _, name in cls.ready:
                for _, _, waiting in self._accounts[name].waiting[priority][:left]:
                    if waiting is aged:
                        continue
                    yield waiting
                    left -= 1
                    if left == 0:
                        return

    def start(self, waiting: Waiting) -> float:
        """Remove a request from the queue to start it.

        :returns: the estimated slot time charged to the account; pass it to :meth:`finish`.
        """
        account = self._accounts[waiting.account]
        urgent = next(p for p, cls in self._classes.items() if cls.ready)
        self._grants_since_aged = 0 if waiting.priority > urgent else self._grants_since_aged + 1
        self._remove(waiting)
        self._virtual_now = max(self._virtual_now, account.used)
        charged = self.times.mean_s
        self._charge(account, seconds=charged, running=1)
        return charged

    def resume(self, account: str) -> None:
        """Count a running request, started by an earlier owner, towards its account."""
        state = self._accounts.get(account)
        if state is not None:
            self._charge(state, seconds=0.0, running=1)

    def finish(self, account: str, *, charged_s: float, used_s: float) -> None:
        """Record that a started request has released its slot after ``used_s`` seconds."""
        state = self._accounts.get(account)
        if state is not None:
            self._charge(state, seconds=used_s - charged_s, running=-1)

    def abandon(self, request_id: str) -> Waiting | None:
        """Remove a request whose caller has disconnected."""
        waiting = self._by_id.get(request_id)
        if waiting is not None:
            self._remove(waiting)
        return waiting

    def expire(self, *, now: float) -> tuple[Waiting, ...]:
        """Remove the requests that can no longer finish before their deadline."""
        late = []
        while self._by_latest_start and self._by_latest_start[0][0] < now:
            waiting = self._by_latest_start[0][2]
            self._remove(waiting)
            late.append(waiting)
        return tuple(late)

    def next_expiry(self) -> float | None:
        """Return the time at which :meth:`expire` must be called next."""
        return self._by_latest_start[0][0] if self._by_latest_start else None

    def find(self, request_id: str) -> Waiting | None:
        """Return the waiting request with an id."""
        return self._by_id.get(request_id)

    def running(self, account: str) -> int:
        """Return the number of an account's requests that hold slots."""
        state = self._accounts.get(account)
        return 0 if state is None else state.running

    # ------------------------------------------------------------ internal

    def _aged_candidate(self, now: float) -> Waiting | None:
        if self._grants_since_aged + 1 < self.rules.aged_every:
            return None
        first = next((p for p, cls in self._classes.items() if cls.arrived), None)
        oldest: Waiting | None = None
        for priority, cls in self._classes.items():
            if first is None or priority == first:
                continue
            for waiting in itertools.islice(cls.arrived.values(), MAX_SCANNED_REQUESTS):
                if self._accounts[waiting.account].at_limit():
                    continue
                if oldest is None or waiting.enqueued_at < oldest.enqueued_at:
                    oldest = waiting
                break
        if oldest is None or now - oldest.enqueued_at < self.rules.aging_s:
            return None
        return oldest

    def _find_displaceable(self, priority: PriorityClass) -> Waiting | None:
        """Return the newest request of the least urgent class below ``priority``."""
        for other in reversed(PriorityClass):
            if other > priority and self._classes[other].arrived:
                return next(reversed(self._classes[other].arrived.values()))
        return None

    def _add(self, account: _Account, waiting: Waiting) -> None:
        if account.depth() == 0:
            # An idle account receives no credit for that time. With credit, it would occupy all
            # slots for as long as it was idle.
            account.used = max(account.used, self._virtual_now)
        cls = self._classes[waiting.priority]
        requests = account.waiting[waiting.priority]
        if not requests:
            cls.shares += account.terms.share
        requests.add((waiting.deadline, waiting.seq, waiting))
        if len(requests) == 1 and not account.at_limit():
            cls.ready.add((account.used, account.name))
        cls.arrived[waiting.seq] = waiting
        self._by_latest_start.add((waiting.latest_start, waiting.seq, waiting))
        self._by_id[waiting.request_id] = waiting

    def _remove(self, waiting: Waiting) -> None:
        account = self._accounts[waiting.account]
        cls = self._classes[waiting.priority]
        requests = account.waiting[waiting.priority]
        requests.remove((waiting.deadline, waiting.seq, waiting))
        if not requests:
            cls.shares -= account.terms.share
            if not account.at_limit():
                cls.ready.remove((account.used, account.name))
        del cls.arrived[waiting.seq]
        self._by_latest_start.remove((waiting.latest_start, waiting.seq, waiting))
        del self._by_id[waiting.request_id]

    def _charge(self, account: _Account, *, seconds: float, running: int) -> None:
        priorities = self._remove_from_order(account)
        account.used += seconds / account.terms.share
        account.running = max(0, account.running + running)
        self._add_to_order(account, priorities)

    def _remove_from_order(self, account: _Account) -> tuple[PriorityClass, ...]:
        """Remove an account from the sorted collections so that its sort key may change."""
        priorities = tuple(p for p, requests in account.waiting.items() if requests)
        for priority in priorities:
            cls = self._classes[priority]
            cls.shares -= account.terms.share
            if not account.at_limit():
                cls.ready.remove((account.used, account.name))
        return priorities

    def _add_to_order(self, account: _Account, priorities: tuple[PriorityClass, ...]) -> None:
        for priority in priorities:
            cls = self._classes[priority]
            cls.shares += account.terms.share
            if not account.at_limit():
                cls.ready.add((account.used, account.name))


def _refused(reason: RefusalReason, retry_after_s: float) -> Result[Admitted, Refusal]:
    bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
    return Failure(Refusal(reason=reason, retry_after_s=bounded))
