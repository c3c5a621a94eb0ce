from __future__ import annotations

import pytest

from rhubarbferry.core.guards import GuardSet, plan_guards
from rhubarbferry.ports.ownership import Guard, Member, Role


def frontend(name: str, region: str = "north", **changes) -> Member:
    return Member(
        id=name,
        role=Role.FRONTEND,
        address="10.0.0.1:1",
        region=region,
        failure_domain="a",
        **changes,
    )


def guard_set(version: int, names: str, **changes) -> GuardSet:
    guards = tuple(Guard(id=name, address="10.0.0.1:1") for name in names)
    return GuardSet(version=version, guards=guards, **changes)


@pytest.mark.parametrize(
    ("old", "members", "new"),
    [
        ({}, [], {}),
        ({}, [frontend("b"), frontend("a")], {"north": guard_set(1, "ab")}),
        ({"north": guard_set(1, "ab")}, [frontend("a"), frontend("b")], {}),
        ({"north": guard_set(1, "ab")}, [], {}),
        ({"north": guard_set(1, "abc")}, [frontend("a")], {"north": guard_set(2, "a")}),
        (
            {"north": guard_set(1, "abx"), "south": guard_set(1, "abx")},
            [frontend("a"), frontend("b"), frontend("x", "south")],
            {},
        ),
        (
            {"north": guard_set(1, "bcdef")},
            [frontend(name) for name in "abcdefg"],
            {},
        ),
        (
            {"north": guard_set(4, "bcdef")},
            [frontend(name) for name in "abcdeg"],
            {"north": guard_set(5, "abcde")},
        ),
        (
            {"north": guard_set(1, "ab")},
            [frontend("a"), frontend("b", draining=True)],
            {"north": guard_set(2, "a")},
        ),
        (
            {"north": guard_set(2, "a", closing=True)},
            [frontend("a")],
            {"north": guard_set(3, "a")},
        ),
    ],
)
def test_plan_guards(old, members, new):
    assert plan_guards(old, members) == new


@pytest.mark.parametrize(("size", "majority"), [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3)])
def test_majority_size(size, majority):
    assert guard_set(1, "abcde"[:size]).majority == majority
