"""Send task end events to the homes of the tasks until the homes have recorded them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from loguru import logger
from prometheus_client import Counter

from rhubarbferry.core.partition import PartitionId
from rhubarbferry.ports.ownership import Tenure
from rhubarbferry.rpc import RpcError
from rhubarbferry.rpc.gen import ttypes as t
from rhubarbferry.scheduler.context import Context

MAX_EVENTS_PER_CALL = 1000
CALL_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.25

TASK_EVENTS = Counter("rhubarbferry_task_events_total", "Ends of tasks told to homes", ["result"])


class EventOutbox:
    """The queue of task end events of one worker partition.

    An event is resent until the home confirms that it is recorded. Only then may the worker
    discard the task, so the failure of a single process can't lose the end of a task.

    :param recorded: callback that receives the id of each recorded task, on the event loop.
    """

    def __init__(self, *, tenure: Tenure, ctx: Context, recorded: Callable[[str], None]) -> None:
        self._tenure = tenure
        self._ctx = ctx
        self._on_recorded = recorded
        self._pending: dict[str, dict[str, t.TaskEvent]] = {}
        self._wake = asyncio.Event()

    def put(self, home: str, event: t.TaskEvent) -> None:
        """Queue an event, to be sent until it is recorded."""
        self._pending.setdefault(home, {})[event.task_id] = event
        self._wake.set()

    def depth(self) -> int:
        """Return the number of events that are not recorded yet."""
        return sum(len(events) for events in self._pending.values())

    async def run(self) -> None:
        """Send events until cancelled; an unresponsive home does not delay the others."""
        senders: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                for home in [home for home in self._pending if home not in senders]:
                    task = asyncio.create_task(self._send_all(home))
                    senders[home] = task
                    task.add_done_callback(partial(self._remove_sender, senders, home))
                await self._wake.wait()
                self._wake.clear()
        finally:
            for task in list(senders.values()):
                task.cancel()
            await asyncio.gather(*senders.values(), return_exceptions=True)

    def _remove_sender(
        self, senders: dict[str, asyncio.Task[None]], home: str, _: asyncio.Task[None]
    ) -> None:
        senders.pop(home, None)
        self._wake.set()

    async def _send_all(self, home: str) -> None:
        while self._pending.get(home):
            if not await self._send(home):
                await self._ctx.clock.sleep(RETRY_INTERVAL_S)
        self._pending.pop(home, None)

    async def _send(self, home: str) -> bool:
        """Send one batch; return whether all of its events are recorded."""
        owner = self._ctx.ownership.owner(PartitionId.parse(home))
        if owner is None or not self._tenure.holds():
            return False
        events = list(self._pending[home].values())[:MAX_EVENTS_PER_CALL]
        req = t.TaskEventsRequest(
            partition=home,
            epoch=owner.epoch,
            sender=str(self._tenure.partition),
            sender_epoch=self._tenure.epoch,
            events=events,
        )
        try:
            reply = await self._ctx.schedulers.call(
                owner.address, "task_events", req, timeout_s=CALL_TIMEOUT_S
            )
        except RpcError as exc:
            TASK_EVENTS.labels("no_answer").inc(len(events))
            logger.debug("home {} did not reply to task events: {}", home, exc)
            return False
        for task_id in reply.recorded:
            TASK_EVENTS.labels("recorded").inc()
            self._pending[home].pop(task_id, None)
            self._on_recorded(task_id)
        return len(reply.recorded) == len(events)
