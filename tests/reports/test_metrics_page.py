import importlib
import pkgutil
from pathlib import Path

import rhubarbferry
from rhubarbferry.reports.metric_table import collect_metrics, render_table

PAGE = Path(__file__).parents[2] / "docs" / "reference" / "metrics.md"


def test_page_lists_the_metrics_that_the_daemons_declare() -> None:
    page = [line for line in PAGE.read_text().splitlines() if line.startswith("|")]
    assert page == render_table().splitlines()


def test_each_metric_has_the_prefix_and_a_help_text() -> None:
    metrics = collect_metrics()
    assert len(metrics) > 60
    for row in metrics:
        assert row.name.startswith("rhubarbferry_")
        assert row.help


def test_all_modules_can_be_imported_into_one_process() -> None:
    """Two modules that declare a metric of the same name can't be imported into one process: a
    program that embeds both would fail on import, as would tests that share a process."""
    for module in pkgutil.walk_packages(rhubarbferry.__path__, "rhubarbferry."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
