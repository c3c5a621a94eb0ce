"""Tests of the order in which members become the owner, and of the recorded owner."""

from __future__ import annotations

import json

import pytest
from attrs import evolve

from rhubarbferry.cell import keys
from rhubarbferry.cell.members import (
    UNKNOWN_OWNER,
    CellView,
    Ownership,
    decode_member,
    election_rank,
    encode_member,
    successors,
)
from rhubarbferry.cell.peers import PeerClient, PingResult
from rhubarbferry.ports.store import KeyDeleted, KeyPut, KeyValue

from .fakes import member

NEAR = 0.004
FAR = 0.044
LARGE = {"cores": 2.0, "link_mbps": 100.0}
SMALL = {"a small processor": {"cores": 0.5}, "a slow link": {"link_mbps": 10.0}}

CELLS = {
    "one near member among far ones": [("a", FAR), ("b", NEAR), ("c", FAR)],
    "near members differ by a little": [("a", NEAR), ("b", NEAR + 0.003), ("c", FAR)],
    "all members equal": [("a", NEAR), ("b", NEAR), ("c", NEAR)],
}


@pytest.mark.parametrize("cell", CELLS.values(), ids=CELLS.keys())
@pytest.mark.parametrize("seed", range(5))
def test_members_near_the_store_come_first_and_each_has_its_own_rank(cell, seed):
    members = [member(name, store_s=store_s) for name, store_s in cell]
    ranks = {each.name: election_rank(each, members, seed=seed) for each in members}
    assert sorted(ranks.values()) == list(range(len(members)))
    near = [name for name, store_s in cell if store_s < FAR]
    assert sorted(ranks[name] for name in near) == list(range(len(near)))


def test_the_order_among_equal_members_differs_between_elections():
    members = [member(name) for name in "abcd"]
    first = {
        min(members, key=lambda each: election_rank(each, members, seed=seed)).name
        for seed in range(40)
    }
    assert first == set("abcd")


def key_of(key: str, name: str, *, revision: int, store_s: float = 0.0) -> KeyValue:
    return KeyValue(
        key=key,
        value=encode_member(member(name, store_s=store_s)),
        mod_revision=revision,
        create_revision=revision,
    )


OWN = Ownership(owner=member("own"), fence=9, lease_id=1)
OLD_KEY = key_of(keys.OWNER, "former", revision=5)
LATER_KEY = key_of(keys.OWNER, "later", revision=12)

# Events that a watch delivers after a process has recorded itself as the owner, and the name of the
# owner that must be recorded afterwards.
LATER_EVENTS = {
    "the former owner's key deleted": ([KeyDeleted(key=keys.OWNER, revision=8)], "own"),
    "the former owner's key written": ([KeyPut(kv=OLD_KEY)], "own"),
    "its own key deleted": ([KeyDeleted(key=keys.OWNER, revision=10)], ""),
    "a later owner's key written": ([KeyPut(kv=LATER_KEY)], "later"),
}


@pytest.mark.parametrize(("events", "owner"), LATER_EVENTS.values(), ids=LATER_EVENTS.keys())
def test_older_events_do_not_replace_the_current_owner(events, owner):
    """Guard against an owner that assumes that its own key is gone and waits for it forever."""
    view = CellView()
    view.set_owner(OWN)
    view.apply(events)
    assert (view.ownership.owner.name if view.ownership else "") == owner


LISTINGS = {
    "older than its own key, with a former owner": ([OLD_KEY], 8, "own"),
    "older than its own key, without an owner": ([], 8, "own"),
    "newer than the deletion of its own key": ([], 10, ""),
    "with a later owner": ([LATER_KEY], 13, "later"),
}


@pytest.mark.parametrize(("items", "revision", "owner"), LISTINGS.values(), ids=LISTINGS.keys())
def test_an_older_listing_does_not_replace_the_current_owner(items, revision, owner):
    view = CellView()
    view.set_owner(OWN)
    view.replace(items, revision=revision)
    assert (view.ownership.owner.name if view.ownership else "") == owner


def test_successors_near_the_store_come_first_and_of_these_the_last_registered():
    """Guard against a successor that is the next one to be restarted."""
    view = CellView()
    registrations = [("a", NEAR, 1), ("b", NEAR, 9), ("c", FAR, 12), ("own", NEAR, 20)]
    view.replace(
        (
            key_of(keys.MEMBERS + name, name, revision=revision, store_s=store_s)
            for name, store_s, revision in registrations
        ),
        revision=30,
    )
    assert [each.name for each in successors(member("own"), view)] == ["b", "a", "c"]


@pytest.mark.parametrize("limit", SMALL.values(), ids=SMALL.keys())
def test_small_hosts_come_last_however_near_the_store(limit):
    """Guard against an owner whose link or processor is too small for its work."""
    large = member("far", store_s=FAR, **LARGE)
    small = member("near", store_s=NEAR, **{**LARGE, **limit})
    assert [election_rank(each, [large, small], seed=1) for each in (large, small)] == [0, 1]
    view = CellView(members={each.name: each for each in (large, small)})
    assert [each.name for each in successors(member("own", **LARGE), view)] == ["far", "near"]


def test_an_encoded_member_decodes_to_the_same_member():
    one = member("a", store_s=0.012)
    assert decode_member(encode_member(one)) == one


def test_a_member_of_a_later_version_is_known():
    """Guards against processes that end while a later version of the program is rolled out."""
    value = json.dumps({**json.loads(encode_member(member("a"))), "new": [1]}).encode()
    assert decode_member(value) == member("a")


INVALID_MEMBERS = {
    "not JSON": b"{",
    "deeply nested": b"[" * 100_000,
    "a list": b"[]",
    "a missing field": b'{"name":"b"}',
    "an infinite number": encode_member(member("b", cores=1.5)).replace(b"1.5", b"1e999"),
    "a number of too many digits": encode_member(member("b", cores=1.5)).replace(
        b"1.5", b"9" * 5000
    ),
    "nested in a field": encode_member(member("b")).replace(b'"b"', b"[" * 900 + b"]" * 900, 1),
    "a name that is no text": encode_member(member("b\ud800")),
    "a region that is no text": encode_member(evolve(member("b"), region="\ud800")),
    "an address without a port": encode_member(member("b", address="b")),
    "an address with a port out of range": encode_member(member("b", address="10.0.0.1:65536")),
    "an address with port 0": encode_member(member("b", address="10.0.0.1:0")),
    "an address with a port of many digits": encode_member(
        member("b", address=f"10.0.0.1:{'9' * 5000}")
    ),
    "an address with other digits": encode_member(member("b", address="10.0.0.1:\u00b2")),
}


@pytest.mark.parametrize("value", INVALID_MEMBERS.values(), ids=INVALID_MEMBERS.keys())
def test_an_invalid_member_is_skipped(value):
    """Guards against one member's key that ends all processes of the cell."""
    view = CellView()
    items = [
        KeyValue(key=keys.MEMBERS + id, value=value, mod_revision=1, create_revision=1)
        for id, value in (("b", value), ("a", encode_member(member("a"))))
    ]
    view.replace(items, revision=1)
    assert list(view.members) == ["a"]


@pytest.mark.parametrize("value", INVALID_MEMBERS.values(), ids=INVALID_MEMBERS.keys())
async def test_an_owner_whose_key_is_invalid_does_not_respond(value):
    """Guards against a cell that waits for ever for an owner that it can't call."""
    view = CellView()
    owner_key = KeyValue(key=keys.OWNER, value=value, mod_revision=7, create_revision=7, lease_id=3)
    view.replace([owner_key], revision=7)
    assert view.ownership == Ownership(owner=UNKNOWN_OWNER, fence=7, lease_id=3)
    peers = PeerClient(extra_s=lambda: 0.0)
    try:
        assert await peers.ping(UNKNOWN_OWNER, timeout_s=0.5) is PingResult.REFUSED
    finally:
        await peers.close()
