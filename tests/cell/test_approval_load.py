"""Approvals for many gangs: a dispatcher, its request queue and a slow policy service."""

from __future__ import annotations

import math
import zlib

import pytest
from attrs import Factory, define, evolve

from rhubarbferry.cell.members import Member
from rhubarbferry.cell.orders import APPROVAL_TIMEOUT_MARGIN_S
from rhubarbferry.cell.policy_requests import Assignment, PolicyRequestQueue
from rhubarbferry.dispatch.messages import (
    Approval,
    ApprovalCost,
    ApprovalRequest,
    ApprovalResponse,
    StartOrder,
)
from tests.dispatch.world import CORES, QUEUE, World, job, step

from .fakes import member

HOSTS = 176
TICK_S = 0.05
APPROVED_OF_100 = 25
SLOW = ApprovalCost(decision_s=0.70, per_host_s=0.01, valid_s=1.5)
FAST = ApprovalCost(decision_s=0.012, per_host_s=0.0002, valid_s=1.5)
GANGS = evolve(QUEUE, name="gangs", priority=1, slack_factor=2.0, objective_s=1.2, advice=SLOW)
URGENT = evolve(QUEUE, name="urgent", priority=0, slack_factor=2.0, objective_s=0.5, advice=FAST)
LONGEST_CALL_S = SLOW.duration_s(50)


@define
class PolicyFault:
    """How the policy service treats the calls of some processes.

    :param delay: factor of the response time, ``inf`` if it never responds.
    :param refuses: whether it refuses the calls at once.
    """

    delay: float = 1.0
    refuses: bool = False

    def failed_after_s(self, order: ApprovalRequest) -> float:
        """Return after how long a call has failed, ``inf`` if it is answered."""
        if self.refuses:
            return TICK_S
        expected_s = order.cost.duration_s(len(order.hosts))
        limit_s = expected_s + APPROVAL_TIMEOUT_MARGIN_S
        return limit_s if self.delay * expected_s > limit_s else math.inf


@define
class Cell:
    """Processes that carry out the approval requests and start orders of a dispatcher."""

    world: World
    members: list[Member]
    faults: dict[str, PolicyFault] = Factory(dict)
    started: dict[str, float] = Factory(dict)
    waited_s: dict[str, float] = Factory(dict)
    calls: list[tuple[float, Assignment, bool]] = Factory(list)
    count: int = 0
    failed: int = 0
    queue: PolicyRequestQueue = Factory(
        lambda self: PolicyRequestQueue(own="m00", region="region", source=self.world.dispatcher),
        takes_self=True,
    )

    def run(self, seconds: float) -> None:
        """Run for a time; record when the steps of each job started."""
        until = self.world.now + seconds
        while self.world.now < until:
            self.world.deliver_reports()
            self.end_calls()
            orders = self.world.decide(TICK_S)
            while self.world.dispatcher.has_more:
                orders += self.world.decide()
            for order in orders:
                match order:
                    case StartOrder():
                        self.started.setdefault(order.task.job, self.world.now)
                        self.world.accept(order)
                    case ApprovalRequest():
                        self.queue.add(order, now=self.world.now)
            self.start_calls()

    def start_calls(self) -> None:
        now = self.world.now
        for assignment in self.queue.release_absent(self.members):
            self.world.dispatcher.approval_request_abandoned(assignment.order, now=now)
        for assignment in self.queue.assign(self.members, now=now):
            self.count += 1
            order = assignment.order
            self.waited_s.setdefault(order.step.job, assignment.waited_s)
            fault = self.faults.get(assignment.member.name, PolicyFault())
            failed_after_s = fault.failed_after_s(order)
            expected_s = fault.delay * order.cost.duration_s(len(order.hosts))
            ends_at = now + min(expected_s, failed_after_s)
            self.calls.append((ends_at, assignment, failed_after_s == math.inf))

    def end_calls(self) -> None:
        now = self.world.now
        for call in [call for call in self.calls if call[0] <= now]:
            self.calls.remove(call)
            _, assignment, answered = call
            if not self.queue.done(assignment, answered=answered, now=now):
                continue
            if not answered:
                self.failed += 1
                self.world.dispatcher.approval_request_failed(assignment.order, now=now)
                continue
            self.world.dispatcher.handle_approvals(self.respond(assignment.order), now=now)

    def respond(self, order: ApprovalRequest) -> ApprovalResponse:
        return ApprovalResponse(
            step=order.step,
            asked=order.hosts,
            approvals=tuple(
                Approval(host=id, ticket="t")
                for id in order.hosts
                if zlib.crc32(f"{order.step.job} {id}".encode()) % 100 < APPROVED_OF_100
            ),
            answered_at=self.world.now,
            valid_s=order.cost.valid_s,
        )


def cell_with(gangs: int, *, processes: int, hosts: int = HOSTS, width: int = 20) -> Cell:
    """Return a cell with gangs that have just arrived, each with one task on a host."""
    world = World(*(f"h{index:03}" for index in range(hosts)), millicores=64 * CORES)
    for index in range(gangs):
        req = step(width, gang=True, max_per_host=1, estimate=600.0)
        world.add(job(f"gang{index:02}", req, queue=GANGS, arrived_at=world.now))
    return Cell(world=world, members=[member(f"m{index:02}") for index in range(processes)])


def test_thirty_gangs_of_twenty_start_in_about_the_time_that_their_calls_take():
    """Guards against processes that are idle while gangs wait for approvals.

    A gang of 20 names some 135 hosts to have 20 approved, which is three calls of 45. A fourth
    round is for gangs with fewer approvals than expected.
    """
    cell = cell_with(30, processes=35)
    rounds = math.ceil(30 * 3 / 34) + 1
    cell.run(rounds * LONGEST_CALL_S)
    assert len(cell.started) == 30


def test_urgent_short_requests_wait_for_at_most_one_short_call():
    """Guards against long requests that occupy all processes when an urgent request arrives."""
    cell = cell_with(30, processes=8)
    for index in range(20):
        arrived = job(f"short{index}", step(1), queue=URGENT, arrived_at=cell.world.now)
        cell.world.add(arrived)
        cell.run(0.3)
    waited = [cell.waited_s[f"short{index}"] for index in range(20)]
    assert max(waited) <= FAST.duration_s(HOSTS) + TICK_S


def test_urgent_short_request_waits_for_at_most_one_long_call_of_one_process():
    """Guards against a single process that serves all long requests before an urgent one."""
    cell = cell_with(10, processes=1)
    cell.run(0.3)
    cell.world.add(job("short", step(1), queue=URGENT, arrived_at=cell.world.now))
    cell.run(LONGEST_CALL_S + 2 * TICK_S)
    assert cell.waited_s["short"] <= LONGEST_CALL_S + TICK_S


def test_requests_of_a_process_that_died_are_sent_again_at_once():
    """Guards against a gang that waits for the time limit of a call of a dead process."""
    cell = cell_with(1, processes=6)
    cell.run(0.2)
    dead = {assignment.member.name for _, assignment, _ in cell.calls}
    assert dead
    cell.calls.clear()
    cell.members = [item for item in cell.members if item.name not in dead]
    cell.run(2 * LONGEST_CALL_S)
    assert "gang00" in cell.started


FAULTS = {
    "hangs": PolicyFault(delay=math.inf),
    "refuses": PolicyFault(refuses=True),
    "is late": PolicyFault(delay=1.6),
}


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
def test_gangs_start_while_the_policy_service_fails_for_a_third_of_the_processes(fault):
    """Guards against gangs whose requests are sent through failing processes again and again."""
    cell = cell_with(12, processes=12)
    cell.faults = {f"m{index:02}": fault for index in range(0, 12, 3)}
    # Three calls for each gang through seven processes, one failed call that is sent again, and
    # a further request to renew the tickets that expired meanwhile.
    rounds = math.ceil(12 * 3 / 7) + 1
    failed_s = LONGEST_CALL_S + APPROVAL_TIMEOUT_MARGIN_S
    cell.run(rounds * LONGEST_CALL_S + failed_s)
    assert len(cell.started) == 12
    # Pauses of 1, 2, 4 and 8 s between the failures of a process.
    assert cell.failed <= 4 * len(cell.faults)


def test_no_requests_are_sent_for_cancelled_jobs():
    """Guards against calls for jobs that ended while their requests waited."""
    cell = cell_with(20, processes=2)
    cell.run(0.1)
    for index in range(20):
        cell.world.dispatcher.cancel_job(f"gang{index:02}")
    sent = cell.count
    cell.run(3 * LONGEST_CALL_S)
    assert cell.count == sent
    assert cell.queue.waiting_count == 0
