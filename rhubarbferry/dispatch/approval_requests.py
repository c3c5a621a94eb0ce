"""Choose the next approval request of a step."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence

from rhubarbferry.dispatch import reservations
from rhubarbferry.dispatch.approval_request_size import hosts_to_request
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.messages import ApprovalRequest
from rhubarbferry.dispatch.placement import eligible_hosts

# Maximum number of hosts in one call; the policy service refuses calls with more. Larger requests
# are split into several calls.
MAX_HOSTS_PER_CALL = 100
# Minimum time between a failed approval request and the next one for the same step.
APPROVAL_RETRY_INTERVAL_S = 0.3


def next_approval_request(
    step: Step,
    open_hosts: Sequence[Host],
    hosts: Mapping[str, Host],
    held: Container[str],
    share: float,
    now: float,
) -> ApprovalRequest | None:
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
    if cost is None or approvals.pending or now < approvals.failed_at + APPROVAL_RETRY_INTERVAL_S:
        return None
    wanted = reservations.hosts_needing_tickets(step, hosts, now)
    if not wanted:
        wanted = _held_without_ticket(step, hosts, held, now)
    if not wanted and step.waiting_tasks():
        wanted = _undecided_hosts(step, open_hosts, share)
    if not wanted:
        return None
    approvals.pending.update(wanted)
    return ApprovalRequest(step=step.id, hosts=tuple(wanted), cost=cost)


def has_undecided_room(step: Step, open_hosts: Iterable[Host]) -> bool:
    """Return whether a host that is neither approved nor denied for a step has room for it."""
    if step.job.queue.advice is None:
        return False
    need = step.req.room
    is_undecided = step.approvals.is_undecided
    free = [host for host in open_hosts if need.fits(host.room) and is_undecided(host.id)]
    return bool(eligible_hosts(step, free))


def _undecided_hosts(step: Step, open_hosts: Sequence[Host], share: float) -> list[str]:
    approvals = step.approvals
    undecided = [host for host in open_hosts if approvals.is_undecided(host.id)]
    approved = [host for host in open_hosts if host.id in approvals.approved]
    return [
        host.id for host in hosts_to_request(step, eligible_hosts(step, undecided), approved, share)
    ]


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
