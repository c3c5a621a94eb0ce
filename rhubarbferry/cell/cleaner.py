"""Remove from the store what nobody needs any more."""

from __future__ import annotations

import asyncio
from collections.abc import Set

from attrs import define, field

from rhubarbferry.cell import keys
from rhubarbferry.cell.context import OwnershipLost, TermContext
from rhubarbferry.dispatch.record import RecordError, decode_phase
from rhubarbferry.ports.store import Conflict, StoreError, Txn

# Removals are gathered for this long: each change of a watched key costs the owner a call.
GATHER_S = 2.0
# A transaction takes 32 entries, the owner's key among them, and a job has two keys to remove.
JOBS_PER_TXN = 15
PHASES_PER_TXN = 30
# An ended job is known for longer than the surroundings demand, so that a submission or a write
# that arrives late still finds it and can't bring it back to life.
EXTRA_S = 60.0


@define(kw_only=True, eq=False)
class Cleaner:
    """Removes the requests of ended jobs soon, and their phases after the time of grace.

    :param without_state: inherited jobs that have no state in progress.
    """

    ctx: TermContext
    without_state: Set[str]
    _ended_at: dict[str, float] = field(factory=dict)
    _loaded: bool = False

    async def run(self) -> None:
        """Clean until cancelled.

        :raises OwnershipLost: when another process owns the work.
        """
        while True:
            try:
                if not self._loaded:
                    await self._load()
                await asyncio.sleep(GATHER_S)
                await self._remove_requests()
                await self._remove_phases()
            except StoreError as exc:
                self.ctx.around.log.emit("store.not_cleaned", reason=str(exc)[:200])
                await asyncio.sleep(GATHER_S)

    async def _load(self) -> None:
        """Read which jobs had ended before the takeover; the dispatcher does not wait for it."""
        listing = await self.ctx.around.store.list(keys.ENDED)
        now = self.ctx.now()
        for item in listing.items:
            id = item.key.removeprefix(keys.ENDED)
            self._ended_at.setdefault(id, now)
            try:
                self.ctx.dispatcher.ended.setdefault(id, decode_phase(item.value))
            except RecordError as exc:
                self.ctx.around.log.emit("job.unreadable", job=id, reason=str(exc))
        for id in sorted(self.without_state):
            if id in self._ended_at:
                self.ctx.removable.append(id)
            else:
                self.ctx.around.log.emit("job.unreadable", job=id, reason="it has no state")
        self._loaded = True

    async def _remove_requests(self) -> None:
        removable = self.ctx.removable
        while removable:
            ids = removable[:JOBS_PER_TXN]
            names = [prefix + id for id in ids for prefix in (keys.JOBS, keys.CANCELS)]
            await self._remove(names)
            del removable[: len(ids)]
            now = self.ctx.now()
            for id in ids:
                self._ended_at.setdefault(id, now)

    async def _remove_phases(self) -> None:
        before = self.ctx.now() - self.ctx.around.cfg.bounds.status_s - EXTRA_S
        old = [id for id, at in self._ended_at.items() if at < before]
        for start in range(0, len(old), PHASES_PER_TXN):
            ids = old[start : start + PHASES_PER_TXN]
            await self._remove([keys.ENDED + id for id in ids])
            for id in ids:
                del self._ended_at[id]
                self.ctx.dispatcher.ended.pop(id, None)

    async def _remove(self, names: list[str]) -> None:
        txn = Txn(expect=(self.ctx.tenure.condition(),), delete=tuple(names))
        if isinstance(await self.ctx.around.store.commit(txn), Conflict):
            self.ctx.tenure.end("another process has taken over")
            raise OwnershipLost("another process has taken over")
