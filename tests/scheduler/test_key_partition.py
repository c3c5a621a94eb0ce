from __future__ import annotations

import pytest

from rhubarbferry.scheduler.key_partition import compaction_threshold


@pytest.mark.parametrize(
    ("retained", "segments"),
    [(0, 512), (4096, 512), (8000, 1000), (160_000, 20_000)],
)
def test_the_compaction_threshold_grows_with_the_retained_entries(
    retained: int, segments: int
) -> None:
    assert compaction_threshold(retained=retained, min_segments=512) == segments


def test_the_compaction_cost_per_entry_is_constant() -> None:
    """Each snapshot rewrites all retained keys.

    With many keys, a snapshot every 512 segments would use most of the store's write rate and
    delay requests with keys.
    """
    rewritten = [
        retained / compaction_threshold(retained=retained, min_segments=512)
        for retained in (10_000, 100_000)
    ]
    assert rewritten[1] <= rewritten[0] * 1.01
