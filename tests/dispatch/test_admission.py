"""Admission of new jobs while the cell is full, by the load that each test is named for."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.admission import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    Admitted,
    LoadSummary,
    Refused,
    decide_admission,
    retry_after_s,
)
from rhubarbferry.dispatch.job import Job
from rhubarbferry.dispatch.load import LoadSum, UseAverage, equivalent_cores, max_min_shares
from rhubarbferry.dispatch.messages import Account, JobRequest, Queue, Sizes, StepRequest
from rhubarbferry.dispatch.record import JobRecord
from tests.dispatch.world import CORES, World, job, step

HOSTS = 10
HOST_CORES = 8
CELL_CORES = HOSTS * HOST_CORES
# Objective 3 s, and 9 s until it is missed, for a chain of one second.
QUEUE = Queue(name="queue", service="pool", priority=1, slack_factor=2.0, objective_s=1.0)
URGENT = evolve(QUEUE, name="urgent", priority=0)
ACCOUNTS = {name: Account(name=name, weight=1.0) for name in ("a", "b", "c", "d")}


def full_world() -> World:
    return World(*(f"h{index}" for index in range(HOSTS)))


def submit(
    world: World, account: Account, count: int, *, queue: Queue = QUEUE, age_s: float = 0.0
) -> None:
    """Add jobs of one task that takes a core for a second, accepted ``age_s`` seconds ago."""
    for _ in range(count):
        world.add(
            job(
                f"{account.name}{len(world.dispatcher.jobs)}",
                step(),
                queue=queue,
                account=account,
                arrived_at=world.now - age_s,
            )
        )


def fill(world: World) -> None:
    """Let the dispatcher start what finds room."""
    while (orders := world.starts()) or world.dispatcher.has_more:
        world.accept(*orders)


def summarise(
    world: World, accounts: dict[str, Account] = ACCOUNTS, average: UseAverage | None = None
) -> LoadSummary:
    dispatcher = world.dispatcher
    load = LoadSum(
        hosts=dispatcher.tracker.hosts.values(),
        now=world.now,
        blocked=dispatcher.waiting.is_blocked,
    )
    for item in dispatcher.jobs.values():
        load.add(item)
    return LoadSummary(
        fence=1,
        number=1,
        config_revision=1,
        taken_at=world.now,
        services=load.result(accounts, average or UseAverage()),
    )


def record(
    account: Account | None, *steps: StepRequest, queue: Queue = QUEUE, id: str = "new", **fields
) -> JobRecord:
    req = JobRequest(id=id, queue=queue.name, payload="", steps=steps or (step(),), **fields)
    return JobRecord(req=req, queue=queue, account=account)


def decide(world: World, request: JobRecord, **fields) -> Admitted | Refused:
    return decide_admission(request, summarise(world, **fields), now=world.now)


def flooded_world(*, age_s: float = 0.0) -> World:
    """A cell in which account a has sent six times, and the others once, what they are owed.

    Each is owed 20 of the 80 cores. In the 8 seconds of the flood, a sends 960 core-seconds.
    """
    world = full_world()
    submit(world, ACCOUNTS["a"], 6 * 8 * 20, age_s=age_s)
    for name in ("b", "c", "d"):
        submit(world, ACCOUNTS[name], 20)
    fill(world)
    return world


def test_flood_of_one_account_refuses_only_its_own_requests():
    """Guards against an account that takes the room of the others by sending more."""
    world = flooded_world()
    refused = decide(world, record(ACCOUNTS["a"]))
    assert isinstance(refused, Refused)
    assert refused.account == "a"
    assert refused.expected_s > refused.limit_s == 9.0
    for name in ("b", "c", "d"):
        assert decide(world, record(ACCOUNTS[name])) == Admitted()


def test_flood_does_not_refuse_more_urgent_requests_of_its_account():
    world = flooded_world()
    assert decide(world, record(ACCOUNTS["a"], queue=URGENT)) == Admitted()


def test_full_cell_within_all_shares_refuses_nobody():
    """Guards against refusals in a cell that is only busy."""
    world = full_world()
    for account in ACCOUNTS.values():
        submit(world, account, 60)  # three seconds of its share
    fill(world)
    assert summarise(world).services
    for account in ACCOUNTS.values():
        assert decide(world, record(account)) == Admitted()


def test_account_whose_share_others_hold_is_not_refused():
    """Guards against refusing an account because others have taken the room that it is owed."""
    world = full_world()
    submit(world, ACCOUNTS["a"], 960)
    fill(world)
    submit(world, ACCOUNTS["b"], 960)
    assert decide(world, record(ACCOUNTS["b"])) == Admitted()


def test_only_account_may_use_the_whole_cell():
    """Guards against refusals while other accounts leave their shares unused."""
    world = full_world()
    submit(world, ACCOUNTS["a"], 6 * CELL_CORES)
    fill(world)
    assert decide(world, record(ACCOUNTS["a"])) == Admitted()
    submit(world, ACCOUNTS["a"], 4 * CELL_CORES)
    assert isinstance(decide(world, record(ACCOUNTS["a"])), Refused)


def test_cell_with_room_has_nothing_to_refuse():
    world = full_world()
    submit(world, ACCOUNTS["a"], CELL_CORES // 2)
    fill(world)
    assert summarise(world).services == ()
    assert decide(world, record(ACCOUNTS["a"])) == Admitted()


@pytest.mark.parametrize(
    "request_",
    [
        record(None),
        record(ACCOUNTS["a"], times=3, interval_s=1.0),
        record(ACCOUNTS["a"], step(lasting=True)),
        record(ACCOUNTS["a"], queue=evolve(QUEUE, service="other pool")),
        record(Account(name="added since")),
    ],
    ids=["no account", "repeated", "lasting", "another service", "unknown account"],
)
def test_requests_without_a_known_end_are_accepted_in_a_flood(request_):
    assert decide(flooded_world(), request_) == Admitted()


def test_work_that_is_missed_already_is_not_ahead():
    """Guards against refusing what would go before work whose clients have stopped waiting."""
    world = flooded_world(age_s=9.0)
    loads = {load.account: load for load in summarise(world).services[0].accounts}
    assert loads["a"].used_cores >= loads["a"].owed_cores
    assert loads["a"].ahead == ()
    assert decide(world, record(ACCOUNTS["a"])) == Admitted()


def test_late_work_is_ahead_only_of_a_request_that_becomes_late_itself():
    world = flooded_world(age_s=4.0)
    loads = {load.account: load for load in summarise(world).services[0].accounts}
    assert loads["a"].ahead[0].in_time == 0.0
    assert loads["a"].ahead[0].late > 0.0
    assert decide(world, record(ACCOUNTS["a"])) == Admitted()
    submit(world, ACCOUNTS["a"], 2 * CELL_CORES)
    decision = decide(world, record(ACCOUNTS["a"]))
    assert isinstance(decision, Refused)
    assert decision.ahead_core_s > 960.0


def test_changed_weight_changes_who_is_refused():
    """Guards against decisions by the weights of an earlier configuration."""
    world = full_world()
    submit(world, ACCOUNTS["a"], 960)
    fill(world)
    for name in ("b", "c", "d"):
        submit(world, ACCOUNTS[name], 960)
    heavy = {**ACCOUNTS, "a": Account(name="a", weight=2.0)}
    light = {**ACCOUNTS, "a": Account(name="a", weight=0.1)}
    before = decide(world, record(ACCOUNTS["a"]))
    assert isinstance(before, Refused)
    more = decide(world, record(heavy["a"]), accounts=heavy)
    less = decide(world, record(light["a"]), accounts=light)
    assert isinstance(more, Refused) and isinstance(less, Refused)
    assert more.expected_s < before.expected_s < less.expected_s


def test_quota_below_the_share_limits_what_an_account_may_use():
    world = full_world()
    limited = Account(name="a", weight=1.0, quota=Sizes(millicores=2 * CORES))
    accounts = {**ACCOUNTS, "a": limited}
    world.dispatcher.quotas.configure(accounts)
    submit(world, limited, 40)
    submit(world, ACCOUNTS["b"], 10 * CELL_CORES)
    fill(world)
    decision = decide(world, record(limited), accounts=accounts)
    assert isinstance(decision, Refused)
    assert decision.usable_cores == pytest.approx(2.0)
    raised = evolve(limited, quota=Sizes(millicores=200 * CORES))
    assert decide(world, record(raised), accounts={**accounts, "a": raised}) == Admitted()


def test_work_that_a_quota_blocks_leaves_its_share_to_others():
    """Guards against refusing an account although another one can't use its own share."""
    world = full_world()
    limited = Account(name="b", weight=1.0, quota=Sizes(millicores=2 * CORES))
    accounts = {**ACCOUNTS, "b": limited}
    world.dispatcher.quotas.configure(accounts)
    submit(world, limited, 200, age_s=0.5)
    submit(world, ACCOUNTS["a"], 200)
    fill(world)
    world.decide()
    loads = {load.account: load for load in summarise(world, accounts).services[0].accounts}
    assert loads["a"].usable_cores > 70.0


def test_job_larger_than_its_quota_waits_for_a_larger_one_as_before():
    world = flooded_world()
    small = evolve(ACCOUNTS["a"], quota=Sizes(millicores=CORES // 2))
    assert decide(world, record(small)) == Admitted()


def test_retries_of_requests_refused_together_are_spread():
    """Guards against a flood that comes back all at once."""
    delays = [retry_after_s(f"{n:016x}", excess_s=20.0, objective_s=3.0) for n in range(2000)]
    counts = {delay: delays.count(delay) for delay in set(delays)}
    assert set(counts) == set(range(21, 41))
    assert max(counts.values()) < 2 * 2000 / len(counts)
    assert delays == [
        retry_after_s(f"{n:016x}", excess_s=20.0, objective_s=3.0) for n in range(2000)
    ]


def test_urgent_requests_come_back_first():
    ids = [f"{n:016x}" for n in range(500)]
    urgent = [retry_after_s(id, excess_s=2.0, objective_s=1.0) for id in ids]
    patient = [retry_after_s(id, excess_s=2.0, objective_s=30.0) for id in ids]
    assert all(first <= second for first, second in zip(urgent, patient, strict=True))
    assert sum(urgent) < sum(patient) / 3


@pytest.mark.parametrize(("excess_s", "objective_s"), [(0.0, 0.0), (1e9, 1.0)])
def test_retry_after_stays_within_its_limits(excess_s, objective_s):
    delay = retry_after_s("5c0e7a21d94b36f8", excess_s=excess_s, objective_s=objective_s)
    assert MIN_RETRY_AFTER_S <= delay <= MAX_RETRY_AFTER_S


def test_retry_after_follows_the_backlog_of_the_account():
    world = flooded_world()
    first = decide(world, record(ACCOUNTS["a"]))
    submit(world, ACCOUNTS["a"], 400)
    second = decide(world, record(ACCOUNTS["a"]))
    assert isinstance(first, Refused) and isinstance(second, Refused)
    # The account drains at its 20 cores: 400 core-seconds more take 20 s longer.
    assert second.expected_s == pytest.approx(first.expected_s + 20.0)
    assert second.retry_after_s > first.retry_after_s


@pytest.mark.parametrize(
    ("demands", "usable"),
    [
        ({"a": 100.0, "b": 100.0}, {"a": 60.0, "b": 20.0}),
        ({"a": 10.0, "b": 100.0}, {"a": 10.0, "b": 70.0}),
        ({"a": 10.0, "b": 5.0}, {"a": 10.0, "b": 5.0}),
        ({"b": 100.0, "no weight": 50.0}, {"b": 80.0}),
        ({}, {}),
    ],
)
def test_unused_capacity_is_divided_by_weight(demands, usable):
    shares = {"a": 0.75, "b": 0.25, "idle": 1.0}
    found = max_min_shares(80.0, demands, shares)
    assert found == pytest.approx(usable)


def test_task_counts_by_the_resource_that_it_uses_most_of():
    capacity = Sizes(millicores=80_000, memory_mb=1000)
    assert equivalent_cores(Sizes(millicores=8000, memory_mb=10), capacity) == pytest.approx(8.0)
    assert equivalent_cores(Sizes(millicores=8000, memory_mb=500), capacity) == pytest.approx(40.0)
    assert equivalent_cores(Sizes(millicores=1), Sizes()) == 0.0


def test_use_of_an_account_is_averaged():
    average = UseAverage()
    key = ("pool", "a")
    assert average.update({key: 10.0}, now=0.0) == {key: 10.0}
    assert 0.0 < average.update({key: 0.0}, now=0.5)[key] < 10.0
    assert average.update({key: 0.0}, now=60.0)[key] == pytest.approx(0.0)


def test_next_owner_finds_the_same_load_in_the_same_runs():
    """Guards against decisions that depend on what only the former owner knew."""
    world = flooded_world()
    successor = evolve(summarise(world), number=7)
    assert summarise(world, average=UseAverage()).services == successor.services


def test_finished_jobs_have_no_load():
    world = full_world()
    item: Job = job("j", step(), queue=QUEUE, account=ACCOUNTS["a"])
    submit(world, ACCOUNTS["b"], CELL_CORES)
    fill(world)
    world.add(item)
    world.dispatcher.cancel_job("j")
    assert [load.account for load in summarise(world).services[0].accounts] == ["b"]
