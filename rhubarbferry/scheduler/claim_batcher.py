"""Collect the claims of all homes for a short interval and decide on them as one batch."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from attrs import frozen

from rhubarbferry.ports.clock import Clock
from rhubarbferry.rpc.gen import ttypes as t

MAX_QUEUED_REQUESTS = 1024


@frozen(kw_only=True, slots=True, eq=False)
class QueuedRequest:
    """One claim request and the future that receives its results."""

    req: t.ClaimRequest
    results: asyncio.Future[list[t.ClaimResult]]


class RequestNumbers:
    """The highest request number received from each home.

    A request can be delayed on the network while its home sends another one and acts on the
    reply. If the delayed request were still accepted, it could start a task that the home has
    since placed elsewhere, and the task would run twice. Lower numbers are therefore refused.
    """

    def __init__(self) -> None:
        self._highest: dict[str, tuple[int, int]] = {}

    def accept(self, home: str, home_epoch: int, number: int | None) -> bool:
        """Record the number of a received request; return whether it arrived in order."""
        key = (home_epoch, number or 0)
        if key < self._highest.get(home, (0, 0)):
            return False
        self._highest[home] = key
        return True

    def is_latest(self, home: str, home_epoch: int, number: int | None) -> bool:
        """Return whether no later request has been received from that home."""
        return (home_epoch, number or 0) == self._highest.get(home)


class ClaimBatcher:
    """The queue of claims of one worker partition.

    :param batch_window_s: seconds that the first claim of a batch waits for further ones.
    :param decide: callback that decides on a whole batch and sets the results.
    """

    def __init__(
        self,
        *,
        batch_window_s: float,
        clock: Clock,
        decide: Callable[[Sequence[QueuedRequest]], Awaitable[None]],
    ) -> None:
        self._batch_window_s = batch_window_s
        self._clock = clock
        self._decide = decide
        self._queue: asyncio.Queue[QueuedRequest] = asyncio.Queue(maxsize=MAX_QUEUED_REQUESTS)

    async def submit(self, req: t.ClaimRequest) -> list[t.ClaimResult] | None:
        """Return the results of a request, or ``None`` if the queue is full."""
        fut: asyncio.Future[list[t.ClaimResult]] = asyncio.get_running_loop().create_future()
        try:
            self._queue.put_nowait(QueuedRequest(req=req, results=fut))
        except asyncio.QueueFull:
            return None
        return await fut

    def depth(self) -> int:
        """Return the number of queued requests."""
        return self._queue.qsize()

    async def run(self) -> None:
        """Process batches until cancelled."""
        running: set[asyncio.Task[None]] = set()
        try:
            while True:
                batch = [await self._queue.get()]
                await self._clock.sleep(self._batch_window_s)
                while not self._queue.empty():
                    batch.append(self._queue.get_nowait())
                # Batches run concurrently, so that a worker that does not respond does not delay
                # claims for other workers.
                task = asyncio.create_task(self._run(batch))
                running.add(task)
                task.add_done_callback(running.discard)
        finally:
            for task in running:
                task.cancel()

    async def _run(self, batch: Sequence[QueuedRequest]) -> None:
        try:
            await self._decide(batch)
        finally:
            for queued in batch:
                if not queued.results.done():
                    queued.results.cancel()
