import json

import attrs
import pytest
from prometheus_client import CollectorRegistry, generate_latest

from rhubarbferry.core.cell import Account, Cell, Objective
from rhubarbferry.management.commands.report import render
from rhubarbferry.reports import events as events_module
from rhubarbferry.reports.burn import Counts, EventKind, Window
from rhubarbferry.reports.events import EventCounters, SloCollector, WorkKind, classify_start
from rhubarbferry.reports.scrape import Scrape, parse_metrics
from rhubarbferry.reports.slo import SloReport, assemble_report, quantile
from rhubarbferry.test.fake_clock import FakeClock

HTML_INJECTION = '<script>"x"</script>'
CELL = Cell(
    revision=4,
    accounts={
        "lanna": Account(name="lanna", template="fast", objective=Objective(target=0.9)),
        "notos": Account(name="notos", template="fast", objective=Objective(target=0.8)),
    },
)


@attrs.frozen
class ConfigurationStub:
    cell: Cell

    def current(self) -> Cell:
        return self.cell


def make_scrape(
    member: str, event_counts: dict[tuple[str, EventKind], int], *, age_s: float = 0.0
) -> Scrape:
    clock, counters, registry = FakeClock(), EventCounters(), CollectorRegistry()
    registry.register(SloCollector(counters=counters, cell=ConfigurationStub(CELL), clock=clock))
    for (account, kind), count in event_counts.items():
        for _ in range(count):
            counters.add(account, WorkKind.REQUESTS, kind, now=clock.monotonic())
    clock.jump(age_s)
    return parse_metrics(generate_latest(registry).decode(), member=member, role="frontend")


def make_report(*scrapes: Scrape) -> SloReport:
    return assemble_report(cell=CELL, scrapes=scrapes, taken_at=1.0e9)


def test_report_adds_up_the_counts_of_all_members() -> None:
    first = make_scrape("a", {("lanna", EventKind.GOOD): 7, ("lanna", EventKind.LATE): 1})
    second = make_scrape("b", {("lanna", EventKind.GOOD): 1, ("lanna", EventKind.REFUSED): 1})
    (line,) = make_report(first, second).accounts
    assert line.counts[Window.M5] == Counts(good=8, late=1, refused=1)
    assert line.burn[Window.H6] == pytest.approx(2.0)
    assert line.budget_left == pytest.approx(-1.0)
    assert line.template == "fast"


def test_template_budget_is_the_sum_of_its_accounts_budgets() -> None:
    event_counts = {
        ("lanna", EventKind.GOOD): 9,
        ("lanna", EventKind.LATE): 1,
        ("notos", EventKind.GOOD): 8,
        ("notos", EventKind.UNKNOWN): 2,
    }
    (line,) = make_report(make_scrape("a", event_counts)).templates
    assert line.burn[Window.H1] == pytest.approx(1.0)
    assert line.budget_left == pytest.approx(0.0)


@pytest.mark.parametrize(("age_s", "recent", "all_events"), [(0.0, 20, 20), (900.0, 0, 20)])
def test_old_events_leave_the_short_window(age_s: float, recent: int, all_events: int) -> None:
    (line,) = make_report(make_scrape("a", {("lanna", EventKind.LATE): 20}, age_s=age_s)).accounts
    assert line.counts[Window.M5].late == recent
    assert line.counts[Window.H6].late == all_events


def test_an_unreachable_member_is_reported_and_excluded_from_coverage() -> None:
    """A member that does not answer leaves the sums too low. The report must name that member and
    state how many members the figures cover.
    """
    unreachable = Scrape(member="b", role="scheduler", problem="no route")
    report = make_report(make_scrape("a", {("lanna", EventKind.GOOD): 1}, age_s=120.0), unreachable)
    assert report.unreachable_members == 1
    assert report.covered_s == pytest.approx(120.0)
    assert "1 of 2 members answered; all of them cover 2 minutes" in render(report, "table")
    assert "no route" in render(report, "html")


def test_coverage_is_that_of_the_member_started_last() -> None:
    scrapes = [make_scrape("a", {}, age_s=9000.0), make_scrape("b", {}, age_s=60.0)]
    assert make_report(*scrapes).covered_s == pytest.approx(60.0)


@pytest.mark.parametrize("format", ["table", "json", "html"])
def test_each_format_renders_an_empty_and_a_full_report(format: str) -> None:
    full = make_report(
        make_scrape("a", {("lanna", EventKind.LATE): 3, (HTML_INJECTION, EventKind.GOOD): 1})
    )
    for report in (make_report(), full):
        text = render(report, format)  # type: ignore[arg-type]
        assert text.endswith("\n")
        if format == "json":
            assert json.loads(text)["revision"] == 4
        if format == "html":
            assert "<script>" not in text
            assert "http://" not in text.replace("http://www.w3.org/2000/svg", "")
            assert 'src="' not in text and "@import" not in text and "<link" not in text


@pytest.mark.parametrize(
    ("buckets", "fraction", "expected"),
    [
        ({}, 0.5, None),
        ({1.0: 0.0, float("inf"): 0.0}, 0.5, None),
        ({1.0: 10.0, float("inf"): 10.0}, 0.5, 0.5),
        ({1.0: 5.0, 2.0: 10.0, float("inf"): 10.0}, 0.9, 1.8),
        ({1.0: 5.0, float("inf"): 10.0}, 0.99, 1.0),
    ],
)
def test_quantile(buckets: dict[float, float], fraction: float, expected: float | None) -> None:
    assert quantile(buckets, fraction) == (None if expected is None else pytest.approx(expected))


def test_renamed_accounts_do_not_grow_the_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An account that is renamed again and again would leave one ring and one series on /metrics
    for each former name, until the process exceeds its memory budget.
    """
    monkeypatch.setattr(events_module, "MAX_SERIES", 4)
    counters = EventCounters()
    for number in range(20):
        counters.add(f"account-{number}", WorkKind.JOBS, EventKind.GOOD, now=float(number))
    assert [account for account, _ in counters.series()] == [f"account-{n}" for n in range(16, 20)]


@pytest.mark.parametrize(
    ("wait_s", "expected"),
    [(0.0, EventKind.GOOD), (0.25, EventKind.GOOD), (0.251, EventKind.LATE)],
)
def test_start_is_classified_by_the_objective(wait_s: float, expected: EventKind) -> None:
    assert classify_start(wait_s, Objective(wait_ms=250)) is expected
