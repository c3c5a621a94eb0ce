"""Refuse new jobs that a full cell can't end in time, before anything of them is stored."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define
from prometheus_client import Counter

from rhubarbferry.cell.job_calls import PhaseUnknown
from rhubarbferry.cell.load_summary import LoadView
from rhubarbferry.cell.logs import EventLog
from rhubarbferry.cell.owner_client import OwnerClient
from rhubarbferry.cell.settings import AdmissionSettings
from rhubarbferry.dispatch.admission import LoadSummary, Refused, decide_admission
from rhubarbferry.dispatch.job import JobStatus
from rhubarbferry.dispatch.record import JobRecord
from rhubarbferry.ports.clock import Clock

LOAD_REFUSALS = Counter(
    "rhubarbferry_load_refusals_total",
    "Jobs refused because of the load of their account",
    ["account", "queue"],
)
# How long a refusal may wait for the store, which may know a job that the owner does not know yet.
# If the store is slower, the job is accepted, since a refusal could deny a job that runs.
STORE_CHECK_TIMEOUT_S = 0.1


@define(kw_only=True, eq=False)
class AdmissionControl:
    """Decides about new jobs with the newest summary of the load.

    Without a summary that is recent and belongs to the current owner and configuration, each job is
    accepted.

    :param config_revision: returns the revision of the configuration in force.
    :param stored_status: reads the status of a job from the store.
    """

    clock: Clock
    log: EventLog
    settings: Callable[[], AdmissionSettings]
    owner: OwnerClient
    view: LoadView
    config_revision: Callable[[], int]
    stored_status: Callable[[str], Awaitable[JobStatus | None]]

    async def refusal(self, record: JobRecord) -> Refused | None:
        """Return why a job is refused, or ``None`` if it is to be accepted.

        A job that was accepted before is never refused, since the same request may arrive again.
        """
        if not self.settings().refuse_when_full:
            return None
        now = self.clock.monotonic()
        summary = self._summary(now)
        if summary is None:
            return None
        decision = decide_admission(record, summary, now=now)
        if not isinstance(decision, Refused) or not await self._is_unknown(record.req.id):
            return None
        LOAD_REFUSALS.labels(decision.account, record.queue.name).inc()
        self.log.emit(
            "job.not_accepted",
            job=record.req.id,
            queue=record.queue.name,
            account=decision.account,
            reason="its account has more work than it can end in time",
            owed_cores=round(decision.owed_cores, 1),
            used_cores=round(decision.used_cores, 1),
            usable_cores=round(decision.usable_cores, 1),
            ahead_core_s=round(decision.ahead_core_s, 1),
            expected_s=round(decision.expected_s, 2),
            limit_s=round(decision.limit_s, 2),
            summary_age_s=round(decision.age_s, 3),
            fence=summary.fence,
            retry_after_s=decision.retry_after_s,
            outcome="refused",
        )
        return decision

    def _summary(self, now: float) -> LoadSummary | None:
        """Return the newest summary if it may be used."""
        summary = self.owner.own_load() or self.view.latest
        if summary is None or summary.fence != self.owner.fence():
            return None
        if summary.config_revision != self.config_revision():
            return None
        age_s = now - summary.taken_at
        return summary if 0 <= age_s <= self.settings().max_summary_age_s else None

    async def _is_unknown(self, id: str) -> bool:
        """Return whether the owner and the store have both answered that they don't know a job."""
        stored = asyncio.create_task(self._may_be_stored(id))
        try:
            if await self.owner.knows(id) is not False:
                return False
            await asyncio.wait({stored}, timeout=STORE_CHECK_TIMEOUT_S)
            return stored.done() and not stored.result()
        finally:
            stored.cancel()

    async def _may_be_stored(self, id: str) -> bool:
        try:
            return await self.stored_status(id) is not None
        except PhaseUnknown as exc:
            self.log.emit("job.not_read", job=id, reason=str(exc)[:200])
            return True
