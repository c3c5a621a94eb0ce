from __future__ import annotations

import pytest

from rhubarbferry.core.log import (
    Head,
    LogKeys,
    Retention,
    Stamp,
    Verdict,
    chunked,
    judge,
    leading,
    may_move,
    snapshot_id,
)

MINE = Stamp(epoch=5, writer_id="me", write_id="7")


@pytest.mark.parametrize(
    ("epoch", "writer", "write", "verdict"),
    [
        (5, "me", "7", Verdict.OURS),
        (5, "me", "6", Verdict.EARLIER),
        (5, "other", "7", Verdict.FENCED),
        (4, "other", "7", Verdict.EARLIER),
        (6, "other", "7", Verdict.FENCED),
        (6, "me", "8", Verdict.FENCED),
    ],
)
def test_an_existing_record_is_classified_by_its_stamp(
    epoch: int, writer: str, write: str, verdict: Verdict
) -> None:
    found = Stamp(epoch=epoch, writer_id=writer, write_id=write)
    assert judge(found, mine=MINE) is verdict


@pytest.mark.parametrize(
    ("epoch", "writer", "allowed"),
    [(4, "other", True), (5, "me", True), (5, "other", False), (6, "me", False)],
)
def test_only_the_same_or_a_later_owner_may_replace_the_head(
    epoch: int, writer: str, allowed: bool
) -> None:
    found = Head(epoch=epoch, writer_id=writer, write_id="1")
    assert may_move(found, epoch=5, writer_id="me") is allowed


@pytest.mark.parametrize(
    ("sizes", "count"),
    [([], 0), ([50], 1), ([4, 4, 4], 2), ([10], 1), ([11, 1], 1), ([1] * 20, 10)],
)
def test_leading_counts_the_items_that_fit_under_the_cap(sizes: list[int], count: int) -> None:
    assert leading(sizes, cap=10) == count


def test_chunks_contain_every_item_once_and_in_order() -> None:
    sizes = [3, 9, 12, 1, 1, 8, 2]
    groups = [sizes[group] for group in chunked(sizes, cap=10)]
    assert [size for group in groups for size in group] == sizes
    assert all(sum(group) <= 10 or len(group) == 1 for group in groups)


def test_snapshot_ids_sort_in_order_of_creation() -> None:
    order = [(1, 9, 1), (1, 10, 1), (1, 10, 2), (2, 3, 1), (10, 1, 1)]
    ids = [snapshot_id(epoch=e, upto=n, attempt=a) for e, n, a in order]
    assert ids == sorted(ids)
    start, end = LogKeys(partition="key/r/1").snapshots_below(ids[2])
    chunks = [LogKeys(partition="key/r/1").chunk(id, 0) for id in ids]
    assert [start <= key < end for key in chunks] == [True, True, False, False, False]
    assert not start <= LogKeys(partition="key/r/1").head < end


@pytest.mark.parametrize("rate", [0.6, 1.0, 1.9])
def test_a_seal_is_kept_while_an_owner_may_append_without_verifying(rate: float) -> None:
    """Clock rates of two processes may differ by up to a factor of two.

    An owner that appends without verifying the head must do so before a successor can have
    deleted its seal.
    """
    retention = Retention(keep_s=60.0)
    last_unverified_append = max(
        t / 10 for t in range(1000) if not retention.must_verify(verified_at=0, now=t / 10)
    )
    first_deletion = min(
        t / 10 for t in range(1000) if retention.may_delete(sealed_at=0, now=t / 10)
    )
    assert last_unverified_append * rate < first_deletion
