"""Poll one host: extend its task leases and learn what has ended."""

from __future__ import annotations

import asyncio

from attrs import define

from rhubarbferry.cell.context import TermContext
from rhubarbferry.cell.loop_lag import LAG_GOAL_S
from rhubarbferry.dispatch.hosts import LONGEST_LOOK_S, LOOK_S, Host
from rhubarbferry.ports.workers import (
    FenceStale,
    HoldRequest,
    WorkerError,
    WorkerGone,
)

# After a look that failed.
RETRY_S = 0.1
# The same for a host that has been silent for longer; it may be gone for good.
SILENT_RETRY_S = 0.5
# While ends are not yet on record the host would answer at once each time.
UNRECORDED_PAUSE_S = 0.12
# Time for the answer beyond the look itself: some round trips, or one packet sent again.
PATIENCE_S = 0.4
# A new owner starts no inherited task before each host has answered once. One lost answer must
# not hold all of them up, so the first look is sent again soon.
FIRST_PATIENCE_S = 0.25
FIRST_RETRY_S = 0.05


@define(kw_only=True, eq=False)
class HostWatch:
    """Looks at one host until it has gone."""

    ctx: TermContext
    id: str

    async def run(self) -> None:
        """Look again and again; return when the host is forgotten.

        :raises OwnershipLost: when this process may no longer act as the owner.
        """
        while (host := self.ctx.dispatcher.tracker.hosts.get(self.id)) is not None:
            self.ctx.tenure.check()
            if not await self._look(host):
                await asyncio.sleep(self._pause_s(host))
            elif host.seen_end > host.recorded_end:
                await asyncio.sleep(UNRECORDED_PAUSE_S)

    def _pause_s(self, host: Host) -> float:
        if not host.adopted:
            return FIRST_RETRY_S
        silent = self.ctx.now() - host.last_report_at >= host.silent_s
        return SILENT_RETRY_S if silent else RETRY_S

    def look_s(self) -> float:
        """Return how long a look is to wait for an end.

        A process that is behind looks less often: most looks find that nothing has ended, and ends
        are shown at once in any case.
        """
        return min(LONGEST_LOOK_S, LOOK_S * max(1.0, self.ctx.around.lag_s() / LAG_GOAL_S))

    async def look_once(self) -> None:
        """Look once, without waiting for an end."""
        host = self.ctx.dispatcher.tracker.hosts.get(self.id)
        if host is not None and self.ctx.tenure.holds():
            await self._look(host, at_once=True)

    async def _look(self, host: Host, *, at_once: bool = False) -> bool:
        ctx = self.ctx
        sent_at = ctx.now()
        entry = host.entry
        deadline_s = host.hold(sent_at, ctx.around.cfg.bounds.task_lease_s)
        # Ends beyond `forget_to` are listed at once; so there is no use in a wait while some
        # are not on record. The first look only learns the host's clock.
        host.look_s = self.look_s()
        at_once = at_once or deadline_s is None or host.seen_end > host.recorded_end
        req = HoldRequest(
            fence=ctx.tenure.fence,
            deadline_s=deadline_s,
            forget_to=host.recorded_end,
            wait_s=0.0 if at_once else host.look_s,
            patience_s=PATIENCE_S if host.adopted else FIRST_PATIENCE_S,
        )
        try:
            report = await ctx.around.workers.hold(entry, req)
        except FenceStale as exc:
            ctx.tenure.end(f"host {self.id}: {exc}")
            return False
        except WorkerGone as exc:
            ctx.around.log.emit("host.gone", host=self.id, reason=str(exc))
            ctx.dispatcher.host_gone(self.id, now=ctx.now())
            ctx.wake.set()
            return False
        except WorkerError as exc:
            ctx.around.log.emit("host.silent", host=self.id, reason=str(exc)[:200])
            return False
        if host.entry.incarnation != entry.incarnation and (
            report.incarnation != host.entry.incarnation
        ):
            return True
        known = host.adopted
        ctx.dispatcher.reported(self.id, report, sent_at=sent_at, now=ctx.now())
        if not known:
            ctx.around.log.emit(
                "host.adopted",
                host=self.id,
                incarnation=report.incarnation,
                running=len(report.running),
                ended=len(report.ended),
                fence=ctx.tenure.fence,
            )
        if host.seen_end > host.recorded_end:
            ctx.record.set()
        ctx.note_changes()
        ctx.wake.set()
        return True
