from __future__ import annotations

import random

import pytest

from rhubarbferry.core.cell import Size
from rhubarbferry.core.placement import Need, Placement, Spread


def placement(**free: tuple[int, int, int]) -> Placement:
    """Return a placement of workers ``name_domain=(millicores, memory, accelerators)``."""
    workers_index = Placement()
    for name, (millicores, memory, accelerators) in free.items():
        capacity = Size(millicores=millicores, memory_bytes=memory, accelerators=accelerators)
        workers_index.put(name, capacity=capacity, failure_domain=name.split("_")[1])
    return workers_index


def need(millicores: int, memory: int, accelerators: int = 0, **more: object) -> Need:
    size = Size(millicores=millicores, memory_bytes=memory, accelerators=accelerators)
    return Need(job_id="j", size=size, **more)


APART = Spread.APART


@pytest.mark.parametrize(
    ("free", "wanted", "chosen"),
    [
        ({"a_1": (8, 8, 0), "b_1": (4, 4, 0)}, need(3, 3), "b_1"),
        ({"a_1": (8, 8, 0), "b_1": (4, 4, 0)}, need(5, 1), "a_1"),
        ({"a_1": (8, 1, 0), "b_1": (1, 8, 0)}, need(2, 2), None),
        ({"a_1": (2, 2, 4), "b_1": (8, 8, 0)}, need(1, 1), "b_1"),
        ({"a_1": (2, 2, 4), "b_1": (8, 8, 0)}, need(1, 1, 1), "a_1"),
        ({"a_1": (8, 2, 0), "b_1": (8, 6, 0)}, need(6, 2), "a_1"),
        ({"a_1": (4, 4, 0), "b_1": (8, 8, 0)}, need(1, 1, avoid=frozenset({"a_1"})), "b_1"),
        ({"a_1": (4, 4, 0), "b_1": (8, 8, 0)}, need(1, 1, spread=APART), "b_1"),
    ],
)
def test_chosen_worker(free: dict, wanted: Need, chosen: str | None) -> None:
    assert placement(**free).choose(wanted) == chosen


def test_service_tasks_are_spread_over_failure_domains_then_workers() -> None:
    workers_index = placement(a_1=(9, 9, 0), b_1=(8, 8, 0), c_2=(7, 7, 0))
    wanted = need(1, 1, spread=APART)
    chosen = []
    for _ in range(3):
        worker = workers_index.choose(wanted)
        assert workers_index.take(worker, "j", wanted.size)
        chosen.append(worker)
    assert chosen == ["a_1", "c_2", "b_1"]


def test_an_unplaceable_size_is_placed_after_capacity_is_released() -> None:
    workers_index = placement(a_1=(4, 4, 0))
    big = need(3, 3)
    assert workers_index.take("a_1", "j", big.size)
    assert workers_index.choose(big) is None
    assert workers_index.choose(big) is None
    workers_index.give_back("a_1", "j", big.size)
    assert workers_index.choose(big) == "a_1"


def test_a_closed_worker_is_not_chosen_and_still_tracks_capacity() -> None:
    workers_index = placement(a_1=(4, 4, 0))
    workers_index.set_open("a_1", False)
    assert workers_index.choose(need(1, 1)) is None
    workers_index.give_back("a_1", "j", Size(millicores=1))
    workers_index.set_open("a_1", True)
    assert workers_index.free("a_1").millicores == 5


def test_a_worker_is_found_if_and_only_if_one_has_capacity() -> None:
    rng = random.Random(7)
    workers_index = placement(
        **{f"w{i}_{i % 3}": (rng.randint(1, 9), rng.randint(1, 9), i % 3) for i in range(40)}
    )
    workers = [f"w{i}_{i % 3}" for i in range(40)]
    taken: list[tuple[str, Size]] = []
    for _ in range(2000):
        wanted = need(rng.randint(0, 9), rng.randint(1, 9), rng.randint(0, 2))
        fits_anywhere = any(wanted.size.fits(workers_index.free(w)) for w in workers)
        worker = workers_index.choose(wanted)
        assert (worker is not None) == fits_anywhere
        if worker is not None:
            assert workers_index.take(worker, "j", wanted.size)
            taken.append((worker, wanted.size))
        if len(taken) > 30 or worker is None and taken:
            workers_index.give_back(taken[0][0], "j", taken.pop(0)[1])
