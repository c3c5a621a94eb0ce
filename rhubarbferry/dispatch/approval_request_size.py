"""Decide how many hosts an approval request names."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Sequence
from functools import partial

from attrs import define

from rhubarbferry.dispatch.hosts import Host
from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.placement import free_slots, is_far_from_data

# Prior of the estimate: until responses show otherwise, this share of this many hosts counts as
# approved.
PRIOR_SHARE = 0.25
PRIOR_HOSTS = 40.0
# Above this number of decided hosts, the counts of decided and approved hosts are halved, so that
# older decisions lose weight.
MAX_COUNTED_HOSTS = 2000.0
# The number of hosts in a request is chosen so that the approved ones have enough slots even if
# they have this many standard deviations fewer than expected.
MARGIN_DEVIATIONS = 3.0


@define(kw_only=True, slots=True)
class ApprovedShare:
    """Estimate of the share of hosts that the policy approves for the steps of a queue."""

    _decided: float = PRIOR_HOSTS
    _approved: float = PRIOR_HOSTS * PRIOR_SHARE

    @property
    def value(self) -> float:
        """The share, above 0."""
        return self._approved / self._decided

    def record(self, *, decided: int, approved: int) -> None:
        """Count the new decisions of one response.

        :param decided: number of hosts decided on for the first time.
        :param approved: how many of them were approved.
        """
        self._decided += decided
        self._approved += approved
        if self._decided > MAX_COUNTED_HOSTS:
            self._decided /= 2
            self._approved /= 2


def hosts_to_request(
    step: Step, undecided: Sequence[Host], approved: Iterable[Host], share: float
) -> list[Host]:
    """Return the hosts that an approval request names, hosts with the most slots first.

    Each host makes the response slower, so the request names no more hosts than are likely to be
    enough. If all of them are unlikely to be enough, it names all, since any may become free.

    :param undecided: hosts that may accept tasks and have not been decided on for this step.
    :param approved: hosts that accept tasks and are approved for the step.
    :param share: expected share of the hosts that will be approved.
    """
    missing = len(step.waiting_tasks()) - sum(
        free_slots(step, host, host.room) for host in approved
    )
    hosts = sorted(_rotate(step, undecided), key=partial(_rank, step))
    return hosts if step.req.one_rack else hosts[: _request_size(step, missing, hosts, share)]


def _rank(step: Step, host: Host) -> tuple[bool, int]:
    """Sort key: hosts near the data first, then those with the most slots."""
    return is_far_from_data(step, host), -(host.room.millicores // max(1, step.req.room.millicores))


def _request_size(step: Step, missing: int, hosts: Sequence[Host], share: float) -> int:
    """Return how many hosts to name so that the approved ones can likely run the missing tasks.

    :param missing: number of waiting tasks that no approved host has room for.
    :param share: expected share of the hosts that will be approved.
    """
    expected = variance = 0.0
    for number, host in enumerate(hosts, start=1):
        slots = min(free_slots(step, host, host.room), max(1, missing))
        expected += share * slots
        variance += share * (1 - share) * slots**2
        if expected - MARGIN_DEVIATIONS * math.sqrt(variance) >= missing:
            return number
    return len(hosts)


def _rotate(step: Step, hosts: Sequence[Host]) -> list[Host]:
    """Rotate the hosts by an offset derived from the job's id.

    Otherwise steps that arrive at the same time would all be approved for the same hosts.
    """
    start = zlib.crc32(step.job.id.encode()) % len(hosts) if hosts else 0
    return [*hosts[start:], *hosts[:start]]
