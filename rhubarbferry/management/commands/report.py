"""``report slo``: burn of the service-level objectives, from the metrics of all members."""

from __future__ import annotations

import asyncio
import json
import math
import sys
from pathlib import Path
from typing import Any, Literal

import attrs
from attrs import frozen
from returns.result import Success

from rhubarbferry.conf.cell import parse_cell
from rhubarbferry.coordination.mirror import CellState
from rhubarbferry.core.cell import Cell
from rhubarbferry.management.cell_access import (
    DEFAULT_STORE,
    SettingsFile,
    StoreUrl,
    open_store,
    read_cell,
)
from rhubarbferry.management.exits import Exit
from rhubarbferry.management.output import format_table
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.reports.burn import Alarm, Window
from rhubarbferry.reports.scrape import scrape_all
from rhubarbferry.reports.slo import MemberLine, SloLine, SloReport, assemble_report

ReportFormat = Literal["table", "json", "html"]
BURNING_ALARMS = (Alarm.SLOW, Alarm.FAST)


@frozen(kw_only=True)
class SloRow:
    """One line of the table: counts of the last 6 h and burn rates of the named windows."""

    account: str
    template: str
    work: str
    objective: str
    good: int
    late: int
    refused: int
    unknown: int
    burn_5m: str
    burn_1h: str
    burn_30m: str
    burn_6h: str
    budget_left: str
    p50: str
    p99: str
    verdict: str


def slo(
    *,
    format: ReportFormat = "table",
    output: Path | None = None,
    store: StoreUrl = DEFAULT_STORE,
    config: SettingsFile = None,
) -> int:
    """Report the burn of the objectives; exit with 1 on an alarm or an unreachable member.

    :param format: a table, JSON, or an HTML page.
    :param output: file to write to, in place of standard output.
    """
    report = asyncio.run(_collect(store, config))
    text = render(report, format)
    if output is None:
        sys.stdout.write(text)
    else:
        output.write_text(text, encoding="utf-8")
    burning = any(line.alarm in BURNING_ALARMS for line in report.accounts)
    return Exit.FAILED if burning or report.unreachable_members else Exit.OK


async def _collect(url: str, config: Path | None) -> SloReport:
    async with open_store(url=url, config=config) as store:
        state = await read_cell(store)
    scrapes = await scrape_all(state.members.values())
    return assemble_report(cell=_parse_cell(state), scrapes=scrapes, taken_at=SystemClock().wall())


def _parse_cell(state: CellState) -> Cell:
    if state.config is None:
        return Cell()
    match parse_cell(state.config.text, state.config.revision):
        case Success(cell):
            return cell
    return Cell(revision=state.config.revision)


def render(report: SloReport, format: ReportFormat) -> str:
    """Return the report as text in the given format."""
    match format:
        case "json":
            return (
                json.dumps(attrs.asdict(report, value_serializer=_finite_or_none), indent=1) + "\n"
            )
        case "html":
            from rhubarbferry.reports.html import render_page

            return render_page(report)
        case _:
            return _tables(report)


def _finite_or_none(_: type, __: Any, value: Any) -> Any:
    """Replace infinity, which JSON can't represent, by ``None``."""
    if isinstance(value, float) and math.isinf(value):
        return None
    return value


def _tables(report: SloReport) -> str:
    accounts = [_slo_row(line) for line in report.accounts]
    templates = [_slo_row(line) for line in report.templates]
    parts = [describe_coverage(report), format_table(accounts, kind=SloRow)]
    parts.append(format_table(templates, kind=SloRow))
    parts.append(format_table(report.members, kind=MemberLine))
    return "\n\n".join(parts) + "\n"


def describe_coverage(report: SloReport) -> str:
    """Return a sentence with the number of members and the time that the figures cover."""
    answered = len(report.members) - report.unreachable_members
    minutes = int(report.covered_s // 60)
    text = (
        f"{answered} of {len(report.members)} members answered; all of them cover {minutes} minutes"
    )
    if report.covered_s < Window.H6.seconds:
        text += ", so longer windows hold no more than that"
    return text + "."


def _slo_row(line: SloLine) -> SloRow:
    longest = line.counts[Window.H6]
    objective = line.objective
    return SloRow(
        account=line.account or "(all)",
        template=line.template or "-",
        work=line.work.value,
        objective=f"{objective.target:.4g} in {objective.wait_ms} ms",
        good=longest.good,
        late=longest.late,
        refused=longest.refused,
        unknown=longest.unknown,
        burn_5m=f"{line.burn[Window.M5]:.2f}",
        burn_1h=f"{line.burn[Window.H1]:.2f}",
        burn_30m=f"{line.burn[Window.M30]:.2f}",
        burn_6h=f"{line.burn[Window.H6]:.2f}",
        budget_left=f"{100 * line.budget_left:.1f}%",
        p50=_format_wait(line.p50_s),
        p99=_format_wait(line.p99_s),
        verdict=line.alarm.value,
    )


def _format_wait(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f} s"
