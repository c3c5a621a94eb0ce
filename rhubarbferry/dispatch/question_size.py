"""How many hosts a question for approval names."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Sequence
from functools import partial

from attrs import define

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.placement import is_far, slots_on

# What is assumed of a queue until answers have shown otherwise: this share of so many hosts.
PRIOR_SHARE = 0.25
PRIOR_HOSTS = 40.0
# Older answers count less: beyond so many hosts all counts are halved.
MOST_HOSTS = 2000.0
# The approved hosts are to hold a step even where they have fewer slots than expected, by this many
# standard deviations.
MARGIN_DEVIATIONS = 3.0


@define(kw_only=True, slots=True)
class ApprovedShare:
    """Which share of the hosts the policy lets run the steps of a queue, as observed."""

    _asked: float = PRIOR_HOSTS
    _approved: float = PRIOR_HOSTS * PRIOR_SHARE

    @property
    def value(self) -> float:
        """The share, above 0."""
        return self._approved / self._asked

    def note(self, *, asked: int, approved: int) -> None:
        """Count the verdicts of one answer, without those that were known before."""
        self._asked += asked
        self._approved += approved
        if self._asked > MOST_HOSTS:
            self._asked /= 2
            self._approved /= 2


def hosts_to_name(
    step: Step, unknown: Sequence[Host], approved: Iterable[Host], share: float
) -> list[Host]:
    """Return the hosts that a question is to name, those that can take most tasks first.

    Each host makes the answer later, so no more are named than are likely to be enough. Where all
    of them are not, all are: room may come free on any.

    :param unknown: hosts that may take tasks and that nobody has asked about for this step.
    :param approved: hosts that may take tasks of the step.
    :param share: expected share of the hosts that will be approved.
    """
    missing = len(step.waiting()) - sum(slots_on(step, host, host.room) for host in approved)
    hosts = sorted(_from_own_start(step, unknown), key=partial(_rank, step))
    return hosts if step.req.one_rack else hosts[: _enough(step, missing, hosts, share)]


def _rank(step: Step, host: Host) -> tuple[bool, int]:
    """Sort key: near hosts first, then those that can take most tasks at once."""
    return is_far(step, host), -(host.room.millicores // max(1, step.req.room.millicores))


def _enough(step: Step, missing: int, hosts: Sequence[Host], share: float) -> int:
    """Return how many hosts are likely to hold the missing tasks, when a share is approved."""
    expected = variance = 0.0
    for number, host in enumerate(hosts, start=1):
        slots = min(slots_on(step, host, host.room), max(1, missing))
        expected += share * slots
        variance += share * (1 - share) * slots**2
        if expected - MARGIN_DEVIATIONS * math.sqrt(variance) >= missing:
            return number
    return len(hosts)


def _from_own_start(step: Step, hosts: Sequence[Host]) -> list[Host]:
    """Return the hosts in an order of the step's own.

    Steps that come at the same time would otherwise all be approved for the same hosts.
    """
    start = zlib.crc32(step.job.id.encode()) % len(hosts) if hosts else 0
    return [*hosts[start:], *hosts[:start]]
