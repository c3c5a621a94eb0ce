"""Who becomes the next owner."""

from __future__ import annotations

import pytest

from rhubarbferry.cell import keys
from rhubarbferry.cell.members import CellView, decode_member, encode_member, rank, successors
from rhubarbferry.ports.store import KeyValue

from .parts import member

NEAR = 0.004
FAR = 0.044

CELLS = {
    "one near process among far ones": [("a", FAR), ("b", NEAR), ("c", FAR)],
    "near ones differ by a little": [("a", NEAR), ("b", NEAR + 0.003), ("c", FAR)],
    "all alike": [("a", NEAR), ("b", NEAR), ("c", NEAR)],
}


@pytest.mark.parametrize("cell", CELLS.values(), ids=CELLS.keys())
@pytest.mark.parametrize("seed", range(5))
def test_processes_near_the_store_come_first_and_each_has_a_turn_of_its_own(cell, seed):
    members = [member(name, store_s=store_s) for name, store_s in cell]
    places = {each.name: rank(each, members, seed=seed) for each in members}
    assert sorted(places.values()) == list(range(len(members)))
    near = [name for name, store_s in cell if store_s < FAR]
    assert sorted(places[name] for name in near) == list(range(len(near)))


def test_the_order_among_alike_ones_differs_between_elections():
    members = [member(name) for name in "abcd"]
    first = {
        min(members, key=lambda each: rank(each, members, seed=seed)).name for seed in range(40)
    }
    assert first == set("abcd")


def test_a_planned_stop_asks_near_processes_first_and_of_these_the_latest():
    """All processes are restarted in turn. One that has not been restarted yet will be stopped
    soon, and would hand over again at once."""
    view = CellView()
    rows = [("a", NEAR, 1), ("b", NEAR, 9), ("c", FAR, 12), ("own", NEAR, 20)]
    view.replace(
        KeyValue(
            key=keys.MEMBERS + name,
            value=encode_member(member(name, store_s=store_s)),
            mod_revision=revision,
            create_revision=revision,
        )
        for name, store_s, revision in rows
    )
    assert [each.name for each in successors(member("own"), view)] == ["b", "a", "c"]


def test_a_member_reads_back_as_written():
    one = member("a", store_s=0.012)
    assert decode_member(encode_member(one)) == one
