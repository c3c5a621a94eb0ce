"""Find the runs that a leaving host would take with it, while they can still be ended in order."""

from __future__ import annotations

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, RunPhase
from rhubarbferry.dispatch.messages import HostPhase

# A run that will take this many times as long as its host stays, and this much longer, is given up
# at once: what is left of it is known to a few tenths, more roughly where it goes by its estimate.
TOO_LONG_TIMES = 1.5
TOO_LONG_S = 0.5
# So long before the host leaves, all that will not end in time is stopped: a stop takes a while to
# be reported, and the host's entry may be old.
LAST_CALL_S = 1.5


def runs_to_leave(host: Host, now: float) -> list[Run]:
    """Return the runs to stop on a host that is about to leave.

    What still runs when it leaves is gone, with all that was done since the last saved point, and
    since a host that has left looks like one that is cut off, its tasks may start elsewhere only
    when their leases have ended, 6 s later. A run that is stopped before is saved if it can be,
    and begins again elsewhere within a second.
    """
    if host.entry.phase is not HostPhase.DRAINING or host.leaves_at is None:
        return []
    stays_s = max(0.0, host.leaves_at - now)
    return [run for run in host.runs.values() if _must_leave(run, stays_s, now)]


def _must_leave(run: Run, stays_s: float, now: float) -> bool:
    if run.phase is not RunPhase.RUNNING or run.stopping or run.task.run is not run:
        return False
    left_s = run.left_s(now)
    if left_s > TOO_LONG_TIMES * stays_s + TOO_LONG_S:
        return True
    return stays_s <= LAST_CALL_S and left_s > stays_s
