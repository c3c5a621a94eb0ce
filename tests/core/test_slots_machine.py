"""Model test of the slot ledger against simulated runners, with events in any order."""

from __future__ import annotations

from enum import Enum

from attrs import define
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    precondition,
    rule,
)

from rhubarbferry.core.slots import (
    RunnerReport,
    SlotEnd,
    SlotLease,
    SlotLedger,
    SlotRules,
    grant_ids,
)

RULES = SlotRules(margin_s=1.0, settle_s=0.5, longest_request_s=6.0)
USABLE_S = 1.0
SLOTS = 1
RUNNERS = ("r0",)
FRONTENDS = ("f0", "f1")


class State(Enum):
    UNSENT = "unsent"
    ON_ITS_WAY = "on its way"
    RUNNING = "running"
    OVER = "over"


LIVE = (State.UNSENT, State.ON_ITS_WAY, State.RUNNING)


@define(kw_only=True, eq=False)
class Truth:
    """Actual state of one grant at its frontend and runner, unknown to the ledger."""

    lease: SlotLease
    state: State = State.UNSENT
    sent_at: float = 0.0
    told: bool = False


class SlotsMachine(RuleBasedStateMachine):
    words = Bundle("words")

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.epoch = 0
        self.truths: dict[int, Truth] = {}
        self.requests = 0
        self.begin_epoch()

    def begin_epoch(self) -> None:
        self.epoch += 1
        self.ids = iter(grant_ids(self.epoch))
        self.ledger = SlotLedger(rules=RULES)
        for id in RUNNERS:
            self.ledger.put_runner(id=id, address=id, slots=SLOTS, leaving=False)

    def alive(self, *states: State) -> list[Truth]:
        return [truth for truth in self.truths.values() if truth.state in states]

    # ------------------------------------------------------------ the owner

    @precondition(lambda self: self.ledger.choose() is not None)
    @rule(frontend=st.sampled_from(FRONTENDS), timeout=st.sampled_from([0.4, 2.0, 5.0]))
    def grant(self, frontend: str, timeout: float) -> None:
        runner = self.ledger.choose()
        assert runner is not None
        self.requests += 1
        lease = SlotLease(
            grant_id=next(self.ids),
            request_id=f"q{self.requests}",
            frontend_id=frontend,
            account="a",
            runner_id=runner.id,
            usable_until=self.now + min(USABLE_S, timeout),
            deadline=self.now + timeout,
            granted_at=self.now,
        )
        self.ledger.grant(lease)
        self.truths[lease.grant_id] = Truth(lease=lease)

    @precondition(lambda self: self.alive(*LIVE))
    @rule(frontend=st.sampled_from(FRONTENDS))
    def frontend_looks_dead(self, frontend: str) -> None:
        self.ledger.frontend_gone(frontend, now=self.now)

    @precondition(lambda self: self.alive(*LIVE))
    @rule(id=st.sampled_from(RUNNERS))
    def listed_again(self, id: str) -> None:
        self.ledger.drop_runner(id)
        self.ledger.put_runner(id=id, address=id, slots=SLOTS, leaving=False)

    @precondition(lambda self: self.alive(*LIVE))
    @rule(heard=st.sets(st.sampled_from(FRONTENDS)))
    def take_over(self, heard: set[str]) -> None:
        self.advance(RULES.settle_s)
        self.begin_epoch()
        for truth in self.truths.values():
            if truth.lease.frontend_id in heard:
                self.adopt(truth)
        wait = 0.0 if heard == set(FRONTENDS) else USABLE_S + RULES.settle_s
        for id in RUNNERS:
            until = self.now + RULES.longest_request_s + USABLE_S
            self.ledger.block(id, until=until, report_not_before=self.now + wait)

    def adopt(self, truth: Truth) -> None:
        old = truth.lease
        if truth.state is State.OVER:
            return
        sent = truth.state is not State.UNSENT
        self.ledger.adopt(
            SlotLease(
                grant_id=old.grant_id,
                request_id=old.request_id,
                frontend_id=old.frontend_id,
                account=old.account,
                runner_id=old.runner_id,
                usable_until=self.now if sent else self.now + USABLE_S,
                deadline=old.deadline,
                granted_at=self.now,
                unclear_since=self.now if sent else None,
            )
        )

    # ------------------------------------------------------------ frontends and runners

    @precondition(lambda self: self.alive(State.UNSENT))
    @rule()
    def send(self) -> None:
        truth = self.alive(State.UNSENT)[-1]
        if self.now < truth.lease.usable_until:
            truth.state, truth.sent_at = State.ON_ITS_WAY, self.now

    @precondition(lambda self: self.alive(State.ON_ITS_WAY))
    @rule()
    def arrive(self) -> None:
        self.alive(State.ON_ITS_WAY)[-1].state = State.RUNNING

    @precondition(lambda self: self.alive(State.RUNNING))
    @rule()
    def end(self) -> None:
        self.alive(State.RUNNING)[-1].state = State.OVER

    @precondition(lambda self: self.untold())
    @rule(known=st.booleans())
    def release(self, known: bool) -> None:
        truth = self.untold()[-1]
        truth.told = True
        match truth.state:
            case State.UNSENT:
                truth.state, end = State.OVER, SlotEnd.NOT_SENT
            case State.OVER if known:
                end = SlotEnd.DONE
            case _:
                end = SlotEnd.UNKNOWN
        self.ledger.release(truth.lease.grant_id, end, now=self.now)

    def untold(self) -> list[Truth]:
        return [truth for truth in self.truths.values() if not truth.told]

    @rule(target=words, id=st.sampled_from(RUNNERS), recent=st.booleans())
    def runner_answers(self, id: str, recent: bool) -> RunnerReport:
        mine = [truth for truth in self.truths.values() if truth.lease.runner_id == id]
        over = (truth.lease.request_id for truth in mine if truth.state is State.OVER)
        running = (truth.lease.request_id for truth in mine if truth.state is State.RUNNING)
        return RunnerReport(
            runner_id=id,
            asked_at=self.now,
            running=frozenset(running),
            finished=frozenset(over) if recent else frozenset(),
            slots=SLOTS,
        )

    @rule(word=consumes(words))
    def hear(self, word: RunnerReport) -> None:
        self.ledger.apply_report(word, now=self.now)

    # ------------------------------------------------------------ time

    @rule(seconds=st.sampled_from([0.1, 0.3, 0.6, 1.5]))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        for truth in self.truths.values():
            if truth.state is State.ON_ITS_WAY and self.now >= truth.sent_at + RULES.settle_s:
                truth.state = State.RUNNING
            if truth.state is State.RUNNING and self.now >= truth.lease.deadline + RULES.margin_s:
                truth.state = State.OVER
            if truth.state is State.UNSENT and self.now >= truth.lease.usable_until:
                truth.state = State.OVER
        self.ledger.expire(now=self.now)

    @invariant()
    def no_runner_carries_more_than_its_slots(self) -> None:
        for id in RUNNERS:
            carried = [
                truth
                for truth in self.truths.values()
                if truth.lease.runner_id == id and truth.state is not State.OVER
            ]
            assert len(carried) <= SLOTS

    @invariant()
    def sums_agree(self) -> None:
        held = sum(len(runner.leases) for runner in self.ledger.runners.values())
        assert held == len(self.ledger.leases)
        runners = self.ledger.runners.values()
        assert self.ledger.free() == sum(runner.free() for runner in runners)
        taking = [runner.capacity for runner in runners if not runner.leaving]
        assert self.ledger.capacity() == sum(taking)


TestSlots = SlotsMachine.TestCase
TestSlots.settings = settings(
    max_examples=120, stateful_step_count=40, derandomize=True, deadline=None
)
