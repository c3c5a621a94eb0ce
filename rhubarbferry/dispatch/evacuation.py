"""Select the runs to stop on a host that is about to leave."""

from __future__ import annotations

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, RunPhase
from rhubarbferry.dispatch.messages import HostPhase

# A run is stopped at once if its remaining time exceeds the remaining time of its host by this
# factor plus this margin. The tolerance is needed because the estimate of a run's remaining time is
# accurate to a few tenths at best, and less so if it is based on the client's estimate.
OVERRUN_FACTOR = 1.5
OVERRUN_MARGIN_S = 0.5
# This long before the host leaves, every run that will not end in time is stopped. Reporting a stop
# takes time, and the host's entry in the host list may be out of date.
FINAL_STOP_LEAD_S = 1.5


def runs_to_stop(host: Host, now: float) -> list[Run]:
    """Return the runs to stop on a draining host.

    A run that is still active when its host leaves loses all work since its last checkpoint. As a
    host that has left can't be told from one that is partitioned from the network, its tasks may
    start elsewhere only after their leases have expired, 6 s later. A run that is stopped before
    writes a checkpoint if it can, and its task starts elsewhere within a second.
    """
    if host.entry.phase is not HostPhase.DRAINING or host.leaves_at is None:
        return []
    host_remaining_s = max(0.0, host.leaves_at - now)
    return [run for run in host.runs.values() if _must_stop(run, host_remaining_s, now)]


def _must_stop(run: Run, host_remaining_s: float, now: float) -> bool:
    if run.phase is not RunPhase.RUNNING or run.stopping or run.task.run is not run:
        return False
    remaining_s = run.remaining_s(now)
    if remaining_s > OVERRUN_FACTOR * host_remaining_s + OVERRUN_MARGIN_S:
        return True
    return host_remaining_s <= FINAL_STOP_LEAD_S and remaining_s > host_remaining_s
