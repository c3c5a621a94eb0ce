"""Selection of the region that serves a request."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from attrs import frozen

from rhubarbferry.core.partition import PartitionId, PartitionKind

MAX_SPILL_FRACTION = 0.5


@frozen(kw_only=True, slots=True)
class SpillRules:
    """Conditions for sending a request to another region.

    :param round_trip_s: network round-trip time to the other region.
    :param margin_s: minimum time by which the request must start earlier there; 0 or less
        disables spilling.
    """

    round_trip_s: float
    margin_s: float


def choose_region(
    *, service: str, own_region: str, partitions: Sequence[PartitionId]
) -> PartitionId | None:
    """Return the runner partition to which a request for ``service`` is sent.

    :param own_region: region of the frontend, preferred if it provides the service.
    :param partitions: the known partitions, in any order.
    :returns: ``None`` if no region provides the service.
    """
    serving = serving_partitions(service=service, partitions=partitions)
    for partition in serving:
        if partition.region == own_region:
            return partition
    return serving[0] if serving else None


def serving_partitions(
    *, service: str, partitions: Sequence[PartitionId]
) -> tuple[PartitionId, ...]:
    """Return the runner partitions of a service, in order."""
    return tuple(
        sorted(
            partition
            for partition in partitions
            if partition.kind is PartitionKind.RUNNER and partition.name == service
        )
    )


def choose_spill(
    *,
    home: PartitionId,
    home_wait_s: float | None,
    waits: Mapping[PartitionId, float],
    rules: SpillRules,
    draw: float,
) -> PartitionId | None:
    """Return another region's partition where a request would start earlier than at home.

    Reported waiting times are slightly out of date. If all requests were sent to the best
    region, the frontends would fill it before they received its new waiting time and would then
    all switch back, so that one region would be idle at any time. The fraction of requests that
    is sent elsewhere is therefore the time saved relative to the wait at home, and at most half
    while the home partition has an owner.

    :param home: the partition in the frontend's own region.
    :param home_wait_s: expected wait at home; ``None`` if unknown, infinite without an owner.
    :param waits: known expected waits in other regions, in seconds.
    :param draw: random number in [0, 1).
    :returns: ``None`` to use the home partition.
    """
    if home_wait_s is None or rules.margin_s <= 0:
        return None
    best = _shortest_wait(home, waits)
    if best is None:
        return None
    cost_s = waits[best] + rules.round_trip_s
    if cost_s + rules.margin_s >= home_wait_s:
        return None
    if home_wait_s == float("inf"):
        return best
    share = min(MAX_SPILL_FRACTION, (home_wait_s - cost_s) / home_wait_s)
    return best if draw < share else None


def choose_fallback(
    *,
    home: PartitionId,
    waits: Mapping[PartitionId, float],
    rules: SpillRules,
    remaining_s: float,
) -> PartitionId | None:
    """Return another region's partition where a refused request can still start in time.

    :param remaining_s: seconds until the request's deadline.
    """
    if rules.margin_s <= 0:
        return None
    best = _shortest_wait(home, waits)
    if best is None or waits[best] + rules.round_trip_s + rules.margin_s >= remaining_s:
        return None
    return best


def _shortest_wait(home: PartitionId, waits: Mapping[PartitionId, float]) -> PartitionId | None:
    elsewhere = [partition for partition in waits if partition.region != home.region]
    return min(elsewhere, key=lambda partition: (waits[partition], partition), default=None)
