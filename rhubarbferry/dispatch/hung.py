"""Detect runs that make no progress although their host still reports them."""

from __future__ import annotations

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, RunPhase
from rhubarbferry.dispatch.messages import FULL_PERCENT
from rhubarbferry.dispatch.tracker import RunHung

# A run counts as hung if its progress has not changed for MIN_HUNG_TIMEOUT_S or, if that is longer,
# for the time that HUNG_TIMEOUT_PERCENT of its work takes. Progress is reported in whole percent,
# and estimates may be far too low.
MIN_HUNG_TIMEOUT_S = 2.5
HUNG_TIMEOUT_PERCENT = 4.0


def hung_runs(host: Host, now: float) -> list[Run]:
    """Return the runs of a host that make no progress.

    A hung run never ends by itself: its job would never complete and its room would be lost.
    """
    return [run for run in host.runs.values() if _is_hung(run, now)]


def describe_hung(run: Run, now: float) -> RunHung:
    """Return the inputs of the decision that a run is hung, for the log."""
    step = run.task.step
    percents = [task.run.percent if task.run is not None else None for task in step.tasks]
    return RunHung(
        task=run.task,
        attempt=run.attempt,
        host=run.host,
        percent=run.percent,
        stalled_s=now - run.progress_at,
        timeout_s=_hung_timeout_s(run),
        gang_percents=tuple(percents) if step.req.gang else (),
    )


def _is_hung(run: Run, now: float) -> bool:
    if run.phase is not RunPhase.RUNNING or run.stopping or run.task.run is not run:
        return False
    if run.task.step.req.lasting or not _has_stalled(run, now):
        return False
    if run.task.step.req.filling and run.pace != FULL_PERCENT:
        # A filling task makes little or no progress while its pace is reduced.
        return False
    return not _waits_for_gang(run, now)


def _hung_timeout_s(run: Run) -> float:
    """Return how long the progress of a run may stay unchanged."""
    length_s = run.task.step.req.estimate_s
    if run.percent > 0:
        length_s = max(length_s, (run.progress_at - run.ordered_at) * 100 / run.percent)
    return max(MIN_HUNG_TIMEOUT_S, length_s * HUNG_TIMEOUT_PERCENT / 100)


def _waits_for_gang(run: Run, now: float) -> bool:
    """Return whether a run waits for other members of its gang to start or to finish."""
    step = run.task.step
    if not step.req.gang:
        return False
    members = [task.run for task in step.tasks]
    if any(
        other is None
        or other.phase is not RunPhase.RUNNING
        or now - other.ordered_at < MIN_HUNG_TIMEOUT_S
        for other in members
    ):
        return True
    others = [other for other in members if other is not None and other is not run]
    # Stopping one member breaks the whole gang. While others make progress a hung member delays
    # nobody, it may resume, and the gang would need at least as long again.
    if any(not _has_stalled(other, now) for other in others):
        return True
    # The members end together, so one that has finished its own work stands at 100 percent until
    # all have.
    return run.percent >= FULL_PERCENT and any(other.percent < FULL_PERCENT for other in others)


def _has_stalled(run: Run, now: float) -> bool:
    """Return whether the progress of a run has not changed for its timeout."""
    return now - run.progress_at >= _hung_timeout_s(run)
