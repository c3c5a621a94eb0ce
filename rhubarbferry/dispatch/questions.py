"""What to ask the policy service next for a step."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence

from rhubarbferry.dispatch import reservations
from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.messages import AdviceOrder
from rhubarbferry.dispatch.placement import eligible_hosts
from rhubarbferry.dispatch.question_size import hosts_to_name

# One call names at most this many hosts; the policy service refuses longer ones. A question about
# more is asked in several calls.
HOSTS_PER_CALL = 100
# After a question that got no answer, before the next one for the same step.
QUESTION_PAUSE_S = 0.3


def next_question(
    step: Step,
    open_hosts: Sequence[Host],
    hosts: Mapping[str, Host],
    held: Container[str],
    share: float,
    now: float,
) -> AdviceOrder | None:
    """Return the question, or ``None`` when there is nothing to ask now.

    Most steps that wait have a question under way. They are passed over before any host is looked
    at; looked at for each of them, 176 hosts cost ten times the time of all other decisions.

    :param open_hosts: hosts that may get a task now.
    :param hosts: all hosts.
    :param held: hosts that are held for the step.
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
    """Tell whether a host that nobody has asked about for a step has room for a task of it."""
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
    """Return the held hosts whose tickets have aged; new ones are there as room comes free."""
    return [
        host.id
        for host in hosts.values()
        if host.id in held and not step.approvals.ticket(host.id, host.entry.incarnation, now)
    ]
