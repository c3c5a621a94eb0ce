"""Retry start orders that got no answer.

A start order is idempotent for its attempt: a host that already runs the attempt reports success,
and a host on which it has ended or was stopped refuses it. So a copy that arrives late has no
effect.
"""

from __future__ import annotations

from attrs import evolve

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, RunPhase
from rhubarbferry.dispatch.messages import StartOrder

# Timeouts of the first send and the retries of one start order, in seconds. Their sum is less than
# the validity of the order.
START_TIMEOUTS_S = (0.15, 0.2, 0.4)


def next_retry(run: Run, host: Host, now: float) -> StartOrder | None:
    """Return the order to send again, or ``None`` if it must not be retried.

    A restarted host gets no second copy: it has lost the record of the first one, so it could carry
    out both.
    """
    order = run.order
    if order is None or run.phase is not RunPhase.ORDERED or run.stopping or host.clock is None:
        return None
    if order.incarnation != host.entry.incarnation or order.retries + 1 >= len(START_TIMEOUTS_S):
        return None
    timeout_s = START_TIMEOUTS_S[order.retries + 1]
    if host.clock.estimate(now) + timeout_s > order.deadline_s:
        return None
    return evolve(order, retries=order.retries + 1, timeout_s=timeout_s, decided_at=now)
