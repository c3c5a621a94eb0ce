"""Hypothesis settings for state machine tests: seeded runs in CI, random ones in ``make fuzz``."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings

FUZZ_FACTOR = 20


def state_machine_settings(*, examples: int, steps: int) -> settings:
    """Return settings for ``run_state_machine_as_test``.

    :param examples: number of runs in CI, from a fixed seed; ``make fuzz`` multiplies it and uses
        new random seeds.
    :param steps: maximum number of steps of a run.
    """
    fuzz = os.environ.get("HYPOTHESIS_PROFILE") == "fuzz"
    return settings(
        derandomize=not fuzz,
        max_examples=examples * (FUZZ_FACTOR if fuzz else 1),
        stateful_step_count=steps,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
