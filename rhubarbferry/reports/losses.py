"""Report why jobs were late or not served, from the log lines of the processes of a cell.

The time of each job is divided among the causes it waited for. The cause with the largest share
other than the job's own run is reported. Only the log lines are read, so the report can also be
made long after the jobs have ended.
"""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import Any

from attrs import Factory, define, field, frozen

from rhubarbferry.dispatch.messages import EndKind
from rhubarbferry.dispatch.objective import LATE_FACTOR

REPORT_WINDOW_S = 2.0
# A run with any other outcome does not complete its task, which has to be started again.
SUCCESSFUL_OUTCOMES = (EndKind.DONE.value,)


class Cause(StrEnum):
    """Reasons for which a job waits.

    ``ACCEPTANCE``: no process has accepted it. ``OWNER``: no process owns the work.
    ``QUOTA``: its account is at its quota. ``APPROVAL``: the policy service has not approved a
    step. ``ROOM``: no host has free capacity. ``START``: a host has not answered a start order.
    ``RESTART``: a run that ended without success is repeated. ``RECORD``: its end has not been
    recorded. ``WORK``: its tasks are running.
    """

    ACCEPTANCE = "not accepted"
    OWNER = "no owner"
    QUOTA = "account at its quota"
    APPROVAL = "approval"
    ROOM = "room"
    START = "start without an answer"
    RESTART = "run begun again"
    RECORD = "record of its end"
    WORK = "long run"


class Verdict(StrEnum):
    """Outcome of a job for its client.

    A job is ``LATE`` when it takes longer than its objective, and ``MISSED`` when it takes longer
    than ``LATE_FACTOR`` times its objective. It is ``OPEN`` when its end is not known.
    """

    IN_TIME = "in time"
    LATE = "late"
    MISSED = "missed"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    OPEN = "open"


LOST_VERDICTS = (Verdict.LATE, Verdict.MISSED, Verdict.REFUSED, Verdict.FAILED)


@frozen(kw_only=True, slots=True)
class LogLine:
    """One log line of a process.

    :param at: Unix time in seconds.
    :param fields: all fields of the line by name.
    """

    at: float
    member: str
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text; empty when it is missing."""
        return str(self.fields.get(name) or "")


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the parsed lines sorted by time; text that is no log line of this program is skipped.

    :param texts: lines of text. Anything before the first brace is ignored, since log collectors
        prepend host names and times.
    """
    found = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            line = LogLine(
                at=float(fields["at"]),
                member=str(fields["member"]),
                event=str(fields["event"]),
                fields=fields,
            )
        except (ValueError, KeyError, TypeError):
            continue
        found.append(line)
    return sorted(found, key=lambda line: line.at)


@frozen(kw_only=True, slots=True)
class OwnershipGap:
    """Interval during which no process owned the work."""

    start: float
    end: float

    def overlap(self, start: float, end: float) -> float:
        """Return the overlap of the gap with a time interval, in seconds."""
        return max(0.0, min(end, self.end) - max(start, self.start))


def find_ownership_gaps(lines: Iterable[LogLine]) -> list[OwnershipGap]:
    """Return the intervals without an owner.

    A gap begins with the last log line of an owner and ends when the next owner is ready.
    """
    gaps: list[OwnershipGap] = []
    owner = ""
    owned_until: float | None = None
    for line in lines:
        match line.event:
            case "term.settled":
                if owned_until is not None and owner != line.member:
                    gaps.append(OwnershipGap(start=owned_until, end=line.at))
                owner, owned_until = line.member, line.at
            case "process.started" | "term.ended" if line.member == owner:
                # A killed process logs nothing when it ends, only when it starts again.
                owner = ""
            case _ if line.member == owner:
                owned_until = line.at
    return gaps


def _step_label(task: str) -> str:
    """Return the label of a task's step: OCCURRENCE.STEP of OCCURRENCE.STEP.INDEX."""
    return task.rpartition(".")[0]


@define(kw_only=True, eq=False)
class JobTrace:
    """History of one job as its log lines show it.

    :ivar first_at: time of its first line.
    :ivar ended_at: when its end was recorded; ``None`` before that.
    :ivar waited: seconds by cause.
    """

    id: str
    first_at: float
    gaps: list[OwnershipGap]
    queue: str = ""
    objective_s: float = 0.0
    ended_at: float | None = None
    phase: str = ""
    waited: dict[Cause, float] = Factory(lambda: defaultdict(float))
    _attributed_until: float = field(init=False)
    _accepted: bool = False
    _taken: bool = False
    _task_counts: list[int] = Factory(list)
    _approved_steps: set[str] = Factory(set)
    _blocked_steps: set[str] = Factory(set)
    _done: set[str] = Factory(set)
    _restarted: set[str] = Factory(set)
    _running: dict[str, float] = Factory(dict)
    _unanswered: set[str] = Factory(set)

    def __attrs_post_init__(self) -> None:
        self._attributed_until = self.first_at

    def add_line(self, line: LogLine) -> None:
        """Update the trace from a log line about this job."""
        if self.ended_at is not None:
            return
        self._attribute_time(line.at)
        task = line.text("task")
        match line.event:
            case "job.accepted":
                self._accepted = True
                self.queue = line.text("queue")
            case "job.taken":
                self._accepted = self._taken = True
                self.objective_s = float(line.fields.get("objective_s") or 0.0)
                self._task_counts = [int(count) for count in line.fields.get("tasks") or ()]
            case "approval" if line.fields.get("approved"):
                self._approved_steps.add(line.text("step"))
            case "job.blocked":
                self._blocked_steps.add(line.text("step"))
            case "task.start":
                self._blocked_steps.discard(_step_label(task))
                self._approved_steps.add(_step_label(task))
                self._add_start(task, line)
            case "task.end":
                self._add_end(task, line)
            case "job.recorded":
                self._add_record(line)

    def _add_start(self, task: str, line: LogLine) -> None:
        outcome = line.text("outcome")
        if outcome == "started":
            self._running[task] = line.at
            self._unanswered.discard(task)
        elif outcome.startswith("unanswered"):
            self._unanswered.add(task)

    def _add_end(self, task: str, line: LogLine) -> None:
        self._unanswered.discard(task)
        started_at = self._running.pop(task, line.at)
        if line.text("outcome") in SUCCESSFUL_OUTCOMES:
            self._done.add(task)
            return
        self._restarted.add(task)
        lost_s = min(line.at - started_at, self.waited[Cause.WORK])
        self.waited[Cause.WORK] -= lost_s
        self.waited[Cause.RESTART] += lost_s

    def _add_record(self, line: LogLine) -> None:
        self.phase = line.text("phase")
        if self.phase in ("complete", "failed", "cancelled"):
            self.ended_at = line.at

    def _attribute_time(self, at: float) -> None:
        ownerless_s = (
            sum(gap.overlap(self._attributed_until, at) for gap in self.gaps)
            if self._accepted
            else 0.0
        )
        self.waited[Cause.OWNER] += ownerless_s
        self.waited[self._current_cause()] += max(0.0, at - self._attributed_until - ownerless_s)
        self._attributed_until = at

    def _current_cause(self) -> Cause:
        if not self._accepted:
            return Cause.ACCEPTANCE
        if not self._taken:
            return Cause.OWNER
        if self._unanswered:
            return Cause.START
        if self._blocked_steps:
            return Cause.QUOTA
        if self._restarted - self._running.keys() - self._done:
            return Cause.RESTART
        if self._waits_for_capacity():
            return Cause.ROOM
        if self._running:
            return Cause.WORK
        return Cause.RECORD if len(self._done) == sum(self._task_counts) else Cause.APPROVAL

    def _waits_for_capacity(self) -> bool:
        """Return whether an approved step has tasks that have neither run nor are running."""
        task_counts = Counter(_step_label(task) for task in {*self._running, *self._done})
        return any(task_counts[step] < self._task_count(step) for step in self._approved_steps)

    def _task_count(self, step: str) -> int:
        index = int(step.rpartition(".")[2])
        return self._task_counts[index] if index < len(self._task_counts) else 0

    def finish(self, at: float) -> None:
        """Account for the time up to the last log line if the job has not ended."""
        if self.ended_at is None:
            self._attribute_time(at)

    def verdict(self, now: float, *, lines_complete: bool = True) -> Verdict:
        """Return the outcome of the job.

        :param now: time of the last line.
        :param lines_complete: whether the processes omitted no line. Otherwise the line with the
            end of an open job may be one of those omitted.
        """
        if not self._accepted:
            return Verdict.REFUSED
        if self.phase in ("failed", "cancelled"):
            return Verdict(self.phase)
        if not self.objective_s or (self.ended_at is None and not lines_complete):
            # Lines were omitted, so the delay is unknown.
            return Verdict.OPEN
        duration_s = (self.ended_at or now) - self.first_at
        if duration_s > LATE_FACTOR * self.objective_s:
            return Verdict.MISSED
        if self.ended_at is None:
            return Verdict.OPEN
        return Verdict.IN_TIME if duration_s <= self.objective_s else Verdict.LATE

    def cause(self) -> Cause:
        """Return the cause of the largest wait.

        The run itself is the cause when it exceeds the objective by at least the largest wait, or
        when the job waited for nothing else.
        """
        other_waits: dict[Cause, float] = {
            cause: s for cause, s in self.waited.items() if cause is not Cause.WORK
        }
        longest = max(other_waits, key=lambda cause: other_waits[cause], default=Cause.WORK)
        excess_s = self.waited[Cause.WORK] - self.objective_s
        return longest if other_waits.get(longest, 0.0) > max(0.0, excess_s) else Cause.WORK


@frozen(kw_only=True)
class LossRow:
    """Jobs of one window that were late, missed, refused or failed for one cause.

    :param window_s: start of the window in seconds after the first line.
    :param queue: queue of the jobs.
    :param cause: what the jobs waited for.
    :param waited_s: average wait for that cause in seconds.
    """

    window_s: float
    queue: str
    cause: str
    late: int
    missed: int
    refused: int
    failed: int
    waited_s: float

    @property
    def lost(self) -> int:
        """Return the number of lost jobs."""
        return self.late + self.missed + self.refused + self.failed


def count_omitted_lines(lines: Iterable[LogLine]) -> int:
    """Return how many lines the processes omitted because of their limit on log volume."""
    return sum(int(line.fields.get("left_out") or 0) for line in lines)


def trace_jobs(lines: list[LogLine]) -> list[JobTrace]:
    """Return the trace of each job."""
    gaps = find_ownership_gaps(lines)
    traces: dict[str, JobTrace] = {}
    for line in lines:
        id = line.text("job")
        if not id:
            continue
        if id not in traces:
            traces[id] = JobTrace(id=id, first_at=line.at, gaps=gaps)
        traces[id].add_line(line)
    for trace in traces.values():
        trace.finish(lines[-1].at)
    return list(traces.values())


def find_losses(lines: list[LogLine], *, total: bool = False) -> list[LossRow]:
    """Return the lost jobs, one row for each window, queue and cause.

    The numbers of all rows add up to the number of lost jobs.

    :param lines: log lines of all processes of a cell, sorted by time.
    :param total: return one row for each cause instead, the one with the most jobs first.
    """
    if not lines:
        return []
    first_at, last_at = lines[0].at, lines[-1].at
    counts: dict[tuple[float, str, Cause], Counter[Verdict]] = defaultdict(Counter)
    waited: dict[tuple[float, str, Cause], float] = defaultdict(float)
    lines_complete = not count_omitted_lines(lines)
    for trace in trace_jobs(lines):
        verdict = trace.verdict(last_at, lines_complete=lines_complete)
        if verdict not in LOST_VERDICTS:
            continue
        window_s = (trace.first_at - first_at) // REPORT_WINDOW_S * REPORT_WINDOW_S
        key = (0.0, "", trace.cause()) if total else (window_s, trace.queue, trace.cause())
        counts[key][verdict] += 1
        waited[key] += trace.waited[trace.cause()]
    rows = [
        LossRow(
            window_s=window_s,
            queue=queue,
            cause=cause.value,
            late=verdicts[Verdict.LATE],
            missed=verdicts[Verdict.MISSED],
            refused=verdicts[Verdict.REFUSED],
            failed=verdicts[Verdict.FAILED],
            waited_s=waited[(window_s, queue, cause)] / verdicts.total(),
        )
        for (window_s, queue, cause), verdicts in sorted(counts.items())
    ]
    return sorted(rows, key=lambda row: -row.lost) if total else rows
