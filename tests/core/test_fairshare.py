from __future__ import annotations

import pytest

from rhubarbferry.core.cell import Size
from rhubarbferry.core.fairshare import PAST_USAGE_WEIGHT, FairShare, UsageDigest

TOTAL = Size(millicores=100, memory_bytes=1000, accelerators=10)


def share(**weights: float) -> FairShare:
    fair_share = FairShare(half_life_s=600.0)
    fair_share.set_total(TOTAL)
    for account, weight in weights.items():
        fair_share.set_account(account, weight=weight, quota=Size())
    return fair_share


@pytest.mark.parametrize(
    ("sizes", "weights"),
    [
        ({"a": (1, 10, 0), "b": (1, 10, 0)}, {"a": 1.0, "b": 1.0}),
        ({"a": (1, 10, 0), "b": (1, 10, 0)}, {"a": 3.0, "b": 1.0}),
        ({"a": (2, 1, 0), "b": (1, 50, 0)}, {"a": 1.0, "b": 1.0}),
        ({"a": (1, 10, 0), "b": (1, 10, 1), "c": (4, 4, 0)}, {"a": 1.0, "b": 2.0, "c": 1.0}),
    ],
)
def test_usage_of_a_saturated_cell_follows_the_weights(
    sizes: dict[str, tuple[int, int, int]], weights: dict[str, float]
) -> None:
    """Every second, tasks of the account with the lowest standing fill the cell again."""
    fair_share = share(**weights)
    size = {
        name: Size(millicores=c, memory_bytes=m, accelerators=a)
        for name, (c, m, a) in sizes.items()
    }
    usage = dict.fromkeys(sizes, 0.0)
    for second in range(600):
        now = 1.0 + second
        free, used = TOTAL, {name: Size() for name in sizes}
        fair_share.put_digest("p", UsageDigest(taken_at=now, used=dict(used)))
        while True:
            name = min(sizes, key=lambda name: fair_share.standing(name, now))
            if not size[name].fits(free):
                break
            free = free - size[name]
            used[name] = used[name] + size[name]
            fair_share.put_digest("p", UsageDigest(taken_at=now, used=dict(used)))
        for name, held in used.items():
            usage[name] += max(
                held.millicores / 100, held.memory_bytes / 1000, held.accelerators / 10
            )
    per_weight = [usage[name] / weights[name] for name in sizes]
    assert max(per_weight) - min(per_weight) <= 0.02 * max(per_weight)


def test_an_account_may_use_idle_capacity_and_past_usage_decays() -> None:
    fair_share = share(a=1.0, b=1.0)
    fair_share.put_digest("p", UsageDigest(taken_at=1.0, used={"a": Size(millicores=100)}))
    fair_share.put_digest("p", UsageDigest(taken_at=601.0, used={}))
    assert fair_share.standing("a", 601.0) == pytest.approx(0.5 * PAST_USAGE_WEIGHT)
    assert fair_share.standing("a", 1201.0) == pytest.approx(0.25 * PAST_USAGE_WEIGHT)
    assert fair_share.standing("b", 1201.0) == 0.0


def test_unreported_claims_count_against_the_quota() -> None:
    fair_share = share(a=1.0)
    fair_share.set_account("a", weight=1.0, quota=Size(millicores=4))
    one = Size(millicores=2, memory_bytes=500)
    assert fair_share.within_quota("a", one)
    fair_share.put_digest("p", UsageDigest(taken_at=1.0, used={"a": one}))
    fair_share.claim("a", one)
    assert not fair_share.within_quota("a", one)
    fair_share.unclaim("a", one)
    assert fair_share.within_quota("a", one)
