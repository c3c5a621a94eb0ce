"""Hosts as tracked by the owner: free room, clock, task leases."""

from __future__ import annotations

from attrs import Factory, define, field, frozen

from rhubarbferry.dispatch.job import Run
from rhubarbferry.dispatch.messages import HostEntry, HostPhase, HostReport, Sizes, TaskId
from rhubarbferry.dispatch.quotas import Quotas

# A host's clock may run slower than this process's clock by up to this share, as the platform
# documents.
MAX_CLOCK_DRIFT = 0.02
# Added to an expiry time that is computed from clocks, since killing a task takes time.
LEASE_EXPIRY_MARGIN_S = 0.3


# A host may carry out an order this long after it was sent.
MAX_ORDER_DELAY_S = 12.0


@frozen(kw_only=True, slots=True)
class HostClock:
    """One reading of a host's clock.

    :param clock_s: time on the host's clock when it answered.
    :param sent_at: local time before the call was sent.
    :param received_at: local time when the answer arrived.
    """

    clock_s: float
    sent_at: float
    received_at: float

    def estimate(self, now: float) -> float:
        """Estimate the host's current time, which may be later by the latency of the answer."""
        return self.clock_s + now - self.received_at

    def lower_bound(self, now: float) -> float:
        """Return the earliest possible current time on the host's clock, which may run slow."""
        return self.clock_s + (now - self.received_at) * (1 - MAX_CLOCK_DRIFT)


# How long a host may hold back its answer to a poll until a run ends. A shorter wait detects a
# silent host sooner, a longer one costs fewer calls.
POLL_WAIT_S = 0.7
MAX_POLL_WAIT_S = 1.4
# Latency of the answers, added to the wait time of two polls.
POLL_LATENCY_MARGIN_S = 0.1

RunKey = tuple[TaskId, int]


@define(kw_only=True, eq=False, slots=True)
class Host:
    """One incarnation of a host.

    :param quotas: counts its runs for the accounts of their jobs.
    :param fence: fence number of all calls to this incarnation. It is ``None``, and the host is not
        called, until the stored roster lists the incarnation.
    :param listed: whether the host list contains it.
    :param adopted: whether it has answered under the current owner's fence and its runs are known.
        Until then it may still carry out an earlier owner's orders, so it receives no tasks.
    :param closed: whether it receives no start orders because its roster entry says so; the next
        owner may rely on that entry and assume that the host is idle.
    :param used: room taken by its runs, including reserved ones.
    :param unknown_runs: runs of jobs that have ended or are unknown, each with the time of the last
        stop order. Their size is unknown, so the host receives no tasks until they have ended; it
        could be overcommitted otherwise.
    :param leases_until_s: time on its clock until which task leases have been requested.
    :param seen_end: number of the last end that has been processed.
    :param recorded_end: number of the last end whose effect has been written to the store.
    :param unrecorded_ends: job of each processed end whose effect has not been written to the
        store, by the number of the end. The next owner learns of these ends from the host only.
    :param restarted_at: when its last restart under the same id was noticed.
    :param poll_failed_at: when a poll last failed; ``-inf`` once a later one has been answered.
    :param delays_starts: whether reserved runs wait for its next report, since a poll has failed.
    :param last_report_at: when its last report arrived.
    :param blocked_until: it receives no new tasks before this time.
    :param leaves_at: earliest time at which it may leave, while it is draining. It is the minimum
        over its entries in the host list, as each may be out of date by one heartbeat.
    :param poll_wait_s: current wait time of a poll.
    :param is_open: whether it accepts tasks, as of the last decision.
    """

    entry: HostEntry
    quotas: Quotas = Factory(Quotas)
    fence: int | None = None
    listed: bool = True
    adopted: bool = False
    closed: bool = False
    used: Sizes = field(factory=Sizes)
    runs: dict[RunKey, Run] = Factory(dict)
    unknown_runs: dict[RunKey, float] = Factory(dict)
    clock: HostClock | None = None
    leases_until_s: float = 0.0
    seen_end: int = 0
    recorded_end: int = 0
    unrecorded_ends: dict[int, str] = Factory(dict)
    restarted_at: float = float("-inf")
    poll_failed_at: float = float("-inf")
    delays_starts: bool = False
    last_report_at: float = 0.0
    blocked_until: float = 0.0
    leaves_at: float | None = None
    poll_wait_s: float = POLL_WAIT_S
    is_open: bool = False
    _room: Sizes = field(factory=Sizes)
    _room_used: Sizes | None = None
    _room_capacity: Sizes | None = None

    @property
    def id(self) -> str:
        """Its id in the host list."""
        return self.entry.id

    @property
    def room(self) -> Sizes:
        """Free room: its capacity minus what its runs use.

        The value is cached, since every decision reads it for each waiting step; with a backlog,
        computing it took a third of all processor time.
        """
        capacity = self.entry.capacity
        if self._room_used is not self.used or self._room_capacity is not capacity:
            self._room_used = self.used
            self._room_capacity = capacity
            self._room = capacity.minus(self.used)
        return self._room

    @property
    def acknowledgeable_end(self) -> int:
        """The number of the last end that it may forget.

        A host that has restarted under its id numbers its ends from 1 again, and would forget new
        ones that no process has read.
        """
        return 0 if self.poll_failed else self.recorded_end

    @property
    def poll_failed(self) -> bool:
        """Whether its last poll failed, so that it may have restarted since its last report."""
        return self.poll_failed_at > float("-inf")

    @property
    def silence_timeout_s(self) -> float:
        """Time without an answer after which the host is silent.

        A silent host may be down or partitioned, so it receives no new tasks.
        """
        return 2 * self.poll_wait_s + POLL_LATENCY_MARGIN_S

    def accepts_tasks(self, now: float) -> bool:
        """Return whether it accepts a task now."""
        return (
            self.listed
            and self.adopted
            and not self.closed
            and self.clock is not None
            and not self.unknown_runs
            and self.entry.phase is HostPhase.READY
            and now >= self.blocked_until
            and now - self.last_report_at < self.silence_timeout_s
        )

    def extend_leases(self, now: float, hold_s: float) -> float | None:
        """Extend its task leases; return the time on its clock until which they are to run.

        Return ``None`` if they must not be extended: while its clock is unknown, and while it is
        silent. The returned time counts as requested even if the call fails, since a call without
        an answer may have been carried out. If each attempt extended the leases of a silent host,
        they would never count as expired, and the tasks of a dead host would never start elsewhere.
        """
        if self.clock is None or now - self.last_report_at >= self.silence_timeout_s:
            return None
        until = self.clock.estimate(now) + hold_s
        self.leases_until_s = max(self.leases_until_s, until)
        return until

    def update_leaves_at(self, now: float) -> None:
        """Update :attr:`leaves_at` from its entry in the host list."""
        if self.entry.phase is not HostPhase.DRAINING:
            self.leaves_at = None
        elif self.entry.remaining_s is not None:
            leaves_at = now + self.entry.remaining_s
            self.leaves_at = min(leaves_at, self.leaves_at or leaves_at)

    def add(self, run: Run) -> None:
        """Add a run and take its room."""
        self.runs[(run.task.id, run.attempt)] = run
        self.used = self.used.plus(run.task.step.req.room)
        self.quotas.add(run)

    def remove(self, run: Run) -> None:
        """Remove a run and release its room."""
        if self.runs.pop((run.task.id, run.attempt), None) is not None:
            self.used = self.used.minus(run.task.step.req.room)
            self.quotas.remove(run)

    def add_end(self, number: int, job: str) -> None:
        """Add an end that has been processed and is not in the store yet."""
        self.seen_end = number
        self.unrecorded_ends[number] = job

    def mark_ends_recorded(self, number: int) -> None:
        """Record that the effects of all ends up to a number have been written to the store."""
        self.recorded_end = max(self.recorded_end, number)
        for recorded in [end for end in self.unrecorded_ends if end <= self.recorded_end]:
            del self.unrecorded_ends[recorded]

    def record_report(
        self, report: HostReport, *, sent_at: float, now: float, lease_s: float
    ) -> None:
        """Record the time and the clock reading of a report.

        :param lease_s: maximum lease that the host grants, in seconds.
        """
        self.last_report_at = now
        if self.clock is None:
            # An earlier owner may have started its runs and extended their leases to times that are
            # unknown here. Assume the longest possible lease: if a lease were considered expired
            # too early, its task would run twice.
            self.leases_until_s = max(self.leases_until_s, report.clock_s + lease_s)
        self.clock = HostClock(clock_s=report.clock_s, sent_at=sent_at, received_at=now)

    def leases_expired(self, now: float) -> bool:
        """Return whether all task leases requested from it have certainly expired.

        A silent host may be partitioned and still run its tasks. They may start elsewhere only
        after their leases have expired on its own clock, or a task would run twice.
        """
        if self.clock is None:
            return False
        return self.clock.lower_bound(now) > self.leases_until_s + LEASE_EXPIRY_MARGIN_S

    def silent_since_restart(self, now: float, lease_s: float) -> bool:
        """Return whether all its runs must have ended, as its new incarnation has never reported.

        Orders to the former incarnation may have reached the new one, whose clock is unknown.

        :param lease_s: maximum task lease that the host grants, in seconds.
        """
        if self.clock is not None or self.restarted_at == float("-inf"):
            return False
        longest_lease_s = lease_s * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
        return now - self.restarted_at > MAX_ORDER_DELAY_S + longest_lease_s
