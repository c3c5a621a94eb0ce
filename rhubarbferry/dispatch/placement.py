"""Choose hosts for the waiting tasks of one step."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping

from attrs import frozen

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Step, Task
from rhubarbferry.dispatch.messages import Sizes


@frozen(kw_only=True, slots=True)
class Placement:
    """A task and the host chosen for it."""

    task: Task
    host: Host


def is_eligible(step: Step, host: Host) -> bool:
    """Return whether a host of the step's pool could run one of its tasks if it were empty."""
    return bool(eligible_hosts(step, (host,)))


def eligible_hosts(step: Step, hosts: Iterable[Host]) -> list[Host]:
    """Return the hosts of the step's pool that could run one of its tasks if they were empty."""
    need = step.req.room
    label = step.req.required_label
    service = step.job.queue.service
    return [
        host
        for host in hosts
        if host.entry.service == service
        and (not label or label in host.entry.labels)
        and need.fits(host.entry.capacity)
    ]


def free_slots(step: Step, host: Host, room: Sizes) -> int:
    """Return how many more tasks of the step a host can run within ``room``."""
    need = step.req.room
    slots = sys.maxsize
    if need.millicores:
        slots = min(slots, room.millicores // need.millicores)
    if need.memory_mb:
        slots = min(slots, room.memory_mb // need.memory_mb)
    if need.accelerators:
        slots = min(slots, room.accelerators // need.accelerators)
    if step.req.max_per_host:
        slots = min(slots, step.req.max_per_host - count_tasks(step, host))
    return max(0, slots) if slots < sys.maxsize else len(step.tasks)


def count_tasks(step: Step, host: Host) -> int:
    """Return the number of tasks of the step that have a run on a host."""
    return sum(1 for task in step.tasks if task.run is not None and task.run.host == host.id)


def place(
    step: Step,
    hosts: Iterable[Host],
    now: float,
    *,
    limit: int = sys.maxsize,
    held_room: Mapping[str, Sizes] | None = None,
) -> list[Placement]:
    """Choose hosts for as many waiting tasks of a step as possible.

    A gang gets hosts for all its tasks or for none.

    :param hosts: hosts that may run the step. Those that don't accept tasks now are skipped.
    :param limit: most tasks to place.
    :param held_room: room on each host that is held for other steps.
    """
    need = step.req.room
    with_room = [host for host in hosts if need.fits(host.room)]
    fitting = [host for host in eligible_hosts(step, with_room) if host.accepts_tasks(now)]
    if not fitting:
        return []
    open_hosts = [(host, free_slots(step, host, _usable_room(host, held_room))) for host in fitting]
    open_hosts = [(host, slots) for host, slots in open_hosts if slots > 0]
    waiting = step.waiting_tasks()
    if step.req.gang:
        if limit < len(waiting):
            return []
        return _place_gang(step, waiting, open_hosts)
    open_hosts.sort(key=lambda pair: _rank(step, pair[0]))
    return _fill_slots(waiting[:limit], open_hosts)


def _usable_room(host: Host, held_room: Mapping[str, Sizes] | None) -> Sizes:
    if held_room and host.id in held_room:
        return host.room.minus(held_room[host.id])
    return host.room


def is_far_from_data(step: Step, host: Host) -> bool:
    """Return whether a host is outside the rack that stores the data of a step."""
    return bool(step.req.near_rack) and step.req.near_rack not in host.entry.labels


def _rank(step: Step, host: Host) -> tuple[bool, int, str]:
    left = host.room.millicores - step.req.room.millicores
    # A task outside the rack of its data takes several times as long, which outweighs better
    # packing.
    return is_far_from_data(step, host), left, host.id


def _fill_slots(waiting: list[Task], open_hosts: list[tuple[Host, int]]) -> list[Placement]:
    placed: list[Placement] = []
    tasks = iter(waiting)
    for host, slots in open_hosts:
        for _ in range(slots):
            task = next(tasks, None)
            if task is None:
                return placed
            placed.append(Placement(task=task, host=host))
    return placed


def _place_gang(
    step: Step, waiting: list[Task], open_hosts: list[tuple[Host, int]]
) -> list[Placement]:
    if len(waiting) < len(step.tasks):
        # Some member still has a run, and all members of a gang must start together.
        return []
    if step.req.one_rack:
        for rack in _group_by_rack(open_hosts):
            if sum(slots for _, slots in rack) >= len(waiting):
                return _fill_slots(waiting, rack)
    if sum(slots for _, slots in open_hosts) < len(waiting):
        return []
    # Prefer hosts with more room: with fewer hosts, fewer host failures break the whole gang.
    open_hosts.sort(key=lambda pair: (-pair[1], pair[0].id))
    return _fill_slots(waiting, open_hosts)


def _group_by_rack(open_hosts: list[tuple[Host, int]]) -> list[list[tuple[Host, int]]]:
    racks: dict[tuple[str, ...], list[tuple[Host, int]]] = {}
    for host, slots in open_hosts:
        racks.setdefault(host.entry.labels[1:], []).append((host, slots))
    return sorted(racks.values(), key=lambda rack: -sum(slots for _, slots in rack))
