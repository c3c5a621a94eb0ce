"""Room reserved for tasks until the tickets that their start orders need are available."""

from __future__ import annotations

from collections.abc import Mapping

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, RunPhase, Step
from rhubarbferry.dispatch.messages import StartOrder
from rhubarbferry.dispatch.retries import START_TIMEOUTS_S

# A reservation without a ticket is released to other steps after twice the expected response time
# plus this margin. Twice covers a request that failed and was sent again.
RESERVATION_MARGIN_S = 1.5
# A start order is valid for this long on the host's clock; after that the host refuses it. The
# short validity limits how long the outcome of an unanswered order is unknown.
START_VALIDITY_S = 1.5


def ticket(run: Run, hosts: Mapping[str, Host], now: float) -> str | None:
    """Return a valid ticket for a run, or ``None`` if it has none.

    Return an empty string if the run needs no ticket.
    """
    if run.task.step.job.queue.advice is None:
        return ""
    host = hosts[run.host]
    found = run.task.step.approvals.ticket(host.id, host.entry.incarnation, now)
    return found or None


def reserved(step: Step) -> list[Run]:
    """Return the reserved runs of a step."""
    runs = [task.run for task in step.tasks if task.run is not None]
    return [run for run in runs if run.phase is RunPhase.RESERVED]


def startable(step: Step, hosts: Mapping[str, Host], now: float) -> list[tuple[Run, str]]:
    """Return the reserved runs of a step that can be started, each with its ticket.

    A host whose poll has failed may have restarted. A ticket is issued for the incarnation that the
    host has at that moment, so the new one could take an order that is meant for the earlier one.
    """
    with_tickets = [
        (run, ticket(run, hosts, now)) for run in reserved(step) if not hosts[run.host].poll_failed
    ]
    return [(run, found) for run, found in with_tickets if found is not None]


def hosts_needing_tickets(step: Step, hosts: Mapping[str, Host], now: float) -> list[str]:
    """Return the hosts on which reserved runs of a step need a ticket, most urgent first.

    The members of a gang start together, so all their tickets must be valid at the same time. If
    tickets were renewed one by one as they expire, that might never be the case when a response
    takes about as long as a ticket is valid. So as soon as one ticket is missing, all are renewed,
    in the order in which they expire.
    """
    runs = reserved(step)
    missing = [run for run in runs if ticket(run, hosts, now) is None]
    if missing and step.req.gang:
        missing = runs
    found = [hosts[id] for id in {run.host for run in missing}]
    found.sort(key=lambda host: (_ticket_expires_at(step, host), host.id))
    return [host.id for host in found]


def _ticket_expires_at(step: Step, host: Host) -> float:
    return step.approvals.ticket_expires_at(host.id, host.entry.incarnation)


def overdue(step: Step, runs: list[Run], hosts: Mapping[str, Host], now: float) -> list[Run]:
    """Return the reserved runs to release: those that timed out or whose host accepts no tasks."""
    approval_cost = step.job.queue.advice
    max_age_s = (
        2 * approval_cost.duration_s(len(step.tasks)) + RESERVATION_MARGIN_S
        if approval_cost
        else RESERVATION_MARGIN_S
    )
    return [
        run
        for run in runs
        if now > run.ordered_at + max_age_s or not hosts[run.host].accepts_tasks(now)
    ]


def order_start(
    run: Run, host: Host, ticket: str, checkpoint: str | None, now: float
) -> StartOrder:
    """Turn a reserved run into an ordered one, and return its start order.

    :param checkpoint: checkpoint that all members of a gang resume from; ``None`` to use the task's
        own.
    """
    assert host.clock is not None
    task = run.task
    run.phase = RunPhase.ORDERED
    run.ordered_at = now
    run.deadline_s = host.clock.estimate(now) + START_VALIDITY_S
    host.leases_until_s = max(host.leases_until_s, run.deadline_s)
    task.attempt = run.attempt
    run.order = StartOrder(
        host=host.id,
        incarnation=host.entry.incarnation,
        task=task.id,
        attempt=run.attempt,
        payload=task.step.job.req.payload,
        deadline_s=run.deadline_s,
        timeout_s=START_TIMEOUTS_S[0],
        checkpoint=task.checkpoint if checkpoint is None else checkpoint,
        ticket=ticket,
        ticket_until=_ticket_expires_at(task.step, host) if ticket else 0.0,
        decided_at=now,
    )
    return run.order
