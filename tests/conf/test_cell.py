from __future__ import annotations

import pytest
from returns.result import Failure, Success

from rhubarbferry.conf.cell import parse_cell
from rhubarbferry.core.cell import PriorityClass, Size

VALID = """
[cell]
regions = north, south
key_partitions_per_region = 3

[template batch]
share = 2
priority = batch
max_waiting = 10
quota_memory = 4Gi

[account assays]
template = batch
share = 3.5
quota_millicores = 64000
objective_wait_ms = 500

[service web]
slots = 4
"""


def test_account_overrides_its_template():
    match parse_cell(VALID, 7):
        case Success(cell):
            pass
    account = cell.accounts["assays"]
    assert (cell.revision, cell.regions, cell.key_partitions_per_region) == (
        7,
        ("north", "south"),
        3,
    )
    assert (account.share, account.priority) == (3.5, PriorityClass.BATCH)
    assert account.limits.max_waiting == 10
    assert account.limits.quota == Size(millicores=64000, memory_bytes=4 * 2**30)
    assert account.objective.wait_ms == 500
    assert (cell.services["web"].slots, cell.services["web"].connections) == (4, 64)


@pytest.mark.parametrize(
    ("text", "location", "hint"),
    [
        ("", ("cell", ""), "Add [cell]"),
        ("no ini", ("", ""), "Fix"),
        ("[cell]\nregions = a\n[cell]\n", ("", ""), "Fix"),
        ("[cell]\n", ("cell", "regions"), "Write regions"),
        ("[cell]\nregions = a, a\n", ("cell", "regions"), "once"),
        ("[cell]\nregions = a/b\n", ("cell", "regions"), "letters"),
        ("[cell]\nregions = a\nregoins = b\n", ("cell", "regoins"), "'regions'"),
        ("{base}[acount x]\n", ("acount x", ""), "'account'"),
        ("{base}[account]\n", ("account", ""), "letters"),
        ("{base}[account x]\n[account  x]\n", ("account  x", ""), "one of them"),
        ("{base}[account x]\nshare = 0\n", ("account x", "share"), "above 0"),
        ("{base}[account x]\nshare = nan\n", ("account x", "share"), "above 0"),
        ("{base}[account x]\npriority = high\n", ("account x", "priority"), "urgent"),
        ("{base}[account x]\ntemplate = y\n", ("account x", "template"), "Add its"),
        ("{base}[account x]\nquota_memory = 4 apples\n", ("account x", "quota_memory"), "4Gi"),
        ("{base}[template t]\ntemplate = u\n", ("template t", "template"), "Known names"),
        ("{base}[service s]\nslots = -1\n", ("service s", "slots"), "in 1.."),
        ("{base}[service s]\nslots = 1.5\n", ("service s", "slots"), "in 1.."),
    ],
)
def test_problem_names_its_location_and_remedy(text, location, hint):
    match parse_cell(text.replace("{base}", "[cell]\nregions = a\n"), 1):
        case Failure(problems):
            assert [(p.section, p.key) for p in problems] == [location]
            assert hint in problems[0].hint
        case other:
            raise AssertionError(other)


def test_all_problems_are_reported_at_once():
    match parse_cell("[cell]\nx = 1\n[account a]\ny = 1\n[service s]\nslots = z\n", 1):
        case Failure(problems):
            assert len(problems) == 4
        case other:
            raise AssertionError(other)
