"""Takeover of tasks that an earlier owner has started."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.dispatch.job import JobPhase
from rhubarbferry.dispatch.messages import (
    MAX_ENDS_PER_REPORT,
    EndedTask,
    EndKind,
    HostPhase,
    RunningTask,
    StopOrder,
    TaskId,
)
from rhubarbferry.dispatch.record import encode_state, restore_state
from rhubarbferry.dispatch.roster import (
    apply_roster,
    assign_fences,
    close_unavailable_hosts,
    next_fences,
    next_roster,
)
from rhubarbferry.dispatch.takeover import RosterEntry

from .world import CORES, SimulatedHost, World, entry, job, step

FENCE = 500


def inherited(id: str, *steps, **fields):
    return job(id, *steps, inherited=True, first_attempt=FENCE, **fields)


def running(host, task: TaskId, attempt: int) -> None:
    host.running[(task, attempt)] = RunningTask(task=task, attempt=attempt)


def test_an_adopted_task_is_not_started_again():
    """Guards against a new owner that treats leases as expired before it extends them."""
    world = World("a", "b", roster=("a", "b"))
    task = TaskId(job="j", occurrence=0, step=0, index=0)
    world.add(inherited("j", step()))
    running(world.hosts["a"], task, 1)
    world.deliver_reports()
    for _ in range(20):
        assert world.starts(0.2) == []
        world.deliver_reports()


def test_tasks_of_an_unconfirmed_host_wait_until_its_leases_expire():
    """Guards against a second run of a task that an unconfirmed host may still run."""
    world = World("a", roster=("a", "b"))
    world.add(inherited("old", step()))
    world.add(job("new", step()))
    assert [order.task.job for order in world.starts()] == ["new"]
    for _ in range(16):
        world.deliver_reports()
        assert world.starts(0.5) == []
    world.now += 0.9
    world.deliver_reports()
    assert [order.task.job for order in world.starts(0.2)] == ["old"]


def take_over_from_restarted_host() -> World:
    """Return a new owner's world after the first report of a restarted host of the roster.

    The host is not polled again until it is listed.
    """
    world = World("b", roster=("a", "b"))
    world.dispatcher.host_listed(entry("a"), now=world.now)
    world.hosts["a"] = SimulatedHost(id="a", incarnation=2)
    running(world.hosts["a"], TaskId(job="j", occurrence=0, step=0, index=0), 1)
    world.add(inherited("j", step()))
    world.deliver_reports()
    return world


@pytest.mark.parametrize("decisions", [1, 6], ids=["listed soon", "listed late"])
def test_a_run_on_a_host_that_restarts_during_a_takeover_is_not_started_again(decisions):
    """Guards against a host that counts as confirmed before the runs it reports are adopted."""
    world = take_over_from_restarted_host()
    for _ in range(decisions):
        assert world.starts(0.5) == []
        world.deliver_reports("b")
    world.dispatcher.host_listed(entry("a", incarnation=2), now=world.now)
    for _ in range(20):
        world.deliver_reports()
        assert world.starts(0.5) == []
    task = TaskId(job="j", occurrence=0, step=0, index=0)
    assert world.dispatcher.tracker.run("a", task, 1) is not None


def test_inherited_tasks_wait_for_a_restarted_host_until_its_leases_expire():
    """Guards against a job that waits for good for a host that is never listed again."""
    world = take_over_from_restarted_host()
    for _ in range(17):
        assert world.starts(0.5) == []
        world.deliver_reports("b")
    assert [order.task.job for order in world.starts(0.6)] == ["j"]


def test_only_the_jobs_that_a_restarted_host_reports_wait_for_it():
    """Guards against a cell in which all inherited jobs wait for one host that has restarted."""
    world = take_over_from_restarted_host()
    ended = TaskId(job="ended there", occurrence=0, step=0, index=0)
    world.hosts["a"] = SimulatedHost(id="a", incarnation=3)
    running(world.hosts["a"], TaskId(job="j", occurrence=0, step=0, index=0), 1)
    world.hosts["a"].ended.append(EndedTask(number=1, task=ended, attempt=1, how=EndKind.DONE))
    world.deliver_reports("a")
    world.add(inherited("ended there", step()))
    world.add(inherited("elsewhere", step()))
    assert [order.task.job for order in world.starts(0.1)] == ["elsewhere"]


def test_a_task_whose_end_is_in_a_later_report_is_not_started_again():
    """Guards against a host that counts as confirmed before all ends it lists have been read."""
    world = World("b", roster=("a", "b"))
    world.dispatcher.host_listed(entry("a"), now=world.now)
    host = world.hosts["a"] = SimulatedHost(id="a")
    task = TaskId(job="j", occurrence=0, step=0, index=0)
    others = [
        TaskId(job="ended", occurrence=0, step=0, index=i) for i in range(MAX_ENDS_PER_REPORT)
    ]
    ends = [
        EndedTask(number=number, task=ended, attempt=1, how=EndKind.DONE)
        for number, ended in enumerate([*others, task], start=1)
    ]
    world.add(inherited("j", step()))
    host.ended = ends[:MAX_ENDS_PER_REPORT]
    for _ in range(2):
        world.deliver_reports()
        assert world.starts(0.5) == []
    host.ended = ends[MAX_ENDS_PER_REPORT:]
    world.deliver_reports()
    assert world.starts(0.5) == []
    assert world.dispatcher.jobs["j"].phase is JobPhase.COMPLETE


def test_a_restarted_host_that_is_never_listed_again_leaves_the_roster():
    """Guards against a host that stays unconfirmed for good if no inherited job waits for it."""
    world = World("b", roster=("a", "b"))
    world.dispatcher.host_listed(entry("a"), now=world.now)
    world.hosts["a"] = SimulatedHost(id="a", incarnation=2)
    world.deliver_reports()
    world.dispatcher.host_unlisted("a")
    for _ in range(40):
        world.decide(0.5)
        world.deliver_reports("b")
    assert "a" not in world.dispatcher.takeover.unconfirmed
    assert "a" not in world.dispatcher.tracker.hosts


def test_attempts_of_inherited_tasks_are_above_those_of_earlier_owners():
    """Guards against two runs of a task with the same attempt number."""
    world = World("a", roster=("a",))
    world.add(inherited("old", step()))
    world.add(job("new", step()))
    attempts = {order.task.job: order.attempt for order in world.starts()}
    assert attempts == {"old": FENCE, "new": 1}


@pytest.mark.parametrize("missing", [0, 1, 2])
def test_a_partly_started_gang_is_restarted_as_a_whole(missing):
    """Guards against members that wait for ever after their owner died between two starts."""
    world = World("a", "b", roster=("a", "b"))
    gang = inherited("g", step(3, gang=True))
    world.add(gang)
    for index in range(3):
        if index != missing:
            running(world.hosts["a"], TaskId(job="g", occurrence=0, step=0, index=index), 1)
    world.deliver_reports()
    stops = [order for order in world.decide() if isinstance(order, StopOrder)]
    assert sorted(order.task.index for order in stops) == [i for i in range(3) if i != missing]
    for order in stops:
        world.hosts["a"].end(order, EndKind.STOPPED)
    world.now += 0.1
    world.deliver_reports()
    starts = world.starts()
    assert [order.attempt for order in starts] == [FENCE] * 3


def test_a_host_with_a_run_of_an_ended_job_gets_no_task_until_that_run_is_gone():
    """Guards against a host that is overcommitted because of a run of unknown size."""
    world = World("a", roster=("a",))
    host = world.hosts["a"]
    unknown_task = TaskId(job="ended", occurrence=0, step=0, index=0)
    running(host, unknown_task, 1)
    world.now += 0.1
    world.deliver_reports()
    world.add(job("new", step()))
    orders = world.decide()
    assert [type(order) for order in orders] == [StopOrder]
    host.end(orders[0], EndKind.STOPPED)
    world.now += 0.1
    world.deliver_reports()
    assert [order.task.job for order in world.starts()] == ["new"]


@pytest.mark.parametrize("gang", [False, True])
def test_a_recorded_failure_is_not_counted_again(gang):
    """Guards against a job that fails with attempts left because one failure was counted twice."""
    before = World("a", roster=())
    first = before.add(job("j", step(gang=gang)))
    orders = before.starts()
    before.accept(*orders)
    before.hosts["a"].end(orders[0], EndKind.FAILED)
    before.now += 0.1
    before.deliver_reports()
    recorded = encode_state(first)

    after = World("a", roster=("a",))
    second = inherited("j", step(gang=gang))
    second.add_occurrence(0, after.now)
    restore_state(second, recorded, now=after.now)
    after.add(second)
    after.hosts["a"].ended = [
        EndedTask(number=1, task=orders[0].task, attempt=orders[0].attempt, how=EndKind.FAILED)
    ]
    after.now += 0.1
    after.deliver_reports()
    step_state = second.occurrences[0].steps[0]
    failed = step_state.failed_attempts if gang else step_state.tasks[0].failed_attempts
    assert failed == {1}
    assert second.phase is not JobPhase.FAILED


def closed(id: str, *jobs: str) -> RosterEntry:
    return RosterEntry(
        id=id, address=f"{id}:1", incarnation=1, service="pool", outstanding=tuple(jobs)
    )


def jobs_started_after_the_leases(world: World) -> list[str]:
    """Check that nothing starts while earlier leases last; return the jobs that start then."""
    for _ in range(16):
        world.deliver_reports()
        assert world.starts(0.5) == []
    world.now += 1.5
    world.deliver_reports()
    return [order.task.job for order in world.starts()]


def test_a_host_that_has_left_delays_only_its_own_jobs():
    """Guards against a cell in which all jobs wait for the leases of one host that runs nothing."""
    world = World("a")
    world.dispatcher.takeover.unconfirmed = {"b": closed("b", "there")}
    world.add(inherited("there", step()))
    world.add(inherited("elsewhere", step()))
    assert [order.task.job for order in world.starts()] == ["elsewhere"]
    assert jobs_started_after_the_leases(world) == ["there"]


def test_an_idle_host_that_has_left_is_removed_at_once():
    world = World("a", "b")
    world.dispatcher.host_unlisted("b")
    world.decide(0.1)
    assert set(world.dispatcher.tracker.hosts) == {"a"}


def roster_of(world: World, **known: RosterEntry) -> dict[str, RosterEntry]:
    hosts = world.dispatcher.tracker.hosts
    listed = {id: host.entry for id, host in hosts.items() if host.listed}
    close_unavailable_hosts(hosts, world.now)
    return next_roster(known, listed, hosts, unconfirmed=(), now=world.now)


def test_a_silent_host_is_closed_in_the_roster_and_reopened_before_it_is_used():
    """Guards against orders to a host that the next owner would assume to be idle."""
    world = World("a", "b")
    world.add(job("j", step(2, millicores=5 * CORES)))
    orders = world.starts()
    world.accept(*orders)
    roster = roster_of(world)
    assert {entry.outstanding for entry in roster.values()} == {None}
    for _ in range(4):
        world.now += 0.5
        world.deliver_reports("b")
    roster = roster_of(world, **roster)
    assert (roster["a"].outstanding, roster["b"].outstanding) == (("j",), None)
    apply_roster(roster, world.dispatcher.tracker.hosts)
    world.deliver_reports()
    world.add(job("new", step(8)))
    assert {order.host for order in world.starts()} == {"b"}
    roster = roster_of(world, **roster)
    assert roster["a"].outstanding is None
    apply_roster(roster, world.dispatcher.tracker.hosts)
    world.dispatcher.reconsider_all()
    assert {order.host for order in world.starts()} == {"a"}


LEAVING = {"draining": HostPhase.DRAINING, "unlisted": None}


@pytest.mark.parametrize("phase", LEAVING.values(), ids=LEAVING.keys())
def test_a_leaving_host_is_closed_in_the_roster(phase):
    world = World("a")
    world.add(job("j", step()))
    world.accept(*world.starts())
    if phase is None:
        world.dispatcher.host_unlisted("a")
    else:
        world.dispatcher.host_listed(entry("a", phase=phase), now=world.now)
    known = RosterEntry(id="a", address="a:1", incarnation=1, service="pool")
    assert roster_of(world, a=known)["a"].outstanding == ("j",)


@pytest.mark.parametrize("how", [EndKind.DONE, EndKind.FAILED])
@pytest.mark.parametrize(
    ("recorded", "outstanding"),
    [pytest.param(0, ("j",), id="unrecorded"), pytest.param(1, (), id="recorded")],
)
def test_a_closed_host_is_listed_with_the_jobs_of_its_unrecorded_ends(recorded, outstanding, how):
    """Guards against a new owner that starts a task again whose end only a silent host knows."""
    world = World("a")
    world.add(job("j", step()))
    orders = world.starts()
    world.accept(*orders)
    world.hosts["a"].end(orders[0], how)
    world.now += 0.1
    world.deliver_reports()
    world.dispatcher.tracker.hosts["a"].mark_ends_recorded(recorded)
    world.now += 2.0
    known = RosterEntry(id="a", address="a:1", incarnation=1, service="pool")
    assert roster_of(world, a=known)["a"].outstanding == outstanding


def test_an_idle_host_that_has_left_is_kept_while_its_ends_are_not_recorded():
    """Guards against a roster without a host that alone knows that a task has ended."""
    world = World("a")
    world.add(job("j", step()))
    orders = world.starts()
    world.accept(*orders)
    world.hosts["a"].end(orders[0])
    world.now += 0.1
    world.deliver_reports()
    world.dispatcher.host_unlisted("a")
    world.decide(0.1)
    host = world.dispatcher.tracker.hosts["a"]
    host.mark_ends_recorded(host.seen_end)
    world.decide(0.1)
    assert not world.dispatcher.tracker.hosts


def test_a_restarted_host_is_called_once_the_roster_lists_its_new_entry():
    """Guards against orders by the labels of an earlier incarnation, or to its address."""
    world = World("a")
    hosts = world.dispatcher.tracker.hosts
    before = roster_of(world)
    fences = next_fences({}, {}, before, revision=5)
    assign_fences(before, fences, hosts)
    assert hosts["a"].fence == 5
    world.hosts["a"].incarnation = 2
    world.deliver_reports()
    roster = next_roster(before, {"a": entry("a")}, hosts, unconfirmed=(), now=world.now)
    assign_fences(roster, next_fences(fences, before, roster, revision=6), hosts)
    assert hosts["a"].fence is None
    listed = evolve(entry("a", incarnation=2, labels=("b",)), address="elsewhere:1")
    roster = next_roster(before, {"a": listed}, hosts, unconfirmed=(), now=world.now)
    world.dispatcher.host_listed(listed, now=world.now)
    assign_fences(roster, next_fences(fences, before, roster, revision=7), hosts)
    assert (roster["a"].address, roster["a"].incarnation) == ("elsewhere:1", 2)
    assert (hosts["a"].fence, hosts["a"].entry) == (7, listed)


def test_a_new_incarnation_is_listed_with_the_jobs_of_the_earlier_one():
    """Guards against a takeover that does not wait for orders that the new one may carry out."""
    known = closed("a", "j")
    world = World()
    roster = next_roster(
        {"a": known}, {"a": entry("a", incarnation=2)}, {}, unconfirmed=(), now=world.now
    )
    assert roster["a"] == evolve(known, incarnation=2)


def test_an_earlier_owners_roster_entry_stays_until_the_host_answers():
    world = World(roster=("a",))
    known = closed("a", "j")
    assert roster_of(world, a=known) == {}
    hosts = world.dispatcher.tracker.hosts
    assert next_roster({"a": known}, {}, hosts, unconfirmed={"a"}, now=world.now) == {"a": known}


def test_without_a_known_roster_all_inherited_jobs_wait_for_the_leases():
    """Guards against a second run of a task on a host that an unreadable roster has listed."""
    world = World("a")
    world.dispatcher.takeover.roster_known = False
    world.add(inherited("old", step()))
    world.add(job("new", step()))
    assert [order.task.job for order in world.starts()] == ["new"]
    assert jobs_started_after_the_leases(world) == ["old"]
