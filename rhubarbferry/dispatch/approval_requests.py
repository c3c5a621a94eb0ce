"""Choose the next approval request of a step."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence

from attrs import frozen

from rhubarbferry.dispatch import reservations
from rhubarbferry.dispatch.approval_request_size import hosts_to_request
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.messages import ApprovalCost, ApprovalRequest
from rhubarbferry.dispatch.objective import Urgency
from rhubarbferry.dispatch.placement import eligible_hosts, free_slots

# Maximum number of hosts in one call; the policy service refuses calls with more. Larger requests
# are split into several calls.
MAX_HOSTS_PER_CALL = 100
# The tickets of further approved hosts are renewed with a request as long as this adds at most this
# share of the request's fixed time.
RENEWAL_TIME_SHARE = 0.25
# Minimum time between a failed approval request and the next one for the same step.
APPROVAL_RETRY_INTERVAL_S = 0.3


@frozen(kw_only=True, order=True, slots=True)
class RequestRank:
    """Order in which approval requests are sent, compared field by field; lower ranks go first.

    :param urgency: urgency of the step now.
    :param priority: priority of its queue.
    :param unreserved: whether no room is reserved for it. Reserved room is idle until the tickets
        arrive, so it comes first.
    :param arrived_at: when its job was accepted.
    """

    urgency: Urgency
    priority: int
    unreserved: bool = True
    arrived_at: float = 0.0


def rank_request(step: Step, now: float) -> RequestRank:
    """Return the rank of a step's approval request."""
    job = step.job
    return RequestRank(
        urgency=job.urgency(step, now).urgency,
        priority=job.queue.priority,
        unreserved=not reservations.reserved(step),
        arrived_at=job.arrived_at,
    )


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
    if wanted and step.waiting_tasks():
        wanted += _soon_free_hosts(step, open_hosts, wanted, cost, now)
    if not wanted:
        wanted = _held_without_ticket(step, hosts, held, now)
    if not wanted and _may_be_placed(step):
        wanted = _undecided_hosts(step, open_hosts, share)
        if wanted and step.req.gang:
            named = [hosts[id] for id in wanted]
            wanted += _expiring_hosts(step, open_hosts, named, cost, now)
    if not wanted:
        return None
    approvals.pending.update(wanted)
    objective_s = step.job.queue.objective_s
    return ApprovalRequest(step=step.id, hosts=tuple(wanted), cost=cost, objective_s=objective_s)


def _may_be_placed(step: Step) -> bool:
    """Return whether a step has tasks to place; a gang is placed when all its members wait."""
    waiting = len(step.waiting_tasks())
    return waiting == len(step.tasks) if step.req.gang else waiting > 0


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


def _soon_free_hosts(
    step: Step, open_hosts: Sequence[Host], named: Sequence[str], cost: ApprovalCost, now: float
) -> list[str]:
    """Return approved hosts on which tasks of a step may start while new tickets are valid.

    Room becomes free on one host at a time. A request for each of them would take a process for the
    fixed time again, and the room would be idle until its response.

    :param named: the hosts that the request names already.
    """
    limit = MAX_HOSTS_PER_CALL - len(named)
    if cost.per_host_s:
        limit = min(limit, int(cost.decision_s * RENEWAL_TIME_SHARE / cost.per_host_s))
    answer_at = now + cost.duration_s(len(named))
    approvals = step.approvals
    found = [
        host
        for host in open_hosts
        if host.id in approvals.approved
        and host.id not in named
        and approvals.ticket_expires_at(host.id, host.entry.incarnation) <= answer_at
    ]
    if len(found) > limit:
        found.sort(key=lambda host: _free_in_s(host, now))
    return [host.id for host in found[: max(0, limit)]]


def _free_in_s(host: Host, now: float) -> float:
    """Return the time until the first run on a host is expected to end."""
    return min((run.remaining_s(now) for run in host.runs.values()), default=0.0)


def _expiring_hosts(
    step: Step, open_hosts: Sequence[Host], named: Sequence[Host], cost: ApprovalCost, now: float
) -> list[str]:
    """Return the approved hosts with room for a gang whose tickets expire before the answer.

    Without them, the gang would need a further request once the answer has approved enough hosts.

    :param named: the undecided hosts that the request names.
    """
    approved = [host for host in open_hosts if host.id in step.approvals.approved]
    slots = {host.id: free_slots(step, host, host.room) for host in (*approved, *named)}
    if sum(slots.values()) < len(step.tasks):
        return []
    answer_at = now + cost.duration_s(len(named))
    missing = len(step.tasks)
    expiring: list[str] = []
    for host in sorted(approved, key=lambda host: (-slots[host.id], host.id)):
        if missing <= 0 or not slots[host.id]:
            break
        missing -= slots[host.id]
        expires_at = step.approvals.ticket_expires_at(host.id, host.entry.incarnation)
        if expires_at <= answer_at + cost.per_host_s * len(expiring):
            expiring.append(host.id)
    return expiring


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
