"""Choose the next approval request of a step."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence

from rhubarbferry.dispatch import reservations
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.messages import AdviceOrder
from rhubarbferry.dispatch.placement import eligible_hosts
from rhubarbferry.dispatch.question_size import hosts_to_name

# Maximum number of hosts in one call; the policy service refuses calls with more. Larger requests
# are split into several calls.
HOSTS_PER_CALL = 100
# Minimum time between a failed approval request and the next one for the same step.
QUESTION_PAUSE_S = 0.3


def next_question(
    step: Step,
    open_hosts: Sequence[Host],
    hosts: Mapping[str, Host],
    held: Container[str],
    share: float,
    now: float,
) -> AdviceOrder | None:
    """Return the next approval request of a step, or ``None`` if none is needed now.

    Most waiting steps have a pending request. They return before any host is examined: examining
    176 hosts for each of them took ten times as long as the rest of all decisions.

    :param open_hosts: hosts that accept tasks now.
    :param hosts: all hosts.
    :param held: ids of the hosts held for the step.
    :param share: expected share of the hosts that will be approved.
    """
    approvals = step.approvals
    cost = step.job.queue.advice
    if cost is None or approvals.asking or now < approvals.failed_at + QUESTION_PAUSE_S:
        return None
    wanted = reservations.hosts_to_ask(step, hosts, now)
    if not wanted:
        wanted = _held_without_ticket(step, hosts, held, now)
    if not wanted and step.waiting():
        wanted = _not_asked_about(step, open_hosts, share)
    if not wanted:
        return None
    approvals.asking.update(wanted)
    return AdviceOrder(step=step.id, hosts=tuple(wanted), cost=cost)


def has_unasked_room(step: Step, open_hosts: Iterable[Host]) -> bool:
    """Return whether a host that has not been decided on for a step has room for one of its tasks.
    """
    if step.job.queue.advice is None:
        return False
    need = step.req.room
    unknown = step.approvals.unknown
    free = [host for host in open_hosts if need.fits(host.room) and unknown(host.id)]
    return bool(eligible_hosts(step, free))


def _not_asked_about(step: Step, open_hosts: Sequence[Host], share: float) -> list[str]:
    approvals = step.approvals
    unknown = [host for host in open_hosts if approvals.unknown(host.id)]
    approved = [host for host in open_hosts if host.id in approvals.approved]
    return [host.id for host in hosts_to_name(step, eligible_hosts(step, unknown), approved, share)]


def _held_without_ticket(
    step: Step, hosts: Mapping[str, Host], held: Container[str], now: float
) -> list[str]:
    """Return the held hosts without a valid ticket.

    New tickets are requested early, so that they are valid when room becomes free.
    """
    return [
        host.id
        for host in hosts.values()
        if host.id in held and not step.approvals.ticket(host.id, host.entry.incarnation, now)
    ]
