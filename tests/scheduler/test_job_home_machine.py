"""Model test of the home of one job, with crashes at every step and simulated workers."""

from __future__ import annotations

from attrs import define
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from rhubarbferry.core.cell import Cell
from rhubarbferry.core.jobs import FINAL, Job, TaskState
from rhubarbferry.core.worker_ledger import End
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler import job_records as records
from rhubarbferry.scheduler.context import Context
from rhubarbferry.scheduler.job_home import JobHome
from tests.scheduler.jobs_harness import (
    FAST,
    HOME,
    RACK,
    FakeCell,
    FakeHosts,
    FakeOwnership,
    FakeTenure,
    spec,
)

JOB = "north.0.j"
CONTEXT = Context(
    member_id="h",
    cfg=FAST,
    clock=SystemClock(),
    store=None,
    ownership=FakeOwnership(),
    hosts=FakeHosts(),
    cell=FakeCell(cell=Cell()),
    schedulers=None,
    guards=None,
    workers=None,
)
TASKS = 3
ENDS = st.sampled_from([End.DONE, End.FAILED, End.STOPPED, End.LEASE_LAPSED, End.PREEMPTED])


@define(kw_only=True, eq=False)
class Attempt:
    """The state of one attempt on the workers."""

    task_id: str
    number: int
    running: bool = True
    end: End | None = None

    @property
    def index(self) -> int:
        return int(self.task_id.split("/")[1])


class JobMachine(RuleBasedStateMachine):
    """Run each step of a dispatch or end as a rule, so that crashes can occur between any two."""

    @initialize(idempotent=st.booleans())
    def begin(self, idempotent: bool) -> None:
        self.idempotent = idempotent
        self.log: list[t.LogEntry] = []
        self.later: list[t.LogEntry] = []
        self.attempts: dict[str, Attempt] = {}
        self.claims: list[int] = []
        self.recorded: list[int] = []
        self.ran: set[int] = set()
        self.epoch = 0
        self.home = self._new_home()
        accepted = Job(
            id=JOB,
            spec=records.spec_of(spec(tasks=TASKS, idempotent=idempotent)),
            accepted_at=0.0,
            since=0.0,
            max_attempts=2,
        )
        self.log.append(records.accepted(accepted))
        self._replay()

    def _new_home(self) -> JobHome:
        self.epoch += 1
        tenure = FakeTenure(partition=HOME, epoch=self.epoch)
        return JobHome(tenure=tenure, ctx=CONTEXT, log=None)

    def _replay(self) -> None:
        for entry in self.log:
            self.home.replay(entry)

    @property
    def job(self) -> Job:
        return self.home._jobs[JOB]

    def _write(self, *entries: t.LogEntry) -> None:
        self.log.extend(self.home._later)
        self.home._later = []
        self.log.extend(entries)

    # ------------------------------------------------------------ the home

    @rule(compacted=st.booleans())
    def crash(self, compacted: bool) -> None:
        if compacted:
            self.log = list(self.home.snapshot())
        self.home = self._new_home()
        self.claims, self.recorded = [], []
        self._replay()

    @precondition(lambda self: self.job.waiting())
    @rule()
    def claim(self) -> None:
        index = self.job.claim(partition=str(RACK), epoch=1, home_epoch=self.epoch)
        self.claims.append(index)

    @precondition(lambda self: self.claims)
    @rule()
    def record_dispatch(self) -> None:
        index = self.claims.pop()
        self._write(*records.dispatched(self.job, [index]))
        self.recorded.append(index)

    @precondition(lambda self: self.recorded)
    @rule(started=st.booleans(), heard=st.booleans())
    def send_claim(self, started: bool, heard: bool) -> None:
        """Deliver a claim; the home receives the reply or crashes before it."""
        index = self.recorded.pop()
        live = self.job.live[index]
        if started:
            self.attempts[live.task_id] = Attempt(task_id=live.task_id, number=live.attempt)
        if not heard:
            self.crash(compacted=False)
        elif started:
            self.job.started(index, worker="w", now=0.0)
        else:
            self.home._not_started(self.job, index)

    @rule()
    def reconcile(self) -> None:
        """Deliver the reports of all workers to a home that has no claim in transit."""
        for item in self.claims + self.recorded:
            self.home._not_started(self.job, item)
        self.claims, self.recorded = [], []
        held = [
            t.HeldTask(
                task_id=a.task_id,
                attempt=a.number,
                job_id=JOB,
                worker_id="w",
                running=a.running,
                end=a.end,
            )
            for a in self.attempts.values()
        ]
        lane = FakeLane(name=str(RACK), epoch=self.epoch)
        reply = t.HeldTasksReply(owner=True, epoch=1, complete=True, tasks=held)
        self.home.reconciled(lane, reply)
        held_indexes = {a.index for a in self.attempts.values()}
        for index in self.job.indexes(TaskState.UNSURE):
            if index not in held_indexes:
                self.job.not_found(index)

    @rule()
    def cancel(self) -> None:
        self._write(records.cancelled(JOB))
        self.home._cancel(self.job)

    # ------------------------------------------------------------ the workers

    @precondition(lambda self: any(a.running for a in self.attempts.values()))
    @rule(end=ENDS, pick=st.integers(0, 9))
    def end(self, end: End, pick: int) -> None:
        running = [a for a in self.attempts.values() if a.running]
        attempt = running[pick % len(running)]
        attempt.running, attempt.end = False, end

    @precondition(lambda self: any(not a.running for a in self.attempts.values()))
    @rule(step=st.sampled_from(["lost", "written", "recorded"]), pick=st.integers(0, 9))
    def tell(self, step: str, pick: int) -> None:
        ended = [a for a in self.attempts.values() if not a.running]
        attempt = ended[pick % len(ended)]
        event = t.TaskEvent(
            task_id=attempt.task_id,
            attempt=attempt.number,
            job_id=JOB,
            end=attempt.end,
            worker_id="w",
            ran_ms=1,
        )
        entry = self.home._entry_of(event)
        if step == "lost":
            return
        if entry is not None:
            self._write(entry)
        if step == "written":
            self.crash(compacted=False)
            return
        self.home._apply(event)
        del self.attempts[attempt.task_id]
        self.ran.add(attempt.index)

    # ------------------------------------------------------------ invariants

    @invariant()
    def no_task_runs_twice_at_once(self) -> None:
        running = [a.index for a in self.attempts.values() if a.running]
        assert len(running) == len(set(running))

    @invariant()
    def nothing_that_is_not_idempotent_runs_again(self) -> None:
        if self.idempotent:
            return
        begun = [a.index for a in self.attempts.values()]
        assert len(begun) == len(set(begun))
        assert not set(begun) & self.ran

    @invariant()
    def not_run_is_only_said_of_what_did_not_run(self) -> None:
        begun = {a.index for a in self.attempts.values()} | self.ran
        for index in self.job.indexes(TaskState.NOT_RUN):
            assert index not in begun

    @invariant()
    def counts_match_states(self) -> None:
        job = self.job
        if job.finished is not None:
            return
        final = sum(job.state(index) in FINAL for index in range(TASKS))
        counts = job.counts
        assert counts.done + counts.failed + counts.unknown + counts.not_run == final
        assert counts.waiting + counts.running == TASKS - final
        assert min(counts.waiting, counts.running, counts.not_run) >= 0


@define(kw_only=True, eq=False)
class FakeLane:
    name: str
    epoch: int


TestJobMachine = JobMachine.TestCase
TestJobMachine.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None, database=None
)
