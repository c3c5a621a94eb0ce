"""State machine test of scheduled jobs, whose owners have clocks that differ.

Occurrences overlap. Everything that the state machine of the dispatcher brings about happens here
too: late, lost and repeated orders, partitions, crashes, and owners that are replaced.
"""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.messages import EndKind, JobRequest, Sizes, StepRequest

from .host_model import CAPACITY, task_of
from .test_dispatcher_machine import (
    EXAMPLES,
    FUZZING,
    HOSTS,
    MAX_OPEN_ROUNDS,
    MAX_RULES,
    QUEUES,
    DispatcherMachine,
    rounds,
)

# Errors of the time of day of successive owners.
CLOCK_ERRORS_S = (-3.0, -0.5, 0.0, 0.5, 3.0)
MAX_TIMES = 4


class ScheduledJobsMachine(DispatcherMachine):
    """The dispatcher's state machine with jobs whose occurrences are due one after the other.

    :ivar clock_error_s: error of the owner's time of day.
    :ivar max_clock_error_s: largest error of any owner so far.
    """

    clock_error_s = 0.0
    max_clock_error_s = 0.0

    @property
    def wall_s(self) -> float:
        return self.now + self.clock_error_s

    @precondition(lambda self: self.open_rounds() < MAX_OPEN_ROUNDS)
    @rule(
        times=st.integers(1, MAX_TIMES),
        interval_s=st.sampled_from([0.0, 0.5, 2.0]),
        widths=st.lists(st.integers(1, 2), min_size=1, max_size=2),
        cores=st.integers(1, 2),
        gang=st.booleans(),
        queue=st.sampled_from(QUEUES),
    )
    def schedule(self, times, interval_s, widths, cores, gang, queue):
        self.count += 1
        steps = tuple(
            StepRequest(
                count=min(width, CAPACITY.millicores // (cores * 1000)),
                sizes=Sizes(millicores=cores * 1000, memory_mb=10),
                estimate_s=2.0,
                after=(index - 1,) if index else (),
                gang=gang,
            )
            for index, width in enumerate(widths)
        )
        req = JobRequest(
            id=f"j{self.count}",
            queue=queue.name,
            payload="",
            steps=steps,
            times=times,
            start_at_s=self.now,
            interval_s=interval_s,
        )
        self.oracle.steps[req.id] = steps
        self.records[req.id] = (req, queue, None, self.fence)
        self.dispatcher.add_job(self.job(req, queue), now=self.now, wall_s=self.wall_s)

    @rule(clock_error_s=st.sampled_from(CLOCK_ERRORS_S))
    def take_over_with_another_clock(self, clock_error_s):
        self.clock_error_s = clock_error_s
        self.max_clock_error_s = max(self.max_clock_error_s, clock_error_s)
        self.take_over()

    def open_rounds(self) -> float:
        return sum(
            rounds(step) * max(1, req.times)
            for req, *_ in self.records.values()
            for step in req.steps
        )

    def tick(self) -> None:
        super().tick()
        for host in self.oracle.hosts.values():
            for task, _ in host.running:
                req = self.records[task.job][0] if task.job in self.records else None
                if req is not None and req.times:
                    due_at = req.start_at_s + task.occurrence * req.interval_s
                    assert task.occurrence < req.times
                    assert self.now + self.max_clock_error_s >= due_at, f"{task} starts too early"

    def record(self) -> None:
        for job in self.dispatcher.dirty.values():
            if job.phase is JobPhase.COMPLETE:
                self.check_complete(job.req)
        super().record()

    def check_complete(self, req: JobRequest) -> None:
        """Check that all tasks of a job that is shown as complete have ended done."""
        for occurrence in range(max(1, req.times)):
            for index, step in enumerate(req.steps):
                members = {
                    task_of(req.id, index, number, occurrence=occurrence)
                    for number in range(step.count)
                }
                missing = members - self.oracle.done
                assert (
                    missing != members if step.gang else not missing
                ), f"{req.id} is complete without {sorted(map(str, missing))}"


TestScheduledJobsMachine = ScheduledJobsMachine.TestCase
TestScheduledJobsMachine.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=MAX_RULES,
    derandomize=not FUZZING,
    deadline=None,
)


def new_machine() -> ScheduledJobsMachine:
    machine = ScheduledJobsMachine()
    machine.begin(rates=[1.0] * HOSTS)
    machine.schedule(3, 0.0, [1], 1, False, QUEUES[0])
    machine.advance(1)
    return machine


def test_an_occurrence_without_progress_survives_a_change_of_the_owner():
    """The last occurrence ends first and is recorded, and the owner is replaced."""
    machine = new_machine()
    machine.end_run(2, EndKind.DONE)
    machine.advance(1)
    machine.record()
    machine.take_over()
    machine.teardown()


@pytest.mark.parametrize("ended", [False, True])
def test_an_occurrence_survives_an_owner_whose_clock_is_behind(ended):
    """The new owner's clock says that no occurrence is due, and a host reports a run or an end."""
    machine = new_machine()
    machine.take_over_with_another_clock(-3.0)
    if ended:
        machine.end_run(1, EndKind.DONE)
    machine.advance(1)
    machine.record()
    machine.advance(1)
    machine.teardown()
