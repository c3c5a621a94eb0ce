"""Check the causes that ``report losses`` derives from the log lines of a cell."""

from __future__ import annotations

import json

import pytest

from rhubarbferry.management.app import run_command
from rhubarbferry.reports.losses import Cause, Verdict, find_losses, parse_lines, trace_jobs

OBJECTIVE_S = 2.0
TAKEN = {"event": "job.taken", "job": "j", "tasks": [1], "objective_s": OBJECTIVE_S}
ACCEPTED = {"event": "job.accepted", "job": "j", "queue": "q"}
REFUSED = {"event": "job.not_accepted", "job": "j", "outcome": "refused"}
APPROVED = {"event": "approval", "job": "j", "step": "0.0", "approved": 3}
START = {"event": "task.start", "job": "j", "task": "0.0.0"}
STARTED = {**START, "outcome": "started"}
UNANSWERED = {**START, "outcome": "unanswered: TimeoutError()"}
END = {"event": "task.end", "job": "j", "task": "0.0.0"}
DONE = {**END, "outcome": "done"}
LAPSED = {**END, "outcome": "lapsed"}
COMPLETE = {"event": "job.recorded", "job": "j", "phase": "complete"}
OWNER_READY = {"event": "term.settled"}
PROCESS_STARTED = {"event": "process.started"}

# The log lines with their times in seconds, the expected verdict and the expected cause.
CASES = {
    "served": (
        [(0, ACCEPTED), (0.1, TAKEN), (0.2, APPROVED), (0.3, STARTED), (1, DONE), (1.1, COMPLETE)],
        Verdict.IN_TIME,
        None,
    ),
    "no room": (
        [(0, ACCEPTED), (0.1, TAKEN), (0.2, APPROVED), (3, STARTED), (4, DONE), (4, COMPLETE)],
        Verdict.LATE,
        Cause.ROOM,
    ),
    "an account at its quota": (
        [
            (0, ACCEPTED),
            (0.1, TAKEN),
            (0.1, {"event": "job.blocked", "job": "j", "step": "0.0"}),
            (3, APPROVED),
            (3.1, STARTED),
            (4, DONE),
            (4, COMPLETE),
        ],
        Verdict.LATE,
        Cause.QUOTA,
    ),
    "a slow policy": (
        [(0, ACCEPTED), (0.1, TAKEN), (3, APPROVED), (3, STARTED), (4, DONE), (4, COMPLETE)],
        Verdict.LATE,
        Cause.APPROVAL,
    ),
    "a host that does not answer": (
        [
            (0, ACCEPTED),
            (0, TAKEN),
            (0.2, UNANSWERED),
            (3, LAPSED),
            (3, STARTED),
            (4, DONE),
            (4, COMPLETE),
        ],
        Verdict.LATE,
        Cause.START,
    ),
    "room for some tasks only": (
        [
            (0, ACCEPTED),
            (0, {**TAKEN, "tasks": [2]}),
            (0.1, APPROVED),
            (0.1, STARTED),
            (1, DONE),
            (3, {**STARTED, "task": "0.0.1"}),
            (4, {**DONE, "task": "0.0.1"}),
            (4, COMPLETE),
        ],
        Verdict.LATE,
        Cause.ROOM,
    ),
    "a run that was lost": (
        [(0, ACCEPTED), (0, TAKEN), (0.1, STARTED), (3, LAPSED), (3, STARTED), (9, COMPLETE)],
        Verdict.MISSED,
        Cause.WORK,
    ),
    "a run that was lost and begun again": (
        [
            (0, ACCEPTED),
            (0, TAKEN),
            (0.1, STARTED),
            (3, LAPSED),
            (3.1, STARTED),
            (4, DONE),
            (4, COMPLETE),
        ],
        Verdict.LATE,
        Cause.RESTART,
    ),
    "a store that does not answer": (
        [(0, REFUSED), (1, REFUSED)],
        Verdict.REFUSED,
        Cause.ACCEPTANCE,
    ),
    "accepted at last": (
        [(0, REFUSED), (3, ACCEPTED), (3, TAKEN), (3, STARTED), (4, DONE), (4, COMPLETE)],
        Verdict.LATE,
        Cause.ACCEPTANCE,
    ),
    "an end that was not recorded": (
        [(0, ACCEPTED), (0, TAKEN), (0, STARTED), (1, DONE), (4, COMPLETE)],
        Verdict.LATE,
        Cause.RECORD,
    ),
    "an owner that was killed": (
        [
            (0, OWNER_READY),
            (0, ACCEPTED),
            (0, TAKEN),
            (0.1, STARTED),
            (0.5, PROCESS_STARTED),
            (4, {**OWNER_READY, "member": "other"}),
            (4, DONE),
            (4.1, COMPLETE),
        ],
        Verdict.LATE,
        Cause.OWNER,
    ),
    "an owner that was killed and came back": (
        [
            (0, OWNER_READY),
            (0, ACCEPTED),
            (0, TAKEN),
            (0.1, STARTED),
            (0.5, PROCESS_STARTED),
            (4, OWNER_READY),
            (4, DONE),
            (4.1, COMPLETE),
        ],
        Verdict.LATE,
        Cause.OWNER,
    ),
}


def log_lines(events) -> list[str]:
    return [json.dumps({"at": 1000.0 + at, "member": "owner", **line}) for at, line in events]


@pytest.mark.parametrize(("events", "verdict", "cause"), CASES.values(), ids=CASES.keys())
def test_the_longest_wait_of_a_job_is_its_cause(events, verdict, cause):
    lines = parse_lines(log_lines(events))
    (trace,) = trace_jobs(lines)
    assert trace.verdict(lines[-1].at) is verdict
    rows = find_losses(lines)
    assert [row.cause for row in rows] == ([cause.value] if cause else [])
    assert sum(row.lost for row in rows) == (verdict is not Verdict.IN_TIME)


def test_totals_add_up_to_the_rows_by_window():
    event_lists = [log_lines(events) for events, _, cause in CASES.values() if cause is Cause.ROOM]
    renamed = [
        text.replace('"job": "j"', f'"job": "j{index}"')
        for index, events in enumerate(event_lists)
        for text in events
    ]
    lines = parse_lines(renamed)
    (total,) = find_losses(lines, total=True)
    rows = find_losses(lines)
    assert total.cause == Cause.ROOM.value
    assert total.lost == sum(row.lost for row in rows) == len(event_lists)


def test_lines_of_other_programs_are_skipped():
    found = parse_lines(["", "no line", "{", '{"at": 1}', *log_lines([(0, ACCEPTED)])])
    assert [line.event for line in found] == ["job.accepted"]


def test_the_command_reads_files_with_prefixes(tmp_path, capsys):
    file = tmp_path / "lines"
    events, _, cause = CASES["no room"]
    file.write_text("\n".join(f" 1.0 host {text}" for text in log_lines(events)))
    assert run_command(["report", "losses", str(file), "--total"]) == 0
    assert cause.value in capsys.readouterr().out


def test_the_command_reports_files_without_log_lines(tmp_path, capsys):
    file = tmp_path / "lines"
    file.write_text("nothing")
    assert run_command(["report", "losses", str(file)]) == 1
    assert "no log line" in capsys.readouterr().err
