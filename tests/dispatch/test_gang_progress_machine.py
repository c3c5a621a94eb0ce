"""State machine test of the hang detection: only runs that stand still are stopped as hung.

The hosts of the dispatcher's state machine report progress that never stops rising, so they can't
show a gang whose members finish at different times. Here each member has its own amount of work
and stands at 100 percent until its gang ends, and runs hang. All other faults happen here too.
"""

from __future__ import annotations

import math

from attrs import Factory, define, evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from rhubarbferry.dispatch.messages import HostReport, StopOrder, TaskId

from .host_model import HostModel
from .test_dispatcher_machine import EXAMPLES, FUZZING, HOSTS, MAX_RULES, DispatcherMachine

# Work of the members of a gang in seconds, by their index.
WORK_S = (1.0, 4.0, 12.0)

RunKey = tuple[TaskId, int]


@define
class ProgressHostModel(HostModel):
    """A host whose runs report their true progress, up to 100 percent.

    :ivar hung: progress at which each hung run stands still.
    """

    hung: dict[RunKey, float] = Factory(dict)

    def percent(self, run: RunKey) -> float:
        if run in self.hung:
            return self.hung[run]
        task, _ = run
        spent_s = self.clock_s - self.running[run]
        return min(100.0, math.floor(100 * spent_s / WORK_S[task.index % len(WORK_S)]))

    def poll(self, fence: int, deadline_s: float | None, forget_up_to: int) -> HostReport | None:
        report = super().poll(fence, deadline_s, forget_up_to)
        if report is None:
            return None
        running = tuple(
            evolve(item, percent=self.percent((item.task, item.attempt))) for item in report.running
        )
        return evolve(report, running=running)


class GangProgressMachine(DispatcherMachine):
    """The dispatcher's state machine with true progress and runs that hang."""

    @initialize(rates=st.lists(st.sampled_from([1.0, 0.98]), min_size=HOSTS, max_size=HOSTS))
    def begin(self, rates):
        super().begin(rates=rates)
        for host in list(self.oracle.hosts.values()):
            self.oracle.hosts[host.id] = ProgressHostModel(
                id=host.id, oracle=self.oracle, clock_rate=host.clock_rate
            )

    @rule(pick=st.integers(0, 50))
    def hang(self, pick):
        runs = [(host, run) for host in self.oracle.hosts.values() for run in host.running]
        if runs:
            host, run = runs[pick % len(runs)]
            host.hung.setdefault(run, host.percent(run))

    def send(self, order):
        if isinstance(order, StopOrder) and order.reason == "no progress":
            self.check_stands_still(order)
        super().send(order)

    def check_stands_still(self, order: StopOrder) -> None:
        """Check that a run that is stopped as hung stands still, and not for its gang."""
        host = self.oracle.hosts[order.host]
        run = (order.task, order.attempt)
        if run not in host.running or run in host.hung:
            return
        assert host.percent(run) == 100, f"{run} is at {host.percent(run)} percent and works"
        if not self.oracle.request(order.task).gang:
            return
        for other in self.oracle.hosts.values():
            for task, attempt in other.running:
                same_gang = (task.job, task.step, attempt) == (
                    order.task.job,
                    order.task.step,
                    order.attempt,
                )
                percent = other.percent((task, attempt)) if same_gang else 100
                assert percent == 100, f"{run} waits for {task}, which is at {percent} percent"


TestGangProgressMachine = GangProgressMachine.TestCase
TestGangProgressMachine.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=MAX_RULES, derandomize=not FUZZING, deadline=None
)
