"""Which process asks the policy service which question, with short and long ones waiting."""

from __future__ import annotations

import pytest
from attrs import evolve

from rhubarbferry.cell.advice_desk import LONG_S, AdviceDesk
from rhubarbferry.dispatch.messages import AdviceCost, AdviceOrder, StepId

from .parts import member

SHORT = AdviceCost(decision_s=LONG_S / 2, per_host_s=0.0, valid_s=5.0)
LONG = AdviceCost(decision_s=2 * LONG_S, per_host_s=0.0, valid_s=5.0)
MEMBERS = [
    evolve(member("far"), region="elsewhere"),
    member("near"),
    member("own"),
    evolve(member("farther"), region="elsewhere"),
]


def question(job: str, cost: AdviceCost) -> AdviceOrder:
    return AdviceOrder(step=StepId(job=job, occurrence=0, step=0), hosts=("a",), cost=cost)


def ask(desk: AdviceDesk, *questions: tuple[str, AdviceCost]) -> list[tuple[str, str]]:
    for job, cost in questions:
        desk.add(question(job, cost), priority=0)
    return assigned(desk)


def assigned(desk: AdviceDesk) -> list[tuple[str, str]]:
    return [(item.order.step.job, item.member.name) for item in desk.assign(MEMBERS)]


ASSIGNED = {
    "a short one goes to the nearest": ([("a", SHORT)], [("a", "own")]),
    "a long one goes to the farthest": ([("a", LONG)], [("a", "farther")]),
    "short ones take all processes, near ones first": (
        [(job, SHORT) for job in "abcde"],
        [("a", "own"), ("b", "near"), ("c", "far"), ("d", "farther")],
    ),
    "long ones take half of the processes": (
        [(job, LONG) for job in "abc"],
        [("a", "farther"), ("b", "far")],
    ),
    "a short one passes long ones that have to wait": (
        [("a", LONG), ("b", LONG), ("c", LONG), ("d", SHORT)],
        [("a", "farther"), ("b", "far"), ("d", "own")],
    ),
}


@pytest.mark.parametrize(("questions", "found"), ASSIGNED.values(), ids=ASSIGNED.keys())
def test_questions_go_to_free_processes(questions, found):
    """Guards against short questions that wait behind long ones."""
    assert ask(AdviceDesk(own="own", region="region"), *questions) == found


def test_a_process_asks_one_question_at_a_time():
    desk = AdviceDesk(own="own", region="region")
    ask(desk, *[(job, SHORT) for job in "abcde"])
    assert assigned(desk) == []
    desk.done("far")
    assert assigned(desk) == [("e", "far")]


def test_long_questions_under_way_count_until_they_are_answered():
    """Guards against long questions that come to hold all processes."""
    desk = AdviceDesk(own="own", region="region")
    ask(desk, ("a", LONG), ("b", LONG))
    assert ask(desk, ("c", LONG)) == []
    desk.done("farther")
    assert assigned(desk) == [("c", "farther")]


def test_questions_of_a_lower_priority_number_go_first():
    desk = AdviceDesk(own="own", region="region")
    for job, priority in [("late", 2), ("soon", 0), ("next", 1)]:
        desk.add(question(job, SHORT), priority=priority)
    assert [job for job, _ in assigned(desk)] == ["soon", "next", "late"]


def test_questions_that_have_to_wait_are_not_gone_through():
    """Guards against decisions that take longer the more questions wait for a free process."""
    looked_at = []

    class Counted(AdviceCost):
        def duration_s(self, hosts: int) -> float:
            looked_at.append(hosts)
            return super().duration_s(hosts)

    cost = Counted(decision_s=LONG_S / 2, per_host_s=0.0, valid_s=5.0)
    desk = AdviceDesk(own="own", region="region")
    ask(desk, *[(f"job{index}", cost) for index in range(500)])
    looked_at.clear()
    assert assigned(desk) == []
    assert looked_at == []


def slow(hosts: int) -> AdviceOrder:
    """A question whose answer takes 0.5 s, and 0.01 s for each host."""
    cost = AdviceCost(decision_s=0.5, per_host_s=0.01, valid_s=5.0)
    ids = tuple(f"h{index}" for index in range(hosts))
    return AdviceOrder(step=StepId(job="slow", occurrence=0, step=0), hosts=ids, cost=cost)


PARTS = {
    "few hosts are asked about in one call": (16, 25, [25]),
    "many are divided while processes are free": (16, 75, [25, 25, 25]),
    "half of the free processes stay free for others": (8, 100, [50, 50]),
    "one free process makes one call": (2, 75, [75]),
    "a call names no more than the policy service takes": (4, 150, [75, 75]),
    "what is too much for the free processes waits": (2, 150, [75]),
}


@pytest.mark.parametrize(("processes", "hosts", "sizes"), PARTS.values(), ids=PARTS.keys())
def test_a_long_question_is_divided_among_free_processes(processes, hosts, sizes):
    """Guards against wide jobs that start late since one call after the other is made for them."""
    desk = AdviceDesk(own="own", region="region")
    desk.add(slow(hosts), priority=0)
    assignments = desk.assign([member(f"m{index}") for index in range(processes)])
    assert [len(item.order.hosts) for item in assignments] == sizes
    asked = [id for item in assignments for id in item.order.hosts]
    assert asked == list(slow(hosts).hosts[: len(asked)])


def test_all_parts_of_a_question_are_asked_in_the_end():
    """Guards against hosts that a step waits for and nobody is asked about."""
    desk = AdviceDesk(own="own", region="region")
    desk.add(slow(250), priority=0)
    asked: list[str] = []
    while found := desk.assign([member("one"), member("two")]):
        for item in found:
            asked += item.order.hosts
            desk.done(item.member.name)
    assert sorted(asked) == sorted(slow(250).hosts)
