"""Assemble the report on service-level objectives from the metrics of the members."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from attrs import frozen

from rhubarbferry.core.cell import Account, Cell, Objective
from rhubarbferry.reports.burn import (
    Alarm,
    Counts,
    Window,
    alarm_level,
    budget_left,
    burn_rate,
    sum_counts,
)
from rhubarbferry.reports.events import WorkKind
from rhubarbferry.reports.scrape import Scrape, Series


@frozen(kw_only=True, slots=True)
class SloLine:
    """Figures for the requests or jobs of one account, or of all accounts of a template.

    :param account: empty in the line of a template.
    :param budget_left: unused fraction of the budget for the events in the longest window.
    :param p50_s: median wait since the members started, in seconds; ``None`` without data.
    :param p99_s: 99th percentile of the same waits, in seconds.
    """

    account: str
    template: str
    work: WorkKind
    objective: Objective
    counts: Mapping[Window, Counts]
    burn: Mapping[Window, float]
    budget_left: float
    alarm: Alarm
    p50_s: float | None = None
    p99_s: float | None = None


@frozen(kw_only=True, slots=True)
class MemberLine:
    """One member and the time its counts cover.

    :param problem: why its metrics could not be read; empty otherwise.
    """

    member: str
    role: str
    covered_s: float
    problem: str


@frozen(kw_only=True, slots=True)
class SloReport:
    """Burn rates of all objectives of the cell.

    :param taken_at: Unix time in seconds.
    :param revision: revision of the configuration whose objectives apply.
    :param covered_s: time that the counts of every scraped member cover.
    """

    taken_at: float
    revision: int
    covered_s: float
    accounts: Sequence[SloLine]
    templates: Sequence[SloLine]
    members: Sequence[MemberLine]

    @property
    def unreachable_members(self) -> int:
        """Return the number of members whose metrics could not be read."""
        return sum(1 for member in self.members if member.problem)


def assemble_report(*, cell: Cell, scrapes: Sequence[Scrape], taken_at: float) -> SloReport:
    """Add up the counts of all members and compare them with the cell's objectives."""
    answered = [scrape for scrape in scrapes if not scrape.problem]
    all_series = sorted({series for scrape in answered for series, _ in scrape.events})
    lines = [_line(series, cell, answered) for series in all_series]
    return SloReport(
        taken_at=taken_at,
        revision=cell.revision,
        covered_s=min((scrape.covered_s for scrape in answered), default=0.0),
        accounts=lines,
        templates=_template_lines(lines),
        members=[
            MemberLine(member=s.member, role=s.role, covered_s=s.covered_s, problem=s.problem)
            for s in scrapes
        ],
    )


def _line(series: Series, cell: Cell, scrapes: Sequence[Scrape]) -> SloLine:
    account = cell.accounts.get(series.account, Account(name=series.account))
    counts = {
        window: sum_counts(s.events.get((series, window), Counts()) for s in scrapes)
        for window in Window
    }
    burn = {window: burn_rate(counts[window], account.objective) for window in Window}
    waits = _add_buckets([s.waits[series] for s in scrapes if series in s.waits])
    return SloLine(
        account=account.name,
        template=account.template,
        work=series.work,
        objective=account.objective,
        counts=counts,
        burn=burn,
        budget_left=budget_left(counts[Window.H6], account.objective),
        alarm=alarm_level(burn, counts[Window.H6].total),
        p50_s=quantile(waits, 0.50),
        p99_s=quantile(waits, 0.99),
    )


def _template_lines(lines: Sequence[SloLine]) -> list[SloLine]:
    groups: dict[tuple[str, WorkKind], list[SloLine]] = {}
    for line in lines:
        groups.setdefault((line.template, line.work), []).append(line)
    return [_template_line(name, work, group) for (name, work), group in sorted(groups.items())]


def _template_line(template: str, work: WorkKind, lines: Sequence[SloLine]) -> SloLine:
    """Add up the accounts of a template.

    Accounts of one template can have different objectives, so the budgets are added up as well:
    the events of each account get the budget of that account's objective.
    """
    counts = {window: sum_counts(line.counts[window] for line in lines) for window in Window}
    burn = {window: _combined_burn(lines, window) for window in Window}
    return SloLine(
        account="",
        template=template,
        work=work,
        objective=lines[0].objective,
        counts=counts,
        burn=burn,
        budget_left=1.0 - burn[Window.H6],
        alarm=alarm_level(burn, counts[Window.H6].total),
    )


def _combined_burn(lines: Sequence[SloLine], window: Window) -> float:
    bad = sum(line.counts[window].bad for line in lines)
    allowed = sum(line.counts[window].total * (1.0 - line.objective.target) for line in lines)
    if bad == 0:
        return 0.0
    return bad / allowed if allowed > 0 else float("inf")


def _add_buckets(parts: Sequence[Mapping[float, float]]) -> dict[float, float]:
    totals: dict[float, float] = {}
    for part in parts:
        for bound, count in part.items():
            totals[bound] = totals.get(bound, 0.0) + count
    return totals


def quantile(buckets: Mapping[float, float], fraction: float) -> float | None:
    """Estimate a quantile from cumulative bucket counts by linear interpolation.

    :param buckets: cumulative count of samples for each upper bound.
    :param fraction: the quantile, between 0 and 1.
    :returns: the largest finite bound when the quantile lies above it; ``None`` without samples.
    """
    total = buckets.get(float("inf"), 0.0)
    if total == 0:
        return None
    lower_bound, count_below = 0.0, 0.0
    for bound in sorted(buckets):
        count = buckets[bound]
        if count >= fraction * total:
            if bound == float("inf"):
                return lower_bound
            return lower_bound + (bound - lower_bound) * (fraction * total - count_below) / (
                count - count_below
            )
        lower_bound, count_below = bound, count
    return lower_bound
