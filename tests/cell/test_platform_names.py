"""Checks that names of the platform's wire format are used in the platform package only."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "rhubarbferry"
# Names of the platform's wire format, which other packages must not use.
PLATFORM_NAMES = re.compile(
    r"ackIndex|checkpointAt|kv-txn|kv-lease|kv-keep|memMb|disruptionBudget|perWorkerMs"
    r"|killGraceMs|holdMaxMs|fillCount|longRunning|requiredLabel|Rhubarbferry-"
)
# Packages that translate the wire format, emulate the platform in tests, or are generated.
EXEMPT = ("platform", "test", "rpc/gen")
FILES = [
    path
    for path in sorted(PACKAGE.rglob("*.py"))
    if not path.relative_to(PACKAGE).as_posix().startswith(EXEMPT)
]


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(PACKAGE)))
def test_platform_names_are_not_used(path: Path) -> None:
    assert PLATFORM_NAMES.findall(path.read_text()) == []
