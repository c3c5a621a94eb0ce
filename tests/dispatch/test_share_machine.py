"""State machine test of shares: accounts of different weights, whatever happens.

Weights and quotas change, and some weights are invalid. The invariants are those of the quota
machine; at its end all jobs of all accounts must be done, so no account starves.
"""

from __future__ import annotations

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from rhubarbferry.dispatch.messages import Account, JobRequest, Queue, Sizes

from .test_dispatcher_machine import EXAMPLES, FUZZING, MAX_RULES
from .test_quota_machine import QUOTAS_CORES, QuotaMachine

ACCOUNTS = 3
INITIAL_WEIGHTS = (1.0, 3.0, 9.0)
WEIGHTS = (0.1, 1.0, 20.0, 0.0, -1.0, math.nan, math.inf)


class ShareMachine(QuotaMachine):
    """The state machine of quotas with three accounts of different weights."""

    def job(self, req: JobRequest, queue: Queue, *, inherited: bool = False):
        index = len(self.oracle.account_of) % ACCOUNTS
        name = self.oracle.account_of.setdefault(req.id, f"a{index}")
        self.accounts.setdefault(
            name,
            Account(
                name=name,
                weight=INITIAL_WEIGHTS[index],
                quota=Sizes(millicores=1000 * QUOTAS_CORES[-1]),
            ),
        )
        return super().job(req, queue, inherited=inherited)

    @rule(index=st.integers(0, ACCOUNTS - 1), weight=st.sampled_from(WEIGHTS))
    def change_weight(self, index, weight):
        name = f"a{index}"
        account = self.accounts.get(name)
        if account is not None:
            self.accounts[name] = Account(name=name, weight=weight, quota=account.quota)
            self.dispatcher.configure({}, dict(self.accounts), now=self.now)

    def configure(self, name: str, quota: Sizes) -> None:
        known = self.accounts.get(name)
        weight = known.weight if known is not None else 1.0
        self.accounts[name] = Account(name=name, weight=weight, quota=quota)
        self.dispatcher.configure({}, dict(self.accounts), now=self.now)

    @invariant()
    def standings_are_numbers(self):
        if not hasattr(self, "dispatcher"):
            return
        shares = self.dispatcher.shares
        for name in ("", *self.dispatcher.quotas.accounts):
            assert 0 <= shares.standing(name) < math.inf
            assert 0 <= shares.in_use(name) < math.inf
        if shares.owed:
            assert math.isclose(sum(shares.owed.values()), 1.0)


TestShareMachine = ShareMachine.TestCase
TestShareMachine.settings = settings(
    max_examples=EXAMPLES // 3,
    stateful_step_count=MAX_RULES,
    derandomize=not FUZZING,
    deadline=None,
)
