"""Send a start again when its answer is lost.

A start is idempotent in its attempt: a host that runs it already answers with success, and one on
which it has ended or was stopped refuses it. So a copy that is carried out late does nothing.
"""

from __future__ import annotations

from attrs import evolve

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, RunPhase
from rhubarbferry.dispatch.messages import StartOrder

# Timeouts of the tries of one start, in seconds. Their sum stays below the validity of the order.
START_TIMEOUTS_S = (0.15, 0.2, 0.4)


def next_try(run: Run, host: Host, now: float) -> StartOrder | None:
    """Return the order to send again, or ``None`` when its outcome has to be settled first.

    A host that has restarted gets no second copy: it knows nothing of the first one, so both could
    be carried out there.
    """
    order = run.order
    if order is None or run.phase is not RunPhase.ORDERED or run.stopping or host.clock is None:
        return None
    if order.incarnation != host.entry.incarnation or order.retries + 1 >= len(START_TIMEOUTS_S):
        return None
    timeout_s = START_TIMEOUTS_S[order.retries + 1]
    if host.clock.estimate(now) + timeout_s > order.deadline_s:
        return None
    return evolve(order, retries=order.retries + 1, timeout_s=timeout_s)
