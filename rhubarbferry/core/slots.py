"""Ledger of the runner slots of one partition and the leases that occupy them."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Collection, Iterable
from enum import Enum

from attrs import Factory, define, field, frozen

UNKNOWN_FRONTEND = ""
SERVICE_TIME_WEIGHT = 0.1


class SlotEnd(Enum):
    """How the use of a slot ended, as reported by its frontend."""

    DONE = "done"
    NOT_SENT = "not sent"
    REFUSED_BY_RUNNER = "refused by runner"
    FAILED = "failed"
    UNKNOWN = "unknown"


CONCLUSIVE_ENDS = frozenset({SlotEnd.DONE, SlotEnd.NOT_SENT, SlotEnd.REFUSED_BY_RUNNER})


@frozen(kw_only=True, slots=True)
class SlotRules:
    """Time limits of the ledger.

    :param margin_s: time after a request's deadline at which its slot is freed if no outcome has
        been reported.
    :param settle_s: maximum time that bytes of a request can be in transit to the runner after
        its frontend was last able to send.
    :param longest_request_s: maximum run time of a request.
    """

    margin_s: float = 2.0
    settle_s: float = 0.5
    longest_request_s: float = 60.0


@define(kw_only=True, eq=False)
class SlotLease:
    """One slot leased to one request.

    :param usable_until: time until which the frontend may start to send the request.
    :param deadline: deadline of the request.
    :param hold_until: time at which the slot is freed unless a report changes it.
    :param unclear_since: time since which the frontend can no longer report the outcome;
        ``None`` while it can.
    """

    grant_id: int
    request_id: str
    frontend_id: str
    account: str
    runner_id: str
    usable_until: float
    deadline: float
    granted_at: float
    hold_until: float = 0.0
    unclear_since: float | None = None


@frozen(kw_only=True, slots=True)
class RunnerReport:
    """Status report of a runner.

    :param asked_at: time at which the report was REQUESTED; its content may be older than the
        reply.
    :param running: ids of the requests in progress.
    :param finished: ids of the requests that ended recently.
    :param slots: number of slots according to the runner.
    :param leaving: whether the runner is shutting down.
    """

    runner_id: str
    asked_at: float
    running: frozenset[str]
    finished: frozenset[str] = frozenset()
    slots: int | None = None
    leaving: bool = False


@define(kw_only=True, eq=False)
class Runner:
    """State of one runner.

    :param listed: whether the host list contains the runner.
    :param listed_leaving: whether the host list marks the runner as shutting down.
    :param reported_leaving: whether the runner reported that it is shutting down.
    :param reported_slots: number of slots reported by the runner, ``None`` before its first report.
    :param blocked_until: time until which all slots count as taken, unless a report lifts the
        block earlier.
    :param report_not_before: the block is lifted only by a report requested at or after this time.
    :param mean_service_s: exponentially weighted mean duration of a request.
    """

    id: str
    address: str
    slots: int
    listed: bool = True
    listed_leaving: bool = False
    reported_leaving: bool = False
    reported_slots: int | None = None
    blocked_until: float | None = None
    report_not_before: float = 0.0
    mean_service_s: float = 0.0
    leases: set[int] = Factory(set)

    @property
    def leaving(self) -> bool:
        """Whether the runner receives no new requests."""
        return not self.listed or self.listed_leaving or self.reported_leaving

    @property
    def capacity(self) -> int:
        """The number of slots: the lower of the configured and the reported number."""
        if self.reported_slots is None:
            return self.slots
        return min(self.slots, self.reported_slots)

    def free(self) -> int:
        """Return the number of slots that can be granted now."""
        if self.leaving or self.blocked_until is not None:
            return 0
        return max(0, self.capacity - len(self.leases))


class NoFreeSlot(Exception):
    """The runner has no free slot; call :meth:`SlotLedger.choose` immediately before a grant."""


@define(kw_only=True, eq=False)
class SlotLedger:
    """Slots of all runners of a partition; no runner is granted more leases than it has slots.

    The parameter ``now`` is in seconds on one monotonic clock. A slot whose state is unknown counts
    as taken.
    """

    rules: SlotRules = Factory(SlotRules)
    runners: dict[str, Runner] = Factory(dict)
    leases: dict[int, SlotLease] = Factory(dict)
    _by_request: dict[str, dict[str, int]] = field(factory=dict, init=False)
    _free_by_runner: dict[str, int] = field(factory=dict, init=False)
    _capacity_by_runner: dict[str, int] = field(factory=dict, init=False)
    _free: int = field(default=0, init=False)
    _capacity: int = field(default=0, init=False)
    _by_frontend: dict[str, set[int]] = field(factory=dict, init=False)
    _expiries: list[tuple[float, int]] = field(factory=list, init=False)
    _unknown_grant_ids: itertools.count = field(factory=lambda: itertools.count(-1, -1), init=False)

    # ------------------------------------------------------------ runners

    def put_runner(self, *, id: str, address: str, slots: int, leaving: bool) -> Runner:
        """Add or update a runner from the host list."""
        runner = self.runners.get(id)
        if runner is None:
            runner = Runner(id=id, address=address, slots=slots)
            self.runners[id] = runner
        if runner.address != address:
            runner.address = address
            runner.reported_leaving = False
            runner.reported_slots = None
        runner.slots = slots
        runner.listed = True
        runner.listed_leaving = leaving
        self._update_totals(runner)
        return runner

    def drop_runner(self, id: str) -> None:
        """Record that the host list no longer contains a runner.

        The list lags and may be wrong, so a runner with requests is kept until they have ended.
        If it were removed, its slots would appear free when it is listed again.
        """
        runner = self.runners.get(id)
        if runner is None:
            return
        runner.listed = False
        self._update_totals(runner)
        self._remove_if_idle(runner)

    def block(self, id: str, *, until: float, report_not_before: float) -> None:
        """Count all slots of a runner as taken until its next report or until ``until``.

        :param report_not_before: reports requested before this time do not lift the block.
        """
        runner = self.runners[id]
        runner.blocked_until = until
        runner.report_not_before = report_not_before
        self._update_totals(runner)

    def choose(
        self,
        *,
        excluded: Collection[str] = (),
        allowed: Callable[[str], bool] = lambda _: True,
    ) -> Runner | None:
        """Return the least loaded runner with a free slot, the faster one if several are equal."""
        best: Runner | None = None
        best_rank = (0.0, 0.0, "")
        for id, free in self._free_by_runner.items():
            if id in excluded or not allowed(id):
                continue
            runner = self.runners[id]
            rank = (-free / self._capacity_by_runner[id], runner.mean_service_s, id)
            if best is None or rank < best_rank:
                best, best_rank = runner, rank
        return best

    # ------------------------------------------------------------ leases

    def grant(self, lease: SlotLease) -> None:
        """Lease a free slot.

        :raises NoFreeSlot: if the runner has no free slot.
        """
        if lease.runner_id not in self._free_by_runner:
            raise NoFreeSlot(f"runner {lease.runner_id} has no free slot")
        self._add(lease)

    def adopt(self, lease: SlotLease, *, address: str = "") -> None:
        """Add a lease granted by an earlier owner, even if the runner is unknown or has no slot."""
        if lease.grant_id in self.leases:
            return
        if lease.runner_id not in self.runners:
            runner = Runner(id=lease.runner_id, address=address, slots=0, listed=False)
            self.runners[lease.runner_id] = runner
        known = self.find(runner_id=lease.runner_id, request_id=lease.request_id)
        # Added first, because an unlisted runner is removed with its last lease.
        self._add(lease)
        if known is not None and known.frontend_id == UNKNOWN_FRONTEND:
            self._remove(known)

    def find(self, *, runner_id: str, request_id: str) -> SlotLease | None:
        """Return the lease of a request on a runner."""
        grant_id = self._by_request.get(request_id, {}).get(runner_id)
        return None if grant_id is None else self.leases[grant_id]

    def find_all(self, request_id: str) -> tuple[SlotLease, ...]:
        """Return the leases of all attempts of a request."""
        return tuple(self.leases[id] for id in self._by_request.get(request_id, {}).values())

    def release(self, grant_id: int, end: SlotEnd, *, now: float) -> SlotLease | None:
        """Record how the use of a slot ended; the slot stays taken if the outcome is unknown.

        :returns: the lease, or ``None`` if there is none (a repeated release).
        """
        lease = self.leases.get(grant_id)
        if lease is None:
            return None
        if end in CONCLUSIVE_ENDS:
            self._remove(lease)
            return lease
        if lease.unclear_since is None:
            lease.unclear_since = now
        return lease

    def served(self, runner_id: str, service_s: float) -> None:
        """Add a request duration to the mean of a runner."""
        runner = self.runners.get(runner_id)
        if runner is None:
            return
        if runner.mean_service_s == 0.0:
            runner.mean_service_s = service_s
        runner.mean_service_s += SERVICE_TIME_WEIGHT * (service_s - runner.mean_service_s)

    def frontend_gone(self, frontend_id: str, *, now: float) -> int:
        """Mark the leases of a dead frontend as unclear; their slots stay taken until resolved.

        :returns: the number of leases.
        """
        grant_ids = self._by_frontend.get(frontend_id, set())
        for grant_id in grant_ids:
            lease = self.leases[grant_id]
            if lease.unclear_since is None:
                lease.unclear_since = now
        return len(grant_ids)

    def frontends(self) -> tuple[str, ...]:
        """Return the ids of the frontends that hold slots."""
        return tuple(id for id in self._by_frontend if id != UNKNOWN_FRONTEND)

    # ------------------------------------------------------------ runner reports

    def apply_report(self, report: RunnerReport, *, now: float) -> tuple[SlotLease, ...]:
        """Apply a status report of a runner.

        :returns: the leases that the report ended.
        """
        runner = self.runners.get(report.runner_id)
        if runner is None:
            return ()
        runner.reported_leaving = report.leaving
        runner.reported_slots = report.slots
        if runner.blocked_until is not None and report.asked_at >= runner.report_not_before:
            self._lease_unknown_requests(runner, report, now)
            runner.blocked_until = None
        ended = tuple(
            lease
            for lease in [self.leases[grant_id] for grant_id in runner.leases]
            if self._is_ended_by(lease, report, now)
        )
        for lease in ended:
            self._remove(lease)
        self._update_totals(runner)
        self._remove_if_idle(runner)
        return ended

    def _lease_unknown_requests(self, runner: Runner, report: RunnerReport, now: float) -> None:
        """Add a lease for each running request that has none.

        An earlier owner may have received an unknown outcome for it, or its frontend has died.
        """
        for request_id in report.running:
            if self.find(runner_id=runner.id, request_id=request_id) is not None:
                continue
            self._add(
                SlotLease(
                    grant_id=next(self._unknown_grant_ids),
                    request_id=request_id,
                    frontend_id=UNKNOWN_FRONTEND,
                    account="",
                    runner_id=runner.id,
                    usable_until=now,
                    deadline=now + self.rules.longest_request_s,
                    granted_at=now,
                    unclear_since=now,
                )
            )

    def _is_ended_by(self, lease: SlotLease, report: RunnerReport, now: float) -> bool:
        """Return whether a runner's report ends a lease; the frontend's report takes precedence."""
        if lease.request_id in report.running:
            self._extend(lease, now + self.rules.margin_s)
            return False
        if lease.unclear_since is None:
            return False
        if lease.request_id in report.finished:
            return True
        # "Not running" is conclusive only once no part of the request can be in transit. Otherwise
        # the slot would be granted again before the request arrives.
        last_sent = max(lease.usable_until, lease.unclear_since)
        return report.asked_at >= last_sent + self.rules.settle_s

    # ------------------------------------------------------------ time

    def expire(self, *, now: float) -> tuple[SlotLease, ...]:
        """Free the slots whose requests must have ended, and lift expired blocks.

        :returns: the leases that expired.
        """
        for runner in list(self.runners.values()):
            if runner.blocked_until is not None and runner.blocked_until <= now:
                runner.blocked_until = None
                self._update_totals(runner)
                self._remove_if_idle(runner)
        ended = []
        while self._expiries and self._expiries[0][0] <= now:
            _, grant_id = heapq.heappop(self._expiries)
            lease = self.leases.get(grant_id)
            if lease is not None and lease.hold_until <= now:
                self._remove(lease)
                ended.append(lease)
        return tuple(ended)

    def next_expiry(self) -> float | None:
        """Return the time at which :meth:`expire` must be called next."""
        expiries = [r.blocked_until for r in self.runners.values() if r.blocked_until is not None]
        first = self._expiries[0][0] if self._expiries else None
        if first is not None:
            expiries.append(first)
        return min(expiries, default=None)

    # ------------------------------------------------------------ totals

    def runners_to_query(self) -> tuple[Runner, ...]:
        """Return the runners whose report may free slots."""
        return tuple(
            runner
            for runner in self.runners.values()
            if runner.blocked_until is not None
            or any(self.leases[id].unclear_since is not None for id in runner.leases)
        )

    def capacity(self) -> int:
        """Return the total number of slots of the runners that accept requests."""
        return self._capacity

    def free(self) -> int:
        """Return the number of slots that can be granted now."""
        return self._free

    # ------------------------------------------------------------ internal

    def _add(self, lease: SlotLease) -> None:
        self.leases[lease.grant_id] = lease
        runner = self.runners[lease.runner_id]
        runner.leases.add(lease.grant_id)
        self._update_totals(runner)
        self._by_request.setdefault(lease.request_id, {})[lease.runner_id] = lease.grant_id
        self._by_frontend.setdefault(lease.frontend_id, set()).add(lease.grant_id)
        self._extend(lease, lease.deadline + self.rules.margin_s)

    def _extend(self, lease: SlotLease, until: float) -> None:
        if until > lease.hold_until:
            lease.hold_until = until
            heapq.heappush(self._expiries, (until, lease.grant_id))
        self._trim_expiries()

    def _trim_expiries(self) -> None:
        """Remove entries of ended leases to keep the heap proportional to the number of leases."""
        if len(self._expiries) <= 64 + 4 * len(self.leases):
            return
        self._expiries = [(lease.hold_until, id) for id, lease in self.leases.items()]
        heapq.heapify(self._expiries)

    def _remove(self, lease: SlotLease) -> None:
        del self.leases[lease.grant_id]
        runner = self.runners[lease.runner_id]
        runner.leases.discard(lease.grant_id)
        self._update_totals(runner)
        attempts = self._by_request.get(lease.request_id, {})
        if attempts.get(lease.runner_id) == lease.grant_id:
            del attempts[lease.runner_id]
            if not attempts:
                del self._by_request[lease.request_id]
        frontend_leases = self._by_frontend[lease.frontend_id]
        frontend_leases.discard(lease.grant_id)
        if not frontend_leases:
            del self._by_frontend[lease.frontend_id]
        self._remove_if_idle(runner)

    def _update_totals(self, runner: Runner) -> None:
        """Update the totals after a change of a runner, so that no decision has to compute them."""
        self._free += self._set_count(self._free_by_runner, runner.id, runner.free())
        capacity = 0 if runner.leaving else runner.capacity
        self._capacity += self._set_count(self._capacity_by_runner, runner.id, capacity)

    @staticmethod
    def _set_count(counts: dict[str, int], id: str, count: int) -> int:
        before = counts.pop(id, 0)
        if count:
            counts[id] = count
        return count - before

    def _remove_if_idle(self, runner: Runner) -> None:
        if not runner.listed and not runner.leases and runner.blocked_until is None:
            self.runners.pop(runner.id, None)


def grant_ids(epoch: int) -> Iterable[int]:
    """Return an iterator of grant ids that no other epoch uses.

    A delayed release that arrives after a takeover must never free the slot of another grant.
    """
    return itertools.count((epoch << 32) + 1)
