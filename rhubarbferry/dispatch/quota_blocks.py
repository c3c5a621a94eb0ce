"""Block the waiting steps that the quota of their account does not allow to start."""

from __future__ import annotations

import sys

from attrs import Factory, define

from rhubarbferry.dispatch.job import Step
from rhubarbferry.dispatch.quotas import Quotas
from rhubarbferry.dispatch.waiting import BlockKey, WaitingSteps


@define(kw_only=True, eq=False)
class QuotaBlocks:
    """Blocks and unblocks waiting steps."""

    quotas: Quotas
    waiting: WaitingSteps
    _newly_blocked: list[Step] = Factory(list)

    def limit(self, step: Step) -> int:
        """Return how many waiting tasks of a step may start within the quota of its account.

        Without a limit for the steps behind a blocked one, small tasks could use all quota that
        becomes free, and a gang of the same account would wait for good.
        """
        waiting = len(step.waiting_tasks())
        if not waiting:
            # Its reserved tasks wait for tickets, and are already part of the usage.
            return sys.maxsize
        free = self.quotas.free_tasks(step)
        if free < waiting and step.req.gang:
            return 0
        blocked = self.waiting.blocked(BlockKey(account=step.job.account_name))
        if blocked and step in self.waiting:
            first = self.waiting.position(blocked[0])
            if first < self.waiting.position(step):
                # The step may have become less urgent than one that fits by now.
                self.quotas.mark_changed(step.job.account_name)
                return 0
        return free

    def block(self, step: Step) -> bool:
        """Block a step if it waits and is not blocked yet; return whether it has been blocked."""
        if step not in self.waiting or self.waiting.is_blocked(step):
            return False
        oversized = self.quotas.exceeds_quota(step)
        self.waiting.block(step, BlockKey(account=step.job.account_name, oversized=oversized))
        if not step.ever_blocked:
            step.ever_blocked = True
            self._newly_blocked.append(step)
        return True

    def take_newly_blocked(self) -> list[Step]:
        """Return the steps that have been blocked for the first time since the last call."""
        steps, self._newly_blocked = self._newly_blocked, []
        return steps

    def take_unblocked(self) -> list[Step]:
        """Unblock and return the blocked steps of the accounts whose free quota has grown."""
        found: list[Step] = []
        for account in self.quotas.take_changed_quotas():
            for oversized in (True, False):
                key = BlockKey(account=account, oversized=oversized)
                for step in list(self.waiting.blocked(key)):
                    if self.quotas.exceeds_quota(step) is not oversized:
                        found.append(self._unblock(step))
        for account in self.quotas.take_changed():
            blocked = self.waiting.blocked(BlockKey(account=account))
            for step in self.quotas.startable_steps(account, blocked):
                found.append(self._unblock(step))
        return found

    def _unblock(self, step: Step) -> Step:
        self.waiting.unblock(step)
        return step
