from __future__ import annotations

import pytest

from rhubarbferry.core.cell import Size
from rhubarbferry.core.overrun import OverrunRules, OverrunTracker, Remedy

DECLARED = Size(millicores=1000, memory_bytes=1000)
NONE, THROTTLE, CHECKPOINT, STOP = Remedy


@pytest.mark.parametrize(
    ("memory", "preemptible", "remedies"),
    [
        ((1000, 1000, 1000, 1000), False, (NONE, NONE, NONE, NONE)),
        ((1100, 1101, 1000, 1101), False, (NONE, THROTTLE, NONE, THROTTLE)),
        ((2000, 2000, 2000, 2000), False, (THROTTLE, NONE, STOP, NONE)),
        (
            (2000, 2000, 2000, 2000, 2000, 2000),
            True,
            (THROTTLE, NONE, CHECKPOINT, NONE, STOP, NONE),
        ),
    ],
)
def test_remedies_escalate(memory: tuple[int, ...], preemptible: bool, remedies: tuple) -> None:
    """A task that exceeds its declared size takes capacity from other tasks of the worker.

    It is throttled, then checkpointed, then stopped. Usage reports lag, so each step waits until
    they no longer include usage from before the previous step.
    """
    watch = OverrunTracker(rules=OverrunRules(step_s=10.0))
    actual = tuple(
        watch.judge(
            "t",
            declared=DECLARED,
            used=Size(millicores=1000, memory_bytes=used),
            preemptible=preemptible,
            now=5.0 * step,
        )
        for step, used in enumerate(memory)
    )
    assert actual == remedies
