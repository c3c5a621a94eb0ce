"""The check of the hosts' records."""

from __future__ import annotations

import pytest

from tests.cell.soak.records import examine

TASK = "5c0e7a21d94b36f8.0.0.0"


def start(at, host="a", born=1, attempt=1):
    return {
        "at": at,
        "event": "start",
        "host": host,
        "born": born,
        "task": TASK,
        "attempt": attempt,
        "fence": 7,
    }


def end(at, how="done", host="a", born=1):
    return {
        "at": at,
        "event": "end",
        "host": host,
        "born": born,
        "task": TASK,
        "attempt": 1,
        "how": how,
        "number": 1,
    }


def poll(at, ack=0, fence=7, host="a", born=1):
    return {
        "at": at,
        "event": "call",
        "call": "hold",
        "host": host,
        "born": born,
        "fence": fence,
        "ack": ack,
    }


def lapse(at, host="a", born=1):
    return {"at": at, "event": "lapse", "host": host, "born": born}


@pytest.mark.parametrize(
    ("records", "kills", "found"),
    [
        pytest.param([start(1), start(2, "b")], {}, ["runs twice"], id="two hosts"),
        pytest.param([start(1), end(2, "stopped"), start(2.1, "b")], {}, [], id="stopped before"),
        pytest.param([start(1), end(3, "lapsed"), start(2, "b")], {}, ["runs twice"], id="lapsed"),
        pytest.param([start(1), start(2, "b")], {("a", 1): 1.9}, [], id="killed before"),
        pytest.param([start(1), start(2, "b")], {("a", 1): 2.1}, ["runs twice"], id="killed after"),
        pytest.param(
            [start(1), start(2, born=2), start(3, "b")],
            {("a", 1): 1.5},
            ["runs twice"],
            id="next life",
        ),
        pytest.param(
            [start(1), end(2), poll(3, 1), start(4, "b")],
            {},
            ["starts after its end was taken note of"],
            id="noted",
        ),
        pytest.param(
            [start(1), end(2), poll(5, 1), start(4, "b")],
            {},
            ["starts after its end was taken note of"],
            id="noted later",
        ),
        pytest.param([start(1), end(2), poll(3), start(4, "b")], {}, [], id="not noted"),
        pytest.param(
            [start(1), end(2), lapse(2.5), poll(3, 1), start(4, "b")],
            {},
            [],
            id="lease lapsed before the note",
        ),
        pytest.param(
            [start(1), end(2), lapse(1.5), poll(3, 1), start(4, "b")],
            {},
            ["starts after its end was taken note of"],
            id="earlier lapse",
        ),
        pytest.param(
            [start(1), end(2, "failed"), poll(3, 1), start(4, "b")], {}, [], id="failed and noted"
        ),
        pytest.param([poll(1, fence=8), poll(2)], {}, ["accepted fence 7 after 8"], id="fence"),
        pytest.param([poll(1, fence=8), poll(2, born=2)], {}, [], id="fence of another life"),
    ],
)
def test_records_show_what_is_wrong(records, kills, found):
    """Guards against a soak that finds nothing because its check sees nothing."""
    texts = [text for _, text in examine(records, kills).violations]
    assert [text.partition(":")[0] for text in texts] == found
