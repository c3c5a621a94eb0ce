"""A timer of a connection that is set often and expires rarely."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rhubarbferry.serving.closures import Closure


class Deadline:
    """Call a function when the time set last has come.

    Setting a later time does not touch the timer of the event loop, which checks the time when it
    fires.

    :param on_expired: called with the closure that was set last.
    """

    def __init__(self, *, on_expired: Callable[[Closure], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_expired = on_expired
        self._at: float | None = None
        self._closure: Closure | None = None
        self._timer: asyncio.TimerHandle | None = None

    def set(self, at: float, closure: Closure) -> None:
        """Expire at a time of the event loop, in seconds."""
        self._at = at
        self._closure = closure
        if self._timer is None or self._timer.when() > at:
            self._start(at)

    def clear(self) -> None:
        """Don't expire until a time is set."""
        self._at = None

    def cancel(self) -> None:
        """Stop the timer."""
        self._at = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(at, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._at is None or self._closure is None:
            return
        if self._loop.time() < self._at:
            self._start(self._at)
            return
        self._at = None
        self._on_expired(self._closure)
