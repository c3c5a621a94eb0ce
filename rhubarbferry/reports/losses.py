"""Why jobs were late or not served, from the lines that the processes of a cell write.

Each job's time is divided among what it waited for; the largest part that is not work counts as
the cause. Only what the lines tell is used, so the report can be made long after the fact.
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

WINDOW_S = 2.0
# Runs that ended in another way have to begin again.
GOOD_ENDS = (EndKind.DONE.value,)


class Cause(StrEnum):
    """What a job waited for."""

    ACCEPTANCE = "not accepted"
    OWNER = "no owner"
    APPROVAL = "approval"
    ROOM = "room"
    START = "start without an answer"
    RESTART = "run begun again"
    RECORD = "record of its end"
    WORK = "long run"


class Verdict(StrEnum):
    """How a job came out for its client."""

    IN_TIME = "in time"
    LATE = "late"
    MISSED = "missed"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    OPEN = "open"


LOST = (Verdict.LATE, Verdict.MISSED, Verdict.REFUSED, Verdict.FAILED)


@frozen(kw_only=True, slots=True)
class Line:
    """One line of a process.

    :param at: time of day, in Unix seconds.
    """

    at: float
    member: str
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text, empty where it is missing."""
        return str(self.fields.get(name) or "")


def parse_lines(texts: Iterable[str]) -> list[Line]:
    """Return the lines in order of time; what is no line of this program is left out.

    :param texts: lines of text; anything before the first brace is skipped, as log collectors
        put names and times there.
    """
    found = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            line = Line(
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
class Gap:
    """A time without an owner of the work."""

    start: float
    end: float

    def overlap(self, start: float, end: float) -> float:
        """Return how much of a time lies in this gap, in seconds."""
        return max(0.0, min(end, self.end) - max(start, self.start))


def gaps_between_owners(lines: Iterable[Line]) -> list[Gap]:
    """Return the times without an owner: from the last line of one to the next one's work."""
    gaps: list[Gap] = []
    owner = ""
    owned_until: float | None = None
    for line in lines:
        match line.event:
            case "term.settled":
                if owned_until is not None and owner != line.member:
                    gaps.append(Gap(start=owned_until, end=line.at))
                owner, owned_until = line.member, line.at
            case "process.started" | "term.ended" if line.member == owner:
                # A process that is killed writes no line of its end, only of its next start.
                owner = ""
            case _ if line.member == owner:
                owned_until = line.at
    return gaps


def _step_of(task: str) -> str:
    """Return the step of a task's label, OCCURRENCE.STEP of OCCURRENCE.STEP.INDEX."""
    return task.rpartition(".")[0]


@define(kw_only=True, eq=False)
class JobTrace:
    """What the lines show of one job.

    :ivar first_at: time of its first line.
    :ivar ended_at: when its end was on record, ``None`` before that.
    :ivar waited: seconds by cause.
    """

    id: str
    first_at: float
    gaps: list[Gap]
    queue: str = ""
    objective_s: float = 0.0
    ended_at: float | None = None
    phase: str = ""
    waited: dict[Cause, float] = Factory(lambda: defaultdict(float))
    _at: float = field(init=False)
    _accepted: bool = False
    _owned: bool = False
    _widths: list[int] = Factory(list)
    _open_steps: set[str] = Factory(set)
    _done: set[str] = Factory(set)
    _begun_again: set[str] = Factory(set)
    _running: dict[str, float] = Factory(dict)
    _unanswered: set[str] = Factory(set)

    def __attrs_post_init__(self) -> None:
        self._at = self.first_at

    def note(self, line: Line) -> None:
        """Work in a line about this job."""
        if self.ended_at is not None:
            return
        self._pass_time(line.at)
        task = line.text("task")
        match line.event:
            case "job.accepted":
                self._accepted = True
                self.queue = line.text("queue")
            case "job.taken":
                self._accepted = self._owned = True
                self.objective_s = float(line.fields.get("objective_s") or 0.0)
                self._widths = [int(count) for count in line.fields.get("tasks") or ()]
            case "approval" if line.fields.get("approved"):
                self._open_steps.add(line.text("step"))
            case "task.start":
                self._open_steps.add(_step_of(task))
                self._note_start(task, line)
            case "task.end":
                self._note_end(task, line)
            case "job.recorded":
                self._note_record(line)

    def _note_start(self, task: str, line: Line) -> None:
        outcome = line.text("outcome")
        if outcome == "started":
            self._running[task] = line.at
            self._unanswered.discard(task)
        elif outcome.startswith("unanswered"):
            self._unanswered.add(task)

    def _note_end(self, task: str, line: Line) -> None:
        self._unanswered.discard(task)
        started_at = self._running.pop(task, line.at)
        if line.text("outcome") in GOOD_ENDS:
            self._done.add(task)
            return
        self._begun_again.add(task)
        lost_s = min(line.at - started_at, self.waited[Cause.WORK])
        self.waited[Cause.WORK] -= lost_s
        self.waited[Cause.RESTART] += lost_s

    def _note_record(self, line: Line) -> None:
        self.phase = line.text("phase")
        if self.phase in ("complete", "failed", "cancelled"):
            self.ended_at = line.at

    def _pass_time(self, at: float) -> None:
        ownerless_s = sum(gap.overlap(self._at, at) for gap in self.gaps) if self._accepted else 0.0
        self.waited[Cause.OWNER] += ownerless_s
        self.waited[self._cause()] += max(0.0, at - self._at - ownerless_s)
        self._at = at

    def _cause(self) -> Cause:
        if not self._accepted:
            return Cause.ACCEPTANCE
        if not self._owned:
            return Cause.OWNER
        if self._unanswered:
            return Cause.START
        if self._begun_again - self._running.keys() - self._done:
            return Cause.RESTART
        if self._waits_for_room():
            return Cause.ROOM
        if self._running:
            return Cause.WORK
        return Cause.RECORD if len(self._done) == sum(self._widths) else Cause.APPROVAL

    def _waits_for_room(self) -> bool:
        """Return whether a step that may begin has tasks that have not."""
        begun = Counter(_step_of(task) for task in {*self._running, *self._done})
        return any(begun[step] < self._width(step) for step in self._open_steps)

    def _width(self, step: str) -> int:
        index = int(step.rpartition(".")[2])
        return self._widths[index] if index < len(self._widths) else 0

    def finish(self, at: float) -> None:
        """Note that there are no more lines."""
        if self.ended_at is None:
            self._pass_time(at)

    def verdict(self, now: float, *, whole: bool = True) -> Verdict:
        """Return how it came out.

        :param now: time of the last line.
        :param whole: whether no line was left out; else a job without an end may have one.
        """
        if not self._accepted:
            return Verdict.REFUSED
        if self.phase in ("failed", "cancelled"):
            return Verdict(self.phase)
        if not self.objective_s or (self.ended_at is None and not whole):
            # Lines were left out; nothing can be said of its delay.
            return Verdict.OPEN
        took_s = (self.ended_at or now) - self.first_at
        if took_s > LATE_FACTOR * self.objective_s:
            return Verdict.MISSED
        if self.ended_at is None:
            return Verdict.OPEN
        return Verdict.IN_TIME if took_s <= self.objective_s else Verdict.LATE

    def cause(self) -> Cause:
        """Return what it waited for most, its own work aside unless it waited for nothing."""
        others: dict[Cause, float] = {
            cause: s for cause, s in self.waited.items() if cause is not Cause.WORK
        }
        most = max(others, key=lambda cause: others[cause], default=Cause.WORK)
        excess_s = self.waited[Cause.WORK] - self.objective_s
        return most if others.get(most, 0.0) > max(0.0, excess_s) else Cause.WORK


@frozen(kw_only=True)
class LossRow:
    """The jobs of one window that were lost for one cause.

    :param window_s: start of the window, in seconds after the first line.
    :param waited_s: what they waited for it, on average.
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
        """Return the number of jobs."""
        return self.late + self.missed + self.refused + self.failed


def lines_left_out(lines: Iterable[Line]) -> int:
    """Return how many lines the processes did not write, as they bound their volume."""
    return sum(int(line.fields.get("left_out") or 0) for line in lines)


def trace_jobs(lines: list[Line]) -> list[JobTrace]:
    """Return what became of each job."""
    gaps = gaps_between_owners(lines)
    traces: dict[str, JobTrace] = {}
    for line in lines:
        id = line.text("job")
        if not id:
            continue
        if id not in traces:
            traces[id] = JobTrace(id=id, first_at=line.at, gaps=gaps)
        traces[id].note(line)
    for trace in traces.values():
        trace.finish(lines[-1].at)
    return list(traces.values())


def losses(lines: list[Line], *, total: bool = False) -> list[LossRow]:
    """Return what was lost, a row for each window, queue and cause; their sums are all jobs lost.

    :param lines: of all processes of a cell, in order of time.
    :param total: give a row for each cause alone, that of most jobs first.
    """
    if not lines:
        return []
    begin, end = lines[0].at, lines[-1].at
    counts: dict[tuple[float, str, Cause], Counter[Verdict]] = defaultdict(Counter)
    waited: dict[tuple[float, str, Cause], float] = defaultdict(float)
    whole = not lines_left_out(lines)
    for trace in trace_jobs(lines):
        verdict = trace.verdict(end, whole=whole)
        if verdict not in LOST:
            continue
        window_s = (trace.first_at - begin) // WINDOW_S * WINDOW_S
        key = (0.0, "", trace.cause()) if total else (window_s, trace.queue, trace.cause())
        counts[key][verdict] += 1
        waited[key] += trace.waited[trace.cause()]
    rows = [
        LossRow(
            window_s=window_s,
            queue=queue,
            cause=cause.value,
            late=found[Verdict.LATE],
            missed=found[Verdict.MISSED],
            refused=found[Verdict.REFUSED],
            failed=found[Verdict.FAILED],
            waited_s=waited[(window_s, queue, cause)] / found.total(),
        )
        for (window_s, queue, cause), found in sorted(counts.items())
    ]
    return sorted(rows, key=lambda row: -row.lost) if total else rows
