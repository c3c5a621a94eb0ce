"""Room that is held for tasks while the tickets for their starts are fetched."""

from __future__ import annotations

from collections.abc import Mapping

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Run, RunPhase, Step
from rhubarbferry.dispatch.messages import StartOrder
from rhubarbferry.dispatch.retries import START_TIMEOUTS_S

# A reservation that has no ticket by then is given up: its room is wanted by others. Twice the
# expected time of a question covers one that got no answer and was asked again.
SLACK_S = 1.5
# A start must reach its host within this time of the host's clock, or it is refused there. So
# an order that got no answer is settled soon: after this time the host can't carry it out.
START_VALID_S = 1.5


def ticket(run: Run, hosts: Mapping[str, Host], now: float) -> str | None:
    """Return a good ticket, an empty one where none is needed, ``None`` where it is missing."""
    if run.task.step.job.queue.advice is None:
        return ""
    host = hosts[run.host]
    found = run.task.step.approvals.ticket(host.id, host.entry.incarnation, now)
    return found or None


def reserved(step: Step) -> list[Run]:
    """Return the reservations of a step."""
    runs = [task.run for task in step.tasks if task.run is not None]
    return [run for run in runs if run.phase is RunPhase.RESERVED]


def redeemable(step: Step, hosts: Mapping[str, Host], now: float) -> list[tuple[Run, str]]:
    """Return the reservations of a step that can be started, each with its ticket."""
    with_tickets = [(run, ticket(run, hosts, now)) for run in reserved(step)]
    return [(run, found) for run, found in with_tickets if found is not None]


def hosts_to_ask(step: Step, hosts: Mapping[str, Host], now: float) -> list[str]:
    """Return the hosts on which a step has reservations that need a ticket, most urgent first.

    The members of a gang start together, so all their tickets must be good at one moment. Fetched
    one by one as they lapse, they may never be where an answer takes about as long as a ticket
    lasts. So as soon as one is missing, all are fetched, those that lapse first before the others.
    """
    runs = reserved(step)
    missing = [run for run in runs if ticket(run, hosts, now) is None]
    if missing and step.req.gang:
        missing = runs
    found = [hosts[id] for id in {run.host for run in missing}]
    found.sort(key=lambda host: (_lapses_at(step, host), host.id))
    return [host.id for host in found]


def _lapses_at(step: Step, host: Host) -> float:
    return step.approvals.lapses_at(host.id, host.entry.incarnation)


def overdue(step: Step, runs: list[Run], hosts: Mapping[str, Host], now: float) -> list[Run]:
    """Return those of a step's reservations to give up: too old, or on a host that is closed."""
    advice = step.job.queue.advice
    longest_s = 2 * advice.duration_s(len(step.tasks)) + SLACK_S if advice else SLACK_S
    return [
        run
        for run in runs
        if now > run.ordered_at + longest_s or not hosts[run.host].takes_tasks(now)
    ]


def redeem(run: Run, host: Host, ticket: str, checkpoint: str | None, now: float) -> StartOrder:
    """Turn a reservation into the order that starts its task.

    :param checkpoint: what all members of a gang resume from, ``None`` for the task's own.
    """
    assert host.clock is not None
    task = run.task
    run.phase = RunPhase.ORDERED
    run.ordered_at = now
    run.deadline_s = host.clock.estimate(now) + START_VALID_S
    host.held_until_s = max(host.held_until_s, run.deadline_s)
    task.attempt = run.attempt
    task.step.ever_started = True
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
    )
    return run.order
