"""State machine test of quotas: no account runs more than its quota, whatever happens.

Jobs belong to accounts with small quotas, which change. Everything that the state machine of the
dispatcher brings about happens here too: late, lost and repeated orders, partitions, crashes, and
owners that are replaced.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from rhubarbferry.dispatch.messages import Account, JobRequest, Queue, Sizes

from .host_model import CAPACITY
from .test_dispatcher_machine import EXAMPLES, FUZZING, HOSTS, MAX_RULES, QUEUES, DispatcherMachine

QUOTAS_CORES = (2, 4, 6)
# All jobs must be able to end within the recovery time once the faults have been removed.
MAX_OPEN_JOBS = 8
# No account may be blocked for good: the largest gang needs all hosts.
UNLIMITED = Sizes(millicores=HOSTS * CAPACITY.millicores)


class QuotaMachine(DispatcherMachine):
    """The dispatcher's state machine with two accounts, whose runs the oracle adds up."""

    @property
    def accounts(self) -> dict[str, Account]:
        return self.oracle.accounts

    def job(self, req: JobRequest, queue: Queue, *, inherited: bool = False):
        job = super().job(req, queue, inherited=inherited)
        name = self.oracle.account_of.setdefault(req.id, f"a{len(self.oracle.account_of) % 2}")
        job.account = self.accounts.setdefault(
            name, Account(name=name, quota=Sizes(millicores=1000 * QUOTAS_CORES[1]))
        )
        return job

    @rule(index=st.integers(0, 1), cores=st.sampled_from(QUOTAS_CORES))
    def change_quota(self, index, cores):
        self.configure(f"a{index}", Sizes(millicores=cores * 1000))

    @precondition(lambda self: len(self.records) <= MAX_OPEN_JOBS)
    @rule(host=st.integers(0, HOSTS - 1), queue=st.sampled_from(QUEUES), cores=st.integers(1, 3))
    def submit_to_new_owner(self, host, queue, cores):
        """Replace the owner while a host is partitioned, and submit jobs of both accounts."""
        self.partitioned.add(f"h{host}")
        self.take_over()
        for _ in range(2):
            self.submit([4], cores, False, False, queue)
        self.tick()

    def configure(self, name: str, quota: Sizes) -> None:
        self.accounts[name] = Account(name=name, quota=quota)
        self.dispatcher.configure({}, dict(self.accounts), now=self.now)

    def tick(self) -> None:
        super().tick()
        runs = [run for host in self.tracked() for run in host.runs.values()]
        assert self.dispatcher.quotas.check_usage(runs) == {}

    def teardown(self):
        if hasattr(self, "dispatcher"):
            for name in list(self.accounts):
                self.configure(name, UNLIMITED)
        super().teardown()


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    max_examples=EXAMPLES // 3,
    stateful_step_count=MAX_RULES,
    derandomize=not FUZZING,
    deadline=None,
)


def new_machine() -> QuotaMachine:
    machine = QuotaMachine()
    machine.begin(rates=[1.0] * HOSTS)
    return machine


def test_a_step_that_turns_late_beside_blocked_ones_does_not_stop_its_account():
    """A step waits for hosts, turns late, and is blocked behind one that nothing wakes."""
    machine = new_machine()
    urgent, batch = QUEUES
    for cores in (3, 1, 2, 1):
        machine.submit_to_new_owner(0, urgent, cores)
    machine.submit([4], 1, True, False, batch)
    machine.take_over()
    machine.submit([1], 1, False, False, urgent)
    machine.submit([2, 3], 3, True, False, urgent)
    machine.teardown()


def test_runs_that_are_stopped_during_a_takeover_count():
    """The record of a cancelled job is final while its tasks end, and the owner is replaced."""
    machine = new_machine()
    machine.submit_to_new_owner(0, QUEUES[0], 1)
    machine.heal()
    machine.cancel(0)
    machine.record()
    machine.submit_to_new_owner(1, QUEUES[0], 3)
    machine.teardown()
