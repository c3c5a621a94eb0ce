"""Reservation times and retry backoff of gangs."""

from __future__ import annotations

from rhubarbferry.core.cell import Size

LONG_HOLD_MIN_AGE_S = 5.0
LONG_HOLD_FACTOR = 5.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


def max_task_count(size: Size, *, free: Size, largest: Size) -> int:
    """Return an upper bound on the number of tasks that fit into a partition.

    Free capacity that is spread over several workers can hold fewer tasks.
    """
    if not size.fits(largest):
        return 0
    counts = [
        available // required
        for required, available in (
            (size.millicores, free.millicores),
            (size.memory_bytes, free.memory_bytes),
            (size.accelerators, free.accelerators),
        )
        if required > 0
    ]
    return max(0, min(counts, default=0))


def reservation_time_s(*, age_s: float, reserve_s: float) -> float:
    """Return how long a gang's reservations are held, in seconds.

    A young gang holds them for ``reserve_s``: it either finds capacity for all of its tasks at
    once or releases what it has reserved. A gang that has waited holds reservations longer and
    collects capacity as it becomes free, because in a full cell there is never enough free
    capacity for all tasks at the same moment.
    """
    return reserve_s if age_s < LONG_HOLD_MIN_AGE_S else reserve_s * LONG_HOLD_FACTOR


def retry_delay_s(*, age_s: float, chance: float) -> float:
    """Return the delay before the next placement attempt, which decreases with the gang's age.

    :param chance: random number in [0, 1); jitter that keeps gangs of two homes from retrying in
        step.
    """
    jitter_range_s = max(MIN_BACKOFF_S, MAX_BACKOFF_S / (1.0 + age_s / LONG_HOLD_MIN_AGE_S))
    return MIN_BACKOFF_S + chance * jitter_range_s
