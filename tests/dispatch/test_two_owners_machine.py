"""State machine test of a former owner that goes on acting beside its successor.

A former owner decides and sends for as long as its own lease lasts. Its calls are refused by hosts
that its successor has reached, and its writes to the store fail. Each of the two reaches other
hosts. Hosts restart under their ids, move, and are listed late; starts, polls, reports and answers
arrive late, in any order.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from rhubarbferry.cell.lease import CLOCK_MARGIN_S, LEASE_TTL_S
from rhubarbferry.dispatch.dispatcher import Dispatcher
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.messages import (
    HostReport,
    JobRequest,
    OrderResult,
    Sizes,
    StartOrder,
    StepRequest,
    Unanswered,
)
from rhubarbferry.dispatch.roster import close_unavailable_hosts, next_roster
from rhubarbferry.dispatch.takeover import RosterEntry

from .host_model import HostModel
from .test_dispatcher_machine import EXAMPLES, FUZZING, HOSTS, MAX_RULES, QUEUES, TICK_S, Fate
from .test_incarnation_machine import MAX_OPEN_JOBS, IncarnationMachine

# A report arrives within the time limit of a poll.
MAX_REPORT_DELAY_TICKS = 4

HOST_SETS = st.sets(st.integers(0, HOSTS - 1))


@define(kw_only=True)
class FormerOwner:
    """An owner whose key has been replaced and whose lease has not run out.

    :ivar roster: the roster that it believes to be stored.
    :ivar partitioned: hosts that it can't reach.
    :ivar reports_lost: hosts whose reports don't reach it.
    :ivar reads_host_list: whether the store answers it.
    :ivar acts_first: whether its calls arrive before its successor's of the same time.
    :ivar ended: whether it knows that it is no longer the owner.
    """

    dispatcher: Dispatcher
    roster: dict[str, RosterEntry]
    fences: dict[str, int]
    partitioned: set[str]
    reports_lost: set[str]
    acts_until: float
    reads_host_list: bool
    acts_first: bool
    ended: bool = False


@define(kw_only=True)
class LateReport:
    """A host's report on its way to an owner."""

    at: float
    sent_at: float
    dispatcher: Dispatcher
    host: Host
    fence: int | None
    report: HostReport


@define(kw_only=True)
class LateAnswer:
    """A host's answer to a start order on its way to an owner."""

    at: float
    dispatcher: Dispatcher
    order: StartOrder
    result: OrderResult


class TwoOwnersMachine(IncarnationMachine):
    """The state machine of incarnations with two owners at a time."""

    owner_lease_s = LEASE_TTL_S

    @initialize(rates=st.lists(st.sampled_from([1.0, 0.98]), min_size=HOSTS, max_size=HOSTS))
    def begin(self, rates):
        self.former: FormerOwner | None = None
        self.acting_former: FormerOwner | None = None
        self.report_delays: dict[str, int] = {}
        self.answers_delayed: set[str] = set()
        self.late_reports: list[LateReport] = []
        self.late_answers: list[LateAnswer] = []
        super().begin(rates=rates)

    # ------------------------------------------------------------ events

    @rule(
        cut_off=HOST_SETS,
        former_cut_off=HOST_SETS,
        reads_host_list=st.booleans(),
        acts_first=st.booleans(),
    )
    def take_over_beside(self, cut_off, former_cut_off, reads_host_list, acts_first):
        """Replace the owner, which goes on acting until its lease runs out."""
        former = FormerOwner(
            dispatcher=self.dispatcher,
            roster=self.roster,
            fences=self.fences,
            partitioned={f"h{index}" for index in former_cut_off},
            reports_lost=self.reports_lost,
            acts_until=self.now + LEASE_TTL_S - CLOCK_MARGIN_S,
            reads_host_list=reads_host_list,
            acts_first=acts_first,
        )
        self.partitioned = {f"h{index}" for index in cut_off}
        self.reports_lost = set()
        self.take_over()
        self.former = former

    @precondition(lambda self: len(self.records) < MAX_OPEN_JOBS)
    @rule(
        width=st.integers(1, 4),
        queue=st.sampled_from(QUEUES),
        cut_off=HOST_SETS,
        former_cut_off=HOST_SETS,
    )
    def take_over_after_job(self, width, queue, cut_off, former_cut_off):
        """Replace the owner, which then reads a job that was accepted before that."""
        self.count += 1
        step = StepRequest(count=width, sizes=Sizes(millicores=1000, memory_mb=10), estimate_s=2.0)
        req = JobRequest(id=f"j{self.count}", queue=queue.name, payload="", steps=(step,))
        self.oracle.steps[req.id] = req.steps
        self.records[req.id] = (req, queue, None, self.fence)
        job = self.job(req, queue)
        former = self.dispatcher
        self.take_over_beside(cut_off, former_cut_off, False, True)
        former.add_job(job, now=self.now, wall_s=self.wall_s)

    @precondition(lambda self: len(self.records) < MAX_OPEN_JOBS)
    @rule(
        host=st.integers(0, HOSTS - 1),
        width=st.integers(1, 4),
        fate=st.sampled_from(Fate),
        decision_ticks=st.sampled_from([1, 2]),
        ticks=st.integers(2, 6),
        cut_off=HOST_SETS,
        ticks_after=st.integers(1, 12),
    )
    def take_over_at_restart(self, host, width, fate, decision_ticks, ticks, cut_off, ticks_after):
        """Replace an owner that has started tasks on a host whose restart nobody has noticed."""
        self.set_latencies(decision_ticks, 0, 2)
        self.submit_at_restart(host, True, width, 1, fate, ticks)
        self.take_over_beside(cut_off, {host}, False, True)
        self.advance(ticks_after)

    @rule(host=st.integers(0, HOSTS - 1), ticks=st.integers(1, MAX_REPORT_DELAY_TICKS))
    def delay_reports(self, host, ticks):
        self.report_delays[f"h{host}"] = ticks

    @rule(host=st.integers(0, HOSTS - 1))
    def delay_answers(self, host):
        """Let the answers to start orders of a host arrive late."""
        self.answers_delayed.add(f"h{host}")

    @rule()
    def heal(self):
        super().heal()
        self.report_delays.clear()
        self.answers_delayed.clear()

    # ------------------------------------------------------------ the former owner

    @contextmanager
    def acting_as(self, former: FormerOwner) -> Iterator[None]:
        own = (self.dispatcher, self.roster, self.fences, self.partitioned, self.reports_lost)
        self.dispatcher, self.roster = former.dispatcher, former.roster
        self.fences, self.partitioned = former.fences, former.partitioned
        self.reports_lost = former.reports_lost
        self.acting_former = former
        try:
            yield
        finally:
            self.dispatcher, self.roster, self.fences, self.partitioned, self.reports_lost = own
            self.acting_former = None

    def act(self) -> None:
        former = self.former
        if former is None or former.ended or self.now >= former.acts_until:
            self.former = None
            super().act()
            return
        if not former.acts_first:
            super().act()
        with self.acting_as(former):
            super().act()
        if former.acts_first:
            super().act()

    @property
    def may_call(self) -> bool:
        return self.acting_former is None or not self.acting_former.ended

    def read_host_list(self) -> None:
        former = self.acting_former
        if former is None:
            super().read_host_list()
        elif former.reads_host_list and not former.ended:
            self.read_host_list_as(former)

    def read_host_list_as(self, former: FormerOwner) -> None:
        """Read the host list as a former owner, which can't store a new roster."""
        hosts = former.dispatcher.tracker.hosts
        listed = {
            host.id: host.entry()
            for host in self.oracle.hosts.values()
            if not host.down and host.id not in self.unlisted
        }
        close_unavailable_hosts(hosts, self.now)
        unconfirmed = former.dispatcher.takeover.unconfirmed
        roster = next_roster(former.roster, listed, hosts, unconfirmed=unconfirmed, now=self.now)
        if roster == former.roster:
            super().read_host_list()
        else:
            former.ended = True

    def poll(self, host: HostModel) -> None:
        if self.may_call:
            super().poll(host)

    def send(self, order) -> None:
        if self.may_call:
            super().send(order)

    # ------------------------------------------------------------ late reports and answers

    def receive(self, host: HostModel, report: HostReport | None) -> None:
        if report is None and self.acting_former is not None:
            # The host has answered the successor.
            self.acting_former.ended = True
            return
        delay = self.report_delays.get(host.id, 0)
        if report is None or not delay or host.id in self.reports_lost:
            super().receive(host, report)
            return
        state = self.dispatcher.tracker.hosts[host.id]
        self.late_reports.append(
            LateReport(
                at=self.now + delay * TICK_S,
                sent_at=self.now,
                dispatcher=self.dispatcher,
                host=state,
                fence=state.fence,
                report=report,
            )
        )

    def answer_start(self, order: StartOrder, result: OrderResult) -> None:
        if order.host not in self.answers_delayed or isinstance(result, Unanswered):
            super().answer_start(order, result)
            return
        self.late_answers.append(
            LateAnswer(at=self.now + TICK_S, dispatcher=self.dispatcher, order=order, result=result)
        )

    def carry_out_late_calls(self) -> None:
        super().carry_out_late_calls()
        for late in [late for late in self.late_reports if late.at <= self.now]:
            self.late_reports.remove(late)
            host, hosts = late.host, late.dispatcher.tracker.hosts
            if hosts.get(host.id) is host and host.fence == late.fence:
                late.dispatcher.handle_report(
                    host.id, late.report, sent_at=late.sent_at, now=self.now
                )
        for answer in [answer for answer in self.late_answers if answer.at <= self.now]:
            self.late_answers.remove(answer)
            order = answer.order
            answer.dispatcher.start_answered(
                order.host, order.task, order.attempt, answer.result, now=self.now
            )

    def teardown(self):
        self.former = None
        super().teardown()


TestTwoOwnersMachine = TwoOwnersMachine.TestCase
TestTwoOwnersMachine.settings = settings(
    max_examples=2 * EXAMPLES,
    stateful_step_count=MAX_RULES,
    derandomize=not FUZZING,
    deadline=None,
)
