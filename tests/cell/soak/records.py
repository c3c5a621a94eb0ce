"""Check the hosts' own records of what they have run."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from attrs import Factory, define

# Records are rounded to a tenth of a millisecond.
ROUNDING_S = 0.001

Record = dict[str, Any]


@define(kw_only=True)
class Run:
    """One run of a task.

    :ivar noted: whether an owner took note of the end, with the host's lease unbroken until then.
    """

    task: str
    attempt: int
    host: str
    born: int
    fence: int
    began: float
    ended: float = math.inf
    how: str = ""
    number: int = 0
    noted: bool = False

    def __str__(self) -> str:
        return (
            f"attempt {self.attempt} on {self.host} (life {self.born}, fence {self.fence}) "
            f"{self.began:.3f} to {self.ended:.3f} {self.how or 'still running'}"
            f"{', noted' if self.noted else ''}"
        )


@define(kw_only=True)
class Life:
    """One life of a host.

    :ivar ended: when it was killed.
    """

    ended: float = math.inf
    highest_fence: int = 0
    running: dict[str, Run] = Factory(dict)
    unnoted: list[Run] = Factory(list)


@define(kw_only=True)
class Findings:
    """What the records show.

    :ivar violations: task, or host, and what is wrong with it.
    """

    runs: list[Run] = Factory(list)
    violations: list[tuple[str, str]] = Factory(list)

    def done(self) -> int:
        """Return how many runs have ended as done."""
        return sum(run.how == "done" for run in self.runs)


def examine(records: Iterable[Record], kills: dict[tuple[str, int], float]) -> Findings:
    """Return the runs and what is wrong with them.

    :param records: of all hosts, in the order in which each host wrote them.
    :param kills: when each life ended, by host and start of the life.
    """
    findings = Findings()
    lives: dict[tuple[str, int], Life] = defaultdict(Life)
    for record in records:
        key = record["host"], record["born"]
        _apply(record, lives[key], findings)
    for key, life in lives.items():
        for run in life.running.values():
            run.ended, run.how = kills.get(key, math.inf), "life ended" if key in kills else ""
    by_task: dict[str, list[Run]] = defaultdict(list)
    for run in findings.runs:
        by_task[run.task].append(run)
    for task, runs in by_task.items():
        findings.violations += [(task, text) for text in _examine_task(runs)]
    return findings


def _apply(record: Record, life: Life, findings: Findings) -> None:
    match record["event"]:
        case "start":
            run = Run(
                task=record["task"],
                attempt=record["attempt"],
                host=record["host"],
                born=record["born"],
                fence=record["fence"],
                began=record["at"],
            )
            findings.runs.append(run)
            life.running[run.task] = run
        case "end":
            run = life.running.pop(record["task"])
            run.ended, run.how, run.number = record["at"], record["how"], record["number"]
            life.unnoted.append(run)
        case "lapse":
            # An end that is taken note of after the lease has lapsed doesn't count as such.
            life.unnoted = [run for run in life.unnoted if run.ended > record["at"]]
        case "call":
            if record["fence"] < life.highest_fence:
                text = f"accepted fence {record['fence']} after {life.highest_fence}"
                findings.violations.append((record["host"], text))
            life.highest_fence = max(life.highest_fence, record["fence"])
            if record["call"] == "hold":
                for run in life.unnoted:
                    run.noted = run.noted or run.number <= record["ack"]
                life.unnoted = [run for run in life.unnoted if not run.noted]


def _examine_task(runs: list[Run]) -> list[str]:
    found = []
    runs.sort(key=lambda run: run.began)
    for index, first in enumerate(runs):
        for second in runs[index + 1 :]:
            if second.began < first.ended - ROUNDING_S:
                found.append(f"runs twice: {first}; {second}")
            elif first.how == "done" and first.noted:
                found.append(f"starts after its end was taken note of: {first}; {second}")
    return found
