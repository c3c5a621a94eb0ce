"""Poll a host to extend its task leases and to collect the ends of its tasks."""

from __future__ import annotations

import asyncio

from attrs import define

from rhubarbferry.cell.loop_lag import LAG_GOAL_S
from rhubarbferry.cell.term_context import TermContext
from rhubarbferry.dispatch.hosts import MAX_POLL_WAIT_S, POLL_WAIT_S, Host
from rhubarbferry.dispatch.messages import HostReport
from rhubarbferry.dispatch.takeover import RosterEntry
from rhubarbferry.ports.workers import (
    FenceStale,
    TaskLeaseRequest,
    WorkerError,
    WorkerGone,
)

# Pause after a failed poll.
POLL_RETRY_INTERVAL_S = 0.1
# Pause after a failed poll of a host that has been unresponsive for longer. It may never return.
SILENT_HOST_RETRY_INTERVAL_S = 0.5
# Pause between polls while reported ends are not yet recorded in the store. The host answers such a
# poll at once, so without the pause the polls would follow each other in a tight loop.
UNRECORDED_ENDS_PAUSE_S = 0.12
# Time for the response in addition to the poll's wait: some round trips, or one retransmission.
RESPONSE_MARGIN_S = 0.4
# A new owner starts no inherited task before it has adopted each host. One lost answer must not
# delay all of them, so the first poll of a host has a short timeout and is retried soon.
FIRST_RESPONSE_MARGIN_S = 0.25
FIRST_POLL_RETRY_INTERVAL_S = 0.05


@define(kw_only=True, eq=False)
class HostPoller:
    """Polls one host until the dispatcher forgets it."""

    ctx: TermContext
    id: str

    async def run(self) -> None:
        """Poll repeatedly; return when the dispatcher no longer tracks the host.

        :raises OwnershipLost: if this process may no longer act as the owner.
        """
        while (host := self.ctx.dispatcher.tracker.hosts.get(self.id)) is not None:
            self.ctx.tenure.check()
            if not self.ctx.tenure.holds():
                await asyncio.sleep(POLL_RETRY_INTERVAL_S)
            elif not await self._poll(host):
                await asyncio.sleep(self._retry_interval_s(host))
            elif host.seen_end > host.recorded_end:
                await asyncio.sleep(UNRECORDED_ENDS_PAUSE_S)

    def _retry_interval_s(self, host: Host) -> float:
        if not host.adopted:
            return FIRST_POLL_RETRY_INTERVAL_S
        silent = self.ctx.now() - host.last_report_at >= host.silence_timeout_s
        return SILENT_HOST_RETRY_INTERVAL_S if silent else POLL_RETRY_INTERVAL_S

    def poll_wait_s(self) -> float:
        """Return how long the host may hold a poll open while no task ends.

        A process whose event loop lags polls less often. Most polls report no end, and the host
        answers an open poll as soon as a task ends in any case.
        """
        return min(MAX_POLL_WAIT_S, POLL_WAIT_S * max(1.0, self.ctx.process.lag_s() / LAG_GOAL_S))

    async def poll_once(self) -> None:
        """Poll once, without waiting for the end of a task."""
        host = self.ctx.dispatcher.tracker.hosts.get(self.id)
        if host is not None and self.ctx.tenure.holds():
            await self._poll(host, no_wait=True)

    async def _poll(self, host: Host, *, no_wait: bool = False) -> bool:
        ctx = self.ctx
        fence = host.fence
        if fence is None:
            return False
        sent_at = ctx.now()
        entry = host.entry
        deadline_s = host.extend_leases(sent_at, ctx.process.cfg.bounds.task_lease_s)
        # The host reports ends after `acknowledged_to` at once, so waiting has no effect while some
        # of them are not recorded. The first poll only reads the host's clock.
        host.poll_wait_s = self.poll_wait_s()
        acknowledged_to = host.acknowledgeable_end
        no_wait = no_wait or deadline_s is None or host.seen_end > acknowledged_to
        # No task is started there before the next report.
        no_wait = no_wait or host.poll_failed
        req = TaskLeaseRequest(
            fence=fence,
            deadline_s=deadline_s,
            acknowledged_to=acknowledged_to,
            wait_s=0.0 if no_wait else host.poll_wait_s,
            response_margin_s=RESPONSE_MARGIN_S if host.adopted else FIRST_RESPONSE_MARGIN_S,
        )
        try:
            report = await ctx.process.workers.extend_leases(entry, req)
        except FenceStale as exc:
            ctx.handle_stale_fence(self.id, fence, str(exc))
            return False
        except WorkerGone as exc:
            if ctx.fence_is_current(host, fence):
                ctx.process.log.emit("host.gone", host=self.id, reason=str(exc))
                awaited = ctx.dispatcher.takeover.unconfirmed.get(self.id)
                ctx.dispatcher.host_gone(self.id, now=ctx.now())
                confirmed = self._confirmation(awaited, "another host at its address")
                if confirmed:
                    ctx.process.log.emit("host.confirmed", host=self.id, fence=fence, **confirmed)
                ctx.wake.set()
            return False
        except WorkerError as exc:
            host.poll_failed_at = ctx.now()
            ctx.process.log.emit("host.silent", host=self.id, reason=str(exc)[:200])
            return False
        if not ctx.fence_is_current(host, fence):
            # The call was meant for an earlier incarnation, whichever has answered.
            return True
        if sent_at >= host.poll_failed_at:
            host.poll_failed_at = float("-inf")
        was_adopted = host.adopted
        awaited = ctx.dispatcher.takeover.unconfirmed.get(self.id)
        ctx.dispatcher.handle_report(self.id, report, sent_at=sent_at, now=ctx.now())
        adopted = host.adopted and not was_adopted
        confirmed = self._confirmation(awaited, _confirmed_by(awaited, report, host))
        if adopted or confirmed:
            ctx.process.log.emit(
                "host.adopted" if adopted else "host.confirmed",
                host=self.id,
                incarnation=report.incarnation,
                running=len(report.running),
                ended=len(report.ended),
                fence=fence,
                **confirmed,
            )
        if host.seen_end > host.recorded_end:
            ctx.record.set()
        ctx.note_changes()
        ctx.wake.set()
        return True

    def _confirmation(self, awaited: RosterEntry | None, by: str) -> dict[str, object]:
        """Return the fields of a host that the takeover no longer waits for, else none.

        :param awaited: entry of the host while the takeover waited for it.
        """
        takeover = self.ctx.dispatcher.takeover
        if awaited is None or self.id in takeover.unconfirmed:
            return {}
        return {
            "listed_incarnation": awaited.incarnation,
            "confirmed_by": by,
            "after_s": round(self.ctx.now() - takeover.began_at, 3),
        }


def _confirmed_by(awaited: RosterEntry | None, report: HostReport, host: Host) -> str:
    if awaited is None or report.incarnation == awaited.incarnation:
        return "report"
    if report.incarnation < awaited.incarnation:
        return "report of an earlier incarnation"
    return "report of a later incarnation" if host.adopted else "restart, runs not read"
