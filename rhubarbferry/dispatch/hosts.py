"""The hosts as the owner of the work knows them: room, clock, task leases."""

from __future__ import annotations

from attrs import Factory, define, field, frozen

from rhubarbferry.dispatch.job import Run
from rhubarbferry.dispatch.messages import HostEntry, HostPhase, HostReport, Sizes, TaskId

# A host's clock may run this much slower than ours, by the platform's word.
CLOCK_DRIFT = 0.02
# Added to a lapse that is worked out from clocks: the kill itself takes a moment.
LAPSE_MARGIN_S = 0.3


@frozen(kw_only=True, slots=True)
class HostClock:
    """One reading of a host's clock.

    :param clock_s: what it showed when it answered.
    :param sent_at: our time before the call was sent.
    :param received_at: our time when the answer arrived.
    """

    clock_s: float
    sent_at: float
    received_at: float

    def estimate(self, now: float) -> float:
        """Return about what it shows now; it may show a little more, by the way back."""
        return self.clock_s + now - self.received_at

    def lower_bound(self, now: float) -> float:
        """Return what it shows at least, even where it runs slow."""
        return self.clock_s + (now - self.received_at) * (1 - CLOCK_DRIFT)


# How long a look at a host waits for an end. Shorter finds a silent host sooner, longer costs fewer
# calls.
LOOK_S = 0.7
LONGEST_LOOK_S = 1.4
# Beyond two looks, the time that their answers take.
SILENT_MARGIN_S = 0.1

RunKey = tuple[TaskId, int]


@define(kw_only=True, eq=False, slots=True)
class Host:
    """One life of a host.

    :param listed: whether the host list shows it.
    :param adopted: whether it has answered under the present owner's fence number. Before
        that an earlier owner's orders may still be carried out, so it gets no tasks.
    :param held_until_s: on its own clock, the end of the task leases that were asked for.
    :param seen_end: highest number of an end that has been worked in.
    :param recorded_end: highest number whose ends stand in the store.
    :param unknown_runs: runs of jobs that have ended or are unknown, with the time of the last
        order to stop them. What they take up is not known, so until they are gone the host gets no
        tasks; it would be given more than it holds.
    :param closed: it gets no orders to start tasks, as the next owner may take it for idle.
    :param blocked_until: it gets no new tasks before this time.
    :param leaves_at: while it is draining, until when it stays at least; it is the earliest time
        given by its entries, as each is up to a heartbeat old when it is read.
    :param look_s: how long looks at it wait at present.
    :param is_open: whether it takes tasks, as of the last decision.
    """

    entry: HostEntry
    listed: bool = True
    adopted: bool = False
    closed: bool = False
    used: Sizes = field(factory=Sizes)
    runs: dict[RunKey, Run] = Factory(dict)
    unknown_runs: dict[RunKey, float] = Factory(dict)
    clock: HostClock | None = None
    held_until_s: float = 0.0
    seen_end: int = 0
    recorded_end: int = 0
    last_report_at: float = 0.0
    blocked_until: float = 0.0
    leaves_at: float | None = None
    look_s: float = LOOK_S
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
        """What is left of its capacity.

        Kept until something changes: with a backlog it is looked at for each waiting step, which
        took a third of all time.
        """
        capacity = self.entry.capacity
        if self._room_used is not self.used or self._room_capacity is not capacity:
            self._room_used = self.used
            self._room_capacity = capacity
            self._room = capacity.minus(self.used)
        return self._room

    @property
    def silent_s(self) -> float:
        """After how long without an answer it gets no new tasks: it may be gone, or cut off."""
        return 2 * self.look_s + SILENT_MARGIN_S

    def takes_tasks(self, now: float) -> bool:
        """Tell whether it may get a task now."""
        return (
            self.listed
            and self.adopted
            and not self.closed
            and self.clock is not None
            and not self.unknown_runs
            and self.entry.phase is HostPhase.READY
            and now >= self.blocked_until
            and now - self.last_report_at < self.silent_s
        )

    def hold(self, now: float, hold_s: float) -> float | None:
        """Return the time on its clock until which its task leases are to run.

        ``None`` when they are not to be extended: before its clock is known, and while it is
        silent. What is returned counts as ordered from here on, since a call without an answer
        may have been carried out. Were a silent host's leases extended with each try, they
        would never count as over, and the tasks of a host that has died would wait for ever.
        """
        if self.clock is None or now - self.last_report_at >= self.silent_s:
            return None
        until = self.clock.estimate(now) + hold_s
        self.held_until_s = max(self.held_until_s, until)
        return until

    def note_leaving(self, now: float) -> None:
        """Work in how long its entry says that it stays."""
        if self.entry.phase is not HostPhase.DRAINING:
            self.leaves_at = None
        elif self.entry.remaining_s is not None:
            leaves_at = now + self.entry.remaining_s
            self.leaves_at = min(leaves_at, self.leaves_at or leaves_at)

    def add(self, run: Run) -> None:
        """Count a run against the room."""
        self.runs[(run.task.id, run.attempt)] = run
        self.used = self.used.plus(run.task.step.req.room)

    def remove(self, run: Run) -> None:
        """Give the room of a run back."""
        if self.runs.pop((run.task.id, run.attempt), None) is not None:
            self.used = self.used.minus(run.task.step.req.room)

    def note_report(
        self, report: HostReport, *, sent_at: float, now: float, lease_s: float
    ) -> None:
        """Note that it answered.

        :param lease_s: longest lease that the host grants.
        """
        self.last_report_at = now
        if self.clock is None:
            # What it runs may have been ordered by an earlier owner, whose deadlines this one
            # has not seen. Taken for lapsed too early, those tasks would run twice.
            self.held_until_s = max(self.held_until_s, report.clock_s + lease_s)
        self.clock = HostClock(clock_s=report.clock_s, sent_at=sent_at, received_at=now)

    def leases_lapsed(self, now: float) -> bool:
        """Tell whether nothing that was ordered here can be running any more.

        A host that has gone silent may be cut off and run on. Its tasks may start elsewhere
        only once their leases have ended by its own clock, or a task would run twice.
        """
        if self.clock is None:
            return False
        return self.clock.lower_bound(now) > self.held_until_s + LAPSE_MARGIN_S
