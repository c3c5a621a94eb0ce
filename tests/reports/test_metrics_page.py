import importlib
import pkgutil
from pathlib import Path

import rhubarbferry
from rhubarbferry.reports.metric_table import rows, table

PAGE = Path(__file__).parents[2] / "docs" / "reference" / "metrics.md"


def test_page_lists_the_metrics_that_the_daemons_declare() -> None:
    page = [line for line in PAGE.read_text().splitlines() if line.startswith("|")]
    assert page == table().splitlines()


def test_each_metric_has_the_prefix_and_says_what_it_is() -> None:
    found = rows()
    assert len(found) > 60
    for row in found:
        assert row.name.startswith("rhubarbferry_")
        assert row.help


def test_all_parts_of_the_library_can_be_loaded_into_one_process() -> None:
    """Two modules declare a metric of one name. A program that embeds parts of both ends as it is
    imported, and so do tests of both that happen to share a process."""
    for module in pkgutil.walk_packages(rhubarbferry.__path__, "rhubarbferry."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
