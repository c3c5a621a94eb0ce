"""State machine test of hosts that restart under their ids elsewhere, or as another kind.

Calls reach whichever host has the address by then, which refuses those meant for another id. The
host list may show an earlier incarnation for a while. Everything that the state machine of the
dispatcher brings about happens here too. Starts need a ticket, which the policy service issues for
the life that the host has at that moment, whichever one the owner knows of.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from attrs import define, evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, precondition, rule

from rhubarbferry.dispatch.job import Job
from rhubarbferry.dispatch.messages import (
    ApprovalRequest,
    HostEntry,
    JobRequest,
    OrderResult,
    Queue,
    Refusal,
    Refused,
    Sizes,
    StartOrder,
    StepRequest,
    Unanswered,
)
from rhubarbferry.dispatch.takeover import RosterEntry

from .host_model import LEASE_S, HostModel, InvariantViolated
from .test_dispatcher_machine import (
    EXAMPLES,
    FUZZING,
    HOSTS,
    MAX_RULES,
    QUEUES,
    TICK_S,
    DispatcherMachine,
    Fate,
)
from .ticket_model import APPROVAL_COST, PolicyModel, TicketHost

KINDS = ("a", "b")
ADDRESSES = tuple(f"address{index}:1" for index in range(HOSTS + 1))
# Steps that need a kind may have a single host, so fewer jobs can end within the recovery time.
MAX_OPEN_JOBS = 6


@define
class MovableHost(TicketHost):
    """A host whose incarnations may differ in their addresses and kinds.

    :ivar listed_entry: the outdated entry that the host list shows; ``None`` if it is up to date.
    """

    address: str = ""
    kind: str = KINDS[0]
    listed_entry: HostEntry | None = None

    def entry(self) -> HostEntry:
        if self.listed_entry is not None:
            return self.listed_entry
        return evolve(super().entry(), address=self.address, labels=(self.kind,))

    def start(self, order: StartOrder, fence: int) -> OrderResult:
        result = super().start(order, fence)
        kind = self.oracle.request(order.task).required_label
        if (order.task, order.attempt) in self.running and kind not in ("", self.kind):
            raise InvariantViolated(f"{order.task} needs {kind} and runs on {self.kind}")
        return result


class IncarnationMachine(DispatcherMachine):
    """The dispatcher's state machine with hosts that move and change their kinds."""

    @initialize(rates=st.lists(st.sampled_from([1.0, 0.98]), min_size=HOSTS, max_size=HOSTS))
    def begin(self, rates):
        self.list_readable = True
        self.policy = PolicyModel()
        super().begin(rates=rates)
        for index, (id, host) in enumerate(self.oracle.hosts.items()):
            self.oracle.hosts[id] = MovableHost(
                id=id,
                oracle=self.oracle,
                clock_rate=host.clock_rate,
                address=ADDRESSES[index],
                kind=KINDS[index % len(KINDS)],
                policy=self.policy,
            )
        self.roster = {}
        self.take_over()

    # ------------------------------------------------------------ events

    @precondition(lambda self: len(self.records) < MAX_OPEN_JOBS)
    @rule(width=st.integers(1, 3), kind=st.sampled_from(KINDS), queue=st.sampled_from(QUEUES))
    def submit_for_kind(self, width, kind, queue):
        self.count += 1
        step = StepRequest(
            count=width,
            sizes=Sizes(millicores=1000, memory_mb=10),
            estimate_s=2.0,
            required_label=kind,
        )
        req = JobRequest(id=f"j{self.count}", queue=queue.name, payload="", steps=(step,))
        self.oracle.steps[req.id] = req.steps
        self.records[req.id] = (req, queue, None, self.fence)
        self.dispatcher.add_job(self.job(req, queue), now=self.now, wall_s=self.wall_s)

    @rule(
        addresses=st.permutations(ADDRESSES),
        kinds=st.lists(st.sampled_from(KINDS), min_size=HOSTS, max_size=HOSTS),
    )
    def move(self, addresses, kinds):
        """Restart the hosts whose address or kind changes."""
        for host, address, kind in zip(self.oracle.hosts.values(), addresses, kinds, strict=False):
            if (host.address, host.kind) != (address, kind):
                host.address, host.kind = address, kind
                host.restart()

    @precondition(lambda self: len(self.records) < MAX_OPEN_JOBS)
    @rule(addresses=st.permutations(ADDRESSES), queue=st.sampled_from(QUEUES))
    def take_over_after_move(self, addresses, queue):
        """Move hosts, run tasks on them, and replace the owner."""
        self.move(addresses, [host.kind for host in self.oracle.hosts.values()])
        self.advance(8)
        self.submit([4], 1, False, False, queue)
        self.advance(2)
        self.take_over()
        self.tick()

    @rule(host=st.integers(0, HOSTS - 1), kind=st.sampled_from(KINDS))
    def change_kind(self, host, kind):
        """Restart a host as another kind, at the same address."""
        found = self.oracle.hosts[f"h{host}"]
        found.kind = kind
        found.restart()

    @rule(
        decision_ticks=st.sampled_from([1, 2, 5]),
        trip_ticks=st.sampled_from([0, 1]),
        late_call_ticks=st.sampled_from([1, 2, 3, 4, 5, 16, 44]),
    )
    def set_latencies(self, decision_ticks, trip_ticks, late_call_ticks):
        """Set how long approvals take, and after which time late calls are carried out."""
        self.policy.decision_s = decision_ticks * TICK_S
        self.policy.trip_s = trip_ticks * TICK_S
        self.late_call_delay_s = late_call_ticks * TICK_S

    @rule(host=st.integers(0, HOSTS - 1))
    def delay_entry(self, host):
        """Leave the entry of a host in the host list as it is, whatever the host does."""
        found = self.oracle.hosts[f"h{host}"]
        found.listed_entry = found.entry()

    @rule(host=st.integers(0, HOSTS - 1), reports_lost=st.booleans())
    def restart_unnoticed(self, host, reports_lost):
        """Restart a host whose new incarnation is not listed, and may not be shown by a report."""
        self.delay_entry(host)
        if reports_lost:
            self.lose_reports(host)
        self.crash(host, restart=True)

    @precondition(lambda self: len(self.records) < MAX_OPEN_JOBS)
    @rule(
        host=st.integers(0, HOSTS - 1),
        reports_lost=st.booleans(),
        width=st.integers(1, 4),
        cores=st.integers(1, 3),
        fate=st.sampled_from(Fate),
        ticks=st.integers(1, 8),
    )
    def submit_at_restart(self, host, reports_lost, width, cores, fate, ticks):
        """Request tickets for a host, one of whose incarnations ends unnoticed."""
        self.set_fates(host, [fate])
        self.restart_unnoticed(host, reports_lost)
        self.submit([width], cores, False, False, QUEUES[0])
        self.advance(ticks)

    @rule()
    def heal(self):
        super().heal()
        for host in self.oracle.hosts.values():
            host.listed_entry = None

    @rule()
    def take_over(self):
        """Replace the owner; the next one calls the roster's hosts before it reads the list."""
        self.list_readable = False
        super().take_over()
        self.list_readable = True
        for id, known in self.roster.items():
            self.dispatcher.tracker.hosts[id].entry = roster_host(known)

    # ------------------------------------------------------------ helpers

    def job(self, req: JobRequest, queue: Queue, *, inherited: bool = False) -> Job:
        return super().job(req, evolve(queue, advice=APPROVAL_COST), inherited=inherited)

    def carry_out_late_calls(self) -> None:
        self.policy.advance(self.now, self.oracle.hosts)
        super().carry_out_late_calls()

    def host_at(self, address: str) -> HostModel | None:
        """Return the host that answers at an address."""
        for host in self.oracle.hosts.values():
            if host.address == address and not host.down and host.id not in self.partitioned:
                return host
        return None

    def read_host_list(self) -> None:
        if self.list_readable:
            super().read_host_list()

    def poll(self, host: HostModel) -> None:
        state = self.dispatcher.tracker.hosts.get(host.id)
        if state is None or state.fence is None:
            return
        answering = self.host_at(state.entry.address)
        if answering is host:
            super().poll(host)
            return
        state.extend_leases(self.now, LEASE_S)
        if answering is not None:
            self.dispatcher.host_gone(host.id, now=self.now)

    def send(self, order) -> None:
        if isinstance(order, ApprovalRequest):
            self.policy.request(order, self.dispatcher)
            return
        state = self.dispatcher.tracker.hosts.get(order.host)
        if state is None:
            # The host has left since the order was added.
            return
        answering = self.host_at(state.entry.address)
        if answering is self.oracle.hosts[order.host] or state.fence is None:
            super().send(order)
        elif isinstance(order, StartOrder):
            refused = Refused(reason=Refusal.OTHER_HOST)
            result = Unanswered() if answering is None else refused
            self.dispatcher.start_answered(
                order.host, order.task, order.attempt, result, now=self.now
            )

    def delay(self, host: HostModel, carry_out: Callable[[], object]) -> None:
        address = self.dispatcher.tracker.hosts[host.id].entry.address
        super().delay(host, partial(self.carry_out_at, address, host, carry_out))

    def carry_out_at(self, address: str, host: HostModel, carry_out: Callable[[], object]) -> None:
        """Carry out a late call if its host is at the address that it was sent to."""
        if host.address == address:
            carry_out()

    def teardown(self):
        if hasattr(self, "dispatcher"):
            for index, host in enumerate(self.oracle.hosts.values()):
                if host.kind != KINDS[index % len(KINDS)]:
                    self.change_kind(index, KINDS[index % len(KINDS)])
        super().teardown()


def roster_host(known: RosterEntry) -> HostEntry:
    """Return what a new owner knows of a host on the roster."""
    return HostEntry(
        id=known.id,
        incarnation=known.incarnation,
        service=known.service,
        address=known.address,
        capacity=Sizes(),
    )


TestIncarnationMachine = IncarnationMachine.TestCase
TestIncarnationMachine.settings = settings(
    max_examples=2 * EXAMPLES,
    stateful_step_count=MAX_RULES,
    derandomize=not FUZZING,
    deadline=None,
)


def new_machine() -> IncarnationMachine:
    machine = IncarnationMachine()
    machine.begin(rates=[1.0] * HOSTS)
    return machine


def test_hosts_that_swap_their_addresses_keep_their_runs_at_a_takeover():
    """Guards against a new owner that calls the hosts at the addresses of earlier incarnations."""
    machine = new_machine()
    machine.advance(2)
    first, second, third, free = ADDRESSES
    machine.move(
        [second, first, third, free], [host.kind for host in machine.oracle.hosts.values()]
    )
    machine.advance(8)
    machine.submit([4, 4], 1, False, False, QUEUES[0])
    machine.advance(2)
    machine.take_over()
    machine.advance(8)
    machine.teardown()


def test_a_host_that_restarts_as_another_kind_gets_no_task_of_the_former_kind():
    """Guards against a start on a host by the label of its earlier incarnation."""
    machine = new_machine()
    machine.advance(2)
    machine.delay_entry(1)
    machine.change_kind(1, KINDS[0])
    machine.submit_for_kind(3, KINDS[1], QUEUES[0])
    machine.advance(8)
    machine.teardown()
