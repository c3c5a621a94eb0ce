"""Random faults of processes, hosts and paths; ``python -m tests.cell.soak`` plays more of them."""

from __future__ import annotations

import pytest

from tests.cell.soak.__main__ import DEFAULT_LENGTH_S, play

pytestmark = [pytest.mark.processes, pytest.mark.alone]

# Seeds with which a task has ever run twice. A plan repeats, the order of real processes may not.
FAILED_SEEDS = [5]
OTHER_SEEDS = [6]


@pytest.mark.parametrize("seed", FAILED_SEEDS + OTHER_SEEDS)
async def test_no_task_runs_twice(seed, tmp_path):
    """Guards against two owners whose orders are carried out beside each other."""
    assert await play(seed, length_s=DEFAULT_LENGTH_S, fault="", dir=tmp_path, prints_plan=True)
