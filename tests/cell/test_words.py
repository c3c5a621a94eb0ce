"""The platform's words stay in the folder that translates them."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "rhubarbferry"
# Names of the platform's wire that mean nothing to the rest of the program.
WORDS = re.compile(
    r"ackIndex|checkpointAt|kv-txn|kv-lease|kv-keep|memMb|disruptionBudget|perWorkerMs"
    r"|killGraceMs|holdMaxMs|fillCount|longRunning|requiredLabel|Rhubarbferry-"
)
# Speaks the platform's words, plays its part in tests, or is written by a generator.
MAY = ("platform", "test", "rpc/gen")
FILES = [
    path
    for path in sorted(PACKAGE.rglob("*.py"))
    if not path.relative_to(PACKAGE).as_posix().startswith(MAY)
]


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(PACKAGE)))
def test_the_platforms_words_are_not_used(path: Path) -> None:
    assert WORDS.findall(path.read_text()) == []
