from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
LINK = re.compile(r"\]\(([^)#:]+\.md)(?:#[^)]*)?\)")
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_between_pages_resolve(page: Path) -> None:
    broken = [
        target for target in LINK.findall(page.read_text()) if not (page.parent / target).exists()
    ]
    assert not broken
