"""Maintain the roster, the stored list of hosts that may run tasks of this owner."""

from __future__ import annotations

from collections.abc import Container, Mapping

from attrs import evolve

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import RunPhase
from rhubarbferry.dispatch.messages import HostEntry, HostPhase
from rhubarbferry.dispatch.takeover import RosterEntry


def close_unavailable_hosts(hosts: Mapping[str, Host], now: float) -> None:
    """Stop sending orders to hosts that are silent or leaving.

    This must happen before the roster lists which jobs they may still run. An order sent in between
    would be missing from the roster, and the next owner would start that task a second time.
    """
    for host in hosts.values():
        if host.adopted and _is_unavailable(host, now):
            host.closed = True


def next_roster(
    roster: Mapping[str, RosterEntry],
    listed: Mapping[str, HostEntry],
    hosts: Mapping[str, Host],
    *,
    unconfirmed: Container[str],
    now: float,
) -> dict[str, RosterEntry]:
    """Return the roster to write next.

    :param roster: roster as stored.
    :param listed: entries of the host list, by id.
    :param hosts: hosts that the owner tracks, after :func:`close_unavailable_hosts`.
    :param unconfirmed: hosts that may still run tasks of an earlier owner.
    """
    found: dict[str, RosterEntry] = {}
    for id, entry in roster.items():
        if id in listed or id in hosts or id in unconfirmed:
            found[id] = _next_entry(entry, hosts.get(id), now)
    for id, host_entry in listed.items():
        known = found.get(id)
        if known is None or known.incarnation < host_entry.incarnation:
            found[id] = RosterEntry(
                id=id,
                address=host_entry.address,
                incarnation=host_entry.incarnation,
                service=host_entry.service,
                # The new incarnation may carry out orders that were sent to the earlier one.
                outstanding=known.outstanding if known is not None else None,
            )
    return found


def _next_entry(entry: RosterEntry, host: Host | None, now: float) -> RosterEntry:
    # A host that has not answered this owner yet keeps the entry that an earlier owner wrote.
    if host is None or not host.adopted:
        return entry
    if not _is_unavailable(host, now):
        return evolve(entry, outstanding=None)
    if entry.outstanding is not None or not host.closed:
        # No order was sent since the entry was written, so it still covers everything that may run
        # there.
        return entry
    jobs = {run.task.id.job for run in host.runs.values() if run.phase is not RunPhase.RESERVED}
    jobs.update(task.job for task, _ in host.unknown_runs)
    # The next owner would start tasks again that have ended here, unless it waits for the host.
    jobs.update(host.unrecorded_ends.values())
    return evolve(entry, outstanding=tuple(sorted(jobs)))


def _is_unavailable(host: Host, now: float) -> bool:
    leaving = not host.listed or host.entry.phase is HostPhase.DRAINING
    return leaving or now - host.last_report_at >= host.silence_timeout_s


def next_fences(
    fences: Mapping[str, int],
    before: Mapping[str, RosterEntry],
    after: Mapping[str, RosterEntry],
    *,
    revision: int,
) -> dict[str, int]:
    """Return the fence number of the calls to each host once a new roster is stored.

    A host that has restarted under its id can't tell that a call was meant for its earlier
    incarnation, and may receive it seconds late. A new incarnation is therefore called with the
    revision of the roster that lists it first. That is higher than the fence number of all earlier
    calls, which the host refuses from then on, and lower than that of any later owner.

    :param fences: fence numbers under the roster stored before.
    :param before: roster stored before.
    :param after: roster stored now.
    :param revision: store revision of ``after``.
    """
    return {
        id: (
            fences[id] if id in before and before[id].incarnation == entry.incarnation else revision
        )
        for id, entry in after.items()
    }


def assign_fences(
    roster: Mapping[str, RosterEntry], fences: Mapping[str, int], hosts: Mapping[str, Host]
) -> None:
    """Allow calls to the hosts whose incarnation the stored roster lists."""
    for id, entry in roster.items():
        host = hosts.get(id)
        if host is not None and host.entry.incarnation == entry.incarnation:
            host.fence = fences[id]


def apply_roster(roster: Mapping[str, RosterEntry], hosts: Mapping[str, Host]) -> None:
    """Close and reopen hosts to match the stored roster; only open hosts may receive orders."""
    for id, entry in roster.items():
        if id in hosts:
            hosts[id].closed = entry.outstanding is not None
