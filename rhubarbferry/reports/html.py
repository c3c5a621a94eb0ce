"""Render the report on objectives as one HTML page with inline styles and plots."""

from __future__ import annotations

import math
from collections.abc import Sequence
from datetime import UTC, datetime
from html import escape

from attrs import frozen

from rhubarbferry.reports.burn import (
    FAST_BURN_RATE,
    SLOW_BURN_RATE,
    Alarm,
    Counts,
    EventKind,
    Window,
)
from rhubarbferry.reports.slo import SloLine, SloReport

COLOURS = {
    EventKind.GOOD: "#4c9a6a",
    EventKind.LATE: "#e0a030",
    EventKind.REFUSED: "#c8553d",
    EventKind.UNKNOWN: "#6d5a8e",
}
WINDOW_COLOURS = {
    Window.M5: "#9ecae1",
    Window.M30: "#6baed6",
    Window.H1: "#3182bd",
    Window.H6: "#08519c",
}
ALARM_CLASSES = {
    Alarm.NO_EVENTS: "quiet",
    Alarm.OK: "ok",
    Alarm.SLOW: "slow",
    Alarm.FAST: "fast",
}
WIDTH = 920
LABEL_WIDTH = 240
RIGHT_MARGIN = 60
BAR_HEIGHT = 9
BASELINE_OFFSET = 4
MAX_NAME_LENGTH = 24
MIN_BURN_SCALE = 2.0
MAX_BURN_SCALE = 100.0
# The columns of the plot by age, newest first. Each counts the events of its window that are not
# in the next shorter one.
AGE_WINDOWS = (Window.M5, Window.M30, Window.H1, Window.H6)
AGE_LABELS = ("0–5 min ago", "5–30 min ago", "30–60 min ago", "1–6 h ago")
STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; color: #222; background: #fff;
  max-width: 1160px; margin: 2em auto; padding: 0 1em; }
h1 { font-size: 1.5em; margin-bottom: .2em; }
h2 { font-size: 1.1em; margin: 1.8em 0 .4em; }
p { margin: .3em 0 .8em; max-width: 46em; }
table { border-collapse: collapse; font-size: 13px; width: 100%; }
th, td { padding: .25em .5em; border-bottom: 1px solid #ddd; text-align: right; }
th { font-weight: 600; border-bottom: 2px solid #888; }
th.text, td.text { text-align: left; }
td { font-variant-numeric: tabular-nums; }
.ok { color: #2d6a45; } .quiet { color: #666; }
.slow { background: #fdf0d5; color: #7a4d00; font-weight: 600; }
.fast { background: #f9dcd6; color: #8c1d0a; font-weight: 600; }
.note { color: #555; font-size: 13px; }
svg { max-width: 100%; height: auto; }
svg text { font: 12px system-ui, sans-serif; fill: #333; }
@media print { body { margin: 0; max-width: none; font-size: 11px; } h2 { break-after: avoid; }
  svg, tr { break-inside: avoid; } }
"""


@frozen(kw_only=True, slots=True)
class BarSegment:
    """One segment of a stacked bar."""

    value: float
    colour: str
    title: str


def render_page(report: SloReport) -> str:
    """Return the complete HTML page."""
    taken = datetime.fromtimestamp(report.taken_at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
    parts = [
        f"<h1>Service-level objectives</h1><p>{taken}, configuration {report.revision}.</p>",
        _coverage(report),
        "<h2>Client accounts</h2>",
        _table(report.accounts),
        "<h2>Templates</h2>",
        _table(report.templates),
    ]
    if report.accounts:
        parts += _plots(report.accounts)
    parts += ["<h2>Members</h2>", _members(report), _notes()]
    body = "\n".join(parts)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        '<meta name="viewport" content="width=device-width">'
        f"<title>Service-level objectives, {taken}</title><style>{STYLE}</style></head>\n"
        f"<body>{body}</body></html>\n"
    )


def _coverage(report: SloReport) -> str:
    answered = len(report.members) - report.unreachable_members
    text = (
        f"{answered} of {len(report.members)} members answered. "
        f"All of these cover the last {report.covered_s / 60:.0f} minutes"
    )
    if report.covered_s < Window.H6.seconds:
        text += "; longer windows hold no more than that for the youngest of them"
    return f"<p>{text}.</p>"


def _plots(lines: Sequence[SloLine]) -> list[str]:
    return [
        "<h2>Burn rate</h2>",
        "<p>1 uses the allowance up exactly. The lines mark the alarms: "
        f"{SLOW_BURN_RATE:g} over 30 min and 6 h, {FAST_BURN_RATE:g} over 5 min and 1 h.</p>",
        _legend([(f"last {window.value}", WINDOW_COLOURS[window]) for window in Window]),
        burn_plot(lines),
        "<h2>How work came out in the last 6 h</h2>",
        _legend([(kind.value, COLOURS[kind]) for kind in EventKind]),
        outcome_plot(lines),
        "<h2>Bad part by age</h2>",
        "<p>Bad events over all events, in per cent; newest on the right.</p>",
        age_plot(lines),
    ]


# ------------------------------------------------------------ tables


def _table(lines: Sequence[SloLine]) -> str:
    if not lines:
        return '<p class="note">No events were counted.</p>'
    names = ["account", "template", "work", "objective"]
    numbers = ["good", "late", "refused", "unknown"]
    burns = [f"burn {window.value}" for window in Window]
    head = "".join(f'<th class="text">{name}</th>' for name in names)
    head += "".join(f"<th>{name}</th>" for name in [*numbers, *burns, "left", "p50", "p99"])
    rows = "".join(_table_row(line) for line in lines)
    return f'<table><tr>{head}<th class="text">verdict</th></tr>{rows}</table>'


def _table_row(line: SloLine) -> str:
    objective = line.objective
    target_text = f"{100 * objective.target:.4g}% in {objective.wait_ms} ms" if line.account else ""
    texts = [line.account or "(all)", line.template or "–", line.work.value, target_text]
    longest = line.counts[Window.H6]
    numbers = [f"{longest.of_kind(kind):,}" for kind in EventKind]
    numbers += [format_rate(line.burn[window]) for window in Window]
    numbers += [
        _format_percent(line.budget_left),
        _format_wait(line.p50_s),
        _format_wait(line.p99_s),
    ]
    cells = "".join(f'<td class="text">{escape(text)}</td>' for text in texts)
    cells += "".join(f"<td>{text}</td>" for text in numbers)
    mark = ALARM_CLASSES[line.alarm]
    return f'<tr>{cells}<td class="text {mark}">{line.alarm.value}</td></tr>'


def _members(report: SloReport) -> str:
    rows = "".join(
        f'<tr><td class="text">{escape(member.member)}</td>'
        f'<td class="text">{escape(member.role)}</td>'
        f"<td>{member.covered_s / 60:.0f} min</td>"
        f'<td class="text">{escape(member.problem or "answered")}</td></tr>'
        for member in report.members
    )
    head = '<th class="text">member</th><th class="text">role</th><th>covers</th>'
    return f'<table><tr>{head}<th class="text">state</th></tr>{rows}</table>'


def _notes() -> str:
    return (
        '<p class="note">Counts and what is left are of the last 6 h, as far as the members cover '
        "them. Late: started after the objective's time, or the caller gave up after it. Refused: "
        "not run for want of room. Unknown: may or may not have been run. What callers are to "
        "blame for is not counted. Members that have ended took their counts with them. "
        "p50 and p99 are waits before the start, since the members started, estimated from "
        "histograms.</p>"
    )


# ------------------------------------------------------------ plots


def burn_plot(lines: Sequence[SloLine]) -> str:
    """Return a plot with one bar for each line and window.

    The scale is a square root, so that low burn rates stay visible.
    """
    rates = [rate for line in lines for rate in line.burn.values() if math.isfinite(rate)]
    top = max(rates, default=0.0)
    scale = min(MAX_BURN_SCALE, max(MIN_BURN_SCALE, top * 1.05))
    step = BAR_HEIGHT * len(Window) + 12
    height = step * len(lines) + 40
    grid_rates = [
        grid_rate
        for grid_rate in (0.0, 1.0, SLOW_BURN_RATE, FAST_BURN_RATE, 50.0)
        if grid_rate <= scale
    ]
    parts = [
        _grid_line(_burn_x(grid_rate, scale), height, format_rate(grid_rate))
        for grid_rate in grid_rates
    ]
    for row, line in enumerate(lines):
        y = 10 + row * step
        parts.append(
            _axis_label(_line_name(line), y + BAR_HEIGHT * len(Window) / 2 + BASELINE_OFFSET)
        )
        for index, window in enumerate(Window):
            rate = line.burn[window]
            length = _burn_x(min(rate, scale), scale) - LABEL_WIDTH
            title = f"{_line_name(line)}, last {window.value}: {format_rate(rate)}"
            colour = WINDOW_COLOURS[window]
            parts.append(
                _rect(LABEL_WIDTH, y + index * BAR_HEIGHT, length, BAR_HEIGHT - 1, colour, title)
            )
    return _svg(parts, height)


def _burn_x(rate: float, scale: float) -> float:
    return LABEL_WIDTH + (WIDTH - LABEL_WIDTH - RIGHT_MARGIN) * math.sqrt(rate / scale)


def outcome_plot(lines: Sequence[SloLine]) -> str:
    """Return a plot with a stacked bar for each line: its events by kind."""
    step = 24
    parts = []
    for row, line in enumerate(lines):
        y = 4 + row * step
        counts = line.counts[Window.H6]
        parts.append(_axis_label(_line_name(line), y + 14))
        parts += _stacked_bar(_kind_segments(counts, _line_name(line)), y, step - 6, counts.total)
        x = WIDTH - RIGHT_MARGIN + 6
        parts.append(f'<text x="{x}" y="{y + 14}">{counts.total:,}</text>')
    return _svg(parts, step * len(lines) + 8)


def _kind_segments(counts: Counts, name: str) -> list[BarSegment]:
    return [
        BarSegment(
            value=counts.of_kind(kind),
            colour=COLOURS[kind],
            title=f"{name}: {counts.of_kind(kind):,} {kind.value}",
        )
        for kind in EventKind
    ]


def _stacked_bar(bars: Sequence[BarSegment], y: float, height: float, total: float) -> list[str]:
    parts = []
    x = float(LABEL_WIDTH)
    for bar in bars:
        if bar.value == 0 or total == 0:
            continue
        length = (WIDTH - LABEL_WIDTH - RIGHT_MARGIN) * bar.value / total
        parts.append(_rect(x, y, length, height, bar.colour, bar.title))
        x += length
    return parts


def age_plot(lines: Sequence[SloLine]) -> str:
    """Return a table plot of the bad fraction by age of the events.

    Each line has one cell for each age; a darker cell has a larger bad fraction.
    """
    step, head = 26, 22
    width = (WIDTH - LABEL_WIDTH - RIGHT_MARGIN) / len(AGE_WINDOWS)
    parts = []
    for index, name in enumerate(AGE_LABELS):
        x = LABEL_WIDTH + width * (len(AGE_WINDOWS) - 1 - index) + width / 2
        parts.append(f'<text x="{x:.1f}" y="14" text-anchor="middle">{name}</text>')
    for row, line in enumerate(lines):
        y = head + row * step
        parts.append(_axis_label(_line_name(line), y + 16))
        for index, counts in enumerate(counts_by_age(line)):
            x = LABEL_WIDTH + width * (len(AGE_WINDOWS) - 1 - index)
            parts += _age_cell(counts, x, y, width - 3, step - 4)
    return _svg(parts, head + step * len(lines) + 4)


def counts_by_age(line: SloLine) -> list[Counts]:
    """Return the events by age, newest first.

    Each entry holds the events of its window that are not in the next shorter one.
    """
    found, shorter_window = [], Counts()
    for window in AGE_WINDOWS:
        found.append(line.counts[window] - shorter_window)
        shorter_window = line.counts[window]
    return found


def _age_cell(counts: Counts, x: float, y: float, width: float, height: float) -> list[str]:
    if counts.total <= 0:
        text, colour = "–", "#f3f3f3"
    else:
        bad_fraction = counts.bad / counts.total
        text = f"{100 * bad_fraction:.2g}% of {counts.total:,}"
        colour = _shade_of(bad_fraction)
    return [
        _rect(x, y, width, height, colour, text),
        f'<text x="{x + width / 2:.1f}" y="{y + 16:.1f}" text-anchor="middle">{text}</text>',
    ]


def _shade_of(bad_fraction: float) -> str:
    """Return a colour from light green to light red, light enough for dark text."""
    if bad_fraction == 0:
        return "#dcefe2"
    saturation = min(1.0, 0.25 + math.sqrt(bad_fraction))
    green = round(235 - 105 * saturation)
    return f"rgb(250,{green},{round(green * 0.92)})"


def _legend(entries: Sequence[tuple[str, str]]) -> str:
    parts = []
    for index, (name, colour) in enumerate(entries):
        x = LABEL_WIDTH + 120 * index
        parts.append(_rect(x, 3, 12, 12, colour, name))
        parts.append(f'<text x="{x + 18}" y="13">{escape(name)}</text>')
    return _svg(parts, 20)


def _grid_line(x: float, height: float, text: str) -> str:
    bottom = height - 22
    return (
        f'<line x1="{x:.1f}" y1="4" x2="{x:.1f}" y2="{bottom}" stroke="#bbb" '
        f'stroke-dasharray="3 3"/>'
        f'<text x="{x:.1f}" y="{height - 6}" text-anchor="middle">{text}</text>'
    )


def _axis_label(text: str, y: float) -> str:
    return f'<text x="{LABEL_WIDTH - 10}" y="{y:.1f}" text-anchor="end">{escape(text)}</text>'


def _rect(x: float, y: float, width: float, height: float, colour: str, title: str) -> str:
    return (
        f'<rect x="{x:.1f}" y="{y:.1f}" width="{width:.1f}" height="{height:.1f}" '
        f'fill="{colour}"><title>{escape(title)}</title></rect>'
    )


def _svg(parts: Sequence[str], height: float) -> str:
    inner = "".join(parts)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {height:.0f}" '
        f'width="{WIDTH}" height="{height:.0f}" role="img">{inner}</svg>'
    )


def _line_name(line: SloLine) -> str:
    account = line.account
    if len(account) > MAX_NAME_LENGTH:
        account = account[: MAX_NAME_LENGTH - 1] + "…"
    return f"{account} {line.work.value}"


def format_rate(value: float) -> str:
    """Return a rate as short text."""
    if math.isinf(value):
        return "∞"
    return f"{value:.2f}".rstrip("0").rstrip(".")


def _format_percent(value: float) -> str:
    return "overdrawn" if math.isinf(value) else f"{100 * value:.1f}%"


def _format_wait(value: float | None) -> str:
    return "–" if value is None else f"{1000 * value:.0f} ms"
