"""List all metrics of the daemons as the table of ``docs/reference/metrics.md``.

Run ``python -m rhubarbferry.reports.metric_table`` to print it.
"""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Iterator

from attrs import frozen
from prometheus_client.metrics import MetricWrapperBase

from rhubarbferry.reports.events import SloCollector

METRIC_PACKAGES = ("adapters", "coordination", "frontend", "reports", "rpc", "scheduler", "serving")
DAEMON_BY_PACKAGE = {"frontend": "frontend", "scheduler": "scheduler"}
ALL_DAEMONS = "both"
NAME_SUFFIXES = {"counter": "_total"}


@frozen(kw_only=True, slots=True, order=True)
class MetricRow:
    """One metric of the table."""

    name: str
    kind: str
    labels: str
    daemon: str
    help: str


def collect_metrics() -> list[MetricRow]:
    """Return all metrics sorted by name."""
    metrics = {row.name: row for row in _declared_metrics()}
    for family in SloCollector.empty_families():
        labels = ", ".join(family._labelnames)
        metrics[family.name] = MetricRow(
            name=family.name,
            kind=family.type,
            labels=labels,
            daemon=ALL_DAEMONS,
            help=family.documentation,
        )
    return sorted(metrics.values())


def _declared_metrics() -> Iterator[MetricRow]:
    for package in METRIC_PACKAGES:
        for name in _module_names(f"rhubarbferry.{package}"):
            module = importlib.import_module(name)
            for value in vars(module).values():
                if isinstance(value, MetricWrapperBase):
                    yield _metric_row(value, DAEMON_BY_PACKAGE.get(package, ALL_DAEMONS))


def _module_names(package: str) -> list[str]:
    path = importlib.import_module(package).__path__
    return [info.name for info in pkgutil.walk_packages(path, f"{package}.")]


def _metric_row(metric: MetricWrapperBase, daemon: str) -> MetricRow:
    family, *_ = metric.describe()
    return MetricRow(
        name=family.name + NAME_SUFFIXES.get(family.type, ""),
        kind=family.type,
        labels=", ".join(metric._labelnames),
        daemon=daemon,
        help=family.documentation,
    )


def render_table() -> str:
    """Return the table of all metrics in Markdown."""
    lines = ["| Metric | Type | Labels | Daemon | What it is |", "|---|---|---|---|---|"]
    lines += [
        f"| `{row.name}` | {row.kind} | {row.labels} | {row.daemon} | {row.help} |"
        for row in collect_metrics()
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(render_table(), end="")
