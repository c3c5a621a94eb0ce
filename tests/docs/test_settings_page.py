from __future__ import annotations

import importlib.util
from pathlib import Path

ROOT = Path(__file__).parents[2]


def generated_page() -> str:
    path = ROOT / "tools" / "settings_page.py"
    spec = importlib.util.spec_from_file_location("settings_page", path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return str(module.render_page())


def test_settings_page_matches_the_settings_classes() -> None:
    assert (ROOT / "docs" / "reference" / "settings.md").read_text() == generated_page()


def test_each_setting_is_described() -> None:
    assert "|  |" not in generated_page()
