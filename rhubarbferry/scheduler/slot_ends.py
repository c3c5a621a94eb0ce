"""The end of grants in a runner partition: free slots, settle charges, update runner health."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from attrs import frozen
from loguru import logger

from rhubarbferry.core.ejection import Ejector
from rhubarbferry.core.request_queue import RequestQueue
from rhubarbferry.core.slots import RunnerReport, SlotEnd, SlotLease, SlotLedger
from rhubarbferry.ports.clock import Clock
from rhubarbferry.ports.ownership import Guard
from rhubarbferry.rpc.gen.ttypes import GrantEnd, OpenGrant, Release
from rhubarbferry.scheduler import metrics

SLOT_ENDS = {
    GrantEnd.DONE: SlotEnd.DONE,
    GrantEnd.NOT_SENT: SlotEnd.NOT_SENT,
    GrantEnd.REFUSED_BY_RUNNER: SlotEnd.REFUSED_BY_RUNNER,
    GrantEnd.FAILED: SlotEnd.FAILED,
    GrantEnd.UNKNOWN: SlotEnd.UNKNOWN,
}
RUNNER_FAILURES = frozenset({SlotEnd.REFUSED_BY_RUNNER, SlotEnd.FAILED, SlotEnd.UNKNOWN})


@frozen(kw_only=True, slots=True)
class Charge:
    """The estimated use that an account was charged when a slot was granted."""

    account: str
    seconds: float
    since: float


class SlotEnds:
    """Handle the end of grants and keep the charge of each grant until then.

    :param name: name of the partition, for log messages.
    :param grant_usable_s: seconds during which an unused grant may still be used.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        ledger: SlotLedger,
        queue: RequestQueue,
        ejector: Ejector,
        grant_usable_s: float,
    ) -> None:
        self._name = name
        self._clock = clock
        self._ledger = ledger
        self._queue = queue
        self._ejector = ejector
        self._grant_usable_s = grant_usable_s
        self._charges: dict[int, Charge] = {}

    def charge(self, lease: SlotLease, seconds: float) -> None:
        """Record the charge for a grant that is made now."""
        charge = Charge(account=lease.account, seconds=seconds, since=lease.granted_at)
        self._charges[lease.grant_id] = charge

    def release(self, release_message: Release) -> bool:
        """Release a slot; return whether its runner should be probed about it."""
        now = self._clock.monotonic()
        end = SLOT_ENDS[release_message.end]
        metrics.RELEASES.labels(end.value).inc()
        grant_id = release_message.grant_id
        if grant_id not in self._ledger.leases:
            # The grant was known only from the runner's report, without its frontend.
            unattributed = self._ledger.find(
                runner_id=release_message.runner_id, request_id=release_message.request_id
            )
            if unattributed is None or unattributed.frontend_id:
                return False
            grant_id = unattributed.grant_id
        lease = self._ledger.release(grant_id, end, now=now)
        if lease is None:
            return False
        self._rate_runner(release_message, end, now)
        if grant_id not in self._ledger.leases:
            self._settle([lease])
        return end in RUNNER_FAILURES

    def adopt(self, guard: Guard, grants: Sequence[OpenGrant]) -> None:
        """Take over open grants of earlier owners that a guard has reported."""
        now = self._clock.monotonic()
        for grant in grants:
            if grant.grant_id in self._ledger.leases:
                continue
            usable_s = 0.0 if grant.sent else self._grant_usable_s
            # The list includes requests that the guard has already released to an earlier owner
            # with an unknown end. They are not released again, so a report of the runner must
            # end them.
            lease = SlotLease(
                grant_id=grant.grant_id,
                request_id=grant.request_id,
                frontend_id=guard.id,
                account=grant.account,
                runner_id=grant.runner_id,
                usable_until=now + usable_s,
                deadline=now + grant.remaining_ms / 1000,
                granted_at=now,
                unclear_since=now if grant.sent else None,
            )
            self._ledger.adopt(lease)
            self.charge(lease, 0.0)
            self._queue.resume(grant.account)
            metrics.ADOPTED_GRANTS.inc()

    def apply_report(self, report: RunnerReport) -> None:
        """Free the slots of requests that, by a runner's report, no longer run."""
        freed = self._ledger.apply_report(report, now=self._clock.monotonic())
        metrics.SLOTS_FREED.labels("runner").inc(len(freed))
        self._settle(freed)

    def expire(self, now: float) -> None:
        """Free the slots of requests that must have ended by their deadline."""
        expired = self._ledger.expire(now=now)
        metrics.SLOTS_FREED.labels("deadline").inc(len(expired))
        self._settle(expired)

    def _rate_runner(self, release_message: Release, end: SlotEnd, now: float) -> None:
        service_s = release_message.service_ms / 1000
        if end is SlotEnd.DONE:
            self._queue.times.add(service_s)
            self._ledger.served(release_message.runner_id, service_s)
            self._ejector.succeeded(release_message.runner_id, release_message.request_id, now=now)
        elif end is SlotEnd.NOT_SENT:
            self._ejector.record_inconclusive(release_message.runner_id, release_message.request_id)
        elif self._ejector.failed(
            release_message.runner_id,
            release_message.request_id,
            now=now,
            hosts=len(self._ledger.runners),
        ):
            metrics.EJECTIONS.inc()
            logger.warning(
                "{}: runner {} ejected because its requests fail",
                self._name,
                release_message.runner_id,
            )

    def _settle(self, leases: Iterable[SlotLease]) -> None:
        """Replace the charges of freed slots by their actual use."""
        now = self._clock.monotonic()
        for lease in leases:
            self._ejector.record_inconclusive(lease.runner_id, lease.request_id)
            charge = self._charges.pop(lease.grant_id, None)
            if charge is not None:
                self._queue.finish(
                    charge.account, charged_s=charge.seconds, used_s=now - charge.since
                )
