from __future__ import annotations

import pytest
from attrs import define, evolve, field, frozen
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from rhubarbferry.core.lease import Lease
from rhubarbferry.core.promise import GuardState, HeldPromises
from rhubarbferry.test.hypothesis_settings import state_machine_settings

LEASE_S = 3
PROMISE_S = 3


@pytest.mark.parametrize(
    ("epoch", "owner", "now", "accepted"),
    [
        (2, "a", 11.0, True),
        (1, "a", 11.0, False),
        (3, "b", 11.0, False),
        (3, "b", 13.0, True),
        (3, "a", 11.0, True),
        (1, "b", 14.0, False),
    ],
)
def test_a_guard_with_an_active_promise_acknowledges_only_its_owner(epoch, owner, now, accepted):
    guard = GuardState()
    assert guard.promise(epoch=2, owner="a", now=10.0, duration_s=3.0).accepted
    answer = guard.acknowledge(epoch=epoch, owner=owner, now=now)
    assert answer.accepted is accepted
    assert answer.highest_epoch == (max(epoch, 2) if accepted else 2)


@pytest.mark.parametrize(
    ("epoch", "owner", "accepted"),
    [(2, "a", True), (1, "a", False), (2, "b", False), (3, "a", True)],
)
def test_only_the_holder_can_release_a_promise(epoch, owner, accepted):
    """A scheduler releases its promises in a planned handover.

    If guards ignored the release, callers would get no slot until the promise expires. If they
    accepted it from another owner or for an older epoch, two owners could act.
    """
    guard = GuardState()
    guard.acknowledge(epoch=2, owner="a", now=10.0)
    guard.promise(epoch=2, owner="a", now=10.0, duration_s=3.0)
    assert guard.give_up(epoch=epoch, owner=owner, now=11.0).accepted is accepted
    assert guard.acknowledge(epoch=4, owner="c", now=11.0).accepted is accepted


def test_a_closed_guard_set_gives_no_promise_but_keeps_active_ones():
    guard = GuardState()
    guard.promise(epoch=1, owner="a", now=0.0, duration_s=3.0, version=4)
    assert guard.close(version=5, now=1.0).promise_left_s == 2.0
    assert not guard.promise(epoch=1, owner="a", now=1.0, duration_s=3.0, version=4).accepted
    assert guard.promise(epoch=1, owner="a", now=1.0, duration_s=3.0, version=5).accepted


@pytest.mark.parametrize(
    ("given", "now", "majority"),
    [
        ("", 1.0, False),
        ("a", 1.0, False),
        ("ab", 1.0, True),
        ("ab", 2.5, False),
        ("ax", 1.0, False),
    ],
)
def test_only_promises_of_the_guard_set_are_counted(given, now, majority):
    book = HeldPromises(margin_s=0.5)
    book.set_guards(guards="abc", version=1)
    for name in given:
        book.add_promise(guard=name, version=1, asked_at=0.0, duration_s=3.0)
    assert book.majority(now) is majority


def test_a_new_guard_set_discards_the_promises():
    book = HeldPromises()
    book.set_guards(guards="abc", version=1)
    for name in "abc":
        book.add_promise(guard=name, version=1, asked_at=0.0, duration_s=3.0)
    book.set_guards(guards="bcd", version=2)
    book.add_promise(guard="d", version=1, asked_at=0.0, duration_s=3.0)
    assert book.held(1.0) == 0


def test_an_empty_guard_set_has_no_majority():
    assert not HeldPromises().majority(0.0)


def test_a_lease_term_starts_before_the_request_is_sent():
    lease = Lease.granted(id=1, incarnation=1, asked_at=10.0, ttl_s=3.0, margin_s=0.5)
    assert lease.holds(12.4) and not lease.holds(12.5)
    assert lease.renewed(asked_at=11.0, ttl_s=3.0).until == 13.5
    assert lease.renewed(asked_at=9.0, ttl_s=3.0).until == 12.5


@frozen
class Shared:
    """The ownership table with one partition and one guard set."""

    epoch: int = 1
    owner: int = 0
    incarnation: int = 1
    version: int = 1
    guards: str = "abc"


@define
class Scheduler:
    """An owner or successor; ``view`` is the table as it last read it."""

    name: int
    view: Shared | None = None
    until: int = 0
    acting: bool = False
    acks: set[str] = field(factory=set)
    book: HeldPromises = field(factory=HeldPromises)


@frozen
class Ask:
    """A promise request in transit."""

    name: int
    guard: str
    epoch: int
    version: int
    asked_at: int
    gives_up: bool = False


SETS = {"abc": "bcd", "bcd": "cde", "cde": "abc"}
WHO = st.integers(0, 1)
GUARD = st.sampled_from("abcde")


class PromiseMachine(RuleBasedStateMachine):
    """Two schedulers and five guards, three in a set; any message may be delayed or lost."""

    counted_from_reply = False
    acknowledge_despite_promise = False
    change_without_closing = False
    one_is_enough = False
    regained_lease_revives = False
    given_up_under_any_epoch = False

    def __init__(self) -> None:
        super().__init__()
        self.now = 0
        self.table = Shared()
        self.stored_until = [LEASE_S, LEASE_S]
        self.incarnations = [1, 1]
        self.schedulers = [Scheduler(name) for name in (0, 1)]
        self.guards = {name: GuardState() for name in "abcde"}
        self.asks: list[Ask] = []
        self.closed: dict[str, int] = {}
        self.renew(0)
        self.read(0)
        self.adopt(0, set("abc"))

    def majority(self) -> int:
        return 1 if self.one_is_enough else len(self.table.guards) // 2 + 1

    @rule(seconds=st.integers(1, 4))
    def wait(self, seconds):
        self.now += seconds

    @rule(who=WHO)
    def renew(self, who):
        scheduler = self.schedulers[who]
        if self.now >= self.stored_until[who]:
            self.incarnations[who] += not self.regained_lease_revives
            if not self.regained_lease_revives:
                self.read(who)
        self.stored_until[who] = scheduler.until = self.now + LEASE_S

    @rule(who=WHO)
    def take_over(self, who):
        table = self.table
        lapsed = self.now >= self.stored_until[table.owner]
        gone = lapsed or self.incarnations[table.owner] != table.incarnation
        if gone and self.now < self.schedulers[who].until:
            self.table = evolve(
                table, epoch=table.epoch + 1, owner=who, incarnation=self.incarnations[who]
            )
            self.read(who)

    @rule(who=WHO)
    def read(self, who):
        scheduler, table = self.schedulers[who], self.table
        if (table.owner, table.incarnation) != (who, self.incarnations[who]):
            scheduler.view = None
            scheduler.acting = False
        elif scheduler.view is None or scheduler.view.epoch != table.epoch:
            scheduler.view, scheduler.acting = table, False
            scheduler.acks, scheduler.book = set(), HeldPromises()
            scheduler.book.set_guards(guards=table.guards, version=table.version)
        elif scheduler.view.version != table.version:
            scheduler.view, scheduler.acks = table, set()
            scheduler.book.set_guards(guards=table.guards, version=table.version)

    @rule(who=WHO, names=st.sets(GUARD, min_size=2))
    def adopt(self, who, names):
        for name in sorted(names):
            self._adopt(self.schedulers[who], name)

    def _adopt(self, scheduler, name):
        guard = self.guards[name]
        if scheduler.view is None or name not in scheduler.view.guards:
            return
        if self.acknowledge_despite_promise:
            guard.promised_until = 0
        answer = guard.acknowledge(
            epoch=scheduler.view.epoch, owner=str(scheduler.name), now=self.now
        )
        if answer.accepted:
            scheduler.acks.add(name)
        if len(scheduler.acks) >= self.majority() and self.now < scheduler.until:
            scheduler.acting = True

    @rule(who=WHO, names=st.sets(GUARD, min_size=2))
    def ask(self, who, names):
        scheduler = self.schedulers[who]
        if scheduler.view is None or len(self.asks) > 5:
            return
        view = scheduler.view
        for name in sorted(names & set(view.guards)):
            self.asks.append(Ask(who, name, view.epoch, view.version, self.now))

    @rule(who=WHO, names=st.sets(GUARD, min_size=2))
    def hand_over(self, who, names):
        """Hand over: stop acting, release the promises and give up the table entry."""
        scheduler, table = self.schedulers[who], self.table
        if scheduler.view is None or len(self.asks) > 5:
            return
        view, scheduler.view, scheduler.acting = scheduler.view, None, False
        for name in sorted(names & set(view.guards)):
            self.asks.append(Ask(who, name, view.epoch, view.version, self.now, gives_up=True))
        if (table.owner, table.epoch) == (who, view.epoch):
            # The partition has no owner now; its next owner gets a higher epoch.
            self.table = evolve(table, epoch=table.epoch + 1, incarnation=0)

    @rule(late=st.booleans())
    def deliver(self, late):
        for ask in self.asks[: 1 if late else None]:
            self.asks.remove(ask)
            self._deliver(ask)

    def _deliver(self, ask):
        if ask.gives_up:
            guard = self.guards[ask.guard]
            epoch = guard.highest_epoch if self.given_up_under_any_epoch else ask.epoch
            guard.give_up(epoch=epoch, owner=str(ask.name), now=self.now)
            return
        answer = self.guards[ask.guard].promise(
            epoch=ask.epoch,
            owner=str(ask.name),
            now=self.now - 1 if self.counted_from_reply else self.now,
            duration_s=PROMISE_S,
            version=ask.version,
        )
        scheduler = self.schedulers[ask.name]
        if answer.accepted and scheduler.view and scheduler.view.epoch == ask.epoch:
            scheduler.book.add_promise(
                guard=ask.guard,
                version=ask.version,
                asked_at=self.now if self.counted_from_reply else ask.asked_at,
                duration_s=PROMISE_S,
            )

    @rule(names=st.sets(GUARD, min_size=2))
    def close(self, names):
        for name in sorted(names & set(self.table.guards)):
            answer = self.guards[name].close(version=self.table.version + 1, now=self.now)
            self.closed.setdefault(name, self.now + answer.promise_left_s)

    @rule()
    def change_guards(self):
        ready = sorted(self.closed.values())
        count = self.majority()
        agreed = len(ready) >= count and ready[-1] <= self.now
        if agreed or self.change_without_closing:
            self.table = evolve(
                self.table, version=self.table.version + 1, guards=SETS[self.table.guards]
            )
            self.closed = {}

    @invariant()
    def one_acts(self):
        acting = [s for s in self.schedulers if self._acts(s)]
        assert len(acting) < 2, "two owners act"

    def _acts(self, scheduler):
        if scheduler.view is None or not scheduler.acting:
            return False
        promised = scheduler.book.held(self.now) >= (1 if self.one_is_enough else 2)
        return self.now < scheduler.until or promised


def test_at_most_one_owner_acts():
    run_state_machine_as_test(
        PromiseMachine,
        settings=state_machine_settings(examples=80, steps=40),
    )


def take_over_and_adopt(machine, names):
    machine.renew(1)
    machine.take_over(1)
    machine.adopt(1, set(names))


def replaced_within_the_promise(machine):
    machine.wait(2)
    machine.ask(0, set("abc"))
    machine.deliver(late=False)
    machine.wait(1)
    take_over_and_adopt(machine, "abc")


def replaced_before_the_promise_ends(machine):
    machine.wait(2)
    machine.ask(0, set("abc"))
    machine.deliver(late=False)
    machine.wait(2)
    take_over_and_adopt(machine, "abc")


def one_guard_each(machine):
    machine.wait(2)
    machine.ask(0, {"a"})
    machine.deliver(late=False)
    machine.wait(1)
    take_over_and_adopt(machine, "b")


def guards_changed_twice(machine):
    machine.wait(2)
    machine.ask(0, set("abc"))
    machine.deliver(late=False)
    machine.change_guards()
    machine.change_guards()
    machine.wait(1)
    take_over_and_adopt(machine, "cde")


def lease_regained_after_a_takeover(machine):
    machine.wait(3)
    take_over_and_adopt(machine, "abc")
    machine.renew(0)


def release_delivered_late(machine):
    """The owner's release arrives after it has acquired the partition again."""
    machine.hand_over(0, set("abc"))
    machine.take_over(0)
    machine.adopt(0, set("abc"))
    given_up, machine.asks = machine.asks, []
    machine.wait(2)
    machine.ask(0, set("abc"))
    machine.deliver(late=False)
    machine.asks = given_up
    machine.deliver(late=False)
    machine.wait(1)
    take_over_and_adopt(machine, "abc")


@pytest.mark.parametrize("disabled", [False, True])
@pytest.mark.parametrize(
    ("mutant", "scenario"),
    [
        ("given_up_under_any_epoch", release_delivered_late),
        ("acknowledge_despite_promise", replaced_within_the_promise),
        ("counted_from_reply", replaced_before_the_promise_ends),
        ("one_is_enough", one_guard_each),
        ("change_without_closing", guards_changed_twice),
        ("regained_lease_revives", lease_regained_after_a_takeover),
    ],
)
def test_every_part_of_the_protocol_is_needed(mutant, scenario, disabled):
    """A successor takes over while the owner is partitioned from the store.

    With one part of the protocol disabled both act, and a runner slot is granted twice.
    """
    machine = type(mutant, (PromiseMachine,), {mutant: disabled})()
    scenario(machine)
    if disabled:
        with pytest.raises(AssertionError, match="two owners act"):
            machine.one_acts()
    else:
        machine.one_acts()
