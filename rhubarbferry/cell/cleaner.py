"""Remove keys of ended jobs from the store."""

from __future__ import annotations

import asyncio
from collections.abc import Set

from attrs import define, field

from rhubarbferry.cell import keys
from rhubarbferry.cell.term_context import EndSignal, OwnershipLost, TermContext
from rhubarbferry.dispatch.record import RecordError, decode_status
from rhubarbferry.ports.store import Conflict, StoreError, Txn

# Removals are batched at this interval, because each change of a watched key costs the owner one
# call.
REMOVAL_INTERVAL_S = 2.0
# A transaction holds at most 32 entries including the owner's key. A job has two keys to remove.
JOBS_PER_TXN = 15
PHASES_PER_TXN = 30
# The phase of an ended job is kept for longer than the configured ``status_s``. A submission or a
# write that arrives late then still finds it and can't start the job again.
PHASE_RETENTION_MARGIN_S = 60.0


@define(kw_only=True, eq=False)
class Cleaner:
    """Removes the request of an ended job soon after its end, and its phase after a retention time.

    :param without_state: ids of inherited jobs without a stored in-progress state.
    """

    ctx: TermContext
    without_state: Set[str]
    _ended_at: dict[str, float] = field(factory=dict)
    _loaded: bool = False

    async def run(self) -> None:
        """Remove keys until cancelled.

        :raises OwnershipLost: if another process is the owner.
        """
        while True:
            try:
                if not self._loaded:
                    await self._load()
                await asyncio.sleep(REMOVAL_INTERVAL_S)
                await self._remove_requests()
                await self._remove_phases()
            except StoreError as exc:
                self.ctx.process.log.emit("store.not_cleaned", reason=str(exc)[:200])
                await asyncio.sleep(REMOVAL_INTERVAL_S)

    async def _load(self) -> None:
        """Read the jobs that ended before the takeover; the dispatcher does not wait for this."""
        listing = await self.ctx.process.store.list(keys.ENDED)
        now = self.ctx.now()
        for item in listing.items:
            id = item.key.removeprefix(keys.ENDED)
            self._ended_at.setdefault(id, now)
            try:
                self.ctx.dispatcher.ended.setdefault(id, decode_status(item.value))
            except RecordError as exc:
                self.ctx.process.log.emit("job.unreadable", job=id, reason=str(exc))
        for id in sorted(self.without_state):
            if id in self._ended_at:
                self.ctx.removable.append(id)
            else:
                self.ctx.process.log.emit("job.unreadable", job=id, reason="it has no state")
        self._loaded = True

    async def _remove_requests(self) -> None:
        removable = self.ctx.removable
        while removable:
            ids = removable[:JOBS_PER_TXN]
            key_names = [prefix + id for id in ids for prefix in (keys.JOBS, keys.CANCELS)]
            await self._remove(key_names)
            del removable[: len(ids)]
            now = self.ctx.now()
            for id in ids:
                self._ended_at.setdefault(id, now)

    async def _remove_phases(self) -> None:
        before = self.ctx.now() - self.ctx.process.cfg.bounds.status_s - PHASE_RETENTION_MARGIN_S
        old = [id for id, at in self._ended_at.items() if at < before]
        for start in range(0, len(old), PHASES_PER_TXN):
            ids = old[start : start + PHASES_PER_TXN]
            await self._remove([keys.ENDED + id for id in ids])
            for id in ids:
                del self._ended_at[id]
                self.ctx.dispatcher.ended.pop(id, None)

    async def _remove(self, key_names: list[str]) -> None:
        txn = Txn(expect=(self.ctx.tenure.condition(),), delete=tuple(key_names))
        if isinstance(await self.ctx.process.store.commit(txn), Conflict):
            self.ctx.tenure.end("another process has taken over", by=EndSignal.CONFLICT)
            raise OwnershipLost("another process has taken over")
