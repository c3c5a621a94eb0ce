"""State machine test of the dispatcher with late, lost and repeated orders.

An oracle checks the invariants. Hosts follow the rules in ``host_model`` and have clocks of their
own that run up to 2 % slow. Orders are lost, carried out without an answer, or carried out seconds
late; hosts are partitioned, crash and restart; the owner is replaced by one that has only the
stored state. At the end all faults are removed, and each job must end.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from enum import Enum
from functools import partial

from attrs import define, evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.hosts import LEASE_EXPIRY_MARGIN_S, MAX_CLOCK_DRIFT
from rhubarbferry.dispatch.job import Job, JobPhase
from rhubarbferry.dispatch.messages import (
    EndKind,
    HostReport,
    JobRequest,
    OrderResult,
    Queue,
    Sizes,
    StartOrder,
    StepRequest,
    StopOrder,
    Unanswered,
)
from rhubarbferry.dispatch.record import encode_state, restore_state
from rhubarbferry.dispatch.roster import (
    apply_roster,
    assign_fences,
    close_unavailable_hosts,
    next_fences,
    next_roster,
)
from rhubarbferry.dispatch.takeover import RosterEntry, Takeover

from .host_model import CAPACITY, LEASE_S, HostModel, Oracle

FUZZING = os.environ.get("HYPOTHESIS_PROFILE") == "fuzz"
EXAMPLES = 2000 if FUZZING else 150
MAX_RULES = 50
HOSTS = 3
TICK_S = 0.25
HOST_LIST_INTERVAL_TICKS = 2
# Delay after which a late order is carried out; the longest lease expires only after it.
LATE_ORDER_DELAY_S = 4.0
RECOVERY_TIMEOUT_S = 60.0
# No job is submitted while the open jobs need this many rounds of all hosts. A round takes 1.5 s in
# the recovery, and leases that have to expire and gangs that leave hosts partly idle take time too.
MAX_OPEN_ROUNDS = 20
QUEUES = (
    Queue(name="urgent", service="pool", priority=0, attempts=3, objective_s=5.0),
    Queue(name="batch", service="pool", priority=2, attempts=3, objective_s=500.0),
)


class Fate(Enum):
    """What happens to an order sent to a host."""

    ANSWERED = "answered"
    LOST = "lost"
    NOT_ANSWERED = "carried out and not answered"
    LATE = "carried out late"


@define
class LateCall:
    """An order or a poll that is carried out by whichever incarnation the host then has."""

    at: float
    host: HostModel
    carry_out: Callable[[], object]


def rounds(step: StepRequest) -> float:
    """Return the share of one round of all hosts that a step takes up."""
    slots = HOSTS * (CAPACITY.millicores // step.sizes.millicores)
    return 1 / (slots // step.count) if step.gang else step.count / slots


class DispatcherMachine(RuleBasedStateMachine):
    """The dispatcher, its hosts and the faults between them.

    :ivar owner_lease_s: time for which an owner may act beside its successor.
    """

    late_call_delay_s = LATE_ORDER_DELAY_S
    owner_lease_s = 0.0

    @initialize(rates=st.lists(st.sampled_from([1.0, 0.98]), min_size=HOSTS, max_size=HOSTS))
    def begin(self, rates):
        self.now = 100.0
        self.revision = self.fence = 1
        self.count = 0
        self.ticks = 0
        self.oracle = Oracle()
        self.late_calls: list[LateCall] = []
        self.records: dict[str, tuple[JobRequest, Queue, bytes | None, int]] = {}
        self.ended: dict[str, JobPhase] = {}
        self.partitioned: set[str] = set()
        self.unlisted: set[str] = set()
        self.reports_lost: set[str] = set()
        self.polls_late: set[str] = set()
        self.roster: dict[str, RosterEntry] = {}
        self.fences: dict[str, int] = {}
        self.fates: dict[str, list[Fate]] = {}
        for index, rate in enumerate(rates):
            host = HostModel(id=f"h{index}", oracle=self.oracle, clock_rate=rate)
            self.oracle.hosts[host.id] = host
        self.take_over()

    # ------------------------------------------------------------ events

    @precondition(lambda self: self.open_rounds() < MAX_OPEN_ROUNDS)
    @rule(
        widths=st.lists(st.integers(1, 4), min_size=1, max_size=2),
        cores=st.integers(1, 3),
        gang=st.booleans(),
        checkpointable=st.booleans(),
        queue=st.sampled_from(QUEUES),
    )
    def submit(self, widths, cores, gang, checkpointable, queue):
        self.count += 1
        # A gang that is too large for all hosts together would never start, which is correct.
        max_width = HOSTS * (CAPACITY.millicores // (cores * 1000)) if gang else max(widths)
        steps = tuple(
            StepRequest(
                count=min(width, max_width),
                sizes=Sizes(millicores=cores * 1000, memory_mb=10),
                estimate_s=2.0,
                after=(index - 1,) if index else (),
                gang=gang,
                checkpointable=checkpointable,
            )
            for index, width in enumerate(widths)
        )
        req = JobRequest(id=f"j{self.count}", queue=queue.name, payload="", steps=steps)
        self.oracle.steps[req.id] = steps
        self.records[req.id] = (req, queue, None, self.fence)
        self.dispatcher.add_job(self.job(req, queue), now=self.now, wall_s=self.wall_s)

    @rule(ticks=st.sampled_from([1, 2, 4, 8, 16, 30]))
    def advance(self, ticks):
        for _ in range(ticks):
            self.tick()

    @rule(
        host=st.integers(0, HOSTS - 1),
        fates=st.lists(st.sampled_from(Fate), min_size=1, max_size=4),
    )
    def set_fates(self, host, fates):
        """Set the fates of the next orders to a host; the last one applies to all later orders."""
        self.fates[f"h{host}"] = fates

    @rule(host=st.integers(0, HOSTS - 1))
    def partition(self, host):
        self.partitioned.add(f"h{host}")

    @rule(host=st.integers(0, HOSTS - 1))
    def unlist(self, host):
        """Drop a host from the host list while it is partitioned."""
        if f"h{host}" in self.partitioned:
            self.unlisted.add(f"h{host}")

    @rule(host=st.integers(0, HOSTS - 1))
    def lose_reports(self, host):
        """Lose a host's reports, while orders still reach it."""
        self.reports_lost.add(f"h{host}")

    @rule(host=st.integers(0, HOSTS - 1))
    def delay_polls(self, host):
        """Leave a host's polls unanswered and carry them out late."""
        self.polls_late.add(f"h{host}")

    @rule()
    def heal(self):
        self.partitioned.clear()
        self.unlisted.clear()
        self.reports_lost.clear()
        self.polls_late.clear()
        self.fates.clear()

    @rule(host=st.integers(0, HOSTS - 1), restart=st.booleans())
    def crash(self, host, restart):
        found = self.oracle.hosts[f"h{host}"]
        found.running.clear()
        found.down = True
        if restart:
            found.restart()

    @rule(pick=st.integers(0, 50), how=st.sampled_from([EndKind.DONE, EndKind.FAILED]))
    def end_run(self, pick, how):
        runs = [(host, run) for host in self.oracle.hosts.values() for run in host.running]
        if runs:
            host, run = runs[pick % len(runs)]
            host.end(run, how)

    @precondition(lambda self: self.dispatcher.jobs)
    @rule(pick=st.integers(0, 50))
    def cancel(self, pick):
        jobs = sorted(self.dispatcher.jobs)
        self.dispatcher.cancel_job(jobs[pick % len(jobs)])

    @rule()
    def record(self):
        """Store what has changed; hosts may forget the ends that it covers."""
        seen = [(host, host.entry, host.seen_end) for host in self.tracked()]
        for job in list(self.dispatcher.dirty.values()):
            req, queue, _, fence = self.records[job.id]
            self.records[job.id] = (req, queue, encode_state(job), fence)
            if job.phase.final:
                self.ended[job.id] = job.phase
                del self.records[job.id]
                self.dispatcher.mark_recorded(job)
        self.dispatcher.dirty.clear()
        for host, entry, end in seen:
            if host.entry.incarnation == entry.incarnation:
                host.mark_ends_recorded(end)

    @rule()
    def take_over(self):
        """Replace the owner by a process that has only the stored state."""
        self.revision += 1
        self.fence = self.revision
        self.fences = dict.fromkeys(self.roster, self.fence)
        longest_lease_s = LEASE_S * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
        leases_expire_at = self.now + self.owner_lease_s + longest_lease_s
        self.dispatcher = Dispatcher(
            takeover=Takeover(unconfirmed=dict(self.roster), leases_expire_at=leases_expire_at),
            lease_s=LEASE_S,
        )
        for id, known in self.roster.items():
            entry = evolve(self.oracle.hosts[id].entry(), incarnation=known.incarnation)
            self.dispatcher.host_listed(entry, now=self.now)
        apply_roster(self.roster, self.dispatcher.tracker.hosts)
        assign_fences(self.roster, self.fences, self.dispatcher.tracker.hosts)
        self.read_host_list()
        for req, queue, state, _ in list(self.records.values()):
            job = self.job(req, queue, inherited=True)
            if state is not None:
                if not req.times:
                    job.add_occurrence(0, self.now)
                restore_state(job, state, now=self.now)
            self.dispatcher.add_job(job, now=self.now, wall_s=self.wall_s)

    # ------------------------------------------------------------ helpers

    @property
    def wall_s(self) -> float:
        """The owner's time of day."""
        return self.now

    def open_rounds(self) -> float:
        """Return how often all hosts must be filled to run the steps of all open jobs once."""
        return sum(rounds(step) for req, *_ in self.records.values() for step in req.steps)

    def job(self, req: JobRequest, queue: Queue, *, inherited: bool = False) -> Job:
        return Job(
            req=req,
            queue=queue,
            arrived_at=self.now,
            record_revision=1,
            inherited=inherited,
            first_attempt=self.fence * 1000 if inherited else 1,
        )

    def tracked(self):
        return list(self.dispatcher.tracker.hosts.values())

    def tick(self) -> None:
        self.now += TICK_S
        for host in self.oracle.hosts.values():
            host.advance(TICK_S)
        self.carry_out_late_calls()
        self.ticks += 1
        self.act()

    def act(self) -> None:
        """Poll the hosts, read the host list, decide, and send the orders."""
        for host in self.oracle.hosts.values():
            self.poll(host)
        if self.ticks % HOST_LIST_INTERVAL_TICKS == 0:
            self.read_host_list()
        for order in self.dispatcher.decide(now=self.now, wall_s=self.wall_s):
            self.send(order)
        self.dispatcher.run_events.clear()

    def carry_out_late_calls(self) -> None:
        for call in [call for call in self.late_calls if call.at <= self.now]:
            self.late_calls.remove(call)
            if not call.host.down:
                call.carry_out()

    def read_host_list(self) -> None:
        """Read the host list and store the roster."""
        hosts = self.dispatcher.tracker.hosts
        listed = {
            host.id: host.entry()
            for host in self.oracle.hosts.values()
            if not host.down and host.id not in self.unlisted
        }
        close_unavailable_hosts(hosts, self.now)
        unconfirmed = self.dispatcher.takeover.unconfirmed
        before = self.roster
        self.roster = next_roster(before, listed, hosts, unconfirmed=unconfirmed, now=self.now)
        if self.roster != before:
            self.revision += 1
            self.fences = next_fences(self.fences, before, self.roster, revision=self.revision)
        apply_roster(self.roster, hosts)
        for entry in listed.values():
            new = entry.id not in hosts
            self.dispatcher.host_listed(entry, now=self.now)
            if new:
                apply_roster({entry.id: self.roster[entry.id]}, hosts)
        assign_fences(self.roster, self.fences, hosts)
        for id in hosts:
            if id not in listed:
                self.dispatcher.host_unlisted(id)

    def poll(self, host: HostModel) -> None:
        state = self.dispatcher.tracker.hosts.get(host.id)
        if state is None or state.fence is None or host.down:
            return
        deadline_s = state.extend_leases(self.now, LEASE_S)
        if host.id in self.partitioned:
            return
        poll = partial(host.poll, state.fence, deadline_s, state.recorded_end)
        if host.id in self.polls_late:
            self.delay(host, poll)
            return
        self.receive(host, poll())

    def receive(self, host: HostModel, report: HostReport | None) -> None:
        """Process the answer to a poll, which is ``None`` if the host refused it."""
        assert report is not None
        if host.id in self.reports_lost:
            return
        self.dispatcher.handle_report(host.id, report, sent_at=self.now, now=self.now)

    def send(self, order) -> None:
        host = self.oracle.hosts[order.host]
        fence = self.dispatcher.tracker.hosts[order.host].fence
        if fence is None:
            return
        fates = self.fates.get(host.id, [Fate.ANSWERED])
        fate = fates.pop(0) if len(fates) > 1 else fates[0]
        if host.id in self.partitioned:
            fate = Fate.LOST
        if host.down:
            fate = Fate.LOST
        result = None
        if fate in (Fate.ANSWERED, Fate.NOT_ANSWERED):
            result = self.carry_out(host, order, fence)
        if fate is Fate.LATE:
            self.delay(host, partial(self.carry_out, host, order, fence))
        if fate is not Fate.ANSWERED:
            result = Unanswered()
        match order:
            case StartOrder():
                self.answer_start(order, result)
            case StopOrder() if isinstance(result, float):
                self.dispatcher.stop_answered(host.id, order.task, order.attempt, result)

    def answer_start(self, order: StartOrder, result: OrderResult) -> None:
        self.dispatcher.start_answered(order.host, order.task, order.attempt, result, now=self.now)

    def delay(self, host: HostModel, carry_out: Callable[[], object]) -> None:
        """Carry out a call late that gets no answer."""
        self.late_calls.append(
            LateCall(at=self.now + self.late_call_delay_s, host=host, carry_out=carry_out)
        )

    def carry_out(self, host: HostModel, order, fence: int):
        if isinstance(order, StartOrder):
            return host.start(order, fence)
        return host.stop(order, fence)

    def teardown(self):
        """Remove all faults; each job must then complete or fail."""
        if not hasattr(self, "dispatcher"):
            return
        self.heal()
        for host in self.oracle.hosts.values():
            if host.down:
                host.restart()
        end = self.now + RECOVERY_TIMEOUT_S
        while self.now < end and self.dispatcher.jobs:
            self.tick()
            for host in self.oracle.hosts.values():
                for run, started_at in list(host.running.items()):
                    if host.clock_s - started_at > 1.0:
                        host.end(run, EndKind.DONE)
            self.record()
        assert not self.dispatcher.jobs, "jobs have not ended after all faults were removed"


TestDispatcherMachine = DispatcherMachine.TestCase
TestDispatcherMachine.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=MAX_RULES, derandomize=not FUZZING, deadline=None
)
