from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbferry.core.succession import Succession

PROMISE_S, LEASE_S, EXTENSION_S = 3.0, 6.5, 7200.0
NAMES = "abcdefghi"


def takeover() -> Succession:
    return Succession(
        won_at=0.0, promise_s=PROMISE_S, lease_s=LEASE_S, longest_extension_s=EXTENSION_S
    )


@pytest.mark.parametrize(
    ("heard", "unheard", "stopped_at"),
    [
        pytest.param({}, "", 5.0, id="no workers"),
        pytest.param({"a": 3, "b": 3}, "c", 5.0, id="majority"),
        pytest.param({"a": 3}, "b", EXTENSION_S, id="half is no majority"),
        pytest.param({"a": 0, "b": 0}, "c", EXTENSION_S, id="new workers are not counted"),
        pytest.param({"a": 3, "b": 2}, "c", EXTENSION_S, id="counted by an earlier owner"),
        pytest.param({"a": 0, "b": 0}, "", 5.0, id="all workers are new"),
    ],
)
def test_time_at_which_unadopted_workers_are_settled(
    heard: dict[str, int], unheard: str, stopped_at: float
) -> None:
    """The previous owner continues with some workers on its side of a network partition.

    If these were settled too early, a task that runs on one of them would be started twice.
    """
    state = takeover()
    for worker, epoch in heard.items():
        state.record_adoption(worker, settled_epoch=epoch)
    state.check_majority(unadopted=unheard, now=5.0)
    assert state.settled_at() == stopped_at + PROMISE_S + LEASE_S


@settings(derandomize=True, max_examples=400)
@given(data=st.data())
def test_the_previous_owner_and_its_successor_never_both_have_a_majority(
    data: st.DataObject,
) -> None:
    """Two owners may have different lists of workers.

    If each had a majority of its own list, both would act and run a task on two hosts.
    """
    old = data.draw(st.sets(st.sampled_from(NAMES), min_size=1))
    answering = data.draw(st.sets(st.sampled_from(sorted(old))))
    others = set(NAMES) - answering
    heard = data.draw(st.sets(st.sampled_from(sorted(others)))) if others else set()
    restarted = data.draw(st.sets(st.sampled_from(NAMES)))
    state = takeover()
    for worker in heard:
        known = worker in old and worker not in restarted
        state.record_adoption(
            worker, settled_epoch=4 if known else data.draw(st.sampled_from([0, 3]))
        )
    late = data.draw(st.sets(st.sampled_from(NAMES))) - heard
    state.check_majority(unadopted=answering | late, now=1.0)
    if 2 * len(answering) > len(old) and any(w in old - restarted for w in heard):
        assert state.lacks_majority()
