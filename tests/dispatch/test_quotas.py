"""Quotas of client accounts: what counts as used, and which steps wait for their account."""

from __future__ import annotations

import pytest

from rhubarbferry.dispatch.messages import (
    Account,
    ApprovalCost,
    ApprovalRequest,
    EndKind,
    Queue,
    Refusal,
    Refused,
    RunningTask,
    Sizes,
    StepRequest,
    StopOrder,
    TaskId,
    Unanswered,
)

from .world import CORES, World, entry, job, step

LANNA = Account(name="lanna", quota=Sizes(millicores=4 * CORES))
OTHER = Account(name="kryogonia", quota=Sizes(millicores=4 * CORES))
BATCH = Queue(name="batch", service="pool", priority=2, attempts=3, objective_s=500.0)
URGENT = Queue(name="urgent", service="pool", priority=0, attempts=3, objective_s=5.0)
POLICY_QUEUE = Queue(
    name="policy",
    service="pool",
    attempts=3,
    advice=ApprovalCost(decision_s=0.1, per_host_s=0.01, valid_s=2.0),
)


def make_world(*, hosts: int = 4, **fields) -> World:
    return World(*(f"h{index}" for index in range(hosts)), **fields)


def configure(world: World, *accounts: Account) -> None:
    world.dispatcher.configure({}, {each.name: each for each in accounts}, now=world.now)


def started_jobs(orders) -> list[str]:
    return [order.task.job for order in orders]


@pytest.mark.parametrize(
    ("quota", "count"),
    [
        (Sizes(millicores=4 * CORES), 4),
        (Sizes(memory_mb=250), 2),
        (Sizes(millicores=4 * CORES, memory_mb=250), 2),
        (Sizes(millicores=4 * CORES + CORES - 1), 4),
        (Sizes(accelerators=1), 10),
        (Sizes(), 10),
        (Sizes(millicores=CORES - 1), 0),
    ],
    ids=["cpu", "memory", "both", "a part", "not needed", "unlimited", "too small"],
)
def test_no_task_starts_beyond_the_quota(quota, count):
    world = make_world()
    world.add(job("j", step(10), account=Account(name="lanna", quota=quota)))
    world.add(job("free", step(3)))
    orders = world.starts()
    assert started_jobs(orders).count("j") == count
    assert started_jobs(orders).count("free") == 3


def test_a_blocked_step_continues_when_tasks_of_its_account_end():
    world = make_world()
    world.add(job("j", step(6), account=LANNA))
    first = world.starts()
    world.accept(*first)
    world.deliver_reports()
    assert world.starts(0.3) == []
    for order in first[:2]:
        world.hosts[order.host].end(order)
    world.deliver_reports()
    assert len(world.starts(0.1)) == 2


@pytest.mark.parametrize("case", ["stopping", "unanswered", "refused"])
def test_a_run_counts_until_it_has_certainly_ended(case):
    """Guards against an account that runs more than its quota while its stopped tasks end."""
    world = make_world()
    world.add(job("j", step(4), account=LANNA))
    first = world.starts()
    match case:
        case "stopping":
            world.accept(*first)
            world.dispatcher.cancel_job("j")
        case "unanswered":
            world.accept(*first[1:])
            world.answer(first[0], Unanswered())
        case "refused":
            world.accept(*first[1:])
            world.answer(first[0], Refused(reason=Refusal.UNHEALTHY))
    world.add(job("next", step(), account=LANNA))
    orders = world.starts(0.1)
    if case == "refused":
        assert len(orders) == 1
        return
    assert [order for order in orders if order.task.job == "next"] == []
    if case == "stopping":
        for order in first:
            world.hosts[order.host].end(order, EndKind.STOPPED)
        world.deliver_reports()
        assert started_jobs(world.starts(0.1)) == ["next"]


def test_a_gang_starts_within_the_quota_or_not_at_all():
    world = make_world()
    world.add(job("small", step(2), account=LANNA))
    small = world.starts()
    world.accept(*small)
    world.add(job("gang", step(3, gang=True), account=LANNA))
    assert world.starts(0.1) == []
    for order in small:
        world.hosts[order.host].end(order)
    world.deliver_reports()
    assert started_jobs(world.starts(0.1)) == ["gang"] * 3


def test_small_tasks_do_not_starve_a_gang_of_their_account():
    """A stream of small jobs takes all quota that becomes free, and the gang never starts."""
    world = make_world()
    world.add(job("small0", step(4), account=LANNA))
    running = world.starts()
    world.accept(*running)
    world.add(job("gang", step(4, gang=True), account=LANNA, arrived_at=1.0))
    started: list[str] = []
    for number in range(1, 6):
        world.add(job(f"small{number}", step(), account=LANNA, arrived_at=1.0 + number))
        if running:
            ended = running.pop()
            world.hosts[ended.host].end(ended)
        world.deliver_reports()
        orders = world.starts(0.1)
        world.accept(*orders)
        started += started_jobs(orders)
    assert started == ["gang"] * 4


def test_a_gang_wider_than_the_quota_does_not_block_its_account():
    """Guards against a job that can never start and holds up all others of its account."""
    world = make_world()
    world.add(job("wide", step(5, gang=True), account=LANNA))
    assert world.starts() == []
    world.add(job("small", step(), account=LANNA, arrived_at=5.0))
    assert started_jobs(world.starts(0.1)) == ["small"]
    configure(world, Account(name="lanna", quota=Sizes(millicores=6 * CORES)))
    assert started_jobs(world.starts(0.1)) == ["wide"] * 5


@pytest.mark.parametrize("case", ["cancelled", "ruled out by a lower quota", "found done"])
def test_a_gang_that_no_longer_waits_does_not_block_its_account(case):
    """Guards against jobs that wait for good behind a gang that will not start."""
    world = make_world()
    world.add(job("small", step(2), account=LANNA))
    world.accept(*world.starts())
    world.add(job("gang", step(4, gang=True), account=LANNA, arrived_at=1.0))
    world.add(job("next", step(), account=LANNA, arrived_at=2.0))
    assert world.starts(0.1) == []
    match case:
        case "cancelled":
            world.dispatcher.cancel_job("gang")
        case "ruled out by a lower quota":
            configure(world, Account(name="lanna", quota=Sizes(millicores=3 * CORES)))
        case "found done":
            # The end of an attempt that an earlier owner started.
            earlier = TaskId(job="gang", occurrence=0, step=0, index=0)
            world.hosts["h0"].end(RunningTask(task=earlier, attempt=1))
            world.deliver_reports()
    assert started_jobs(world.starts(0.1)) == ["next"]


@pytest.mark.parametrize(("cores", "starts"), [(2, 0), (4, 0), (6, 2), (0, 4)])
def test_a_changed_quota_applies_to_later_starts_only(cores, starts):
    world = make_world()
    world.add(job("j", step(8), account=LANNA))
    world.accept(*world.starts())
    configure(world, Account(name="lanna", quota=Sizes(millicores=cores * CORES)))
    orders = world.decide(0.1)
    assert not [order for order in orders if isinstance(order, StopOrder)]
    assert len(orders) == starts


def test_a_removed_account_keeps_its_quota():
    """The operator removes an account while its jobs run."""
    world = make_world()
    world.add(job("j", step(8), account=LANNA))
    world.accept(*world.starts())
    configure(world, OTHER)
    assert world.starts(0.1) == []


def test_a_blocked_step_requests_no_approval():
    world = make_world()
    world.add(job("j", step(4), account=LANNA))
    world.accept(*world.starts())
    world.add(job("asks", step(2), account=LANNA, queue=POLICY_QUEUE))
    assert not [order for order in world.decide(0.1) if isinstance(order, ApprovalRequest)]


def test_no_task_is_preempted_for_a_step_beyond_its_quota():
    world = make_world(hosts=1)
    world.add(job("own", step(4, checkpointable=True, estimate=60), account=LANNA, queue=BATCH))
    world.add(job("other", step(4, checkpointable=True, estimate=60), account=OTHER, queue=BATCH))
    world.accept(*world.starts())
    world.deliver_reports()
    world.add(job("urgent", step(), account=LANNA, queue=URGENT))
    assert not [order for order in world.decide(0.2) if isinstance(order, StopOrder)]


@pytest.mark.parametrize("cause", ["usage falls", "the recheck"])
def test_blocked_steps_are_not_visited_until_something_changes(cause, monkeypatch):
    """Guards against a decision whose cost grows with the backlog of an account at its quota."""
    world = make_world()
    world.add(job("first", step(4), account=LANNA))
    orders = world.starts()
    world.accept(*orders)
    for number in range(40):
        world.add(job(f"j{number:02}", step(), account=LANNA, arrived_at=20.0 + number))
    for _ in range(3):
        world.decide(0.05)
    visited: list[str] = []
    place = type(world.dispatcher)._place

    def record(self, found: StepRequest, *args):
        visited.append(found.job.id)
        return place(self, found, *args)

    monkeypatch.setattr(type(world.dispatcher), "_place", record)
    world.decide(0.05)
    assert visited == []
    if cause == "usage falls":
        world.hosts[orders[0].host].end(orders[0])
        world.deliver_reports()
    else:
        world.dispatcher.reconsider_all()
    world.decide(0.05)
    assert visited == (["j00"] if cause == "usage falls" else [])


def test_a_cancelled_job_is_recorded_as_ended_when_its_runs_have_ended():
    """Guards against a new owner that does not know the runs that are being stopped."""
    world = make_world()
    world.add(job("j", step(2), account=LANNA))
    world.add(job("waiting", step(4), account=LANNA, arrived_at=1.0))
    orders = [order for order in world.starts() if order.task.job == "j"]
    world.accept(*orders)
    dispatcher = world.dispatcher
    dispatcher.cancel_job("j")
    world.decide(0.1)
    assert "j" not in dispatcher.dirty and dispatcher.is_stopping("j")
    for order in orders:
        world.hosts[order.host].end(order, EndKind.STOPPED)
    world.deliver_reports()
    world.decide(0.1)
    assert "j" in dispatcher.dirty and not dispatcher.is_stopping("j")


def test_a_cancelled_job_without_an_account_is_recorded_as_ended_at_once():
    """Guards against showing a cancelled job as running for a quota that does not exist."""
    world = make_world()
    world.add(job("j", step(2)))
    world.accept(*world.starts())
    world.dispatcher.cancel_job("j")
    world.decide(0.1)
    assert "j" in world.dispatcher.dirty and not world.dispatcher.is_stopping("j")


def test_runs_of_a_cancelled_job_that_a_new_owner_finds_count_until_they_end():
    world = World("a", roster=("a",))
    world.add(inherited("old", step(3), account=LANNA))
    world.dispatcher.cancel_job("old")
    for index in range(3):
        task = TaskId(job="old", occurrence=0, step=0, index=index)
        world.hosts["a"].running[(task, 1)] = RunningTask(task=task, attempt=1)
    world.deliver_reports()
    world.add(job("new", step(4), account=LANNA, arrived_at=5.0))
    orders = world.decide(0.1)
    assert len([order for order in orders if isinstance(order, StopOrder)]) == 3
    assert world.dispatcher.quotas.used("lanna").millicores == 4 * CORES
    world.hosts["a"].running.clear()
    world.deliver_reports()
    assert len(world.starts(0.1)) == 3


def inherited(id: str, *steps, **fields):
    return job(id, *steps, inherited=True, first_attempt=500, **fields)


def test_inherited_tasks_count_until_their_hosts_have_reported():
    """Guards against a new owner that starts new jobs beside runs that it does not know yet."""
    world = World("a", "b", roster=("a", "b", "silent"))
    world.add(inherited("old", step(3), account=LANNA))
    world.add(job("new", step(4), account=LANNA, arrived_at=5.0))
    assert len(world.starts()) == 1
    for index in range(3):
        task = TaskId(job="old", occurrence=0, step=0, index=index)
        world.hosts["a"].running[(task, 1)] = RunningTask(task=task, attempt=1)
    world.deliver_reports()
    assert world.starts(0.1) == []
    for _ in range(20):
        world.deliver_reports()
        assert world.starts(0.5) == []
    assert world.dispatcher.quotas.assumed_jobs == []
    assert world.dispatcher.quotas.used("lanna").millicores == 4 * CORES


# Reports of a host, each with the attempts that it lists of the first of two inherited tasks, and
# whether that task is done.
FOUND_RUNS = {
    "one run": (((1,),), False),
    "two runs of one task": (((1, 2),), False),
    "a run after the end of another": (((1,), (2,)), False),
    "a run of a task that is done": (((1,),), True),
}


@pytest.mark.parametrize(("reports", "done"), FOUND_RUNS.values(), ids=FOUND_RUNS.keys())
def test_a_task_is_assumed_to_run_until_a_run_of_its_own_is_found(reports, done):
    """Guards against exceeding a quota while a host that may run the other task is silent."""
    world = World("a", roster=("a", "silent"))
    old = inherited("old", step(2), account=LANNA)
    first = old.add_occurrence(0, world.now).steps[0].tasks[0]
    if done:
        first.done = True
        first.step.done_count = 1
    world.add(old)
    for attempts in reports:
        world.now += 1.0
        world.hosts["a"].running = {
            (first.id, attempt): RunningTask(task=first.id, attempt=attempt) for attempt in attempts
        }
        world.deliver_reports()
    used = world.dispatcher.quotas.used("lanna")
    assert used.millicores == (len(reports[-1]) + 1) * CORES


def test_an_inherited_job_that_does_not_run_frees_its_share_of_the_quota():
    """Guards against an account whose quota stays reserved for tasks that never ran."""
    world = World("a", roster=("a", "b"))
    world.add(inherited("old", step(4, gang=True), account=LANNA, arrived_at=1.0))
    world.add(job("new", step(3), account=LANNA, arrived_at=50.0))
    assert world.starts() == []
    world.add_host("b")
    assert started_jobs(world.starts(0.1)) == ["new"] * 3


def test_the_counted_usage_equals_the_runs_of_all_hosts():
    world = make_world()
    world.add(job("j", step(3), account=LANNA))
    world.add(job("k", step(2), account=OTHER))
    world.accept(*world.starts())
    quotas = world.dispatcher.quotas
    runs = [run for host in world.dispatcher.tracker.hosts.values() for run in host.runs.values()]
    assert quotas.check_usage(runs) == {}
    assert quotas.check_usage(runs[1:]) != {}


def test_the_usage_of_a_lost_host_is_released():
    """Guards against a leak of quota, by which an account could start less and less."""
    world = make_world(hosts=1)
    world.add(job("j", step(4), account=LANNA))
    world.accept(*world.starts())
    world.dispatcher.host_listed(entry("h0", incarnation=2), now=world.now)
    world.hosts["h0"].running.clear()
    world.hosts["h0"].incarnation = 2
    for _ in range(3):
        world.deliver_reports()
        world.decide(0.1)
    assert world.dispatcher.quotas.used("lanna").millicores <= 4 * CORES
    runs = [run for host in world.dispatcher.tracker.hosts.values() for run in host.runs.values()]
    assert world.dispatcher.quotas.check_usage(runs) == {}
