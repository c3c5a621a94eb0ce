from __future__ import annotations

import pytest

from rhubarbferry.core.cell import Size
from rhubarbferry.core.fairshare import PAST_USAGE_WEIGHT, FairShare, UsageDigest

TOTAL = Size(millicores=100, memory_bytes=1000, accelerators=10)


def share(**weights: float) -> FairShare:
    made = FairShare(half_life_s=600.0)
    made.set_total(TOTAL)
    for account, weight in weights.items():
        made.set_account(account, weight=weight, quota=Size())
    return made


@pytest.mark.parametrize(
    ("sizes", "weights"),
    [
        ({"a": (1, 10, 0), "b": (1, 10, 0)}, {"a": 1.0, "b": 1.0}),
        ({"a": (1, 10, 0), "b": (1, 10, 0)}, {"a": 3.0, "b": 1.0}),
        ({"a": (2, 1, 0), "b": (1, 50, 0)}, {"a": 1.0, "b": 1.0}),
        ({"a": (1, 10, 0), "b": (1, 10, 1), "c": (4, 4, 0)}, {"a": 1.0, "b": 2.0, "c": 1.0}),
    ],
)
def test_over_ten_minutes_of_saturation_each_account_gets_its_share(
    sizes: dict[str, tuple[int, int, int]], weights: dict[str, float]
) -> None:
    """Tasks of one second follow each other; the account with the lowest standing goes next."""
    made = share(**weights)
    size = {
        name: Size(millicores=c, memory_bytes=m, accelerators=a)
        for name, (c, m, a) in sizes.items()
    }
    got = dict.fromkeys(sizes, 0.0)
    for second in range(600):
        now = 1.0 + second
        free, used = TOTAL, {name: Size() for name in sizes}
        made.put_digest("p", UsageDigest(taken_at=now, used=dict(used)))
        while True:
            name = min(sizes, key=lambda name: made.standing(name, now))
            if not size[name].fits(free):
                break
            free = free - size[name]
            used[name] = used[name] + size[name]
            made.put_digest("p", UsageDigest(taken_at=now, used=dict(used)))
        for name, held in used.items():
            got[name] += max(
                held.millicores / 100, held.memory_bytes / 1000, held.accelerators / 10
            )
    per_weight = [got[name] / weights[name] for name in sizes]
    assert max(per_weight) - min(per_weight) <= 0.02 * max(per_weight)


def test_an_idle_share_is_lent_and_past_usage_counts_less_with_time() -> None:
    made = share(a=1.0, b=1.0)
    made.put_digest("p", UsageDigest(taken_at=1.0, used={"a": Size(millicores=100)}))
    made.put_digest("p", UsageDigest(taken_at=601.0, used={}))
    assert made.standing("a", 601.0) == pytest.approx(0.5 * PAST_USAGE_WEIGHT)
    assert made.standing("a", 1201.0) == pytest.approx(0.25 * PAST_USAGE_WEIGHT)
    assert made.standing("b", 1201.0) == 0.0


def test_claims_on_their_way_count_against_the_quota() -> None:
    made = share(a=1.0)
    made.set_account("a", weight=1.0, quota=Size(millicores=4))
    one = Size(millicores=2, memory_bytes=500)
    assert made.within_quota("a", one)
    made.put_digest("p", UsageDigest(taken_at=1.0, used={"a": one}))
    made.claim("a", one)
    assert not made.within_quota("a", one)
    made.unclaim("a", one)
    assert made.within_quota("a", one)
